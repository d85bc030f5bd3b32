"""One gateway's data plane between in-memory clients and backends, and a plain model of both ends that checks it.

A schedule is a byte string, three bytes a step; `DataPlaneSimulation.log` lists what its steps did. The model records
for each request what was handed to the kernel for a backend, what the backend answered, and what the client received.
"""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import cache
from types import SimpleNamespace
from typing import Any, cast

from oakvale.base.loop import Loop
from oakvale.config.bounds import limits_from_settings
from oakvale.dataplane.request_router import RequestRouter
from oakvale.dataplane.routes import Backend, RoutingSnapshot, parse_configuration
from oakvale.lifecycle.acceptor import Acceptor
from oakvale.lifecycle.shutdown import Shutdown
from oakvale.retry_budget import RetryLimits
from oakvale.shared import SharedResources
from tests.memory_connections import UNLIMITED_BYTES, MemoryConnection, MemoryNet

MS, SECOND = 1_000, 1_000_000
START = 1_800_000_000 * SECOND  # Unix time in microseconds
SETTINGS = SimpleNamespace(nofile=4100, memory_mb=300, bounds=SimpleNamespace(grace=6 * SECOND))
NOT_RUN_STATUSES = (408, 421, 429, 503)  # what the gateway answers only if an unsafe request never ran
TIME_LEFT_HEADER = re.compile(rb"time-left: *(\d+)", re.IGNORECASE)
ATTEMPT_ID_HEADER = re.compile(rb"attempt-id: *(\w+)", re.IGNORECASE)
BACKENDS = {"i-1": ("one", ("10.0.1.1", 80)), "i-2": ("one", ("10.0.1.2", 80)), "i-3": ("two", ("10.0.2.1", 80))}
CONFIG = {
    "gen": 7,
    "limits": {"idle": "15s"},
    "routes": {
        "cols": ["name", "vhost", "prefix", "type", "deadline", "tries", "svc"],
        "rows": [
            ["read", "a", "/r/", "safe", "5s", 3, "one"],
            ["book", "a", "/b/", "unsafe", "6s", 4, "one"],
            ["move", "a", "/m/", "unsafe", "9s", 2, "two"],
        ],
    },
    "svcs": {"cols": ["name"], "rows": [["one"], ["two"]]},
    "tenants": {"cols": ["name", "apikeys"], "rows": [["t1", ["k1"]], ["t2", ["k2"]]]},
}


@cache
def configured_parts(idle_timeout: str) -> dict[str, Any]:
    return parse_configuration(json.dumps(CONFIG | {"limits": {"idle": idle_timeout}}).encode())


@dataclass(eq=False)
class ClientRequest:
    """A request of a client, and its deliveries to backends."""

    id: str
    unsafe: bool
    raw: bytes
    request_line: bytes
    body: bytes
    deliveries: list[Delivery] = field(default_factory=list)


@dataclass(eq=False)
class Delivery:
    """A request of which at least a part was handed to the kernel for a backend."""

    request: ClientRequest
    number: int
    data: bytes
    bytes_left: int  # not handed to the kernel yet
    not_run: bool = False  # the backend rejected it before running it
    answered: bool = False  # a final response was sent, of whatever kind
    deadline: int = 0  # when the client stops waiting
    unrelated_responses: int = 0  # sent on this connection since the request came, but not for it
    served: bool = False  # its response was sent before the deadline, and nothing unrelated before it

    @property
    def seal(self) -> bytes:
        """Identifies this delivery in its response."""
        return b"s-%s-%d" % (self.request.id.encode(), self.number)

    def response_body(self) -> bytes:
        return (b"of %s." % self.seal) * (1 + self.number % 3)


def response(
    delivery: Delivery, status: bytes = b"200 OK", with_id: bool = True, with_seal: bool = True, **headers: str
) -> bytes:
    fields = {"Attempt-Id": delivery.request.id} if with_id else {}
    fields |= {"Seal": delivery.seal.decode()} if with_seal else {}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    body = delivery.response_body()
    fields["Content-Length"] = str(len(body))
    return b"HTTP/1.1 %s\r\n%s\r\n%s" % (
        status,
        b"".join(f"{name}: {value}\r\n".encode() for name, value in fields.items()),
        body,
    )


