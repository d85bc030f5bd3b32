"""Replicas, views and the state that a replica stores about them, with their form in messages and on disk.

No I/O and no clock. How one view follows another is decided in `view_change`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

Replica = tuple[str, str]  # its address ("10.1.0.33:7340"), and its incarnation
Ballot = tuple[int, Replica]

BOOTSTRAP_INCARNATION = "founder"  # of the replicas that a new system starts with
NO_BALLOT: Ballot = (0, ("", ""))


@dataclass(slots=True, frozen=True)
class View:
    """A numbered configuration of the control plane: its primary, backups and voting witnesses."""

    number: int
    primary: Replica
    backups: tuple[Replica, ...]
    witnesses: tuple[Replica, ...]

    @property
    def copies(self) -> tuple[Replica, ...]:
        """The replicas that hold the whole state, primary first."""
        return (self.primary, *self.backups)

    @property
    def majority(self) -> int:
        """How many witnesses have to agree on the successor."""
        return len(self.witnesses) // 2 + 1

    def pack(self) -> list[Any]:
        """Encodes the view for messages and for storage."""
        return [self.number, list(self.primary), [list(s) for s in self.backups], [list(s) for s in self.witnesses]]


def unpack_view(data: Any) -> View:
    """Decodes what `View.pack` encoded."""
    number, primary, backups, witnesses = data
    return View(
        int(number), unpack_replica(primary), tuple(map(unpack_replica, backups)), tuple(map(unpack_replica, witnesses))
    )


def unpack_replica(data: Any) -> Replica:
    """Decodes a replica from its address and incarnation."""
    address, incarnation = data
    return str(address), str(incarnation)


def bootstrap_view(seeds: Iterable[str], copy_count: int) -> View:
    """The first view, which every seed computes identically from the list of seeds."""
    replicas = tuple((address, BOOTSTRAP_INCARNATION) for address in sorted(set(seeds)))
    return View(1, replicas[0], replicas[1:copy_count], replicas)


def bootstrap_state(view: View, self_id: Replica) -> DurableState:
    """The state of a seed that has not stored anything newer. Copies of the first view are complete, as it is empty."""
    return DurableState(view, complete=view.number if self_id in view.copies else 0)


@dataclass(slots=True, frozen=True)
class DurableState:
    """What a replica stores on disk, synced before any message that depends on it is sent."""

    view: View | None = None
    promised: Ballot = NO_BALLOT  # the highest ballot promised for the successor of `view`
    accepted: tuple[Ballot, View] | None = None
    complete: int = 0  # the newest view in which this replica holds every acknowledged change
    void: int = 0  # the newest view in which it has refused to become complete

    def pack(self) -> list[Any]:
        """Encodes the state for storage."""
        accepted = pack_accepted(self.accepted)
        return [
            self.view.pack() if self.view else None,
            [self.promised[0], list(self.promised[1])],
            accepted,
            self.complete,
            self.void,
        ]


def unpack_durable_state(data: Any) -> DurableState:
    """Decodes what `DurableState.pack` encoded."""
    view, promised, accepted, complete, void = data
    return DurableState(
        unpack_view(view) if view else None,
        (int(promised[0]), unpack_replica(promised[1])),
        unpack_accepted(accepted),
        int(complete),
        int(void),
    )


def pack_accepted(accepted: tuple[Ballot, View] | None) -> list[Any] | None:
    """Encodes an accepted ballot and its view."""
    return [[accepted[0][0], list(accepted[0][1])], accepted[1].pack()] if accepted else None


def unpack_accepted(data: Any) -> tuple[Ballot, View] | None:
    """Decodes what `pack_accepted` encoded."""
    return ((int(data[0][0]), unpack_replica(data[0][1])), unpack_view(data[1])) if data else None
