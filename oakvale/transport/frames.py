"""Frames: four bytes of length, then a `cbor2` array of kind, number and body.

A frame with a number above 0 is a question; its answer has an empty kind and the same number.
"""

from __future__ import annotations

import struct
from typing import Any

import cbor2

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 16 * 1024 * 1024  # bytes; what is longer than a little comes in parts (`links`)

Frame = tuple[str, int, Any]


class BadFrame(Exception):
    """What came is no frame: the connection is of no further use."""


def encode(kind: str, number: int, body: Any) -> bytes:
    data = cbor2.dumps([kind, number, body])
    return LENGTH_PREFIX.pack(len(data)) + data


def decode(buffer: bytearray, max_bytes: int = MAX_FRAME_BYTES) -> list[Frame]:
    """Takes the whole frames off the buffer's front; raises BadFrame."""
    frames: list[Frame] = []
    offset = 0
    while len(buffer) - offset >= LENGTH_PREFIX.size:
        size = LENGTH_PREFIX.unpack_from(buffer, offset)[0]
        if size > max_bytes:
            raise BadFrame(f"{size} bytes")
        if len(buffer) - offset - LENGTH_PREFIX.size < size:
            break
        offset += LENGTH_PREFIX.size
        try:
            kind, number, body = cbor2.loads(bytes(buffer[offset : offset + size]))
        except Exception as error:  # whatever a decoder may raise over foreign bytes
            raise BadFrame(repr(error)) from error
        if not isinstance(kind, str) or not isinstance(number, int):
            raise BadFrame("no kind or number")
        frames.append((kind, number, body))
        offset += size
    del buffer[:offset]
    return frames
