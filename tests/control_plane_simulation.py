"""Core machines in simulated time: fakes of loop, mains and cistern, faults, and a plain model that judges.

The model: what was acknowledged, or was once read after `confirm`, is there at every later confirmed read; a
version has one content for all who see it; a view number has one content on every disk.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Any, cast

import cbor2

from oakvale.config.settings import Bounds, Settings
from oakvale.controlplane.compaction import Compactor
from oakvale.controlplane.core import Core
from oakvale.controlplane.view_change import View, unpack_durable
from oakvale.dissemination.table import NOTHING, Table, Version, unpack
from oakvale.lab.simulation.disks import Held
from tests import simulated_processes
from tests.simulated_processes import MS, SECOND, Loop, Time

PORT = 7340
KEYS = 4


class Life(simulated_processes.Life):
    machine: Machine

    def __init__(self, machine: Machine) -> None:
        super().__init__(machine)
        self.out: dict[tuple[str, int], Link] = {}


class Link:
    """A connection: in order until it breaks; what was on its way then may still come, long after."""

    def __init__(self, life: Life, other: Life | None) -> None:
        self.life, self.other, self.alive = life, other, True
        self.waiting: dict[int, Callable[[Any], None]] = {}
        self.on_close: list[Any] = []

    def send(self, kind: str, number: int, body: Any) -> None:
        pass  # nobody here subscribes over a link

    def end(self) -> None:
        if self.alive:
            self.alive = False
            waiting, self.waiting = self.waiting, {}
            for then in waiting.values():
                self.life.machine.run(self.life, lambda then=then: then(None))  # type: ignore[misc]


class Transport:
    def __init__(self, world: World, life: Life) -> None:
        self.own = life.machine.address
        self.handlers: dict[str, Any] = {}
        self._world, self._life, self._number = world, life, 0

    def tell(self, address: tuple[str, int], kind: str, body: Any) -> None:
        self._world.carry(self._life, address, kind, body, None)

    def ask(self, address: tuple[str, int], kind: str, body: Any, timeout: int, then: Callable[[Any], None]) -> None:
        self._number += 1
        number, told = self._number, [False]

        def once(answer: Any) -> None:
            if not told[0]:
                told[0] = True
                then(answer)

        def late() -> None:
            if not told[0] and link is not None and self._world.rng.random() < 0.5:
                link.end()  # a connection that says nothing is given up; else the peer was just slow
            once(None)

        link = self._world.carry(self._life, address, kind, body, (number, once))
        self._world.at(self._world.now + timeout, lambda: self._life.machine.run(self._life, late))


class Storage:
    first = True

    def __init__(self, world: World, life: Life) -> None:
        self._world, self._life, self._disk = world, life, life.machine.disk
        self._waiting: deque[tuple[int, str, Any, Callable[[], None]]] = deque()
        self._busy = False

    def fact(self, name: str) -> bytes | None:
        return self._disk.facts.get(name)

    def rows(self) -> list[tuple[str, bytes]]:
        return list(self._disk.rows.items())

    def pieces(self) -> list[tuple[bytes, bytes]]:
        return list(self._disk.pieces.items())

    def waiting_since(self) -> int | None:
        return self._waiting[0][0] if self._waiting else None

    def write(self, what: tuple[str, Any], then: Callable[[], None]) -> None:
        kind, data = what
        self._waiting.append((self._world.now, kind, data, then))
        self._start()

    def _start(self) -> None:
        if self._busy or not self._waiting:
            return
        self._busy = True
        machine, batch = self._life.machine, len(self._waiting)
        due = max(self._world.now, machine.disk_hangs) + self._world.rng.randrange(1, machine.sync_ms) * MS
        self._world.at(due, lambda: self._commit(batch))

    def _commit(self, batch: int) -> None:
        if not self._life.alive:
            return
        self._busy = False
        if self._life.machine.disk_hangs > self._world.now:
            return self._start()
        done = [self._waiting.popleft() for _ in range(batch)]
        for _, kind, data, _ in done:
            self._disk.apply([(kind, data)])
            if "state" in (data[0] if kind == "fact" else ""):
                self._world.see(unpack_durable(cbor2.loads(data[1])).view)

        def notice() -> None:
            for _, _, _, then in done:
                then()

        self._life.machine.run(self._life, notice)
        self._start()


class Machine(simulated_processes.Machine):
    def __init__(self, world: World, name: str, zone: str) -> None:
        super().__init__()
        self.world, self.address = world, (name, PORT)
        self.zone = zone
        self.disk, self.disk_hangs, self.sync_ms = Held(), 0, 8
        self.life: Life | None = None
        self.core: Core | None = None
        self.troubled = 0  # counts as lost until then

    def start(self, bootstrap: bool = False) -> None:
        if self.life is not None:
            return
        self.life = Life(self)
        settings = self.world.settings(self, bootstrap)
        self.core = Core(
            cast(Any, Loop(self.world, self.life)),
            cast(Any, Transport(self.world, self.life)),
            settings,
            cast(Any, Storage(self.world, self.life)),
        )
        self.core.on_serving_change.append(lambda serves: self.world.turned(self, serves))
        if self.world.equips is not None:
            self.world.equips(self, Loop(self.world, self.life))
        if self.world.prunes:
            Compactor(self.core, cast(Any, Loop(self.world, self.life)), *self.world.prunes)

    def stop(self) -> None:
        """SIGTERM, and SIGKILL after `grace`."""
        if self.core is not None:
            life = self.life
            self.core.leave(self.kill)
            self.world.at(self.world.now + Bounds().grace, lambda: self.kill() if self.life is life else None)

    def kill(self) -> None:
        if self.life is not None:
            self.life.alive = False
            self.life = self.core = None
            self.forget()


class World(Time):
    def __init__(
        self,
        seed: int,
        machines: int = 3,
        tolerate: int = 1,
        seeds: int | None = None,
        prunes: tuple[int, int] | None = None,
        equips: Callable[[Machine, Loop], None] | None = None,
        places: tuple[str, ...] = ("z0", "z1", "z2"),
        tolerate_zones: int = 0,
        tolerate_regions: int = 0,
    ) -> None:
        """`places` are the zones of the machines, in turn; a zone's region is its name up to a dash."""
        super().__init__(seed)
        self.places, self.tolerate_zones, self.tolerate_regions = places, tolerate_zones, tolerate_regions
        self.equips = equips  # gives a machine that starts what it has beside its core
        self.prunes = prunes  # how often, and how long what is taken away is kept
        names = random.Random(f"names {seed}")
        self.net.token = lambda size: names.randbytes(size).hex()
        self.tolerate = tolerate
        self.machines = [Machine(self, f"10.0.0.{n + 1}", places[n % len(places)]) for n in range(machines)]
        self._made = machines
        self._seeds = tuple((m.address[0], 8783) for m in self.machines[: seeds or machines])
        self.cuts: set[tuple[str, str]] = set()
        self.views: dict[int, View] = {}
        self.contents: dict[Version, tuple[str, Any]] = {}
        self.floor: dict[str, Version] = {}  # what every confirmed read from now on must show, or newer
        self.acknowledged = self.asked = self.reads = 0
        self.gateway = Table()
        self._pulse: Version = NOTHING
        self._value = 0
        for machine in self.machines:
            machine.start(bootstrap=True)

    def settings(self, machine: Machine, bootstrap: bool) -> Settings:
        ip = machine.address[0]
        regions = {zone: zone.partition("-")[0] for zone in self.places}
        return Settings(
            ip,
            ip,
            machine.zone,
            regions[machine.zone],
            ("ctl",),
            True,
            bootstrap,
            "/",
            self._seeds,
            {},
            (PORT, PORT + 9),
            regions,
            SECOND,
            1.0,
            200,
            1024,
            200,
            self.tolerate,
            self.tolerate_zones,
            self.tolerate_regions,
            frozenset(),
            Bounds(),
        )

    # ---- the network

    def _reaches(self, one: Machine, other: Machine) -> bool:
        return (one.address[0], other.address[0]) not in self.cuts

    def carry(
        self, life: Life, to: tuple[str, int], kind: str, body: Any, asked: tuple[int, Callable[[Any], None]] | None
    ) -> Link | None:
        self.one_serves()
        there = next((m for m in self.machines if m.address == to), None)
        link = life.out.get(to)
        if link is None or not link.alive or link.other is None or not link.other.alive:
            if link is not None:
                link.end()
            link = life.out[to] = Link(life, there.life if there else None)
        if asked is not None:
            link.waiting[asked[0]] = asked[1]
        if there is None or link.other is None:
            self.at(self.now + MS, link.end)
            return link
        data = cbor2.dumps(body)

        def answer(said: Any) -> None:
            if asked is not None:
                packed = cbor2.dumps(said)
                self._ship(link, False, lambda: self._answered(link, asked[0], cbor2.loads(packed)))

        def arrive() -> None:
            handler = there.core.transport.handlers.get(kind) if there.core else None
            if handler is not None:
                handler(cast(Any, link), cbor2.loads(data), answer)

        self._ship(link, True, arrive)
        return link

    @staticmethod
    def _answered(link: Link, number: int, body: Any) -> None:
        then = link.waiting.pop(number, None)
        if then is not None:
            then(body)

    def _ship(self, link: Link, there: bool, call: Callable[[], None]) -> None:
        """One way along a link, in order, unless it is cut: then held up until it heals, or lost with the link."""
        assert link.other is not None
        source, target = (link.life, link.other) if there else (link.other, link.life)
        due = source.behind(link, self.now + self.rng.randrange(300, 3_000))

        def deliver() -> None:
            if not target.alive:
                return link.end()
            if not self._reaches(source.machine, target.machine) or not self._reaches(target.machine, source.machine):
                if self.rng.random() < 0.5 and self.now - due < 4 * SECOND:
                    source.behind(link, self.now + 200 * MS)
                    if self.now - due > 1_500 * MS:
                        link.end()  # given up by its maker; its bytes may arrive yet
                    return self.at(self.now + 200 * MS, deliver)
                return link.end()
            if there or link.alive:
                target.machine.run(target, call)

        self.at(due, deliver)

    # ---- the judge

    def one_serves(self) -> None:
        """Also of those that stand still, which may go on at any moment."""
        serve = [m.address[0] for m in self.machines if m.core is not None and m.core.serving()]
        assert len(serve) < 2, f"{' and '.join(serve)} serve at once"

    def see(self, view: View | None) -> None:
        if view is not None:
            assert self.views.setdefault(view.number, view) == view, f"two views are number {view.number}"

    def content(self, key: str, version: Version, value: Any) -> None:
        assert self.contents.setdefault(version, (key, value)) == (key, value), f"two contents of {version}"

    def turned(self, machine: Machine, serves: bool) -> None:
        """A gateway of the day takes news from whoever serves."""
        core = machine.core
        if serves and core is not None:
            core.publisher.subscribe(cast(Any, Wire(self, machine)), self.gateway.high, (core.view().number, 0))  # type: ignore[union-attr]

    def news(self, body: Any) -> None:
        pulse, entries = tuple(body[0]), unpack(body[1])
        if pulse[0] < self._pulse[0]:
            return
        self._pulse = cast(Version, pulse)
        for key, version, value in entries:
            self.content(key, version, value)
        if body[2] is None:
            self.gateway.put(entries)
        else:
            self.gateway.whole(entries, (int(body[2][0]), int(body[2][1])))

    def change(self, machine: Machine) -> None:
        core = machine.core
        if core is None or machine.paused or not core.serving():
            return
        self._value += 1
        key, value = f"k{self.rng.randrange(KEYS)}", self._value
        self.asked += 1
        floor = self.floor.get(key, NOTHING)

        def then(done: bool) -> None:
            if done:
                self.acknowledged += 1
                version = core.replicated_state.table.version(key)
                assert version > floor
                self.floor[key] = max(version, self.floor.get(key, NOTHING))
                self.content(key, version, core.replicated_state.table.get(key))

        core.change({key: value} | ({f"left/b{value}": 1} if self.prunes else {}), then)

    def read(self, machine: Machine) -> None:
        core = machine.core
        if core is None or machine.paused or not core.serving():
            return
        floor = dict(self.floor)

        def then(done: bool) -> None:
            if not done:
                return
            self.reads += 1
            for n in range(KEYS):
                key = f"k{n}"
                version = core.replicated_state.table.version(key)
                assert version >= floor.get(key, NOTHING), f"{key} is back at {version}, was {floor[key]}"
                if version != NOTHING:
                    self.content(key, version, core.replicated_state.table.get(key))
                self.floor[key] = max(self.floor.get(key, NOTHING), version)

        core.confirm(then)

    def serving(self) -> Machine | None:
        return next((m for m in self.machines if m.core is not None and not m.paused and m.core.serving()), None)

    # ---- machines that come and go

    def add(self) -> Machine:
        """An empty machine at an address that was never used. Seeds are of those that run, as operators list them."""
        self._made += 1
        machine = Machine(self, f"10.0.0.{self._made}", self.places[self._made % len(self.places)])
        self.machines.append(machine)
        self.listed()
        machine.start()
        return machine

    def remove(self, machine: Machine) -> None:
        """For good, as it stands."""
        machine.kill()
        self.machines.remove(machine)
        self.listed()

    def listed(self) -> None:
        running = [m.address[0] for m in self.machines if m.life is not None]
        self._seeds = tuple((name, 8783) for name in running[:3])

    def well(self) -> bool:
        """Whatever one machine is lost now: all that were to hold copies do, all that vote are up, as they all know."""
        found = self.serving()
        view = found.core.view() if found is not None and found.core is not None else None
        cores = {m.core.self_id: m.core for m in self.machines if m.core is not None and not m.paused}
        return (
            view is not None
            and len(view.witnesses) > 2 * self.tolerate
            and all(
                peer in cores
                and cores[peer].view() == view
                and (peer not in view.copies or cores[peer].view_manager.state.complete == view.number)
                for peer in view.witnesses
            )
        )

    # ---- faults

    def lost(self) -> set[Machine]:
        """Those in trouble, or back from it for less than the time to sync."""
        cut = {a for pair in self.cuts for a in pair}
        return {
            m
            for m in self.machines
            if m.life is None or m.paused or m.disk_hangs > self.now or m.address[0] in cut or m.troubled > self.now
        }

    def trouble(self, machine: Machine, until: int) -> None:
        machine.troubled = max(machine.troubled, until + Bounds().sync_time)

    def down(self, machine: Machine, span: int, wiped: bool = False) -> None:
        machine.kill()
        if wiped:
            machine.disk = Held()
        self.trouble(machine, self.now + span)
        self.at(self.now + span, machine.start)

    def cut(self, ones: list[Machine], others: list[Machine], span: int, both: bool) -> None:
        pairs = {(a.address[0], b.address[0]) for a in ones for b in others if a is not b}
        pairs |= {(b, a) for a, b in pairs} if both else set()
        for machine in {*ones, *others}:
            self.trouble(machine, self.now + span)
        self.cuts |= pairs
        self.at(self.now + span, lambda: self.cuts.difference_update(pairs))

    def pause(self, machine: Machine, span: int) -> None:
        if machine.life is not None:
            machine.paused = True
            self.trouble(machine, self.now + span)
            self.at(self.now + span, machine.resume)

    def primary(self) -> Machine:
        return self.serving() or self.rng.choice(self.machines)

    def fault(self) -> None:
        rng = self.rng
        machine = self.primary() if rng.random() < 0.5 else rng.choice(self.machines)
        span = rng.choice([50, 300, 1_000, 2_500, 5_000]) * MS + rng.randrange(200 * MS)
        kind = rng.choice(
            [
                "down",
                "down",
                "wipe",
                "wipe",
                "cut",
                "cut",
                "half",
                "alone",
                "all",
                "disk",
                "disk",
                "slow",
                "pause",
                "pause",
                "closing",
                "flap",
            ]
        )
        others = [m for m in self.machines if m is not machine]
        lost = self.lost()
        if kind == "down":
            self.down(machine, span)
        elif kind == "wipe" and len(lost | {machine}) <= self.tolerate:
            self.down(machine, span, wiped=True)
        elif kind in ("cut", "half"):
            self.cut([machine], rng.sample(others, rng.randrange(1, len(others) + 1)), span, kind == "cut")
        elif kind == "alone":
            friend = rng.choice(others)
            self.cut([machine, friend], [m for m in others if m is not friend], span, True)
        elif kind == "all":
            for m in self.machines:
                self.down(m, rng.randrange(50, 1_200) * MS)
        elif kind == "disk":
            machine.disk_hangs = self.now + span
            self.trouble(machine, machine.disk_hangs)
        elif kind == "slow":
            machine.sync_ms = rng.choice([8, 60, 400, 900])
            self.trouble(machine, self.now + 10 * SECOND)
            self.at(self.now + 10 * SECOND, lambda: setattr(machine, "sync_ms", 8))
        elif kind == "pause":
            self.pause(machine, span)
        elif kind == "closing" and not lost:
            wiped = rng.sample(self.machines, self.tolerate)
            for m in self.machines:
                if m in wiped or rng.random() < 0.7:
                    self.down(m, rng.randrange(50, 1_200) * MS, wiped=m in wiped)
        elif kind == "flap":
            for n in range(4):
                self.at(self.now + n * span // 4, lambda: self.down(machine, span // 9))

    def heal(self) -> None:
        self.cuts.clear()
        for machine in self.machines:
            machine.sync_ms, machine.disk_hangs = 8, 0
            if machine.paused:
                machine.resume()
            machine.start()

    def day(self, faults: int) -> None:
        """Faults come in bunches with calm between them, while changes and reads go on; then all heals."""
        self.run(2 * SECOND)
        for _ in range(faults):
            self.fault()
            gap = self.rng.choice([20, 200, 1_000, 3_000, 12_000]) * MS
            for _ in range(min(12, 1 + gap // (50 * MS))):
                for machine in self.machines:
                    self.change(machine)
                    if self.rng.random() < 0.3:
                        self.read(machine)
                self.run(gap // min(12, 1 + gap // (50 * MS)))
        self.run(6 * SECOND)
        self.heal()
        self.run(10 * SECOND)
        found = self.serving()
        assert found is not None, "nobody serves"
        acknowledged, reads = self.acknowledged, self.reads
        self.read(found)
        self.change(found)
        self.run(SECOND)
        assert (self.acknowledged, self.reads) == (acknowledged + 1, reads + 1), "serves, but keeps nothing"
        assert found.core is not None
        assert self.gateway.since(NOTHING) == found.core.replicated_state.table.since(NOTHING), (
            "the news are not the state"
        )


class Wire:
    """What a primary knows of a gateway."""

    def __init__(self, world: World, machine: Machine) -> None:
        self._world, self._life = world, machine.life
        self.on_close: list[Any] = []
        self._up = True

    def send(self, kind: str, number: int, body: Any) -> None:
        if self._up and self._life is not None and self._life.alive:
            self._world.news(body)

    def ask(self, kind: str, body: Any, timeout: int, then: Callable[[Any], None]) -> None:
        self.send(kind, 1, body)
        if self._life is not None:
            self._life.machine.run(self._life, lambda: then(None))

    def busy(self) -> bool:
        return False

    def full(self) -> bool:
        return False

    def end(self) -> None:
        self._up = False
