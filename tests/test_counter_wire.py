"""The counter's lines: how each call ends, answers owed, order within a name, stuck and idle connections."""

import socket
from typing import cast

import pytest

from oakvale import interface as i
from oakvale.interface import Ending
from oakvale.wire.counter import Call, answer
from tests.node import MS, Node, StubConnection

TIMEOUT = 80 * MS


def call(node: Node, *charges: i.Charge) -> None:
    """Has the module make calls."""
    node.acts(*charges)
    node.turns()


def one(node: Node, name: str = "q:a:1", amount: float = 2.0) -> StubConnection:
    """Makes a call and gives the counter's side of the connection."""
    call(node, i.Charge(name, amount, 4_000_000))
    counter = node.taken(node.counter)
    node.reads(counter, b"\r\n")
    return counter


def outcomes(node: Node) -> list[tuple[str, Ending, float]]:
    node.turns()
    return [(e.name, e.ending, e.level) for e in node.script.of(i.Counted)]


def test_a_call_is_a_line_and_its_answer_an_event(node: Node) -> None:
    counter = one(node)
    assert counter.came == b"add q:a:1 2 4000\r\n"
    node.clock.now += 3 * MS
    counter.send(b"ok 12.5\r\n")
    assert node.came(i.Counted) == i.Counted("q:a:1", Ending.SERVED, 12.5, 3 * MS)


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
    words = Call("n", amount, 1, 0).line().decode().split()
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
def test_a_call_that_the_counter_would_not_take_is_never_written(node: Node, charge: i.Charge) -> None:
    call(node, charge)
    assert outcomes(node) == [(charge.name, Ending.FULL, 0.0)]
    assert node.counter.take() is None


@pytest.mark.parametrize("life, text", [(0, b" 1\r\n"), (500, b" 1\r\n"), (90_000_000, b" 60000\r\n")])
def test_lives_stay_within_a_minute(node: Node, life: int, text: bytes) -> None:
    call(node, i.Charge("n", 1.0, life))
    assert node.reads(node.taken(node.counter), b"\r\n").endswith(text)


@pytest.mark.parametrize("line", [b"busy\r\n", b"error\r\n"])
def test_busy_and_error_added_nothing(node: Node, line: bytes) -> None:
    one(node).send(line)
    assert outcomes(node) == [("q:a:1", Ending.FULL, 0.0)]


def test_calls_are_written_one_behind_another_and_answered_in_order(node: Node) -> None:
    call(node, *(i.Charge(f"n{k}", float(k), 1_000_000) for k in range(5)))
    counter = node.taken(node.counter)
    node.until(lambda: counter.read().count(b"\r\n") == 5)
    for part in (b"ok 0\r\nok 1\r\nbu", b"sy\r", b"\nok 3\r\nok 4\r\n"):
        counter.send(part)
        node.turns()
    assert outcomes(node) == [
        ("n0", Ending.SERVED, 0),
        ("n1", Ending.SERVED, 1),
        ("n2", Ending.FULL, 0),
        ("n3", Ending.SERVED, 3),
        ("n4", Ending.SERVED, 4),
    ]
    assert node.counter.take() is None


