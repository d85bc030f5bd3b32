"""Entries that only core machines hold, such as those of coordination, must not burden gateways or other duties."""

from __future__ import annotations

from typing import Any, cast

import orjson
import pytest

from oakvale.config.chains import ChainSettings
from oakvale.controlplane.core import Core
from oakvale.controlplane.resources import BackendsHandler
from oakvale.coordination.entries import PREFIX
from oakvale.dissemination.table import CORE_ONLY_PREFIXES, NO_VERSION, Entry, Table, unpack
from tests.control_plane_simulation import World
from tests.simulated_processes import MS, SECOND, Loop
from tests.test_failover import planning


class RecordingSubscriber:
    """A subscription that records the keys in each message."""

    def __init__(self) -> None:
        self.messages: list[list[str]] = []
        self.on_close: list[Any] = []

    def send(self, kind: str, number: int, body: Any) -> None:
        self.messages.append([key for key, _, _ in unpack(body[1])])

    def sending_long_frame(self) -> bool:
        return False

    def is_congested(self) -> bool:
        return False


def serving_core(world: World) -> Core:
    world.run(2 * SECOND)
    machine = world.serving()
    assert machine is not None and machine.core is not None
    return machine.core


def test_coordination_entries_are_core_only() -> None:
    assert PREFIX in CORE_ONLY_PREFIXES


def test_a_change_of_core_only_entries_sends_nothing_to_subscribers() -> None:
    """An empty message for each of dozens of changes a second would fill the gateways' links."""
    world = World(1)
    core, subscriber = serving_core(world), RecordingSubscriber()
    core.publisher.subscribe(cast(Any, subscriber), (1, 1), (1, 1))
    subscriber.messages.clear()
    done = list[bool]()
    for number in range(50):
        core.change({f"{PREFIX}lock/a": [number, "b", 1]}, done.append)
        world.run(10 * MS)
    world.run(100 * MS)
    assert done == [True] * 50
    assert len(subscriber.messages) <= 3 and not any(subscriber.messages)  # heartbeats in 0.6 s
    core.change({"a": 1, f"{PREFIX}lock/a": [51, "b", 1]}, done.append)
    world.run(100 * MS)
    assert ["a"] in subscriber.messages


def test_a_gateway_is_not_behind_because_of_core_only_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    """The horizon does not pass the newest entry that gateways had a retention period ago: a gateway that has it all
    is sent what is newer, not the whole table."""
    monkeypatch.setattr("oakvale.dissemination.table.TOMBSTONES_KEPT", 3)
    world = World(3, compaction_intervals=(200 * MS, 600 * MS))
    core, gateway = serving_core(world), Table()

    def settle(changes: dict[str, Any], span: int = 100 * MS) -> None:
        core.change(changes, lambda done: None)
        world.run(span)

    settle({"a": 1})
    gateway.put(core.replicated_state.table.since(NO_VERSION))
    settle({f"{PREFIX}lock/a": [1, "b", 1]}, SECOND)
    names = [f"b{number}" for number in range(9)]
    settle(dict.fromkeys(names, 1))
    settle(dict.fromkeys(names), 300 * MS)
    horizon = core.replicated_state.table.horizon
    assert NO_VERSION < horizon <= gateway.highest_version


def test_a_heartbeat_waits_for_no_unrelated_change() -> None:
    """With a coordination change always pending, each heartbeat would take as long as the slowest disk."""
    world = World(4)
    core = serving_core(world)
    machine = world.serving()
    assert machine is not None and machine.life is not None
    handler = BackendsHandler(core, cast(Any, Loop(world, machine.life)), world.settings(machine, False))
    replies = list[int]()

    def heartbeat(calls: int, state: str = "ready") -> None:
        body = {"svc": "s", "addr": "10.9.0.1:80", "az": "z0", "gen": "1", "slots": 2, "state": state, "calls": calls}
        handler.heartbeat("b1", orjson.dumps(body), lambda reply: replies.append(reply.status))

    heartbeat(1)
    world.run(200 * MS)
    machine.disk_hangs = world.now + 400 * MS
    core.change({f"{PREFIX}lock/a": [1, "b", 1]}, lambda done: None)
    heartbeat(2)
    assert replies == [200, 200]
    heartbeat(3, "drain")
    heartbeat(4, "drain")
    assert replies == [200, 200], "this entry is not in force yet"
    world.run(600 * MS)
    assert replies == [200] * 4


def test_compaction_goes_on_while_a_core_only_change_is_pending(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World(5, compaction_intervals=(200 * MS, 600 * MS))
    core = serving_core(world)
    core.change({"left/b": 1}, lambda done: None)
    world.run(100 * MS)
    monkeypatch.setattr(core.replicated_state, "pending_keys", lambda: [f"{PREFIX}lock/a"])
    monkeypatch.setattr(core.replicated_state, "has_pending", lambda: True)
    world.run(2 * SECOND)
    assert core.replicated_state.table.get("left/b") is None


def test_failover_planning_goes_on_while_a_core_only_change_is_pending() -> None:
    core, _ = planning(ChainSettings())
    core.replicated_state.propose({f"{PREFIX}lock/a": [1, "b", 1]}, {("away", "1")}, lambda done: None)
    core.run(6)
    assert any("chains" in changes for changes in core.changes)


def test_a_table_keeps_core_only_entries_apart() -> None:
    """What gateways are sent is independent of them; all else includes them."""
    table, without = Table(), Table()
    shared: list[Entry] = [("a", (1, 1), 1), ("gate/b", (1, 3), 2)]
    core_only: list[Entry] = [(f"{PREFIX}lock/a", (1, 2), 3), ("taken/1", (1, 4), 4)]
    table.put([*shared, *core_only])
    without.put(shared)
    assert table.digests() == without.digests() and table.differing_entries([]) == shared
    assert table.highest_version == (1, 4) and table.highest_gateway_version == (1, 3)
    assert dict(table.items("")) == {"a": 1, "gate/b": 2, f"{PREFIX}lock/a": 3, "taken/1": 4}
    assert dict(table.items("coord")) == {f"{PREFIX[5:]}lock/a": 3} and dict(table.items(PREFIX)) == {"lock/a": 3}
    assert table.since((1, 1)) == sorted([*shared[1:], *core_only], key=lambda entry: entry[1])
    table.replace_all([("a", (2, 1), 5)], NO_VERSION)
    assert table.since(NO_VERSION) == [("a", (2, 1), 5)] and table.get(f"{PREFIX}lock/a") is None
