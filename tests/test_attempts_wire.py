"""Attempts over sockets: their endings, reuse and closing of backend connections, and what is passed on unchanged."""

import socket
from typing import Any

import pytest

from oakvale import interface as i
from oakvale.interface import Ending
from oakvale.wire.backends import BackendConnection, parse_load_report
from tests.node import MS, Node, StubConnection, StubServer, answer, request, row

RESET = True  # argument of StubConnection.close


@pytest.fixture
def sending(node: Node) -> Node:
    """A node whose policy sends each request to the one backend."""
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1)]
    return node


def send_all(node: Node, backend: StubConnection, data: bytes) -> None:
    """Sends more than the socket buffers hold, while the gateway reads."""
    while data:
        try:
            data = data[backend.sock.send(data) :]
        except BlockingIOError:
            pass
        except OSError:
            return  # the gateway closed the connection
        node.turns(1)


def started(node: Node, request_id: str = "a1") -> tuple[StubConnection, StubConnection]:
    """A client whose request has reached the backend, and the backend's connection."""
    client = node.client()
    node.ask(client, request_id)
    backend = node.accept_from(node.backend)
    node.reads(backend)
    return client, backend


def test_a_request_is_passed_on_unchanged_without_hop_by_hop_headers(sending: Node) -> None:
    body = bytes(range(256))
    target = "/save/%7Ea//b?x=1&key=00000000b4d65521&y=%2F"
    client = sending.client()
    client.send(
        request(
            "a1",
            method="POST",
            target=target,
            body=body,
            X_Other="kept",
            TE="trailers",
            Connection="keep-alive, X-Hop",
            X_Hop="dropped",
        )
    )
    backend = sending.accept_from(sending.backend)
    data = sending.reads(backend, body)
    head = data.partition(b"\r\n\r\n")[0].lower()
    assert data.startswith(b"POST " + target.encode() + b" HTTP/1.1\r\n") and data.endswith(body)
    assert b"x-trace-id: a1" in head and b"x-other: kept" in head and b"content-length: 256" in head
    assert b"x-expires-in: 4000000u" in head and head.count(b"x-expires-in") == 1
    assert b"hop" not in head and b"\r\nte:" not in head and b"connection" not in head


def test_an_empty_body_is_passed_on_with_content_length_0(sending: Node) -> None:
    client = sending.client()
    client.send(request("a1", method="POST", target="/save?key=00000000b4d65521", Content_Length="0"))
    assert b"content-length: 0\r\n" in sending.reads(sending.accept_from(sending.backend))


