"""The primary's part in the chains: what is known of places is gathered, and the plan made anew when it changed.

What the keepers of boards tell goes before what beats say. Without the operators' file nothing is planned, and
what an earlier setting left in the control state is taken away.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from oakvale.base.loop import Loop
from oakvale.config.settings import Settings
from oakvale.controlplane.core import Core
from oakvale.controlplane.resources import Backends
from oakvale.failover.chains import Chains, Load, apart, pack, plan, unpack
from oakvale.failover.places import hierarchy
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.transport.links import Answer, Connection, Transport

if TYPE_CHECKING:
    from oakvale.config.chains import Given  # its imports cost, and most systems have no chains

ROUND = 1_000_000  # microseconds between two looks
LEAST = 5_000_000  # between two versions, or a wave of load would be news all the time
CHANGE = 0.25  # part by which what a place holds, or is asked, must have changed
EASE = 0.2  # weight of the newest report: they come every two seconds, and one is of few requests
SLOT = 1.0  # less than this is not worth a version
OLD = 10_000_000  # a gateway may go by an earlier version for so long: then it is off the list, and no keeper's count
QUIET = 2.5  # beats that all backends of a place must miss
MASS = 0.5  # of the places: where more fall silent, it is rather the way from them to here that broke

log_event = EventLogger(__name__)
Key = tuple[str, str]  # zone and service


class Planning:
    def __init__(
        self, core: Core, backends: Backends, loop: Loop, transport: Transport, settings: Settings, given: Given | None
    ) -> None:
        self._core, self._backends, self._loop, self._given, self._settings = core, backends, loop, given, settings
        self._capacity: dict[Key, float] = {}  # as keepers measured
        self._loads: dict[tuple[str, str, int], float] = {}  # home, service, rank -> slots
        self._planned: tuple[dict[Key, float], dict[Key, float], frozenset[str]] | None = None
        self._before: list[tuple[int, Chains]] = []  # versions, and until when a gateway may go by each
        self._last = -LEAST
        core.on_change.append(self._turned)
        transport.handlers["chains"] = lambda conn, body, answer: answer(
            {"held": core.replicated_state.table.get("chains")}
        )
        if given is not None:
            transport.handlers["flows"] = self._flows
            loop.at(loop.now + ROUND, self._look)

    def _turned(self, serves: bool) -> None:
        self._capacity, self._loads, self._planned, self._before = {}, {}, None, []
        left = [key for key in ("chains", "quiet") if self._core.replicated_state.latest(key) is not None]
        if serves and self._given is None and left:
            self._core.change(dict.fromkeys(left), lambda done: None)

    def _flows(self, conn: Connection, body: Any, _: Answer) -> None:
        service = str(body[0])
        for zone, slots in body[1].items():
            self._capacity[str(zone), service] = float(slots)
        came = {(str(home), service, int(rank)): float(work) for home, rank, work in body[2]}
        for key in {key for key in self._loads if key[1] == service} | came.keys():
            was = self._loads.get(key)
            now = came.get(key, 0.0)
            self._loads[key] = now if was is None else was + EASE * (now - was)

    def _look(self, _: Any) -> None:
        now = self._loop.now
        self._loop.at(now + ROUND, self._look)
        if not self._core.serving() or self._core.replicated_state.has_pending():
            return
        assert self._given is not None
        listed = dict(self._core.replicated_state.table.items("backend/"))
        told: dict[Key, float] = {}
        for value in listed.values():
            if value["state"] == "ready":
                key = str(value["az"]), str(value["svc"])
                told[key] = told.get(key, 0.0) + float(value["slots"])
        silent = set(self._backends.silent(int(QUIET * self._settings.beat)))
        gone: dict[Key, float] = {}
        for name in silent & {name for name, value in listed.items() if value["state"] == "ready"}:
            key = str(listed[name]["az"]), str(listed[name]["svc"])
            gone[key] = gone.get(key, 0.0) + float(listed[name]["slots"])
        changes: dict[str, Any] = {}
        self._note_quiet(listed, silent, changes)
        # where all are silent it is what the place holds when it is back; of some, those that are there count
        capacity = {
            key: self._capacity.get(key, slots) * (1 - gone.get(key, 0.0) / slots % 1)
            for key, slots in told.items()
            if slots > 0
        }
        loads = [Load(home, service, rank, work) for (home, service, rank), work in sorted(self._loads.items()) if work]
        roster = frozenset(node for node, _ in self._core.replicated_state.table.items("gate/"))
        asked: dict[Key, float] = {}
        for load in loads:
            asked[load.home, load.service] = asked.get((load.home, load.service), 0.0) + load.work
        if now - self._last >= LEAST and roster and self._differs(capacity, asked, roster):
            self._last, self._planned = now, (capacity, asked, roster)
            zones = {zone: "" for zone, _ in told} | self._settings.zones
            held = self._core.replicated_state.table.get("chains")
            self._before = [(until, chains) for until, chains in self._before if until > now]
            if held is not None:
                self._before.append((now + OLD, unpack(held)))
            version, places = held["version"] + 1 if held else 1, hierarchy(zones, self._given.above)
            made = plan(version, places, capacity, loads, roster, self._given.headroom, [c for _, c in self._before])
            changes["chains"] = pack(made)
            short = made.short(1)
            log_event(
                "chains",
                version=made.version,
                places=len(made.hierarchy.places()),
                services=len(made.limits),
                cannot_hold=len(short),
            )
        if changes:
            self._core.change(changes, lambda done: None)

    def _differs(self, capacity: dict[Key, float], asked: dict[Key, float], roster: frozenset[str]) -> bool:
        if self._planned is None:
            return True
        was_capacity, was_asked, was_roster = self._planned
        return (
            roster != was_roster or apart(capacity, was_capacity, CHANGE, SLOT) or apart(asked, was_asked, CHANGE, SLOT)
        )

    def _note_quiet(self, listed: dict[str, Any], silent: set[str], changes: dict[str, Any]) -> None:
        by_place: dict[Key, list[bool]] = {}
        for name, value in listed.items():
            by_place.setdefault((str(value["svc"]), str(value["az"])), []).append(name in silent)
        quiet = sorted(list(key) for key, all_silent in by_place.items() if all(all_silent))
        if len(quiet) > MASS * len(by_place):
            quiet = []
        if quiet != (self._core.replicated_state.table.get("quiet") or []):
            changes["quiet"] = quiet
