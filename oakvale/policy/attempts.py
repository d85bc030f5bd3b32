"""Attempts and budgets: what is sent where, when it is called off, and whether another follows."""

from oakvale.interface import NEVER_RAN, Attempt, Cancel, Effect, Ended, Ending, Head, Wake
from oakvale.policy.choice import Choice
from oakvale.policy.lending import Lending
from oakvale.policy.records import EASE, SECOND, Desk, Held
from oakvale.retry_budget import RetryBudget


class Attempts:
    def __init__(self, desk: Desk, lending: Lending, choice: Choice, budget: RetryBudget) -> None:
        self.desk, self.lending, self.choice = desk, lending, choice
        self.limits, self.health, self.quota = choice.limits, choice.health, choice.limits.quota
        self.budget, self.tokens, self.next_token = budget, dict[int, tuple[str, int]](), 1

    def tries(self, held: Held) -> int:
        return held.cls.tries or self.desk.s.max_attempts

    def launch(self, held: Held) -> None:
        b = self.choice.choose(held)
        if b is None:
            self.limits.shed_at = self.desk.now
            return self.limits.refuse(held, SECOND // 2)
        req, hop, desk = held.req, held.hops, self.desk
        desk.do.append(Attempt(req.id, b.entry.backend))
        if not hop:
            desk.units += EASE * (req.units - desk.units)
            self.choice.sent_units += req.units
            self.lending.added["lent"] += 0 if held.within else req.units
        b.heard = b.heard if b.inflight else desk.now
        b.inflight[(req.id, hop)] = req.units
        b.tokens -= req.units
        held.hops, held.out[hop] = hop + 1, (b, desk.now)
        held.tried.append(b.entry.backend)
        held.cust.out += 1
        if desk.s.may_cancel and held.hops < self.tries(held) and held.cls.effect is not Effect.UNSAFE:
            self.check_later(held, hop, int(max(2.5 * self.health.lat_of(b) * req.units, 0.3 * held.cls.aim)))

    def check_later(self, held: Held, hop: int, delay: int) -> None:
        token, self.next_token = self.next_token, self.next_token + 1
        self.tokens[token] = (held.req.id, hop)
        self.desk.do.append(Wake(token, delay))

    def check(self, rid: str, hop: int) -> None:
        """Time-out by evidence: move off a backend that fell silent or is far slower than the fleet. What is
        lost there and too late to move takes no room any more: a lost answer would block a small limit."""
        held = self.desk.held.get(rid)
        if held is None or held.over or held.head or hop not in held.out:
            return
        (b, sent), units, aim, now = held.out[hop], held.req.units, held.cls.aim, self.desk.now
        lat, silent = self.health.lat_of(b), self.health.stalled(b)
        lost = silent or now - max(sent, self.desk.gap) > max(4 * lat * units, 0.5 * aim)
        if silent:
            self.health.eject(b)
        useful = self.limits.left(held) >= self.health.lat * units and self.budget.can_retry(self.desk.now)
        if useful and (lost or lat > 3 * self.health.lat):
            return self.desk.do.append(Cancel(rid, hop))
        if not lost:
            return self.check_later(held, hop, int(0.2 * aim))
        if b.inflight.pop((rid, hop), 0):
            self.health.sample(b, (now - sent) / units)

    def on_head(self, ev: Head) -> None:
        if ev.id in self.desk.held:
            self.desk.held[ev.id].head = True

    def on_ended(self, ev: Ended) -> None:
        held = self.desk.held.get(ev.id)
        if held is None or ev.hop not in held.out:
            return
        b, sent = held.out.pop(ev.hop)
        known = b.inflight.pop((ev.id, ev.hop), 0)
        if self.desk.s.post_paid and ev.true_units and held.taken:  # the guess is put right
            held.cust.store -= ev.true_units - held.req.units
            held.cust.unsent += (ev.true_units - held.req.units) * self.quota.swell(held.cust)
        learned = self.desk.now > self.desk.gap and bool(known or ev.ending is Ending.SERVED)
        if learned and self.health.learn(b, ev, held.req.units):  # what came in a pause blames nobody
            self.limits.follow(b, ev.ending)
        self.budget.record_attempt_end(held.spent, ev.ending, learned, self.desk.now)
        held.cust.out -= 1
        self.quota.tell_open(held.cust)
        if held.ran is None and ev.ending not in NEVER_RAN:
            held.ran = (b, sent)
        if ev.over or held.over:
            self.limits.finish(ev.id)
        elif not held.out:
            self.again(held, ev.ending)

    def again(self, held: Held, ending: Ending) -> None:
        """Another attempt where effect, budget and aim allow one; else the final answer at once."""
        useful = ending is not Ending.MOOT and self.limits.left(held) > self.health.lat * held.req.units / 2
        may = useful and held.hops < self.tries(held) and self.repeatable(held)
        if may and self.budget.try_spend(held.spent, ending, self.desk.now):
            return self.launch(held)
        self.limits.refuse(held, SECOND // 2)

    def repeatable(self, held: Held) -> bool:
        return held.ran is None or held.cls.effect is Effect.SAFE or (
            held.cls.effect is Effect.KEYED and self.desk.now - held.ran[1] < held.cls.memory)
