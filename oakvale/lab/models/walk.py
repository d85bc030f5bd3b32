"""Whom callers of `ctl` call next: backends for their beats, the operator for its orders. Decisions alone: `Walk` is
told how a step ended and says what the next one is."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from urllib.parse import urlsplit

from oakvale.base.address import Address, parse_address
from oakvale.base.loop import Loop
from oakvale.lab.models.ways import Reply, ask, value

MS, SECOND = 1_000, 1_000_000
SILENCE = SECOND  # after which a caller moves on; longer for large bodies
BYTES = 1_000_000  # of a body, for which another second is given
FOLLOWS = 2  # 307 in a row
FINAL = frozenset({400, 409, 412, 413, 422})
AGAIN = frozenset({408, 429})
OTHERS = 3  # other 4xx until they are final
PAUSE, LONGEST = 50 * MS, SECOND
BEAT_ANSWER = 4096  # bytes


@dataclass(frozen=True, slots=True)
class Step:
    address: Address
    pause: int  # before it


@dataclass(frozen=True, slots=True)
class Over:
    reply: Reply | None  # None: it was given up


class Walk:
    """One call, from gateway to gateway, until an answer that counts."""

    def __init__(
        self,
        addresses: Callable[[], list[Address]],
        rng: Random,
        until: int,
        beat: bool = False,
        first: Address | None = None,
        hard: bool = False,
    ) -> None:
        """`until`: when it gives up. `first`: where it begins, else one is drawn. `hard`: it stays there until it has
        an answer, of any kind."""
        self._addresses, self._rng, self._until, self._beat = addresses, rng, until, beat
        self._hard = hard
        self._met: set[Address] = set()  # while answers are lost: other machines are called first
        self.address = first or self._another(None)
        self._follows = self._others = 0
        self._pause = PAUSE

    def _another(self, last: Address | None) -> Address:
        known = self._addresses()
        fresh = [a for a in known if a not in self._met]
        return self._rng.choice([a for a in fresh if a != last] or [a for a in known if a != last] or known)

    def lost(self) -> None:
        """The answer that came from where it is was lost on its way."""
        self._met.add(self.address)

    def give_up(self) -> None:
        """No call is made any more: what it says is no longer so."""
        self._until = 0

    @property
    def given_up(self) -> bool:
        return self._until == 0

    def heard(self, now: int, reply: Reply | None) -> Step | Over:
        status = 0 if reply is None else reply.status
        if reply is not None and 200 <= status < 300 and not (self._beat and len(reply.body) > BEAT_ANSWER):
            return Over(reply)
        if reply is not None and status == 307 and self._follows < FOLLOWS:
            place = parse_address(urlsplit(value(reply.headers, b"location") or "").netloc)
            if place is not None:
                self._follows += 1
                self.address = place
                return Step(place, 0)
        if status in FINAL:
            return Over(reply)
        if 400 <= status < 500 and status not in AGAIN:
            self._others += 1
            if self._others >= OTHERS:
                return Over(reply)
        if now + self._pause >= self._until:
            return Over(None)
        self._follows = 0
        if reply is None and self._hard:
            return Step(self.address, PAUSE)
        self._hard = False
        self.address = self._another(self.address)
        pause, self._pause = self._pause, min(LONGEST, self._pause * 2)
        return Step(self.address, round(pause * self._rng.uniform(0.5, 1)))


def walk(
    loop: Loop,
    steps: Walk,
    method: str,
    target: str,
    body: Callable[[], bytes] | None,
    then: Callable[[Reply | None, Address], None],
    passes: Callable[[Reply, Address, int], int] = lambda reply, address, sent: -1,
) -> None:
    """Takes the steps; each has a body of its own. `then` gets the answer that counts and who gave it. `passes` is
    asked of each answer, with the time of its call: -1, or it is lost, and the caller knows so much later."""
    sent = loop.now

    def heard(reply: Reply | None) -> None:
        after = -1 if reply is None else passes(reply, steps.address, sent)
        if after < 0:
            return goes_on(reply)
        steps.lost()
        loop.at(loop.now + after, goes_on, None)

    def goes_on(reply: Reply | None) -> None:
        match steps.heard(loop.now, reply):
            case Over(last):
                then(last, steps.address)
            case Step(address, pause):
                loop.at(loop.now + pause, call, address)

    def call(address: Address) -> None:
        nonlocal sent
        if steps.given_up:
            return then(None, address)
        sent = loop.now
        data = None if body is None else body()
        ask(loop, address, method, target, data, SILENCE + (len(data or b"") // BYTES) * SECOND, heard)

    call(steps.address)
