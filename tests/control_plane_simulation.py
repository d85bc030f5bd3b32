"""Core machines in simulated time: fakes of event loop, transport and storage, injected faults, and a model that
checks.

The model checks that a change that was acknowledged, or seen by a confirmed read, is there at every later confirmed
read; that a version has the same content wherever it is seen; and that a view number has the same content on every
disk.
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
from oakvale.controlplane.views import View, unpack_durable_state
from oakvale.dissemination.table import NO_VERSION, Table, Version, unpack
from oakvale.lab.simulation.disks import Held
from tests import simulated_processes
from tests.simulated_processes import MS, SECOND, Loop, Time

PORT = 7340
KEYS = 4


class Life(simulated_processes.Life):
    """One run of a machine's process."""

    machine: Machine

    def __init__(self, machine: Machine) -> None:
        super().__init__(machine)
        self.out: dict[tuple[str, int], Link] = {}


class Link:
    """A connection: in order until it breaks. What was in flight then may still arrive, long after."""

    def __init__(self, life: Life, other: Life | None) -> None:
        self.life, self.other, self.alive = life, other, True
        self.waiting: dict[int, Callable[[Any], None]] = {}
        self.on_close: list[Any] = []

    def send(self, kind: str, number: int, body: Any) -> None:
        pass  # subscriptions use `Subscriber`

    def end(self) -> None:
        if self.alive:
            self.alive = False
            waiting, self.waiting = self.waiting, {}
            for then in waiting.values():
                self.life.machine.run(self.life, lambda then=then: then(None))  # type: ignore[misc]


class Transport:
    """Fake of the transport: one-way messages, and requests with a timeout."""

    def __init__(self, world: World, life: Life) -> None:
        self.self_address = life.machine.address
        self.handlers: dict[str, Any] = {}
        self._world, self._life, self._number = world, life, 0

    def tell(self, address: tuple[str, int], kind: str, body: Any) -> None:
        self._world.carry(self._life, address, kind, body, None)

    def ask(self, address: tuple[str, int], kind: str, body: Any, timeout: int, then: Callable[[Any], None]) -> None:
        self._number += 1
        number, answered = self._number, [False]

        def answer_once(answer: Any) -> None:
            if not answered[0]:
                answered[0] = True
                then(answer)

        def time_out() -> None:
            if not answered[0] and link is not None and self._world.rng.random() < 0.5:
                link.end()  # the connection is given up as dead, or the peer was only slow
            answer_once(None)

        link = self._world.carry(self._life, address, kind, body, (number, answer_once))
        self._world.at(self._world.now + timeout, lambda: self._life.machine.run(self._life, time_out))


class Storage:
    """Fake of the storage: writes are batched and synced after a random delay."""

    never_used = True

    def __init__(self, world: World, life: Life) -> None:
        self._world, self._life, self._disk = world, life, life.machine.disk
        self._waiting: deque[tuple[int, str, Any, Callable[[], None]]] = deque()
        self._busy = False

    def fact(self, name: str) -> bytes | None:
        return self._disk.facts.get(name)

    def rows(self) -> list[tuple[str, bytes]]:
        return list(self._disk.rows.items())

    def chunks(self) -> list[tuple[bytes, bytes]]:
        return list(self._disk.pieces.items())

    def oldest_pending_since(self) -> int | None:
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
                self._world.check_view(unpack_durable_state(cbor2.loads(data[1])).view)

        def complete_writes() -> None:
            for _, _, _, then in done:
                then()

        self._life.machine.run(self._life, complete_writes)
        self._start()


