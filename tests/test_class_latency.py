"""Routes of one service with different work: what is known of one of them decides nothing about the others."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from oakvale.class_latency import EWMA_WEIGHT, ClassLatency
from oakvale.interface import Attempt, Effect, Refuse, RequestClass
from tests.backend_pool_simulation import MS, SECOND, BackendPoolSimulation, SimulatedBackend
from tests.helpers import CLASS, SETTINGS, GatewayHarness, of

SLOW, QUICK = 0, 1
SLOW_CLASS = replace(CLASS, aim=1_500 * MS, deadline=3 * SECOND, tries=2)
QUICK_CLASS = replace(CLASS, aim=500 * MS, deadline=SECOND, tries=2)
SLOW_WORK, QUICK_WORK = 1_200 * MS, 50 * MS
RETURN_US = 5 * SECOND  # beyond the longest deadline, until whatever backends can answer in time is served again


def simulation_of(
    slow: RequestClass = SLOW_CLASS, quick: RequestClass = QUICK_CLASS, backends: int = 3, slots: int = 8, seed: int = 1
) -> BackendPoolSimulation:
    return BackendPoolSimulation((slow, quick), [SimulatedBackend(slots, 8) for _ in range(backends)], seed)


def test_quick_route_is_served_after_the_slow_one_fell_silent() -> None:
    """Guards against CONFIG without a change of configuration: 0 of 200, as the mean stayed that of the slow route."""
    simulation = simulation_of()
    start = simulation.now
    simulation.ask_regularly(SLOW, SLOW_WORK, 3, start, start + 14 * SECOND)
    simulation.ask_regularly(QUICK, QUICK_WORK, 3, start, start + 8 * SECOND)
    simulation.ask_regularly(QUICK, QUICK_WORK, 10, start + 14 * SECOND, start + 34 * SECOND)
    simulation.run_until(start + 36 * SECOND)
    assert simulation.served_share(QUICK, start + 14 * SECOND, start + 34 * SECOND) == 1


@pytest.mark.parametrize("slow_rate, quick_rate", [(4, 2), (4, 4), (2, 8), (2, 20), (1, 40)])
def test_both_routes_are_served_beside_each_other(slow_rate: float, quick_rate: float) -> None:
    """Guards against a mean of both: above the quick route's deadline, or so low that slow attempts count as lost."""
    simulation = simulation_of()
    start, end = simulation.now, simulation.now + 40 * SECOND
    simulation.ask_regularly(SLOW, SLOW_WORK, slow_rate, start, end)
    simulation.ask_regularly(QUICK, QUICK_WORK, quick_rate, start, end)
    simulation.run_until(end + 4 * SECOND)
    assert [simulation.served_share(route, start + 5 * SECOND, end) for route in (SLOW, QUICK)] == [1, 1]
    called_off = [run for x in simulation.requests.values() for run in x.runs if run.cancelled_at > start + 5 * SECOND]
    assert called_off == []


def test_route_that_a_configuration_adds_is_served_whatever_the_service_was_like() -> None:
    """Guards against review/4: every request on the added route got 503 until the process was started anew."""
    simulation = simulation_of()
    start = simulation.now
    simulation.ask_regularly(SLOW, SLOW_WORK, 3, start, start + 10 * SECOND)
    simulation.run_until(start + 10 * SECOND)
    shortened = replace(SLOW_CLASS, deadline=SECOND, aim=500 * MS)  # the same route's time-out is shortened
    simulation.settings = replace(simulation.settings, classes=(shortened, QUICK_CLASS))
    simulation.gateway.update_settings(simulation.settings)
    for route in (SLOW, QUICK):
        simulation.ask_regularly(route, QUICK_WORK, 5, start + 10 * SECOND, start + 20 * SECOND)
    simulation.run_until(start + 22 * SECOND)
    assert [simulation.served_share(x, start + 10 * SECOND, start + 20 * SECOND) for x in (SLOW, QUICK)] == [1, 1]


