"""The event loop: generator-based coroutines on select.epoll, timers, and one clock reading per turn.

A coroutine yields `(mask, due)`: the epoll events it waits for and the time at which the wait times out (0: never).
It is resumed with the events that occurred, with `TIMED_OUT`, or with `WOKEN` after a call of `Loop.wake`.
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
MAX_WAKE_ROUNDS = 16  # in a row; tasks that go on waking each other must not keep events and timers waiting

T = TypeVar("T")
Step = Generator[tuple[int, int], int, T]  # a sub-coroutine that returns a T, called with `yield from`
Coroutine = Step[None]
Timer = list[Any]  # due time, sequence number as tie-breaker, callback (None: cancelled), its argument

log = logging.getLogger(__name__)


class Priority(IntEnum):
    """The order in which a turn handles the events that are ready: lower values first."""

    DISCOVERY = 0
    COUNTER = 1
    BACKEND = 2
    CLIENT = 3


def by_priority(ready: tuple[Task, int]) -> int:
    """Sort key for tasks with their events."""
    return ready[0].priority


class Clock:
    """Microseconds since the Unix epoch: the system time at startup plus the monotonic time since then.

    Clocks of different gateways agree closely, and later steps of the system clock do not affect any wait.
    """

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        return (time.monotonic_ns() + self._offset) // 1000


class Task:
    """One coroutine and the file descriptor it waits on."""

    __slots__ = ("coroutine", "fd", "priority", "mask", "due", "timer_due", "woken", "alive", "running")

    def __init__(self, coroutine: Coroutine, fd: int, priority: Priority) -> None:
        self.coroutine, self.fd, self.priority = coroutine, fd, priority
        self.mask = -1  # not registered with the poller
        self.due = self.timer_due = 0  # when the wait times out; when its timer fires, maybe earlier (0: no timer)
        self.woken, self.alive, self.running = False, True, False


class Timers:
    """Callbacks ordered by due time.

    Each may run late by up to the slack, so that it shares a turn with other events instead of causing one.
    """

    def __init__(self, slack_us: int) -> None:
        self._slack_us = slack_us
        self._heap: list[Timer] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, due: int, callback: Callable[[Any], None], argument: Any) -> Timer:
        """Schedules a callback."""
        self._sequence += 1
        timer: Timer = [due, self._sequence, callback, argument]
        heapq.heappush(self._heap, timer)
        return timer

    def wait(self, now: int) -> float:
        """Returns the seconds until the first timer has used up its slack; infinity without timers."""
        heap = self._heap
        while heap and heap[0][2] is None:
            heapq.heappop(heap)
        return max(0.0, (heap[0][0] + self._slack_us - now) / 1e6) if heap else math.inf

    def take_due(self, now: int) -> list[Timer]:
        """Removes and returns the timers that are due, earliest first."""
        due: list[Timer] = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap))
        return due


def run_timers(timers: list[Timer]) -> None:
    """Runs the callbacks, but not those cancelled by an earlier one; an exception in one is logged."""
    for timer in timers:
        _, _, callback, argument = timer
        try:
            if callback is not None:
                callback(argument)
        except Exception:
            log.exception("timer failed")


def cancel_timer(timer: Timer) -> None:
    """Cancels a timer. Its entry stays in the heap until it reaches the head, but causes no turn."""
    timer[2] = timer[3] = None


def _ended() -> Coroutine:
    yield 0, 0


ENDED_TASK = Task(_ended(), -1, Priority.CLIENT)
ENDED_TASK.alive = False


class Loop:
    """Runs coroutines and timers in turns: each waits for events, reads the clock once and handles what is ready.

    A turn always ends: it runs the timers that are due when it comes to them, and not those that they set, and a
    bounded number of rounds of woken tasks. What is left over is handled in the next turn, behind newer events.
    """

    def __init__(self, clock: Callable[[], int], limits: Limits, net: Net | None = None) -> None:
        self.clock = clock
        self.net = net or Net()  # the operating system interface for the loop and everything that runs on it
        self.now = clock()
        self._max_delay_us = limits.late
        self.turns = 0
        self.stalled_us = 0  # after a stall of the process: how long data read in this turn may have been waiting
        self._poller = self.net.poller()
        self._tasks: dict[int, Task] = {}
        self._woken: deque[Task] = deque()
        self._timers, self._module_timers = Timers(limits.timer_slack), Timers(limits.wake_slack)
        self.stopped = False

    # ---- coroutines

    def start(self, coroutine: Coroutine, fd: int, priority: Priority) -> Task:
        """Starts a coroutine and runs it up to its first wait."""
        task = Task(coroutine, fd, priority)
        self._tasks[fd] = task
        self._resume(task, None)
        return task

    def wake(self, task: Task) -> None:
        """Resumes a waiting coroutine with WOKEN later in this turn, or early in the next.

        Has no effect on the running coroutine: it checks for work itself before it waits again, and waking it would
        let a busy connection read without end within one turn.
        """
        if task.alive and not task.woken and not task.running:
            task.woken = True
            self._woken.append(task)

    def end(self, task: Task) -> None:
        """Ends a waiting coroutine; its `finally` block releases its resources."""
        if task.alive and not task.running:
            self._forget(task)
            task.coroutine.close()

    def _forget(self, task: Task) -> None:
        task.alive = False
        if self._tasks.get(task.fd) is task:  # the descriptor may already be reused by another task
            del self._tasks[task.fd]

    def _task(self, fd: int) -> Task:
        task = self._tasks.get(fd)
        if task is None:  # left open by an ended task: it would be reported in every turn
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
            # the failure of one connection must not end the process
            log.exception("coroutine failed", extra={"party": task.priority.name.lower()})
            self._forget(task)
            return task.coroutine.close()
        finally:
            task.running = False
        task.due = due
        if due and (not task.timer_due or due < task.timer_due):
            self._set_timer(task)

    def _watch(self, task: Task, mask: int) -> None:
        if task.mask < 0:
            self._poller.register(task.fd, mask)
        else:
            self._poller.modify(task.fd, mask)
        task.mask = mask

    # ---- timers

    def at(self, due: int, call: Callable[[Any], None], argument: Any = None) -> Timer:
        """Schedules a call at a time of the loop's clock."""
        return self._timers.add(due, call, argument)

    def wake_at(self, due: int, call: Callable[[Any], None], argument: Any = None) -> None:
        """Like `at`, but with the larger slack `wake_slack`, for timers set by the decision module."""
        self._module_timers.add(due, call, argument)

    def _set_timer(self, task: Task) -> None:
        task.timer_due = task.due
        self.at(task.due, self._on_task_timer, task)

    def _on_task_timer(self, task: Task) -> None:
        """Resumes a task whose wait timed out, or sets the timer again if the wait was extended meanwhile.

        Extending a wait adds no timer, so that a task that often does so does not fill the heap.
        """
        if not task.alive or task.timer_due > self.now:
            return  # an earlier timer was set after this one
        task.timer_due = 0
        if not task.due:
            return
        if task.due > self.now:
            return self._set_timer(task)
        self._resume(task, TIMED_OUT)

    # ---- turns

    def run(self) -> None:
        """Runs turns until `stop` is called."""
        while not self.stopped:
            self.turn()

    def stop(self) -> None:
        self.stopped = True

    def wait(self, longest: float) -> float:
        """Returns the seconds until the next timer has used up its slack, at most `longest`; 0 with woken tasks."""
        if self._woken:
            return 0.0
        return min(longest, self._timers.wait(self.now), self._module_timers.wait(self.now))

    def turn(self, longest: float = 1.0) -> None:
        """Waits for events or the next timer, at most `longest` seconds, then handles all that is ready."""
        wait = self.wait(longest)
        latest = self.now + int(wait * 1e6) + self._max_delay_us
        wait_began = self.now
        events = self._poller.poll(wait)
        self.now = self.clock()
        self.stalled_us = 0
        if self.now > latest:  # the process was stalled: handle input that arrived meanwhile before expired timers
            events = self._poller.poll(0)
            self.stalled_us = self.now - wait_began
        self.turns += 1
        if len(events) == 1:
            fd, flags = events[0]
            self._resume(self._task(fd), flags)
        elif events:
            # Look up all tasks before running any: if a descriptor is closed and reused in this turn, its event
            # still refers to the old, ended task and is ignored.
            ready = [(self._task(fd), flags) for fd, flags in events]
            ready.sort(key=by_priority)
            for task, flags in ready:
                self._resume(task, flags)
        self._run_woken()
        due = self._timers.take_due(self.now) + self._module_timers.take_due(self.now)
        run_timers(due)
        self._run_woken()

    def _run_woken(self) -> None:
        """Resumes the woken tasks and those that they wake in turn, for at most `MAX_WAKE_ROUNDS` rounds."""
        for _ in range(MAX_WAKE_ROUNDS):
            if not self._woken:
                return
            for _ in range(len(self._woken)):
                task = self._woken.popleft()
                task.woken = False
                self._resume(task, WOKEN)

    def close(self) -> None:
        """Ends all coroutines and closes the poller."""
        for task in list(self._tasks.values()):
            self.end(task)
        self._poller.close()
