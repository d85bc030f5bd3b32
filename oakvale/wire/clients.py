"""Client connections: one coroutine each, which reads a request, waits for its answer, and writes that."""

from __future__ import annotations

import re
import select
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol

import h11

from oakvale import interface as i
from oakvale.base.loop import BROKEN, READ, TIMED_OUT, WOKEN, Coroutine, Priority, Step
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
EXPIRES_IN = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
SINGLE_VALUE_HEADERS = (b"x-trace-id", b"x-tier", b"x-expires-in", b"x-call-terms")  # named twice, they say two things
MAX_TERMS_CHARS = 128
READ_LATE_US = 100_000  # after this long in the receive buffer, a request's client may have left
PROBE_ANSWER_US = 50_000  # a closed socket answers a probe with a reset within a round trip
REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}
UNSENDABLE_ANSWER = "the backend's answer cannot be passed on"
MICROSECONDS_BY_UNIT = {"m": 1000, "u": 1}
CLIENT_RETRY_FLAG = 2  # in the flags of the policy's request event

TermsParser = Callable[[str], tuple[float, int, int]]


class BadRequest(Exception):
    """A request that is answered with an error status."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class FatalBadRequest(BadRequest):
    """A bad request after which the connection is closed."""


def parse_call_terms(settings: i.Settings, text: str) -> tuple[float, int, int]:
    """Parses `units=2,spread=3,first=1`, ignoring unknown keys; raises BadRequest.

    Values out of range are rejected here: too many units would use up the customer's quota on every gateway."""
    try:
        pairs = [part.strip().split("=", 1) for part in text[:MAX_TERMS_CHARS].split(",")]
        values = {key: value for key, value in pairs}
        units, spread, first = (
            parse_decimal(values["units"]),
            parse_integer(values["spread"]),
            parse_integer(values["first"]),
        )
    except (KeyError, ValueError) as error:
        raise BadRequest(400, "X-Call-Terms is not understood") from error
    if len(values) != len(pairs) or len(text) > MAX_TERMS_CHARS:
        raise BadRequest(400, "X-Call-Terms is not understood")
    if not 0 < units <= settings.largest or not 1 <= spread <= settings.fleet or first >= settings.fleet:
        raise BadRequest(400, "X-Call-Terms is out of range")
    return units, spread, first


def required_text(value: bytes | None, what: str) -> str:
    """Decodes a header or parameter value; raises BadRequest if it is missing."""
    if value is None:
        raise BadRequest(400, f"{what} is missing")
    return value.decode("latin-1")


@dataclass(slots=True)
class IncomingRequest:
    """A request as it was read. The headers are copied, as those of h11 are slow to iterate over."""

    method: bytes
    target: bytes
    headers: Headers
    fields: dict[bytes, bytes]
    body: bytes = b""

    def head_size(self) -> int:
        """The smallest size of the head on the wire, in bytes. h11 limits only heads that arrive in several reads."""
        return len(self.method) + len(self.target) + 14 + sum(len(n) + len(v) + 4 for n, v in self.headers)


def decode_request(
    incoming: IncomingRequest, received_at: int, names: NameIndexes, max_wait_us: int, parse_terms: TermsParser
) -> i.Request:
    """Decodes a client's request into the policy's event; raises BadRequest."""
    headers = incoming.fields
    if len(headers) != len(incoming.headers):
        names_sent = [name for name, _ in incoming.headers]
        if any(names_sent.count(name) > 1 for name in SINGLE_VALUE_HEADERS):
            raise BadRequest(400, "a header is there twice")
    path, _, query = incoming.target.partition(b"?")
    class_index = names.classes.get(path.decode("latin-1").split("/", 2)[1] if path.startswith(b"/") else "")
    if class_index is None:
        raise BadRequest(404, "no such class of requests")
    request_id = required_text(headers.get(b"x-trace-id"), "X-Trace-Id")
    if not TRACE_ID.fullmatch(request_id):
        raise BadRequest(400, "X-Trace-Id is not understood")
    keys = [part[4:] for part in query.split(b"&") if part.startswith(b"key=")]
    customer = required_text(keys[0] if keys else None, "key").lower()
    if not CUSTOMER.fullmatch(customer):
        raise BadRequest(400, "key is not understood")
    plan = names.plans.get(required_text(headers.get(b"x-tier"), "X-Tier"))
    if plan is None:
        raise BadRequest(400, "X-Tier names no plan")
    expires_in = EXPIRES_IN.fullmatch(required_text(headers.get(b"x-expires-in"), "X-Expires-In"))
    if expires_in is None:
        raise BadRequest(400, "X-Expires-In is not understood")
    wait_us = min(max_wait_us, int(float(expires_in[1]) * MICROSECONDS_BY_UNIT[expires_in[2]]))
    units, spread, first = parse_terms(required_text(headers.get(b"x-call-terms"), "X-Call-Terms"))
    flags = CLIENT_RETRY_FLAG if headers.get(b"x-second-try") == b"1" else 0
    return i.Request(request_id, customer, class_index, plan, units, spread, first, received_at + wait_us, flags)


