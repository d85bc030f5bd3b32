"""Choice of backend: the one that is likely to answer first, of those that may take the request."""

from oakvale.class_latency import EWMA_WEIGHT
from oakvale.interface import Effect, State
from oakvale.policy.limits import Limits
from oakvale.policy.records import BATCH_INTERVAL_US
from oakvale.policy_records import SECOND_US, Backend, Context, PendingRequest


class BackendSelector:  # selects the backend of each attempt
    def __init__(self, context: Context, limits: Limits) -> None:
        self.context, self.limits, self.health = context, limits, limits.health
        self.sent_units, self.sent_rate = 0.0, 0.0  # since the last tick; moving average per second

    def tick(self) -> None:  # updates the send rate at each batch interval
        elapsed = BATCH_INTERVAL_US if self.context.now > self.context.resumed_at else self.context.paused_for
        self.sent_rate += EWMA_WEIGHT * (self.sent_units * SECOND_US / elapsed - self.sent_rate)
        self.sent_units = 0.0

    def warmup_allows(self, backend: Backend, units: float, warmth: float) -> bool:
        """Token bucket of a cold backend: the mean rate of a warm one times its warmth, with small bursts."""
        context, settings = self.context, self.context.settings
        ready = sum(1 for x in context.backends.values() if x.entry.state is State.READY)
        rate = self.sent_rate / max(1, ready) * warmth
        backend.warmup_tokens += rate * (context.now - (backend.warmup_at or context.now)) / SECOND_US
        backend.warmup_tokens = min(
            max(rate * settings.fall_span / SECOND_US / 2, 0.5 * settings.largest), backend.warmup_tokens)
        backend.warmup_at = context.now
        return backend.warmup_tokens >= units

    def select(self, pending: PendingRequest) -> Backend | None:
        """The backend of the next attempt; None where all that may take it are at their limits."""
        context, health, settings = self.context, self.health, self.context.settings
        ready = [x for x in context.backends.values()
                 if x.entry.state is State.READY and self.in_group(pending, x)]
        usable = [x for x in ready if x.ejected_until <= context.now and not health.stalled(x)]
        usable = usable if 2 * len(usable) >= len(ready) else ready  # most ejected: rather a fault of ours
        if pending.request.preferred_backend and not pending.attempts_made and (
                preferred := context.backends.get(pending.request.preferred_backend)) in usable:
            return preferred
        in_flight = sum(len(x.in_flight) for x in usable)
        if in_flight >= self.limits.total.size and in_flight >= sum(map(self.limits.limit_of, usable)):
            return None  # limits below one each add up; attempts stuck at unusable backends do not count
        best, best_cost = None, 0.0
        for backend in [x for x in usable if x.entry.backend not in pending.tried] or usable:
            in_flight, entry = len(backend.in_flight), backend.entry
            if in_flight and (backend.failures or in_flight >= self.limits.limit_of(backend)):
                continue
            age = (context.now - entry.started) / settings.ramp if entry.started and settings.ramp else 1.0
            warmth = min(1.0, settings.cold_from + (1 - settings.cold_from) * max(0.0, age))  # a lower bound
            if warmth < 1 and not self.warmup_allows(backend, pending.request.units, warmth):
                continue
            cost = (in_flight + 1) * health.latency_of(backend) / max(entry.weight, 1e-3) / warmth
            cost *= 1.3 if entry.zone != settings.zone and settings.cross_zone_price > 0 else 1
            cost *= 1 + 0.05 * context.rng.random()
            if best is None or cost < best_cost:
                best, best_cost = backend, cost
        return best

    def in_group(self, pending: PendingRequest, backend: Backend) -> bool:
        """A keyed request that may have run stays with the backends that discard its repetition."""
        request_class = pending.request_class
        group = request_class.group
        if pending.first_run is None or request_class.effect is not Effect.KEYED or group == "all":
            return True
        first = pending.first_run[0].entry
        return backend.entry.zone == first.zone and (group == "zone" or backend.entry.cell == first.cell)
