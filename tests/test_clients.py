"""Client connections: parsing, malformed input, complete answers, disconnects, half-closing and slow clients."""

import socket
import time
from typing import Any

import pytest

from oakvale import interface as i
from oakvale.policy.gateway import Gateway
from oakvale.wire.clients import ClientConnection
from tests.node import MS, Node, StubConnection, answer, request

SECOND = 1_000_000  # microseconds


def refuse(request: i.Request) -> list[i.Action]:
    return [i.Refuse(request.id, 250_000)]


def refused_clients(node: Node, count: int) -> list[StubConnection]:
    """Clients that got a refusal and keep their connections open."""
    node.script.answers[i.Request] = refuse
    clients = [node.client() for _ in range(count)]
    for k, client in enumerate(clients):
        node.ask(client, f"a{k}")
        node.reads(client, b"later\n")
    return clients


def bytewise_client(node: Node, count: int, pause: int) -> StubConnection:
    """A client that sends the first `count` bytes of its request one by one."""
    client, data = node.client(), request("a1")
    for k in range(count):
        client.send(data[k : k + 1])
        node.turns()
        node.pass_time(pause)
    return client


def body_of(reply: bytes) -> bytes:
    return reply.partition(b"\r\n\r\n")[2]


def test_a_request_becomes_an_event(node: Node) -> None:
    client = node.client()
    node.ask(client, X_Second_Try="1")
    assert node.wait_event(i.Request) == i.Request(
        "9b1f03aa5c7e2d41", "00000000b4d65521", 0, 0, 2.0, 3, 1, node.clock.now + 4_000_000, 2
    )


@pytest.mark.parametrize("text, wait", [("480m", 480_000), ("480u", 480), ("1.5m", 1_500), ("0m", 0)])
def test_the_remaining_time_is_read_in_both_units(node: Node, text: str, wait: int) -> None:
    node.ask(node.client(), X_Expires_In=text)
    assert node.wait_event(i.Request).deadline == node.clock.now + wait


@pytest.mark.parametrize("accepted", [True, False])
def test_time_in_the_gateways_receive_buffer_counts_against_the_deadline(node: Node, accepted: bool) -> None:
    """After a pause of 300 ms the deadline counts from the arrival that the kernel reports, also before an accept."""
    started_ns = time.time_ns()
    client = node.client()
    if accepted:
        node.until(lambda: node.host.clients.all)
    node.ask(client)
    node.host.unix_time = lambda: time.time_ns() + 300_000_000
    waited = node.clock.now + 4_000_000 - node.wait_event(i.Request).deadline
    assert 300_000 <= waited <= 300_000 + (time.time_ns() - started_ns) // 1000


@pytest.mark.parametrize("step_s", [-3_600, 3_600])
def test_a_step_of_the_system_clock_is_not_taken_for_a_wait(node: Node, step_s: int) -> None:
    node.host.unix_time = lambda: time.time_ns() + step_s * 1_000_000_000
    node.ask(node.client())
    assert node.wait_event(i.Request).deadline == node.clock.now + 4_000_000


def test_a_request_that_is_there_at_accept_is_read_in_the_same_turn(node: Node) -> None:
    node.ask(node.client())
    node.loop.turn(0)
    assert len(node.script.of(i.Request)) == 1


def test_a_refusal_carries_retry_after_and_keeps_the_connection(node: Node) -> None:
    node.script.answers[i.Request] = refuse
    client = node.client()
    for n in range(3):
        client.received = b""
        node.ask(client, f"id-{n}")
        reply = node.reads(client, b"try again later\n")
        assert reply.startswith(b"HTTP/1.1 429") and b"retry-after: 0.25\r\n" in reply
        assert b"connection: close" not in reply
    assert len(node.script.of(i.Request)) == 3 and not len(node.host.requests)