def reason_phrase(status: int) -> str:
    """The registered phrase of a status; empty for others, which clients take by their class (RFC 9110, 15)."""
    return REASON_PHRASES.get(status, "")


def response_head(status: int, headers: tuple[tuple[bytes, bytes], ...]) -> h11.Response:
    """The head of an answer. Callers cache it: h11 validates each header again, and most heads recur.

    Raises h11.LocalProtocolError for a head that cannot be sent."""
    return h11.Response(status_code=status, headers=list(headers), reason=reason_phrase(status))


def plain_answer(status: int, text: str) -> Answer:
    """An answer by the gateway itself, as plain text; 503 gets a Retry-After header."""
    headers = [(b"content-type", b"text/plain")] + ([(b"retry-after", b"1")] if status == 503 else [])
    return Answer(status, headers, text.encode("latin-1", "replace") + b"\n")


class Owner(BaseOwner, Protocol):
    """What a client connection needs of the process that it belongs to."""

    @property
    def bodies(self) -> BodyMemory: ...
    @property
    def answers(self) -> BodyMemory: ...
    @property
    def clients(self) -> ClientConnections: ...
    @property
    def tally(self) -> Tally: ...
    @property
    def stopping(self) -> bool: ...
    @property
    def response(self) -> Callable[[int, tuple[tuple[bytes, bytes], ...]], h11.Response]: ...

    def waited(self, arrived: int) -> int:
        """Microseconds since a kernel timestamp of received bytes."""

    def open(self, client: Any, incoming: IncomingRequest, received_at: int) -> Answer | ClientRequest:
        """Returns an immediate answer, or a pending request to call `begin` with. Raises BadRequest."""

    def begin(self, request: ClientRequest) -> None:
        """Starts to handle a request, whose answer the connection now awaits."""

    def client_gone(self, request: ClientRequest) -> None:
        """Handles that the client left before its request was answered."""


