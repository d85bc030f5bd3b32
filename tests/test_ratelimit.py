"""Quota counters and lease elections in simulated time: each sliding window holds, and a duty has one holder."""

from __future__ import annotations

import random
from bisect import bisect_right
from typing import Any

import pytest

from oakvale.election.voting import (
    LEASE_SAFETY_MARGIN_US,
    RANK_DELAY_US,
    ROUND_TIMEOUT_US,
    VOTE_DURATION_US,
    Candidate,
    Voter,
    VoteRequest,
    VoteResponse,
)
from oakvale.ratelimit.quotas import (
    LOCAL_SLACK_SHARE,
    START_SLACK_SHARE,
    LocalAllowance,
    Quota,
    QuotaCounter,
    QuotaTerms,
    UsageReadings,
)

MS, SECOND = 1_000, 1_000_000
TERMS = QuotaTerms(5 * SECOND, 0.1, 20)
QUOTA = Quota(63, 63)


def approx(*values: float) -> Any:
    return pytest.approx(values)


def judge(passed: list[int], most: float) -> None:
    """Checks the window that begins at each request."""
    for first, at in enumerate(passed):
        assert bisect_right(passed, at + TERMS.window_us - 1) - first <= most


# ---- counters


def test_a_tenant_gets_its_whole_quota() -> None:
    """A tenant that sends its rate after a full burst is never refused."""
    counter, now = QuotaCounter(TERMS, 0), 100 * SECOND
    assert all(counter.count_request("t", QUOTA, False, now).passes for _ in range(63))
    for _ in range(1_000):
        now += SECOND // 63
        assert counter.count_request("t", QUOTA, False, now).passes
    refused = [counter.count_request("t", QUOTA, False, now) for _ in range(40)][-1]
    assert not refused.passes and 0 < refused.wait_us <= SECOND
    assert counter.count_request("t", QUOTA, False, now + refused.wait_us).passes


@pytest.mark.parametrize("rate", [20, 63])
def test_every_window_of_a_counter_holds(rate: int) -> None:
    rng, quota, now, passed = random.Random(rate), Quota(rate, rate), 100 * SECOND, list[int]()
    counter = QuotaCounter(TERMS, 0)
    while now < 130 * SECOND:
        now += rng.choice([1, 5, 900]) * MS if rng.random() < 0.9 else 4 * SECOND
        for _ in range(rng.choice([1, 4, 90])):
            if counter.count_request("t", quota, rng.random() < 0.3, now).passes:
                passed.append(now)
    assert len(passed) > 5 * rate
    judge(passed, rate * 6 + 0.5 * TERMS.spare(quota))


def test_each_refused_request_gets_its_own_retry_time() -> None:
    """Refused requests with the same retry time would return together and be refused again."""
    counter, now = QuotaCounter(TERMS, 0), 100 * SECOND
    waits = [v.wait_us for v in (counter.count_request("t", QUOTA, False, now) for _ in range(110)) if not v.passes]
    assert 30 < len(waits) < 60 and waits == sorted(waits) and waits[-1] < SECOND
    assert all(counter.count_request("t", QUOTA, True, now + wait).passes for wait in waits)
    assert max(counter.count_request("t", QUOTA, False, now + SECOND).wait_us for _ in range(400)) == SECOND


def test_unknown_usage_counts_as_used_and_leaks() -> None:
    counter = QuotaCounter(TERMS, 10 * SECOND)
    most = sum(counter.count_request("t", QUOTA, False, 10 * SECOND).passes for _ in range(100))
    assert most <= (0.15 + START_SLACK_SHARE) * TERMS.spare(QUOTA)
    assert sum(counter.count_request("u", QUOTA, False, 11 * SECOND).passes for _ in range(100)) >= 63


def test_unknown_usage_before_all_gateways_started_has_leaked() -> None:
    counter = QuotaCounter(TERMS, 10 * SECOND)
    counter.bound_unknown_usage(9 * SECOND)
    assert sum(counter.count_request("t", QUOTA, False, 10 * SECOND).passes for _ in range(100)) >= 63


