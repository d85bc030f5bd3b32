"""Which gateway counts each duty, as far as this gateway knows: learned from voters, gateways and announcements, and
kept up to date by the counters' answers.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from oakvale.base.address import Address, format_address, parse_address
from oakvale.base.loop import Loop
from oakvale.ratelimit.presence import ABSENT_US, Presence
from oakvale.transport.links import Transport

COUNTER_TIMEOUT_US = 150_000  # for any answer about counting
GREETING_INTERVAL_US = 250_000  # a counter not called for this long is greeted, so that this gateway stays present
VACANCY_VALID_US = 250_000  # how long a voter's response that a duty is vacant is valid
HOLDER_BACKOFF_US = 80_000  # for this long after an unanswered call, the counter is not called again
GATEWAYS_ASKED = 2  # in case no voter is reachable


class CounterDirectory:
    """The known counter of each duty, and the calls that find it and keep this gateway present there."""

    def __init__(
        self,
        loop: Loop,
        transport: Transport,
        node: str,
        incarnation: str,
        self_address: str,
        presence: Presence,
        voters: Callable[[], list[str]],
        on_found: Callable[[str], None],
        on_vacant: Callable[[str], None],
    ) -> None:
        """`on_found` is called with a duty whose counter was learned, `on_vacant` with one that a majority of voters
        reported to have none."""
        self._loop, self._transport = loop, transport
        self._node, self._incarnation, self._self_address = node, incarnation, self_address
        self._presence, self._voters = presence, voters
        self._on_found, self._on_vacant = on_found, on_vacant
        self._started_at = loop.now
        self._holders: dict[str, Address] = {}
        self._last_answer: dict[str, int] = {}  # duty -> when its counter last answered
        self._last_call: dict[str, int] = {}
        self._unanswered_at: dict[str, int] = {}
        self._last_search: dict[str, int] = {}
        self._vacant: dict[str, dict[Address, int]] = {}  # duty -> voter -> when it last reported no holder
        self._stamps: dict[Address, Any] = {}  # counter -> its latest stamp, to be echoed

    def holder(self, duty: str) -> Address | None:
        """The other gateway that holds the duty, as far as known."""
        return self._holders.get(duty)

    def fresh_holder(self, duty: str) -> Address | None:
        """The holder, if it has answered lately."""
        fresh = self._loop.now - self._last_answer.get(duty, -ABSENT_US) < ABSENT_US
        return self._holders.get(duty) if fresh else None

    def last_answer_at(self, duty: str) -> int:
        """When the duty's counter last answered; the start of this gateway if it never did."""
        return max(self._last_answer.get(duty, 0), self._started_at)

    def backs_off(self, duty: str) -> bool:
        """Whether a call to the duty's counter has just gone unanswered."""
        return self._loop.now - self._unanswered_at.get(duty, -HOLDER_BACKOFF_US) < HOLDER_BACKOFF_US

    def is_vacant(self, duty: str) -> bool:
        """Whether a majority of voters just reported no holder, so that an election need not wait."""
        reports = sum(1 for at in self._vacant.get(duty, {}).values() if self._loop.now - at < VACANCY_VALID_US)
        return reports > len(self._voters()) // 2

    # ---- what is learned

    def announced(self, duty: str, address: Address) -> None:
        """A gateway has announced that it counts now."""
        self._holders[duty] = address
        self._unanswered_at.pop(duty, None)
        self.greet(address)
        self._on_found(duty)

    def reported(self, duty: str, address_text: Any) -> None:
        """A voter or another gateway has named the holder, or has none to name."""
        address = parse_address(address_text) if address_text else None
        if address is None or address_text == self._self_address or self._transport.recently_refused(address):
            return
        if self._holders.get(duty) != address:
            self.announced(duty, address)

    def forget(self, duty: str, holder: Address | None = None) -> None:
        """The duty is held here, or `holder` has given it up."""
        if holder is None or self._holders.get(duty) == holder:
            self._holders.pop(duty, None)

    def has_called(self, duty: str) -> None:
        """This gateway was asked by the duty's new counter and is present there from now on."""
        self._last_answer[duty] = self._loop.now

    # ---- calls to a counter

    def stamp_of(self, holder: Address) -> Any:
        """The latest stamp of a counter, to be echoed in a call."""
        return self._stamps.get(holder)

    def called(self, duty: str) -> None:
        """A call to the duty's counter is being sent."""
        self._last_call[duty] = self._loop.now

    def answered(self, duty: str, holder: Address, stamp: Any) -> None:
        """The duty's counter has answered a call."""
        self._unanswered_at.pop(duty, None)
        self._last_answer[duty], self._stamps[holder] = self._loop.now, stamp

    def unanswered(self, duty: str, holder: Address) -> None:
        """The duty's counter has not answered a call; looks for another one."""
        if self._holders.get(duty) == holder:
            self._unanswered_at[duty] = self._loop.now
            if self._transport.recently_refused(holder):
                del self._holders[duty]
        self.find(duty, suspects=True)

    def greet_if_idle(self, duty: str, holder: Address, greeted: set[Address]) -> None:
        """Greets a counter that is not in `greeted` and was not called for some time, and adds it there."""
        if holder not in greeted and self._loop.now - self._last_call.get(duty, 0) > GREETING_INTERVAL_US:
            greeted.add(holder)
            self.greet(holder)

    def greet(self, address: Address) -> None:
        """Calls a counter so that it counts this gateway as present although it sends few requests."""
        duties = [duty for duty, holder in self._holders.items() if holder == address]
        for duty in duties:
            self._last_call[duty] = self._loop.now

        def on_answer(answer: Any) -> None:
            for duty in duties:
                if isinstance(answer, list) and duty in answer[0]:
                    self._last_answer[duty], self._stamps[address] = self._loop.now, answer[1]
                elif self._holders.get(duty) == address:
                    self.unanswered(duty, address)

        self._transport.ask(address, "greet", [self._node, self._stamps.get(address)], COUNTER_TIMEOUT_US, on_answer)

    # ---- search

    def find(self, duty: str, suspects: bool = False) -> None:
        """Asks the voters who counts, and some gateways in case no voter is reachable. `suspects`: the holder did not
        answer, so the voters check whether it has ended."""
        now = self._loop.now
        if now - self._last_search.get(duty, -HOLDER_BACKOFF_US) < HOLDER_BACKOFF_US:
            return
        self._last_search[duty] = now
        for address in filter(None, map(parse_address, self._voters())):
            self._transport.ask(
                address,
                "who",
                [duty, self._self_address, self._incarnation, suspects],
                COUNTER_TIMEOUT_US,
                partial(self._on_voter_report, duty, address),
            )
        others = self._presence.others()
        for address in self._loop.net.rng.sample(others, min(GATEWAYS_ASKED, len(others))):
            self._transport.ask(
                address, "counts", duty, COUNTER_TIMEOUT_US, partial(self._on_gateway_report, duty, address)
            )

    def _on_voter_report(self, duty: str, voter: Address, answer: Any) -> None:
        if not isinstance(answer, list):
            return
        self.reported(duty, answer[0])
        self._vacant.setdefault(duty, {})[voter] = self._loop.now if answer[0] is None else -VACANCY_VALID_US
        if self.is_vacant(duty):
            self._on_vacant(duty)

    def _on_gateway_report(self, duty: str, address: Address, answer: Any) -> None:
        if isinstance(answer, list) or self._transport.recently_refused(address):
            self._presence.record_contact(address)
        self.reported(duty, answer[0] if isinstance(answer, list) else None)

    def known_holder(self, duty: str) -> str | None:
        """The address of a holder that has answered lately, as it is told to others."""
        holder = self.fresh_holder(duty)
        return format_address(holder) if holder else None
