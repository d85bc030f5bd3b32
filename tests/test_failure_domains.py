"""Failure domains: copies and witnesses are spread so that any one zone, or region, may be lost."""

from __future__ import annotations

from collections import Counter

import pytest

from oakvale.config.settings import Bounds
from oakvale.controlplane.views import Replica
from tests.control_plane_simulation import World
from tests.simulated_processes import MS, SECOND
from tests.test_losses import busy, core

SYNC_TIME = Bounds().sync_time
ZONES = ("a", "b", "c")
REGIONS = ("n-1", "n-2", "s-1", "s-2", "w-1", "w-2")


def replicas_per_location(world: World, replicas: tuple[Replica, ...]) -> Counter[str]:
    """How many of the replicas are in each zone, or in each region if one of these may be lost."""
    zones = {f"{m.address[0]}:{m.address[1]}": m.zone for m in world.machines}
    return Counter(zones[s[0]].partition("-")[0] if world.tolerate_regions else zones[s[0]] for s in replicas)


def survives_any_location(world: World) -> bool:
    """Whether any one location may be lost now, leaving a copy and a majority of the witnesses."""
    found = world.serving()
    view = found.core.view() if found is not None and found.core is not None else None
    if view is None or not world.is_fully_replicated():
        return False
    return (
        max(replicas_per_location(world, view.copies).values()) < len(view.copies)
        and max(replicas_per_location(world, view.witnesses).values()) <= len(view.witnesses) - view.majority
    )


def lose(world: World, location: str, span: int) -> None:
    for machine in world.machines:
        if machine.zone.startswith(location):
            world.down(machine, span)
    busy(world, span)


@pytest.mark.parametrize("span", [2 * SECOND, 9 * SECOND, 20 * SECOND])
@pytest.mark.parametrize("machines", [5, 6, 9])
def test_one_zone_after_the_other_is_lost(machines: int, span: int) -> None:
    """Guards against two of three witnesses staying in one zone after another zone was away for long."""
    world = World(1, machines, 1, 3, machine_zones=ZONES, tolerate_zones=1)
    busy(world, 3 * SECOND)
    for turn in range(6):
        acknowledged = world.acknowledged
        lose(world, ZONES[turn % 3], span)
        assert world.serving() is not None and world.acknowledged > acknowledged + span // (500 * MS), turn
        busy(world, SYNC_TIME)
        assert survives_any_location(world), turn


@pytest.mark.parametrize("order", [("a", "a", "a", "b", "c"), ("a", "a", "b", "b", "c", "c"), ("a", "b", "b", "c")])
def test_replicas_leave_the_zone_that_all_seeds_share(order: tuple[str, ...]) -> None:
    """A seed knows only the addresses of the others, not their zones."""
    world = World(2, len(order), 1, 3, machine_zones=order, tolerate_zones=1)
    busy(world, 3 * SECOND)
    assert survives_any_location(world)
    lose(world, "a", 5 * SECOND)
    assert world.serving() is not None


def test_one_region_after_the_other_is_lost() -> None:
    """Two zones of one region must not count as separate; `rgns` of the settings says which region a zone is in."""
    world = World(3, 6, 1, 3, machine_zones=REGIONS, tolerate_regions=1)
    busy(world, 3 * SECOND)
    assert survives_any_location(world)
    for turn, region in enumerate(("s", "n", "w", "n", "s")):
        acknowledged = world.acknowledged
        lose(world, region, 9 * SECOND)
        assert world.acknowledged > acknowledged, turn
        busy(world, SYNC_TIME)
        assert survives_any_location(world), turn


def test_no_other_replica_moves_until_a_new_copy_is_complete() -> None:
    """Replacing the other complete copy as a witness would take its vote, so the lead could not return to it."""
    world = World(5, 5, 1, 3, machine_zones=("a", "a", "b", "c", "c"), tolerate_zones=1)
    handlers = core(world.machines[2]).transport.handlers  # the only witness in another zone, which will get the copy
    handle_sync, handlers["sync"] = handlers["sync"], lambda conn, body, answer: None
    busy(world, 5 * SECOND)
    assert set(world.views) == {1, 2}
    handlers["sync"] = handle_sync
    busy(world, 6 * SECOND)
    assert survives_any_location(world) and len(world.views) > 2


def test_without_tolerated_zones_no_replica_moves() -> None:
    """Every view change stops changes for a moment, so replicas are moved only if a location may be lost."""
    world = World(4, 5, 1, 3, machine_zones=("a", "a", "a", "b", "c"))
    busy(world, 8 * SECOND)
    assert list(world.views) == [1]
