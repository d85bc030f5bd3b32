"""Quota and counting: what each customer may pass, and the calls that tell the counter of it."""

from collections import deque
from math import exp

from oakvale.interface import Charge, Counted, Ending
from oakvale.policy.records import EASE, EPOCH, NOT_TAKEN, SECOND, Customer, Desk, Held

SWELL = 16  # a unit written late in an epoch, e^16, is a hundredth of the 1e9 that a counter takes
ASK_LEAST = 0.02  # share of requests still asking a counter that does not answer: finds its return
BATCH_SHARE = 0.15  # of a gateway's calls, at most, for the global counts


class Counter:  # the calls that are out, and the share of requests that it can take
    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.calls: dict[str, deque[tuple[str, str, float]]] = {}  # name -> (kind, id, amount)
        self.spare, self.stake = 0.0, 0.0  # calls that the batch may make; mean worth of a wrong guess
        self.asking, self.asked_less = 1.0, 0  # share of requests that ask the counter; when it last fell
        self.goal, self.good, self.called = 1.0, True, 0  # share to go back to; last call answered; last ask

    def charge(self, name: str, amount: float, kind: str, rid: str, life: int = EPOCH) -> None:
        self.calls.setdefault(name, deque()).append((kind, rid, amount))
        self.spare = min(2.0, self.spare + BATCH_SHARE)
        self.called = self.desk.now
        self.desk.do.append(Charge(name, amount, min(2 * life, 2 * EPOCH)))

    def ask_share(self, cust: Customer, units: float) -> float:
        """Where the counter can't take a call for each, those least missed stay away first: small, cheap to
        let through, or of customers with room left. One goes a longest deadline after the last call."""
        stake = units * cust.plan.price * max(cust.plan.over_cost, 0.25)
        self.stake += EASE * (stake - self.stake)
        if self.asking >= 1 or not stake or self.desk.now - self.called > self.desk.open_slot:
            return 1.0
        left = max(0.0, cust.part / max(cust.plan.burst / cust.spread, self.desk.units)) if cust.read else 0.0
        return float(self.asking ** ((0.5 + left) * self.stake / stake))

    def pace(self, ending: Ending, latency: int) -> None:
        """A counter that does not answer is asked far less. A good answer brings back half of what was asked
        before, then a little more: no herd on return. A spoilt one says nothing of what it can take."""
        desk, wait = self.desk, self.desk.s.counter_timeout
        if ending is Ending.SERVED and latency < wait // 2:
            self.asking, self.good = min(1.0, max(self.asking + 0.01, self.goal)), True
        elif ending in (*NOT_TAKEN, Ending.TIMEOUT) and desk.now - max(self.asked_less, desk.gap) > 2 * wait:
            self.goal, self.good = self.asking / 2 if self.good else self.goal, False
            self.asking, self.asked_less = max(ASK_LEAST, self.asking / 2), desk.now


class Quota:  # the room of each customer: a sliding floor, a part to pass unasked, attempts out at once
    def __init__(self, desk: Desk, counter: Counter) -> None:
        self.desk, self.counter = desk, counter

    def tell_quota(self, cust: Customer, kind: str, rid: str) -> None:
        self.counter.charge(self.quota_name(cust), cust.unsent, kind, rid)
        cust.unsent = 0.0

    def quota_name(self, cust: Customer) -> str:
        return f"q:{cust.name}:{self.desk.now // EPOCH}"

    def open_name(self, cust: Customer) -> str:
        return f"o:{cust.name}:{self.desk.now // self.desk.open_slot}"

    def open_part(self, cust: Customer) -> float:
        return max(1, cust.plan.open / cust.spread) - cust.out

    def tell_open(self, cust: Customer, rid: str = "") -> None:
        """Tells what is held here. A count lives one longest deadline: a dead gateway's part ends with it."""
        if not rid and (not cust.plan.open or not self.desk.s.may_count or self.counter.asking < 1):
            return
        if self.desk.now // self.desk.open_slot != cust.slot:
            cust.slot, cust.told = self.desk.now // self.desk.open_slot, 0
        amount = cust.out + cust.asked - cust.told
        if amount or rid:
            cust.told += amount
            kind, rid = ("open", rid) if rid else ("told", cust.name)
            self.counter.charge(self.open_name(cust), amount, kind, rid, self.desk.open_slot)

    def refill(self, cust: Customer) -> None:
        """Refills the quota and the allowance of a request that the counter is not asked about."""
        if cust.epoch != self.desk.now // EPOCH:  # use not yet told fades on under the new name
            cust.epoch, cust.level = self.desk.now // EPOCH, 0.0
            cust.unsent *= exp(-EPOCH / cust.window)
        gained = cust.plan.rate * (self.desk.now - cust.at) / SECOND
        cust.spilt += max(0.0, cust.store + gained - cust.plan.burst)
        cust.store = min(cust.plan.burst, cust.store + gained)
        free = (1 - cust.flow / (cust.plan.rate or 1)) * exp((cust.read - self.desk.now) / cust.window)
        cust.part += gained * max(1 / cust.spread, free)
        cust.part = min(cust.part, max(cust.plan.burst / cust.spread, self.desk.units))
        cust.at = self.desk.now

    def swell(self, cust: Customer) -> float:
        """What a unit adds to its customer's count: more, the later, so that earlier ones fade over the
        plan's window. The count slides and does not start anew: one read tells who is near the floor."""
        return exp(self.desk.now % EPOCH / cust.window + min(0.0, SWELL - EPOCH / cust.window))

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
            swell, since = self.swell(cust), max(1, min(self.desk.now - cust.read, self.desk.now % EPOCH))
            others, span, burst = ev.level - cust.level - amount, since / cust.window, cust.plan.burst
            cust.level, cust.read = ev.level, self.desk.now
            gone = round(others / swell * (span / (1 - exp(-span)) if others > 0 else 1), 3)
            if gone > -self.desk.s.largest and span > 1:
                cust.store = burst * (1 - min(1, (ev.level - amount) / swell / burst) ** 2)
            elif gone > -self.desk.s.largest:
                cust.store = min(burst, cust.store - gone + min(cust.spilt, max(0.0, gone)))
            cust.flow += (max(0.0, gone) * SECOND - cust.flow * since) / (since + cust.window)
            cust.spilt, cust.part = 0.0, cust.store

    def alone(self, held: Held) -> None:
        """DESIGN: unanswered, only within a part of the room left; by lot, or small parts would pass none."""
        units = held.req.units
        self.take(held, held.cust.store >= units and held.cust.part >= units * self.desk.rng.random())

    def take(self, held: Held, room: bool) -> None:
        held.taken, held.within = room, held.within and room
        held.cust.store -= held.req.units if room else 0.0
        held.cust.part -= held.req.units if room else 0.0

    def give_back(self, held: Held) -> None:  # not sent on inside the quota, they still are in its store
        if held.taken and not held.hops:
            held.taken = False
            held.cust.store += held.req.units
            held.cust.unsent -= held.told
