"""Clients: one coroutine a connection that reads requests, waits for the module's answer and writes it."""

from __future__ import annotations

import re
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol

import h11

from oakvale import interface as i
from oakvale.base.loop import BROKEN, READ, TIMED_OUT, WOKEN, Coroutine, Rank, Step
from oakvale.base.net import Sock
from oakvale.memory.buffers import BodyMemory, BodyMemoryShare
from oakvale.memory.counters import Tally
from oakvale.memory.idle_connections import ClientConnections
from oakvale.memory.requests import Answer, ClientRequest, Headers
from oakvale.numbers import parse_decimal, parse_integer
from oakvale.settings import NameIndexes
from oakvale.wire.http import END_OF_MESSAGE, read_more
from oakvale.wire.owner import BaseOwner
from oakvale.wire.tcp import ConnectionLost, peek, write_all

HEALTH_PATH = b"/_health"
CONTINUE = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
METHODS = (b"GET", b"POST")
TRACE_ID = re.compile(r"[0-9A-Za-z._-]{1,64}")
CUSTOMER = re.compile(r"[0-9a-f]{16}")
EXPIRES = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
ONCE = (b"x-trace-id", b"x-tier", b"x-expires-in", b"x-call-terms")  # named twice, they say two things
TERMS_LONGEST = 128
READ_LATE_US = 100_000  # a request that has lain in the socket for so long may be nobody's any more
PROBE_ANSWER_US = 50_000  # a socket that was closed answers a probe in a round trip
UNITS = {"m": 1000, "u": 1}
SECOND_TRY = 2  # the simulator's mark of a client's repeat

Terms = Callable[[str], tuple[float, int, int]]


class BadRequest(Exception):
    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class FatalBadRequest(BadRequest):
    """What follows on this connection is not read."""


def parse_call_terms(settings: i.Settings, text: str) -> tuple[float, int, int]:
    """`units=2,spread=3,first=1`; keys that are not known are skipped. Out of range is refused here: units
    that no request has would use up their customer's quota on every gateway."""
    try:
        pairs = [part.strip().split("=", 1) for part in text[:TERMS_LONGEST].split(",")]
        named = {key: value for key, value in pairs}
        units, spread, first = (
            parse_decimal(named["units"]),
            parse_integer(named["spread"]),
            parse_integer(named["first"]),
        )
    except (KeyError, ValueError) as error:
        raise BadRequest(400, "X-Call-Terms is not understood") from error
    if len(named) != len(pairs) or len(text) > TERMS_LONGEST:
        raise BadRequest(400, "X-Call-Terms is not understood")
    if not 0 < units <= settings.largest or not 1 <= spread <= settings.fleet or first >= settings.fleet:
        raise BadRequest(400, "X-Call-Terms is out of range")
    return units, spread, first


def required_text(value: bytes | None, what: str) -> str:
    if value is None:
        raise BadRequest(400, f"{what} is missing")
    return value.decode("latin-1")


@dataclass(slots=True)
class IncomingRequest:
    """A request as it was read. h11's headers are slow to walk through, so they are copied once."""

    method: bytes
    target: bytes
    headers: Headers
    fields: dict[bytes, bytes]
    body: bytes = b""

    def head_size(self) -> int:
        """Bytes of its head, as they are sent most shortly: h11 bounds only heads that come in pieces."""
        return len(self.method) + len(self.target) + 14 + sum(len(n) + len(v) + 4 for n, v in self.headers)


