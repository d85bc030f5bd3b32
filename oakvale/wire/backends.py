"""Attempts: connections to backends, a coroutine each, one request at a time. Nothing is sent twice here."""

from __future__ import annotations

from typing import Protocol

import h11

from oakvale.base.address import Address
from oakvale.base.loop import READ, WOKEN, Coroutine, Rank, Step
from oakvale.interface import Ending
from oakvale.memory.buffers import BodyMemory, BodyMemoryShare
from oakvale.memory.idle_connections import IdleConnections
from oakvale.memory.requests import Answer, Headers, InFlightAttempt
from oakvale.numbers import parse_decimal
from oakvale.wire.http import END_OF_MESSAGE, end_to_end, read_more
from oakvale.wire.owner import BaseOwner
from oakvale.wire.tcp import ConnectionLost, connect, new_socket, peek, reset_on_close, write_all

GATEWAY_HEADERS = frozenset({b"endpoint-load-metrics", b"x-never-ran"})  # what backends tell gateways, not clients
REPLACED_HEADERS = frozenset({b"x-trace-id", b"x-expires-in"})
LOAD_HEADER = b"endpoint-load-metrics"
IDLE_CLOSE_MARGIN_US = 1_200_000  # microseconds before its end at which an idle connection is used no more


class InvalidAnswer(Exception):
    """What a backend sent is no answer to go by. The request may have run; the connection is of no use."""


