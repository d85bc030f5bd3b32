"""Admission: the way of a request from its arrival to its first attempt or its refusal."""

from oakvale.class_latency import EWMA_WEIGHT
from oakvale.interface import Counted, Ending, Refuse, Request, RequestClass
from oakvale.policy.attempts import Attempts
from oakvale.policy.records import BATCH_INTERVAL_US, quota_window
from oakvale.policy_records import EPOCH_US, REJECTED, SECOND_US, Context, Customer, PendingRequest


class Admission:  # whether a request is within its customer's quota, by the counter's answers
    def __init__(self, context: Context, attempts: Attempts) -> None:
        self.context, self.attempts, self.lending = context, attempts, attempts.lending
        self.limits, self.quota, self.counter = attempts.limits, attempts.quota, attempts.quota.counter
        self.wait_counts: dict[tuple[int, int], int] = {}  # (class, slot of time left) -> requests

    def on_request(self, request: Request) -> None:  # refuses it, sends it, or first calls the counter
        context, settings, now = self.context, self.context.settings, self.context.now
        if not (0 <= request.plan < len(settings.plans) and 0 <= request.class_index < len(settings.classes)):
            return context.actions.append(Refuse(request.id))
        customer = context.customers.get(request.customer)
        if customer is None:
            plan = settings.plans[request.plan]
            customer = context.customers[request.customer] = Customer(
                request.customer, plan, now, quota_window(plan), plan.rate * (now % EPOCH_US) / SECOND_US)
            self.lending.weights += plan.price if self.lending.may_borrow(plan) else 0.0
        customer.last_seen, customer.gateways = now, max(1, min(request.gateway_count, settings.fleet))
        request_class = settings.classes[request.class_index]
        sent_at = now if settings.late_earns else now - self.age(request, request_class)
        pending = context.add_pending(request, request_class, customer, sent_at)
        if self.limits.time_left(pending) < self.limits.health.recent_latency(pending):
            return self.limits.refuse(pending, SECOND_US)  # too late to be answered in time
        self.quota.refill(customer)
        probability = self.counter.call_probability(customer, request.units)
        calls = (settings.may_count and request.deadline - now > 2 * settings.counter_timeout
                 and (probability >= 1 or context.rng.random() < probability))
        if customer.plan.rate > 0:
            share = 1 if customer.read_at else max(probability, EWMA_WEIGHT)  # first calls stand for others
            pending.counted_units = request.units * self.quota.scale(customer) / share
            likely_used = customer.others_rate * min(now - customer.read_at, customer.window) / SECOND_US
            fits = customer.balance - likely_used >= request.units
            if calls and (fits or now - customer.read_at > BATCH_INTERVAL_US):
                pending.pending_calls += 1
                customer.unsent += pending.counted_units if fits else 0.0
                self.quota.report_use(customer, "quota" if fits else "look", request.id)
            else:
                self.quota.decide_locally(pending)
                customer.unsent += pending.counted_units if pending.charged and customer.read_at else 0.0
        if customer.plan.open and calls:
            pending.pending_calls += 1
            customer.open_calls += 1
            self.quota.report_open(customer, request.id)
        elif customer.plan.open:
            pending.within_quota = pending.within_quota and self.quota.open_share(customer) >= 1
        if not pending.pending_calls:
            self.decide(pending)

    def age(self, request: Request, request_class: RequestClass) -> int:
        """How long ago the client first sent it: a repetition has less than the usual time left."""
        context, index = self.context, request.class_index
        wait = min(request.deadline - context.now, 2 * request_class.deadline)
        slot_us = max(1, request_class.deadline // 32)
        key = index, wait // slot_us
        self.wait_counts[key] = self.wait_counts.get(key, 0) + (context.now > context.resumed_at)
        usual = slot_us * max((n, slot) for (c, slot), n in self.wait_counts.items() if c == index)[1]
        if context.now == context.resumed_at and wait < usual:  # it came while this gateway was paused
            return min(context.paused_for, usual - wait)
        return 0 if -slot_us <= wait - usual < 2 * slot_us else max(0, request_class.deadline - wait)

    def on_counted(self, event: Counted) -> None:  # handles the end of the oldest call for this count
        context, calls = self.context, self.counter.calls.get(event.name)
        if not calls:
            return
        kind, request_id, amount = calls.popleft()
        if not calls:
            del self.counter.calls[event.name]
        answered, unchanged = event.ending is Ending.SERVED, event.ending in REJECTED
        self.counter.adapt(event.ending, event.latency)
        if kind in self.lending.counts:
            return self.lending.on_batch_counted(kind, event, amount, answered)
        pending = self.context.pending.get(request_id)
        customer = pending.customer if pending else self.context.customers.get(request_id)
        if customer is None:  # calls of kinds "read" and "told" carry the customer's name as id
            return
        if kind in ("open", "told") and unchanged and event.name == self.context.open_name(customer):
            customer.reported_open -= int(amount)  # goes with the next call
        if kind == "read":
            self.quota.on_counted(customer, event, amount)
        if pending is None or not pending.pending_calls:
            return
        pending.pending_calls -= 1
        if kind in ("quota", "look"):
            self.quota.on_counted(customer, event, amount)
            if pending.finished:
                pending.within_quota = False
            elif answered:
                self.quota.charge(pending, customer.balance >= pending.request.units)
            else:
                self.quota.decide_locally(pending)
            pending.counted_units *= event.name == context.quota_name(customer)  # no refund after an epoch
            if pending.charged == (kind == "look"):  # read and passed, or counted and refused
                customer.unsent += pending.counted_units if pending.charged else -pending.counted_units
                if answered and (pending.charged or self.counter.share >= 1):
                    self.quota.report_use(customer, "read", customer.name)
            if answered and 0 < amount > 0.999999 * event.level - 0.001:  # first of a count
                self.lending.start_periods()
                self.lending.added["floors"] += customer.plan.rate * self.lending.window / SECOND_US
        elif kind == "open":
            customer.open_calls -= 1
            room = customer.plan.open - event.level if answered else self.quota.open_share(customer) - 1
            pending.within_quota = pending.within_quota and room >= 0
        if pending.finished:
            self.limits.finish(request_id)
        elif not pending.pending_calls:
            self.decide(pending)

    def decide(self, pending: PendingRequest) -> None:  # sends it, or refuses it
        if not pending.within_quota:
            self.quota.refund(pending)
        if (pending.within_quota or self.lending.borrow(pending)) and self.limits.within_ceiling(pending):
            return self.attempts.send(pending)
        missing = pending.request.units - pending.customer.balance
        self.limits.refuse(pending, int(missing / max(pending.customer.plan.rate, 1e-6) * SECOND_US))
