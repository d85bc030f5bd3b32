"""Watch calls: who is answered when, with which events, and what happens to watches that cannot be answered."""

from __future__ import annotations

import random
from typing import Any

import orjson
import pytest

from oakvale.coordination import watches as watches_module
from oakvale.coordination.calls import MAX_VALUE_BYTES, ControlCall
from oakvale.coordination.entries import EventEntry
from oakvale.coordination.watches import MAX_WAIT_US, Watches
from oakvale.memory.requests import Answer
from tests.simulated_processes import MS, SECOND, Life, Loop, Machine, Time


class WatchWorld:
    """Watches over groups whose puts are in force at once, in simulated time."""

    def __init__(self, max_waiting: int = 9) -> None:
        self.time = Time(1)
        self.serves = True
        self.forgotten = 0  # events up to this revision are no longer remembered
        self.put_events: dict[str, list[EventEntry]] = {}
        self.answers: dict[str, Answer] = {}
        self.answered_at: dict[str, int] = {}
        self.calls: dict[str, ControlCall] = {}
        loop = Loop(self.time, Life(Machine()))
        self.watches = Watches(loop, self.events, self.revision, lambda: self.serves, max_waiting)

    def events(self, group: str, after: int) -> list[EventEntry] | None:
        if after < self.forgotten:
            return None
        return [event for event in self.put_events.get(group, []) if event.rev > after]

    def revision(self, group: str) -> int:
        return len(self.put_events.get(group, []))

    def add_event(self, group: str) -> EventEntry:
        events = self.put_events.setdefault(group, [])
        events.append(EventEntry(len(events) + 1, f"{group}k", f"v{len(events) + 1}"))
        return events[-1]

    def put(self, group: str) -> None:
        self.add_event(group)
        self.watches.puts_in_force([group])

    def watch(self, caller: str, group: str, query: str) -> None:
        def send(answer: Answer) -> None:
            assert caller not in self.answers, "answered twice"
            self.answers[caller], self.answered_at[caller] = answer, self.time.now

        self.calls[caller] = ControlCall(group, query, b"")
        self.watches.watch(self.calls[caller], send)

    def leave(self, caller: str) -> None:
        for on_abandoned in self.calls[caller].on_abandoned:
            on_abandoned()

    def status(self, caller: str) -> int | None:
        return self.answers[caller].status if caller in self.answers else None

    def body(self, caller: str) -> dict[str, Any]:
        found: dict[str, Any] = orjson.loads(self.answers[caller].body)
        return found

    def revs(self, caller: str) -> list[int]:
        return [event["rev"] for event in self.body(caller)["events"]]


def test_after_zero_asks_for_the_present_revision() -> None:
    world = WatchWorld()
    world.put("g.")
    world.watch("a", "g.", "after=0&wait-ms=2000")
    assert world.status("a") == 200 and world.body("a") == {"events": [], "rev": 1}
    assert world.answers["a"].headers == [(b"content-type", b"application/json")]


def test_events_above_the_revision_are_sent_at_once() -> None:
    world = WatchWorld()
    for _ in range(3):
        world.put("g.")
    world.watch("a", "g.", "after=1&wait-ms=2000")
    assert world.body("a") == {
        "events": [{"name": "g.k", "val": "v2", "rev": 2}, {"name": "g.k", "val": "v3", "rev": 3}],
        "rev": 3,
    }


def test_all_watches_of_a_group_are_answered_with_the_put() -> None:
    world = WatchWorld()
    world.put("g.")
    for caller, group in (("a", "g."), ("b", "g."), ("c", "h.")):
        world.watch(caller, group, "after=1&wait-ms=2000")
    world.time.run(SECOND)
    assert not world.answers and len(world.watches) == 3
    world.put("g.")
    assert world.revs("a") == world.revs("b") == [2] and "c" not in world.answers
    assert world.answers["a"].body is world.answers["b"].body, "the body is encoded once"
    world.time.run(3 * SECOND)
    assert world.body("c") == {"events": [], "rev": 0} and not len(world.watches)


def test_a_watch_without_a_put_ends_after_its_time() -> None:
    world = WatchWorld()
    world.put("g.")
    asked_at = world.time.now
    world.watch("a", "g.", "after=1&wait-ms=2000")
    world.watch("b", "g.", "after=1")
    assert world.body("b") == {"events": [], "rev": 1}
    world.time.run(3 * SECOND)
    assert world.body("a") == {"events": [], "rev": 1} and world.answered_at["a"] == asked_at + 2 * SECOND
    world.watch("c", "g.", "after=1&wait-ms=9999999")
    world.time.run(MAX_WAIT_US)
    assert world.status("c") == 200


def test_answers_to_many_watches_with_long_values_fit_into_memory() -> None:
    """A thousand watches that resume behind a thousand values of 4 KiB would get 4 MB each."""
    world = WatchWorld()
    world.put("g.")
    for rev in range(2, 1002):
        world.put_events["g."].append(EventEntry(rev, "g.k", f"{rev}".zfill(MAX_VALUE_BYTES)))
    seen, after = list[int](), 1
    while after < 1001:
        caller = f"after {after}"
        world.watch(caller, "g.", f"after={after}")
        assert len(world.answers[caller].body) < 1_200_000
        assert world.body(caller)["rev"] == world.revs(caller)[-1]
        seen, after = [*seen, *world.revs(caller)], world.body(caller)["rev"]
    assert seen == list(range(2, 1002))


