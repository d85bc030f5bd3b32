"""The client of the counter service: pipelined calls, one line each, whose answers arrive in the same order.

Each call has exactly one outcome, at its timeout at the latest. A later answer is still read from the connection, and
discarded. The outcomes of one name are reported in the order of its calls, over all connections.
"""

from __future__ import annotations

import re
from collections import deque
from typing import Protocol

from oakvale.base.address import Address
from oakvale.base.limits import Limits
from oakvale.base.loop import READ, TIMED_OUT, WRITE, Coroutine, Priority, Timer, cancel_timer
from oakvale.interface import Ending
from oakvale.numbers import parse_decimal
from oakvale.wire.owner import BaseOwner
from oakvale.wire.tcp import connect, new_socket, peek

# any beginning of a valid answer, which also limits the length of an incomplete line
ANSWER_PREFIX = re.compile(
    rb"(o(k( (-?([0-9.]{1,32}([eE][+-]?[0-9]{0,2})?\r?)?)?)?)?)?"
    rb"|b(u(s(y\r?)?)?)?|e(r(r(o(r\r?)?)?)?)?"
)


class CounterCall:
    """One call, which adds `amount` to the counter `name`."""

    __slots__ = ("name", "amount", "ttl_ms", "started_at", "write_started", "ending", "level", "connection", "timer")

    def __init__(self, name: str, amount: float, ttl_ms: int, started_at: int) -> None:
        self.name, self.amount, self.ttl_ms, self.started_at = name, amount, ttl_ms, started_at
        self.write_started, self.level = False, 0.0  # once a byte was written, the rest will be
        self.ending: Ending | None = None
        self.connection: CounterConnection | None = None
        self.timer: Timer | None = None

    def line(self) -> bytes:
        """The call in the protocol of the counter."""
        amount = f"{self.amount:.15f}".rstrip("0").rstrip(".")  # the protocol has no exponents
        return f"add {self.name} {amount or '0'} {self.ttl_ms}\r\n".encode("ascii")

    def allowed(self, limits: Limits) -> bool:
        """Whether the protocol allows its name and amount."""
        name = self.name
        return (
            abs(self.amount) <= limits.counter_amount
            and 0 < len(name) <= limits.counter_name
            and name.isascii()
            and name.isprintable()
            and " " not in name
        )


def parse_answer(line: bytes) -> tuple[Ending, float]:
    """Decodes an answer line into an outcome and the counter's level; raises ValueError."""
    word, _, rest = line.partition(b" ")
    if word == b"ok":
        return Ending.SERVED, parse_decimal(rest.decode("ascii"))  # rejects nan
    if line in (b"busy", b"error"):
        return Ending.FULL, 0.0  # nothing was added
    raise ValueError(f"malformed answer: {line[:64]!r}")


class Owner(BaseOwner, Protocol):
    """What the counter client needs of its gateway."""

    def counted(self, name: str, ending: Ending, level: float, started_at: int) -> None:
        """Reports the outcome of a call, in the order of the calls of its name."""