class ClientConnection:
    """A client's connection and its coroutine, which handles one request at a time."""

    def __init__(self, host: Owner, sock: Sock) -> None:
        self.host, self.last_used, self.opened = host, host.loop.now, host.loop.now
        self._answer_count = 0
        self._share = BodyMemoryShare(host.bodies)
        self._answer_share = BodyMemoryShare(host.answers)
        self.answer: Answer | None = None
        self.request: ClientRequest | None = None
        self._sock = sock
        self._unsent_interim = b""  # rest of a partly written interim answer
        self._half_closed = False  # the client has closed its sending side, but still awaits answers
        self._received_at = 0  # when the latest bytes arrived, which may be before they were read
        self._http = self._new_parser()
        host.clients.add(self)
        self._task = host.loop.start(self._run(), sock.fileno(), Priority.CLIENT)
        host.loop.wake(self._task)  # its first request may already have arrived

    def send_answer(self, answer: Answer) -> None:
        """Receives the final answer of the pending request. Its memory was reserved for the backend's connection until
        now, and is held here without a gap."""
        self._answer_share.hold(len(answer.body))
        self.request, self.answer = None, answer
        self.host.loop.wake(self._task)

    def close_if_idle(self) -> bool:
        """Closes the connection unless unread bytes of a request have arrived."""
        if peek(self._sock):
            return False
        self.end()
        return True

    def end(self) -> None:
        self.host.loop.end(self._task)

    def _run(self) -> Coroutine:
        try:
            while (yield from self._serve_one()):
                self._answer_count += 1
                self._http.start_next_cycle()
            yield from self._linger()
        except ConnectionLost:
            pass
        finally:
            self._sock.close()
            self._share.hold(0)
            self._answer_share.hold(0)
            self.host.clients.remove(self)
            if self.request is not None:
                self.host.client_gone(self.request)

    def _serve_one(self) -> Step[bool]:
        """Handles one request; False if the connection must be closed."""
        method, close_after = b"", False
        answer: Answer | None
        try:
            incoming = yield from self._read_request()
            method = incoming.method
            answer = yield from self._await_answer(incoming)
        except BadRequest as bad:
            answer, close_after = plain_answer(bad.status, str(bad)), isinstance(bad, FatalBadRequest)
        except h11.RemoteProtocolError as error:
            answer = plain_answer(error.error_status_hint or 400, str(error))
        except (ConnectionLost, GeneratorExit):
            raise
        except Exception:
            # an exception while one request is handled must not affect the others
            self.host.log.exception("request failed")
            if self.request is not None:
                self.host.client_gone(self.request)
                self.request = None
            answer = plain_answer(500, "internal error")
        parts = self._encode_answer(answer, close_after, with_body=method != b"HEAD")
        self.answer = answer = None  # its body is released with its parts
        self._share.hold(0)
        yield from self._write_parts(parts)
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    def _encode_answer(self, answer: Answer, close_after: bool, with_body: bool) -> deque[bytes]:
        """Passes an answer through the parser, and returns its bytes in parts that are released one by one."""
        http, size = self._http, self.host.limits.answer_part
        answer, head = self._sendable_head(answer, close_after)
        self.host.tally.answers[str(answer.status)] += 1
        first, self._unsent_interim = self._unsent_interim + (http.send(head) or b""), b""
        body = answer.body if with_body else b""
        if body:
            http.send(h11.Data(data=body))
        http.send(END_OF_MESSAGE)
        if len(body) <= size:
            return deque((first + body,))
        parts = deque((first + body[:size],))
        parts.extend(body[offset : offset + size] for offset in range(size, len(body), size))
        return parts

    def _write_parts(self, parts: deque[bytes]) -> Step[None]:
        """Writes an answer; each part's memory is free once it is written. Raises ConnectionLost."""
        deadline, left = self.host.loop.now + self.host.limits.client_take, sum(map(len, parts))
        while parts:
            self._answer_share.hold(left)
            part = parts.popleft()
            left -= len(part)
            yield from write_all(self._sock, part, deadline)
        self._answer_share.hold(0)

    def _sendable_head(self, answer: Answer, close_after: bool) -> tuple[Answer, h11.Response]:
        """An answer and its head; a 502 in place of one whose head cannot be sent, as the client is owed an answer."""
        try:
            return answer, self._head_of(answer, close_after)
        except Exception:
            self.host.log.exception("answer cannot be sent", extra={"status": answer.status})
            replacement = plain_answer(502, UNSENDABLE_ANSWER)
            return replacement, self._head_of(replacement, close_after)

    def _head_of(self, answer: Answer, close_after: bool) -> h11.Response:
        http = self._http
        headers = [*answer.headers, (b"content-length", b"%d" % len(answer.body))]
        # a stopping process closes the connection only after pipelined requests that were read are answered
        if close_after or http.their_state is not h11.DONE or self.host.stopping and not http.trailing_data[0]:
            headers.append((b"connection", b"close"))
        # only short heads are cached, as a backend may send very long ones
        cacheable = sum(len(name) + len(value) for name, value in headers) <= self.host.limits.cached_size
        make_head = self.host.response if cacheable else response_head
        return make_head(answer.status, tuple(headers))

    def _read_request(self) -> Step[IncomingRequest]:
        """Reads the next request; raises BadRequest, or ConnectionLost if none arrives."""
        host, limits = self.host, self.host.limits
        # bytes received after the last request may have started another
        idle = not self._request_started()
        started_at, http = 0 if idle else host.loop.now, self._http
        incoming: IncomingRequest | None = None
        parts: list[bytes] = []
        size = 0
        self.last_used = host.loop.now
        if idle:
            host.clients.mark_idle(self, silent=not self._answer_count)
        try:
            # between requests, there is nothing to parse unless bytes followed the last one
            event = h11.NEED_DATA if idle else http.next_event()
            while True:
                if event is h11.NEED_DATA:
                    if http.they_are_waiting_for_100_continue:
                        interim = http.send(CONTINUE)
                        deadline = host.loop.now + host.limits.client_send
                        yield from write_all(self._sock, interim or b"", deadline)
                    request_expected = started_at or not self._answer_count
                    deadline = (
                        self._deadline(started_at) if request_expected else self.last_used + host.limits.client_idle
                    )
                    if started_at and incoming is None and limits.client_head:
                        deadline = min(deadline, started_at + limits.client_head)
                    try:
                        arrived = yield from read_more(self._sock, http, host.buffers, deadline, timestamped=True)
                    except ConnectionLost as lost:
                        if (
                            lost.timed_out
                            and not request_expected
                            and host.loop.now < self.last_used + host.limits.client_idle
                        ):
                            continue  # the limit was raised meanwhile, and the client relies on the new one
                        raise
                    self._received_at = host.loop.now - host.waited(arrived)
                    started = not idle or self._request_started()
                    http = self._http
                    if not started and not http.trailing_data[1]:
                        continue
                    if idle:
                        started_at, idle = host.loop.now, False
                        host.clients.mark_busy(self)
                elif type(event) is h11.Request:
                    headers = list(event.headers)
                    incoming = IncomingRequest(event.method, event.target, headers, dict(headers))
                    length = incoming.fields.get(b"content-length", b"0")
                    chunked = b"transfer-encoding" in incoming.fields
                    # h11 prefers chunks to the length, as RFC 9112 (6.3) allows; rejecting both prevents request
                    # smuggling through a proxy that prefers the length
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
                    # a chunked body has no declared length; reserving the maximum at once would allow too few requests
                    if not self._share.grow(size):
                        raise BadRequest(503, "no room for a body")
                elif type(event) is h11.EndOfMessage and incoming is not None:
                    incoming.body = b"".join(parts)
                    return incoming
                else:  # closed between requests
                    raise ConnectionLost()
                event = http.next_event()
        except ConnectionLost as lost:
            if lost.timed_out and started_at:
                raise BadRequest(408, "request took too long to come") from lost
            raise
        finally:
            host.clients.mark_busy(self)

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self.host.limits.header)

    def _request_started(self) -> bool:
        """Whether bytes of a request have been received.

        Empty lines before a request are skipped (RFC 9112, 2.2). Some clients send one after a body; an error answer to
        it would be taken for the answer to the next request."""
        received, at_eof = self._http.trailing_data
        offset = 0
        while received.startswith(b"\r\n", offset):
            offset += 2
        if offset:
            received = received[offset:]
            self._http = self._new_parser()
            if received:
                self._http.receive_data(received)
            if at_eof:
                self._http.receive_data(b"")
        return received not in (b"", b"\r")

    def _await_answer(self, incoming: IncomingRequest) -> Step[Answer]:
        """Hands the request to the owner and waits for its answer, watching for pipelined requests and disconnects."""
        host = self.host
        if host.loop.stalled_us >= READ_LATE_US and not self._half_closed and peek(self._sock) == b"":
            yield from self._check_client_open()
        opened = host.open(self, incoming, self._received_at)
        if isinstance(opened, Answer):
            return opened
        self.answer, self.request = None, opened
        host.begin(opened)
        unlimited = host.limits.patient  # pipelined requests may wait for as long as the pending one takes
        mask, deadline = READ, self._deadline(host.loop.now) if self._http.trailing_data[0] and not unlimited else 0
        while self.answer is None:
            signal = yield mask, deadline
            if (
                signal == WOKEN or self.answer is not None
            ):  # an answer set in this turn takes precedence over other signals
                continue
            if signal == TIMED_OUT:  # the pipelined request has waited too long for its answer
                host.client_gone(self.request)
                self.request = None
                raise FatalBadRequest(400, "one request at a time")
            if signal & BROKEN:
                raise ConnectionLost()
            if signal & select.EPOLLRDHUP:
                mask = 0
                self._probe()
            else:  # a pipelined request, which is read after this one is answered
                mask, deadline = select.EPOLLRDHUP, 0 if unlimited else deadline or self._deadline(host.loop.now)
        return self.answer

    def _check_client_open(self) -> Step[None]:
        """Probes a client that has closed its sending side. If it has closed the connection, raises ConnectionLost, so
        that its request is not started. An HTTP/1.0 client cannot be probed, and is served."""
        self._probe()
        deadline = self.host.loop.now + PROBE_ANSWER_US
        while (signal := (yield 0, deadline)) != TIMED_OUT:
            if signal != WOKEN and signal & BROKEN:
                raise ConnectionLost()
        self._half_closed = True

    def _deadline(self, started_at: int) -> int:
        """When a request whose first byte arrived at `started_at` must be complete, or answered if it is pipelined.

        For the first request, time runs from the opening of the connection, so that slow sending cannot extend it."""
        if not self._answer_count:
            return self.opened + self.host.limits.client_first
        return started_at + self.host.limits.client_send

    def _probe(self) -> None:
        """Sends an interim answer, to tell a half-closed client from one that closed: a closed socket resets the
        connection, a waiting client ignores it. It is a 100, which clients may discard (RFC 9110, 15.2.1); some take
        another 1xx for the final answer."""
        if self._http.their_http_version == b"1.1":
            interim = self._http.send(CONTINUE)
            try:
                self._unsent_interim = (interim or b"")[self._sock.send(interim or b"") :]
            except OSError:
                pass  # nothing was sent

    def _linger(self) -> Step[None]:
        """Closes the sending side and discards input until the client closes: a close with unread input would reset the
        connection, and the client could lose the answer."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            return
        self.host.clients.mark_lingering(self)
        deadline = self.host.loop.now + self.host.limits.linger
        while (signal := (yield READ, deadline)) != TIMED_OUT:
            if signal != WOKEN and not self._discard_input():
                return

    def _discard_input(self) -> bool:
        """Makes the kernel drop received bytes without copying them; False if the client has closed."""
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
