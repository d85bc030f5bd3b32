"""The state machine of the keys, their revisions and remembered events."""

from __future__ import annotations

from typing import Any

import pytest

from oakvale.coordination import key_groups as key_groups_module
from oakvale.coordination.decisions import Decision
from oakvale.coordination.entries import SortedEntries
from oakvale.coordination.key_groups import KeyGroups

T = 10**12
RETAIN, RETENTION = 20_000_000, 60_000_000


class Store:
    """Key groups with the entries in force and the pending changes behind them."""

    def __init__(self) -> None:
        self.groups = KeyGroups(RETENTION, RETAIN)
        self.in_force: dict[str, Any] = {}
        self.pending: list[dict[str, Any]] = []

    def put(self, name: str, value: str, topic: int | None = None, now: int = T) -> tuple[int, int]:
        """Puts a value and does not wait for it. Returns the status and the revision."""
        decision = self.decide(name, value, topic, now)
        return decision.reply.status, decision.reply.fields["rev"]

    def decide(self, name: str, value: str, topic: int | None = None, now: int = T) -> Decision:
        decision = self.groups.put(name, value, topic, now)
        if decision.changes:
            self.pending.append(decision.changes)
        return decision

    def settle(self, now: int = T) -> set[str]:
        """Puts everything in force. Returns the groups with new events."""
        changes = {key: value for change in self.pending for key, value in change.items()}
        self.pending.clear()
        self.in_force |= changes
        entries = SortedEntries.read(changes.items())
        return self.groups.put_in_force(entries.cells, entries.events, now)

    def rebuild(self, now: int = T) -> None:
        """Starts the machine anew, with what is still pending."""
        found = SortedEntries.read(self.in_force.items())
        behind = SortedEntries.read(item for change in self.pending for item in change.items())
        self.groups.rebuild(found.cells, found.events, behind.cells, behind.events, now)

    def read(self, name: str) -> dict[str, Any] | None:
        reply = self.groups.read(name).reply
        return reply.fields if reply.status == 200 else None

    def revs(self, after: int, now: int = T) -> list[int] | None:
        events = self.groups.events("g.", after, now)
        return None if events is None else [event.rev for event in events]


def test_one_count_of_revisions_for_each_group() -> None:
    store = Store()
    assert [store.put(name, name) for name in ("g.a", "g.b", "h.a", "plain", "g.a.b")] == [
        (200, 1), (200, 2), (200, 1), (200, 1), (200, 3),
    ]  # fmt: skip
    assert store.settle() == {"g.", "h.", "plain"} == store.groups.names()
    assert store.groups.revision("g.") == 3 and store.groups.revision("none.") == 0
    assert store.read("g.b") == {"val": "g.b", "rev": 2} and store.read("g.c") is None


def test_topic_is_judged_by_the_newest_state() -> None:
    store = Store()
    assert store.put("g.a", "v1", 0) == (200, 1)
    refused = store.decide("g.a", "v2", 0)
    assert (refused.reply.status, refused.reply.fields, refused.rests_on_pending) == (412, {"rev": 1}, True)
    assert store.put("g.a", "v3", 1) == (200, 2)
    store.settle()
    refused = store.decide("g.a", "v4", 1)
    assert (refused.reply.fields, refused.rests_on_pending) == ({"rev": 2}, False)
    assert store.put("g.b", "v5", 7) == (412, 0)
    assert store.put("g.a", "v6") == (200, 3)


@pytest.mark.parametrize("rebuilt", [False, True])
def test_a_put_sent_again_gets_its_first_revision(rebuilt: bool) -> None:
    """Also after later puts, and whatever its `topic` would be judged to be now."""
    store = Store()
    assert store.put("g.a", "v", 0) == (200, 1)
    again = store.decide("g.a", "v", 0)
    assert again.reply.fields == {"rev": 1} and again.rests_on_pending and not again.changes
    store.put("g.a", "w")
    store.put("g.b", "x")
    store.settle()
    if rebuilt:
        store.rebuild()
    again = store.decide("g.a", "v", 0)
    assert again.reply.fields == {"rev": 1} and not again.rests_on_pending and not again.changes
    assert store.put("g.b", "v") == (200, 4)  # the same value in another key is another put


def test_slots_are_reused_after_the_retention_time() -> None:
    store = Store()
    for n in range(3):
        store.put("g.a", f"v{n}")
    store.settle()
    store.put("g.a", "early", now=T + RETENTION - 1)
    assert store.groups.status() == {"keys": 1, "event_slots": 4}
    late = T + RETENTION
    assert store.put("g.a", "late", now=late) == (200, 5)
    assert store.groups.status()["event_slots"] == 4 and store.revs(1) == [2, 3] and store.revs(0) is None
    assert store.put("g.a", "v0", now=late) == (200, 6)  # no longer remembered
    store.settle(late)
    assert store.revs(2) == [3, 4, 5, 6] and store.revs(1) is None
    store.rebuild(late)
    assert store.revs(2) == [3, 4, 5, 6] and store.revs(1) is None
    assert store.put("g.a", "v9", now=late + RETENTION - 1) == (200, 7)  # the ages count anew
    assert store.groups.status()["event_slots"] == 5


def test_a_watch_may_go_on_from_what_it_was_shown() -> None:
    """Within `retain`, however old the events were; but asking again from before them does not keep them."""
    store, shown_at = Store(), T + RETENTION - 1
    for n in range(3):
        store.put("g.a", f"v{n}")
    store.settle()
    assert store.revs(0, shown_at) == [1, 2, 3]
    for n in range(3):
        store.put("g.a", f"w{n}", now=shown_at + RETAIN - 1)
    store.settle()
    assert store.revs(1) == [2, 3, 4, 5, 6] and store.revs(0) is None
    store.put("g.a", "x", now=shown_at + RETAIN)
    assert store.revs(1) is None


def test_a_slot_is_not_taken_over_while_its_put_is_pending() -> None:
    store = Store()
    store.put("g.a", "v1")
    store.settle()
    late = T + RETENTION
    store.put("g.a", "v2", now=late)  # takes over the only slot
    store.put("g.a", "v3", now=late + 2 * RETENTION)
    assert store.groups.status()["event_slots"] == 2 and store.revs(0) is None and store.revs(1) == []
    store.rebuild(late)
    assert store.revs(1) == [] and store.put("g.a", "v2") == (200, 2)
    store.settle(late)
    assert store.revs(1) == [2, 3]


def test_events_below_a_gap_are_forgotten() -> None:
    store = Store()
    for n in range(4):
        store.put("g.a", f"v{n}")
    store.settle()
    del store.in_force["coordination/event/g./1"]
    store.rebuild()
    assert store.revs(2) == [3, 4] and store.revs(1) is None
    store.put("g.a", "v5")
    assert store.groups.status()["event_slots"] == 4  # in the slot of the event that was forgotten


def test_keys_and_events_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(key_groups_module, "MAX_KEYS", 2)
    monkeypatch.setattr(key_groups_module, "MAX_EVENTS", 3)
    store = Store()
    for n in range(2):
        assert store.put(f"g.{n}", "v") == (200, n + 1)
    store.settle()
    assert store.decide("h.a", "v").reply.status == 429 and store.groups.names() == {"g."}
    assert store.put("g.0", "w") == (200, 3)
    refused = store.decide("g.0", "x")
    assert refused.reply.status == 429 and not refused.changes
    assert store.put("g.0", "x", now=T + RETENTION) == (200, 4)
