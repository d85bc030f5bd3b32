"""Limits and refusal: attempts in flight at once, hard ceilings, and how a request is given up."""

from oakvale.interface import Cancel, Effect, Ending, Fail, Refuse
from oakvale.policy.health import Health
from oakvale.policy.quota import Quota
from oakvale.policy_records import SECOND_US, Backend, ConcurrencyLimit, Context, PendingRequest

OVERLOAD_RATIO = 1.3  # latency over baseline: a backend this much slower holds more than it has cores for
MIN_IN_FLIGHT = 2.0  # least limit of a backend over all gateways: keeps the smallest one busy


class Limits:  # concurrency limits, which follow latency, and the final refusal of a request
    def __init__(self, context: Context, health: Health, quota: Quota) -> None:
        self.context, self.health, self.quota = context, health, quota
        self.total, self.min_limit = ConcurrencyLimit(MIN_IN_FLIGHT), MIN_IN_FLIGHT / context.settings.fleet
        self.rejected_at = -SECOND_US  # when a request last found all backends at their limits

    def overloaded(self) -> bool:  # lately refused for want of capacity, or slow
        latency, rejected = self.health.latency, self.context.now - self.rejected_at < SECOND_US
        return rejected or latency > OVERLOAD_RATIO * (self.health.baseline or latency)

    def limit_of(self, backend: Backend) -> float:  # never less than the slots that it says it has
        return max(backend.limit.size, backend.entry.slots / self.context.settings.fleet)

    def adapt(self, backend: Backend, ending: Ending) -> None:  # on a sample; against jams of any cause
        self.adjust(backend.limit, len(backend.in_flight), self.health.latency_of(backend), self.min_limit)
        if ending is Ending.SERVED:  # one of many gateways seldom hears one backend: it learns by the sum
            in_flight = sum(len(x.in_flight) for x in self.context.backends.values())
            self.adjust(self.total, in_flight, self.health.latency, 1.0)

    def adjust(self, limit: ConcurrencyLimit, in_flight: int, latency: float, least: float) -> None:
        """Cuts a limit towards what is answered within 0.4 of the aim; else doubles it, later adds one."""
        context, baseline = self.context, self.health.baseline
        excess = latency / min(0.4 * context.min_aim / context.mean_units, OVERLOAD_RATIO * baseline or 1e9)
        if excess > 1:
            limit.size = max(least, min(limit.size, in_flight + 1) * (0.8 + 0.2 / excess))
            limit.slow_start = False
        elif baseline and in_flight + 1 >= limit.size / 2:
            limit.size += min(1.0, limit.size) if limit.slow_start else min(limit.size / 2, 1 / limit.size)

    def time_left(self, pending: PendingRequest) -> int:  # microseconds in which an answer is of use
        deadline = pending.request.deadline
        aimed = deadline if self.context.settings.late_earns else pending.sent_at + pending.request_class.aim
        return min(aimed, deadline) - self.context.now

    def within_ceiling(self, pending: PendingRequest) -> bool:
        """Takes units from this gateway's share of a ceiling; empty at first: an earlier life spent it."""
        customer, plan, now = pending.customer, pending.customer.plan, self.context.now
        elapsed = now - max(customer.ceiling_at, self.context.started_at)
        filled = customer.ceiling_left + plan.ceiling_rate / customer.gateways * elapsed / SECOND_US
        customer.ceiling_left, customer.ceiling_at = min(plan.ceiling_burst / customer.gateways, filled), now
        if plan.ceiling_rate > 0 and customer.ceiling_left < pending.request.units:
            return False
        customer.ceiling_left -= pending.request.units
        return True

    def refuse(self, pending: PendingRequest, wait: int) -> None:
        """Gives a request its final answer: a refusal, or a failure where a repetition could do harm."""
        self.quota.refund(pending)
        self.quota.report_open(pending.customer)
        request_class, settings = pending.request_class, self.context.settings
        harmless = pending.first_run is None or request_class.effect is Effect.SAFE or (
            request_class.effect is Effect.KEYED and request_class.group == "all")
        wait = min(max(wait, 1), SECOND_US, settings.max_retry_after) if settings.retry_after else 0
        request_id = pending.request.id
        self.context.actions.append(Refuse(request_id, wait) if harmless else Fail(request_id))
        self.finish(request_id)

    def finish(self, request_id: str) -> None:
        """Nobody waits for an answer any more: cancels safe attempts in flight, others run to their end."""
        pending = self.context.pending.get(request_id)
        if pending is not None:
            if not (pending.finished or pending.responding) and self.context.settings.may_cancel and (
                    pending.request_class.effect is Effect.SAFE):
                self.context.actions += [Cancel(request_id, hop) for hop in pending.in_flight]
            pending.finished = True
            if not pending.in_flight and not pending.pending_calls:
                del self.context.pending[request_id]
