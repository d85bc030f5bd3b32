"""A core machine as a voter: it votes on which gateway performs a duty and stores its votes on disk.

A voter that cannot know whether an earlier vote is still binding does not answer for one `VOTE_DURATION_US`: one that
starts with an empty disk may have lost its votes, and one that was just added to the view replaces another voter. While
it does not answer, it counts neither for nor against a candidate, so the other voters elect without waiting for it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import cbor2

from oakvale.base.address import parse_address
from oakvale.base.loop import Loop
from oakvale.election.voting import VOTE_DURATION_US, Voter, VoteRequest
from oakvale.storage.store import Storage
from oakvale.transport.links import Answer, Connection, Transport

PROBE_RETRY_DELAY_US = 100_000  # before a holder that did not answer is asked again
PROBE_TIMEOUT_US = 250_000  # for a holder to answer with its incarnation


class VoterService:
    """Answers ballots and questions for the holder of a duty, and frees the votes of holders that have ended."""

    def __init__(
        self,
        loop: Loop,
        transport: Transport,
        storage: Storage,
        first_start: bool = True,
        is_voter: Callable[[], bool] = lambda: True,
    ) -> None:
        """`first_start`: the whole system starts for the first time, so an empty disk has lost no vote;
        `is_voter`: whether the latest view known here names this machine as a voter.
        """
        self._loop, self._transport, self._storage = loop, transport, storage
        self._is_voter = is_voter
        stored = storage.fact("votes")
        self._votes_known = stored is not None or first_start  # no unknown vote of this machine can be binding
        if not self._votes_known:
            loop.at(loop.now + VOTE_DURATION_US, self._old_votes_expired)
        self._voter_since: int | None = loop.now - VOTE_DURATION_US if is_voter() else None
        decoded = cbor2.loads(stored) if stored else {}
        votes = {str(duty): (str(holder), str(address)) for duty, (holder, address) in decoded.items()}
        self._voter, self._stored_votes = Voter(votes, loop.now), votes
        self._pending_writes = 0
        self._probing: dict[str, list[Callable[[], None]]] = {}  # incarnation -> callbacks of the running probe
        for holder, address in votes.values():
            loop.at(loop.now, lambda _, holder=holder, address=address: self._probe(holder, address))  # type: ignore[misc]
        transport.handlers["ballot"] = self._on_ballot
        transport.handlers["who"] = self._on_who
        transport.handlers["ended"] = lambda conn, body, answer: self._voter.release_votes(str(body), loop.now)

    def incarnation_ended(self, incarnation: str) -> None:
        """Frees the votes for a gateway process that has ended."""
        self._voter.release_votes(incarnation, self._loop.now)

    def _old_votes_expired(self, _: Any) -> None:
        """No vote from before the loss of the disk is binding any more; stored, so that the next start knows it."""
        self._storage.write(("fact", ("votes", cbor2.dumps(self._stored_votes))), self._set_votes_known)

    def _set_votes_known(self) -> None:
        self._votes_known = True

    def _may_vote(self) -> bool:
        """Whether this machine is a voter, and no vote unknown to it can still be binding in its place."""
        if not self._is_voter():
            self._voter_since = None
            return False
        if self._voter_since is None:
            self._voter_since = self._loop.now
        return self._votes_known and self._loop.now - self._voter_since >= VOTE_DURATION_US

    def _on_ballot(self, conn: Connection, body: Any, answer: Answer) -> None:
        if not self._may_vote():
            return
        request, address = VoteRequest.decode(body)
        # reads the clock now: after a pause within this turn, `loop.now` would date the vote too early
        vote = self._voter.vote(request, address, self._loop.clock())
        packed = vote.encode()
        votes = self._voter.recorded_holders()
        if votes != self._stored_votes or self._pending_writes:  # renewals by the same holder need no sync
            self._stored_votes = votes
            self._pending_writes += 1

            def saved() -> None:
                self._pending_writes -= 1
                answer(packed)

            self._storage.write(("fact", ("votes", cbor2.dumps(votes))), saved)
        else:
            answer(packed)
        if not vote.granted and vote.holder:
            self._probe(vote.holder, vote.holder_address)

    def _probe(self, holder: str, address_text: str, on_done: Callable[[], None] = lambda: None) -> None:
        """Asks a suspected holder for its incarnation, and frees its votes at once if it has ended. `on_done` is called
        with the answer or at the timeout.
        """
        address = parse_address(address_text)
        if address is None:
            return on_done()
        if holder in self._probing:
            return self._probing[holder].append(on_done)
        self._probing[holder] = [on_done]
        asked_at = self._loop.now

        def answered(answer: Any) -> None:
            callbacks = self._probing.pop(holder, [])
            if (
                isinstance(answer, str)
                and answer != holder
                or answer is None
                and self._transport.recently_refused(address, asked_at)
            ):
                self._voter.release_votes(holder, self._loop.now)
            elif answer is None and self._voter.votes_for(holder, self._loop.now):
                self._loop.at(self._loop.now + PROBE_RETRY_DELAY_US, lambda _: self._probe(holder, address_text))
            for call in callbacks:
                call()

        self._transport.ask(address, "life", None, PROBE_TIMEOUT_US, answered)

    def _on_who(self, conn: Connection, body: Any, answer: Answer) -> None:
        """Answers who holds a duty. A process that asks from the holder's address replaces it, so the holder has ended;
        the request may be delayed, though, so the sender is asked for its incarnation first."""
        if not self._may_vote():
            return
        duty, address, incarnation = str(body[0]), str(body[1]), str(body[2])
        holder = self._voter.holder(duty, self._loop.now)

        def reply(_: Any = None) -> None:
            current = self._voter.holder(duty, self._loop.now)
            answer([current[1] if current else None])

        def on_incarnation(reported: Any) -> None:
            if reported == incarnation:
                self._voter.release_votes(holder[0], self._loop.now)  # type: ignore[index]
            reply()

        suspected = len(body) > 3 and bool(body[3])  # gateways of the previous version omit it
        if holder is None or holder[0] == incarnation:
            reply()
        elif holder[1] == address:
            self._transport.ask_on(conn, "life", None, PROBE_TIMEOUT_US, on_incarnation)
        elif suspected:
            self._probe(*holder, reply)
        else:
            reply()
