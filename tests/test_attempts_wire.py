"""Attempts on sockets: every way one can end, connections reused and dropped, what passes unchanged."""

import socket
from typing import Any

import pytest

from oakvale import interface as i
from oakvale.interface import Ending
from oakvale.wire.backends import BackendConnection, load_report
from tests.node import MS, Node, StubConnection, StubServer, answer, request, row

RESET = True


@pytest.fixture
def sending(node: Node) -> Node:
    """Each request goes to the one backend."""
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1)]
    return node


def pushed(node: Node, backend: StubConnection, data: bytes) -> None:
    """Sends more than the sockets hold, as the gateway takes it."""
    while data:
        try:
            data = data[backend.sock.send(data) :]
        except BlockingIOError:
            pass
        except OSError:
            return  # it was given up
        node.turns(1)


def started(node: Node, rid: str = "a1") -> tuple[StubConnection, StubConnection]:
    """A client whose request has come to the backend."""
    client = node.client()
    node.ask(client, rid)
    backend = node.taken(node.backend)
    node.reads(backend)
    return client, backend


def test_what_passes_on_is_unchanged(sending: Node) -> None:
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
    backend = sending.taken(sending.backend)
    data = sending.reads(backend, body)
    head = data.partition(b"\r\n\r\n")[0].lower()
    assert data.startswith(b"POST " + target.encode() + b" HTTP/1.1\r\n") and data.endswith(body)
    assert b"x-trace-id: a1" in head and b"x-other: kept" in head and b"content-length: 256" in head
    assert b"x-expires-in: 4000000u" in head and head.count(b"x-expires-in") == 1
    assert b"hop" not in head and b"\r\nte:" not in head and b"connection" not in head


def test_an_empty_body_is_told_as_such(sending: Node) -> None:
    client = sending.client()
    client.send(request("a1", method="POST", target="/save?key=00000000b4d65521", Content_Length="0"))
    assert b"content-length: 0\r\n" in sending.reads(sending.taken(sending.backend))


