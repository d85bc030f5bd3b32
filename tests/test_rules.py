"""The rules that each gateway keeps by itself: answers, effects, drains, warm-up, ceilings."""

from dataclasses import replace
from typing import Any

import pytest

from oakvale.interface import (
    Attempt,
    Backends,
    Cancel,
    Charge,
    Effect,
    Ended,
    Ending,
    Entry,
    Fail,
    Head,
    ListForm,
    Plan,
    Refuse,
    State,
    Timer,
    Watch,
    Withdrawn,
)
from tests.helpers import CLASS, HARD, GatewayHarness, of


def one_class(**changes: Any) -> GatewayHarness:
    return GatewayHarness(classes=(replace(CLASS, **changes),))


def first_attempt(harness: GatewayHarness, **kw: Any) -> tuple[str, int]:
    request_id, actions = harness.ask(**kw)
    return request_id, of(actions, Attempt)[0].backend


# -- one final answer


@pytest.mark.parametrize("ending", [e for e in Ending if e is not Ending.SERVED])
def test_every_ending_leads_to_one_more_attempt_or_one_answer(ending: Ending) -> None:
    harness = GatewayHarness()
    request_id, backend = first_attempt(harness)
    hop = 0
    while True:
        actions = harness.end(request_id, backend, hop, ending)
        finals = of(actions, Refuse) + of(actions, Fail)
        more = of(actions, Attempt)
        assert len(finals) + len(more) == 1
        if finals:
            break
        backend, hop = more[0].backend, hop + 1
    assert hop < 4 and request_id not in harness.gateway.context.pending


def test_no_action_after_request_has_ended() -> None:
    harness = GatewayHarness()
    request_id, backend = first_attempt(harness)
    token = max(harness.gateway.attempts.timers)
    assert not of(harness.send(Withdrawn(request_id)), Refuse)
    assert not of(harness.end(request_id, backend, ending=Ending.RESET, over=True), Attempt)
    assert harness.send(Timer(token)) == [] and not harness.gateway.context.pending
    assert harness.end("unknown", backend) == [] and harness.send(Withdrawn("unknown")) == []


@pytest.mark.parametrize(
    "effect, may_cancel, head_received, cancelled",
    [
        (Effect.SAFE, True, False, True),
        (Effect.UNSAFE, True, False, False),
        (Effect.KEYED, True, False, False),
        (Effect.SAFE, False, False, False),
        (Effect.SAFE, True, True, False),
    ],
)
def test_safe_attempt_is_cancelled_when_client_leaves(
    effect: Effect, may_cancel: bool, head_received: bool, cancelled: bool
) -> None:
    """Backends must not go on working for clients that have left."""
    harness = one_class(effect=effect)
    harness.gateway.update_settings(replace(harness.gateway.context.settings, may_cancel=may_cancel))
    request_id, backend = first_attempt(harness)
    if head_received:
        harness.send(Head(request_id, backend, 0))
    assert harness.send(Withdrawn(request_id)) == ([Cancel(request_id, 0)] if cancelled else [])
    assert harness.send(Withdrawn(request_id)) == []  # cancelled only once
    assert (
        not of(harness.end(request_id, backend, ending=Ending.CANCELLED, over=True), Attempt)
        and not harness.gateway.context.pending
    )


def test_started_stream_is_not_cancelled() -> None:
    harness = one_class(stream=True)
    request_id, backend = first_attempt(harness)
    harness.send(Head(request_id, backend, 0))
    harness.now += 10_000_000
    assert harness.send(Timer(max(harness.gateway.attempts.timers))) == []
    harness.end(request_id, backend, over=True)
    assert not harness.gateway.context.pending


# -- no effect twice


@pytest.mark.parametrize("ending", [Ending.ERROR, Ending.RESET, Ending.TIMEOUT])
def test_an_unsafe_request_that_may_have_run_is_failed(ending: Ending) -> None:
    harness = one_class(effect=Effect.UNSAFE)
    request_id, backend = first_attempt(harness)
    actions = harness.end(request_id, backend, ending=ending)
    assert [a.id for a in of(actions, Fail)] == [request_id]
    assert not of(actions, Attempt) and not of(actions, Refuse)


def test_unsafe_request_that_never_ran_is_retried() -> None:
    harness = one_class(effect=Effect.UNSAFE)
    request_id, backend = first_attempt(harness)
    [again] = of(harness.end(request_id, backend, ending=Ending.NO_CONNECTION), Attempt)
    assert again.backend != backend


