"""Takes a failed location out of service for one service, and brings it back.

No I/O and no clock; times are in microseconds. A failed location is evacuated for a while. Then single requests probe
it, and after their success its share of the load grows in steps, each of which must succeed. A location that fails
again after its return stays out twice as long each time. This bounds how often the state can change.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MIN_EVACUATION_US = 1_500_000  # enough for requests in flight to end and for one heartbeat of its backends
MAX_DOUBLINGS = 6  # of the evacuation time, up to a minute and a half
FORGIVE_AFTER_US = 60_000_000  # time in service that clears one recent failure
PROBE_INTERVAL_US = 1_000_000  # between two probes of a location that has not come back
PROBE_OVERDUE_US = 3_000_000
RAMP_SHARES = (0.125, 0.25, 0.5)  # of the limit; backends with cold caches are slower by half or so
MIN_RAMP_STEP_US = 500_000
MIN_RAMP_SUCCESSES = 2  # in each step


class EvacuationState(Enum):
    """The values are written to the log."""

    IN_SERVICE = "open"
    EVACUATED = "out"
    PROBING = "tried"
    RAMPING_UP = "filling"


@dataclass(slots=True)
class Evacuation:
    """The state of one location for one service."""

    state: EvacuationState = EvacuationState.IN_SERVICE
    state_since: int = 0
    evacuated_until: int = 0  # earliest time of the next probe
    ramp_step: int = 0
    recent_failures: int = 0
    successes: int = 0  # in this state or step
    failures: int = 0

    def capacity_share(self) -> float:
        """The share of its limit that the location may be sent."""
        return {
            EvacuationState.IN_SERVICE: 1.0,
            EvacuationState.EVACUATED: 0.0,
            EvacuationState.PROBING: RAMP_SHARES[0],
        }.get(self.state, RAMP_SHARES[self.ramp_step])

    def probe_overdue(self, now: int) -> bool:
        """Whether no repeatable request came to probe the location, so that others may; the service may have none."""
        return now - self.state_since >= PROBE_OVERDUE_US

    def record_failure(self, now: int) -> None:
        """Evacuates the location."""
        if self.state is EvacuationState.EVACUATED:
            return
        if self.state is EvacuationState.PROBING:  # it had not come back: the evacuation time is not doubled
            self.evacuated_until = now + max(PROBE_INTERVAL_US, (MIN_EVACUATION_US << (self.recent_failures - 1)) // 4)
        else:
            self.recent_failures = min(self.recent_failures + 1, MAX_DOUBLINGS + 1)
            self.evacuated_until = now + (MIN_EVACUATION_US << (self.recent_failures - 1))
        self._enter(EvacuationState.EVACUATED, now)

    def tick(self, heartbeats_received: bool, now: int) -> None:
        """Advances the state. A location without heartbeats is probed less often."""
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

    def record_result(self, succeeded: bool, now: int) -> None:
        """Counts a request that was sent while the location was probed or ramped up."""
        self.successes += succeeded
        self.failures += not succeeded
        tolerated_failures = 1 if self.state is EvacuationState.RAMPING_UP else 0
        if self.state in (EvacuationState.PROBING, EvacuationState.RAMPING_UP) and self.failures > max(
            tolerated_failures, self.successes
        ):
            self.record_failure(now)

    def _enter(self, state: EvacuationState, now: int) -> None:
        self.state, self.state_since, self.successes, self.failures = state, now, 0, 0
