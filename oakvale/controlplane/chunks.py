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

MAX_CHUNK_BYTES = 16 * 1024  # bytes; 65 ms on 2 Mbit/s
MAX_INLINE_BYTES = 48 * 1024  # bytes that go with a question; what is larger goes in pieces, ahead of it
DIGEST_BYTES = 16  # bytes
MAX_KEY_RANGES = 1 << 16  # of keys, at most

LargeRow = list[Any]  # key, view, place, and the names of its value's pieces, joined


def chunk_digest(piece: bytes) -> bytes:
    return blake2b(piece, digest_size=DIGEST_BYTES).digest()


@dataclass(slots=True)
class ChunkedState:
    """`ranges`: of keys, each with its pieces, or 0 where all is one piece."""

    ranges: int
    large: list[LargeRow] = field(default_factory=list)
    small: list[bytes] = field(default_factory=list)  # joined names, range by range
    chunks: dict[bytes, bytes] = field(default_factory=dict)

    def manifest(self) -> list[Any]:
        return [self.ranges, self.large, self.small]

    def add(self, data: bytes, size: int) -> bytes:
        """Gives the joined names of its pieces."""
        chunk_digests = []
        for at in range(0, len(data), size):
            piece = data[at : at + size]
            chunk_digests.append(chunk_digest(piece))
            self.chunks[chunk_digests[-1]] = piece
        return b"".join(chunk_digests)


def split_state(entries: Iterable[Entry], ranges: int | None = None) -> ChunkedState:
    """All of a state. `ranges`: as another cut had it, so that equal pieces have equal names."""
    rows = [(entry, cbor2.dumps([entry[0], *entry[1], entry[2]])) for entry in entries]
    if ranges is None:
        size = sum(len(row) for _, row in rows)
        ranges = 0 if size + 2 <= MAX_INLINE_BYTES else 1
        small = sum(len(row) for _, row in rows if len(row) <= MAX_CHUNK_BYTES)
        while ranges and ranges < MAX_KEY_RANGES and ranges * MAX_CHUNK_BYTES < small:
            ranges *= 2
    made = ChunkedState(ranges)
    if not ranges:
        made.small.append(made.add(_listed(row for _, row in rows), MAX_INLINE_BYTES))
        return made
    parted: list[list[bytes]] = [[] for _ in range(ranges)]
    for (key, version, value), row in sorted(rows, key=lambda r: r[0][0]):
        if len(row) > MAX_CHUNK_BYTES:
            made.large.append([key, *version, made.add(cbor2.dumps(value), MAX_CHUNK_BYTES)])
        else:
            parted[int.from_bytes(blake2b(key.encode(), digest_size=2).digest()) % ranges].append(row)
    made.small = [made.add(_listed(part), MAX_CHUNK_BYTES) if part else b"" for part in parted]
    return made


def split_change(entries: list[Entry]) -> ChunkedState:
    """Large values alone; the rest goes with the change."""
    made = ChunkedState(1)
    for key, version, value in entries:
        packed = cbor2.dumps(value)
        if len(packed) > MAX_CHUNK_BYTES:
            made.large.append([key, *version, made.add(packed, MAX_CHUNK_BYTES)])
    return made


def encoded_size(changes: dict[str, Any]) -> int:
    return len(cbor2.dumps(changes))


def _listed(rows: Iterable[bytes]) -> bytes:
    return b"\x9f" + b"".join(rows) + b"\xff"  # an array that says where it ends


def split_digests(joined: bytes) -> list[bytes]:
    return [joined[at : at + DIGEST_BYTES] for at in range(0, len(joined), DIGEST_BYTES)]


def chunk_digests(manifest: Any) -> list[bytes]:
    """Of all pieces that it takes; each once."""
    _, large, small = manifest
    return list(
        dict.fromkeys(name for joined in [*(row[3] for row in large), *small] for name in split_digests(joined))
    )


def missing_digests(manifest: Any, held: Mapping[bytes, bytes]) -> list[bytes]:
    return [name for name in chunk_digests(manifest) if name not in held]


def join_chunks(manifest: Any, held: Mapping[bytes, bytes]) -> list[Entry]:
    """The entries; raises KeyError where a piece is not there."""
    _, large, small = manifest
    entries = [(str(key), (int(view), int(place)), _whole(joined, held)) for key, view, place, joined in large]
    for joined in filter(None, small):
        entries += unpack(_whole(joined, held))
    return entries


def _whole(joined: bytes, held: Mapping[bytes, bytes]) -> Any:
    return cbor2.loads(b"".join(held[name] for name in split_digests(joined)))
