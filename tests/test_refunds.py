"""The count of a request that surely never ran is refunded once, and the quota still holds."""

from __future__ import annotations

import random

import pytest

from oakvale.ratelimit.counter_state import Receipt
from oakvale.ratelimit.quotas import SECOND, Quota, QuotaCounter, QuotaTerms
from oakvale.ratelimit.refunds import REFUND_MEMORY_US, RefundLog
from tests.data_plane import GatewayHarness
from tests.ratelimit_simulation import Fleet, Tenant
from tests.simulated_processes import MS

QUOTA = Quota(20, 20)
TERMS = QuotaTerms(5 * SECOND, 0.1, 20)


class ReferenceCounter:
    """Reference model: recomputes the level from all counted requests."""

    def __init__(self) -> None:
        self.counted: dict[int, int] = {}

    def level(self, now: int) -> float:
        level, last = 0.0, 0
        for at in sorted(self.counted.values()):
            level = max(0.0, level - QUOTA.rate * (at - last) / SECOND) + 1
            last = at
        return max(0.0, level - QUOTA.rate * (now - last) / SECOND)


@pytest.mark.parametrize("seed", range(20))
def test_a_refund_is_at_most_what_the_request_still_adds(seed: int) -> None:
    rng, now = random.Random(seed), 100 * SECOND
    counter, reference = QuotaCounter(TERMS, now), ReferenceCounter()
    counter.bound_unknown_usage(now - 100 * SECOND)
    held: list[tuple[int, int]] = []
    whole = 0
    for number in range(400):
        now += rng.choice([0, 3, 20, 60, 400]) * MS * rng.randrange(2)
        verdict = counter.count_request("t", QUOTA, False, now)
        if verdict.passes:
            reference.counted[number] = now
            held.append((number, verdict.counted_at))
        if held and rng.random() < 0.3:
            taken, counted_at = held.pop(rng.randrange(max(0, len(held) - 6), len(held)))
            whole += counter.refund("t", QUOTA, counted_at, now) == 1
            del reference.counted[taken]
        assert counter.level("t", QUOTA, now) >= reference.level(now) - 1e-3, (
            "the level is below that of the counted requests"
        )
    assert whole > 10


def test_at_the_limit_a_refund_is_whole() -> None:
    counter, now = QuotaCounter(TERMS, 0), 200 * SECOND
    while (verdict := counter.count_request("t", QUOTA, False, now)).passes:
        counted_at = verdict.counted_at
    assert counter.refund("t", QUOTA, counted_at, now) == 1
    assert (
        counter.count_request("t", QUOTA, False, now).passes
        and not counter.count_request("t", QUOTA, False, now).passes
    )


def test_a_refund_is_accepted_once_and_only_by_the_incarnation_that_counted() -> None:
    sender, counter = RefundLog("g", "life"), RefundLog("h", "other")
    body = sender.encode("t", "this", 5)
    assert counter.accept(body, "next", 0) is None, "a counter of another incarnation"
    assert counter.accept(body, "this", 0) == ("t", 5)
    assert counter.accept(body, "this", 1) is None
    assert counter.accept(sender.encode("t", "this", 5), "this", 2) == ("t", 5)
    for n in range(5):
        counter.accept(sender.encode("t", "this", 5), "this", REFUND_MEMORY_US + 3 + n)
    assert len(counter._accepted) == 5


def test_a_receipt_is_refunded_once_wherever_it_was_counted() -> None:
    fleet = Fleet(1, 6)
    fleet.run(6 * SECOND)
    for machine in fleet.gates:
        rate_limiter = machine.rate_limiter
        assert rate_limiter is not None
        for tenant in ("a", "b", "c"):
            fleet.tenants.setdefault(tenant, idle_tenant(tenant, fleet.now))
            receipt = Receipt()
            rate_limiter.count_request(tenant, False, lambda *_: None, 0, receipt)
            fleet.run(20 * MS)
            before = level(fleet, tenant)
            assert receipt.counter_id and before > 0
            rate_limiter.refund(receipt)
            fleet.run(5 * MS)
            after = level(fleet, tenant)
            assert after < before - 0.3
            rate_limiter.refund(receipt)
            fleet.run(5 * MS)
            assert level(fleet, tenant) >= after - 5 * MS * 21 / SECOND
            fleet.run(500 * MS)


def idle_tenant(name: str, now: int) -> Tenant:
    return Tenant(name, QUOTA, 0.0001, 1, False, at=now)


def level(fleet: Fleet, tenant: str) -> float:
    counters = [m.rate_limiter._counters for m in fleet.gates if m.rate_limiter is not None]
    found = [counter for held in counters for counter in held.values() if tenant in counter._levels]
    assert len(found) == 1
    return found[0].level(tenant, QUOTA, fleet.now)


def test_a_refusal_before_any_attempt_is_refunded(gateway: GatewayHarness) -> None:
    gateway.apply_state(removed=("i-1", "i-2"))
    assert gateway.status(gateway.send_request()) == 503
    assert gateway.rate_limiter.refunded == ["t1"]


def test_a_client_that_leaves_before_any_attempt_is_refunded_once(gateway: GatewayHarness) -> None:
    named = []
    gateway.router.boards.select = (  # type: ignore[method-assign]
        lambda service, wait, on_selected, facts=None, without=frozenset(): named.append(on_selected)
    )
    client = gateway.send_request()
    gateway.until(lambda: named)
    client.close(reset=True)
    gateway.until(lambda: gateway.rate_limiter.refunded)
    named[0](None)
    gateway.turns()
    assert gateway.rate_limiter.refunded == ["t1"]


def test_a_request_sent_to_a_backend_stays_counted(gateway: GatewayHarness) -> None:
    client = gateway.send_request()
    _, backend, _ = gateway.next_backend_request()
    client.close(reset=True)
    gateway.until(lambda: not len(gateway.router.requests))
    backend.close(reset=True)
    gateway.turns()
    assert not gateway.rate_limiter.refunded
