"""TCP links between the system's processes: one outgoing connection per peer, opened on first use. A response returns
on the connection that carried its request.

No call blocks on a peer. A request that cannot be sent or is not answered in time yields `None`, and a peer that does
not read is disconnected once its backlog is full. Callers handle lost messages.

A long frame is split into parts, with one part in flight per connection and a limit over all connections. Short frames
are sent in between, so that heartbeats are not delayed on slow links. The limit follows the acknowledgements: it grows
while they are quick, as on a wide link to many receivers on thin ones, and shrinks when parts queue on the own link.
Frames of one kind keep their order.
"""

from __future__ import annotations

import errno
import socket
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from oakvale.base.address import Address
from oakvale.base.loop import READ, TIMED_OUT, WRITE, Coroutine, Loop, Priority, Timer, cancel_timer
from oakvale.base.net import Sock
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.transport.frames import BadFrame, Frame, decode, encode

TCP_USER_TIMEOUT = 18  # Linux socket option: milliseconds that sent data may stay unacknowledged
UNACKNOWLEDGED_TIMEOUT_MS = 1_500  # a network partition does not reset connections
CONNECT_TIMEOUT_US = 300_000  # shorter than the kernel's SYN retransmission, which follows a lost first packet
RECONNECT_DELAY_US = 60_000  # after a failed connection attempt
CONGESTED_BYTES = 16 * 1024  # with more unsent data, messages that can be deferred should be
MAX_BACKLOG_BYTES = 8 * 1024 * 1024  # unsent data per peer, without the long frame being sent
PART_BYTES = 16 * 1024  # 65 ms at 2 Mbit/s
MAX_UNSPLIT_BYTES = 64 * 1024  # a request to a backup is sent whole: those of different kinds must not overtake
MIN_PARTS_IN_FLIGHT, MAX_PARTS_IN_FLIGHT = 4, 1_024  # over all connections
PART_DELAY_US = 200_000  # with later acknowledgements, fewer parts are in flight: short frames would wait behind them
PART_ACK_TIMEOUT_US = 1_000_000  # after this, an unacknowledged part no longer counts as in flight
STALLED_US = 1_000_000  # without any acknowledgement of a part for this long, long frames make no progress
LONG_NOTICE_INTERVAL_US = 300_000  # between notices to a peer that a long message is being sent to it
IDLE_TIMEOUT_US = 20_000_000  # unused links are closed
READ_BYTES = 64 * 1024
MAX_ACCEPTS_PER_TURN = 64

Answer = Callable[[Any], None]
Handler = Callable[["Connection", Any, Answer], None]
Callback = Callable[[Any], None]  # gets the response body, or None if there was no response

log_event = EventLogger(__name__)


class PartWindow:
    """How many parts may be in flight at once; follows how long their acknowledgements take."""

    def __init__(self) -> None:
        self.size = MIN_PARTS_IN_FLIGHT

    def acknowledged(self, delay_us: int, in_flight: int) -> None:
        """Adjusts the limit to an acknowledgement that took `delay_us`, with `in_flight` parts unacknowledged."""
        if delay_us > PART_DELAY_US:
            self.delayed()
        elif in_flight >= self.size:  # otherwise the limit was not what held parts back
            self.size = min(MAX_PARTS_IN_FLIGHT, self.size + 1)

    def delayed(self) -> None:
        """Lowers the limit after a late or missing acknowledgement."""
        self.size = max(MIN_PARTS_IN_FLIGHT, self.size - 1)