def test_a_failure_is_answered_502(node: Node) -> None:
    node.script.answers[i.Request] = lambda r: [i.Fail(r.id)]
    client = node.client()
    node.ask(client)
    assert node.reads(client, b"failed\n").startswith(b"HTTP/1.1 502")


VALID_REQUEST: dict[str, Any] = {"request_id": "a1", "target": "/slot-lookup?key=00000000b4d65521"}
INVALID_REQUESTS: list[tuple[dict[str, Any], int]] = [
    ({"X_Trace_Id": ""}, 400),
    ({"request_id": "has space"}, 400),
    ({"request_id": "x" * 65}, 400),
    ({"target": "/slot-lookup"}, 400),
    ({"target": "/slot-lookup?key=xyz"}, 400),
    ({"target": "/slot-lookup?key=b4d65521"}, 400),
    ({"target": "/nothing?key=00000000b4d65521"}, 404),
    ({"target": "/"}, 404),
    ({"target": "*"}, 404),
    ({"method": "PUT"}, 405),
    ({"method": "HEAD"}, 405),
    ({"X_Tier": ""}, 400),
    ({"X_Tier": "gold"}, 400),
    ({"X_Expires_In": ""}, 400),
    ({"X_Expires_In": "480"}, 400),
    ({"X_Expires_In": "-5m"}, 400),
    ({"X_Expires_In": "5s"}, 400),
    ({"X_Call_Terms": ""}, 400),
    ({"X_Call_Terms": "units=2"}, 400),
    ({"X_Call_Terms": "units=nan,spread=1,first=0"}, 400),
    ({"X_Call_Terms": "units=1e12,spread=1,first=0"}, 400),
    ({"X_Call_Terms": "units=0,spread=1,first=0"}, 400),
    ({"X_Call_Terms": "units=1,spread=0,first=0"}, 400),
    ({"X_Call_Terms": "units=1,spread=x,first=0"}, 400),
    ({"X_Call_Terms": "units"}, 400),
    # numbers that only Python's int() and float() accept, or out of range: the fleet size and the most units are 4
    *(
        ({"X_Call_Terms": f"units={units},spread={spread},first={first}"}, 400)
        for units, spread, first in (
            ("1_0", 1, 0),
            ("inf", 1, 0),
            ("+1", 1, 0),
            (" 1", 1, 0),
            ("4.01", 1, 0),
            ("-2", 1, 0),
            (".5", 1, 0),
            ("1", "1_0", 0),
            ("1", "+1", 0),
            ("1", "-1", 0),
            ("1", "2.5", 0),
            ("1", 5, 0),
            ("1", 70000, 0),
            ("1", 1, 4),
            ("1", 1, "-1"),
            ("1", 1, "9" * 5000),
            ("1", "²", 0),
            ("", 1, 0),
        )
    ),
    ({"X_Call_Terms": "units=1,spread=1,first=0,units=4"}, 400),
    ({"X_Call_Terms": "units=1,spread=1,first=0,note=" + "x" * 200}, 400),
    ({"X_Tier": "team\r\nX-Tier: team"}, 400),
    ({"request_id": "a1\r\nX-Trace-Id: a2"}, 400),
    ({"X_Expires_In": "nanm"}, 400),
    ({"X_Expires_In": "1_0m"}, 400),
    ({"X_Expires_In": "9" * 40 + "m"}, 400),
]


@pytest.mark.parametrize("changes, status", INVALID_REQUESTS, ids=range(len(INVALID_REQUESTS)))
def test_an_invalid_request_gets_4xx_at_once_and_keeps_the_connection(
    node: Node, changes: dict[str, Any], status: int
) -> None:
    node.script.answers[i.Request] = refuse
    client = node.client()
    client.send(request(**{**VALID_REQUEST, **changes}))
    reply = node.reads(client)
    assert reply.startswith(b"HTTP/1.1 %d" % status)
    assert node.script.of(i.Request) == []
    node.turns()
    client.read()
    client.received = b""
    client.send(request(**VALID_REQUEST))
    assert node.reads(client, b"later\n").startswith(b"HTTP/1.1 429")


