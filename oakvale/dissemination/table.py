"""The table of state entries: keys with values and versions. Each entry only moves to newer versions.

No I/O and no clock. A version is the number of the view in which an entry was made and a sequence number within that
view. A deleted entry stays as a tombstone, with the value None, so that the deletion can be disseminated. Tombstones
are dropped up to the compaction horizon; a subscriber whose table ends below it is sent the complete table. The horizon
is an entry itself, so that all tables that hold it have dropped the same tombstones.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from itertools import chain
from typing import Any

import cbor2

Version = tuple[int, int]
Entry = tuple[str, Version, Any]

DIGEST_RANGES = 16
NO_VERSION: Version = (0, 0)
TOMBSTONES_KEPT = 500  # the newest tombstones, which compaction never drops
CONFIG_DIGEST_PREFIX = "taken/"  # keys of remembered digests of configurations
COORDINATION_PREFIX = "coordination/"  # keys of locks, counters, cells and events of applications
CORE_ONLY_PREFIXES = (CONFIG_DIGEST_PREFIX, COORDINATION_PREFIX)  # entries that are never sent to gateways
COMPRESSION_LEVEL = 1
MAX_DECOMPRESSED_BYTES = 256 * 1024 * 1024
HORIZON_KEY = "floor"  # key of the entry that raises the compaction horizon; its value is a version


def is_core_only(key: str) -> bool:
    """Whether gateways are never sent this key."""
    return key.startswith(CORE_ONLY_PREFIXES)


def gateway_entries(entries: Iterable[Entry]) -> list[Entry]:
    """The entries that are sent to gateways, without those of core machines alone."""
    return [entry for entry in entries if not is_core_only(entry[0])]


def digest_range(key: str) -> int:
    """The range of keys whose digest covers this key."""
    return blake2b(key.encode(), digest_size=1).digest()[0] % DIGEST_RANGES


class Table:
    """Versioned entries by key, tombstones included."""

    def __init__(self) -> None:
        self._entries: dict[str, tuple[Version, Any]] = {}  # those that gateways hold too
        self._core_only: dict[str, tuple[Version, Any]] = {}
        self.highest_version = NO_VERSION  # the newest version seen
        self.highest_gateway_version = NO_VERSION  # that of entries that gateways hold too
        self.horizon = NO_VERSION  # tombstones up to here have been dropped
        self.gateway_revision = 0  # differs whenever the entries that gateways hold do

    def _part(self, key: str) -> dict[str, tuple[Version, Any]]:
        """The entries among which this key belongs."""
        return self._core_only if is_core_only(key) else self._entries

    def _all(self) -> Iterator[tuple[str, tuple[Version, Any]]]:
        return chain(self._entries.items(), self._core_only.items())

    def get(self, key: str) -> Any:
        """The value of a key; None if it is absent or deleted."""
        found = self._part(key).get(key)
        return found[1] if found else None

    def version(self, key: str) -> Version:
        """The version of an entry or tombstone; NO_VERSION if the key is unknown."""
        found = self._part(key).get(key)
        return found[0] if found else NO_VERSION

    def items(self, prefix: str) -> list[tuple[str, Any]]:
        """Existing keys that start with the prefix, without it, and their values."""
        candidates: Iterable[tuple[str, tuple[Version, Any]]] = self._part(prefix).items()
        if any(core_only.startswith(prefix) for core_only in CORE_ONLY_PREFIXES):
            candidates = self._all()
        return [
            (key[len(prefix) :], value)
            for key, (_, value) in candidates
            if value is not None and key.startswith(prefix)
        ]

    def live_keys(self) -> set[str]:
        """Keys of all entries that are not deleted."""
        return {key for key, (_, value) in self._all() if value is not None}

    def put(self, entries: Iterable[Entry]) -> list[str]:
        """Applies the entries that are newer than the held ones; returns their keys and those of dropped tombstones."""
        changed = []
        for key, version, value in entries:
            part = self._part(key)
            if version > self.version(key) and (value is not None or version > self.horizon or key in part):
                part[key] = (version, value)
                changed.append(key)
                self.gateway_revision += part is self._entries
            self.highest_version = max(self.highest_version, version)
            if part is self._entries:
                self.highest_gateway_version = max(self.highest_gateway_version, version)
        horizon = self.get(HORIZON_KEY) if HORIZON_KEY in changed else None
        if horizon is not None:
            self.horizon = max(self.horizon, (int(horizon[0]), int(horizon[1])))
        if horizon is not None or any(self.get(key) is None and self.version(key) <= self.horizon for key in changed):
            changed += self._compact()
        return changed

    def _compact(self) -> list[str]:
        removed = [key for key, (version, value) in self._all() if value is None and version <= self.horizon]
        self._remove(removed)
        return removed

    def _remove(self, keys: list[str]) -> None:
        for key in keys:
            del self._part(key)[key]
        self.gateway_revision += bool(keys)

    def replace_all(self, entries: list[Entry], horizon: Version) -> list[str]:
        """Applies a sender's complete table: entries that it lacks and that are not newer than it are removed."""
        sent = {key for key, _, _ in entries}
        newest = max((version for _, version, _ in entries), default=NO_VERSION)
        removed = [key for key, (version, value) in self._all() if key not in sent and version <= max(newest, horizon)]
        self._remove(removed)
        changed = self.put(entries)
        self.horizon = max(self.horizon, horizon)
        return [*removed, *changed]

    def since(self, version: Version) -> list[Entry]:
        """Entries newer than a version, oldest first, tombstones included."""
        return sorted(
            ((key, entry_version, value) for key, (entry_version, value) in self._all() if entry_version > version),
            key=lambda entry: entry[1],
        )

    def next_horizon(self) -> Version:
        """The horizon to compact to: once there are over twice TOMBSTONES_KEPT tombstones, the newest ones remain."""
        tombstones = sorted(version for _, (version, value) in self._all() if value is None)
        return tombstones[-TOMBSTONES_KEPT - 1] if len(tombstones) > 2 * TOMBSTONES_KEPT else self.horizon

    # ---- repair

    def digests(self) -> list[bytes]:
        """One digest per range of keys; equal if two tables hold the same versions of the entries sent to gateways."""
        hashes = [blake2b(digest_size=8) for _ in range(DIGEST_RANGES)]
        for key in sorted(self._entries):
            version = self._entries[key][0]
            hashes[digest_range(key)].update(cbor2.dumps([key, version[0], version[1]]))
        return [hasher.digest() for hasher in hashes]

    def differing_entries(self, digests: list[bytes]) -> list[Entry]:
        """All gateway entries of the key ranges whose digest differs from that of the other table."""
        own_digests = self.digests()
        differing_ranges = {n for n in range(DIGEST_RANGES) if n >= len(digests) or digests[n] != own_digests[n]}
        if not differing_ranges:
            return []
        return [
            (key, version, value)
            for key, (version, value) in self._entries.items()
            if digest_range(key) in differing_ranges
        ]


