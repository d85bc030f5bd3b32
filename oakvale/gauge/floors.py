"""Tenants' floors: how much of its quota a tenant has used, and whether one more request passes.

No I/O and no clock. The floor is the whole quota and slides: use leaks away at the quota's rate, and a tenant
is under its floor while its level stays under the burst, as quotas are judged in every window. Who has
not reached the counter for a while passes its even share of the quota alone, and the counter, which has not heard
of it for as long, lets so much less pass. Of the judges' slack, a small part lets the level go over the burst (a
request that waited on its way is not refused for it), and half is what may pass alone before that while.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

SECOND = 1_000_000
OVER = 0.15  # of the slack, for the level over the burst
ALONE = 0.5  # of the slack, for all gateways that reach no counter, together
ALONE_AT_ONCE = 0.4  # of that, what may pass in one go; the rest comes back over a window
FOR_FIRST = 2.0  # requests' room under a floor that is kept for those that come the first time
LONGEST_WAIT = SECOND  # DESIGN: a refusal names the window's remaining time, a second at most


@dataclass(slots=True, frozen=True)
class Quota:
    """A tenant's: requests a second and the burst on top; no rate is no quota."""

    rate: float = 0.0
    burst: float = 0.0


@dataclass(slots=True, frozen=True)
class Terms:
    """How quotas are judged: window in microseconds, a share above them and a number of requests."""

    window: int = 5 * SECOND
    excess: float = 0.0
    slack: float = 0.0

    def spare(self, quota: Quota) -> float:
        """Requests in a window that are over the quota and still no breach."""
        return self.excess * (quota.rate * self.window / SECOND + quota.burst) + self.slack


@dataclass(slots=True, frozen=True)
class Verdict:
    passes: bool
    level: float  # read back
    wait: int  # microseconds until one more would pass


class Floors:
    """The counter of some tenants. What it doesn't know of a tenant counts as a full burst at its start: a new
    counter may follow on one that let everything pass."""

    def __init__(self, terms: Terms, now: int) -> None:
        self._terms, self._began = terms, now
        self._levels: dict[str, tuple[float, int]] = {}
        self.floors = 0.0  # DESIGN: of the tenants counted lately; nothing is lent, so they are only told
        self.served = 0

    def nothing_before(self, at: int) -> None:
        """All gateways have said what they read, and none lived before then: what is unknown here can only
        have been used up before."""
        self._began = min(self._began, at)

    def learn(self, tenant: str, level: float, now: int) -> None:
        """What a gateway last read, aged by it to now; the highest of several holds."""
        known = self._levels.get(tenant)
        self._levels[tenant] = (max(level, known[0]) if known else level, now)

    def level(self, tenant: str, rate: float, burst: float, now: int) -> float:
        level, at = self._levels.get(tenant) or (burst, self._began)
        return max(0.0, level - rate * (now - at) / SECOND)

    def add(self, tenant: str, quota: Quota, present: float, again: bool, now: int) -> Verdict:
        """Counts a request if it is within the floor, and reads the count back. `present`: the share of
        gateways that reach this counter; the others pass theirs of the quota alone. `again`: it comes back
        after a refusal. Such a one leaves a little room for those that come first: who asks again at once and
        often gains nothing by it."""
        if quota.rate <= 0:
            return Verdict(True, 0.0, 0)
        if tenant not in self._levels:
            self.floors += quota.rate + quota.burst
        rate = max(quota.rate * present, 1e-6)
        level = self.level(tenant, rate, quota.burst, now)
        most = max(1.0, quota.burst) + OVER * self._terms.spare(quota)
        kept = min(FOR_FIRST, most / 4) if again else 0.0
        if level + 1 <= most - kept:
            self._levels[tenant] = (level + 1, now)
            self.served += 1
            return Verdict(True, level + 1, 0)
        self._levels[tenant] = (level, now)
        wait = min(LONGEST_WAIT, round((level + 1 + kept - most) / rate * SECOND) + 1)
        return Verdict(False, level, wait)


class Alone:
    """What this gateway passes while no counter answers: its share of half the slack, and of the quota itself
    once the counter can't reckon with it any more; by lot where that is less than one request. Spent by the
    draw, won or lost, so that on average no more passes."""

    def __init__(self, terms: Terms, draw: Callable[[], float], born: int) -> None:
        self._terms, self._draw, self._born = terms, draw, born
        self._left: dict[str, tuple[float, int]] = {}

    def passes(self, tenant: str, quota: Quota, gateways: int, absent: bool, now: int) -> bool:
        """`absent`: no counter was reached for so long that none reckons with this gateway."""
        if quota.rate <= 0:
            return True
        if gateways <= 0:
            return False
        share = ALONE * self._terms.spare(quota) / gateways
        most, rate = ALONE_AT_ONCE * share, (1 - ALONE_AT_ONCE) * share / self._terms.window
        if absent:
            most, rate = max(most, quota.burst / gateways), rate + quota.rate / gateways / SECOND
        left, at = self._left.get(tenant, (0.0, self._born))  # a life before may have spent it
        left = min(most, left + rate * (now - at))
        if left >= 1:
            self._left[tenant] = (left - 1, now)
            return True
        self._left[tenant] = (0.0 if left > 0 else left, now)
        return self._draw() < left


class Read:
    """What this gateway last read of each tenant's count, so that a new counter need not begin blind."""

    def __init__(self) -> None:
        self._read: dict[str, tuple[float, int]] = {}

    def note(self, tenant: str, level: float, now: int) -> None:
        self._read[tenant] = (level, now)

    def add(self, tenant: str, now: int) -> None:
        """One that passed uncounted."""
        level, at = self._read.get(tenant, (0.0, now))
        if tenant in self._read:
            self._read[tenant] = (level + 1, at)

    def aged(self, quotas: Iterable[tuple[str, Quota]], now: int) -> dict[str, float]:
        return {tenant: max(0.0, self._read[tenant][0] - quota.rate * (now - self._read[tenant][1]) / SECOND)
                for tenant, quota in quotas if tenant in self._read}
