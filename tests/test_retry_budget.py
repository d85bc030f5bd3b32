"""Retry budgets: of a single gateway, and of a fleet in every window."""

from __future__ import annotations

import random
from bisect import bisect_left, bisect_right

import pytest

from oakvale.interface import Attempt, Effect, Ending, RequestClass
from oakvale.policy.gateway import Gateway
from oakvale.retry_budget import MAX_SAVED_ATTEMPTS, FleetRetryBudget, LocalRetryBudget, RetryCost, RetryLimits
from tests.helpers import GatewayHarness, of

MS, SECOND = 1_000, 1_000_000
LIMITS = RetryLimits(10 * SECOND, 0.2, 62)
LATER = 100 * SECOND


def shared(gateways: int = 1, slack: float = 0.0, started_at: int = 0, draw: float = 0.5) -> FleetRetryBudget:
    return FleetRetryBudget(RetryLimits(10 * SECOND, 0.2, slack), lambda: gateways, lambda: draw, started_at)


def spend_retry(budget: FleetRetryBudget, now: int, ending: Ending = Ending.ERROR) -> bool:
    """Spends on a retry of a request whose first attempt has arrived."""
    return budget.try_spend(RetryCost(arrived=True), ending, now)


def test_local_budget_is_earned_by_answers() -> None:
    budget = LocalRetryBudget()
    assert all(budget.try_spend(RetryCost(), Ending.RESET, 0) for _ in range(int(MAX_SAVED_ATTEMPTS)))
    assert not budget.try_spend(RetryCost(), Ending.RESET, 0) and not budget.can_retry(0)
    assert budget.try_spend(RetryCost(), Ending.FULL, 0) and budget.try_spend(RetryCost(), Ending.NO_CONNECTION, 0)
    for _ in range(11):
        budget.record_attempt_end(RetryCost(), Ending.SERVED, True, 0)
        budget.record_attempt_end(RetryCost(), Ending.SERVED, False, 0)
    assert budget.try_spend(RetryCost(), Ending.TIMEOUT, 0) and not budget.try_spend(RetryCost(), Ending.TIMEOUT, 0)


def test_fleet_share_starts_empty_and_grows_with_requests() -> None:
    budget = shared(slack=62, started_at=LATER)
    assert not spend_retry(budget, LATER)
    for _ in range(42):
        budget.record_request(LATER)
    assert spend_retry(budget, LATER) and budget.can_retry(LATER)  # 2.1, at 0.05 per request
    assert spend_retry(budget, LATER) and not budget.can_retry(LATER)
    later = LATER + 12 * SECOND
    for _ in range(14):
        budget.record_request(later)
    assert [spend_retry(budget, later) for _ in range(34)].count(True) >= 33  # 2.1 and the share of the slack


def test_slack_share_starts_one_window_after_start() -> None:
    """The process before a restart may have spent it."""
    budget = shared(gateways=10, slack=62)
    assert not spend_retry(budget, 10 * SECOND)
    spent_retries = [spend_retry(budget, LATER) for _ in range(9)]
    assert spent_retries[:3] == [True, True, True] and not any(spent_retries[4:])
    assert not spend_retry(budget, LATER + 9 * SECOND)
    assert spend_retry(budget, LATER + 11 * SECOND)


def test_rejected_attempt_counts_as_arrival() -> None:
    budget, spent = shared(slack=62), RetryCost()
    for _ in range(31):
        budget.record_attempt_end(spent, Ending.FULL, True, LATER)
        assert budget.try_spend(spent, Ending.FULL, LATER)
    budget.record_attempt_end(spent, Ending.FULL, True, LATER)
    assert not budget.try_spend(spent, Ending.FULL, LATER)


def test_attempt_that_never_arrived_costs_nothing() -> None:
    budget, spent = shared(slack=2), RetryCost()
    for _ in range(9):  # refused connections: the next one would be the first to arrive
        assert budget.try_spend(spent, Ending.NO_CONNECTION, LATER)
        budget.record_attempt_end(spent, Ending.NO_CONNECTION, False, LATER)
    budget.record_attempt_end(spent, Ending.ERROR, True, LATER)
    for _ in range(9):
        assert budget.try_spend(spent, Ending.ERROR, LATER) and not budget.can_retry(LATER)
        budget.record_attempt_end(spent, Ending.NO_CONNECTION, False, LATER)
        assert budget.can_retry(LATER)
    assert budget.try_spend(spent, Ending.ERROR, LATER)
    budget.record_attempt_end(spent, Ending.CANCELLED, False, LATER)
    assert not budget.try_spend(spent, Ending.CANCELLED, LATER)


def test_fraction_of_retry_is_drawn_and_spent() -> None:
    for draw, passes in ((0.2, True), (0.5, False)):
        budget = shared(gateways=85, slack=62, draw=draw)  # 0.36 each
        assert spend_retry(budget, LATER) is passes
        assert not spend_retry(budget, LATER)


@pytest.mark.parametrize("gateways", [1, 5, 85])
@pytest.mark.parametrize("load", [2, 40, 600])
def test_fleet_bound_holds_in_every_window(gateways: int, load: int) -> None:
    """Outages after calm periods; every request is retried as often as the budget allows."""
    rng = random.Random(gateways * load)
    fleet = [FleetRetryBudget(LIMITS, lambda: gateways, rng.random, 0) for _ in range(gateways)]
    now, request_times, retry_times = 0, list[int](), list[int]()
    while now < 90 * SECOND:
        now += 1 + int(rng.expovariate(load) * SECOND)
        request_times.append(now)
        budget, spent = rng.choice(fleet), RetryCost()
        budget.record_request(now)
        if now // (7 * SECOND) % 3:
            budget.record_attempt_end(spent, Ending.FULL, True, now)
            while budget.try_spend(spent, Ending.FULL, now) and rng.random() < 0.8:
                retry_times.append(now)
                budget.record_attempt_end(spent, Ending.FULL, True, now)
        if rng.random() < 0.0005:
            fleet[rng.randrange(gateways)] = FleetRetryBudget(LIMITS, lambda: gateways, rng.random, now)
    assert retry_times
    for first, at in enumerate(retry_times):
        end = at + LIMITS.window
        within = bisect_right(retry_times, end) - first
        requests = max(
            bisect_left(request_times, end - k * LIMITS.window // 2)
            - bisect_left(request_times, at - k * LIMITS.window // 2)
            for k in range(3)
        )
        assert within <= LIMITS.ratio * requests + LIMITS.slack


def test_gateway_uses_given_budget() -> None:
    """Each retry that arrives costs one, also if it is rejected."""
    harness = GatewayHarness(classes=(RequestClass(effect=Effect.SAFE, tries=9),))
    budget = shared(slack=4)  # two
    harness.gateway = Gateway(harness.gateway.context.settings, 1, budget)
    harness.now += LATER
    harness.gateway.context.backends.update(GatewayHarness().gateway.context.backends)
    request_id, actions = harness.ask()
    sent = 0
    endings = [Ending.NO_CONNECTION, Ending.FULL, Ending.ERROR, Ending.NO_CONNECTION, Ending.ERROR, Ending.FULL]
    for hop, ending in enumerate(endings):
        found = of(actions, Attempt)
        if not found:
            break
        sent += 1
        actions = harness.end(request_id, found[0].backend, hop, ending)
    assert sent == 5  # one that never arrived, the first, two retries, and one after a refused connection
