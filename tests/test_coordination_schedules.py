"""The coordination service in drawn schedules of faults: what emulated applications see breaks no rule."""

from __future__ import annotations

import pytest

from oakvale.coordination import service
from tests.coordination_simulation import CoordinationWorld, real_resources, shared_reference
from tests.simulated_processes import SECOND

FAULTS = 8
SHORT_RETAIN_US = 4 * SECOND


@pytest.mark.parametrize("seed", range(16))
def test_a_drawn_schedule_breaks_no_rule(seed: int) -> None:
    violations = CoordinationWorld(seed, real_resources).run_schedule(FAULTS)
    assert not violations, [str(violation) for violation in violations]


@pytest.mark.parametrize("seed", range(100, 108))
def test_a_drawn_schedule_in_which_event_slots_are_reused(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(service, "MIN_RETENTION_US", 0)
    violations = CoordinationWorld(seed, real_resources, retain_us=SHORT_RETAIN_US).run_schedule(FAULTS)
    assert not violations, [str(violation) for violation in violations]


@pytest.mark.parametrize("seed", range(300, 306))
def test_a_drawn_schedule_with_a_state_sent_in_chunks(seed: int) -> None:
    violations = CoordinationWorld(seed, real_resources, large_state=True).run_schedule(FAULTS)
    assert not violations, [str(violation) for violation in violations]


@pytest.mark.parametrize("seed", range(200, 203))
def test_the_checks_accept_the_reference(seed: int) -> None:
    violations = CoordinationWorld(seed, shared_reference()).run_schedule(FAULTS)
    assert not violations, [str(violation) for violation in violations]


def test_one_seed_is_one_schedule() -> None:
    histories = []
    for _ in range(2):
        world = CoordinationWorld(7, real_resources)
        world.run_schedule(3)
        histories.append([str(call) for call in world.crew.history.calls])
    assert histories[0] == histories[1]
