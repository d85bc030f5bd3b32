"""Crest: one service's places, as the keeper of its board or a gateway on its own sees and fills them.

No I/O and no clock; times are microseconds. While all places are open it counts what is asked and says nothing
else. Once one has failed, each request is let to the nearest places that have room for it, or refused at once with
a time to come back: the lowest rank first, and before it a tenant that alone takes more than all others.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from oakvale.failover.chains import Chains, Load
from oakvale.failover.evacuation import PROBE_INTERVAL_US, Evacuation, EvacuationState
from oakvale.failover.failure_detector import ANSWER_TIMEOUT_FACTOR, FailureDetector
from oakvale.failover.spill_limit import SECOND_US, SpillLimit, max_queue_wait_s

TICK = 50_000  # between two looks at the places
GIVEN_UP = 1.5  # usual times after which an attempt that was called off tells of its place
COLD = 2.5  # times as long as usual, that answers of a place may take while it comes back
CROWDED = 1.5  # open attempts for each slot, besides those that the weir lets wait: half as many again
SPREAD = 0.5  # seconds, or their aim, that those who are told to come back are spread over: they would come together
FLOW = 500_000  # between two notes of what goes where, while load moves
BUSIEST = 1.5
WHILE = 5_000_000  # a route that nobody asked for twice as long is reckoned with no longer
LEAST_WAIT = 50_000

Missing = Callable[[str], frozenset[str]]  # place -> kinds of observers, besides gateways, that miss it
Away = Callable[[frozenset[str]], float]  # of these gateways, even shares that some out of reach may use
Held = Callable[[], Mapping[str, tuple[int, float]]]  # place -> open attempts and slots of its backends


@dataclass(slots=True, frozen=True)
class SpillRequest:
    """A request's first attempt, as its gateway tells of it."""

    gateway: str
    home: str  # the gateway's zone
    rank: int = 0
    tenant: str = ""
    safe: bool = False
    cost: float = 0.0  # slot-seconds
    aim: int = 0  # microseconds


@dataclass(slots=True, frozen=True)
class AllowedZones:
    zones: frozenset[str] | None  # None: wherever it likes


@dataclass(slots=True, frozen=True)
class SpillRejection:
    """It is refused; it never ran."""

    retry_after_us: int


@dataclass(slots=True, frozen=True)
class Sent:
    zone: str
    ask: SpillRequest
    at: int
    until: int


def _nothing(_: str) -> frozenset[str]:
    return frozenset()


