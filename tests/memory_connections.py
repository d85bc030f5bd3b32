"""In-memory replacements for sockets, listeners and epoll: the program holds one end of a connection, a test the other.

The test decides how much a socket buffer takes, when the end of sending or a reset becomes visible, and what a reset
destroys. Nothing blocks, and time passes only on the test's clock.
"""

from __future__ import annotations

import errno
import os
import random
import select
import socket
from collections.abc import Callable, Iterable
from typing import Any

from oakvale.base.net import Net

IN, OUT, ERR, HUP, RDHUP = select.EPOLLIN, select.EPOLLOUT, select.EPOLLERR, select.EPOLLHUP, select.EPOLLRDHUP
UNLIMITED_BYTES = 1 << 30


def os_error(code: int) -> OSError:
    return OSError(code, os.strerror(code)) if code != errno.EAGAIN else BlockingIOError(code, "would wait")


class MemoryConnection:
    """The program's end of a connection, and the methods by which the test acts as its peer."""

    def __init__(self, net: MemoryNet) -> None:
        self.net, self.fd = net, net.next_fd()
        self.unread = bytearray()  # delivered by the peer, not yet read by the program
        self.in_transit = bytearray()  # written by the program, not yet read by the peer
        self.received = bytearray()  # everything the peer has read
        self.capacity_bytes = UNLIMITED_BYTES  # the kernel takes this much before the peer reads
        self.connected = self.refused = False
        self.peer_sending_ended = self.own_sending_ended = False  # a FIN was sent in this direction
        self.broken = False  # refused or reset
        self.closed = False  # by the program
        self.peer_closed = False  # what the program writes now is answered by a reset
        self.reset_by_program = False
        self.reset_on_close = False  # SO_LINGER was set
        self.pending_error = 0  # errno that the next system call reports
        self.bytes_read = 0  # by the program, without those that it discarded by MSG_TRUNC
        self.on_send: Callable[[bytes, int], None] = lambda data, count: None
        self.on_close: Callable[[], None] = lambda: None

    # ---- the program's end

    def fileno(self) -> int:
        return self.fd

    def ready_mask(self) -> int:
        """The events that epoll would report."""
        if self.broken:
            return IN | OUT | RDHUP | HUP | (ERR if self.pending_error else 0)
        if not self.connected:
            return 0
        mask = OUT if self.capacity_bytes > len(self.in_transit) else 0
        if self.peer_sending_ended:
            return mask | IN | RDHUP | (HUP if self.own_sending_ended else 0)
        return mask | (IN if self.unread else 0)

    def connect_ex(self, address: Any, /) -> int:
        self.net.connect_handlers[address](self)
        if self.refused:
            self.broken, self.pending_error = True, errno.ECONNREFUSED
        return errno.EINPROGRESS

    def accept(self) -> tuple[Any, Any]:
        raise os_error(errno.EINVAL)

    def send(self, data: Any, flags: int = 0, /) -> int:
        self._raise_pending_error()
        if self.own_sending_ended or self.broken:
            raise os_error(errno.EPIPE)
        count = min(len(data), self.capacity_bytes - len(self.in_transit))
        if count <= 0 or not self.connected:
            raise os_error(errno.EAGAIN)
        if self.peer_closed:
            self.broken, self.pending_error = True, errno.ECONNRESET
        else:
            self.in_transit += data[:count]
        self.on_send(bytes(data), count)
        return count

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        if self.unread:
            data = bytes(self.unread[:size])
            if not flags & socket.MSG_PEEK:
                self.bytes_read += len(data)
                del self.unread[:size]
            return data
        self._raise_pending_error()
        if self.peer_sending_ended or self.broken:
            return b""
        raise os_error(errno.EAGAIN)

    def recv_into(self, buffer: Any, size: int = 0, flags: int = 0) -> int:
        data = self.recv(size or len(buffer), flags & ~socket.MSG_TRUNC)
        if flags & socket.MSG_TRUNC:
            self.bytes_read -= len(data)
        else:
            buffer[: len(data)] = data
        return len(data)

    def recvmsg_into(
        self, buffers: Iterable[Any], ancillary: int = 0, flags: int = 0, /
    ) -> tuple[int, list[tuple[int, int, bytes]], int, Any]:
        return self.recv_into(next(iter(buffers))), [], 0, None

    def _raise_pending_error(self) -> None:
        if self.pending_error:
            code, self.pending_error = self.pending_error, 0
            raise os_error(code)

    def getsockopt(self, level: int, option: int, /) -> int:
        code, self.pending_error = self.pending_error, 0
        return code

    def setsockopt(self, level: int, option: int, value: Any, /) -> None:
        self.reset_on_close = self.reset_on_close or (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER)

    def getsockname(self) -> Any:
        return ("10.0.0.1", self.fd)

    def setblocking(self, flag: bool, /) -> None:
        pass

    def shutdown(self, how: int, /) -> None:
        if not self.connected or self.broken:
            raise os_error(errno.ENOTCONN)
        self.own_sending_ended = True

    def close(self) -> None:
        if self.closed:
            return
        self.closed = self.own_sending_ended = True
        self.on_close()
        self.net.forget(self.fd)
        # Closing a socket that holds unread input sends a reset, which destroys data in transit.
        if (self.unread or self.reset_on_close) and not self.broken:
            self.reset_by_program = True
            self.in_transit.clear()

    # ---- the peer's end, for the test

    def deliver(self, data: bytes) -> None:
        """Sends data to the program."""
        if self.closed and data and not self.broken:
            self.reset_by_program = True
            self.in_transit.clear()
        elif not self.broken and not self.peer_sending_ended:
            self.unread += data

    def read(self) -> bytes:
        """Reads what the program has sent, and returns everything received so far."""
        self.received += self.in_transit
        self.in_transit.clear()
        return bytes(self.received)

    def end_sending(self) -> None:
        """Half-closes: sends a FIN and goes on reading."""
        self.peer_sending_ended = True

    def close_peer(self) -> None:
        """Closes the peer's end: whatever the program writes afterwards is answered by a reset."""
        self.peer_sending_ended = self.peer_closed = True

    def reset(self) -> None:
        if not self.broken and not self.closed:
            self.broken, self.pending_error = True, errno.ECONNRESET


