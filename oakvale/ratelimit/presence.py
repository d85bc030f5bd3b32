"""The gateways of the list as a counter sees them: who lately heard from it, who has ended, who is out of reach.

A counter stamps its answers and is told its latest stamp back; for a while from then it reckons with that gateway. One
that it does not reckon with may pass a share of the quota alone, unless it is proven to have ended.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from oakvale.base.address import Address, parse_address
from oakvale.base.loop import Loop
from oakvale.dissemination.tree import Member, Members
from oakvale.transport.links import Transport

PRESENT = 900_000  # a counter reckons with who has heard from it this lately, as far as it knows
ABSENT = PRESENT + 100_000  # after so long without hearing from it, a gateway knows that none reckons with it
KEPT = 10_000_000  # one that left the list may still pass its share, unless it is proven to have ended
ALIKE = 10_000  # the share of gateways that is present is worked out anew after this
REACHED = 2_000_000  # answers of other gateways this lately show that it is not this one that is cut off
PROOF_TIMEOUT = 150_000  # microseconds for a gateway to say which life it is


class Presence:
    def __init__(self, loop: Loop, transport: Transport, node: str, life: str, members: Callable[[], Members]) -> None:
        self._loop, self._transport, self._node, self._life, self._members = loop, transport, node, life, members
        self.heard: dict[str, int] = {}  # gateway -> the latest stamp that it told back
        self.lately: dict[str, Member] = {}  # gateways that are on the list, or were lately
        self.ended: dict[str, str] = {}  # gateway -> its life that is proven to have ended
        self._listed = Members()  # as last looked at, and when that was
        self._looked = loop.now
        self._left: dict[str, int] = {}  # of those no longer on it: when they were last seen there
        self._addresses: tuple[Members, list[Address]] = (self._listed, [])
        self._share = (1.0, -ALIKE)  # of gateways that are present, and when that was worked out
        self._reached: dict[Address, int] = {}  # gateway -> when it last answered, or was proven to have ended

    # ---- the list

    def remember(self) -> None:
        """Takes in what changed on the list; who left it is known for a while."""
        now = self._loop.now
        listed, known = self._members(), self._listed
        if listed is not known:
            changes: dict[str, Member | None] = dict(listed)
            if listed.previous is known:
                changes = listed.changes
            else:
                changes.update({node: None for node in known if node not in listed})
            for node, member in changes.items():
                if member is not None:
                    self.lately[node] = member
                    self._left.pop(node, None)
                elif node in known:
                    self._left[node] = self._looked
            self._listed = listed
        self._looked = now
        for node in [node for node, at in self._left.items() if now - at > KEPT]:
            del self._left[node], self.lately[node]

    def others(self) -> list[Address]:
        """Addresses of the other gateways on the list."""
        listed = self._members()
        if self._addresses[0] is not listed:
            found = [parse_address(member.address) for member in listed.values() if member.node != self._node]
            self._addresses = listed, [address for address in found if address is not None]
        return self._addresses[1]

    # ---- who reckons with this counter

    def stamp(self) -> list[Any]:
        """To be told back by who hears it."""
        return [self._life, self._loop.now]

    def hears(self, node: str, stamp: Any) -> None:
        """A gateway tells back what was the latest that it heard from here: until when it surely waits."""
        if isinstance(stamp, list) and stamp[0] == self._life:
            self.heard[node] = max(self.heard.get(node, 0), int(stamp[1]))

    def take_over(self, ages: dict[str, int], asked: int) -> None:
        """Who was present at the counter before; the ages are at least as long since it was asked."""
        for node, age in ages.items():
            self.heard[node] = max(self.heard.get(node, 0), asked - age)
        self._share = (1.0, -ALIKE)

    def ages(self) -> dict[str, int]:
        """Of the stamps of those that are present."""
        now = self._loop.now
        return {node: now - at for node, at in self.heard.items() if now - at < PRESENT}

    def here(self, node: str) -> bool:
        return self._loop.now - self.heard.get(node, -PRESENT) < PRESENT

    def share(self) -> float:
        """The share of gateways that are known to have heard from this one lately. Those that are proven to have
        ended pass nothing, and leave nothing out."""
        now = self._loop.now
        if now - self._share[1] >= ALIKE:
            may = {node for node, member in self.lately.items() if self.ended.get(node) != member.incarnation}
            here = sum(1 for node in may | {self._node} if node == self._node or self.here(node))
            self._share = (min(1.0, here / max(1, len(may | {self._node}))), now)
        return self._share[0]

    # ---- who has ended, and who answers

    def prove(self) -> None:
        """Who is not here may have ended."""
        for node, member in self.lately.items():
            address = parse_address(member.address)
            if address and node != self._node and not self.here(node) and self.ended.get(node) != member.incarnation:
                proven = partial(self.proven, member, address, self._loop.now)
                self._transport.ask(address, "life", None, PROOF_TIMEOUT, proven)

    def proven(self, member: Member, address: Address, asked: int, answer: Any) -> None:
        """Its answer to any question tells whether the life on the list has ended."""
        refused = answer is None and self._transport.recently_refused(address, asked)
        if isinstance(answer, str) and answer != member.incarnation or refused:
            self.ended[member.node] = member.incarnation

    def reached(self, address: Address) -> None:
        """It answered, or is proven to have ended."""
        self._reached[address] = self._loop.now

    def among_others(self) -> bool:
        """Whether half of the others answer. One that is cut off from them is taken from the list, and after a while
        its share is theirs."""
        now = self._loop.now
        others = [self._reached.get(address, -REACHED) for address in self.others()]
        return 2 * sum(1 for at in others if now - at < REACHED) >= len(others)
