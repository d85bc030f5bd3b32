"""Fall: a place's way out of service and back, for one service.

No I/O and no clock; times are microseconds. A place that failed is out for a while; then one request at a time
tries it, and what it takes grows in steps, each of which it must stand. One that fails again after it came back is
left out twice as long each time. So the state can turn at most once in each hold, and holds only grow while it
flaps.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

HOLD = 1_500_000  # out at least so long: what was in flight there has ended, and its backends have beaten once
LONGEST = 6  # doublings: a minute and a half
CALM = 60_000_000  # in service for so long takes one failure off
TRIAL = 1_000_000  # between two tries of a place that has not come back
UNSAFE = 3_000_000
STEPS = (0.125, 0.25, 0.5)  # of its limit, behind the first answers; a cold backend is slower by half or so
STAND = 500_000  # microseconds that a step lasts at least
ANSWERS = 2  # and answers that it must bring


class Flow(Enum):
    OPEN = "open"
    OUT = "out"
    TRIED = "tried"
    FILLING = "filling"


@dataclass(slots=True)
class Evacuation:
    flow: Flow = Flow.OPEN
    since: int = 0
    until: int = 0  # out at least until then
    step: int = 0
    strikes: int = 0  # failures that were not forgiven yet
    served: int = 0  # in this step
    lost: int = 0

    def share(self) -> float:
        """Of its limit, that it may be sent."""
        return {Flow.OPEN: 1.0, Flow.OUT: 0.0, Flow.TRIED: STEPS[0]}.get(self.flow, STEPS[self.step])

    def waits(self, now: int) -> bool:
        """No safe request came to try it: the service may have none. By then the beats have told, if it is silent."""
        return now - self.since >= UNSAFE

    def failed(self, now: int) -> None:
        if self.flow is Flow.OUT:
            return
        if self.flow is Flow.TRIED:
            self.until = now + max(TRIAL, (HOLD << (self.strikes - 1)) // 4)  # never came back: no flapping
        else:
            self.strikes = min(self.strikes + 1, LONGEST + 1)
            self.until = now + (HOLD << (self.strikes - 1))
        self._turn(Flow.OUT, now)

    def tick(self, speaks: bool, now: int) -> None:
        """`speaks`: nothing but its answers is known to be missing; a place that misses its beats is tried seldom."""
        if self.flow is Flow.OPEN:
            if self.strikes and now - self.since >= CALM:
                self.strikes, self.since = self.strikes - 1, now
        elif self.flow is Flow.OUT:
            if now >= self.until + (0 if speaks else 4 * TRIAL):
                self._turn(Flow.TRIED, now)
        elif self.served >= ANSWERS and (self.flow is Flow.TRIED or now - self.since >= STAND):
            if self.lost * 4 > self.served:
                return self.failed(now)
            if self.flow is Flow.TRIED:
                self.step = 0
                self._turn(Flow.FILLING, now)
            elif self.step + 1 < len(STEPS):
                self.step += 1
                self._turn(Flow.FILLING, now)
            else:
                self._turn(Flow.OPEN, now)

    def ended(self, served: bool, now: int) -> None:
        self.served += served
        self.lost += not served
        bears = 1 if self.flow is Flow.FILLING else 0
        if self.flow in (Flow.TRIED, Flow.FILLING) and self.lost > max(bears, self.served):
            self.failed(now)

    def _turn(self, flow: Flow, now: int) -> None:
        self.flow, self.since, self.served, self.lost = flow, now, 0, 0
