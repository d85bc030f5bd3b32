"""The listed gateways as a counter sees them: present, unreachable, or proven to have ended.

A counter stamps its answers, and gateways echo the latest stamp. A gateway is present for `PRESENT_US` from the time of
its stamp. One that is not present may be using its local share of the quota, unless it is proven to have ended.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from oakvale.base.address import Address, parse_address
from oakvale.base.loop import Loop
from oakvale.dissemination.tree import Member, Members
from oakvale.transport.links import Transport

PRESENT_US = 900_000  # from the stamp that a gateway echoed
ABSENT_US = PRESENT_US + 100_000  # without an answer for this long, a gateway knows that it is not present
MEMBER_RETENTION_US = 10_000_000  # off the list, a gateway may use its share so long, unless proven to have ended
SHARE_CACHE_US = 10_000  # how long the computed share is reused
REACHABLE_US = 2_000_000  # answers of others this recent show that not this gateway is the one cut off
PROBE_TIMEOUT_US = 150_000  # for a gateway to report its incarnation


class Presence:
    """One gateway's view of the other gateways."""

    def __init__(
        self, loop: Loop, transport: Transport, node: str, incarnation: str, members: Callable[[], Members]
    ) -> None:
        self._loop, self._transport, self._node, self._incarnation, self._members = (
            loop,
            transport,
            node,
            incarnation,
            members,
        )
        self.last_stamps: dict[str, int] = {}  # gateway -> the latest stamp that it echoed
        self.recent_members: dict[str, Member] = {}  # on the list, or recently removed from it
        self.proven_ended: dict[str, str] = {}  # gateway -> its incarnation that is proven to have ended
        self._listed = Members()  # the list last processed, and when that was
        self._processed_at = loop.now
        self._left: dict[str, int] = {}  # gateway off the list -> when it was last seen there
        self._addresses: tuple[Members, list[Address]] = (self._listed, [])
        self._share = (1.0, -SHARE_CACHE_US)  # share of gateways that are present, and when it was computed
        self._contacted_at: dict[Address, int] = {}  # gateway -> when it last answered, or was proven to have ended

    # ---- the list

    def remember(self) -> None:
        """Processes changes of the list; removed gateways are kept for `MEMBER_RETENTION_US`."""
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
                    self.recent_members[node] = member
                    self._left.pop(node, None)
                elif node in known:
                    self._left[node] = self._processed_at
            self._listed = listed
        self._processed_at = now
        for node in [node for node, at in self._left.items() if now - at > MEMBER_RETENTION_US]:
            del self._left[node], self.recent_members[node]

    def others(self) -> list[Address]:
        """Addresses of the other gateways on the list."""
        listed = self._members()
        if self._addresses[0] is not listed:
            found = [parse_address(member.address) for member in listed.values() if member.node != self._node]
            self._addresses = listed, [address for address in found if address is not None]
        return self._addresses[1]

    # ---- presence of gateways at this counter

    def stamp(self) -> list[Any]:
        """Sent with each answer, to be echoed by the gateway that receives it."""
        return [self._incarnation, self._loop.now]

    def record_stamp(self, node: str, stamp: Any) -> None:
        """Processes the stamp that a gateway echoed: the time of the latest answer that it received from here."""
        if isinstance(stamp, list) and stamp[0] == self._incarnation:
            self.last_stamps[node] = max(self.last_stamps.get(node, 0), int(stamp[1]))

    def import_ages(self, ages: dict[str, int], asked: int) -> None:
        """Takes over the stamps of the former counter; the ages refer to when it was asked for them."""
        for node, age in ages.items():
            self.last_stamps[node] = max(self.last_stamps.get(node, 0), asked - age)
        self._share = (1.0, -SHARE_CACHE_US)

    def stamp_ages(self) -> dict[str, int]:
        """Present gateways and the ages of their stamps."""
        now = self._loop.now
        return {node: now - at for node, at in self.last_stamps.items() if now - at < PRESENT_US}

    def is_present(self, node: str) -> bool:
        return self._loop.now - self.last_stamps.get(node, -PRESENT_US) < PRESENT_US

    def present_share(self) -> float:
        """The share of gateways that are present. Those proven to have ended pass no requests, and are left out."""
        now = self._loop.now
        if now - self._share[1] >= SHARE_CACHE_US:
            may_pass = {
                node
                for node, member in self.recent_members.items()
                if self.proven_ended.get(node) != member.incarnation
            }
            present = sum(1 for node in may_pass | {self._node} if node == self._node or self.is_present(node))
            self._share = (min(1.0, present / max(1, len(may_pass | {self._node}))), now)
        return self._share[0]

    # ---- ended and reachable gateways

    def probe_absent(self) -> None:
        """Asks the gateways that are not present for their incarnation, as they may have ended."""
        for node, member in self.recent_members.items():
            address = parse_address(member.address)
            if (
                address
                and node != self._node
                and not self.is_present(node)
                and self.proven_ended.get(node) != member.incarnation
            ):
                check = partial(self.check_incarnation, member, address, self._loop.now)
                self._transport.ask(address, "life", None, PROBE_TIMEOUT_US, check)

    def check_incarnation(self, member: Member, address: Address, asked: int, answer: Any) -> None:
        """Records whether the listed incarnation has ended, by another incarnation's answer or a refused connection."""
        refused = answer is None and self._transport.recently_refused(address, asked)
        if isinstance(answer, str) and answer != member.incarnation or refused:
            self.proven_ended[member.node] = member.incarnation

    def record_contact(self, address: Address) -> None:
        """The gateway answered, or is proven to have ended."""
        self._contacted_at[address] = self._loop.now

    def reaches_half(self) -> bool:
        """Whether at least half of the others answer. A gateway that is isolated from them is removed from the list,
        and its share of the quota passes to them after a while."""
        now = self._loop.now
        others = [self._contacted_at.get(address, -REACHABLE_US) for address in self.others()]
        return 2 * sum(1 for at in others if now - at < REACHABLE_US) >= len(others)
