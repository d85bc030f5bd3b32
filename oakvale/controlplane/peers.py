"""Addresses of other core machines, as one of them knows them: whom it calls, whom it names to others, what it forgets.

No I/O and no clock; times are microseconds of a steady clock. Only who is heard is named to others: what was merely
heard of would go round for ever after it is gone.
"""

from __future__ import annotations

from collections.abc import Iterable

ADVERTISE_US = 3_000_000  # since it was heard, so long it is named to others
FORGET_AFTER_US = 10_000_000  # since it was heard or named, so long it is called


class PeerAddresses:
    def __init__(self, seeds: Iterable[str]) -> None:
        self.seeds = set(seeds)  # as the newest settings file has them
        self._last_heartbeat: dict[str, int] = {}
        self._last_mention: dict[str, int] = {}

    def heartbeat_received(self, now: int, address: str, named: Iterable[str]) -> None:
        """A machine speaks, and names others."""
        self._last_heartbeat[address] = now
        self._last_mention.update(dict.fromkeys(named, now))

    def remove(self, address: str) -> None:
        """It said so; it may come back."""
        self._last_heartbeat.pop(address, None)
        self._last_mention.pop(address, None)

    def advertised(self, now: int) -> list[str]:
        return sorted(address for address, at in self._last_heartbeat.items() if now - at < ADVERTISE_US)

    def contact_list(self, now: int, members: set[str], in_touch: bool) -> set[str]:
        """`members` are those of the view that is known; `in_touch` is true while most of them are heard. Who is not in
        touch forgets nobody, and calls the seeds: they may be all that is left of the way back."""
        if in_touch:
            self._last_heartbeat = {
                address: at for address, at in self._last_heartbeat.items() if now - at < FORGET_AFTER_US
            }
            self._last_mention = {
                address: at for address, at in self._last_mention.items() if now - at < FORGET_AFTER_US
            }
        return members | {*self._last_heartbeat, *self._last_mention} | (set() if in_touch else self.seeds)
