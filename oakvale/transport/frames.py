"""Wire format: a four-byte length, then a `cbor2` array of kind, number and body.

A frame with a number above 0 is a request; its response has an empty kind and the same number.
"""

from __future__ import annotations

import struct
from typing import Any

import cbor2

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 16 * 1024 * 1024  # `links` splits frames far below this limit

Frame = tuple[str, int, Any]


class BadFrame(Exception):
    """Received data is not a valid frame; the connection cannot be used any further."""


def encode(kind: str, number: int, body: Any) -> bytes:
    """The bytes of one frame, with its length prefix."""
    data = cbor2.dumps([kind, number, body])
    return LENGTH_PREFIX.pack(len(data)) + data


def decode(buffer: bytearray, max_bytes: int = MAX_FRAME_BYTES) -> list[Frame]:
    """Removes all complete frames from the front of the buffer and returns them; raises BadFrame."""
    frames: list[Frame] = []
    offset = 0
    while len(buffer) - offset >= LENGTH_PREFIX.size:
        size = LENGTH_PREFIX.unpack_from(buffer, offset)[0]
        if size > max_bytes:
            raise BadFrame(f"frame of {size} bytes exceeds the limit of {max_bytes} bytes")
        if len(buffer) - offset - LENGTH_PREFIX.size < size:
            break
        offset += LENGTH_PREFIX.size
        try:
            kind, number, body = cbor2.loads(bytes(buffer[offset : offset + size]))
        except Exception as error:  # the decoder may raise anything on untrusted bytes
            raise BadFrame(repr(error)) from error
        if not isinstance(kind, str) or not isinstance(number, int):
            raise BadFrame("frame kind is not a string or frame number is not an integer")
        frames.append((kind, number, body))
        offset += size
    del buffer[:offset]
    return frames
