"""Attempts of a gateway that is stopping: what a backend works on runs to its end, and its answer is passed on."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from oakvale.interface import (
    Action,
    Attempt,
    Backends,
    Cancel,
    Effect,
    Ending,
    Entry,
    Fail,
    ListForm,
    Refuse,
    Request,
    RequestClass,
    Stopping,
    Timer,
    Wake,
)
from tests.backend_pool_simulation import BackendPoolSimulation, SimulatedBackend, SimulatedRequest
from tests.data_plane import GatewayHarness as DataPlane
from tests.data_plane import success_answer
from tests.helpers import CLASS, GatewayHarness, of
from tests.node import Node, answer

MS = 1_000  # microseconds
SECOND = 1_000_000
READ = replace(CLASS, aim=2 * SECOND, deadline=12 * SECOND, tries=2)
USUAL = 250 * MS


def harness_with(request_class: RequestClass = READ, answers: int = 30) -> GatewayHarness:
    """A gateway with two backends that has had some usual answers."""
    harness = GatewayHarness(backends=2, classes=(request_class,), may_count=False, late_earns=True)
    for number in range(answers):
        request_id, actions = harness.request(customer=f"c{number}", plan=1, patience=12 * SECOND)
        [attempt] = of(actions, Attempt)
        harness.now += USUAL
        harness.end(request_id, attempt.backend, latency=USUAL)
    return harness


def pass_time(harness: GatewayHarness, actions: list[Action], span: int) -> list[Action]:
    """Lets the checks that `actions` set, and those that follow, come due for `span`; returns what they decide."""
    end, decided, due = harness.now + span, list[Action](), list[tuple[int, int]]()
    while True:
        due += [(harness.now + wake.delay, wake.token) for wake in of(actions, Wake) if wake.token]
        due.sort()
        if not due or due[0][0] > end:
            break
        harness.now, token = due.pop(0)
        actions = harness.send(Timer(token))
        decided += actions
    harness.now = end
    return decided


@pytest.mark.parametrize("stops_first", [True, False])
def test_slow_attempt_is_not_called_off_where_the_other_backend_is_full(stops_first: bool) -> None:
    """Guards against review/5: a read that its backend worked on was cut off after SIGTERM and answered with 503."""
    harness = harness_with()
    if stops_first:
        harness.send(Stopping())
    request_id, actions = harness.request(customer="a", plan=1, patience=12 * SECOND)
    [first] = of(actions, Attempt)
    decided = pass_time(harness, actions, 200 * MS)
    harness.send(Stopping())
    decided += pass_time(harness, actions, 2 * SECOND)
    for second in of(decided, Attempt):
        decided += harness.end(request_id, second.backend, hop=1, ending=Ending.FULL)
    decided += pass_time(harness, decided, SECOND)
    assert not of(decided, Cancel) and not of(decided, Refuse)
    assert not of(harness.end(request_id, first.backend, latency=3_200 * MS), Cancel)


def test_second_attempt_is_made_beside_the_first_and_the_first_answer_ends_the_other() -> None:
    """Guards against two faults: a request that waits for a dead backend until the process ends, and one whose first
    backend is called off for a second run that can't end before the process does."""
    harness = harness_with()
    harness.send(Stopping())
    request_id, actions = harness.request(customer="a", plan=1, patience=12 * SECOND)
    [first] = of(actions, Attempt)
    decided = pass_time(harness, actions, 4 * SECOND)
    [second] = of(decided, Attempt)
    assert second.backend != first.backend and not of(decided, Cancel)
    assert of(harness.end(request_id, second.backend, hop=1), Cancel) == [Cancel(request_id, 0)]


@pytest.mark.parametrize("tries, effect, attempts", [(1, Effect.SAFE, 1), (2, Effect.SAFE, 2), (5, Effect.UNSAFE, 1)])
def test_attempts_beside_each_other_are_bounded(tries: int, effect: Effect, attempts: int) -> None:
    harness = harness_with(replace(READ, tries=tries, effect=effect))
    harness.send(Stopping())
    request_id, actions = harness.request(customer="a", plan=1, patience=12 * SECOND)
    decided = actions + pass_time(harness, actions, 11 * SECOND)
    assert len(of(decided, Attempt)) == attempts
    assert len(harness.gateway.context.pending[request_id].in_flight) == attempts


