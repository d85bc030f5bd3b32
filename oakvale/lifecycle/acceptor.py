"""Accepting: a listening socket and its coroutine. Each connection it takes belongs to the owner it is given."""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Callable

from oakvale.base import sockets
from oakvale.base.loop import READ, Coroutine, Loop, Rank
from oakvale.base.net import Sock
from oakvale.wire.clients import ClientConnection, Owner
from oakvale.wire.tcp import enable_receive_timestamps

log = logging.getLogger(__name__)


def listening(address: tuple[str, int], backlog: int) -> socket.socket:
    """A listening socket whose connections have their arrivals stamped. Raises OSError."""
    sock = sockets.listening(address, backlog)
    enable_receive_timestamps(sock)
    return sock


class Acceptor:
    def __init__(self, owner: Owner, listener: Sock, loop: Loop, ready: Callable[[], bool] = lambda: True) -> None:
        """Connections wait in the backlog until `ready`, but not longer than `limits.unready`."""
        self.owner, self.loop, self.listener, self._ready = owner, loop, listener, ready
        self._full = False
        self.task = loop.start(self._accept(), listener.fileno(), Rank.CLIENT)

    def _accept(self) -> Coroutine:
        """Takes what has come, so many a turn. With no descriptor left the longest idle client makes room, or
        else new ones stay in the backlog for a moment: a failing accept never spins."""
        limits = self.owner.limits
        try:
            latest = self.loop.now + limits.unready
            while not self._ready() and self.loop.now < latest:
                yield 0, self.loop.now + limits.accept_pause // 2
            while True:
                yield READ, 0
                try:
                    for _ in range(limits.accepts):
                        if not self.accept_one():
                            break
                    self._full = False
                except OSError as error:
                    if not self._full:  # once, however long it lasts
                        log.warning("new clients wait", extra={"why": str(error)})
                    self._full = True
                    yield 0, self.loop.now + limits.accept_pause
        finally:
            self.listener.close()

    def accept_one(self) -> bool:
        """False when nobody waits; raises OSError when there is no room."""
        clients = self.owner.clients
        full = len(clients.all) >= self.owner.limits.clients
        if full and not clients.can_evict():
            raise OSError(errno.EMFILE, "as many clients as may be, none idle")
        try:
            sock, _ = self.listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return False
        if full:
            clients.evict_one(self.loop.now)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # it has gone already
            sock.close()
            return True
        ClientConnection(self.owner, sock)
        return True
