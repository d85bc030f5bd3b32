"""List and timers: the backends as discovery tells them, and what is done four times a second."""

from oakvale.interface import Backends, Entry, Fetch, ListForm, State, Timer, Wake, Watch
from oakvale.policy.attempts import Attempts
from oakvale.policy.records import BATCH, EPOCH, SECOND, TICK, Backend, Customer, Desk


class Upkeep:
    def __init__(self, desk: Desk, attempts: Attempts) -> None:
        self.desk, self.attempts, self.lending = desk, attempts, attempts.lending

    def on_backends(self, ev: Backends) -> None:
        desk, least = self.desk, self.attempts.limits.least
        if not desk.born:
            desk.born = desk.now
            desk.do.append(Wake(TICK, BATCH))
            if desk.s.on_request:
                desk.do.append(Watch(True))
        if ev.form is ListForm.FAILED:
            return desk.do.append(Watch(True))
        if ev.form is not ListForm.DELTA:
            listed = {e.backend for e in ev.entries}
            for key, b in desk.backends.items():
                if key not in listed:
                    b.entry = Entry(key, b.entry.zone, b.entry.kind, b.entry.cell, State.GONE, b.entry.weight)
        for e in ev.entries:
            known = desk.backends.setdefault(e.backend, Backend(e, least))
            if e.started > known.entry.started:
                known.fresh(least)
            known.entry = e
        desk.backends = {k: b for k, b in desk.backends.items() if b.inflight or b.entry.state != State.GONE}

    def on_timer(self, ev: Timer) -> None:
        if ev.token != TICK:
            return self.attempts.check(*self.attempts.tokens.pop(ev.token, ("", 0)))
        desk = self.desk
        desk.do.append(Wake(TICK, BATCH))
        self.attempts.health.base *= 1.005
        self.attempts.choice.tick()
        if self.lending.lends:
            self.lending.batch()
        for name in [k for k, c in desk.customers.items() if self.idle(c)]:
            plan = desk.customers.pop(name).plan
            self.lending.weights -= plan.price if self.lending.soft(plan) else 0.0
        if not desk.backends:
            desk.do.append(Fetch())

    def idle(self, cust: Customer) -> bool:
        """Dropped once the counter has forgotten it too, and a ceiling's part is sure to be full again."""
        fills = cust.plan.ceiling_burst / (cust.plan.ceiling_rate or 1e9) * SECOND
        return not cust.out and not cust.asked and self.desk.now - cust.seen > max(2 * EPOCH, fills)
