"""Addresses of other core machines as one machine knows them: which it contacts, advertises to others, and forgets.

This module does no I/O and reads no clock; times are microseconds of a monotonic clock. Only peers that send heartbeats
are advertised. If mere mentions were passed on, the address of a machine that is gone would circulate forever.
"""

from __future__ import annotations

from collections.abc import Iterable

ADVERTISE_US = 3_000_000  # after its last heartbeat an address is advertised this long
FORGET_AFTER_US = 10_000_000  # after its last heartbeat or mention an address is contacted this long


class PeerAddresses:
    """The seeds, and the addresses learned from heartbeats."""

    def __init__(self, seeds: Iterable[str]) -> None:
        self.seeds = set(seeds)  # from the newest settings file
        self._last_heartbeat: dict[str, int] = {}
        self._last_mention: dict[str, int] = {}

    def heartbeat_received(self, now: int, address: str, mentioned: Iterable[str]) -> None:
        """Handles a heartbeat of a machine, which lists the addresses that it advertises."""
        self._last_heartbeat[address] = now
        self._last_mention.update(dict.fromkeys(mentioned, now))

    def remove(self, address: str) -> None:
        """The machine has announced that it stops; it may come back."""
        self._last_heartbeat.pop(address, None)
        self._last_mention.pop(address, None)

    def advertised(self, now: int) -> list[str]:
        """Addresses to list in heartbeats."""
        return sorted(address for address, seen_at in self._last_heartbeat.items() if now - seen_at < ADVERTISE_US)

    def contact_list(self, now: int, members: set[str], majority_reachable: bool) -> set[str]:
        """Addresses to send heartbeats to. `members` are those of the known view; `majority_reachable` says whether
        most of them send heartbeats. Without a majority no address is forgotten and the seeds are contacted too, as
        they may be the only way back."""
        if majority_reachable:
            self._last_heartbeat = {
                address: seen_at for address, seen_at in self._last_heartbeat.items() if now - seen_at < FORGET_AFTER_US
            }
            self._last_mention = {
                address: seen_at for address, seen_at in self._last_mention.items() if now - seen_at < FORGET_AFTER_US
            }
        return members | {*self._last_heartbeat, *self._last_mention} | (set() if majority_reachable else self.seeds)