def parse_load_report(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """`TEXT inflight=7, util=0.61` in the order of the settings' fields; empty where it is not understood: no
    part of such a report counts."""
    try:
        pairs = dict(p.split("=", 1) for p in text.decode("ascii").removeprefix("TEXT").split(","))
        values = {k.strip(): parse_decimal(v.strip()) for k, v in pairs.items()}
    except ValueError:
        return ()
    if any(value < 0 for value in values.values()):
        return ()
    return tuple(values.get(f, 0.0) for f in fields)


def declared_length(event: h11.Response, longest: int) -> int:
    """How long an answer says that it is; raises Spoilt where its end is in doubt or too far away, before any
    of its body is read."""
    fields = dict(event.headers)
    length = fields.get(b"content-length")
    if b"transfer-encoding" in fields:
        if length is not None or event.http_version != b"1.1":
            raise InvalidAnswer("framing in doubt")
        return 0
    if length is None and event.status_code not in (204, 304):
        raise InvalidAnswer("no length: a cut answer would look whole")
    if int(length or 0) > longest:
        raise InvalidAnswer(f"too large: {int(length or 0)}")
    return int(length or 0)


def is_client_error(answer: Answer) -> bool:
    """The request can't be used by any backend: what this one says of it goes to the client, as 4xx do."""
    return 400 <= answer.status < 500 and answer.status not in (408, 425, 429)


def ending_for_answer(answer: Answer) -> Ending:
    if answer.status == 200:
        return Ending.SERVED
    if answer.status in (503, 504) and (b"x-never-ran", b"1") in answer.headers:
        return Ending.FULL
    return Ending.ERROR


class Dialect(Protocol):
    """What a deployment's backends are told and how their answers are taken."""

    partial_request_may_run: bool  # whether a request of which a part was written may have run

    def headers(self, attempt: InFlightAttempt, left: int) -> Headers:
        """Those that go with a request, `left` microseconds before its end; without its framing."""

    def matches_attempt(self, attempt: InFlightAttempt, status: int, headers: Headers) -> bool:
        """Whether an answer's head is of this attempt, not a surplus one of an attempt before."""

    def identifies_attempt(self, headers: Headers) -> bool:
        """Whether a head says itself which attempt it is of. Another copy of one that does not would be taken for
        the next answer on its connection."""

    def waits_for_rest(self, attempt: InFlightAttempt) -> bool:
        """Whether an answer that stops midway is waited for to the attempt's end."""

    def check_headers(self, headers: Headers) -> None:
        """Raises Spoilt where a head tells that the answer is not the backend's."""

    def ending(self, answer: Answer) -> Ending:
        """What a whole answer says of its attempt."""

    def keep_alive_us(self, headers: Headers) -> int | None:
        """Microseconds that the backend keeps an idle connection, where an answer tells."""

    def parse_load(self, headers: Headers) -> tuple[float, ...]:
        """The load that a backend tells of with an answer."""

    def client_answer(self, attempt: InFlightAttempt, ending: Ending, answer: Answer) -> Answer | None:
        """What the client gets of it as the final answer; None where another attempt may follow."""


class ServiceDialect:
    """What is spoken with the backends of the gateway in service."""

    partial_request_may_run = False

    def __init__(self, columns: tuple[str, ...]) -> None:
        self._columns = columns

    def headers(self, attempt: InFlightAttempt, left: int) -> Headers:
        request = attempt.request
        return [
            *end_to_end(request.headers, REPLACED_HEADERS),
            (b"x-trace-id", request.id.encode()),
            (b"x-expires-in", b"%du" % left),
        ]

    def matches_attempt(self, attempt: InFlightAttempt, status: int, headers: Headers) -> bool:
        return True

    def identifies_attempt(self, headers: Headers) -> bool:
        return True  # nothing on its wire names one

    def waits_for_rest(self, attempt: InFlightAttempt) -> bool:
        return False

    def check_headers(self, headers: Headers) -> None:
        pass

    def ending(self, answer: Answer) -> Ending:
        return ending_for_answer(answer)

    def keep_alive_us(self, headers: Headers) -> int | None:
        return None

    def parse_load(self, headers: Headers) -> tuple[float, ...]:
        found = [value for name, value in headers if name == LOAD_HEADER]
        return parse_load_report(found[-1], self._columns) if found else ()

    def client_answer(self, attempt: InFlightAttempt, ending: Ending, answer: Answer) -> Answer | None:
        if ending is Ending.SERVED or is_client_error(answer):
            return Answer(answer.status, end_to_end(answer.headers, GATEWAY_HEADERS), answer.body)
        return None


class Owner(BaseOwner, Protocol):
    """What a connection to a backend needs of the lane that it belongs to."""

    backend_connections: int

    @property
    def bodies(self) -> BodyMemory: ...
    @property
    def idle(self) -> IdleConnections: ...
    @property
    def dialect(self) -> Dialect: ...

    def serves(self, backend: int) -> bool:
        """Neither leaving nor left: a connection to it may be kept."""

    def attempt_ended(
        self, attempt: InFlightAttempt, ending: Ending, answer: Answer | None = None, report: tuple[float, ...] = ()
    ) -> None:
        """Said once of every attempt."""


class BackendConnection:
    def __init__(self, host: Owner, attempt: InFlightAttempt, address: Address) -> None:
        self.host, self.backend, self.last_used = host, attempt.backend, host.loop.now
        self.attempt: InFlightAttempt | None = attempt
        self.max_idle_us = host.limits.backend_idle  # while idle
        self._share = BodyMemoryShare(host.bodies)
        self._unsent, self._begun = b"", False  # of the request; whether the kernel has taken any of it
        self._sock = new_socket(host.loop.net)
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=host.limits.header)
        attempt.connection = self
        host.backend_connections += 1
        self._task = host.loop.start(self._run(attempt, address), self._sock.fileno(), Rank.BACKEND)

    def start_attempt(self, attempt: InFlightAttempt, host: Owner) -> None:
        """Gives an idle connection its next request; two lanes of a service share them."""
        self.host = host
        self.attempt, attempt.connection = attempt, self
        attempt.connection_idle_us = max(1, self.host.loop.now - self.last_used)
        self.host.loop.wake(self._task)

    def is_reusable(self) -> bool:
        """Neither ended nor holding stray bytes: a request written to a closed connection may have run."""
        return peek(self._sock) is None

    def end(self) -> None:
        """Ends it at once; an attempt on it is broken off."""
        if self.attempt is not None:
            reset_on_close(self._sock)
        self.attempt = None
        self.host.loop.end(self._task)

    def _run(self, attempt: InFlightAttempt, address: Address) -> Coroutine:
        try:
            due = min(self.last_used + self.host.limits.connect, attempt.deadline)
            if not (yield from connect(self._sock, address, due)):
                return self._finish(Ending.NO_CONNECTION)
            while (yield from self._exchange()):
                while self.attempt is None:
                    if (yield READ, 0) != WOKEN:
                        return  # closed by the backend, or bytes that belong to no request
        finally:
            self._sock.close()
            self._share.hold(0)
            self.host.backend_connections -= 1
            self.host.idle.remove(self)
            if self.attempt is not None:  # a fault of this coroutine: its attempt still ends
                self._finish(Ending.RESET if self._may_have_run(self.attempt) else Ending.NO_CONNECTION)

    def _may_have_run(self, attempt: InFlightAttempt) -> bool:
        """What surely never ran is what no kernel was handed; for some backends, what it was not handed whole."""
        return attempt.written or self._begun and self.host.dialect.partial_request_may_run

    def _send(self, attempt: InFlightAttempt) -> Step[None]:
        """All of the request, or until something comes back: an answer may come before the backend has read all."""
        if self._unsent:
            begun, self._begun = self._begun, True  # however this ends, unless it is known that nothing went out
            try:
                sent = yield from write_all(self._sock, self._unsent, attempt.deadline, stop_on_input=True)
            except ConnectionLost as gone:
                self._begun = begun or gone.begun
                raise
            self._begun = begun or sent > 0
            self._unsent = self._unsent[sent:]
            attempt.written = not self._unsent

    def _exchange(self) -> Step[bool]:
        """Sends the attempt's request and takes its answer; False when the connection can't be used again."""
        attempt = self.attempt
        assert attempt is not None
        self._begun = False
        try:
            self._unsent = self._message(attempt)
            yield from self._send(attempt)
            answer, report = yield from self._answer(attempt)
        except ConnectionLost as gone:
            if gone.timed_out:  # a request that is still on its way would run for nobody
                reset_on_close(self._sock)
            if not self._may_have_run(attempt):
                self._finish(Ending.NO_CONNECTION)
            else:
                attempt.dropped_before_answer = (
                    bool(attempt.connection_idle_us)
                    and not gone.timed_out
                    and not self._http.trailing_data[0]
                    and (self._http.their_state is h11.SEND_RESPONSE)
                )
                self._finish(Ending.TIMEOUT if gone.timed_out else Ending.RESET)
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
        if reusable:  # before the module hears of the end: its next attempt may want this connection
            http.start_next_cycle()
            self._share.hold(0)
            self.attempt, self.last_used = None, self.host.loop.now
            told = self.host.dialect.keep_alive_us(answer.headers)
            # well before the other side closes: what is written to a closed connection may have run
            self.max_idle_us = (
                self.host.limits.backend_idle if told is None else max(told // 2, told - IDLE_CLOSE_MARGIN_US)
            )
            attempt.reusable_for_us = self.max_idle_us
            self.host.idle.put(self)
            self.host.attempt_ended(attempt, self.host.dialect.ending(answer), answer, report)
        else:
            self._finish(self.host.dialect.ending(answer), answer, report)
        return reusable

    def _message(self, attempt: InFlightAttempt) -> bytes:
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

    def _again(self, attempt: InFlightAttempt) -> h11.Connection:
        """A parser as if the request had just been written, given what came behind a surplus answer."""
        rest = self._http.trailing_data[0]
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=self.host.limits.header)
        self._message(attempt)
        if rest:
            self._http.receive_data(rest)
        return self._http

    def _answer(self, attempt: InFlightAttempt) -> Step[tuple[Answer, tuple[float, ...]]]:
        http, pool, limits, due = self._http, self.host.buffers, self.host.limits, attempt.deadline
        answer = Answer(0)
        report: tuple[float, ...] = ()
        parts: list[bytes] = []
        size = interims = 0
        surplus = False
        quiet = False  # behind an interim answer, nothing has come: the answer has all the time there is
        yield from read_more(self._sock, http, pool, due)
        while True:
            event = http.next_event()
            # h11's events are abstract classes: isinstance is slow on them
            if event is h11.NEED_DATA:
                # one that says more than it sends stays open and silent: it is not waited for to the deadline
                patient = quiet or self.host.dialect.waits_for_rest(attempt)
                rest_due = due if patient else min(due, self.host.loop.now + limits.answer_rest)
                try:
                    yield from self._send(attempt)  # what was not written when this answer's like came
                    yield from read_more(self._sock, http, pool, rest_due)
                except ConnectionLost as gone:
                    if gone.timed_out and rest_due < due:
                        raise InvalidAnswer("its rest did not come") from gone
                    raise
                quiet = False
            elif type(event) is h11.InformationalResponse:
                interims, quiet = interims + 1, True
                if interims > limits.interims:
                    raise InvalidAnswer("too many interim answers")
            elif type(event) is h11.Response:
                self._set_aside(declared_length(event, limits.answer))
                answer.status, answer.headers = event.status_code, list(event.headers)
                surplus = not self.host.dialect.matches_attempt(attempt, answer.status, answer.headers)
                if not surplus:
                    self.host.dialect.check_headers(answer.headers)
                report = self.host.dialect.parse_load(answer.headers)
            elif type(event) is h11.Data:
                parts.append(bytes(event.data))
                size += len(parts[-1])
                if size > limits.answer:
                    raise InvalidAnswer("too large")
                self._set_aside(size)
            elif type(event) is h11.EndOfMessage:
                if not surplus:
                    answer.body = parts[0] if len(parts) == 1 else b"".join(parts)
                    return answer, report
                # of an attempt before, in the place of this one's: thrown away, the next one is waited for
                self.host.log.warning("surplus answer", extra={"backend": self.backend})
                answer, parts, size, quiet, interims = Answer(0), [], 0, True, interims + 1
                if interims > limits.interims:
                    raise InvalidAnswer("too many surplus answers")
                http = self._again(attempt)
            elif type(event) is h11.ConnectionClosed:
                raise ConnectionLost()
            else:  # h11 pauses where a protocol is switched: it would say so for ever
                raise InvalidAnswer("another protocol")

    def _set_aside(self, size: int) -> None:
        if size > self.host.limits.body and not self._share.grow(size):
            raise InvalidAnswer("no room for it")

    def _finish(self, ending: Ending, answer: Answer | None = None, report: tuple[float, ...] = ()) -> None:
        attempt, self.attempt = self.attempt, None
        self._share.hold(0)
        if attempt is not None:
            self.host.attempt_ended(attempt, ending, answer, report)
