"""Leases: of two primaries only one serves at a time, and who can't know answers at once."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

from oakvale.controlplane.core import SILENCE
from oakvale.controlplane.leases import MARGIN, Leases, Waiting
from oakvale.controlplane.replication import StateReplaced
from oakvale.controlplane.view_change import BOOTSTRAP_INCARNATION, Replica, View, bootstrap_view
from oakvale.controlplane.voter import VoterService
from oakvale.election.voting import VOTE_DURATION_US
from tests.simulated_processes import MS
from tests.test_view_change import roles, settled

A, B, C = (("a:1", BOOTSTRAP_INCARNATION), ("b:1", BOOTSTRAP_INCARNATION), ("c:1", BOOTSTRAP_INCARNATION))
ONE = bootstrap_view([A[0], B[0], C[0]], 2)
TWO = View(2, B, (C,), ONE.witnesses)
T = 10**9
SECOND, LASTS = 1_000_000, SILENCE - MARGIN


def leases(own: Replica, view: View = ONE, served: int = 0, now: int = T) -> Leases:
    return Leases(own, SILENCE, now, view, served)


def test_a_lease_counts_from_when_the_question_was_sent() -> None:
    """However late the answer is read: after a pause, or behind a cut."""
    held = leases(A)
    assert not held.holds(ONE, T)
    held.answered(B, 1, T)
    assert held.holds(ONE, T + LASTS - 1) and not held.holds(ONE, T + LASTS)
    held.answered(B, 1, T - SECOND)
    assert held.until(ONE) == T + LASTS
    held.answered(B, 1, T + 5)
    assert held.until(ONE) == T + LASTS + 5


def test_a_lease_is_of_one_view_and_of_all_its_backups() -> None:
    held, both = leases(A), View(1, A, (B, C), ONE.witnesses)
    held.answered(B, 1, T)
    assert not held.holds(both, T) and not held.holds(View(2, A, (B,), ONE.witnesses), T)
    held.answered(C, 1, T - 10)
    assert held.until(both) == T - 10 + LASTS
    held.answered(B, 2, T)
    assert not held.holds(both, T)
    assert leases(A).until(View(1, A, (), (A,))) > T + 10**12  # nobody else could


def test_who_granted_a_lease_waits_until_it_has_run_out() -> None:
    held = leases(B)
    assert held.grant(ONE, A, T) == 1 and held.grant(ONE, C, T) == 0 and held.grant(TWO, A, T) == 0
    held.answered(C, 2, T + SILENCE - 1)
    assert not held.holds(TWO, T + SILENCE - 1) and held.holds(TWO, T + SILENCE)


def test_what_was_granted_before_a_start_is_not_known() -> None:
    """But for who had served in its view before, and for who leads the first view."""
    for own, view, served, free in (
        (B, TWO, 0, False),
        (B, TWO, 1, False),
        (B, TWO, 2, True),
        (A, ONE, 0, True),
        (B, ONE, 0, False),
        (C, TWO, 2, False),
    ):
        held = leases(own, view, served)
        assert held.free(T) is free and held.free(T + SILENCE), (view, served)


def test_who_has_ended_holds_nothing_any_more() -> None:
    held = leases(B)
    held.grant(ONE, A, T)
    held.speaks(A, 1)
    held.ended(C)
    assert not held.free(T)
    held.speaks((A[0], "0011"), 0)
    assert held.free(T)
    held.grant(ONE, A, T)
    held.speaks(A, 2)  # it knows that it was replaced
    assert held.free(T)
    held.grant(ONE, A, T)
    held.ended(A)
    assert held.free(T)
    own = leases(A)
    own.answered(B, 1, T)
    own.give_up()
    assert not own.holds(ONE, T)


def test_an_author_hears_once_and_soon() -> None:
    waiting, told = Waiting(SECOND), list[tuple[str, bool]]()
    first = waiting.add(lambda done: told.append(("first", done)), T)
    second = waiting.add(lambda done: told.append(("second", done)), T + 5)
    first(True), first(True)
    assert told == [("first", True)] and waiting.due() == T + 5 + SECOND and not waiting.over(T + SECOND, False)
    for then in waiting.over(T + 6, True):
        then(False)
    second(True)
    assert told == [("first", True), ("second", False)] and not waiting


# ---- a core that serves by them


def test_a_long_time_without_a_lease_is_a_new_beginning() -> None:
    """Or a primary that was frozen with its backup counts the backends' and gateways' silence from before."""
    world = settled()
    machine, core, backup = roles(world)
    told: list[bool] = []
    core.on_change.append(told.append)
    other = next(m for m in world.machines if m.core is backup)
    for span, began in ((600 * MS, []), (20 * SECOND, [True])):
        world.pause(machine, span)
        world.pause(other, span)
        world.run(span + SECOND)
        assert world.serving() is machine and told == began


def test_a_copy_that_does_not_serve_mends_nobody() -> None:
    """It may hold what is not in force, or was replaced."""
    world = settled()
    answers: list[Any] = []
    for core in roles(world)[1:]:
        core.transport.handlers["digests"](cast(Any, None), [b""] * 16, answers.append)
    assert answers[0] is not None and answers[1] is None


def test_words_of_an_earlier_life_end_nothing_and_renew_nothing() -> None:
    world = settled()
    machine, core, backup = roles(world)
    before = core.replicator.start_number
    world.down(machine, 100 * MS)
    world.run(2 * SECOND)
    core = roles(world)[1]
    assert core.replicator.start_number > before
    backup._gone(cast(Any, None), [*core.own, before], print)
    assert backup.view_manager.alive(core.own, world.now) and not backup._leases.free(world.now)
    answers: list[int] = []
    body = [list(core.own), "z0", core.view().pack(), [], before]  # type: ignore[union-attr]
    backup._heard(cast(Any, None), body, answers.append)
    assert answers == []
    backup._gone(cast(Any, None), [*core.own, core.replicator.start_number], print)
    assert not backup.view_manager.alive(core.own, world.now) and backup._leases.free(world.now)


def test_a_vote_binds_from_when_it_is_given() -> None:
    """A juror that is stopped within a turn goes on with the clock of before, and would vote for another at once."""
    time = [T]
    loop = SimpleNamespace(now=T - 20 * SECOND, clock=lambda: time[0], at=lambda *_: [])
    disk = SimpleNamespace(fact=lambda name: None, write=lambda what, then: then())
    transport = SimpleNamespace(handlers={}, ask=lambda *_: None)
    VoterService(cast(Any, loop), cast(Any, transport), cast(Any, disk))
    said: list[list[Any]] = []
    for at, life in ((T, "one"), (T + VOTE_DURATION_US - 1, "other"), (T + VOTE_DURATION_US, "other")):
        time[0] = at
        loop.now = at if life == "other" else loop.now
        transport.handlers["ballot"](None, ["counter", "elect", [1, life], "h:1"], said.append)
    assert [word[2] for word in said] == [True, False, True]


def test_who_is_given_the_state_waits_as_if_it_had_granted_a_lease() -> None:
    """Its primary may have granted one to the primary before, and end at once."""
    world = settled()
    backup = roles(world)[2]
    backup._leases._granted.clear()
    backup._do([StateReplaced()])
    assert not backup._leases.free(world.now)


def test_who_served_in_its_view_does_not_wait_after_a_start() -> None:
    world = settled()
    world.down(roles(world)[0], 5 * SECOND)
    world.run(4 * SECOND)
    machine, core, _ = roles(world)
    assert core.view().number > 1 and machine.disk.facts["served"] == str(core.view().number).encode()  # type: ignore[union-attr]
    world.down(machine, 50 * MS)
    world.run(300 * MS)
    assert world.serving() is machine


def test_who_goes_while_it_is_missed_serves_no_longer() -> None:
    """Its backup takes over at once, without the silence; the process may have a moment left."""
    core = roles(settled())[1]
    assert core.serving()
    core._look_whether_missed((0, lambda: None))
    assert not core.serving()
