"""Requests of a primary to its backups, with their form in messages.

No I/O and no clock. A message is a list: the header's three fields, and the request's own behind them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from oakvale.controlplane.views import Replica, View, unpack_replica, unpack_view
from oakvale.dissemination.table import Entry, Version, pack, unpack

HEADER_FIELDS = 3


@dataclass(slots=True, frozen=True)
class RequestHeader:
    """Who sent a request, as primary of which view, and in what order."""

    view: View
    sender: Replica
    start_number: int  # of the sender's process
    number: int  # of the request, rising within that process

    def encode(self) -> list[Any]:
        """The first fields of the message."""
        return [self.view.pack(), list(self.sender), [self.start_number, self.number]]

    @property
    def order(self) -> tuple[int, int, int]:
        """Rises from each request to the next, also over views and restarts of the primary."""
        return self.view.number, self.start_number, self.number


def decode_header(body: list[Any]) -> RequestHeader:
    """The header of any request. Raises ValueError, TypeError or IndexError if it is malformed."""
    start_number, number = body[2]
    return RequestHeader(unpack_view(body[0]), unpack_replica(body[1]), int(start_number), int(number))


@dataclass(slots=True, frozen=True)
class AppendRequest:
    """Changes to be added to the backup's state."""

    before: Version  # the newest version before these changes
    entries: list[Entry]
    large: list[Any]  # rows whose values are chunks that the backup holds

    def encode(self) -> list[Any]:
        """The fields behind the header."""
        return [list(self.before), pack(self.entries), self.large]


@dataclass(slots=True, frozen=True)
class SyncRequest:
    """A whole state, which replaces the backup's."""

    manifest: Any  # which chunks make up the state
    inline: list[bytes]  # chunks sent along

    def encode(self) -> list[Any]:
        """The fields behind the header."""
        return [self.manifest, self.inline]


@dataclass(slots=True, frozen=True)
class OfferRequest:
    """The manifest of a change whose chunks are to be sent before it."""

    manifest: Any

    def encode(self) -> list[Any]:
        """The fields behind the header."""
        return [self.manifest]


@dataclass(slots=True, frozen=True)
class ChunkRequest:
    """A chunk of a state or change."""

    compressed: bytes

    def encode(self) -> list[Any]:
        """The fields behind the header."""
        return [self.compressed]


BackupRequest = AppendRequest | SyncRequest | OfferRequest | ChunkRequest


def decode_append(body: list[Any]) -> AppendRequest:
    """Raises ValueError, TypeError or IndexError if a field is malformed, as do the others here."""
    before, entries, large = body[HEADER_FIELDS:]
    view_number, sequence = before
    return AppendRequest((int(view_number), int(sequence)), unpack(entries), large)


def decode_sync(body: list[Any]) -> SyncRequest:
    """Decodes the request for a whole state."""
    manifest, inline = body[HEADER_FIELDS:]
    return SyncRequest(manifest, [bytes(chunk) for chunk in inline])


def decode_offer(body: list[Any]) -> OfferRequest:
    """Decodes the offer of a staged change."""
    [manifest] = body[HEADER_FIELDS:]
    return OfferRequest(manifest)


def decode_chunk(body: list[Any]) -> ChunkRequest:
    """Decodes a chunk, still compressed."""
    [compressed] = body[HEADER_FIELDS:]
    return ChunkRequest(bytes(compressed))