def chunked_response(delivery: Delivery) -> bytes:
    body = delivery.response_body()
    head = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nSeal: %s\r\nTransfer-Encoding: chunked\r\n\r\n" % (
        delivery.request.id.encode(),
        delivery.seal,
    )
    return head + b"4\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n" % (body[:4], len(body) - 4, body[4:])


def not_run_response(delivery: Delivery, variant: int) -> bytes:
    """Says that the request was not run: 421 if `variant` is odd, else 503 with Not-Run; bit 1 adds the id."""
    attempt_id = b"Attempt-Id: %s\r\n" % delivery.request.id.encode() if variant & 2 else b""
    if variant % 2:
        return b"HTTP/1.1 421 Misdirected Request\r\nServed-By: i-9\r\n%sContent-Length: 0\r\n\r\n" % attempt_id
    return b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\n%sContent-Length: 2\r\n\r\nno" % attempt_id


class BackendEnd:
    """A backend's end of a connection."""

    def __init__(self, simulation: DataPlaneSimulation, connection: MemoryConnection) -> None:
        self.simulation, self.connection = simulation, connection
        self.deliveries: list[Delivery] = []
        self.unsent = b""  # the rest of a response that was sent in part
        self.duplicate = b""  # a copy of a response, sent when the next request comes
        connection.on_send, connection.on_close = self._on_data, self._on_close

    def _on_data(self, data: bytes, count: int) -> None:
        current = self.current()
        if current is None or not current.bytes_left:
            self.simulation.check(
                current is None or current.answered, "a request was sent on a connection with an unanswered one"
            )
            id_match = ATTEMPT_ID_HEADER.search(data)
            if id_match is None:
                return self.simulation.check(False, f"bytes outside any request: {data!r}")
            request = self.simulation.requests[id_match[1].decode()]
            current = Delivery(request, len(request.deliveries), data, len(data))
            current.deadline = self.simulation.now + int(TIME_LEFT_HEADER.findall(data)[0]) * MS
            request.deliveries.append(current)
            self.deliveries.append(current)
            if self.duplicate:
                self.connection.deliver(self.duplicate)
                current.unrelated_responses += 1
            self.unsent = self.duplicate = b""
            request_line, body = data.split(b"\r\n", 1)[0], data.split(b"\r\n\r\n", 1)[1]
            self.simulation.check(
                (request_line, body) == (request.request_line, request.body), f"request was altered: {data!r}"
            )
            self.simulation.check(b"Bearer" not in data, "an API key was passed on")
            ran = [delivery for delivery in request.deliveries if not delivery.not_run]
            self.simulation.check(not request.unsafe or len(ran) == 1, f"{request.id} may run more than once")
        current.bytes_left -= count

    def _on_close(self) -> None:
        current = self.current()
        running = (
            current is not None
            and not current.answered
            and current.request.unsafe
            and current.unrelated_responses < 7
            and not self.connection.broken
        )
        if (
            running
            and current is not None
            and not self.simulation.finished
            and not (current.bytes_left and self.simulation.client_has_closed(current.request))
        ):
            self.simulation.check(
                self.simulation.now >= current.deadline, f"{current.request.id} was cut off while its backend ran it"
            )

    def current(self) -> Delivery | None:
        return self.deliveries[-1] if self.deliveries else None

    def respond(self, how: int) -> str:
        """Does something a backend may do with its current request, or on an idle connection, and describes it."""
        connection, current = self.connection, self.current()
        if current is None or current.answered:
            return self._act_while_idle(how)
        if self.unsent:
            if how % 4:
                connection.deliver(self.unsent)
            else:
                (connection.close_peer if how % 8 else connection.reset)()
            self.unsent, current.answered = b"", True
            return "sends the rest of its response, or breaks off"
        complete_response, part_size = response(current), len(response(current)) - 5
        kind = how % 32
        if kind < 7 or 25 < kind < 30:
            current.served = self.simulation.now < current.deadline and not current.unrelated_responses
            return self._send_final(complete_response, "serves")
        if kind == 7:
            return self._send_final(chunked_response(current), "serves in chunks")
        if kind in (8, 9, 10):
            current.not_run = True
            return self._send_final(not_run_response(current, kind), "rejects without running")
        if kind == 11:
            return self._send_final(response(current, b"500 Oops", with_seal=False), "fails")
        if kind == 12:
            return self._send_final(response(current, b"503 Full", with_seal=False), "sends 503 without Not-Run")
        if kind == 13:
            return self._send_final(response(current, b"429 Much", with_seal=False), "sends 429 without Not-Run")
        if kind == 14:
            connection.deliver(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: STRAY\r\n\r\n")
            current.unrelated_responses += 2
            return "sends interim responses"
        if kind == 15:
            others = self.deliveries[-2:-1] or [
                delivery for delivery in self.simulation.delivered if delivery.request is not current.request
            ]
            if others:
                other, current.unrelated_responses = others[how % len(others)], current.unrelated_responses + 1
                connection.deliver(
                    not_run_response(other, how) if other.not_run and other in self.deliveries else response(other)
                )
            return "sends another request's response"
        if kind == 16:
            return self._send_final(b"STRAY noise\r\n\r\n", "sends noise")
        if kind in (17, 18):
            connection.deliver(complete_response[:part_size] if how & 64 else complete_response[:9])
            current.answered = True
            connection.close_peer() if kind == 17 else connection.reset()
            return "breaks off in its response"
        if kind in (19, 20):
            current.answered = True
            connection.close_peer() if kind == 19 else connection.reset()
            return "closes without a response"
        if kind == 21:
            self.unsent = complete_response[part_size:]
            connection.deliver(complete_response[:part_size])
            return "sends part of a response"
        if kind in (22, 30, 31):
            trailing = (complete_response, b"STRAY\r\n\r\n", b"", b"")[how >> 5 & 3]
            self.duplicate = complete_response if not trailing else b""
            return self._send_final(
                complete_response + trailing, "serves, with more bytes behind it or at the next request"
            )
        if kind == 23:
            current.not_run = True
            rejection = not_run_response(current, how >> 5 & 1 | how >> 6 & 2)
            self.duplicate = rejection if how & 64 else b""
            return self._send_final(rejection * (1 if how & 64 else 2), "rejects without running, twice")
        if kind == 24:
            head = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nSeal: %s\r\n\r\nhal" % (
                current.request.id.encode(),
                current.seal,
            )
            connection.deliver(head)
            current.answered = True
            connection.close_peer()
            return "breaks off in a response without a length"
        return self._send_final(
            response(current, with_seal=False) if how & 64 else response(current, Content_Encoding="gzip"),
            "sends a 200 without a seal or with an encoding",
        )

    def _send_final(self, data: bytes, description: str) -> str:
        current = self.current()
        assert current is not None
        current.answered = True
        self.connection.deliver(data)
        return description

    def _act_while_idle(self, how: int) -> str:
        current, kind = self.current(), how % 6
        if kind == 0:
            self.connection.close_peer()
            return "closes an idle connection"
        if kind == 1:
            self.connection.reset()
            return "resets an idle connection"
        if kind == 2 and current is not None:
            self.connection.deliver(b"STRAY")
            return "sends noise on an idle connection"
        if current is not None and kind == 3:
            self.connection.deliver(not_run_response(current, how >> 3) if current.not_run else response(current))
            return "repeats its last response"
        return ""