def test_a_chunked_body_is_passed_on_with_its_length(sending: Node) -> None:
    client = sending.client()
    head = request("a1", method="POST", target="/save?key=00000000b4d65521", Transfer_Encoding="chunked")
    client.send(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    backend = sending.accept_from(sending.backend)
    assert b"content-length: 5" in sending.reads(backend, b"abcde")


def test_a_served_answer_is_returned_unchanged_without_hop_by_hop_headers(sending: Node) -> None:
    client, backend = started(sending)
    body = bytes(range(256)) * 200
    backend.send(
        answer(
            body=body,
            Content_Type="image/x",
            X_More="1",
            Keep_Alive="timeout=5",
            Endpoint_Load_Metrics="TEXT inflight=7, queue=2, util=0.61",
        )
    )
    reply = sending.reads(client, body)
    head = reply.partition(b"\r\n\r\n")[0].lower()
    assert reply.endswith(body) and head.startswith(b"http/1.1 200")
    assert b"content-type: image/x" in head and b"x-more: 1" in head and b"keep-alive" not in head
    assert b"endpoint-load-metrics" not in head  # not meant for clients
    assert sending.wait_event(i.Ended) == i.Ended("a1", 1, 0, True, Ending.SERVED, 0, report=(7.0, 0.61))


@pytest.mark.parametrize(
    "text, report",
    [
        (b"TEXT inflight=7, queue=2, util=0.61", (7.0, 0.61)),
        (b"TEXT util=0.5", (0.0, 0.5)),
        (b"", ()),
        (b"JSON {}", ()),
        (b"TEXT inflight=x", ()),
        (b"TEXT \xff=1", ()),
        (b"TEXT inflight=nan", ()),
        (b"TEXT inflight=1e999", ()),
        (b"TEXT inflight=7, util=-1", ()),
        (b"TEXT inflight=1_0, util=0.5", ()),
    ],
)
def test_load_reports(text: bytes, report: tuple[float, ...]) -> None:
    assert parse_load_report(text, ("inflight", "util")) == report


@pytest.mark.parametrize(
    "reply, ending",
    [
        (answer("500 Oops"), Ending.ERROR),
        (answer("503 Full", X_Never_Ran="1"), Ending.FULL),
        (answer("504 Late", X_Never_Ran="1"), Ending.FULL),
        (answer("503 Full"), Ending.ERROR),  # it may have run
        (answer("503 Full", X_Never_Ran="0"), Ending.ERROR),
        (answer("500 Oops", X_Never_Ran="1"), Ending.ERROR),
        (answer("408 Late"), Ending.ERROR),
        (answer("429 Busy"), Ending.ERROR),
        # malformed: it may have run
        (b"nonsense\r\n\r\n", Ending.RESET),
        (b"\x00\xff" * 100 + b"\r\n", Ending.RESET),
        (b"HTTP/1.1 200 OK\r\nX: " + b"x" * 40_000, Ending.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n", Ending.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nslots", Ending.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\nslots", Ending.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nslots", Ending.RESET),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nslots\r\n0\r\n\r\n",
            Ending.RESET,
        ),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", Ending.RESET),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\n" + b"x" * 1048577, Ending.RESET),
        (b"HTTP/1.1 200 OK\r\n\r\nslots", Ending.RESET),
        (b"HTTP/1.0 200 OK\r\n\r\nslots", Ending.RESET),
        (b"HTTP/1.1 103 Early\r\n\r\n" * 9, Ending.RESET),
        (b"HTTP/1.1 101 Other\r\n\r\n", Ending.RESET),
    ],
    ids=range(22),
)
def test_the_ending_of_an_answer(sending: Node, reply: bytes, ending: Ending) -> None:
    _, backend = started(sending)
    send_all(sending, backend, reply)
    ended = sending.wait_event(i.Ended)
    assert (ended.ending, ended.over, ended.hop) == (ending, False, 0)
    assert sending.host.bodies.used_bytes == sending.host.answers.used_bytes == 0


def test_an_answer_longer_than_the_request_limit_is_served(sending: Node) -> None:
    """Answers have a higher limit than requests; refusing a long one would only repeat the attempt."""
    client, backend = started(sending)
    body = bytes(range(256)) * 1_600
    send_all(sending, backend, answer(body=body))
    assert sending.reads(client, body[-1000:]).endswith(body)
    assert sending.host.bodies.used_bytes == sending.host.answers.used_bytes == 0


def test_a_slow_answer_that_keeps_arriving_is_waited_for(sending: Node) -> None:
    client, backend = started(sending)
    backend.send(answer(body=b"x" * 10)[:-10])
    for _ in range(10):
        sending.turns()
        sending.pass_time(200 * MS)
        backend.send(b"x")
    assert sending.reads(client, b"x" * 10).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(
    "begun",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nslots",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nslots\r\n",
    ],
)
def test_an_answer_that_stops_midway_is_given_up_before_the_deadline(sending: Node, begun: bytes) -> None:
    """The backend announces more than it sends and keeps the connection open: time must remain for another attempt."""
    client, backend = started(sending)
    sending.pass_time(500 * MS)  # before the first byte only the deadline counts
    backend.send(begun)
    sending.turns()
    sending.pass_time(240 * MS)
    assert sending.script.of(i.Ended) == []
    sending.pass_time(20 * MS)
    assert [e.ending for e in sending.script.of(i.Ended)] == [Ending.RESET]
    sending.until(lambda: backend.read() and backend.ended)
    assert client.read() == b"" and sending.host.backend_connections == 0


