"""The replies of the control API's resources."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import orjson

JSON = (b"content-type", b"application/json")


@dataclass(slots=True, frozen=True)
class Reply:
    """An HTTP reply of a resource method."""

    status: int
    body: bytes = b"{}"
    headers: tuple[tuple[bytes, bytes], ...] = ()


ReplyCallback = Callable[[Reply], None]


def error_reply(status: int, why: str) -> Reply:
    """A reply with a JSON object that gives the reason."""
    return Reply(status, orjson.dumps({"error": why}))


UNCONFIRMED = Reply(503, orjson.dumps({"error": "not known to be kept"}), ((b"retry-after", b"0.2"),))
