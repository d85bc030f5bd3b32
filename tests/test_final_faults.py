"""The worst ends of a day for what was just acknowledged: as many disks lost as may be while all others lose power; the
core in two halves, whatever the tolerance.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import pytest

from oakvale.lab.modelcheck.breakages import BREAKAGES
from tests.control_plane_simulation import Machine, World
from tests.simulated_processes import MS, SECOND

SHAPES = [(3, 1), (4, 1), (5, 2)]  # core machines, and how many of their disks may be lost at once
RECOVER = 6 * SECOND  # the operators' bound is 15 s
DEATHS = 3  # acknowledgements in a row that are each followed by the worst


def settled(machines: int, tolerate: int, seed: int = 1) -> World:
    world = World(seed, machines, tolerate, min(machines, 3))
    world.run(4 * SECOND)
    assert world.well()
    return world


def until_acknowledged(world: World) -> None:
    """To the very event in which a change is acknowledged: nothing that is said after it comes anywhere."""
    before = world.acknowledged
    while world.acknowledged == before:
        found = world.serving()
        if found is not None and world.asked == world.acknowledged:
            world.change(found)
        world.run(MS // 10)


def all_dark(world: World, wiped: tuple[Machine, ...]) -> None:
    for number, machine in enumerate(world.machines):
        world.down(machine, 300 * MS + 170 * MS * number, wiped=machine in wiped)


def serves_and_holds_all(world: World) -> None:
    """The world's judge looks at what a confirmed read shows."""
    found = world.serving()
    assert found is not None, "nobody serves"
    reads = world.reads
    world.read(found)
    world.run(SECOND)
    assert world.reads == reads + 1, "serves, and confirms nothing"


def every_loss(shape: tuple[int, int]) -> Iterator[tuple[int, ...]]:
    machines, tolerate = shape
    return itertools.combinations(range(machines), tolerate)


def play_the_end_of_a_day(shape: tuple[int, int], lost: tuple[int, ...]) -> None:
    world = settled(*shape)
    for _ in range(DEATHS):
        until_acknowledged(world)
        all_dark(world, tuple(world.machines[number] for number in lost))
        world.asked = world.acknowledged
        world.run(RECOVER)
        serves_and_holds_all(world)


@pytest.mark.parametrize("shape, lost", [(shape, lost) for shape in SHAPES for lost in every_loss(shape)], ids=str)
def test_disks_are_lost_while_all_others_lose_power(shape: tuple[int, int], lost: tuple[int, ...]) -> None:
    play_the_end_of_a_day(shape, lost)


@pytest.mark.parametrize("shape", SHAPES, ids=str)
def test_power_is_lost_before_and_after_each_write_of_a_change(shape: tuple[int, int]) -> None:
    """Also where it was not acknowledged: whatever one who serves shows once stays."""
    world = settled(*shape)
    for number, wait in enumerate(range(0, 18, 2)):
        found = world.serving()
        assert found is not None
        world.change(found)
        world.run(wait * MS)
        all_dark(world, tuple(world.machines[number % shape[0] : number % shape[0] + 1]))
        world.run(RECOVER)
        serves_and_holds_all(world)


@pytest.mark.parametrize("shape", SHAPES, ids=str)
@pytest.mark.parametrize("seed", range(4))
def test_two_halves(shape: tuple[int, int], seed: int) -> None:
    """Each half is asked for changes and reads all the while; then the halves meet again, twice, cut another way."""
    world = settled(*shape, seed)
    for _ in range(2):
        half = world.rng.sample(world.machines, shape[0] // 2)
        world.cut(half, [machine for machine in world.machines if machine not in half], 5 * SECOND, True)
        for _ in range(50):
            for machine in world.machines:
                world.change(machine)
                world.read(machine)
            world.run(100 * MS)
        world.run(RECOVER)
        world.asked = world.acknowledged
        serves_and_holds_all(world)


@pytest.mark.parametrize("shape", SHAPES, ids=str)
def test_an_acknowledgement_without_all_copies_is_found(shape: tuple[int, int]) -> None:
    broken = next(each for each in BREAKAGES if each.name == "primary-alone")
    with broken.made(), pytest.raises(AssertionError, match="is back at|serves, and confirms nothing"):
        for lost in every_loss(shape):
            play_the_end_of_a_day(shape, lost)
