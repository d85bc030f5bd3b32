"""Losses in a row, each at the earliest moment that docs/control-state.md states, and machines that leave."""

from __future__ import annotations

import random

import pytest

from oakvale.config.settings import Bounds
from oakvale.controlplane.core import Core
from oakvale.controlplane.peers import KEPT, NAMED, Peers
from oakvale.controlplane.replication import Replicator
from oakvale.controlplane.view_change import ViewManager
from tests.control_plane_simulation import Machine, World
from tests.simulated_processes import MS, SECOND

SYNC_TIME, GRACE = Bounds().sync_time, Bounds().grace
KINDS = ("killed", "wiped", "replaced", "planned", "stopped", "slow", "frozen", "cut")
ROLES = ("primary", "backup", "witness")


def of(world: World, role: str) -> Machine:
    found = world.serving()
    assert found is not None and found.core is not None
    view = found.core.view()
    assert view is not None
    seats = {
        "primary": (view.primary,),
        "backup": view.backups,
        "witness": tuple(w for w in view.witnesses if w not in view.copies),
    }[role]
    return next(m for m in world.machines if m.core is not None and m.core.self_id == seats[-1])


def lose(world: World, machine: Machine, kind: str, x: int = SECOND, span: int = 2 * SECOND) -> int:
    """Brings a loss about, to its end; microseconds from then until the next may come."""
    if kind == "killed" or kind == "wiped":
        world.down(machine, span, kind == "wiped")
        busy(world, span)
    elif kind == "replaced":  # it is gone for good, an empty one comes x later at another address
        world.remove(machine)
        busy(world, x)
        world.add()
    elif kind == "planned":  # the empty one first
        world.add()
        busy(world, x)
        machine.stop()
        began = world.now
        while machine.life is not None:
            busy(world, 50 * MS)
        world.remove(machine)
        return max(0, SYNC_TIME - x - (world.now - began))
    elif kind == "stopped":
        machine.stop()
        while machine.life is not None:
            busy(world, 50 * MS)
        busy(world, 500 * MS)
        machine.start()
    elif kind == "slow":
        machine.sync_ms = 30 * 8
        busy(world, span)
        machine.sync_ms = 8
    elif kind == "frozen":
        world.pause(machine, span)
        busy(world, span)
    elif kind == "cut":
        world.cut([machine], [m for m in world.machines if m is not machine], span, True)
        busy(world, span)
    return SYNC_TIME


def busy(world: World, span: int) -> None:
    """Changes and reads on whoever serves, all the while."""
    until = world.now + span
    while world.now < until:
        for machine in world.machines:
            world.change(machine)
            world.read(machine)
        world.run(min(50 * MS, until - world.now))


def settled(machines: int = 3, tolerate: int = 1, seeds: int | None = None, seed: int = 1) -> World:
    world = World(seed, machines, tolerate, seeds)
    world.run(3 * SECOND)
    return world


def core(machine: Machine) -> Core:
    assert machine.core is not None
    return machine.core


@pytest.mark.parametrize("shape", [(3, 1, 3), (4, 1, 3), (5, 1, 3), (5, 2, 5)], ids=str)
@pytest.mark.parametrize("seed", range(6))
def test_all_is_whole_when_the_next_loss_may_come(seed: int, shape: tuple[int, int, int]) -> None:
    """Twelve losses one after the other, each as soon as the one before no longer counts: then all copies are whole
    again and all that vote are there, and nothing that was acknowledged is missing (`world` reads it all the time)."""
    rng, world = random.Random(f"losses {seed} {shape}"), settled(*shape, seed=seed)
    kinds = list(KINDS) + [rng.choice(KINDS[1:5]) for _ in range(4)]
    rng.shuffle(kinds)
    for kind in kinds:
        role = rng.choice(ROLES if shape[1] == 1 else ROLES[:2])
        acknowledged = world.acknowledged
        wait = lose(world, of(world, role), kind, rng.choice([200 * MS, SECOND, 3 * SECOND]))
        busy(world, wait)
        assert world.well(), (kind, role)
        assert world.acknowledged > acknowledged + wait // (500 * MS), (kind, role)


