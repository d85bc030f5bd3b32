"""Failure domains: where a zone or a region may be lost, copies and witnesses come to stand so that it may be any."""

from __future__ import annotations

from collections import Counter

import pytest

from oakvale.config.settings import Bounds
from oakvale.controlplane.view_change import Replica
from tests.control_plane_simulation import World
from tests.simulated_processes import MS, SECOND
from tests.test_losses import busy, core

SYNC_TIME = Bounds().sync_time
ZONES = ("a", "b", "c")
REGIONS = ("n-1", "n-2", "s-1", "s-2", "w-1", "w-2")


def places(world: World, seats: tuple[Replica, ...]) -> Counter[str]:
    """How many of the seats stand in each zone, or in each region where one may be lost."""
    zones = {f"{m.address[0]}:{m.address[1]}": m.zone for m in world.machines}
    return Counter(zones[s[0]].partition("-")[0] if world.tolerate_regions else zones[s[0]] for s in seats)


def bears_any(world: World) -> bool:
    """Whatever one place is lost now: a copy is left, and most of the witnesses."""
    found = world.serving()
    view = found.core.view() if found is not None and found.core is not None else None
    if view is None or not world.well():
        return False
    return (
        max(places(world, view.copies).values()) < len(view.copies)
        and max(places(world, view.witnesses).values()) <= len(view.witnesses) - view.majority
    )


def lose(world: World, place: str, span: int) -> None:
    for machine in world.machines:
        if machine.zone.startswith(place):
            world.down(machine, span)
    busy(world, span)


@pytest.mark.parametrize("span", [2 * SECOND, 9 * SECOND, 20 * SECOND])
@pytest.mark.parametrize("machines", [5, 6, 9])
def test_one_zone_after_the_other_is_lost(machines: int, span: int) -> None:
    """A zone that was gone for longer than its witness was waited for left two of three witnesses in one zone, for
    good; with that zone went the majority."""
    world = World(1, machines, 1, 3, places=ZONES, tolerate_zones=1)
    busy(world, 3 * SECOND)
    for turn in range(6):
        acknowledged = world.acknowledged
        lose(world, ZONES[turn % 3], span)
        assert world.serving() is not None and world.acknowledged > acknowledged + span // (500 * MS), turn
        busy(world, SYNC_TIME)
        assert bears_any(world), turn


@pytest.mark.parametrize("order", [("a", "a", "a", "b", "c"), ("a", "a", "b", "b", "c", "c"), ("a", "b", "b", "c")])
def test_seeds_of_one_zone_are_no_reason_to_stay_in_it(order: tuple[str, ...]) -> None:
    """All that a founder knows of the others are addresses."""
    world = World(2, len(order), 1, 3, places=order, tolerate_zones=1)
    busy(world, 3 * SECOND)
    assert bears_any(world)
    lose(world, "a", 5 * SECOND)
    assert world.serving() is not None


def test_one_region_after_the_other_is_lost() -> None:
    """Copies in two zones of one region were as good as any, and `rgns` of the settings was not read."""
    world = World(3, 6, 1, 3, places=REGIONS, tolerate_regions=1)
    busy(world, 3 * SECOND)
    assert bears_any(world)
    for turn, region in enumerate(("s", "n", "w", "n", "s")):
        acknowledged = world.acknowledged
        lose(world, region, 9 * SECOND)
        assert world.acknowledged > acknowledged, turn
        busy(world, SYNC_TIME)
        assert bears_any(world), turn


def test_nothing_else_moves_while_a_new_copy_is_not_whole() -> None:
    """With the seat of the one other holder of all went its vote, and the lead could not go back to it."""
    world = World(5, 5, 1, 3, places=("a", "a", "b", "c", "c"), tolerate_zones=1)
    handlers = core(world.machines[2]).transport.handlers  # the only witness elsewhere: it is to hold the copy
    takes, handlers["sync"] = handlers["sync"], lambda conn, body, answer: None
    busy(world, 5 * SECOND)
    assert set(world.views) == {1, 2}
    handlers["sync"] = takes
    busy(world, 6 * SECOND)
    assert bears_any(world) and len(world.views) > 2


def test_without_a_zone_to_bear_nothing_moves() -> None:
    """A view more is a moment without changes: who stands where matters only where a place may be lost."""
    world = World(4, 5, 1, 3, places=("a", "a", "a", "b", "c"))
    busy(world, 8 * SECOND)
    assert list(world.views) == [1]
