"""How one incarnation of a gateway follows the moves of drains: which backends it avoids for which tenant, and whether
the gateway itself is being drained.

No I/O and no clock. A move is followed only if it arrives before it expires (`until`): a move that was delayed until
the contract hours closed has no effect, and the primary issues it again when they open. The local clock can only hold
a move back; a step of it stays within the margin by which the hours are shortened. Moves in the first state update
are always followed, since this incarnation has not yet sent any request to those nodes.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

UNSETTLED_STATES = ("leaving", "returning")
Record = dict[str, Any]
AvoidedBackends = Mapping[str, frozenset[str]]  # tenant -> backends


class MoveFollower:
    """The moves that this incarnation of a gateway knows and follows."""

    def __init__(self, node: str, incarnation: str) -> None:
        self._node, self._incarnation = node, incarnation
        self._known: dict[str, Record] = {}
        self.followed: set[str] = set()  # keys of the moves away from a node that are in effect here
        self.avoided_backends: AvoidedBackends = {}
        self.gateway_draining = False

    def update(self, entries: Iterable[tuple[str, Record]], wall: int, first_update: bool = False) -> set[str]:
        """Takes all current moves; returns the keys of the moves that this gateway begins to follow."""
        current = {key: move for key, move in entries if self._concerns(move)}
        started = set()
        for key, move in current.items():
            outward = move["way"] == "out"
            if outward == (key in self.followed) or not (first_update or not move["until"] or wall <= move["until"]):
                continue
            if outward:
                self.followed.add(key)
                started.add(key)
            else:
                self.followed.discard(key)
        self.followed &= set(current)
        self._known = current
        self.avoided_backends, self.gateway_draining = self._effects()
        return started

    def _concerns(self, move: Record) -> bool:
        return move["kind"] == "backend" or move["node"] == self._node and self._incarnation in move["gates"]

    def _effects(self) -> tuple[AvoidedBackends, bool]:
        avoided: dict[str, set[str]] = {}
        for key in self.followed:
            move = self._known[key]
            if move["kind"] == "backend":
                avoided.setdefault(move["tenant"], set()).add(move["node"])
        return (
            {tenant: frozenset(names) for tenant, names in avoided.items()},
            any(self._known[key]["kind"] == "gateway" for key in self.followed),
        )

    def pending_moves(self) -> dict[str, Record]:
        """Moves for which the primary waits for this gateway's report."""
        return {
            key: move
            for key, move in self._known.items()
            if move["state"] in UNSETTLED_STATES or (move["way"] == "out") != (key in self.followed)
        }


def effective_exclusions(ready: Mapping[str, bool], excluded: frozenset[str]) -> frozenset[str]:
    """The backends of a service that are excluded for a tenant, or none if no other backend is ready: the tenant is
    then served where it was. `ready`: name of each backend -> whether it is ready."""
    return excluded if any(is_ready for name, is_ready in ready.items() if name not in excluded) else frozenset()