def test_a_chunked_body_passes_on_whole(sending: Node) -> None:
    client = sending.client()
    head = request("a1", method="POST", target="/save?key=00000000b4d65521", Transfer_Encoding="chunked")
    client.send(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    backend = sending.taken(sending.backend)
    assert b"content-length: 5" in sending.reads(backend, b"abcde")


def test_a_served_answer_comes_back_unchanged_without_hop_by_hop_headers(sending: Node) -> None:
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
    assert b"endpoint-load-metrics" not in head  # what a backend holds is no client's affair
    assert sending.came(i.Ended) == i.Ended("a1", 1, 0, True, Ending.SERVED, 0, report=(7.0, 0.61))


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
    assert load_report(text, ("inflight", "util")) == report


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
        # spoilt: it may have run
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
def test_what_an_answer_means(sending: Node, reply: bytes, ending: Ending) -> None:
    _, backend = started(sending)
    pushed(sending, backend, reply)
    ended = sending.came(i.Ended)
    assert (ended.ending, ended.over, ended.hop) == (ending, False, 0)
    assert sending.host.bodies.taken == 0


def test_good_answers_longer_than_a_request_may_be_are_served_within_bounds(sending: Node) -> None:
    """A fleet sent one of some hundred KiB in seven; each was a failed attempt, tried four times."""
    client, backend = started(sending)
    body = bytes(range(256)) * 1_600
    pushed(sending, backend, answer(body=body))
    assert sending.reads(client, body[-1000:]).endswith(body)
    assert sending.host.bodies.taken == 0


def test_long_answers_are_bounded_together() -> None:
    node = Node(bodies=500_000)
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1)]
    ones = [started(node, f"a{k}") for k in range(2)]
    for _, backend in ones:
        backend.send(b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\nslots")
    assert node.came(i.Ended).ending is Ending.RESET
    assert node.host.bodies.taken == 400_000
    node.pass_time(node.host.limits.answer_rest)
    assert node.came(i.Ended, 2).ending is Ending.RESET and node.host.bodies.taken == 0
    node.close()


def test_an_answer_that_goes_on_coming_has_its_time(sending: Node) -> None:
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
def test_an_answer_that_never_ends_is_not_waited_for_to_the_deadline(sending: Node, begun: bytes) -> None:
    """It says more than it sends, and its connection stays open: another attempt has its time."""
    client, backend = started(sending)
    sending.pass_time(500 * MS)  # before its first byte it has all the time there is
    backend.send(begun)
    sending.turns()
    sending.pass_time(240 * MS)
    assert sending.script.of(i.Ended) == []
    sending.pass_time(20 * MS)
    assert [e.ending for e in sending.script.of(i.Ended)] == [Ending.RESET]
    sending.until(lambda: backend.read() and backend.ended)
    assert client.read() == b"" and sending.host.backend_connections == 0


def test_interim_answers_go_no_further_and_the_answer_behind_them_has_its_time(sending: Node) -> None:
    client, backend = started(sending)
    backend.send(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
    sending.turns()
    sending.pass_time(600 * MS)
    assert client.read() == b"" and sending.script.of(i.Ended) == []
    backend.send(answer())
    assert sending.reads(client, b"slots").startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("status", ["400 Bad Request", "404 None", "422 Odd"])
def test_what_no_backend_can_use_is_told_to_the_client_and_not_tried_elsewhere(sending: Node, status: str) -> None:
    client, backend = started(sending)
    backend.send(answer(status, body=b"no such slot"))
    reply = sending.reads(client, b"no such slot")
    assert reply.startswith(b"HTTP/1.1 " + status[:3].encode())
    ended = sending.came(i.Ended)
    assert (ended.ending, ended.over) == (Ending.ERROR, True)


@pytest.mark.parametrize("extra", [answer(), b"HTTP/1.1 2", b"\x00noise"])
def test_what_comes_right_behind_an_answer_is_not_the_next_ones(sending: Node, extra: bytes) -> None:
    """Also when it comes a moment later, and the next request is there already."""
    client, backend = started(sending)
    backend.send(answer(body=b"first"))
    sending.reads(client, b"first")
    client.came = b""
    sending.ask(client, "a2")  # within the same millisecond
    again = sending.taken(sending.backend)
    backend.send(extra)
    assert b"a2" in sending.reads(again)
    again.send(answer(body=b"second"))
    assert b"first" not in sending.reads(client, b"second")
    sending.until(lambda: backend.read() and backend.ended)


def test_long_heads_of_answers_are_not_kept(sending: Node) -> None:
    client, backend = started(sending)
    backend.send(answer(X_Long="x" * 10_000))
    sending.reads(client, b"slots")
    assert sending.host.response.cache_info().currsize == 0


def test_a_connection_of_a_backend_that_left_meanwhile_is_not_kept(sending: Node) -> None:
    client, backend = started(sending)
    gone = {"name": "s-1", "status": "left"}
    sending.host.discovery.take({"index": 42, "snapshot": False, "endpoints": [gone]})
    backend.send(answer())
    sending.reads(client, b"slots")
    sending.until(lambda: sending.host.backend_connections == 0)
    assert not sending.host.idle._by_backend


def test_a_new_backend_at_the_address_of_one_that_left_gets_connections_of_its_own(sending: Node) -> None:
    client, backend = started(sending)
    backend.send(answer())
    sending.reads(client, b"slots")
    sending.clock.now += 2 * MS
    other = row("s-9", sending.backend.text)
    sending.host.discovery.take(
        {"index": 42, "snapshot": False, "endpoints": [{"name": "s-1", "status": "left"}, other]}
    )
    sending.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 2)]
    sending.ask(client, "a2")
    again = sending.taken(sending.backend)
    assert b"a2" in sending.reads(again)
    sending.until(lambda: backend.read() and backend.ended)


