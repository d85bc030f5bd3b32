"""Entries that only core machines hold, such as those of coordination, must not burden gateways or other duties."""

from __future__ import annotations

from typing import Any, cast

import pytest

from oakvale.controlplane.core import Core
from oakvale.coordination.entries import PREFIX
from oakvale.dissemination.table import CORE_ONLY_PREFIXES, NO_VERSION, Entry, Table, unpack
from tests.control_plane_simulation import World
from tests.simulated_processes import MS, SECOND


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
