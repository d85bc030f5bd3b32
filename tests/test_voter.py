"""Voters on duties that can't know their earlier votes: one that lost its disk, one that a view has just let in."""

from __future__ import annotations

from typing import Any, cast

import cbor2
import pytest

from oakvale.controlplane.voter import VoterService
from oakvale.election.voting import VOTE_DURATION_US
from tests.ratelimit_simulation import Fleet
from tests.simulated_processes import MS, SECOND


def holder_with_a_bare_majority() -> Fleet:
    """Who holds duties is cut off from the other gateways and from one voter, the others from another voter: one voter
    alone is reached by both sides, and loses its disk."""
    fleet = Fleet(3, 5)
    fleet.run(4 * SECOND)
    only_holder, both, only_others = fleet.core
    holder = fleet.holder()
    others = [gateway for gateway in fleet.gates if gateway is not holder]
    for gateway in others:  # they would hold the other duties
        gateway.kill()
    fleet.run(4 * SECOND)
    for gateway in others:
        gateway.start()
    fleet.run(2 * SECOND)
    assert holder.rate_limiter is not None and len(holder.rate_limiter.held_duties()) == 4
    fleet.cut([holder], [*others, only_others], 60 * SECOND, True)
    fleet.cut(others, [only_holder], 60 * SECOND, True)
    fleet.run(VOTE_DURATION_US + 300 * MS)
    assert len(holder.rate_limiter.held_duties()) == 4
    both.wipe()
    fleet.run(50 * MS)
    both.start()
    return fleet


def test_a_voter_that_lost_its_disk_gives_no_second_vote_while_the_first_binds() -> None:
    fleet = holder_with_a_bare_majority()
    fleet.run(5 * SECOND)  # the fleet looks all the while whether a duty is counted twice
    held = [duty for gateway in fleet.gates if gateway.rate_limiter for duty in gateway.rate_limiter.held_duties()]
    assert len(held) == 4, "counted again once the lost votes bind no longer"


def test_without_its_silence_two_hold_a_duty(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(VoterService, "_may_speak", lambda self: True)
    fleet = holder_with_a_bare_majority()
    with pytest.raises(AssertionError, match="counted twice"):
        fleet.run(5 * SECOND)


class Process:
    """Loop, links and disk of one voter; time goes where the test says."""

    def __init__(self, stored: dict[str, Any] | None) -> None:
        self.now, self.handlers = 0, dict[str, Any]()
        self.clock = lambda: self.now
        self.due: list[tuple[int, Any]] = []
        self.stored = None if stored is None else cbor2.dumps(stored)

    def fact(self, name: str) -> bytes | None:
        return self.stored

    def write(self, what: Any, then: Any) -> None:
        self.stored = what[1][1]
        then()

    def at(self, due: int, call: Any) -> None:
        self.due.append((due, call))

    def ask(self, *_: Any) -> None:
        pass

    def answers(self, kind: str, body: list[Any]) -> list[Any]:
        said: list[Any] = []
        self.handlers[kind](None, body, said.append)
        return said

    def votes(self, life: str) -> bool:
        said = self.answers("ballot", ["d", "elect", [1, life], "1.1.1.1:1"])
        return bool(said) and bool(said[0][2])

    def run(self, until: int) -> None:
        self.now = until
        due, self.due = [entry for entry in self.due if entry[0] <= until], [e for e in self.due if e[0] > until]
        for _, call in due:
            call(None)


def voter(process: Process, **more: Any) -> None:
    VoterService(cast(Any, process), cast(Any, process), cast(Any, process), **more)


def test_an_empty_disk_says_nothing_for_a_span_also_not_that_a_duty_is_vacant() -> None:
    process = Process(None)
    voter(process, first_start=False)
    process.run(VOTE_DURATION_US - 1)
    assert not process.votes("a") and not process.answers("who", ["d", "2.2.2.2:2", "a"])
    process.run(VOTE_DURATION_US)
    assert process.votes("a") and process.answers("who", ["d", "2.2.2.2:2", "a"])


def test_a_start_within_the_span_begins_it_anew() -> None:
    process = Process(None)
    voter(process, first_start=False)
    process.run(VOTE_DURATION_US - 1)
    voter(process, first_start=False)  # killed: nothing was written, so nothing vouches for it yet
    process.due = process.due[-1:]
    process.run(VOTE_DURATION_US)
    assert not process.votes("a")
    process.run(2 * VOTE_DURATION_US)
    assert process.votes("a")


@pytest.mark.parametrize("stored, first_start", [(None, True), ({}, False), ({"d": ["a", "1.1.1.1:1"]}, False)])
def test_who_knows_its_votes_speaks_at_once(stored: dict[str, Any] | None, first_start: bool) -> None:
    process = Process(stored)
    voter(process, first_start=first_start)
    assert process.votes("a")


def test_a_machine_that_a_view_lets_in_waits_for_a_span_and_one_that_is_let_go_is_silent() -> None:
    process, witness = Process({}), [False]
    voter(process, first_start=False, is_voter=lambda: witness[0])
    process.run(10 * VOTE_DURATION_US)
    assert not process.votes("a"), "no witness, no vote"
    witness[0] = True
    assert not process.votes("a"), "whose place it takes may have voted just before"
    process.run(11 * VOTE_DURATION_US - 1)
    assert not process.votes("a")
    process.run(11 * VOTE_DURATION_US)
    assert process.votes("a")
    witness[0] = False
    assert not process.votes("a")
