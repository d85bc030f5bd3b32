"""Limits and refusal: what may be out at once, what a hard ceiling leaves, and how a request is given up."""

from oakvale.interface import Cancel, Effect, Ending, Fail, Refuse
from oakvale.policy.health import Health
from oakvale.policy.quota import Quota
from oakvale.policy.records import SECOND, Backend, Desk, Held, Limit

CROWDED = 1.3  # a backend this much slower than the fleet at its best holds more than it has cores for
LEAST_OUT = 2.0  # limits start at and stay above this, over all gateways: it keeps the smallest one busy


class Limits:
    def __init__(self, desk: Desk, health: Health, quota: Quota) -> None:
        self.desk, self.health, self.quota = desk, health, quota
        self.room, self.least = Limit(LEAST_OUT), LEAST_OUT / desk.s.fleet  # in all; least at a backend
        self.shed_at = -SECOND  # when a request was last refused for want of room

    def pressed(self) -> bool:
        """Nothing is lent while a passed request was lately turned away, or crowded, for want of room."""
        lat = self.health.lat
        return self.desk.now - self.shed_at < SECOND or lat > CROWDED * (self.health.base or lat)

    def follow(self, b: Backend, ending: Ending) -> None:
        self.fit(b.limit, len(b.inflight), self.health.lat_of(b), self.least)
        if ending is Ending.SERVED:
            out = sum(len(x.inflight) for x in self.desk.backends.values())
            self.fit(self.room, out, self.health.lat, 1.0)

    def fit(self, lim: Limit, out: int, lat: float, least: float) -> None:
        """What may be out at a backend follows its latency, and in all the fleet's: cut towards what would be
        answered in 0.4 of the aim; doubled at first, then raised by one a round. Guards against jams of any
        cause. One of many gateways seldom hears a backend: it learns by the sum."""
        excess = lat / min(0.4 * self.desk.aim / self.desk.units, CROWDED * self.health.base or 1e9)
        if excess > 1:
            lim.size = max(least, min(lim.size, out + 1) * (0.8 + 0.2 / excess))
            lim.growing = False
        elif self.health.base and out + 1 >= lim.size / 2:
            lim.size += min(1.0, lim.size) if lim.growing else min(lim.size / 2, 1 / lim.size)

    def left(self, held: Held) -> int:
        """Time in which an answer is worth something: to the aim, or to an impatient client's deadline."""
        aimed = held.req.deadline if self.desk.s.late_earns else held.came + held.cls.aim
        return min(aimed, held.req.deadline) - self.desk.now

    def under_ceiling(self, held: Held) -> bool:
        """Rule: each keeps its part of a hard ceiling, empty at its start as an earlier life spent it."""
        cust, plan, now = held.cust, held.cust.plan, self.desk.now
        gained = plan.ceiling_rate / cust.spread * (now - max(cust.cap_at, self.desk.born)) / SECOND
        cust.cap, cust.cap_at = min(plan.ceiling_burst / cust.spread, cust.cap + gained), now
        if plan.ceiling_rate > 0 and cust.cap < held.req.units:
            return False
        cust.cap -= held.req.units
        return True

    def refuse(self, held: Held, wait: int) -> None:
        self.quota.give_back(held)
        self.quota.tell_open(held.cust)
        harmless = held.ran is None or held.cls.effect is Effect.SAFE or (
            held.cls.effect is Effect.KEYED and held.cls.group == "all")
        wait = min(max(wait, 1), SECOND, self.desk.s.max_retry_after) if self.desk.s.retry_after else 0
        self.desk.do.append(Refuse(held.req.id, wait) if harmless else Fail(held.req.id))
        self.finish(held.req.id)

    def finish(self, rid: str) -> None:
        """Nobody waits for its answer any more: of what is out, only what may run once goes on to its end."""
        held = self.desk.held.get(rid)
        if held is not None:
            if not (held.over or held.head) and self.desk.s.may_cancel and held.cls.effect is Effect.SAFE:
                self.desk.do += [Cancel(rid, hop) for hop in held.out]
            held.over = True
            if not held.out and not held.waiting:
                del self.desk.held[rid]
