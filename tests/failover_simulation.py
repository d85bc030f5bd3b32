"""Failing locations in simulated time, with a board holder, gateways that act alone, and a queue at each location.

Checked invariants: in any interval, a location is sent no more work than its limit and the allowed queue; an unsafe
request starts at most once; a refused request never starts; each request ends once.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from oakvale.failover.chains import Chains, Load, plan_chains
from oakvale.failover.evacuation import EvacuationState
from oakvale.failover.places import build_hierarchy
from oakvale.failover.spill import SpillController, SpillRejection, SpillRequest

MS, SECOND = 1_000, 1_000_000
WORK = 200 * MS
TARGET = 900 * MS
DEADLINE = 3 * SECOND
HOLDER_CONTACT_TIMEOUT, GATEWAY_CONTACT_TIMEOUT = 900 * MS, SECOND  # the holder counts a gateway as unreachable first
LONG_ISOLATION, HOLDER_LONG_ISOLATION, LONG_ISOLATION_SHARE = 2 * SECOND, 3 * SECOND, 0.25
CLOSED_ZONES_LIFETIME = 2 * SECOND


@dataclass
class Location:
    name: str
    slots: int
    dead: bool = False
    announced: float = 1.0  # slots announced in heartbeats for each real slot
    busy: int = 0
    incarnation: int = 0
    queue: deque[Request] = field(default_factory=deque)
    admitted: list[tuple[int, float, str]] = field(default_factory=list)  # during evacuations: when, work, by whom
    started_at: list[int] = field(default_factory=list)


@dataclass(eq=False)
class Request:
    gateway: Gateway
    safe: bool
    rank: int
    tenant: str
    work: int
    arrived_at: int
    starts: int = 0
    hops: int = 0
    at: str = ""
    ticket: int = 0
    sent: int = 0
    results: list[str] = field(default_factory=list)


@dataclass(eq=False)
class Gateway:
    name: str
    zone: str
    spill: SpillController
    chains: Chains
    contact: int
    closed: frozenset[str] = frozenset()
    closed_at: int = -CLOSED_ZONES_LIFETIME
    open: set[Request] = field(default_factory=set)


class FailoverSimulation:
    def __init__(
        self,
        seed: int,
        zones: dict[str, str],
        slots: dict[str, int],
        load: float,
        gateways: int = 2,
        hot: float = 0.0,
        unsafe: float = 0.4,
        announced: float = 1.0,
    ) -> None:
        """`load`: share of all slots; `hot`: the share of one tenant; `announced`: announced slots per real slot."""
        self.rng, self.now = random.Random(seed), 100 * SECOND
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = self._ticket = 0
        self.locations = {name: Location(name, n, announced=announced) for name, n in slots.items()}
        self.hierarchy, self.hot, self.unsafe, self.load = build_hierarchy(zones, {}), hot, unsafe, load
        self.disconnected: set[frozenset[str]] = set()  # pairs of zones without a connection
        self.chains = self.make_plan(1)
        self.versions = [(self.now, self.chains)]
        self.gateways = [self._new_gateway(f"{zone}-{n}", zone) for zone in zones for n in range(gateways)]
        self.chains = self.make_plan(2)
        self.versions.append((self.now, self.chains))
        for gateway in self.gateways:
            gateway.spill.set_chains(self.chains)
            gateway.chains = self.chains
        self.holder: SpillController | None = None
        self.holder_zone = next(iter(zones))
        self.contacts: dict[str, int] = {}
        self.elect()
        self.requests: list[Request] = []
        self.active_intervals: list[tuple[int, int]] = []  # intervals in which load moved
        self.missing_observers: dict[str, set[str]] = {}  # location -> kinds of observers that miss it
        self.at(self.now, self.observe)
        for gateway in self.gateways:
            self.at(self.now, lambda g=gateway: self.arrive(g))  # type: ignore[misc]

    # ---- the plan

    def make_plan(self, version: int, before: tuple[Chains, ...] = ()) -> Chains:
        capacity = {(name, "s"): location.slots * location.announced for name, location in self.locations.items()}
        zones = list(self.hierarchy.paths)
        total_slots = sum(p.slots for p in self.locations.values())
        loads = [Load(zone, "s", rank, self.load * total_slots / len(zones) / 2) for zone in zones for rank in (0, 2)]
        roster = [g.name for g in getattr(self, "gateways", [])]
        return plan_chains(version, self.hierarchy, capacity, loads, roster, before=before)

    def publish_plan(self, within: int = 400 * MS) -> None:
        """Publishes a new version, which reaches each gateway at a random time."""
        recent = tuple(chains for at, chains in self.versions if self.now - at < 10 * SECOND)
        self.chains = self.make_plan(self.chains.version + 1, recent[-2:])
        self.versions.append((self.now, self.chains))
        published = self.chains
        if self.holder is not None:
            self.holder.set_chains(published)
        for gateway in self.gateways:
            self.at(self.now + self.rng.randrange(within), lambda g=gateway: g.spill.set_chains(published))  # type: ignore[misc]

    def _new_gateway(self, name: str, zone: str) -> Gateway:
        gateway = Gateway(name, zone, None, self.chains, self.now)  # type: ignore[arg-type]
        gateway.spill = SpillController(
            "s",
            self.rng.random,
            usable_share=lambda: 0.0
            if self.now - gateway.contact < GATEWAY_CONTACT_TIMEOUT
            else (1.0 if self.now - gateway.contact < LONG_ISOLATION else LONG_ISOLATION_SHARE),
        )
        gateway.spill.set_chains(self.chains)
        return gateway

    # ---- the board holder

    def elect(self, zone: str | None = None) -> None:
        """Starts another holder, which knows neither open requests nor which gateways it reaches."""
        self.holder_zone = zone or self.holder_zone
        self.contacts, elected_at = {}, self.now
        # state changes as this holder sees them
        self.state_changes: dict[str, list[tuple[int, EvacuationState]]] = {name: [] for name in self.locations}
        self.holder = SpillController(
            "s",
            self.rng.random,
            lambda location: frozenset(self.missing_observers.get(location, set())),
            unreachable_shares=lambda roster: sum(
                LONG_ISOLATION_SHARE if self.now - self.contacts.get(g, elected_at) >= HOLDER_LONG_ISOLATION else 1.0
                for g in roster
                if self.now - self.contacts.get(g, -HOLDER_CONTACT_TIMEOUT) >= HOLDER_CONTACT_TIMEOUT
            ),
        )
        self.holder.set_chains(self.chains)
        neighbours = [
            g for g in self.gateways if g.zone == self.holder_zone and self.now - g.closed_at < CLOSED_ZONES_LIFETIME
        ]
        if neighbours:
            self.holder.adopt_closed_zones(neighbours[0].closed, self.now)

    def reaches(self, one: str, other: str) -> bool:
        return one == other or frozenset((one, other)) not in self.disconnected

    # ---- time

    def at(self, due: int, call: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._heap, (due, self._order, call))

    def run(self, seconds: float) -> FailoverSimulation:
        end = self.now + int(seconds * SECOND)
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = end
        return self

    def observe(self) -> None:
        self.at(self.now + 100 * MS, self.observe)
        controllers = [g.spill for g in self.gateways] + ([self.holder] if self.holder is not None else [])
        if any(spill.is_active() for spill in controllers):
            if self.active_intervals and self.active_intervals[-1][1] >= self.now - 100 * MS:
                self.active_intervals[-1] = (self.active_intervals[-1][0], self.now)
            else:
                self.active_intervals.append((self.now, self.now))
        for name, changes in self.state_changes.items():
            evacuation = self.holder.evacuations.get(name) if self.holder is not None else None
            if evacuation is not None and (not changes or changes[-1][1] is not evacuation.state):
                changes.append((evacuation.state_since, evacuation.state))
        for gateway in self.gateways:  # regular contact with the holder
            if self.holder is not None and self.reaches(gateway.zone, self.holder_zone):
                gateway.contact = self.contacts[gateway.name] = self.now

    # ---- requests

    def arrive(self, gateway: Gateway) -> None:
        rate = self.load * sum(p.slots for p in self.locations.values()) * SECOND / WORK / len(self.gateways)
        self.at(self.now + int(self.rng.expovariate(rate) * SECOND) + 1, lambda: self.arrive(gateway))
        tenant = "hot" if self.rng.random() < self.hot else f"t{self.rng.randrange(6)}"
        request = Request(
            gateway,
            self.rng.random() >= self.unsafe,
            self.rng.choice((0, 2)),
            tenant,
            int(WORK * self.rng.uniform(0.5, 1.5)),
            self.now,
        )
        self.requests.append(request)
        self.at(self.now + DEADLINE, lambda: self.end(request, "deadline"))
        spill_request = self.spill_request(request)
        if self.holder is not None and self.reaches(gateway.zone, self.holder_zone):
            gateway.contact = self.contacts[gateway.name] = self.now
            decision = self.holder.admit(spill_request, self.locations, WORK, self.open_attempts, self.now)
            self.send(request, decision, self.holder)
            return self.take_closed_zones(gateway, self.holder.closed_zones(gateway.name))
        if self.now - gateway.closed_at < CLOSED_ZONES_LIFETIME:
            gateway.spill.adopt_closed_zones(gateway.closed, self.now)
        decision = gateway.spill.admit(spill_request, self.locations, WORK, None, self.now)
        self.send(request, decision, gateway.spill)

    def spill_request(self, request: Request) -> SpillRequest:
        return SpillRequest(
            request.gateway.name,
            request.gateway.zone,
            request.rank,
            request.tenant,
            request.safe,
            WORK / SECOND,
            TARGET,
        )

    def open_attempts(self) -> dict[str, tuple[int, float]]:
        return {name: (p.busy + len(p.queue), p.slots * p.announced) for name, p in self.locations.items()}

    def take_closed_zones(self, gateway: Gateway, closed: frozenset[str]) -> None:
        newly_closed, gateway.closed, gateway.closed_at = closed - gateway.closed, closed, self.now
        for request in [r for r in gateway.open if r.at in newly_closed]:
            self.leave(request)
            self.report(request, "lost")
            if request.safe and not request.results and request.hops < 2:
                self.retry(request)
            else:
                self.end(request, "502")

    def send(self, request: Request, decision: object, spill: SpillController) -> None:
        if isinstance(decision, SpillRejection):
            assert decision.retry_after_us > 0
            return self.end(request, "refused")
        zones = getattr(decision, "zones", None)
        active = spill.is_active()
        candidates = [
            p
            for p in self.locations.values()
            if (zones is None or p.name in zones) and (zones is not None or p.name not in request.gateway.closed)
        ] or list(self.locations.values())
        best = min(candidates, key=lambda p: (p.busy + len(p.queue)) / p.slots + (p.name != request.gateway.zone) * 0.5)
        self._ticket += 1
        request.ticket = self._ticket
        spill.record_sent(best.name, self.spill_request(request), request.ticket, self.now + DEADLINE, self.now)
        if active and spill.evacuations[best.name].state is not EvacuationState.PROBING:
            best.admitted.append((self.now, WORK / SECOND, "holder" if spill is self.holder else request.gateway.name))
        self.deliver(request, best)

    def retry(self, request: Request) -> None:
        candidates = [p for p in self.locations.values() if p.name not in request.gateway.closed]
        request.ticket = 0
        self.deliver(request, min(candidates, key=lambda p: (p.busy + len(p.queue)) / p.slots))

    def deliver(self, request: Request, location: Location) -> None:
        request.at, request.sent, request.hops = location.name, self.now, request.hops + 1
        request.gateway.open.add(request)
        if location.dead or not self.reaches(request.gateway.zone, location.name):
            self.at(self.now + 700 * MS, lambda hop=request.hops: self.give_up(request, hop))  # type: ignore[misc]
        elif location.busy < location.slots:
            self.start(request, location)
        elif len(location.queue) < 4 * location.slots:
            location.queue.append(request)
        else:  # the queue is full
            self.leave(request)
            self.report(request, "full")
            self.end(request, "full")

    def start(self, request: Request, location: Location) -> None:
        location.busy += 1
        request.starts += 1
        location.started_at.append(self.now)
        incarnation, hop = location.incarnation, request.hops

        def done() -> None:
            if location.incarnation != incarnation:
                return
            location.busy -= 1
            while location.queue and location.busy < location.slots:
                following = location.queue.popleft()
                if following.at == location.name and not following.results:
                    self.start(following, location)
            here = request.hops == hop and request in request.gateway.open
            if here and self.reaches(request.gateway.zone, location.name):
                self.leave(request)
                self.report(request, "served")
                self.end(request, "served")

        self.at(self.now + request.work, done)

    def give_up(self, request: Request, hop: int) -> None:
        """A gateway retries a safe request elsewhere if the location does not respond; an unsafe one waits."""
        if request in request.gateway.open and request.hops == hop and request.safe:
            self.leave(request)
            self.report(request, "none")
            if request.hops < 2:
                self.retry(request)
            else:
                self.end(request, "gave up")

    def leave(self, request: Request) -> None:
        request.gateway.open.discard(request)

    def report(self, request: Request, outcome: str) -> None:
        gateway, latency = request.gateway, self.now - request.sent
        spill_request = self.spill_request(request)
        for spill in (self.holder if self.reaches(gateway.zone, self.holder_zone) else None, gateway.spill):
            if spill is not None:
                spill.record_end(request.ticket, request.at, spill_request, latency, outcome, WORK, self.now)

    def end(self, request: Request, result: str) -> None:
        if not request.results:
            request.results.append(result)
            self.leave(request)
        elif result != "deadline":
            request.results.append(result)

    # ---- faults

    def fail(self, name: str, power: bool = True) -> None:
        location = self.locations[name]
        location.dead, location.incarnation, location.busy = True, location.incarnation + 1, 0
        location.queue.clear()

    def heal(self, name: str) -> None:
        self.locations[name].dead = False

    def disconnect(self, zone: str) -> None:
        self.disconnected |= {frozenset((zone, other)) for other in self.locations if other != zone}

    def reconnect(self) -> None:
        self.disconnected.clear()

    # ---- checks

    def check(self) -> None:
        for request in self.requests:
            assert len(request.results) <= 1, request.results
            assert request.results or self.now - request.arrived_at <= DEADLINE
            assert request.safe is True or request.starts <= 1
            assert not (request.results == ["refused"] and request.starts)
        for location in self.locations.values():
            excess = self.max_excess(location)
            assert excess <= self.allowed_excess(location) + 1e-6, (
                location.name,
                excess,
                self.allowed_excess(location),
            )

    def limit(self, name: str) -> float:
        return max(chains.limits["s"][name] for _, chains in self.versions)

    def allowed_excess(self, location: Location) -> float:
        """Slot-seconds beyond the limit: the allowed queue, the saved capacity, and one request of each process that
        admits requests."""
        queue = TARGET / SECOND - 1.5 * WORK / SECOND + 0.1
        return self.limit(location.name) * queue + (1 + len(self.gateways)) * WORK / SECOND

    def max_excess(self, location: Location) -> float:
        """The most work beyond the limit that was admitted in any interval."""
        level, before, max_excess = 0.0, 0, 0.0
        for now, work, _ in location.admitted:
            level = max(0.0, level - self.limit(location.name) * (now - before) / SECOND) + work
            before, max_excess = now, max(max_excess, level)
        return max_excess