def test_attempt_beside_another_is_charged_to_the_retry_budget() -> None:
    """Guards against BUDGET: the first attempt has not ended, and yet its request has arrived at a backend."""
    simulation = BackendPoolSimulation((READ,), [SimulatedBackend(2, 2), SimulatedBackend(2, 2)])
    simulation.ask_regularly(0, USUAL, 8, simulation.now, simulation.now + 20 * SECOND)
    simulation.run_until(simulation.now + 21 * SECOND)
    available = simulation.budget._available(simulation.now)
    simulation.send(Stopping())
    request = simulation.ask(0, 4 * SECOND)
    simulation.run_until(simulation.now + 1_500 * MS)
    assert len(request.runs) == 2 and not any(run.cancelled_at >= 0 for run in request.runs)
    assert simulation.budget._available(simulation.now) <= available


def test_keyed_attempt_beside_another_stays_where_its_repetition_is_discarded() -> None:
    keyed = replace(READ, effect=Effect.KEYED, group="zone", memory=60 * SECOND, tries=3)
    harness = harness_with(keyed)
    entries = (Entry(1, zone=0), Entry(2, zone=1), Entry(3, zone=1))
    harness.send(Backends(ListForm.FULL, entries))
    harness.send(Stopping())
    zones = {entry.backend: entry.zone for entry in entries}
    for number in range(20):
        request_id, actions = harness.request(customer=f"k{number}", plan=1, patience=12 * SECOND)
        [first] = of(actions, Attempt)
        decided = pass_time(harness, actions, 3 * SECOND)
        assert {zones[attempt.backend] for attempt in of(decided, Attempt)} <= {zones[first.backend]}
        for hop, attempt in enumerate([first, *of(decided, Attempt)]):
            harness.end(request_id, attempt.backend, hop, latency=USUAL)


# ---- the data plane


def test_stopping_gateway_passes_on_the_answer_of_the_first_backend(gateway: DataPlane) -> None:
    """As review/5, through the driver: the policy has to hear of SIGTERM, whatever service the request is for."""
    client = gateway.send_request(path="/r/x")
    name, backend, _ = gateway.next_backend_request()
    gateway.router.stopping = True
    for _ in range(10):
        gateway.pass_time(100 * MS)
    other, second, _ = gateway.next_backend_request()
    assert other != name
    second.send(answer("503 Full", Attempt_Id="a1", Not_Run="1"))
    gateway.turns(20)
    backend.send(success_answer())
    assert gateway.status(client) == 200


def test_stopping_gateway_does_not_end_attempts_in_a_zone_that_closes(gateway: DataPlane) -> None:
    """The same cause: attempts that wait in a closed zone were ended, with a 502 where nothing else had room."""
    client = gateway.send_request(path="/r/x")
    _, backend, _ = gateway.next_backend_request()
    gateway.turns(5)
    gateway.router.stopping = True
    driver = gateway.router._driver("one")
    driver._backends = {name: replace(x, zone=f"z{name}") for name, x in driver._backends.items()}
    driver.close_zones(frozenset(x.zone for x in list(driver._backends.values())[:1]), gateway.router._backend_numbers)
    driver.close_zones(frozenset(x.zone for x in list(driver._backends.values())[1:]), gateway.router._backend_numbers)
    gateway.turns(5)
    backend.send(success_answer())
    assert gateway.status(client) == 200


@pytest.mark.parametrize("stops_after", [0, 100 * MS])
def test_rest_of_an_answer_is_awaited_where_the_stop_falls_into_the_wait(gateway: DataPlane, stops_after: int) -> None:
    """Guards against LOST: whether to wait was decided when the wait began, so an answer in transit was given up after
    SIGTERM and the request begun again, or answered 503."""
    client = gateway.send_request(path="/r/x")
    _, backend, _ = gateway.next_backend_request()
    whole = success_answer(body=b"0123456789")
    if not stops_after:
        gateway.router.stopping = True
    backend.send(whole[:-5])
    gateway.turns(20)
    gateway.pass_time(stops_after)
    gateway.router.stopping = True
    for _ in range(10):
        gateway.pass_time(100 * MS)
    backend.send(whole[-5:])
    assert gateway.reads(client, b"0123456789").startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("stops_after", [0, 100 * MS])
