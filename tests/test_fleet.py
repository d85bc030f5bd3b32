"""Simulated gateways and voters with random faults; see tests/ratelimit_simulation.py for the checks."""

from __future__ import annotations

from typing import Any, cast

import cbor2
import pytest

from oakvale.controlplane.voter import VoterService
from oakvale.ratelimit.service import DUTY_COUNT
from tests.ratelimit_simulation import Fleet
from tests.simulated_processes import MS, SECOND

MAX_VACANCY_US = 1_500 * MS  # until a duty is held again after its holder's process has ended
MAX_VACANCY_WITHOUT_PROOF_US = (
    3_200 * MS
)  # without proof that it ended: its votes expire, then the candidates wait by rank
MAX_RECOVERY_US = 300 * MS  # after power returns to the last machine


@pytest.mark.parametrize("seed", range(5))
def test_a_day_of_faults(seed: int) -> None:
    fleet = Fleet(seed, (5, 8, 12)[seed % 3])
    fleet.day(6)
    fleet.judge()
    assert fleet.longest < MAX_VACANCY_WITHOUT_PROOF_US
    assert fleet.refused["calm"] <= 0.005 * fleet.asked["calm"] + 2


def test_nobody_is_refused_in_calm_times() -> None:
    fleet = Fleet(1, 10)
    fleet.run(12 * SECOND)
    fleet.judge()
    assert fleet.asked["calm"] > 500 and fleet.refused["calm"] <= 0.002 * fleet.asked["calm"]
    assert not fleet.longest


def test_a_counter_that_is_killed_is_soon_replaced() -> None:
    fleet = Fleet(2, 8)
    fleet.run(7 * SECOND)
    for span in (300 * MS, 1_200 * MS, 9 * SECOND):
        fleet.down(fleet.holder(), span)
        fleet.run(10 * SECOND)
    fleet.judge()
    assert fleet.longest < MAX_VACANCY_US
    assert fleet.refused["kill"] <= 0.05 * fleet.asked["kill"]
    assert fleet.refused["calm"] <= 0.01 * fleet.asked["calm"]


def test_a_counter_without_power_is_replaced_after_its_votes_expire() -> None:
    fleet = Fleet(3, 8)
    fleet.run(5 * SECOND)
    fleet.down(fleet.holder(), 20 * SECOND, off=True)
    fleet.run(8 * SECOND)
    fleet.judge()
    assert fleet.longest < MAX_VACANCY_WITHOUT_PROOF_US


def test_after_all_power_was_gone_duties_are_soon_counted_again() -> None:
    """A voter's probe of the former holder, pending while that was without power, must not delay the release of its
    vote when the holder's next incarnation asks."""
    fleet = Fleet(3, 10)
    fleet.run(7 * SECOND)
    for machine in fleet.machines.values():
        fleet.down(machine, fleet.rng.randrange(1_200, 1_700) * MS, off=True)
    fleet.run(1_700 * MS)
    began = fleet.now
    while (
        len({duty for gate in fleet.gates if gate.rate_limiter for duty in gate.rate_limiter.held_duties()})
        < DUTY_COUNT
    ):
        fleet.run(10 * MS)
        assert fleet.now - began <= MAX_RECOVERY_US
    fleet.run(2 * SECOND)
    fleet.judge()


def test_gateways_keep_serving_without_any_voter() -> None:
    """Each passes its local share for as long as the outage lasts, and the windows hold."""
    fleet = Fleet(4, 6)
    for tenant in fleet.tenants.values():
        tenant.sticky = False  # otherwise it would get a single gateway's share
    fleet.run(5 * SECOND)
    for voter in fleet.core:
        fleet.down(voter, 60 * SECOND)
    fleet.run(14 * SECOND)
    asked, refused = fleet.asked["trouble"], fleet.refused["trouble"]
    fleet.run(8 * SECOND)
    fleet.judge()
    assert fleet.refused["trouble"] - refused < 0.05 * (fleet.asked["trouble"] - asked)


def test_an_isolated_gateway_does_not_keep_its_share() -> None:
    """Once it is off the list the others use its share, so it must not pass it, too."""
    fleet = Fleet(5, 3)
    fleet.run(4 * SECOND)
    lost = fleet.gates[0]
    fleet.cut([lost], [*fleet.gates, *fleet.core], 60 * SECOND, True)
    fleet.run(30 * SECOND)
    fleet.judge()


class PendingStorage:
    """Storage that never completes a write by itself."""

    def __init__(self) -> None:
        self.writes: list[tuple[Any, Any]] = []

    def fact(self, name: str) -> None:
        return None

    def write(self, what: Any, then: Any) -> None:
        self.writes.append((cbor2.loads(what[1][1]), then))


class IdleWorld:
    """Loop and transport that do nothing by themselves."""

    def __init__(self) -> None:
        self.now, self.handlers = 0, dict[str, Any]()
        self.clock = lambda: self.now

    def ask(self, *_: Any) -> None:
        pass


def test_a_voter_does_not_answer_before_its_vote_is_on_disk() -> None:
    """A second request while the write is pending must not be answered early, or a restarted voter could vote for
    another candidate."""
    world, disk, answers = IdleWorld(), PendingStorage(), list[Any]()
    VoterService(cast(Any, world), cast(Any, world), cast(Any, disk))
    for round_ in (1, 2):
        world.handlers["ballot"](None, ["d", "elect", [round_, "a"], "1.1.1.1:1"], answers.append)
    assert not answers and [kept for kept, _ in disk.writes] == [{"d": ["a", "1.1.1.1:1"]}] * 2
    for _, then in disk.writes:
        then()
    assert len(answers) == 2
    world.handlers["ballot"](None, ["d", "elect", [3, "a"], "1.1.1.1:1"], answers.append)
    assert len(answers) == 3 and len(disk.writes) == 2
