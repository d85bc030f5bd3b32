"""Calls over kept connections, as `oakvale.lab.applications` needs them: a connection is used again for as long as the
process on its other end is there. Each call without an answer is recorded with the way in which it ended.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import cast
from urllib.parse import urlsplit

from oakvale.lab.applications.wire import HttpAnswer, HttpRequest

MAX_SILENCE_S = 10.0  # after which a connection is given up; longer than any freeze
RESET_DELAY_S = 0.02  # in which a reset follows an end of stream, if the peer had not read all

OnAnswer = Callable[[HttpAnswer | None], None]


class Ending(StrEnum):
    """How a call ended without an answer."""

    REFUSED = "refused"  # no connection was made
    RESET = "reset"  # the peer may not have read the call
    CLOSED = "closed"  # the peer read the call and closed the connection
    CUT = "cut"  # within the answer
    SILENCE = "silence"


@dataclass(slots=True, frozen=True)
class Unanswered:
    """A call without an answer. Times are microseconds of the callers' clock."""

    address: str
    verb: str
    sent_at: int
    ended_at: int
    ending: Ending
    is_first_on_connection: bool


def now_us() -> int:
    """The callers' clock."""
    return time.monotonic_ns() // 1_000


class Connections:
    """The connections of all callers, kept by address."""

    def __init__(self, core_addresses: Callable[[], Sequence[str]]) -> None:
        self.core_addresses = core_addresses
        self._loop = asyncio.get_running_loop()
        self._idle: dict[str, list[_Connection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.unanswered: list[Unanswered] = []
        self.last_success = ""  # the address that answered 200 last
        self.statuses: Counter[str] = Counter()
        self._is_closed = False

    @property
    def now(self) -> int:
        return now_us()

    def at(self, due: int, call: Callable[[], None]) -> None:
        """Calls back at that time."""
        self._loop.call_later(max(due - now_us(), 0) / 1e6, self._run, call)

    def send(self, address: str, request: HttpRequest, on_answer: OnAnswer) -> None:
        """Sends a request on a kept connection, or on a new one if none is idle."""
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable:
                return connection.send(request, on_answer)
        task = self._loop.create_task(self._connect(address, request, on_answer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Ends every connection; no call is answered any more."""
        self._is_closed = True
        for task in self._tasks:
            task.cancel()
        for connections in self._idle.values():
            for connection in connections:
                connection.abort()

    def answered(self, connection: _Connection, verb: str, answer: HttpAnswer) -> None:
        """Takes note of an answer, and keeps its connection."""
        self.statuses[f"{verb} {answer.status}"] += 1
        if answer.status == 200:
            self.last_success = connection.address
        if connection.is_usable:
            self._idle.setdefault(connection.address, []).append(connection)

    def _run(self, call: Callable[[], None]) -> None:
        if not self._is_closed:
            call()

    async def _connect(self, address: str, request: HttpRequest, on_answer: OnAnswer) -> None:
        host, _, port = address.rpartition(":")
        sent_at = now_us()
        try:
            made = self._loop.create_connection(lambda: _Connection(self, address), host, int(port))
            _, protocol = await asyncio.wait_for(made, MAX_SILENCE_S)
        except (OSError, TimeoutError):
            self.unanswered.append(Unanswered(address, request.verb, sent_at, now_us(), Ending.REFUSED, True))
            return on_answer(None)
        protocol.send(request, on_answer)


@dataclass(slots=True)
class _Exchange:
    """The call that is under way on a connection."""

    verb: str
    sent_at: int
    on_answer: OnAnswer
    timeout: asyncio.TimerHandle


class _Connection(asyncio.Protocol):
    """Carries one call at a time."""

    def __init__(self, owner: Connections, address: str) -> None:
        self._owner, self.address = owner, address
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._received = b""
        self._exchange: _Exchange | None = None
        self._answer_count = 0
        self.is_usable = True

    def send(self, request: HttpRequest, on_answer: OnAnswer) -> None:
        """Sends a request."""
        assert self._transport is not None and self._exchange is None
        timeout = self._loop.call_later(MAX_SILENCE_S, self._fail, Ending.SILENCE)
        self._exchange = _Exchange(request.verb, now_us(), on_answer, timeout)
        self._transport.write(_serialize(self.address, request))

    def abort(self) -> None:
        """Ends the connection."""
        self.is_usable = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, end, rest = self._received.partition(b"\r\n\r\n")
        if not end:
            return
        status_line, *lines = head.decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return
        self._received = rest[length:]
        if headers.get("connection", "").lower() == "close":
            self.is_usable = False
        location = urlsplit(headers.get("location", "")).netloc
        self._finish(HttpAnswer(int(status_line.split()[1]), rest[:length], location))

    def eof_received(self) -> bool:
        """Keeps the socket open for a moment: a peer that had not read the call resets it next."""
        self.is_usable = False
        self._loop.call_later(RESET_DELAY_S, self._judge_end)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        self._fail(Ending.RESET)

    def _judge_end(self) -> None:
        if self._exchange is not None and self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            was_reset = self._transport.is_closing() or sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
            self._fail(Ending.RESET if was_reset else Ending.CUT if self._received else Ending.CLOSED)
        self.abort()

    def _finish(self, answer: HttpAnswer) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is None:  # an answer that nobody asked for
            return self.abort()
        exchange.timeout.cancel()
        self._answer_count += 1
        self._owner.answered(self, exchange.verb, answer)
        if not self.is_usable:
            self.abort()
        exchange.on_answer(answer)

    def _fail(self, ending: Ending) -> None:
        exchange, self._exchange = self._exchange, None
        self.abort()
        if exchange is not None:
            exchange.timeout.cancel()
            is_first = self._answer_count == 0
            self._owner.unanswered.append(
                Unanswered(self.address, exchange.verb, exchange.sent_at, now_us(), ending, is_first)
            )
            exchange.on_answer(None)


def _serialize(address: str, request: HttpRequest) -> bytes:
    path = f"/oakvale/{request.verb}" + (f"/{request.name}" if request.name else "")
    target = path + (f"?{request.query}" if request.query else "")
    head = f"{request.method.decode()} {target} HTTP/1.1\r\nHost: {address}\r\n"
    if request.body:
        head += f"Content-Type: application/json\r\nContent-Length: {len(request.body)}\r\n"
    return head.encode() + b"\r\n" + request.body