def test_a_counter_reserves_the_share_of_unreachable_gateways() -> None:
    """With half of the gateways unreachable, half the rate and half the burst are left here."""
    counter, now = QuotaCounter(TERMS, 0), 10 * SECOND
    counter.set_reachable_share(0.5, now)
    assert sum(counter.count_request("t", QUOTA, False, now).passes for _ in range(100)) <= 32 + 0.15 * TERMS.spare(
        QUOTA
    )
    passed = sum(counter.count_request("t", QUOTA, False, now + n * 5 * MS).passes for n in range(1, 1_001))
    assert 150 <= passed <= 160


def test_usage_of_unreachable_gateways_leaks_after_their_return() -> None:
    counter, now = QuotaCounter(TERMS, 0), 10 * SECOND
    counter.set_reachable_share(0.5, now)
    counter.set_reachable_share(1.0, now + SECOND)
    assert counter.level("t", QUOTA, now + SECOND) == pytest.approx(31.5)
    assert counter.level("t", QUOTA, now + SECOND + 100 * MS) == pytest.approx(25.2)
    assert counter.level("t", QUOTA, now + 2 * SECOND) == 0


def test_usage_leaks_by_the_share_that_was_present() -> None:
    """The present share must not apply to past time, or a tenant with few requests would leak too much."""
    counter = QuotaCounter(TERMS, 0)
    counter.merge_reading("t", 60.0, 0.0, 10 * SECOND)
    counter.set_reachable_share(0.1, 10 * SECOND)
    counter.set_reachable_share(1.0, 10 * SECOND + 500 * MS)
    assert counter.level("t", QUOTA, 10 * SECOND + 500 * MS) == pytest.approx(60 - 3.15)


def test_a_retry_leaves_room_for_first_tries() -> None:
    counter = QuotaCounter(TERMS, 0)
    while counter.count_request("t", QUOTA, True, 10 * SECOND).passes:
        pass
    assert [counter.count_request("t", QUOTA, False, 10 * SECOND).passes for _ in range(3)] == [True, True, False]


def test_no_rate_is_no_quota() -> None:
    assert QuotaCounter(TERMS, 0).count_request("t", Quota(), False, 0).passes
    assert LocalAllowance(TERMS, lambda: 1.0, 0).allows("t", Quota(), 0, 0, 0)


def test_the_highest_of_several_readings_counts() -> None:
    counter = QuotaCounter(TERMS, 0)
    for level in (5.0, 40.0, 9.0):
        counter.merge_reading("t", level, 0.0, SECOND)
    assert counter.level("t", QUOTA, SECOND) == 40.0
    assert counter.level("t", QUOTA, SECOND + 100 * MS) == pytest.approx(33.7)


def test_what_passed_uncounted_adds_up() -> None:
    """Each gateway knows only the requests it passed itself, so the highest number is too low."""
    counter = QuotaCounter(TERMS, 0)
    for uncounted in (5.0, 4.0, 9.0):
        counter.merge_reading("t", 20.0, uncounted, 2 * SECOND)
    assert counter.level("t", QUOTA, 2 * SECOND) == 38.0
    counter.merge_reading("t", 20.0, 500.0, 2 * SECOND)
    assert counter.level("t", QUOTA, 2 * SECOND) <= 63 + 0.15 * TERMS.spare(QUOTA)


def test_low_readings_do_not_bound_the_usage_of_a_gateway_that_did_not_answer() -> None:
    """The gateway that failed may have had the latest reading."""
    counter = QuotaCounter(TERMS, 10 * SECOND)
    counter.merge_reading("t", 2.0, 0.0, 10 * SECOND)
    assert counter.level("t", QUOTA, 10 * SECOND) == 63 - START_SLACK_SHARE * TERMS.spare(QUOTA)
    counter.bound_unknown_usage(8 * SECOND)
    assert counter.level("t", QUOTA, 10 * SECOND) == 2


