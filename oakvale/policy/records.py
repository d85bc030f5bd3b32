"""What the concerns keep records of, and the desk that lies open to all of them. No decisions live here."""

import random

from oakvale.interface import Action, Ending, Entry, Plan, Request, RequestClass, Settings
from oakvale.retry_budget import RetryCost

BATCH = 250_000  # DESIGN: the global counts go four times a second
SECOND = 1_000_000
EPOCH = 30 * SECOND  # a count goes on under a new name after half the time that the counter can keep one
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
        self.tried, self.spent = list[int](), RetryCost()
        self.taken, self.told = False, req.units  # its units are out of the customer's room; units counted


class Desk:  # the settings, the time, the actions of the event in hand, and those who are known
    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng, self.units = random.Random(seed), 1.0  # units: the mean of a request's
        self.now = self.born = self.gap = self.stood = 0  # gap: when it last found that it had stood still
        self.do: list[Action] = []
        self.held, self.customers = dict[str, Held](), dict[str, Customer]()
        self.backends = dict[int, Backend]()
        self.resettle(settings)

    def resettle(self, settings: Settings) -> None:
        """Other classes of requests, same backends: what was learned of these stays."""
        self.s = settings
        self.aim = min((c.aim for c in settings.classes), default=SECOND)
        self.open_slot = max((c.deadline for c in settings.classes), default=SECOND)
