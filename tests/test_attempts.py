"""Attempts: timeouts, retries, the final answer."""

from oakvale.interface import Attempt, Ending, Refuse
from tests.helpers import GatewayHarness, of


def test_deadline_before_aim_ends_with_refusal_at_once() -> None:
    harness = GatewayHarness()
    request_id, actions = harness.ask(patience=500_000)
    [first] = of(actions, Attempt)
    harness.now += 500_000  # the deadline of the client, well before the aim
    actions = harness.end(request_id, first.backend, ending=Ending.TIMEOUT)
    assert not of(actions, Attempt)
    assert [a.id for a in of(actions, Refuse)] == [request_id]


def test_moot_attempt_is_not_retried() -> None:
    harness = GatewayHarness()
    request_id, actions = harness.ask()
    [first] = of(actions, Attempt)
    actions = harness.end(request_id, first.backend, ending=Ending.MOOT)
    assert not of(actions, Attempt) and of(actions, Refuse)
