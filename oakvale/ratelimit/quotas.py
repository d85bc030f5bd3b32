"""Tenants' floors: how much of its quota a tenant has used, and whether one more request passes.

No I/O and no clock. The floor is the whole quota and slides: use leaks away at the quota's rate, and a tenant
is under its floor while its level stays under the burst, as quotas are judged in every window. Who has
not reached the counter for a while passes its even share of the quota alone, and the counter, which has not heard
of it for as long, lets so much less pass, of the rate and of the burst. Of the judges' slack, a small part lets the
level go over the burst (a request that waited on its way is not refused for it), and half is what may pass alone
before that while.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from oakvale.ratelimit.counter_state import CounterState

SECOND = 1_000_000
OVER_BURST_SLACK_SHARE = 0.15  # of the slack, for the level over the burst
LOCAL_SLACK_SHARE = 0.5  # of the slack, for all gateways that reach no counter, together
LOCAL_BURST_SHARE = 0.4  # of that, what may pass in one go; the rest comes back over a window
START_SLACK_SHARE = 0.35  # of the slack, for what a new counter can't know: after an outage all come at once
FIRST_TRY_RESERVE = 2.0  # requests' room under a floor that is kept for those that come the first time
MAX_ABSENCES = 32  # of the share of gateways in reach, that a counter remembers
MAX_WAIT_US = SECOND  # DESIGN: a refusal names the window's remaining time, a second at most


@dataclass(slots=True, frozen=True)
class Quota:
    """A tenant's: requests a second and the burst on top; no rate is no quota."""

    rate: float = 0.0
    burst: float = 0.0


@dataclass(slots=True, frozen=True)
class QuotaTerms:
    """How quotas are judged: window in microseconds, a share above them and a number of requests."""

    window_us: int = 5 * SECOND
    excess: float = 0.0
    slack: float = 0.0

    def spare(self, quota: Quota) -> float:
        """Requests in a window that are over the quota and still no breach."""
        return self.excess * (quota.rate * self.window_us / SECOND + quota.burst) + self.slack


@dataclass(slots=True, frozen=True)
class CountDecision:
    passes: bool
    level: float  # read back
    wait_us: int  # microseconds until one more would pass
    counted_at: int = 0  # by the counter's own clock


class QuotaCounter:
    """The counter of some tenants. What it can't know of a tenant counts as a full burst at its start: a new
    counter may follow on one that let everything pass. That comes back at the quota's rate, so a tenant which
    keeps under it hardly feels it.

    `_clock` is time as far as use leaks away here: while a part of the gateways is out of reach, that part of the
    quota is theirs, and so is that part of the burst, which they may have used once they are back."""

    def __init__(self, terms: QuotaTerms, now: int) -> None:
        self._terms = terms
        self._at, self._clock, self._present = now, 0.0, 1.0
        self._began = 0.0  # by the clock: when what is unknown was a full burst
        self._past: list[tuple[float, float]] = []  # shares that were out of reach, and the clock when it ended
        self._levels: dict[str, tuple[float, float]] = {}  # tenant -> level, and the clock then
        self._uncounted: dict[str, float] = {}
        self._last_low: dict[str, int] = {}  # tenant -> when a request last found a level below one, rounded up
        self._invited: dict[str, int] = {}  # tenant -> when the latest of those turned away is to come back
        self.floors = 0.0  # DESIGN: of the tenants counted lately; nothing is lent, so they are only told
        self.served = 0

    def bound_unknown_usage(self, at: int) -> None:
        """All gateways have said what they read, and none lived before then: what they don't know can only
        have been used up before."""
        self._began = min(self._began, float(at - self._at))

    def merge_reading(self, tenant: str, level: float, uncounted: float, now: int) -> None:
        """What a gateway last read, aged by it to now, of which the highest holds; and what passed there
        uncounted since, which adds up."""
        self.set_reachable_share(self._present, now)
        known = self._levels.get(tenant)
        aged = max(level, known[0]) if known else level
        self._levels[tenant] = (aged, self._clock)
        self._uncounted[tenant] = self._uncounted.get(tenant, 0.0) + uncounted

    def export_state(self, quota_of: Callable[[str], Quota], heard: dict[str, int], now: int) -> CounterState:
        """What a successor needs so as to count on; `heard` is added as it is."""
        levels = {tenant: self.level(tenant, quota_of(tenant), now) for tenant in list(self._levels)}
        return CounterState(
            {tenant: level for tenant, level in levels.items() if level > 0},
            max(0, int(self._clock - self._began)),
            tuple((share, int(self._clock - ended)) for share, ended in self._past),
            heard,
        )

    def import_state(self, state: CounterState, now: int) -> None:
        """Counts on from the state of the counter before, as it was at `now` at the latest."""
        self.set_reachable_share(self._present, now)
        for tenant, level in state.levels.items():
            known = self._levels.get(tenant, (0.0, 0.0))[0]
            self._levels[tenant] = (max(level, known), self._clock)
        self._began = min(self._began, self._clock - state.unknown_age)
        self._past = [*self._past, *((share, self._clock - age) for share, age in state.absences)][-MAX_ABSENCES:]

    def set_reachable_share(self, present: float, now: int) -> None:
        """`present`: the share of gateways that reach this counter; the others pass theirs of the quota alone."""
        self._clock += self._present * (now - self._at)
        self._at = now
        if present > self._present:
            self._past = [*self._past[1 - MAX_ABSENCES :], (1 - self._present, self._clock)]
        self._present = present

    def level(self, tenant: str, quota: Quota, now: int) -> float:
        self.set_reachable_share(self._present, now)
        rate, burst, clock = quota.rate / SECOND, quota.burst, self._clock
        unknown = burst - START_SLACK_SHARE * self._terms.spare(quota)
        found = [burst * (1 - self._present), unknown - rate * (clock - self._began)]
        found += [burst * absent - rate * (clock - ended) for absent, ended in self._past]
        if tenant in self._levels:
            level, at = self._levels[tenant]
            found.append(level - rate * (clock - at))
        uncounted = self._uncounted.pop(tenant, 0.0)
        level = max(found)
        if uncounted:
            level = max(level, min(level + uncounted, self._most(quota)))
            self._levels[tenant] = (level, clock)
        return level

    def _most(self, quota: Quota) -> float:
        return max(1.0, quota.burst) + OVER_BURST_SLACK_SHARE * self._terms.spare(quota)

    def count_request(self, tenant: str, quota: Quota, again: bool, now: int) -> CountDecision:
        """Counts a request if it is within the floor, and reads the count back. `again`: it comes back
        after a refusal. Such a one leaves a little room for those that come first: who asks again at once and
        often gains nothing by it."""
        if quota.rate <= 0:
            return CountDecision(True, 0.0, 0)
        if tenant not in self._levels:
            self.floors += quota.rate + quota.burst
        level, most = self.level(tenant, quota, now), self._most(quota)
        kept = min(FIRST_TRY_RESERVE, most / 4)
        if level + 1 <= most - (kept if again else 0.0):
            if level < 1:
                self._last_low[tenant] = int(self._clock) + 1
            self._levels[tenant] = (level + 1, self._clock)
            self.served += 1
            return CountDecision(True, level + 1, 0, int(self._clock) + 1)
        self._levels[tenant] = (level, self._clock)
        return CountDecision(False, level, self._invite(tenant, quota, level + 1 + kept - most, now))

    def refund(self, tenant: str, quota: Quota, counted_at: int, now: int) -> float:
        """Takes back a request that surely never ran; gives by how much the level falls. That is no more than what the
        level would be lower by if it had never been counted: all of it while the level has been at least one since
        (it is least when a request comes, and now), else what can't have leaked away yet.
        """
        level = self.level(tenant, quota, now)
        if self._last_low.get(tenant, 0) <= counted_at and level >= 1:
            amount = 1.0
        else:
            amount = min(level, max(0.0, 1 - quota.rate * (self._clock - counted_at + 1) / SECOND))
        self._levels[tenant] = (level - amount, self._clock)
        self._last_low[tenant] = int(self._clock) + 2  # what the level was before would have been lower, too
        return amount

    def _invite(self, tenant: str, quota: Quota, over: float, now: int) -> int:
        """The wait of one that is turned away. Each is told a time of its own: all who were told when there is room
        for one would come back together, and one would find it."""
        rate = max(quota.rate * self._present, 1e-6)
        soonest, turn = now + round(over / rate * SECOND) + 1, self._invited.get(tenant, 0) + round(SECOND / rate)
        at = self._invited[tenant] = min(now + MAX_WAIT_US, max(soonest, turn))
        return at - now


