"""What lies between machines: ways with delay, loss and cuts, and the machines themselves as the network sees them."""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random
from typing import Any, Protocol

from oakvale.lab.simulation.events import Events

OWN = 30  # microseconds from process to process on one machine
PORTS = 32_768  # from here on, of connections out


class Runs(Protocol):
    """A process, as its machine knows it."""

    paused: bool

    def vanish(self) -> None: ...
    def wake(self) -> None: ...


class Machine:
    def __init__(
        self,
        wires: Wires,
        name: str,
        ip: str,
        zone: str,
        share: float = 1.0,
        mbps: float = 1000.0,
        receive_mbps: float = math.inf,
    ) -> None:
        self.wires, self.events = wires, wires.events
        self.name, self.ip, self.zone, self.share = name, ip, zone, share
        self.link_us = 8 / mbps  # microseconds a byte
        self.link_free = 0.0
        self.receive_us = 8 / receive_mbps  # microseconds a byte
        self.receive_free = 0.0
        self.off = False
        self.lag = 0  # microseconds more on each way, and the share of segments that are lost
        self.loss = 0.0
        self.offset = 0  # of its time of day
        self.slow = 1.0  # times the cost of everything
        self.ports: dict[int, Any] = {}  # who listens
        self.processes: list[Runs] = []
        self._port = PORTS
        wires.machines[ip] = self

    def port(self) -> int:
        """One for a connection out, or for who does not mind."""
        self._port = self._port + 1 if self._port < 65_535 else PORTS
        return self._port

    def power_off(self) -> None:
        self.off = True
        for process in list(self.processes):
            process.vanish()

    def pause(self) -> None:
        for process in self.processes:
            process.paused = True

    def resume(self) -> None:
        for process in self.processes:
            process.paused = False
            process.wake()


class Wires:
    """What lies between machines."""

    def __init__(self, events: Events, rng: Random, delay: int = 300, between: int = 900, jitter: int = 100) -> None:
        """Microseconds one way, in a zone and between two, and the most that comes on top by chance."""
        self.events, self.rng = events, rng
        self.delay, self.between, self.jitter = delay, between, jitter
        self.far: dict[tuple[str, str], int] = {}  # zones that lie otherwise
        self.machines: dict[str, Machine] = {}  # by address
        self.cuts: dict[tuple[str, str], int] = {}  # from machine to machine, and how many troubles cut there
        self.bytes = self.segments = 0
        self.crossed: dict[tuple[str, str], int] = {}  # bytes from zone to zone

    def way(self, one: Machine, other: Machine) -> int:
        if one is other:
            return OWN
        zones = one.zone, other.zone
        base = self.far.get(zones)
        if base is None:
            base = self.delay if zones[0] == zones[1] else self.between
        return base + one.lag + other.lag + int(self.rng.random() * self.jitter)

    def reaches(self, one: Machine, other: Machine) -> bool:
        return not (one.off or other.off or self.cuts and (one.name, other.name) in self.cuts)

    def cut(self, ones: Iterable[Machine], others: Iterable[Machine], both: bool = True) -> list[tuple[str, str]]:
        """Gives what `heal` takes."""
        others = list(others)
        pairs = [(a.name, b.name) for a in ones for b in others if a is not b]
        pairs += [(b, a) for a, b in pairs] if both else []
        for pair in pairs:
            self.cuts[pair] = self.cuts.get(pair, 0) + 1
        return pairs

    def heal(self, pairs: list[tuple[str, str]]) -> None:
        for pair in pairs:
            self.cuts[pair] -= 1
            if not self.cuts[pair]:
                del self.cuts[pair]
