"""The event loop: clock readings, order of tasks, timers, reused descriptors and isolation of failures."""

import gc
import itertools
import os
import select
import socket
import time
from pathlib import Path
from typing import Any

import pytest

from oakvale import interface as i
from oakvale.base.limits import Limits
from oakvale.base.loop import READ, TIMED_OUT, WOKEN, Clock, Coroutine, Loop, Priority, cancel_timer
from tests.node import MS, FakeClock, Node

LIMITS = Limits(timer_slack=0, wake_slack=0)


def socket_pair() -> tuple[socket.socket, socket.socket]:
    local, remote = socket.socketpair()
    local.setblocking(False)
    return local, remote


def test_the_clock_reads_unix_time_and_ignores_steps_of_the_system_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    assert abs(clock() - time.time_ns() // 1000) < 1_000_000
    before = clock()
    system_time = time.time_ns
    monkeypatch.setattr(time, "time_ns", lambda: system_time() + 3_600_000_000_000)
    assert 0 <= clock() - before < 1_000_000


def test_clocks_of_two_gateways_agree() -> None:
    """Counter names contain time slots: gateways whose clocks differ would count under different names."""
    first = Clock()
    second = Clock()
    assert abs(first() - second()) < 50_000


def test_a_turn_reads_the_clock_once() -> None:
    clock = FakeClock()
    loop = Loop(clock, LIMITS)
    readings = clock.readings
    loop.at(clock.now, lambda _: None)
    loop.turn(0)
    assert clock.readings == readings + 1
    loop.close()


def test_a_turn_handles_discovery_then_counter_then_backends_then_clients_then_timers() -> None:
    loop, order, sockets = Loop(FakeClock(), LIMITS), [], []

    def waits(name: str, sock: socket.socket) -> Coroutine:
        while True:
            yield READ, 0
            order.append(name)
            sock.recv(1)

    for priority in (Priority.CLIENT, Priority.BACKEND, Priority.DISCOVERY, Priority.COUNTER):
        local, remote = socket_pair()
        sockets.append((local, remote))
        loop.start(waits(priority.name, local), local.fileno(), priority)
    loop.at(loop.now, lambda _: order.append("TIMER"))
    for _, remote in sockets:
        remote.send(b"x")
    loop.turn(0)
    assert order == ["DISCOVERY", "COUNTER", "BACKEND", "CLIENT", "TIMER"]
    loop.close()


def test_an_event_for_a_descriptor_closed_and_reused_in_the_same_turn_is_ignored() -> None:
    loop, signals = Loop(FakeClock(), LIMITS), []
    first, first_remote = socket_pair()
    second, second_remote = socket_pair()

    def ends_other_task() -> Coroutine:
        yield READ, 0
        loop.end(ended_task)  # frees its descriptor, whose number the next socket gets
        reused = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        while reused.fileno() != number:
            reused = reused.dup()
        open_sockets.append(reused)
        loop.start(new_task(), number, Priority.CLIENT)
        first.recv(1)
        yield READ, 0

    def old_task() -> Coroutine:
        try:
            while True:
                signals.append(("old", (yield READ, 0)))
        finally:
            second.close()

    def new_task() -> Coroutine:
        while True:
            signals.append(("new", (yield 0, 0)))

    open_sockets: list[socket.socket] = []
    loop.start(ends_other_task(), first.fileno(), Priority.COUNTER)
    number = second.fileno()
    ended_task = loop.start(old_task(), number, Priority.CLIENT)
    first_remote.send(b"x")
    second_remote.send(b"x")
    loop.turn(0)
    assert signals == [] and open_sockets[0].fileno() == number
    loop.close()


def test_a_failing_coroutine_is_logged_with_its_traceback_and_others_continue(caplog: pytest.LogCaptureFixture) -> None:
    loop, received = Loop(FakeClock(), LIMITS), []
    first, first_remote = socket_pair()
    second, second_remote = socket_pair()

    def fails() -> Coroutine:
        yield READ, 0
        raise RuntimeError("odd")

    def works() -> Coroutine:
        while True:
            yield READ, 0
            received.append(second.recv(1))

    loop.start(fails(), first.fileno(), Priority.BACKEND)
    loop.start(works(), second.fileno(), Priority.CLIENT)
    first_remote.send(b"x")
    second_remote.send(b"x")
    loop.turn(0)
    assert received == [b"x"] and caplog.records[0].exc_info and "odd" in caplog.text
    second_remote.send(b"y")
    loop.turn(0)
    assert received == [b"x", b"y"]
    loop.close()


def test_a_failing_timer_is_logged_and_other_timers_still_run(caplog: pytest.LogCaptureFixture) -> None:
    loop, fired = Loop(FakeClock(), LIMITS), list[int]()
    loop.at(loop.now, lambda _: [].pop())
    loop.at(loop.now, fired.append, 2)
    loop.turn(0)
    assert fired == [2] and "IndexError" in caplog.text
    loop.close()


@pytest.mark.parametrize("schedules", [("at", "at"), ("wake_at", "wake_at"), ("at", "wake_at")])
def test_a_turn_ends_although_timers_set_others_for_the_same_moment(schedules: tuple[str, str]) -> None:
    """Guards against a hang of the whole process: no input is read while a timer is set again with no delay."""
    loop, order = Loop(FakeClock(), LIMITS), list[str]()
    local, remote = socket_pair()

    def waits() -> Coroutine:
        while True:
            yield READ, 0
            order.append("input")
            local.recv(1)

    names = itertools.cycle(schedules)

    def timer(_: Any) -> None:
        order.append("timer")
        assert order.count("timer") < 100, "the turn does not end"
        getattr(loop, next(names))(loop.now, timer)

    loop.start(waits(), local.fileno(), Priority.CLIENT)
    loop.at(loop.now, timer)
    for turn in range(1, 4):
        remote.send(b"x")
        loop.turn(0)
        assert order.count("input") == turn and order.count("timer") == turn
    loop.close()


def test_a_turn_ends_although_tasks_go_on_waking_each_other() -> None:
    """Guards against the same hang by woken tasks; the next turn goes on with them, and does not wait before."""
    loop, resumed = Loop(FakeClock(), LIMITS), list[int]()
    sockets, tasks = [socket_pair() for _ in range(2)], list[Any]()
    local, remote = socket_pair()
    read = list[bytes]()

    def wakes_the_other(own: int) -> Coroutine:
        while True:
            if (yield 0, 0) == WOKEN:
                resumed.append(own)
                assert len(resumed) < 1_000, "the turn does not end"
                loop.wake(tasks[1 - own])

    def waits() -> Coroutine:
        while True:
            yield READ, 0
            read.append(local.recv(1))

    for own in range(2):
        tasks.append(loop.start(wakes_the_other(own), sockets[own][0].fileno(), Priority.CLIENT))
    loop.start(waits(), local.fileno(), Priority.CLIENT)
    loop.wake(tasks[0])
    loop.turn(0)
    remote.send(b"x")
    before = len(resumed)
    assert loop.wait(1.0) == 0.0
    loop.turn()
    assert read == [b"x"] and len(resumed) > before
    loop.close()


def test_a_timer_cancelled_by_an_earlier_one_of_the_same_turn_does_not_run() -> None:
    clock = FakeClock()
    loop, fired = Loop(clock, LIMITS), list[int]()
    loop.at(clock.now, lambda _: cancel_timer(second))
    second = loop.at(clock.now, fired.append, 2)
    loop.turn(0)
    assert fired == []
    loop.close()


def test_a_descriptor_left_open_by_an_ended_task_is_unregistered() -> None:
    loop = Loop(FakeClock(), LIMITS)
    local, remote = socket_pair()

    def forgets_to_close() -> Coroutine:
        yield READ, 0

    loop.start(forgets_to_close(), local.fileno(), Priority.CLIENT)
    remote.send(b"x")
    loop.turn(0)  # the task ends
    loop.turn(0)  # its descriptor is found to have no task
    assert loop._poller.poll(0) == []
    loop.close()


def test_a_descriptor_that_epoll_rejects_ends_only_its_own_coroutine(
    caplog: pytest.LogCaptureFixture, tmp_path: Path
) -> None:
    loop, closed = Loop(FakeClock(), LIMITS), []
    file = (tmp_path / "file").open("w")  # epoll does not support regular files

    def waits() -> Coroutine:
        try:
            yield READ, 0
        finally:
            closed.append(True)

    loop.start(waits(), file.fileno(), Priority.CLIENT)
    assert closed == [True] and "coroutine failed" in caplog.text
    file.close()
    loop.close()


def test_a_wait_times_out_and_is_not_cut_short_by_the_timer_of_an_earlier_wait() -> None:
    clock = FakeClock()
    loop, signals = Loop(clock, LIMITS), []
    local, remote = socket_pair()

    def waits() -> Coroutine:
        signals.append((yield READ, clock.now + 10 * MS))
        local.recv(1)
        signals.append((yield READ, clock.now + 50 * MS))

    loop.start(waits(), local.fileno(), Priority.CLIENT)
    remote.send(b"x")
    loop.turn(0)
    assert signals == [select.EPOLLIN]
    clock.now += 20 * MS  # after the due time of the first wait
    loop.turn(0)
    assert signals == [select.EPOLLIN]
    clock.now += 30 * MS
    loop.turn(0)
    assert signals == [select.EPOLLIN, TIMED_OUT]
    loop.close()


def test_a_wait_extended_many_times_has_a_single_timer() -> None:
    """A keep-alive connection sets a new idle timeout for each request: the heap must not grow with them."""
    clock = FakeClock()
    loop = Loop(clock, LIMITS)
    local, remote = socket_pair()

    def waits() -> Coroutine:
        while True:
            yield READ, clock.now + 60_000 * MS
            local.recv(1)

    loop.start(waits(), local.fileno(), Priority.CLIENT)
    for _ in range(100):
        clock.now += 1
        remote.send(b"x")
        loop.turn(0)
    assert len(loop._timers) == 1
    loop.close()


def test_a_task_woken_twice_resumes_once_and_not_after_its_end() -> None:
    loop, signals, closed = Loop(FakeClock(), LIMITS), [], []
    local, _remote = socket_pair()

    def waits() -> Coroutine:
        try:
            while True:
                signals.append((yield READ, 0))
        finally:
            closed.append(True)

    task = loop.start(waits(), local.fileno(), Priority.CLIENT)
    loop.wake(task)
    loop.wake(task)
    loop.turn(0)
    assert signals == [WOKEN]
    loop.wake(task)
    loop.end(task)
    loop.turn(0)
    assert signals == [WOKEN] and closed == [True]
    loop.close()


def test_a_timer_may_be_late_by_its_slack_but_runs_with_earlier_events() -> None:
    clock = FakeClock()
    loop, fired = Loop(clock, Limits(timer_slack=4 * MS, wake_slack=20 * MS)), list[int]()
    loop.wake_at(clock.now + MS, fired.append, 1)
    assert loop.wait(1.0) == 0.021
    loop.at(clock.now + 2 * MS, fired.append, 2)
    assert loop.wait(1.0) == 0.006
    clock.now += 2 * MS
    loop.turn(0)  # a turn for another reason
    assert fired == [2, 1] and loop.wait(1.0) == 1.0
    loop.close()


def test_input_that_arrived_during_a_stall_is_handled_before_expired_timers() -> None:
    """Guards against reporting a counter call as timed out although its response is already in the socket."""
    order: list[str] = []
    local, remote = socket_pair()

    class StallingClock(FakeClock):
        def __call__(self) -> int:
            if self.readings:
                self.now += 1_000 * MS
                remote.send(b"x")
            return super().__call__()

    clock = StallingClock()
    loop = Loop(clock, LIMITS)

    def waits() -> Coroutine:
        while True:
            yield READ, 0
            order.append("response")
            local.recv(1)

    loop.start(waits(), local.fileno(), Priority.COUNTER)
    loop.at(clock.now + 80 * MS, lambda _: order.append("timeout"))
    loop.turn(0)
    assert order == ["response", "timeout"]
    loop.close()


def test_a_cancelled_timer_causes_no_turn() -> None:
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


def test_an_idle_gateway_still_delivers_timers_to_the_decision_module(node: Node) -> None:
    """The decision module interprets a gap without events as a stall of the process."""
    idle_node = Node(script=False)
    for _ in range(40):
        idle_node.pass_time(250 * MS)
    assert idle_node.host.gateway.context.resumed_at == 0 and idle_node.host.gateway.context.now == idle_node.clock.now
    idle_node.close()


def test_no_descriptor_is_left_open_when_a_node_closes() -> None:
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


def test_all_events_of_a_turn_reach_the_decision_module_with_the_same_time(node: Node) -> None:
    node.host.dispatch(i.Timer(5))
    node.host.dispatch(i.Timer(6))
    assert node.script.times[-1] == node.script.times[-2] == node.loop.now
