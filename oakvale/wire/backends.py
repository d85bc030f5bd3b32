"""Connections to backends: one coroutine each, one request at a time. Requests are never resent here."""

from __future__ import annotations

from typing import Protocol

import h11

from oakvale.base.address import Address
from oakvale.base.loop import BROKEN, READ, TIMED_OUT, WOKEN, Coroutine, Priority, Step
from oakvale.interface import Ending
from oakvale.memory.buffers import BodyMemory, BodyMemoryShare
from oakvale.memory.idle_connections import IdleConnections
from oakvale.memory.requests import Answer, Headers, InFlightAttempt
from oakvale.numbers import parse_decimal
from oakvale.wire.http import END_OF_MESSAGE, end_to_end, read_more
from oakvale.wire.owner import BaseOwner
from oakvale.wire.tcp import ConnectionLost, connect, new_socket, peek, reset_on_close, write_all

GATEWAY_HEADERS = frozenset({b"endpoint-load-metrics", b"x-never-ran"})  # not forwarded to clients
REPLACED_HEADERS = frozenset({b"x-trace-id", b"x-expires-in"})  # set anew for each attempt
LOAD_HEADER = b"endpoint-load-metrics"
IDLE_CLOSE_MARGIN_US = 1_200_000  # reuse ends this long before the backend closes an idle connection


class InvalidAnswer(Exception):
    """A backend's answer cannot be used. The request may have run; the connection must be closed."""


