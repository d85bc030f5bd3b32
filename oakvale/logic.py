"""Every decision of an oakvale gateway. Its types, events, actions and settings: oakvale/interface.py.

Top-down: the gateway and its events · counting and quota · lending · backends and choice · attempts ·
list and timers. `handle(now, event)` returns actions; there is no I/O and no clock here.
"""

from __future__ import annotations

import random
from collections import deque

from oakvale.interface import (
    NEVER_RAN, Action, Attempt, Backends, Cancel, Charge, Counted, Effect, Ended, Ending, Entry, Event, Fail,
    Fetch, Head, ListForm, Plan, Refuse, Request, RequestClass, Settings, State, Timer, Wake, Watch,
    Withdrawn)

BATCH = 250_000  # DESIGN: the global counts go four times a second
R_OVER_FLOORS = 1.3  # DESIGN: R starts at 1.3 times the floor sum
SECOND = 1_000_000
CROWDED = 1.3  # a backend this much slower than the fleet at its best holds more than it has cores for
LEAST_OUT = 2.0  # limits start at and stay above this, over all gateways: it keeps the smallest one busy
ASK_LEAST = 0.02  # share of requests still asking a counter that does not answer: finds its return
RETRY_SHARE = 0.1  # retry budget: further attempts per answer, the customary tenth
EASE = 0.1  # weight of the newest sample in moving averages: about the last ten answers
TICK = 0  # timer token of the batch; attempts' checks use tokens above it


class Customer:
    def __init__(self, name: str, plan: Plan, now: int) -> None:
        self.name, self.plan, self.spread, self.seen = name, plan, 1, now
        self.store, self.at = plan.burst, now  # room under the sliding floor, as far as known here
        self.cap, self.cap_at = 0.0, 0  # own part of a hard ceiling
        self.spilt = 0.0  # what came back to a full room since the last read
        self.window, self.level, self.read = -1, 0.0, 0  # the count as last read or added to, and when
        self.unsent, self.alone, self.part = 0.0, False, 0.0  # part: own share of the room while unanswered
        self.floored, self.lent, self.lent_in = -1, 0.0, -1
        self.out, self.asked, self.slot, self.told = 0, 0, -1, 0  # attempts out; those the counter knows of


class Limit:
    """What may be out at once: at one backend, or at all of them together."""
    def __init__(self, size: float) -> None:
        self.size, self.growing = size, True


class Backend:
    def __init__(self, entry: Entry, least: float) -> None:
        self.entry = entry
        self.inflight: dict[tuple[str, int], float] = {}  # attempt -> units
        self.fresh(least)

    def fresh(self, least: float) -> None:
        """What a restarted process did before tells nothing of it now."""
        self.lat = 0.0
        self.lat_at = self.heard = self.fails = self.out_until = self.tokens_at = 0
        self.limit, self.tokens = Limit(least), 0.0


class Held:
    """A request that is owed a final answer, or has attempts out."""
    def __init__(self, req: Request, cls: RequestClass, cust: Customer, now: int) -> None:
        self.req, self.cls, self.cust, self.came = req, cls, cust, now
        self.within, self.waiting, self.hops, self.over, self.head = True, 0, 0, False, False
        self.out: dict[int, tuple[Backend, int]] = {}
        self.ran: tuple[Backend, int] | None = None  # first attempt that may have run, and when it was sent
        self.tried: list[int] = []
        self.taken = False  # its units are out of the customer's room


