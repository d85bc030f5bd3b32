"""Ballots: how a duty that one gateway does is won each time it falls vacant, and held for a while.

No I/O and no clock. Jurors vote: the witnesses of the control state, who are few and known to all. A vote is for a
holder and a span; within it a juror votes for no other. A holder goes on while a majority renews its span, and
stops by its own clock before theirs run out. A juror keeps on disk whom it voted for last, not when: after a
start it votes for no other until a span has passed, so that nothing it may have promised before is broken.
A holder that is proven to have ended (nobody listens where it did, or another life answers) frees its votes.
"""

from __future__ import annotations

from dataclasses import dataclass, field

Number = tuple[int, str]  # a round and the life of who calls it

SPAN = 2_000_000  # microseconds that a vote binds
RENEW = 500_000  # between two renewals
MARGIN = 100_000  # a holder stops so long before the earliest vote for it ends
ROUND = 250_000  # a holder asks for its votes again after this; the first round of one who stands is given up then
LONGEST_ROUND = SPAN - MARGIN  # on slow links each round that came to nothing is followed by one of twice the time
QUIET = 450_000  # a holder not heard for so long may be gone
TURN = 120_000  # each who stands for a duty waits so much longer than the one before
RETRY = 120_000  # after a refusal, however long the holder still has: it may be proven gone


@dataclass(slots=True)
class Vote:
    promised: Number = (0, "")
    holder: str = ""  # life of who holds it
    where: str = ""  # and its address
    until: int = 0


@dataclass(slots=True, frozen=True)
class Ask:
    """To be put to every juror."""

    duty: str
    kind: str  # "prepare" or "elect"
    number: Number


@dataclass(slots=True, frozen=True)
class Word:
    """A juror's answer."""

    duty: str
    kind: str
    number: Number
    yes: bool
    round: int = 0  # the highest known
    holder: str = ""
    where: str = ""
    left: int = 0  # microseconds that the holder still has


class Voter:
    """`kept`: duty -> holder's life and address, as they were on disk."""

    def __init__(self, kept: dict[str, tuple[str, str]], now: int) -> None:
        self._started = now
        self._votes = {duty: Vote(holder=life, where=where, until=now + SPAN) for duty, (life, where) in kept.items()}

    def holder(self, duty: str, now: int) -> tuple[str, str] | None:
        """Life and address of who holds it by the vote of this juror."""
        vote = self._votes.get(duty)
        return (vote.holder, vote.where) if vote and vote.until > now else None

    def votes_for(self, life: str, now: int) -> bool:
        return any(vote.holder == life and vote.until > now for vote in self._votes.values())

    def kept(self) -> dict[str, tuple[str, str]]:
        """What has to be on disk before a vote is spoken of."""
        return {duty: (vote.holder, vote.where) for duty, vote in self._votes.items() if vote.holder}

    def hear(self, ask: Ask, where: str, now: int) -> Word:
        vote = self._votes.setdefault(ask.duty, Vote())
        life, held = ask.number[1], vote.until > now
        if ask.number < vote.promised or held and vote.holder != life:
            left = max(0, vote.until - now)
            return Word(ask.duty, ask.kind, ask.number, False, vote.promised[0], vote.holder, vote.where, left)
        vote.promised = ask.number
        if ask.kind == "elect":
            vote.holder, vote.where, vote.until = life, where, now + SPAN
        return Word(ask.duty, ask.kind, ask.number, True, vote.promised[0])

    def ended(self, life: str, now: int) -> None:
        """This life gives its duties up, or is known to have ended."""
        for vote in self._votes.values():
            if vote.holder == life:
                vote.until = min(vote.until, now)


@dataclass(slots=True)
class Bid:
    number: Number
    kind: str
    at: int
    yes: set[str] = field(default_factory=set)

    def ends(self) -> int:
        """Until when the votes that it was given for hold, by the clock of who asked for them."""
        return self.at + SPAN - MARGIN


