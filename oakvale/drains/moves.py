"""What one life of a gateway does about the moves that the news tell: whose requests keep off which backends, and
whether the gateway itself is being left.

No I/O and no clock. A move is followed when it is heard while it is good (`until`), so that one that a cut held up
until the hours had closed moves nobody; the primary makes it once more when they open. The time of day here only ever
holds a move back, and hours are shorter by a margin that a step of this clock keeps within. What a life finds moved at
its start it follows in any case: it had sent nothing there.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

UNSETTLED = ("leaving", "returning")
Record = dict[str, Any]
AvoidedBackends = Mapping[str, frozenset[str]]  # tenant -> backends


class MoveFollower:
    def __init__(self, node: str, life: str) -> None:
        self._node, self._life = node, life
        self._known: dict[str, Record] = {}
        self.followed: set[str] = set()  # moves that this life follows
        self.avoided_backends: AvoidedBackends = {}
        self.gateway_draining = False

    def update(self, entries: Iterable[tuple[str, Record]], wall: int, born: bool = False) -> set[str]:
        """All moves as the news have them now; gives those that this life begins to follow. `born`: the first news."""
        fresh = {key: move for key, move in entries if self._concerns(move)}
        began = set()
        for key, move in fresh.items():
            out = move["way"] == "out"
            if out == (key in self.followed) or not (born or not move["until"] or wall <= move["until"]):
                continue
            if out:
                self.followed.add(key)
                began.add(key)
            else:
                self.followed.discard(key)
        self.followed &= set(fresh)
        self._known = fresh
        self.avoided_backends, self.gateway_draining = self._followed()
        return began

    def _concerns(self, move: Record) -> bool:
        return move["kind"] == "backend" or move["node"] == self._node and self._life in move["gates"]

    def _followed(self) -> tuple[AvoidedBackends, bool]:
        found: dict[str, set[str]] = {}
        for key in self.followed:
            move = self._known[key]
            if move["kind"] == "backend":
                found.setdefault(move["tenant"], set()).add(move["node"])
        return (
            {tenant: frozenset(names) for tenant, names in found.items()},
            any(self._known[key]["kind"] == "gateway" for key in self.followed),
        )

    def pending_moves(self) -> dict[str, Record]:
        """Moves of which the primary waits for this gateway's word."""
        return {
            key: move
            for key, move in self._known.items()
            if move["state"] in UNSETTLED or (move["way"] == "out") != (key in self.followed)
        }


def effective_exclusions(ready: Mapping[str, bool], without: frozenset[str]) -> frozenset[str]:
    """Which backends of a service (name -> ready) a tenant keeps off that was moved off some: none, where no other is
    ready. A request that nobody else can serve is served where its tenant was."""
    return without if any(up for name, up in ready.items() if name not in without) else frozenset()