def test_readings_age() -> None:
    read = UsageReadings()
    read.record("t", 40.0, 0)
    assert read.aged([("t", QUOTA), ("u", QUOTA)], 3, 100 * MS) == {"t": approx(33.7, 0)}
    for _ in range(5):
        read.record_uncounted("t", 100 * MS)
    read.record_uncounted("u", 100 * MS)
    assert read.aged([("t", QUOTA)], 3, 100 * MS)["t"] == approx(33.7, 5)
    assert read.aged([("t", QUOTA)], 3, 200 * MS)["t"] == approx(27.4, 2.9)
    assert read.aged([("u", QUOTA)], 1, SECOND) == {"u": (0.0, 0.0)}
    read.record("t", 40.0, SECOND)
    assert read.aged([("t", QUOTA)], 3, SECOND)["t"] == (40.0, 0.0)


# ---- local allowance


def test_local_allowances_sum_to_half_the_tolerated_excess() -> None:
    """For any number of gateways, although allowances below one request pass at random."""
    for gateways in (2, 9, 60):
        rng = random.Random(gateways)
        fleet = [LocalAllowance(TERMS, rng.random, 0) for _ in range(gateways)]
        passed = [
            now
            for now in range(0, 60 * SECOND, 10 * MS)
            if fleet[rng.randrange(gateways)].allows("t", QUOTA, gateways, 0, now)
        ]
        assert 0.4 * LOCAL_SLACK_SHARE * TERMS.spare(QUOTA) * 12 < len(passed)
        judge(passed, 1.4 * LOCAL_SLACK_SHARE * TERMS.spare(QUOTA))


def test_a_gateway_that_just_started_passes_nothing_locally() -> None:
    allowance = LocalAllowance(TERMS, lambda: 0.5, SECOND)
    assert not allowance.allows("t", QUOTA, 1, 0, SECOND)
    assert not LocalAllowance(TERMS, lambda: 0.0, 0).allows("t", QUOTA, 0, 0, 10 * SECOND)


def test_a_gateway_without_a_counter_passes_its_share_of_the_quota() -> None:
    allowance = LocalAllowance(TERMS, random.Random(1).random, 0)
    passed = [now for now in range(0, 20 * SECOND, 10 * MS) if allowance.allows("t", QUOTA, 5, now, now)]
    assert 20 * 63 / 5 <= len(passed) <= 20 * 63 / 5 + 20
    judge(passed, 6 * 63 / 5 + 10)


def test_a_share_of_the_quota_accrues_only_while_absent() -> None:
    """The share must not accrue before the absence, as the counter may have passed it as well."""
    allowance = LocalAllowance(TERMS, lambda: 0.9, 0)
    passed = sum(allowance.allows("t", QUOTA, 3, 100 * MS, 20 * SECOND) for _ in range(100))
    assert passed <= 0.2 * TERMS.spare(QUOTA) / 3 + 3
    assert sum(allowance.allows("t", QUOTA, 3, 2 * SECOND, 22 * SECOND) for _ in range(100)) >= 21
    allowance.allows("u", QUOTA, 3, 2 * SECOND, 22 * SECOND)
    assert sum(allowance.allows("u", QUOTA, 3, 0, 23 * SECOND) for _ in range(100)) <= 5


# ---- elections


