"""Duty handover at shutdown and in rolling restarts, and elections over slow links."""

from __future__ import annotations

import pytest

from oakvale.election.voting import (
    LEASE_SAFETY_MARGIN_US,
    MAX_ROUND_TIMEOUT_US,
    RENEWAL_INTERVAL_US,
    ROUND_TIMEOUT_US,
    VOTE_DURATION_US,
    Candidate,
    VoteResponse,
)
from oakvale.ratelimit.counter_state import CounterState
from oakvale.ratelimit.handover import Handover
from oakvale.ratelimit.quotas import SECOND, Quota, QuotaCounter, QuotaTerms
from tests.ratelimit_simulation import Fleet
from tests.simulated_processes import MS

GRACE_US = 4 * SECOND
MAX_HANDOVER_US = 150 * MS  # consent, a round of votes with two writes to disk, the state


def started(seed: int = 2, gateways: int = 8) -> Fleet:
    fleet = Fleet(seed, gateways)
    fleet.run(7 * SECOND)
    fleet.longest = 0
    return fleet


def holders(fleet: Fleet) -> dict[str, str]:
    return {
        duty: gate.name
        for gate in fleet.gates
        if gate.rate_limiter is not None
        for duty in gate.rate_limiter.held_duties()
    }


@pytest.mark.parametrize("seed", range(6))
def test_a_holder_that_shuts_down_hands_over_its_duties(seed: int) -> None:
    fleet = started(seed)
    asked, refused = sum(fleet.asked.values()), sum(fleet.refused.values())
    leaving = fleet.holder()
    leaving.stop(GRACE_US)
    fleet.run(GRACE_US - 1)
    assert leaving.rate_limiter is not None and not leaving.rate_limiter.held_duties()
    assert len(holders(fleet)) == 4 and fleet.longest <= MAX_HANDOVER_US
    assert sum(fleet.refused.values()) - refused <= 0.02 * (sum(fleet.asked.values()) - asked)
    fleet.judge()


@pytest.mark.parametrize("seed", range(3))
def test_gateways_are_restarted_one_after_the_other_and_overlap(seed: int) -> None:
    """Several gateways are shutting down at any time, and none of them must take a duty."""
    fleet = started(seed, 10)
    asked, refused = sum(fleet.asked.values()), sum(fleet.refused.values())
    for gateway in fleet.gates:
        gateway.stop(GRACE_US)
        fleet.at(fleet.now + GRACE_US + 300 * MS, gateway.start)
        fleet.run(SECOND)
    fleet.run(8 * SECOND)
    fleet.judge()
    assert len(holders(fleet)) == 4 and fleet.longest <= MAX_HANDOVER_US
    assert sum(fleet.refused.values()) - refused <= 0.005 * (sum(fleet.asked.values()) - asked)


def test_without_handover_a_shutdown_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Handover, "_on_handed", lambda *_: None)
    with pytest.raises(AssertionError):
        for seed in range(6):
            test_a_holder_that_shuts_down_hands_over_its_duties(seed)


def test_a_gateway_shutting_down_takes_no_duty_when_the_list_changes() -> None:
    """It must not become a candidate again when a gateway joins, as it would hold the duty until it ends."""
    fleet = started()
    leaving = fleet.holder()
    leaving.stop(60 * SECOND)
    fleet.run(SECOND)
    for other in [gate for gate in fleet.gates if gate is not leaving][:4]:
        fleet.down(other, SECOND)
        fleet.run(3 * SECOND)
        assert leaving.rate_limiter is not None and not leaving.rate_limiter.held_duties()


def test_all_gateways_shut_down_at_once() -> None:
    """No gateway consents to take a duty, so all count until they end."""
    fleet = started()
    before = holders(fleet)
    for gateway in fleet.gates:
        gateway.stop(GRACE_US)
    fleet.run(GRACE_US - 1)
    assert holders(fleet) == before
    fleet.run(SECOND)
    for gateway in fleet.gates:
        gateway.start()
    fleet.run(5 * SECOND)
    fleet.judge()
    assert len(holders(fleet)) == 4


def test_the_last_remaining_gateway_takes_all_duties() -> None:
    fleet = started()
    stays = next(gate for gate in fleet.gates if gate is not fleet.holder())
    for gateway in fleet.gates:
        if gateway is not stays:
            gateway.stop(GRACE_US)
    fleet.run(2 * SECOND)
    assert set(holders(fleet).values()) == {stays.name}
    fleet.judge()


@pytest.mark.parametrize("delay", [100, 200, 400])
def test_votes_are_renewed_over_links_on_which_answers_take_long(delay: int) -> None:
    """Late responses must renew the votes, or a holder loses its duty again and again."""
    fleet = started()
    before = holders(fleet)
    for voter in fleet.core:
        voter.slow = delay * MS
    fleet.run(20 * SECOND)
    assert holders(fleet) == before


@pytest.mark.parametrize("delay", [100, 200])
def test_a_vacant_duty_is_won_over_links_on_which_answers_take_long(delay: int) -> None:
    fleet = started()
    for voter in fleet.core:
        voter.slow = delay * MS
    fleet.down(fleet.holder(), 30 * SECOND)
    fleet.run(10 * SECOND)
    assert len(holders(fleet)) == 4


