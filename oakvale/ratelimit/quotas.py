"""Leaky-bucket counters of the tenants' quotas, and what a gateway passes without a counter.

No I/O and no clock. A tenant's level rises by one with each request and falls at the quota's rate; a request passes
while the level stays within the burst, so that the quota holds in every sliding window. A gateway that has not reached
the counter for a while passes an even share of the quota locally, and the counter, which misses it for as long, lowers
its own rate and burst by that share. A small part of the tolerated excess lets the level exceed the burst, so that a
request delayed on its way is not refused; half of it may pass locally before a gateway counts as absent.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from oakvale.ratelimit.counter_state import CounterState

SECOND = 1_000_000
OVER_BURST_SLACK_SHARE = 0.15  # of the tolerated excess: how far the level may exceed the burst
LOCAL_SLACK_SHARE = 0.5  # of the tolerated excess: for all gateways without a counter together
LOCAL_BURST_SHARE = 0.4  # of that, what may pass at once; the rest accrues over a window
START_SLACK_SHARE = 0.35  # of the tolerated excess: for a new counter, as all clients return at once after an outage
FIRST_TRY_RESERVE = 2.0  # requests; room below the limit that retries leave to first tries
MAX_ABSENCES = 32  # changes of the reachable share that a counter remembers
MAX_WAIT_US = SECOND  # DESIGN: a refusal names the remaining time of the window, at most a second


@dataclass(slots=True, frozen=True)
class Quota:
    """A tenant's requests per second and burst; without a rate there is no limit."""

    rate: float = 0.0
    burst: float = 0.0


@dataclass(slots=True, frozen=True)
class QuotaTerms:
    """How quotas are judged: in each sliding window, with a tolerated share and number of requests above them."""

    window_us: int = 5 * SECOND
    excess: float = 0.0
    slack: float = 0.0

    def spare(self, quota: Quota) -> float:
        """The tolerated excess: requests in a window above the quota that are no violation."""
        return self.excess * (quota.rate * self.window_us / SECOND + quota.burst) + self.slack


@dataclass(slots=True, frozen=True)
class CountDecision:
    """Whether a request passes, and the tenant's level after it."""

    passes: bool
    level: float
    wait_us: int  # until another request would pass
    counted_at: int = 0  # by the counter's leak clock


