"""Entry point of the policy: takes an event, returns actions. Their types are in oakvale/interface.py."""

from collections.abc import Callable
from typing import Any

from oakvale import interface as i
from oakvale.policy import admission, attempts, choice, health, lending, limits, quota, upkeep
from oakvale.policy.records import BATCH_INTERVAL_US
from oakvale.policy_records import SECOND_US, Context
from oakvale.retry_budget import LocalRetryBudget, RetryBudget


class Gateway:  # the decisions of one gateway for one service
    def __init__(self, settings: i.Settings, seed: int, budget: RetryBudget | None = None) -> None:
        self.context = context = Context(seed)
        self.counter, self.health = quota.CounterCalls(context), health.Health(context)
        self.update_settings(settings)
        self.quota = quota.Quota(context, self.counter)
        self.limits = limits.Limits(context, self.health, self.quota)
        self.lending = lending.Lending(context, self.limits)
        self.selector = choice.BackendSelector(context, self.limits)
        self.attempts = attempts.Attempts(context, self.lending, self.selector, budget or LocalRetryBudget())
        self.admission = admission.Admission(context, self.attempts)
        self.upkeep = upkeep.Upkeep(context, self.attempts)
        self.handlers: dict[type[i.Event], Callable[[Any], None]] = {
            i.Request: self.admission.on_request, i.Counted: self.admission.on_counted,
            i.Ended: self.attempts.on_ended, i.Head: self.attempts.on_head, i.Timer: self.upkeep.on_timer,
            i.Backends: self.upkeep.on_backends, i.Withdrawn: lambda event: self.limits.finish(event.id),
            i.Stopping: self.upkeep.on_stopping}

    def update_settings(self, settings: i.Settings) -> None:  # measurements of backends are kept
        self.context.settings = settings
        self.context.aims = sorted(c.aim for c in settings.classes if not c.retired)
        self.health.update_min_aim()
        self.health.keep_classes(settings.classes)
        self.context.max_deadline = max((c.deadline for c in settings.classes), default=SECOND_US)

    def handle(self, now: int, event: i.Event) -> list[i.Action]:
        """Decides on one event. `now` is in microseconds and never decreases."""
        context = self.context
        if context.now and now - context.now > 2 * BATCH_INTERVAL_US:  # the process was paused
            context.resumed_at, context.paused_for = now, now - context.now
        context.now, context.actions = now, []
        if handler := self.handlers.get(type(event)):
            handler(event)
        return context.actions
