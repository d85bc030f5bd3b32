"""Worst cases for a change that was just acknowledged: the tolerated number of disks is lost while all other machines
lose power, and the core is partitioned in halves."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import pytest

from oakvale.lab.modelcheck.breakages import BREAKAGES
from tests.control_plane_simulation import Machine, World
from tests.simulated_processes import MS, SECOND

SHAPES = [(3, 1), (4, 1), (5, 2)]  # core machines, and how many of their disks may be lost at once
RECOVERY_TIME_US = 6 * SECOND  # operators rely on 15 s
LOSS_ROUNDS = 3  # acknowledgements in a row, each followed by the loss


def settled(machines: int, tolerate: int, seed: int = 1) -> World:
    world = World(seed, machines, tolerate, min(machines, 3))
    world.run(4 * SECOND)
    assert world.is_fully_replicated()
    return world


def until_acknowledged(world: World) -> None:
    """Runs to the event in which a change is acknowledged, so that no later message arrives anywhere."""
    before = world.acknowledged
    while world.acknowledged == before:
        found = world.serving()
        if found is not None and world.requested == world.acknowledged:
            world.change(found)
        world.run(MS // 10)


def power_loss(world: World, wiped: tuple[Machine, ...]) -> None:
    for number, machine in enumerate(world.machines):
        world.down(machine, 300 * MS + 170 * MS * number, wiped=machine in wiped)


def serves_and_holds_all(world: World) -> None:
    """`World` checks what the confirmed read shows."""
    found = world.serving()
    assert found is not None, "nobody serves"
    reads = world.reads
    world.read(found)
    world.run(SECOND)
    assert world.reads == reads + 1, "serves, and confirms nothing"


def every_loss(shape: tuple[int, int]) -> Iterator[tuple[int, ...]]:
    machines, tolerate = shape
    return itertools.combinations(range(machines), tolerate)


def lose_disks_after_each_acknowledgement(shape: tuple[int, int], lost: tuple[int, ...]) -> None:
    world = settled(*shape)
    for _ in range(LOSS_ROUNDS):
        until_acknowledged(world)
        power_loss(world, tuple(world.machines[number] for number in lost))
        world.requested = world.acknowledged
        world.run(RECOVERY_TIME_US)
        serves_and_holds_all(world)


@pytest.mark.parametrize("shape, lost", [(shape, lost) for shape in SHAPES for lost in every_loss(shape)], ids=str)
def test_disks_are_lost_while_all_others_lose_power(shape: tuple[int, int], lost: tuple[int, ...]) -> None:
    lose_disks_after_each_acknowledgement(shape, lost)


@pytest.mark.parametrize("shape", SHAPES, ids=str)
def test_power_is_lost_before_and_after_each_write_of_a_change(shape: tuple[int, int]) -> None:
    """Covers unacknowledged changes too: whatever a serving primary has shown must stay."""
    world = settled(*shape)
    for number, wait in enumerate(range(0, 18, 2)):
        found = world.serving()
        assert found is not None
        world.change(found)
        world.run(wait * MS)
        power_loss(world, tuple(world.machines[number % shape[0] : number % shape[0] + 1]))
        world.run(RECOVERY_TIME_US)
        serves_and_holds_all(world)


@pytest.mark.parametrize("shape", SHAPES, ids=str)
@pytest.mark.parametrize("seed", range(4))
def test_a_partition_into_halves(shape: tuple[int, int], seed: int) -> None:
    """Each half gets changes and reads throughout; then the partition heals, and another one follows."""
    world = settled(*shape, seed)
    for _ in range(2):
        half = world.rng.sample(world.machines, shape[0] // 2)
        world.cut(half, [machine for machine in world.machines if machine not in half], 5 * SECOND, True)
        for _ in range(50):
            for machine in world.machines:
                world.change(machine)
                world.read(machine)
            world.run(100 * MS)
        world.run(RECOVERY_TIME_US)
        world.requested = world.acknowledged
        serves_and_holds_all(world)


@pytest.mark.parametrize("shape", SHAPES, ids=str)
def test_an_acknowledgement_without_all_copies_is_found(shape: tuple[int, int]) -> None:
    broken = next(each for each in BREAKAGES if each.name == "primary-alone")
    with broken.made(), pytest.raises(AssertionError, match="is back at|serves, and confirms nothing"):
        for lost in every_loss(shape):
            lose_disks_after_each_acknowledgement(shape, lost)