class QuotaCounter:
    """The counter of some tenants. A new counter takes unknown usage for a full burst, as its predecessor may have
    passed that much. It leaks at the quota's rate, so tenants that keep to their quota are hardly affected.

    `_clock` advances at the rate at which usage leaks: while some gateways are unreachable, their share of the rate is
    theirs, and so is that share of the burst, which they may have used by the time they are reachable again."""

    def __init__(self, terms: QuotaTerms, now: int) -> None:
        self._terms = terms
        self._updated_at, self._clock, self._reachable_share = now, 0.0, 1.0
        self._unknown_since = 0.0  # by `_clock`: when unknown usage was taken for a full burst
        self._absences: list[tuple[float, float]] = []  # unreachable shares, and `_clock` at their end
        self._levels: dict[str, tuple[float, float]] = {}  # tenant -> level, and `_clock` then
        self._uncounted: dict[str, float] = {}
        # tenant -> `_clock`, rounded up, when a request last found a level below one
        self._last_low: dict[str, int] = {}
        self._retry_times: dict[str, int] = {}  # tenant -> retry time of the latest refused request
        self.floors = 0.0  # DESIGN: sum of the quotas of the tenants counted
        self.served = 0

    def bound_unknown_usage(self, at: int) -> None:
        """All gateways have reported their readings, and none started after `at`: unknown usage can only be older than
        that."""
        self._unknown_since = min(self._unknown_since, float(at - self._updated_at))

    def merge_reading(self, tenant: str, level: float, uncounted: float, now: int) -> None:
        """Merges a gateway's last reading, aged to now, of which the highest counts, and the requests that it passed
        uncounted since, which add up."""
        self.set_reachable_share(self._reachable_share, now)
        known = self._levels.get(tenant)
        aged = max(level, known[0]) if known else level
        self._levels[tenant] = (aged, self._clock)
        self._uncounted[tenant] = self._uncounted.get(tenant, 0.0) + uncounted

    def export_state(self, quota_of: Callable[[str], Quota], stamp_ages: dict[str, int], now: int) -> CounterState:
        """What a successor needs to continue counting; `stamp_ages` is passed through."""
        levels = {tenant: self.level(tenant, quota_of(tenant), now) for tenant in list(self._levels)}
        return CounterState(
            {tenant: level for tenant, level in levels.items() if level > 0},
            max(0, int(self._clock - self._unknown_since)),
            tuple((share, int(self._clock - ended)) for share, ended in self._absences),
            stamp_ages,
        )

    def import_state(self, state: CounterState, now: int) -> None:
        """Continues from the state of the former counter, which was read at `now` or before."""
        self.set_reachable_share(self._reachable_share, now)
        for tenant, level in state.levels.items():
            known = self._levels.get(tenant, (0.0, 0.0))[0]
            self._levels[tenant] = (max(level, known), self._clock)
        self._unknown_since = min(self._unknown_since, self._clock - state.unknown_age)
        self._absences = [*self._absences, *((share, self._clock - age) for share, age in state.absences)][
            -MAX_ABSENCES:
        ]

    def set_reachable_share(self, present: float, now: int) -> None:
        """`present`: the share of gateways that reach this counter; the others use their share of the quota locally."""
        self._clock += self._reachable_share * (now - self._updated_at)
        self._updated_at = now
        if present > self._reachable_share:
            self._absences = [*self._absences[1 - MAX_ABSENCES :], (1 - self._reachable_share, self._clock)]
        self._reachable_share = present

    def level(self, tenant: str, quota: Quota, now: int) -> float:
        self.set_reachable_share(self._reachable_share, now)
        rate, burst, clock = quota.rate / SECOND, quota.burst, self._clock
        unknown = burst - START_SLACK_SHARE * self._terms.spare(quota)
        found = [burst * (1 - self._reachable_share), unknown - rate * (clock - self._unknown_since)]
        found += [burst * absent - rate * (clock - ended) for absent, ended in self._absences]
        if tenant in self._levels:
            level, at = self._levels[tenant]
            found.append(level - rate * (clock - at))
        uncounted = self._uncounted.pop(tenant, 0.0)
        level = max(found)
        if uncounted:
            level = max(level, min(level + uncounted, self._level_limit(quota)))
            self._levels[tenant] = (level, clock)
        return level

    def _level_limit(self, quota: Quota) -> float:
        return max(1.0, quota.burst) + OVER_BURST_SLACK_SHARE * self._terms.spare(quota)

    def count_request(self, tenant: str, quota: Quota, again: bool, now: int) -> CountDecision:
        """Counts a request if the quota has room. A retry (`again`) leaves `FIRST_TRY_RESERVE` to first tries, so that
        frequent retries gain nothing."""
        if quota.rate <= 0:
            return CountDecision(True, 0.0, 0)
        if tenant not in self._levels:
            self.floors += quota.rate + quota.burst
        level, limit = self.level(tenant, quota, now), self._level_limit(quota)
        reserve = min(FIRST_TRY_RESERVE, limit / 4)
        if level + 1 <= limit - (reserve if again else 0.0):
            if level < 1:
                self._last_low[tenant] = int(self._clock) + 1
            self._levels[tenant] = (level + 1, self._clock)
            self.served += 1
            return CountDecision(True, level + 1, 0, int(self._clock) + 1)
        self._levels[tenant] = (level, self._clock)
        return CountDecision(False, level, self._retry_delay(tenant, quota, level + 1 + reserve - limit, now))

    def refund(self, tenant: str, quota: Quota, counted_at: int, now: int) -> float:
        """Takes back a request that surely never ran; returns by how much the level falls. That is at most by how much
        lower the level would be had it never been counted: by one if the level has been at least one since (it is
        lowest when a request arrives, and now), else by what cannot have leaked yet.
        """
        level = self.level(tenant, quota, now)
        if self._last_low.get(tenant, 0) <= counted_at and level >= 1:
            amount = 1.0
        else:
            amount = min(level, max(0.0, 1 - quota.rate * (self._clock - counted_at + 1) / SECOND))
        self._levels[tenant] = (level - amount, self._clock)
        self._last_low[tenant] = int(self._clock) + 2  # earlier levels would have been lower, too
        return amount

    def _retry_delay(self, tenant: str, quota: Quota, over: float, now: int) -> int:
        """The wait of a refused request. Each gets a retry time of its own; otherwise all would retry together when
        there is room for one."""
        rate = max(quota.rate * self._reachable_share, 1e-6)
        soonest, turn = now + round(over / rate * SECOND) + 1, self._retry_times.get(tenant, 0) + round(SECOND / rate)
        at = self._retry_times[tenant] = min(now + MAX_WAIT_US, max(soonest, turn))
        return at - now


