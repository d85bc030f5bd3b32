"""Drawn histories of the coordination service: two replicas serve in turn, and lose results, leases and changes.

Each history is judged by what its callers saw.
"""

from __future__ import annotations

from collections import defaultdict
from typing import cast

from oakvale.base.loop import Loop
from oakvale.coordination.calls import ControlCall
from oakvale.coordination.entries import group_of
from oakvale.coordination.locks import CLOCK_MARGIN_US
from oakvale.coordination.service import CoordinationService
from oakvale.lab.applications.wire import HttpAnswer, decode, encode
from oakvale.lab.history.calls import (
    BeginHold,
    Call,
    FinishHold,
    History,
    NextNumber,
    PutValue,
    ReadValue,
    RenewHold,
    Request,
    WatchGroup,
)
from oakvale.lab.history.verdict import check_history
from oakvale.memory.requests import Answer
from tests import schedules
from tests.coordination_core import SteppedCore, SteppedLoop

MS = 1_000
HOLDS_US = (500 * MS, 3_000 * MS, 9_000 * MS)
SPANS_US = (1 * MS, 40 * MS, 100 * MS, 700 * MS, 3_000 * MS, 9_000 * MS, 19_000 * MS, 61_000 * MS)
RETAIN_US = 20_000 * MS
REPEAT_US = 40_000 * MS  # a put may be sent again for this long
KEYS, LOCKS, COUNTERS = ("g.a", "g.b", "h.a"), ("l0", "l1"), ("n0", "n1")
STATUSES = (200, 404, 409, 410, 412, 500, 503)
BYTES_PER_STEP = 3


class Schedule:
    """The replicas, the callers, and what they know."""

    def __init__(self) -> None:
        self.loop, self.history = SteppedLoop(), History()
        self.core, self.other_core = SteppedCore(), SteppedCore()
        self.handlers, self.other_handlers = (
            CoordinationService(core, cast(Loop, self.loop), RETAIN_US).handlers()
            for core in (self.core, self.other_core)
        )
        self.open: set[Call] = set()
        self.latest: dict[tuple[str, str], Call] = {}  # by lock and caller, which gave up waiting for those before
        self.fences: dict[tuple[str, str], int] = {}  # the newest, by lock and caller
        self.possibly_held_until: dict[str, int] = defaultdict(int)
        self.puts: list[tuple[int, str, PutValue]] = []  # until when it may be sent again, key, request
        self.highest_rev: dict[str, int] = defaultdict(int)  # known to callers, by key and group

    def send(self, caller: str, name: str, request: Request, closing: bool = False) -> Call:
        self.loop.advance(1)  # calls and answers have times of their own
        call = self.history.sent(caller, name, request, self.loop.now, closing)
        self.open.add(call)
        self.latest[name, caller] = call

        def answered(answer: Answer) -> None:
            self.open.remove(call)
            assert answer.status in STATUSES
            if not isinstance(request, BeginHold | RenewHold) or self.latest[name, caller] is call:
                self.loop.now += 1
                call.answered_at, call.result = self.loop.now, decode(request, HttpAnswer(answer.status, answer.body))
                self.learn(call)

        http = encode(name, request)
        self.handlers[http.method, http.verb](ControlCall(name, http.query, http.body), answered)
        if isinstance(request, BeginHold | RenewHold):
            self.note_hold(name, request.hold_us)
        return call

    def learn(self, call: Call) -> None:
        """What callers take from an answer; a refusal needs a reason."""
        assert call.result is not None
        if isinstance(call.request, BeginHold) and call.result.status == 200:
            self.fences[call.name, call.caller] = call.result.fence
        elif isinstance(call.request, BeginHold) and call.result.status == 409:
            assert call.sent_at < self.possibly_held_until[call.name] + CLOCK_MARGIN_US, f"for no reason: {call}"
        for name in (call.name, group_of(call.name)):
            self.highest_rev[name] = max(self.highest_rev[name], call.result.rev)

    def note_hold(self, lock: str, hold_us: int) -> None:
        self.possibly_held_until[lock] = max(self.possibly_held_until[lock], self.loop.now + hold_us)

    # ---- the control state

    def lose_term(self, lost: int) -> None:
        """The other replica takes over, without the last pending changes."""
        state = self.core.end_term(lost)
        assert self.send("r", KEYS[0], ReadValue()).has_status(503)
        self.core, self.other_core = self.other_core, self.core
        self.handlers, self.other_handlers = self.other_handlers, self.handlers
        self.core.begin_term(state)
        for lock in LOCKS:
            self.note_hold(lock, max(HOLDS_US))

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
        lock, caller, hold_us = LOCKS[first % 2], f"c{first // 2 % 3}", HOLDS_US[second % 3]
        key, fence = KEYS[first % 3], self.fences.get((lock, caller))
        match kind % 24:
            case 0 | 1 | 2 | 3:
                self.send(caller, lock, BeginHold(caller, hold_us))
            case 4 | 5 if fence is not None:
                self.send(caller, lock, RenewHold(caller, fence, hold_us))
            case 6 if fence is not None:
                self.send(caller, lock, FinishHold(caller, fence))
            case 7 | 8:
                self.send(caller, COUNTERS[first % 2], NextNumber())
            case 9 | 10 | 11:
                put = PutValue(f"v{len(self.history.calls)}", max(0, self.highest_rev[key] - (second % 4 == 0)))
                self.puts.append((self.loop.now + REPEAT_US, key, put))
                self.send("p", key, put)
            case 12 | 13:
                again = [(name, put) for until, name, put in self.puts[-20:] if self.loop.now <= until]
                if again:
                    self.send("p", *again[second % len(again)])
            case 14:
                self.send("r", key, ReadValue())
            case 15:
                group = group_of(key)
                after = max(0, self.highest_rev[group] - second % 16)
                self.send("w", group, WatchGroup(after, 100 * MS * (first % 3)))
            case 16 | 17:
                self.core.settle()
            case 18:
                self.core.settle(but=1 + first % 3)
            case 19 | 20:
                self.loop.advance(SPANS_US[first % len(SPANS_US)])
            case 21:
                self.lose_term(first % 4)
            case 22:
                self.lose_lease()
            case 23 if first % 2:
                self.freeze_before_results()
            case 23:  # the view has ended already, so changes are turned away
                self.core.accepts_changes = False
                self.send(caller, lock, BeginHold(caller, hold_us))
                self.send("p", key, PutValue(f"v{len(self.history.calls)}", self.highest_rev[key]))
                self.lose_term(second % 4)

    def close(self) -> None:
        """Answers all calls, and asks for everything again."""
        self.core.settle()
        self.loop.advance(RETAIN_US)
        assert not self.open
        for lock in LOCKS:
            self.send("closing", lock, BeginHold("closing", max(HOLDS_US)), closing=True)
        for counter in COUNTERS:
            self.send("closing", counter, NextNumber(), closing=True)
        self.core.settle()
        for name in KEYS:
            self.send("closing", name, ReadValue(), closing=True)
            self.send("closing", group_of(name), WatchGroup(0, 0), closing=True)
        assert not self.open


def play(drawn: bytes) -> None:
    schedule = Schedule()
    for at in range(0, len(drawn) - BYTES_PER_STEP + 1, BYTES_PER_STEP):
        schedule.step(*drawn[at : at + BYTES_PER_STEP])
    schedule.close()
    assert not check_history(schedule.history, RETAIN_US)


def test_drawn_histories_keep_the_rules() -> None:
    schedules.search(play, examples=100, size_range=(150, 600))
