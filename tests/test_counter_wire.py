"""The counter's line protocol: endings of calls, late answers, order within a name, stuck and idle connections."""

import socket
from typing import cast

import pytest

from oakvale import interface as i
from oakvale.interface import Ending
from oakvale.wire.counter import CounterCall, parse_answer
from tests.node import MS, Node, StubConnection

TIMEOUT_US = 80 * MS


def make_calls(node: Node, *charges: i.Charge) -> None:
    """Makes the policy charge these amounts."""
    node.acts(*charges)
    node.turns()


def connect_call(node: Node, name: str = "q:a:1", amount: float = 2.0) -> StubConnection:
    """Makes a call over a new connection and returns the counter's end of it."""
    make_calls(node, i.Charge(name, amount, 4_000_000))
    counter = node.accept_from(node.counter)
    node.reads(counter, b"\r\n")
    return counter


def outcomes(node: Node) -> list[tuple[str, Ending, float]]:
    node.turns()
    return [(e.name, e.ending, e.level) for e in node.script.of(i.Counted)]


def test_a_call_is_one_line_and_its_answer_an_event(node: Node) -> None:
    counter = connect_call(node)
    assert counter.received == b"add q:a:1 2 4000\r\n"
    node.clock.now += 3 * MS
    counter.send(b"ok 12.5\r\n")
    assert node.wait_event(i.Counted) == i.Counted("q:a:1", Ending.SERVED, 12.5, 3 * MS)


@pytest.mark.parametrize(
    "amount, text",
    [
        (0.0, "0"),
        (-2.5, "-2.5"),
        (1e8, "100000000"),
        (3.25e-5, "0.0000325"),
        (1e-20, "0"),
        (123456.789012345, "123456.789012345"),
    ],
)
def test_amounts_are_plain_decimals(amount: float, text: str) -> None:
    words = CounterCall("n", amount, 1, 0).line().decode().split()
    assert float(words[2]) == pytest.approx(float(text), abs=1e-12) and "e" not in words[2]
    assert len(words) == 4


@pytest.mark.parametrize(
    "charge",
    [
        i.Charge("q:a:1", 1.1e9, 1000),
        i.Charge("q:a:1", -1.1e9, 1000),
        i.Charge("q:a:1", float("nan"), 1000),
        i.Charge("q:a:1", float("inf"), 1000),
        i.Charge("", 1, 1000),
        i.Charge("x" * 65, 1, 1000),
        i.Charge("q a", 1, 1000),
        i.Charge("q\r\nadd", 1, 1000),
        i.Charge("qé", 1, 1000),
    ],
)
def test_a_call_that_the_counter_would_reject_is_never_written(node: Node, charge: i.Charge) -> None:
    make_calls(node, charge)
    assert outcomes(node) == [(charge.name, Ending.FULL, 0.0)]
    assert node.counter.take() is None


@pytest.mark.parametrize("life_us, text", [(0, b" 1\r\n"), (500, b" 1\r\n"), (90_000_000, b" 60000\r\n")])
def test_lifetimes_are_limited_to_a_minute(node: Node, life_us: int, text: bytes) -> None:
    make_calls(node, i.Charge("n", 1.0, life_us))
    assert node.reads(node.accept_from(node.counter), b"\r\n").endswith(text)


@pytest.mark.parametrize("line", [b"busy\r\n", b"error\r\n"])
def test_busy_and_error_end_as_full(node: Node, line: bytes) -> None:
    connect_call(node).send(line)
    assert outcomes(node) == [("q:a:1", Ending.FULL, 0.0)]


def test_calls_are_pipelined_and_answered_in_order(node: Node) -> None:
    make_calls(node, *(i.Charge(f"n{k}", float(k), 1_000_000) for k in range(5)))
    counter = node.accept_from(node.counter)
    node.until(lambda: counter.read().count(b"\r\n") == 5)
    for fragment in (b"ok 0\r\nok 1\r\nbu", b"sy\r", b"\nok 3\r\nok 4\r\n"):
        counter.send(fragment)
        node.turns()
    assert outcomes(node) == [
        ("n0", Ending.SERVED, 0),
        ("n1", Ending.SERVED, 1),
        ("n2", Ending.FULL, 0),
        ("n3", Ending.SERVED, 3),
        ("n4", Ending.SERVED, 4),
    ]
    assert node.counter.take() is None