class LocalAllowance:
    """What this gateway passes while no counter answers: its share of half the tolerated excess, and of the quota
    itself once the counter no longer counts it as present. An allowance below one request passes with that
    probability, and is spent either way, so that no more passes on average."""

    def __init__(self, terms: QuotaTerms, random: Callable[[], float], started_at: int) -> None:
        self._terms, self._random, self._started_at = terms, random, started_at
        # tenant -> allowance left of the excess and of the quota, as of when
        self._left: dict[str, tuple[float, float, int]] = {}

    def allows(self, tenant: str, quota: Quota, gateways: int, absent: int, now: int) -> bool:
        """`absent`: microseconds for which no counter has counted this gateway as present. Its share of the quota
        accrues from empty then, as the counter may have passed all of it before."""
        if quota.rate <= 0:
            return True
        if gateways <= 0:
            return False
        share = LOCAL_SLACK_SHARE * self._terms.spare(quota) / gateways
        # starts empty, as an earlier incarnation may have spent it
        slack_left, quota_left, at = self._left.get(tenant, (0.0, 0.0, self._started_at))
        elapsed = now - at
        slack_left = min(
            LOCAL_BURST_SHARE * share, slack_left + (1 - LOCAL_BURST_SHARE) * share * elapsed / self._terms.window_us
        )
        quota_left = min(
            quota.burst / gateways,
            (quota_left if absent >= elapsed else 0.0) + quota.rate / gateways * min(absent, elapsed) / SECOND,
        )
        if slack_left + quota_left >= 1:
            self._left[tenant] = (slack_left - max(0.0, 1 - quota_left), max(0.0, quota_left - 1), now)
            return True
        self._left[tenant] = (0.0, 0.0, now)
        return self._random() < slack_left + quota_left


class UsageReadings:
    """This gateway's last reading of each tenant's level, and the requests it passed uncounted since: a new counter
    starts from them."""

    def __init__(self) -> None:
        self._readings: dict[str, tuple[float, int]] = {}
        self._uncounted: dict[str, tuple[float, int]] = {}

    def record(self, tenant: str, level: float, now: int) -> None:
        self._readings[tenant] = (level, now)
        self._uncounted.pop(tenant, None)

    def record_uncounted(self, tenant: str, now: int) -> None:
        """Records a request that passed uncounted."""
        self._uncounted[tenant] = (self._uncounted.get(tenant, (0.0, 0))[0] + 1, now)

    def aged(self, quotas: Iterable[tuple[str, Quota]], gateways: int, now: int) -> dict[str, tuple[float, float]]:
        """Tenant -> level and uncounted requests, less what has leaked since. Uncounted requests leak at this gateway's
        share of the rate."""
        found = {}
        for tenant, quota in quotas:
            level, at = self._readings.get(tenant, (0.0, now))
            uncounted, last = self._uncounted.get(tenant, (0.0, now))
            if tenant in self._readings or uncounted:
                found[tenant] = (
                    max(0.0, level - quota.rate * (now - at) / SECOND),
                    max(0.0, uncounted - quota.rate / max(1, gateways) * (now - last) / SECOND),
                )
        return found