def test_interim_answers_are_not_passed_on_and_do_not_start_the_answer_timeout(sending: Node) -> None:
    client, backend = started(sending)
    backend.send(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
    sending.turns()
    sending.pass_time(600 * MS)
    assert client.read() == b"" and sending.script.of(i.Ended) == []
    backend.send(answer())
    assert sending.reads(client, b"slots").startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("status", ["400 Bad Request", "404 None", "422 Odd"])
def test_a_client_error_is_passed_on_and_not_repeated(sending: Node, status: str) -> None:
    client, backend = started(sending)
    backend.send(answer(status, body=b"no such slot"))
    reply = sending.reads(client, b"no such slot")
    assert reply.startswith(b"HTTP/1.1 " + status[:3].encode())
    ended = sending.wait_event(i.Ended)
    assert (ended.ending, ended.over) == (Ending.ERROR, True)


@pytest.mark.parametrize("extra", [answer(), b"HTTP/1.1 2", b"\x00noise"])
def test_bytes_behind_an_answer_are_not_taken_for_the_next_answer(sending: Node, extra: bytes) -> None:
    """Even if they arrive a moment later, when the next request is already there."""
    client, backend = started(sending)
    backend.send(answer(body=b"first"))
    sending.reads(client, b"first")
    client.received = b""
    sending.ask(client, "a2")  # within the same millisecond
    new_connection = sending.accept_from(sending.backend)
    backend.send(extra)
    assert b"a2" in sending.reads(new_connection)
    new_connection.send(answer(body=b"second"))
    assert b"first" not in sending.reads(client, b"second")
    sending.until(lambda: backend.read() and backend.ended)


def test_long_answer_headers_are_not_cached(sending: Node) -> None:
    client, backend = started(sending)
    backend.send(answer(X_Long="x" * 10_000))
    sending.reads(client, b"slots")
    assert sending.host.response.cache_info().currsize == 0


def test_the_connection_of_a_backend_that_left_is_not_kept(sending: Node) -> None:
    client, backend = started(sending)
    departed = {"name": "s-1", "status": "left"}
    sending.host.discovery.apply({"index": 42, "snapshot": False, "endpoints": [departed]})
    backend.send(answer())
    sending.reads(client, b"slots")
    sending.until(lambda: sending.host.backend_connections == 0)
    assert not sending.host.idle._by_backend


def test_a_new_backend_at_the_address_of_one_that_left_gets_new_connections(sending: Node) -> None:
    client, backend = started(sending)
    backend.send(answer())
    sending.reads(client, b"slots")
    sending.clock.now += 2 * MS
    other = row("s-9", sending.backend.text)
    sending.host.discovery.apply(
        {"index": 42, "snapshot": False, "endpoints": [{"name": "s-1", "status": "left"}, other]}
    )
    sending.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 2)]
    sending.ask(client, "a2")
    new_connection = sending.accept_from(sending.backend)
    assert b"a2" in sending.reads(new_connection)
    sending.until(lambda: backend.read() and backend.ended)


