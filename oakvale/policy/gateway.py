"""The way in: an event comes, actions go. Their types and those of the settings: oakvale/interface.py."""

from collections.abc import Callable
from typing import Any

from oakvale import interface as i
from oakvale.policy import admission, attempts, choice, health, lending, limits, quota, upkeep
from oakvale.policy.records import BATCH, Desk
from oakvale.retry_budget import LocalRetryBudget, RetryBudget


class Gateway:
    def __init__(self, settings: i.Settings, seed: int, budget: RetryBudget | None = None) -> None:
        self.desk = desk = Desk(settings, seed)
        self.resettle = desk.resettle  # other classes, same backends: what was learned of these stays
        self.counter, self.health = quota.Counter(desk), health.Health(desk)
        self.quota = quota.Quota(desk, self.counter)
        self.limits = limits.Limits(desk, self.health, self.quota)
        self.lending, self.choice = lending.Lending(desk, self.limits), choice.Choice(desk, self.limits)
        self.attempts = attempts.Attempts(desk, self.lending, self.choice, budget or LocalRetryBudget())
        self.admission = admission.Admission(desk, self.attempts)
        self.upkeep = upkeep.Upkeep(desk, self.attempts)
        self.handlers: dict[type[i.Event], Callable[[Any], None]] = {
            i.Request: self.admission.on_request, i.Counted: self.admission.on_counted,
            i.Ended: self.attempts.on_ended, i.Head: self.attempts.on_head, i.Timer: self.upkeep.on_timer,
            i.Backends: self.upkeep.on_backends, i.Withdrawn: lambda ev: self.limits.finish(ev.id)}

    def handle(self, now: int, event: i.Event) -> list[i.Action]:
        desk = self.desk
        if desk.now and now - desk.now > 2 * BATCH:  # it stood still: all that came meanwhile comes now
            desk.gap, desk.stood = now, now - desk.now
        desk.now, desk.do = now, []
        if handler := self.handlers.get(type(event)):
            handler(event)
        return desk.do
