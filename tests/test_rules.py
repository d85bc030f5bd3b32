"""The five rules, kept by one gateway alone."""

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
from tests.helpers import CLASS, HARD, Drive, of


def one_class(**changes: Any) -> Drive:
    return Drive(classes=(replace(CLASS, **changes),))


def first_attempt(d: Drive, **kw: Any) -> tuple[str, int]:
    rid, actions = d.ask(**kw)
    return rid, of(actions, Attempt)[0].backend


# -- one final answer


@pytest.mark.parametrize("ending", [e for e in Ending if e is not Ending.SERVED])
def test_every_ending_leads_to_one_more_attempt_or_one_answer(ending: Ending) -> None:
    d = Drive()
    rid, backend = first_attempt(d)
    hop = 0
    while True:
        actions = d.end(rid, backend, hop, ending)
        finals = of(actions, Refuse) + of(actions, Fail)
        more = of(actions, Attempt)
        assert len(finals) + len(more) == 1
        if finals:
            break
        backend, hop = more[0].backend, hop + 1
    assert hop < 4 and rid not in d.gw.context.pending


def test_nothing_follows_the_end_of_a_request() -> None:
    d = Drive()
    rid, backend = first_attempt(d)
    token = max(d.gw.attempts.timers)
    assert not of(d.send(Withdrawn(rid)), Refuse)
    assert not of(d.end(rid, backend, ending=Ending.RESET, over=True), Attempt)
    assert d.send(Timer(token)) == [] and not d.gw.context.pending
    assert d.end("unknown", backend) == [] and d.send(Withdrawn("unknown")) == []


@pytest.mark.parametrize(
    "effect, may_cancel, begun, called_off",
    [
        (Effect.SAFE, True, False, True),
        (Effect.UNSAFE, True, False, False),
        (Effect.KEYED, True, False, False),
        (Effect.SAFE, False, False, False),
        (Effect.SAFE, True, True, False),
    ],
)
def test_what_may_be_repeated_is_called_off_when_its_client_leaves(
    effect: Effect, may_cancel: bool, begun: bool, called_off: bool
) -> None:
    """Incident GONE: backends went on working for clients that had left."""
    d = one_class(effect=effect)
    d.gw.update_settings(replace(d.gw.context.settings, may_cancel=may_cancel))
    rid, backend = first_attempt(d)
    if begun:
        d.send(Head(rid, backend, 0))
    assert d.send(Withdrawn(rid)) == ([Cancel(rid, 0)] if called_off else [])
    assert d.send(Withdrawn(rid)) == []  # said once
    assert not of(d.end(rid, backend, ending=Ending.CANCELLED, over=True), Attempt) and not d.gw.context.pending


def test_a_stream_that_has_begun_is_left_alone() -> None:
    d = one_class(stream=True)
    rid, backend = first_attempt(d)
    d.send(Head(rid, backend, 0))
    d.now += 10_000_000
    assert d.send(Timer(max(d.gw.attempts.timers))) == []
    d.end(rid, backend, over=True)
    assert not d.gw.context.pending


# -- no effect twice


@pytest.mark.parametrize("ending", [Ending.ERROR, Ending.RESET, Ending.TIMEOUT])
def test_an_unsafe_request_that_may_have_run_is_failed(ending: Ending) -> None:
    d = one_class(effect=Effect.UNSAFE)
    rid, backend = first_attempt(d)
    actions = d.end(rid, backend, ending=ending)
    assert [a.id for a in of(actions, Fail)] == [rid]
    assert not of(actions, Attempt) and not of(actions, Refuse)


def test_an_unsafe_request_that_never_ran_goes_elsewhere() -> None:
    d = one_class(effect=Effect.UNSAFE)
    rid, backend = first_attempt(d)
    [again] = of(d.end(rid, backend, ending=Ending.NO_CONNECTION), Attempt)
    assert again.backend != backend


