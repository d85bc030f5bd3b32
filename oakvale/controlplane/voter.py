"""A core machine as voter: it votes on who does the duties of gateways, and keeps on disk whom it voted for.

A voter that can't know whether an earlier vote of its place still binds says nothing for one span: one that begins with
an empty disk may have lost its votes, and one that a view has just let in takes the place of another voter. Without an
answer it counts neither for nor against a candidate, so the other voters elect without waiting for it.
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

AGAIN = 100_000  # before a holder that did not answer is asked once more
PROBE = 250_000  # microseconds for a holder to say which life it is


class VoterService:
    def __init__(
        self,
        loop: Loop,
        transport: Transport,
        storage: Storage,
        first_start: bool = True,
        is_voter: Callable[[], bool] = lambda: True,
    ) -> None:
        """`first_start`: the whole system starts for the first time, so an empty disk has lost no vote;
        `is_voter`: whether the view that is known here names this machine as a witness.
        """
        self._loop, self._transport, self._storage = loop, transport, storage
        self._is_voter = is_voter
        stored = storage.fact("votes")
        self._known = stored is not None or first_start  # which votes of this machine may bind
        if not self._known:
            loop.at(loop.now + VOTE_DURATION_US, self._span_over)
        self._voter_since: int | None = loop.now - VOTE_DURATION_US if is_voter() else None
        found = cbor2.loads(stored) if stored else {}
        kept = {str(duty): (str(life), str(where)) for duty, (life, where) in found.items()}
        self._voter, self._kept = Voter(kept, loop.now), kept
        self._unsaved = 0  # writes that are not on disk yet
        self._probing: dict[str, list[Callable[[], None]]] = {}  # life -> who waits for what becomes known of it
        for life, where in kept.values():
            loop.at(loop.now, lambda _, life=life, where=where: self._probe(life, where))  # type: ignore[misc]
        transport.handlers["ballot"] = self._ballot
        transport.handlers["who"] = self._who
        transport.handlers["ended"] = lambda conn, body, answer: self._voter.release_votes(str(body), loop.now)

    def ended(self, life: str) -> None:
        self._voter.release_votes(life, self._loop.now)

    def _span_over(self, _: Any) -> None:
        """Whatever this machine voted for before it lost its disk binds no longer; a start from here on knows that."""
        self._storage.write(("fact", ("votes", cbor2.dumps(self._kept))), self._now_known)

    def _now_known(self) -> None:
        self._known = True

    def _may_speak(self) -> bool:
        """Whether no vote that this machine doesn't know of may still bind its place among the voters."""
        if not self._is_voter():
            self._voter_since = None
            return False
        if self._voter_since is None:
            self._voter_since = self._loop.now
        return self._known and self._loop.now - self._voter_since >= VOTE_DURATION_US

    def _ballot(self, conn: Connection, body: Any, answer: Answer) -> None:
        if not self._may_speak():
            return
        duty, kind, number, where = str(body[0]), str(body[1]), (int(body[2][0]), str(body[2][1])), str(body[3])
        # the clock of this moment: a process that stood still in its turn would bind itself to a time that is over
        word = self._voter.vote(VoteRequest(duty, kind, number), where, self._loop.clock())
        packed = [
            word.kind,
            list(word.ballot),
            word.granted,
            word.highest_round,
            word.holder,
            word.holder_address,
            word.remaining_us,
        ]
        kept = self._voter.recorded_holders()
        if kept != self._kept or self._unsaved:  # only another holder costs a sync, renewals don't
            self._kept = kept
            self._unsaved += 1

            def saved() -> None:
                self._unsaved -= 1
                answer(packed)

            self._storage.write(("fact", ("votes", cbor2.dumps(kept))), saved)
        else:
            answer(packed)
        if not word.granted and word.holder:
            self._probe(word.holder, word.holder_address)

    def _probe(self, life: str, where: str, then: Callable[[], None] = lambda: None) -> None:
        """Somebody misses the holder: if it has ended its votes are freed at once. `then` is called once that is known
        to be so or not, or can't be told in time.
        """
        address = parse_address(where)
        if address is None:
            return then()
        if life in self._probing:
            return self._probing[life].append(then)
        self._probing[life] = [then]
        asked = self._loop.now

        def answered(answer: Any) -> None:
            waiting = self._probing.pop(life, [])
            if (
                isinstance(answer, str)
                and answer != life
                or answer is None
                and self._transport.recently_refused(address, asked)
            ):
                self._voter.release_votes(life, self._loop.now)
            elif answer is None and self._voter.votes_for(life, self._loop.now):
                self._loop.at(self._loop.now + AGAIN, lambda _: self._probe(life, where))
            for call in waiting:
                call()

        self._transport.ask(address, "life", None, PROBE, answered)

    def _who(self, conn: Connection, body: Any, answer: Answer) -> None:
        """Who asks may live where the holder did, which then has ended; but the question may be one that was long on
        its way, so it is asked back."""
        if not self._may_speak():
            return
        duty, where, life = str(body[0]), str(body[1]), str(body[2])
        held = self._voter.holder(duty, self._loop.now)

        def say(_: Any = None) -> None:
            now = self._voter.holder(duty, self._loop.now)
            answer([now[1] if now else None])

        def alive(said: Any) -> None:
            if said == life:
                self._voter.release_votes(held[0], self._loop.now)  # type: ignore[index]
            say()

        suspected = len(body) > 3 and bool(body[3])  # a gateway of the version before does not say
        if held is None or held[0] == life:
            say()
        elif held[1] == where:
            self._transport.ask_on(conn, "life", None, PROBE, alive)
        elif suspected:
            self._probe(*held, say)
        else:
            say()