@pytest.mark.parametrize("kind", ["replaced", "planned"])
@pytest.mark.parametrize("role", ROLES)
def test_a_replacement_is_whole_in_time_beside_a_slow_disk(kind: str, role: str) -> None:
    """Every disk takes thirty times as long: it still comes to be before the next loss may."""
    world = settled()
    for machine in world.machines:
        machine.sync_ms = 30 * 8
    began = world.now
    wait = lose(world, of(world, role), kind)
    while not world.well():
        busy(world, 50 * MS)
        assert world.now < began + 6 * SECOND
    assert wait == 0 or world.now < began + SECOND + SYNC_TIME - 500 * MS


def test_forty_machines_are_replaced_in_one_life() -> None:
    """From the thirty-second on a new address was not passed on, and those that were gone were called for ever."""
    world = settled()
    for n in range(40):
        busy(world, lose(world, of(world, ROLES[n % 3]), "planned" if n % 2 else "replaced"))
        assert world.well(), n
    busy(world, KEPT + NAMED + SECOND)
    there = {f"{m.address[0]}:{m.address[1]}" for m in world.machines}
    assert len(there) == 3
    for machine in world.machines:
        part = core(machine)
        known = {parsed[0] + f":{parsed[1]}" for parsed in part._peer_addresses()} | {part.self_id[0]}
        view_manager = part.view_manager
        assert known == there and {peer[0] for peer in view_manager._heard} <= there
        assert not view_manager._spares and not view_manager._leaving and len(part.peers._heard) <= 3
    assert world.acknowledged > 3_000 and world.reads > 3_000


def test_a_primary_whose_backup_is_not_whole_does_not_go() -> None:
    """It went 0.3 s after it was told to, with the only copy."""
    world = settled()
    primary, backup, witness = (of(world, role) for role in ROLES)
    busy(world, SECOND)
    witness.disk_hangs = world.now + 4 * SECOND
    backup.kill()  # its successor takes no state for a while, and 0.7 s of that pass for a disk that just lags
    world.run(1_200 * MS)
    primary.stop()
    world.run(2_500 * MS)
    assert primary.life is not None
    world.run(3 * SECOND)
    assert primary.life is None and core(witness).view_manager.state.complete == core(witness).view().number
    backup.start()
    busy(world, 2 * SECOND)
    assert world.serving() is witness


@pytest.mark.parametrize("role, most", [("primary", 800), ("backup", 800), ("witness", 500)])
def test_who_leaves_goes_as_soon_as_it_is_not_missed(role: str, most: int) -> None:
    """And the copy that it held is whole elsewhere by then. It keeps its seat: it may come back."""
    world = settled()
    busy(world, SECOND)
    machine, view, began = of(world, role), core(of(world, "primary")).view(), world.now
    own = core(machine).self_id
    machine.stop()
    while machine.life is not None:
        world.run(10 * MS)
    world.run(10 * MS)
    found = world.serving()
    assert world.now - began < most * MS and found is not None
    assert not any(core(m).view_manager.alive(own, world.now) for m in world.machines if m.life)
    now = core(found).view()
    assert now is not None and view is not None and now.witnesses == view.witnesses
    assert all(core(m).view_manager.state.complete == now.number for m in world.machines if m.life)
    machine.start()
    busy(world, SYNC_TIME)
    assert world.well()


@pytest.mark.parametrize("slow", [1, 30])
@pytest.mark.parametrize("role", ROLES)
def test_a_spare_that_stands_ready_takes_the_seat_before_its_holder_goes(role: str, slow: int) -> None:
    """Until then a second loss would have left one of three."""
    world = settled(4, 1, 3)
    machine = of(world, role)
    for other in world.machines:
        other.sync_ms = 8 * slow
    machine.stop()
    began = world.now
    while machine.life is not None:
        world.run(10 * MS)
    others = [m for m in world.machines if m is not machine]
    assert world.now - began < (SECOND if slow == 1 else 3_500 * MS)
    view = core(others[0]).view()
    assert view is not None and sorted(view.witnesses) == sorted(core(m).self_id for m in others)
    world.run(SECOND)
    world.remove(of(world, "backup"))
    world.run(2 * SECOND)
    assert world.serving() is not None


@pytest.mark.parametrize("spares", [0, 1])
def test_until_a_new_copy_is_whole_those_before_it_may_have_the_lead_back(spares: int) -> None:
    """One that leaves, or a spare's seat, is no reason to give that up: the successor is lost with its disk before the
    other copy has anything."""
    world = settled(3 + spares, 1, 3)
    busy(world, SECOND)
    primary, backup, witness = (of(world, role) for role in ROLES)
    witness.disk_hangs = world.now + 2 * SECOND
    world.run(100 * MS)
    primary.stop()
    world.run(400 * MS)
    assert core(backup).view().number == 2 and primary.life is not None  # type: ignore[union-attr]
    world.down(backup, SECOND, wiped=True)
    busy(world, 3_500 * MS)
    found = world.serving()
    assert found is not None and found is not backup and world.acknowledged > 30


