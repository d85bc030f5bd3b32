"""Splits a control state, or a change, into chunks small enough to be sent between heartbeats, each named by its
digest.

This module does no I/O and reads no clock. A large value is split on its own, so that its chunks are the same whoever
sends it and whatever its version. Small rows are grouped by ranges of their hashed keys. A chunk that a copy holds,
also of another state, need not be sent again.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import cbor2

from oakvale.dissemination.table import Entry, unpack

MAX_CHUNK_BYTES = 16 * 1024  # takes 65 ms on a link of 2 Mbit/s
MAX_INLINE_BYTES = 48 * 1024  # in one request; larger states and changes are sent as chunks before it
DIGEST_BYTES = 16
MAX_KEY_RANGES = 1 << 16

LargeRow = list[Any]  # key, view, sequence, and the concatenated digests of its value's chunks


def chunk_digest(chunk: bytes) -> bytes:
    """The digest that names a chunk."""
    return blake2b(chunk, digest_size=DIGEST_BYTES).digest()


@dataclass(slots=True)
class ChunkedState:
    """Chunks, and the manifest that says how they make up the entries. `ranges` is the number of key ranges, or 0 if
    all entries are in a single chunk."""

    ranges: int
    large: list[LargeRow] = field(default_factory=list)
    small: list[bytes] = field(default_factory=list)  # concatenated digests, range by range
    chunks: dict[bytes, bytes] = field(default_factory=dict)

    def manifest(self) -> list[Any]:
        """What a receiver needs to find missing chunks and to join them."""
        return [self.ranges, self.large, self.small]

    def add(self, data: bytes, size: int) -> bytes:
        """Splits data into chunks, and returns their digests, concatenated."""
        digests = []
        for offset in range(0, len(data), size):
            chunk = data[offset : offset + size]
            digests.append(chunk_digest(chunk))
            self.chunks[digests[-1]] = chunk
        return b"".join(digests)


def split_state(entries: Iterable[Entry], ranges: int | None = None) -> ChunkedState:
    """Splits a whole state. Pass the `ranges` of another split to get equal digests for equal chunks."""
    rows = [(entry, cbor2.dumps([entry[0], *entry[1], entry[2]])) for entry in entries]
    if ranges is None:
        size = sum(len(row) for _, row in rows)
        ranges = 0 if size + 2 <= MAX_INLINE_BYTES else 1
        small = sum(len(row) for _, row in rows if len(row) <= MAX_CHUNK_BYTES)
        while ranges and ranges < MAX_KEY_RANGES and ranges * MAX_CHUNK_BYTES < small:
            ranges *= 2
    chunked = ChunkedState(ranges)
    if not ranges:
        chunked.small.append(chunked.add(_encode_rows(row for _, row in rows), MAX_INLINE_BYTES))
        return chunked
    rows_by_range: list[list[bytes]] = [[] for _ in range(ranges)]
    for (key, version, value), row in sorted(rows, key=lambda r: r[0][0]):
        if len(row) > MAX_CHUNK_BYTES:
            chunked.large.append([key, *version, chunked.add(cbor2.dumps(value), MAX_CHUNK_BYTES)])
        else:
            rows_by_range[int.from_bytes(blake2b(key.encode(), digest_size=2).digest()) % ranges].append(row)
    chunked.small = [
        chunked.add(_encode_rows(range_rows), MAX_CHUNK_BYTES) if range_rows else b"" for range_rows in rows_by_range
    ]
    return chunked


def split_change(entries: list[Entry]) -> ChunkedState:
    """Splits only the large values of a change; small ones are sent with the change itself."""
    chunked = ChunkedState(1)
    for key, version, value in entries:
        packed = cbor2.dumps(value)
        if len(packed) > MAX_CHUNK_BYTES:
            chunked.large.append([key, *version, chunked.add(packed, MAX_CHUNK_BYTES)])
    return chunked


def encoded_size(changes: dict[str, Any]) -> int:
    """The size of a change in bytes."""
    return len(cbor2.dumps(changes))


def _encode_rows(rows: Iterable[bytes]) -> bytes:
    return b"\x9f" + b"".join(rows) + b"\xff"  # a CBOR array of indefinite length


def split_digests(digests: bytes) -> list[bytes]:
    """The digests in a concatenation of them."""
    return [digests[offset : offset + DIGEST_BYTES] for offset in range(0, len(digests), DIGEST_BYTES)]


def chunk_digests(manifest: Any) -> list[bytes]:
    """The digests of all chunks in a manifest, without duplicates."""
    _, large, small = manifest
    return list(
        dict.fromkeys(digest for digests in [*(row[3] for row in large), *small] for digest in split_digests(digests))
    )


def missing_digests(manifest: Any, held: Mapping[bytes, bytes]) -> list[bytes]:
    """The digests of a manifest that are not held."""
    return [digest for digest in chunk_digests(manifest) if digest not in held]


def join_chunks(manifest: Any, held: Mapping[bytes, bytes]) -> list[Entry]:
    """Restores the entries of a manifest. Raises KeyError if a chunk is missing."""
    _, large, small = manifest
    entries = [
        (str(key), (int(view), int(sequence)), _decode_joined(digests, held)) for key, view, sequence, digests in large
    ]
    for digests in filter(None, small):
        entries += unpack(_decode_joined(digests, held))
    return entries


def _decode_joined(digests: bytes, held: Mapping[bytes, bytes]) -> Any:
    return cbor2.loads(b"".join(held[digest] for digest in split_digests(digests)))
