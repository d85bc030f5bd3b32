"""Consecutive losses, each at the earliest moment that docs/control-state.md allows, and machines that shut down."""

from __future__ import annotations

import random

import pytest

from oakvale.config.settings import Bounds
from oakvale.controlplane.core import Core
from oakvale.controlplane.peers import ADVERTISE_US, FORGET_AFTER_US, PeerAddresses
from oakvale.controlplane.replication import Replicator
from oakvale.controlplane.view_change import ViewManager
from tests.control_plane_simulation import Machine, World
from tests.simulated_processes import MS, SECOND

SYNC_TIME, GRACE = Bounds().sync_time, Bounds().grace
KINDS = ("killed", "wiped", "replaced", "planned", "stopped", "slow", "frozen", "cut")
ROLES = ("primary", "backup", "witness")


def machine_with_role(world: World, role: str) -> Machine:
    found = world.serving()
    assert found is not None and found.core is not None
    view = found.core.view()
    assert view is not None
    replicas = {
        "primary": (view.primary,),
        "backup": view.backups,
        "witness": tuple(w for w in view.witnesses if w not in view.copies),
    }[role]
    return next(m for m in world.machines if m.core is not None and m.core.self_id == replicas[-1])


def lose(world: World, machine: Machine, kind: str, x: int = SECOND, span: int = 2 * SECOND) -> int:
    """Causes a loss and waits for its end. Returns the microseconds until the next one may come."""
    if kind == "killed" or kind == "wiped":
        world.down(machine, span, kind == "wiped")
        busy(world, span)
    elif kind == "replaced":  # removed for good; an empty one starts x later at another address
        world.remove(machine)
        busy(world, x)
        world.add()
    elif kind == "planned":  # the empty machine starts first
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
    """Sends changes and reads to whoever serves, for the whole span."""
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
def test_all_is_complete_when_the_next_loss_may_come(seed: int, shape: tuple[int, int, int]) -> None:
    """Twelve consecutive losses, each as soon as the one before no longer counts. Then all copies are complete again,
    all witnesses are up, and no acknowledged change is missing (`World` reads them continuously)."""
    rng, world = random.Random(f"losses {seed} {shape}"), settled(*shape, seed=seed)
    kinds = list(KINDS) + [rng.choice(KINDS[1:5]) for _ in range(4)]
    rng.shuffle(kinds)
    for kind in kinds:
        role = rng.choice(ROLES if shape[1] == 1 else ROLES[:2])
        acknowledged = world.acknowledged
        wait = lose(world, machine_with_role(world, role), kind, rng.choice([200 * MS, SECOND, 3 * SECOND]))
        busy(world, wait)
        assert world.is_fully_replicated(), (kind, role)
        assert world.acknowledged > acknowledged + wait // (500 * MS), (kind, role)


@pytest.mark.parametrize("kind", ["replaced", "planned"])
@pytest.mark.parametrize("role", ROLES)
def test_a_replacement_is_complete_in_time_beside_slow_disks(kind: str, role: str) -> None:
    """Even with disks thirty times slower, the replacement is complete before the next loss may come."""
    world = settled()
    for machine in world.machines:
        machine.sync_ms = 30 * 8
    began = world.now
    wait = lose(world, machine_with_role(world, role), kind)
    while not world.is_fully_replicated():
        busy(world, 50 * MS)
        assert world.now < began + 6 * SECOND
    assert wait == 0 or world.now < began + SECOND + SYNC_TIME - 500 * MS


def test_forty_machines_are_replaced_in_a_row() -> None:
    """Guards against new addresses that are not passed on, and against contacting removed machines forever."""
    world = settled()
    for n in range(40):
        busy(world, lose(world, machine_with_role(world, ROLES[n % 3]), "planned" if n % 2 else "replaced"))
        assert world.is_fully_replicated(), n
    busy(world, FORGET_AFTER_US + ADVERTISE_US + SECOND)
    there = {f"{m.address[0]}:{m.address[1]}" for m in world.machines}
    assert len(there) == 3
    for machine in world.machines:
        part = core(machine)
        known = {parsed[0] + f":{parsed[1]}" for parsed in part._peer_addresses()} | {part.self_id[0]}
        view_manager = part.view_manager
        assert known == there and {peer[0] for peer in view_manager._last_heartbeat} <= there
        assert not view_manager._spares and not view_manager._leaving and len(part.peers._last_heartbeat) <= 3
    assert world.acknowledged > 3_000 and world.reads > 3_000


def test_a_primary_whose_backup_is_incomplete_does_not_stop() -> None:
    """Guards against a primary that shuts down with the only complete copy."""
    world = settled()
    primary, backup, witness = (machine_with_role(world, role) for role in ROLES)
    busy(world, SECOND)
    witness.disk_hangs = world.now + 4 * SECOND
    backup.kill()  # its successor cannot sync the state for a while
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
def test_a_leaving_machine_stops_once_it_is_not_needed(role: str, most: int) -> None:
    """Its copy is complete elsewhere by then. It remains a witness, as it may come back."""
    world = settled()
    busy(world, SECOND)
    machine, view, began = machine_with_role(world, role), core(machine_with_role(world, "primary")).view(), world.now
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
    assert world.is_fully_replicated()


