"""Sockets and the network between machines, as the protocol's pages have them: streams of bytes, in order, with delay,
bandwidth and windows; a cut or a machine without power says nothing, a dead port resets.

Modelled is what a process can tell apart: a segment's way and the time until it is known to have arrived, the room in
its window, what a close or a reset leaves, the queue at the receiving end of a link where that has a bandwidth. Not
modelled: slow start, keep-alive probes, datagrams.
"""

from __future__ import annotations

import errno
import os
import select
import socket
import struct
from collections import deque
from collections.abc import Iterable
from heapq import heappop, heappush
from random import Random
from typing import Any, Protocol

from oakvale.base.address import Address
from oakvale.base.net import Net, Poller, Sock
from oakvale.lab.simulation.wires import Machine, Wires

MS, SECOND = 1_000, 1_000_000
IN, OUT, ERR, HUP, RDHUP = select.EPOLLIN, select.EPOLLOUT, select.EPOLLERR, select.EPOLLHUP, select.EPOLLRDHUP
TCP_USER_TIMEOUT = 18
WINDOW = 128 * 1024  # bytes of a stream that the peer's process has not read, on their way or in buffers
AGAIN, LONGEST = 200 * MS, 5 * SECOND  # before a segment is sent once more: doubled each time, up to the longest
SYN_AGAIN = 1 * SECOND
HEAD = 60  # bytes of a segment beside its data


def failed(code: int) -> OSError:
    return OSError(code, os.strerror(code))


class Weighed(Protocol):
    """A process, as its sockets know it: who is woken, and pays for calls."""

    machine: Machine
    alive: bool
    used: float

    def wake(self) -> None: ...
    def instant(self) -> int: ...
    def charge_call(self, size: int = 0) -> None: ...
    def charge_events(self, count: int) -> None: ...


class Waits:
    """What a poller can wait for."""

    __slots__ = ("net", "fd", "poller", "mask")

    def __init__(self, net: SimulatedNet, accepted: bool = True) -> None:
        self.net = net
        self.fd = net.take(self) if accepted else -1  # what waits to be accepted has no descriptor yet
        self.poller: SimulatedPoller | None = None
        self.mask = 0

    def fileno(self) -> int:
        return self.fd

    def state(self) -> int:
        raise NotImplementedError

    def touch(self, _: Any = None) -> None:
        """Something about it changed."""
        if self.poller is not None and self.state() & (self.mask | ERR | HUP):
            self.poller.hot[self.fd] = self
            self.net.process.wake()

    def leave(self) -> None:
        if self.poller is not None:
            self.poller.drop(self.fd)
        self.net.free(self)

    def setblocking(self, flag: bool, /) -> None:
        assert not flag


