"""The table of news: keys with values and versions. It only goes forward, entry by entry.

No I/O and no clock. A version is the number of the view in which an entry was made and its place in that view.
What was taken away stays as an entry with the value None, so that the news of it can be passed on; a table
forgets such entries only up to `floor`, and who has seen less than that is given everything anew. The floor is
an entry itself: all who hold it have forgotten the same.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import Any

import cbor2

Version = tuple[int, int]
Entry = tuple[str, Version, Any]

RANGES = 16
NOTHING: Version = (0, 0)
GRAVES = 500  # entries taken away that are kept to be passed on
PRIVATE = "taken/"  # of the core machines alone: gateways are neither sent such entries nor asked for them
FLOOR = "floor"  # the key of the entry that raises it; its value is a version


def public(entries: Iterable[Entry]) -> list[Entry]:
    return [entry for entry in entries if not entry[0].startswith(PRIVATE)]


def range_of(key: str) -> int:
    return blake2b(key.encode(), digest_size=1).digest()[0] % RANGES


class Table:
    def __init__(self) -> None:
        self._entries: dict[str, tuple[Version, Any]] = {}
        self.high = NOTHING  # all entries up to here are held
        self.floor = NOTHING  # what was taken away up to here may be forgotten

    def get(self, key: str) -> Any:
        found = self._entries.get(key)
        return found[1] if found else None

    def version(self, key: str) -> Version:
        found = self._entries.get(key)
        return found[0] if found else NOTHING

    def items(self, prefix: str) -> list[tuple[str, Any]]:
        """Key behind the prefix and value of what is there."""
        return [
            (key[len(prefix) :], value)
            for key, (_, value) in self._entries.items()
            if value is not None and key.startswith(prefix)
        ]

    def put(self, entries: Iterable[Entry]) -> list[str]:
        """Takes entries that are newer than what is held; gives their keys, and those that it forgets."""
        changed = []
        for key, version, value in entries:
            if version > self.version(key) and (value is not None or version > self.floor or key in self._entries):
                self._entries[key] = (version, value)
                changed.append(key)
            self.high = max(self.high, version)
        floor = self.get(FLOOR) if FLOOR in changed else None
        if floor is not None:
            self.floor = max(self.floor, (int(floor[0]), int(floor[1])))
        if floor is not None or any(self.get(key) is None and self.version(key) <= self.floor for key in changed):
            changed += self._forget()
        return changed

    def _forget(self) -> list[str]:
        gone = [key for key, (version, value) in self._entries.items() if value is None and version <= self.floor]
        for key in gone:
            del self._entries[key]
        return gone

    def whole(self, entries: list[Entry], floor: Version) -> list[str]:
        """Everything that the sender holds: what is missing there and not newer than it is gone."""
        sent = {key for key, _, _ in entries}
        newest = max((version for _, version, _ in entries), default=NOTHING)
        gone = [
            key for key, (version, value) in self._entries.items() if key not in sent and version <= max(newest, floor)
        ]
        for key in gone:
            del self._entries[key]
        changed = self.put(entries)
        self.floor = max(self.floor, floor)
        return [*gone, *changed]

    def since(self, version: Version) -> list[Entry]:
        """Entries newer than a version, oldest first."""
        return sorted(
            ((key, own, value) for key, (own, value) in self._entries.items() if own > version),
            key=lambda entry: entry[1],
        )

    def next_floor(self) -> Version:
        """Up to where what was taken away may be forgotten: the newest stay, as long as there are not twice as many."""
        graves = sorted(version for version, value in self._entries.values() if value is None)
        return graves[-GRAVES - 1] if len(graves) > 2 * GRAVES else self.floor

    # ---- repair

    def digests(self) -> list[bytes]:
        """One for each range of keys: equal where two tables hold the same versions of what gateways are sent."""
        hashes = [blake2b(digest_size=8) for _ in range(RANGES)]
        for key in sorted(key for key in self._entries if not key.startswith(PRIVATE)):
            version = self._entries[key][0]
            hashes[range_of(key)].update(cbor2.dumps([key, version[0], version[1]]))
        return [h.digest() for h in hashes]

    def differing(self, digests: list[bytes]) -> list[Entry]:
        """All entries of the ranges in which the other's digest is another."""
        own = self.digests()
        odd = {n for n in range(RANGES) if n >= len(digests) or digests[n] != own[n]}
        return public((key, version, value) for key, (version, value) in self._entries.items() if range_of(key) in odd)


def pack(entries: Iterable[Entry]) -> list[Any]:
    return [[key, version[0], version[1], value] for key, version, value in entries]


def unpack(data: Any) -> list[Entry]:
    return [(str(key), (int(view), int(place)), value) for key, view, place, value in data]
