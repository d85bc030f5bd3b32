"""The control state in simulated time: faults drawn by seed, and what each bug that was found once would break."""

from __future__ import annotations

from typing import Any, cast

import cbor2
import pytest

from oakvale.controlplane.core import PEER_TIMEOUT_US, Core
from oakvale.controlplane.replicated_state import ReplicatedState
from oakvale.controlplane.view_change import (
    FOUNDER,
    Durable,
    Keep,
    Moved,
    Say,
    Seat,
    View,
    ViewManager,
    founded,
    founding,
)
from oakvale.dissemination.table import NOTHING
from tests.control_plane_simulation import Link, Machine, World
from tests.simulated_processes import MS, SECOND

SHAPES = ((3, 1, 3), (4, 1, 3), (5, 2, 5), (3, 1, 3), (5, 2, 3))  # machines, tolerance, seeds
A, B, C = (("10.0.0.1:7340", FOUNDER), ("10.0.0.2:7340", FOUNDER), ("10.0.0.3:7340", FOUNDER))
ABC = founding([A[0], B[0], C[0]], 2)


@pytest.mark.parametrize("seed", range(24))
def test_a_day_of_faults(seed: int) -> None:
    """All that was acknowledged is read later, and somebody serves 10 s after all heals: the judge is in `world`."""
    World(seed, *SHAPES[seed % len(SHAPES)]).day(5)


