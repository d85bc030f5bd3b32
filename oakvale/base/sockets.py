"""Opens listening sockets. Imports little, as a process opens them before it imports its other modules."""

from __future__ import annotations

import socket

from oakvale.base.address import Address


def open_listener(address: Address, backlog: int) -> socket.socket:
    """Opens a non-blocking listening socket. Raises OSError.

    SO_REUSEADDR lets a restarted process bind while connections of the previous one are still in TIME_WAIT.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock
