"""The identity of a replica and the state with which one run of its process begins."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import cbor2

from oakvale.controlplane.views import (
    BOOTSTRAP_INCARNATION,
    DurableState,
    Replica,
    View,
    bootstrap_state,
    unpack_durable_state,
    unpack_view,
)


@dataclass(slots=True, frozen=True)
class StartState:
    """The identity and durable state of a replica for one run of its process, as loaded from disk."""

    self_id: Replica
    start_number: int  # counts process starts: messages of an earlier run may still arrive
    durable: DurableState
    stored: bytes  # to be synced as the fact "self" before anything else


def load_start_state(
    address: str, stored: bytes | None, state: bytes | None, bootstrap: View | None, new_incarnation: Callable[[], str]
) -> StartState:
    """Restores a replica from the stored facts "self" and "state". `bootstrap` is the initial view if the replica is a
    seed of a new system that starts for the first time; `new_incarnation` returns one that was never used."""
    packed_bootstrap: list[Any] | None = None
    if stored is not None:
        incarnation, earlier_starts, packed_bootstrap = cbor2.loads(stored)
    elif bootstrap is not None:
        incarnation, earlier_starts, packed_bootstrap = BOOTSTRAP_INCARNATION, 0, bootstrap.pack()
    else:
        incarnation, earlier_starts = new_incarnation(), 0
    self_id = (address, incarnation)
    durable = bootstrap_state(unpack_view(packed_bootstrap), self_id) if packed_bootstrap else DurableState()
    if state:
        durable = unpack_durable_state(cbor2.loads(state))
    return StartState(
        self_id, earlier_starts + 1, durable, cbor2.dumps([incarnation, earlier_starts + 1, packed_bootstrap])
    )