@pytest.mark.parametrize("reset", [True, False])
@pytest.mark.parametrize("begun", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nslo"])
def test_a_connection_lost_after_the_last_byte_may_have_run(sending: Node, reset: bool, begun: bytes) -> None:
    client, backend = started(sending)
    backend.send(begun)
    backend.close(reset)
    assert sending.wait_event(i.Ended).ending is Ending.RESET
    assert client.read() == b""  # nothing of it reached the client


def test_a_refused_connection_did_not_run(sending: Node) -> None:
    sending.backend.close()
    sending.ask(sending.client())
    assert sending.wait_event(i.Ended).ending is Ending.NO_CONNECTION


def test_a_connection_that_is_never_established_did_not_run(sending: Node) -> None:
    """With a full backlog, a connection attempt neither succeeds nor fails."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    backlog = []
    for _ in range(3):
        backlog.append(socket.socket())
        backlog[-1].setblocking(False)
        backlog[-1].connect_ex(listener.getsockname())
    sending.host.backend_names._addresses[1] = listener.getsockname()
    sending.ask(sending.client())
    sending.wait_event(i.Request)
    sending.pass_time(sending.host.limits.connect - 1)
    assert sending.script.of(i.Ended) == []
    sending.pass_time(1)
    assert sending.script.of(i.Ended)[0].ending is Ending.NO_CONNECTION
    assert sending.host.backend_connections == 0
    for sock in (listener, *backlog):
        sock.close()


@pytest.mark.parametrize("may_run, ending", [(False, Ending.NO_CONNECTION), (True, Ending.RESET)])
def test_a_connection_lost_before_the_last_byte_is_written(sending: Node, may_run: bool, ending: Ending) -> None:
    """Small buffers keep a part of the body in the gateway. With `partial_request_may_run`, as in the full gateway, the
    written part counts as may have run: repeated, it could run twice."""
    sending.host.dialect.partial_request_may_run = may_run
    sending.backend.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    client = sending.client()
    client.send(request("a1", method="POST", target="/save?key=00000000b4d65521", body=b"x" * 65536))
    sending.wait_event(i.Request)
    pending = sending.host.requests.get("a1")
    assert pending is not None
    connection = pending.attempts[0].connection
    assert isinstance(connection, BackendConnection)
    connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
    backend = sending.accept_from(sending.backend)
    sending.turns(10)
    assert not pending.attempts[0].written
    backend.close(RESET)
    assert sending.wait_event(i.Ended).ending is ending


def test_a_silent_backend_times_out_at_the_clients_deadline_and_its_connection_is_closed(sending: Node) -> None:
    _, backend = started(sending)
    sending.pass_time(4_000 * MS - 1)
    assert sending.script.of(i.Ended) == []
    sending.pass_time(1)
    ended = sending.script.of(i.Ended)[0]
    assert (ended.ending, ended.latency, ended.over) == (Ending.TIMEOUT, 4_000 * MS, False)
    sending.until(lambda: backend.read() and backend.ended)


def test_an_attempts_own_timeout_is_limited_by_the_deadline(node: Node) -> None:
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1, 50 * MS)]
    node.script.answers[i.Ended] = lambda e: [i.Attempt(e.id, 1, 9_000 * MS)] if e.hop == 0 else []
    _, backend = started(node)
    node.pass_time(50 * MS)
    assert node.script.of(i.Ended)[0].ending is Ending.TIMEOUT
    node.pass_time(3_950 * MS)
    assert [e.hop for e in node.script.of(i.Ended)] == [0, 1]


def test_a_cancelled_attempt_closes_its_connection_at_once(sending: Node) -> None:
    _, backend = started(sending)
    sending.script.answers[i.Timer] = lambda _: [i.Cancel("a1", 0)]
    sending.host.dispatch(i.Timer(1))
    assert sending.wait_event(i.Ended).ending is Ending.CANCELLED
    sending.until(lambda: backend.read() and backend.ended)
    assert sending.host.backend_connections == 0


def test_an_attempt_can_be_cancelled_while_it_connects(sending: Node) -> None:
    sending.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1), i.Cancel(r.id, 0)]
    sending.ask(sending.client())
    assert sending.wait_event(i.Ended).ending is Ending.CANCELLED
    sending.turns()
    assert sending.host.backend_connections == 0 and len(sending.script.of(i.Ended)) == 1
    backend = sending.until(sending.backend.take)
    sending.until(lambda: backend.read() == b"" and backend.ended)


def test_cancelling_twice_or_after_the_end_has_no_effect(sending: Node) -> None:
    started(sending)
    sending.script.answers[i.Timer] = lambda _: [i.Cancel("a1", 0), i.Cancel("a1", 0), i.Cancel("zz", 0)]
    sending.host.dispatch(i.Timer(1))
    assert len(sending.script.of(i.Ended)) == 1


def test_the_most_recently_used_connection_is_reused(sending: Node) -> None:
    connections = [started(sending, f"a{k}") for k in range(3)]
    for k in (0, 2, 1):
        connections[k][1].send(answer())
        sending.wait_event(i.Ended, len(sending.script.of(i.Ended)) + 1)
    sending.clock.now += 2 * MS
    sending.ask(connections[0][0], "b1")
    sending.until(lambda: b"b1" in connections[1][1].read())
    assert sending.backend.take() is None and sending.host.backend_connections == 3


def test_a_connection_is_reused_by_another_request_a_moment_after_its_answer(sending: Node) -> None:
    client, backend = started(sending)
    sending.script.answers[i.Request] = lambda _: []
    other = sending.client()
    sending.ask(other, "b1")
    sending.wait_event(i.Request, 2)
    sending.script.answers[i.Ended] = lambda e: [i.Wake(7, 5 * MS)] if e.id == "a1" else []
    sending.script.answers[i.Timer] = lambda _: [i.Attempt("b1", 1)]
    backend.received = b""
    backend.send(answer())
    sending.wait_event(i.Ended)
    sending.pass_time(sending.host.limits.wake_slack)
    assert b"b1" in sending.reads(backend)
    assert sending.backend.take() is None
    backend.send(answer())
    sending.reads(client, b"slots")
    sending.reads(other, b"slots")


def test_a_further_attempt_of_a_request_takes_another_connection(sending: Node) -> None:
    """Guards against a late duplicate of an earlier attempt's answer: nothing but the connection tells them apart."""
    client, backend = started(sending)
    sending.script.answers[i.Ended] = lambda e: [i.Wake(7, 5 * MS)] if e.hop == 0 else []
    sending.script.answers[i.Timer] = lambda _: [i.Attempt("a1", 1)]
    backend.received = b""
    backend.send(answer("500 Oops"))
    sending.wait_event(i.Ended)
    sending.pass_time(sending.host.limits.wake_slack)
    further = sending.accept_from(sending.backend)
    assert b"a1" in sending.reads(further) and not backend.read()
    further.send(answer())
    sending.reads(client, b"slots")
    assert sending.host.idle.count == 2  # the first connection is kept for other requests


@pytest.mark.parametrize("stray", [b"", b"x"])
def test_an_idle_connection_that_was_closed_or_holds_unread_bytes_is_not_used(sending: Node, stray: bytes) -> None:
    """Writing to a connection that the peer has closed ends in a reset, after which the request may have run."""
    client, backend = started(sending)
    backend.send(answer())
    sending.reads(client, b"slots")
    sending.clock.now += 2 * MS
    connection = sending.host.idle.take(1, sending.clock.now)
    assert connection is not None and connection.is_reusable()
    sending.host.idle.put(connection)
    if stray:
        backend.send(stray)
    else:
        backend.close()
    sending.host.dispatch(i.Timer(1))
    client.received = b""
    # in the same turn as the request, before the loop reports the close
    sending.ask(client, "a2")
    new_connection = sending.accept_from(sending.backend)
    assert b"a2" in sending.reads(new_connection)
    new_connection.send(answer())
    sending.reads(client, b"slots")
    assert [e.ending for e in sending.script.of(i.Ended)] == [Ending.SERVED] * 2


@pytest.mark.parametrize(
    "reply", [answer(Connection="close"), b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nslots", answer() + b"x"]
)
def test_a_connection_that_cannot_be_reused_is_closed(sending: Node, reply: bytes) -> None:
    client, backend = started(sending)
    backend.send(reply)
    sending.reads(client, b"slots")
    sending.until(lambda: sending.host.backend_connections == 0)
    assert sending.host.idle.count == 0


def test_an_answer_without_a_length_is_not_taken_as_complete(sending: Node) -> None:
    """Its end is that of the connection, and a truncated answer looks the same."""
    client, backend = started(sending)
    backend.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nslots")
    backend.close()
    assert sending.wait_event(i.Ended).ending is Ending.RESET and client.read() == b""


def test_idle_connections_are_closed_well_before_the_backend_closes_them(sending: Node) -> None:
    client, backend = started(sending)
    backend.send(answer())
    sending.reads(client, b"slots")
    assert sending.host.limits.backend_idle <= 20_000 * MS < 30_000 * MS
    for _ in range(21):
        sending.pass_time(1_000 * MS)
    sending.until(lambda: backend.read() and backend.ended)
    assert sending.host.backend_connections == 0


@pytest.mark.parametrize("change", ["leaving", "left", "moved"])
def test_idle_connections_are_closed_when_a_backend_leaves_or_moves(sending: Node, change: str) -> None:
    client, backend = started(sending)
    backend.send(answer())
    sending.reads(client, b"slots")
    elsewhere = StubServer()
    entry = row("s-1", elsewhere.text) if change == "moved" else row("s-1", sending.backend.text, status=change)
    sending.host.discovery.apply({"index": 42, "snapshot": False, "endpoints": [entry]})
    sending.until(lambda: backend.read() and backend.ended)
    if change == "moved":  # the backend keeps its number and gets the new address
        sending.ask(client, "a2")
        assert b"a2" in sending.reads(sending.accept_from(elsewhere))
    elsewhere.close()


def test_backend_connections_are_limited_and_the_oldest_idle_one_makes_room() -> None:
    node = Node(backends=2)
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1)]
    connections = [started(node, f"a{k}") for k in range(2)]
    client = node.client()
    node.ask(client, "a3")
    assert node.wait_event(i.Ended).ending is Ending.NO_CONNECTION  # both are busy
    connections[0][1].send(answer())
    node.wait_event(i.Ended, 2)
    other_backend = StubServer()
    node.host.discovery.apply({"index": 42, "snapshot": False, "endpoints": [row("s-2", other_backend.text)]})
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 2)]
    node.ask(node.client(), "a4")
    assert b"a4" in node.reads(node.accept_from(other_backend))
    node.until(lambda: connections[0][1].read() and connections[0][1].ended)
    assert node.host.backend_connections == 2
    other_backend.close()
    node.close()