def pack(entries: Iterable[Entry]) -> list[Any]:
    """Entries in the form in which they are sent."""
    return [[key, version[0], version[1], value] for key, version, value in entries]


class BadEntries(Exception):
    """Received entries cannot be read."""


@dataclass(slots=True, frozen=True)
class PackedEntries:
    """Entries in the forms in which they may be sent."""

    plain: list[Any]
    compressed: bytes | None  # None if they are few


def pack_compressed(entries: Iterable[Entry], min_bytes: int) -> PackedEntries:
    """Packs entries, and compresses them if they have more than `min_bytes`."""
    plain = pack(entries)
    data = cbor2.dumps(plain) if plain else b""
    return PackedEntries(plain, zlib.compress(data, COMPRESSION_LEVEL) if len(data) > min_bytes else None)


def _decompress(data: bytes) -> Any:
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise BadEntries(str(error)) from error
    if not decompressor.eof:
        raise BadEntries(f"cut short, or more than {MAX_DECOMPRESSED_BYTES} bytes")
    return cbor2.loads(decompressed)


def unpack(data: Any) -> list[Entry]:
    """Entries from either form in which they are sent. Raises BadEntries."""
    if isinstance(data, bytes):
        data = _decompress(data)
    return [(str(key), (int(view), int(sequence)), value) for key, view, sequence, value in data]
