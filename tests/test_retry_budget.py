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
TERMS = RetryLimits(10 * SECOND, 0.2, 62)
LATER = 100 * SECOND


def shared(gateways: int = 1, slack: float = 0.0, born: int = 0, draw: float = 0.5) -> FleetRetryBudget:
    return FleetRetryBudget(RetryLimits(10 * SECOND, 0.2, slack), lambda: gateways, lambda: draw, born)


def further(budget: FleetRetryBudget, now: int, ending: Ending = Ending.ERROR) -> bool:
    """Spends on a retry of a request whose first attempt has arrived."""
    return budget.try_spend(RetryCost(arrived=True), ending, now)


def test_a_gateway_by_itself_earns_by_answers() -> None:
    budget = LocalRetryBudget()
    assert all(budget.try_spend(RetryCost(), Ending.RESET, 0) for _ in range(int(MAX_SAVED_ATTEMPTS)))
    assert not budget.try_spend(RetryCost(), Ending.RESET, 0) and not budget.can_retry(0)
    assert budget.try_spend(RetryCost(), Ending.FULL, 0) and budget.try_spend(RetryCost(), Ending.NO_CONNECTION, 0)
    for _ in range(11):
        budget.record_attempt_end(RetryCost(), Ending.SERVED, True, 0)
        budget.record_attempt_end(RetryCost(), Ending.SERVED, False, 0)
    assert budget.try_spend(RetryCost(), Ending.TIMEOUT, 0) and not budget.try_spend(RetryCost(), Ending.TIMEOUT, 0)


def test_a_part_starts_empty_and_earns_by_requests() -> None:
    budget = shared(slack=62, born=LATER)
    assert not further(budget, LATER)
    for _ in range(42):
        budget.record_request(LATER)
    assert further(budget, LATER) and budget.can_retry(LATER)  # 2.1, at 0.05 per request
    assert further(budget, LATER) and not budget.can_retry(LATER)
    later = LATER + 12 * SECOND
    for _ in range(14):
        budget.record_request(later)
    assert [further(budget, later) for _ in range(34)].count(True) >= 33  # 2.1 and the share of the slack


def test_its_share_of_the_slack_comes_a_window_after_its_start() -> None:
    """The process before a restart may have spent it."""
    budget = shared(gateways=10, slack=62)
    assert not further(budget, 10 * SECOND)
    taken = [further(budget, LATER) for _ in range(9)]
    assert taken[:3] == [True, True, True] and not any(taken[4:])
    assert not further(budget, LATER + 9 * SECOND)
    assert further(budget, LATER + 11 * SECOND)


def test_turned_away_is_an_arrival_too() -> None:
    budget, spent = shared(slack=62), RetryCost()
    for _ in range(31):
        budget.record_attempt_end(spent, Ending.FULL, True, LATER)
        assert budget.try_spend(spent, Ending.FULL, LATER)
    budget.record_attempt_end(spent, Ending.FULL, True, LATER)
    assert not budget.try_spend(spent, Ending.FULL, LATER)


def test_what_never_came_costs_nothing() -> None:
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


def test_less_than_one_is_drawn_for_and_spent_by_the_draw() -> None:
    for draw, passes in ((0.2, True), (0.5, False)):
        budget = shared(gateways=85, slack=62, draw=draw)  # 0.36 each
        assert further(budget, LATER) is passes
        assert not further(budget, LATER)


@pytest.mark.parametrize("gateways", [1, 5, 85])
@pytest.mark.parametrize("load", [2, 40, 600])
def test_every_window_of_a_fleet_holds(gateways: int, load: int) -> None:
    """Outages after calm periods; every request is retried as often as the budget allows."""
    rng = random.Random(gateways * load)
    fleet = [FleetRetryBudget(TERMS, lambda: gateways, rng.random, 0) for _ in range(gateways)]
    now, asked, added = 0, list[int](), list[int]()
    while now < 90 * SECOND:
        now += 1 + int(rng.expovariate(load) * SECOND)
        asked.append(now)
        budget, spent = rng.choice(fleet), RetryCost()
        budget.record_request(now)
        if now // (7 * SECOND) % 3:
            budget.record_attempt_end(spent, Ending.FULL, True, now)
            while budget.try_spend(spent, Ending.FULL, now) and rng.random() < 0.8:
                added.append(now)
                budget.record_attempt_end(spent, Ending.FULL, True, now)
        if rng.random() < 0.0005:
            fleet[rng.randrange(gateways)] = FleetRetryBudget(TERMS, lambda: gateways, rng.random, now)
    assert added
    for first, at in enumerate(added):
        end = at + TERMS.window
        within = bisect_right(added, end) - first
        requests = max(
            bisect_left(asked, end - k * TERMS.window // 2) - bisect_left(asked, at - k * TERMS.window // 2)
            for k in range(3)
        )
        assert within <= TERMS.ratio * requests + TERMS.slack


def test_a_gateway_uses_the_budget_that_it_is_handed() -> None:
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
