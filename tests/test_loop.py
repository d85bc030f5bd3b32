"""The loop: one clock reading a turn, order of parties, timers, descriptors reused, faults kept apart."""

import gc
import os
import select
import socket
import time
from pathlib import Path

import pytest

from oakvale import interface as i
from oakvale.base.limits import Limits
from oakvale.base.loop import READ, TIMED_OUT, WOKEN, Clock, Coroutine, Loop, Priority, cancel_timer
from tests.node import MS, FakeClock, Node

LIMITS = Limits(timer_slack=0, wake_slack=0)


def pair() -> tuple[socket.socket, socket.socket]:
    one, other = socket.socketpair()
    one.setblocking(False)
    return one, other


def test_the_clock_reads_unix_time_and_no_step_of_the_system_moves_it(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    assert abs(clock() - time.time_ns() // 1000) < 1_000_000
    before = clock()
    real = time.time_ns
    monkeypatch.setattr(time, "time_ns", lambda: real() + 3_600_000_000_000)
    assert 0 <= clock() - before < 1_000_000


def test_two_gateways_clocks_agree() -> None:
    """Counter names hold time slots: gateways that disagreed would count under different names."""
    one = Clock()
    other = Clock()
    assert abs(one() - other()) < 50_000


def test_one_turn_reads_the_clock_once() -> None:
    clock = FakeClock()
    loop = Loop(clock, LIMITS)
    readings = clock.readings
    loop.at(clock.now, lambda _: None)
    loop.turn(0)
    assert clock.readings == readings + 1
    loop.close()


def test_a_turn_gives_discovery_first_then_counter_backends_clients_timers() -> None:
    loop, order, others = Loop(FakeClock(), LIMITS), [], []

    def waits(name: str, sock: socket.socket) -> Coroutine:
        while True:
            yield READ, 0
            order.append(name)
            sock.recv(1)

    for rank in (Priority.CLIENT, Priority.BACKEND, Priority.DISCOVERY, Priority.COUNTER):
        one, other = pair()
        others.append((one, other))
        loop.start(waits(rank.name, one), one.fileno(), rank)
    loop.at(loop.now, lambda _: order.append("TIMER"))
    for _, other in others:
        other.send(b"x")
    loop.turn(0)
    assert order == ["DISCOVERY", "COUNTER", "BACKEND", "CLIENT", "TIMER"]
    loop.close()


def test_an_event_of_a_descriptor_closed_and_reused_in_the_same_turn_is_passed_over() -> None:
    loop, signals = Loop(FakeClock(), LIMITS), []
    first, first_other = pair()
    second, second_other = pair()

    def ender() -> Coroutine:
        yield READ, 0
        loop.end(victim)  # its descriptor is free, and the next socket gets the same number
        fresh = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        while fresh.fileno() != number:
            fresh = fresh.dup()
        kept.append(fresh)
        loop.start(newcomer(), number, Priority.CLIENT)
        first.recv(1)
        yield READ, 0

    def old() -> Coroutine:
        try:
            while True:
                signals.append(("old", (yield READ, 0)))
        finally:
            second.close()

    def newcomer() -> Coroutine:
        while True:
            signals.append(("new", (yield 0, 0)))

    kept: list[socket.socket] = []
    loop.start(ender(), first.fileno(), Priority.COUNTER)
    number = second.fileno()
    victim = loop.start(old(), number, Priority.CLIENT)
    first_other.send(b"x")
    second_other.send(b"x")
    loop.turn(0)
    assert signals == [] and kept[0].fileno() == number
    loop.close()


def test_a_failing_coroutine_is_logged_with_its_traceback_and_ends_alone(caplog: pytest.LogCaptureFixture) -> None:
    loop, got = Loop(FakeClock(), LIMITS), []
    one, one_other = pair()
    two, two_other = pair()

    def fails() -> Coroutine:
        yield READ, 0
        raise RuntimeError("odd")

    def works() -> Coroutine:
        while True:
            yield READ, 0
            got.append(two.recv(1))

    loop.start(fails(), one.fileno(), Priority.BACKEND)
    loop.start(works(), two.fileno(), Priority.CLIENT)
    one_other.send(b"x")
    two_other.send(b"x")
    loop.turn(0)
    assert got == [b"x"] and caplog.records[0].exc_info and "odd" in caplog.text
    two_other.send(b"y")
    loop.turn(0)
    assert got == [b"x", b"y"]
    loop.close()


def test_a_failing_timer_is_logged_and_the_others_go_on(caplog: pytest.LogCaptureFixture) -> None:
    loop, fired = Loop(FakeClock(), LIMITS), list[int]()
    loop.at(loop.now, lambda _: [].pop())
    loop.at(loop.now, fired.append, 2)
    loop.turn(0)
    assert fired == [2] and "IndexError" in caplog.text
    loop.close()


def test_a_descriptor_left_open_by_what_ended_is_not_told_of_for_ever() -> None:
    loop = Loop(FakeClock(), LIMITS)
    one, other = pair()

    def forgets_to_close() -> Coroutine:
        yield READ, 0

    loop.start(forgets_to_close(), one.fileno(), Priority.CLIENT)
    other.send(b"x")
    loop.turn(0)  # it ends
    loop.turn(0)  # its descriptor is found to be nobody's
    assert loop._poller.poll(0) == []
    loop.close()


def test_a_descriptor_that_can_not_be_watched_ends_its_coroutine_alone(
    caplog: pytest.LogCaptureFixture, tmp_path: Path
) -> None:
    loop, closed = Loop(FakeClock(), LIMITS), []
    file = (tmp_path / "file").open("w")  # epoll takes no plain file

    def waits() -> Coroutine:
        try:
            yield READ, 0
        finally:
            closed.append(True)

    loop.start(waits(), file.fileno(), Priority.CLIENT)
    assert closed == [True] and "coroutine failed" in caplog.text
    file.close()
    loop.close()


def test_a_wait_ends_at_its_time_and_a_later_wait_is_not_cut_by_an_earlier_one() -> None:
    clock = FakeClock()
    loop, signals = Loop(clock, LIMITS), []
    one, other = pair()

    def waits() -> Coroutine:
        signals.append((yield READ, clock.now + 10 * MS))
        one.recv(1)
        signals.append((yield READ, clock.now + 50 * MS))

    loop.start(waits(), one.fileno(), Priority.CLIENT)
    other.send(b"x")
    loop.turn(0)
    assert signals == [select.EPOLLIN]
    clock.now += 20 * MS  # past the first wait's end
    loop.turn(0)
    assert signals == [select.EPOLLIN]
    clock.now += 30 * MS
    loop.turn(0)
    assert signals == [select.EPOLLIN, TIMED_OUT]
    loop.close()


def test_waits_moved_many_times_leave_one_timer() -> None:
    """A keep-alive connection sets a new idle time with each request: the heap must not grow with them."""
    clock = FakeClock()
    loop = Loop(clock, LIMITS)
    one, other = pair()

    def waits() -> Coroutine:
        while True:
            yield READ, clock.now + 60_000 * MS
            one.recv(1)

    loop.start(waits(), one.fileno(), Priority.CLIENT)
    for _ in range(100):
        clock.now += 1
        other.send(b"x")
        loop.turn(0)
    assert len(loop._timers) == 1
    loop.close()


def test_wakes_and_ends() -> None:
    loop, signals, closed = Loop(FakeClock(), LIMITS), [], []
    one, _other = pair()

    def waits() -> Coroutine:
        try:
            while True:
                signals.append((yield READ, 0))
        finally:
            closed.append(True)

    task = loop.start(waits(), one.fileno(), Priority.CLIENT)
    loop.wake(task)
    loop.wake(task)
    loop.turn(0)
    assert signals == [WOKEN]
    loop.wake(task)
    loop.end(task)
    loop.turn(0)
    assert signals == [WOKEN] and closed == [True]
    loop.close()


def test_a_timer_may_be_late_by_the_slack_but_goes_with_other_events() -> None:
    clock = FakeClock()
    loop, fired = Loop(clock, Limits(timer_slack=4 * MS, wake_slack=20 * MS)), list[int]()
    loop.wake_at(clock.now + MS, fired.append, 1)
    assert loop.wait(1.0) == 0.021
    loop.at(clock.now + 2 * MS, fired.append, 2)
    assert loop.wait(1.0) == 0.006
    clock.now += 2 * MS
    loop.turn(0)  # this turn came anyway
    assert fired == [2, 1] and loop.wait(1.0) == 1.0
    loop.close()


def test_what_came_while_the_process_stood_still_goes_before_the_timers_that_passed() -> None:
    """Stopped between its wait and its reading of the clock, a gateway called every call to the counter timed
    out whose answer lay in the socket."""
    order: list[str] = []
    one, other = pair()

    class Stops(FakeClock):
        def __call__(self) -> int:
            if self.readings:
                self.now += 1_000 * MS
                other.send(b"x")
            return super().__call__()

    clock = Stops()
    loop = Loop(clock, LIMITS)

    def waits() -> Coroutine:
        while True:
            yield READ, 0
            order.append("answer")
            one.recv(1)

    loop.start(waits(), one.fileno(), Priority.COUNTER)
    loop.at(clock.now + 80 * MS, lambda _: order.append("time-out"))
    loop.turn(0)
    assert order == ["answer", "time-out"]
    loop.close()


def test_a_timer_called_off_costs_no_turn() -> None:
    clock = FakeClock()
    loop, fired = Loop(clock, LIMITS), list[int]()
    first = loop.at(clock.now + MS, fired.append, 1)
    loop.at(clock.now + 5 * MS, fired.append, 2)
    cancel_timer(first)
    assert loop.wait(1.0) == 0.005
    clock.now += 5 * MS
    loop.turn(0)
    assert fired == [2]
    loop.close()


def test_an_idle_gateway_still_gives_the_module_its_timers(node: Node) -> None:
    """The module takes a gap without events as having stood still."""
    n = Node(script=False)
    for _ in range(40):
        n.pass_time(250 * MS)
    assert n.host.gateway.context.resumed_at == 0 and n.host.gateway.context.now == n.clock.now
    n.close()


def test_nothing_is_left_open_when_a_node_closes() -> None:
    def open_descriptors() -> int:
        return len(os.listdir("/proc/self/fd"))

    Node().close()
    gc.collect()
    before = open_descriptors()
    for _ in range(5):
        n = Node()
        n.until(n.discovery.take)
        n.close()
        del n
    gc.collect()
    assert open_descriptors() <= before


def test_the_module_hears_of_one_turn_at_one_time(node: Node) -> None:
    node.host.dispatch(i.Timer(5))
    node.host.dispatch(i.Timer(6))
    assert node.script.times[-1] == node.script.times[-2] == node.loop.now
