"""The state machine of the locks."""

from __future__ import annotations

from typing import Any

import pytest

from oakvale.coordination import locks as locks_module
from oakvale.coordination.decisions import Decision
from oakvale.coordination.entries import LOCK_PREFIX, LockEntry
from oakvale.coordination.locks import CLOCK_MARGIN_US, Locks

T = 10**12
SECOND = 1_000_000
HOLD = 3 * SECOND
KEY = LOCK_PREFIX + "l"


def put_in_force(locks: Locks, decision: Decision) -> Decision:
    for key, value in decision.changes.items():
        locks.put_in_force(key.removeprefix(LOCK_PREFIX), LockEntry.unpack(value))
    return decision


def begin(locks: Locks, owner: str, now: int = T, hold_us: int = HOLD) -> Decision:
    return put_in_force(locks, locks.begin("l", owner, hold_us, now))


def renew(locks: Locks, owner: str, fence: int, now: int, hold_us: int = HOLD) -> Decision:
    return put_in_force(locks, locks.renew("l", owner, fence, hold_us, now))


def outcome(decision: Decision) -> tuple[int, Any, list[Any]]:
    return decision.reply.status, decision.reply.fields.get("fence"), list(decision.changes.values())


def test_one_holder_at_a_time_and_rising_fences() -> None:
    locks, over = Locks(), T + HOLD + CLOCK_MARGIN_US
    assert outcome(begin(locks, "a")) == (200, 1, [[1, "a", HOLD]])
    assert outcome(begin(locks, "b", over - 1)) == (409, None, [])
    assert locks.expired_holder("l", over) == "a" and locks.held_count(T) == 1 and locks.held_count(over) == 0
    assert outcome(begin(locks, "b", over)) == (200, 2, [[2, "b", HOLD]])
    put_in_force(locks, locks.finish("l", "b", 2))
    assert outcome(begin(locks, "a", over)) == (200, 3, [[3, "a", HOLD]])


def test_the_holder_gets_its_fence_again_and_never_less_time() -> None:
    locks = Locks()
    begin(locks, "a")
    assert outcome(begin(locks, "a", T + SECOND, SECOND)) == (200, 1, [])
    assert outcome(begin(locks, "b", T + HOLD - 1)) == (409, None, [])
    assert outcome(begin(locks, "a", T + HOLD - 1)) == (200, 1, [])
    assert outcome(begin(locks, "b", T + 2 * HOLD - 1)) == (409, None, [])


def test_the_same_owner_gets_a_new_fence_once_its_time_ran_out() -> None:
    locks = Locks()
    begin(locks, "a")
    assert outcome(begin(locks, "a", T + HOLD)) == (200, 2, [[2, "a", HOLD]])
    assert outcome(renew(locks, "a", 1, T + HOLD)) == (409, None, [])


def test_only_a_longer_hold_is_written() -> None:
    locks = Locks()
    begin(locks, "a")
    assert outcome(renew(locks, "a", 1, T + 1)) == (200, None, [])
    assert outcome(renew(locks, "a", 1, T + 2, HOLD + 1)) == (200, None, [[1, "a", HOLD + 1]])
    assert outcome(renew(locks, "a", 1, T + 3, HOLD + 1)) == (200, None, [])


def test_a_late_heartbeat_is_lost() -> None:
    locks = Locks()
    begin(locks, "a")
    assert outcome(renew(locks, "a", 1, T + HOLD)) == (409, None, [])  # after its time
    assert outcome(renew(locks, "a", 2, T)) == outcome(renew(locks, "b", 1, T)) == (409, None, [])
    put_in_force(locks, locks.finish("l", "a", 1))
    assert outcome(renew(locks, "a", 1, T)) == (409, None, [])  # after the release
    assert locks.renew("unknown", "a", 1, HOLD, T).reply.status == 409


def test_a_release_counts_only_from_the_holder() -> None:
    locks = Locks()
    begin(locks, "a")
    for owner, fence in (("b", 1), ("a", 2)):
        assert outcome(locks.finish("l", owner, fence)) == (200, None, [])
    assert outcome(begin(locks, "b")) == (409, None, [])
    assert outcome(locks.finish("l", "a", 1)) == (200, None, [[1, "", 0]])
    assert locks.finish("l", "a", 1) == Decision(locks.finish("l", "a", 1).reply, rests_on_pending=True)
    assert outcome(begin(locks, "b")) == (200, 2, [[2, "b", HOLD]])  # its change comes behind the release
    assert locks.finish("unknown", "a", 1).reply.status == 200


def test_a_rebuilt_lock_is_held_for_its_longest_hold() -> None:
    """Another primary may have renewed it until just before."""
    locks, now = Locks(), T + HOLD + CLOCK_MARGIN_US
    begin(locks, "a")
    entry = LockEntry(1, "a", HOLD)
    locks.rebuild([("l", entry)], [], now, is_same_term=False)
    assert outcome(begin(locks, "b", now + HOLD)) == (409, None, [])
    assert outcome(begin(locks, "b", now + HOLD + CLOCK_MARGIN_US)) == (200, 2, [[2, "b", HOLD]])
    locks.rebuild([("l", entry)], [("l", LockEntry(2, "b", HOLD))], T, is_same_term=False)
    assert locks.begin("l", "a", HOLD, T).rests_on_pending
    locks.rebuild([("l", LockEntry(2, "", 0))], [], T, is_same_term=False)
    assert outcome(begin(locks, "a")) == (200, 3, [[3, "a", HOLD]])


def test_an_unchanged_holder_keeps_its_time_within_a_term() -> None:
    locks = Locks()
    begin(locks, "a")
    entry, over = LockEntry(1, "a", HOLD), T + HOLD + CLOCK_MARGIN_US
    locks.rebuild([("l", entry)], [], over - 1, is_same_term=True)
    assert outcome(begin(locks, "b", over - 1)) == (409, None, [])
    locks.begin("l", "b", HOLD, over)  # turned away: the holder before it is in force still
    locks.rebuild([("l", entry)], [], over, is_same_term=True)
    assert outcome(begin(locks, "b", over)) == (409, None, [])


def test_names_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(locks_module, "MAX_LOCKS", 1)
    locks = Locks()
    begin(locks, "a")
    refused = locks.begin("other", "a", HOLD, T)
    assert refused.reply.status == 429 and not refused.changes and len(locks) == 1