def parse_load_report(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Parses a load report such as `TEXT inflight=7, util=0.61` into the values of `fields`, 0 where absent.

    A report with any malformed or negative value is ignored as a whole: the result is empty."""
    try:
        pairs = dict(pair.split("=", 1) for pair in text.decode("ascii").removeprefix("TEXT").split(","))
        values = {name.strip(): parse_decimal(value.strip()) for name, value in pairs.items()}
    except ValueError:
        return ()
    if any(value < 0 for value in values.values()):
        return ()
    return tuple(values.get(field, 0.0) for field in fields)


def declared_length(event: h11.Response, max_bytes: int) -> int:
    """The declared body length of an answer, 0 if there is none.

    Raises InvalidAnswer if the end of the body is ambiguous, or the length exceeds `max_bytes`."""
    fields = dict(event.headers)
    length = fields.get(b"content-length")
    if b"transfer-encoding" in fields:
        if length is not None or event.http_version != b"1.1":
            raise InvalidAnswer("ambiguous message length: transfer-encoding with content-length or HTTP/1.0")
        return 0
    if length is None and event.status_code not in (204, 304):
        raise InvalidAnswer("no content-length or chunking: a truncated answer would look complete")
    if int(length or 0) > max_bytes:
        raise InvalidAnswer(f"content-length {int(length or 0)} exceeds the limit")
    return int(length or 0)


def is_client_error(answer: Answer) -> bool:
    """Whether the answer blames the request itself, so that another backend would answer the same."""
    return 400 <= answer.status < 500 and answer.status not in (408, 425, 429)


def ending_for_answer(answer: Answer) -> Ending:
    """How an attempt with a complete answer ended."""
    if answer.status == 200:
        return Ending.SERVED
    if answer.status in (503, 504) and (b"x-never-ran", b"1") in answer.headers:
        return Ending.FULL
    return Ending.ERROR


class Dialect(Protocol):
    """The headers that the backends of a deployment expect, and how their answers are interpreted."""

    partial_request_may_run: bool  # whether a partly written request may have run

    def headers(self, attempt: InFlightAttempt, left_us: int) -> Headers:
        """The request headers, without framing; `left_us` is the time to the deadline of the attempt."""

    def matches_attempt(self, attempt: InFlightAttempt, status: int, headers: Headers) -> bool:
        """Whether an answer's head is for this attempt, not a duplicate for an earlier one."""

    def identifies_attempt(self, headers: Headers) -> bool:
        """Whether the headers of an answer name its attempt. A duplicate of one that does not would be taken for the
        next answer on the connection."""

    def waits_for_rest(self, attempt: InFlightAttempt) -> bool:
        """Whether to wait for the rest of a partial answer until the deadline of the attempt."""

    def check_headers(self, attempt: InFlightAttempt, headers: Headers) -> None:
        """Raises InvalidAnswer if the headers show that the answer was altered on its way, or may be for another
        request."""

    def ending(self, answer: Answer) -> Ending:
        """How an attempt with this complete answer ended."""

    def keep_alive_us(self, headers: Headers) -> int | None:
        """How long the backend keeps an idle connection open, if the answer says so."""

    def parse_load(self, headers: Headers) -> tuple[float, ...]:
        """The load report in the headers of an answer; empty if there is none."""

    def client_answer(self, attempt: InFlightAttempt, ending: Ending, answer: Answer) -> Answer | None:
        """The final answer to the client; None if another attempt may follow."""


class ServiceDialect:
    """The protocol of the backends of the stand-alone gateway."""

    partial_request_may_run = False

    def __init__(self, load_fields: tuple[str, ...]) -> None:
        self._load_fields = load_fields

    def headers(self, attempt: InFlightAttempt, left_us: int) -> Headers:
        request = attempt.request
        return [
            *end_to_end(request.headers, REPLACED_HEADERS),
            (b"x-trace-id", request.id.encode()),
            (b"x-expires-in", b"%du" % left_us),
        ]

    def matches_attempt(self, attempt: InFlightAttempt, status: int, headers: Headers) -> bool:
        return True

    def identifies_attempt(self, headers: Headers) -> bool:
        return True  # this protocol has no attempt ids

    def waits_for_rest(self, attempt: InFlightAttempt) -> bool:
        return False

    def check_headers(self, attempt: InFlightAttempt, headers: Headers) -> None:
        pass

    def ending(self, answer: Answer) -> Ending:
        return ending_for_answer(answer)

    def keep_alive_us(self, headers: Headers) -> int | None:
        return None

    def parse_load(self, headers: Headers) -> tuple[float, ...]:
        reports = [value for name, value in headers if name == LOAD_HEADER]
        return parse_load_report(reports[-1], self._load_fields) if reports else ()

    def client_answer(self, attempt: InFlightAttempt, ending: Ending, answer: Answer) -> Answer | None:
        if ending is Ending.SERVED or is_client_error(answer):
            return Answer(answer.status, end_to_end(answer.headers, GATEWAY_HEADERS), answer.body)
        return None


class Owner(BaseOwner, Protocol):
    """What a connection to a backend needs of the driver that it belongs to."""

    backend_connections: int

    @property
    def stopping(self) -> bool:
        """Whether the process is shutting down."""

    @property
    def answers(self) -> BodyMemory: ...
    @property
    def idle(self) -> IdleConnections: ...
    @property
    def dialect(self) -> Dialect: ...

    def serves(self, backend: int) -> bool:
        """Whether a backend takes requests, so that an idle connection to it may be kept."""

    def attempt_ended(
        self, attempt: InFlightAttempt, ending: Ending, answer: Answer | None = None, report: tuple[float, ...] = ()
    ) -> None:
        """Called exactly once per attempt."""


class BackendConnection:
    """A connection and its coroutine, from connecting for a first attempt until it is closed."""

    def __init__(self, host: Owner, attempt: InFlightAttempt, address: Address) -> None:
        self.host, self.backend, self.last_used = host, attempt.backend, host.loop.now
        self.attempt: InFlightAttempt | None = None
        self.max_idle_us = host.limits.backend_idle
        self._share = BodyMemoryShare(host.answers)
        # the rest of the current request, and whether the kernel may have taken any of it
        self._unsent, self._write_started = b"", False
        self._sock = new_socket(host.loop.net)
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=host.limits.header)
        self._carry(attempt)
        host.backend_connections += 1
        self._task = host.loop.start(self._run(attempt, address), self._sock.fileno(), Priority.BACKEND)

    def start_attempt(self, attempt: InFlightAttempt, host: Owner) -> None:
        """Starts an attempt on an idle connection; the drivers of a service share their idle connections."""
        self.host = host
        self._carry(attempt)
        attempt.connection_idle_us = max(1, self.host.loop.now - self.last_used)
        self.host.loop.wake(self._task)

    def _carry(self, attempt: InFlightAttempt) -> None:
        self.attempt, attempt.connection = attempt, self
        attempt.request.used_connections.add(self)

    def is_reusable(self) -> bool:
        """Whether it is open, with no unexpected bytes: a request written to a closed connection may have run."""
        return peek(self._sock) is None

    def end(self) -> None:
        """Closes it at once; with an attempt in flight, by a reset."""
        if self.attempt is not None:
            reset_on_close(self._sock)
        self.attempt = None
        self.host.loop.end(self._task)

    def _run(self, attempt: InFlightAttempt, address: Address) -> Coroutine:
        try:
            connect_deadline = min(self.last_used + self.host.limits.connect, attempt.deadline)
            if not (yield from connect(self._sock, address, connect_deadline)):
                return self._finish(Ending.NO_CONNECTION)
            while (yield from self._exchange()):
                while self.attempt is None:
                    if (yield READ, 0) != WOKEN:
                        return  # closed by the backend, or bytes received without a request
        finally:
            self._sock.close()
            self._share.hold(0)
            self.host.backend_connections -= 1
            self.host.idle.remove(self)
            if self.attempt is not None:  # an exception: the attempt must still be reported as ended
                self._finish(Ending.RESET if self._may_have_run(self.attempt) else Ending.NO_CONNECTION)

    def _may_have_run(self, attempt: InFlightAttempt) -> bool:
        """Whether the request may have run: it was written completely or, for some protocols, partly."""
        return attempt.written or self._write_started and self.host.dialect.partial_request_may_run

    def _send(self, attempt: InFlightAttempt) -> Step[None]:
        """Writes the rest of the request, but stops once something is received: the answer may come early."""
        if self._unsent:
            # counts as started if this is interrupted, unless it is known that nothing was sent
            started_before, self._write_started = self._write_started, True
            try:
                sent = yield from write_all(self._sock, self._unsent, attempt.deadline, stop_on_input=True)
            except ConnectionLost as lost:
                self._write_started = started_before or lost.write_started
                raise
            self._write_started = started_before or sent > 0
            self._unsent = self._unsent[sent:]
            attempt.written = not self._unsent

    def _exchange(self) -> Step[bool]:
        """Sends the request of the attempt and receives the answer; False if the connection cannot be reused."""
        attempt = self.attempt
        assert attempt is not None
        self._write_started = False
        try:
            self._unsent = self._encode_request(attempt)
            yield from self._send(attempt)
            answer, report = yield from self._read_answer(attempt)
        except ConnectionLost as lost:
            if lost.timed_out:  # discards request bytes not yet sent, which nobody waits for
                reset_on_close(self._sock)
            if not self._may_have_run(attempt):
                self._finish(Ending.NO_CONNECTION)
            else:
                attempt.dropped_before_answer = (
                    bool(attempt.connection_idle_us)
                    and not lost.timed_out
                    and not self._http.trailing_data[0]
                    and (self._http.their_state is h11.SEND_RESPONSE)
                )
                self._finish(Ending.TIMEOUT if lost.timed_out else Ending.RESET)
            return False
        except (h11.RemoteProtocolError, InvalidAnswer) as error:
            self.host.log.warning("spoilt answer", extra={"backend": self.backend, "why": str(error)[:200]})
            self._finish(Ending.RESET)
            return False
        http = self._http
        reusable = (
            http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not http.trailing_data[0]
            and attempt.written
            and self.host.dialect.identifies_attempt(answer.headers)
            and self.host.serves(self.backend)
        )
        ending, keep_alive_us = self.host.dialect.ending(answer), self.host.dialect.keep_alive_us(answer.headers)
        if reusable:  # made idle before the end is reported: the next attempt may use this connection
            http.start_next_cycle()
            self._share.hold(0)
            self.attempt, self.last_used = None, self.host.loop.now
            # ends well before the backend closes: a request written to a closed connection may have run
            self.max_idle_us = (
                self.host.limits.backend_idle
                if keep_alive_us is None
                else max(keep_alive_us // 2, keep_alive_us - IDLE_CLOSE_MARGIN_US)
            )
            attempt.reusable_for_us = self.max_idle_us
            self.host.idle.put(self)
            self.host.attempt_ended(attempt, ending, answer, report)
        else:
            self._finish(ending, answer, report)
        return reusable

    def _encode_request(self, attempt: InFlightAttempt) -> bytes:
        """Passes the request through the parser, which then expects its answer, and returns its bytes."""
        request, http = attempt.request, self._http
        method = request.method
        headers = self.host.dialect.headers(attempt, max(0, attempt.deadline - self.host.loop.now))
        if request.body or method != b"GET":
            headers.append((b"content-length", b"%d" % len(request.body)))
        head = http.send(h11.Request(method=method, target=request.target, headers=headers)) or b""
        if request.body:
            http.send(h11.Data(data=request.body))
        http.send(END_OF_MESSAGE)
        return head + request.body

    def _restart_parser(self, attempt: InFlightAttempt) -> h11.Connection:
        """A new parser that expects the answer of the request and has been given the bytes after a duplicate answer."""
        following_bytes = self._http.trailing_data[0]
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=self.host.limits.header)
        self._encode_request(attempt)
        if following_bytes:
            self._http.receive_data(following_bytes)
        return self._http

    def _read_answer(self, attempt: InFlightAttempt) -> Step[tuple[Answer, tuple[float, ...]]]:
        """Reads the final answer of the attempt and its load report; raises ConnectionLost or InvalidAnswer."""
        http, pool, limits, deadline = self._http, self.host.buffers, self.host.limits, attempt.deadline
        answer = Answer(0)
        report: tuple[float, ...] = ()
        parts: list[bytes] = []
        size = skipped = 0  # bytes of body; interim and duplicate answers
        duplicate = False
        awaiting_final = False  # nothing received after an interim or duplicate answer: wait until the deadline
        yield from read_more(self._sock, http, pool, deadline)
        while True:
            event = http.next_event()
            # not isinstance, which is slow on h11's abstract event classes
            if event is h11.NEED_DATA:
                # an answer shorter than its declared length is given up before the deadline
                yield from self._send(attempt)  # what was left of the request when something was received
                yield from self._read_rest(attempt, patient=awaiting_final)
                awaiting_final = False
            elif type(event) is h11.InformationalResponse:
                skipped, awaiting_final = skipped + 1, True
                if skipped > limits.interims:
                    raise InvalidAnswer("too many interim answers")
            elif type(event) is h11.Response:
                length = declared_length(event, limits.answer)
                if not self._share.grow(length):
                    yield from self._await_memory(length, deadline)
                answer.status, answer.headers = event.status_code, list(event.headers)
                duplicate = not self.host.dialect.matches_attempt(attempt, answer.status, answer.headers)
                if not duplicate:
                    self.host.dialect.check_headers(attempt, answer.headers)
                report = self.host.dialect.parse_load(answer.headers)
            elif type(event) is h11.Data:
                parts.append(bytes(event.data))
                size += len(parts[-1])
                if size > limits.answer:
                    raise InvalidAnswer("body exceeds the limit")
                if not self._share.grow(size):
                    yield from self._await_memory(size, min(deadline, self.host.loop.now + limits.answer_rest))
            elif type(event) is h11.EndOfMessage:
                if not duplicate:
                    answer.body = parts[0] if len(parts) == 1 else b"".join(parts)
                    return answer, report
                # for an earlier attempt: discarded, and the next answer is awaited
                self.host.log.warning("surplus answer", extra={"backend": self.backend})
                answer, parts, size, awaiting_final, skipped = Answer(0), [], 0, True, skipped + 1
                if skipped > limits.interims:
                    raise InvalidAnswer("too many answers to earlier attempts")
                http = self._restart_parser(attempt)
            elif type(event) is h11.ConnectionClosed:
                raise ConnectionLost()
            else:  # h11 stays paused once the protocol is switched
                raise InvalidAnswer("the backend switched protocols")

    def _read_rest(self, attempt: InFlightAttempt, patient: bool) -> Step[None]:
        """Reads more of an answer that has begun. Raises ConnectionLost, or InvalidAnswer where the rest is late.

        With `patient` the rest is awaited until the deadline, as it is by a process that is stopping, also where that
        began during the wait: the answer is in transit, and another attempt may find no room and no time."""
        host = self.host
        read_deadline = attempt.deadline
        if not (patient or host.stopping or host.dialect.waits_for_rest(attempt)):
            read_deadline = min(read_deadline, host.loop.now + host.limits.answer_rest)
        try:
            yield from read_more(self._sock, self._http, host.buffers, read_deadline)
        except ConnectionLost as lost:
            if not lost.timed_out or read_deadline == attempt.deadline:
                raise
            if not host.stopping:
                raise InvalidAnswer("timed out waiting for the rest of the answer") from lost
            yield from read_more(self._sock, self._http, host.buffers, attempt.deadline)

    def _await_memory(self, size: int, until: int) -> Step[None]:
        """Waits until there is memory for an answer of this size; meanwhile its backend is held up by not being read.

        One without a declared length holds what has come, so it waits for less long: several could wait for each other.
        Raises ConnectionLost if the backend breaks off or the attempt's time is over, else InvalidAnswer."""
        loop = self.host.loop
        while not self._share.grow(size):
            if loop.now >= until:
                if self.attempt is not None and until == self.attempt.deadline:
                    raise ConnectionLost(timed_out=True)
                raise InvalidAnswer("no memory for the answer")
            signal = yield 0, min(until, loop.now + self.host.limits.memory_pause)
            if signal not in (TIMED_OUT, WOKEN) and signal & BROKEN:
                raise ConnectionLost()

    def _finish(self, ending: Ending, answer: Answer | None = None, report: tuple[float, ...] = ()) -> None:
        """Reports the end of the attempt in flight, if there is one."""
        attempt, self.attempt = self.attempt, None
        self._share.hold(0)
        if attempt is not None:
            self.host.attempt_ended(attempt, ending, answer, report)