class SpillController:
    def __init__(
        self,
        service: str,
        draw: Callable[[], float],
        missing: Missing = _nothing,
        away: Away | None = None,
        cut: Callable[[], float] | None = None,
    ) -> None:
        """`away`: as the keeper. `cut`: as a gateway by itself; what it may use of its even share."""
        self.service, self._draw, self._missing = service, draw, missing
        self._away, self._cut = away, cut
        self.chains = Chains()
        self.failure_detector = FailureDetector()
        self.evacuations: dict[str, Evacuation] = {}
        self._weirs: dict[str, SpillLimit] = {}
        self._sent: dict[int, Sent] = {}
        self._tried: dict[str, int] = {}  # place -> ticket of the request that tries it
        self._ranks: list[int] = []
        # of tenants, in slot-seconds: this second's, and the last's
        self._used: tuple[dict[str, float], dict[str, float]] = ({}, {})
        self._used_at = self._ticked = 0
        self._asked: dict[tuple[str, int], float] = {}
        self._counted_at = 0
        self._gone = 0.0  # parts that gateways out of reach may use
        self._noted: dict[str, tuple[str, float]] = {}  # place -> its flow and share, as last told
        self._least = (0.0, 0.0)  # the least patience of requests, in seconds: of this while, of the last
        self._least_at = 0
        self._let: dict[str, float] = {}  # place -> slot-seconds that went there
        self._let_at = 0
        self.rejected_count = 0  # refused

    # ---- what is known

    def set_chains(self, chains: Chains) -> None:
        """Another version: what has been spent stays spent."""
        if chains.version >= self.chains.version:
            self.chains = chains

    def adopt_closed_zones(self, closed: Iterable[str], now: int) -> None:
        """Another's word, who sees more."""
        closed = set(closed)
        for zone in closed:
            evacuation = self.evacuations.setdefault(zone, Evacuation())
            if evacuation.state is not EvacuationState.EVACUATED:
                evacuation.record_failure(now)
        for zone, evacuation in self.evacuations.items():
            if zone not in closed and evacuation.state is not EvacuationState.IN_SERVICE:
                self.evacuations[zone] = Evacuation()

    def closed_zones(self, gateway: str) -> frozenset[str]:
        """What is out for a gateway: also a place that is tried, but for the gateway whose request tries it."""
        tries = {zone for zone, ticket in self._tried.items() if self._sent[ticket].ask.gateway == gateway}
        return frozenset(
            zone
            for zone, evacuation in self.evacuations.items()
            if evacuation.state is EvacuationState.EVACUATED
            or evacuation.state is EvacuationState.PROBING
            and zone not in tries
        )

    def take_flow(self, now: int) -> dict[str, str]:
        """Since the last call: place -> slots' worth of work that went there, of its limit."""
        span = max(1, now - self._let_at) / SECOND_US
        let, self._let, self._let_at = self._let, {}, now
        limits = self.chains.limits.get(self.service, {})
        return {zone: f"{let.get(zone, 0.0) / span:.2f}/{limit:.2f}" for zone, limit in sorted(limits.items())}

    def flow_log_due(self, now: int) -> bool:
        return self.is_active() and now - self._let_at >= FLOW

    def state_changes(self) -> list[tuple[str, str, float]]:
        """Places whose flow has changed since the last call: how they stand, and the share that they take."""
        now = {
            zone: (evacuation.state.value, evacuation.capacity_share())
            for zone, evacuation in self.evacuations.items()
            if evacuation.state is not EvacuationState.IN_SERVICE or zone in self._noted
        }
        told = [(zone, *state) for zone, state in now.items() if self._noted.get(zone) != state]
        self._noted = {zone: state for zone, state in now.items() if state[0] != EvacuationState.IN_SERVICE.value}
        return told

    def is_active(self) -> bool:
        """Some place is out, or on its way back."""
        return any(evacuation.state is not EvacuationState.IN_SERVICE for evacuation in self.evacuations.values())

    # ---- requests

    def admit(
        self, ask: SpillRequest, places: Iterable[str], usual: int, held: Held | None, now: int
    ) -> AllowedZones | SpillRejection:
        """`places`: the zones with backends that may be named; `usual`: microseconds that an answer takes."""
        places = set(places)
        self._count(ask, now)
        self._tick(places, usual, now)
        if not self.is_active():
            return AllowedZones(None)
        here = {zone: self.evacuations.setdefault(zone, Evacuation()) for zone in places}
        for zone, evacuation in here.items():
            tries = ask.safe or evacuation.probe_overdue(now) and "beats" not in self._missing(zone)
            if evacuation.state is EvacuationState.PROBING and tries and zone not in self._tried:
                return AllowedZones(frozenset({zone}))
        up = [
            zone
            for zone, evacuation in here.items()
            if evacuation.state in (EvacuationState.IN_SERVICE, EvacuationState.RAMPING_UP)
        ]
        if not up:
            return AllowedZones(None)  # nothing is better known than all being out
        may = self._bears(ask, now)
        crowd = self._crowded(held, usual, now)
        low, wait = self._low(ask), SECOND_US
        for tier in self._tiers(ask.home, up):
            passing = set()
            for zone in tier:
                weir = self._weir(zone, now)
                if weir is None or zone not in crowd and weir.admits(may, low, now):
                    passing.add(zone)
                elif weir.effective_limit() > 0:
                    wait = min(wait, weir.wait_us(may, low))
            fills = {zone for zone in passing if here[zone].state is EvacuationState.RAMPING_UP}
            if passing:  # what fills gets its step, or a cold place, next to others, would never stand one
                return AllowedZones(frozenset(fills or passing))
        self.rejected_count += 1
        return SpillRejection(max(LEAST_WAIT, wait) + int(max(SPREAD * SECOND_US, ask.aim) * self._draw()))

    def record_sent(self, zone: str, ask: SpillRequest, ticket: int, until: int, now: int) -> None:
        self.failure_detector.record_sent(zone, ask.gateway, ask.home, now)
        self._sent[ticket] = Sent(zone, ask, now, until)
        evacuation = self.evacuations.get(zone)
        if evacuation is not None and evacuation.state is EvacuationState.PROBING:
            self._tried[zone] = ticket
        self._spend(zone, ask.tenant, ask.cost, now)

    def record_end(
        self, ticket: int, zone: str, ask: SpillRequest, latency: int, outcome: str, usual: int, now: int
    ) -> None:
        """`ticket` 0: nobody asked here before that attempt; it weighs on the place all the same."""
        evacuation = self.evacuations.get(zone)
        known = self._sent.pop(ticket, None)
        if self._tried.get(zone) == ticket and known is not None:
            del self._tried[zone]
        slow = (
            COLD
            if evacuation is not None and evacuation.state in (EvacuationState.PROBING, EvacuationState.RAMPING_UP)
            else 1.0
        )
        if outcome == "none" and latency < GIVEN_UP * slow * usual:
            if known is not None and latency == 0:
                self._spend(zone, ask.tenant, -known.ask.cost, now)  # it was not made
            return
        if known is None:
            self._spend(zone, ask.tenant, ask.cost, now)
        if outcome == "full":
            weir = (
                self._weir(zone, now)
                if evacuation is not None and evacuation.state is EvacuationState.IN_SERVICE and self.is_active()
                else None
            )
            return weir.reduce_for_overload(now) if weir is not None else None
        served = outcome in ("served", "error")  # its own error is an answer
        if served:
            self.failure_detector.record_answer(zone, ask.gateway, ask.home, now)
        else:
            self.failure_detector.record_failure(zone, ask.gateway, ask.home, now - latency, now)
        lately = known is None or served or now - latency >= (evacuation.state_since if evacuation is not None else 0)
        if (
            evacuation is not None
            and evacuation.state in (EvacuationState.PROBING, EvacuationState.RAMPING_UP)
            and lately
        ):
            evacuation.record_result(served, now)

    def take_loads(self, now: int) -> list[Load]:
        """What was asked since the last report, in slots kept busy."""
        span = max(1, now - self._counted_at) / SECOND_US
        asked, self._asked, self._counted_at = self._asked, {}, now
        return [Load(home, self.service, rank, work / span) for (home, rank), work in sorted(asked.items())]

    # ---- inside

    def _count(self, ask: SpillRequest, now: int) -> None:
        if not self._counted_at:
            self._counted_at = now
        key = (ask.home, ask.rank)
        self._asked[key] = self._asked.get(key, 0.0) + ask.cost
        if ask.rank not in self._ranks:
            self._ranks = sorted([*self._ranks, ask.rank])

    def _tick(self, places: set[str], usual: int, now: int) -> None:
        if now - self._ticked < TICK:
            return
        self._ticked = now
        self._gone = self._away(self.chains.possible_roster) if self._away is not None else 0.0
        for ticket in [ticket for ticket, sent in self._sent.items() if sent.until <= now]:
            sent = self._sent.pop(ticket)  # it was never handed back
            if self._tried.get(sent.zone) == ticket:
                del self._tried[sent.zone]
        for zone, ticket in list(self._tried.items()):
            if now - self._sent[ticket].at >= max(ANSWER_TIMEOUT_FACTOR * COLD * usual, PROBE_INTERVAL_US):
                del self._tried[zone]
                self.evacuations[zone].record_result(False, now)
        for zone in [zone for zone in self.evacuations if zone not in places]:
            if self.evacuations[zone].state is not EvacuationState.EVACUATED:
                self.evacuations.pop(zone)  # it has no backend any more: the list says so
                self._tried.pop(zone, None)
        for zone in places:
            evacuation = self.evacuations.setdefault(zone, Evacuation(state_since=now))
            evacuation.tick("beats" not in self._missing(zone), now)
            others = [
                other
                for other in places
                if other != zone
                and self.evacuations.setdefault(other, Evacuation(state_since=now)).state
                is not EvacuationState.EVACUATED
            ]
            slow = COLD if evacuation.state is EvacuationState.RAMPING_UP else 1.0
            if (
                evacuation.state in (EvacuationState.IN_SERVICE, EvacuationState.RAMPING_UP)
                and others
                and self.failure_detector.has_failed(zone, int(slow * usual), self._missing(zone), now)
            ):
                evacuation.record_failure(now)
            if evacuation.state is EvacuationState.EVACUATED:
                self._weirs.pop(zone, None)  # what it was like before says nothing of what comes back
                self.failure_detector.reset(zone)
                self._tried.pop(zone, None)

    def _tiers(self, home: str, zones: Iterable[str]) -> list[list[str]]:
        """Within a region a free slot next door is better than a wait at home; beyond, the nearest first."""
        hierarchy = self.chains.hierarchy
        tiers = hierarchy.tiers(home, zones)
        near = [zone for tier in tiers for zone in tier if hierarchy.distance(home, zone) <= 1]
        return ([near] if near else []) + [tier for tier in tiers if hierarchy.distance(home, tier[0]) > 1]

    def _weir(self, zone: str, now: int) -> SpillLimit | None:
        """None: nothing is known of what it holds."""
        limit = self._limit(zone)
        if limit is None:
            return None
        weir = self._weirs.get(zone)
        if weir is None:
            weir = self._weirs[zone] = SpillLimit(now)
        evacuation = self.evacuations.get(zone)
        weir.refill(now)
        weir.limit = limit * (evacuation.capacity_share() if evacuation is not None else 1.0)
        weir.level = min(weir.level, weir.max_level())
        return weir

    def _limit(self, zone: str) -> float | None:
        chains, service = self.chains, self.service
        if zone not in chains.limits.get(service, {}):
            return None
        if self._away is not None:
            return max(
                0.0, chains.holder_share[service][zone] - self._gone * chains.max_autonomous_share[service][zone]
            )
        part = self._cut() if self._cut is not None else 0.0
        return chains.reserved_share[service][zone] + part * chains.autonomous_share[service][zone]

    def _crowded(self, held: Held | None, usual: int, now: int) -> set[str]:
        most = CROWDED + min(x for x in self._least if x) * SECOND_US / max(usual, 1) if any(self._least) else CROWDED
        up = {zone for zone, evacuation in self.evacuations.items() if evacuation.state is EvacuationState.IN_SERVICE}
        there = held() if held is not None else {}
        found = {zone for zone, (out, slots) in there.items() if zone in up and out > most * slots + 1}
        for zone in found:
            weir = self._weir(zone, now)
            if weir is not None:
                weir.reduce_for_overload(now)
        return found

    def _spend(self, zone: str, tenant: str, cost: float, now: int) -> None:
        self._let[zone] = self._let.get(zone, 0.0) + cost
        if not self.is_active():
            return
        weir = self._weir(zone, now)
        if weir is not None:
            weir.consume(cost)
        if now - self._used_at >= SECOND_US:
            self._used = ({}, self._used[0] if now - self._used_at < 2 * SECOND_US else {})
            self._used_at = now
        self._used[0][tenant] = self._used[0].get(tenant, 0.0) + cost

    def _bears(self, ask: SpillRequest, now: int) -> float:
        """Seconds of queue for all alike: who bears more would fill it, and who bears less never get in."""
        if now - self._least_at >= WHILE:
            self._least, self._least_at = (0.0, self._least[0]), now
        may = max(max_queue_wait_s(ask.aim, ask.cost), 0.001)
        self._least = (min(self._least[0] or may, may), self._least[1])
        return min(x for x in self._least if x)

    def _low(self, ask: SpillRequest) -> float:
        """0 for the highest rank, 1 for the lowest, and more for a tenant that takes more than all others."""
        last = len(self._ranks) - 1
        low = self._ranks.index(ask.rank) / last if last > 0 else 0.0
        sums = [sum(used.values()) for used in self._used]
        own = sum(used.get(ask.tenant, 0.0) for used in self._used)
        return BUSIEST if ask.tenant and 2 * own > sum(sums) else low