def test_one_that_leaves_holds_a_copy_while_there_is_nobody_else() -> None:
    world = settled()
    backup, witness = of(world, "backup"), of(world, "witness")
    backup.kill()
    world.run(SECOND - 50 * MS)
    witness.stop()
    world.run(2 * SECOND)
    assert witness.life is not None and of(world, "backup") is witness
    backup.start()
    world.run(1_500 * MS)
    assert witness.life is None and of(world, "backup") is backup


def test_a_spare_that_was_there_all_along_waits_for_who_is_just_restarted() -> None:
    world = settled(4, 1, 3)
    machine, view = of(world, "witness"), core(of(world, "primary")).view()
    lose(world, machine, "killed", span=5 * SECOND)
    assert core(of(world, "primary")).view() == view
    machine.kill()
    world.run(8 * SECOND)
    assert core(world.machines[3]).self_id in core(of(world, "primary")).view().witnesses  # type: ignore[union-attr]


@pytest.mark.parametrize("machines", [1, 2, 3, 5])
def test_when_all_are_told_to_end_nobody_waits(machines: int) -> None:
    world = settled(machines)
    for machine in world.machines:
        machine.stop()
    world.run(900 * MS)
    assert all(machine.life is None for machine in world.machines)
    for machine in world.machines:
        machine.start()
    world.run(3 * SECOND)
    assert world.serving() is not None


def test_one_of_two_goes_once_the_other_holds_all() -> None:
    world = settled(2)
    primary, backup = of(world, "primary"), of(world, "backup")
    primary.stop()
    world.run(500 * MS)
    assert primary.life is None and core(backup).view_manager.state.complete == 1
    primary.start()
    world.run(3 * SECOND)
    assert world.serving() is not None


def test_who_is_missed_to_the_end_goes_before_it_is_killed() -> None:
    """Its backup is lost and there is nobody else: it holds on, but not into SIGKILL."""
    world = settled()
    primary, backup, witness = (of(world, role) for role in ROLES)
    witness.kill()
    world.run(2 * SECOND)
    backup.kill()
    world.run(SECOND)
    primary.stop()
    world.run(GRACE - 1_100 * MS)
    assert primary.life is not None
    world.run(200 * MS)
    assert primary.life is None


@pytest.mark.parametrize("patch", ["_released", "whole", "successor"])
def test_without_each_part_losses_in_a_row_are_found_out(patch: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """What the tests above hold is due to the parts that are named here."""
    if patch == "_released":
        monkeypatch.setattr(Replicator, "may_go", lambda self, now: True)
        with pytest.raises(AssertionError):
            test_a_primary_whose_backup_is_not_whole_does_not_go()
    elif patch == "whole":
        monkeypatch.setattr(ViewManager, "leaving", lambda self, peer: None)
        with pytest.raises(AssertionError):
            test_who_leaves_goes_as_soon_as_it_is_not_missed("backup", 800)
    else:
        monkeypatch.setattr("oakvale.controlplane.view_change.BRIEF", 1_000)
        with pytest.raises(AssertionError):
            test_all_is_whole_when_the_next_loss_may_come(0, (3, 1, 3))


def test_addresses_that_are_gone_are_forgotten_by_who_is_in_touch() -> None:
    """What two told each other went round for ever; who is cut off forgets nobody, and goes back to the seeds."""
    one, other, now = Peers(["s"]), Peers(["s"]), 0
    one.heard(0, "x", ())
    for now in range(0, KEPT + NAMED + SECOND, 200 * MS):
        one.heard(now, "b", other.lively(now))
        other.heard(now, "a", one.lively(now))
        known = other.called(now, set(), True) - {"b"}
        assert (now < KEPT) <= ("x" in known) and known <= {"a", "x"}
    assert one.called(now, {"m"}, True) - {"a"} == {"m", "b"} == other.called(now, {"m"}, True) ^ {"a"}
    assert one.called(now + KEPT, {"m"}, False) == {"m", "a", "b", "s"}
    one.gone("b")
    assert one.called(now + KEPT, {"m"}, True) == {"m"}