def decode_request(
    incoming: IncomingRequest, came: int, names: NameIndexes, longest: int, terms_of: Terms
) -> i.Request:
    """A client's request as the module knows it; raises BadRequest."""
    headers = incoming.fields
    if len(headers) != len(incoming.headers):
        names_sent = [name for name, _ in incoming.headers]
        if any(names_sent.count(name) > 1 for name in ONCE):
            raise BadRequest(400, "a header is there twice")
    path, _, query = incoming.target.partition(b"?")
    cls = names.classes.get(path.decode("latin-1").split("/", 2)[1] if path.startswith(b"/") else "")
    if cls is None:
        raise BadRequest(404, "no such class of requests")
    rid = required_text(headers.get(b"x-trace-id"), "X-Trace-Id")
    if not TRACE_ID.fullmatch(rid):
        raise BadRequest(400, "X-Trace-Id is not understood")
    pairs = [p[4:] for p in query.split(b"&") if p.startswith(b"key=")]
    customer = required_text(pairs[0] if pairs else None, "key").lower()
    if not CUSTOMER.fullmatch(customer):
        raise BadRequest(400, "key is not understood")
    plan = names.plans.get(required_text(headers.get(b"x-tier"), "X-Tier"))
    if plan is None:
        raise BadRequest(400, "X-Tier names no plan")
    expires = EXPIRES.fullmatch(required_text(headers.get(b"x-expires-in"), "X-Expires-In"))
    if expires is None:
        raise BadRequest(400, "X-Expires-In is not understood")
    wait = min(longest, int(float(expires[1]) * UNITS[expires[2]]))
    units, spread, first = terms_of(required_text(headers.get(b"x-call-terms"), "X-Call-Terms"))
    flags = SECOND_TRY if headers.get(b"x-second-try") == b"1" else 0
    return i.Request(rid, customer, cls, plan, units, spread, first, came + wait, flags)


def response_head(status: int, headers: tuple[tuple[bytes, bytes], ...]) -> h11.Response:
    """The head of an answer. h11 checks each header anew, and most heads are like one before."""
    return h11.Response(status_code=status, headers=list(headers), reason=HTTPStatus(status).phrase)


def plain_answer(status: int, why: str) -> Answer:
    """The gateway's own answer; 503 is a refusal and names a time to come back."""
    headers = [(b"content-type", b"text/plain")] + ([(b"retry-after", b"1")] if status == 503 else [])
    return Answer(status, headers, why.encode("latin-1", "replace") + b"\n")


class Owner(BaseOwner, Protocol):
    """What a client's connection needs of the process that it belongs to."""

    @property
    def bodies(self) -> BodyMemory: ...
    @property
    def clients(self) -> ClientConnections: ...
    @property
    def tally(self) -> Tally: ...
    @property
    def stopping(self) -> bool: ...
    @property
    def response(self) -> Callable[[int, tuple[tuple[bytes, bytes], ...]], h11.Response]: ...

    def waited(self, arrived: int) -> int:
        """Microseconds since the stamp of an arrival."""

    def open(self, client: Any, incoming: IncomingRequest, came: int) -> Answer | ClientRequest:
        """The answer at once, or the request in hand, which `begin` is then called with.

        Raises BadRequest."""

    def begin(self, request: ClientRequest) -> None:
        """The connection waits for the answer from now on."""

    def client_gone(self, request: ClientRequest) -> None:
        """Nobody waits for its answer any more."""


