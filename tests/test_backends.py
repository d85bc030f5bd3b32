"""Backends: choice, limits, ejection, cold starts, drains."""

from oakvale.interface import Attempt
from tests.helpers import Drive, of


def test_slow_answers_shrink_what_a_backend_may_hold() -> None:
    """All servers slow at once: less is sent on, instead of everything being late."""
    d = Drive(backends=1, may_count=False)
    b = d.gw.backends[1]
    before = b.limit
    for k in range(30):
        rid, actions = d.request(customer=f"c{k}")
        if of(actions, Attempt):
            d.now += 700_000
            d.end(rid, 1, latency=700_000)
    assert b.limit < before / 2
