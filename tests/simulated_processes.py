"""Simulated time, and machines whose processes run, pause and end; shared by tests/ratelimit_simulation.py and
tests/control_plane_simulation.py, which simulate their own links.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

MS, SECOND = 1_000, 1_000_000


class Time:
    """Runs scheduled calls in order of time; calls due at the same time in order of scheduling."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.net = SimpleNamespace()  # the network of each loop; a simulation adds what its processes use
        self.now = 1_000 * SECOND
        self._heap: list[tuple[int, int, Callable[[], Any]]] = []
        self._order = 0

    def at(self, due: int, call: Callable[[], Any]) -> None:
        self._order += 1
        heapq.heappush(self._heap, (due, self._order, call))

    def run(self, span: int) -> None:
        end = self.now + span
        while self._heap and self._heap[0][0] <= end:
            due, _, call = heapq.heappop(self._heap)
            self.now = max(self.now, due)
            call()
        self.now = end


class Life:
    """One incarnation of a machine's process: its scheduled calls end with it."""

    def __init__(self, machine: Any) -> None:
        self.machine, self.alive = machine, True
        self.last: dict[Any, int] = {}  # line -> arrival of the latest message on it

    def behind(self, line: Any, due: int) -> int:
        """When a message arrives that is due at `due`, but not before the earlier ones on its line."""
        due = self.last[line] = max(due, self.last.get(line, 0) + 1)
        return due


class Machine:
    """Calls to a paused process are delayed until it resumes."""

    def __init__(self) -> None:
        self.paused, self.held = False, list[Callable[[], Any]]()

    def run(self, life: Life, call: Callable[[], Any]) -> None:
        if life.alive and self.paused:
            self.held.append(lambda: self.run(life, call))
        elif life.alive:
            call()

    def resume(self) -> None:
        self.paused = False
        held, self.held = self.held, []
        for call in held:
            call()

    def forget(self) -> None:
        self.paused, self.held = False, []


class Loop:
    def __init__(self, time: Time, life: Life) -> None:
        self._time, self._life, self.net = time, life, time.net

    @property
    def now(self) -> int:
        return self._time.now

    def clock(self) -> int:
        return self._time.now

    def at(self, due: int, call: Callable[[Any], Any], argument: Any = None) -> list[Any]:
        self._time.at(due, lambda: self._life.machine.run(self._life, lambda: call(argument)))
        return []
