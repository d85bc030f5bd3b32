"""Retry budgets, which bound the attempts after a request's first: for a single gateway, or shared by a fleet.

No I/O and no clock: times are passed in, in microseconds. `try_spend` is called before each retry and
`record_attempt_end` at the end of each attempt.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from oakvale.interface import NEVER_RAN, Ending

MAX_SAVED_ATTEMPTS = 10.0  # upper bound of the retries that answers earn
EARNED_PER_ANSWER = 0.1  # retries; a tenth is customary
NEVER_ARRIVED = frozenset({Ending.NO_CONNECTION, Ending.MOOT})  # the backend received nothing

RATIO_FRACTION = 0.75  # used of the ratio and of the slack; the rest covers requests that are counted late
SLACK_FRACTION = 0.5
FIRST_WINDOW_FRACTION = 1 - RATIO_FRACTION  # of the ratio, in the first window after a start
SLOTS_PER_WINDOW = 20  # resolution of the sliding window


@dataclass(slots=True)
class RetryCost:
    """What the attempts of one request have cost so far."""

    arrived: bool = False  # an attempt has reached a backend, or may have
    last_cost: float = 0.0  # charged for the latest attempt


class RetryBudget(Protocol):
    """What decides whether a request may be retried."""

    def can_retry(self, now: int) -> bool:
        """Whether the budget covers a whole retry."""

    def try_spend(self, spent: RetryCost, ending: Ending, now: int) -> bool:
        """Charges for a retry after an attempt that ended so; returns whether it may be made."""

    def record_attempt_end(self, spent: RetryCost, ending: Ending, learned: bool, now: int) -> None:
        """Records the end of an attempt; `learned`: it says something about its backend."""


class LocalRetryBudget:
    """The budget of a single gateway: answers earn retries, retries of attempts that may have run cost one."""

    def __init__(self) -> None:
        self.saved_attempts = MAX_SAVED_ATTEMPTS

    def can_retry(self, now: int) -> bool:
        """Whether a whole retry has been saved up."""
        return self.saved_attempts >= 1

    def try_spend(self, spent: RetryCost, ending: Ending, now: int) -> bool:
        """Charges one retry, or nothing if the attempt never ran; returns whether it may be made."""
        cost = 0 if ending in NEVER_RAN else 1
        if self.saved_attempts < cost:
            return False
        self.saved_attempts -= cost
        return True

    def record_attempt_end(self, spent: RetryCost, ending: Ending, learned: bool, now: int) -> None:
        """Earns a fraction of a retry for an answer that says something about its backend."""
        if learned:
            self.saved_attempts = min(
                MAX_SAVED_ATTEMPTS, self.saved_attempts + EARNED_PER_ANSWER * (ending is Ending.SERVED)
            )


@dataclass(slots=True, frozen=True)
class RetryLimits:
    """Bounds on the retries of all gateways together in every window: `ratio` of the requests, plus `slack`."""

    window: int  # microseconds
    ratio: float = 0.0
    slack: float = 0.0


class FleetRetryBudget:
    """A gateway's share of the fleet's budget.

    Each attempt that reaches a backend after another of its request costs one retry. In every window a gateway uses
    at most a fraction of what its own requests allow and an even share of a fraction of the slack, so that the fleet
    keeps its bound without communication. A remainder below one is drawn for and spent by the draw. As the process
    before a restart may have spent its whole share, the first window uses only the fraction it had to leave.
    """

    def __init__(self, limits: RetryLimits, gateways: Callable[[], int], draw: Callable[[], float], now: int) -> None:
        self._limits, self._gateways, self._draw = limits, gateways, draw
        self._slots: deque[list[float]] = deque()  # slot number, requests, retries spent
        self._requests = self._spent = 0.0
        self._started_at = now

    def record_request(self, now: int) -> None:
        """Counts a request of a client for this service."""
        self._current_slot(now)[1] += 1
        self._requests += 1

    def can_retry(self, now: int) -> bool:
        """Whether a whole retry is left of this gateway's share in the current window."""
        return self._available(now) >= 1

    def try_spend(self, spent: RetryCost, ending: Ending, now: int) -> bool:
        """Charges up to one retry unless no attempt has arrived yet; returns whether it may be made."""
        if not spent.arrived:
            return True  # it would be the first to arrive
        available = self._available(now)
        if available <= 0:
            return False
        spent.last_cost = min(1.0, available)
        self._spend(spent.last_cost, now)
        return available >= 1 or self._draw() < available

    def record_attempt_end(self, spent: RetryCost, ending: Ending, learned: bool, now: int) -> None:
        """Refunds the latest attempt if it never arrived; else notes that the request has reached a backend."""
        if ending in NEVER_ARRIVED:
            self._spend(-spent.last_cost, now)
        else:
            spent.arrived = True
        spent.last_cost = 0.0

    def _available(self, now: int) -> float:
        self._current_slot(now)
        limits, gateways = self._limits, self._gateways()
        if now - self._started_at <= limits.window:
            return FIRST_WINDOW_FRACTION * limits.ratio * self._requests - self._spent
        share = SLACK_FRACTION * limits.slack / gateways if gateways else 0.0
        return share + RATIO_FRACTION * limits.ratio * self._requests - self._spent

    def _spend(self, amount: float, now: int) -> None:
        self._current_slot(now)[2] += amount
        self._spent += amount

    def _current_slot(self, now: int) -> list[float]:
        number = now * SLOTS_PER_WINDOW // self._limits.window
        if not self._slots or self._slots[-1][0] != number:
            self._slots.append([number, 0.0, 0.0])
            while self._slots[0][0] < number - SLOTS_PER_WINDOW:
                self._slots.popleft()
            self._requests = sum(slot[1] for slot in self._slots if slot[0] > number - SLOTS_PER_WINDOW)
            # Spent retries include one slot more, as the oldest is still partly in the window.
            self._spent = sum(slot[2] for slot in self._slots)
        return self._slots[-1]