class CounterClient:
    """Distributes calls over connections to the counter, and reports their outcomes to `host`."""

    def __init__(self, host: Owner, address: Address) -> None:
        self.host, self.address = host, address
        self.connections: list[CounterConnection] = []
        self.retry_at = 0
        self.lost = False  # whether the loss is logged, which happens once until the counter responds again
        self._by_name: dict[str, deque[CounterCall]] = {}

    def call(self, name: str, amount: float, ttl_us: int) -> None:
        """Starts a call; `ttl_us` is how long the counter keeps the name."""
        now = self.host.loop.now
        limits = self.host.limits
        ttl_ms = min(max(ttl_us, 1000), limits.counter_life) // 1000
        call = CounterCall(name, amount, ttl_ms, now)
        self._by_name.setdefault(name, deque()).append(call)
        if not call.allowed(self.host.limits):
            self.host.log.error("call not allowed", extra={"call": name, "amount": amount})
            return self.end(call, Ending.FULL)
        call.timer = self.host.loop.at(now + limits.counter_timeout, self._expire, call)
        self._send(call)

    def end(self, call: CounterCall, ending: Ending, level: float = 0.0) -> None:
        """Records the outcome of a call, if it has none, and reports outcomes of its name in call order."""
        if call.ending is not None:
            return
        call.ending, call.level = ending, level
        if call.timer is not None:
            cancel_timer(call.timer)
        calls = self._by_name[call.name]
        while calls and calls[0].ending is not None:
            first = calls.popleft()
            self.host.counted(first.name, first.ending or ending, first.level, first.started_at)
        if not calls and self._by_name.get(call.name) is calls:
            del self._by_name[call.name]

    def set_address(self, address: Address) -> None:
        """Sends calls to another address from now on. Calls that are partly or wholly written stay on their
        connections; the others are sent to the new address. No call is written twice."""
        if address == self.address:
            return
        self.address, self.retry_at, self.lost = address, 0, False
        calls = [call for connection in list(self.connections) for call in connection.retire()]
        for call in calls:
            if call.ending is None:
                self._send(call)

    def _send(self, call: CounterCall) -> None:
        connection = self._usable_connection()
        if connection is None:
            return self.end(call, Ending.NO_CONNECTION)
        connection.send(call)

    def report_lost(self, why: str) -> None:
        """Logs the loss of the counter, once until it responds again."""
        if not self.lost:
            self.host.log.warning("counter lost", extra={"why": why})
        self.lost = True

    def _usable_connection(self) -> CounterConnection | None:
        """A connection that takes calls, opened if necessary; None if the counter cannot be reached."""
        now = self.host.loop.now
        for connection in self.connections:
            if connection.is_usable(now):
                return connection
        if now < self.retry_at:
            return None
        if len(self.connections) >= self.host.limits.counters:
            self.connections[0].end()
        try:
            connection = CounterConnection(self)
        except OSError as error:
            self.report_lost(str(error))
            return None
        return None if connection.ended else connection

    def _expire(self, call: CounterCall) -> None:
        if call.connection is not None:
            call.connection.call_timed_out(call)
        self.end(call, Ending.TIMEOUT if call.write_started else Ending.NO_CONNECTION)