@pytest.mark.parametrize("seed", range(100, 108))
def test_a_day_of_faults_with_much_that_is_forgotten(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Markers and graves go from all copies, disks and gateways, whoever is primary."""
    monkeypatch.setattr("oakvale.dissemination.table.GRAVES", 3)
    world = World(seed, *SHAPES[seed % len(SHAPES)], prunes=(200 * MS, 600 * MS))
    world.day(5)
    world.run(4 * SECOND)
    for core in roles(world)[1:]:
        assert core.replicated_state.table.floor > NOTHING
        assert len(core.replicated_state.table.since(NOTHING)) < 20
    for machine in (m for m in world.machines if m.core in roles(world)[1:]):
        assert len(machine.disk.rows) < 20 and set(machine.disk.rows) == {
            key for key, _, _ in cast(Core, machine.core).replicated_state.table.since(NOTHING)
        }


def test_a_pruned_state_survives_a_takeover(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("oakvale.dissemination.table.GRAVES", 3)
    world = World(1, prunes=(200 * MS, 600 * MS))
    world.run(2 * SECOND)
    for _ in range(30):
        world.change(roles(world)[0])
        world.run(100 * MS)
    world.run(4 * SECOND)
    machine, core, backup = roles(world)
    kept = core.replicated_state.table.since(NOTHING)
    assert (
        len(kept) < 15
        and backup.replicated_state.table.since(NOTHING) == kept
        and core.replicated_state.table.floor > NOTHING
    )
    world.down(machine, 6 * SECOND)
    world.run(3 * SECOND)
    now, found, _ = roles(world)
    assert found is backup and found.replicated_state.table.floor >= core.replicated_state.table.floor
    assert [e for e in kept if e[0].startswith("k")] == [
        e for e in found.replicated_state.table.since(NOTHING) if e[0].startswith("k")
    ]
    world.run(8 * SECOND)
    world.change(now)
    world.run(SECOND)
    assert world.gateway.since(NOTHING) == roles(world)[1].replicated_state.table.since(NOTHING)


def test_rows_whose_forgetting_was_cut_short_go_at_the_next_start() -> None:
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
    """The primary's machine and part, and the part of its backup."""
    machine = world.serving()
    assert machine is not None and machine.core is not None
    view = machine.core.view()
    assert view is not None
    [backup] = [m for m in world.machines if m.core is not None and m.core.self_id == view.backups[0]]
    assert backup.core is not None
    return machine, machine.core, backup.core


def test_everything_killed_comes_back_with_its_view() -> None:
    world = settled()
    view = roles(world)[1].view()
    for machine in world.machines:
        world.down(machine, 500 * MS)
    world.run(2_500 * MS)
    assert roles(world)[1].view() == view


@pytest.mark.parametrize("wiped", [True, False])
def test_a_view_whose_primary_died_before_it_was_decided(wiped: bool) -> None:
    """Another seat had to finish its ballot. No copy was complete in that view, and the system stood for good."""
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
    """Three witnesses, as many as there are seeds, do not outlive the loss of two."""
    world = settled(5, 2, 3)
    world.run(3 * SECOND)
    for machine in world.machines[1:3]:
        world.down(machine, SECOND, wiped=True)
    world.run(10 * SECOND)
    assert world.serving() is not None


def test_an_older_state_that_comes_late_undoes_nothing() -> None:
    """Bytes of a connection that was given up are read behind those of the next; the backup took them, and what
    it had vouched for was gone."""
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
    high, answers = backup.replicated_state.table.high, list[Any]()
    assert world.acknowledged == 1 and machine.life is not None
    backup.transport.handlers["sync"](cast(Any, Link(machine.life, None)), bodies[-1], answers.append)
    world.run(SECOND)
    assert answers == [False] and backup.replicated_state.table.high == high


def test_pulses_of_a_primary_that_starts_again_are_newer() -> None:
    """They began at one again, in the same view: all gateways held the news for stale."""
    world = settled()
    machine, core, _ = roles(world)
    before = core._next_pulse()
    world.down(machine, 100 * MS)
    world.run(2 * SECOND)
    again = roles(world)[1]
    assert again.self_id == core.self_id and again is not core and again._next_pulse() > before


def test_founders_keep_what_they_founded() -> None:
    """All stop before anything else is on disk, and the lists of seeds differ at the next start."""
    world = World(1, 4, 1, 3)
    world.run(9 * MS)
    for machine in world.machines:
        world.down(machine, 10 * MS)
    world._seeds = world._seeds[1:] + (("10.0.0.4", 8783),)
    world.run(3 * SECOND)
    assert roles(world)[1].view() == ABC


def test_a_primary_that_was_replaced_takes_no_change_before_that_is_on_its_disk() -> None:
    """And whoever waits for a change is told when the state is replaced under it."""
    world = settled()
    machine, core, backup = roles(world)
    machine.disk_hangs = world.now + 5 * SECOND
    told: list[bool] = []
    core.change({"a": 1}, told.append)
    view = View(2, backup.self_id, (core.self_id,), ABC.witnesses)
    assert machine.life is not None
    body = [view.pack(), list(backup.self_id), [1, 1], [0, [], []], []]
    core.transport.handlers["sync"](cast(Any, Link(machine.life, None)), body, print)
    assert told == [False]
    core.change({"a": 2}, told.append)
    assert told == [False, False]


def test_what_is_given_up_stays_as_it_does_on_disk() -> None:
    """Gone from memory alone, it came back with the next start, behind what others had been told."""
    replicated_state, told = ReplicatedState(), list[bool]()
    replicated_state.start(1)
    replicated_state.propose({"a": 1}, {A, B}, told.append)
    for then in replicated_state.abandon():
        then(False)
    assert told == [False] and replicated_state.table.get("a") == 1 and not replicated_state.waits()


# ---- one seat alone


class Alone:
    """Tells a seat that the others are up or down, and keeps what it says."""

    def __init__(self, own: Seat, state: Durable) -> None:
        self.part = ViewManager(own, state, 2, 900 * MS, 7 * SECOND)
        self.now = 1_000 * SECOND
        self.keeps: list[Keep] = []

    def run(self, span: int, up: tuple[Seat, ...]) -> list[Say]:
        said: list[Say] = []
        for _ in range(span // (100 * MS)):
            self.now += 100 * MS
            out = self.part.tick(self.now)
            for peer in up:
                out += self.part.heard(self.now, peer, "", None)
            said += self.sort(out)
        return said

    def sort(self, out: list[Any]) -> list[Say]:
        self.keeps += [item for item in out if isinstance(item, Keep)]
        return [item for item in out if isinstance(item, Say)]

    def kept(self) -> list[Say]:
        said: list[Say] = []
        while self.keeps:
            said += self.sort(self.part.kept(self.keeps.pop(0).number))
        return said


def test_a_ballot_goes_out_once_its_own_promise_is_on_disk() -> None:
    """After a crash the same ballot went out again, with another successor: both could be decided."""
    seat = Alone(B, founded(ABC, B))
    assert not seat.run(2 * SECOND, (C,)) and seat.part.state.promised[0] == 1
    assert [(item.to, item.kind) for item in seat.kept()] == [(A, "prepare"), (C, "prepare")]


def test_nobody_proposes_behind_a_view_that_is_not_on_its_disk() -> None:
    """Back in the view before after a crash, it was not complete in the one it had won, and nobody else was."""
    seat = Alone(B, founded(ABC, B))
    moved = seat.part.learn(View(2, B, (C,), ABC.witnesses))
    assert not any(isinstance(item, Moved) for item in moved)
    seat.sort(moved)
    assert not seat.run(2 * SECOND, (A,)) and seat.part.state.promised[0] == 0
    seat.kept()
    seat.run(SECOND // 2, (A,))
    assert seat.part.state.promised[0] == 1


def test_a_slow_disk_gets_the_time_to_answer() -> None:
    """A new ballot every 0.9 s overtook the answers to the one before, and nobody was ever elected."""
    seat = Alone(B, founded(ABC, B))
    seat.run(1_200 * MS, (C,))
    assert seat.part.state.promised[0] == 1 and len(seat.kept()) == 2
    again = seat.run(SECOND, (C,))
    assert [(item.to, item.kind, item.body[1][0]) for item in again] == [(A, "prepare", 1), (C, "prepare", 1)]
    seat.sort(seat.part.message(seat.now, C, "promise", [1, [1, list(B)], None]))
    assert [item.kind for item in seat.run(SECOND, (C,))] == ["accept", "accept"]
    seat.part.message(seat.now, C, "accepted", [1, [1, list(B)]])
    seat.part.kept(99)
    assert seat.part.is_primary()


def test_a_dead_primary_is_not_given_its_turn() -> None:
    """The backup waited for the primary's turn to propose, after it had found that primary dead."""
    seat = Alone(B, founded(ABC, B))
    seat.run(SECOND, (C,))
    assert seat.part.state.promised[0] == 0
    seat.run(100 * MS, (C,))
    assert seat.part.state.promised[0] == 1
    third = Alone(C, founded(founding([A[0], B[0], C[0]], 3), C))
    third.run(1_200 * MS, (B,))  # the copy before it is up and has its turn
    assert third.part.state.promised[0] == 0


def test_a_primary_that_comes_back_without_its_disk_is_not_waited_for() -> None:
    """After all were killed the others gave it 0.9 s to be heard, though another seat spoke from its address."""
    fresh = (A[0], "0011")
    seat = Alone(B, founded(ABC, B))
    seat.run(300 * MS, (C, fresh))
    assert seat.part.state.promised[0] == 1
    for up in ((fresh,), (A, C), (C,), (C, ("10.0.0.9:7340", "0011"))):  # too few, all well, late, a stranger
        seat = Alone(B, founded(ABC, B))
        seat.run(800 * MS, up)
        assert seat.part.state.promised[0] == 0, up


def test_a_promise_binds_and_is_told() -> None:
    seat = Alone(C, founded(ABC, C))
    value = View(2, B, (C,), ABC.witnesses)

    def told(sender: Seat, kind: str, round_: int, *more: Any) -> list[Say]:
        body = [ABC.pack(), [round_, list(sender)], *more]
        return seat.sort(seat.part.message(seat.now, sender, kind, body)) + seat.kept()

    assert [s.kind for s in told(B, "prepare", 2)] == ["promise"]
    [refused] = told(A, "prepare", 1)
    assert refused.kind == "refused" and refused.body[1] == 2
    assert [s.kind for s in told(B, "accept", 2, value.pack())] == ["accepted"]
    [promise] = told(A, "prepare", 3)
    assert promise.kind == "promise" and promise.body[2] == [[2, list(B)], value.pack()]
    assert [s.kind for s in told(B, "accept", 2, value.pack())] == ["refused"]


def test_a_seat_that_lost_its_disk_neither_votes_nor_counts() -> None:
    """It comes back under its address with another incarnation, and is let in by the next view."""
    fresh = (A[0], "0011")
    seat = Alone(fresh, Durable())
    out = seat.part.message(seat.now, B, "prepare", [ABC.pack(), [1, list(B)]])
    assert not seat.sort(out) + seat.kept()
    other = Alone(B, founded(ABC, B))
    other.run(2 * SECOND, (C, fresh))
    other.kept()
    said = other.sort(other.part.message(other.now, C, "promise", [1, [1, list(B)], None])) + other.kept()
    assert {s.kind for s in said} == {"accept"}
    assert said[0].body[2] == View(2, B, (fresh,), (fresh, B, C)).pack()


def test_a_primary_that_is_told_to_end_is_not_waited_for() -> None:
    """A planned end cost as long a stop of all changes as a crash: nine tenths of a second of silence first."""
    world = settled()
    machine, core, _ = roles(world)
    core.leave(lambda: None)
    world.run(PEER_TIMEOUT_US * 3 // 4)
    serving = world.serving()
    assert serving is not None and serving is not machine