class Stream(Waits):
    """One end of a connection."""

    __slots__ = (
        "wires",
        "machine",
        "there",
        "peer",
        "address",
        "name",
        "up",
        "connecting",
        "closed",
        "gone",
        "inbox",
        "fin_in",
        "fin_out",
        "err",
        "broken",
        "outstanding",
        "blocked",
        "last",
        "held",
        "stuck",
        "pause",
        "patience",
        "abrupt",
    )

    def __init__(self, net: SimulatedNet, accepted: bool = True) -> None:
        super().__init__(net, accepted)
        self.wires, self.machine = net.wires, net.process.machine
        self.there: Machine | None = None  # the other end's
        self.peer: Stream | None = None
        self.address: Address = ("", 0)
        self.name: Address = (self.machine.ip, 0)
        self.up = self.connecting = self.closed = self.gone = False
        self.inbox = bytearray()
        self.fin_in = self.fin_out = self.broken = False
        self.err = 0
        self.outstanding = 0  # bytes that the peer's process has not read
        self.blocked = False
        self.last = 0  # when the latest segment arrives
        self.held: deque[bytes] = deque()  # what a cut holds up, oldest first
        self.stuck = 0  # since when something is not known to have arrived; 0: all is
        self.pause = AGAIN
        self.patience = 0  # TCP_USER_TIMEOUT in microseconds
        self.abrupt = False  # SO_LINGER with no time

    # ---- what a process calls

    def state(self) -> int:
        if self.connecting:
            return 0
        if self.err or self.broken:
            return IN | OUT | RDHUP | HUP | (ERR if self.err else 0)
        if not self.up:
            return OUT | HUP
        state = OUT if self.outstanding < WINDOW else 0
        if self.fin_in:
            return state | IN | RDHUP | (HUP if self.fin_out else 0)
        return state | IN if self.inbox else state

    def connect_ex(self, address: Address, /) -> int:
        if self.closed:
            return errno.EBADF
        if self.connecting or self.up:
            return errno.EISCONN if self.up else errno.EALREADY
        self.net.process.charge_call()
        self.connecting = True
        self.address, self.name = address, (self.machine.ip, self.net.process.machine.port())
        self.there = self.wires.machines.get(address[0])
        self._send_syn(SYN_AGAIN)
        if self.patience:
            self.wires.events.at(self.net.process.instant() + self.patience, self._syn_late)
        return errno.EINPROGRESS

    def send(self, data: Any, flags: int = 0, /) -> int:
        if self.closed:
            raise failed(errno.EBADF)
        if self.err:
            code, self.err = self.err, 0
            raise failed(code)
        if self.broken or self.fin_out:
            raise failed(errno.EPIPE)
        if not self.up:
            raise failed(errno.EAGAIN if self.connecting else errno.ENOTCONN)
        room = WINDOW - self.outstanding
        if room <= 0:
            self.blocked = True
            raise failed(errno.EAGAIN)
        piece = bytes(data[:room]) if len(data) > room else bytes(data)
        self.outstanding += len(piece)
        self.blocked = self.outstanding >= WINDOW
        self.net.process.charge_call(len(piece))
        self._ship(piece)
        return len(piece)

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        inbox = self.inbox
        if inbox:
            data = bytes(inbox) if size >= len(inbox) else bytes(inbox[:size])
            if not flags & socket.MSG_PEEK:
                self._took(len(data))
            return data
        self.net.process.charge_call()
        if self.err:
            code, self.err = self.err, 0
            raise failed(code)
        if self.fin_in or self.broken:
            return b""
        raise failed(errno.EAGAIN if self.up or self.connecting else errno.ENOTCONN)

    def recv_into(self, buffer: Any, size: int = 0, flags: int = 0) -> int:
        data = self.recv(size or len(buffer), flags & ~socket.MSG_TRUNC)
        if not flags & socket.MSG_TRUNC:
            buffer[: len(data)] = data
        return len(data)

    def recvmsg_into(
        self, buffers: Iterable[Any], ancillary: int = 0, flags: int = 0, /
    ) -> tuple[int, list[tuple[int, int, bytes]], int, Any]:
        """No stamps: nothing that is decided here depends on how long bytes waited."""
        return self.recv_into(next(iter(buffers))), [], 0, None

    def _took(self, count: int) -> None:
        del self.inbox[:count]
        self.net.process.charge_call(count)
        peer = self.peer
        if peer is not None:
            peer.outstanding -= count
            if peer.blocked and peer.outstanding < WINDOW:
                peer.blocked = False
                self.wires.events.at(self.net.process.instant() + self._back(), peer.touch)

    def untaken(self) -> int:
        """Bytes sent that the peer's process has not read."""
        return self.outstanding

    def getsockopt(self, level: int, option: int, /) -> int:
        if (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR):
            code, self.err = self.err, 0
            return code
        return 0

    def setsockopt(self, level: int, option: int, value: Any, /) -> None:
        if (level, option) == (socket.IPPROTO_TCP, TCP_USER_TIMEOUT):
            self.patience = int(value) * MS
        elif (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER):
            self.abrupt = struct.unpack("ii", value) == (1, 0)

    def getsockname(self) -> Address:
        return self.name

    def getpeername(self) -> Address:
        return self.address

    def accept(self) -> tuple[Sock, Any]:
        raise failed(errno.EINVAL)

    def shutdown(self, how: int, /) -> None:
        if not self.up or self.broken:
            raise failed(errno.ENOTCONN)
        if how != socket.SHUT_RD and not self.fin_out:
            self.fin_out = True
            self._ship(b"")

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.leave()
        if self.peer is None or self.broken:
            return
        if self.inbox or self.abrupt:
            self._reset_peer()
        elif not self.fin_out:
            self.fin_out = True
            self._ship(b"")

    def vanish(self) -> None:
        """Its machine lost power."""
        self.closed = self.gone = self.broken = True
        self.held.clear()
        self.stuck = 0
        self.leave()

    # ---- the way there

    def _back(self) -> int:
        return self.wires.way(self.there, self.machine) if self.there is not None else 0

    def _ship(self, piece: bytes) -> None:
        """Nothing in it: the stream's end."""
        wires, one, other = self.wires, self.machine, self.there
        assert other is not None
        size = len(piece) + HEAD
        sent = self.net.process.instant()
        begins = max(sent, one.link_free)
        one.link_free = begins + size * one.link_us
        arrives = int(one.link_free) + wires.way(one, other)
        if other.receive_us:
            other.receive_free = max(float(arrives), other.receive_free) + size * other.receive_us
            arrives = int(other.receive_free)
        loss = one.loss + other.loss
        if loss:
            pause = AGAIN
            while wires.rng.random() < loss and pause < 8 * AGAIN:
                arrives += pause
                pause *= 2
        if arrives < self.last:
            arrives = self.last
        self.last = arrives
        wires.segments += 1
        wires.bytes += size
        if one.zone != other.zone:
            zones = one.zone, other.zone
            wires.crossed[zones] = wires.crossed.get(zones, 0) + size
        wires.events.at(arrives, self._arrives, (sent, piece))

    def _arrives(self, segment: tuple[int, bytes]) -> None:
        sent, piece = segment
        if self.gone or self.broken and self.closed:
            return
        wires, one, other = self.wires, self.machine, self.there
        assert other is not None
        if self.held or not wires.reaches(one, other):
            self.held.append(piece)
            self._stick(sent)
            return
        self._hand(piece)
        if wires.cuts and not wires.reaches(other, one):
            self._stick(sent)

    def _stick(self, since: int) -> None:
        if self.stuck:
            return
        self.stuck, self.pause = since, AGAIN
        self.wires.events.at(self.wires.events.now + AGAIN, self._retry, since)
        if self.patience:
            self.wires.events.at(max(since + self.patience, self.wires.events.now), self._expire, since)

    def _retry(self, since: int) -> None:
        if self.stuck != since or self.gone or self.broken:
            return
        wires, one, other = self.wires, self.machine, self.there
        assert other is not None
        if wires.reaches(one, other):
            held, self.held = self.held, deque()
            known = wires.reaches(other, one)
            if known:
                self.stuck = 0
            for piece in held:
                self._hand(piece)
            if known:
                return
        self.pause = min(LONGEST, 2 * self.pause)
        wires.events.at(wires.events.now + self.pause, self._retry, since)

    def _expire(self, since: int) -> None:
        if self.stuck == since:
            self._break(errno.ETIMEDOUT)

    def _hand(self, piece: bytes) -> None:
        peer = self.peer
        assert peer is not None
        if peer.gone or peer.closed and piece:
            # nobody has that connection: whoever is there now says so
            self.wires.events.at(self.wires.events.now + self._back(), self.was_reset)
        elif peer.closed or peer.broken:
            pass
        else:
            if piece:
                peer.inbox += piece
            else:
                peer.fin_in = True
            peer.touch()

    def _reset_peer(self) -> None:
        """A reset is said once: behind a cut nobody hears it."""
        self.broken = True
        self.held.clear()
        self.stuck = 0
        peer, wires = self.peer, self.wires
        assert peer is not None and self.there is not None
        arrives = max(self.last, self.net.process.instant() + wires.way(self.machine, self.there))
        wires.events.at(arrives, peer.was_reset)

    def was_reset(self, _: Any = None) -> None:
        """A reset comes in, if it gets here."""
        if self.there is not None and self.wires.reaches(self.there, self.machine):
            self._break(errno.ECONNRESET)

    def _break(self, code: int) -> None:
        if self.gone or self.broken:
            return
        self.broken, self.connecting, self.up = True, False, False
        self.held.clear()
        self.stuck = 0
        if not self.closed:
            self.err = code
            self.touch()

    # ---- how it comes up

    def _send_syn(self, pause: int) -> None:
        if self.there is not None:
            due = self.net.process.instant() + self.wires.way(self.machine, self.there)
            self.wires.events.at(due, self._syn, pause)

    def _syn_late(self, _: Any) -> None:
        if self.connecting:
            self._break(errno.ETIMEDOUT)

    def _syn(self, pause: int) -> None:
        """It arrives, if it does; else it is sent again."""
        if not self.connecting or self.closed:
            return
        wires, there, now = self.wires, self.there, self.wires.events.now
        assert there is not None
        lost = there.loss + self.machine.loss
        if (
            wires.reaches(self.machine, there)
            and wires.reaches(there, self.machine)
            and not (lost and wires.rng.random() < lost)
        ):
            listener = there.ports.get(self.address[1])
            if listener is None:
                wires.events.at(now + self._back(), self._refused)
                return
            if listener.room():
                back = self._back()
                listener.greet(self, back)
                wires.events.at(now + back, self._is_up)
                return
        wires.events.at(now + pause, self._syn, 2 * pause)

    def _refused(self, _: Any) -> None:
        if self.connecting:
            self._break(errno.ECONNREFUSED)

    def _is_up(self, _: Any) -> None:
        if self.connecting and not self.broken:
            self.connecting, self.up = False, True
            self.touch()


