"""Links between the system's processes: one outgoing connection to each peer that is spoken to, made when it
is first needed; answers come back on the connection that the question went out on.

No call waits for a peer: what can't be said or is not answered in time ends with `None`, and a peer that does
not read is cut off when its backlog is full. Loss is the caller's to mend.

A long frame goes in parts, one on its way on each connection and few on all, and what is short goes between them, so
that heartbeats do not wait behind it on a thin link. Frames of one kind stay in their order.
"""

from __future__ import annotations

import errno
import socket
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from oakvale.base.address import Address
from oakvale.base.loop import READ, TIMED_OUT, WRITE, Coroutine, Loop, Rank, Timer, call_off
from oakvale.base.net import Sock
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.transport.frames import BadFrame, Frame, decode, encode

TCP_USER_TIMEOUT = 18  # Linux; milliseconds that sent bytes may stay unacknowledged
SILENT_MS = 1_500  # behind a cut nothing is ever refused: such a connection is given up after this
CONNECT = 300_000  # microseconds; a machine that is just starting drops the first packet, the next comes late
PAUSE = 60_000  # after a connection failed, before the next is tried
ROOM = 16 * 1024  # bytes; while more wait for a peer, what can be said later better is
BACKLOG = 8 * 1024 * 1024  # bytes that may wait for one peer, beside the long frame that is on its way
LONG = 64 * 1024  # bytes of a frame that go at once; more go in parts
PART = 16 * 1024  # 65 ms on 2 Mbit/s
PARTS = 4  # on their way at a time, over all connections
LATE = 1_000_000  # a peer that has not said for so long that a part came holds up nobody else
REMIND = 300_000  # so often a peer is told that something long is on its way
IDLE = 20_000_000  # an unused link ends
READ_SIZE = 64 * 1024
ACCEPTS = 64

Answer = Callable[[Any], None]
Handler = Callable[["Connection", Any, Answer], None]
Then = Callable[[Any], None]  # the answer's body, or None where there was none

log_event = EventLogger(__name__)