class VoterService:
    """Voters and candidates for one duty in simulated time. Messages are delayed, reordered or lost, and a restarted
    voter knows only whom it voted for."""

    def __init__(self, seed: int, size: int = 5) -> None:
        self.rng = random.Random(seed)
        self.now = 1_000 * SECOND
        self.size, self.incarnations = size, 0
        self.voters = [Voter({}, self.now) for _ in range(size)]
        self.names = [""] * size
        self.candidates = [Candidate("") for _ in range(size)]
        self.frozen: dict[int, int] = {}
        self.cut: set[int] = set()
        self.mail: list[
            tuple[int, int, int, str, VoteRequest | VoteResponse]
        ] = []  # due, from, to, incarnation of the candidate
        self.vacant = 0  # microseconds since the duty was held
        for at in range(size):
            self.start(at)

    def start(self, at: int) -> None:
        """Starts another incarnation. In half of the cases the voters learn that the former one has ended."""
        known = self.rng.random() < 0.5
        if known:
            for voter in self.voters:
                voter.release_votes(self.names[at], self.now)
        self.incarnations += 1
        self.names[at] = f"incarnation{self.incarnations}"
        self.candidates[at] = Candidate(self.names[at])

    def restart_voter(self, at: int) -> None:
        self.voters[at] = Voter(self.voters[at].recorded_holders(), self.now)

    def send(self, source: int, target: int, name: str, what: VoteRequest | VoteResponse) -> None:
        wait = self.rng.choice([0, 1, 5, 40]) * MS if self.rng.random() < 0.95 else self.rng.randrange(SECOND)
        if not {source, target} & self.cut and self.rng.random() < 0.98:
            self.mail.append((self.now + wait, source, target, name, what))

    def ask(self, at: int, ask: VoteRequest | None) -> None:
        for voter in range(self.size) if ask is not None else ():
            assert ask is not None
            self.send(at, voter, self.names[at], ask)

    def step(self) -> None:
        self.now += 10 * MS
        due = [m for m in self.mail if m[0] <= self.now and self.frozen.get(m[2], 0) <= self.now]
        self.mail = [m for m in self.mail if m not in due]
        for _, source, target, name, what in due:
            if isinstance(what, VoteRequest):
                self.send(target, source, name, self.voters[target].vote(what, f"at {name}", self.now))
            elif name == self.names[target]:
                self.ask(target, self.candidates[target].on_response(what, str(source), self.size, self.now))
        for at in range(self.size):
            if self.frozen.get(at, 0) <= self.now and self.now // (10 * MS) % 6 == at:
                self.ask(at, self.candidates[at].next_request("d", 0, at, self.now))
        holders = [at for at in range(self.size) if self.candidates[at].holds("d", self.now)]
        assert len(holders) <= 1, f"{holders} hold the duty at the same time"
        self.vacant = 0 if holders else self.vacant + 10 * MS


@pytest.mark.parametrize("seed", range(12))
def test_a_duty_has_one_holder_at_a_time(seed: int) -> None:
    voter_service = VoterService(seed, 3 if seed % 2 else 5)
    held = 0
    for _ in range(3_000):
        voter_service.step()
        at = voter_service.rng.randrange(voter_service.size)
        if voter_service.rng.random() < 0.01:
            voter_service.start(at)
        if voter_service.rng.random() < 0.01:
            voter_service.restart_voter(at)
        if voter_service.rng.random() < 0.005:
            voter_service.frozen[at] = voter_service.now + voter_service.rng.randrange(3_000) * MS
        if voter_service.rng.random() < 0.005:
            voter_service.cut = voter_service.cut ^ {at} if len(voter_service.cut) < voter_service.size // 2 else set()
        held += not voter_service.vacant
    assert held > 300


@pytest.mark.parametrize("seed", range(6))
def test_a_vacant_duty_is_filled(seed: int) -> None:
    """After the votes for its holder have expired, with two of five machines restarted and messages lost."""
    voter_service = VoterService(seed)
    for _ in range(4):
        for at in voter_service.rng.sample(range(5), 2):
            voter_service.start(at)
            voter_service.cut = {at}
        for _ in range(500):
            voter_service.step()
            assert voter_service.vacant < 2 * VOTE_DURATION_US + 3 * ROUND_TIMEOUT_US + 5 * RANK_DELAY_US, (
                "vacant for too long"
            )


