"""Lending: what unused floors leave over goes to soft plans, and to nobody while servers slow."""

from dataclasses import replace

from oakvale.interface import Attempt, Timer
from tests.helpers import SOFT, Drive, of


def lender() -> Drive:
    """Fifty customers with a floor each, nearly unused, and one soft customer that has used its own up."""
    d = Drive(backends=200)
    d.now += d.gw.lending.window - d.now % d.gw.lending.window
    d.now += 3 * d.gw.lending.window + 1_234  # some way into the count, where a unit is no round number
    for k in range(50):
        d.ask(customer=f"quiet{k}")
    while of(d.ask(customer="soft", plan=1)[1], Attempt):
        pass
    return d


def borrowed(d: Drive, plan: int = 1, customer: str = "soft", most: int = 60) -> int:
    """How many pass beyond the floor, some way into the window."""
    d.now += d.gw.lending.window // 2
    d.count(d.send(Timer(0)))
    if customer in d.gw.context.customers:
        d.gw.context.customers[customer].balance, d.gw.context.customers[customer].refilled_at = 0.0, d.now
    return sum(bool(of(d.ask(customer=customer, plan=plan)[1], Attempt)) for _ in range(most))


def test_slack_of_unused_floors_is_lent_to_a_soft_plan_up_to_its_share() -> None:
    n = borrowed(lender(), most=400)
    assert 0 < n < 100


def test_a_hard_plan_borrows_nothing() -> None:
    assert borrowed(lender(), plan=0, customer="quiet0") == 0


def test_nothing_is_lent_while_servers_slow() -> None:
    d = lender()
    d.gw.health.latency, d.gw.health.baseline = 300_000.0, 100_000.0
    assert borrowed(d) == 0


def test_nothing_is_lent_in_a_window_whose_count_was_emptied() -> None:
    d = lender()
    d.now += 250_000
    d.count(d.send(Timer(0)))
    d.numbers.clear()
    assert borrowed(d) == 0


def test_what_is_lent_stays_within_the_slack() -> None:
    d = lender()
    n = borrowed(d, most=400)
    floors = 50 * 2.0 + 10.0
    assert n <= 0.3 * floors * d.gw.lending.window / 1e6


def test_a_soft_plan_of_no_price_has_no_weight_and_borrows_nothing() -> None:
    """Its share was worked out as a part of no weights at all, and the request with it came to nothing."""
    d = Drive(backends=200, plans=(SOFT, replace(SOFT, price=0.0)))
    d.now += 3 * d.gw.lending.window + 1_234
    for k in range(50):
        d.ask(customer=f"quiet{k}", plan=1)
    for _ in range(60):
        d.ask(customer="free", plan=1)
    assert borrowed(d, customer="free") == 0
