"""What a replica has to do once a write is on disk, or a request to a backup is answered.

These are data and no functions, so that a whole replica can be copied and compared (`oakvale/lab/modelcheck` does).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar

from oakvale.controlplane.views import Replica, View
from oakvale.dissemination.table import Version

# ---- after a write


@dataclass(slots=True, frozen=True)
class ProcessBegun:
    """The identity of this run is on disk, so the view that was stored before, if any, may be entered."""

    stored_view: View | None


@dataclass(slots=True, frozen=True)
class OwnRowsSynced:
    """This replica, as primary, holds its changes up to a version."""

    up_to: Version


@dataclass(slots=True, frozen=True)
class ViewStateStored:
    """The view manager's state with this number is on disk."""

    number: int


@dataclass(slots=True, frozen=True)
class RowsAppended:
    """Changes of the primary are on disk; it is told."""

    view: View
    sender: Replica
    ticket: Any


@dataclass(slots=True, frozen=True)
class ChunkStored:
    """A chunk of a state or change is on disk; the primary is told."""

    ticket: Any


@dataclass(slots=True, frozen=True)
class StateStored:
    """The primary's whole state is on disk; that it is complete is written next."""

    view: View
    sender: Replica
    ticket: Any


@dataclass(slots=True, frozen=True)
class StateComplete:
    """That the state is complete is on disk; the primary is told."""

    view: View
    sender: Replica
    ticket: Any


@dataclass(slots=True, frozen=True)
class NothingFollows:
    """The write deletes what is no longer needed."""


AfterWrite = (
    ProcessBegun
    | OwnRowsSynced
    | ViewStateStored
    | RowsAppended
    | ChunkStored
    | StateStored
    | StateComplete
    | NothingFollows
)

# ---- after an answer


@dataclass(slots=True, frozen=True)
class AppendSent:
    """Changes up to a version were sent to a backup."""

    kind: ClassVar[str] = "append"
    backup: Replica
    view: View
    up_to: Version


@dataclass(slots=True, frozen=True)
class SyncSent:
    """The state up to a version was sent to a backup, or its manifest."""

    kind: ClassVar[str] = "sync"
    backup: Replica
    view: View
    up_to: Version


@dataclass(slots=True, frozen=True)
class OfferSent:
    """The manifest of a staged change was sent to a backup."""

    kind: ClassVar[str] = "offer"
    backup: Replica
    view: View


@dataclass(slots=True, frozen=True)
class ChunkSent:
    """A chunk was sent to a backup."""

    kind: ClassVar[str] = "piece"
    backup: Replica
    view: View
    digest: bytes


AfterAnswer = AppendSent | SyncSent | OfferSent | ChunkSent
