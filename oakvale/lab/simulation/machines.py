"""Machines and the processes on them: a process is a loop of its own, turned by the world when something is due on it.

Processor time is a modelled cost: so much for a turn, an event, a call and a kilobyte, divided by the machine's share.
A turn begins once the one before it is paid for, and what it sends leaves as late as its cost so far says.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from oakvale.base.limits import Limits
from oakvale.base.loop import Loop, Timer
from oakvale.lab.simulation.sockets import ERR, HUP, Listener, SimulatedNet, Stream
from oakvale.lab.simulation.wires import Machine

LONG = 3600.0  # seconds that a loop may wait: the world turns it when something is due
NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class Costs:
    """Microseconds on a whole core."""

    turn: float = 30.0
    event: float = 60.0  # a coroutine resumed, and what it does beside calls
    call: float = 6.0
    kilobyte: float = 2.0
    wake: int = 30  # from when something is due until the process runs, whoever else runs


FREE = Costs(0.0, 0.0, 0.0, 0.0, 1)  # of who is not weighed: emulated clients and backends


class SimulatedLoop(Loop):
    """The loop itself, which tells its process of timers that others set between its turns."""

    def __init__(self, process: Process, limits: Limits) -> None:
        super().__init__(process.clock, limits, process.net)
        self._process = process

    def at(self, due: int, call: Callable[[Any], None], argument: Any = None) -> Timer:
        timer = super().at(due, call, argument)
        self._process.due(due)
        return timer


class Process:
    """One life of a process. It ends once: by itself, killed, or with its machine's power."""

    def __init__(
        self,
        machine: Machine,
        rng: Random,
        limits: Limits,
        costs: Costs,
        nofile: int = 4096,
        ended: Callable[[Process], None] | None = None,
    ) -> None:
        self.machine, self.events, self.costs = machine, machine.events, costs
        self.net: SimulatedNet = SimulatedNet(machine.wires, self, rng, nofile)
        self.alive, self.paused = True, False
        self.used = 0.0  # microseconds of processor time
        self.turns = 0
        self.works: Any = None  # what runs on it, once it does
        self.loop: Loop | None = None
        self._limits, self.ended = limits, ended
        self._offset = machine.offset  # its clock keeps the offset that it began with, as a steady clock does
        self._spent = 0.0  # of the turn that runs
        self._busy = 0  # until then
        self._due = NEVER
        machine.processes.append(self)

    @property
    def name(self) -> str:
        return self.machine.name

    # ---- time

    def clock(self) -> int:
        return self.events.now + self._offset

    def instant(self) -> int:
        """Now, as far into its turn as the process is."""
        return self.events.now + int(self._spent)

    def charge_call(self, size: int = 0) -> None:
        self._spent += (self.costs.call + self.costs.kilobyte * size / 1024) * self.machine.slow / self.machine.share

    def charge_events(self, count: int) -> None:
        self._spent += self.costs.event * count * self.machine.slow / self.machine.share

    # ---- running

    def begin(self, build: Callable[[Loop], Any]) -> None:
        """Makes the loop and what runs on it; an OSError ends the process."""
        if not self.alive:
            return
        self.loop = SimulatedLoop(self, self._limits)
        self.events.running = self
        try:
            self.works = build(self.loop)
        except OSError:
            self.events.running = None
            return self.end()
        self.events.running = None
        self._pay()

    def wake(self) -> None:
        self._turn_at(self.events.now + self.costs.wake)

    def post(self, call: Callable[[], None]) -> None:
        """Has the process make a call in its next turn: what a thread or a signal would bring about."""
        if self.alive and self.loop is not None:
            self.loop.at(0, lambda _: call())

    def due(self, at: int) -> None:
        """Another part of the world set a timer on its loop."""
        if self.events.running is not self:
            self._turn_at(max(at - self._offset, self.events.now + self.costs.wake))

    def _turn_at(self, due: int) -> None:
        due = max(due, self._busy)
        if due < self._due and self.loop is not None:
            self._due = due
            self.events.at(due, self._turn, due)

    def _turn(self, due: int) -> None:
        if due != self._due or not self.alive:
            return  # another was set before it
        self._due = NEVER
        if self.paused:
            return
        loop = self.loop
        assert loop is not None
        self.turns += 1
        self.events.running = self
        loop.turn(LONG)
        self.events.running = None
        if loop.stopped:
            return self.end()
        self._pay()

    def _pay(self) -> None:
        """The turn's cost, and when the next one is."""
        loop = self.loop
        assert loop is not None
        spent = self._spent + self.costs.turn * self.machine.slow / self.machine.share
        self._spent = 0.0
        self.used += spent
        self._busy = self.events.now + max(1, int(spent))
        poller: Any = loop._poller
        if any(waits.state() & (waits.mask | ERR | HUP) for waits in poller.hot.values()):
            return self._turn_at(self._busy)
        wait = loop.wait(math.inf)
        if wait < LONG:
            # the loop reckons from the time of its turn, and has seen none since
            self._turn_at(loop.now - self._offset + round(wait * 1e6))

    # ---- its end

    def end(self) -> None:
        """The process is gone, its kernel is not: what it held is closed as the kernel does."""
        self._die(lambda waits: waits.close())

    def vanish(self) -> None:
        """With its machine's power: nothing is said to anybody."""
        self._die(lambda waits: waits.vanish())

    def cut_off(self) -> None:
        """Its machine's power goes and its program lives on: an emulated one, which plays several lives."""
        for waits in list(self.net.open.values()):
            if isinstance(waits, (Stream, Listener)):
                waits.vanish()

    def _die(self, part: Callable[[Stream | Listener], None]) -> None:
        if not self.alive:
            return
        self.alive, self._due, self._spent = False, NEVER, 0.0
        self.machine.processes.remove(self)
        for waits in list(self.net.open.values()):
            if isinstance(waits, (Stream, Listener)):
                part(waits)
        if self.loop is not None:
            # now, not when memory is cleaned up: what its coroutines do at their end is not heard by anybody
            for task in list(self.loop._tasks.values()):
                try:
                    self.loop.end(task)
                except Exception:  # a killed process runs nothing; what fails here never happened
                    pass
        if self.ended is not None:
            self.ended(self)
