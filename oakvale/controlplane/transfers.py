"""What a primary is sending to a backup, and the changes that wait for it. No I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from oakvale.controlplane.chunks import ChunkedState
from oakvale.controlplane.replicated_state import Callback
from oakvale.controlplane.views import Replica
from oakvale.dissemination.table import Version

BASE_TIMEOUT_US = 1_000_000  # for a backup to sync a change
TIMEOUT_PER_BYTE_US = 16  # allows for links of 0.5 Mbit/s


def transfer_timeout_us(size: int) -> int:
    """How long a backup may take to receive and store `size` bytes, in microseconds."""
    return 2 * BASE_TIMEOUT_US + TIMEOUT_PER_BYTE_US * size


@dataclass(slots=True)
class Transfer:
    """What is being sent to a backup: the whole state, or only the chunks of a staged change."""

    chunked: ChunkedState
    up_to: Version
    is_full_state: bool = True
    held: set[bytes] = field(default_factory=set)  # digests of chunks that the backup holds
    unsent: list[bytes] = field(default_factory=list)
    in_flight: set[bytes] = field(default_factory=set)  # sent, and not acknowledged yet


@dataclass(slots=True)
class StagedChange:
    """A change too large for one message. It is proposed once the backups hold its chunks."""

    changes: dict[str, Any]
    on_done: Callback
    waiting_for: set[Replica] = field(default_factory=set)
