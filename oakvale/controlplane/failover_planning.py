"""Plans failover chains on the primary: collects capacity and load of the locations and replans when they change.

Measurements of board holders take precedence over the figures in backends' heartbeats. Without the operators' file
nothing is planned, and entries left by an earlier setting are removed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from oakvale.base.loop import Loop
from oakvale.config.settings import Settings
from oakvale.controlplane.core import Core
from oakvale.controlplane.resources import BackendsHandler
from oakvale.failover.chains import Chains, Load, differ_significantly, pack, plan_chains, unpack
from oakvale.failover.places import build_hierarchy
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.transport.links import Answer, Connection, Transport

if TYPE_CHECKING:
    from oakvale.config.chains import ChainSettings  # slow to import; most systems have no chains

CHECK_INTERVAL_US = 1_000_000
MIN_PLAN_INTERVAL_US = 5_000_000  # keeps a wave of load from causing a stream of updates
MIN_RELATIVE_CHANGE = 0.25  # of capacity or demand of a location, for a new plan
LOAD_SMOOTHING = 0.2  # weight of the newest report; a single one covers few requests
MIN_CHANGE_SLOTS = 1.0  # for a new plan
OLD_PLAN_LIFETIME_US = 10_000_000  # a gateway that uses an older version for longer is off the list
SILENT_HEARTBEATS = 2.5  # that all backends of a location must miss
MAX_SILENT_SHARE = 0.5  # of the locations; if more stop responding, the network towards this machine is at fault

log_event = EventLogger(__name__)
ZoneAndService = tuple[str, str]


class FailoverPlanner:
    """Publishes the failover plan (`chains`) and the locations without responding backends (`quiet`)."""

    def __init__(
        self,
        core: Core,
        backends: BackendsHandler,
        loop: Loop,
        transport: Transport,
        settings: Settings,
        chain_settings: ChainSettings | None,
    ) -> None:
        self._core, self._backends, self._loop, self._chain_settings, self._settings = (
            core,
            backends,
            loop,
            chain_settings,
            settings,
        )
        self._capacity: dict[ZoneAndService, float] = {}  # as measured by board holders
        self._loads: dict[tuple[str, str, int], float] = {}  # home zone, service, rank -> load in slots
        self._planned: tuple[dict[ZoneAndService, float], dict[ZoneAndService, float], frozenset[str]] | None = None
        self._older_plans: list[tuple[int, Chains]] = []  # until when a gateway may still use each version
        self._last_planned = -MIN_PLAN_INTERVAL_US
        core.on_serving_change.append(self._serving_changed)
        transport.handlers["chains"] = lambda conn, body, answer: answer(
            {"held": core.replicated_state.table.get("chains")}
        )
        if chain_settings is not None:
            transport.handlers["flows"] = self._on_load_report
            loop.at(loop.now + CHECK_INTERVAL_US, self._check)

    def _serving_changed(self, serves: bool) -> None:
        self._capacity, self._loads, self._planned, self._older_plans = {}, {}, None, []
        leftovers = [key for key in ("chains", "quiet") if self._core.replicated_state.latest(key) is not None]
        if serves and self._chain_settings is None and leftovers:
            self._core.change(dict.fromkeys(leftovers), lambda done: None)

    def _on_load_report(self, conn: Connection, body: Any, _: Answer) -> None:
        service = str(body[0])
        for zone, slots in body[1].items():
            self._capacity[str(zone), service] = float(slots)
        reported = {(str(home), service, int(rank)): float(work) for home, rank, work in body[2]}
        for key in {key for key in self._loads if key[1] == service} | reported.keys():
            previous = self._loads.get(key)
            current = reported.get(key, 0.0)
            self._loads[key] = current if previous is None else previous + LOAD_SMOOTHING * (current - previous)

    def _check(self, _: Any) -> None:
        now = self._loop.now
        self._loop.at(now + CHECK_INTERVAL_US, self._check)
        if not self._core.serving() or self._core.replicated_state.has_pending_for_gateways():
            return
        assert self._chain_settings is not None
        listed = dict(self._core.replicated_state.table.items("backend/"))
        announced: dict[ZoneAndService, float] = {}
        for value in listed.values():
            if value["state"] == "ready":
                key = str(value["az"]), str(value["svc"])
                announced[key] = announced.get(key, 0.0) + float(value["slots"])
        silent = set(self._backends.silent_for(int(SILENT_HEARTBEATS * self._settings.beat)))
        silent_slots: dict[ZoneAndService, float] = {}
        for name in silent & {name for name, value in listed.items() if value["state"] == "ready"}:
            key = str(listed[name]["az"]), str(listed[name]["svc"])
            silent_slots[key] = silent_slots.get(key, 0.0) + float(listed[name]["slots"])
        changes: dict[str, Any] = {}
        self._update_quiet(listed, silent, changes)
        # if all backends of a location are silent, its full capacity is planned for its return; else that of the others
        capacity = {
            key: self._capacity.get(key, slots) * (1 - silent_slots.get(key, 0.0) / slots % 1)
            for key, slots in announced.items()
            if slots > 0
        }
        loads = [Load(home, service, rank, work) for (home, service, rank), work in sorted(self._loads.items()) if work]
        gateways = frozenset(node for node, _ in self._core.replicated_state.table.items("gate/"))
        demand: dict[ZoneAndService, float] = {}
        for load in loads:
            demand[load.home, load.service] = demand.get((load.home, load.service), 0.0) + load.work
        if now - self._last_planned >= MIN_PLAN_INTERVAL_US and gateways and self._differs(capacity, demand, gateways):
            self._last_planned, self._planned = now, (capacity, demand, gateways)
            zones = {zone: "" for zone, _ in announced} | self._settings.zones
            published = self._core.replicated_state.table.get("chains")
            self._older_plans = [(until, chains) for until, chains in self._older_plans if until > now]
            if published is not None:
                self._older_plans.append((now + OLD_PLAN_LIFETIME_US, unpack(published)))
            version, locations = (
                published["version"] + 1 if published else 1,
                build_hierarchy(zones, self._chain_settings.above),
            )
            new_plan = plan_chains(
                version,
                locations,
                capacity,
                loads,
                gateways,
                self._chain_settings.headroom,
                [chains for _, chains in self._older_plans],
            )
            changes["chains"] = pack(new_plan)
            uncovered = new_plan.uncovered_failures(1)
            log_event(
                "chains",
                version=new_plan.version,
                places=len(new_plan.hierarchy.locations()),
                services=len(new_plan.limits),
                cannot_hold=len(uncovered),
            )
        if changes:
            self._core.change(changes, lambda done: None)

    def _differs(
        self, capacity: dict[ZoneAndService, float], demand: dict[ZoneAndService, float], gateways: frozenset[str]
    ) -> bool:
        if self._planned is None:
            return True
        previous_capacity, previous_demand, previous_gateways = self._planned
        return (
            gateways != previous_gateways
            or differ_significantly(capacity, previous_capacity, MIN_RELATIVE_CHANGE, MIN_CHANGE_SLOTS)
            or differ_significantly(demand, previous_demand, MIN_RELATIVE_CHANGE, MIN_CHANGE_SLOTS)
        )

    def _update_quiet(self, listed: dict[str, Any], silent: set[str], changes: dict[str, Any]) -> None:
        by_location: dict[ZoneAndService, list[bool]] = {}
        for name, value in listed.items():
            by_location.setdefault((str(value["svc"]), str(value["az"])), []).append(name in silent)
        quiet = sorted(list(key) for key, all_silent in by_location.items() if all(all_silent))
        if len(quiet) > MAX_SILENT_SHARE * len(by_location):
            quiet = []
        if quiet != (self._core.replicated_state.table.get("quiet") or []):
            changes["quiet"] = quiet
