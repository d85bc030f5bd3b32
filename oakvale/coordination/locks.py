"""The state machine of the locks: who holds each, with which fencing token, and until when.

No I/O and no clock: times are microseconds of the steady clock, read by the caller at the moment of the call. A hold
counts from then, while its holder counts from when it sent the call, which is earlier.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from oakvale.coordination.decisions import CallReply, Decision
from oakvale.coordination.entries import LOCK_PREFIX, LockEntry

MAX_LOCKS = 4_096
CLOCK_MARGIN_US = 50_000  # between the end of a hold and the next holder; covers drift between clocks
NEVER_HELD = LockEntry(0, "", 0)
LOST = CallReply(409)


@dataclass(slots=True)
class Lock:
    """One lock. Its entries never repeat, so it has a pending one exactly while `newest` and `in_force` differ."""

    newest: LockEntry = NEVER_HELD  # pending or in force
    in_force: LockEntry = NEVER_HELD
    held_until: int = 0  # by the owner of the newest entry

    def is_pending(self) -> bool:
        """Whether the newest entry is not in force yet."""
        return self.newest != self.in_force

    def is_held_by(self, owner: str, now: int) -> bool:
        """Whether this owner holds it and its time has not run out."""
        return self.newest.owner == owner and now < self.held_until

    def is_barred_for(self, owner: str, now: int) -> bool:
        """Whether another may still take itself to be the holder."""
        return self.newest.owner not in ("", owner) and now < self.held_until + CLOCK_MARGIN_US


class Locks:
    """All locks by name."""

    def __init__(self) -> None:
        self._locks: dict[str, Lock] = {}

    def __len__(self) -> int:
        return len(self._locks)

    def rebuild(
        self,
        in_force: Iterable[tuple[str, LockEntry]],
        pending: Iterable[tuple[str, LockEntry]],
        now: int,
        is_same_term: bool,
    ) -> None:
        """Starts anew from the replicated state. Every holder may have been renewed until just now by another primary,
        unless this one has been serving since the last rebuild (`is_same_term`)."""
        earlier = self._locks if is_same_term else {}
        self._locks = {name: Lock(entry, entry) for name, entry in in_force}
        for name, entry in pending:
            self._locks.setdefault(name, Lock()).newest = entry
        for name, lock in self._locks.items():
            known = earlier.get(name)
            if known is not None and (known.newest.fence, known.newest.owner) == (lock.newest.fence, lock.newest.owner):
                lock.held_until = known.held_until
            elif lock.newest.owner:
                lock.held_until = now + lock.newest.longest_hold_us

    def put_in_force(self, name: str, entry: LockEntry) -> None:
        """An entry has come into force."""
        self._locks[name].in_force = entry

    def expired_holder(self, name: str, now: int) -> str:
        """The owner whose time ran out without a release; empty if there is none."""
        lock = self._locks.get(name)
        return lock.newest.owner if lock is not None and now >= lock.held_until else ""

    def held_count(self, now: int) -> int:
        """How many locks are held."""
        return sum(1 for lock in self._locks.values() if lock.is_held_by(lock.newest.owner, now))

    def begin(self, name: str, owner: str, hold_us: int, now: int) -> Decision:
        """Acquires a lock that is free, with a new fence; a holder that asks again gets more time."""
        lock = self._locks.get(name)
        if lock is None:
            if len(self._locks) >= MAX_LOCKS:
                return Decision(CallReply(429, {"error": "too many locks"}))
            lock = self._locks[name] = Lock()
        if lock.is_held_by(owner, now):
            return _extend(name, lock, hold_us, now, CallReply(200, {"fence": lock.newest.fence}))
        if lock.is_barred_for(owner, now):
            return Decision(LOST, rests_on_pending=lock.is_pending())
        lock.held_until = now + hold_us
        entry = LockEntry(lock.newest.fence + 1, owner, hold_us)
        return _replace(name, lock, entry, CallReply(200, {"fence": entry.fence}))

    def renew(self, name: str, owner: str, fence: int, hold_us: int, now: int) -> Decision:
        """Gives the holder more time."""
        lock = self._locks.get(name)
        if lock is None:
            return Decision(LOST)
        if lock.newest.fence != fence or not lock.is_held_by(owner, now):
            return Decision(LOST, rests_on_pending=lock.is_pending())
        return _extend(name, lock, hold_us, now, CallReply(200))

    def finish(self, name: str, owner: str, fence: int) -> Decision:
        """Releases the lock if this owner has it with this fence, also after its time ran out."""
        lock = self._locks.get(name)
        if lock is None:
            return Decision(CallReply(200))
        if (lock.newest.fence, lock.newest.owner) != (fence, owner):
            return Decision(CallReply(200), rests_on_pending=lock.is_pending())
        lock.held_until = 0
        return _replace(name, lock, LockEntry(fence, "", 0), CallReply(200))


def _extend(name: str, lock: Lock, hold_us: int, now: int, reply: CallReply) -> Decision:
    """Lets the holder keep the lock for longer. Its entry changes only if it was never granted a hold of this length,
    as the next primary assumes a renewal by the longest one."""
    lock.held_until = max(lock.held_until, now + hold_us)
    if hold_us <= lock.newest.longest_hold_us:
        return Decision(reply, rests_on_pending=lock.is_pending())
    return _replace(name, lock, LockEntry(lock.newest.fence, lock.newest.owner, hold_us), reply)


def _replace(name: str, lock: Lock, entry: LockEntry, reply: CallReply) -> Decision:
    lock.newest = entry
    return Decision(reply, {LOCK_PREFIX + name: entry.pack()})