def test_a_keyed_request_stays_in_its_group_and_memory() -> None:
    d = one_class(effect=Effect.KEYED, group="cell", memory=300_000)
    d.send(Backends(ListForm.FULL, tuple(Entry(k + 1, zone=0, cell=k % 3) for k in range(12))))
    rid, backend = first_attempt(d)
    [again] = of(d.end(rid, backend, ending=Ending.RESET), Attempt)
    assert again.backend != backend and (again.backend - backend) % 3 == 0
    d.now += 300_000  # forgotten there
    actions = d.end(rid, again.backend, 1, Ending.RESET)
    assert of(actions, Fail) and not of(actions, Attempt) and not of(actions, Refuse)


# -- drains


def test_nothing_new_goes_to_a_draining_or_gone_backend() -> None:
    d = Drive(backends=3)
    d.send(Backends(ListForm.DELTA, (Entry(1, state=State.DRAINING), Entry(2, state=State.GONE))))
    for k in range(20):
        rid, actions = d.ask(customer=f"c{k}")
        assert all(a.backend == 3 for a in of(actions, Attempt))
    d.send(Backends(ListForm.FULL, (Entry(1),)))  # 3 is not listed any more
    for k in range(20):
        rid, actions = d.ask(customer=f"d{k}")
        assert all(a.backend == 1 for a in of(actions, Attempt))


def test_where_the_list_must_be_asked_for_it_is_subscribed_to() -> None:
    d = Drive(on_request=True)
    assert d.send(Backends(ListForm.FAILED)) and d.gw.context.backends
    fresh = Drive(on_request=True, backends=0)
    fresh.gw.context.started_at = 0
    assert of(fresh.send(Backends(ListForm.CACHED)), Watch)


# -- cold backends


def test_a_fresh_backend_is_sent_little_at_first() -> None:
    d = Drive(backends=4)
    to: dict[int, int] = {}

    def play(seconds: int) -> None:
        to.clear()
        for k in range(seconds * 50):
            d.now += 20_000
            if k % 12 == 0:
                d.send(Timer(0))
            rid, actions = d.ask(customer=f"c{k % 100}")
            for a in of(actions, Attempt):
                to[a.backend] = to.get(a.backend, 0) + 1
                d.end(rid, a.backend, latency=20_000)

    play(20)
    assert min(to.get(k, 0) for k in (1, 2, 3, 4)) > 0
    d.send(Backends(ListForm.DELTA, (Entry(4, started=d.now),)))
    play(1)
    total = sum(to.values())
    assert to.get(4, 0) <= 0.2 * total / 4 * 3  # the multiple of its cold share of an even part


# -- ceilings


def test_a_ceiling_is_kept_by_each_gateway_alone() -> None:
    plan = Plan(rate=10, burst=20, over_worth=1.0, ceiling_rate=2.0, ceiling_burst=8.0)
    d = Drive(plans=(HARD, plan))
    sent = 0
    for _ in range(1000):
        d.now += 10_000
        for a in of(d.ask(plan=1)[1], Attempt):
            sent += 1
            d.end(a.id, a.backend)
    # ten seconds at its part of two a second, from an empty store: a restart may find it spent
    assert 5 <= sent <= 10
    d.now += 60_000_000
    d.send(Timer(0))
    burst = [a for _ in range(20) for a in of(d.ask(plan=1)[1], Attempt)]
    assert len(burst) == 4  # its part of the burst, after being idle


def test_a_ceiling_holds_without_a_counter() -> None:
    plan = Plan(rate=10, burst=20, over_worth=1.0, ceiling_rate=2.0, ceiling_burst=8.0)
    d = Drive(plans=(HARD, plan), may_count=False)
    sent = 0
    for _ in range(1000):
        d.now += 10_000
        actions = d.request(plan=1)[1]
        assert not of(actions, Charge)
        for a in of(actions, Attempt):
            sent += 1
            d.end(a.id, a.backend)
    assert 5 <= sent <= 10


def test_a_guess_is_put_right_when_the_answer_tells_the_units() -> None:
    d = Drive(post_paid=True)
    rid, actions = d.ask(units=1)
    [a] = of(actions, Attempt)
    d.send(Ended(rid, a.backend, 0, True, Ending.SERVED, 50_000, true_units=5))
    assert d.gw.context.customers["a"].balance == 3
    d.ask(units=1)
    assert list(d.numbers.values()) == [6]
