"""Upkeep: the list of backends as discovery reports it, and the work done at each batch interval."""

from oakvale.interface import Backends, Fetch, ListForm, Stopping, Timer, Wake, Watch
from oakvale.policy.attempts import Attempts
from oakvale.policy.records import BATCH_INTERVAL_US
from oakvale.policy_records import BATCH_TIMER, EPOCH_US, SECOND_US, Context, Customer


class Upkeep:  # handles updates of the backend list and timers
    def __init__(self, context: Context, attempts: Attempts) -> None:
        self.context, self.attempts, self.lending = context, attempts, attempts.lending

    def on_backends(self, event: Backends) -> None:  # takes over a list of backends, or a change
        context, min_limit = self.context, self.attempts.limits.min_limit
        if not context.started_at:
            context.started_at = context.now
            context.actions.append(Wake(BATCH_TIMER, BATCH_INTERVAL_US))
            if context.settings.on_request:
                context.actions.append(Watch(True))
        if event.form is ListForm.FAILED:
            return context.actions.append(Watch(True))
        context.update_backends(event, min_limit)

    def on_stopping(self, _: Stopping) -> None:  # attempts run to their end from now on
        self.context.stopping = True

    def on_timer(self, event: Timer) -> None:  # the batch, or an attempt's check
        if event.token != BATCH_TIMER:
            return self.attempts.check_progress(*self.attempts.timers.pop(event.token, ("", 0)))
        context = self.context
        context.actions.append(Wake(BATCH_TIMER, BATCH_INTERVAL_US))
        self.attempts.health.baseline *= 1.005
        self.attempts.health.update_min_aim()
        self.attempts.selector.tick()
        if self.lending.enabled:
            self.lending.send_batch()
        for name in [k for k, customer in context.customers.items() if self.idle(customer)]:
            plan = context.customers.pop(name).plan
            self.lending.weights -= plan.price if self.lending.may_borrow(plan) else 0.0
        if not context.backends:
            context.actions.append(Fetch())

    def idle(self, customer: Customer) -> bool:  # its counts have expired, its share of a ceiling is full
        refill = customer.plan.ceiling_burst / (customer.plan.ceiling_rate or 1e9) * SECOND_US
        return not customer.in_flight and not customer.open_calls and (
            self.context.now - customer.last_seen > max(2 * EPOCH_US, refill))
