"""Lending: unused quota capacity goes to plans that may borrow, and to none while backends are slow."""

from dataclasses import replace

from oakvale.interface import Attempt, Timer
from tests.helpers import SOFT, GatewayHarness, of


def lender() -> GatewayHarness:
    """Fifty customers with nearly unused quotas, and one that may borrow and has used up its own."""
    harness = GatewayHarness(backends=200)
    harness.now += harness.gateway.lending.window - harness.now % harness.gateway.lending.window
    harness.now += 3 * harness.gateway.lending.window + 1_234  # into a count, where the scale of a unit is not round
    for k in range(50):
        harness.ask(customer=f"quiet{k}")
    while of(harness.ask(customer="soft", plan=1)[1], Attempt):
        pass
    return harness


def borrowed(harness: GatewayHarness, plan: int = 1, customer: str = "soft", most: int = 60) -> int:
    """How many requests beyond the quota pass half a window later."""
    harness.now += harness.gateway.lending.window // 2
    harness.count(harness.send(Timer(0)))
    if customer in harness.gateway.context.customers:
        harness.gateway.context.customers[customer].balance, harness.gateway.context.customers[customer].refilled_at = (
            0.0,
            harness.now,
        )
    return sum(bool(of(harness.ask(customer=customer, plan=plan)[1], Attempt)) for _ in range(most))


def test_unused_quota_is_lent_to_soft_plan_up_to_its_share() -> None:
    lent_requests = borrowed(lender(), most=400)
    assert 0 < lent_requests < 100


def test_a_hard_plan_borrows_nothing() -> None:
    assert borrowed(lender(), plan=0, customer="quiet0") == 0


def test_nothing_is_lent_while_backends_are_slow() -> None:
    harness = lender()
    harness.gateway.health.latency, harness.gateway.health.baseline = 300_000.0, 100_000.0
    assert borrowed(harness) == 0


def test_nothing_is_lent_in_window_whose_count_was_lost() -> None:
    harness = lender()
    harness.now += 250_000
    harness.count(harness.send(Timer(0)))
    harness.numbers.clear()
    assert borrowed(harness) == 0


def test_lent_units_stay_within_slack() -> None:
    harness = lender()
    lent_requests = borrowed(harness, most=400)
    floors = 50 * 2.0 + 10.0
    assert lent_requests <= 0.3 * floors * harness.gateway.lending.window / 1e6


def test_soft_plan_with_zero_price_borrows_nothing() -> None:
    """Its share would be a division by a weight sum of zero."""
    harness = GatewayHarness(backends=200, plans=(SOFT, replace(SOFT, price=0.0)))
    harness.now += 3 * harness.gateway.lending.window + 1_234
    for k in range(50):
        harness.ask(customer=f"quiet{k}", plan=1)
    for _ in range(60):
        harness.ask(customer="free", plan=1)
    assert borrowed(harness, customer="free") == 0