class Connection:
    """One connection, either way. `on_close` hears once that it is gone."""

    def __init__(self, transport: Transport, sock: Sock, address: Address, out: bool) -> None:
        self.transport, self.sock, self.address, self._out = transport, sock, address, out
        self.alive, self.up = True, not out
        self.refused = False  # nobody listens there: whoever did has ended
        self.on_close: list[Callable[[Connection], None]] = []
        self.on_room: Callable[[Connection], None] | None = None  # hears once, when nothing waits for the peer any more
        self.waiting: dict[int, tuple[Then, Timer]] = {}
        self._came, self._going = bytearray(), bytearray()
        self._long: deque[tuple[str, bytes]] = deque()  # kind and frame, what goes in parts and what waits behind it
        self._behind = 0  # bytes that wait behind the first of them
        self._at = 0  # of the first, so much has gone
        self._flies = False  # a part is on its way
        self._late: Timer | None = None  # set while it counts for all connections
        self._parts = bytearray()  # of a long frame that comes
        self.used = transport.loop.now
        self._task = transport.loop.start(self._run(), sock.fileno(), Rank.COUNTER)

    def send(self, kind: str, number: int, body: Any, of: str = "") -> None:
        """`of`: the kind of the question that an answer is given to."""
        if not self.alive:
            return
        data = encode(kind, number, body)
        if len(data) > LONG or kind and any(kind == waits for waits, _ in self._long):
            return self._send_long(kind or of, data)
        if len(self._going) + len(data) > BACKLOG:
            log_event("peer does not read", "warning", peer=self.address[0])
            return self.end()
        self.transport.sent[kind or of] += len(data)
        self._send(data)

    def ask(self, kind: str, body: Any, timeout: int, then: Then) -> None:
        """As `Mains.ask_on`."""
        self.transport.ask_on(self, kind, body, timeout, then)

    def _send(self, data: bytes) -> None:
        self.used = self.transport.loop.now
        if self.up and not self._going:
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                return self.end()
            if sent == len(data):
                return
            data = data[sent:]
        self._going += data
        self.transport.loop.wake(self._task)

    # ---- what is long

    def busy(self) -> bool:
        """Something long is on its way."""
        return bool(self._long)

    def full(self) -> bool:
        """What is sent now would wait long behind what waits already."""
        return self.busy() or len(self._going) > ROOM

    def _has_room(self) -> None:
        if self.on_room is not None and self.alive and not self._long and not self._going:
            call, self.on_room = self.on_room, None
            call(self)

    def _send_long(self, kind: str, data: bytes) -> None:
        if self._behind + len(data) > BACKLOG and self._long:
            log_event("peer does not read", "warning", peer=self.address[0])
            return self.end()
        self.transport.sent[kind] += len(data)
        self._behind += len(data) if self._long else 0
        self._long.append((kind, data))
        if len(self._long) == 1:
            self._remind(None)
            self.transport.hungry.append(self)
            self.transport.feed()

    def _remind(self, _: Any) -> None:
        if self.alive and self._long:
            self.remind(0)
            self.transport.loop.at(self.transport.loop.now + REMIND, self._remind)

    def remind(self, hops: int) -> None:
        """That something long is on its way there; `hops` from whoever has it."""
        self._send(encode("part", 0, [b"", False, hops]))

    def send_part(self) -> None:
        data = self._long[0][1]
        part = data[self._at : self._at + PART]
        self._at += len(part)
        last = self._at == len(data)
        if last:
            self._long.popleft()
            self._at = 0
            self._behind -= len(self._long[0][1]) if self._long else 0
        self._flies = True
        self.transport.flying += 1
        self._late = self.transport.loop.at(self.transport.loop.now + LATE, self._counts_no_more)
        self._send(encode("part", 1, [part, last, 0]))

    def _counts_no_more(self, _: Any) -> None:
        if self._late is not None:
            call_off(self._late)
            self._late = None
            self.transport.flying -= 1
            self.transport.feed()

    def _part_came(self) -> None:
        if self._flies:
            self._flies = False
            if self._long:
                self.transport.hungry.append(self)
            self._counts_no_more(None)
            self.transport.feed()
            self._has_room()

    def forget_long(self) -> None:
        self._long.clear()
        self._counts_no_more(None)

    def _take_part(self, number: int, part: bytes, last: bool, hops: int) -> None:
        now = self.transport.loop.now
        if hops <= self.transport.long_hops or now - self.transport.long_at >= 2 * REMIND:
            self.transport.long_at, self.transport.long_hops = now, hops
        if not number:
            return
        self._parts += part
        self._send(encode("came", 0, None))
        if last:
            parts, self._parts = self._parts, bytearray()
            for frame in decode(parts, len(parts)):
                self._take(frame)

    def end(self) -> None:
        """Later in this turn: whoever speaks need not reckon with its own connection gone under it."""
        if self.alive:
            self.alive = False
            self.transport.loop.wake(self._task)

    def _run(self) -> Coroutine:
        try:
            if self._out and not (yield from self._connect()):
                return
            self.up = True
            while self.alive:
                self._write()
                signal = yield READ | (WRITE if self._going else 0), 0
                if signal > 0 and signal & ~WRITE and not self._read():
                    return
        except (OSError, BadFrame) as error:
            if isinstance(error, BadFrame):
                log_event("bad frame", "warning", peer=self.address[0], why=str(error)[:100])
        finally:
            self.alive = False
            self.sock.close()
            self.transport.gone(self)

    def _connect(self) -> Coroutine | Any:
        """As wire.tcp's, but it also ends when the link is ended meanwhile."""
        code = self.sock.connect_ex(self.address)
        if code == 0:
            return True
        if code != errno.EINPROGRESS:
            self.refused = code == errno.ECONNREFUSED
            return False
        due = self.transport.loop.now + CONNECT
        while True:
            signal = yield WRITE, due
            if signal == TIMED_OUT or not self.alive:
                return False
            if signal > 0:
                code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                self.refused = code == errno.ECONNREFUSED
                return not code

    def _write(self) -> None:
        while self._going:
            try:
                sent = self.sock.send(self._going)
            except BlockingIOError:
                return
            del self._going[:sent]
        self._has_room()

    def _read(self) -> bool:
        try:
            data = self.sock.recv(READ_SIZE)
        except BlockingIOError:
            return True
        if not data:
            return False
        self._came += data
        self.used = self.transport.loop.now
        for frame in decode(self._came):
            self._take(frame)
        return True

    def _take(self, frame: Frame) -> None:
        kind, number, body = frame
        if kind == "part":
            return self._take_part(number, *body)
        if kind == "came":
            return self._part_came()
        if not kind:
            waited = self.waiting.pop(number, None)
            if waited is not None:
                call_off(waited[1])
                _hear(waited[0], body)
            return
        handler = self.transport.handlers.get(kind)
        if handler is None:
            return
        try:
            handler(self, body, (lambda answer: self.send("", number, answer, kind)) if number else _nobody)
        except Exception:
            # one peer's odd message never ends the process, nor the connection that others' news come on
            log_event.fault("message failed", kind=kind, peer=self.address[0])


def _nobody(_: Any) -> None:
    pass


def _hear(then: Then, answer: Any) -> None:
    """One answer that its asker can't use ends neither the connection nor what others asked on it."""
    try:
        then(answer)
    except Exception:
        log_event.fault("answer failed")


