"""Quota and counting: what each customer may use, and the calls that add use to the shared counter."""

from collections import deque
from math import exp

from oakvale.class_latency import EWMA_WEIGHT
from oakvale.interface import Charge, Counted, Ending
from oakvale.policy_records import EPOCH_US, REJECTED, SECOND_US, Context, Customer, PendingRequest

MAX_SCALE_EXPONENT = 16  # e^16, the largest scale of a unit, is a hundredth of the 1e9 that a counter takes
MIN_CALL_SHARE = 0.02  # share of requests that still call a counter that does not answer, to find its return
BATCH_CALL_SHARE = 0.15  # calls for the global counts, at most, for each other call


class CounterCalls:  # the calls to the counter that are out, and the share of requests that make one
    def __init__(self, context: Context) -> None:
        self.context = context
        self.calls: dict[str, deque[tuple[str, str, float]]] = {}  # name -> (kind, id, amount)
        self.batch_credit, self.mean_stake = 0.0, 0.0  # batch calls allowed; mean cost of a wrong decision
        self.share, self.reduced_at = 1.0, 0  # share of requests that call; when it was last halved
        self.target_share, self.answering, self.called_at = 1.0, True, 0  # share to return to

    def call(self, name: str, amount: float, kind: str, request_id: str, period: int = EPOCH_US) -> None:
        self.calls.setdefault(name, deque()).append((kind, request_id, amount))  # answered in this order
        self.batch_credit = min(2.0, self.batch_credit + BATCH_CALL_SHARE)
        self.called_at = self.context.now
        self.context.actions.append(Charge(name, amount, min(2 * period, 2 * EPOCH_US)))

    def call_probability(self, customer: Customer, units: float) -> float:
        """Below 1 where the counter is overloaded; lowest for cheap requests and unused quotas."""
        plan, context = customer.plan, self.context
        stake = units * plan.price * max(plan.over_cost, 0.25)
        self.mean_stake += EWMA_WEIGHT * (stake - self.mean_stake)
        if self.share >= 1 or not stake or context.now - self.called_at > context.max_deadline:
            return 1.0  # also one call a longest deadline after the last
        largest = max(plan.burst / customer.gateways, context.mean_units)
        left = max(0.0, customer.allowance / largest) if customer.read_at else 0.0
        return float(self.share ** ((0.5 + left) * self.mean_stake / stake))

    def adapt(self, ending: Ending, latency: int) -> None:
        """Halves the share when calls fail; restores it in steps, as all gateways return at once."""
        context, timeout = self.context, self.context.settings.counter_timeout
        if ending is Ending.SERVED and latency < timeout // 2:
            self.share, self.answering = min(1.0, max(self.share + 0.01, self.target_share)), True
        elif ending in (*REJECTED, Ending.TIMEOUT) and context.now - max(
                self.reduced_at, context.resumed_at) > 2 * timeout:
            self.target_share, self.answering = self.share / 2 if self.answering else self.target_share, False
            self.share, self.reduced_at = max(MIN_CALL_SHARE, self.share / 2), context.now


