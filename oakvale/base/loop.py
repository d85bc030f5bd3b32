"""The event loop: select.epoll, generators as coroutines, timers, one clock reading a turn.

A coroutine yields `(mask, due)`: the epoll events it waits for and the clock time at which it stops waiting
(0: never). It is resumed with the events that came, with `TIMED_OUT`, or with `WOKEN` when another part of
the program has something for it.
"""

from __future__ import annotations

import heapq
import logging
import math
import select
import time
from collections import deque
from collections.abc import Callable, Generator
from enum import IntEnum
from typing import Any, TypeVar

from oakvale.base.limits import Limits
from oakvale.base.net import Net

READ = select.EPOLLIN | select.EPOLLRDHUP
WRITE = select.EPOLLOUT
BROKEN = select.EPOLLHUP | select.EPOLLERR
TIMED_OUT = 0
WOKEN = -1

T = TypeVar("T")
Step = Generator[tuple[int, int], int, T]  # a part of a coroutine, entered with `yield from`
Coroutine = Step[None]
Timer = list[Any]  # when it is due, a number that keeps order, the call (None: called off), its argument

log = logging.getLogger(__name__)


class Priority(IntEnum):
    """The order in which one turn gives the module what has come."""

    DISCOVERY = 0
    COUNTER = 1
    BACKEND = 2
    CLIENT = 3


def by_priority(ready: tuple[Task, int]) -> int:
    return ready[0].rank


class Clock:
    """System time at start plus monotonic time since, in microseconds: all gateways read about the same, and
    no later step of the system's clock lengthens or shortens a wait."""

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        return (time.monotonic_ns() + self._offset) // 1000


class Task:
    """One coroutine and the descriptor it waits on."""

    __slots__ = ("coroutine", "fd", "rank", "mask", "due", "armed", "woken", "alive", "running")

    def __init__(self, coroutine: Coroutine, fd: int, rank: Priority) -> None:
        self.coroutine, self.fd, self.rank = coroutine, fd, rank
        self.mask = -1  # not registered
        self.due = self.armed = 0  # when the wait ends; the time of the timer that stands for it
        self.woken, self.alive, self.running = False, True, False


class Timers:
    """Calls to be made at a time. One may be late by the slack: then it goes with the next events and needs
    no turn of its own."""

    def __init__(self, slack: int) -> None:
        self._slack = slack
        self._heap: list[Timer] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, due: int, call: Callable[[Any], None], argument: Any) -> Timer:
        self._sequence += 1
        timer: Timer = [due, self._sequence, call, argument]
        heapq.heappush(self._heap, timer)
        return timer

    def wait(self, now: int) -> float:
        heap = self._heap
        while heap and heap[0][2] is None:
            heapq.heappop(heap)
        return max(0.0, (heap[0][0] + self._slack - now) / 1e6) if heap else math.inf

    def run(self, now: int) -> None:
        while self._heap and self._heap[0][0] <= now:
            _, _, call, argument = heapq.heappop(self._heap)
            try:
                if call is not None:
                    call(argument)
            except Exception:
                log.exception("timer failed")


def cancel_timer(timer: Timer) -> None:
    """It stays in its heap until it comes to the head, and costs no turn."""
    timer[2] = timer[3] = None


def _nobody() -> Coroutine:
    yield 0, 0


ENDED_TASK = Task(_nobody(), -1, Priority.CLIENT)
ENDED_TASK.alive = False