@pytest.mark.parametrize(
    "data, status",
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /slot-lookup HTTP/1.1\r\nbad header\r\n\r\n", 400),
        (b"GET /slot-lookup HTTP/1.1\r\n\r\n", 400),  # no Host
        (b"GET /slot-lookup HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 40_000 + b"\r\n\r\n", 431),
        (b"POST /save HTTP/1.1\r\nHost: a\r\nContent-Length: 65537\r\n\r\n", 413),
        (b"POST /save HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400),
        (b"POST /save HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + b"x" * 65537, 413),
        (b"POST /save HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"POST /save HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", 501),
        (b"POST /save HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", 400),
        (b"POST /save HTTP/1.1\r\nHost: a\r\nContent-Length: 5, 6\r\n\r\n", 400),
        (b"POST /save HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n", 400),
        (b"POST /save HTTP/1.1\r\nHost: a\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n", 400),
    ],
    ids=range(13),
)
def test_broken_framing_gets_an_answer_and_a_clean_close(node: Node, data: bytes, status: int) -> None:
    client = node.client()
    client.send(data)
    reply = node.reads(client)
    assert reply.startswith(b"HTTP/1.1 %d" % status) and b"connection: close" in reply.lower()
    node.until(lambda: client.read() and client.ended)  # a FIN, not a reset that would destroy the answer
    client.close()
    node.until(lambda: not node.host.clients.all)
    assert node.script.of(i.Request) == []


SMUGGLED_REQUEST = request("b2", body=b"")


@pytest.mark.parametrize(
    "framing, body",
    [
        (b"Content-Length: %d\r\nTransfer-Encoding: chunked", b"0\r\n\r\n" + SMUGGLED_REQUEST),
        (b"Transfer-Encoding: chunked\r\nContent-Length: %d", b"0\r\n\r\n" + SMUGGLED_REQUEST),
        (
            b"Transfer-Encoding: chunked\r\nContent-Length: %d",
            b"%x\r\n%s\r\n0\r\n\r\n" % (len(SMUGGLED_REQUEST), SMUGGLED_REQUEST),
        ),
    ],
    ids=range(3),
)
@pytest.mark.parametrize("request_line", [b"POST /save?key=00000000b4d65521 HTTP/1.1"])
def test_content_length_with_chunked_encoding_gets_400_and_the_body_is_not_parsed(
    node: Node, request_line: bytes, framing: bytes, body: bytes
) -> None:
    """Prevents request smuggling: a request inside the body must not run."""
    client = node.client()
    head = request("a1", "POST", "/save?key=00000000b4d65521").partition(b"\r\n")[2][:-2]
    client.send(request_line + b"\r\n" + head + framing.replace(b"%d", b"%d" % len(body)) + b"\r\n\r\n" + body)
    reply = node.reads(client)
    assert reply.startswith(b"HTTP/1.1 400") and b"connection: close" in reply
    node.until(lambda: client.read() and client.ended)
    assert node.script.of(i.Request) == [] and client.received.count(b"HTTP/1.1") == 1


@pytest.mark.parametrize(
    "first_lines",
    [
        b"GET /slot-lookup?key=00000000b4d65521 HTTP/1.1\r\nContent-Length: 5\r\n",
        b"GET /slot-lookup?key=00000000b4d65521 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n",
        b"POST /save?key=00000000b4d65521 HTTP/1.0\r\nTransfer-Encoding: chunked\r\n",
    ],
)
def test_a_body_of_a_get_and_chunks_in_http_1_0_get_400(node: Node, first_lines: bytes) -> None:
    client = node.client()
    client.send(first_lines + request("a1").partition(b"\r\n")[2] + b"5\r\nhello\r\n0\r\n\r\n")
    reply = node.reads(client)
    assert reply.startswith(b"HTTP/1.1 400") and b"connection: close" in reply.lower()
    assert node.script.of(i.Request) == []


def test_the_id_of_a_pending_request_is_rejected(node: Node) -> None:
    first, second = node.client(), node.client()
    node.ask(first, "a1")
    node.wait_event(i.Request)
    node.ask(second, "a1")
    assert node.reads(second).startswith(b"HTTP/1.1 409")
    assert len(node.script.of(i.Request)) == 1


def test_pending_requests_are_limited() -> None:
    node = Node(requests=3)
    clients = [node.client() for _ in range(4)]
    for n, client in enumerate(clients):
        node.ask(client, f"a{n}")
    replies = node.until(lambda: [c for c in clients if c.read()])
    assert len(replies) == 1 and replies[0].received.startswith(b"HTTP/1.1 503")
    assert b"retry-after: 1\r\n" in replies[0].received
    node.close()


def test_requests_are_read_in_fragments_and_pipelined(node: Node) -> None:
    node.script.answers[i.Request] = refuse
    client = node.client()
    data = request("a1") + request("a2")
    for k in range(0, len(data), 7):
        client.send(data[k : k + 7])
        node.turns(1)
    node.until(lambda: client.read().count(b"HTTP/1.1 429") == 2)
    client.send(request("a3") + request("a4") + request("a5"))
    node.until(lambda: client.read().count(b"HTTP/1.1 429") == 5)
    assert [r.id for r in node.script.of(i.Request)] == ["a1", "a2", "a3", "a4", "a5"]


def test_a_malformed_pipelined_request_is_answered_and_its_connection_does_not_count_as_idle(node: Node) -> None:
    """An idle connection could be closed with its answer half written."""
    node.script.answers[i.Request] = refuse
    client = node.client()
    client.send(request("a1") + b"nonsense\r\n\r\n")
    node.until(lambda: b"HTTP/1.1 400" in client.read())
    assert not node.host.clients.idle and len(node.host.clients.all) == 1
    client.close()
    node.until(lambda: not node.host.clients.all)


def test_a_pipelined_request_waits_without_a_busy_loop(node: Node) -> None:
    client = node.client()
    client.send(request("a1"))
    node.wait_event(i.Request)
    client.send(request("a2"))
    node.turns()
    turns = node.loop.turns
    node.loop.turn(0.05)  # waits, as there is nothing to do
    assert node.loop.turns == turns + 1 and len(node.script.of(i.Request)) == 1
    node.host.dispatch(i.Timer(1))
    node.script.answers[i.Timer] = lambda _: [i.Refuse("a1", 1)]
    node.host.dispatch(i.Timer(2))
    node.wait_event(i.Request, 2)


def test_a_busy_connection_does_not_starve_others(node: Node) -> None:
    node.script.answers[i.Request] = refuse
    busy, other = node.client(), node.client()
    node.until(lambda: len(node.host.clients.all) == 2)
    busy.send(b"".join(request(f"b{k}") for k in range(600)))
    node.ask(other, "one")
    node.loop.turn(0)
    request_ids = [r.id for r in node.script.of(i.Request)]
    assert "one" in request_ids and len(request_ids) < 200  # at most one buffer of the busy connection's
    node.until(lambda: busy.read().count(b"HTTP/1.1 429 Too Many Requests") == 600)


def test_the_policy_is_told_when_a_client_closes(node: Node) -> None:
    client = node.client()
    node.ask(client, "a1")
    node.wait_event(i.Request)
    client.close()
    assert node.wait_event(i.Withdrawn) == i.Withdrawn("a1")
    assert not len(node.host.requests) and not node.host.clients.all


def test_the_policy_is_told_when_a_client_resets(node: Node) -> None:
    client = node.client()
    node.ask(client, "a1")
    node.wait_event(i.Request)
    client.close(reset=True)
    node.wait_event(i.Withdrawn)


def test_a_half_closed_client_still_gets_its_answer(node: Node) -> None:
    """A half-close looks like a close until something is written: an interim answer distinguishes them."""
    client = node.client()
    node.ask(client, "a1")
    node.wait_event(i.Request)
    client.sock.shutdown(socket.SHUT_WR)
    node.reads(client, b"HTTP/1.1 100 Continue\r\n\r\n")
    node.turns(20)
    assert node.script.of(i.Withdrawn) == []
    node.script.answers[i.Timer] = lambda _: [i.Refuse("a1", 1)]
    node.host.dispatch(i.Timer(1))
    assert b"HTTP/1.1 429" in node.reads(client, b"later\n")
    node.until(lambda: client.read() and client.ended)


def test_a_slow_reader_of_a_large_answer_does_not_delay_others(node: Node) -> None:
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1)]
    slow = StubConnection(socket.socket())
    slow.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    slow.sock.setblocking(True)
    slow.sock.connect(node.address)
    body = bytes(range(256)) * 256
    node.listener.getsockname()
    node.ask(slow, "a1")
    backend = node.accept_from(node.backend)
    node.reads(backend)
    for connection in node.host.clients.all:
        assert isinstance(connection, ClientConnection)
        connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    backend.send(answer(body=body))
    node.wait_event(i.Ended)
    node.turns(20)  # the client has read nothing yet
    node.script.answers[i.Request] = refuse
    other = node.client()
    node.ask(other, "a2")
    node.reads(other, b"later\n")
    slow.sock.setblocking(False)
    node.until(lambda: body_of(slow.read()) == body)


def test_a_client_that_does_not_read_its_answer_is_dropped(node: Node) -> None:
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1)]
    slow = StubConnection(socket.socket())
    slow.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    slow.sock.setblocking(True)
    slow.sock.connect(node.address)
    node.ask(slow, "a1")
    backend = node.accept_from(node.backend)
    node.reads(backend)
    for connection in node.host.clients.all:
        assert isinstance(connection, ClientConnection)
        connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    backend.send(answer(body=b"x" * 65536))
    node.wait_event(i.Ended)
    node.turns(20)
    assert len(node.host.clients.all) == 1
    node.pass_time(node.host.limits.client_take)
    assert not node.host.clients.all