class Quota:  # sliding quota of each customer, its local allowance, and its attempts in flight
    def __init__(self, context: Context, counter: CounterCalls) -> None:
        self.context, self.counter = context, counter

    def report_use(self, customer: Customer, kind: str, request_id: str) -> None:  # sends the unsent units
        self.counter.call(self.context.quota_name(customer), customer.unsent, kind, request_id)
        customer.unsent = 0.0

    def open_share(self, customer: Customer) -> float:  # local room for further attempts
        return max(1, customer.plan.open / customer.gateways) - customer.in_flight

    def report_open(self, customer: Customer, request_id: str = "") -> None:
        """Reports attempts in flight, in counts that expire: a dead gateway's part ends with its count."""
        if not request_id and (
                not customer.plan.open or not self.context.settings.may_count or self.counter.share < 1):
            return
        period = self.context.max_deadline
        if self.context.now // period != customer.open_period:
            customer.open_period, customer.reported_open = self.context.now // period, 0
        amount = customer.in_flight + customer.open_calls - customer.reported_open
        if amount or request_id:
            customer.reported_open += amount
            kind, request_id = ("open", request_id) if request_id else ("told", customer.name)
            self.counter.call(self.context.open_name(customer), amount, kind, request_id, period)

    def refill(self, customer: Customer) -> None:
        """Refills the balance at the plan's rate, the allowance by what others leave or the even share."""
        plan, now = customer.plan, self.context.now
        if customer.epoch != now // EPOCH_US:  # unsent units go on fading under the new name
            customer.epoch, customer.level = now // EPOCH_US, 0.0
            customer.unsent *= exp(-EPOCH_US / customer.window)
        gained = plan.rate * (now - customer.refilled_at) / SECOND_US
        customer.overflow += max(0.0, customer.balance + gained - plan.burst)
        customer.balance = min(plan.burst, customer.balance + gained)
        free = (1 - customer.others_rate / (plan.rate or 1)) * exp((customer.read_at - now) / customer.window)
        customer.allowance += gained * max(1 / customer.gateways, free)
        customer.allowance = min(
            customer.allowance, max(plan.burst / customer.gateways, self.context.mean_units))
        customer.refilled_at = now

    def scale(self, customer: Customer) -> float:
        """What a unit adds to the count: it grows, so that earlier units fade and the window slides."""
        window = customer.window  # the count never starts anew: one read tells who is near
        return exp(self.context.now % EPOCH_US / window + min(0.0, MAX_SCALE_EXPONENT - EPOCH_US / window))

    def on_counted(self, customer: Customer, event: Counted, amount: float) -> None:
        """Takes what others added since the last read, as if evenly over that time, out of the balance.
        After more than a window only the count tells. One that fell too far was lost by the counter."""
        if event.name != self.context.quota_name(customer):
            return  # a count of the epoch before
        if event.ending in REJECTED:
            customer.unsent += amount
        elif event.ending is not Ending.SERVED:
            customer.level += amount  # it may have been added
        else:
            self.refill(customer)
            now, scale = self.context.now, self.scale(customer)
            since = max(1, min(now - customer.read_at, now % EPOCH_US))
            others, windows = event.level - customer.level - amount, since / customer.window
            burst, lost = customer.plan.burst, -self.context.settings.largest
            customer.level, customer.read_at = event.level, now  # if it was lost, only own use counts
            use = round(others / scale * (windows / (1 - exp(-windows)) if others > 0 else 1), 3)
            if use > lost and windows > 1:
                customer.balance = burst * (1 - min(1, (event.level - amount) / scale / burst) ** 2)
            elif use > lost:  # use first meets what overflowed a full balance
                customer.balance = min(burst, customer.balance - use + min(customer.overflow, max(0.0, use)))
            gain = max(0.0, use) * SECOND_US - customer.others_rate * since
            customer.others_rate += gain / (since + customer.window)
            customer.overflow, customer.allowance = 0.0, customer.balance

    def decide_locally(self, pending: PendingRequest) -> None:  # by lot: small allowances would pass none
        units, customer = pending.request.units, pending.customer
        fits = customer.balance >= units and customer.allowance >= units * self.context.rng.random()
        self.charge(pending, fits)

    def charge(self, pending: PendingRequest, fits: bool) -> None:  # charges the units if they fit
        pending.charged, pending.within_quota = fits, pending.within_quota and fits
        pending.customer.balance -= pending.request.units if fits else 0.0
        pending.customer.allowance -= pending.request.units if fits else 0.0

    def refund(self, pending: PendingRequest) -> None:  # where it was never sent on
        if pending.charged and not pending.attempts_made:
            pending.charged = False
            pending.customer.balance += pending.request.units
            pending.customer.unsent -= pending.counted_units
