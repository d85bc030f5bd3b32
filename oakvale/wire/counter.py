"""The counter: calls written one behind another as lines, answers matched in order.

A call has one outcome, by its time-out at the latest; an answer that comes later is still owed by its
connection and is thrown away. Outcomes of one name are given in the order of its calls, over all connections.
"""

from __future__ import annotations

import re
from collections import deque
from typing import Protocol

from oakvale.base.address import Address
from oakvale.base.limits import Limits
from oakvale.base.loop import READ, TIMED_OUT, WRITE, Coroutine, Rank, Timer, call_off
from oakvale.interface import Ending
from oakvale.numbers import parse_decimal
from oakvale.wire.owner import BaseOwner
from oakvale.wire.tcp import connect, new_socket, peek

# what the beginning of an answer may look like, which also bounds its length
PARTIAL = re.compile(
    rb"(o(k( (-?([0-9.]{1,32}([eE][+-]?[0-9]{0,2})?\r?)?)?)?)?)?"
    rb"|b(u(s(y\r?)?)?)?|e(r(r(o(r\r?)?)?)?)?"
)


class CounterCall:
    __slots__ = ("name", "amount", "ttl_ms", "started_at", "write_started", "ending", "level", "connection", "timer")

    def __init__(self, name: str, amount: float, life: int, sent: int) -> None:
        self.name, self.amount, self.ttl_ms, self.started_at = name, amount, life, sent
        self.write_started, self.level = False, 0.0  # begun: a byte of it went out, so the rest will
        self.ending: Ending | None = None
        self.connection: CounterConnection | None = None
        self.timer: Timer | None = None

    def line(self) -> bytes:
        amount = f"{self.amount:.15f}".rstrip("0").rstrip(".")  # never in exponent form
        return f"add {self.name} {amount or '0'} {self.ttl_ms}\r\n".encode("ascii")

    def allowed(self, limits: Limits) -> bool:
        name = self.name
        return (
            abs(self.amount) <= limits.counter_amount
            and 0 < len(name) <= limits.counter_name
            and name.isascii()
            and name.isprintable()
            and " " not in name
        )


def parse_answer(line: bytes) -> tuple[Ending, float]:
    """The outcome that a line tells; raises ValueError."""
    word, _, rest = line.partition(b" ")
    if word == b"ok":
        return Ending.SERVED, parse_decimal(rest.decode("ascii"))  # nan would spoil what the module reckons with
    if line in (b"busy", b"error"):
        return Ending.FULL, 0.0  # nothing was added
    raise ValueError(f"not an answer: {line[:64]!r}")


class Owner(BaseOwner, Protocol):
    """What the counter's connections need of the gateway that asks."""

    def counted(self, name: str, ending: Ending, level: float, sent: int) -> None:
        """The outcome of a call, in the order of its name's calls."""