class MemoryListener:
    """A listening socket; the test appends connections to `queue`."""

    def __init__(self, net: MemoryNet) -> None:
        self.net, self.fd = net, net.next_fd()
        self.queue: list[MemoryConnection] = []
        self.closed = False

    def fileno(self) -> int:
        return self.fd

    def ready_mask(self) -> int:
        return IN if self.queue else 0

    def accept(self) -> tuple[Any, Any]:
        if not self.queue:
            raise os_error(errno.EAGAIN)
        return self.queue.pop(0), ("10.0.0.9", 1)

    def close(self) -> None:
        self.closed = True
        self.net.forget(self.fd)


class MemoryPoller:
    """epoll over the endpoints of a `MemoryNet`, level-triggered; it never waits."""

    def __init__(self, net: MemoryNet) -> None:
        self._net, self._masks = net, dict[int, int]()

    def register(self, fd: int, mask: int, /) -> None:
        assert fd not in self._masks
        self._masks[fd] = mask

    def modify(self, fd: int, mask: int, /) -> None:
        assert fd in self._masks
        self._masks[fd] = mask

    def unregister(self, fd: int, /) -> None:
        self._masks.pop(fd)

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        found = []
        for fd, mask in list(self._masks.items()):
            endpoint = self._net.endpoints.get(fd)
            if endpoint is None:
                del self._masks[fd]  # epoll drops a descriptor when it is closed
            elif flags := endpoint.ready_mask() & (mask | ERR | HUP):
                found.append((fd, flags))
        return found

    def close(self) -> None:
        self._masks.clear()


class MemoryNet(Net):
    """The network of a test; `connect_handlers` maps an address to what is done with a new connection to it.

    Connecting to an address without a handler raises KeyError.
    """

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.endpoints: dict[int, Any] = {}
        self.connect_handlers: dict[Any, Callable[[MemoryConnection], None]] = {}
        self.outgoing: list[MemoryConnection] = []  # opened by the program
        self._last_fd = 10

    def next_fd(self) -> int:
        self._last_fd += 1
        return self._last_fd

    def forget(self, fd: int) -> None:
        self.endpoints.pop(fd, None)

    def poller(self) -> Any:
        return MemoryPoller(self)

    def stream(self) -> Any:
        connection = self.connection()
        self.outgoing.append(connection)
        return connection

    def connection(self) -> MemoryConnection:
        connection = MemoryConnection(self)
        self.endpoints[connection.fd] = connection
        return connection

    def listen(self, address: Any, backlog: int) -> Any:
        """Returns a listener; the test puts connections into its queue."""
        listener = MemoryListener(self)
        self.endpoints[listener.fd] = listener
        return listener

    def token(self, size: int) -> str:
        return self.rng.randbytes(size).hex()

    def unix_time(self) -> int:
        return 0

    def resource_usage(self) -> tuple[float, int]:
        return 0.0, 0
