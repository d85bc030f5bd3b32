"""The control state's entries on a core machine: what is in force, and what waits for both copies.

No I/O and no clock. A change is in force once this seat and every backup of the view have synced it; changes
come into force in their order. What a view ends with unfinished is neither promised nor taken back: it stays
in the primary's state, and its author has not heard a yes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from oakvale.controlplane.view_change import Replica
from oakvale.dissemination.table import NOTHING, Entry, Table, Version

Callback = Callable[[bool], None]  # True: in force; False: not known to be, and it may still come


@dataclass(slots=True)
class PendingChange:
    entries: list[Entry]
    on_done: Callback
    owed: set[Replica] = field(default_factory=set)  # those that have not synced it yet, this seat among them


class ReplicatedState:
    def __init__(self) -> None:
        self.table = Table()  # in force, or received as a backup
        self._pending: deque[PendingChange] = deque()
        self._completed: list[Callback] = []
        self._sequence = self._view = 0
        self.forgotten_keys: list[str] = []  # keys whose rows may go from the disk
        self.staged_changes: list[dict[str, Any]] = []  # changes that are made once their pieces are with the backups
        self.last_version = NOTHING  # the version of the newest entry, in force or not

    def start(self, view: int) -> None:
        """Entries bear this view's number from now on. A primary that starts again goes on behind its own."""
        newest = max((version for _, version, _ in self.all_entries()), default=NOTHING)
        self._view, self._sequence = view, newest[1] if newest[0] == view else 0
        self.last_version = max(self.last_version, newest)

    def propose(self, changes: dict[str, Any], owed: set[Replica], then: Callback) -> list[Entry]:
        """Gives the entries that have to be synced by all who owe it."""
        entries: list[Entry] = []
        for key, value in changes.items():
            self._sequence += 1
            entries.append((key, (self._view, self._sequence), value))
        self._pending.append(PendingChange(entries, then, set(owed)))
        self.last_version = entries[-1][1]
        return entries

    def latest(self, key: str) -> Any:
        """As it will be once all that waits is in force, and all that is planned."""
        for changes in reversed(self.staged_changes):
            if key in changes:
                return changes[key]
        for pending in reversed(self._pending):
            for known, _, value in pending.entries:
                if known == key:
                    return value
        return self.table.get(key)

    def latest_items(self, prefix: str) -> dict[str, Any]:
        """Key behind the prefix and value, as they will be once all that waits is in force, and all that is planned."""
        found = dict(self.table.items(prefix))
        waiting = [(key, value) for pending in self._pending for key, _, value in pending.entries]
        waiting += [item for changes in self.staged_changes for item in changes.items()]
        found |= {key[len(prefix) :]: value for key, value in waiting if key.startswith(prefix)}
        return {name: value for name, value in found.items() if value is not None}

    def pending_keys(self) -> list[str]:
        """Keys that are not in force yet."""
        return [key for pending in self._pending for key, _, _ in pending.entries]

    def has_pending(self) -> bool:
        return bool(self._pending)

    def when_settled(self, then: Callback) -> None:
        """Calls once everything that waits now is in force; at once if nothing does."""
        if not self._pending:
            return then(True)
        last = self._pending[-1]
        first = last.on_done

        def both(done: bool) -> None:
            first(done)
            then(done)

        last.on_done = both

    def apply(self, entries: list[Entry]) -> None:
        """Into the table."""
        self.forgotten_keys += [key for key in self.table.put(entries) if self.table.version(key) == NOTHING]

    def synced(self, who: Replica, up_to: Version) -> list[Entry]:
        """A seat has everything up to a version on disk. Gives what came into force by that, in order."""
        for pending in self._pending:
            if pending.entries[-1][1] <= up_to:
                pending.owed.discard(who)
        return self._settle()

    def reassign_pending(self, seats: set[Replica], own: Replica) -> None:
        """Another view with the same primary: its backups owe what waits, those of before no longer."""
        for pending in self._pending:
            pending.owed = (pending.owed & {own}) | seats

    def _settle(self) -> list[Entry]:
        came: list[Entry] = []
        done: list[Callback] = []
        while self._pending and not self._pending[0].owed:
            pending = self._pending.popleft()
            self.apply(pending.entries)
            came += pending.entries
            done.append(pending.on_done)
        self._completed += done
        return came

    def take_completed(self) -> list[Callback]:
        """The authors of what just came into force; told after the news of it has gone out."""
        done, self._completed = self._completed, []
        return done

    def abandon(self) -> list[Callback]:
        """This seat is primary no longer: nobody hears a yes for what waits. It stays here as it does on disk,
        or it would be back after a start, behind what others were told meanwhile."""
        thens = [pending.on_done for pending in self._pending]
        for pending in self._pending:
            self.apply(pending.entries)
        self._pending.clear()
        return thens

    def all_entries(self) -> list[Entry]:
        """What is in force and what waits, as one state."""
        table = Table()
        table.put(self.table.since((0, 0)))
        for pending in self._pending:
            table.put(pending.entries)
        return table.since((0, 0))
