"""Aims that no backend can meet: valid, and without effect on checks, limits and ejections of other requests."""

from __future__ import annotations

from dataclasses import replace

import pytest

from oakvale.interface import Action, Attempt, Cancel, Effect, Ending, RequestClass, Settings, Timer, Wake
from oakvale.latency_statistics import MIN_BASELINE_ANSWERS
from tests.helpers import CLASS, SETTINGS, GatewayHarness, of

MS = 1_000  # microseconds
LATENCY = 60 * MS
ODD_AIMS = (0, 1, 2, 4, 5, 1 * MS, 15 * MS)  # microseconds; at most a quarter of the latency
MAX_CHECKS = 32  # of one attempt: from 2.5 to 4 usual latencies, a quarter of one apart, and some to spare


def harness_with(*classes: RequestClass) -> GatewayHarness:
    return GatewayHarness(backends=2, classes=classes, may_count=False, late_earns=True)


def serve(harness: GatewayHarness, latency: int = LATENCY, cls: int = 0) -> list[Action]:
    """A request that is answered after `latency`; returns all actions."""
    request_id, actions = harness.request(customer=f"c{harness.request_count}", plan=1, cls=cls)
    for attempt in of(actions, Attempt):
        harness.now += latency
        actions += harness.end(request_id, attempt.backend, latency=latency)
    return actions


@pytest.mark.parametrize("answers", [0, 1, MIN_BASELINE_ANSWERS + 5])
@pytest.mark.parametrize("aim", ODD_AIMS)
def test_checks_of_an_attempt_are_few_and_apart_whatever_the_aim(aim: int, answers: int) -> None:
    """Guards against a gateway that does nothing but check a slow attempt: with a delay of 0 it hung for good."""
    harness = harness_with(replace(CLASS, aim=aim))
    for _ in range(answers):
        serve(harness)
    request_id, actions = harness.request(customer="a", plan=1)
    assert of(actions, Attempt)
    for _ in range(MAX_CHECKS):
        wakes = of(actions, Wake)
        if not wakes:
            break
        [wake] = wakes
        assert wake.delay >= 1 * MS
        harness.now += wake.delay
        actions = harness.send(Timer(wake.token))
    assert not of(actions, Wake)


@pytest.mark.parametrize("aim", ODD_AIMS)
def test_class_that_no_backend_can_meet_changes_nothing_for_the_others(aim: int) -> None:
    """Guards against a route that steers others of its service: limits at their least, backends ejected or stalled."""
    calm, odd = harness_with(CLASS), harness_with(CLASS)
    for _ in range(MIN_BASELINE_ANSWERS + 5):
        assert serve(calm) == serve(odd)
    settings = odd.gateway.context.settings
    odd.gateway.update_settings(replace(settings, classes=(*settings.classes, replace(CLASS, aim=aim))))
    for turn in range(60):
        latency = LATENCY * (3 if turn % 10 == 9 else 1)
        assert serve(calm, latency) == serve(odd, latency)
        if turn % 4 == 3:
            calm.tick(250 * MS)
            odd.tick(250 * MS)
    request_id, actions = calm.request(customer="b", plan=1)
    assert odd.request(customer="b", plan=1) == (request_id, actions)
    [attempt] = of(actions, Attempt)
    for harness in (calm, odd):
        harness.now += 5 * MS
    assert calm.end(request_id, attempt.backend, ending=Ending.FULL) == odd.end(
        request_id, attempt.backend, ending=Ending.FULL
    )
    state = [
        [(x.limit.size, x.ejected_until, x.failures) for x in harness.gateway.context.backends.values()]
        for harness in (calm, odd)
    ]
    assert state[0] == state[1] and max(until for _, until, _ in state[0]) > calm.now


@pytest.mark.parametrize("aim", ODD_AIMS)
@pytest.mark.parametrize("effect", [Effect.SAFE, Effect.UNSAFE])
def test_service_whose_only_class_has_such_an_aim_is_served_as_with_a_long_one(aim: int, effect: Effect) -> None:
    """Guards against a division by zero for each answer, and against limits that fall to their least for good."""
    harness = harness_with(replace(CLASS, aim=aim, effect=effect))
    for turn in range(100):
        actions = serve(harness)
        assert len(of(actions, Attempt)) == 1 and not of(actions, Cancel)
        if turn % 4 == 3:
            harness.tick(250 * MS)
    backends = harness.gateway.context.backends.values()
    assert min(backend.limit.size for backend in backends) >= 2
    assert not any(backend.ejected_until > harness.now for backend in backends)


def test_an_aim_that_backends_can_meet_still_limits() -> None:
    """The least aim that can be met stays the one that limits and ejections follow."""
    harness = harness_with(CLASS, replace(CLASS, aim=400 * MS), replace(CLASS, aim=0))
    for _ in range(MIN_BASELINE_ANSWERS + 5):
        serve(harness)
    harness.tick(250 * MS)
    assert harness.gateway.context.min_aim == 400 * MS
    settings: Settings = replace(SETTINGS, classes=(CLASS,))
    harness.gateway.update_settings(settings)
    assert harness.gateway.context.min_aim == CLASS.aim
