"""The state machine of the rising numbers. No I/O.

A change reserves a block of numbers above all earlier ones. They are given in order from memory, and those that were
not given when another primary takes over are skipped.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from oakvale.coordination.decisions import CallReply, Decision
from oakvale.coordination.entries import COUNTER_PREFIX, CounterEntry

MAX_COUNTERS = 4_096
BLOCK_SIZE = 256  # numbers reserved by one change


@dataclass(slots=True)
class Counter:
    """One counter. The block in use may be pending: its numbers are given only once it is in force."""

    last_taken: int = 0
    reserved: int = 0  # the end of the newest block, pending or in force
    reserved_in_force: int = 0


class Counters:
    """All counters by name."""

    def __init__(self) -> None:
        self._counters: dict[str, Counter] = {}

    def __len__(self) -> int:
        return len(self._counters)

    def rebuild(
        self, in_force: Iterable[tuple[str, CounterEntry]], pending: Iterable[tuple[str, CounterEntry]]
    ) -> None:
        """Starts anew from the replicated state, above all numbers that may have been given."""
        self._counters = {}
        for name, entry in in_force:
            number = entry.reserved_up_to
            self._counters[name] = Counter(number, number, number)
        for name, entry in pending:
            counter = self._counters.setdefault(name, Counter())
            counter.last_taken = counter.reserved = entry.reserved_up_to

    def put_in_force(self, name: str, entry: CounterEntry) -> None:
        """An entry has come into force."""
        self._counters[name].reserved_in_force = entry.reserved_up_to

    def take(self, name: str) -> Decision:
        """Takes the next number, from a new block if the last one is used up."""
        counter = self._counters.get(name)
        if counter is None:
            if len(self._counters) >= MAX_COUNTERS:
                return Decision(CallReply(429, {"error": "too many counters"}))
            counter = self._counters[name] = Counter()
        counter.last_taken += 1
        reply = CallReply(200, {"val": counter.last_taken})
        if counter.last_taken <= counter.reserved:
            return Decision(reply, rests_on_pending=counter.last_taken > counter.reserved_in_force)
        counter.reserved += BLOCK_SIZE
        return Decision(reply, {COUNTER_PREFIX + name: CounterEntry(counter.reserved).pack()})
