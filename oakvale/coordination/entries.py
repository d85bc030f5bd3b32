"""Typed entries of the coordination state, and their keys in the replicated state. Core machines alone hold them.

An entry is never deleted: a deletion would leave a tombstone and move the compaction horizon.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

PREFIX = "coordination/"
LOCK_PREFIX = PREFIX + "lock/"
COUNTER_PREFIX = PREFIX + "counter/"
CELL_PREFIX = PREFIX + "cell/"
EVENT_PREFIX = PREFIX + "event/"


@dataclass(slots=True, frozen=True)
class LockEntry:
    """A lock: its newest fence, and its holder if it has one."""

    fence: int
    owner: str  # empty if nobody holds it
    longest_hold_us: int  # the longest hold granted to this holder

    def pack(self) -> list[Any]:
        """The value as it is stored."""
        return [self.fence, self.owner, self.longest_hold_us]

    @classmethod
    def unpack(cls, value: Any) -> LockEntry:
        """Reads a stored value. Raises ValueError if it has another shape."""
        fence, owner, longest_hold_us = value
        return cls(int(fence), str(owner), int(longest_hold_us))


@dataclass(slots=True, frozen=True)
class CounterEntry:
    """A counter: all numbers up to this one may have been given."""

    reserved_up_to: int

    def pack(self) -> int:
        """The value as it is stored."""
        return self.reserved_up_to

    @classmethod
    def unpack(cls, value: Any) -> CounterEntry:
        """Reads a stored value. Raises ValueError or TypeError if it has another shape."""
        return cls(int(value))


@dataclass(slots=True, frozen=True)
class CellEntry:
    """The newest value of a key, and the revision of its group at which it was put."""

    rev: int
    value: str

    def pack(self) -> list[Any]:
        """The value as it is stored."""
        return [self.rev, self.value]

    @classmethod
    def unpack(cls, value: Any) -> CellEntry:
        """Reads a stored value. Raises ValueError if it has another shape."""
        rev, text = value
        return cls(int(rev), str(text))


@dataclass(slots=True, frozen=True)
class EventEntry:
    """A remembered put."""

    rev: int
    name: str  # of the key, with its group
    value: str

    def pack(self) -> list[Any]:
        """The value as it is stored."""
        return [self.rev, self.name, self.value]

    @classmethod
    def unpack(cls, value: Any) -> EventEntry:
        """Reads a stored value. Raises ValueError if it has another shape."""
        rev, name, text = value
        return cls(int(rev), str(name), str(text))


def group_of(name: str) -> str:
    """The group of a key: its name up to the first dot, dot included; the whole name if it has none."""
    head, dot, _ = name.partition(".")
    return head + dot


def event_key(group: str, slot: int) -> str:
    """The key of an event slot. Names have no slash, so keys of different groups differ."""
    return f"{EVENT_PREFIX}{group}/{slot}"


@dataclass(slots=True)
class SortedEntries:
    """Entries by kind, each with the name in its key; that of an event is its group and slot, with a slash between."""

    locks: list[tuple[str, LockEntry]] = field(default_factory=list)
    counters: list[tuple[str, CounterEntry]] = field(default_factory=list)
    cells: list[tuple[str, CellEntry]] = field(default_factory=list)
    events: list[tuple[str, EventEntry]] = field(default_factory=list)

    @classmethod
    def read(cls, items: Iterable[tuple[str, Any]]) -> SortedEntries:
        """Reads keys and values of the replicated state; keys of other kinds are passed over."""
        found = cls()
        for key, value in items:
            if key.startswith(LOCK_PREFIX):
                found.locks.append((key[len(LOCK_PREFIX) :], LockEntry.unpack(value)))
            elif key.startswith(COUNTER_PREFIX):
                found.counters.append((key[len(COUNTER_PREFIX) :], CounterEntry.unpack(value)))
            elif key.startswith(CELL_PREFIX):
                found.cells.append((key[len(CELL_PREFIX) :], CellEntry.unpack(value)))
            elif key.startswith(EVENT_PREFIX):
                found.events.append((key[len(EVENT_PREFIX) :], EventEntry.unpack(value)))
        return found
