"""What a day does to the system's machines, links and disks, each kind as the operators' pages word it. What it does to
clients, backends and the operator is the models'."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from oakvale.base.address import Address
from oakvale.controlplane import process as headworks
from oakvale.lab.days import Day, Trouble
from oakvale.lab.record import Event
from oakvale.lab.simulation.wires import Machine
from oakvale.lab.simulation.works import CTL, SEEDS, Station, Works

MS, SECOND = 1_000, 1_000_000
DARK = 2 * SECOND  # that a machine is without power where nothing is said
LASTS = 3 * SECOND  # a trouble that must end, and does not say when
STEP = 4 * SECOND  # of a clock
LOSS, SLOWER = 0.05, 4.0
GLANCE, LONGEST = 20 * MS, 10 * SECOND  # between looks whether a machine is back, and how long it is looked for


class Troubles:
    def __init__(self, works: Works, rng: Random) -> None:
        self._works, self._rng = works, rng
        # of the operator: a change for the machine that just came back; who acknowledged last
        self.meet: Callable[[Address, str, str], None] = lambda address, zone, how: None
        self.last_by: Callable[[], str] = lambda: ""

    def plan(self, day: Day, began: int) -> None:
        """Those that strike at a time; `struck` does the others."""
        for rows in (day.troubles, day.plan):
            for trouble in rows:
                call: Callable[[Trouble], None] | None = getattr(self, f"_{trouble.kind}", None)
                if call is not None:
                    self._works.events.at(began + round(trouble.at * SECOND), call, trouble)

    def struck(self, trouble: Trouble, name: str) -> None:
        """`name` has just acknowledged something, or was the last to. `how`: `kill` takes no power."""
        station, down = self._works.stations.get(name), self._lasts(trouble, DARK)
        if trouble.kind == "closing":
            return self._close(trouble.how, down)
        if station is None:
            return
        if "kill" in trouble.how:
            station.kill(down)
        else:
            station.power_off(down, wiped=trouble.kind == "after_ack_wipe")
        self._meet(trouble, [station], down)

    def _meet(self, trouble: Trouble, stations: list[Station], after: int) -> None:
        """`how`: `meet` has a change sent to each core machine that it struck, as soon as that one is back."""
        events = self._works.events
        if "meet" not in trouble.how:
            return

        def look(one: tuple[Station, int]) -> None:
            station, until = one
            if station.up and not station.machine.off:
                self.meet((station.machine.ip, CTL), station.machine.zone, trouble.how)
            elif events.now < until:
                events.at(events.now + GLANCE, look, one)

        for station in stations:
            if station.core:
                events.at(events.now + max(after, GLANCE), look, (station, events.now + after + LONGEST))

    def _close(self, how: str, down: int) -> None:
        """The closing fault."""
        works, now = self._works, self._works.events.now
        how = how or self._rng.choice(("power", "kill", "wipe"))
        everyone = list(works.stations.values())
        works.happened(Event.CLOSING, now, now + down + SECOND, tuple(s.name for s in everyone))
        wiped = self._rng.sample(works.cores, min(works.layout.tolerance, len(works.cores))) if "wipe" in how else []
        for station in everyone:
            if "kill" in how:
                station.kill(down)
            elif "wipe" not in how or station.core:
                station.power_off(down, wiped=station in wiped)

    # ---- whom it strikes

    @staticmethod
    def _lasts(trouble: Trouble, default: int = LASTS) -> int:
        return round(trouble.for_s * SECOND) or default

    def _some(self, trouble: Trouble, on: str = "edge") -> list[Station]:
        on = trouble.on or on
        found = {"core": self._works.cores, "edge": self._works.edges}.get(on, [*self._works.stations.values()])
        found = [station for station in found if trouble.zone in ("", station.machine.zone)]
        first = [station for station in found if self._named(trouble.how, station)]
        found = [station for station in found if station not in first]
        count = trouble.many(len(first) + len(found))
        return [*first[:count], *self._rng.sample(found, max(0, count - len(first)))]

    def _named(self, how: str, station: Station) -> bool:
        """`how`: `leader` strikes the one that serves the control state, `acked` the one that acknowledged last, `seed`
        those that the settings name; the rest are drawn."""
        if "acked" in how:
            return station.name == self.last_by()
        if "leader" in how:
            works = station.process.works if station.process is not None else None
            return isinstance(works, headworks.Process) and works.core.serving()
        return "seed" in how and any(station.machine.ip == seed[0] for seed in self._works.seeds)

    def _span(self, trouble: Trouble, kind: Event, stations: list[Station]) -> int:
        """Tells of it; gives its end."""
        now = self._works.events.now
        until = now + self._lasts(trouble)
        self._works.happened(kind, now, until, tuple(station.name for station in stations))
        return until

    # ---- processes

    def _node_kill(self, trouble: Trouble) -> None:
        """`how`: `power` takes the machine's power, `wipe` its disk as well."""
        stations = self._some(trouble)
        self._meet(trouble, stations, round(trouble.for_s * SECOND))
        for station in stations:
            if "wipe" in trouble.how or "power" in trouble.how:
                station.power_off(self._lasts(trouble, DARK), wiped="wipe" in trouble.how)
            else:
                station.kill(round(trouble.for_s * SECOND))

    def _herd_kill(self, trouble: Trouble) -> None:
        self._node_kill(trouble.model_copy(update={"on": trouble.on or "all"}))

    def _node_slow(self, trouble: Trouble) -> None:
        """`how`: `freeze` stops it altogether."""
        stations = self._some(trouble)
        if "freeze" in trouble.how:
            self._meet(trouble, stations, self._lasts(trouble))
            for station in stations:
                station.freeze(self._lasts(trouble))
            return
        until, factor = self._span(trouble, Event.SLOW, stations), trouble.x if trouble.x > 1 else SLOWER
        self._for(
            until,
            stations,
            lambda m: setattr(m, "slow", m.slow * factor),
            lambda m: setattr(m, "slow", m.slow / factor),
        )

    def _node_freeze(self, trouble: Trouble) -> None:
        self._node_slow(trouble.model_copy(update={"how": f"{trouble.how} freeze"}))

    def _replace_core(self, trouble: Trouble) -> None:
        """One is gone for good, an empty one comes `x` s later at another address; `how`: `planned`. `count`: so many,
        one after the other, each `gap_s`."""
        for station in self._some(trouble.model_copy(update={"count": 1, "share": None}), "core"):
            new = self._works.replace(station, round(trouble.x * SECOND), "planned" in trouble.how)
            self._meet(trouble, [new], round(trouble.x * SECOND))
        if (left := (trouble.count or 1) - 1) > 0:
            events = self._works.events
            events.at(
                events.now + round(trouble.gap_s * SECOND),
                self._replace_core,
                trouble.model_copy(update={"count": left}),
            )

    def _reset_conns(self, trouble: Trouble) -> None:
        """`x` of their connections, half where nothing is said."""
        for station in self._some(trouble, "all"):
            station.reset_connections(trouble.x if trouble.x < 1 else 0.5)

    def _for(
        self, until: int, stations: list[Station], on: Callable[[Machine], None], off: Callable[[Machine], None]
    ) -> None:
        for station in stations:
            on(station.machine)
            self._works.events.at(until, lambda _, s=station: off(s.machine))  # type: ignore[misc]

    def _restart(self, trouble: Trouble) -> None:
        self._one_by_one(trouble, 0)

    def _drain(self, trouble: Trouble) -> None:
        """They stay away for its time."""
        self._one_by_one(trouble, self._lasts(trouble))

    def _one_by_one(self, trouble: Trouble, down: int) -> None:
        events = self._works.events
        stations = self._some(trouble)
        self._meet(trouble, stations, down + round(len(stations) * trouble.gap_s * SECOND))
        for index, station in enumerate(stations):
            events.at(events.now + round(index * trouble.gap_s * SECOND), lambda _, s=station: s.terminate(down))  # type: ignore[misc]

    def _clock_step(self, trouble: Trouble) -> None:
        """`x` seconds; `how`: `back`. Its time of day jumps, and processes that start later begin with it."""
        step = round(trouble.x * SECOND) if trouble.x != 1 else STEP
        for station in self._some(trouble):
            now = self._works.events.now
            self._works.happened(Event.CLOCK, now, now, (station.name,))
            station.machine.offset += -step if "back" in trouble.how else step

    def _seed_turnover(self, trouble: Trouble) -> None:
        """The operator's list is another: the settings name others."""
        seeds = tuple(
            (station.machine.ip, self._works.seeds[0][1])
            for station in self._rng.sample(self._works.cores, min(SEEDS, len(self._works.cores)))
        )
        for station in self._works.stations.values():
            station.tell_seeds(seeds)

    # ---- links

    def _core_cut(self, trouble: Trouble) -> None:
        """So many core machines from the other ones; `how`: `off` cuts them from everybody. `seeds`: the settings name
        those that are cut off, and some gateways are restarted; `both`: those that are cut off are restarted, then the
        other core machines."""
        on = trouble.model_copy(update={"on": "core"})
        ones = self._some(on)
        others = [station for station in self._works.cores if station not in ones]
        events, span = self._works.events, self._lasts(trouble)
        if "seeds" in trouble.how:
            seeds = tuple((station.machine.ip, CTL) for station in (*ones, *others))[:SEEDS]
            for station in self._works.stations.values():
                station.tell_seeds(seeds)
            for station in self._rng.sample(self._works.edges, max(1, len(self._works.edges) // 3)):
                events.at(events.now + span // 4, lambda _, s=station: s.kill())  # type: ignore[misc]
        if "both" in trouble.how:
            for at, part in ((span // 4, ones), (span // 2, others)):
                for station in part:
                    events.at(events.now + at, lambda _, s=station: s.kill())  # type: ignore[misc]
        self._cut(trouble, ones, None if "off" in trouble.how else others)

    def _node_cut(self, trouble: Trouble) -> None:
        self._cut(trouble, self._some(trouble), None)

    def _zone_cut(self, trouble: Trouble) -> None:
        zone = trouble.zone or self._rng.choice(self._works.layout.zones)
        here = [s for s in self._works.stations.values() if s.machine.zone == zone]
        self._cut(trouble, here, [s for s in self._works.stations.values() if s.machine.zone != zone])

    def _cut(self, trouble: Trouble, ones: list[Station], others: list[Station] | None) -> None:
        """`how`: `one-way` keeps only what the cut ones say from the others. None: from all there are."""
        works, now = self._works, self._works.events.now
        inside = [station.machine for station in ones]
        outside = (
            [station.machine for station in others]
            if others is not None
            else [m for m in works.wires.machines.values() if m not in inside]
        )
        pairs = works.wires.cut(inside, outside, both="one-way" not in trouble.how)
        until = now + self._lasts(trouble)
        works.happened(
            Event.CUT,
            now,
            until,
            tuple(s.name for s in ones),
            others=() if others is None else tuple(s.name for s in others),
        )
        works.events.at(until, lambda _: works.wires.heal(pairs))
        self._meet(trouble, ones, self._rng.randrange(self._lasts(trouble)))
        self._meet(trouble, ones, self._lasts(trouble))

    def _lossy(self, trouble: Trouble) -> None:
        """`x` below one: the share of segments that are lost."""
        stations, loss = self._some(trouble), trouble.x if trouble.x < 1 else LOSS
        until = self._span(trouble, Event.LINK, stations)
        self._for(
            until,
            stations,
            lambda m: setattr(m, "loss", m.loss + loss),
            lambda m: setattr(m, "loss", max(0.0, m.loss - loss)),
        )

    # ---- disks

    def _disk_slow(self, trouble: Trouble) -> None:
        stations, factor = self._some(trouble, "core"), trouble.x if trouble.x > 1 else 20.0
        until = self._span(trouble, Event.DISK, stations)
        self._meet(trouble, stations, self._lasts(trouble))
        for disk in [s.disk for s in stations if s.disk is not None]:
            disk.slow *= factor
            self._works.events.at(until, lambda _, d=disk: setattr(d, "slow", d.slow / factor))  # type: ignore[misc]

    def _disk_stall(self, trouble: Trouble) -> None:
        """`how`: `refuse` refuses writes instead of keeping them waiting."""
        stations = self._some(trouble, "core")
        until = self._span(trouble, Event.DISK, stations)
        self._meet(trouble, stations, self._lasts(trouble))
        for disk in [s.disk for s in stations if s.disk is not None]:
            if "refuse" in trouble.how:
                disk.refuses = max(disk.refuses, until)
            else:
                disk.hangs = max(disk.hangs, until)

    def _disk_full(self, trouble: Trouble) -> None:
        """They take no more bytes: writes are refused, and what is there can be read."""
        self._disk_stall(trouble.model_copy(update={"how": f"{trouble.how} refuse"}))
