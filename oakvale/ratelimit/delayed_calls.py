"""Calls that wait until the counter of a duty is found, or until their patience is over."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from oakvale.base.loop import Loop

Call = Callable[[], None]


class DelayedCalls:
    """The waiting calls of each duty, in the order in which they came. Each is made once."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._waiting: dict[str, dict[int, Call]] = {}  # by duty and number
        self._last_number = 0

    def delay(self, duty: str, call: Call, patience_us: int) -> None:
        """Delays a call until the duty's counter is found, at most by `patience_us`."""
        waiting = self._waiting.setdefault(duty, {})
        self._last_number += 1
        number = self._last_number
        waiting[number] = call

        def late(_: Any) -> None:
            if waiting.pop(number, None) is not None:
                call()

        self._loop.at(self._loop.now + patience_us, late)

    def resume(self, duty: str) -> None:
        """Makes the calls that wait for this duty's counter; those that wait again meanwhile are left waiting."""
        waiting = self._waiting.pop(duty, {})
        while waiting:
            waiting.pop(next(iter(waiting)))()
