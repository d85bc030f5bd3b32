"""Directs the load of one service to its locations, on the board holder or on a gateway that acts alone.

No I/O and no clock; times are in microseconds. While all locations are in service, it only counts the load. After one
has failed, each request may go to the nearest locations with capacity, or is refused at once with a time to retry:
first those of a tenant that alone uses more than all others, then those of the lowest rank.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from oakvale.failover.chains import Chains, Load
from oakvale.failover.evacuation import PROBE_INTERVAL_US, Evacuation, EvacuationState
from oakvale.failover.failure_detector import ANSWER_TIMEOUT_FACTOR, FailureDetector
from oakvale.failover.spill_limit import SECOND_US, SpillLimit, max_queue_wait_s

TICK_INTERVAL_US = 50_000
GIVEN_UP_FACTOR = 1.5  # times the typical latency after which a cancelled attempt counts as a failure
COLD_LATENCY_FACTOR = 2.5  # times the typical latency that a returning location may take
OVERLOAD_ATTEMPTS_PER_SLOT = 1.5  # open attempts, besides those that the limit lets wait: half as many again
MIN_RETRY_SPREAD_S = 0.5  # spreads the retries of refused requests, which would otherwise arrive together
FLOW_LOG_INTERVAL_US = 500_000
BUSIEST_TENANT_POSITION = 1.5  # beyond 1, the position of the lowest rank
QUEUE_WAIT_PERIOD_US = 5_000_000  # a route without requests for two periods no longer counts
MIN_RETRY_DELAY_US = 50_000

MissingObservers = Callable[[str], frozenset[str]]  # location -> kinds of observers, besides gateways, that miss it
UnreachableShares = Callable[[frozenset[str]], float]  # gateways -> how many autonomous shares unreachable ones may use
OpenAttempts = Callable[[], Mapping[str, tuple[int, float]]]  # location -> (open attempts, slots of its backends)


@dataclass(slots=True, frozen=True)
class SpillRequest:
    """The first attempt of a request, as reported by its gateway."""

    gateway: str
    home: str  # the gateway's zone
    rank: int = 0
    tenant: str = ""
    safe: bool = False  # may be sent a second time
    cost: float = 0.0  # slot-seconds
    target_us: int = 0  # latency target


@dataclass(slots=True, frozen=True)
class AllowedZones:
    """The request may be sent to these zones."""

    zones: frozenset[str] | None  # None: all zones


@dataclass(slots=True, frozen=True)
class SpillRejection:
    """The request is refused and was not sent anywhere."""

    retry_after_us: int


@dataclass(slots=True, frozen=True)
class SentAttempt:
    """An attempt without a known result; it is dropped after `until`."""

    zone: str
    request: SpillRequest
    at: int
    until: int


def _no_observers(_: str) -> frozenset[str]:
    return frozenset()


class SpillController:
    """One service with all its locations."""

    def __init__(
        self,
        service: str,
        draw: Callable[[], float],
        missing_observers: MissingObservers = _no_observers,
        unreachable_shares: UnreachableShares | None = None,
        usable_share: Callable[[], float] | None = None,
    ) -> None:
        """`draw` returns a random number below 1. The board holder passes `unreachable_shares`; a gateway that acts
        alone passes `usable_share`, the part of its autonomous share that it may use."""
        self.service, self._draw, self._missing_observers = service, draw, missing_observers
        self._unreachable_shares, self._usable_share = unreachable_shares, usable_share
        self.chains = Chains()
        self.failure_detector = FailureDetector()
        self.evacuations: dict[str, Evacuation] = {}
        self._limiters: dict[str, SpillLimit] = {}
        self._open: dict[int, SentAttempt] = {}
        self._probes: dict[str, int] = {}  # location -> ticket of the request that probes it
        self._ranks: list[int] = []
        # slot-seconds of each tenant: in this second, in the one before
        self._tenant_use: tuple[dict[str, float], dict[str, float]] = ({}, {})
        self._tenant_use_since = self._ticked_at = 0
        self._demand: dict[tuple[str, int], float] = {}
        self._demand_since = 0
        self._shares_given_up = 0.0  # autonomous shares that unreachable gateways may use
        self._logged_states: dict[str, tuple[str, float]] = {}  # location -> state and share, as last logged
        self._shortest_wait = (0.0, 0.0)  # shortest acceptable queue wait in seconds: of this period, of the last
        self._shortest_wait_since = 0
        self._admitted: dict[str, float] = {}  # location -> slot-seconds sent there
        self._admitted_since = 0
        self.rejected_count = 0

    # ---- state

    def set_chains(self, chains: Chains) -> None:
        """Takes another version; older ones are ignored. The levels of the limits are kept."""
        if chains.version >= self.chains.version:
            self.chains = chains

    def adopt_closed_zones(self, closed: Iterable[str], now: int) -> None:
        """Takes the closed zones from an instance that knows more."""
        closed = set(closed)
        for zone in closed:
            evacuation = self.evacuations.setdefault(zone, Evacuation())
            if evacuation.state is not EvacuationState.EVACUATED:
                evacuation.record_failure(now)
        for zone, evacuation in self.evacuations.items():
            if zone not in closed and evacuation.state is not EvacuationState.IN_SERVICE:
                self.evacuations[zone] = Evacuation()

    def closed_zones(self, gateway: str) -> frozenset[str]:
        """The zones that a gateway must not use: evacuated ones, and those that a request of another gateway probes."""
        probed_by_gateway = {
            zone for zone, ticket in self._probes.items() if self._open[ticket].request.gateway == gateway
        }
        return frozenset(
            zone
            for zone, evacuation in self.evacuations.items()
            if evacuation.state is EvacuationState.EVACUATED
            or evacuation.state is EvacuationState.PROBING
            and zone not in probed_by_gateway
        )

    def take_flow(self, now: int) -> dict[str, str]:
        """The load since the last call: location -> slots used, of its limit."""
        elapsed_s = max(1, now - self._admitted_since) / SECOND_US
        admitted, self._admitted, self._admitted_since = self._admitted, {}, now
        limits = self.chains.limits.get(self.service, {})
        return {
            zone: f"{admitted.get(zone, 0.0) / elapsed_s:.2f}/{limit:.2f}" for zone, limit in sorted(limits.items())
        }

    def flow_log_due(self, now: int) -> bool:
        """Whether the load is to be logged, which is done regularly while `is_active`."""
        return self.is_active() and now - self._admitted_since >= FLOW_LOG_INTERVAL_US

    def state_changes(self) -> list[tuple[str, str, float]]:
        """Locations whose state has changed since the last call, with state and capacity share."""
        current = {
            zone: (evacuation.state.value, evacuation.capacity_share())
            for zone, evacuation in self.evacuations.items()
            if evacuation.state is not EvacuationState.IN_SERVICE or zone in self._logged_states
        }
        changes = [(zone, *state) for zone, state in current.items() if self._logged_states.get(zone) != state]
        self._logged_states = {
            zone: state for zone, state in current.items() if state[0] != EvacuationState.IN_SERVICE.value
        }
        return changes

    def is_active(self) -> bool:
        """Whether any location is not fully in service."""
        return any(evacuation.state is not EvacuationState.IN_SERVICE for evacuation in self.evacuations.values())

    # ---- requests

    def admit(
        self,
        request: SpillRequest,
        zones: Iterable[str],
        typical_latency: int,
        open_attempts: OpenAttempts | None,
        now: int,
    ) -> AllowedZones | SpillRejection:
        """Decides where a request may go. `zones`: those with usable backends; `typical_latency`: in microseconds;
        `open_attempts`: None if unknown."""
        zones = set(zones)
        self._count_demand(request, now)
        self._tick(zones, typical_latency, now)
        if not self.is_active():
            return AllowedZones(None)
        evacuations = {zone: self.evacuations.setdefault(zone, Evacuation()) for zone in zones}
        for zone, evacuation in evacuations.items():
            may_probe = request.safe or evacuation.probe_overdue(now) and "beats" not in self._missing_observers(zone)
            if evacuation.state is EvacuationState.PROBING and may_probe and zone not in self._probes:
                return AllowedZones(frozenset({zone}))
        usable = [
            zone
            for zone, evacuation in evacuations.items()
            if evacuation.state in (EvacuationState.IN_SERVICE, EvacuationState.RAMPING_UP)
        ]
        if not usable:
            return AllowedZones(None)  # with all zones out, none is better than another
        max_wait_s = self._common_queue_wait_s(request, now)
        overloaded = self._overloaded_zones(open_attempts, typical_latency, now)
        rank_position, delay_us = self._rank_position(request), SECOND_US
        for tier in self._preferred_tiers(request.home, usable):
            admitting = set()
            for zone in tier:
                limiter = self._zone_limiter(zone, now)
                if limiter is None or zone not in overloaded and limiter.admits(max_wait_s, rank_position, now):
                    admitting.add(zone)
                elif limiter.effective_limit() > 0:
                    delay_us = min(delay_us, limiter.wait_us(max_wait_s, rank_position))
            ramping_up = {zone for zone in admitting if evacuations[zone].state is EvacuationState.RAMPING_UP}
            # returning zones come first: next to warm zones they would get too little load to complete a step
            if admitting:
                return AllowedZones(frozenset(ramping_up or admitting))
        self.rejected_count += 1
        return SpillRejection(
            max(MIN_RETRY_DELAY_US, delay_us)
            + int(max(MIN_RETRY_SPREAD_S * SECOND_US, request.target_us) * self._draw())
        )

    def record_sent(self, zone: str, request: SpillRequest, ticket: int, until: int, now: int) -> None:
        """Records that an attempt was sent; `until`: when it ends at the latest."""
        self.failure_detector.record_sent(zone, request.gateway, request.home, now)
        self._open[ticket] = SentAttempt(zone, request, now, until)
        evacuation = self.evacuations.get(zone)
        if evacuation is not None and evacuation.state is EvacuationState.PROBING:
            self._probes[zone] = ticket
        self._consume(zone, request.tenant, request.cost, now)

    def record_end(
        self, ticket: int, zone: str, request: SpillRequest, latency: int, outcome: str, typical_latency: int, now: int
    ) -> None:
        """Records the result of an attempt. `ticket` 0: the attempt was not admitted here, but still uses the zone."""
        evacuation = self.evacuations.get(zone)
        sent = self._open.pop(ticket, None)
        if self._probes.get(zone) == ticket and sent is not None:
            del self._probes[zone]
        latency_factor = (
            COLD_LATENCY_FACTOR
            if evacuation is not None and evacuation.state in (EvacuationState.PROBING, EvacuationState.RAMPING_UP)
            else 1.0
        )
        if outcome == "none" and latency < GIVEN_UP_FACTOR * latency_factor * typical_latency:
            if sent is not None and latency == 0:
                self._consume(zone, request.tenant, -sent.request.cost, now)  # it was not sent
            return
        if sent is None:
            self._consume(zone, request.tenant, request.cost, now)
        if outcome == "full":
            limiter = (
                self._zone_limiter(zone, now)
                if evacuation is not None and evacuation.state is EvacuationState.IN_SERVICE and self.is_active()
                else None
            )
            return limiter.reduce_for_overload(now) if limiter is not None else None
        answered = outcome in ("served", "error")  # an error response of the backend is a response
        if answered:
            self.failure_detector.record_answer(zone, request.gateway, request.home, now)
        else:
            self.failure_detector.record_failure(zone, request.gateway, request.home, now - latency, now)
        in_current_state = (
            sent is None or answered or now - latency >= (evacuation.state_since if evacuation is not None else 0)
        )
        if (
            evacuation is not None
            and evacuation.state in (EvacuationState.PROBING, EvacuationState.RAMPING_UP)
            and in_current_state
        ):
            evacuation.record_result(answered, now)

    def take_loads(self, now: int) -> list[Load]:
        """The load since the last call, in slots kept busy."""
        elapsed_s = max(1, now - self._demand_since) / SECOND_US
        demand, self._demand, self._demand_since = self._demand, {}, now
        return [Load(home, self.service, rank, work / elapsed_s) for (home, rank), work in sorted(demand.items())]

    # ---- internals

    def _count_demand(self, request: SpillRequest, now: int) -> None:
        if not self._demand_since:
            self._demand_since = now
        key = (request.home, request.rank)
        self._demand[key] = self._demand.get(key, 0.0) + request.cost
        if request.rank not in self._ranks:
            self._ranks = sorted([*self._ranks, request.rank])

    def _tick(self, zones: set[str], typical_latency: int, now: int) -> None:
        if now - self._ticked_at < TICK_INTERVAL_US:
            return
        self._ticked_at = now
        self._shares_given_up = (
            self._unreachable_shares(self.chains.possible_roster) if self._unreachable_shares is not None else 0.0
        )
        for ticket in [ticket for ticket, sent in self._open.items() if sent.until <= now]:
            sent = self._open.pop(ticket)  # its result was never reported
            if self._probes.get(sent.zone) == ticket:
                del self._probes[sent.zone]
        for zone, ticket in list(self._probes.items()):
            if now - self._open[ticket].at >= max(
                ANSWER_TIMEOUT_FACTOR * COLD_LATENCY_FACTOR * typical_latency, PROBE_INTERVAL_US
            ):
                del self._probes[zone]
                self.evacuations[zone].record_result(False, now)
        for zone in [zone for zone in self.evacuations if zone not in zones]:
            if self.evacuations[zone].state is not EvacuationState.EVACUATED:
                self.evacuations.pop(zone)  # it has no backends any more
                self._probes.pop(zone, None)
        for zone in zones:
            evacuation = self.evacuations.setdefault(zone, Evacuation(state_since=now))
            evacuation.tick("beats" not in self._missing_observers(zone), now)
            other_zones = [
                other_zone
                for other_zone in zones
                if other_zone != zone
                and self.evacuations.setdefault(other_zone, Evacuation(state_since=now)).state
                is not EvacuationState.EVACUATED
            ]
            latency_factor = COLD_LATENCY_FACTOR if evacuation.state is EvacuationState.RAMPING_UP else 1.0
            if (
                evacuation.state in (EvacuationState.IN_SERVICE, EvacuationState.RAMPING_UP)
                and other_zones
                and self.failure_detector.has_failed(
                    zone, int(latency_factor * typical_latency), self._missing_observers(zone), now
                )
            ):
                evacuation.record_failure(now)
            if evacuation.state is EvacuationState.EVACUATED:
                self._limiters.pop(zone, None)  # earlier observations do not apply to its return
                self.failure_detector.reset(zone)
                self._probes.pop(zone, None)

    def _preferred_tiers(self, home: str, zones: Iterable[str]) -> list[list[str]]:
        """First all zones of the region, as a free slot nearby is better than a wait at home; then by distance."""
        hierarchy = self.chains.hierarchy
        tiers = hierarchy.tiers(home, zones)
        nearby = [zone for tier in tiers for zone in tier if hierarchy.distance(home, zone) <= 1]
        return ([nearby] if nearby else []) + [tier for tier in tiers if hierarchy.distance(home, tier[0]) > 1]

    def _zone_limiter(self, zone: str, now: int) -> SpillLimit | None:
        """The limiter of a zone, up to date; None if its limit is unknown."""
        limit = self._zone_limit(zone)
        if limit is None:
            return None
        limiter = self._limiters.get(zone)
        if limiter is None:
            limiter = self._limiters[zone] = SpillLimit(now)
        evacuation = self.evacuations.get(zone)
        limiter.refill(now)
        limiter.limit = limit * (evacuation.capacity_share() if evacuation is not None else 1.0)
        limiter.level = min(limiter.level, limiter.max_level())
        return limiter

    def _zone_limit(self, zone: str) -> float | None:
        chains, service = self.chains, self.service
        if zone not in chains.limits.get(service, {}):
            return None
        if self._unreachable_shares is not None:
            return max(
                0.0,
                chains.holder_share[service][zone] - self._shares_given_up * chains.max_autonomous_share[service][zone],
            )
        usable = self._usable_share() if self._usable_share is not None else 0.0
        return chains.reserved_share[service][zone] + usable * chains.autonomous_share[service][zone]

    def _overloaded_zones(self, open_attempts: OpenAttempts | None, typical_latency: int, now: int) -> set[str]:
        max_per_slot = (
            OVERLOAD_ATTEMPTS_PER_SLOT + min(x for x in self._shortest_wait if x) * SECOND_US / max(typical_latency, 1)
            if any(self._shortest_wait)
            else OVERLOAD_ATTEMPTS_PER_SLOT
        )
        in_service = {
            zone for zone, evacuation in self.evacuations.items() if evacuation.state is EvacuationState.IN_SERVICE
        }
        attempts = open_attempts() if open_attempts is not None else {}
        overloaded = {
            zone
            for zone, (open_count, slots) in attempts.items()
            if zone in in_service and open_count > max_per_slot * slots + 1
        }
        for zone in overloaded:
            limiter = self._zone_limiter(zone, now)
            if limiter is not None:
                limiter.reduce_for_overload(now)
        return overloaded

    def _consume(self, zone: str, tenant: str, cost: float, now: int) -> None:
        self._admitted[zone] = self._admitted.get(zone, 0.0) + cost
        if not self.is_active():
            return
        limiter = self._zone_limiter(zone, now)
        if limiter is not None:
            limiter.consume(cost)
        if now - self._tenant_use_since >= SECOND_US:
            self._tenant_use = ({}, self._tenant_use[0] if now - self._tenant_use_since < 2 * SECOND_US else {})
            self._tenant_use_since = now
        self._tenant_use[0][tenant] = self._tenant_use[0].get(tenant, 0.0) + cost

    def _common_queue_wait_s(self, request: SpillRequest, now: int) -> float:
        """The queue wait in seconds that is allowed to all requests alike. Otherwise requests with long targets would
        fill the queue, and those with short ones would never be admitted."""
        if now - self._shortest_wait_since >= QUEUE_WAIT_PERIOD_US:
            self._shortest_wait, self._shortest_wait_since = (0.0, self._shortest_wait[0]), now
        max_wait_s = max(max_queue_wait_s(request.target_us, request.cost), 0.001)
        self._shortest_wait = (min(self._shortest_wait[0] or max_wait_s, max_wait_s), self._shortest_wait[1])
        return min(x for x in self._shortest_wait if x)

    def _rank_position(self, request: SpillRequest) -> float:
        """0 for the highest rank, 1 for the lowest, and more for a tenant that uses more than all others together."""
        lowest = len(self._ranks) - 1
        position = self._ranks.index(request.rank) / lowest if lowest > 0 else 0.0
        sums = [sum(used.values()) for used in self._tenant_use]
        own = sum(used.get(request.tenant, 0.0) for used in self._tenant_use)
        return BUSIEST_TENANT_POSITION if request.tenant and 2 * own > sum(sums) else position