@pytest.mark.parametrize("reset", [True, False])
@pytest.mark.parametrize("begun", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nslo"])
def test_a_break_after_the_last_byte_may_have_run(sending: Node, reset: bool, begun: bytes) -> None:
    client, backend = started(sending)
    backend.send(begun)
    backend.close(reset)
    assert sending.came(i.Ended).ending is Ending.RESET
    assert client.read() == b""  # nothing of it reached the client


def test_a_refused_connection_never_ran(sending: Node) -> None:
    sending.backend.close()
    sending.ask(sending.client())
    assert sending.came(i.Ended).ending is Ending.NO_CONNECTION


def test_a_connection_that_never_comes_up_never_ran(sending: Node) -> None:
    """A listener whose backlog is full lets a connection neither come up nor fail."""
    silent = socket.socket()
    silent.bind(("127.0.0.1", 0))
    silent.listen(0)
    held = []
    for _ in range(3):
        held.append(socket.socket())
        held[-1].setblocking(False)
        held[-1].connect_ex(silent.getsockname())
    sending.host.backend_names._addresses[1] = silent.getsockname()
    sending.ask(sending.client())
    sending.came(i.Request)
    sending.pass_time(sending.host.limits.connect - 1)
    assert sending.script.of(i.Ended) == []
    sending.pass_time(1)
    assert sending.script.of(i.Ended)[0].ending is Ending.NO_CONNECTION
    assert sending.host.backend_connections == 0
    for sock in (silent, *held):
        sock.close()


@pytest.mark.parametrize("may_run, ending", [(False, Ending.NO_CONNECTION), (True, Ending.RESET)])
def test_a_break_before_the_last_byte_is_written_never_ran(sending: Node, may_run: bool, ending: Ending) -> None:
    """The backend's side takes little, so that the body stays in the gateway in part. In the whole system a part
    that was written may have run: sent again, it could run twice."""
    sending.host.dialect.part_may_run = may_run
    sending.backend.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    client = sending.client()
    client.send(request("a1", method="POST", target="/save?key=00000000b4d65521", body=b"x" * 65536))
    sending.came(i.Request)
    held = sending.host.requests.get("a1")
    assert held is not None
    connection = held.out[0].connection
    assert isinstance(connection, BackendConnection)
    connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
    backend = sending.taken(sending.backend)
    sending.turns(10)
    assert not held.out[0].written
    backend.close(RESET)
    assert sending.came(i.Ended).ending is ending


def test_silence_is_a_timeout_at_the_clients_deadline_and_closes_the_connection(sending: Node) -> None:
    _, backend = started(sending)
    sending.pass_time(4_000 * MS - 1)
    assert sending.script.of(i.Ended) == []
    sending.pass_time(1)
    ended = sending.script.of(i.Ended)[0]
    assert (ended.ending, ended.latency, ended.over) == (Ending.TIMEOUT, 4_000 * MS, False)
    sending.until(lambda: backend.read() and backend.ended)


def test_an_attempts_own_time_out_is_kept_and_cut_to_the_deadline(node: Node) -> None:
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1, 50 * MS)]
    node.script.answers[i.Ended] = lambda e: [i.Attempt(e.id, 1, 9_000 * MS)] if e.hop == 0 else []
    _, backend = started(node)
    node.pass_time(50 * MS)
    assert node.script.of(i.Ended)[0].ending is Ending.TIMEOUT
    node.pass_time(3_950 * MS)
    assert [e.hop for e in node.script.of(i.Ended)] == [0, 1]


def test_a_called_off_attempt_closes_its_connection_at_once(sending: Node) -> None:
    _, backend = started(sending)
    sending.script.answers[i.Timer] = lambda _: [i.Cancel("a1", 0)]
    sending.host.dispatch(i.Timer(1))
    assert sending.came(i.Ended).ending is Ending.CANCELLED
    sending.until(lambda: backend.read() and backend.ended)
    assert sending.host.backend_connections == 0


def test_an_attempt_is_called_off_also_while_it_connects(sending: Node) -> None:
    sending.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1), i.Cancel(r.id, 0)]
    sending.ask(sending.client())
    assert sending.came(i.Ended).ending is Ending.CANCELLED
    sending.turns()
    assert sending.host.backend_connections == 0 and len(sending.script.of(i.Ended)) == 1
    backend = sending.until(sending.backend.take)
    sending.until(lambda: backend.read() == b"" and backend.ended)


def test_cancelling_twice_or_what_has_ended_is_passed_over(sending: Node) -> None:
    started(sending)
    sending.script.answers[i.Timer] = lambda _: [i.Cancel("a1", 0), i.Cancel("a1", 0), i.Cancel("zz", 0)]
    sending.host.dispatch(i.Timer(1))
    assert len(sending.script.of(i.Ended)) == 1