def test_no_attempt_is_sent_for_a_request_that_is_over_late_or_at_its_attempt_limit(node: Node) -> None:
    node.script.answers[i.Request] = lambda r: [i.Refuse(r.id, 1), i.Attempt(r.id, 1)]
    node.ask(node.client(), "a1")
    node.wait_event(i.Request)
    node.turns()
    assert node.script.of(i.Ended) == []  # it is no longer pending
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1)]
    node.ask(node.client(), "a2", X_Expires_In="0m")
    assert node.wait_event(i.Ended) == i.Ended("a2", 1, 0, False, Ending.MOOT, 0)
    node.backend.close()
    node.script.answers[i.Ended] = lambda e: [i.Attempt(e.id, 1)] if e.hop < 5 else [i.Fail(e.id)]
    client = node.client()
    node.ask(client, "a3")
    node.reads(client, b"failed\n")
    endings = [(e.hop, e.ending) for e in node.script.of(i.Ended) if e.id == "a3"]
    assert endings == [(k, Ending.NO_CONNECTION if k < 4 else Ending.MOOT) for k in range(6)]


def test_an_answer_for_a_client_that_left_is_reported_and_dropped(sending: Node) -> None:
    client, backend = started(sending)
    client.close(RESET)
    sending.wait_event(i.Withdrawn)
    assert len(sending.host.requests) == 1  # its attempt is still in flight
    backend.send(answer())
    assert sending.wait_event(i.Ended) == i.Ended("a1", 1, 0, True, Ending.SERVED, 0)
    assert len(sending.host.requests) == 0


