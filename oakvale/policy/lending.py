"""Lending: capacity that customers leave unused of their quotas, lent by weight to plans that allow it."""

from oakvale.interface import Counted, Plan
from oakvale.policy.limits import Limits
from oakvale.policy.records import BATCH_INTERVAL_US, quota_window
from oakvale.policy_records import EPOCH_US, REJECTED, SECOND_US, Context, PendingRequest

CAPACITY_RATIO = 1.3  # assumed capacity over the sum of quotas in use; the design starts R there


class Lending:  # global counts of quotas and of lent units, and the decision whether a request may borrow
    def __init__(self, context: Context, limits: Limits) -> None:
        self.context, self.limits, self.counter = context, limits, limits.quota.counter
        plans = context.settings.plans
        self.wanted_at = self.read_at = -SECOND_US  # when last a request wanted to borrow, a count was read
        self.weights = 0.0  # sum over the known customers that may borrow
        self.window = max((quota_window(p) for p in plans if p.rate > 0), default=SECOND_US)
        self.enabled = context.settings.may_count and any(map(self.may_borrow, plans))
        self.periods = {"floors": EPOCH_US, "lent": self.window}  # of the global counts
        self.counts = dict.fromkeys(self.periods, 0.0)  # as last read
        self.added = dict.fromkeys(self.periods, 0.0)  # by this gateway, not yet sent
        self.current, self.counter_reset = dict.fromkeys(self.periods, -1), False  # number of the period

    def start_periods(self) -> None:  # clears counts of periods that have ended
        for kind, period in self.periods.items():
            if self.context.now // period != self.current[kind]:
                self.current[kind], self.counter_reset = self.context.now // period, False
                self.counts[kind] = self.added[kind] = 0.0

    def send_batch(self) -> None:
        """Sends the global counts where of use; few, as those of 300 gateways would overload the counter."""
        self.start_periods()
        for kind, amount in self.added.items():
            wanted = amount > 0 or self.context.now - self.wanted_at < 2 * BATCH_INTERVAL_US
            name = f"g:{kind}:{self.current[kind]}"
            if wanted and self.counter.batch_credit >= 1 and not self.counter.calls.get(name):
                self.counter.batch_credit -= 1
                self.counter.call(name, amount, kind, "", self.periods[kind])
                self.counts[kind] += amount
                self.added[kind] = 0.0

    def on_batch_counted(self, kind: str, event: Counted, amount: float, answered: bool) -> None:
        if event.name != f"g:{kind}:{self.current[kind]}":
            return  # the global count of an earlier period
        if answered:
            self.read_at = self.context.now
            self.counter_reset |= event.level < 0.999 * self.counts[kind]  # lost there: slack looks wide
            self.counts[kind] = max(event.level, self.counts[kind])
        elif event.ending in REJECTED:
            self.counts[kind] -= amount
            self.added[kind] += amount

    def may_borrow(self, plan: Plan) -> bool:  # whether lending to the plan earns more than it costs
        return plan.over_worth > plan.over_cost and plan.price > 0

    def borrow(self, pending: PendingRequest) -> bool:  # whether it may pass beyond its quota
        customer, units, now = pending.customer, pending.request.units, self.context.now
        self.start_periods()
        if (not self.may_borrow(customer.plan) or not self.enabled or self.limits.overloaded()
                or self.counter_reset or self.counter.share < 1):
            return False
        self.wanted_at = now
        quotas, lent = (self.counts[k] + self.added[k] for k in self.counts)
        # capacity * elapsed - (served + lent) - (quotas - served), with served units cancelling out
        slack = (CAPACITY_RATIO - 1) * quotas * (now % self.window / self.window) - lent
        if slack <= 0 or now - self.read_at > SECOND_US:  # nothing is lent on outdated counts
            return False
        if customer.borrowed_period != self.current["lent"]:
            customer.borrowed, customer.borrowed_period = 0.0, self.current["lent"]
        if customer.borrowed + units > (CAPACITY_RATIO - 1) * quotas * customer.plan.price / self.weights:
            return False
        customer.borrowed += units
        return True