def test_a_client_that_stops_within_a_request_gets_408_and_is_closed(node: Node) -> None:
    client = node.client()
    client.send(request("a1")[:40])
    node.turns()
    node.pass_time(node.host.limits.client_send)
    assert node.reads(client).startswith(b"HTTP/1.1 408")
    node.pass_time(node.host.limits.linger)
    node.until(lambda: not node.host.clients.all)


def test_a_client_that_sends_nothing_is_closed_before_3_s(node: Node) -> None:
    client = node.client()
    node.until(lambda: node.host.clients.all)
    node.pass_time(2_400 * MS)
    assert node.host.clients.all
    node.pass_time(200 * MS)
    node.until(lambda: client.read() == b"" and client.ended)


def test_sending_the_first_request_bytewise_does_not_extend_its_time_limit(node: Node) -> None:
    client = bytewise_client(node, 13, 200 * MS)
    assert node.reads(client).startswith(b"HTTP/1.1 408")


def test_malformed_input_behind_a_slow_request_is_answered_in_time(node: Node) -> None:
    """The pending request is withdrawn for it, and gets no answer."""
    client = node.client()
    client.send(request("a1") + b"nonsense\r\n\r\n")
    node.wait_event(i.Request)
    node.pass_time(2_400 * MS)
    assert client.read() == b"" and not node.script.of(i.Withdrawn)
    node.pass_time(200 * MS)
    reply = node.reads(client)
    assert reply.startswith(b"HTTP/1.1 400") and b"connection: close" in reply
    assert [w.id for w in node.script.of(i.Withdrawn)] == ["a1"]
    node.until(lambda: client.read() and client.ended)
    assert client.received.count(b"HTTP/1.1") == 1