@pytest.mark.parametrize("slow", [1, 30])
@pytest.mark.parametrize("role", ROLES)
def test_a_ready_spare_becomes_witness_before_the_leaving_one_stops(role: str, slow: int) -> None:
    """Otherwise a second loss could leave only one of three witnesses."""
    world = settled(4, 1, 3)
    machine = machine_with_role(world, role)
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
    world.remove(machine_with_role(world, "backup"))
    world.run(2 * SECOND)
    assert world.serving() is not None


@pytest.mark.parametrize("spares", [0, 1])
def test_the_lead_can_return_until_a_new_copy_is_complete(spares: int) -> None:
    """A shutdown or a spare must not change the witnesses meanwhile: the successor may lose its disk before the other
    copy has any data."""
    world = settled(3 + spares, 1, 3)
    busy(world, SECOND)
    primary, backup, witness = (machine_with_role(world, role) for role in ROLES)
    witness.disk_hangs = world.now + 2 * SECOND
    world.run(100 * MS)
    primary.stop()
    world.run(400 * MS)
    assert core(backup).view().number == 2 and primary.life is not None  # type: ignore[union-attr]
    world.down(backup, SECOND, wiped=True)
    busy(world, 3_500 * MS)
    found = world.serving()
    assert found is not None and found is not backup and world.acknowledged > 30


def test_a_leaving_machine_holds_a_copy_while_there_is_nobody_else() -> None:
    world = settled()
    backup, witness = machine_with_role(world, "backup"), machine_with_role(world, "witness")
    backup.kill()
    world.run(SECOND - 50 * MS)
    witness.stop()
    world.run(2 * SECOND)
    assert witness.life is not None and machine_with_role(world, "backup") is witness
    backup.start()
    world.run(1_500 * MS)
    assert witness.life is None and machine_with_role(world, "backup") is backup


def test_a_long_standing_spare_leaves_a_witness_time_to_restart() -> None:
    world = settled(4, 1, 3)
    machine, view = machine_with_role(world, "witness"), core(machine_with_role(world, "primary")).view()
    lose(world, machine, "killed", span=5 * SECOND)
    assert core(machine_with_role(world, "primary")).view() == view
    machine.kill()
    world.run(8 * SECOND)
    assert core(world.machines[3]).self_id in core(machine_with_role(world, "primary")).view().witnesses  # type: ignore[union-attr]


@pytest.mark.parametrize("machines", [1, 2, 3, 5])
def test_nobody_waits_when_all_shut_down(machines: int) -> None:
    world = settled(machines)
    for machine in world.machines:
        machine.stop()
    world.run(900 * MS)
    assert all(machine.life is None for machine in world.machines)
    for machine in world.machines:
        machine.start()
    world.run(3 * SECOND)
    assert world.serving() is not None


def test_one_of_two_stops_once_the_other_is_complete() -> None:
    world = settled(2)
    primary, backup = machine_with_role(world, "primary"), machine_with_role(world, "backup")
    primary.stop()
    world.run(500 * MS)
    assert primary.life is None and core(backup).view_manager.state.complete == 1
    primary.start()
    world.run(3 * SECOND)
    assert world.serving() is not None


def test_a_machine_that_stays_needed_stops_before_it_is_killed() -> None:
    """Its backup is lost and nobody can replace it: it waits, but stops before SIGKILL."""
    world = settled()
    primary, backup, witness = (machine_with_role(world, role) for role in ROLES)
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
def test_without_each_part_a_test_of_consecutive_losses_fails(patch: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Without each of these parts one of the tests above fails."""
    if patch == "_released":
        monkeypatch.setattr(Replicator, "may_leave", lambda self, now: True)
        with pytest.raises(AssertionError):
            test_a_primary_whose_backup_is_incomplete_does_not_stop()
    elif patch == "whole":
        monkeypatch.setattr(ViewManager, "mark_leaving", lambda self, peer: None)
        with pytest.raises(AssertionError):
            test_a_leaving_machine_stops_once_it_is_not_needed("backup", 800)
    else:
        monkeypatch.setattr("oakvale.controlplane.view_change.SUCCESSOR_WAIT_SILENCES", 1_000)
        with pytest.raises(AssertionError):
            test_all_is_complete_when_the_next_loss_may_come(0, (3, 1, 3))


def test_stale_addresses_are_forgotten_with_a_majority_reachable() -> None:
    """Guards against peers that keep telling each other a stale address. A machine without a majority forgets nothing
    and returns to the seeds."""
    one, other, now = PeerAddresses(["s"]), PeerAddresses(["s"]), 0
    one.heartbeat_received(0, "x", ())
    for now in range(0, FORGET_AFTER_US + ADVERTISE_US + SECOND, 200 * MS):
        one.heartbeat_received(now, "b", other.advertised(now))
        other.heartbeat_received(now, "a", one.advertised(now))
        known = other.contact_list(now, set(), True) - {"b"}
        assert (now < FORGET_AFTER_US) <= ("x" in known) and known <= {"a", "x"}
    assert one.contact_list(now, {"m"}, True) - {"a"} == {"m", "b"} == other.contact_list(now, {"m"}, True) ^ {"a"}
    assert one.contact_list(now + FORGET_AFTER_US, {"m"}, False) == {"m", "a", "b", "s"}
    one.remove("b")
    assert one.contact_list(now + FORGET_AFTER_US, {"m"}, True) == {"m"}