class CounterConnection:
    """A connection to the counter and its coroutine."""

    def __init__(self, counter: CounterClient) -> None:
        self.counter, self.host = counter, counter.host
        self.unanswered: deque[CounterCall] = deque()  # written, not answered
        self.last_received = self.last_used = self.host.loop.now
        self.connected = self.unresponsive = self.ended = False
        self.retired = False  # the address has changed: only outstanding answers are read, and its end is no failure
        self._unsent: deque[CounterCall] = deque()
        self._partial: CounterCall | None = None  # a partly written call, and the rest of its line
        self._partial_rest = b""
        self._received = b""
        self._sock = new_socket(self.host.loop.net)
        counter.connections.append(self)
        self._task = self.host.loop.start(self._run(), self._sock.fileno(), Priority.COUNTER)

    def is_usable(self, now: int) -> bool:
        """Whether calls may be sent on it; closes it if the counter has closed it while idle."""
        full = len(self.unanswered) + len(self._unsent) >= self.host.limits.counter_owed
        if self.ended or self.retired or self.unresponsive or full:
            return False
        if not self.connected or self.unanswered or now - self.last_used < self.host.limits.counter_idle:
            return True
        # after a long idle time, the counter may have closed it, and a call written then may be lost
        if peek(self._sock) is None:
            return True
        self.end()
        return False

    def send(self, call: CounterCall) -> None:
        call.connection = self
        self._unsent.append(call)
        self.last_used = self.host.loop.now
        self.host.loop.wake(self._task)

    def retire(self) -> list[CounterCall]:
        """Returns the calls of which nothing was written, and closes the connection once the others are answered."""
        self.retired, self.last_received = True, self.host.loop.now
        calls, self._unsent = list(self._unsent), deque()
        if not self.unanswered and self._partial is None:
            self.end()
        else:
            self.host.loop.wake(self._task)  # its wait now has a deadline
        return calls

    def call_timed_out(self, call: CounterCall) -> None:
        """Handles the timeout of a call. If nothing was received since the call was made, the connection may be dead:
        it gets no more calls until it delivers an answer."""
        if self.last_received <= call.started_at and not self.retired:
            self.unresponsive = True
            self.counter.report_lost("silent")
            self.host.loop.wake(self._task)  # its wait now has a deadline

    def end(self) -> None:
        self.host.loop.end(self._task)

    def _run(self) -> Coroutine:
        try:
            deadline = self.host.loop.now + self.host.limits.connect
            if not (yield from connect(self._sock, self.counter.address, deadline)):
                if not self.retired:
                    self.counter.retry_at = self.host.loop.now + self.host.limits.counter_retry
                    self.counter.report_lost("cannot connect")
                return
            self.connected = True
            while not (self.retired and not self.unanswered and self._partial is None):
                blocked = not self._write()
                deadline = (
                    self.last_received + self.host.limits.counter_late if self.unresponsive or self.retired else 0
                )
                signal = yield (READ | WRITE if blocked else READ), deadline
                if signal == TIMED_OUT and (self.unresponsive or self.retired):
                    return
                if signal > 0 and signal & ~WRITE and not self._read():
                    return
        except (OSError, ValueError) as error:
            if not self.retired:
                self.counter.report_lost(str(error))
        finally:
            self.ended = True
            self._sock.close()
            self.counter.connections.remove(self)
            for call in self.unanswered:
                self.counter.end(call, Ending.RESET)  # the counter may have applied it
            for call in ([self._partial] if self._partial else []) + list(self._unsent):
                self.counter.end(call, Ending.NO_CONNECTION)  # never written completely, so not applied

    def _write(self) -> bool:
        """Writes unsent calls, about one buffer at a time; False when the socket is full."""
        while self._partial or self._unsent:
            data = self._partial_rest
            line_ends = [(self._partial, len(data))] if self._partial else []
            while self._unsent and len(data) < self.host.limits.buffer:
                call = self._unsent.popleft()
                if call.ending is None:  # otherwise, it timed out before it could be written
                    data += call.line()
                    line_ends.append((call, len(data)))
            try:
                sent = self._sock.send(data) if data else 0
            except BlockingIOError:
                sent = 0
            except OSError:
                self._unsent.extendleft(call for call, _ in reversed(line_ends) if call is not self._partial)
                raise
            self._record_written(line_ends, data, sent)
            if sent < len(data):
                return False
        return True

    def _record_written(self, line_ends: list[tuple[CounterCall, int]], data: bytes, sent: int) -> None:
        """Sorts calls, each with the end of its line in `data`, by how much of their lines was written."""
        partial, self._partial, self._partial_rest = self._partial, None, b""
        unwritten: list[CounterCall] = []
        line_start = 0
        for call, line_end in line_ends:
            if line_end <= sent:
                call.write_started = True
                self.unanswered.append(call)
            elif line_start < sent or call is partial:
                call.write_started = True
                self._partial, self._partial_rest = call, data[max(sent, line_start) : line_end]
            else:
                unwritten.append(call)
            line_start = line_end
        self._unsent.extendleft(reversed(unwritten))

    def _read(self) -> bool:
        """Reads answers; False when the counter closed the connection. Raises ValueError on a malformed line."""
        pool = self.host.buffers
        buffer = pool.acquire()
        try:
            count = self._sock.recv_into(buffer)
            data = self._received + bytes(buffer[:count])
        except BlockingIOError:
            return True
        finally:
            pool.release(buffer)
        if not count:
            return False
        self.last_received, self.unresponsive = self.host.loop.now, False
        if self.counter.lost and not self.retired:
            self.counter.lost = False
            self.host.log.info("counter back")
        lines = data.split(b"\n")
        self._received = lines.pop()
        for line in lines:
            self._apply_answer(line.rstrip(b"\r"))
        if not ANSWER_PREFIX.fullmatch(self._received):  # it can no longer become a valid answer
            self._apply_answer(self._received)
        return True

    def _apply_answer(self, line: bytes) -> None:
        """Ends the oldest unanswered call. A malformed answer is taken to mean that the call was applied, with an
        unknown level; it is raised as ValueError, which closes the connection."""
        if not self.unanswered:
            raise ValueError("answer without a call")
        call = self.unanswered.popleft()
        try:
            ending, level = parse_answer(line)
        except ValueError:
            self.counter.end(call, Ending.ERROR)
            raise
        self.counter.end(call, ending, level)