def test_a_slow_request_without_pipelined_input_may_last_until_its_deadline(node: Node) -> None:
    client = node.client()
    node.ask(client)
    node.wait_event(i.Request)
    node.pass_time(3_900 * MS)
    assert client.read() == b"" and not client.ended and not node.script.of(i.Withdrawn)


def test_closing_the_client_of_a_duplicate_id_does_not_withdraw_the_pending_request(node: Node) -> None:
    first, second = node.client(), node.client()
    node.ask(first, "a1")
    node.wait_event(i.Request)
    node.ask(second, "a1")
    assert node.reads(second).startswith(b"HTTP/1.1 409")
    second.close(reset=True)
    node.until(lambda: len(node.host.clients.all) == 1)
    assert not node.script.of(i.Withdrawn) and node.host.requests.get("a1") is not None
    node.acts(i.Refuse("a1", 1))
    assert node.reads(first, b"later\n").startswith(b"HTTP/1.1 429")


def test_a_huge_body_is_discarded_and_the_error_arrives_completely(node: Node) -> None:
    client = node.client()
    client.send(request("a1", "POST", "/save?key=00000000b4d65521", Content_Length=str(60 << 20)))
    reply = node.reads(client, b"too large\n")
    assert reply.startswith(b"HTTP/1.1 413")
    part, sent = b"x" * 65536, 0
    while sent < 4 << 20:  # the client goes on sending and is not reset
        try:
            sent += client.sock.send(part)
        except BlockingIOError:
            node.loop.turn(0.01)
    assert node.host.buffers.in_use == 0 and len(node.host.clients.all) == 1
    node.pass_time(node.host.limits.linger)
    assert not node.host.clients.all