def win_duty(candidate: Candidate, now: int) -> None:
    ask = candidate.next_request("d", 0, 0, now)
    for kind in ("prepare", "elect"):
        assert ask is not None and ask.kind == kind
        for voter in "xy":
            ask = candidate.on_response(VoteResponse("d", kind, ask.ballot, True), voter, 3, now) or ask
    assert candidate.holds("d", now)


def test_late_responses_to_a_renewal_do_not_count_for_the_next() -> None:
    """They confirm the earlier votes; counted for the later ones, a holder would outlast its lease."""
    candidate, now = Candidate("a"), 10 * SECOND
    win_duty(candidate, now)
    now += VOTE_DURATION_US // 2
    first = candidate.next_request("d", 0, 0, now)
    now += ROUND_TIMEOUT_US
    second = candidate.next_request("d", 0, 0, now)
    assert first is not None and second is not None
    for voter in "xy":
        candidate.on_response(VoteResponse("d", "elect", first.ballot, True), voter, 3, now)
    assert candidate.held_until["d"] <= now - ROUND_TIMEOUT_US + VOTE_DURATION_US - LEASE_SAFETY_MARGIN_US


def test_a_holder_that_cannot_renew_stops_by_its_own_clock() -> None:
    candidate = Candidate("a")
    win_duty(candidate, 10 * SECOND)
    assert candidate.holds("d", 10 * SECOND + VOTE_DURATION_US - LEASE_SAFETY_MARGIN_US - 1)
    assert not candidate.holds("d", 10 * SECOND + VOTE_DURATION_US - LEASE_SAFETY_MARGIN_US)
    candidate.abandon("d")
    assert not candidate.holds("d", 10 * SECOND)


def test_a_restarted_voter_keeps_to_its_vote_until_it_has_expired() -> None:
    before = Voter({}, 0)
    assert before.vote(VoteRequest("d", "elect", (1, "a")), "here", 0).granted
    assert before.recorded_holders() == {"d": ("a", "here")}
    voter = Voter(before.recorded_holders(), SECOND)
    refused = voter.vote(VoteRequest("d", "elect", (2, "b")), "there", SECOND + VOTE_DURATION_US - 1)
    assert not refused.granted and (refused.holder, refused.holder_address, refused.remaining_us) == ("a", "here", 1)
    assert voter.holder("d", SECOND) == ("a", "here")
    assert voter.vote(VoteRequest("d", "elect", (3, "a")), "here", SECOND).granted
    assert voter.vote(VoteRequest("e", "elect", (1, "b")), "there", SECOND).granted


def test_votes_for_an_ended_holder_are_released() -> None:
    voter = Voter({}, 0)
    voter.vote(VoteRequest("d", "elect", (1, "a")), "here", 0)
    voter.release_votes("b", 1)
    assert not voter.vote(VoteRequest("d", "prepare", (2, "b")), "there", 1).granted
    voter.release_votes("a", 2)
    assert voter.holder("d", 2) is None
    assert voter.vote(VoteRequest("d", "prepare", (2, "b")), "there", 2).granted
    assert not voter.vote(VoteRequest("d", "prepare", (1, "c")), "over there", 2).granted  # superseded


def test_candidates_wait_by_rank() -> None:
    first, second, now = Candidate("a"), Candidate("b"), 10 * SECOND
    silent = now - 500 * MS
    assert first.next_request("d", silent, 0, now) is not None
    assert second.next_request("d", silent, 1, now) is None
    assert second.next_request("d", silent, 1, now + RANK_DELAY_US) is not None


def test_a_refused_candidate_retries_above_the_highest_known_round() -> None:
    candidate, now = Candidate("a"), 10 * SECOND
    ask = candidate.next_request("d", 0, 0, now)
    assert ask is not None
    candidate.on_response(VoteResponse("d", "prepare", ask.ballot, False, 7, "b", "there", SECOND), "x", 3, now)
    assert candidate.next_request("d", 0, 0, now + 60 * MS) is None
    again = candidate.next_request("d", 0, 0, now + 150 * MS)
    assert again is not None and again.ballot[0] == 8
