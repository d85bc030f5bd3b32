"""Leases: only one primary serves at a time, and callers are answered at once when the outcome is unknown."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

from oakvale.controlplane.actions import StateReplaced
from oakvale.controlplane.core import PEER_TIMEOUT_US
from oakvale.controlplane.leases import CLOCK_MARGIN_US, Leases, PendingCallbacks
from oakvale.controlplane.views import BOOTSTRAP_INCARNATION, Replica, View, bootstrap_view
from oakvale.controlplane.voter import VoterService
from oakvale.election.voting import VOTE_DURATION_US
from tests.simulated_processes import MS
from tests.test_view_change import roles, settled

A, B, C = (("a:1", BOOTSTRAP_INCARNATION), ("b:1", BOOTSTRAP_INCARNATION), ("c:1", BOOTSTRAP_INCARNATION))
ONE = bootstrap_view([A[0], B[0], C[0]], 2)
TWO = View(2, B, (C,), ONE.witnesses)
T = 10**9
SECOND, HELD_US = 1_000_000, PEER_TIMEOUT_US - CLOCK_MARGIN_US


def leases(self_id: Replica, view: View = ONE, served: int = 0, now: int = T) -> Leases:
    return Leases(self_id, PEER_TIMEOUT_US, now, view, served)


def test_a_lease_starts_when_the_request_was_sent() -> None:
    """However late the answer is read, after a pause or a network cut."""
    held = leases(A)
    assert not held.holds(ONE, T)
    held.answered(B, 1, T)
    assert held.holds(ONE, T + HELD_US - 1) and not held.holds(ONE, T + HELD_US)
    held.answered(B, 1, T - SECOND)
    assert held.expires_at(ONE) == T + HELD_US
    held.answered(B, 1, T + 5)
    assert held.expires_at(ONE) == T + HELD_US + 5


def test_a_lease_needs_all_backups_of_the_same_view() -> None:
    held, both = leases(A), View(1, A, (B, C), ONE.witnesses)
    held.answered(B, 1, T)
    assert not held.holds(both, T) and not held.holds(View(2, A, (B,), ONE.witnesses), T)
    held.answered(C, 1, T - 10)
    assert held.expires_at(both) == T - 10 + HELD_US
    held.answered(B, 2, T)
    assert not held.holds(both, T)
    assert leases(A).expires_at(View(1, A, (), (A,))) > T + 10**12  # no other replica could take over


def test_a_backup_serves_only_after_the_lease_it_granted_has_expired() -> None:
    held = leases(B)
    assert held.grant(ONE, A, T) == 1 and held.grant(ONE, C, T) == 0 and held.grant(TWO, A, T) == 0
    held.answered(C, 2, T + PEER_TIMEOUT_US - 1)
    assert not held.holds(TWO, T + PEER_TIMEOUT_US - 1) and held.holds(TWO, T + PEER_TIMEOUT_US)


def test_after_a_start_a_grant_is_assumed() -> None:
    """Except by a replica that served in its view before, and by the primary of the first view."""
    for self_id, view, served, expired in (
        (B, TWO, 0, False),
        (B, TWO, 1, False),
        (B, TWO, 2, True),
        (A, ONE, 0, True),
        (B, ONE, 0, False),
        (C, TWO, 2, False),
    ):
        held = leases(self_id, view, served)
        assert held.grants_expired(T) is expired and held.grants_expired(T + PEER_TIMEOUT_US), (view, served)


def test_a_grant_ends_with_the_replica_that_it_was_made_to() -> None:
    held = leases(B)
    held.grant(ONE, A, T)
    held.peer_reported_view(A, 1)
    held.peer_ended(C)
    assert not held.grants_expired(T)
    held.peer_reported_view((A[0], "0011"), 0)
    assert held.grants_expired(T)
    held.grant(ONE, A, T)
    held.peer_reported_view(A, 2)  # it knows that it was replaced
    assert held.grants_expired(T)
    held.grant(ONE, A, T)
    held.peer_ended(A)
    assert held.grants_expired(T)
    primary = leases(A)
    primary.answered(B, 1, T)
    primary.relinquish()
    assert not primary.holds(ONE, T)


def test_a_callback_is_called_once_and_at_the_timeout_at_the_latest() -> None:
    pending, results = PendingCallbacks(SECOND), list[tuple[str, bool]]()
    first = pending.add(lambda done: results.append(("first", done)), T)
    second = pending.add(lambda done: results.append(("second", done)), T + 5)
    first(True), first(True)
    assert (
        results == [("first", True)]
        and pending.next_deadline() == T + 5 + SECOND
        and not pending.take_expired(T + SECOND, False)
    )
    for then in pending.take_expired(T + 6, True):
        then(False)
    second(True)
    assert results == [("first", True), ("second", False)] and not pending


# ---- a core with leases


def test_serving_after_a_long_gap_without_a_lease_starts_a_new_term() -> None:
    """Otherwise a primary that was frozen with its backup would count missed heartbeats of backends from before."""
    world = settled()
    machine, core, backup = roles(world)
    changes: list[bool] = []
    core.on_serving_change.append(changes.append)
    other = next(m for m in world.machines if m.core is backup)
    for span, expected in ((600 * MS, []), (20 * SECOND, [True])):
        world.pause(machine, span)
        world.pause(other, span)
        world.run(span + SECOND)
        assert world.serving() is machine and changes == expected


def test_only_the_serving_replica_answers_digests() -> None:
    """Another one may hold changes that are not in force or were replaced."""
    world = settled()
    answers: list[Any] = []
    for core in roles(world)[1:]:
        core.transport.handlers["digests"](cast(Any, None), [b""] * 16, answers.append)
    assert answers[0] is not None and answers[1] is None


def test_delayed_messages_of_an_earlier_incarnation_are_ignored() -> None:
    world = settled()
    machine, core, backup = roles(world)
    before = core.replicator.start_number
    world.down(machine, 100 * MS)
    world.run(2 * SECOND)
    core = roles(world)[1]
    assert core.replicator.start_number > before
    backup._on_gone(cast(Any, None), [*core.self_id, before], print)
    assert backup.view_manager.alive(core.self_id, world.now) and not backup._leases.grants_expired(world.now)
    answers: list[int] = []
    body = [list(core.self_id), "z0", core.view().pack(), [], before]  # type: ignore[union-attr]
    backup._on_heartbeat(cast(Any, None), body, answers.append)
    assert answers == []
    backup._on_gone(cast(Any, None), [*core.self_id, core.replicator.start_number], print)
    assert not backup.view_manager.alive(core.self_id, world.now) and backup._leases.grants_expired(world.now)


def test_a_vote_is_binding_from_when_it_is_given() -> None:
    """A voter paused within a turn still has the old `loop.now`; a vote dated by it would expire too early."""
    time = [T]
    loop = SimpleNamespace(now=T - 20 * SECOND, clock=lambda: time[0], at=lambda *_: [])
    disk = SimpleNamespace(fact=lambda name: None, write=lambda what, then: then())
    transport = SimpleNamespace(handlers={}, ask=lambda *_: None)
    VoterService(cast(Any, loop), cast(Any, transport), cast(Any, disk))
    votes: list[list[Any]] = []
    for at, incarnation in ((T, "one"), (T + VOTE_DURATION_US - 1, "other"), (T + VOTE_DURATION_US, "other")):
        time[0] = at
        loop.now = at if incarnation == "other" else loop.now
        transport.handlers["ballot"](None, ["counter", "elect", [1, incarnation], "h:1"], votes.append)
    assert [vote[2] for vote in votes] == [True, False, True]


def test_a_replica_that_takes_over_the_state_waits_as_if_it_had_granted_a_lease() -> None:
    """The primary that sent it may have granted a lease to its predecessor, and may end at once."""
    world = settled()
    backup = roles(world)[2]
    backup._leases._granted.clear()
    backup._do([StateReplaced()])
    assert not backup._leases.grants_expired(world.now)


def test_a_primary_that_served_in_its_view_does_not_wait_after_a_restart() -> None:
    world = settled()
    world.down(roles(world)[0], 5 * SECOND)
    world.run(4 * SECOND)
    machine, core, _ = roles(world)
    assert core.view().number > 1 and machine.disk.facts["served"] == str(core.view().number).encode()  # type: ignore[union-attr]
    world.down(machine, 50 * MS)
    world.run(300 * MS)
    assert world.serving() is machine


def test_a_primary_that_leaves_while_still_needed_stops_serving() -> None:
    """Its backup takes over without waiting for a timeout, while the process may still run for a moment."""
    core = roles(settled())[1]
    assert core.serving()
    core._check_departure((0, lambda: None))
    assert not core.serving()
