"""The control state in simulated time: seeded random faults, and a regression test for each protocol bug found."""

from __future__ import annotations

import sys
from typing import Any, cast

import cbor2
import pytest

from oakvale.controlplane.core import PEER_TIMEOUT_US, Core
from oakvale.controlplane.replicated_state import ReplicatedState
from oakvale.controlplane.view_change import ElectionMessage, PersistState, ViewAdopted, ViewManager
from oakvale.controlplane.views import (
    BOOTSTRAP_INCARNATION,
    DurableState,
    Replica,
    View,
    bootstrap_state,
    bootstrap_view,
)
from oakvale.dissemination.table import NO_VERSION
from tests.control_plane_simulation import Link, Machine, World
from tests.simulated_processes import MS, SECOND

SHAPES = ((3, 1, 3), (4, 1, 3), (5, 2, 5), (3, 1, 3), (5, 2, 3))  # machines, tolerance, seeds
A, B, C = (
    ("10.0.0.1:7340", BOOTSTRAP_INCARNATION),
    ("10.0.0.2:7340", BOOTSTRAP_INCARNATION),
    ("10.0.0.3:7340", BOOTSTRAP_INCARNATION),
)
ABC = bootstrap_view([A[0], B[0], C[0]], 2)


@pytest.mark.parametrize("seed", range(24))
def test_a_day_of_faults(seed: int) -> None:
    """Acknowledged changes are read later, and 10 s after all faults heal a machine serves; `World` checks both."""
    World(seed, *SHAPES[seed % len(SHAPES)]).run_day_of_faults(5)


