"""Admission: a request's way through the concerns, from its coming to its first attempt or its refusal."""

from oakvale.interface import Counted, Ending, Refuse, Request, RequestClass
from oakvale.policy.attempts import Attempts
from oakvale.policy.records import BATCH, EASE, NOT_TAKEN, SECOND, Customer, Desk, Held


class Admission:
    def __init__(self, desk: Desk, attempts: Attempts) -> None:
        self.desk, self.attempts, self.lending = desk, attempts, attempts.lending
        self.limits, self.quota, self.counter = attempts.limits, attempts.quota, attempts.quota.counter
        self.waits: dict[tuple[int, int], int] = {}  # tries by class and the time their client still waits

    def on_request(self, req: Request) -> None:
        desk, s, now = self.desk, self.desk.s, self.desk.now
        if not (0 <= req.plan < len(s.plans) and 0 <= req.class_index < len(s.classes)):
            return desk.do.append(Refuse(req.id))
        cust = desk.customers.get(req.customer)
        if cust is None:
            cust = desk.customers[req.customer] = Customer(req.customer, s.plans[req.plan], now)
            self.lending.weights += cust.plan.price if self.lending.soft(cust.plan) else 0.0
        cust.seen, cust.spread = now, max(1, min(req.gateway_count, s.fleet))
        cls = s.classes[req.class_index]
        held = desk.held[req.id] = Held(req, cls, cust, now - self.age(req, cls))
        if self.limits.left(held) < self.limits.health.lat * req.units:
            return self.limits.refuse(held, SECOND)  # too old to be answered in time: no call, no work
        self.quota.refill(cust)
        share = self.counter.ask_share(cust, req.units)
        ask = (s.may_count and req.deadline - now > 2 * s.counter_timeout
               and (share >= 1 or desk.rng.random() < share))
        if cust.plan.rate > 0:
            first = 1 if cust.read else max(share, EASE)  # a first ask speaks for those that stayed away
            held.told = req.units * self.quota.swell(cust) / first
            # room is what the others likely left since the last read
            room = cust.store - cust.flow * min(now - cust.read, cust.window) / SECOND >= req.units
            if ask and (room or now - cust.read > BATCH):
                held.waiting += 1
                cust.unsent += held.told if room else 0.0
                self.quota.tell_quota(cust, "quota" if room else "look", req.id)
            else:
                self.quota.alone(held)
                cust.unsent += held.told if held.taken and cust.read else 0.0
        if cust.plan.open and ask:
            held.waiting += 1
            cust.asked += 1
            self.quota.tell_open(cust, req.id)
        elif cust.plan.open:
            held.within = held.within and self.quota.open_part(cust) >= 1
        if not held.waiting:
            self.settle(held)

    def age(self, req: Request, cls: RequestClass) -> int:
        """Estimates how long ago the client first sent the request, from the time that it still waits."""
        desk = self.desk
        wait, slot = min(req.deadline - desk.now, 2 * cls.deadline), max(1, cls.deadline // 32)
        self.waits[req.class_index, wait // slot] = self.waits.get(
            (req.class_index, wait // slot), 0) + (desk.now > desk.gap)
        usual = slot * max((n, k) for (c, k), n in self.waits.items() if c == req.class_index)[1]
        if desk.now == desk.gap and wait < usual:
            return min(desk.stood, usual - wait)
        return 0 if -slot <= wait - usual < 2 * slot else max(0, cls.deadline - wait)

    def on_counted(self, ev: Counted) -> None:
        waiting = self.counter.calls.get(ev.name)
        if not waiting:
            return
        kind, rid, amount = waiting.popleft()
        if not waiting:
            del self.counter.calls[ev.name]
        answered = ev.ending is Ending.SERVED
        self.counter.pace(ev.ending, ev.latency)
        if kind in self.lending.counts:
            return self.lending.on_batch(kind, ev, amount, answered)
        held = self.desk.held.get(rid)
        if (cust := held.cust if held else self.desk.customers.get(rid)) is None:  # "read" and "told" name it
            return
        if kind in ("open", "told") and ev.ending in NOT_TAKEN and ev.name == self.quota.open_name(cust):
            cust.told -= int(amount)  # what the call held goes with the next
        if kind == "read":
            self.quota.counted(cust, ev, amount)
        if held is None or not held.waiting:
            return
        held.waiting -= 1
        if kind in ("quota", "look"):
            self.quota.counted(cust, ev, amount)
            if held.over:
                held.within = False
            elif answered:
                self.quota.take(held, cust.store >= held.req.units)
            else:
                self.quota.alone(held)
            held.told *= ev.name == self.quota.quota_name(cust)  # nothing is handed back to an epoch's end
            if held.taken == (kind == "look"):  # looked up and passed, or counted and refused: put right
                cust.unsent += held.told if held.taken else -held.told
                if answered and (held.taken or self.counter.asking >= 1):
                    self.quota.tell_quota(cust, "read", cust.name)
            if answered and 0 < amount > 0.999999 * ev.level - 0.001:  # the first add, as levels are rounded
                self.lending.roll_global()
                self.lending.added["floors"] += cust.plan.rate * self.lending.span / SECOND
        elif kind == "open":
            cust.asked -= 1
            room = cust.plan.open - ev.level if answered else self.quota.open_part(cust) - 1
            held.within = held.within and room >= 0
        if held.over:
            self.limits.finish(rid)
        elif not held.waiting:
            self.settle(held)

    def settle(self, held: Held) -> None:
        """Floor first; then borrowing; else refused at once with a time to come back."""
        if not held.within:
            self.quota.give_back(held)
        if (held.within or self.lending.borrow(held)) and self.limits.under_ceiling(held):
            return self.attempts.launch(held)
        lacks = held.req.units - held.cust.store
        self.limits.refuse(held, int(lacks / max(held.cust.plan.rate, 1e-6) * SECOND))
