"""Lease election: how a gateway wins a vacant duty by majority vote, and how it keeps it.

No I/O and no clock. Voters are the machines of the control plane. A vote binds a voter to one holder for
`VOTE_DURATION_US`. The holder keeps its lease while a majority renews its votes, and stops by its own clock before they
expire. A voter persists whom it voted for last, but not when: after a restart it votes for nobody else until
`VOTE_DURATION_US` has passed, so that it cannot break an earlier promise. When a holder is proven to have ended (its
address refuses connections, or another incarnation answers there), its votes are released at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

BallotNumber = tuple[int, str]  # a round, and the incarnation of the candidate that started it

VOTE_DURATION_US = 2_000_000
RENEWAL_INTERVAL_US = 500_000
LEASE_SAFETY_MARGIN_US = 100_000  # a holder stops this long before its votes may expire
ROUND_TIMEOUT_US = 250_000  # for the first round of a candidacy, and between two renewal requests
MAX_ROUND_TIMEOUT_US = VOTE_DURATION_US - LEASE_SAFETY_MARGIN_US  # on slow links the timeout doubles up to this
HOLDER_SILENCE_US = 450_000  # a holder that has not responded for this long may have failed
RANK_DELAY_US = 120_000  # each further candidate waits this much longer, so that candidates rarely compete
REFUSAL_DELAY_US = 120_000  # independent of the holder's remaining time: it may be proven to have ended before


@dataclass(slots=True)
class BindingVote:
    """What one voter has promised and granted for a duty."""

    promised: BallotNumber = (0, "")
    holder: str = ""  # incarnation
    holder_address: str = ""
    expires_at: int = 0


@dataclass(slots=True, frozen=True)
class VoteRequest:
    """A request to be sent to every voter."""

    duty: str
    kind: str  # "prepare" or "elect"
    ballot: BallotNumber

    def encode(self, address: str) -> list[Any]:
        """The message of the candidate at this address."""
        return [self.duty, self.kind, list(self.ballot), address]

    @classmethod
    def decode(cls, body: Any) -> tuple[VoteRequest, str]:
        """The request, and the candidate's address. Raises TypeError, ValueError or IndexError for another message."""
        return cls(str(body[0]), str(body[1]), (int(body[2][0]), str(body[2][1]))), str(body[3])


@dataclass(slots=True, frozen=True)
class VoteResponse:
    """A voter's response; the last four fields describe the competing vote of a refusal."""

    duty: str
    kind: str
    ballot: BallotNumber
    granted: bool
    highest_round: int = 0  # known to the voter
    holder: str = ""
    holder_address: str = ""
    remaining_us: int = 0  # until the holder's vote expires

    def encode(self) -> list[Any]:
        """The message without the duty, which the candidate knows from its request."""
        vote = [self.kind, list(self.ballot), self.granted]
        return [*vote, self.highest_round, self.holder, self.holder_address, self.remaining_us]

    @classmethod
    def decode(cls, duty: str, body: list[Any]) -> VoteResponse:
        """The response to a request for this duty. Raises TypeError, ValueError or IndexError for another message."""
        kind, ballot, granted, highest_round, holder, holder_address, remaining_us = body
        return cls(
            duty,
            str(kind),
            (int(ballot[0]), str(ballot[1])),
            bool(granted),
            int(highest_round),
            str(holder),
            str(holder_address),
            int(remaining_us),
        )


class Voter:
    """The votes of one voter. `recorded`: duty -> incarnation and address of the holder, as read from disk."""

    def __init__(self, recorded: dict[str, tuple[str, str]], now: int) -> None:
        self._started = now
        self._votes = {
            duty: BindingVote(holder=incarnation, holder_address=address, expires_at=now + VOTE_DURATION_US)
            for duty, (incarnation, address) in recorded.items()
        }

    def holder(self, duty: str, now: int) -> tuple[str, str] | None:
        """Incarnation and address of the gateway that this voter's unexpired vote is for."""
        vote = self._votes.get(duty)
        return (vote.holder, vote.holder_address) if vote and vote.expires_at > now else None

    def votes_for(self, incarnation: str, now: int) -> bool:
        return any(vote.holder == incarnation and vote.expires_at > now for vote in self._votes.values())

    def recorded_holders(self) -> dict[str, tuple[str, str]]:
        """What must be on disk before a vote is sent."""
        return {duty: (vote.holder, vote.holder_address) for duty, vote in self._votes.items() if vote.holder}

    def vote(self, request: VoteRequest, address: str, now: int) -> VoteResponse:
        """Grants or refuses the request of the candidate at this address."""
        vote = self._votes.setdefault(request.duty, BindingVote())
        incarnation, binding = request.ballot[1], vote.expires_at > now
        if request.ballot < vote.promised or binding and vote.holder != incarnation:
            remaining = max(0, vote.expires_at - now)
            return VoteResponse(
                request.duty,
                request.kind,
                request.ballot,
                False,
                vote.promised[0],
                vote.holder,
                vote.holder_address,
                remaining,
            )
        vote.promised = request.ballot
        if request.kind == "elect":
            vote.holder, vote.holder_address, vote.expires_at = incarnation, address, now + VOTE_DURATION_US
        return VoteResponse(request.duty, request.kind, request.ballot, True, vote.promised[0])

    def release_votes(self, incarnation: str, now: int) -> None:
        """Expires all votes for an incarnation that gives up its duties or is known to have ended."""
        for vote in self._votes.values():
            if vote.holder == incarnation:
                vote.expires_at = min(vote.expires_at, now)


