"""HTTP/1.1 messages on asyncio streams, as far as a soak's backends and clients need them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Head:
    """The head of a request or an answer; names of fields are in lower case."""

    first: str
    fields: dict[str, str]

    @property
    def target(self) -> str:
        """Of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        """Of an answer."""
        return int(self.first.split(" ")[1])

    @property
    def content_length(self) -> int:
        """The declared length of the body; 0 if there is none."""
        return int(self.fields.get("content-length") or 0)


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """The next head; None if the connection ended before it."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = text[:-4].split("\r\n")
    return Head(first, {name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)})
