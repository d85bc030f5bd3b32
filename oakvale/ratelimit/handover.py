"""Duty handover: a duty whose holder shuts down is counted again within a few round trips.

A gateway that shuts down asks the next candidates for each of its duties for consent to take it. When all duties have
a successor, the holder stops counting, releases its votes, and announces the successors to all gateways. A successor
starts an election at once, and asks the former holder, which keeps running for a while, for its counter's state. A
holder whose lease expires does the same without asking for consent, as it must stop immediately.

Safety doesn't depend on this: a successor counts only once a majority has voted for it, which requires that the former
holder's votes were released or have expired. A lost message only costs time.
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

CONSENT_TIMEOUT_US = 150_000  # for one gateway to answer
CONSENT_RETRY_US = 200_000  # where no gateway consents, because all are shutting down
SUCCESSOR_PRIORITY_US = 2_000_000  # a successor treats the duty as vacant for this long
SUCCESSOR_HOLDOFF_US = 400_000  # other gateways are no candidates for this long
STATE_RETENTION_US = 5_000_000  # how long a former holder serves its counter's state

log_event = EventLogger(__name__)


class Handover:
    """One gateway's part: as holder, as successor, and as recipient of announcements."""

    def __init__(
        self,
        loop: Loop,
        transport: Transport,
        self_address: str,
        successors: Callable[[str], list[Member]],
        others: Callable[[], list[Address]],
        start_election: Callable[[str, int], None],
        highest_round: Callable[[], int],
        state: Callable[[str], CounterState | None],
        on_given_up: Callable[[str, Address], None],
    ) -> None:
        """`successors`: the next candidates for a duty, in order; `start_election`: starts one for a duty in a round
        above the given one, which voters may have promised to the former holder; `highest_round`: the highest known;
        `state`: counter state of a duty that was held here; `on_given_up`: called when a holder gave up a duty.
        """
        self._loop, self._transport, self._self_address = loop, transport, self_address
        self._successors, self._others = successors, others
        self._start_election, self._highest_round, self._state, self._on_given_up = (
            start_election,
            highest_round,
            state,
            on_given_up,
        )
        self.shutting_down = False
        self._taken_from: dict[str, tuple[Address, int]] = {}  # duty -> its former holder, and time of the handover
        self._held_off_until: dict[str, int] = {}  # duty -> until when it is left to its successor
        transport.handlers["will you take"] = self._on_consent_request
        transport.handlers["handed"] = self._on_handed
        transport.handlers["counter state"] = self._on_state_request

    def is_successor(self, duty: str) -> bool:
        """Whether the duty was recently handed to this gateway."""
        at = self._taken_from.get(duty, (None, -SUCCESSOR_PRIORITY_US))[1]
        return self._loop.now - at < SUCCESSOR_PRIORITY_US and not self.shutting_down

    def yields_to_successor(self, duty: str) -> bool:
        """Whether another gateway was recently announced as successor, so that this one must not be a candidate."""
        return self._loop.now < self._held_off_until.get(duty, 0)

    def take_former_holder(self, duty: str) -> Address | None:
        """Called when the duty is won: the former holder, if it recently handed the duty to this gateway."""
        holder, at = self._taken_from.pop(duty, (None, 0))
        return holder if holder is not None and self._loop.now - at < SUCCESSOR_PRIORITY_US else None

    def request_state(
        self, holder: Address, duty: str, timeout: int, on_state: Callable[[CounterState, int], None]
    ) -> None:
        """Calls `on_state` with the state and the time of the request, which its ages are subtracted from."""
        asked = self._loop.now

        def answered(answer: Any) -> None:
            if answer is None:
                return
            try:
                state = CounterState.decode(answer)
            except (TypeError, ValueError, IndexError, AttributeError):
                return log_event("counter state not understood", "warning", duty=duty)
            on_state(state, asked)

        self._transport.ask(holder, "counter state", duty, timeout, answered)

    # ---- as holder

    def find_successors(self, duties: Iterable[str], found: Callable[[dict[str, Address]], None]) -> None:
        """Calls `found` with a successor for each duty, once all requests are answered: the gateway that consented to
        take it, or else one that consented to take another. While none consents, the requests are repeated.
        """
        duties_to_place, agreed = list(duties), dict[str, Address | None]()

        def on_consent(duty: str, successor: Address | None) -> None:
            agreed[duty] = successor
            if len(agreed) < len(duties_to_place):
                return
            any_successor = next((address for address in agreed.values() if address is not None), None)
            if any_successor is not None:
                found({each: address or any_successor for each, address in agreed.items()})
            else:
                self._loop.at(self._loop.now + CONSENT_RETRY_US, lambda _: self.find_successors(duties_to_place, found))

        if not duties_to_place:
            found({})
        for duty in duties_to_place:
            self._request_consent(duty, self._addresses(duty), on_consent)

    def announce_successor(self, duty: str, successor: Address | None) -> None:
        """Announces to all gateways, the successor first, that the duty is not held here any more."""
        log_event("handed on", duty=duty, to=successor[0] if successor else "nobody")
        body = [duty, self._self_address, None if successor is None else list(successor), self._highest_round()]
        first = [] if successor is None else [successor]
        for address in first + [other for other in self._others() if other != successor]:
            self._transport.tell(address, "handed", body)

    def first_successor(self, duty: str) -> Address | None:
        """The first candidate, whose consent was not asked for."""
        return next(iter(self._addresses(duty)), None)

    def _addresses(self, duty: str) -> list[Address]:
        found = [parse_address(member.address) for member in self._successors(duty)]
        return [address for address in found if address is not None]

    def _request_consent(
        self, duty: str, candidates: list[Address], found: Callable[[str, Address | None], None]
    ) -> None:
        if not candidates:
            return found(duty, None)

        def answered(answer: Any) -> None:
            if answer is True:
                found(duty, candidates[0])
            else:
                self._request_consent(duty, candidates[1:], found)

        self._transport.ask(candidates[0], "will you take", duty, CONSENT_TIMEOUT_US, answered)

    def _on_state_request(self, conn: Connection, body: Any, answer: Answer) -> None:
        state = self._state(str(body))
        answer(None if state is None else state.encode())

    # ---- as successor, and as recipient of announcements

    def _on_consent_request(self, conn: Connection, body: Any, answer: Answer) -> None:
        answer(not self.shutting_down)

    def _on_handed(self, conn: Connection, body: Any, _: Answer) -> None:
        duty, holder = str(body[0]), parse_address(str(body[1]))
        if holder is None or str(body[1]) == self._self_address:
            return
        self._on_given_up(duty, holder)
        successor = None if body[2] is None else (str(body[2][0]), int(body[2][1]))
        if successor is None:
            return
        if successor == parse_address(self._self_address):
            if not self.shutting_down:
                self._taken_from[duty] = (holder, self._loop.now)
                self._start_election(duty, int(body[3]))
        else:
            self._held_off_until[duty] = self._loop.now + SUCCESSOR_HOLDOFF_US