def test_the_timeout_doubles_after_a_failed_round() -> None:
    candidate, now = Candidate("a"), 10 * SECOND
    times = []
    for _ in range(5):
        began = now
        assert candidate.next_request("d", 0, 0, now) is not None
        while candidate.next_request("d", 0, 0, now) is None:
            now += 10 * MS
        times.append(now - began)
        candidate.abandon("d")
        candidate._not_before.clear()
    assert times == [
        ROUND_TIMEOUT_US,
        2 * ROUND_TIMEOUT_US,
        4 * ROUND_TIMEOUT_US,
        MAX_ROUND_TIMEOUT_US,
        MAX_ROUND_TIMEOUT_US,
    ]


def held(now: int) -> Candidate:
    candidate = Candidate("a")
    ask = candidate.start_round("d", now)
    for kind in ("prepare", "elect"):
        assert ask is not None
        for voter in "xy":
            ask = candidate.on_response(VoteResponse("d", kind, ask.ballot, True), voter, 3, now) or ask
    assert candidate.held_until["d"] == now + VOTE_DURATION_US - LEASE_SAFETY_MARGIN_US
    return candidate


def test_late_votes_renew_from_when_they_were_asked_for() -> None:
    now = 10 * SECOND
    candidate = held(now)
    asked = now + RENEWAL_INTERVAL_US
    first, second = (
        candidate.next_request("d", 0, 0, asked),
        candidate.next_request("d", 0, 0, asked + ROUND_TIMEOUT_US),
    )
    assert first is not None and second is not None
    late = now + VOTE_DURATION_US - LEASE_SAFETY_MARGIN_US - 1
    for voter in "xy":
        candidate.on_response(VoteResponse("d", "elect", first.ballot, True), voter, 3, late)
    assert candidate.held_until["d"] == asked + VOTE_DURATION_US - LEASE_SAFETY_MARGIN_US
    candidate.on_response(VoteResponse("d", "elect", second.ballot, True), "x", 3, late)
    assert candidate.held_until["d"] == asked + VOTE_DURATION_US - LEASE_SAFETY_MARGIN_US, (
        "votes for two requests must not be added up"
    )
    candidate.on_response(VoteResponse("d", "elect", second.ballot, True), "y", 3, late)
    assert candidate.held_until["d"] == asked + ROUND_TIMEOUT_US + VOTE_DURATION_US - LEASE_SAFETY_MARGIN_US


def test_votes_for_a_round_that_bind_no_longer_win_nothing() -> None:
    candidate, now = Candidate("a"), 10 * SECOND
    prepare = candidate.start_round("d", now)
    assert prepare is not None
    elect = None
    for voter in "xy":
        elect = candidate.on_response(VoteResponse("d", "prepare", prepare.ballot, True), voter, 3, now) or elect
    assert elect is not None
    for voter in "xy":
        candidate.on_response(
            VoteResponse("d", "elect", elect.ballot, True), voter, 3, now + VOTE_DURATION_US - LEASE_SAFETY_MARGIN_US
        )
    assert not candidate.holds("d", now + VOTE_DURATION_US - LEASE_SAFETY_MARGIN_US)


QUOTA = Quota(20, 20)
TERMS = QuotaTerms(5 * SECOND, 0.1, 20)


@pytest.mark.parametrize("wait", [0, 700 * MS])
def test_the_state_of_a_counter_means_the_same_by_another_clock(wait: int) -> None:
    before = QuotaCounter(TERMS, 0)
    for n in range(300):
        before.count_request("t", QUOTA, False, n * 30 * MS)
    now, elsewhere = 300 * 30 * MS, 77_000_000 * SECOND
    handed = CounterState.decode(before.export_state(lambda _: QUOTA, {"g": 5}, now).encode())
    after = QuotaCounter(TERMS, elsewhere)
    after.import_state(handed, elsewhere)
    assert after.level("t", QUOTA, elsewhere + wait) == pytest.approx(before.level("t", QUOTA, now + wait))
    assert after.level("never seen", QUOTA, elsewhere + wait) <= before.level("never seen", QUOTA, now + wait) + 1e-6


@pytest.mark.parametrize("body", [None, [], [{}, 0, []], [{"t": "x"}, 0, [], {}], [{}, 0, [[1]], {}], [[], 0, [], {}]])
def test_a_malformed_state_is_an_error(body: object) -> None:
    with pytest.raises((TypeError, ValueError, IndexError, AttributeError)):
        CounterState.decode(body)


def test_a_gateway_of_the_previous_version_is_skipped(monkeypatch: pytest.MonkeyPatch) -> None:
    """It does not know the message kind and never answers; the next candidate is asked."""
    fleet = started()
    leaving = fleet.holder()
    assert leaving.rate_limiter is not None and leaving.life is not None
    duty = leaving.rate_limiter.held_duties()[0]
    first = leaving.rate_limiter._successors(duty)[0]
    old = next(gate for gate in fleet.gates if gate.name == first.node)
    assert old.life is not None
    for kind in ("will you take", "handed", "counter state"):
        del old.life.handlers[kind]
    leaving.stop(GRACE_US)
    fleet.run(SECOND)
    assert holders(fleet)[duty] not in (leaving.name, old.name)