class Machine(simulated_processes.Machine):
    """A core machine: its process, its disk and its faults."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        super().__init__()
        self.world, self.address = world, (name, PORT)
        self.zone = zone
        self.disk, self.disk_hangs, self.sync_ms = Held(), 0, 8
        self.life: Life | None = None
        self.core: Core | None = None
        self.troubled_until = 0  # counts as lost until this time

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
        self.core.on_serving_change.append(lambda serves: self.world.serving_changed(self, serves))
        if self.world.on_machine_start is not None:
            self.world.on_machine_start(self, Loop(self.world, self.life))
        if self.world.compaction_intervals:
            Compactor(self.core, cast(Any, Loop(self.world, self.life)), *self.world.compaction_intervals)

    def stop(self) -> None:
        """SIGTERM, and SIGKILL after `grace`."""
        if self.core is not None:
            life = self.life
            self.core.leave(self.kill)
            self.world.at(self.world.now + Bounds().grace, lambda: self.kill() if self.life is life else None)

    def kill(self) -> None:
        if self.life is not None:
            ended, self.life.alive = self.life, False
            self.life = self.core = None
            self.forget()
            if self.world.on_machine_end is not None:
                self.world.on_machine_end(ended)


class World(Time):
    """The machines, the network between them, and the model that checks what they do."""

    def __init__(
        self,
        seed: int,
        machines: int = 3,
        tolerate: int = 1,
        seeds: int | None = None,
        compaction_intervals: tuple[int, int] | None = None,
        on_machine_start: Callable[[Machine, Loop], None] | None = None,
        machine_zones: tuple[str, ...] = ("z0", "z1", "z2"),
        tolerate_zones: int = 0,
        tolerate_regions: int = 0,
        on_machine_end: Callable[[Life], None] | None = None,
    ) -> None:
        """`machine_zones` are assigned to the machines in turn; a zone's region is its name up to a dash."""
        super().__init__(seed)
        self.machine_zones, self.tolerate_zones, self.tolerate_regions = machine_zones, tolerate_zones, tolerate_regions
        self.on_machine_end = on_machine_end
        self.on_machine_start = on_machine_start  # sets up what a starting machine has beside its core
        self.compaction_intervals = compaction_intervals  # of runs, and for which deleted entries are kept
        names = random.Random(f"names {seed}")
        self.net.token = lambda size: names.randbytes(size).hex()
        self.tolerate = tolerate
        self.machines = [
            Machine(self, f"10.0.0.{n + 1}", machine_zones[n % len(machine_zones)]) for n in range(machines)
        ]
        self._machines_created = machines
        self._seeds = tuple((m.address[0], 8783) for m in self.machines[: seeds or machines])
        self.cuts: set[tuple[str, str]] = set()
        self.views: dict[int, View] = {}
        self.contents: dict[Version, tuple[str, Any]] = {}
        self.minimum_versions: dict[str, Version] = {}  # key -> lowest version that a confirmed read may show
        self.acknowledged = self.requested = self.reads = 0
        self.gateway = Table()
        self._pulse: Version = NO_VERSION
        self._value = 0
        for machine in self.machines:
            machine.start(bootstrap=True)

    def settings(self, machine: Machine, bootstrap: bool) -> Settings:
        ip = machine.address[0]
        regions = {zone: zone.partition("-")[0] for zone in self.machine_zones}
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
        self, life: Life, to: tuple[str, int], kind: str, body: Any, request: tuple[int, Callable[[Any], None]] | None
    ) -> Link | None:
        self.check_single_primary()
        there = next((m for m in self.machines if m.address == to), None)
        link = life.out.get(to)
        if link is None or not link.alive or link.other is None or not link.other.alive:
            if link is not None:
                link.end()
            link = life.out[to] = Link(life, there.life if there else None)
        if request is not None:
            link.waiting[request[0]] = request[1]
        if there is None or link.other is None:
            self.at(self.now + MS, link.end)
            return link
        data = cbor2.dumps(body)

        def answer(said: Any) -> None:
            if request is not None:
                packed = cbor2.dumps(said)
                self._deliver(link, False, lambda: self._answered(link, request[0], cbor2.loads(packed)))

        def arrive() -> None:
            handler = there.core.transport.handlers.get(kind) if there.core else None
            if handler is not None:
                handler(cast(Any, link), cbor2.loads(data), answer)

        self._deliver(link, True, arrive)
        return link

    @staticmethod
    def _answered(link: Link, number: int, body: Any) -> None:
        then = link.waiting.pop(number, None)
        if then is not None:
            then(body)

    def _deliver(self, link: Link, there: bool, call: Callable[[], None]) -> None:
        """Delivers in order along one direction of a link. While the link is cut, the message is held up until it
        heals, or lost with the link."""
        assert link.other is not None
        source, target = (link.life, link.other) if there else (link.other, link.life)
        due = source.behind(link, self.now + self.rng.randrange(300, 3_000))

        def arrive_if_connected() -> None:
            if not target.alive:
                return link.end()
            if not self._reaches(source.machine, target.machine) or not self._reaches(target.machine, source.machine):
                if self.rng.random() < 0.5 and self.now - due < 4 * SECOND:
                    source.behind(link, self.now + 200 * MS)
                    if self.now - due > 1_500 * MS:
                        link.end()  # given up by the sender; its bytes may still arrive
                    return self.at(self.now + 200 * MS, arrive_if_connected)
                return link.end()
            if there or link.alive:
                target.machine.run(target, call)

        self.at(due, arrive_if_connected)

    # ---- the checks

    def check_single_primary(self) -> None:
        """Includes paused machines, which may resume at any moment."""
        serve = [m.address[0] for m in self.machines if m.core is not None and m.core.serving()]
        assert len(serve) < 2, f"{' and '.join(serve)} serve at once"

    def check_view(self, view: View | None) -> None:
        if view is not None:
            assert self.views.setdefault(view.number, view) == view, f"two different views have number {view.number}"

    def check_content(self, key: str, version: Version, value: Any) -> None:
        assert self.contents.setdefault(version, (key, value)) == (key, value), (
            f"two different contents have version {version}"
        )

    def serving_changed(self, machine: Machine, serves: bool) -> None:
        """The simulated gateway subscribes to whoever serves."""
        core = machine.core
        if serves and core is not None:
            number = core.view().number  # type: ignore[union-attr]
            core.publisher.subscribe(cast(Any, Subscriber(self, machine)), self.gateway.highest_version, (number, 0))

    def receive_updates(self, body: Any) -> None:
        pulse, entries = tuple(body[0]), unpack(body[1])
        if pulse[0] < self._pulse[0]:
            return
        self._pulse = cast(Version, pulse)
        for key, version, value in entries:
            self.check_content(key, version, value)
        if body[2] is None:
            self.gateway.put(entries)
        else:
            self.gateway.replace_all(entries, (int(body[2][0]), int(body[2][1])))

    def change(self, machine: Machine) -> None:
        core = machine.core
        if core is None or machine.paused or not core.serving():
            return
        self._value += 1
        key, value = f"k{self.rng.randrange(KEYS)}", self._value
        self.requested += 1
        minimum = self.minimum_versions.get(key, NO_VERSION)

        def then(done: bool) -> None:
            if done:
                self.acknowledged += 1
                version = core.replicated_state.table.version(key)
                assert version > minimum
                self.minimum_versions[key] = max(version, self.minimum_versions.get(key, NO_VERSION))
                self.check_content(key, version, core.replicated_state.table.get(key))

        core.change({key: value} | ({f"left/b{value}": 1} if self.compaction_intervals else {}), then)

    def read(self, machine: Machine) -> None:
        core = machine.core
        if core is None or machine.paused or not core.serving():
            return
        minimum = dict(self.minimum_versions)

        def then(done: bool) -> None:
            if not done:
                return
            self.reads += 1
            for n in range(KEYS):
                key = f"k{n}"
                version = core.replicated_state.table.version(key)
                assert version >= minimum.get(key, NO_VERSION), f"{key} is back at {version}, was {minimum[key]}"
                if version != NO_VERSION:
                    self.check_content(key, version, core.replicated_state.table.get(key))
                self.minimum_versions[key] = max(self.minimum_versions.get(key, NO_VERSION), version)

        core.confirm(then)

    def serving(self) -> Machine | None:
        return next((m for m in self.machines if m.core is not None and not m.paused and m.core.serving()), None)

    # ---- adding and removing machines

    def add(self) -> Machine:
        """Adds an empty machine at a new address. Like an operator, it lists running machines as seeds."""
        self._machines_created += 1
        machine = Machine(
            self,
            f"10.0.0.{self._machines_created}",
            self.machine_zones[self._machines_created % len(self.machine_zones)],
        )
        self.machines.append(machine)
        self.update_seeds()
        machine.start()
        return machine

    def remove(self, machine: Machine) -> None:
        """Removes the machine for good, without a shutdown."""
        machine.kill()
        self.machines.remove(machine)
        self.update_seeds()

    def update_seeds(self) -> None:
        running = [m.address[0] for m in self.machines if m.life is not None]
        self._seeds = tuple((name, 8783) for name in running[:3])

    def is_fully_replicated(self) -> bool:
        """Whether any one machine may be lost now: all copies are complete, all witnesses are up, and they agree on the
        view."""
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

    def troubled_machines(self) -> set[Machine]:
        """Machines that have a fault, or recovered from one less than the sync time ago."""
        cut = {a for pair in self.cuts for a in pair}
        return {
            m
            for m in self.machines
            if m.life is None
            or m.paused
            or m.disk_hangs > self.now
            or m.address[0] in cut
            or m.troubled_until > self.now
        }

    def mark_troubled(self, machine: Machine, until: int) -> None:
        machine.troubled_until = max(machine.troubled_until, until + Bounds().sync_time)

    def down(self, machine: Machine, span: int, wiped: bool = False) -> None:
        machine.kill()
        if wiped:
            machine.disk = Held()
        self.mark_troubled(machine, self.now + span)
        self.at(self.now + span, machine.start)

    def cut(self, side: list[Machine], other_side: list[Machine], span: int, both_ways: bool) -> None:
        pairs = {(a.address[0], b.address[0]) for a in side for b in other_side if a is not b}
        pairs |= {(b, a) for a, b in pairs} if both_ways else set()
        for machine in {*side, *other_side}:
            self.mark_troubled(machine, self.now + span)
        self.cuts |= pairs
        self.at(self.now + span, lambda: self.cuts.difference_update(pairs))

    def pause(self, machine: Machine, span: int) -> None:
        if machine.life is not None:
            machine.paused = True
            self.mark_troubled(machine, self.now + span)
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
        lost = self.troubled_machines()
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
            self.mark_troubled(machine, machine.disk_hangs)
        elif kind == "slow":
            machine.sync_ms = rng.choice([8, 60, 400, 900])
            self.mark_troubled(machine, self.now + 10 * SECOND)
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

    def run_day_of_faults(self, faults: int) -> None:
        """Injects faults in bursts with calm between them while changes and reads go on, then heals everything and
        checks that one machine serves."""
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
        assert self.gateway.since(NO_VERSION) == found.core.replicated_state.table.since(NO_VERSION), (
            "the news are not the state"
        )


class Subscriber:
    """A gateway's subscription, as the primary sees it."""

    def __init__(self, world: World, machine: Machine) -> None:
        self._world, self._life = world, machine.life
        self.on_close: list[Any] = []
        self._up = True

    def send(self, kind: str, number: int, body: Any) -> None:
        if self._up and self._life is not None and self._life.alive:
            self._world.receive_updates(body)

    def ask(self, kind: str, body: Any, timeout: int, then: Callable[[Any], None]) -> None:
        self.send(kind, 1, body)
        if self._life is not None:
            self._life.machine.run(self._life, lambda: then(None))

    def sending_long_frame(self) -> bool:
        return False

    def is_congested(self) -> bool:
        return False

    def end(self) -> None:
        self._up = False
