"""Which core machine a caller calls next: a backend with its heartbeats, the operator with its changes. `CallSequence`
decides without I/O or a clock; `call_core` carries out what it decides.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from urllib.parse import urlsplit

from oakvale.base.address import Address, parse_address
from oakvale.base.loop import Loop
from oakvale.lab.models.exchanges import Reply, exchange, header_value

MS, SECOND = 1_000, 1_000_000
SILENCE_TIMEOUT_US = SECOND  # after which a caller moves on; longer for large bodies
BYTES_PER_TIMEOUT = 1_000_000  # of a body, for which another second is given
MAX_REDIRECTS = 2  # 307 in a row
FINAL_STATUSES = frozenset({400, 409, 412, 413, 422})
RETRYABLE_STATUSES = frozenset({408, 429})
MAX_OTHER_ERRORS = 3  # other 4xx until they are final
FIRST_PAUSE_US, MAX_PAUSE_US = 50 * MS, SECOND
MAX_HEARTBEAT_ANSWER_BYTES = 4096


@dataclass(frozen=True, slots=True)
class NextCall:
    """The call that is to be made."""

    address: Address
    pause: int  # before it, in microseconds


@dataclass(frozen=True, slots=True)
class CallEnded:
    """No further call is made."""

    reply: Reply | None  # None: it was given up


class CallSequence:
    """One call, repeated at one machine after another until an answer that counts."""

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
        self.address = first or self._other_address(None)
        self._follows = self._others = 0
        self._pause = FIRST_PAUSE_US

    def _other_address(self, last: Address | None) -> Address:
        known = self._addresses()
        fresh = [a for a in known if a not in self._met]
        return self._rng.choice([a for a in fresh if a != last] or [a for a in known if a != last] or known)

    def answer_lost(self) -> None:
        """The answer that came from where it is was lost on its way."""
        self._met.add(self.address)

    def give_up(self) -> None:
        """No call is made any more: what it says is no longer so."""
        self._until = 0

    @property
    def given_up(self) -> bool:
        return self._until == 0

    def on_answer(self, now: int, reply: Reply | None) -> NextCall | CallEnded:
        status = 0 if reply is None else reply.status
        if (
            reply is not None
            and 200 <= status < 300
            and not (self._beat and len(reply.body) > MAX_HEARTBEAT_ANSWER_BYTES)
        ):
            return CallEnded(reply)
        if reply is not None and status == 307 and self._follows < MAX_REDIRECTS:
            place = parse_address(urlsplit(header_value(reply.headers, b"location") or "").netloc)
            if place is not None:
                self._follows += 1
                self.address = place
                return NextCall(place, 0)
        if status in FINAL_STATUSES:
            return CallEnded(reply)
        if 400 <= status < 500 and status not in RETRYABLE_STATUSES:
            self._others += 1
            if self._others >= MAX_OTHER_ERRORS:
                return CallEnded(reply)
        if now + self._pause >= self._until:
            return CallEnded(None)
        self._follows = 0
        if reply is None and self._hard:
            return NextCall(self.address, FIRST_PAUSE_US)
        self._hard = False
        self.address = self._other_address(self.address)
        pause, self._pause = self._pause, min(MAX_PAUSE_US, self._pause * 2)
        return NextCall(self.address, round(pause * self._rng.uniform(0.5, 1)))


def call_core(
    loop: Loop,
    steps: CallSequence,
    method: str,
    target: str,
    body: Callable[[], bytes] | None,
    then: Callable[[Reply | None, Address], None],
    passes: Callable[[Reply, Address, int], int] = lambda reply, address, sent: -1,
) -> None:
    """Makes the calls of a sequence, each with a body of its own. `then` gets the answer that counts and who gave it.
    `passes` gets each answer with the time of its call, and returns -1, or how much later the caller learns that the
    answer was lost."""
    sent = loop.now

    def heard(reply: Reply | None) -> None:
        after = -1 if reply is None else passes(reply, steps.address, sent)
        if after < 0:
            return goes_on(reply)
        steps.answer_lost()
        loop.at(loop.now + after, goes_on, None)

    def goes_on(reply: Reply | None) -> None:
        match steps.on_answer(loop.now, reply):
            case CallEnded(last):
                then(last, steps.address)
            case NextCall(address, pause):
                loop.at(loop.now + pause, call, address)

    def call(address: Address) -> None:
        nonlocal sent
        if steps.given_up:
            return then(None, address)
        sent = loop.now
        data = None if body is None else body()
        exchange(
            loop,
            address,
            method,
            target,
            data,
            SILENCE_TIMEOUT_US + (len(data or b"") // BYTES_PER_TIMEOUT) * SECOND,
            heard,
        )

    call(steps.address)
