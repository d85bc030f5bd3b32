"""Places that fail, in simulated time: a keeper and gateways by themselves, queues that are what they are, and a judge.

The judge is plain: at each place, in every span, no more work is let in than the limit brings and the queue that is
borne; an unsafe request begins at most once; what was refused never begins; each request ends once.
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
AIM = 900 * MS
DEADLINE = 3 * SECOND
HEARD, CUT = 900 * MS, SECOND  # as the gauge: who was heard this lately is reckoned with; who is cut off knows it later
LONG, LONG_GONE, FEW = 2 * SECOND, 3 * SECOND, 0.25
TOLD = 2 * SECOND


@dataclass
class Place:
    name: str
    slots: int
    dead: bool = False
    said: float = 1.0  # the slots that its beats tell of, for each that it has
    busy: int = 0
    life: int = 0
    queue: deque[Request] = field(default_factory=deque)
    let: list[tuple[int, float, str]] = field(default_factory=list)  # while load moves: when, work, what let it in
    began: list[int] = field(default_factory=list)


@dataclass(eq=False)
class Request:
    gateway: Gateway
    safe: bool
    rank: int
    tenant: str
    work: int
    came: int
    runs: int = 0
    hops: int = 0
    at: str = ""
    ticket: int = 0
    sent: int = 0
    ends: list[str] = field(default_factory=list)


@dataclass(eq=False)
class Gateway:
    name: str
    zone: str
    spill: SpillController
    chains: Chains
    contact: int
    closed: frozenset[str] = frozenset()
    told_at: int = -TOLD
    open: set[Request] = field(default_factory=set)


class Basin:
    def __init__(
        self,
        seed: int,
        zones: dict[str, str],
        slots: dict[str, int],
        load: float,
        gateways: int = 2,
        hot: float = 0.0,
        unsafe: float = 0.4,
        said: float = 1.0,
    ) -> None:
        """`load`: of all slots; `hot`: the share of one tenant; `said`: slots told for each that is there."""
        self.rng, self.now = random.Random(seed), 100 * SECOND
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = self._ticket = 0
        self.places = {name: Place(name, n, said=said) for name, n in slots.items()}
        self.hierarchy, self.hot, self.unsafe, self.load = build_hierarchy(zones, {}), hot, unsafe, load
        self.cuts: set[frozenset[str]] = set()  # of zones: nothing passes between them
        self.chains = self.planned(1)
        self.versions = [(self.now, self.chains)]
        self.gateways = [self._gateway(f"{zone}-{n}", zone) for zone in zones for n in range(gateways)]
        self.chains = self.planned(2)
        self.versions.append((self.now, self.chains))
        for gateway in self.gateways:
            gateway.spill.set_chains(self.chains)
            gateway.chains = self.chains
        self.keeper: SpillController | None = None
        self.keeper_zone = next(iter(zones))
        self.heard: dict[str, int] = {}
        self.elect()
        self.requests: list[Request] = []
        self.moved: list[tuple[int, int]] = []  # spans in which load moved
        self.missed: dict[str, set[str]] = {}  # place -> kinds that miss it
        self.at(self.now, self.look)
        for gateway in self.gateways:
            self.at(self.now, lambda g=gateway: self.arrive(g))  # type: ignore[misc]

    # ---- the plan

    def planned(self, version: int, before: tuple[Chains, ...] = ()) -> Chains:
        capacity = {(name, "s"): place.slots * place.said for name, place in self.places.items()}
        zones = list(self.hierarchy.paths)
        whole = sum(p.slots for p in self.places.values())
        loads = [Load(zone, "s", rank, self.load * whole / len(zones) / 2) for zone in zones for rank in (0, 2)]
        roster = [g.name for g in getattr(self, "gateways", [])]
        return plan_chains(version, self.hierarchy, capacity, loads, roster, before=before)

    def renew(self, within: int = 400 * MS) -> None:
        """A new version, which comes to each gateway at another time."""
        lately = tuple(chains for at, chains in self.versions if self.now - at < 10 * SECOND)
        self.chains = self.planned(self.chains.version + 1, lately[-2:])
        self.versions.append((self.now, self.chains))
        made = self.chains
        if self.keeper is not None:
            self.keeper.set_chains(made)
        for gateway in self.gateways:
            self.at(self.now + self.rng.randrange(within), lambda g=gateway: g.spill.set_chains(made))  # type: ignore[misc]

    def _gateway(self, name: str, zone: str) -> Gateway:
        gateway = Gateway(name, zone, None, self.chains, self.now)  # type: ignore[arg-type]
        gateway.spill = SpillController(
            "s",
            self.rng.random,
            usable_share=lambda: 0.0
            if self.now - gateway.contact < CUT
            else (1.0 if self.now - gateway.contact < LONG else FEW),
        )
        gateway.spill.set_chains(self.chains)
        return gateway

    # ---- the keeper

    def elect(self, zone: str | None = None) -> None:
        """Another keeper: it knows what is open nowhere, and whom it hears it has yet to learn."""
        self.keeper_zone = zone or self.keeper_zone
        self.heard, begun = {}, self.now
        self.turns: dict[str, list[tuple[int, EvacuationState]]] = {
            name: [] for name in self.places
        }  # as this one sees them
        self.keeper = SpillController(
            "s",
            self.rng.random,
            lambda place: frozenset(self.missed.get(place, set())),
            unreachable_shares=lambda may: sum(
                FEW if self.now - self.heard.get(g, begun) >= LONG_GONE else 1.0
                for g in may
                if self.now - self.heard.get(g, -HEARD) >= HEARD
            ),
        )
        self.keeper.set_chains(self.chains)
        near = [g for g in self.gateways if g.zone == self.keeper_zone and self.now - g.told_at < TOLD]
        if near:
            self.keeper.adopt_closed_zones(near[0].closed, self.now)

    def reaches(self, one: str, other: str) -> bool:
        return one == other or frozenset((one, other)) not in self.cuts

    # ---- time

    def at(self, due: int, call: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._heap, (due, self._order, call))

    def run(self, seconds: float) -> Basin:
        end = self.now + int(seconds * SECOND)
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = end
        return self

    def look(self) -> None:
        self.at(self.now + 100 * MS, self.look)
        spills = [g.spill for g in self.gateways] + ([self.keeper] if self.keeper is not None else [])
        if any(spill.is_active() for spill in spills):
            if self.moved and self.moved[-1][1] >= self.now - 100 * MS:
                self.moved[-1] = (self.moved[-1][0], self.now)
            else:
                self.moved.append((self.now, self.now))
        for name, turns in self.turns.items():
            evacuation = self.keeper.evacuations.get(name) if self.keeper is not None else None
            if evacuation is not None and (not turns or turns[-1][1] is not evacuation.state):
                turns.append((evacuation.state_since, evacuation.state))
        for gateway in self.gateways:  # it greets the keeper
            if self.keeper is not None and self.reaches(gateway.zone, self.keeper_zone):
                gateway.contact = self.heard[gateway.name] = self.now

    # ---- requests

    def arrive(self, gateway: Gateway) -> None:
        rate = self.load * sum(p.slots for p in self.places.values()) * SECOND / WORK / len(self.gateways)
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
        ask = self.asks(request)
        if self.keeper is not None and self.reaches(gateway.zone, self.keeper_zone):
            gateway.contact = self.heard[gateway.name] = self.now
            way = self.keeper.admit(ask, self.places, WORK, self.held, self.now)
            self.send(request, way, self.keeper)
            return self.told(gateway, self.keeper.closed_zones(gateway.name))
        if self.now - gateway.told_at < TOLD:
            gateway.spill.adopt_closed_zones(gateway.closed, self.now)
        way = gateway.spill.admit(ask, self.places, WORK, None, self.now)
        self.send(request, way, gateway.spill)

    def asks(self, request: Request) -> SpillRequest:
        return SpillRequest(
            request.gateway.name, request.gateway.zone, request.rank, request.tenant, request.safe, WORK / SECOND, AIM
        )

    def held(self) -> dict[str, tuple[int, float]]:
        return {name: (p.busy + len(p.queue), p.slots * p.said) for name, p in self.places.items()}

    def told(self, gateway: Gateway, closed: frozenset[str]) -> None:
        came, gateway.closed, gateway.told_at = closed - gateway.closed, closed, self.now
        for request in [r for r in gateway.open if r.at in came]:
            self.leave(request)
            self.learn(request, "lost")
            if request.safe and not request.ends and request.hops < 2:
                self.again(request)
            else:
                self.end(request, "502")

    def send(self, request: Request, way: object, spill: SpillController) -> None:
        if isinstance(way, SpillRejection):
            assert way.retry_after_us > 0
            return self.end(request, "refused")
        zones = getattr(way, "zones", None)
        moves = spill.is_active()
        up = [
            p
            for p in self.places.values()
            if (zones is None or p.name in zones) and (zones is not None or p.name not in request.gateway.closed)
        ] or list(self.places.values())
        best = min(up, key=lambda p: (p.busy + len(p.queue)) / p.slots + (p.name != request.gateway.zone) * 0.5)
        self._ticket += 1
        request.ticket = self._ticket
        spill.record_sent(best.name, self.asks(request), request.ticket, self.now + DEADLINE, self.now)
        if moves and spill.evacuations[best.name].state is not EvacuationState.PROBING:
            best.let.append((self.now, WORK / SECOND, "keeper" if spill is self.keeper else request.gateway.name))
        self.carry(request, best)

    def again(self, request: Request) -> None:
        up = [p for p in self.places.values() if p.name not in request.gateway.closed]
        request.ticket = 0
        self.carry(request, min(up, key=lambda p: (p.busy + len(p.queue)) / p.slots))

    def carry(self, request: Request, place: Place) -> None:
        request.at, request.sent, request.hops = place.name, self.now, request.hops + 1
        request.gateway.open.add(request)
        if place.dead or not self.reaches(request.gateway.zone, place.name):
            self.at(self.now + 700 * MS, lambda hop=request.hops: self.silent(request, hop))  # type: ignore[misc]
        elif place.busy < place.slots:
            self.begin(request, place)
        elif len(place.queue) < 4 * place.slots:
            place.queue.append(request)
        else:  # turned away
            self.leave(request)
            self.learn(request, "full")
            self.end(request, "full")

    def begin(self, request: Request, place: Place) -> None:
        place.busy += 1
        request.runs += 1
        place.began.append(self.now)
        life, hop = place.life, request.hops

        def done() -> None:
            if place.life != life:
                return
            place.busy -= 1
            while place.queue and place.busy < place.slots:
                following = place.queue.popleft()
                if following.at == place.name and not following.ends:
                    self.begin(following, place)
            here = request.hops == hop and request in request.gateway.open
            if here and self.reaches(request.gateway.zone, place.name):
                self.leave(request)
                self.learn(request, "served")
                self.end(request, "served")

        self.at(self.now + request.work, done)

    def silent(self, request: Request, hop: int) -> None:
        """The module moves a safe request off what is silent; an unsafe one waits."""
        if request in request.gateway.open and request.hops == hop and request.safe:
            self.leave(request)
            self.learn(request, "none")
            if request.hops < 2:
                self.again(request)
            else:
                self.end(request, "gave up")

    def leave(self, request: Request) -> None:
        request.gateway.open.discard(request)

    def learn(self, request: Request, outcome: str) -> None:
        gateway, latency = request.gateway, self.now - request.sent
        ask = self.asks(request)
        for spill in (self.keeper if self.reaches(gateway.zone, self.keeper_zone) else None, gateway.spill):
            if spill is not None:
                spill.record_end(request.ticket, request.at, ask, latency, outcome, WORK, self.now)

    def end(self, request: Request, how: str) -> None:
        if not request.ends:
            request.ends.append(how)
            self.leave(request)
        elif how != "deadline":
            request.ends.append(how)

    # ---- troubles

    def fail(self, name: str, power: bool = True) -> None:
        place = self.places[name]
        place.dead, place.life, place.busy = True, place.life + 1, 0
        place.queue.clear()

    def heal(self, name: str) -> None:
        self.places[name].dead = False

    def cut(self, zone: str) -> None:
        self.cuts |= {frozenset((zone, other)) for other in self.places if other != zone}

    def join(self) -> None:
        self.cuts.clear()

    # ---- the judge

    def judge(self) -> None:
        for request in self.requests:
            assert len(request.ends) <= 1, request.ends
            assert request.ends or self.now - request.came <= DEADLINE
            assert request.safe is True or request.runs <= 1
            assert not (request.ends == ["refused"] and request.runs)
        for place in self.places.values():
            over = self.most(place)
            assert over <= self.bound(place) + 1e-6, (place.name, over, self.bound(place))

    def limit(self, name: str) -> float:
        return max(chains.limits["s"][name] for _, chains in self.versions)

    def bound(self, place: Place) -> float:
        """Slot-seconds ahead of the limit: the queue that is borne, what was saved, and one request of each that may
        let one in."""
        queue = AIM / SECOND - 1.5 * WORK / SECOND + 0.1
        return self.limit(place.name) * queue + (1 + len(self.gateways)) * WORK / SECOND

    def most(self, place: Place) -> float:
        """The largest that any span let in beyond the limit."""
        level, before, most = 0.0, 0, 0.0
        for now, work, _ in place.let:
            level = max(0.0, level - self.limit(place.name) * (now - before) / SECOND) + work
            before, most = now, max(most, level)
        return most
