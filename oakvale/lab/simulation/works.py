"""A system in a world: its machines with their settings, its processes as their modules make them, started again after
they end, and what befalls them. All that happens is told to `happened`, all that processes note to `noted`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any, cast

from oakvale.base.address import Address, format_address
from oakvale.base.limits import Limits
from oakvale.base.loop import Loop
from oakvale.base.net import Sock
from oakvale.config.bounds import RESERVED_DESCRIPTORS, limits_from_settings
from oakvale.config.durations import parse_duration
from oakvale.config.settings import Settings, decode
from oakvale.controlplane import process as headworks
from oakvale.dataplane import process as sluice
from oakvale.lab.record import Event
from oakvale.lab.simulation.disks import Disk, SimulatedStorage
from oakvale.lab.simulation.events import Events
from oakvale.lab.simulation.machines import FREE, Costs, Process
from oakvale.lab.simulation.sockets import Stream
from oakvale.lab.simulation.wires import Machine, Wires
from oakvale.lifecycle.eventlog import EVENT_LOG

MS, SECOND = 1_000, 1_000_000
HTTP, READYZ, CTL, PORTS = 8782, 8789, 8783, (7340, 7355)
BACKLOG = 1024
LISTENS, READY = 60 * MS, 350 * MS  # after its start a process listens, and has read all that it runs
AGAIN = (150 * MS, 400 * MS)  # until a process that ended is started again
FIRST = 300 * MS  # within which all start for the first time
SEEDS = 3


@dataclass(frozen=True, slots=True)
class Layout:
    """What a system stands on. Times in microseconds; `terms` as the bounds in a settings file."""

    edges: tuple[tuple[str, str], ...]  # machine and zone
    cores: tuple[tuple[str, str], ...]
    terms: Mapping[str, Any] = field(default_factory=dict)
    tolerance: int = 1
    beat: int = 1_500 * MS
    delay: int = 300
    between: int = 900
    client_delay: int = 1_000
    mbps: float = 1000.0
    sync: int = 2 * MS
    seed_lag: int = 3 * SECOND
    grace: int = 6 * SECOND
    edge_share: float = 0.86
    core_share: float = 1.29
    memory_mb: int = 300
    nofile: int = 4096

    @property
    def zones(self) -> tuple[str, ...]:
        return tuple(dict.fromkeys(zone for _, zone in (*self.edges, *self.cores)))


class Station:
    """A machine of the system and the process that it runs, life after life."""

    def __init__(self, works: Works, name: str, zone: str, ip: str, core: bool) -> None:
        layout = works.layout
        self.works, self.name, self.core = works, name, core
        share = layout.core_share if core else layout.edge_share
        self.machine = Machine(works.wires, name, ip, zone, share, layout.mbps)
        self.disk = Disk(works.events, Random(works.rng.getrandbits(64)), layout.sync) if core else None
        self.process: Process | None = None
        self.up = False  # its process is made, and takes part
        self.lives = 0
        self._held = 0  # not started again before
        self._meant = True  # its end was the world's doing, or was asked for
        self._seeds = works.seeds
        self._bootstrap = True
        self.gone = False  # for good

    def settings(self) -> Settings:
        """As a settings file of this moment would have it."""
        works, ip = self.works, self.machine.ip
        bind = {"ctl": f"{ip}:{CTL}"} if self.core else {"http": f"{ip}:{HTTP}", "readyz": f"{ip}:{READYZ}"}
        own = {
            "node": self.name,
            "ip": ip,
            "az": self.machine.zone,
            "rgn": "",
            "voting": self.core,
            "serves": ["ctl"] if self.core else ["edge"],
            "bootstrap": self._bootstrap,
            "limits": {"cpu": self.machine.share, "mem-mb": works.layout.memory_mb, "nofile": works.layout.nofile},
        }
        if self.core:
            own["datadir"] = "/data"
        return decode(
            {
                "self": own,
                "network": {
                    "port-range": list(PORTS),
                    "seeds": [format_address(seed) for seed in self._seeds],
                    "bind": bind,
                    "azs": {zone: "" for zone in works.layout.zones},
                },
                "infra": {"beat": f"{works.layout.beat // MS}ms"},
                "terms": {"tolerance": {"nodes": works.layout.tolerance}, "bounds": dict(works.layout.terms)},
            }
        )

    # ---- its lives

    def start(self, _: Any = None) -> None:
        if self.process is not None or self.machine.off or self.gone:
            return
        self.works.reseed(self)
        if self.works.events.now < self._held:  # killed once more while it was down
            return self.works.events.at(self._held, self.start)
        works, settings = self.works, self.settings()
        self.lives += 1
        process = self.process = Process(
            self.machine,
            Random(works.rng.getrandbits(64)),
            limits_from_settings(settings),
            works.costs,
            settings.nofile - RESERVED_DESCRIPTORS,
            self._ended,
        )
        works.happened(Event.START if self._meant else Event.AGAIN, works.events.now, works.events.now, (self.name,))
        self._meant = False
        listeners: dict[str, Sock] = {}

        def listens(_: Any) -> None:
            if process.alive:
                listeners.update({name: process.net.listen(at, BACKLOG) for name, at in settings.bind.items()})

        def begins(_: Any) -> None:
            if self.disk is not None and self.disk.hangs > works.events.now:
                return works.events.at(self.disk.hangs, begins)  # it is opened again and again
            if process.alive:
                process.begin(lambda loop: self._made(settings, listeners, loop, process))
                self._bootstrap = False
                self.up = process.alive
                works.moved()

        now, factor = works.events.now, self.machine.slow
        works.events.at(now + int(LISTENS * factor), listens)
        works.events.at(now + int(READY * factor), begins)

    def _made(self, settings: Settings, listeners: Mapping[str, Sock], loop: Loop, process: Process) -> Any:
        if self.disk is None:
            return sluice.Process(settings, listeners, loop)
        storage = SimulatedStorage(process, self.disk)
        return headworks.Process(settings, listeners, loop, lambda: cast(Any, storage))

    def _ended(self, process: Process) -> None:
        if self.process is process:
            self.process, self.up = None, False
            if not self._meant:
                self.works.happened(Event.END, self.works.events.now, self.works.events.now, (self.name,))
            if self.disk is not None:
                self.disk.lose()
            self.works.moved()
            self._start_in(self.works.rng.randrange(*AGAIN))

    def _start_in(self, span: int) -> None:
        self.works.events.at(max(self.works.events.now + span, self._held), self.start)

    # ---- what befalls it

    def kill(self, down: int = 0) -> None:
        """`down`: microseconds until it is started again at the earliest."""
        now = self.works.events.now
        self._meant, self._held = True, max(self._held, now + down)
        self.works.happened(Event.KILL, now, now, (self.name,))
        if self.process is not None:
            self.process.end()

    def power_off(self, down: int, wiped: bool = False) -> None:
        now, self._meant = self.works.events.now, True
        self.works.happened(Event.OFF, now, now + down, (self.name,))
        self.machine.power_off()
        if wiped and self.disk is not None:
            self.works.happened(Event.WIPE, now, now + down, (self.name,))
            self.disk.wipe()

        def back(_: Any) -> None:
            self.machine.off = False
            self.start()

        self._held = max(self._held, now + down)
        self.works.events.at(now + down, back)

    def wipe(self, down: int) -> None:
        self.power_off(down, wiped=True)

    def terminate(self, down: int = 0) -> None:
        """SIGTERM, SIGKILL after `grace`, then started again."""
        works, process = self.works, self.process
        if process is None:
            return
        began, name, self._meant = works.events.now, self.name, True

        def gone(_: Any) -> None:
            if process.alive:
                process.end()

        former = process.ended

        def ended(died: Process) -> None:
            works.happened(Event.TERM, began, works.events.now, (name,), planned=True)
            self._held = max(self._held, works.events.now + down)
            if former is not None:
                former(died)
            self.machine.off |= self.gone

        process.ended = ended
        if process.works is not None:
            process.post(process.works.stop)
            works.events.at(began + works.layout.grace, gone)
        else:
            process.end()  # it has not said yet what it does on a signal

    def retire(self) -> None:
        """Gone for good, at once: nobody has power there again."""
        now, self.gone = self.works.events.now, True
        self.works.happened(Event.KILL, now, now, (self.name,))
        self._meant = True
        self.machine.power_off()

    def reset_connections(self, share: float) -> None:
        """Both ends of so many of its connections hear a reset."""
        process, now = self.process, self.works.events.now
        if process is None:
            return
        self.works.happened(Event.RESET, now, now, (self.name,))
        streams = [waits for waits in process.net.open.values() if isinstance(waits, Stream) and waits.peer is not None]
        for stream in streams:
            if self.works.rng.random() < share and stream.peer is not None:
                stream.peer.was_reset()
                stream.was_reset()

    def tell_seeds(self, seeds: tuple[Address, ...]) -> None:
        """The settings file has another list: SIGHUP."""
        self._seeds = seeds
        process = self.process
        if process is not None and process.works is not None:
            now = self.works.events.now
            self.works.happened(Event.HUP, now, now, (self.name,), planned=True)
            process.post(lambda: process.works.know(seeds))

    def freeze(self, span: int) -> None:
        now = self.works.events.now
        self.works.happened(Event.FREEZE, now, now + span, (self.name,))
        self.machine.pause()
        self.works.events.at(now + span, lambda _: self.machine.resume())


Happened = Callable[..., None]  # kind, at, until, machines, planned=, others=


def _nothing(*_: Any, **__: Any) -> None:
    pass


class Works:
    """The world of one system."""

    def __init__(
        self,
        layout: Layout,
        seed: int,
        costs: Costs | None = None,
        happened: Happened = _nothing,
        noted: Callable[[int, str, str, str, Mapping[str, Any]], None] | None = None,
    ) -> None:
        """`noted` hears time, machine, level, event and fields."""
        self.layout, self.costs = layout, costs or Costs()
        self.rng, self._chance = Random(seed), seed
        self.added: Callable[[Station], None] = _nothing  # hears of machines that come later
        self.calm_after = parse_duration(layout.terms.get("sync_time", "4s"))
        self.events = Events()
        self.wires = Wires(self.events, Random(self.rng.getrandbits(64)), layout.delay, layout.between)
        self.happened, self._noted = happened, noted
        self.faults: list[str] = []  # of the processes' programs
        self._ctl: list[tuple[int, list[Address]]] = []
        self.seeds: tuple[Address, ...] = tuple((_ip(10, n), CTL) for n in range(len(layout.cores)))[:SEEDS]
        self.cores = [Station(self, name, zone, _ip(10, n), True) for n, (name, zone) in enumerate(layout.cores)]
        self.edges = [Station(self, name, zone, _ip(11, n), False) for n, (name, zone) in enumerate(layout.edges)]
        self.stations = {station.name: station for station in (*self.cores, *self.edges)}
        self._names = {station.machine.ip: station.name for station in self.stations.values()}
        self._hosts = 0

    def begin(self) -> None:
        """All within 0.3 s, in any order."""
        order = Random(f"first starts {self.layout.seed_lag} {self.events.now} {self._chance}")
        for station in self.stations.values():
            self.events.at(self.events.now + order.randrange(FIRST), station.start)

    def replace(self, old: Station, gap: int, planned: bool) -> Station:
        """A core machine is removed for good, an empty one comes `gap` later at another address. Planned: the new one
        first, and SIGTERM to the old one then."""
        number, now = len(self._names), self.events.now
        new = Station(self, f"{old.name}-{number}", old.machine.zone, _ip(10, 100 + number), True)
        new._bootstrap = False
        self._names[new.machine.ip] = new.name
        self.added(new)

        def comes(_: Any = None) -> None:
            new._seeds = self._listed()
            self.stations[new.name] = new
            self.cores.append(new)
            new.start()

        def goes(_: Any = None) -> None:
            if old not in self.cores:
                return
            self.cores.remove(old)
            del self.stations[old.name]
            begins = now if planned else now + gap
            self.happened(
                Event.GONE,
                self.events.now,
                max(self.events.now, begins + self.calm_after),
                (old.name,),
                planned=planned,
                others=(new.name,),
            )
            if planned:
                old.gone = True
                old.terminate()
            else:
                old.retire()
            self.moved()

        (comes if planned else goes)()
        self.events.at(now + gap, goes if planned else comes)
        return new

    def _listed(self) -> tuple[Address, ...]:
        return tuple(self.ctl()[:SEEDS])

    def reseed(self, station: Station) -> None:
        """A settings file that is written anew names those that serve `ctl` now."""
        if any(ip not in {core.machine.ip for core in self.cores} for ip, _ in station._seeds) and self.ctl():
            station._seeds = self._listed()

    def moved(self) -> None:
        """Another list of those who serve `ctl`."""
        found = [(station.machine.ip, CTL) for station in self.cores if station.up]
        if found and (not self._ctl or self._ctl[-1][1] != found):
            self._ctl.append((self.events.now, found))

    def ctl(self) -> list[Address]:
        """Who serves `ctl`, as callers have the list: late."""
        known = [found for at, found in self._ctl if at <= self.events.now - self.layout.seed_lag]
        return list(known[-1] if known else [(station.machine.ip, CTL) for station in self.cores])

    def named(self, ip: str) -> str:
        """The machine of the system at an address, "" for any other."""
        return self._names.get(ip, "")

    def host(self, name: str, zone: str, far: int = 0) -> Process:
        """A machine outside of the system, with a process that costs nothing and keeps its timers to the point;
        `far`: microseconds more on each way from and to it."""
        self._hosts += 1
        machine = Machine(self.wires, name, _ip(12, self._hosts), zone)
        machine.lag = far
        process = Process(machine, Random(self.rng.getrandbits(64)), Limits(timer_slack=0, wake_slack=0), FREE, 65_000)
        process.begin(lambda loop: None)
        return process

    # ---- running

    def run(self, until: int) -> None:
        with self._heard():
            self.events.run(until)

    def run_for(self, span: int) -> None:
        self.run(self.events.now + span)

    @contextmanager
    def _heard(self) -> Iterator[None]:
        """What processes note or fail at comes here while the world runs; elsewhere nothing is changed."""
        root, handler = logging.getLogger(), Faults(self)
        was = root.handlers[:], root.level
        root.handlers[:] = [handler]
        root.setLevel(logging.WARNING)
        EVENT_LOG.write = self._write  # type: ignore[method-assign]
        try:
            yield
        finally:
            del EVENT_LOG.write
            root.handlers[:], level = was
            root.setLevel(level)

    def _write(self, part: str, event: str, level: str, fields: Mapping[str, Any]) -> None:
        running = self.events.running
        if running is None:
            return  # of a life that has ended
        if level == "error":
            self.faults.append(f"{running.name}: {event}: {fields.get('traceback', '')}")
        if self._noted is not None:
            self._noted(self.events.now, running.name, level, event, fields)


class Faults(logging.Handler):
    def __init__(self, works: Works) -> None:
        super().__init__()
        self._works = works

    def emit(self, record: logging.LogRecord) -> None:
        fields: dict[str, Any] = {}
        if record.exc_info:
            fields["traceback"] = logging.Formatter().formatException(record.exc_info)
        self._works._write(record.name, record.getMessage(), record.levelname.lower(), fields)


def _ip(net: int, number: int) -> str:
    return f"10.{net}.{number // 250}.{number % 250 + 1}"