def test_a_call_times_out_and_its_late_answer_is_discarded(node: Node) -> None:
    """Taken for the answer to the next call, it would shift all later answers by one call."""
    counter = connect_call(node, "n1")
    node.pass_time(TIMEOUT_US // 2)
    make_calls(node, i.Charge("n2", 1.0, 1_000_000))
    node.pass_time(TIMEOUT_US // 2)
    assert outcomes(node) == [("n1", Ending.TIMEOUT, 0.0)]
    counter.send(b"ok 1\r\n")
    assert outcomes(node) == [("n1", Ending.TIMEOUT, 0.0)]
    counter.send(b"ok 2\r\n")
    assert outcomes(node) == [("n1", Ending.TIMEOUT, 0.0), ("n2", Ending.SERVED, 2.0)]


def test_a_call_on_a_refused_connection_did_not_count(node: Node) -> None:
    node.counter.close()
    make_calls(node, i.Charge("n1", 1.0, 1_000_000))
    assert outcomes(node) == [("n1", Ending.NO_CONNECTION, 0.0)]


def test_after_a_refused_connection_calls_fail_until_the_retry_pause_ends(node: Node) -> None:
    node.counter.close()
    make_calls(node, i.Charge("n1", 1.0, 1_000_000))
    node.turns()
    before = node.host.counter.retry_at  # type: ignore[union-attr]
    make_calls(node, i.Charge("n2", 1.0, 1_000_000))
    assert [e for _, e, _ in outcomes(node)] == [Ending.NO_CONNECTION] * 2
    assert node.host.counter.retry_at == before > node.clock.now  # type: ignore[union-attr]


def test_a_connection_that_is_never_established_is_given_up_and_not_written_to(node: Node) -> None:
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    backlog = []
    for _ in range(3):
        backlog.append(socket.socket())
        backlog[-1].setblocking(False)
        backlog[-1].connect_ex(listener.getsockname())
    assert node.host.counter is not None
    node.host.counter.address = listener.getsockname()
    make_calls(node, i.Charge("n1", 1.0, 1_000_000))
    node.pass_time(TIMEOUT_US)
    assert outcomes(node) == [("n1", Ending.NO_CONNECTION, 0.0)]
    [connection] = node.host.counter.connections
    connection._write = lambda: pytest.fail("written to a connection that was given up")  # type: ignore[method-assign]
    node.pass_time(node.host.limits.connect)
    assert node.host.counter.connections == []
    for sock in (listener, *backlog):
        sock.close()


def test_a_call_that_timed_out_while_connecting_is_not_written(node: Node) -> None:
    make_calls(node, i.Charge("n1", 1.0, 1_000_000))
    counter = node.accept_from(node.counter)
    counter.read()
    counter.received = b""
    assert node.host.counter is not None
    [connection] = node.host.counter.connections
    late = CounterCall("late", 1.0, 1, node.clock.now)
    late.ending = Ending.NO_CONNECTION
    connection.send(late)
    make_calls(node, i.Charge("n2", 1.0, 1_000_000))
    assert b"late" not in node.reads(counter, b"n2")


@pytest.mark.parametrize("reset", [True, False])
def test_a_connection_lost_after_the_last_byte_may_have_counted(node: Node, reset: bool) -> None:
    connect_call(node).close(reset)
    assert outcomes(node) == [("q:a:1", Ending.RESET, 0.0)]


def test_a_connection_lost_before_the_last_byte_did_not_count(node: Node) -> None:
    """The socket takes the first call and a part of the second."""
    counter = connect_call(node, "n0")
    counter.send(b"ok 1\r\n")
    node.turns()
    assert node.host.counter is not None
    [connection] = node.host.counter.connections
    line = CounterCall("n1", 1.0, 1_000_000, 0).line()

    class LimitedSocket:
        """A socket that takes one call and four bytes."""

        def __init__(self, sock: socket.socket) -> None:
            self.sock, self.capacity_bytes = sock, len(line) + 4

        def send(self, data: bytes) -> int:
            if not self.capacity_bytes:
                raise BlockingIOError
            sent = self.sock.send(data[: self.capacity_bytes])
            self.capacity_bytes -= sent
            return sent

        def __getattr__(self, name: str) -> object:
            return getattr(self.sock, name)

    connection._sock = LimitedSocket(cast(socket.socket, connection._sock))  # type: ignore[assignment]
    make_calls(node, *(i.Charge(n, 1.0, 1_000_000_000) for n in ("n1", "n2", "n3")))
    counter.close(reset=True)
    assert sorted(outcomes(node)[1:]) == [
        ("n1", Ending.RESET, 0.0),
        ("n2", Ending.NO_CONNECTION, 0.0),
        ("n3", Ending.NO_CONNECTION, 0.0),
    ]


@pytest.mark.parametrize(
    "data",
    [
        b"what\r\n",
        b"ok x\r\n",
        b"ok nan\r\n",
        b"ok inf\r\n",
        b"ok\r\n",
        b"x" * 300,
        b"ok 1_0\r\n",
        b"ok  1\r\n",
        b"ok +1\r\n",
        b"ok 1e999\r\n",
        "ok ²\r\n".encode(),
        b"\xff",
        b"ok 1 x",
        b"busyy",
    ],
    ids=range(14),
)
def test_a_malformed_line_ends_the_calls_of_its_connection_and_a_new_one_is_made(
    node: Node, data: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Also a line without an end, behind which later calls would wait in vain."""
    counter = connect_call(node, "n1")
    make_calls(node, i.Charge("n9", 1.0, 1_000_000))  # written behind the first call, never answered
    counter.send(data)
    node.turns()
    assert outcomes(node) == [("n1", Ending.ERROR, 0.0), ("n9", Ending.RESET, 0.0)]
    assert "counter lost" in caplog.text
    new_connection = connect_call(node, "n2")
    new_connection.send(b"ok 3\r\n")
    assert outcomes(node)[2:] == [("n2", Ending.SERVED, 3.0)]


@pytest.mark.parametrize("line", [b"ok 12.5\r\n", b"ok -0.25\r\n", b"ok 1.5e-7\r\n", b"busy\r\n", b"error\r\n"])
def test_an_answer_may_arrive_bytewise(node: Node, line: bytes) -> None:
    counter = connect_call(node, "n1")
    for k in range(len(line)):
        counter.send(line[k : k + 1])
        node.turns(1)
    assert len(outcomes(node)) == 1 and outcomes(node)[0][1] in (Ending.SERVED, Ending.FULL)
    assert node.host.counter is not None and len(node.host.counter.connections) == 1


def test_an_answer_without_a_call_closes_the_connection(node: Node) -> None:
    counter = connect_call(node, "n1")
    counter.send(b"ok 1\r\nok 2\r\n")
    assert outcomes(node) == [("n1", Ending.SERVED, 1.0)]
    assert node.host.counter is not None and node.host.counter.connections == []


def test_later_calls_do_not_use_a_stuck_connection(node: Node) -> None:
    connect_call(node, "n1")
    node.pass_time(TIMEOUT_US)
    new_connection = connect_call(node, "n2")
    new_connection.send(b"ok 5\r\n")
    assert outcomes(node) == [("n1", Ending.TIMEOUT, 0.0), ("n2", Ending.SERVED, 5.0)]


def test_the_connection_of_a_slow_counter_does_not_count_as_stuck(node: Node) -> None:
    counter = connect_call(node, "n1")
    node.pass_time(TIMEOUT_US // 2)
    make_calls(node, i.Charge("n2", 1.0, 1_000_000))
    node.pass_time(TIMEOUT_US // 4)
    counter.send(b"ok 1\r\n")
    node.turns()
    node.pass_time(TIMEOUT_US)  # the second call is late, but an answer has arrived since it was written
    make_calls(node, i.Charge("n3", 1.0, 1_000_000))
    assert node.counter.take() is None


def test_a_stuck_connection_is_used_again_after_an_answer(node: Node) -> None:
    counter = connect_call(node, "n1")
    node.pass_time(TIMEOUT_US)
    counter.send(b"ok 1\r\n")
    node.turns()
    make_calls(node, i.Charge("n2", 1.0, 1_000_000))
    assert node.counter.take() is None and b"n2" in node.reads(counter, b"n2")


def test_outcomes_of_a_name_keep_the_order_of_its_calls_across_connections(node: Node) -> None:
    """The policy assigns each outcome to the oldest pending call of its name."""
    connect_call(node, "x")
    node.pass_time(TIMEOUT_US // 2)
    make_calls(node, i.Charge("same", 1.0, 1_000_000))
    node.pass_time(TIMEOUT_US // 2)  # the connection is stuck now, and the first `same` call is on it
    new_connection = connect_call(node, "same")
    new_connection.send(b"ok 7\r\n")
    assert outcomes(node) == [("x", Ending.TIMEOUT, 0.0)]
    node.pass_time(TIMEOUT_US // 2)
    assert outcomes(node) == [("x", Ending.TIMEOUT, 0.0), ("same", Ending.TIMEOUT, 0.0), ("same", Ending.SERVED, 7.0)]


def test_connections_to_a_silent_counter_are_limited(node: Node) -> None:
    connections = []
    for k in range(3 * node.host.limits.counters):
        connections.append(connect_call(node, f"n{k}"))
        node.pass_time(TIMEOUT_US)
    assert node.host.counter is not None
    assert len(node.host.counter.connections) <= node.host.limits.counters < 32
    assert [e for _, e, _ in outcomes(node)] == [Ending.TIMEOUT] * len(connections)
    node.pass_time(node.host.limits.counter_late)
    assert node.host.counter.connections == []


def test_a_connection_that_was_closed_while_idle_is_not_written_to(node: Node) -> None:
    counter = connect_call(node, "n1")
    counter.send(b"ok 1\r\n")
    node.turns()
    node.clock.now += node.host.limits.counter_idle
    counter.close()
    node.script.answers[i.Timer] = lambda _: [i.Charge("n2", 1.0, 1_000_000)]
    node.host.loop.at(node.clock.now, lambda _: node.host.dispatch(i.Timer(1)))
    # whether the call is made before or after the loop sees the close, it doesn't use the old connection
    new_connection = node.accept_from(node.counter)
    assert b"n2" in node.reads(new_connection, b"\r\n")
    new_connection.send(b"ok 2\r\n")
    assert outcomes(node)[1:] == [("n2", Ending.SERVED, 2.0)]


def test_an_idle_connection_is_checked_for_a_close_before_it_is_used(node: Node) -> None:
    counter = connect_call(node, "n1")
    counter.send(b"ok 1\r\n")
    node.turns()
    assert node.host.counter is not None
    [connection] = node.host.counter.connections
    later = node.clock.now + node.host.limits.counter_idle
    assert connection.is_usable(later)
    counter.close()
    assert not connection.is_usable(later) and connection.ended


def test_a_lost_counter_and_its_return_are_logged_once(node: Node, caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    for k in range(3):
        connect_call(node, f"n{k}")
        node.pass_time(TIMEOUT_US)
    assert [r.message for r in caplog.records] == ["counter lost"]
    connect_call(node, "n9").send(b"ok 1\r\n")
    node.turns()
    assert [r.message for r in caplog.records] == ["counter lost", "counter back"]


def test_finished_calls_leave_no_timers_names_or_buffers(node: Node) -> None:
    before = len(node.loop._timers)
    counter = connect_call(node, "n0")
    counter.send(b"ok 1\r\n")
    for k in range(50):
        make_calls(node, i.Charge(f"n{k}", 1.0, 1_000_000))
        counter.send(b"ok 1\r\n")
        node.turns()
        node.pass_time(10 * MS)
    node.pass_time(TIMEOUT_US)
    assert node.host.counter is not None
    assert not node.host.counter._by_name and len(node.loop._timers) == before
    assert node.host.buffers.in_use == 0


@pytest.mark.parametrize("line", [b"", b"okay 1", b"busy 2", b"pong"])
def test_invalid_answer_lines_are_rejected(line: bytes) -> None:
    with pytest.raises(ValueError):
        parse_answer(line)