def test_an_answer_is_bounded_and_the_caller_resumes_behind_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watches_module, "MAX_EVENTS_PER_ANSWER", 2)
    world = WatchWorld()
    for _ in range(4):
        world.put("g.")
    world.watch("a", "g.", "after=1&wait-ms=2000")
    world.watch("b", "g.", "after=3&wait-ms=2000")
    assert (world.revs("a"), world.body("a")["rev"]) == ([2, 3], 3)
    assert (world.revs("b"), world.body("b")["rev"]) == ([4], 4)


def test_a_forgotten_revision_is_gone() -> None:
    world = WatchWorld()
    for _ in range(3):
        world.put("g.")
    world.forgotten = 2
    world.watch("a", "g.", "after=1&wait-ms=2000")
    world.watch("b", "g.", "after=2&wait-ms=2000")
    assert world.status("a") == 410 and world.revs("b") == [3]


@pytest.mark.parametrize(
    ("group", "query", "field"),
    [
        ("g.", "", "after"),
        ("g.", "wait-ms=1", "after"),
        ("g.", "after=", "after"),
        ("g.", "after=-1", "after"),
        ("g.", "after=1.5", "after"),
        ("g.", "after=%D9%A1", "after"),  # a digit, but not of ASCII
        ("g.", "after=99999999999999999999", "after"),
        ("g.", "after=1&after=2", "after"),
        ("g.", "after=1&wait-ms=soon", "wait-ms"),
        ("", "after=1", "name"),
        ("g/x", "after=1", "name"),
    ],
)
def test_a_call_that_is_not_understood_names_the_field(group: str, query: str, field: str) -> None:
    world = WatchWorld()
    world.watch("a", group, query)
    assert world.status("a") == 400 and world.body("a")["error"].startswith(field)


def test_the_end_of_a_term_answers_all() -> None:
    world = WatchWorld()
    world.watch("a", "g.", "after=1&wait-ms=2000")
    world.serves = False
    world.watches.end_term()
    assert world.status("a") == 503 and not len(world.watches)
    world.watch("b", "g.", "after=1&wait-ms=2000")
    world.watch("c", "g.", "after=0")
    assert world.status("b") == world.status("c") == 503


def test_nothing_is_sent_from_a_replica_without_a_lease() -> None:
    """The lease may run out while watches wait, also between two answers of one turn."""
    world = WatchWorld()
    for caller in "abc":
        world.watch(caller, "g.", "after=1&wait-ms=2000")
    world.add_event("g.")
    world.add_event("g.")
    checks = iter([True, True, False, False])
    world.watches._serving = lambda: next(checks)
    world.watches.puts_in_force(["g."])
    assert [world.status(caller) for caller in "abc"] == [200, 503, 503]


def test_a_lost_lease_ends_waiting_watches_soon() -> None:
    """Their puts are made elsewhere by then."""
    world = WatchWorld()
    world.watch("a", "g.", "after=1&wait-ms=9000")
    world.time.run(SECOND)
    world.serves = False
    world.time.run(200 * MS)
    assert world.status("a") == 503


def test_a_caller_that_left_is_dropped() -> None:
    world = WatchWorld()
    world.watch("a", "g.", "after=1&wait-ms=2000")
    world.leave("a")
    world.leave("a")
    assert not len(world.watches)
    world.put("g.")
    world.time.run(3 * SECOND)
    world.watches.end_term()
    assert not world.answers


def test_the_number_of_waiting_watches_is_bounded() -> None:
    world = WatchWorld(max_waiting=2)
    for caller in "abc":
        world.watch(caller, "g.", "after=1&wait-ms=2000")
    assert world.status("c") == 429 and len(world.watches) == 2
    world.leave("a")
    world.watch("d", "g.", "after=1&wait-ms=2000")
    assert world.status("d") is None


@pytest.mark.parametrize("seed", range(20))
def test_watchers_that_resume_miss_no_put(seed: int) -> None:
    """Each watches again from the `rev` that it was given, while puts come, callers leave and the term ends."""
    world, rng = WatchWorld(), random.Random(seed)
    known = {watcher: 0 for watcher in range(4)}
    seen: dict[int, list[int]] = {watcher: [] for watcher in known}
    starts: dict[int, int] = {}
    turns = {watcher: 0 for watcher in known}

    def collect(watcher: int) -> None:
        caller = f"{watcher}.{turns[watcher]}"
        if world.status(caller) == 200:
            seen[watcher] += world.revs(caller)
            known[watcher] = world.body(caller)["rev"]
            starts.setdefault(watcher, known[watcher])
        if caller in world.answers or caller not in world.calls:
            turns[watcher] += 1
            after, wait_ms = known[watcher], rng.randrange(3_000)
            world.watch(f"{watcher}.{turns[watcher]}", "g.", f"after={after}&wait-ms={wait_ms}")

    world.put("g.")
    for _ in range(300):
        event = rng.randrange(12)
        if event < 4:
            world.put("g.")
        elif event == 4:
            world.watches.end_term()
        else:
            collect(rng.randrange(4))
        world.time.run(rng.choice([0, 10, 500]) * MS)
    for watcher in known:
        collect(watcher)
        assert seen[watcher] == list(range(starts[watcher] + 1, known[watcher] + 1))
