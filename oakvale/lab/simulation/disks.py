"""Disks of core machines, and the cistern on them: what was synced lasts; of the rest, what chance leaves.

The cistern writes by transactions, one sync each, as the one on a real disk does through `sqlite3`. After a loss of
power a transaction that was not synced is there whole or not at all, as its log promises; a disk with `tears` breaks
that promise and leaves a part of it, to show what then happens.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from oakvale.lab.simulation.events import Events
from oakvale.lab.simulation.machines import Process
from oakvale.storage.store import DISK_RETRY_SECONDS, MAX_BATCH_WRITES, Chunk, Row, Write

MS = 1_000


class Held:
    """What stands on a disk, and what each kind of write does to it."""

    def __init__(self) -> None:
        self.facts: dict[str, bytes] = {}
        self.rows: dict[str, bytes] = {}
        self.pieces: dict[bytes, bytes] = {}

    def apply(self, writes: list[Write]) -> None:
        for kind, data in writes:
            if kind == "fact":
                self.facts[data[0]] = data[1]
            elif kind == "gone":
                for key in data:
                    self.rows.pop(key, None)
            elif kind == "stage":
                self.pieces.update(data)
            elif kind == "unstage":
                for name in data:
                    self.pieces.pop(name, None)
            else:
                if kind == "whole":
                    self.rows.clear()
                    self.pieces.clear()
                self.rows.update(data)


class Disk(Held):
    def __init__(self, events: Events, rng: Random, sync: int = 2 * MS) -> None:
        """`sync`: microseconds in the mean."""
        super().__init__()
        self.events, self.rng, self.sync = events, rng, sync
        self.slow = 1.0  # times every sync
        self.hangs = self.refuses = 0  # until then
        self.tears = False
        self.syncs = 0
        self.under_way: list[Write] = []  # written, not synced

    def lose(self) -> None:
        """The writer is gone, with or without its machine's power."""
        left, self.under_way = self.under_way, []
        if self.tears and left:
            self.apply(left[: self.rng.randrange(len(left) + 1)])
        elif self.rng.random() < 0.5:
            self.apply(left)

    def wipe(self) -> None:
        self.facts.clear()
        self.rows.clear()
        self.pieces.clear()
        self.under_way = []

    def span(self) -> int:
        """Microseconds of the next sync; most are near the mean, some take several times as long."""
        return int(self.sync * self.slow * (0.6 + min(8.0, self.rng.expovariate(2.5))))


class SimulatedStorage:
    """As `cistern.store.Cistern`, its thread played by the world."""

    never_used = True  # nothing here is damaged

    def __init__(self, process: Process, disk: Disk) -> None:
        self._process, self._disk, self._events = process, disk, disk.events
        self._queue: deque[tuple[int, Write, Callable[[], None]]] = deque()
        self._batch: list[tuple[int, Write, Callable[[], None]]] = []
        self._busy = False

    def fact(self, name: str) -> bytes | None:
        return self._disk.facts.get(name)

    def rows(self) -> list[Row]:
        return list(self._disk.rows.items())

    def chunks(self) -> list[Chunk]:
        return list(self._disk.pieces.items())

    def write(self, what: Write, then: Callable[[], None]) -> None:
        if not self._process.alive:
            return
        loop = self._process.loop
        assert loop is not None
        self._queue.append((loop.now, what, then))
        if not self._busy:
            self._begin()

    def oldest_pending_since(self) -> int | None:
        oldest = self._batch or self._queue
        return oldest[0][0] if oldest else None

    def close(self) -> None:
        pass

    def _begin(self, _: Any = None) -> None:
        self._busy = True
        disk, now = self._disk, self._process.instant()
        if not self._batch:
            self._batch = [self._queue.popleft() for _ in range(min(MAX_BATCH_WRITES, len(self._queue)))]
        disk.under_way = [what for _, what, _ in self._batch]
        self._events.at(max(now, disk.hangs) + disk.span(), self._synced)

    def _synced(self, _: Any) -> None:
        disk, now = self._disk, self._events.now
        if not self._process.alive:
            return  # `lose` has said what is left
        if disk.hangs > now:
            return self._events.at(disk.hangs + disk.span(), self._synced)
        if disk.refuses > now:
            return self._events.at(now + int(DISK_RETRY_SECONDS * 1e6), self._synced)
        disk.syncs += 1
        disk.apply(disk.under_way)
        disk.under_way = []
        done, self._batch, self._busy = self._batch, [], False
        if self._queue:
            self._begin()
        self._process.post(lambda: self._told(done))

    @staticmethod
    def _told(done: list[tuple[int, Write, Callable[[], None]]]) -> None:
        for _, _, then in done:
            then()