class Listener(Waits):
    __slots__ = ("machine", "address", "_backlog", "_queue", "_coming", "closed")

    def __init__(self, net: SimulatedNet, address: Address, backlog: int) -> None:
        machine = net.process.machine
        if address[0] != machine.ip:
            raise failed(errno.EADDRNOTAVAIL)
        port = address[1] or machine.port()
        if port in machine.ports:
            raise failed(errno.EADDRINUSE)
        super().__init__(net)
        self.machine, self.address = machine, (machine.ip, port)
        self._backlog, self.closed = backlog, False
        self._queue: deque[Stream] = deque()
        self._coming: dict[Stream, None] = {}
        machine.ports[port] = self

    def state(self) -> int:
        return IN if self._queue else 0

    def room(self) -> bool:
        return len(self._queue) + len(self._coming) < self._backlog

    def greet(self, client: Stream, back: int) -> None:
        """The opening packet has come; the connection is accepted once its maker has answered. Only then does it take
        a descriptor."""
        fresh = Stream(self.net, accepted=False)
        fresh.there, fresh.peer, fresh.address = client.machine, client, client.name
        fresh.name, fresh.up = self.address, True
        client.peer = fresh
        self._coming[fresh] = None
        self.net.wires.events.at(self.net.wires.events.now + 2 * back, self._complete, fresh)

    def _complete(self, stream: Stream) -> None:
        if self._coming.pop(stream, 0) is None and not self.closed:
            self._queue.append(stream)
            self.touch()

    def accept(self) -> tuple[Sock, Any]:
        if not self._queue:
            raise failed(errno.EAGAIN)
        if self.net.full():
            raise failed(errno.EMFILE)
        self.net.process.charge_call()
        stream = self._queue.popleft()
        stream.fd = self.net.take(stream)
        return stream, stream.address

    def close(self) -> None:
        """What nobody accepted is reset."""
        if not self.closed:
            self.closed = True
            self.leave()
            if self.machine.ports.get(self.address[1]) is self:
                del self.machine.ports[self.address[1]]
            for stream in [*self._queue, *self._coming]:
                stream.abrupt = True
                stream.close()

    def vanish(self) -> None:
        self.closed = True
        self.leave()
        self.machine.ports.pop(self.address[1], None)
        for stream in [*self._queue, *self._coming]:
            stream.vanish()

    def getsockname(self) -> Address:
        return self.address

    def setsockopt(self, level: int, option: int, value: Any, /) -> None:
        pass

    def getsockopt(self, level: int, option: int, /) -> int:
        return 0

    def connect_ex(self, address: Address, /) -> int:
        return errno.EINVAL

    def send(self, data: Any, flags: int = 0, /) -> int:
        raise failed(errno.ENOTCONN)

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        raise failed(errno.ENOTCONN)

    def recv_into(self, buffer: Any, size: int = 0, flags: int = 0) -> int:
        raise failed(errno.ENOTCONN)

    def recvmsg_into(
        self, buffers: Iterable[Any], ancillary: int = 0, flags: int = 0, /
    ) -> tuple[int, list[tuple[int, int, bytes]], int, Any]:
        raise failed(errno.ENOTCONN)

    def shutdown(self, how: int, /) -> None:
        raise failed(errno.ENOTCONN)


