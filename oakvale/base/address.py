"""Where something listens, as it is written and as sockets take it."""

from __future__ import annotations

import re
from typing import Any

Address = tuple[str, int]
PORT = re.compile(r"[0-9]{1,5}")


def parse_address(text: Any) -> Address | None:
    """`host:port`, or None for what is not."""
    host, _, port = str(text or "").rpartition(":")
    return (host, int(port)) if host and PORT.fullmatch(port) and 0 < int(port) < 65536 else None


def format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
