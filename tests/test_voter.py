"""Voters that cannot know whether earlier votes are binding: after the loss of a disk, or just added to a view."""

from __future__ import annotations

from typing import Any, cast

import cbor2
import pytest

from oakvale.controlplane.voter import VoterService
from oakvale.election.voting import VOTE_DURATION_US
from tests.ratelimit_simulation import Fleet
from tests.simulated_processes import MS, SECOND


def fleet_with_one_common_voter() -> Fleet:
    """The holder of the duties is cut off from the other gateways and one voter, the others from another voter.

    The only voter that both sides reach loses its disk.
    """
    fleet = Fleet(3, 5)
    fleet.run(4 * SECOND)
    holder_side_voter, common_voter, other_side_voter = fleet.core
    holder = fleet.holder()
    others = [gateway for gateway in fleet.gates if gateway is not holder]
    for gateway in others:  # so that the holder gets all duties
        gateway.kill()
    fleet.run(4 * SECOND)
    for gateway in others:
        gateway.start()
    fleet.run(2 * SECOND)
    assert holder.rate_limiter is not None and len(holder.rate_limiter.held_duties()) == 4
    fleet.cut([holder], [*others, other_side_voter], 60 * SECOND, True)
    fleet.cut(others, [holder_side_voter], 60 * SECOND, True)
    fleet.run(VOTE_DURATION_US + 300 * MS)
    assert len(holder.rate_limiter.held_duties()) == 4
    common_voter.wipe()
    fleet.run(50 * MS)
    common_voter.start()
    return fleet


def test_a_voter_that_lost_its_disk_gives_no_second_vote_while_the_first_is_binding() -> None:
    fleet = fleet_with_one_common_voter()
    fleet.run(5 * SECOND)  # the fleet checks continuously that no duty has two holders
    held = [duty for gateway in fleet.gates if gateway.rate_limiter for duty in gateway.rate_limiter.held_duties()]
    assert len(held) == 4, "counted again once the lost votes are no longer binding"


def test_a_duty_gets_two_holders_if_that_voter_answers_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(VoterService, "_may_vote", lambda self: True)
    fleet = fleet_with_one_common_voter()
    with pytest.raises(AssertionError, match="counted twice"):
        fleet.run(5 * SECOND)


class VoterProcess:
    """Loop, transport and disk of one voter, with the clock set by the test."""

    def __init__(self, stored: dict[str, Any] | None) -> None:
        self.now, self.handlers = 0, dict[str, Any]()
        self.clock = lambda: self.now
        self.timers: list[tuple[int, Any]] = []
        self.stored = None if stored is None else cbor2.dumps(stored)

    def fact(self, name: str) -> bytes | None:
        return self.stored

    def write(self, what: Any, then: Any) -> None:
        self.stored = what[1][1]
        then()

    def at(self, due: int, call: Any) -> None:
        self.timers.append((due, call))

    def ask(self, *_: Any) -> None:
        pass

    def answers(self, kind: str, body: list[Any]) -> list[Any]:
        answers: list[Any] = []
        self.handlers[kind](None, body, answers.append)
        return answers

    def votes(self, incarnation: str) -> bool:
        answers = self.answers("ballot", ["d", "elect", [1, incarnation], "1.1.1.1:1"])
        return bool(answers) and bool(answers[0][2])

    def run(self, until: int) -> None:
        self.now = until
        due, self.timers = [t for t in self.timers if t[0] <= until], [t for t in self.timers if t[0] > until]
        for _, call in due:
            call(None)


def start_voter(process: VoterProcess, **options: Any) -> None:
    VoterService(cast(Any, process), cast(Any, process), cast(Any, process), **options)


def test_with_an_empty_disk_no_ballot_and_no_question_is_answered_for_a_span() -> None:
    process = VoterProcess(None)
    start_voter(process, first_start=False)
    process.run(VOTE_DURATION_US - 1)
    assert not process.votes("a") and not process.answers("who", ["d", "2.2.2.2:2", "a"])
    process.run(VOTE_DURATION_US)
    assert process.votes("a") and process.answers("who", ["d", "2.2.2.2:2", "a"])


def test_a_restart_within_the_span_starts_it_again() -> None:
    process = VoterProcess(None)
    start_voter(process, first_start=False)
    process.run(VOTE_DURATION_US - 1)
    start_voter(process, first_start=False)  # killed before it stored that its votes are known
    process.timers = process.timers[-1:]
    process.run(VOTE_DURATION_US)
    assert not process.votes("a")
    process.run(2 * VOTE_DURATION_US)
    assert process.votes("a")


@pytest.mark.parametrize("stored, first_start", [(None, True), ({}, False), ({"d": ["a", "1.1.1.1:1"]}, False)])
def test_a_voter_that_knows_its_votes_answers_at_once(stored: dict[str, Any] | None, first_start: bool) -> None:
    process = VoterProcess(stored)
    start_voter(process, first_start=first_start)
    assert process.votes("a")


def test_a_new_voter_of_a_view_waits_for_a_span_and_a_removed_one_does_not_answer() -> None:
    process, is_voter = VoterProcess({}), [False]
    start_voter(process, first_start=False, is_voter=lambda: is_voter[0])
    process.run(10 * VOTE_DURATION_US)
    assert not process.votes("a"), "not a voter"
    is_voter[0] = True
    assert not process.votes("a"), "the voter that it replaces may have voted just before"
    process.run(11 * VOTE_DURATION_US - 1)
    assert not process.votes("a")
    process.run(11 * VOTE_DURATION_US)
    assert process.votes("a")
    is_voter[0] = False
    assert not process.votes("a")