def test_silence_is_a_time_out_and_the_late_answer_is_thrown_away(node: Node) -> None:
    """It is still owed: taken for the next call's, every later answer would be another call's."""
    counter = one(node, "n1")
    node.pass_time(TIMEOUT // 2)
    call(node, i.Charge("n2", 1.0, 1_000_000))
    node.pass_time(TIMEOUT // 2)
    assert outcomes(node) == [("n1", Ending.TIMEOUT, 0.0)]
    counter.send(b"ok 1\r\n")
    assert outcomes(node) == [("n1", Ending.TIMEOUT, 0.0)]
    counter.send(b"ok 2\r\n")
    assert outcomes(node) == [("n1", Ending.TIMEOUT, 0.0), ("n2", Ending.SERVED, 2.0)]


def test_a_refused_connection_added_nothing(node: Node) -> None:
    node.counter.close()
    call(node, i.Charge("n1", 1.0, 1_000_000))
    assert outcomes(node) == [("n1", Ending.NO_CONNECTION, 0.0)]


def test_a_refusing_counter_is_not_connected_to_for_each_call(node: Node) -> None:
    node.counter.close()
    call(node, i.Charge("n1", 1.0, 1_000_000))
    node.turns()
    before = node.host.counter.retry_at  # type: ignore[union-attr]
    call(node, i.Charge("n2", 1.0, 1_000_000))
    assert [e for _, e, _ in outcomes(node)] == [Ending.NO_CONNECTION] * 2
    assert node.host.counter.retry_at == before > node.clock.now  # type: ignore[union-attr]


def test_a_connection_that_never_comes_up_added_nothing_and_writes_nothing_late(node: Node) -> None:
    silent = socket.socket()
    silent.bind(("127.0.0.1", 0))
    silent.listen(0)
    held = []
    for _ in range(3):
        held.append(socket.socket())
        held[-1].setblocking(False)
        held[-1].connect_ex(silent.getsockname())
    assert node.host.counter is not None
    node.host.counter.address = silent.getsockname()
    call(node, i.Charge("n1", 1.0, 1_000_000))
    node.pass_time(TIMEOUT)
    assert outcomes(node) == [("n1", Ending.NO_CONNECTION, 0.0)]
    [connection] = node.host.counter.connections
    connection._write = lambda: pytest.fail("it was given up")  # type: ignore[method-assign]
    node.pass_time(node.host.limits.connect)
    assert node.host.counter.connections == []
    for sock in (silent, *held):
        sock.close()


def test_a_call_whose_time_was_up_while_connecting_is_not_written(node: Node) -> None:
    call(node, i.Charge("n1", 1.0, 1_000_000))
    counter = node.taken(node.counter)
    counter.read()
    counter.came = b""
    assert node.host.counter is not None
    [connection] = node.host.counter.connections
    late = Call("late", 1.0, 1, node.clock.now)
    late.ending = Ending.NO_CONNECTION
    connection.send(late)
    call(node, i.Charge("n2", 1.0, 1_000_000))
    assert b"late" not in node.reads(counter, b"n2")


@pytest.mark.parametrize("reset", [True, False])
def test_a_break_after_the_last_byte_may_have_added(node: Node, reset: bool) -> None:
    one(node).close(reset)
    assert outcomes(node) == [("q:a:1", Ending.RESET, 0.0)]


def test_a_break_before_the_last_byte_added_nothing(node: Node) -> None:
    """Of two calls, the socket takes one and a part of the other."""
    counter = one(node, "n0")
    counter.send(b"ok 1\r\n")
    node.turns()
    assert node.host.counter is not None
    [connection] = node.host.counter.connections
    whole = Call("n1", 1.0, 1_000_000, 0).line()

    class Narrow:
        """A socket that has room for one call and four bytes."""

        def __init__(self, sock: socket.socket) -> None:
            self.sock, self.room = sock, len(whole) + 4

        def send(self, data: bytes) -> int:
            if not self.room:
                raise BlockingIOError
            sent = self.sock.send(data[: self.room])
            self.room -= sent
            return sent

        def __getattr__(self, name: str) -> object:
            return getattr(self.sock, name)

    connection._sock = Narrow(cast(socket.socket, connection._sock))  # type: ignore[assignment]
    call(node, *(i.Charge(n, 1.0, 1_000_000_000) for n in ("n1", "n2", "n3")))
    counter.close(reset=True)
    assert sorted(outcomes(node)[1:]) == [
        ("n1", Ending.RESET, 0.0),
        ("n2", Ending.NO_CONNECTION, 0.0),
        ("n3", Ending.NO_CONNECTION, 0.0),
    ]


@pytest.mark.parametrize(
    "bad",
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
def test_a_spoilt_line_was_added_and_a_new_connection_is_made(
    node: Node, bad: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Also one that has no end: what is written behind it would wait in vain."""
    counter = one(node, "n1")
    call(node, i.Charge("n9", 1.0, 1_000_000))  # behind it: written, and never to be answered
    counter.send(bad)
    node.turns()
    assert outcomes(node) == [("n1", Ending.ERROR, 0.0), ("n9", Ending.RESET, 0.0)]
    assert "counter lost" in caplog.text
    again = one(node, "n2")
    again.send(b"ok 3\r\n")
    assert outcomes(node)[2:] == [("n2", Ending.SERVED, 3.0)]


@pytest.mark.parametrize("line", [b"ok 12.5\r\n", b"ok -0.25\r\n", b"ok 1.5e-7\r\n", b"busy\r\n", b"error\r\n"])
def test_an_answer_may_come_a_byte_at_a_time(node: Node, line: bytes) -> None:
    counter = one(node, "n1")
    for k in range(len(line)):
        counter.send(line[k : k + 1])
        node.turns(1)
    assert len(outcomes(node)) == 1 and outcomes(node)[0][1] in (Ending.SERVED, Ending.FULL)
    assert node.host.counter is not None and len(node.host.counter.connections) == 1


def test_an_answer_to_no_call_drops_the_connection(node: Node) -> None:
    counter = one(node, "n1")
    counter.send(b"ok 1\r\nok 2\r\n")
    assert outcomes(node) == [("n1", Ending.SERVED, 1.0)]
    assert node.host.counter is not None and node.host.counter.connections == []


def test_a_stuck_connection_does_not_swallow_later_calls(node: Node) -> None:
    one(node, "n1")
    node.pass_time(TIMEOUT)
    fresh = one(node, "n2")
    fresh.send(b"ok 5\r\n")
    assert outcomes(node) == [("n1", Ending.TIMEOUT, 0.0), ("n2", Ending.SERVED, 5.0)]


def test_a_slow_counter_is_not_a_stuck_connection(node: Node) -> None:
    counter = one(node, "n1")
    node.pass_time(TIMEOUT // 2)
    call(node, i.Charge("n2", 1.0, 1_000_000))
    node.pass_time(TIMEOUT // 4)
    counter.send(b"ok 1\r\n")
    node.turns()
    node.pass_time(TIMEOUT)  # the second is late, but the connection has spoken since it was made
    call(node, i.Charge("n3", 1.0, 1_000_000))
    assert node.counter.take() is None


def test_a_connection_that_speaks_again_is_used_again(node: Node) -> None:
    counter = one(node, "n1")
    node.pass_time(TIMEOUT)
    counter.send(b"ok 1\r\n")
    node.turns()
    call(node, i.Charge("n2", 1.0, 1_000_000))
    assert node.counter.take() is None and b"n2" in node.reads(counter, b"n2")


def test_outcomes_of_a_name_keep_the_order_of_its_calls_over_connections(node: Node) -> None:
    """The module takes each outcome for that of the oldest call of its name."""
    one(node, "x")
    node.pass_time(TIMEOUT // 2)
    call(node, i.Charge("same", 1.0, 1_000_000))
    node.pass_time(TIMEOUT // 2)  # the connection is stuck now, with the first of the two calls on it
    fresh = one(node, "same")
    fresh.send(b"ok 7\r\n")
    assert outcomes(node) == [("x", Ending.TIMEOUT, 0.0)]
    node.pass_time(TIMEOUT // 2)
    assert outcomes(node) == [("x", Ending.TIMEOUT, 0.0), ("same", Ending.TIMEOUT, 0.0), ("same", Ending.SERVED, 7.0)]


def test_no_more_connections_than_may_be_to_a_silent_counter(node: Node) -> None:
    sides = []
    for k in range(3 * node.host.limits.counters):
        sides.append(one(node, f"n{k}"))
        node.pass_time(TIMEOUT)
    assert node.host.counter is not None
    assert len(node.host.counter.connections) <= node.host.limits.counters < 32
    assert [e for _, e, _ in outcomes(node)] == [Ending.TIMEOUT] * len(sides)
    node.pass_time(node.host.limits.counter_late)
    assert node.host.counter.connections == []


def test_a_connection_closed_while_idle_is_not_written_to(node: Node) -> None:
    counter = one(node, "n1")
    counter.send(b"ok 1\r\n")
    node.turns()
    node.clock.now += node.host.limits.counter_idle
    counter.close()
    node.script.answers[i.Timer] = lambda _: [i.Charge("n2", 1.0, 1_000_000)]
    node.host.loop.at(node.clock.now, lambda _: node.host.dispatch(i.Timer(1)))
    # the loop's events of this turn: the call is made before or after the end was seen, never on the old one
    again = node.taken(node.counter)
    assert b"n2" in node.reads(again, b"\r\n")
    again.send(b"ok 2\r\n")
    assert outcomes(node)[1:] == [("n2", Ending.SERVED, 2.0)]


def test_an_idle_connection_is_looked_at_before_it_is_used(node: Node) -> None:
    counter = one(node, "n1")
    counter.send(b"ok 1\r\n")
    node.turns()
    assert node.host.counter is not None
    [connection] = node.host.counter.connections
    later = node.clock.now + node.host.limits.counter_idle
    assert connection.usable(later)
    counter.close()
    assert not connection.usable(later) and connection.ended


def test_a_lost_counter_is_said_once_and_so_is_its_return(node: Node, caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    for k in range(3):
        one(node, f"n{k}")
        node.pass_time(TIMEOUT)
    assert [r.message for r in caplog.records] == ["counter lost"]
    one(node, "n9").send(b"ok 1\r\n")
    node.turns()
    assert [r.message for r in caplog.records] == ["counter lost", "counter back"]


def test_nothing_grows_with_calls(node: Node) -> None:
    before = len(node.loop._timers)
    counter = one(node, "n0")
    counter.send(b"ok 1\r\n")
    for k in range(50):
        call(node, i.Charge(f"n{k}", 1.0, 1_000_000))
        counter.send(b"ok 1\r\n")
        node.turns()
        node.pass_time(10 * MS)
    node.pass_time(TIMEOUT)
    assert node.host.counter is not None
    assert not node.host.counter._by_name and len(node.loop._timers) == before
    assert node.host.buffers.taken == 0


@pytest.mark.parametrize("line", [b"", b"okay 1", b"busy 2", b"pong"])
def test_lines_that_are_no_answers(line: bytes) -> None:
    with pytest.raises(ValueError):
        answer(line)
