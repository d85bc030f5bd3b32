"""A control state, or a change, cut into pieces that fit between heartbeats, each named by what it holds.

No I/O and no clock. A large value is cut by itself, so that its pieces are the same whoever sends it and under whatever
version; small rows are cut by ranges of their keys. What a copy holds of another state need so not be sent again.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import cbor2

from oakvale.dissemination.table import Entry, unpack

PIECE = 16 * 1024  # bytes; 65 ms on 2 Mbit/s
INLINE = 48 * 1024  # bytes that go with a question; what is larger goes in pieces, ahead of it
NAME = 16  # bytes
RANGES = 1 << 16  # of keys, at most

Large = list[Any]  # key, view, place, and the names of its value's pieces, joined


def name_of(piece: bytes) -> bytes:
    return blake2b(piece, digest_size=NAME).digest()


@dataclass(slots=True)
class Cut:
    """`ranges`: of keys, each with its pieces, or 0 where all is one piece."""

    ranges: int
    large: list[Large] = field(default_factory=list)
    small: list[bytes] = field(default_factory=list)  # joined names, range by range
    pieces: dict[bytes, bytes] = field(default_factory=dict)

    def manifest(self) -> list[Any]:
        return [self.ranges, self.large, self.small]

    def add(self, data: bytes, size: int) -> bytes:
        """Gives the joined names of its pieces."""
        names = []
        for at in range(0, len(data), size):
            piece = data[at : at + size]
            names.append(name_of(piece))
            self.pieces[names[-1]] = piece
        return b"".join(names)


def cut(entries: Iterable[Entry], ranges: int | None = None) -> Cut:
    """All of a state. `ranges`: as another cut had it, so that equal pieces have equal names."""
    rows = [(entry, cbor2.dumps([entry[0], *entry[1], entry[2]])) for entry in entries]
    if ranges is None:
        size = sum(len(row) for _, row in rows)
        ranges = 0 if size + 2 <= INLINE else 1
        small = sum(len(row) for _, row in rows if len(row) <= PIECE)
        while ranges and ranges < RANGES and ranges * PIECE < small:
            ranges *= 2
    made = Cut(ranges)
    if not ranges:
        made.small.append(made.add(_listed(row for _, row in rows), INLINE))
        return made
    parted: list[list[bytes]] = [[] for _ in range(ranges)]
    for (key, version, value), row in sorted(rows, key=lambda r: r[0][0]):
        if len(row) > PIECE:
            made.large.append([key, *version, made.add(cbor2.dumps(value), PIECE)])
        else:
            parted[int.from_bytes(blake2b(key.encode(), digest_size=2).digest()) % ranges].append(row)
    made.small = [made.add(_listed(part), PIECE) if part else b"" for part in parted]
    return made


def cut_change(entries: list[Entry]) -> Cut:
    """Large values alone; the rest goes with the change."""
    made = Cut(1)
    for key, version, value in entries:
        packed = cbor2.dumps(value)
        if len(packed) > PIECE:
            made.large.append([key, *version, made.add(packed, PIECE)])
    return made


def size_of(changes: dict[str, Any]) -> int:
    return len(cbor2.dumps(changes))


def _listed(rows: Iterable[bytes]) -> bytes:
    return b"\x9f" + b"".join(rows) + b"\xff"  # an array that says where it ends


def named(joined: bytes) -> list[bytes]:
    return [joined[at : at + NAME] for at in range(0, len(joined), NAME)]


def names(manifest: Any) -> list[bytes]:
    """Of all pieces that it takes; each once."""
    _, large, small = manifest
    return list(dict.fromkeys(name for joined in [*(row[3] for row in large), *small] for name in named(joined)))


def lacking(manifest: Any, held: Mapping[bytes, bytes]) -> list[bytes]:
    return [name for name in names(manifest) if name not in held]


def join(manifest: Any, held: Mapping[bytes, bytes]) -> list[Entry]:
    """The entries; raises KeyError where a piece is not there."""
    _, large, small = manifest
    entries = [(str(key), (int(view), int(place)), _whole(joined, held)) for key, view, place, joined in large]
    for joined in filter(None, small):
        entries += unpack(_whole(joined, held))
    return entries


def _whole(joined: bytes, held: Mapping[bytes, bytes]) -> Any:
    return cbor2.loads(b"".join(held[name] for name in named(joined)))