class ClientEnd:
    """A client's end of a connection."""

    def __init__(self, simulation: DataPlaneSimulation, connection: MemoryConnection) -> None:
        self.simulation, self.connection = simulation, connection
        self.requests: list[ClientRequest] = []
        self.unsent = b""
        self.has_closed = self.sending_ended = False
        self.reading_paused = False
        self.read_too_slowly = False  # the gateway may have closed the connection for that
        self.paused_since = 0
        self.complete_requests: list[ClientRequest] = []  # those whose last byte was sent

    def send_request(self, request: ClientRequest, held_back_bytes: int) -> None:
        if self.has_closed or self.sending_ended:
            return
        self.requests.append(request)
        self.unsent += request.raw
        self.push(held_back_bytes)

    def push(self, held_back_bytes: int = 0) -> None:
        """Sends everything unsent except the last `held_back_bytes`, but at least one byte."""
        if self.has_closed or self.sending_ended or not self.unsent or self.connection.closed:
            return
        count = max(1, len(self.unsent) - held_back_bytes)
        self.connection.deliver(self.unsent[:count])
        self.unsent = self.unsent[count:]
        sent_bytes = sum(len(request.raw) for request in self.requests) - len(self.unsent)
        self.complete_requests, end = [], 0
        for request in self.requests:
            end += len(request.raw)
            if end <= sent_bytes:
                self.complete_requests.append(request)

    def read(self) -> None:
        if not self.reading_paused:
            self.connection.read()
        elif self.simulation.now - self.paused_since > 9 * SECOND:
            self.read_too_slowly = True

    def responses(self) -> list[tuple[int, dict[str, str], bytes, bool]]:
        """Of each final response: status, headers, body, and whether it is complete."""
        data = bytes(self.connection.received)
        parsed: list[tuple[int, dict[str, str], bytes, bool]] = []
        assert b"STRAY" not in data, "bytes that belong to no response were passed on"
        while data:
            head, end, rest = data.partition(b"\r\n\r\n")
            if not end:
                parsed.append((0, {}, b"", False))
                break
            status_line, *lines = head.decode().split("\r\n")
            assert status_line.startswith("HTTP/1.1 "), f"not a response: {status_line!r}"
            status = int(status_line.split()[1])
            headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
            if status < 200:
                data = rest
                continue
            length = int(headers["content-length"])
            parsed.append((status, headers, rest[:length], len(rest) >= length))
            data = rest[length:]
        return parsed


