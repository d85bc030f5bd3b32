"""The world's time: one heap of calls to be made, in order of their time and then of being asked for."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any, Protocol

START = 1_800_000_000_000_000  # Unix time in microseconds, for all worlds alike


class Running(Protocol):
    @property
    def name(self) -> str: ...


class Events:
    def __init__(self) -> None:
        self.now = START
        self.done = 0
        self.running: Running | None = None  # whose turn it is
        self._heap: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self._order = 0

    def at(self, due: int, call: Callable[[Any], None], argument: Any = None) -> None:
        """Nothing is called off: a call that finds its cause gone does nothing."""
        self._order += 1
        heapq.heappush(self._heap, (due, self._order, call, argument))

    def run(self, until: int) -> None:
        heap, pop = self._heap, heapq.heappop
        while heap and heap[0][0] <= until:
            due, _, call, argument = pop(heap)
            if due > self.now:
                self.now = due
            self.done += 1
            call(argument)
        self.now = max(self.now, until)