@dataclass(slots=True)
class Ballot:
    """A request of this candidate, and the voters that granted it."""

    number: BallotNumber
    kind: str
    sent_at: int
    granted_by: set[str] = field(default_factory=set)

    def binding_until(self) -> int:
        """Until when the votes granted to it surely bind, by the candidate's clock."""
        return self.sent_at + VOTE_DURATION_US - LEASE_SAFETY_MARGIN_US


class Candidate:
    """One gateway's part in winning and holding duties."""

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._ballots: dict[str, Ballot] = {}  # of duties that it is a candidate for
        self._renewals: dict[str, list[Ballot]] = {}  # of duties held: those whose votes would still bind
        self._round = 0
        self._round_timeout: dict[str, int] = {}
        self._not_before: dict[str, int] = {}  # duty -> when the next request for it may be sent
        self.held_until: dict[str, int] = {}  # duties held, and the end of each lease by this gateway's clock

    def holds(self, duty: str, now: int) -> bool:
        return self.held_until.get(duty, 0) > now

    def next_request(self, duty: str, silent_since: int, rank: int, now: int) -> VoteRequest | None:
        """The request to send to the voters now, if any. `silent_since`: when the duty's holder last responded;
        `rank`: this gateway's position among the duty's candidates."""
        if self.holds(duty, now):
            return self._renew(duty, now)
        self.held_until.pop(duty, None)
        self._renewals.pop(duty, None)
        ballot = self._ballots.get(duty)
        if ballot is not None:
            if now - ballot.sent_at < self._round_timeout.get(duty, ROUND_TIMEOUT_US):
                return None
            del self._ballots[duty]
            self._round_timeout[duty] = min(MAX_ROUND_TIMEOUT_US, 2 * self._round_timeout.get(duty, ROUND_TIMEOUT_US))
        if now < silent_since + HOLDER_SILENCE_US + rank * RANK_DELAY_US or now < self._not_before.get(duty, 0):
            return None
        return self.start_round(duty, now)

    def highest_round(self) -> int:
        """The highest round that this gateway took part in or was told of."""
        return self._round

    def start_round(self, duty: str, now: int, above: int = 0) -> VoteRequest | None:
        """Starts a round for a duty at once, numbered higher than `above`. None if the duty is held here or a round
        for it is in progress.
        """
        self._round = max(self._round, above)
        if self.holds(duty, now) or duty in self._ballots:
            return None
        self._round += 1
        ballot = self._ballots[duty] = Ballot((self._round, self._incarnation), "prepare", now)
        return VoteRequest(duty, ballot.kind, ballot.number)

    def _renew(self, duty: str, now: int) -> VoteRequest | None:
        """Each renewal has its own ballot number, so that a late response extends the lease only from when the request
        that it answers was sent."""
        if now < self._not_before.get(duty, 0):
            return None
        renewals = self._renewals.setdefault(duty, [])
        if renewals and now - renewals[-1].sent_at < ROUND_TIMEOUT_US:
            return None
        self._round += 1
        ballot = Ballot((self._round, self._incarnation), "elect", now)
        self._renewals[duty] = [*(renewal for renewal in renewals if renewal.binding_until() > now), ballot]
        return VoteRequest(duty, ballot.kind, ballot.number)

    def on_response(self, response: VoteResponse, voter: str, voter_count: int, now: int) -> VoteRequest | None:
        """Processes a voter's response; returns the next request where the response completed a majority."""
        self._round = max(self._round, response.highest_round)
        for renewal in self._renewals.get(response.duty, ()):
            if renewal.number == response.ballot and response.kind == renewal.kind:
                self._on_renewal_response(response, renewal, voter, voter_count)
                return None
        ballot = self._ballots.get(response.duty)
        if ballot is None or response.ballot != ballot.number or response.kind != ballot.kind:
            return None
        if not response.granted:
            del self._ballots[response.duty]
            self._not_before[response.duty] = now + REFUSAL_DELAY_US
            return None
        ballot.granted_by.add(voter)
        if len(ballot.granted_by) < voter_count // 2 + 1:
            return None
        if ballot.kind == "prepare":
            self._ballots[response.duty] = Ballot(ballot.number, "elect", now)
            return VoteRequest(response.duty, "elect", ballot.number)
        del self._ballots[response.duty]
        self._round_timeout.pop(response.duty, None)
        if ballot.binding_until() > now:
            self._hold(response.duty, ballot)
        return None

    def _on_renewal_response(self, response: VoteResponse, renewal: Ballot, voter: str, voter_count: int) -> None:
        """Late responses count too: a vote binds for at least its duration from when it was requested."""
        if not response.granted:
            return
        renewal.granted_by.add(voter)
        if len(renewal.granted_by) > voter_count // 2:
            self._renewals[response.duty] = [
                later for later in self._renewals[response.duty] if later.sent_at > renewal.sent_at
            ]
            self._hold(response.duty, renewal)

    def _hold(self, duty: str, ballot: Ballot) -> None:
        self.held_until[duty] = max(self.held_until.get(duty, 0), ballot.binding_until())
        self._not_before[duty] = max(self._not_before.get(duty, 0), ballot.sent_at + RENEWAL_INTERVAL_US)

    def abandon(self, duty: str) -> None:
        """Gives up the duty, or the candidacy for it."""
        self.held_until.pop(duty, None)
        self._ballots.pop(duty, None)
        self._renewals.pop(duty, None)
