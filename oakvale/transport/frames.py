"""Frames: four bytes of length, then a `cbor2` array of kind, number and body.

A frame with a number above 0 is a question; its answer has an empty kind and the same number.
"""

from __future__ import annotations

import struct
from typing import Any

import cbor2

LENGTH = struct.Struct(">I")
LONGEST = 16 * 1024 * 1024  # bytes; what is longer than a little comes in parts (`links`)

Frame = tuple[str, int, Any]


class BadFrame(Exception):
    """What came is no frame: the connection is of no further use."""


def encode(kind: str, number: int, body: Any) -> bytes:
    data = cbor2.dumps([kind, number, body])
    return LENGTH.pack(len(data)) + data


def decode(buffer: bytearray, longest: int = LONGEST) -> list[Frame]:
    """Takes the whole frames off the buffer's front; raises BadFrame."""
    frames: list[Frame] = []
    at = 0
    while len(buffer) - at >= LENGTH.size:
        size = LENGTH.unpack_from(buffer, at)[0]
        if size > longest:
            raise BadFrame(f"{size} bytes")
        if len(buffer) - at - LENGTH.size < size:
            break
        at += LENGTH.size
        try:
            kind, number, body = cbor2.loads(bytes(buffer[at : at + size]))
        except Exception as error:  # whatever a decoder may raise over foreign bytes
            raise BadFrame(repr(error)) from error
        if not isinstance(kind, str) or not isinstance(number, int):
            raise BadFrame("no kind or number")
        frames.append((kind, number, body))
        at += size
    del buffer[:at]
    return frames
