"""Every decision of an oakvale gateway. Its types, events, actions and settings: oakvale/interface.py.

Top-down: events · counting and quota · lending · backends and choice · attempts · list and timers.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from math import exp
from typing import Any

from oakvale.interface import (
    NEVER_RAN, Action, Attempt, Backends, Cancel, Charge, Counted, Effect, Ended, Ending, Entry, Event, Fail,
    Fetch, Head, ListForm, Plan, Refuse, Request, RequestClass, Settings, State, Timer, Wake, Watch,
    Withdrawn)

BATCH = 250_000  # DESIGN: the global counts go four times a second
R_OVER_FLOORS = 1.3  # DESIGN: R starts at 1.3 times the floor sum
SECOND = 1_000_000
EPOCH = 30 * SECOND  # a count goes on under a new name after half the time that the counter can keep one
SWELL = 16  # a unit written late in an epoch, e^16, is a hundredth of the 1e9 that a counter takes
CROWDED = 1.3  # a backend this much slower than the fleet at its best holds more than it has cores for
LEAST_OUT = 2.0  # limits start at and stay above this, over all gateways: it keeps the smallest one busy
ASK_LEAST = 0.02  # share of requests still asking a counter that does not answer: finds its return
BATCH_SHARE = 0.15  # of a gateway's calls, at most, for the global counts
RETRY_SHARE = 0.1  # retry budget: further attempts per answer, the customary tenth
BEST_AFTER = 20  # answers until their mean latency counts: the first to answer are the short ones
EASE = 0.1  # weight of the newest sample in moving averages: about the last ten answers
NOT_TAKEN = (Ending.FULL, Ending.NO_CONNECTION)  # neither an amount nor work
TICK = 0  # timer token of the batch; attempts' checks use tokens above it


class Customer:
    def __init__(self, name: str, plan: Plan, now: int) -> None:
        self.name, self.plan, self.spread, self.seen = name, plan, 1, now
        # in a shorter window units would swell from under the counter's decimals to more than it takes
        self.window = max(EPOCH // 20, int(plan.burst / plan.rate * SECOND)) if plan.rate > 0 else SECOND
        self.store, self.at = plan.burst, now  # room under the sliding floor, as far as known here
        self.part, self.flow = plan.burst, 0.0  # what may pass here unasked; the others' units a second
        self.spilt = plan.rate * (now % EPOCH) / SECOND  # what came back to a full room since the last read
        self.epoch, self.level, self.read = -1, 0.0, 0  # the count as last read or added to, and when
        self.cap, self.cap_at = 0.0, 0  # own part of a hard ceiling
        self.unsent, self.lent, self.lent_in = 0.0, 0.0, -1  # to go with the next call; lent in this window
        self.out, self.asked, self.slot, self.told = 0, 0, -1, 0  # attempts out; those the counter knows of


class Limit:  # what may be out at once: at one backend, or at all of them together
    def __init__(self, size: float) -> None:
        self.size, self.growing = size, True


class Backend:
    def __init__(self, entry: Entry, least: float) -> None:
        self.entry = entry
        self.inflight: dict[tuple[str, int], float] = {}  # attempt -> units
        self.fresh(least)

    def fresh(self, least: float) -> None:
        self.lat_at = self.heard = self.fails = self.out_until = self.tokens_at = 0
        self.limit, self.tokens, self.lat = Limit(least), 0.0, 0.0


class Held:  # a request that is owed a final answer, or has attempts out
    def __init__(self, req: Request, cls: RequestClass, cust: Customer, now: int) -> None:
        self.req, self.cls, self.cust, self.came = req, cls, cust, now
        self.within, self.waiting, self.hops, self.over, self.head = True, 0, 0, False, False
        self.out: dict[int, tuple[Backend, int]] = {}
        self.ran: tuple[Backend, int] | None = None  # first attempt that may have run, and when it was sent
        self.tried: list[int] = []
        self.taken, self.told = False, req.units  # its units are out of the customer's room; units counted


class Gateway:
    def __init__(self, settings: Settings, seed: int) -> None:
        self.s, self.rng = settings, random.Random(seed)
        self.now = self.born = self.gap = self.stood = 0  # gap: when it last found that it had stood still
        self.waits: dict[tuple[int, int], int] = {}  # tries by class and the time their client still waits
        # when a request was last refused for want of room, a borrower here, a global count read
        self.shed_at = self.wanted = self.told_at = -SECOND
        self.do: list[Action] = []
        self.held, self.customers = dict[str, Held](), dict[str, Customer]()
        self.calls: dict[str, deque[tuple[str, str, float]]] = {}  # name -> (kind, id, amount)
        self.weights, self.spare = 0.0, 0.0  # of those here that may borrow; calls that the batch may make
        self.asking, self.asked_less = 1.0, 0  # share of requests that ask the counter; when it last fell
        self.goal, self.good, self.called = 1.0, True, 0  # share to go back to; last call answered; last ask
        self.span = max((Customer("", p, 0).window for p in settings.plans if p.rate > 0), default=SECOND)
        self.aim = min((c.aim for c in settings.classes), default=SECOND)
        self.open_slot = max((c.deadline for c in settings.classes), default=SECOND)
        self.lends = settings.may_count and any(map(self.soft, settings.plans))
        self.period = {"floors": EPOCH, "lent": self.span}  # how long the global counts run
        self.counts = dict.fromkeys(self.period, 0.0)  # as last read
        self.added = dict.fromkeys(self.period, 0.0)  # own, not yet sent
        self.began, self.flushed = dict.fromkeys(self.period, -1), False
        self.backends, self.room = dict[int, Backend](), Limit(LEAST_OUT)  # room: what may be out in all
        self.units, self.least = 1.0, LEAST_OUT / settings.fleet  # mean units of a request; least limit
        self.lat = self.mean = 0.0  # latency of a unit in the fleet, lately and over more answers
        self.base, self.heard = 0.0, 0  # the least that this mean was, slowly forgotten; answers in it
        self.budget, self.stake = 10.0, 0.0  # further attempts; the mean worth that a wrong guess would cost
        self.sent_units, self.sent_rate = 0.0, 0.0  # since the last tick; a second's, lately
        self.tokens, self.next_token = dict[int, tuple[str, int]](), 1
        self.handlers: dict[type[Event], Callable[[Any], None]] = {
            Request: self.on_request, Ended: self.on_ended, Counted: self.on_counted, Timer: self.on_timer,
            Backends: self.on_backends, Head: self.on_head, Withdrawn: lambda ev: self.finish(ev.id)}

    def resettle(self, settings: Settings) -> None:
        """Other classes of requests, same backends: what was learned of these stays."""
        self.s = settings
        self.aim = min((c.aim for c in settings.classes), default=SECOND)
        self.open_slot = max((c.deadline for c in settings.classes), default=SECOND)

    def tries(self, held: Held) -> int:
        return held.cls.tries or self.s.max_attempts

    def handle(self, now: int, event: Event) -> list[Action]:
        if self.now and now - self.now > 2 * BATCH:  # it stood still: all that came meanwhile comes now
            self.gap, self.stood = now, now - self.now
        self.now, self.do = now, []
        if handler := self.handlers.get(type(event)):
            handler(event)
        return self.do

    def on_head(self, ev: Head) -> None:
        if ev.id in self.held:
            self.held[ev.id].head = True

    # ---- counting and quota

    def on_request(self, req: Request) -> None:
        if not (0 <= req.plan < len(self.s.plans) and 0 <= req.cls < len(self.s.classes)):
            return self.do.append(Refuse(req.id))
        cust = self.customers.get(req.customer)
        if cust is None:
            cust = self.customers[req.customer] = Customer(req.customer, self.s.plans[req.plan], self.now)
            self.weights += cust.plan.price if self.soft(cust.plan) else 0.0
        cust.seen, cust.spread = self.now, max(1, min(req.spread, self.s.fleet))
        cls = self.s.classes[req.cls]
        held = self.held[req.id] = Held(req, cls, cust, self.now - self.age(req, cls))
        if self.left(held) < self.lat * req.units:  # too old to be answered in time: no call, no work
            return self.refuse(held, SECOND)
        self.refill(cust)
        share = self.ask_share(cust, req.units)
        ask = (self.s.may_count and req.deadline - self.now > 2 * self.s.counter_timeout
               and (share >= 1 or self.rng.random() < share))
        if cust.plan.rate > 0:
            first = 1 if cust.read else max(share, EASE)  # a first ask speaks for those that stayed away
            held.told = req.units * self.swell(cust) / first
            # room is what the others likely left since the last read
            room = cust.store - cust.flow * min(self.now - cust.read, cust.window) / SECOND >= req.units
            if ask and (room or self.now - cust.read > BATCH):
                held.waiting += 1
                cust.unsent += held.told if room else 0.0
                self.tell_quota(cust, "quota" if room else "look", req.id)
            else:
                self.alone(held)
                cust.unsent += held.told if held.taken and cust.read else 0.0
        if cust.plan.open and ask:
            held.waiting += 1
            cust.asked += 1
            self.tell_open(cust, req.id)
        elif cust.plan.open:
            held.within = held.within and self.open_part(cust) >= 1
        if not held.waiting:
            self.settle(held)

    def age(self, req: Request, cls: RequestClass) -> int:
        """How long ago the client first asked. First tries all wait alike: the time that most do. A repeat
        waits for what is left of the deadline, one that came while this gateway stood still for less."""
        wait, slot = min(req.deadline - self.now, 2 * cls.deadline), max(1, cls.deadline // 32)
        self.waits[req.cls, wait // slot] = self.waits.get((req.cls, wait // slot), 0) + (self.now > self.gap)
        usual = slot * max((n, k) for (c, k), n in self.waits.items() if c == req.cls)[1]
        if self.now == self.gap and wait < usual:
            return min(self.stood, usual - wait)
        return 0 if -slot <= wait - usual < 2 * slot else max(0, cls.deadline - wait)

    def tell_quota(self, cust: Customer, kind: str, rid: str) -> None:
        self.charge(self.quota_name(cust), cust.unsent, kind, rid)
        cust.unsent = 0.0

    def quota_name(self, cust: Customer) -> str:
        return f"q:{cust.name}:{self.now // EPOCH}"

    def open_name(self, cust: Customer) -> str:
        return f"o:{cust.name}:{self.now // self.open_slot}"

    def open_part(self, cust: Customer) -> float:
        return max(1, cust.plan.open / cust.spread) - cust.out

    def tell_open(self, cust: Customer, rid: str = "") -> None:
        """Tells what is held here. A count lives one longest deadline: a dead gateway's part ends with it."""
        if not rid and (not cust.plan.open or not self.s.may_count or self.asking < 1):
            return
        if self.now // self.open_slot != cust.slot:
            cust.slot, cust.told = self.now // self.open_slot, 0
        amount = cust.out + cust.asked - cust.told
        if amount or rid:
            cust.told += amount
            self.charge(self.open_name(cust), amount, "open" if rid else "told", rid or cust.name)

    def charge(self, name: str, amount: float, kind: str, rid: str) -> None:
        self.calls.setdefault(name, deque()).append((kind, rid, amount))
        self.spare = min(2.0, self.spare + BATCH_SHARE)
        self.called = self.now
        ttl = 2 * (self.open_slot if kind in ("open", "told") else self.period.get(kind, EPOCH))
        self.do.append(Charge(name, amount, min(ttl, 2 * EPOCH)))

    def refill(self, cust: Customer) -> None:
        """The floor slides: room comes back at the plan's rate up to its burst, as quotas are judged. What
        may pass unasked grows by what the others left of it when last read, the even share at least."""
        if cust.epoch != self.now // EPOCH:  # use not yet told fades on under the new name
            cust.epoch, cust.level = self.now // EPOCH, 0.0
            cust.unsent *= exp(-EPOCH / cust.window)
        gained = cust.plan.rate * (self.now - cust.at) / SECOND
        cust.spilt += max(0.0, cust.store + gained - cust.plan.burst)
        cust.store = min(cust.plan.burst, cust.store + gained)
        free = (1 - cust.flow / (cust.plan.rate or 1)) * exp((cust.read - self.now) / cust.window)
        cust.part += gained * max(1 / cust.spread, free)
        cust.part = min(cust.part, max(cust.plan.burst / cust.spread, self.units))
        cust.at = self.now

    def ask_share(self, cust: Customer, units: float) -> float:
        """Where the counter can't take a call for each, those least missed stay away first: small, cheap to
        let through, or of customers with room left. One goes a longest deadline after the last call."""
        stake = units * cust.plan.price * max(cust.plan.over_cost, 0.25)
        self.stake += EASE * (stake - self.stake)
        if self.asking >= 1 or not stake or self.now - self.called > self.open_slot:
            return 1.0
        left = max(0.0, cust.part / max(cust.plan.burst / cust.spread, self.units)) if cust.read else 0.0
        return float(self.asking ** ((0.5 + left) * self.stake / stake))

    def swell(self, cust: Customer) -> float:
        """What a unit adds to its customer's count: more, the later, so that earlier ones fade over the
        plan's window. The count slides and does not start anew: one read tells who is near the floor."""
        return exp(self.now % EPOCH / cust.window + min(0.0, SWELL - EPOCH / cust.window))

    def counted(self, cust: Customer, ev: Counted, amount: float) -> None:
        """Takes what the others added since the last read, as spread over that time, out of the room; it
        first meets what a full room spilt. After more than a window only the faded sum tells. A count that
        fell by more than was handed back was emptied: then only what is known here counts."""
        if ev.name != self.quota_name(cust):
            return  # of the epoch before
        if ev.ending in NOT_TAKEN:
            cust.unsent += amount
        elif ev.ending is not Ending.SERVED:
            cust.level += amount  # it may have been added
        else:
            self.refill(cust)
            swell, since = self.swell(cust), max(1, min(self.now - cust.read, self.now % EPOCH))
            others, span, burst = ev.level - cust.level - amount, since / cust.window, cust.plan.burst
            cust.level, cust.read = ev.level, self.now
            gone = round(others / swell * (span / (1 - exp(-span)) if others > 0 else 1), 3)
            if gone > -self.s.largest and span > 1:
                cust.store = burst * (1 - min(1, (ev.level - amount) / swell / burst) ** 2)
            elif gone > -self.s.largest:
                cust.store = min(burst, cust.store - gone + min(cust.spilt, max(0.0, gone)))
            cust.flow += (max(0.0, gone) * SECOND - cust.flow * since) / (since + cust.window)
            cust.spilt, cust.part = 0.0, cust.store

    def on_counted(self, ev: Counted) -> None:
        waiting = self.calls.get(ev.name)
        if not waiting:
            return
        kind, rid, amount = waiting.popleft()
        if not waiting:
            del self.calls[ev.name]
        answered = ev.ending is Ending.SERVED
        self.pace(ev.ending, ev.latency)
        if kind in self.counts:
            return self.on_batch(kind, ev, amount, answered)
        held = self.held.get(rid)
        if (cust := held.cust if held else self.customers.get(rid)) is None:  # a "read" or "told" names it
            return
        if kind in ("open", "told") and ev.ending in NOT_TAKEN and ev.name == self.open_name(cust):
            cust.told -= int(amount)  # what the call held goes with the next
        if kind == "read":
            self.counted(cust, ev, amount)
        if held is None or not held.waiting:
            return
        held.waiting -= 1
        if kind in ("quota", "look"):
            self.counted(cust, ev, amount)
            if held.over:
                held.within = False
            elif answered:
                self.take(held, cust.store >= held.req.units)
            else:
                self.alone(held)
            held.told *= ev.name == self.quota_name(cust)  # nothing is handed back to an epoch's end
            if held.taken == (kind == "look"):  # looked up and passed, or counted and refused: put right
                cust.unsent += held.told if held.taken else -held.told
                if answered and (held.taken or self.asking >= 1):
                    self.tell_quota(cust, "read", cust.name)
            if answered and 0 < amount > 0.999999 * ev.level - 0.001:  # the first add, as levels are rounded
                self.roll_global()
                self.added["floors"] += cust.plan.rate * self.span / SECOND
        elif kind == "open":
            cust.asked -= 1
            room = cust.plan.open - ev.level if answered else self.open_part(cust) - 1
            held.within = held.within and room >= 0
        if held.over:
            self.finish(rid)
        elif not held.waiting:
            self.settle(held)

    def pace(self, ending: Ending, latency: int) -> None:
        """A counter that does not answer is asked far less. A good answer brings back half of what was asked
        before, then a little more: no herd on return. A spoilt one says nothing of what it can take."""
        if ending is Ending.SERVED and latency < self.s.counter_timeout // 2:
            self.asking, self.good = min(1.0, max(self.asking + 0.01, self.goal)), True
        elif ending in (*NOT_TAKEN, Ending.TIMEOUT) and (
                self.now - max(self.asked_less, self.gap) > 2 * self.s.counter_timeout):
            self.goal, self.good = self.asking / 2 if self.good else self.goal, False
            self.asking, self.asked_less = max(ASK_LEAST, self.asking / 2), self.now

    def alone(self, held: Held) -> None:
        """DESIGN: unanswered, only within a part of the room left; by lot, or small parts would pass none."""
        units = held.req.units
        self.take(held, held.cust.store >= units and held.cust.part >= units * self.rng.random())

    def take(self, held: Held, room: bool) -> None:
        held.taken, held.within = room, held.within and room
        held.cust.store -= held.req.units if room else 0.0
        held.cust.part -= held.req.units if room else 0.0

    def give_back(self, held: Held) -> None:  # not sent on inside the quota, they still are in its store
        if held.taken and not held.hops:
            held.taken = False
            held.cust.store += held.req.units
            held.cust.unsent -= held.told

    def under_ceiling(self, held: Held) -> bool:
        """Rule: each keeps its part of a hard ceiling, empty at its start as an earlier life spent it."""
        cust, plan = held.cust, held.cust.plan
        gained = plan.ceiling_rate / cust.spread * (self.now - max(cust.cap_at, self.born)) / SECOND
        cust.cap, cust.cap_at = min(plan.ceiling_burst / cust.spread, cust.cap + gained), self.now
        if plan.ceiling_rate > 0 and cust.cap < held.req.units:
            return False
        cust.cap -= held.req.units
        return True

    def settle(self, held: Held) -> None:
        """Floor first; then borrowing; else refused at once with a time to come back."""
        if not held.within:
            self.give_back(held)
        if (held.within or self.borrow(held)) and self.under_ceiling(held):
            return self.launch(held)
        self.refuse(held, int((held.req.units - held.cust.store) / max(held.cust.plan.rate, 1e-6) * SECOND))

    # ---- lending

    def roll_global(self) -> None:
        for k, period in self.period.items():
            if self.now // period != self.began[k]:
                self.began[k], self.flushed = self.now // period, False
                self.counts[k] = self.added[k] = 0.0

    def batch(self) -> None:
        """Sent where of use, and few: the batches of 300 gateways alone would outrun the counter."""
        self.roll_global()
        for k, amount in self.added.items():
            wanted = amount > 0 or self.now - self.wanted < 2 * BATCH
            if wanted and self.spare >= 1 and not self.calls.get(f"g:{k}:{self.began[k]}"):
                self.spare -= 1
                self.charge(f"g:{k}:{self.began[k]}", amount, k, "")
                self.counts[k] += amount
                self.added[k] = 0.0

    def on_batch(self, kind: str, ev: Counted, amount: float, answered: bool) -> None:
        if ev.name != f"g:{kind}:{self.began[kind]}":
            return
        if answered:
            self.told_at = self.now
            if ev.level < 0.999 * self.counts[kind]:
                self.flushed = True  # emptied: slack would look wide, so nothing is lent in this window
            self.counts[kind] = max(ev.level, self.counts[kind])
        elif ev.ending in NOT_TAKEN:
            self.counts[kind] -= amount
            self.added[kind] += amount

    def soft(self, plan: Plan) -> bool:
        return plan.over_worth > plan.over_cost  # lending earns more than it costs

    def borrow(self, held: Held) -> bool:
        cust, units = held.cust, held.req.units
        self.roll_global()
        if not self.soft(cust.plan) or not self.lends or self.pressed() or self.flushed or self.asking < 1:
            return False
        self.wanted = self.now
        floors, lent = (self.counts[k] + self.added[k] for k in self.counts)
        # DESIGN's R x elapsed - total - unserved floors; total is served + lent, unserved floors - served
        slack = (R_OVER_FLOORS - 1) * floors * (self.now % self.span / self.span) - lent
        if slack <= 0 or self.now - self.told_at > SECOND:  # nothing is lent on old counts
            return False
        share = (R_OVER_FLOORS - 1) * floors * cust.plan.price / self.weights
        if cust.lent_in != self.began["lent"]:
            cust.lent, cust.lent_in = 0.0, self.began["lent"]
        if cust.lent + units > share:
            return False
        cust.lent += units
        return True

    # ---- backends and choice: health is passive, from how attempts ended

    def pressed(self) -> bool:
        """Nothing is lent while a passed request was lately turned away, or crowded, for want of room."""
        return self.now - self.shed_at < SECOND or self.lat > CROWDED * (self.base or self.lat)

    def lat_of(self, b: Backend) -> float:
        """Latency of a unit; what was seen long ago fades, so that a slow one is tried again."""
        known = exp((b.lat_at - self.now) / (7 * SECOND)) if b.lat else 0.0
        return (self.lat or 1.0) + (b.lat - self.lat) * known

    def stalled(self, b: Backend) -> bool:
        """It holds work and has answered nothing for longer than that work should take."""
        work = max(b.inflight.values(), default=0.0)
        return work > 0 and self.now - max(b.heard, self.gap) > max(3 * self.lat * work, 0.25 * self.aim)

    def cold_room(self, b: Backend, units: float, warm: float) -> bool:
        """A cold backend gets this gateway's mean flow to a warm one, times its warmth; bursts stay small."""
        n = sum(1 for x in self.backends.values() if x.entry.state is State.READY)
        rate = self.sent_rate / max(1, n) * warm
        b.tokens += rate * (self.now - (b.tokens_at or self.now)) / SECOND
        b.tokens = min(max(rate * self.s.fall_span / SECOND / 2, 0.5 * self.s.largest), b.tokens)
        b.tokens_at = self.now
        return b.tokens >= units

    def choose(self, held: Held) -> Backend | None:
        ready = [b for b in self.backends.values() if b.entry.state is State.READY and self.in_group(held, b)]
        up = [b for b in ready if b.out_until <= self.now and not self.stalled(b)]
        up = up if 2 * len(up) >= len(ready) else ready  # many ejected: distrust ejection
        if sum(len(b.inflight) for b in up) >= max(self.room.size, sum(b.limit.size for b in up)):
            return None  # limits under one hold for all together; what is stuck at others takes no room
        best, best_cost = None, 0.0
        for b in [b for b in up if b.entry.backend not in held.tried] or up:
            if len(b.inflight) >= (1 if b.fails else max(1.0, b.limit.size)):
                continue
            age = (self.now - b.entry.started) / self.s.ramp if b.entry.started and self.s.ramp else 1.0
            warm = min(1.0, self.s.cold_from + (1 - self.s.cold_from) * max(0.0, age))  # surely no less
            if warm < 1 and not self.cold_room(b, held.req.units, warm):
                continue
            cost = (len(b.inflight) + 1) * self.lat_of(b) / max(b.entry.weight, 1e-3) / warm
            cost *= 1.3 if b.entry.zone != self.s.zone and self.s.cross_zone_price > 0 else 1
            cost *= 1 + 0.05 * self.rng.random()
            if best is None or cost < best_cost:
                best, best_cost = b, cost
        return best

    def in_group(self, held: Held, b: Backend) -> bool:
        """Rule: a keyed request that may have run stays with those that discard its repeats."""
        if held.ran is None or held.cls.effect is not Effect.KEYED or held.cls.group == "all":
            return True
        first = held.ran[0].entry
        return b.entry.zone == first.zone and (held.cls.group == "zone" or b.entry.cell == first.cell)

    def learn(self, b: Backend, ev: Ended, units: float) -> None:
        per = ev.latency / max(units, 1.0)
        if ev.ending is Ending.SERVED:
            b.heard, b.fails, b.out_until = self.now, max(0, b.fails - 1), b.out_until * (b.fails > 1)
            self.sample(b, per)
            self.lat = self.lat + EASE * (per - self.lat) if self.lat else per
            self.heard = min(self.heard + 1, BEST_AFTER)
            self.mean += (per - self.mean) / self.heard
            if self.heard == BEST_AFTER:
                self.base = min(self.base or self.mean, self.mean)
            self.budget = min(10.0, self.budget + RETRY_SHARE)
            self.fit(b.limit, len(b.inflight), self.lat_of(b), self.least)
            self.fit(self.room, sum(len(x.inflight) for x in self.backends.values()), self.lat, 1.0)
        elif ev.ending in (*NOT_TAKEN, Ending.RESET) or ev.ending is Ending.ERROR and not ev.over:
            self.eject(b)
        elif ev.ending in (Ending.TIMEOUT, Ending.CANCELLED) and per > b.lat:
            self.sample(b, per)
            self.fit(b.limit, len(b.inflight), self.lat_of(b), self.least)

    def sample(self, b: Backend, per: float) -> None:
        """Starts from the fleet's figure: one answer, all that one of many gateways gets, tells little."""
        known = self.lat_of(b) if self.lat else per
        b.lat, b.lat_at = known + 2 * EASE * (per - known), self.now

    def fit(self, lim: Limit, out: int, lat: float, least: float) -> None:
        """What may be out at a backend follows its latency, and in all the fleet's: cut towards what would be
        answered in 0.4 of the aim; doubled at first, then raised by one a round. Guards against jams of any
        cause. One of many gateways seldom hears a backend: it learns by the sum."""
        excess = lat / min(0.4 * self.aim / self.units, CROWDED * self.base or 1e9)
        if excess > 1:
            lim.size = max(least, min(lim.size, out + 1) * (0.8 + 0.2 / excess))
            lim.growing = False
        elif self.base and out + 1 >= lim.size / 2:
            lim.size += min(1.0, lim.size) if lim.growing else min(lim.size / 2, 1 / lim.size)

    def eject(self, b: Backend) -> None:
        """One that fails or errs at once or went silent looks idle and would draw all traffic: it is left
        alone for a 16th of the aim, doubling up to the aim; each answer takes one failure off."""
        if b.out_until <= self.now:
            b.fails = min(b.fails + 1, 5)
            b.out_until = self.now + (self.aim << b.fails >> 5)

    # ---- attempts

    def launch(self, held: Held) -> None:
        b = self.choose(held)
        if b is None:
            self.shed_at = self.now
            return self.refuse(held, SECOND // 2)
        req, hop = held.req, held.hops
        self.do.append(Attempt(req.id, b.entry.backend))
        if not hop:
            self.units += EASE * (req.units - self.units)
            self.sent_units += req.units
            self.added["lent"] += 0 if held.within else req.units
        b.heard = b.heard if b.inflight else self.now
        b.inflight[(req.id, hop)] = req.units
        b.tokens -= req.units
        held.hops, held.out[hop] = hop + 1, (b, self.now)
        held.tried.append(b.entry.backend)
        held.cust.out += 1
        if self.s.may_cancel and held.hops < self.tries(held) and held.cls.effect is not Effect.UNSAFE:
            self.check_later(held, hop, int(max(2.5 * self.lat_of(b) * req.units, 0.3 * held.cls.aim)))

    def check_later(self, held: Held, hop: int, delay: int) -> None:
        token, self.next_token = self.next_token, self.next_token + 1
        self.tokens[token] = (held.req.id, hop)
        self.do.append(Wake(token, delay))

    def check(self, rid: str, hop: int) -> None:
        """Time-out by evidence: move off a backend that fell silent or is far slower than the fleet. What is
        lost there and too late to move takes no room any more: a lost answer would block a small limit."""
        held = self.held.get(rid)
        if held is None or held.over or held.head or hop not in held.out:
            return
        (b, sent), units, aim = held.out[hop], held.req.units, held.cls.aim
        silent = self.stalled(b)
        lost = silent or self.now - max(sent, self.gap) > max(4 * self.lat_of(b) * units, 0.5 * aim)
        if silent:
            self.eject(b)
        useful = self.left(held) >= self.lat * units and self.budget >= 1
        if useful and (lost or self.lat_of(b) > 3 * self.lat):
            return self.do.append(Cancel(rid, hop))
        if not lost:
            return self.check_later(held, hop, int(0.2 * aim))
        if b.inflight.pop((rid, hop), 0):
            self.sample(b, (self.now - sent) / units)

    def on_ended(self, ev: Ended) -> None:
        held = self.held.get(ev.id)
        if held is None or ev.hop not in held.out:
            return
        b, sent = held.out.pop(ev.hop)
        known = b.inflight.pop((ev.id, ev.hop), 0)
        if self.s.post_paid and ev.true_units and held.taken:  # the guess is put right
            held.cust.store -= ev.true_units - held.req.units
            held.cust.unsent += (ev.true_units - held.req.units) * self.swell(held.cust)
        if self.now > self.gap and (known or ev.ending is Ending.SERVED):
            self.learn(b, ev, held.req.units)  # but what came while this gateway stood still blames nobody
        held.cust.out -= 1
        self.tell_open(held.cust)
        if held.ran is None and ev.ending not in NEVER_RAN:
            held.ran = (b, sent)
        if ev.over or held.over:
            self.finish(ev.id)
        elif not held.out:
            self.again(held, ev.ending)

    def left(self, held: Held) -> int:
        """Time in which an answer is worth something: to the aim, or to an impatient client's deadline."""
        aimed = held.req.deadline if self.s.late_earns else held.came + held.cls.aim
        return min(aimed, held.req.deadline) - self.now

    def again(self, held: Held, ending: Ending) -> None:
        """Another attempt where effect, budget and aim allow one; else the final answer at once."""
        cost = 0 if ending in NEVER_RAN else 1
        useful = ending is not Ending.MOOT and self.left(held) > self.lat * held.req.units / 2
        if useful and self.budget >= cost and held.hops < self.tries(held) and self.repeatable(held):
            self.budget -= cost
            return self.launch(held)
        self.refuse(held, SECOND // 2)

    def repeatable(self, held: Held) -> bool:
        return held.ran is None or held.cls.effect is Effect.SAFE or (
            held.cls.effect is Effect.KEYED and self.now - held.ran[1] < held.cls.memory)

    def refuse(self, held: Held, wait: int) -> None:
        self.give_back(held)
        self.tell_open(held.cust)
        harmless = held.ran is None or held.cls.effect is Effect.SAFE or (
            held.cls.effect is Effect.KEYED and held.cls.group == "all")
        wait = min(max(wait, 1), SECOND, self.s.max_retry_after) if self.s.retry_after else 0
        self.do.append(Refuse(held.req.id, wait) if harmless else Fail(held.req.id))
        self.finish(held.req.id)

    def finish(self, rid: str) -> None:
        held = self.held.get(rid)
        if held is not None:
            held.over = True
            if not held.out and not held.waiting:
                del self.held[rid]

    # ---- list and timers

    def on_backends(self, ev: Backends) -> None:
        if not self.born:
            self.born = self.now
            self.do.append(Wake(TICK, BATCH))
            if self.s.on_request:
                self.do.append(Watch(True))
        if ev.form is ListForm.FAILED:
            return self.do.append(Watch(True))
        if ev.form is not ListForm.DELTA:
            listed = {e.backend for e in ev.entries}
            for key, b in self.backends.items():
                if key not in listed:
                    b.entry = Entry(key, b.entry.zone, b.entry.kind, b.entry.cell, State.GONE, b.entry.weight)
        for e in ev.entries:
            known = self.backends.setdefault(e.backend, Backend(e, self.least))
            if e.started > known.entry.started:
                known.fresh(self.least)
            known.entry = e
        self.backends = {k: b for k, b in self.backends.items() if b.inflight or b.entry.state != State.GONE}

    def on_timer(self, ev: Timer) -> None:
        if ev.token != TICK:
            return self.check(*self.tokens.pop(ev.token, ("", 0)))
        self.do.append(Wake(TICK, BATCH))
        self.base *= 1.005
        took = BATCH if self.now > self.gap else self.stood
        self.sent_rate += EASE * (self.sent_units * SECOND / took - self.sent_rate)
        self.sent_units = 0.0
        if self.lends:
            self.batch()
        for name in [k for k, c in self.customers.items() if self.idle(c)]:
            plan = self.customers.pop(name).plan
            self.weights -= plan.price if self.soft(plan) else 0.0
        if not self.backends:
            self.do.append(Fetch())

    def idle(self, cust: Customer) -> bool:
        """Dropped once the counter has forgotten it too, and a ceiling's part is sure to be full again."""
        fills = cust.plan.ceiling_burst / (cust.plan.ceiling_rate or 1e9) * SECOND
        return not cust.out and not cust.asked and self.now - cust.seen > max(2 * EPOCH, fills)
