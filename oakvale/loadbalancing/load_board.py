"""The load board of a service: the open attempts at each of its backends, over all gateways, and each one's speed.

No I/O and no clock. A single gateway sees only a small part of a backend's load, so it asks the board holder before
each first attempt, which names the backend that will likely answer first. This is advice: a gateway sends only to
backends that its own state updates allow, and selects one itself when the holder does not respond. What one gateway
learns of a slow, full or failing backend helps all of them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from itertools import chain
from math import exp, sqrt
from operator import itemgetter

from oakvale.dissemination.tree import ring_position
from oakvale.loadbalancing.idle_timeout import IdleTimeoutEstimate
from oakvale.loadbalancing.route_latencies import RouteLatencies

SAMPLE_WEIGHT = 0.15  # of the newest sample in moving averages
FAILURE_DECAY_US = 30_000_000  # the failure rate decays by 1/e in this time, so that a failing backend is tried again
FAILURE_COST = 6.0  # a backend that fails all its attempts costs this much more
REMOTE_ZONE_COST = 1.4  # cross-zone traffic is paid for; still preferred to queueing
WARM_CONNECTION_COST = 0.7  # with an idle connection; a new one costs the backend work and a round trip
MAX_WARM_CONNECTIONS = 4  # remembered per gateway and backend
AFFINITY_WEIGHT = 0.4  # each gateway prefers some backends: it needs fewer connections, and they stay warm
DEFAULT_LATENCY_US = 300_000  # assumed before the first answer
DEFAULT_PAUSE_UNIT_US = 100_000  # of a backend that fails before the first answer
SUSPECT_LOSS_RATE = 0.5  # a gateway that loses a larger share, and twice that of the others, is itself at fault
MAX_GATEWAYS = 4_096  # whose losses are remembered
NEAR_CANDIDATES = 32  # backends in the cached order of each gateway
MAX_CACHED_ORDERS = 1_000  # gateways whose order is cached
MAX_PAUSE_STEPS = 4  # doublings of the pause of a backend that fails repeatedly


@dataclass(slots=True, frozen=True)
class BackendCandidate:
    """A backend that may be selected."""

    id: str
    zone: str
    slots: float
    warmup_us: int  # it is slow for this long from when it is first seen


@dataclass(slots=True)
class BackendLoad:
    """Open attempts and recent behaviour of one backend."""

    cold_until: int
    speed: float = 1.0  # its latency relative to the route's mean; lower is faster
    failure_rate: float = 0.0  # moving average of failed attempts, as of `failure_rate_at`
    failure_rate_at: int = 0
    failures: int = 0
    paused_until: int = 0
    open: dict[int, int] = field(default_factory=dict)  # ticket -> when it expires
    free_slot_tickets: set[int] = field(default_factory=set)  # of attempts without queueing: these measure the speed

    def current_failure_rate(self, now: int) -> float:
        return self.failure_rate * exp((self.failure_rate_at - now) / FAILURE_DECAY_US) if self.failure_rate else 0.0


RankedCandidate = tuple[float, BackendCandidate, BackendLoad]  # relative cost for one gateway, at least 1


@lru_cache(32768)
def affinity(gateway: str, backend: str) -> float:
    """0 to 1, by a hash of the two names."""
    return ring_position(f"{gateway} {backend}") / 2.0**64


class LoadBoard:
    """The load of one service's backends."""

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random
        self._loads: dict[str, BackendLoad] = {}
        self._latencies = RouteLatencies()
        self._ticket = 0
        self._candidates: Sequence[BackendCandidate] | None = None
        self._orders: dict[tuple[str, str], list[RankedCandidate]] = {}  # by gateway and its zone
        # gateway -> backend -> when its idle connections expire
        self._warm_connections: dict[str, dict[str, list[int]]] = {}
        self._min_speed = 1.0  # lower bound of the speeds
        self.idle_timeout = IdleTimeoutEstimate()
        self._losses: dict[str, float] = {}  # gateway -> moving average of its lost attempts
        self._loss_sum = 0.0  # sum of `_losses`

    def select(
        self,
        candidates: Sequence[BackendCandidate],
        gateway: str,
        zone: str,
        until: int,
        now: int,
        within: frozenset[str] | None = None,
        without: frozenset[str] = frozenset(),
    ) -> tuple[str, int] | None:
        """The backend that will likely answer first, and a ticket that `record_attempt` takes back. Candidates are
        examined in the gateway's order of preference until even the fastest idle backend could not cost less.
        `until`: when the ticket expires; `within`: allowed zones, None for all; `without`: excluded backends."""
        if candidates is not self._candidates:
            self._replace_candidates(candidates, now)
        near = self._orders.get((gateway, zone))
        if near is None:
            near = self._near_candidates(gateway, zone)
        fastest, best, found = sqrt(self._min_speed), 0.0, None
        kept = self._warm_connections.get(gateway, {})
        for preference, candidate, load in self._warm_candidates(kept, near, gateway, zone, now) if kept else ():
            if candidate.id in without or within is not None and candidate.zone not in within:
                continue
            cost = preference * self._cost(candidate, load, now)
            # a warm connection is not worth queueing
            if len(load.open) < candidate.slots and (found is None or cost < best):
                best, found = cost, (candidate, load)
        for preference, candidate, load in chain(near, self._far_candidates(gateway, zone)):
            if found is not None and preference * fastest >= best:
                break
            if candidate.id in without or within is not None and candidate.zone not in within:
                continue
            cost = preference * self._cost(candidate, load, now)
            if found is None or cost < best:
                best, found = cost, (candidate, load)
        if found is None:
            return None
        candidate, load = found
        if kept.get(candidate.id):
            kept[candidate.id].pop()
        self._ticket += 1
        if len(load.open) < candidate.slots:
            load.free_slot_tickets.add(self._ticket)
        load.open[self._ticket] = until
        return candidate.id, self._ticket

    # ---- queries of the spill controller (oakvale/failover)

    def typical_latency(self) -> int:
        """Mean latency of the slowest route, in microseconds."""
        return int(self._latencies.slowest() or DEFAULT_LATENCY_US)

    def request_cost(self, route: str) -> float:
        """Slot-seconds that a request of a route takes at a backend of mean speed."""
        return (self._latencies.mean(route) or self.typical_latency()) / 1_000_000

    def mark_suspect(self, names: Iterable[str], now: int) -> None:
        """The zone of these backends failed: they may be listed but dead, so restarted ones are preferred to them."""
        for name in names:
            if name in self._loads:
                self._loads[name].failure_rate, self._loads[name].failure_rate_at = 0.5, now

    def zone_load(self, candidates: Iterable[BackendCandidate]) -> dict[str, tuple[int, float]]:
        """Zone -> open attempts and slots."""
        found: dict[str, tuple[int, float]] = {}
        for candidate in candidates:
            load, (out, slots) = self._loads.get(candidate.id), found.get(candidate.zone, (0, 0.0))
            found[candidate.zone] = (out + (len(load.open) if load else 0), slots + candidate.slots)
        return found

    def zone_capacity(self, candidates: Iterable[BackendCandidate]) -> dict[str, float]:
        """Zone -> slots weighted by measured speed."""
        found: dict[str, float] = {}
        for candidate in candidates:
            load = self._loads.get(candidate.id)
            found[candidate.zone] = found.get(candidate.zone, 0.0) + candidate.slots / max(
                load.speed if load else 1.0, 0.1
            )
        return found

    def _replace_candidates(self, candidates: Sequence[BackendCandidate], now: int) -> None:
        """Replaces the set of candidates."""
        self._candidates = candidates
        self._loads = {
            candidate.id: self._loads.get(candidate.id) or BackendLoad(now + candidate.warmup_us)
            for candidate in candidates
        }
        self._orders.clear()
        self._min_speed = min((load.speed for load in self._loads.values()), default=1.0)

    def _warm_candidates(
        self, kept: dict[str, list[int]], near: list[RankedCandidate], gateway: str, zone: str, now: int
    ) -> list[RankedCandidate]:
        """The candidates that the gateway has an idle connection to."""
        for name in [name for name, until in kept.items() if not until or until[-1] <= now or name not in self._loads]:
            del kept[name]
        found = [entry for entry in near if entry[1].id in kept]
        if len(found) < len(kept):
            found = [entry for entry in self._ranked(gateway, zone) if entry[1].id in kept]
        return [(WARM_CONNECTION_COST * preference, candidate, load) for preference, candidate, load in found]

    def _ranked(self, gateway: str, zone: str) -> list[RankedCandidate]:
        ranked = [
            (
                (1 + AFFINITY_WEIGHT * affinity(gateway, candidate.id))
                * (REMOTE_ZONE_COST if candidate.zone != zone else 1.0),
                candidate,
                self._loads[candidate.id],
            )
            for candidate in self._candidates or ()
        ]
        ranked.sort(key=itemgetter(0))
        return ranked

    def _near_candidates(self, gateway: str, zone: str) -> list[RankedCandidate]:
        if len(self._orders) >= MAX_CACHED_ORDERS:
            self._orders.clear()
        ranked = self._orders[gateway, zone] = self._ranked(gateway, zone)[:NEAR_CANDIDATES]
        return ranked

    def _far_candidates(self, gateway: str, zone: str) -> Iterator[RankedCandidate]:
        """The candidates behind the cached ones; computed only when none of those will do."""
        if len(self._loads) > NEAR_CANDIDATES:
            yield from self._ranked(gateway, zone)[NEAR_CANDIDATES:]

    def _cost(self, candidate: BackendCandidate, load: BackendLoad, now: int) -> float:
        if load.open and min(load.open.values()) <= now:
            for ticket in [t for t, until in load.open.items() if until <= now]:
                del load.open[ticket]
                load.free_slot_tickets.discard(ticket)
        queue_length = max(0.0, len(load.open) + 1 - candidate.slots) / max(candidate.slots, 1.0)
        # a free slot matters most; among free ones speed counts by its square root
        cost = sqrt(load.speed) * (1 + 2 * queue_length) * (1 + FAILURE_COST * load.current_failure_rate(now))
        cost *= 2.0 if now < load.cold_until else 1.0
        cost += 100.0 if now < load.paused_until else 0.0  # chosen only if all others are paused too
        return cost * (1 + 0.02 * self._random())

    def record_attempt(
        self,
        name: str,
        ticket: int,
        route: str,
        latency: int,
        outcome: str,
        now: int,
        dropped: int = 0,
        gateway: str = "",
        kept: int = 0,
    ) -> None:
        """How an attempt ended: `served`, `error` (the backend's own failure), `full`, `lost`, or `none` (not made).
        `dropped`: microseconds that its connection had been idle, if that was reset by the first write; `kept`:
        microseconds for which the gateway keeps the connection open."""
        if kept:
            if len(self._warm_connections) >= MAX_GATEWAYS:
                self._warm_connections.clear()
            ends = self._warm_connections.setdefault(gateway, {}).setdefault(name, [])
            ends.append(now + kept)
            del ends[:-MAX_WARM_CONNECTIONS]
        trusted = outcome == "none" or self._trusts_report(gateway, outcome == "lost")
        load = self._loads.get(name)
        if load is None:
            return
        load.open.pop(ticket, None)
        had_free_slot = ticket in load.free_slot_tickets
        load.free_slot_tickets.discard(ticket)
        if dropped and had_free_slot:  # a full backend may also reset connections
            self.idle_timeout.record_loss(dropped, now)
        if outcome == "none" or outcome == "lost" and not trusted:
            return
        failed = outcome in ("lost", "full", "error")
        if outcome != "full":
            was = load.current_failure_rate(now)
            load.failure_rate, load.failure_rate_at = was + SAMPLE_WEIGHT * (failed - was), now
        if outcome == "served":
            load.failures = max(0, load.failures - 1)
            if had_free_slot:
                mean = self._latencies.record(route, latency, now)
                load.speed += SAMPLE_WEIGHT * (min(latency / max(mean, 1.0), 4.0) - load.speed)
                self._min_speed = min(self._min_speed, load.speed)
        elif outcome in ("lost", "full"):
            pause_unit = self._latencies.slowest() or DEFAULT_PAUSE_UNIT_US
            load.failures = min(load.failures + 1, MAX_PAUSE_STEPS)
            load.paused_until = now + int(pause_unit * 2 ** (load.failures - 3))

    def _trusts_report(self, gateway: str, lost: bool) -> bool:
        """Whether a gateway's losses are attributed to the backends. A gateway with a bad network link loses attempts
        everywhere, and would get every backend paused for all gateways."""
        if len(self._losses) >= MAX_GATEWAYS:
            self._losses.clear()
            self._loss_sum = 0.0
        was = self._losses.get(gateway, 0.0)
        own = self._losses[gateway] = was + SAMPLE_WEIGHT * (lost - was)
        self._loss_sum += own - was
        others = (self._loss_sum - own) / max(1, len(self._losses) - 1)
        return own < SUSPECT_LOSS_RATE or len(self._losses) < 2 or others > own / 2