def test_stand_alone_gateway_waits_for_the_rest_of_an_answer_too(node: Node, stops_after: int) -> None:
    """The same for the other dialect, which gave up the rest whether the process was stopping or not."""
    node.script.answers[Request] = lambda r: [Attempt(r.id, 1)]
    client = node.client()
    node.ask(client, "a1")
    backend = node.accept_from(node.backend)
    node.reads(backend)
    whole = answer(body=b"0123456789")
    if not stops_after:
        node.host.stopping = True
    backend.send(whole[:-5])
    node.turns(20)
    node.pass_time(stops_after)
    node.host.stopping = True
    for _ in range(10):
        node.pass_time(100 * MS)
    backend.send(whole[-5:])
    assert node.reads(client, b"0123456789").startswith(b"HTTP/1.1 200")


# ---- drawn

GRACE = 6 * SECOND
ENDS_AFTER = GRACE - 300 * MS  # of the process, after SIGTERM
EXCUSED_AFTER = GRACE * 5 // 6


def deprived(request: SimulatedRequest, stopped_at: int) -> bool:
    """Whether a client is left without the answer that its first backend would have given early enough."""
    if not request.runs or request.outcome == "served" and request.answered_at <= stopped_at + ENDS_AFTER:
        return False
    first = request.runs[0]
    would_end = first.began_at + request.work
    early_enough = would_end < min(request.deadline, stopped_at + EXCUSED_AFTER) - MS
    was_called_off_before = 0 <= first.cancelled_at < stopped_at
    return first.began_at >= 0 and early_enough and not was_called_off_before


@pytest.mark.parametrize("seed", range(40))
def test_no_client_is_deprived_of_its_first_backends_answer_by_a_stop(seed: int) -> None:
    """Drawn stops beside slow reads, with free, full and dead other backends; guards against review/5 as a class."""
    rng = Random(seed)
    backends = [SimulatedBackend(rng.choice((1, 2, 4)), rng.choice((0, 2, 8))) for _ in range(rng.randint(2, 4))]
    read = replace(READ, aim=rng.choice((400 * MS, 2 * SECOND)), tries=rng.choice((2, 3, 5)))
    simulation = BackendPoolSimulation((read,), backends, seed)
    start, rate = simulation.now, rng.choice((2, 5, 10))
    stopped_at = start + rng.randint(8_000, 12_000) * MS
    simulation.ask_regularly(0, rng.choice((50, 250)) * MS, rate, start, stopped_at + 2_500 * MS)
    for _ in range(rng.randint(1, 4)):
        sent_at = stopped_at + rng.randint(-3_000, 2_500) * MS
        work = rng.randint(500, 4_500) * MS
        simulation.at(sent_at, lambda work=work: simulation.ask(0, work))  # type: ignore[misc]
    if rng.random() < 0.5:
        dead = rng.choice(backends)
        simulation.at(stopped_at + rng.randint(-2_000, 2_000) * MS, lambda: setattr(dead, "dead", True))
    if rng.random() < 0.5:  # other gateways fill the other backends
        for backend in backends[1:]:
            simulation.at(stopped_at - 500 * MS, lambda backend=backend: setattr(backend, "slots", 0))  # type: ignore[misc]
    simulation.at(stopped_at, lambda: simulation.send(Stopping()))
    simulation.run_until(stopped_at + ENDS_AFTER)
    found = [request.id for request in simulation.requests.values() if deprived(request, stopped_at)]
    assert found == []


def test_fail_and_refuse_are_answers_of_the_gateway() -> None:
    """The judge above takes an own answer in place of the backend's for a deprivation."""
    simulation = BackendPoolSimulation((READ,), [SimulatedBackend(1, 0)])
    request = simulation.ask(0, SECOND)
    simulation.run_until(simulation.now + 100 * MS)
    for action in (Fail(request.id), Refuse(request.id)):
        request.outcome = ""
        simulation._carry_out(action)
        assert deprived(request, simulation.now)
