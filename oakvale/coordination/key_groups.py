"""The state machine of the keys: values with revisions, in groups that each have one count of revisions.

No I/O and no clock: times are microseconds of the steady clock. A put is judged by the newest state, pending changes
included; reads and watches are given what is in force.

The newest puts of a group are remembered as events, without a gap. Each has a slot of the replicated state. A put
takes over the slot of the group's oldest event once that has been in force for the retention time, so the slots of a
group are as many as its puts in that time, and no entry is ever deleted. An event that was shown to a watch is also
remembered for `retain` from then, as its caller may go on from there.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from oakvale.coordination.decisions import CallReply, Decision
from oakvale.coordination.entries import CELL_PREFIX, CellEntry, EventEntry, event_key, group_of

MAX_KEYS = 4_096
MAX_EVENTS = 10_000  # slots of all groups
NEVER = 1 << 62  # later than any time of the clock


@dataclass(slots=True)
class RememberedEvent:
    """A put, pending or in force, and the slot that has it."""

    slot: int
    entry: EventEntry
    forgettable_at: int = NEVER  # while it is pending


@dataclass(slots=True)
class KeyGroup:
    """The revisions and the remembered events of one group."""

    newest_rev: int = 0  # pending or in force
    rev_in_force: int = 0
    events: deque[RememberedEvent] = field(default_factory=deque)  # the newest, oldest first, without a gap
    revs_by_put: dict[tuple[str, str], int] = field(default_factory=dict)  # of these events, by key and value
    free_slots: list[int] = field(default_factory=list)
    slot_count: int = 0

    def has_free_slot(self, now: int) -> bool:
        """Whether the next event needs no new slot."""
        return bool(self.free_slots) or bool(self.events) and now >= self.events[0].forgettable_at

    def take_slot(self, now: int) -> int:
        """A slot for the next event: a free one, that of an event past its retention time, or a new one."""
        if self.free_slots:
            return self.free_slots.pop()
        if self.has_free_slot(now):
            return self._forget_oldest()
        self.slot_count += 1
        return self.slot_count - 1

    def _forget_oldest(self) -> int:
        oldest = self.events.popleft()
        self.revs_by_put.pop((oldest.entry.name, oldest.entry.value), None)
        return oldest.slot

    def remember(self, event: RememberedEvent) -> None:
        """Adds the newest event."""
        self.newest_rev = event.entry.rev
        self.events.append(event)
        self.revs_by_put[event.entry.name, event.entry.value] = event.entry.rev

    def put_in_force(self, rev: int, forgettable_at: int) -> None:
        """All events up to this revision are in force, and remembered until then."""
        for event in reversed(self.events):
            if event.entry.rev <= self.rev_in_force:
                break
            if event.entry.rev <= rev:
                event.forgettable_at = forgettable_at
        self.rev_in_force = max(self.rev_in_force, rev)

    def restore(self, slots: dict[int, EventEntry], forgettable_at: int) -> None:
        """Remembers the events of a rebuilt group, whose revisions are known. The slots of events below a gap are
        free: a watch must not skip a revision."""
        self.slot_count = max(slots, default=-1) + 1
        next_rev, kept = self.newest_rev, deque[RememberedEvent]()
        for slot in sorted(slots, key=lambda slot: slots[slot].rev, reverse=True):
            if slots[slot].rev != next_rev:
                self.free_slots.append(slot)
                continue
            next_rev -= 1
            is_in_force = slots[slot].rev <= self.rev_in_force
            kept.appendleft(RememberedEvent(slot, slots[slot], forgettable_at if is_in_force else NEVER))
        for event in kept:
            self.remember(event)


class KeyGroups:
    """All keys by name, and their groups."""

    def __init__(self, retention_us: int, retain_us: int) -> None:
        """How long events are remembered from when they come into force, and from when a watch was shown them."""
        self._retention_us, self._retain_us = retention_us, retain_us
        self._groups: dict[str, KeyGroup] = {}
        self._cells: dict[str, CellEntry] = {}  # in force
        self._newest_revs: dict[str, int] = {}  # of keys, pending or in force
        self._slot_count = 0

    # ---- the replicated state

    def rebuild(
        self,
        cells: Iterable[tuple[str, CellEntry]],
        events: Iterable[tuple[str, EventEntry]],
        pending_cells: Iterable[tuple[str, CellEntry]],
        pending_events: Iterable[tuple[str, EventEntry]],
        now: int,
    ) -> None:
        """Starts anew from the entries in force and the pending ones. All events count as put now."""
        groups: defaultdict[str, KeyGroup] = defaultdict(KeyGroup)
        slots: defaultdict[str, dict[int, EventEntry]] = defaultdict(dict)
        self._cells = dict(cells)
        self._newest_revs = {name: entry.rev for name, entry in self._cells.items()}
        for name, cell in self._cells.items():
            group = groups[group_of(name)]
            group.newest_rev = group.rev_in_force = max(group.rev_in_force, cell.rev)
        for name, cell in pending_cells:
            self._newest_revs[name] = cell.rev
            group = groups[group_of(name)]
            group.newest_rev = max(group.newest_rev, cell.rev)
        for group_and_slot, event in [*events, *pending_events]:
            group_name, _, slot = group_and_slot.rpartition("/")
            slots[group_name][int(slot)] = event
        for group_name, group_slots in slots.items():
            groups[group_name].restore(group_slots, now + self._retention_us)
        self._groups = dict(groups)
        self._slot_count = sum(group.slot_count for group in groups.values())

    def put_in_force(
        self, cells: Iterable[tuple[str, CellEntry]], events: Iterable[tuple[str, EventEntry]], now: int
    ) -> set[str]:
        """Entries have come into force, in their order. Returns the groups that have new events."""
        for name, cell in cells:
            self._cells[name] = cell
        changed = set[str]()
        for group_and_slot, event in events:
            group_name = group_and_slot.rpartition("/")[0]
            self._groups[group_name].put_in_force(event.rev, now + self._retention_us)
            changed.add(group_name)
        return changed

    # ---- calls

    def put(self, name: str, value: str, topic: int | None, now: int) -> Decision:
        """Puts a value, with `topic` only if the key has this revision (0: none). A put that is among the remembered
        events was made before, and gets its revision again."""
        group_name = group_of(name)
        group = self._groups.get(group_name) or KeyGroup()
        known_rev = group.revs_by_put.get((name, value))
        if known_rev is not None:
            return Decision(CallReply(200, {"rev": known_rev}), rests_on_pending=known_rev > group.rev_in_force)
        key_rev = self._newest_revs.get(name, 0)
        if topic is not None and topic != key_rev:
            return Decision(CallReply(412, {"rev": key_rev}), rests_on_pending=key_rev > group.rev_in_force)
        if key_rev == 0 and len(self._newest_revs) >= MAX_KEYS:
            return Decision(CallReply(429, {"error": "too many keys"}))
        if self._slot_count >= MAX_EVENTS and not group.has_free_slot(now):
            return Decision(CallReply(429, {"error": "too many puts"}))
        self._groups[group_name] = group
        return self._add(group_name, group, EventEntry(group.newest_rev + 1, name, value), now)

    def _add(self, group_name: str, group: KeyGroup, event: EventEntry, now: int) -> Decision:
        slots_before = group.slot_count
        slot = group.take_slot(now)
        self._slot_count += group.slot_count - slots_before
        group.remember(RememberedEvent(slot, event))
        self._newest_revs[event.name] = event.rev
        cell = CellEntry(event.rev, event.value)
        return Decision(
            CallReply(200, {"rev": event.rev}),
            {CELL_PREFIX + event.name: cell.pack(), event_key(group_name, slot): event.pack()},
        )

    def read(self, name: str) -> Decision:
        """The value in force."""
        cell = self._cells.get(name)
        if cell is None:
            return Decision(CallReply(404, {"error": "no such key"}))
        return Decision(CallReply(200, {"val": cell.value, "rev": cell.rev}))

    # ---- for watches

    def names(self) -> set[str]:
        """The names of all groups."""
        return set(self._groups)

    def revision(self, group_name: str) -> int:
        """The revision in force of a group; 0 if nothing was put there."""
        group = self._groups.get(group_name)
        return group.rev_in_force if group is not None else 0

    def events(self, group_name: str, after: int, now: int) -> list[EventEntry] | None:
        """The puts in force above a revision, in their order; None if some are no longer remembered. They are shown to
        a watch now."""
        group = self._groups.get(group_name)
        if group is None or after >= group.rev_in_force:
            return []
        if not group.events or after + 1 < group.events[0].entry.rev:
            return None
        found = deque[RememberedEvent]()
        for event in reversed(group.events):
            if event.entry.rev <= after:
                break
            if event.entry.rev <= group.rev_in_force:
                found.appendleft(event)
        for event in islice(found, 1, 2):  # who goes on from the first needs the second, and so those behind it
            event.forgettable_at = max(event.forgettable_at, now + self._retain_us)
        return [event.entry for event in found]

    def status(self) -> dict[str, int]:
        """Counts for the status of the process."""
        return {"keys": len(self._newest_revs), "event_slots": self._slot_count}