def test_only_the_first_served_answer_reaches_the_client(node: Node) -> None:
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1), i.Attempt(r.id, 1)]
    client = node.client()
    node.ask(client)
    first, second = node.accept_from(node.backend), node.accept_from(node.backend)
    node.reads(first)
    node.reads(second)
    second.send(answer(body=b"second"))
    node.reads(client, b"second")
    first.send(answer(body=b"first!"))
    node.wait_event(i.Ended, 2)
    node.turns()
    assert b"first!" not in client.read()
    assert [(e.hop, e.over) for e in node.script.of(i.Ended)] == [(1, True), (0, True)]


def test_a_refusal_after_an_attempt_is_answered_503(sending: Node) -> None:
    sending.script.answers[i.Ended] = lambda e: [i.Refuse(e.id, 500_000)]
    client, backend = started(sending)
    backend.send(answer("500 Oops"))
    reply = sending.reads(client, b"later\n")
    assert reply.startswith(b"HTTP/1.1 503") and b"retry-after: 0.50\r\n" in reply


def test_an_exception_in_an_attempt_ends_it(
    sending: Node, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def fails(*_: Any) -> bytes:
        raise RuntimeError("odd")

    monkeypatch.setattr("oakvale.wire.backends.BackendConnection._encode_request", fails)
    sending.ask(sending.client())
    assert sending.wait_event(i.Ended).ending is Ending.NO_CONNECTION
    assert "odd" in caplog.text and sending.host.backend_connections == 0


def test_every_buffer_is_returned(sending: Node) -> None:
    client, backend = started(sending)
    backend.send(answer())
    sending.reads(client, b"slots")
    client.received = b""
    sending.clock.now += 2 * MS
    sending.ask(client, "a2")
    sending.reads(backend, b"a2")
    backend.close(RESET)
    sending.wait_event(i.Ended, 2)
    client.close(RESET)
    sending.wait_event(i.Withdrawn)
    sending.turns()
    assert sending.host.buffers.in_use == 0
    assert len(sending.host.requests) == 0 and not sending.host.clients.all
