"""Typed entries of the coordination state, and their keys in the replicated state. Core machines alone hold them.

An entry is never deleted: a deletion would leave a tombstone and move the compaction horizon.
"""

from __future__ import annotations

from dataclasses import dataclass
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