@pytest.mark.parametrize("time_left", [990 * MS, 500 * MS, 100 * MS])
def test_route_whose_backends_were_slow_is_served_again(time_left: int) -> None:
    """Guards against a mean that only what it admits could lower: clients that have less time left than the mean."""
    simulation = simulation_of()
    start = simulation.now
    simulation.ask_regularly(QUICK, 980 * MS, 3, start, start + 10 * SECOND)
    simulation.run_until(start + 12 * SECOND)
    back = simulation.now
    simulation.ask_regularly(QUICK, QUICK_WORK, 5, back, back + 20 * SECOND, time_left)
    simulation.run_until(back + 22 * SECOND)
    returned = back + QUICK_CLASS.deadline + RETURN_US
    assert simulation.served_share(QUICK, returned, back + 20 * SECOND) == 1


def test_request_that_can_not_be_answered_in_time_is_refused_at_once() -> None:
    """What the refusal is for goes on, as long as there are answers that say so."""
    harness = GatewayHarness(backends=2, may_count=False, late_earns=True)
    for number in range(30):
        request_id, actions = harness.request(customer=f"c{number}", plan=1)
        [attempt] = of(actions, Attempt)
        harness.tick(900 * MS)
        harness.end(request_id, attempt.backend, latency=900 * MS)
    harness.tick(1_800 * MS)  # the next answer could be due now
    request_id, actions = harness.request(customer="a", plan=1, patience=800 * MS)
    assert [action.id for action in of(actions, Refuse)] == [request_id] and not of(actions, Attempt)
    assert of(harness.request(customer="a", plan=1, patience=950 * MS)[1], Attempt)


@pytest.mark.parametrize("effect", [Effect.SAFE, Effect.UNSAFE])
def test_backend_that_works_on_a_slow_request_is_not_stalled(effect: Effect) -> None:
    """Guards against ejections, and against attempts called off, once the quick route falls silent."""
    simulation = simulation_of(slow=replace(SLOW_CLASS, effect=effect), backends=2)
    start = simulation.now
    simulation.ask_regularly(SLOW, SLOW_WORK, 0.5, start, start + 40 * SECOND)
    simulation.ask_regularly(QUICK, QUICK_WORK, 20, start, start + 20 * SECOND)
    while simulation.now < start + 40 * SECOND:
        simulation.run_until(simulation.now + 100 * MS)
        for backend in simulation.gateway.context.backends.values():
            settled = simulation.now > start + 5 * SECOND
            assert not (settled and simulation.gateway.health.stalled(backend))


def test_answers_that_take_no_time_are_no_fault() -> None:
    """Guards against a division by zero for each further answer of such a class."""
    harness = GatewayHarness(backends=2, classes=(SLOW_CLASS, QUICK_CLASS), may_count=False, late_earns=True)
    for route, latency in ((SLOW, 900 * MS), (QUICK, 0), (QUICK, 0)):
        request_id, actions = harness.request(customer="a", plan=1, cls=route)
        [attempt] = of(actions, Attempt)
        harness.end(request_id, attempt.backend, latency=latency)
    known = harness.gateway.health.by_class[QUICK_CLASS]
    assert known.answered_at and harness.gateway.health.class_latency(known) == 0


def test_latencies_of_removed_classes_are_forgotten() -> None:
    harness = GatewayHarness(backends=2, classes=(SLOW_CLASS, QUICK_CLASS), may_count=False, late_earns=True)
    for route in (SLOW, QUICK):
        request_id, actions = harness.request(customer="a", plan=1, cls=route)
        [attempt] = of(actions, Attempt)
        harness.end(request_id, attempt.backend)
    assert set(harness.gateway.health.by_class) == {SLOW_CLASS, QUICK_CLASS}
    known = harness.gateway.health.by_class[QUICK_CLASS]
    harness.gateway.update_settings(replace(SETTINGS, classes=(QUICK_CLASS,)))
    assert harness.gateway.health.by_class == {QUICK_CLASS: known} and known.answered_at