class SimulatedPoller:
    """As `select.epoll`: told again and again of what is so. `hot` may be; the rest is not."""

    def __init__(self, net: SimulatedNet) -> None:
        self._net = net
        self.watched: dict[int, Waits] = {}
        self.hot: dict[int, Waits] = {}

    def register(self, fd: int, mask: int, /) -> None:
        if fd in self.watched:
            raise failed(errno.EEXIST)
        waits = self._net.open.get(fd)
        if waits is None:
            raise failed(errno.EBADF)
        self.watched[fd] = waits
        waits.poller = self
        self._set(waits, mask)

    def modify(self, fd: int, mask: int, /) -> None:
        if fd not in self.watched:
            raise failed(errno.ENOENT)
        self._set(self.watched[fd], mask)

    def _set(self, waits: Waits, mask: int) -> None:
        waits.mask = mask
        if waits.state() & (mask | ERR | HUP):
            self.hot[waits.fd] = waits

    def unregister(self, fd: int, /) -> None:
        if fd not in self.watched:
            raise failed(errno.ENOENT)
        self.drop(fd)

    def drop(self, fd: int) -> None:
        waits = self.watched.pop(fd, None)
        if waits is not None:
            waits.poller = None
        self.hot.pop(fd, None)

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        found: list[tuple[int, int]] = []
        if not self.hot:
            return found
        cold = []
        for fd, waits in self.hot.items():
            state = waits.state() & (waits.mask | ERR | HUP)
            if state:
                found.append((fd, state))
            else:
                cold.append(fd)
        for fd in cold:
            del self.hot[fd]
        self._net.process.charge_events(len(found))
        return found

    def close(self) -> None:
        for fd in list(self.watched):
            self.drop(fd)