def test_keyed_request_is_retried_within_group_and_memory() -> None:
    harness = one_class(effect=Effect.KEYED, group="cell", memory=300_000)
    harness.send(Backends(ListForm.FULL, tuple(Entry(k + 1, zone=0, cell=k % 3) for k in range(12))))
    request_id, backend = first_attempt(harness)
    [again] = of(harness.end(request_id, backend, ending=Ending.RESET), Attempt)
    assert again.backend != backend and (again.backend - backend) % 3 == 0
    harness.now += 300_000  # its key is forgotten there
    actions = harness.end(request_id, again.backend, 1, Ending.RESET)
    assert of(actions, Fail) and not of(actions, Attempt) and not of(actions, Refuse)


# -- drains


def test_draining_or_gone_backend_gets_no_attempt() -> None:
    harness = GatewayHarness(backends=3)
    harness.send(Backends(ListForm.DELTA, (Entry(1, state=State.DRAINING), Entry(2, state=State.GONE))))
    for k in range(20):
        request_id, actions = harness.ask(customer=f"c{k}")
        assert all(a.backend == 3 for a in of(actions, Attempt))
    harness.send(Backends(ListForm.FULL, (Entry(1),)))  # 3 is no longer listed
    for k in range(20):
        request_id, actions = harness.ask(customer=f"d{k}")
        assert all(a.backend == 1 for a in of(actions, Attempt))


def test_backend_list_is_watched_on_request() -> None:
    harness = GatewayHarness(on_request=True)
    assert harness.send(Backends(ListForm.FAILED)) and harness.gateway.context.backends
    fresh = GatewayHarness(on_request=True, backends=0)
    fresh.gateway.context.started_at = 0
    assert of(fresh.send(Backends(ListForm.CACHED)), Watch)


# -- cold backends


def test_restarted_backend_warms_up() -> None:
    harness = GatewayHarness(backends=4)
    attempts_by_backend: dict[int, int] = {}

    def play(seconds: int) -> None:
        attempts_by_backend.clear()
        for k in range(seconds * 50):
            harness.now += 20_000
            if k % 12 == 0:
                harness.send(Timer(0))
            request_id, actions = harness.ask(customer=f"c{k % 100}")
            for a in of(actions, Attempt):
                attempts_by_backend[a.backend] = attempts_by_backend.get(a.backend, 0) + 1
                harness.end(request_id, a.backend, latency=20_000)

    play(20)
    assert min(attempts_by_backend.get(k, 0) for k in (1, 2, 3, 4)) > 0
    harness.send(Backends(ListForm.DELTA, (Entry(4, started=harness.now),)))
    play(1)
    total = sum(attempts_by_backend.values())
    assert attempts_by_backend.get(4, 0) <= 0.2 * total / 4 * 3  # three times its cold share of an even part


# -- ceilings


def test_ceiling_is_enforced_per_gateway() -> None:
    plan = Plan(rate=10, burst=20, over_worth=1.0, ceiling_rate=2.0, ceiling_burst=8.0)
    harness = GatewayHarness(plans=(HARD, plan))
    sent = 0
    for _ in range(1000):
        harness.now += 10_000
        for a in of(harness.ask(plan=1)[1], Attempt):
            sent += 1
            harness.end(a.id, a.backend)
    # ten seconds at its share of two per second, starting empty as after a restart
    assert 5 <= sent <= 10
    harness.now += 60_000_000
    harness.send(Timer(0))
    burst = [a for _ in range(20) for a in of(harness.ask(plan=1)[1], Attempt)]
    assert len(burst) == 4  # its share of the burst, after being idle


def test_a_ceiling_holds_without_a_counter() -> None:
    plan = Plan(rate=10, burst=20, over_worth=1.0, ceiling_rate=2.0, ceiling_burst=8.0)
    harness = GatewayHarness(plans=(HARD, plan), may_count=False)
    sent = 0
    for _ in range(1000):
        harness.now += 10_000
        actions = harness.request(plan=1)[1]
        assert not of(actions, Charge)
        for a in of(actions, Attempt):
            sent += 1
            harness.end(a.id, a.backend)
    assert 5 <= sent <= 10


def test_estimate_is_corrected_by_reported_units() -> None:
    harness = GatewayHarness(post_paid=True)
    request_id, actions = harness.ask(units=1)
    [a] = of(actions, Attempt)
    harness.send(Ended(request_id, a.backend, 0, True, Ending.SERVED, 50_000, true_units=5))
    assert harness.gateway.context.customers["a"].balance == 3
    harness.ask(units=1)
    assert list(harness.numbers.values()) == [6]
