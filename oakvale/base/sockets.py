"""Listening sockets, with nothing else: they are opened before the rest of a program is even read."""

from __future__ import annotations

import socket

from oakvale.base.address import Address


def open_listener(address: Address, backlog: int) -> socket.socket:
    """Bound at once after a kill, though connections of the life before may linger. Raises OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock
