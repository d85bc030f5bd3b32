"""Addresses of other core machines, as one of them knows them: whom it calls, whom it names to others, what it forgets.

No I/O and no clock; times are microseconds of a steady clock. Only who is heard is named to others: what was merely
heard of would go round for ever after it is gone.
"""

from __future__ import annotations

from collections.abc import Iterable

NAMED = 3_000_000  # since it was heard, so long it is named to others
KEPT = 10_000_000  # since it was heard or named, so long it is called


class Peers:
    def __init__(self, seeds: Iterable[str]) -> None:
        self.seeds = set(seeds)  # as the newest settings file has them
        self._heard: dict[str, int] = {}
        self._named: dict[str, int] = {}

    def heard(self, now: int, address: str, named: Iterable[str]) -> None:
        """A machine speaks, and names others."""
        self._heard[address] = now
        self._named.update(dict.fromkeys(named, now))

    def gone(self, address: str) -> None:
        """It said so; it may come back."""
        self._heard.pop(address, None)
        self._named.pop(address, None)

    def lively(self, now: int) -> list[str]:
        return sorted(address for address, at in self._heard.items() if now - at < NAMED)

    def called(self, now: int, members: set[str], in_touch: bool) -> set[str]:
        """`members` are those of the view that is known; `in_touch` is true while most of them are heard. Who is not in
        touch forgets nobody, and calls the seeds: they may be all that is left of the way back."""
        if in_touch:
            self._heard = {address: at for address, at in self._heard.items() if now - at < KEPT}
            self._named = {address: at for address, at in self._named.items() if now - at < KEPT}
        return members | {*self._heard, *self._named} | (set() if in_touch else self.seeds)
