"""`play(day, seed)`: a day in the simulated world, from the machines' start to the operator's last reading; gives the
record. The same day, seed and variant give the same record to the byte, on any machine."""

from __future__ import annotations

import gc
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from importlib import import_module
from random import Random
from typing import Any

from oakvale.base.address import Address
from oakvale.base.loop import Loop
from oakvale.config.durations import parse_duration
from oakvale.lab.days import Day, Trouble
from oakvale.lab.models.launch import launch
from oakvale.lab.models.platform import Edge
from oakvale.lab.record import Event, Happened, Machine, Noted, Record
from oakvale.lab.simulation.machines import Costs, Process
from oakvale.lab.simulation.troubles import Troubles
from oakvale.lab.simulation.works import HTTP, READYZ, Layout, Station, Works

MS, SECOND = 1_000, 1_000_000
ROUND = 500 * MS  # between two looks whether the day is over
AFTER = 60 * SECOND  # of the last request: a reader back that never ends is not waited for longer


@dataclass(frozen=True)
class Variant:
    name: str
    patches: Mapping[str, Any] = field(default_factory=dict)  # dotted name -> what stands there for the run


@contextmanager
def patched(patches: Mapping[str, Any]) -> Iterator[None]:
    """Raises AttributeError or ModuleNotFoundError where a name is not there."""
    undo: list[tuple[Any, str, Any]] = []
    try:
        for dotted, value in patches.items():
            holder, name = _holder(dotted)
            undo.append((holder, name, getattr(holder, name)))
            setattr(holder, name, value)
        yield
    finally:
        for holder, name, value in reversed(undo):
            setattr(holder, name, value)


def _holder(dotted: str) -> tuple[Any, str]:
    parts = dotted.split(".")
    for cut in range(len(parts) - 1, 0, -1):
        try:
            holder: Any = import_module(".".join(parts[:cut]))
        except ModuleNotFoundError:
            if cut == 1:
                raise
            continue
        for step in parts[cut:-1]:
            holder = getattr(holder, step)
        return holder, parts[-1]
    raise ModuleNotFoundError(dotted)


class Outside:
    """A machine outside of the system, as the models know it."""

    def __init__(self, process: Process) -> None:
        assert process.loop is not None
        self.loop: Loop = process.loop
        self.ip = process.machine.ip
        self._process = process

    def power(self, on: bool) -> None:
        self._process.machine.off = not on
        if not on:
            self._process.cut_off()


class Ground:
    """The world as the models need it."""

    def __init__(self, works: Works, day: Day, troubles: Troubles) -> None:
        self._works, self._troubles = works, troubles
        self._far = max(0, round(day.client_delay_ms * MS) - works.layout.delay)
        self.edges = [Edge(s.name, s.machine.zone, (s.machine.ip, HTTP), (s.machine.ip, READYZ)) for s in works.edges]

    def host(self, name: str, zone: str) -> Outside:
        return Outside(self._works.host(name, zone, self._far if name.startswith("clients") else 0))

    def ctl(self) -> list[Address]:
        return self._works.ctl()

    def machine(self, ip: str) -> str:
        return self._works.named(ip)

    def struck(self, trouble: Trouble, machine: str) -> None:
        """Right after, not within the turn of who heard of it."""
        self._works.events.at(self._works.events.now, lambda _: self._troubles.struck(trouble, machine))


def layout(day: Day) -> Layout:
    between = round(day.delay_ms * MS)
    terms = day.terms()
    return Layout(
        tuple(day.edges()),
        tuple(day.core()),
        terms,
        day.tolerance,
        delay=between // 3,
        between=between,
        mbps=day.link_mbps,
        sync=round(day.sync_ms * MS),
        seed_lag=day.time("seed-lag"),
        grace=day.time("grace"),
    )


def play(
    day: Day,
    seed: int,
    variant: Variant | None = None,
    costs: Costs | None = None,
    watch: Callable[[float], None] | None = None,
) -> Record:
    """`watch` hears now and then how many of the day's seconds have been played."""
    bounds = {
        name.replace("-", "_"): parse_duration(value) if isinstance(value, str) else value
        for name, value in day.terms().items()
    }
    record = Record(
        day.name,
        seed,
        bounds,
        tuple(
            [Machine(name, zone, True, False) for name, zone in day.edges()]
            + [Machine(name, zone, False, True) for name, zone in day.core()]
        ),
    )
    rng = Random(f"{day.name} {day.seed} {seed}")

    def happened(
        kind: Event, at: int, until: int, machines: tuple[str, ...], planned: bool = False, others: tuple[str, ...] = ()
    ) -> None:
        record.add(Happened(at, until, kind, machines, planned, others))

    def added(station: Station) -> None:
        record.machines += (Machine(station.name, station.machine.zone, not station.core, station.core),)

    def noted(at: int, machine: str, level: str, event: str, fields: Mapping[str, Any]) -> None:
        record.add(Noted(at, machine, event, {"level": level, **fields}))

    with patched(variant.patches if variant is not None else {}), seldom_cleaned():
        works = Works(layout(day), rng.getrandbits(64), costs, happened, noted)
        troubles = Troubles(works, Random(rng.getrandbits(64)))
        began = works.events.now + round(day.lead_s * SECOND)
        works.added = added
        works.begin()
        played = launch(Ground(works, day, troubles), day, Random(rng.getrandbits(64)), record, began)
        troubles.meet, troubles.last_by = played.meet, lambda: played.operator.last_by
        troubles.plan(day, began)
        until = began + round(day.seconds * SECOND)
        while works.events.now < until + AFTER and not (works.events.now >= until and played.done):
            works.run_for(ROUND)
            if watch is not None:
                watch((works.events.now - began) / SECOND)
        record.ended = works.events.now
    return record


@contextmanager
def seldom_cleaned() -> Iterator[None]:
    """A world is many small objects that last as long as it: they are seldom looked through for what has ended."""
    was = gc.get_threshold()
    gc.set_threshold(100_000, 50, 50)
    try:
        yield
    finally:
        gc.set_threshold(*was)
