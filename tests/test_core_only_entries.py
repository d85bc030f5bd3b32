"""Entries that only core machines hold, such as those of coordination, must not burden gateways or other duties."""

from __future__ import annotations

from typing import Any, cast

from oakvale.controlplane.core import Core
from oakvale.coordination.entries import PREFIX
from oakvale.dissemination.table import CORE_ONLY_PREFIXES, unpack
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
