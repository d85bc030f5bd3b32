"""Connections in memory, as the kernel would have them: the program holds one end, a test the other, turn by turn.

What a socket's buffer takes, when its end or a reset is seen, and what a reset destroys are the test's to say; nothing
waits, and no time passes but by the test's clock.
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
PLENTY = 1 << 30


def failed(code: int) -> OSError:
    return OSError(code, os.strerror(code)) if code != errno.EAGAIN else BlockingIOError(code, "would wait")


class Line:
    """The program's end of a connection, with what the test's end does to it."""

    def __init__(self, net: Lines) -> None:
        self.net, self.fd = net, net.number()
        self.inbox, self.heard = bytearray(), bytearray()  # not read by the program; written by it, read by the test
        self.wire = bytearray()  # written by it, and still on its way to the test
        self.room = PLENTY  # bytes that the kernel takes before the test reads
        self.up = self.refused = self.fin_in = self.broken = self.closed = self.fin_out = False
        self.left = False  # the test's end is closed: what is written to it brings a reset
        self.was_reset = False  # the program's end reset it
        self.abrupt = False  # it is to be reset when the program closes it
        self.err = self.taken = 0  # `taken`: bytes that the program has read and kept
        self.sent: Callable[[bytes, int], None] = lambda data, count: None
        self.ends: Callable[[], None] = lambda: None  # the program closes it

    # ---- the program's end

    def fileno(self) -> int:
        return self.fd

    def state(self) -> int:
        if self.broken:
            return IN | OUT | RDHUP | HUP | (ERR if self.err else 0)
        if not self.up:
            return 0
        state = OUT if self.room > len(self.wire) else 0
        if self.fin_in:
            return state | IN | RDHUP | (HUP if self.fin_out else 0)
        return state | (IN if self.inbox else 0)

    def connect_ex(self, address: Any, /) -> int:
        self.net.places[address](self)
        if self.refused:
            self.broken, self.err = True, errno.ECONNREFUSED
        return errno.EINPROGRESS

    def accept(self) -> tuple[Any, Any]:
        raise failed(errno.EINVAL)

    def send(self, data: Any, flags: int = 0, /) -> int:
        self._whole()
        if self.fin_out or self.broken:
            raise failed(errno.EPIPE)
        count = min(len(data), self.room - len(self.wire))
        if count <= 0 or not self.up:
            raise failed(errno.EAGAIN)
        if self.left:
            self.broken, self.err = True, errno.ECONNRESET
        else:
            self.wire += data[:count]
        self.sent(bytes(data), count)
        return count

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        if self.inbox:
            data = bytes(self.inbox[:size])
            if not flags & socket.MSG_PEEK:
                self.taken += len(data)
                del self.inbox[:size]
            return data
        self._whole()
        if self.fin_in or self.broken:
            return b""
        raise failed(errno.EAGAIN)

    def recv_into(self, buffer: Any, size: int = 0, flags: int = 0) -> int:
        data = self.recv(size or len(buffer), flags & ~socket.MSG_TRUNC)
        if flags & socket.MSG_TRUNC:
            self.taken -= len(data)
        else:
            buffer[: len(data)] = data
        return len(data)

    def recvmsg_into(
        self, buffers: Iterable[Any], ancillary: int = 0, flags: int = 0, /
    ) -> tuple[int, list[tuple[int, int, bytes]], int, Any]:
        return self.recv_into(next(iter(buffers))), [], 0, None

    def _whole(self) -> None:
        if self.err:
            code, self.err = self.err, 0
            raise failed(code)

    def getsockopt(self, level: int, option: int, /) -> int:
        code, self.err = self.err, 0
        return code

    def setsockopt(self, level: int, option: int, value: Any, /) -> None:
        self.abrupt = self.abrupt or (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER)

    def getsockname(self) -> Any:
        return ("10.0.0.1", self.fd)

    def setblocking(self, flag: bool, /) -> None:
        pass

    def shutdown(self, how: int, /) -> None:
        if not self.up or self.broken:
            raise failed(errno.ENOTCONN)
        self.fin_out = True

    def close(self) -> None:
        if self.closed:
            return
        self.closed = self.fin_out = True
        self.ends()
        self.net.forget(self.fd)
        if (self.inbox or self.abrupt) and not self.broken:  # a close with unread input destroys what is on its way
            self.was_reset = True
            self.wire.clear()

    # ---- the test's end

    def say(self, data: bytes) -> None:
        if self.closed and data and not self.broken:
            self.was_reset = True
            self.wire.clear()
        elif not self.broken and not self.fin_in:
            self.inbox += data

    def read(self) -> bytes:
        """All that came so far."""
        self.heard += self.wire
        self.wire.clear()
        return bytes(self.heard)

    def fin(self) -> None:
        self.fin_in = True

    def leave(self) -> None:
        """Closes; whoever goes on writing is told by a reset."""
        self.fin_in = self.left = True

    def reset(self) -> None:
        if not self.broken and not self.closed:
            self.broken, self.err = True, errno.ECONNRESET


class Listener:
    def __init__(self, net: Lines) -> None:
        self.net, self.fd = net, net.number()
        self.queue: list[Line] = []
        self.closed = False

    def fileno(self) -> int:
        return self.fd

    def state(self) -> int:
        return IN if self.queue else 0

    def accept(self) -> tuple[Any, Any]:
        if not self.queue:
            raise failed(errno.EAGAIN)
        return self.queue.pop(0), ("10.0.0.9", 1)

    def close(self) -> None:
        self.closed = True
        self.net.forget(self.fd)


class Poll:
    def __init__(self, net: Lines) -> None:
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
            waits = self._net.ends.get(fd)
            if waits is None:
                del self._masks[fd]  # closed, which takes it out
            elif flags := waits.state() & (mask | ERR | HUP):
                found.append((fd, flags))
        return found

    def close(self) -> None:
        self._masks.clear()


class Lines(Net):
    """`places`: what is done with a new connection to an address; raises KeyError for one that is not there."""

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.ends: dict[int, Any] = {}
        self.places: dict[Any, Callable[[Line], None]] = {}
        self.made: list[Line] = []  # connections out
        self._last = 10

    def number(self) -> int:
        self._last += 1
        return self._last

    def forget(self, fd: int) -> None:
        self.ends.pop(fd, None)

    def poller(self) -> Any:
        return Poll(self)

    def stream(self) -> Any:
        line = self.line()
        self.made.append(line)
        return line

    def line(self) -> Line:
        line = Line(self)
        self.ends[line.fd] = line
        return line

    def listen(self, address: Any, backlog: int) -> Any:
        """Connections that the program makes to it itself come up."""
        listener = Listener(self)
        self.ends[listener.fd] = listener
        return listener

    def token(self, size: int) -> str:
        return self.rng.randbytes(size).hex()

    def unix_time(self) -> int:
        return 0

    def resource_usage(self) -> tuple[float, int]:
        return 0.0, 0