class Candidate:
    """One gateway's part in winning and holding duties."""

    def __init__(self, life: str) -> None:
        self._life = life
        self._bids: dict[str, Bid] = {}  # of duties that it stands for
        self._renewals: dict[str, list[Bid]] = {}  # of duties held: an answer counts while the votes it tells of bind
        self._round = 0
        self._round_time: dict[str, int] = {}  # how long a round for a duty may take
        self._not_before: dict[str, int] = {}
        self.until: dict[str, int] = {}  # duties held, and until when by this gateway's clock

    def holds(self, duty: str, now: int) -> bool:
        return self.until.get(duty, 0) > now

    def tick(self, duty: str, silent_since: int, rank: int, now: int) -> Ask | None:
        """A question to the jury, if it is time for one. `silent_since`: when its holder was last heard of;
        `rank`: this gateway's place among those who stand for it."""
        if self.holds(duty, now):
            return self._renew(duty, now)
        self.until.pop(duty, None)
        self._renewals.pop(duty, None)
        bid = self._bids.get(duty)
        if bid is not None:
            if now - bid.at < self._round_time.get(duty, ROUND):
                return None
            del self._bids[duty]
            self._round_time[duty] = min(LONGEST_ROUND, 2 * self._round_time.get(duty, ROUND))
        if now < silent_since + QUIET + rank * TURN or now < self._not_before.get(duty, 0):
            return None
        return self.stand(duty, now)

    def highest_round(self) -> int:
        """That this gateway took part in or heard of."""
        return self._round

    def stand(self, duty: str, now: int, above: int = 0) -> Ask | None:
        """Stands for a duty at once, in a round above the given one; None where it is held, or a round for it is under
        way.
        """
        self._round = max(self._round, above)
        if self.holds(duty, now) or duty in self._bids:
            return None
        self._round += 1
        bid = self._bids[duty] = Bid((self._round, self._life), "prepare", now)
        return Ask(duty, bid.kind, bid.number)

    def _renew(self, duty: str, now: int) -> Ask | None:
        """Each question has a number of its own: late words say until when an earlier vote binds."""
        if now < self._not_before.get(duty, 0):
            return None
        renewals = self._renewals.setdefault(duty, [])
        if renewals and now - renewals[-1].at < ROUND:
            return None
        self._round += 1
        bid = Bid((self._round, self._life), "elect", now)
        self._renewals[duty] = [*(one for one in renewals if one.ends() > now), bid]
        return Ask(duty, bid.kind, bid.number)

    def hear(self, word: Word, voter: str, voters: int, now: int) -> Ask | None:
        """A juror's word; gives the next question where it made a majority."""
        self._round = max(self._round, word.round)
        for renewal in self._renewals.get(word.duty, ()):
            if renewal.number == word.number and word.kind == renewal.kind:
                self._renewed(word, renewal, voter, voters)
                return None
        bid = self._bids.get(word.duty)
        if bid is None or word.number != bid.number or word.kind != bid.kind:
            return None
        if not word.yes:
            del self._bids[word.duty]
            self._not_before[word.duty] = now + RETRY
            return None
        bid.yes.add(voter)
        if len(bid.yes) < voters // 2 + 1:
            return None
        if bid.kind == "prepare":
            self._bids[word.duty] = Bid(bid.number, "elect", now)
            return Ask(word.duty, "elect", bid.number)
        del self._bids[word.duty]
        self._round_time.pop(word.duty, None)
        if bid.ends() > now:
            self._hold(word.duty, bid)
        return None

    def _renewed(self, word: Word, renewal: Bid, voter: str, voters: int) -> None:
        """However late the word is: a vote binds for a span from when it was asked for, at least."""
        if not word.yes:
            return
        renewal.yes.add(voter)
        if len(renewal.yes) > voters // 2:
            self._renewals[word.duty] = [one for one in self._renewals[word.duty] if one.at > renewal.at]
            self._hold(word.duty, renewal)

    def _hold(self, duty: str, bid: Bid) -> None:
        self.until[duty] = max(self.until.get(duty, 0), bid.ends())
        self._not_before[duty] = max(self._not_before.get(duty, 0), bid.at + RENEW)

    def drop(self, duty: str) -> None:
        self.until.pop(duty, None)
        self._bids.pop(duty, None)
        self._renewals.pop(duty, None)