class SimulatedNet(Net):
    """What a simulated process is handed."""

    def __init__(self, wires: Wires, process: Weighed, rng: Random, nofile: int) -> None:
        self.wires, self.process, self.rng = wires, process, rng
        self.open: dict[int, Waits] = {}
        self._most = nofile
        self._freed: list[int] = []
        self._next = 3

    def poller(self) -> Poller:
        return SimulatedPoller(self)

    def stream(self) -> Sock:
        if self.full() or not self.process.alive:
            raise failed(errno.EMFILE)
        return Stream(self)

    def listen(self, address: Address, backlog: int) -> Sock:
        return Listener(self, address, backlog)

    def token(self, size: int) -> str:
        return self.rng.randbytes(size).hex()

    def unix_time(self) -> int:
        return (self.wires.events.now + self.process.machine.offset) * 1_000

    def resource_usage(self) -> tuple[float, int]:
        return self.process.used / SECOND, 0

    # ---- descriptors

    def full(self) -> bool:
        return len(self.open) >= self._most

    def take(self, waits: Waits) -> int:
        """The lowest that is free, as everywhere."""
        if self._freed:
            fd = heappop(self._freed)
        else:
            fd, self._next = self._next, self._next + 1
        self.open[fd] = waits
        return fd

    def free(self, waits: Waits) -> None:
        if waits.fd >= 0 and self.open.get(waits.fd) is waits:
            del self.open[waits.fd]
            heappush(self._freed, waits.fd)
