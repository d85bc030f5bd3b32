"""Addresses: parsing and formatting of `host:port`."""

from __future__ import annotations

import re
from typing import Any

Address = tuple[str, int]
PORT_PATTERN = re.compile(r"[0-9]{1,5}")


def parse_address(text: Any) -> Address | None:
    """Parses `host:port`; returns None if the text is anything else."""
    host, _, port = str(text or "").rpartition(":")
    return (host, int(port)) if host and PORT_PATTERN.fullmatch(port) and 0 < int(port) < 65536 else None


def format_address(address: Address) -> str:
    """Formats an address as `host:port`."""
    return f"{address[0]}:{address[1]}"