def test_what_is_known_of_a_class_fades_only_while_an_answer_is_overdue() -> None:
    start = 100 * SECOND
    known = ClassLatency(1_000.0 * MS, 1_000.0 * MS, start)
    assert [known.known_share(start + second * SECOND) for second in (1, 2, 3, 5)] == [1, 1, 0.5, 0.125]
    known.add(2_000.0 * MS, start + 2_000 * MS)
    assert known.mean == known.recent == pytest.approx((1_000 + EWMA_WEIGHT * 1_000) * MS)
    known.add(100.0 * MS, start + 60_000 * MS)
    assert known.recent == pytest.approx(100 * MS, rel=1e-6) and known.mean == pytest.approx(1_000 * MS)


@pytest.mark.parametrize("tries", [2, 3])
@pytest.mark.parametrize("aim, deadline", [(2_000, 2_000), (2_000, 3_000), (1_500, 3_000)])
@pytest.mark.parametrize("quick_rate", [0, 20])
def test_route_whose_backends_became_slower_is_served(tries: int, aim: int, deadline: int, quick_rate: int) -> None:
    """Guards against a latency that is too low: 0 of 30, as each attempt was given up before it could be answered, and
    only answers moved the latency by which it was given up."""
    slow = replace(CLASS, aim=aim * MS, deadline=deadline * MS, tries=tries)
    simulation = simulation_of(slow, slots=4)
    start, changes, end = simulation.now, simulation.now + 10 * SECOND, simulation.now + 90 * SECOND
    simulation.ask_regularly(SLOW, SLOW_WORK // 8, 0.5, start, changes)
    simulation.ask_regularly(QUICK, QUICK_WORK, quick_rate, start, end)
    simulation.ask_regularly(SLOW, SLOW_WORK, 0.5, changes, end)
    simulation.run_until(end + 4 * SECOND)
    assert simulation.served_share(SLOW, changes + 20 * SECOND, end) == 1


@pytest.mark.parametrize("seed", range(30))
def test_drawn_route_whose_work_grows_is_served_once_ten_were_sent(seed: int) -> None:
    """Drawn work, deadline, aim, rate and tries of a route that is added to a service, or whose work grows, beside a
    quick route or alone; guards against the same as a class."""
    rng = Random(seed)
    work = rng.randint(300, 2_500) * MS
    deadline = int(work * rng.uniform(1.3, 4))
    route = replace(CLASS, deadline=deadline, aim=int(deadline * rng.uniform(0.4, 1)), tries=rng.choice((2, 3, 4)))
    backends, slots = rng.randint(2, 4), rng.choice((2, 4, 8))
    most = 0.3 * backends * slots * SECOND  # of what backends can do in a second, for each route
    rate = min(rng.uniform(0.1, 1) * most / work, rng.choice((0.3, 1, 5)))
    simulation = simulation_of(route, QUICK_CLASS, backends, slots, seed)
    start, changes = simulation.now, simulation.now + 15 * SECOND
    settled = changes + max(int(10 * SECOND / rate), 10 * SECOND)
    end = settled + 60 * SECOND
    if rng.random() < 0.6:
        simulation.ask_regularly(SLOW, work // rng.choice((4, 8, 16, 32)), rate, start, changes)
    simulation.ask_regularly(QUICK, QUICK_WORK, min(rng.choice((0, 1, 5, 20)), most / QUICK_WORK), start, end)
    simulation.ask_regularly(SLOW, work, rate, changes, end)
    simulation.run_until(end + 10 * SECOND)
    assert simulation.served_share(SLOW, settled, end) == 1


def test_dead_backend_is_found_as_soon_as_ever_once_others_answer() -> None:
    """Waits in vain at one backend must not make the route patient for good: an answer ends that."""
    simulation = simulation_of(backends=3)
    start = simulation.now
    simulation.ask_regularly(QUICK, QUICK_WORK, 5, start, start + 30 * SECOND)
    simulation.at(start + 10 * SECOND, lambda: setattr(simulation.backends[1], "dead", True))
    simulation.run_until(start + 32 * SECOND)
    sent_to_dead = [
        run for x in simulation.requests.values() for run in x.runs if run.backend == 1 and run.cancelled_at >= 0
    ]
    assert sent_to_dead and all(run.cancelled_at - run.sent_at <= QUICK_CLASS.aim // 2 for run in sent_to_dead)
    assert simulation.served_share(QUICK, start + 10 * SECOND, start + 30 * SECOND) == 1


def test_expected_latency_follows_waits_in_vain_until_an_answer() -> None:
    harness = GatewayHarness(backends=2, classes=(SLOW_CLASS, QUICK_CLASS), may_count=False, late_earns=True)
    health, context = harness.gateway.health, harness.gateway.context
    request_id, _ = harness.request(customer="a", plan=1, cls=SLOW)
    pending = context.pending[request_id]
    for waited, expected in ((400, 200), (900, 450), (300, 450)):
        health.record_wait(waited * MS, pending.latency)
        assert health.patience(pending) == expected * MS and health.usual_latency(pending) == 0
    health.record_answer(100 * MS, pending.latency)
    assert health.patience(pending) == health.usual_latency(pending) == 100 * MS
    health.record_wait(99 * MS, pending.latency)
    assert pending.latency.waited_in_vain == 0  # a client that left early
    health.record_wait(900 * MS, pending.latency)
    assert health.patience(pending) == 100 * MS  # no answer is overdue: one backend may be at fault
    context.now += 2 * SECOND
    assert health.patience(pending) == 450 * MS
    health.record_answer(300 * MS, pending.latency)  # it is answered sooner than others waited
    assert pending.latency.mean == pytest.approx(120 * MS)
    health.record_wait(200 * MS, pending.latency)
    health.record_answer(300 * MS, pending.latency)
    assert pending.latency.mean == pytest.approx(138 * MS)
    context.now += 2 * SECOND
    health.record_wait(200 * MS, pending.latency)
    health.record_answer(338 * MS, pending.latency)  # nobody was answered in the time given, for long
    assert pending.latency.mean == pytest.approx(238 * MS)
    health.record_wait(900 * MS, pending.latency)
    health.keep_classes((QUICK_CLASS,))
    health.keep_classes((SLOW_CLASS,))
    assert health.by_class[SLOW_CLASS] == ClassLatency()


@pytest.mark.parametrize("seed", range(30))
def test_drawn_pairs_of_routes_are_served_again(seed: int) -> None:
    """Drawn work, deadlines, aims and rates of two routes; one falls silent, or all backends are slow for a time."""
    rng = Random(seed)
    slow_work, quick_work = rng.randint(400, 2_500) * MS, rng.randint(20, 200) * MS
    slow_deadline = int(slow_work * rng.uniform(1.5, 4))
    quick_deadline = max(int(quick_work * rng.uniform(4, 12)), 300 * MS)
    slow = replace(
        CLASS, deadline=slow_deadline, aim=int(slow_deadline * rng.uniform(0.4, 1)), tries=rng.choice((2, 4))
    )
    quick = replace(CLASS, deadline=quick_deadline, aim=int(quick_deadline * rng.uniform(0.4, 1)), tries=2)
    backends, slots = rng.randint(2, 4), rng.choice((2, 4, 8))
    simulation = simulation_of(slow, quick, backends, slots, seed)
    most = 0.3 * backends * slots * SECOND  # of what backends can do in a second, for each route: some are always idle
    slow_rate, quick_rate = rng.uniform(0.2, 1) * most / slow_work, min(rng.choice((1, 5, 20)), most / quick_work)
    silent, slowed = rng.choice((SLOW, QUICK, None)), rng.choice((1, 1, 3, 8))  # slowed: how many times longer
    start = simulation.now
    changes, back, end = start + 10 * SECOND, start + 20 * SECOND, start + 45 * SECOND
    for route, work, rate in ((SLOW, slow_work, slow_rate), (QUICK, quick_work, quick_rate)):
        simulation.ask_regularly(route, work, rate, start, changes)
        if silent != route:
            simulation.ask_regularly(route, work * slowed, rate, changes, back)
        simulation.ask_regularly(route, work, rate, back, end)
    simulation.run_until(end + 5 * SECOND)
    returned = back + max(slow_deadline, quick_deadline) + RETURN_US
    assert [simulation.served_share(route, returned, end) for route in (SLOW, QUICK)] == [1, 1]
