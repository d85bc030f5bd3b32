"""Leases: for how long a primary may serve without hearing more, and from when on the one after it may.

No I/O and no clock: times are microseconds of the steady clock that the caller reads at that moment. A primary asks
each backup of its view several times a second. An answer that the backup is in this view renews the lease, for the
silence less `MARGIN` from when the question was *sent*: neither a pause nor a slow or late answer can lengthen it.
Whoever answers, or takes the primary's state, does not serve in a later view before the whole silence has passed since
it *heard* that. Only a backup of a view in which somebody served can be the primary after it (or that primary itself,
which knows), so of two views only one serves at a time, if clocks run alike to a twentieth. Nothing of this decides
what is kept: an order needs all copies of the view whoever holds a lease.
"""

from __future__ import annotations

from collections import deque

from oakvale.controlplane.replicated_state import Callback
from oakvale.controlplane.view_change import Replica, View

MARGIN = 50_000  # microseconds, for what clocks differ by and for what is sent just after a look at the lease
NEVER = 1 << 62


class Leases:
    """What one seat holds as primary, and what it has granted as backup; from one start to its end."""

    def __init__(self, own: Replica, silence: int, now: int, view: View | None, served: int) -> None:
        """`view` is the one on disk, `served` the newest in which this seat is known there to have served. What it
        granted before its start it no longer knows: it may have been just now, unless it leads the first view, or has
        served in this one."""
        self._own, self._silence, self._lasts = own, silence, silence - MARGIN
        self._heard: dict[Replica, tuple[int, int]] = {}  # backup -> the view that it was in, when it was asked that
        self._given_up = False
        knows = view is None or view.primary == own and view.number in (1, served)
        # to whom, and when last; under its own name what it may have granted to whoever was primary before it
        self._granted = {} if knows or view is None else {view.primary: (view.number, now)}

    # ---- as primary

    def answered(self, backup: Replica, view: int, sent: int) -> None:
        """A backup says which view it was in, to a question that was sent then."""
        self._heard[backup] = max(self._heard.get(backup, (0, 0)), (view, sent))

    def until(self, view: View) -> int:
        """When the lease runs out unless it is renewed."""
        heard = [self._heard.get(backup, (0, 0)) for backup in view.backups]
        if any(number != view.number for number, _ in heard):
            return 0
        return min((sent + self._lasts for _, sent in heard), default=NEVER)

    def holds(self, view: View, now: int) -> bool:
        """Whether this seat, primary of the view, may serve at this moment."""
        return not self._given_up and self.free(now) and now < self.until(view)

    def free(self, now: int) -> bool:
        """Whether all that it granted has run out."""
        return all(now - granted >= self._silence for _, granted in self._granted.values())

    def give_up(self) -> None:
        """This machine ends."""
        self._given_up = True

    # ---- as backup

    def grant(self, view: View | None, to: Replica, now: int) -> int:
        """What to answer a primary that asks: the number of the view that this seat backs it in, or 0."""
        if view is None or view.primary != to or self._own not in view.backups:
            return 0
        self._granted = {peer: (number, at) for peer, (number, at) in self._granted.items() if now - at < self._silence}
        self._granted[to] = view.number, now
        return view.number

    def ended(self, peer: Replica) -> None:
        """This seat has ended, or given its lease up."""
        if peer != self._own:
            self._granted.pop(peer, None)

    def speaks(self, peer: Replica, view: int) -> None:
        """It knows this view, so it serves in none before; a former seat of its address has ended."""
        for other, (number, _) in [*self._granted.items()]:
            if other == peer and view > number or other != peer and other[0] == peer[0]:
                self.ended(other)


class Waiting:
    """Authors of changes who have not heard yet. Each hears once: it is in force, or it is not known to be."""

    def __init__(self, longest: int) -> None:
        self._longest = longest  # microseconds that one waits at most
        self._since: deque[tuple[int, _Once]] = deque()

    def __bool__(self) -> bool:
        while self._since and self._since[0][1].told:
            self._since.popleft()
        return bool(self._since)

    def add(self, then: Callback, now: int) -> Callback:
        """What is to be called instead."""
        once = _Once(then)
        self._since.append((now, once))
        return once

    def due(self) -> int:
        """When the first has waited long enough."""
        return self._since[0][0] + self._longest if self else NEVER

    def over(self, now: int, all_: bool) -> list[Callback]:
        """Those that are to hear now that it is not known; what they wait for may still come into force."""
        found: list[Callback] = []
        while self and (all_ or self.due() <= now):
            found.append(self._since.popleft()[1])
        return found


class _Once:
    __slots__ = ("then", "told")

    def __init__(self, then: Callback) -> None:
        self.then, self.told = then, False

    def __call__(self, done: bool) -> None:
        if not self.told:
            self.told = True
            self.then(done)
