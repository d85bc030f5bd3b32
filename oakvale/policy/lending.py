"""Lending: what unused floors leave over, lent by weight to customers whose plan allows it."""

from oakvale.interface import Counted, Plan
from oakvale.policy.limits import Limits
from oakvale.policy.records import BATCH, EPOCH, NOT_TAKEN, SECOND, Customer, Desk, Held

R_OVER_FLOORS = 1.3  # DESIGN: R starts at 1.3 times the floor sum


class Lending:
    def __init__(self, desk: Desk, limits: Limits) -> None:
        self.desk, self.limits, self.counter, plans = desk, limits, limits.quota.counter, desk.s.plans
        self.wanted = self.told_at = -SECOND  # when last a borrower was here, a global count read
        self.weights = 0.0  # of those here that may borrow
        self.span = max((Customer("", p, 0).window for p in plans if p.rate > 0), default=SECOND)
        self.lends = desk.s.may_count and any(map(self.soft, plans))
        self.period = {"floors": EPOCH, "lent": self.span}  # how long the global counts run
        self.counts = dict.fromkeys(self.period, 0.0)  # as last read
        self.added = dict.fromkeys(self.period, 0.0)  # own, not yet sent
        self.began, self.flushed = dict.fromkeys(self.period, -1), False

    def roll_global(self) -> None:
        for k, period in self.period.items():
            if self.desk.now // period != self.began[k]:
                self.began[k], self.flushed = self.desk.now // period, False
                self.counts[k] = self.added[k] = 0.0

    def batch(self) -> None:
        """Sent where of use, and few: the batches of 300 gateways alone would outrun the counter."""
        self.roll_global()
        for k, amount in self.added.items():
            wanted = amount > 0 or self.desk.now - self.wanted < 2 * BATCH
            if wanted and self.counter.spare >= 1 and not self.counter.calls.get(f"g:{k}:{self.began[k]}"):
                self.counter.spare -= 1
                self.counter.charge(f"g:{k}:{self.began[k]}", amount, k, "", self.period[k])
                self.counts[k] += amount
                self.added[k] = 0.0

    def on_batch(self, kind: str, ev: Counted, amount: float, answered: bool) -> None:
        if ev.name != f"g:{kind}:{self.began[kind]}":
            return
        if answered:
            self.told_at = self.desk.now
            self.flushed |= ev.level < 0.999 * self.counts[kind]  # emptied: slack looks wide, none is lent
            self.counts[kind] = max(ev.level, self.counts[kind])
        elif ev.ending in NOT_TAKEN:
            self.counts[kind] -= amount
            self.added[kind] += amount

    def soft(self, plan: Plan) -> bool:
        return plan.over_worth > plan.over_cost and plan.price > 0  # lending earns more than it costs

    def borrow(self, held: Held) -> bool:
        cust, units, now = held.cust, held.req.units, self.desk.now
        self.roll_global()
        if (not self.soft(cust.plan) or not self.lends or self.limits.pressed() or self.flushed
                or self.counter.asking < 1):
            return False
        self.wanted = now
        floors, lent = (self.counts[k] + self.added[k] for k in self.counts)
        # DESIGN's R x elapsed - total - unserved floors; total is served + lent, unserved floors - served
        slack = (R_OVER_FLOORS - 1) * floors * (now % self.span / self.span) - lent
        if slack <= 0 or now - self.told_at > SECOND:  # nothing is lent on old counts
            return False
        if cust.lent_in != self.began["lent"]:
            cust.lent, cust.lent_in = 0.0, self.began["lent"]
        if cust.lent + units > (R_OVER_FLOORS - 1) * floors * cust.plan.price / self.weights:
            return False
        cust.lent += units
        return True
