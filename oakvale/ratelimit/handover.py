"""Handing duties on, so that a duty whose holder stops is counted again within a few round trips.

A gateway that is told to end asks those who stand next for each of its duties whether one will take it. Once that is
known of all, the holder stops counting, frees its votes, and tells everyone who comes next. The successor stands for
the duty at once, and asks the holder, which lives on for a while, for the state of its counter. A holder whose votes
run out does the same without the question, as it may not go on.

Nothing here is needed for safety: a successor counts only once a majority has voted for it, and the votes of the one
before have been freed or have run out. All that is lost with a message is time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from oakvale.base.address import Address, parse_address
from oakvale.base.loop import Loop
from oakvale.dissemination.tree import Member
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.ratelimit.counter_state import CounterState
from oakvale.transport.links import Answer, Connection, Transport

CONSENT_TIMEOUT_US = 150_000  # for one gateway to say whether it takes a duty
CONSENT_RETRY_US = 200_000  # where nobody takes a duty, since all are told to end
SUCCESSOR_PRIORITY_US = 2_000_000  # a successor stands as if the duty were vacant for so long
SUCCESSOR_HOLDOFF_US = 400_000  # for so long nobody else stands for a duty that was handed on
STATE_RETENTION_US = 5_000_000  # a former holder answers for the state of its counter

log_event = EventLogger(__name__)


class Handover:
    """One gateway's part: as holder, as successor, and as one who hears of it."""

    def __init__(
        self,
        loop: Loop,
        transport: Transport,
        own: str,
        successors: Callable[[str], list[Member]],
        others: Callable[[], list[Address]],
        stand: Callable[[str, int], None],
        highest_round: Callable[[], int],
        state: Callable[[str], CounterState | None],
        lost: Callable[[str, Address], None],
    ) -> None:
        """`successors`: who stands next for a duty, the first first; `stand`: stand for it at once, in a round above
        one that voters may have promised the former holder; `highest_round`: that any voter is known to have heard
        of; `state`: of the counter of a duty that was held here; `lost`: the holder of a duty gave it up.
        """
        self._loop, self._transport, self._own = loop, transport, own
        self._successors, self._others = successors, others
        self._stand, self._highest_round, self._state, self._lost = stand, highest_round, state, lost
        self.ending = False
        self._taken_from: dict[str, tuple[Address, int]] = {}  # duty -> its former holder, and when it was handed here
        self._held_back: dict[str, int] = {}  # duty -> until when others leave it to its successor
        transport.handlers["will you take"] = self._asked_for_consent
        transport.handlers["handed"] = self._handed
        transport.handlers["counter state"] = self._asked_for_state

    def is_successor(self, duty: str) -> bool:
        """Whether the duty was lately handed to this gateway."""
        at = self._taken_from.get(duty, (None, -SUCCESSOR_PRIORITY_US))[1]
        return self._loop.now - at < SUCCESSOR_PRIORITY_US and not self.ending

    def yields_to_successor(self, duty: str) -> bool:
        """Whether another gateway was lately named as successor and is left the duty."""
        return self._loop.now < self._held_back.get(duty, 0)

    def take_former_holder(self, duty: str) -> Address | None:
        """The duty is held here now. The former holder, where it lately handed the duty to this gateway."""
        holder, at = self._taken_from.pop(duty, (None, 0))
        return holder if holder is not None and self._loop.now - at < SUCCESSOR_PRIORITY_US else None

    def request_state(
        self, holder: Address, duty: str, timeout: int, then: Callable[[CounterState, int], None]
    ) -> None:
        """`then` hears the state, and when it was asked for: its ages are at least as long since then."""
        asked = self._loop.now

        def answered(answer: Any) -> None:
            if answer is None:
                return
            try:
                state = CounterState.decode(answer)
            except (TypeError, ValueError, IndexError, AttributeError):
                return log_event("counter state not understood", "warning", duty=duty)
            then(state, asked)

        self._transport.ask(holder, "counter state", duty, timeout, answered)

    # ---- as holder

    def find_successors(self, duties: Iterable[str], found: Callable[[dict[str, Address]], None]) -> None:
        """`found` hears who takes each duty, once that is known of all: who agreed to take it, or else who agreed to
        take another. While nobody agrees to any, all are asked again and again.
        """
        wanted, agreed = list(duties), dict[str, Address | None]()

        def told(duty: str, successor: Address | None) -> None:
            agreed[duty] = successor
            if len(agreed) < len(wanted):
                return
            anyone = next((address for address in agreed.values() if address is not None), None)
            if anyone is not None:
                found({each: address or anyone for each, address in agreed.items()})
            else:
                self._loop.at(self._loop.now + CONSENT_RETRY_US, lambda _: self.find_successors(wanted, found))

        if not wanted:
            found({})
        for duty in wanted:
            self._ask_next(duty, self._addresses(duty), told)

    def announce_successor(self, duty: str, successor: Address | None) -> None:
        """The duty is not held here any more: all are told who comes next, the successor first."""
        log_event("handed on", duty=duty, to=successor[0] if successor else "nobody")
        body = [duty, self._own, None if successor is None else list(successor), self._highest_round()]
        first = [] if successor is None else [successor]
        for address in first + [other for other in self._others() if other != successor]:
            self._transport.tell(address, "handed", body)

    def first_successor(self, duty: str) -> Address | None:
        """Who would be told to take it without being asked."""
        return next(iter(self._addresses(duty)), None)

    def _addresses(self, duty: str) -> list[Address]:
        found = [parse_address(member.address) for member in self._successors(duty)]
        return [address for address in found if address is not None]

    def _ask_next(self, duty: str, left: list[Address], found: Callable[[str, Address | None], None]) -> None:
        if not left:
            return found(duty, None)

        def answered(answer: Any) -> None:
            if answer is True:
                found(duty, left[0])
            else:
                self._ask_next(duty, left[1:], found)

        self._transport.ask(left[0], "will you take", duty, CONSENT_TIMEOUT_US, answered)

    def _asked_for_state(self, conn: Connection, body: Any, answer: Answer) -> None:
        state = self._state(str(body))
        answer(None if state is None else state.encode())

    # ---- as successor, and as one who hears of it

    def _asked_for_consent(self, conn: Connection, body: Any, answer: Answer) -> None:
        answer(not self.ending)

    def _handed(self, conn: Connection, body: Any, _: Answer) -> None:
        duty, holder = str(body[0]), parse_address(str(body[1]))
        if holder is None or str(body[1]) == self._own:
            return
        self._lost(duty, holder)
        successor = None if body[2] is None else (str(body[2][0]), int(body[2][1]))
        if successor is None:
            return
        if successor == parse_address(self._own):
            if not self.ending:
                self._taken_from[duty] = (holder, self._loop.now)
                self._stand(duty, int(body[3]))
        else:
            self._held_back[duty] = self._loop.now + SUCCESSOR_HOLDOFF_US