class DataPlaneSimulation:
    """A request router on in-memory connections and a simulated clock, with its clients and backends."""

    def __init__(self, limits: dict[str, Any] | None = None) -> None:
        self.now, self.log = START, list[str]()
        self.violations: list[str] = []
        self.net = MemoryNet()
        loop_limits = replace(limits_from_settings(cast(Any, SETTINGS)), timer_slack=0, wake_slack=0, **limits or {})
        self.loop = Loop(lambda: self.now, loop_limits, cast(Any, self.net))
        self.counter_response: tuple[bool, int, bool] | None = (True, 0, True)  # None: the counter answers later
        self.pending_counter_calls: list[Callable[[bool, int, bool], None]] = []
        rate_limiter = SimpleNamespace(
            count_request=self._count,
            holds=lambda duty: False,
            holder=lambda duty: None,
            refund=lambda receipt: None,
        )
        transport = SimpleNamespace(handlers={})
        self.router = RequestRouter(
            SharedResources(self.loop, loop_limits),
            cast(Any, rate_limiter),
            cast(Any, transport),
            "g",
            ["z"],
            "z",
            RetryLimits(10 * SECOND, 16.0, 60.0),
        )
        listener = self.net.listen(("10.0.0.1", 80), 64)
        self.listener = listener
        self.acceptor = Acceptor(cast(Any, self.router), listener, self.loop)
        self.shutdown = Shutdown(
            cast(
                Any,
                SimpleNamespace(
                    host=self.router, loop=self.loop, accepting=self.acceptor.task, accept_one=self.acceptor.accept_one
                ),
            )
        )
        self.requests: dict[str, ClientRequest] = {}
        self.clients: list[ClientEnd] = []
        self.backend_ends: list[BackendEnd] = []
        self.delivered: list[Delivery] = []  # complete, of all requests
        self.connect_mode = 0  # new connections to backends: 0 come up, 1 are refused, 2 hang
        self.capacity_bytes = UNLIMITED_BYTES  # of new connections to backends
        self.finished = False
        self.drained: tuple[str, ...] = ()
        self.idle_timeout, self.avoid_instance = "15s", False
        for _, address in BACKENDS.values():
            self.net.connect_handlers[address] = self._on_connect
        self.publish_configuration()

    def _on_connect(self, connection: MemoryConnection) -> None:
        connection.connected, connection.refused = self.connect_mode == 0, self.connect_mode == 1
        connection.capacity_bytes = self.capacity_bytes
        self.backend_ends.append(BackendEnd(self, connection))

    def _count(
        self, tenant: str, again: bool, on_done: Callable[[bool, int, bool], None], patience: int, receipt: Any
    ) -> None:
        if self.counter_response is None:
            self.pending_counter_calls.append(on_done)
        else:
            on_done(*self.counter_response)

    def publish_configuration(self) -> None:
        """Gives the router the next generation of routes and backends."""
        backends = {
            name: Backend(name, service, f"{ip}:{port}", "z", 2.0, name not in self.drained, 0)
            for name, (service, (ip, port)) in BACKENDS.items()
        }
        avoid = {"t2": frozenset({"i-1"})} if self.avoid_instance else {}
        previous = self.router.snapshot
        self.router.apply_snapshot(
            replace(
                RoutingSnapshot(**configured_parts(self.idle_timeout)),
                backends=backends,
                avoid=avoid,
                generation=previous.generation + 1,
            )
        )

    def check(self, condition: bool, violation: str) -> None:
        """Records a violation; raising here, in a callback of the program, would only be caught by its event loop."""
        if not condition:
            self.violations.append(violation)

    # ---- steps

    def run_turns(self, count: int = 2) -> None:
        for _ in range(count):
            self.loop.turn(0)
        for client in self.clients:
            client.read()
        for backend_end in self.backend_ends:
            backend_end.connection.read()

    def pass_time(self, span: int) -> None:
        end = self.now + span
        for _ in range(6):
            if self.now >= end:
                break
            self.now = min(end, self.now + max(MS, int(self.loop.wait(10.0) * SECOND), span // 6))
            self.run_turns(1)
        self.now = end
        self.run_turns()

    def connect_client(self) -> ClientEnd:
        connection = self.net.connection()
        connection.connected = True
        self.listener.queue.append(connection)
        self.clients.append(ClientEnd(self, connection))
        return self.clients[-1]

    def add_request(self, kind: int, tenant: int) -> ClientRequest:
        """Creates a request; the bits of `kind` choose its route, body, framing and leading empty line."""
        request_id = f"a{len(self.requests)}"
        path, unsafe = (("/r/x", False), ("/b/x", True), ("/b/y?z=1", True), ("/m/x", True))[kind % 4]
        body = b"" if kind % 4 == 0 or kind & 4 else (b"%d." % len(self.requests)) * (4 if kind & 8 else 40)
        method = b"POST" if body else b"GET" if not unsafe else b"DELETE"
        request_line = b"%s %s HTTP/1.1" % (method, path.encode())
        framing, encoded_body = b"", body
        if body and kind & 16:
            framing, encoded_body = b"Transfer-Encoding: chunked\r\n", b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        elif body:
            framing = b"Content-Length: %d\r\n" % len(body)
        raw = b"%s\r\nHost: a\r\nAttempt-Id: %s\r\nTime-Left: 9000\r\nAuthorization: Bearer k%d\r\n%s\r\n%s" % (
            request_line,
            request_id.encode(),
            1 + tenant,
            framing,
            encoded_body,
        )
        raw = b"\r\n" * (kind >> 6 & 1) + raw  # some clients send an empty line after a body
        self.requests[request_id] = ClientRequest(request_id, unsafe, raw, request_line, body)
        return self.requests[request_id]

    def play(self, schedule: bytes) -> None:
        """Plays the steps, then lets everything end and checks it."""
        for position in range(0, len(schedule) - 2, 3):
            self.step(*schedule[position : position + 3])
            self.run_turns()
            self.now += 3 * MS * (schedule[position + 1] & 1)  # lets idle connections become reusable
        self.finish()

    def step(self, action: int, which: int, how: int) -> None:
        """Performs one step: `action` selects what happens, `which` selects the connection, `how` the variant."""
        action %= 32
        open_clients = [c for c in self.clients if not c.has_closed and not c.connection.closed]
        open_ends = [
            e
            for e in self.backend_ends
            if e.connection.connected and not e.connection.closed and not e.connection.broken
        ]
        running = [e for e in open_ends if (d := e.current()) is not None and not d.answered]
        client = open_clients[which % len(open_clients)] if open_clients else None
        entry = ""
        if action < 8:
            if client is None or which & 64 or len(open_clients) < 2:
                client = self.connect_client()
            if self.listener.closed and client.connection in self.listener.queue:
                return
            client.send_request(self.add_request(how, which >> 5 & 1), (0, 0, 0, 5, 60)[how % 5])
            entry = f"client sends {client.requests[-1:] and client.requests[-1].id}"
        elif action < 19:
            backend_ends = running if running and how < 224 else open_ends
            if backend_ends:
                backend_end = backend_ends[which % len(backend_ends)]
                current = backend_end.current()
                entry = f"backend {backend_end.respond(how)} ({current and current.request.id})"
        elif action < 23:
            span = (MS, 20 * MS, 310 * MS, 2_100 * MS, 700 * MS, 3_100 * MS, 60 * MS, 5 * MS)[how % 8]
            self.pass_time(span)
            entry = f"{span // MS} ms pass"
        elif action == 23 and client is not None:
            client.push()
            entry = "client sends the rest of a request"
        elif action == 24 and client is not None and how % 3 == 0:
            client.has_closed = True
            (client.connection.reset if which & 32 else client.connection.close_peer)()
            entry = "client closes or resets"
        elif action == 25 and client is not None:
            client.sending_ended = True
            client.connection.end_sending()
            entry = "client ends its sending"
        elif action == 26 and client is not None:
            client.reading_paused, client.paused_since = not client.reading_paused, self.now
            client.connection.capacity_bytes = (
                len(client.connection.in_transit) + how if client.reading_paused else UNLIMITED_BYTES
            )
            entry = f"client {'pauses' if client.reading_paused else 'resumes'} reading"
        elif action == 27:
            self.connect_mode = (0, 0, 1, 2)[how % 4]
            entry = f"connect mode {self.connect_mode}"
        elif action == 28:
            self.capacity_bytes = (UNLIMITED_BYTES, 40, 300)[how % 3]
            for backend_end in self.backend_ends:
                backend_end.connection.capacity_bytes = (
                    UNLIMITED_BYTES if how & 4 else backend_end.connection.capacity_bytes
                )
            entry = f"new connections take {self.capacity_bytes} bytes"
        elif action == 29:
            self.drained = ((), ("i-1",), ("i-2",), ())[how % 4]
            self.avoid_instance, self.idle_timeout = bool(how & 16), "15s" if how & 32 else "4s"
            self.publish_configuration()
            entry = f"configuration: {self.drained} drained, idle {self.idle_timeout}, avoid {self.avoid_instance}"
        elif action == 30:
            passes = (True, 0, True)
            self.counter_response = (passes, passes, (False, 200 * MS, True), (False, 200 * MS, False), None)[how % 5]
            pending, self.pending_counter_calls = self.pending_counter_calls, []
            for on_done in pending:
                on_done(*(self.counter_response or (True, 0, True)))
            entry = f"counter responds {self.counter_response}"
        elif action == 31 and how > 200:
            self.shutdown.begin()
            entry = "SIGTERM"
        if entry:
            self.log.append(f"{(self.now - START) // MS} ms: {entry}")
        self.delivered = [d for backend_end in self.backend_ends for d in backend_end.deliveries if not d.bytes_left]

    def client_has_closed(self, request: ClientRequest) -> bool:
        return any(client.has_closed and request in client.requests for client in self.clients)

    def check_abandoned_requests(self) -> None:
        """After its client closed, only an unsafe request that its backend has received completely may go on."""
        for backend_end in self.backend_ends:
            current = backend_end.current()
            is_open = not backend_end.connection.closed and not backend_end.connection.broken
            if current is not None and is_open and not current.answered and self.client_has_closed(current.request):
                assert current.request.unsafe and not current.bytes_left, (
                    f"{current.request.id} goes on after its client closed"
                )

    def finish(self) -> None:
        """Removes all obstacles, lets every request end, and checks the outcome."""
        self.log.append("the end")
        for _ in range(3):
            self.run_turns()
        self.check_abandoned_requests()
        self.connect_mode, self.counter_response = 0, (True, 0, True)
        for backend_end in self.backend_ends:
            backend_end.connection.capacity_bytes = UNLIMITED_BYTES
        for client in self.clients:
            client.reading_paused, client.connection.capacity_bytes = False, UNLIMITED_BYTES
            client.push()
        pending, self.pending_counter_calls = self.pending_counter_calls, []
        for on_done in pending:
            on_done(True, 0, True)
        self.capacity_bytes = UNLIMITED_BYTES
        for _ in range(3):
            self.pass_time(3_200 * MS)
        for _ in range(len(self.requests) + 2):
            if not len(self.router.requests):
                self.pass_time(60 * MS)  # a request that was read late may wait for the probe of its client
            if not len(self.router.requests):
                break
            self.pass_time(9_500 * MS)
        self.check_responses()
        self.finished = True
        self.pass_time(40 * SECOND)
        self.router.shared.idle.close_expired(self.now)
        self.run_turns()
        assert not self.violations, self.violations[0]
        assert not len(self.router.requests) and not self.router.buffers.in_use
        assert not self.router.bodies.used_bytes and not self.router.answers.used_bytes
        assert not self.router.shared.backend_connections and not self.router.idle.count
        assert not self.router.clients.all, "client connections are never closed"
        self.loop.close()

    # ---- checks

    def check_responses(self) -> None:
        assert not self.violations, self.violations[0]
        for client in self.clients:
            client.read()
            self._check_client(client)

    def _check_client(self, client: ClientEnd) -> None:
        responses = client.responses()
        begun = len(client.requests) if not client.unsent else len(client.complete_requests) + 1
        assert len(responses) <= begun, f"more responses than requests: {responses}"
        for (status, headers, body, complete), request in zip(responses, client.requests, strict=False):
            if not complete:
                continue
            assert headers.get("attempt-id", request.id) == request.id, (
                f"{request.id} got another request's response: {headers}"
            )
            if 200 <= status < 300:
                sealed = [d for d in request.deliveries if d.seal.decode() == headers.get("seal")]
                intact = sealed and sealed[0].response_body() == body and "content-encoding" not in headers
                assert intact, f"{request.id} got {headers} {body!r}"
            elif request.unsafe and any(d.served for d in request.deliveries):
                raise AssertionError(f"{request.id} got {status} although its backend served it")
            elif request.unsafe and status in NOT_RUN_STATUSES:
                ran = [d for d in request.deliveries if not d.not_run]
                assert not ran, f"{request.id} got {status}, which says that it did not run, but it may have"
            from_gateway = "attempt-id" not in headers
            wrong = from_gateway and status in (400, 404, 401, 500) and request in client.complete_requests
            assert not wrong, f"{request.id} got {status}: {body!r}"
        if client.has_closed or client.read_too_slowly or client.connection in self.listener.queue:
            return
        complete_responses, expected = [r for r in responses if r[3]], len(client.complete_requests)
        if any("close" in headers.get("connection", "") for _, headers, _, _ in complete_responses):
            expected, size = 0, 0  # only the requests that the gateway read
            for request in client.complete_requests:
                size += len(request.raw)
                expected += size <= client.connection.bytes_read
        assert len(complete_responses) >= expected, (
            f"{[r.id for r in client.complete_requests[len(complete_responses) :]]} got no response, {responses}"
        )


def play(schedule: bytes, **limits: Any) -> DataPlaneSimulation:
    """Plays a schedule; raises AssertionError with its steps if it violates a rule."""
    simulation, root, handlers = DataPlaneSimulation(limits), logging.getLogger(), logging.getLogger().handlers[:]
    root.handlers[:] = [ErrorLogHandler(simulation)]
    try:
        simulation.play(schedule)
    except AssertionError as error:
        raise AssertionError("\n".join([str(error), *simulation.log])) from error
    finally:
        root.handlers[:] = handlers
    return simulation


class ErrorLogHandler(logging.Handler):
    """Counts exceptions that the program catches and logs as violations."""

    def __init__(self, simulation: DataPlaneSimulation) -> None:
        super().__init__(logging.ERROR)
        self._simulation = simulation

    def emit(self, record: logging.LogRecord) -> None:
        cause = record.exc_info[1] if record.exc_info else None
        self._simulation.check(False, f"{record.getMessage()}: {cause!r}")