class Connection:
    """An incoming or outgoing connection. `on_close` callbacks run once, when it has closed."""

    def __init__(self, transport: Transport, sock: Sock, address: Address, outgoing: bool) -> None:
        self.transport, self.sock, self.address, self._outgoing = transport, sock, address, outgoing
        self.alive, self.connected = True, not outgoing
        self.refused = False  # no process listens at the address
        self.max_unsplit_bytes = MAX_UNSPLIT_BYTES  # longer frames are sent in parts
        self.on_close: list[Callable[[Connection], None]] = []
        # Called once, when no more data waits to be sent.
        self.on_writable: Callable[[Connection], None] | None = None
        self.pending_requests: dict[int, tuple[Callback, Timer]] = {}
        self._receive_buffer, self._send_buffer = bytearray(), bytearray()
        # Kind and encoded frame: the long frame being sent in parts, then the frames queued behind it.
        self._long_frames: deque[tuple[str, bytes]] = deque()
        self._queued_long_bytes = 0  # without the first long frame
        self._long_queued_at = 0  # when the first long frame of those queued now was
        self._long_offset = 0  # bytes of the first long frame already sent
        self._part_in_flight = False
        self._part_sent_at = 0
        self._announcing = False  # notices of a long frame are sent
        self._received_parts = bytearray()  # of the long frame being received
        self.last_used = transport.loop.now
        self._task = transport.loop.start(self._run(), sock.fileno(), Priority.COUNTER)

    def send(self, kind: str, number: int, body: Any, request_kind: str = "") -> None:
        """Sends a frame. For a response, `request_kind` is the kind of the request that it answers."""
        if not self.alive:
            return
        data = encode(kind, number, body)
        if (
            len(data) > self.max_unsplit_bytes
            or kind
            and any(kind == queued_kind for queued_kind, _ in self._long_frames)
        ):
            return self._queue_long_frame(kind or request_kind, data)
        if len(self._send_buffer) + len(data) > MAX_BACKLOG_BYTES:
            log_event("peer does not read", "warning", peer=self.address[0])
            return self.end()
        self.transport.sent_bytes[kind or request_kind] += len(data)
        self._transmit(data)

    def ask(self, kind: str, body: Any, timeout_us: int, on_response: Callback) -> None:
        """Sends a request on this connection; see `Transport.ask_on`."""
        self.transport.ask_on(self, kind, body, timeout_us, on_response)

    def _transmit(self, data: bytes) -> None:
        self.last_used = self.transport.loop.now
        if self.connected and not self._send_buffer:
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                return self.end()
            if sent == len(data):
                return
            data = data[sent:]
        self._send_buffer += data
        self.transport.loop.wake(self._task)

    # ---- long frames

    def sending_long_frame(self) -> bool:
        """Whether a long frame is being sent in parts."""
        return bool(self._long_frames)

    def is_congested(self) -> bool:
        """Whether new data would be delayed by data that is still unsent."""
        return self.sending_long_frame() or len(self._send_buffer) > CONGESTED_BYTES

    def _notify_writable(self) -> None:
        if self.on_writable is not None and self.alive and not self._long_frames and not self._send_buffer:
            call, self.on_writable = self.on_writable, None
            call(self)

    def _queue_long_frame(self, kind: str, data: bytes) -> None:
        if self._queued_long_bytes + len(data) > MAX_BACKLOG_BYTES and self._long_frames:
            log_event("peer does not read", "warning", peer=self.address[0])
            return self.end()
        self.transport.sent_bytes[kind] += len(data)
        self._queued_long_bytes += len(data) if self._long_frames else 0
        self._long_frames.append((kind, data))
        if len(self._long_frames) == 1:
            self._long_queued_at = self.transport.loop.now
            if not self._announcing:
                self._repeat_long_notice(None)
            if not self._part_in_flight:  # otherwise its acknowledgement makes this connection ready
                self.transport.ready_for_part.append(self)
                self.transport.send_parts()

    def _repeat_long_notice(self, _: Any) -> None:
        self._announcing = self.alive and bool(self._long_frames)
        if not self._announcing:
            return
        if self.transport.sends_parts(self._long_queued_at):
            self.send_long_notice(0)
        self.transport.loop.at(self.transport.loop.now + LONG_NOTICE_INTERVAL_US, self._repeat_long_notice)

    def send_long_notice(self, hops: int) -> None:
        """Tells the peer that a long message is on its way to it, `hops` relays after its sender."""
        self._transmit(encode("part", 0, [b"", False, hops]))

    def send_next_part(self) -> None:
        """Sends the next part of the first long frame; the part holds a slot until its acknowledgement or a timeout."""
        data = self._long_frames[0][1]
        part = data[self._long_offset : self._long_offset + PART_BYTES]
        self._long_offset += len(part)
        last = self._long_offset == len(data)
        if last:
            self._long_frames.popleft()
            self._long_offset = 0
            self._queued_long_bytes -= len(self._long_frames[0][1]) if self._long_frames else 0
        self._part_in_flight = True
        self._part_sent_at = self.transport.loop.now
        timer = self.transport.loop.at(self._part_sent_at + PART_ACK_TIMEOUT_US, self._part_timed_out)
        self.transport.part_slots[self] = timer
        self._transmit(encode("part", 1, [part, last, 0]))

    def _part_timed_out(self, _: Any) -> None:
        self.transport.part_window.delayed()
        self._release_part_slot()

    def _release_part_slot(self) -> None:
        timer = self.transport.part_slots.pop(self, None)
        if timer is not None:
            cancel_timer(timer)
            self.transport.send_parts()

    def _part_acknowledged(self) -> None:
        if self._part_in_flight:
            self._part_in_flight = False
            transport = self.transport
            transport.last_part_acknowledged_at = transport.loop.now
            if self in transport.part_slots:
                transport.part_window.acknowledged(transport.loop.now - self._part_sent_at, transport.parts_in_flight)
            if self._long_frames:
                self.transport.ready_for_part.append(self)
            self._release_part_slot()
            self.transport.send_parts()
            self._notify_writable()

    def discard_long_frames(self) -> None:
        """Drops unsent long frames of a closed connection and releases its part slot."""
        self._long_frames.clear()
        self._release_part_slot()

    def _receive_part(self, number: int, part: bytes, last: bool, hops: int) -> None:
        now = self.transport.loop.now
        if (
            hops <= self.transport.long_notice_hops
            or now - self.transport.long_notice_at >= 2 * LONG_NOTICE_INTERVAL_US
        ):
            self.transport.long_notice_at, self.transport.long_notice_hops = now, hops
        if not number:
            return
        self._received_parts += part
        self._transmit(encode("came", 0, None))
        if last:
            parts, self._received_parts = self._received_parts, bytearray()
            for frame in decode(parts, len(parts)):
                self._dispatch(frame)

    def end(self) -> None:
        """Closes the connection later in this loop turn, so that it does not vanish under its caller."""
        if self.alive:
            self.alive = False
            self.transport.loop.wake(self._task)

    def _run(self) -> Coroutine:
        try:
            if self._outgoing and not (yield from self._connect()):
                return
            self.connected = True
            while self.alive:
                self._write()
                signal = yield READ | (WRITE if self._send_buffer else 0), 0
                if signal > 0 and signal & ~WRITE and not self._read():
                    return
        except (OSError, BadFrame) as error:
            if isinstance(error, BadFrame):
                log_event("bad frame", "warning", peer=self.address[0], why=str(error)[:100])
        finally:
            self.alive = False
            self.sock.close()
            self.transport.connection_closed(self)

    def _connect(self) -> Coroutine | Any:
        """As the connect in `wire.tcp`, but it also stops when the connection is ended meanwhile."""
        code = self.sock.connect_ex(self.address)
        if code == 0:
            return True
        if code != errno.EINPROGRESS:
            self.refused = code == errno.ECONNREFUSED
            return False
        deadline = self.transport.loop.now + CONNECT_TIMEOUT_US
        while True:
            signal = yield WRITE, deadline
            if signal == TIMED_OUT or not self.alive:
                return False
            if signal > 0:
                code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                self.refused = code == errno.ECONNREFUSED
                return not code

    def _write(self) -> None:
        while self._send_buffer:
            try:
                sent = self.sock.send(self._send_buffer)
            except BlockingIOError:
                return
            del self._send_buffer[:sent]
        self._notify_writable()

    def _read(self) -> bool:
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return True
        if not data:
            return False
        self._receive_buffer += data
        self.last_used = self.transport.loop.now
        for frame in decode(self._receive_buffer):
            self._dispatch(frame)
        return True

    def _dispatch(self, frame: Frame) -> None:
        kind, number, body = frame
        if kind == "part":
            return self._receive_part(number, *body)
        if kind == "came":
            return self._part_acknowledged()
        if not kind:
            pending = self.pending_requests.pop(number, None)
            if pending is not None:
                cancel_timer(pending[1])
                _deliver(pending[0], body)
            return
        handler = self.transport.handlers.get(kind)
        if handler is None:
            return
        try:
            handler(self, body, (lambda answer: self.send("", number, answer, kind)) if number else _discard_response)
        except Exception:
            # A malformed message must end neither the process nor a connection that also carries other messages.
            log_event.fault("message failed", kind=kind, peer=self.address[0])