def test_the_latest_used_connection_is_reused(sending: Node) -> None:
    ones = [started(sending, f"a{k}") for k in range(3)]
    for k in (0, 2, 1):
        ones[k][1].send(answer())
        sending.came(i.Ended, len(sending.script.of(i.Ended)) + 1)
    sending.clock.now += 2 * MS
    sending.ask(ones[0][0], "b1")
    sending.until(lambda: b"b1" in ones[1][1].read())
    assert sending.backend.take() is None and sending.host.backend_connections == 3


def test_an_answer_frees_its_connection_for_an_attempt_a_moment_later(sending: Node) -> None:
    client, backend = started(sending)
    sending.script.answers[i.Ended] = lambda e: [i.Wake(7, 5 * MS)] if e.hop == 0 else []
    sending.script.answers[i.Timer] = lambda _: [i.Attempt("a1", 1)]
    backend.came = b""
    backend.send(answer("500 Oops"))
    sending.came(i.Ended)
    sending.pass_time(sending.host.limits.wake_slack)
    assert b"a1" in sending.reads(backend)
    assert sending.backend.take() is None
    backend.send(answer())
    sending.reads(client, b"slots")


@pytest.mark.parametrize("stray", [b"", b"x"])
def test_an_idle_connection_that_ended_or_holds_stray_bytes_is_not_used(sending: Node, stray: bytes) -> None:
    """What is written to a connection that its peer has closed is a reset that may have run."""
    client, backend = started(sending)
    backend.send(answer())
    sending.reads(client, b"slots")
    sending.clock.now += 2 * MS
    connection = sending.host.idle.take(1, sending.clock.now)
    assert connection is not None and connection.whole()
    sending.host.idle.put(connection)
    if stray:
        backend.send(stray)
    else:
        backend.close()
    sending.host.dispatch(i.Timer(1))
    client.came = b""
    # in the same turn as the request: the loop has not told of the end yet
    sending.ask(client, "a2")
    again = sending.taken(sending.backend)
    assert b"a2" in sending.reads(again)
    again.send(answer())
    sending.reads(client, b"slots")
    assert [e.ending for e in sending.script.of(i.Ended)] == [Ending.SERVED] * 2


@pytest.mark.parametrize(
    "reply", [answer(Connection="close"), b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nslots", answer() + b"x"]
)
def test_a_connection_that_can_not_be_used_again_is_closed(sending: Node, reply: bytes) -> None:
    client, backend = started(sending)
    backend.send(reply)
    sending.reads(client, b"slots")
    sending.until(lambda: sending.host.backend_connections == 0)
    assert sending.host.idle.count == 0


def test_an_answer_that_ends_with_its_connection_is_not_taken_for_whole(sending: Node) -> None:
    """One that was cut would look the same."""
    client, backend = started(sending)
    backend.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nslots")
    backend.close()
    assert sending.came(i.Ended).ending is Ending.RESET and client.read() == b""


def test_idle_connections_age_out_well_before_the_backend_closes_them(sending: Node) -> None:
    client, backend = started(sending)
    backend.send(answer())
    sending.reads(client, b"slots")
    assert sending.host.limits.backend_idle <= 20_000 * MS < 30_000 * MS
    for _ in range(21):
        sending.pass_time(1_000 * MS)
    sending.until(lambda: backend.read() and backend.ended)
    assert sending.host.backend_connections == 0


@pytest.mark.parametrize("change", ["leaving", "left", "moved"])
def test_idle_connections_are_freed_when_a_backend_leaves_or_moves(sending: Node, change: str) -> None:
    client, backend = started(sending)
    backend.send(answer())
    sending.reads(client, b"slots")
    elsewhere = StubServer()
    entry = row("s-1", elsewhere.text) if change == "moved" else row("s-1", sending.backend.text, status=change)
    sending.host.discovery.take({"index": 42, "snapshot": False, "endpoints": [entry]})
    sending.until(lambda: backend.read() and backend.ended)
    if change == "moved":  # the backend keeps its number, and is found where it listens now
        sending.ask(client, "a2")
        assert b"a2" in sending.reads(sending.taken(elsewhere))
    elsewhere.close()


def test_no_more_connections_than_may_be_the_oldest_idle_makes_room() -> None:
    node = Node(backends=2)
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1)]
    ones = [started(node, f"a{k}") for k in range(2)]
    client = node.client()
    node.ask(client, "a3")
    assert node.came(i.Ended).ending is Ending.NO_CONNECTION  # both are busy
    ones[0][1].send(answer())
    node.came(i.Ended, 2)
    other = StubServer()
    node.host.discovery.take({"index": 42, "snapshot": False, "endpoints": [row("s-2", other.text)]})
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 2)]
    node.ask(node.client(), "a4")
    assert b"a4" in node.reads(node.taken(other))
    node.until(lambda: ones[0][1].read() and ones[0][1].ended)
    assert node.host.backend_connections == 2
    other.close()
    node.close()