def chunk(size: int) -> bytes:
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


def test_the_total_size_of_bodies_is_limited_and_released() -> None:
    """Bodies within their own limit, one on each connection, would still exceed the memory."""
    node = Node(bodies=100_000)
    first, second = node.client(), node.client()
    head = request("a1", "POST", "/save?key=00000000b4d65521", Content_Length="60000")
    first.send(head)
    node.until(lambda: node.host.bodies.used_bytes == 60_000)
    second.send(head.replace(b"a1", b"a2"))
    assert node.reads(second).startswith(b"HTTP/1.1 503")
    second.close()
    node.until(lambda: len(node.host.clients.all) == 1)
    assert node.host.bodies.used_bytes == 60_000
    first.send(b"x" * 60_000)
    assert node.wait_event(i.Request).id == "a1"
    node.acts(i.Refuse("a1", 1))
    node.reads(first, b"later\n")
    assert node.host.bodies.used_bytes == 0
    first.send(request("a3", "POST", "/save?key=00000000b4d65521", Transfer_Encoding="chunked") + chunk(60_000))
    node.until(lambda: node.host.bodies.used_bytes == 60_000)
    first.close(reset=True)
    node.until(lambda: node.host.bodies.used_bytes == 0)
    node.close()


def test_a_chunked_body_reserves_only_what_has_arrived() -> None:
    """Reserving the longest body would refuse a second one at the same time; the total stays limited."""
    node = Node(bodies=100_000)
    head = request("a1", "POST", "/save?key=00000000b4d65521", Transfer_Encoding="chunked")
    clients = [node.client() for _ in range(3)]
    for n, client in enumerate(clients):
        client.send(head.replace(b"a1", b"a%d" % n) + chunk(40_000))
        if n < 2:
            node.until(lambda n=n: node.host.bodies.used_bytes == 40_000 * (n + 1))  # type: ignore[misc]
    assert node.reads(clients[2]).startswith(b"HTTP/1.1 503")
    clients[1].send(b"0\r\n\r\n")
    assert node.wait_event(i.Request).id == "a1"
    node.close()


def test_sending_a_byte_now_and_then_does_not_extend_the_time_limit(node: Node) -> None:
    client = bytewise_client(node, 12, SECOND)
    assert node.reads(client).startswith(b"HTTP/1.1 408")


