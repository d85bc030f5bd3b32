"""The control state on one core machine: entries in force, and changes that some replica has not synced yet.

This module does no I/O and reads no clock. A change is in force once the primary and every backup of the view have
synced it, and changes come into force in order. A change that is still pending when a view ends is neither confirmed
nor rolled back: it stays in the primary's state, but success is never reported for it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from oakvale.controlplane.views import Replica
from oakvale.dissemination.table import NO_VERSION, Entry, Table, Version, is_core_only

# called with True if the change is in force, with False if that is unknown: it may still come into force
Callback = Callable[[bool], None]


@dataclass(slots=True)
class PendingChange:
    """A proposed change that is not in force yet."""

    entries: list[Entry]
    on_done: Callback
    owed: set[Replica] = field(default_factory=set)  # replicas that have not synced it yet, including this one
    also_waiting: list[Callback] = field(default_factory=list)  # called after `on_done`

    def callbacks(self) -> list[Callback]:
        """All callbacks, in the order in which they are called."""
        return [self.on_done, *self.also_waiting]


class ReplicatedState:
    """The table of entries in force, the changes pending behind it, and the staged changes behind those."""

    def __init__(self) -> None:
        self.table = Table()  # entries in force, or received as a backup
        self._pending: deque[PendingChange] = deque()
        self._completed: list[Callback] = []
        self._sequence = self._view = 0
        self.forgotten_keys: list[str] = []  # keys whose rows may be deleted from disk
        self.staged_changes: list[dict[str, Any]] = []  # proposed once the backups hold their chunks
        self.last_version = NO_VERSION  # of the newest entry, in force or pending

    def start(self, view: int) -> None:
        """Starts to number entries in this view. A primary that restarts in its own view continues its numbers."""
        newest = max((version for _, version, _ in self.all_entries()), default=NO_VERSION)
        self._view, self._sequence = view, newest[1] if newest[0] == view else 0
        self.last_version = max(self.last_version, newest)

    def propose(self, changes: dict[str, Any], owed: set[Replica], on_done: Callback) -> list[Entry]:
        """Adds a change, and returns its entries, which all replicas in `owed` have to sync."""
        entries: list[Entry] = []
        for key, value in changes.items():
            self._sequence += 1
            entries.append((key, (self._view, self._sequence), value))
        self._pending.append(PendingChange(entries, on_done, set(owed)))
        self.last_version = entries[-1][1]
        return entries

    def latest(self, key: str) -> Any:
        """The key's value once all pending and staged changes are in force."""
        for changes in reversed(self.staged_changes):
            if key in changes:
                return changes[key]
        for pending in reversed(self._pending):
            for pending_key, _, value in pending.entries:
                if pending_key == key:
                    return value
        return self.table.get(key)

    def latest_items(self, prefix: str) -> dict[str, Any]:
        """Values by key without the prefix, once all pending and staged changes are in force."""
        items = dict(self.table.items(prefix))
        pending_items = [(key, value) for pending in self._pending for key, _, value in pending.entries]
        pending_items += [item for changes in self.staged_changes for item in changes.items()]
        items |= {key[len(prefix) :]: value for key, value in pending_items if key.startswith(prefix)}
        return {name: value for name, value in items.items() if value is not None}

    def pending_keys(self) -> list[str]:
        """Keys of changes that are not in force yet."""
        return [key for pending in self._pending for key, _, _ in pending.entries]

    def pending_entries(self) -> list[Entry]:
        """Entries of proposed changes that are not in force yet, oldest first."""
        return [entry for pending in self._pending for entry in pending.entries]

    def has_pending(self) -> bool:
        """Whether a change is not in force yet."""
        return bool(self._pending)

    def has_pending_for_gateways(self) -> bool:
        """Whether a change of entries that gateways hold too is not in force yet."""
        return any(not is_core_only(key) for key in self.pending_keys())

    def is_pending(self, key: str) -> bool:
        """Whether a change of this key is not in force yet, or staged."""
        return key in self.pending_keys() or any(key in changes for changes in self.staged_changes)

    def when_settled(self, on_done: Callback) -> None:
        """Calls `on_done` once everything that is pending now is in force, or at once if nothing is."""
        if not self._pending:
            return on_done(True)
        self._pending[-1].also_waiting.append(on_done)

    def apply(self, entries: list[Entry]) -> None:
        """Puts entries into the table."""
        self.forgotten_keys += [key for key in self.table.put(entries) if self.table.version(key) == NO_VERSION]

    def synced(self, replica: Replica, up_to: Version) -> list[Entry]:
        """A replica has synced everything up to a version. Returns the entries that came into force, in order."""
        for pending in self._pending:
            if pending.entries[-1][1] <= up_to:
                pending.owed.discard(replica)
        return self._settle()

    def reassign_pending(self, backups: set[Replica], self_id: Replica) -> None:
        """After a view change that kept the primary, the new backups have to sync what is pending, and those of the
        view before no longer."""
        for pending in self._pending:
            pending.owed = (pending.owed & {self_id}) | backups

    def _settle(self) -> list[Entry]:
        in_force: list[Entry] = []
        completed: list[Callback] = []
        while self._pending and not self._pending[0].owed:
            pending = self._pending.popleft()
            self.apply(pending.entries)
            in_force += pending.entries
            completed += pending.callbacks()
        self._completed += completed
        return in_force

    def take_completed(self) -> list[Callback]:
        """Callbacks of changes that came into force; to be called once the state updates are published."""
        completed, self._completed = self._completed, []
        return completed

    def abandon(self) -> list[Callback]:
        """This replica is no longer primary. Pending changes are applied, as they are on disk and would come back at
        the next start, but success is not reported. Returns their callbacks."""
        callbacks = [on_done for pending in self._pending for on_done in pending.callbacks()]
        for pending in self._pending:
            self.apply(pending.entries)
        self._pending.clear()
        return callbacks

    def all_entries(self) -> list[Entry]:
        """Entries in force and pending, merged."""
        table = Table()
        table.put(self.table.since((0, 0)))
        for pending in self._pending:
            table.put(pending.entries)
        return table.since((0, 0))