def test_no_attempt_is_sent_for_what_is_over_late_or_tried_too_often(node: Node) -> None:
    node.script.answers[i.Request] = lambda r: [i.Refuse(r.id, 1), i.Attempt(r.id, 1)]
    node.ask(node.client(), "a1")
    node.came(i.Request)
    node.turns()
    assert node.script.of(i.Ended) == []  # it is not in hand any more
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1)]
    node.ask(node.client(), "a2", X_Expires_In="0m")
    assert node.came(i.Ended) == i.Ended("a2", 1, 0, False, Ending.MOOT, 0)
    node.backend.close()
    node.script.answers[i.Ended] = lambda e: [i.Attempt(e.id, 1)] if e.hop < 5 else [i.Fail(e.id)]
    client = node.client()
    node.ask(client, "a3")
    node.reads(client, b"failed\n")
    endings = [(e.hop, e.ending) for e in node.script.of(i.Ended) if e.id == "a3"]
    assert endings == [(k, Ending.NO_CONNECTION if k < 4 else Ending.MOOT) for k in range(6)]


def test_an_answer_for_a_client_that_left_is_told_and_goes_nowhere(sending: Node) -> None:
    client, backend = started(sending)
    client.close(RESET)
    sending.came(i.Withdrawn)
    assert len(sending.host.requests) == 1  # its attempt is still out
    backend.send(answer())
    assert sending.came(i.Ended) == i.Ended("a1", 1, 0, True, Ending.SERVED, 0)
    assert len(sending.host.requests) == 0


def test_only_the_first_served_answer_reaches_the_client(node: Node) -> None:
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1), i.Attempt(r.id, 1)]
    client = node.client()
    node.ask(client)
    one, other = node.taken(node.backend), node.taken(node.backend)
    node.reads(one)
    node.reads(other)
    other.send(answer(body=b"second"))
    node.reads(client, b"second")
    one.send(answer(body=b"first!"))
    node.came(i.Ended, 2)
    node.turns()
    assert b"first!" not in client.read()
    assert [(e.hop, e.over) for e in node.script.of(i.Ended)] == [(1, True), (0, True)]


def test_a_refusal_after_an_attempt_is_not_the_clients_fault(sending: Node) -> None:
    sending.script.answers[i.Ended] = lambda e: [i.Refuse(e.id, 500_000)]
    client, backend = started(sending)
    backend.send(answer("500 Oops"))
    reply = sending.reads(client, b"later\n")
    assert reply.startswith(b"HTTP/1.1 503") and b"retry-after: 0.50\r\n" in reply


def test_a_fault_in_an_attempt_still_ends_it(
    sending: Node, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def fails(*_: Any) -> bytes:
        raise RuntimeError("odd")

    monkeypatch.setattr("oakvale.wire.backends.BackendConnection._message", fails)
    sending.ask(sending.client())
    assert sending.came(i.Ended).ending is Ending.NO_CONNECTION
    assert "odd" in caplog.text and sending.host.backend_connections == 0


def test_every_buffer_is_given_back(sending: Node) -> None:
    client, backend = started(sending)
    backend.send(answer())
    sending.reads(client, b"slots")
    client.came = b""
    sending.clock.now += 2 * MS
    sending.ask(client, "a2")
    sending.reads(backend, b"a2")
    backend.close(RESET)
    sending.came(i.Ended, 2)
    client.close(RESET)
    sending.came(i.Withdrawn)
    sending.turns()
    assert sending.host.buffers.taken == 0
    assert len(sending.host.requests) == 0 and not sending.host.clients.all