class Loop:
    def __init__(self, clock: Callable[[], int], limits: Limits, net: Net | None = None) -> None:
        self.clock = clock
        self.net = net or Net()  # what it waits with, and what everything on it makes sockets of
        self.now = clock()
        self._late = limits.late
        self.turns = 0
        self.stalled_us = 0  # microseconds that what is read in this turn may have lain, where the process stood still
        self._poller = self.net.poller()
        self._tasks: dict[int, Task] = {}
        self._woken: deque[Task] = deque()
        self._timers, self._wakes = Timers(limits.timer_slack), Timers(limits.wake_slack)
        self.stopped = False

    # ---- coroutines

    def start(self, coroutine: Coroutine, fd: int, rank: Priority) -> Task:
        """Runs a coroutine up to its first wait."""
        task = Task(coroutine, fd, rank)
        self._tasks[fd] = task
        self._resume(task, None)
        return task

    def wake(self, task: Task) -> None:
        """Resumes a waiting coroutine later in this turn. One that runs looks at what it waits for by itself
        before it waits again; woken as well, a busy connection would read on and on within a turn."""
        if task.alive and not task.woken and not task.running:
            task.woken = True
            self._woken.append(task)

    def end(self, task: Task) -> None:
        """Ends a waiting coroutine; its `finally` closes what it holds."""
        if task.alive and not task.running:
            self._forget(task)
            task.coroutine.close()

    def _forget(self, task: Task) -> None:
        task.alive = False
        if self._tasks.get(task.fd) is task:  # the descriptor may already be another's
            del self._tasks[task.fd]

    def _task(self, fd: int) -> Task:
        task = self._tasks.get(fd)
        if task is None:  # left open by what ended: it would be told of each turn
            self._poller.unregister(fd)
            return ENDED_TASK
        return task

    def _resume(self, task: Task, signal: int | None) -> None:
        if not task.alive:
            return
        task.running = True
        try:
            mask, due = task.coroutine.send(signal)  # type: ignore[arg-type]
            if mask != task.mask:
                self._watch(task, mask)
        except StopIteration:
            return self._forget(task)
        except Exception:
            # one connection's failure never ends the process
            log.exception("coroutine failed", extra={"party": task.rank.name.lower()})
            self._forget(task)
            return task.coroutine.close()
        finally:
            task.running = False
        task.due = due
        if due and (not task.armed or due < task.armed):
            self._arm(task)

    def _watch(self, task: Task, mask: int) -> None:
        if task.mask < 0:
            self._poller.register(task.fd, mask)
        else:
            self._poller.modify(task.fd, mask)
        task.mask = mask

    # ---- timers

    def at(self, due: int, call: Callable[[Any], None], argument: Any = None) -> Timer:
        return self._timers.add(due, call, argument)

    def wake_at(self, due: int, call: Callable[[Any], None], argument: Any = None) -> None:
        """As `at`, for what may wait longer for company."""
        self._wakes.add(due, call, argument)

    def _arm(self, task: Task) -> None:
        task.armed = task.due
        self.at(task.due, self._task_due, task)

    def _task_due(self, task: Task) -> None:
        """A task has one timer in the heap however often its wait is moved: a late one is set again."""
        if not task.alive or task.armed > self.now:
            return  # an earlier timer was set after this one
        task.armed = 0
        if not task.due:
            return
        if task.due > self.now:
            return self._arm(task)
        self._resume(task, TIMED_OUT)

    # ---- turns

    def run(self) -> None:
        while not self.stopped:
            self.turn()

    def stop(self) -> None:
        self.stopped = True

    def wait(self, longest: float) -> float:
        """Seconds until a timer can wait no longer."""
        return min(longest, self._timers.wait(self.now), self._wakes.wait(self.now))

    def turn(self, longest: float = 1.0) -> None:
        """Waits for events or the next timer, then handles all that is there at one clock time."""
        wait = self.wait(longest)
        latest = self.now + int(wait * 1e6) + self._late
        before = self.now
        events = self._poller.poll(wait)
        self.now = self.clock()
        self.stalled_us = 0
        if self.now > latest:  # it stood still: what came meanwhile is handled before the timers that passed
            events = self._poller.poll(0)
            self.stalled_us = self.now - before
        self.turns += 1
        if len(events) == 1:
            fd, flags = events[0]
            self._resume(self._task(fd), flags)
        elif events:
            # tasks are looked up before any runs: an event for a descriptor that is closed and opened anew
            # in this turn then finds its old, ended task and is passed over
            ready = [(self._task(fd), flags) for fd, flags in events]
            ready.sort(key=by_priority)
            for task, flags in ready:
                self._resume(task, flags)
        self._run_woken()
        self._timers.run(self.now)
        self._wakes.run(self.now)
        self._run_woken()

    def _run_woken(self) -> None:
        while self._woken:
            task = self._woken.popleft()
            task.woken = False
            self._resume(task, WOKEN)

    def close(self) -> None:
        for task in list(self._tasks.values()):
            self.end(task)
        self._poller.close()
