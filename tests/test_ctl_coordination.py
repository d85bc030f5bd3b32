"""Locks, numbers, keys and watches over HTTP, on core machines with real sockets and state files."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.core_machines import CoreMachines, Response

HOLD = "3000ms"


@pytest.fixture
def core(tmp_path: Path) -> Iterator[CoreMachines]:
    machines = CoreMachines(tmp_path)
    try:
        machines.wait_until_serving()
        yield machines
    finally:
        machines.close()


def begin(core: CoreMachines, lock: str, owner: str, hold: str = HOLD) -> Response:
    return core.call("POST", f"/oakvale/Locks.Begin/{lock}", {"owner": owner, "hold": hold})


def put(core: CoreMachines, key: str, value: str, **fields: Any) -> Response:
    return core.call("POST", f"/oakvale/Cells.Replace/{key}", {"val": value, **fields})


def test_accepted_coordination_calls_are_not_answered_404(core: CoreMachines) -> None:
    """Each verb with its example from the description of the protocol."""
    taken = begin(core, "l1f", "a3.7")
    assert taken.status == 200
    lease = {"owner": "a3.7", "fence": taken.fields["fence"]}
    assert core.call("POST", "/oakvale/Locks.Heartbeat/l1f", lease | {"hold": HOLD}).status == 200
    assert core.call("POST", "/oakvale/Locks.Finish/l1f", lease).status == 200
    assert isinstance(core.call("POST", "/oakvale/numbers/n2", {}).fields["val"], int)
    written = put(core, "g1.2d", "5c0e7a21d94b36f8", topic=0)
    assert (written.status, written.fields) == (200, {"rev": 1})
    read = core.call("GET", "/oakvale/Cells.Read/g1.2d")
    assert (read.status, read.fields) == (200, {"val": "5c0e7a21d94b36f8", "rev": 1})
    assert core.call("GET", "/oakvale/watch/g1.?after=0&wait-ms=2000").fields["rev"] == 1
