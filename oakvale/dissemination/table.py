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

DIGEST_RANGES = 16
NO_VERSION: Version = (0, 0)
TOMBSTONES_KEPT = 500  # entries taken away that are kept to be passed on
CORE_ONLY_PREFIX = "taken/"  # of the core machines alone: gateways are neither sent such entries nor asked for them
HORIZON_KEY = "floor"  # the key of the entry that raises it; its value is a version


def gateway_entries(entries: Iterable[Entry]) -> list[Entry]:
    return [entry for entry in entries if not entry[0].startswith(CORE_ONLY_PREFIX)]


def digest_range(key: str) -> int:
    return blake2b(key.encode(), digest_size=1).digest()[0] % DIGEST_RANGES


class Table:
    def __init__(self) -> None:
        self._entries: dict[str, tuple[Version, Any]] = {}
        self.highest_version = NO_VERSION  # all entries up to here are held
        self.horizon = NO_VERSION  # what was taken away up to here may be forgotten

    def get(self, key: str) -> Any:
        found = self._entries.get(key)
        return found[1] if found else None

    def version(self, key: str) -> Version:
        found = self._entries.get(key)
        return found[0] if found else NO_VERSION

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
            if version > self.version(key) and (value is not None or version > self.horizon or key in self._entries):
                self._entries[key] = (version, value)
                changed.append(key)
            self.highest_version = max(self.highest_version, version)
        horizon = self.get(HORIZON_KEY) if HORIZON_KEY in changed else None
        if horizon is not None:
            self.horizon = max(self.horizon, (int(horizon[0]), int(horizon[1])))
        if horizon is not None or any(self.get(key) is None and self.version(key) <= self.horizon for key in changed):
            changed += self._compact()
        return changed

    def _compact(self) -> list[str]:
        removed = [key for key, (version, value) in self._entries.items() if value is None and version <= self.horizon]
        for key in removed:
            del self._entries[key]
        return removed

    def replace_all(self, entries: list[Entry], horizon: Version) -> list[str]:
        """Everything that the sender holds: what is missing there and not newer than it is gone."""
        sent = {key for key, _, _ in entries}
        newest = max((version for _, version, _ in entries), default=NO_VERSION)
        removed = [
            key
            for key, (version, value) in self._entries.items()
            if key not in sent and version <= max(newest, horizon)
        ]
        for key in removed:
            del self._entries[key]
        changed = self.put(entries)
        self.horizon = max(self.horizon, horizon)
        return [*removed, *changed]

    def since(self, version: Version) -> list[Entry]:
        """Entries newer than a version, oldest first."""
        return sorted(
            ((key, own, value) for key, (own, value) in self._entries.items() if own > version),
            key=lambda entry: entry[1],
        )

    def next_horizon(self) -> Version:
        """Up to where what was taken away may be forgotten: the newest stay, as long as there are not twice as many."""
        tombstones = sorted(version for version, value in self._entries.values() if value is None)
        return tombstones[-TOMBSTONES_KEPT - 1] if len(tombstones) > 2 * TOMBSTONES_KEPT else self.horizon

    # ---- repair

    def digests(self) -> list[bytes]:
        """One for each range of keys: equal where two tables hold the same versions of what gateways are sent."""
        hashes = [blake2b(digest_size=8) for _ in range(DIGEST_RANGES)]
        for key in sorted(key for key in self._entries if not key.startswith(CORE_ONLY_PREFIX)):
            version = self._entries[key][0]
            hashes[digest_range(key)].update(cbor2.dumps([key, version[0], version[1]]))
        return [hasher.digest() for hasher in hashes]

    def differing_entries(self, digests: list[bytes]) -> list[Entry]:
        """All entries of the ranges in which the other's digest is another."""
        own = self.digests()
        differing_ranges = {n for n in range(DIGEST_RANGES) if n >= len(digests) or digests[n] != own[n]}
        return gateway_entries(
            (key, version, value)
            for key, (version, value) in self._entries.items()
            if digest_range(key) in differing_ranges
        )


def pack(entries: Iterable[Entry]) -> list[Any]:
    return [[key, version[0], version[1], value] for key, version, value in entries]


def unpack(data: Any) -> list[Entry]:
    return [(str(key), (int(view), int(sequence)), value) for key, view, sequence, value in data]
