"""Fall: a place's way out of service and back, for one service.

No I/O and no clock; times are microseconds. A place that failed is out for a while; then one request at a time
tries it, and what it takes grows in steps, each of which it must stand. One that fails again after it came back is
left out twice as long each time. So the state can turn at most once in each hold, and holds only grow while it
flaps.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MIN_EVACUATION_US = (
    1_500_000  # out at least so long: what was in flight there has ended, and its backends have beaten once
)
MAX_DOUBLINGS = 6  # doublings: a minute and a half
FORGIVE_AFTER_US = 60_000_000  # in service for so long takes one failure off
PROBE_INTERVAL_US = 1_000_000  # between two tries of a place that has not come back
PROBE_OVERDUE_US = 3_000_000
RAMP_SHARES = (0.125, 0.25, 0.5)  # of its limit, behind the first answers; a cold backend is slower by half or so
MIN_RAMP_STEP_US = 500_000  # microseconds that a step lasts at least
MIN_RAMP_SUCCESSES = 2  # and answers that it must bring


class EvacuationState(Enum):
    IN_SERVICE = "open"
    EVACUATED = "out"
    PROBING = "tried"
    RAMPING_UP = "filling"


@dataclass(slots=True)
class Evacuation:
    state: EvacuationState = EvacuationState.IN_SERVICE
    state_since: int = 0
    evacuated_until: int = 0  # out at least until then
    ramp_step: int = 0
    recent_failures: int = 0  # failures that were not forgiven yet
    successes: int = 0  # in this step
    failures: int = 0

    def capacity_share(self) -> float:
        """Of its limit, that it may be sent."""
        return {
            EvacuationState.IN_SERVICE: 1.0,
            EvacuationState.EVACUATED: 0.0,
            EvacuationState.PROBING: RAMP_SHARES[0],
        }.get(self.state, RAMP_SHARES[self.ramp_step])

    def probe_overdue(self, now: int) -> bool:
        """No safe request came to try it: the service may have none. By then the beats have told, if it is silent."""
        return now - self.state_since >= PROBE_OVERDUE_US

    def record_failure(self, now: int) -> None:
        if self.state is EvacuationState.EVACUATED:
            return
        if self.state is EvacuationState.PROBING:
            self.evacuated_until = now + max(
                PROBE_INTERVAL_US, (MIN_EVACUATION_US << (self.recent_failures - 1)) // 4
            )  # never came back: no flapping
        else:
            self.recent_failures = min(self.recent_failures + 1, MAX_DOUBLINGS + 1)
            self.evacuated_until = now + (MIN_EVACUATION_US << (self.recent_failures - 1))
        self._enter(EvacuationState.EVACUATED, now)

    def tick(self, heartbeats_received: bool, now: int) -> None:
        """Advances the state; without heartbeats, probes are less frequent."""
        if self.state is EvacuationState.IN_SERVICE:
            if self.recent_failures and now - self.state_since >= FORGIVE_AFTER_US:
                self.recent_failures, self.state_since = self.recent_failures - 1, now
        elif self.state is EvacuationState.EVACUATED:
            if now >= self.evacuated_until + (0 if heartbeats_received else 4 * PROBE_INTERVAL_US):
                self._enter(EvacuationState.PROBING, now)
        elif self.successes >= MIN_RAMP_SUCCESSES and (
            self.state is EvacuationState.PROBING or now - self.state_since >= MIN_RAMP_STEP_US
        ):
            if self.failures * 4 > self.successes:
                return self.record_failure(now)
            if self.state is EvacuationState.PROBING:
                self.ramp_step = 0
                self._enter(EvacuationState.RAMPING_UP, now)
            elif self.ramp_step + 1 < len(RAMP_SHARES):
                self.ramp_step += 1
                self._enter(EvacuationState.RAMPING_UP, now)
            else:
                self._enter(EvacuationState.IN_SERVICE, now)

    def record_result(self, served: bool, now: int) -> None:
        self.successes += served
        self.failures += not served
        bears = 1 if self.state is EvacuationState.RAMPING_UP else 0
        if self.state in (EvacuationState.PROBING, EvacuationState.RAMPING_UP) and self.failures > max(
            bears, self.successes
        ):
            self.record_failure(now)

    def _enter(self, state: EvacuationState, now: int) -> None:
        self.state, self.state_since, self.successes, self.failures = state, now, 0, 0