def test_idle_connections_are_closed_after_their_time_limit(node: Node) -> None:
    node.script.answers[i.Request] = refuse
    client = node.client()
    node.ask(client)
    node.reads(client, b"later\n")
    node.pass_time(1_900 * MS)
    assert node.host.clients.all
    node.pass_time(200 * MS)
    node.until(lambda: client.read() and client.ended)
    assert not node.host.clients.all


def test_the_number_of_idle_connections_is_limited() -> None:
    """The oldest are closed: a load balancer in front has a limit, too, lower than the gateway's descriptors."""
    node = Node(clients_idle=3)
    clients = refused_clients(node, 5)
    node.until(lambda: clients[1].read() and clients[1].ended and clients[0].read() and clients[0].ended)
    assert len(node.host.clients.all) == 3 and not clients[2].ended
    node.close()


@pytest.mark.parametrize(
    "head",
    [
        b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET /odd HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
    ],
)
def test_connect_and_upgrade_are_answered_in_http_1_1(node: Node, head: bytes) -> None:
    client = node.client()
    client.send(head)
    assert node.reads(client).startswith(b"HTTP/1.1 40")
    client.close()
    node.until(lambda: not node.host.clients.all)


def test_expect_100_continue_is_answered(node: Node) -> None:
    client = node.client()
    head = request("a1", method="POST", target="/save?key=00000000b4d65521", Expect="100-continue", Content_Length="4")
    client.send(head)
    node.reads(client, b"HTTP/1.1 100 Continue\r\n\r\n")
    client.send(b"body")
    assert node.wait_event(i.Request).class_index == 1


def test_an_exception_in_the_policy_fails_only_that_request(node: Node, caplog: pytest.LogCaptureFixture) -> None:
    def fails(request: i.Request) -> list[i.Action]:
        if request.id == "bad":
            raise KeyError("odd")
        return refuse(request)

    node.script.answers[i.Request] = fails
    client = node.client()
    node.ask(client, "bad")
    assert node.reads(client, b"error\n").startswith(b"HTTP/1.1 500")
    assert node.script.of(i.Withdrawn) == [i.Withdrawn("bad")]
    assert any(r.exc_info for r in caplog.records)
    client.received = b""
    node.ask(client, "good")
    assert node.reads(client, b"later\n").startswith(b"HTTP/1.1 429")


def test_an_exception_on_a_timer_does_not_stop_the_policys_ticks(node: Node) -> None:
    """The policy requests the next tick in the current one, so an exception there could end all ticks."""
    policy_node = Node(script=False)
    gateway = policy_node.host.gateway
    assert isinstance(gateway, Gateway)
    send_batch, gateway.lending.send_batch = gateway.lending.send_batch, None  # type: ignore[method-assign, assignment]
    gateway.lending.enabled = True
    policy_node.pass_time(250 * MS)
    gateway.lending.send_batch = send_batch  # type: ignore[method-assign]
    before = gateway.context.now
    for _ in range(8):
        policy_node.pass_time(250 * MS)
    assert gateway.context.now == before + 8 * 250 * MS
    policy_node.close()


def test_an_exception_before_the_policy_is_called_fails_that_request(
    node: Node, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def fails() -> bool:
        raise RuntimeError("odd")

    monkeypatch.setattr(node.host, "refuses_requests", fails)
    client = node.client()
    node.ask(client)
    assert node.reads(client, b"error\n").startswith(b"HTTP/1.1 500")
    assert any(r.exc_info for r in caplog.records)


def test_health_is_200_only_when_the_gateway_can_serve(node: Node) -> None:
    client = node.client()
    client.send(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
    assert node.reads(client).startswith(b"HTTP/1.1 200")
    node.host.listed = False
    client.received = b""
    client.send(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
    assert node.reads(client).startswith(b"HTTP/1.1 503")
    assert node.script.of(i.Request) == []