class Transport:
    """All links of a process."""

    def __init__(self, loop: Loop, own: Address) -> None:
        self.loop, self.own = loop, own
        self.handlers: dict[str, Handler] = {}
        self.sent: Counter[str] = Counter()  # bytes by kind, answers with their questions
        self._out: dict[Address, Connection] = {}
        self._failed: dict[Address, int] = {}
        self._refused: dict[Address, int] = {}
        self._in: set[Connection] = set()
        self._number = 0
        self.hungry: deque[Connection] = deque()  # connections with something long, and no part of it on its way
        self.flying = 0  # parts on their way
        self.long_at = -SILENT_MS * 1000  # when the latest word came of something long that is on its way here
        self.long_hops = 0  # and how far it has yet to go

    def listen(self) -> None:
        """Raises OSError where the address can't be had."""
        sock = self.loop.net.listen(self.own, 256)
        self.loop.start(self._accept(sock), sock.fileno(), Rank.COUNTER)

    def _accept(self, listener: Sock) -> Coroutine:
        try:
            while True:
                yield READ, 0
                for _ in range(ACCEPTS):
                    try:
                        sock, address = listener.accept()
                    except OSError:
                        break
                    self._tune(sock)
                    self._in.add(Connection(self, sock, address, out=False))
        finally:
            listener.close()

    @staticmethod
    def _tune(sock: Sock) -> None:
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, SILENT_MS)
        except OSError:
            pass  # gone already: the first read says so

    def feed(self) -> None:
        while self.flying < PARTS and self.hungry:
            conn = self.hungry.popleft()
            if conn.alive and conn.busy():
                conn.send_part()

    def gone(self, conn: Connection) -> None:
        conn.forget_long()
        self._in.discard(conn)
        if self._out.get(conn.address) is conn:
            del self._out[conn.address]
            if not conn.up:
                self._failed[conn.address] = self.loop.now
            if conn.refused:
                self._refused[conn.address] = self.loop.now
        waiting, conn.waiting = conn.waiting, {}
        for then, timer in waiting.values():
            call_off(timer)
            _hear(then, None)
        for call in conn.on_close:
            call(conn)

    def link(self, address: Address) -> Connection | None:
        """The connection to a peer, made if need be; None shortly after one failed."""
        conn = self._out.get(address)
        if conn is not None and conn.alive:
            return conn
        if self.loop.now - self._failed.get(address, -PAUSE) < PAUSE:
            return None
        self._failed.pop(address, None)
        try:
            sock = self.loop.net.stream()
        except OSError:
            return None
        self._tune(sock)
        conn = Connection(self, sock, address, out=True)
        if conn.alive:
            self._out[address] = conn
            return conn
        return None

    def afresh(self, address: Address) -> None:
        """Who listens there is known to be up: a connection whose first packet may have met a dark machine is not
        waited for any longer."""
        conn = self._out.get(address)
        if conn is not None and not conn.up:
            del self._out[address]
            conn.end()
        self._failed.pop(address, None)

    def tell(self, address: Address, kind: str, body: Any) -> None:
        conn = self.link(address)
        if conn is not None:
            conn.send(kind, 0, body)

    def ask(self, address: Address, kind: str, body: Any, timeout: int, then: Then) -> None:
        """`then` hears the answer, or None after `timeout` microseconds or once the connection is gone."""
        conn = self.link(address)
        if conn is None:
            self.loop.at(self.loop.now, lambda _: _hear(then, None))
        else:
            self.ask_on(conn, kind, body, timeout, then)

    def ask_on(self, conn: Connection, kind: str, body: Any, timeout: int, then: Then) -> None:
        """As `ask`, of the very process at the other end of a connection, whoever made it."""
        self._number += 1
        number = self._number

        def late(_: Any) -> None:
            if conn.waiting.pop(number, None) is not None:
                _hear(then, None)

        conn.waiting[number] = (then, self.loop.at(self.loop.now + timeout, late))
        conn.send(kind, number, body)

    def links(self) -> tuple[int, int]:
        """How many there are, outgoing and incoming."""
        return len(self._out), len(self._in)

    def ended(self, address: Address, since: int = 0) -> bool:
        """Whether a connection was refused there just now: the process that listened has ended. `since`: of one that
        was known then; what was refused before was refused for want of a life before it."""
        at = self._refused.get(address, -2 * PAUSE)
        return self.loop.now - at < 2 * PAUSE and at >= since

    def sweep(self) -> None:
        """Ends links that nothing went over for long."""
        for conn in list(self._out.values()):
            if self.loop.now - conn.used > IDLE and not conn.waiting and not conn.on_close:
                conn.end()
