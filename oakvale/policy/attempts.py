"""Attempts: which backend a request is sent to, when an attempt is cancelled, and whether another follows."""

from oakvale.class_latency import EWMA_WEIGHT
from oakvale.interface import NEVER_RAN, Attempt, Cancel, Effect, Ended, Ending, Head, Wake
from oakvale.policy.choice import BackendSelector
from oakvale.policy.lending import Lending
from oakvale.policy.records import BATCH_INTERVAL_US
from oakvale.policy_records import SECOND_US, Backend, Context, PendingRequest
from oakvale.retry_budget import RetryBudget

MIN_CHECK_INTERVAL_US = 1_000


class Attempts:  # sends requests to backends, watches the attempts and retries them within the budget
    def __init__(
            self, context: Context, lending: Lending, selector: BackendSelector, budget: RetryBudget) -> None:
        self.context, self.lending, self.selector = context, lending, selector
        self.limits, self.health, self.quota = selector.limits, selector.health, selector.limits.quota
        self.budget, self.timers, self.next_timer = budget, dict[int, tuple[str, int]](), 1

    def send(self, pending: PendingRequest) -> None:  # or refuses it where all backends are full
        backend = self.selector.select(pending)
        if backend is None:
            self.limits.rejected_at = self.context.now
            return self.limits.refuse(pending, SECOND_US // 2)
        self.attempt(pending, backend)

    def attempt(self, pending: PendingRequest, backend: Backend) -> None:  # sends it to this backend
        request, hop, context = pending.request, pending.attempts_made, self.context
        context.actions.append(Attempt(request.id, backend.entry.backend))
        if not hop:
            context.mean_units += EWMA_WEIGHT * (request.units - context.mean_units)
            self.selector.sent_units += request.units
            self.lending.added["lent"] += 0 if pending.within_quota else request.units
        backend.answered_at = backend.answered_at if backend.in_flight else context.now
        backend.in_flight[(request.id, hop)] = pending
        backend.warmup_tokens -= request.units
        pending.attempts_made, pending.in_flight[hop] = hop + 1, (backend, context.now)
        pending.tried.append(backend.entry.backend)
        pending.customer.in_flight += 1
        unsafe = pending.request_class.effect is Effect.UNSAFE
        if context.settings.may_cancel and self.tries_left(pending) and not unsafe:
            expected = self.health.expected_latency(backend, pending)
            self.schedule_check(pending, hop, int(max(2.5 * expected, 0.3 * pending.request_class.aim)))

    def schedule_check(self, pending: PendingRequest, hop: int, delay: int) -> None:  # delay in microseconds
        token, self.next_timer = self.next_timer, self.next_timer + 1
        self.timers[token] = (pending.request.id, hop)
        self.context.actions.append(Wake(token, max(delay, MIN_CHECK_INTERVAL_US)))

    def check_progress(self, request_id: str, hop: int) -> None:
        """Cancels an attempt at a stalled or slow backend; if too late to retry, it only frees its slot."""
        pending = self.context.pending.get(request_id)
        if pending is None or pending.finished or pending.responding or hop not in pending.in_flight:
            return
        (backend, sent_at), health, now = pending.in_flight[hop], self.health, self.context.now
        aim, units, stalled = pending.request_class.aim, pending.request.units, health.stalled(backend)
        expected = health.expected_latency(backend, pending)
        waited = now - max(sent_at, self.context.resumed_at)
        lost = stalled or waited > max(4 * expected, 0.5 * aim)
        if stalled:
            health.eject(backend)
        in_time = self.limits.time_left(pending) >= health.usual_latency(pending)
        useful = in_time and self.budget.can_retry(now)
        if useful and (lost or health.latency_of(backend) > 3 * health.latency):
            if self.context.stopping:
                return self.hedge(pending, hop)
            return self.context.actions.append(Cancel(request_id, hop))
        if not lost:
            return self.schedule_check(pending, hop, int(max(0.2 * aim, 0.25 * expected)))
        if backend.in_flight.pop((request_id, hop), None):  # lost answers would block a small limit
            health.add_sample(backend, health.comparable_sample((now - sent_at) / units, pending.latency))

    def hedge(self, pending: PendingRequest, hop: int) -> None:
        """A stopping gateway ends no attempt that may be at work: it makes another one beside it, and keeps
        the first answer. Looks again later where no other backend has room, or two attempts are out."""
        pending.first_run = pending.first_run or pending.in_flight[hop]
        self.schedule_check(pending, hop, BATCH_INTERVAL_US)
        if len(pending.in_flight) > 1 or not self.tries_left(pending) or not self.repeatable(pending):
            return
        backend = self.selector.select(pending)
        if backend is None or backend is pending.in_flight[hop][0]:
            return
        pending.retry_cost.arrived = True
        if self.budget.try_spend(pending.retry_cost, Ending.CANCELLED, self.context.now):
            self.attempt(pending, backend)

    def on_head(self, event: Head) -> None:  # the head of an answer has arrived
        if event.id in self.context.pending:
            self.context.pending[event.id].responding = True

    def on_ended(self, event: Ended) -> None:  # first off all counts, then learns, retries or answers
        pending, context = self.context.pending.get(event.id), self.context
        if pending is None or event.hop not in pending.in_flight:
            return
        backend, sent_at = pending.in_flight.pop(event.hop)
        counted = backend.in_flight.pop((event.id, event.hop), None)
        pending.customer.in_flight -= 1
        self.quota.report_open(pending.customer)
        if pending.first_run is None and event.ending not in NEVER_RAN:
            pending.first_run = (backend, sent_at)
        if context.settings.post_paid and event.true_units and pending.charged:  # corrects the estimate
            excess = event.true_units - pending.request.units
            pending.customer.balance -= excess
            pending.customer.unsent += excess * self.quota.scale(pending.customer)
        learned = context.now > context.resumed_at and (counted is not None or event.ending is Ending.SERVED)
        if learned and self.health.learn(backend, event, pending):
            self.limits.adapt(backend, event.ending)
        self.budget.record_attempt_end(pending.retry_cost, event.ending, learned, context.now)
        if event.over or pending.finished:
            self.limits.finish(event.id)
        elif not pending.in_flight:
            self.retry_or_refuse(pending, event.ending)

    def retry_or_refuse(self, pending: PendingRequest, ending: Ending) -> None:  # retries where allowed
        allowed = ending is not Ending.MOOT and self.tries_left(pending) and self.repeatable(pending)
        useful = self.limits.time_left(pending) > self.health.usual_latency(pending) / 2
        if allowed and useful and self.budget.try_spend(pending.retry_cost, ending, self.context.now):
            return self.send(pending)
        self.limits.refuse(pending, SECOND_US // 2)

    def tries_left(self, pending: PendingRequest) -> bool:  # whether its route allows another attempt
        return pending.attempts_made < (pending.request_class.tries or self.context.settings.max_attempts)

    def repeatable(self, pending: PendingRequest) -> bool:  # whether another attempt repeats no effect
        effect, first_run = pending.request_class.effect, pending.first_run
        return first_run is None or effect is Effect.SAFE or (
            effect is Effect.KEYED and self.context.now - first_run[1] < pending.request_class.memory)