class CounterClient:
    def __init__(self, host: Owner, address: Address) -> None:
        self.host, self.address = host, address
        self.connections: list[CounterConnection] = []
        self.retry_at = 0
        self.lost = False  # said in the log once, however many tries follow
        self._by_name: dict[str, deque[CounterCall]] = {}

    def call(self, name: str, amount: float, life: int) -> None:
        now = self.host.loop.now
        limits = self.host.limits
        milliseconds = min(max(life, 1000), limits.counter_life) // 1000
        call = CounterCall(name, amount, milliseconds, now)
        self._by_name.setdefault(name, deque()).append(call)
        if not call.allowed(self.host.limits):
            self.host.log.error("call not allowed", extra={"call": name, "amount": amount})
            return self.end(call, Ending.FULL)
        call.timer = self.host.loop.at(now + limits.counter_timeout, self._expire, call)
        self._send(call)

    def end(self, call: CounterCall, ending: Ending, level: float = 0.0) -> None:
        """Settles a call, once, and gives the module what is settled of its name, in order."""
        if call.ending is not None:
            return
        call.ending, call.level = ending, level
        if call.timer is not None:
            call_off(call.timer)
        calls = self._by_name[call.name]
        while calls and calls[0].ending is not None:
            first = calls.popleft()
            self.host.counted(first.name, first.ending or ending, first.level, first.started_at)
        if not calls and self._by_name.get(call.name) is calls:
            del self._by_name[call.name]

    def set_address(self, address: Address) -> None:
        """Calls go to another address from now on. Those of which a byte went out wait for their answers
        where they were written; the others go with the new ones. No call is written twice."""
        if address == self.address:
            return
        self.address, self.retry_at, self.lost = address, 0, False
        calls = [call for connection in list(self.connections) for call in connection.retire()]
        for call in calls:
            if call.ending is None:
                self._send(call)

    def _send(self, call: CounterCall) -> None:
        connection = self._connection()
        if connection is None:
            return self.end(call, Ending.NO_CONNECTION)
        connection.send(call)

    def report_lost(self, why: str) -> None:
        if not self.lost:
            self.host.log.warning("counter lost", extra={"why": why})
        self.lost = True

    def _connection(self) -> CounterConnection | None:
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
    def __init__(self, counter: CounterClient) -> None:
        self.counter, self.host = counter, counter.host
        self.unanswered: deque[CounterCall] = deque()  # written, no answer yet
        self.last_received = self.last_used = self.host.loop.now
        self.connected = self.unresponsive = self.ended = False
        self.retired = False  # the counter has moved: it brings what it owes, and its end tells nothing
        self._unsent: deque[CounterCall] = deque()
        self._partial: CounterCall | None = None  # one that the socket took in part, and what is left of its line
        self._tail = b""
        self._buffer = b""
        self._sock = new_socket(self.host.loop.net)
        counter.connections.append(self)
        self._task = self.host.loop.start(self._run(), self._sock.fileno(), Rank.COUNTER)

    def is_usable(self, now: int) -> bool:
        full = len(self.unanswered) + len(self._unsent) >= self.host.limits.counter_owed
        if self.ended or self.retired or self.unresponsive or full:
            return False
        if not self.connected or self.unanswered or now - self.last_used < self.host.limits.counter_idle:
            return True
        # idle for some time: the counter may have closed it, and what is written then may be lost
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
        """Gives the calls of which nothing was written, and ends once none is owed."""
        self.retired, self.last_received = True, self.host.loop.now
        calls, self._unsent = list(self._unsent), deque()
        if not self.unanswered and self._partial is None:
            self.end()
        else:
            self.host.loop.wake(self._task)  # it waits for a limited time from now on
        return calls

    def call_timed_out(self, call: CounterCall) -> None:
        """A call's time is up. When nothing at all came since it was made, the connection may be dead: it is
        left to bring what it still owes, and later calls go elsewhere."""
        if self.last_received <= call.started_at and not self.retired:
            self.unresponsive = True
            self.counter.report_lost("silent")
            self.host.loop.wake(self._task)  # it waits for a limited time from now on

    def end(self) -> None:
        self.host.loop.end(self._task)

    def _run(self) -> Coroutine:
        try:
            due = self.host.loop.now + self.host.limits.connect
            if not (yield from connect(self._sock, self.counter.address, due)):
                if not self.retired:
                    self.counter.retry_at = self.host.loop.now + self.host.limits.counter_retry
                    self.counter.report_lost("cannot connect")
                return
            self.connected = True
            while not (self.retired and not self.unanswered and self._partial is None):
                blocked = not self._write()
                due = self.last_received + self.host.limits.counter_late if self.unresponsive or self.retired else 0
                signal = yield (READ | WRITE if blocked else READ), due
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
                self.counter.end(call, Ending.RESET)  # it may have been added
            for call in ([self._partial] if self._partial else []) + list(self._unsent):
                self.counter.end(call, Ending.NO_CONNECTION)  # its last byte was never written

    def _write(self) -> bool:
        """Writes the calls that wait, a buffer at a time; False when the socket takes no more."""
        while self._partial or self._unsent:
            data = self._tail
            calls = [(self._partial, len(data))] if self._partial else []
            while self._unsent and len(data) < self.host.limits.buffer:
                call = self._unsent.popleft()
                if call.ending is None:  # else its time was up before it could be written
                    data += call.line()
                    calls.append((call, len(data)))
            try:
                sent = self._sock.send(data) if data else 0
            except BlockingIOError:
                sent = 0
            except OSError:
                self._unsent.extendleft(call for call, _ in reversed(calls) if call is not self._partial)
                raise
            self._took(calls, data, sent)
            if sent < len(data):
                return False
        return True

    def _took(self, calls: list[tuple[CounterCall, int]], data: bytes, sent: int) -> None:
        """Sorts calls, each with the place where its line ends, by what the socket took of the data."""
        partial, self._partial, self._tail = self._partial, None, b""
        waiting: list[CounterCall] = []
        begin = 0
        for call, end in calls:
            if end <= sent:
                call.write_started = True
                self.unanswered.append(call)
            elif begin < sent or call is partial:
                call.write_started = True
                self._partial, self._tail = call, data[max(sent, begin) : end]
            else:
                waiting.append(call)
            begin = end
        self._unsent.extendleft(reversed(waiting))

    def _read(self) -> bool:
        """Takes answers; False when the counter ended the connection. Raises ValueError on a bad line."""
        pool = self.host.buffers
        buffer = pool.acquire()
        try:
            count = self._sock.recv_into(buffer)
            data = self._buffer + bytes(buffer[:count])
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
        self._buffer = lines.pop()
        for line in lines:
            self._settle(line.rstrip(b"\r"))
        if not PARTIAL.fullmatch(self._buffer):  # no end of it will make it an answer
            self._settle(self._buffer)
        return True

    def _settle(self, line: bytes) -> None:
        """The outcome of the call that is owed an answer longest. A spoilt one says that it was added, and no
        more; the connection is of no further use."""
        if not self.unanswered:
            raise ValueError("an answer to no call")
        call = self.unanswered.popleft()
        try:
            ending, level = parse_answer(line)
        except ValueError:
            self.counter.end(call, Ending.ERROR)
            raise
        self.counter.end(call, ending, level)