class ClientConnection:
    def __init__(self, host: Owner, sock: Sock) -> None:
        self.host, self.used, self.opened = host, host.loop.now, host.loop.now
        self._answers = 0
        self._share = BodyMemoryShare(host.bodies)
        self.answer: Answer | None = None
        self.request: ClientRequest | None = None
        self._sock = sock
        self._rest = b""  # of an interim answer, of which the kernel took a part
        self._waits = False  # its client ended its sending, and is known to wait for answers
        self._came = 0  # when the latest bytes arrived, which may be before they were read
        self._http = self._fresh()
        host.clients.add(self)
        self._task = host.loop.start(self._run(), sock.fileno(), Rank.CLIENT)
        host.loop.wake(self._task)  # its request may have come with it

    def send_answer(self, answer: Answer) -> None:
        """The final answer of the request in hand."""
        self.request, self.answer = None, answer
        self.host.loop.wake(self._task)

    def close_if_idle(self) -> bool:
        """Closes the connection unless a request has come that was not read yet."""
        if peek(self._sock):
            return False
        self.end()
        return True

    def end(self) -> None:
        self.host.loop.end(self._task)

    def _run(self) -> Coroutine:
        try:
            while (yield from self._serve_one()):
                self._answers += 1
                self._http.start_next_cycle()
            yield from self._linger()
        except ConnectionLost:
            pass
        finally:
            self._sock.close()
            self._share.hold(0)
            self.host.clients.remove(self)
            if self.request is not None:
                self.host.client_gone(self.request)

    def _serve_one(self) -> Step[bool]:
        """One request and its answer; False when the connection is to be closed."""
        method, last = b"", False
        try:
            incoming = yield from self._read()
            method = incoming.method
            answer = yield from self._answered(incoming)
        except BadRequest as bad:
            answer, last = plain_answer(bad.status, str(bad)), isinstance(bad, FatalBadRequest)
        except h11.RemoteProtocolError as error:
            answer = plain_answer(error.error_status_hint or 400, str(error))
        except (ConnectionLost, GeneratorExit):
            raise
        except Exception:
            # a fault in one request's handling: it is logged, that request answered, the rest served
            self.host.log.exception("request failed")
            if self.request is not None:
                self.host.client_gone(self.request)
                self.request = None
            answer = plain_answer(500, "internal error")
        http = self._http
        self.host.tally.answers[str(answer.status)] += 1
        headers = [*answer.headers, (b"content-length", b"%d" % len(answer.body))]
        # what was read of requests behind this one is answered, too, before a stopping process ends the connection
        if last or http.their_state is not h11.DONE or self.host.stopping and not http.trailing_data[0]:
            headers.append((b"connection", b"close"))
        # kept are only short ones: a backend may send heads as long as it likes
        short = sum(len(name) + len(value) for name, value in headers) <= self.host.limits.cached_size
        make = self.host.response if short else response_head
        data = http.send(make(answer.status, tuple(headers))) or b""
        if answer.body and method != b"HEAD":
            http.send(h11.Data(data=answer.body))
            data += answer.body
        http.send(END_OF_MESSAGE)
        self._share.hold(len(answer.body))
        data, self._rest = self._rest + data, b""
        yield from write_all(self._sock, data, self.host.loop.now + self.host.limits.client_take)
        self._share.hold(0)
        return http.our_state is h11.DONE and http.their_state is h11.DONE

    def _read(self) -> Step[IncomingRequest]:
        host, limits = self.host, self.host.limits
        # what came behind the last request has begun another
        idle = not self._begins()
        began, http = 0 if idle else host.loop.now, self._http
        incoming: IncomingRequest | None = None
        parts: list[bytes] = []
        size = 0
        self.used = host.loop.now
        if idle:
            host.clients.mark_idle(self, silent=not self._answers)
        try:
            # between requests there is nothing to parse but what came behind the last one
            event = h11.NEED_DATA if idle else http.next_event()
            while True:
                if event is h11.NEED_DATA:
                    if http.they_are_waiting_for_100_continue:
                        interim = http.send(CONTINUE)
                        due = host.loop.now + host.limits.client_send
                        yield from write_all(self._sock, interim or b"", due)
                    wanted = began or not self._answers
                    due = self._due(began) if wanted else self.used + host.limits.client_idle
                    if began and incoming is None and limits.client_head:
                        due = min(due, began + limits.client_head)
                    try:
                        arrived = yield from read_more(self._sock, http, host.buffers, due, timestamped=True)
                    except ConnectionLost as gone:
                        if gone.timed_out and not wanted and host.loop.now < self.used + host.limits.client_idle:
                            continue  # the bound has grown meanwhile, and its client goes by that
                        raise
                    self._came = host.loop.now - host.waited(arrived)
                    begins = not idle or self._begins()
                    http = self._http
                    if not begins and not http.trailing_data[1]:
                        continue
                    if idle:
                        began, idle = host.loop.now, False
                        host.clients.mark_busy(self)
                elif type(event) is h11.Request:
                    headers = list(event.headers)
                    incoming = IncomingRequest(event.method, event.target, headers, dict(headers))
                    length = incoming.fields.get(b"content-length", b"0")
                    chunked = b"transfer-encoding" in incoming.fields
                    # h11 lets chunks go before the length, as RFC 9112 (6.3) allows: another request may hide
                    # in what one reader takes for the body and the next does not
                    if chunked and (b"content-length" in incoming.fields or event.http_version != b"1.1"):
                        raise BadRequest(400, "framing in doubt")
                    if event.method == b"GET" and (chunked or int(length)):
                        raise BadRequest(400, "a GET has no body")
                    if int(length) > host.limits.body:
                        raise BadRequest(413, "body too large")
                    if not self._share.grow(int(length)):
                        raise BadRequest(503, "no room for a body")
                elif type(event) is h11.Data:
                    parts.append(bytes(event.data))
                    size += len(parts[-1])
                    if size > host.limits.body:
                        raise BadRequest(413, "body too large")
                    # chunks tell no length before their end: what the longest would take, held from the first on
                    # to the answer, left room for one such request at a time
                    if not self._share.grow(size):
                        raise BadRequest(503, "no room for a body")
                elif type(event) is h11.EndOfMessage and incoming is not None:
                    incoming.body = b"".join(parts)
                    return incoming
                else:  # closed between requests
                    raise ConnectionLost()
                event = http.next_event()
        except ConnectionLost as gone:
            if gone.timed_out and began:
                raise BadRequest(408, "request took too long to come") from gone
            raise
        finally:
            host.clients.mark_busy(self)

    def _fresh(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self.host.limits.header)

    def _begins(self) -> bool:
        """Whether anything of a request has come. Empty lines before one are passed over (RFC 9112, 2.2): some clients
        send one behind a body, and its answer would be taken for the next request's."""
        came, ended = self._http.trailing_data
        at = 0
        while came.startswith(b"\r\n", at):
            at += 2
        if at:
            came = came[at:]
            self._http = self._fresh()
            if came:
                self._http.receive_data(came)
            if ended:
                self._http.receive_data(b"")
        return came not in (b"", b"\r")

    def _answered(self, incoming: IncomingRequest) -> Step[Answer]:
        host = self.host
        if host.loop.unread_for >= READ_LATE_US and not self._waits and peek(self._sock) == b"":
            yield from self._look_for_client()
        opened = host.open(self, incoming, self._came)
        if isinstance(opened, Answer):
            return opened
        self.answer, self.request = None, opened
        host.begin(opened)
        patient = host.limits.patient
        mask, due = READ, self._due(host.loop.now) if self._http.trailing_data[0] and not patient else 0
        while self.answer is None:
            signal = yield mask, due
            if signal == WOKEN or self.answer is not None:  # it came in this very turn, whatever else did
                continue
            if signal == TIMED_OUT:  # whatever is behind it is owed a word too, and its time is over
                host.client_gone(self.request)
                self.request = None
                raise FatalBadRequest(400, "one request at a time")
            if signal & BROKEN:
                raise ConnectionLost()
            if signal & select.EPOLLRDHUP:
                mask = 0
                self._probe()
            else:  # a request behind this one: it waits its turn
                mask, due = select.EPOLLRDHUP, 0 if patient else due or self._due(host.loop.now)
        return self.answer

    def _look_for_client(self) -> Step[None]:
        """Raises Gone where a client that has ended its sending turns out to have closed: what it asked for is not
        begun. One that speaks HTTP/1.0 can't be told from one that waits, and is served.
        """
        self._probe()
        due = self.host.loop.now + PROBE_ANSWER_US
        while (signal := (yield 0, due)) != TIMED_OUT:
            if signal != WOKEN and signal & BROKEN:
                raise ConnectionLost()
        self._waits = True

    def _due(self, began: int) -> int:
        """When what began to come then must be there, or be answered if it stands behind a request in hand:
        for the first request the time runs from the connection on, however little comes at a time."""
        if not self._answers:
            return self.opened + self.host.limits.client_first
        return began + self.host.limits.client_send

    def _probe(self) -> None:
        """A client that closed and one that only ended its sending look alike. An interim answer tells them
        apart: a closed socket resets the connection, a waiting client passes over it. It is a 100, which any
        client may simply discard (RFC 9110, 15.2.1); some take another 1xx for the answer."""
        if self._http.their_http_version == b"1.1":
            interim = self._http.send(CONTINUE)
            try:
                self._rest = (interim or b"")[self._sock.send(interim or b"") :]
            except OSError:
                pass  # nothing of it has gone out

    def _linger(self) -> Step[None]:
        """Ends sending first: a close with unread input would reset the connection and could destroy the
        answer on its way."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            return
        self.host.clients.mark_lingering(self)
        due = self.host.loop.now + self.host.limits.linger
        while (signal := (yield READ, due)) != TIMED_OUT:
            if signal != WOKEN and not self._throw_away():
                return

    def _throw_away(self) -> bool:
        """Has the kernel drop what has come, without copying it; False when the client has ended."""
        buffer = self.host.buffers.acquire()
        try:
            for _ in range(self.host.limits.linger_reads):
                if not self._sock.recv_into(buffer, 0, socket.MSG_TRUNC):
                    return False
        except BlockingIOError:
            pass
        except OSError:
            return False
        finally:
            self.host.buffers.release(buffer)
        return True
