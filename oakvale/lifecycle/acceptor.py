"""Accepting connections: a listening socket and its coroutine, which hands each connection to an owner."""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Callable

from oakvale.base import sockets
from oakvale.base.loop import READ, Coroutine, Loop, Priority
from oakvale.base.net import Sock
from oakvale.wire.clients import ClientConnection, Owner
from oakvale.wire.tcp import enable_receive_timestamps

log = logging.getLogger(__name__)


def open_listener(address: tuple[str, int], backlog: int) -> socket.socket:
    """Opens a listening socket whose connections receive kernel timestamps of arriving data. Raises OSError."""
    sock = sockets.open_listener(address, backlog)
    enable_receive_timestamps(sock)
    return sock


class Acceptor:
    """Accepts connections for an owner, up to its limit of clients."""

    def __init__(self, owner: Owner, listener: Sock, loop: Loop, ready: Callable[[], bool] = lambda: True) -> None:
        """Connections wait in the backlog until `ready` returns true, at most for `limits.unready`."""
        self.owner, self.loop, self.listener, self._is_ready = owner, loop, listener, ready
        self._out_of_room = False
        self.task = loop.start(self._accept(), listener.fileno(), Priority.CLIENT)

    def _accept(self) -> Coroutine:
        """Accepts a bounded number of connections per turn.

        At the limit, the client that has been idle longest is closed to make room. Without one, new connections stay
        in the backlog for `limits.accept_pause`, so that a failing accept does not cause a busy loop.
        """
        limits = self.owner.limits
        try:
            latest = self.loop.now + limits.unready
            while not self._is_ready() and self.loop.now < latest:
                yield 0, self.loop.now + limits.accept_pause // 2
            while True:
                yield READ, 0
                try:
                    for _ in range(limits.accepts):
                        if not self.accept_one():
                            break
                    self._out_of_room = False
                except OSError as error:
                    if not self._out_of_room:  # logged once until an accept succeeds again
                        log.warning("new clients wait", extra={"why": str(error)})
                    self._out_of_room = True
                    yield 0, self.loop.now + limits.accept_pause
        finally:
            self.listener.close()

    def accept_one(self) -> bool:
        """Accepts one connection; returns False if none is waiting. Raises OSError if there is no room."""
        clients = self.owner.clients
        full = len(clients.all) >= self.owner.limits.clients
        if full and not clients.can_evict():
            raise OSError(errno.EMFILE, "client limit reached and no client is idle")
        try:
            sock, _ = self.listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return False
        if full:
            clients.evict_one(self.loop.now)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # the client has already disconnected
            sock.close()
            return True
        ClientConnection(self.owner, sock)
        return True
