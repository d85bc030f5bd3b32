"""Backends that leave, in simulated time: none is listed again by a heartbeat that was on its way."""

from __future__ import annotations

from typing import Any, cast

import orjson
import pytest

from oakvale.controlplane.replies import Reply
from oakvale.controlplane.resources import BackendsHandler
from tests.control_plane_simulation import Machine, World
from tests.simulated_processes import MS, SECOND, Loop

NAME = "i-7f3a91c2"


class Backends:
    """Calls of backends to the primary of simulated core machines."""

    def __init__(self, seed: int) -> None:
        self._handlers: dict[Machine, BackendsHandler] = {}
        self.world = World(seed, on_machine_start=self._equip)
        self.world.run(SECOND)

    def _equip(self, machine: Machine, loop: Loop) -> None:
        assert machine.core is not None
        settings = machine.world.settings(machine, False)
        self._handlers[machine] = BackendsHandler(machine.core, cast(Any, loop), settings)

    def primary(self) -> Machine:
        """The machine that serves; waits for one."""
        for _ in range(300):
            for machine in self.world.machines:
                if machine.core is not None and not machine.paused and machine.core.serving():
                    return machine
            self.world.run(100 * MS)
        raise AssertionError("no machine serves")

    def call(self, verb: str, name: str = NAME, call_number: int = 1, state: str = "ready") -> int:
        body = {"svc": "book", "addr": "10.9.0.1:80", "az": "z0", "slots": 2, "state": state, "calls": call_number}
        replies = list[Reply]()
        handler = self._handlers[self.primary()]
        getattr(handler, verb)(name, orjson.dumps(body), replies.append)
        self.world.run(500 * MS)
        [reply] = replies
        return reply.status

    def listed(self) -> list[str]:
        core = self.primary().core
        assert core is not None
        return [name for name, _ in core.replicated_state.table.items("backend/")]


@pytest.mark.parametrize("primary_changes", [False, True])
def test_late_first_heartbeat_does_not_list_a_backend_that_has_left(primary_changes: bool) -> None:
    """Guards against requests to a backend long after its Leave was acknowledged, and lost at its end (DRAIN)."""
    backends = Backends(seed=1)
    assert backends.call("leave") == 200
    if primary_changes:
        backends.world.down(backends.primary(), 5 * SECOND)
        backends.world.run(20 * SECOND)
    assert backends.call("heartbeat") == 200 and backends.listed() == []
    assert backends.call("leave") == 200 and backends.call("heartbeat", call_number=2) == 200
    assert backends.listed() == []


def test_a_new_life_has_an_id_of_its_own_and_is_listed() -> None:
    backends = Backends(seed=2)
    assert backends.call("leave") == 200
    assert backends.call("heartbeat", name="i-next") == 200 and backends.listed() == ["i-next"]
    assert backends.call("leave", name="i-next") == 200 and backends.listed() == []


def test_leave_of_an_impossible_id_stores_nothing() -> None:
    backends = Backends(seed=3)
    core = backends.primary().core
    assert core is not None
    assert backends.call("leave", name="i 1") == 200
    assert not list(core.replicated_state.table.items("left/"))