class Gateway:
    def __init__(self, settings: Settings, seed: int) -> None:
        self.s, self.rng = settings, random.Random(seed)
        self.now = self.born = 0
        self.shed_at = -SECOND  # when a request was last refused for want of room
        self.do: list[Action] = []
        self.held: dict[str, Held] = {}
        self.customers: dict[str, Customer] = {}
        self.calls: dict[str, deque[tuple[str, str, float]]] = {}  # name -> (kind, id, amount)
        self.asking, self.asked_less = 1.0, 0  # share of requests that ask the counter; when it last fell
        windows = [int(p.burst / p.rate * SECOND) for p in settings.plans if p.rate > 0]
        self.span = max(windows, default=SECOND)  # the one global window: the longest plan window
        self.aim = min((c.aim for c in settings.classes), default=SECOND)
        self.open_slot = max((c.deadline for c in settings.classes), default=SECOND)
        self.lends = settings.may_count and any(map(self.soft, settings.plans))
        self.gwin, self.flushed = -1, False
        self.counts = {"floors": 0.0, "total": 0.0, "served": 0.0}  # as last read, this global window
        self.added = {"floors": 0.0, "total": 0.0, "served": 0.0}  # own, not yet sent
        self.backends: dict[int, Backend] = {}
        self.units, self.least = 1.0, LEAST_OUT / settings.fleet  # mean units of a request; least limit
        self.room, self.out = Limit(LEAST_OUT), 0  # what may be, and what is, out in all
        self.lat = self.mean = 0.0  # latency of a unit in the fleet, lately and over more answers
        self.base, self.heard = 0.0, 0  # the least that this mean was, slowly forgotten; answers in it
        self.budget = 10.0
        self.sent_units, self.sent_rate, self.sent_at = 0.0, 0.0, 0
        self.tokens: dict[int, tuple[str, int]] = {}
        self.next_token, self.ticking = 1, False

    def handle(self, now: int, event: Event) -> list[Action]:
        self.now, self.do = now, []
        if isinstance(event, Ended):
            self.on_ended(event)
        elif isinstance(event, Request):
            self.on_request(event)
        elif isinstance(event, Counted):
            self.on_counted(event)
        elif isinstance(event, Timer):
            self.on_timer(event.token)
        elif isinstance(event, Backends):
            self.on_backends(event)
        elif isinstance(event, Head) and event.id in self.held:
            self.held[event.id].head = True
        elif isinstance(event, Withdrawn):
            self.finish(event.id)
        return self.do

    # ---- counting and quota

    def on_request(self, req: Request) -> None:
        if not (0 <= req.plan < len(self.s.plans) and 0 <= req.cls < len(self.s.classes)):
            return self.do.append(Refuse(req.id))
        cust = self.customers.get(req.customer)
        if cust is None:
            cust = self.customers[req.customer] = Customer(req.customer, self.s.plans[req.plan], self.now)
        cust.seen, cust.spread = self.now, max(1, min(req.spread, self.s.fleet))
        held = self.held[req.id] = Held(req, self.s.classes[req.cls], cust, self.now)
        self.roll_global()
        ask = (self.s.may_count and req.deadline - self.now > 2 * self.s.counter_timeout
               and (self.asking >= 1 or self.rng.random() < self.asking))
        if cust.plan.rate > 0:
            self.refill(cust)
            if ask and cust.store >= req.units:
                held.waiting += 1
                amount, cust.unsent = req.units + cust.unsent, 0.0
                self.charge(self.quota_name(cust), amount, "quota", req.id)
            elif ask and self.now - cust.read > BATCH:  # no room even by what was known: read only
                self.charge(self.quota_name(cust), cust.unsent, "read", req.customer)
                cust.unsent, held.within = 0.0, False
            else:
                self.alone(held)
                cust.unsent += req.units if held.taken else 0.0
        if cust.plan.open and ask:
            held.waiting += 1
            cust.asked += 1
            self.tell_open(cust, req.id)
        elif cust.plan.open:
            held.within = held.within and self.open_part(cust) >= 1
        if not held.waiting:
            self.settle(held)

    def quota_name(self, cust: Customer) -> str:
        return f"q:{cust.name}:{self.gwin}"

    def open_name(self, cust: Customer) -> str:
        return f"o:{cust.name}:{self.now // self.open_slot}"

    def open_part(self, cust: Customer) -> float:
        return max(1, cust.plan.open / cust.spread) - cust.out

    def tell_open(self, cust: Customer, rid: str = "") -> None:
        """Brings the count of attempts out to what this gateway holds. A count lives for one slot, the
        longest deadline, and starts anew from what the living hold: a dead gateway's part ends with it."""
        if not rid and (not cust.plan.open or not self.s.may_count or self.asking < 1):
            return
        slot = self.now // self.open_slot
        if slot != cust.slot:
            cust.slot, cust.told = slot, 0
        amount = cust.out + cust.asked - cust.told
        if amount or rid:
            cust.told += amount
            self.charge(self.open_name(cust), amount, "open" if rid else "told", rid or cust.name)

    def told(self, cust: Customer, ev: Counted, amount: float) -> None:
        """A call that was turned away told nothing: what it held goes with the next."""
        if ev.ending not in (Ending.SERVED, Ending.TIMEOUT) and ev.name == self.open_name(cust):
            cust.told -= int(amount)

    def charge(self, name: str, amount: float, kind: str, rid: str) -> None:
        self.calls.setdefault(name, deque()).append((kind, rid, amount))
        ttl = 2 * (self.open_slot if kind in ("open", "told") else self.span)
        self.do.append(Charge(name, amount, min(ttl, 60 * SECOND)))

    def refill(self, cust: Customer) -> None:
        """The floor slides: room comes back at the plan's rate, up to its burst, as quotas are judged. Guards
        against two bursts around a fixed window's boundary and against refusals late in a used-up window."""
        gained = cust.plan.rate * (self.now - cust.at) / SECOND
        cust.spilt += max(0.0, cust.store + gained - cust.plan.burst)
        cust.store = min(cust.plan.burst, cust.store + gained)
        cust.part = min(cust.plan.burst / cust.spread, cust.part + gained / cust.spread)
        cust.at = self.now

    def counted(self, cust: Customer, ev: Counted, amount: float) -> None:
        """Takes what the others added since the last read out of the room. While use is told late, for
        a counter that answers few, it first meets what came back meanwhile to a full room. A count that fell
        by more than units handed back was emptied: then only what is known here counts."""
        current = ev.name == self.quota_name(cust)
        if current and cust.window != self.gwin:
            cust.window, cust.level = self.gwin, 0.0
        if ev.ending is Ending.TIMEOUT and current:
            cust.level += amount  # it may have been added
        elif ev.ending is not Ending.SERVED and ev.ending is not Ending.TIMEOUT:
            cust.unsent += amount
        elif current:
            self.refill(cust)
            others = ev.level - cust.level - amount
            cust.level, cust.read, cust.alone = ev.level, self.now, False
            if others > -self.s.largest:
                met = min(cust.spilt, max(0.0, others)) if self.asking < 1 else 0.0
                cust.store = min(cust.plan.burst, cust.store - others + met)
            cust.spilt = 0.0

    def on_counted(self, ev: Counted) -> None:
        waiting = self.calls.get(ev.name)
        if not waiting:
            return
        kind, rid, amount = waiting.popleft()
        if not waiting:
            del self.calls[ev.name]
        answered = ev.ending is Ending.SERVED
        self.pace(answered, ev.latency)
        if kind in self.counts:
            return self.on_batch(kind, ev, amount, answered)
        if kind in ("read", "told"):  # for these, rid is the customer's name
            if rid in self.customers:
                (self.counted if kind == "read" else self.told)(self.customers[rid], ev, amount)
            return
        held = self.held.get(rid)
        if held is None or not held.waiting:
            return
        cust, units = held.cust, held.req.units
        held.waiting -= 1
        if kind == "quota":
            self.counted(cust, ev, amount)
            if held.over:
                held.within = False
            elif answered:
                self.take(held, cust.store >= units)
            else:
                self.alone(held)
            if not held.taken:
                cust.unsent -= units  # handed back with the next call
            if answered and ev.level == amount:
                self.add_floor(cust)
        elif kind == "open":
            cust.asked -= 1
            self.told(cust, ev, amount)
            room = cust.plan.open - ev.level if answered else self.open_part(cust) - 1
            held.within = held.within and room >= 0
        if held.over:
            self.finish(rid)
        elif not held.waiting:
            self.settle(held)

    def pace(self, answered: bool, latency: int) -> None:
        """A counter that does not answer is asked far less, then more by and by: no herd on return."""
        if answered and latency < self.s.counter_timeout // 2:
            self.asking = min(1.0, self.asking + 0.02)
        elif not answered and self.now - self.asked_less > 2 * self.s.counter_timeout:
            self.asking, self.asked_less = max(ASK_LEAST, self.asking / 2), self.now

    def alone(self, held: Held) -> None:
        """DESIGN: unanswered, a request passes only within its gateway's part of the room left. The part is
        rounded by lot, or a part smaller than a request would never pass one."""
        cust, units = held.cust, held.req.units
        if not cust.alone:
            cust.alone, cust.part = True, cust.store / cust.spread
        self.take(held, cust.store >= units and cust.part >= units * self.rng.random())
        if held.taken:
            cust.part -= units

    def take(self, held: Held, room: bool) -> None:
        held.taken, held.within = room, held.within and room
        if room:
            held.cust.store -= held.req.units

    def give_back(self, held: Held) -> None:
        """Units counted but not sent on inside the quota: the judging store holds them still."""
        if held.taken and not held.hops:
            held.taken = False
            held.cust.store += held.req.units
            held.cust.unsent -= held.req.units

    def under_ceiling(self, held: Held) -> bool:
        """Rule: each gateway keeps its own part of a hard ceiling, filled from empty at its own start, as an
        earlier life may have spent it. A customer not known here has let its part fill since then."""
        cust, plan, units = held.cust, held.cust.plan, held.req.units
        if plan.ceiling_rate <= 0:
            return True
        gained = plan.ceiling_rate / cust.spread * (self.now - max(cust.cap_at, self.born)) / SECOND
        cust.cap, cust.cap_at = min(plan.ceiling_burst / cust.spread, cust.cap + gained), self.now
        if cust.cap < units:
            return False
        cust.cap -= units
        return True

    def settle(self, held: Held) -> None:
        """Floor first; then borrowing; else refused at once with a time to come back."""
        if not held.within:
            self.give_back(held)
        if (held.within or self.borrow(held)) and self.under_ceiling(held):
            self.launch(held)
            return
        rate = held.cust.plan.rate
        self.refuse(held, int((held.req.units - held.cust.store) / rate * SECOND) if rate > 0 else SECOND)

    # ---- lending

    def add_floor(self, cust: Customer) -> None:
        self.roll_global()
        if cust.floored != self.gwin:
            cust.floored = self.gwin
            self.added["floors"] += cust.plan.rate * self.span / SECOND

    def roll_global(self) -> None:
        if self.now // self.span != self.gwin:
            self.gwin, self.flushed = self.now // self.span, False
            for k in self.counts:
                self.counts[k] = self.added[k] = 0.0

    def batch(self) -> None:
        self.roll_global()
        for k, amount in self.added.items():
            if not self.calls.get(f"g:{k}:{self.gwin}"):
                self.charge(f"g:{k}:{self.gwin}", amount, k, "")
                self.counts[k] += amount
                self.added[k] = 0.0

    def on_batch(self, kind: str, ev: Counted, amount: float, answered: bool) -> None:
        if ev.name != f"g:{kind}:{self.gwin}":
            return
        if answered:
            if ev.level < self.counts[kind] - 1e-3 * self.counts[kind] - 1e-6:
                self.flushed = True  # emptied: slack would look wide, so nothing is lent in this window
            self.counts[kind] = max(ev.level, self.counts[kind])
        elif ev.ending is not Ending.TIMEOUT:
            self.counts[kind] -= amount
            self.added[kind] += amount

    def soft(self, plan: Plan) -> bool:
        return plan.over_worth > plan.over_cost  # lending earns more than it costs

    def borrow(self, held: Held) -> bool:
        cust, units = held.cust, held.req.units
        if not self.soft(cust.plan) or not self.lends or self.pressed():
            return False
        self.roll_global()
        if self.flushed or self.asking < 1:
            return False
        floors, total, served = (self.counts[k] + self.added[k] for k in self.counts)
        elapsed = self.now % self.span / self.span
        if R_OVER_FLOORS * floors * elapsed - total - max(0.0, floors * elapsed - served) <= 0:
            return False
        weights = sum(c.plan.price for c in self.customers.values() if self.soft(c.plan))
        share = (R_OVER_FLOORS - 1) * floors * cust.plan.price / weights
        if cust.lent_in != self.gwin:
            cust.lent, cust.lent_in = 0.0, self.gwin
        if cust.lent + units > share:
            return False
        cust.lent += units
        return True

    # ---- backends and choice

    def pressed(self) -> bool:
        """Nothing is lent while a passed request was lately turned away, or was crowded, for want of room."""
        return self.now - self.shed_at < SECOND or self.lat > CROWDED * (self.base or self.lat)

    def lat_of(self, b: Backend) -> float:
        """Latency of a unit; what was seen long ago fades, so that a slow one is tried again."""
        if not b.lat:
            return self.lat or 1.0
        return float(self.lat + (b.lat - self.lat) * 0.5 ** ((self.now - b.lat_at) / (5 * SECOND)))

    def stalled(self, b: Backend) -> bool:
        """It holds work and has answered nothing for longer than that work should take."""
        if not b.inflight:
            return False
        patience = max(3 * self.lat * max(b.inflight.values()), 0.25 * self.aim)
        return self.now - b.heard > patience

    def coldness(self, b: Backend) -> float:
        """The part of its capacity that a fresh backend is sure to have; 1 when warm."""
        age = self.now - b.entry.started
        if not b.entry.started or age >= self.s.ramp:
            return 1.0
        return self.s.cold_from + (1 - self.s.cold_from) * max(0, age) / self.s.ramp

    def cold_room(self, b: Backend, units: float, warm: float) -> bool:
        """A cold backend gets this gateway's mean flow to a warm one, times its warmth; bursts stay small."""
        n = sum(1 for x in self.backends.values() if x.entry.state is State.READY)
        rate = self.sent_rate / max(1, n) * warm
        cap = max(rate * self.s.fall_span / SECOND / 2, 0.5 * self.s.largest)
        b.tokens = min(cap, b.tokens + rate * (self.now - (b.tokens_at or self.now)) / SECOND)
        b.tokens_at = self.now
        return b.tokens >= units

    def choose(self, held: Held) -> Backend | None:
        ready = [b for b in self.backends.values() if b.entry.state is State.READY and self.in_group(held, b)]
        up = [b for b in ready if b.out_until <= self.now and not self.stalled(b)]
        if 2 * len(up) < len(ready):
            up = ready  # many ejected: distrust ejection
        if self.out >= max(self.room.size, sum(b.limit.size for b in up)):
            return None  # limits under one, as many gateways need, hold for all backends together
        best, best_cost = None, 0.0
        for b in [b for b in up if b.entry.backend not in held.tried] or up:
            if len(b.inflight) >= (1 if b.fails else max(1.0, b.limit.size)):
                continue
            warm = self.coldness(b)
            if warm < 1 and not self.cold_room(b, held.req.units, warm):
                continue
            cost = (len(b.inflight) + 1) * self.lat_of(b) / max(b.entry.weight, 1e-3) / warm
            if b.entry.zone != self.s.zone and self.s.cross_zone_price > 0:
                cost *= 1.3
            cost *= 1 + 0.05 * self.rng.random()
            if best is None or cost < best_cost:
                best, best_cost = b, cost
        return best

    def in_group(self, held: Held, b: Backend) -> bool:
        """Rule: a keyed request that may have run stays with those that discard its repeats."""
        if held.ran is None or held.cls.effect is not Effect.KEYED or held.cls.group == "all":
            return True
        first = held.ran[0].entry
        same = b.entry.zone == first.zone
        return same and (held.cls.group == "zone" or b.entry.cell == first.cell)

    def learn(self, b: Backend, ev: Ended, units: float) -> None:
        """Passive health: latency, limit and ejection from how an attempt ended."""
        per = ev.latency / max(units, 1.0)
        if ev.ending is Ending.SERVED:
            b.heard, b.fails, b.out_until = self.now, 0, 0
            self.sample(b, per)
            self.lat = self.lat + EASE * (per - self.lat) if self.lat else per
            self.heard = min(self.heard + 1, 50)
            self.mean += (per - self.mean) / self.heard
            if self.heard == 50:  # the first to answer are the short ones: no measure of the best
                self.base = min(self.base or self.mean, self.mean)
            self.budget = min(10.0, self.budget + RETRY_SHARE)
            self.fit(b.limit, len(b.inflight), self.lat_of(b), self.least)
            self.fit(self.room, self.out, self.lat, 1.0)
        elif ev.ending in (Ending.FULL, Ending.NO_CONNECTION, Ending.RESET):
            self.eject(b)
        elif ev.ending is Ending.ERROR:
            b.heard = self.now
        elif ev.ending in (Ending.TIMEOUT, Ending.CANCELLED) and per > b.lat:
            self.sample(b, per)
            self.fit(b.limit, len(b.inflight), self.lat_of(b), self.least)

    def sample(self, b: Backend, per: float) -> None:
        """Starts from the fleet's figure: one answer, all that one of many gateways gets, tells little."""
        known = self.lat_of(b) if self.lat else per
        b.lat, b.lat_at = known + 2 * EASE * (per - known), self.now

    def fit(self, lim: Limit, out: int, lat: float, least: float) -> None:
        """What may be out at a backend follows its latency, and in all the fleet's: cut towards what would be
        answered in 0.4 of the aim; doubled at first, then raised by one a round while answers are quick.
        Guards against jams, where all is served but late, whatever brought them: load, slowness, lost
        servers, many gateways. Of many gateways none hears a backend often: they learn by the sum."""
        excess = lat / min(0.4 * self.aim / self.units, CROWDED * self.base or 1e9)
        if excess > 1:
            lim.size = max(least, min(lim.size, out + 1) * (0.8 + 0.2 / excess))
            lim.growing = False
        elif (self.base or lim is self.room) and out + 1 >= lim.size / 2:
            lim.size += min(1.0, lim.size) if lim.growing else min(lim.size / 2, 1 / lim.size)

    def eject(self, b: Backend) -> None:
        """One that fails at once (down, full, breaking off) looks idle and would draw all traffic: it is left
        alone for a 32nd of the aim, doubling up to the aim, as is one that went silent."""
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
            self.note_sent(held)
        if not b.inflight:
            b.heard = self.now
        b.inflight[(req.id, hop)] = req.units
        self.out += 1
        b.tokens -= req.units
        held.hops += 1
        held.out[hop] = (b, self.now)
        held.tried.append(b.entry.backend)
        held.cust.out += 1
        if self.may_move(held):
            self.check_later(held, hop, int(max(2.5 * self.lat_of(b) * req.units, 0.3 * held.cls.aim)))

    def note_sent(self, held: Held) -> None:
        units = held.req.units
        self.units += EASE * (units - self.units)
        self.added["total"] += units
        if held.within:
            self.added["served"] += units
        self.sent_units += units

    def may_move(self, held: Held) -> bool:
        return self.s.may_cancel and held.hops < self.s.max_attempts and held.cls.effect is not Effect.UNSAFE

    def check_later(self, held: Held, hop: int, delay: int) -> None:
        token, self.next_token = self.next_token, self.next_token + 1
        self.tokens[token] = (held.req.id, hop)
        self.do.append(Wake(token, delay))

    def check(self, rid: str, hop: int) -> None:
        """Time-out by evidence: move off a backend that fell silent or is far slower than the fleet."""
        held = self.held.get(rid)
        if held is None or held.over or held.head or hop not in held.out:
            return
        b, _ = held.out[hop]
        if self.left(held) < self.lat * held.req.units or self.budget < 1:
            return
        if self.stalled(b) or self.lat_of(b) > 3 * self.lat:
            if self.stalled(b):
                self.eject(b)
            self.do.append(Cancel(rid, hop))
        else:
            self.check_later(held, hop, int(0.2 * held.cls.aim))

    def on_ended(self, ev: Ended) -> None:
        held = self.held.get(ev.id)
        if held is None or ev.hop not in held.out:
            return
        b, sent = held.out.pop(ev.hop)
        units = b.inflight.pop((ev.id, ev.hop), 1.0)
        self.out -= 1
        if self.s.post_paid and ev.true_units and held.taken:  # the guess is put right
            more = ev.true_units - held.req.units
            held.cust.store -= more
            held.cust.unsent += more
        self.learn(b, ev, units)
        held.cust.out -= 1
        self.tell_open(held.cust)
        if held.ran is None and ev.ending not in NEVER_RAN:
            held.ran = (b, sent)
        if ev.over or held.over:
            self.finish(ev.id)
        elif not held.out:
            self.again(held, ev.ending)

    def left(self, held: Held) -> int:
        """Time in which an answer is still worth something: to the aim, or to an earlier deadline. Sending
        on at the very end of impatient clients left requests without a final answer."""
        return min(held.came + held.cls.aim, held.req.deadline) - self.now

    def again(self, held: Held, ending: Ending) -> None:
        """Another attempt where effect, budget and aim allow one; else the final answer at once."""
        cost = 0 if ending in NEVER_RAN else 1
        useful = ending is not Ending.MOOT and self.left(held) > self.lat * held.req.units / 2
        if useful and self.budget >= cost and held.hops < self.s.max_attempts and self.repeatable(held):
            self.budget -= cost
            self.launch(held)
        else:
            self.refuse(held, SECOND // 2)

    def repeatable(self, held: Held) -> bool:
        if held.ran is None or held.cls.effect is Effect.SAFE:
            return True
        return held.cls.effect is Effect.KEYED and self.now - held.ran[1] < held.cls.memory

    def refuse(self, held: Held, wait: int) -> None:
        self.give_back(held)
        self.tell_open(held.cust)
        harmless = held.ran is None or held.cls.effect is Effect.SAFE or (
            held.cls.effect is Effect.KEYED and held.cls.group == "all")
        if harmless:
            wait = min(max(wait, 1), SECOND, self.s.max_retry_after) if self.s.retry_after else 0
            self.do.append(Refuse(held.req.id, wait))
        else:
            self.do.append(Fail(held.req.id))
        self.finish(held.req.id)

    def finish(self, rid: str) -> None:
        held = self.held.get(rid)
        if held is not None:
            held.over = True
            if not held.out and not held.waiting:
                del self.held[rid]

    # ---- list and timers

    def on_backends(self, ev: Backends) -> None:
        if not self.ticking:
            self.ticking, self.born = True, self.now
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

    def on_timer(self, token: int) -> None:
        if token != TICK:
            rid, hop = self.tokens.pop(token, ("", 0))
            self.check(rid, hop)
            return
        self.do.append(Wake(TICK, BATCH))
        self.base *= 1.005
        if self.sent_at:
            rate = self.sent_units * SECOND / max(1, self.now - self.sent_at)
            self.sent_rate += EASE * (rate - self.sent_rate)
        self.sent_units, self.sent_at = 0.0, self.now
        if self.lends and (self.asking >= 1 or self.rng.random() < self.asking):
            self.batch()
        for name in [k for k, c in self.customers.items() if self.idle(c)]:
            del self.customers[name]
        if not self.backends:
            self.do.append(Fetch())

    def idle(self, cust: Customer) -> bool:
        """DESIGN: dropped after a window, or once a ceiling's part is sure to be full again."""
        plan = cust.plan
        fills = plan.ceiling_burst / plan.ceiling_rate * SECOND if plan.ceiling_rate > 0 else 0.0
        return not cust.out and not cust.asked and self.now - cust.seen > max(self.span, fills)
