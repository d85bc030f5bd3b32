"""The target of a load run: plain HTTP on this machine's loopback, nothing else."""

from __future__ import annotations

import ipaddress
import socket
from dataclasses import dataclass
from urllib.parse import urlsplit


class BadTarget(Exception):
    """One line: what is wrong with the URL."""


@dataclass(slots=True, frozen=True)
class Target:
    ip: str  # looked up once and checked: a name can't lead elsewhere later
    port: int
    host: str  # as the Host header has it
    path: str


def target(url: str, host: str | None = None) -> Target:
    try:
        parts = urlsplit(url)
        port = parts.port or 80
    except ValueError as error:
        raise BadTarget(f"{url}: {error}") from error
    if parts.scheme != "http" or not parts.hostname or parts.username is not None:
        raise BadTarget(f"{url}: not a URL such as http://127.0.0.1:8080/path")
    try:
        found = {str(entry[4][0]) for entry in socket.getaddrinfo(parts.hostname, port, type=socket.SOCK_STREAM)}
    except OSError as error:
        raise BadTarget(f"{url}: {parts.hostname} can't be looked up: {error.strerror}") from error
    for ip in sorted(found):
        if not ipaddress.ip_address(ip.partition("%")[0]).is_loopback:
            raise BadTarget(f"{url}: {ip} is not on loopback, and load goes nowhere else")
    path = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
    if any(ord(c) <= 32 or ord(c) > 126 for c in path):
        raise BadTarget(f"{url}: the path has a character that needs escaping")
    return Target(min(found, key=lambda ip: (":" in ip, ip)), port, host or parts.netloc, path)
