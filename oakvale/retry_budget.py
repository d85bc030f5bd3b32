"""Budgets of further attempts, which the decisions are handed: one for a gateway by itself, one that a fleet shares.

No I/O and no clock. `take` is asked before a further attempt, `ended` is told of each attempt's end.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from oakvale.interface import NEVER_RAN, Ending

MAX_SAVED_ATTEMPTS = 10.0  # further attempts that a gateway by itself saves up
EARNED_PER_ANSWER = 0.1  # what an answer earns, the customary tenth
NEVER_ARRIVED = frozenset({Ending.NO_CONNECTION, Ending.MOOT})  # the backend saw nothing of it

RATIO_FRACTION = 0.75  # of what requests allow, and of the slack: the rest is for what is told late
SLACK_FRACTION = 0.5
FIRST_WINDOW_FRACTION = 1 - RATIO_FRACTION  # of what requests allow, in the first window of a life
SLOTS_PER_WINDOW = 20  # parts that a window is counted in


@dataclass(slots=True)
class RetryCost:
    """What a request's attempts have taken of the budget."""

    arrived: bool = False  # one of them did, or may have
    last_cost: float = 0.0  # charged for the latest attempt


class RetryBudget(Protocol):
    def can_retry(self, now: int) -> bool:
        """Whether a whole further attempt is left."""

    def try_spend(self, spent: RetryCost, ending: Ending, now: int) -> bool:
        """Whether another attempt may follow one that ended so."""

    def record_attempt_end(self, spent: RetryCost, ending: Ending, learned: bool, now: int) -> None:
        """An attempt ended; `learned`: and it tells something of its backend."""


class LocalRetryBudget:
    """Of a gateway by itself: answers earn, attempts that may have run cost."""

    def __init__(self) -> None:
        self.left = MAX_SAVED_ATTEMPTS

    def can_retry(self, now: int) -> bool:
        return self.left >= 1

    def try_spend(self, spent: RetryCost, ending: Ending, now: int) -> bool:
        cost = 0 if ending in NEVER_RAN else 1
        if self.left < cost:
            return False
        self.left -= cost
        return True

    def record_attempt_end(self, spent: RetryCost, ending: Ending, learned: bool, now: int) -> None:
        if learned:
            self.left = min(MAX_SAVED_ATTEMPTS, self.left + EARNED_PER_ANSWER * (ending is Ending.SERVED))


@dataclass(slots=True, frozen=True)
class RetryLimits:
    """What all gateways together may add: arrivals past the first of each request, within a window."""

    window: int
    ratio: float = 0.0  # of the requests
    slack: float = 0.0


class FleetRetryBudget:
    """A gateway's part in a fleet's. Every attempt that reaches a backend after another of its request did costs
    one, whatever becomes of it. In every window, a gateway adds a part of what its own requests allow and its even
    share of a part of the slack: so all of them stay below the whole without a word between them. What is less than
    one is drawn for, and is spent by the draw. A life before may have spent all that was its own, just before its end:
    in its first window a gateway gets what that had to leave."""

    def __init__(self, terms: RetryLimits, gateways: Callable[[], int], draw: Callable[[], float], now: int) -> None:
        self._terms, self._gateways, self._draw = terms, gateways, draw
        self._slots: deque[list[float]] = deque()  # number of the slot, requests, spent
        self._requests = self._spent = 0.0
        self._born = now

    def record_request(self, now: int) -> None:
        """A request of a client for this service."""
        self._slot(now)[1] += 1
        self._requests += 1

    def can_retry(self, now: int) -> bool:
        return self._room(now) >= 1

    def try_spend(self, spent: RetryCost, ending: Ending, now: int) -> bool:
        if not spent.arrived:
            return True  # it would be the first to arrive
        room = self._room(now)
        if room <= 0:
            return False
        spent.last_cost = min(1.0, room)
        self._spend(spent.last_cost, now)
        return room >= 1 or self._draw() < room

    def record_attempt_end(self, spent: RetryCost, ending: Ending, learned: bool, now: int) -> None:
        if ending in NEVER_ARRIVED:
            self._spend(-spent.last_cost, now)
        else:
            spent.arrived = True
        spent.last_cost = 0.0

    def _room(self, now: int) -> float:
        self._slot(now)
        terms, gateways = self._terms, self._gateways()
        if now - self._born <= terms.window:
            return FIRST_WINDOW_FRACTION * terms.ratio * self._requests - self._spent
        share = SLACK_FRACTION * terms.slack / gateways if gateways else 0.0
        return share + RATIO_FRACTION * terms.ratio * self._requests - self._spent

    def _spend(self, amount: float, now: int) -> None:
        self._slot(now)[2] += amount
        self._spent += amount

    def _slot(self, now: int) -> list[float]:
        number = now * SLOTS_PER_WINDOW // self._terms.window
        if not self._slots or self._slots[-1][0] != number:
            self._slots.append([number, 0.0, 0.0])
            while self._slots[0][0] < number - SLOTS_PER_WINDOW:
                self._slots.popleft()
            self._requests = sum(slot[1] for slot in self._slots if slot[0] > number - SLOTS_PER_WINDOW)
            self._spent = sum(slot[2] for slot in self._slots)  # of a slot more, as the oldest is not over yet
        return self._slots[-1]
