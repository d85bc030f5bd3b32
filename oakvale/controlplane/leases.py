"""Leases, which ensure that at most one primary serves at a time.

No I/O and no clock: times are microseconds of the steady clock, read by the caller at the moment of the call. A primary
asks each backup of its view for a lease several times a second. An answer that the backup is in this view renews the
lease for the lease period less `CLOCK_MARGIN_US`, counted from when the request was *sent*, so neither a pause nor a
late answer can extend it. A backup that answered, or that took over the primary's state, does not serve in a later view
before the full lease period has passed since it *received* that. The next primary is always a backup of the last view
that served, or its primary itself, so two views never serve at once as long as clock rates differ by less than 5%.
Durability does not depend on leases: a change needs all copies of the view whoever holds the lease.
"""

from __future__ import annotations

from collections import deque

from oakvale.controlplane.replicated_state import Callback
from oakvale.controlplane.views import Replica, View

CLOCK_MARGIN_US = 50_000  # covers clock drift and replies sent just after the lease was checked
NEVER_US = 1 << 62  # later than any time of the clock


class Leases:
    """The leases that one replica holds as primary and has granted as backup, during one incarnation."""

    def __init__(self, self_id: Replica, lease_us: int, now: int, view: View | None, served: int) -> None:
        """`view` is the view on disk, `served` the number of the newest view in which this replica served, as stored
        there. Grants made before the start are lost, so one is assumed to have been made just now, unless this replica
        is the primary of the first view or has served in this view."""
        self._self_id, self._lease_us, self._held_us = self_id, lease_us, lease_us - CLOCK_MARGIN_US
        self._renewals: dict[Replica, tuple[int, int]] = {}  # backup -> the view it was in, when that request was sent
        self._relinquished = False
        no_grant_lost = view is None or view.primary == self_id and view.number in (1, served)
        # primary -> view and time of the latest grant; under its own id a possible grant to an earlier primary
        self._granted = {} if no_grant_lost or view is None else {view.primary: (view.number, now)}

    # ---- as primary

    def answered(self, backup: Replica, view: int, sent: int) -> None:
        """A backup reported the view it is in, in answer to a request sent at `sent`."""
        self._renewals[backup] = max(self._renewals.get(backup, (0, 0)), (view, sent))

    def expires_at(self, view: View) -> int:
        """When the lease expires unless it is renewed; 0 while a backup has not granted it."""
        renewals = [self._renewals.get(backup, (0, 0)) for backup in view.backups]
        if any(number != view.number for number, _ in renewals):
            return 0
        return min((sent + self._held_us for _, sent in renewals), default=NEVER_US)

    def holds(self, view: View, now: int) -> bool:
        """Whether this replica, the primary of the view, may serve at this moment."""
        return not self._relinquished and self.grants_expired(now) and now < self.expires_at(view)

    def grants_expired(self, now: int) -> bool:
        """Whether all leases that it granted have expired."""
        return all(now - granted >= self._lease_us for _, granted in self._granted.values())

    def relinquish(self) -> None:
        """Stops serving for good: this machine shuts down."""
        self._relinquished = True

    # ---- as backup

    def grant(self, view: View | None, to: Replica, now: int) -> int:
        """Answers a primary that asks for a lease: the number of the view in which this replica backs it, or 0."""
        if view is None or view.primary != to or self._self_id not in view.backups:
            return 0
        self._granted = {
            peer: (number, at) for peer, (number, at) in self._granted.items() if now - at < self._lease_us
        }
        self._granted[to] = view.number, now
        return view.number

    def peer_ended(self, peer: Replica) -> None:
        """The process of that replica has ended or has relinquished its lease."""
        if peer != self._self_id:
            self._granted.pop(peer, None)

    def peer_reported_view(self, peer: Replica, view: int) -> None:
        """The peer knows this view, so it serves in no earlier one; earlier replicas at its address have ended."""
        for other, (number, _) in [*self._granted.items()]:
            if other == peer and view > number or other != peer and other[0] == peer[0]:
                self.peer_ended(other)


class PendingCallbacks:
    """Callbacks of changes without a result. Each is called once: with True when the change is in force, or with False
    when that is not known."""

    def __init__(self, timeout_us: int) -> None:
        self._timeout_us = timeout_us
        self._entries: deque[tuple[int, _CalledOnce]] = deque()  # when each was added

    def __bool__(self) -> bool:
        while self._entries and self._entries[0][1].called:
            self._entries.popleft()
        return bool(self._entries)

    def add(self, on_done: Callback, now: int) -> Callback:
        """Returns the callback to use instead: it passes on only the first result."""
        once = _CalledOnce(on_done)
        self._entries.append((now, once))
        return once

    def next_deadline(self) -> int:
        """When the oldest times out."""
        return self._entries[0][0] + self._timeout_us if self else NEVER_US

    def take_expired(self, now: int, take_all: bool) -> list[Callback]:
        """Removes and returns the callbacks that timed out, or all; their changes may still come into force."""
        expired: list[Callback] = []
        while self and (take_all or self.next_deadline() <= now):
            expired.append(self._entries.popleft()[1])
        return expired


class _CalledOnce:
    __slots__ = ("on_done", "called")

    def __init__(self, on_done: Callback) -> None:
        self.on_done, self.called = on_done, False

    def __call__(self, done: bool) -> None:
        if not self.called:
            self.called = True
            self.on_done(done)