@pytest.mark.parametrize("seed", range(100, 108))
def test_a_day_of_faults_with_compaction(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Markers and tombstones disappear from all copies, disks and gateways, whoever is primary."""
    monkeypatch.setattr("oakvale.dissemination.table.TOMBSTONES_KEPT", 3)
    world = World(seed, *SHAPES[seed % len(SHAPES)], compaction_intervals=(200 * MS, 600 * MS))
    world.run_day_of_faults(5)
    world.run(4 * SECOND)
    for core in roles(world)[1:]:
        assert core.replicated_state.table.horizon > NO_VERSION
        assert len(core.replicated_state.table.since(NO_VERSION)) < 20
    for machine in (m for m in world.machines if m.core in roles(world)[1:]):
        assert len(machine.disk.rows) < 20 and set(machine.disk.rows) == {
            key for key, _, _ in cast(Core, machine.core).replicated_state.table.since(NO_VERSION)
        }


def test_a_compacted_state_survives_a_failover(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("oakvale.dissemination.table.TOMBSTONES_KEPT", 3)
    world = World(1, compaction_intervals=(200 * MS, 600 * MS))
    world.run(2 * SECOND)
    for _ in range(30):
        world.change(roles(world)[0])
        world.run(100 * MS)
    world.run(4 * SECOND)
    machine, core, backup = roles(world)
    kept = core.replicated_state.table.since(NO_VERSION)
    assert (
        len(kept) < 15
        and backup.replicated_state.table.since(NO_VERSION) == kept
        and core.replicated_state.table.horizon > NO_VERSION
    )
    world.down(machine, 6 * SECOND)
    world.run(3 * SECOND)
    now, found, _ = roles(world)
    assert found is backup and found.replicated_state.table.horizon >= core.replicated_state.table.horizon
    assert [e for e in kept if e[0].startswith("k")] == [
        e for e in found.replicated_state.table.since(NO_VERSION) if e[0].startswith("k")
    ]
    world.run(8 * SECOND)
    world.change(now)
    world.run(SECOND)
    assert world.gateway.since(NO_VERSION) == roles(world)[1].replicated_state.table.since(NO_VERSION)


def test_rows_of_an_interrupted_compaction_are_deleted_at_the_next_start() -> None:
    world = settled()
    machine = roles(world)[0]
    machine.kill()
    machine.disk.rows["left/x"] = cbor2.dumps([[1, 1], None])
    machine.disk.rows["floor"] = cbor2.dumps([[1, 900], [1, 800]])
    machine.start()
    world.run(4 * SECOND)
    assert "left/x" not in machine.disk.rows


def settled(machines: int = 3, tolerate: int = 1, seeds: int | None = None) -> World:
    world = World(1, machines, tolerate, seeds)
    world.run(2 * SECOND)
    return world


def roles(world: World) -> tuple[Machine, Core, Core]:
    """The primary's machine and core, and the core of its backup."""
    machine = world.serving()
    assert machine is not None and machine.core is not None
    view = machine.core.view()
    assert view is not None
    [backup] = [m for m in world.machines if m.core is not None and m.core.self_id == view.backups[0]]
    assert backup.core is not None
    return machine, machine.core, backup.core


def test_the_view_survives_a_restart_of_all_machines() -> None:
    world = settled()
    view = roles(world)[1].view()
    for machine in world.machines:
        world.down(machine, 500 * MS)
    world.run(2_500 * MS)
    assert roles(world)[1].view() == view


@pytest.mark.parametrize("wiped", [True, False])
def test_a_view_whose_primary_died_before_it_was_decided(wiped: bool) -> None:
    """Guards against a permanent stop: another replica finishes the ballot, no copy is complete in that view, and it
    has to be voided."""
    world = settled()
    machine, _, backup = roles(world)
    world.change(machine)
    world.run(SECOND)
    world.down(machine, 4 * SECOND, wiped)
    backup._apply_view_change(backup.view_manager.learn(View(2, A, (C,), ABC.witnesses)))
    world.run(3_500 * MS)
    now = world.serving()
    assert now is not None and now.core is backup
    world.read(now)
    world.run(SECOND)
    assert (world.acknowledged, world.reads) == (1, 1)


def test_a_primary_whose_view_was_voided_gets_another() -> None:
    world = World(1)
    world.run(5 * MS)
    primary, backup, other = (m.core for m in world.machines)
    assert primary is not None and backup is not None and other is not None
    view = View(2, A, (C,), ABC.witnesses)
    other._apply_view_change(other.view_manager.message(world.now, B, "void", [view.pack()]))
    backup._apply_view_change(backup.view_manager.learn(view))
    primary._apply_view_change(primary.view_manager.learn(view))
    world.machines[1].kill()
    world.run(4 * SECOND)
    assert world.serving() is world.machines[0]


def test_more_witnesses_than_seeds_where_the_tolerance_needs_them() -> None:
    """Three witnesses, as many as there are seeds, do not survive the loss of two."""
    world = settled(5, 2, 3)
    world.run(3 * SECOND)
    for machine in world.machines[1:3]:
        world.down(machine, SECOND, wiped=True)
    world.run(10 * SECOND)
    assert world.serving() is not None


def test_a_delayed_older_state_is_refused() -> None:
    """Bytes of an abandoned connection may be read after those of the next one; accepting them would undo acknowledged
    changes."""
    world = World(1)
    bodies: list[Any] = []
    for machine in world.machines:
        assert machine.core is not None
        sync = machine.core.transport.handlers["sync"]

        def record(conn: Any, body: Any, answer: Any, sync: Any = sync) -> None:
            bodies.append(body)
            sync(conn, body, answer)

        machine.core.transport.handlers["sync"] = record
    world.run(2 * SECOND)
    machine, _, backup = roles(world)
    world.change(machine)
    world.run(SECOND)
    high, answers = backup.replicated_state.table.highest_version, list[Any]()
    assert world.acknowledged == 1 and machine.life is not None
    backup.transport.handlers["sync"](cast(Any, Link(machine.life, None)), bodies[-1], answers.append)
    world.run(SECOND)
    assert answers == [False] and backup.replicated_state.table.highest_version == high


def test_heartbeats_of_a_restarted_primary_are_newer() -> None:
    """If heartbeat numbers restarted at one in the same view, all gateways would take the state updates for stale."""
    world = settled()
    machine, core, _ = roles(world)
    before = core._next_pulse()
    world.down(machine, 100 * MS)
    world.run(2 * SECOND)
    again = roles(world)[1]
    assert again.self_id == core.self_id and again is not core and again._next_pulse() > before


def test_seeds_keep_their_bootstrap_view() -> None:
    """All seeds stop before anything else is on disk, and the lists of seeds differ at the next start."""
    world = World(1, 4, 1, 3)
    world.run(9 * MS)
    for machine in world.machines:
        world.down(machine, 10 * MS)
    world._seeds = world._seeds[1:] + (("10.0.0.4", 8783),)
    world.run(3 * SECOND)
    assert roles(world)[1].view() == ABC


def test_a_primary_that_was_replaced_takes_no_change_before_that_is_on_its_disk() -> None:
    """Also, whoever waits for a change gets a result when the state is replaced."""
    world = settled()
    machine, core, backup = roles(world)
    machine.disk_hangs = world.now + 5 * SECOND
    results: list[bool] = []
    core.change({"a": 1}, results.append)
    view = View(2, backup.self_id, (core.self_id,), ABC.witnesses)
    assert machine.life is not None
    body = [view.pack(), list(backup.self_id), [1, 1], [0, [], []], []]
    core.transport.handlers["sync"](cast(Any, Link(machine.life, None)), body, print)
    assert results == [False]
    core.change({"a": 2}, results.append)
    assert results == [False, False]


def test_an_abandoned_change_stays_in_memory_as_on_disk() -> None:
    """Removed from memory alone, an abandoned change would come back at the next start, after others were told
    otherwise."""
    replicated_state, results = ReplicatedState(), list[bool]()
    replicated_state.start(1)
    replicated_state.propose({"a": 1}, {A, B}, results.append)
    for then in replicated_state.abandon():
        then(False)
    assert results == [False] and replicated_state.table.get("a") == 1 and not replicated_state.has_pending()


def test_any_number_of_calls_wait_for_one_change() -> None:
    """Each waiting call used to add a frame of recursion to the callback of the change."""
    replicated_state, results = ReplicatedState(), list[bool]()
    replicated_state.start(1)
    replicated_state.propose({"a": 1}, {A}, results.append)
    for _ in range(2 * sys.getrecursionlimit()):
        replicated_state.when_settled(results.append)
    replicated_state.synced(A, (1, 1))
    for then in replicated_state.take_completed():
        then(True)
    assert results == [True] * (2 * sys.getrecursionlimit() + 1)
    replicated_state.propose({"a": 2}, {A}, results.append)
    replicated_state.when_settled(results.append)
    assert len(replicated_state.abandon()) == 2


# ---- a single view manager


class SingleViewManager:
    """Drives a single view manager with heartbeats of peers, and collects what it returns."""

    def __init__(self, own: Replica, state: DurableState) -> None:
        self.part = ViewManager(own, state, 2, 900 * MS, 7 * SECOND)
        self.now = 1_000 * SECOND
        self.unsynced: list[PersistState] = []

    def run(self, span: int, up: tuple[Replica, ...]) -> list[ElectionMessage]:
        said: list[ElectionMessage] = []
        for _ in range(span // (100 * MS)):
            self.now += 100 * MS
            out = self.part.tick(self.now)
            for peer in up:
                out += self.part.heartbeat_received(self.now, peer, "", None)
            said += self.sort(out)
        return said

    def sort(self, out: list[Any]) -> list[ElectionMessage]:
        self.unsynced += [item for item in out if isinstance(item, PersistState)]
        return [item for item in out if isinstance(item, ElectionMessage)]

    def kept(self) -> list[ElectionMessage]:
        said: list[ElectionMessage] = []
        while self.unsynced:
            said += self.sort(self.part.persisted(self.unsynced.pop(0).number))
        return said


def test_a_ballot_goes_out_once_its_own_promise_is_on_disk() -> None:
    """Otherwise a crash could send the same ballot again with another successor, and both could be decided."""
    replica = SingleViewManager(B, bootstrap_state(ABC, B))
    assert not replica.run(2 * SECOND, (C,)) and replica.part.state.promised[0] == 1
    assert [(item.to, item.kind) for item in replica.kept()] == [(A, "prepare"), (C, "prepare")]


def test_nobody_proposes_behind_a_view_that_is_not_on_its_disk() -> None:
    """After a crash it would be back in the previous view and incomplete in the one it had won, as would everybody
    else."""
    replica = SingleViewManager(B, bootstrap_state(ABC, B))
    moved = replica.part.learn(View(2, B, (C,), ABC.witnesses))
    assert not any(isinstance(item, ViewAdopted) for item in moved)
    replica.sort(moved)
    assert not replica.run(2 * SECOND, (A,)) and replica.part.state.promised[0] == 0
    replica.kept()
    replica.run(SECOND // 2, (A,))
    assert replica.part.state.promised[0] == 1


def test_a_slow_disk_gets_the_time_to_answer() -> None:
    """A new ballot every 0.9 s would invalidate answers to the one before, and nobody would ever be elected."""
    replica = SingleViewManager(B, bootstrap_state(ABC, B))
    replica.run(1_200 * MS, (C,))
    assert replica.part.state.promised[0] == 1 and len(replica.kept()) == 2
    again = replica.run(SECOND, (C,))
    assert [(item.to, item.kind, item.body[1][0]) for item in again] == [(A, "prepare", 1), (C, "prepare", 1)]
    replica.sort(replica.part.message(replica.now, C, "promise", [1, [1, list(B)], None]))
    assert [item.kind for item in replica.run(SECOND, (C,))] == ["accept", "accept"]
    replica.part.message(replica.now, C, "accepted", [1, [1, list(B)]])
    replica.part.persisted(99)
    assert replica.part.is_primary()


def test_a_backup_does_not_wait_for_a_dead_primary_to_propose() -> None:
    """A backup must not wait for the proposal of a primary that it knows to be down."""
    replica = SingleViewManager(B, bootstrap_state(ABC, B))
    replica.run(SECOND, (C,))
    assert replica.part.state.promised[0] == 0
    replica.run(100 * MS, (C,))
    assert replica.part.state.promised[0] == 1
    third = SingleViewManager(C, bootstrap_state(bootstrap_view([A[0], B[0], C[0]], 3), C))
    third.run(1_200 * MS, (B,))  # the copy before it is up and proposes first
    assert third.part.state.promised[0] == 0


def test_a_primary_that_comes_back_without_its_disk_is_not_waited_for() -> None:
    """After a restart of all machines, another replica responding at the primary's address shows that its disk is
    lost."""
    new_replica = (A[0], "0011")
    replica = SingleViewManager(B, bootstrap_state(ABC, B))
    replica.run(300 * MS, (C, new_replica))
    assert replica.part.state.promised[0] == 1
    for up in (
        (new_replica,),
        (A, C),
        (C,),
        (C, ("10.0.0.9:7340", "0011")),
    ):  # too few, all up, not yet timed out, unknown address
        replica = SingleViewManager(B, bootstrap_state(ABC, B))
        replica.run(800 * MS, up)
        assert replica.part.state.promised[0] == 0, up


def test_a_promise_is_binding_and_reported() -> None:
    replica = SingleViewManager(C, bootstrap_state(ABC, C))
    value = View(2, B, (C,), ABC.witnesses)

    def send(sender: Replica, kind: str, round_: int, *more: Any) -> list[ElectionMessage]:
        body = [ABC.pack(), [round_, list(sender)], *more]
        return replica.sort(replica.part.message(replica.now, sender, kind, body)) + replica.kept()

    assert [s.kind for s in send(B, "prepare", 2)] == ["promise"]
    [refused] = send(A, "prepare", 1)
    assert refused.kind == "refused" and refused.body[1] == 2
    assert [s.kind for s in send(B, "accept", 2, value.pack())] == ["accepted"]
    [promise] = send(A, "prepare", 3)
    assert promise.kind == "promise" and promise.body[2] == [[2, list(B)], value.pack()]
    assert [s.kind for s in send(B, "accept", 2, value.pack())] == ["refused"]


def test_a_replica_without_its_disk_neither_votes_nor_counts() -> None:
    """It returns at its address with another incarnation, and is admitted by the next view."""
    new_replica = (A[0], "0011")
    replica = SingleViewManager(new_replica, DurableState())
    out = replica.part.message(replica.now, B, "prepare", [ABC.pack(), [1, list(B)]])
    assert not replica.sort(out) + replica.kept()
    other = SingleViewManager(B, bootstrap_state(ABC, B))
    other.run(2 * SECOND, (C, new_replica))
    other.kept()
    said = other.sort(other.part.message(other.now, C, "promise", [1, [1, list(B)], None])) + other.kept()
    assert {s.kind for s in said} == {"accept"}
    assert said[0].body[2] == View(2, B, (new_replica,), (new_replica, B, C)).pack()


def test_nobody_waits_for_a_primary_that_is_shutting_down() -> None:
    """A planned shutdown must not stop changes for a whole heartbeat timeout, as a crash does."""
    world = settled()
    machine, core, _ = roles(world)
    core.leave(lambda: None)
    world.run(PEER_TIMEOUT_US * 3 // 4)
    serving = world.serving()
    assert serving is not None and serving is not machine
