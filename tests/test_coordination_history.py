"""Drawn histories of the coordination service keep the rules of locks, numbers, keys and watches.

Callers judge by what they sent and were told. The order of the puts is read from the entries that came into force.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Any, cast

import orjson

from oakvale.base.loop import Loop
from oakvale.coordination.calls import ControlCall
from oakvale.coordination.entries import EVENT_PREFIX, EventEntry
from oakvale.coordination.locks import CLOCK_MARGIN_US
from oakvale.coordination.service import CoordinationService
from oakvale.memory.requests import Answer
from tests import schedules
from tests.coordination_core import SteppedCore, SteppedLoop

MS = 1_000
HOLDS_MS = (500, 3_000, 9_000)
STEPS_US = (1 * MS, 40 * MS, 100 * MS, 700 * MS, 3_000 * MS, 9_000 * MS, 19_000 * MS, 61_000 * MS)
RETAIN_US = 20_000 * MS
REPEAT_US = 40_000 * MS  # a put may be sent again for this long
REFUSED, DONE = (412, 429, 503), 200
BYTES_PER_STEP = 3


class History:
    """The service, its callers, and what they know."""

    def __init__(self) -> None:
        self.core, self.loop = SteppedCore(), SteppedLoop()
        self.core.on_in_force.append(lambda entries: self.record_puts((key, value) for key, _, value in entries))
        self.handlers = CoordinationService(self.core, cast(Loop, self.loop), RETAIN_US).handlers()
        self.puts: dict[str, dict[int, EventEntry]] = defaultdict(dict)  # in force, by group and revision
        self.answered: set[int] = set()
        self.sent = 0
        self.held: dict[tuple[str, str], tuple[int, int]] = {}  # lock and owner -> fence, end of its time
        self.latest_call: dict[tuple[str, str], int] = {}  # of an owner; it gave up waiting for those before
        self.highest_fence: dict[str, dict[str, int]] = defaultdict(dict)  # of each lock, by owner
        self.fence_owner: dict[tuple[str, int], str] = {}
        self.possibly_held_until: dict[str, int] = defaultdict(int)
        self.numbers: dict[str, list[int]] = defaultdict(list)
        self.repeatable: list[tuple[int, tuple[str, str, int | None]]] = []  # puts, and until when
        self.unclear: set[tuple[str, str]] = set()  # puts that were sent and not refused
        self.refused: set[tuple[str, str]] = set()
        self.put_revs: dict[tuple[str, str], int] = {}
        self.group_rev: dict[str, int] = defaultdict(int)  # the highest known to callers
        self.key_rev: dict[str, int] = defaultdict(int)
        self.seen: dict[tuple[str, int], int] = {}  # revisions given to watches: when first, as long as remembered

    def record_puts(self, items: Any) -> None:
        for key, value in items:
            if key.startswith(EVENT_PREFIX):
                event = EventEntry.unpack(value)
                group = key[len(EVENT_PREFIX) :].partition("/")[0]
                assert self.puts[group].setdefault(event.rev, event) == event, "two puts at one revision"

    def send(self, verb: str, name: str, body: Any, check: Callable[[int, Any], None], query: str = "") -> None:
        self.sent += 1
        number, method = self.sent, b"GET" if verb in ("Cells.Read", "watch") else b"POST"

        def answered(answer: Answer) -> None:
            assert number not in self.answered
            self.answered.add(number)
            assert answer.status in (200, 404, 409, 410, 412, 500, 503)
            check(answer.status, orjson.loads(answer.body))

        self.handlers[method, verb](ControlCall(name, query, orjson.dumps(body)), answered)

    # ---- the callers

    def begin(self, lock: str, owner: str, hold_ms: int) -> None:
        sent_at, known_fences = self.loop.now, dict(self.highest_fence[lock])
        number = self.latest_call[lock, owner] = self.sent + 1

        def check(status: int, fields: Any) -> None:
            if status == DONE:
                fence = fields["fence"]
                assert all(fence > other for peer, other in known_fences.items() if peer != owner), "fence not above"
                assert self.fence_owner.setdefault((lock, fence), owner) == owner, "a fence for two"
                self.highest_fence[lock][owner] = fence
                if self.latest_call[lock, owner] == number:
                    self.hold(lock, owner, fence, sent_at + hold_ms * MS)
            elif status == 409:
                assert sent_at < self.possibly_held_until[lock] + CLOCK_MARGIN_US, "refused for no reason"

        self.send("Locks.Begin", lock, {"owner": owner, "hold": f"{hold_ms}ms"}, check)
        self.touch(lock, hold_ms)

    def renew(self, lock: str, owner: str, hold_ms: int) -> None:
        sent_at, (fence, until) = self.loop.now, self.held.get((lock, owner), (1, 0))
        number = self.latest_call[lock, owner] = self.sent + 1

        def check(status: int, fields: Any) -> None:
            if self.latest_call[lock, owner] != number:
                return
            if status == DONE and self.loop.now < until:
                self.hold(lock, owner, fence, max(until, sent_at + hold_ms * MS))
            elif status in (DONE, 409):
                self.held.pop((lock, owner), None)

        self.send("Locks.Heartbeat", lock, {"owner": owner, "fence": fence, "hold": f"{hold_ms}ms"}, check)
        self.touch(lock, hold_ms)

    def finish(self, lock: str, owner: str, hold_ms: int) -> None:
        fence, _ = self.held.pop((lock, owner), (1, 0))
        self.latest_call[lock, owner] = self.sent + 1
        self.send("Locks.Finish", lock, {"owner": owner, "fence": fence}, lambda status, fields: None)

    def hold(self, lock: str, owner: str, fence: int, until: int) -> None:
        self.held[lock, owner] = fence, until
        holders = [key for key, (_, end) in self.held.items() if key[0] == lock and self.loop.now < end]
        assert len(holders) <= 1, f"two holders: {holders}"

    def touch(self, lock: str, hold_ms: int) -> None:
        self.possibly_held_until[lock] = max(self.possibly_held_until[lock], self.loop.now + hold_ms * MS)

    def number(self, name: str) -> None:
        known = max(self.numbers[name], default=0)

        def check(status: int, fields: Any) -> None:
            if status == DONE:
                assert fields["val"] > known and fields["val"] not in self.numbers[name]
                self.numbers[name].append(fields["val"])

        self.send("numbers", name, {}, check)

    def put(self, key: str, value: str, topic: int | None) -> None:
        """Also sends one again that was not refused."""
        group, put, is_new = key.partition(".")[0] + ".", (key, value), (key, value) not in self.unclear
        known_rev = self.group_rev[group]
        self.unclear.add(put)

        def check(status: int, fields: Any) -> None:
            if status == DONE:
                rev = fields["rev"]
                assert self.puts[group].get(rev) == EventEntry(rev, key, value), "not in force"
                assert self.put_revs.setdefault(put, rev) == rev, "put twice"
                assert not is_new or rev > known_rev
                assert topic is None or topic == self.rev_before(group, key, rev)
                self.know(group, key, rev)
            elif status == 412:
                assert fields["rev"] == 0 or self.puts[group][fields["rev"]].name == key
            if status in REFUSED and is_new:
                self.unclear.discard(put)
                self.refused.add(put)

        self.send("Cells.Replace", key, {"val": value, "topic": topic}, check)

    def rev_before(self, group: str, key: str, rev: int) -> int:
        return max((other for other, event in self.puts[group].items() if event.name == key and other < rev), default=0)

    def know(self, group: str, key: str, rev: int) -> None:
        self.group_rev[group], self.key_rev[key] = max(self.group_rev[group], rev), max(self.key_rev[key], rev)

    def read(self, key: str) -> None:
        group, known_rev = key.partition(".")[0] + ".", self.key_rev[key]

        def check(status: int, fields: Any) -> None:
            assert status != 404 or known_rev == 0
            if status == DONE:
                assert fields["rev"] >= known_rev, "stale"
                assert self.puts[group][fields["rev"]] == EventEntry(fields["rev"], key, fields["val"])
                self.know(group, key, fields["rev"])

        self.send("Cells.Read", key, {}, check)

    def watch(self, group: str, after: int, wait_ms: int) -> None:
        given_at = self.seen.get((group, after), 0)
        sent_at, known_rev = self.loop.now, self.group_rev[group]

        def check(status: int, fields: Any) -> None:
            assert status != 410 or sent_at - given_at > RETAIN_US, "forgotten too early"
            if status == DONE:
                rev, events = fields["rev"], [EventEntry(e["rev"], e["name"], e["val"]) for e in fields["events"]]
                assert rev >= known_rev
                span = range(after + 1, rev + 1) if after else ()
                assert events == [self.puts[group][number] for number in span], "skips a put"
                self.seen[group, rev] = self.loop.now
                self.group_rev[group] = max(self.group_rev[group], rev)

        self.send("watch", group, {}, check, f"after={after}&wait-ms={wait_ms}")

    # ---- the control state

    def lose_term(self, lost: int) -> None:
        """Another primary takes over, without the last pending changes, and this one after it."""
        self.core.end_term(lost)
        self.read("g.a")  # answered 503
        self.core.begin_term()
        self.record_puts((key, value) for key, _, value in self.core.replicated_state.table.since((0, 0)))
        for lock in self.possibly_held_until:
            self.touch(lock, max(HOLDS_MS))

    def lose_lease(self) -> None:
        """For a moment, without another primary."""
        self.core.serves = False
        self.core.lose_results()
        self.core.serves = True

    def freeze_before_results(self) -> None:
        self.core.settle(before_results=lambda: setattr(self.core, "serves", False))
        self.core.serves = True

    def step(self, kind: int, first: int, second: int) -> None:
        """Plays one drawn step."""
        lock, owner, hold_ms = f"l{first % 2}", f"o{first // 2 % 3}", HOLDS_MS[second % 3]
        key = ("g.a", "g.b", "h.a")[first % 3]
        match kind % 24:
            case 0 | 1 | 2 | 3:
                self.begin(lock, owner, hold_ms)
            case 4 | 5:
                self.renew(lock, owner, hold_ms)
            case 6:
                self.finish(lock, owner, hold_ms)
            case 7 | 8:
                self.number(f"n{first % 2}")
            case 9 | 10 | 11:
                topic = (None, self.key_rev[key], max(0, self.key_rev[key] - 1))[second % 3]
                put = key, f"v{self.sent}", topic
                self.repeatable.append((self.loop.now + REPEAT_US, put))
                self.put(*put)
            case 12 | 13:
                sent = [put for until, put in self.repeatable[-4:] if self.loop.now <= until]
                again = [put for put in sent if put[:2] in self.unclear]
                if again:
                    self.put(*again[second % len(again)])
            case 14:
                self.read(key)
            case 15:
                self.watch(key[:2], max(0, self.group_rev[key[:2]] - second % 3), 100 * (first % 3))
            case 16 | 17:
                self.core.settle()
            case 18:
                self.core.settle(but=1 + first % 3)
            case 19 | 20:
                self.loop.advance(STEPS_US[first % len(STEPS_US)])
            case 21:
                self.lose_term(first % 4)
            case 22:
                self.lose_lease()
            case 23 if first % 2:
                self.freeze_before_results()
            case 23:  # the view has ended already, so a change is turned away
                self.core.accepts_changes = False
                self.begin(lock, owner, hold_ms)
                self.put(key, f"v{self.sent}", None)
                self.lose_term(second % 4)

    def end(self) -> None:
        """All calls are answered, and all that was acknowledged is there."""
        self.core.settle()
        self.loop.advance(RETAIN_US)
        assert len(self.answered) == self.sent
        for key in ("g.a", "g.b", "h.a"):
            self.read(key)
        for puts in self.puts.values():
            assert sorted(puts) == [*range(1, len(puts) + 1)]
            shown = {(event.name, event.value) for event in puts.values()}
            assert not shown & (self.refused - self.unclear), "refused, but shown"


def play(schedule: bytes) -> None:
    history = History()
    for at in range(0, len(schedule) - BYTES_PER_STEP + 1, BYTES_PER_STEP):
        history.step(*schedule[at : at + BYTES_PER_STEP])
    history.end()


def test_drawn_histories_keep_the_rules() -> None:
    schedules.search(play, examples=150, size_range=(300, 900))