def _discard_response(_: Any) -> None:
    pass


def _deliver(on_response: Callback, answer: Any) -> None:
    """Runs a response callback; its failure must not affect the connection or its other requests."""
    try:
        on_response(answer)
    except Exception:
        log_event.fault("answer failed")


class Transport:
    """All connections of a process, with the handlers of its incoming messages by kind."""

    def __init__(self, loop: Loop, self_address: Address) -> None:
        self.loop, self.self_address = loop, self_address
        self.handlers: dict[str, Handler] = {}
        self.sent_bytes: Counter[str] = Counter()  # by kind; responses count under the kind of their request
        self._outgoing: dict[Address, Connection] = {}
        self._failed_at: dict[Address, int] = {}
        self._refused_at: dict[Address, int] = {}
        self._incoming: set[Connection] = set()
        self._last_number = 0
        self.ready_for_part: deque[Connection] = deque()  # have a long frame to send and no part of it in flight
        self.part_slots: dict[Connection, Timer] = {}  # parts in flight: at most one on a connection
        self.last_part_acknowledged_at = 0
        self.part_window = PartWindow()
        self.long_notice_at = -UNACKNOWLEDGED_TIMEOUT_MS * 1000  # latest notice that a long message is on its way here
        self.long_notice_hops = 0  # relays between the sender of that message and the peer that sent the notice

    def listen(self) -> None:
        """Accepts connections; raises OSError if the address cannot be bound."""
        sock = self.loop.net.listen(self.self_address, 256)
        self.loop.start(self._accept(sock), sock.fileno(), Priority.COUNTER)

    def _accept(self, listener: Sock) -> Coroutine:
        try:
            while True:
                yield READ, 0
                for _ in range(MAX_ACCEPTS_PER_TURN):
                    try:
                        sock, address = listener.accept()
                    except OSError:
                        break
                    self._set_socket_options(sock)
                    self._incoming.add(Connection(self, sock, address, outgoing=False))
        finally:
            listener.close()

    @staticmethod
    def _set_socket_options(sock: Sock) -> None:
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        except OSError:
            pass  # already closed; the first read reports it

    @property
    def parts_in_flight(self) -> int:
        """Parts sent a moment ago and not acknowledged yet, over all connections."""
        return len(self.part_slots)

    def sends_parts(self, queued_at: int) -> bool:
        """Whether long frames make progress: one queued at `queued_at` has not waited in vain. Without any, a peer is
        not told that a message is coming, so that it looks elsewhere."""
        return self.loop.now - max(queued_at, self.last_part_acknowledged_at) < STALLED_US

    def send_parts(self) -> None:
        """Sends parts of long frames, connection by connection, up to the limit of parts in flight."""
        while self.parts_in_flight < self.part_window.size and self.ready_for_part:
            conn = self.ready_for_part.popleft()
            if conn.alive and conn.sending_long_frame():
                conn.send_next_part()

    def connection_closed(self, conn: Connection) -> None:
        """Forgets a closed connection, fails its pending requests and runs its `on_close` callbacks."""
        conn.discard_long_frames()
        self._incoming.discard(conn)
        if self._outgoing.get(conn.address) is conn:
            del self._outgoing[conn.address]
            if not conn.connected:
                self._failed_at[conn.address] = self.loop.now
            if conn.refused:
                self._refused_at[conn.address] = self.loop.now
        pending_requests, conn.pending_requests = conn.pending_requests, {}
        for on_response, timer in pending_requests.values():
            cancel_timer(timer)
            _deliver(on_response, None)
        for call in conn.on_close:
            call(conn)

    def link(self, address: Address) -> Connection | None:
        """The connection to a peer, opened if necessary; None shortly after a failed attempt."""
        conn = self._outgoing.get(address)
        if conn is not None and conn.alive:
            return conn
        if self.loop.now - self._failed_at.get(address, -RECONNECT_DELAY_US) < RECONNECT_DELAY_US:
            return None
        self._failed_at.pop(address, None)
        try:
            sock = self.loop.net.stream()
        except OSError:
            return None
        self._set_socket_options(sock)
        conn = Connection(self, sock, address, outgoing=True)
        if conn.alive:
            self._outgoing[address] = conn
            return conn
        return None

    def retry_connect(self, address: Address) -> None:
        """Abandons a connection attempt to a peer that is now known to be up: its first packet may have been lost while
        the machine was down."""
        conn = self._outgoing.get(address)
        if conn is not None and not conn.connected:
            del self._outgoing[address]
            conn.end()
        self._failed_at.pop(address, None)

    def tell(self, address: Address, kind: str, body: Any) -> None:
        """Sends a message that needs no response; it is lost if there is no connection."""
        conn = self.link(address)
        if conn is not None:
            conn.send(kind, 0, body)

    def ask(self, address: Address, kind: str, body: Any, timeout_us: int, on_response: Callback) -> None:
        """Sends a request. `on_response` gets the response, or None on a timeout or when the connection closes."""
        conn = self.link(address)
        if conn is None:
            self.loop.at(self.loop.now, lambda _: _deliver(on_response, None))
        else:
            self.ask_on(conn, kind, body, timeout_us, on_response)

    def ask_on(self, conn: Connection, kind: str, body: Any, timeout_us: int, on_response: Callback) -> None:
        """As `ask`, on a given connection, which either side may have opened."""
        self._last_number += 1
        number = self._last_number

        def timed_out(_: Any) -> None:
            if conn.pending_requests.pop(number, None) is not None:
                _deliver(on_response, None)

        conn.pending_requests[number] = (on_response, self.loop.at(self.loop.now + timeout_us, timed_out))
        conn.send(kind, number, body)

    def connection_counts(self) -> tuple[int, int]:
        """Number of outgoing and of incoming connections."""
        return len(self._outgoing), len(self._incoming)

    def recently_refused(self, address: Address, since: int = 0) -> bool:
        """Whether the address refused a connection a moment ago, which proves that the process listening there has
        ended. Refusals before `since` are ignored: they came before the process in question started."""
        refused_at = self._refused_at.get(address, -2 * RECONNECT_DELAY_US)
        return self.loop.now - refused_at < 2 * RECONNECT_DELAY_US and refused_at >= since

    def close_idle_links(self) -> None:
        """Closes outgoing connections that have not been used for a while."""
        for conn in list(self._outgoing.values()):
            if self.loop.now - conn.last_used > IDLE_TIMEOUT_US and not conn.pending_requests and not conn.on_close:
                conn.end()