class LocalAllowance:
    """What this gateway passes while no counter answers: its share of half the slack, and of the quota itself
    once the counter can't reckon with it any more; by lot where that is less than one request. Spent by the
    draw, won or lost, so that on average no more passes."""

    def __init__(self, terms: QuotaTerms, draw: Callable[[], float], born: int) -> None:
        self._terms, self._draw, self._born = terms, draw, born
        self._left: dict[str, tuple[float, float, int]] = {}  # of the slack, of the quota, when

    def allows(self, tenant: str, quota: Quota, gateways: int, absent: int, now: int) -> bool:
        """`absent`: for how long no counter has reckoned with this gateway, in microseconds. Its part of the quota
        begins empty then, as the counter may have passed all of it before."""
        if quota.rate <= 0:
            return True
        if gateways <= 0:
            return False
        share = LOCAL_SLACK_SHARE * self._terms.spare(quota) / gateways
        slack, part, at = self._left.get(tenant, (0.0, 0.0, self._born))  # a life before may have spent it
        past = now - at
        slack = min(LOCAL_BURST_SHARE * share, slack + (1 - LOCAL_BURST_SHARE) * share * past / self._terms.window_us)
        part = min(
            quota.burst / gateways,
            (part if absent >= past else 0.0) + quota.rate / gateways * min(absent, past) / SECOND,
        )
        if slack + part >= 1:
            self._left[tenant] = (slack - max(0.0, 1 - part), max(0.0, part - 1), now)
            return True
        self._left[tenant] = (0.0, 0.0, now)
        return self._draw() < slack + part


class UsageReadings:
    """What this gateway last read of each tenant's count, and what it passed uncounted since, so that a new
    counter need not begin blind."""

    def __init__(self) -> None:
        self._read: dict[str, tuple[float, int]] = {}
        self._uncounted: dict[str, tuple[float, int]] = {}

    def record(self, tenant: str, level: float, now: int) -> None:
        self._read[tenant] = (level, now)
        self._uncounted.pop(tenant, None)

    def record_uncounted(self, tenant: str, now: int) -> None:
        """One that passed uncounted."""
        self._uncounted[tenant] = (self._uncounted.get(tenant, (0.0, 0))[0] + 1, now)

    def aged(self, quotas: Iterable[tuple[str, Quota]], gateways: int, now: int) -> dict[str, tuple[float, float]]:
        """Level and uncounted. The latter leak away by this gateway's share of the rate, once no more come."""
        found = {}
        for tenant, quota in quotas:
            level, at = self._read.get(tenant, (0.0, now))
            more, last = self._uncounted.get(tenant, (0.0, now))
            if tenant in self._read or more:
                found[tenant] = (
                    max(0.0, level - quota.rate * (now - at) / SECOND),
                    max(0.0, more - quota.rate / max(1, gateways) * (now - last) / SECOND),
                )
        return found
