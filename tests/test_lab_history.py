"""The checks of histories, on small histories written by hand: each rule broken once, and what just keeps it."""

from __future__ import annotations

import pytest

from oakvale.lab.history.calls import (
    BeginHold,
    Event,
    FinishHold,
    History,
    NextNumber,
    PutValue,
    ReadValue,
    RenewHold,
    Request,
    Result,
    WatchGroup,
)
from oakvale.lab.history.linearizability import NEVER, Operation, is_linearizable
from oakvale.lab.history.verdict import check_history
from oakvale.lab.history.violations import Rule

Step = tuple[str, str, Request, int, int, Result | None]  # caller, name, request, sent, answered, result
RETAIN = 100


def begin(caller: str, sent: int, answered: int, fence: int, hold: int = 50) -> Step:
    return caller, "l", BeginHold(caller, hold), sent, answered, Result(200, fence=fence)


def renew(caller: str, sent: int, answered: int, fence: int, hold: int = 50) -> Step:
    return caller, "l", RenewHold(caller, fence, hold), sent, answered, Result(200)


def finish(caller: str, sent: int, fence: int, status: int = 200) -> Step:
    return caller, "l", FinishHold(caller, fence), sent, sent + 1, Result(status)


def number(sent: int, answered: int, value: int) -> Step:
    return "n", "c", NextNumber(), sent, answered, Result(200, number=value)


def put(value: str, topic: int, sent: int, result: Result | None, name: str = "g.k") -> Step:
    return "p", name, PutValue(value, topic), sent, sent + 1, result


def read(sent: int, rev: int, value: str, name: str = "g.k") -> Step:
    return "r", name, ReadValue(), sent, sent + 1, Result(200 if rev else 404, rev=rev, value=value)


def watch(after: int, sent: int, rev: int, *events: Event, status: int = 200) -> Step:
    return "w", "g.", WatchGroup(after, 10), sent, sent + 1, Result(status, rev=rev, events=events)


def acknowledged(rev: int) -> Result:
    return Result(200, rev=rev)


def conflict(rev: int) -> Result:
    return Result(412, rev=rev)


def history_of(steps: tuple[Step, ...], closing: tuple[Step, ...] = ()) -> History:
    history = History()
    for step in (*steps, *closing):
        caller, name, request, sent, answered, result = step
        call = history.sent(caller, name, request, sent, closing=step in closing)
        if result is not None:
            call.result, call.answered_at = result, answered
    return history


def rules_broken(*steps: Step, closing: tuple[Step, ...] = ()) -> set[Rule]:
    """Without closing calls nothing can be lost at the end, so that is left out."""
    found = {
        (violation.rule, "at the end" in violation.detail)
        for violation in check_history(history_of(steps, closing), RETAIN)
    }
    return {rule for rule, at_end in found if closing or not at_end}


X, Y = acknowledged(1), acknowledged(2)

CLEAN: dict[str, tuple[Step, ...]] = {
    "a lock after its time": (begin("a", 0, 2, 1), begin("b", 51, 53, 2)),
    "a lock given back": (begin("a", 0, 2, 1), finish("a", 10, 1), begin("b", 11, 14, 2)),
    "the fence again": (begin("a", 0, 2, 1), begin("a", 20, 22, 1), finish("a", 30, 1), begin("b", 31, 33, 2)),
    "numbers at once": (number(0, 10, 2), number(1, 9, 1), number(11, 12, 7)),
    "a put sent again": (put("x", 0, 0, None), put("x", 0, 20, X), put("y", 1, 30, Y), put("x", 0, 40, X)),
    "an unclear put that took effect late": (put("x", 0, 0, None), read(5, 0, ""), read(20, 1, "x")),
    "a conflict with an unclear put": (put("x", 0, 0, None), put("y", 0, 5, conflict(1)), put("z", 1, 9, Y)),
    "a watch": (put("x", 0, 0, X), watch(0, 5, 1), put("y", 1, 9, Y), watch(1, 20, 2, Event("g.k", "y", 2))),
    "410 after the retention": (watch(0, 0, 3), watch(3, 101, 0, status=410)),
}

BROKEN: dict[str, tuple[set[Rule], tuple[Step, ...]]] = {
    "two holders": ({Rule.ONE, Rule.LINEARIZABILITY}, (begin("a", 0, 2, 1), begin("b", 10, 12, 2))),
    "two holders after a renewal": (
        {Rule.ONE, Rule.LINEARIZABILITY},
        (begin("a", 0, 2, 1), renew("a", 40, 42, 1), begin("b", 60, 62, 2)),
    ),
    "a renewal that counts for nothing, as it is answered after the time": (
        {Rule.LINEARIZABILITY},
        (begin("a", 0, 2, 1), renew("a", 40, 55, 1), begin("b", 52, 60, 2)),
    ),
    "one fence for two": ({Rule.ONE, Rule.LINEARIZABILITY}, (begin("a", 0, 2, 1), begin("b", 51, 53, 1))),
    "a fence that falls": ({Rule.ONE, Rule.LINEARIZABILITY}, (begin("a", 0, 2, 5), begin("b", 51, 53, 4))),
    "a number given twice": ({Rule.ORDER, Rule.LINEARIZABILITY}, (number(0, 10, 1), number(1, 9, 1))),
    "a number that falls": ({Rule.ORDER, Rule.LINEARIZABILITY}, (number(0, 1, 5), number(2, 3, 4))),
    "a revision given twice": ({Rule.ORDER}, (put("x", 0, 0, X), put("y", 0, 0, X, "g.other"))),
    "a revision that falls": ({Rule.ORDER}, (put("x", 0, 0, Y), put("y", 0, 5, X, "g.other"))),
    "a put over a later one": ({Rule.ORDER, Rule.LINEARIZABILITY}, (put("x", 0, 0, X), put("y", 0, 1, Y))),
    "events that fall": (
        {Rule.ORDER},
        (put("x", 0, 0, X), put("y", 1, 2, Y), watch(0, 5, 2, Event("g.k", "y", 2), Event("g.k", "x", 1))),
    ),
    "an event skipped": (
        {Rule.ORDER},
        (put("x", 0, 0, X), put("y", 1, 2, Y), put("z", 2, 4, acknowledged(3)), watch(1, 9, 3, Event("g.k", "z", 3))),
    ),
    "an old read": ({Rule.STALE, Rule.LINEARIZABILITY}, (put("x", 0, 0, X), put("y", 1, 2, Y), read(5, 1, "x"))),
    "a read of nothing": ({Rule.STALE, Rule.LINEARIZABILITY}, (put("x", 0, 0, X), read(5, 0, ""))),
    "a value of nobody": ({Rule.MIXED, Rule.LINEARIZABILITY}, (read(0, 1, "x"),)),
    "a value of another key": ({Rule.MIXED, Rule.LINEARIZABILITY}, (put("x", 0, 0, None), read(5, 1, "x", "g.other"))),
    "two revisions of a value": ({Rule.MIXED}, (put("x", 0, 0, X), put("x", 0, 5, Y))),
    "a conflict with no put": (
        {Rule.MIXED, Rule.LINEARIZABILITY},
        (put("x", 0, 0, X), put("y", 0, 5, conflict(7))),
    ),
    "a value that was turned away": (
        {Rule.REFUSED},
        (put("x", 0, 0, X), put("y", 0, 2, Result(503)), watch(1, 9, 2, Event("g.k", "y", 2))),
    ),
    "a value after a conflict": (
        {Rule.REFUSED},
        (put("x", 0, 0, None), put("x", 0, 2, conflict(1)), watch(0, 9, 1, Event("g.k", "x", 1))),
    ),
    "410 within the retention": ({Rule.LOST}, (watch(0, 0, 3), watch(3, 99, 0, status=410))),
    "a read that goes back before an unclear put": (
        {Rule.LINEARIZABILITY},
        (put("x", 0, 0, None), read(5, 1, "x"), read(9, 0, "")),
    ),
}


@pytest.mark.parametrize("steps", CLEAN.values(), ids=CLEAN.keys())
def test_what_keeps_the_rules(steps: tuple[Step, ...]) -> None:
    assert rules_broken(*steps) == set()


@pytest.mark.parametrize("rules, steps", BROKEN.values(), ids=BROKEN.keys())
def test_what_breaks_a_rule(rules: set[Rule], steps: tuple[Step, ...]) -> None:
    assert rules_broken(*steps) == rules


@pytest.mark.parametrize(
    "steps, kept, lost",
    [
        ((begin("a", 0, 2, 4),), begin("z", 900, 901, 5), begin("z", 900, 901, 4)),
        ((number(0, 1, 4),), number(900, 901, 5), number(900, 901, 4)),
        ((put("x", 0, 0, X), put("y", 1, 5, Y)), read(900, 2, "y"), read(900, 1, "x")),
        ((put("x", 0, 0, X), put("y", 1, 5, Y)), read(900, 2, "y"), read(900, 0, "")),
    ],
    ids=["lock", "counter", "key", "missing key"],
)
def test_what_is_lost_at_the_end(steps: tuple[Step, ...], kept: Step, lost: Step) -> None:
    unanswered = (*lost[:5], None)
    assert Rule.LOST not in rules_broken(*steps, closing=(kept,))
    assert Rule.LOST in rules_broken(*steps, closing=(lost,))
    assert Rule.LOST in rules_broken(*steps, closing=(unanswered,))


def test_a_watch_that_is_behind_at_the_end() -> None:
    steps = (put("x", 0, 0, X), put("y", 1, 5, Y), watch(0, 20, 2))
    resumed = read(900, 2, "y")
    assert rules_broken(*steps, closing=(resumed, watch(2, 900, 2))) == set()
    assert rules_broken(*steps, closing=(resumed, watch(2, 900, 1))) == {Rule.ORDER, Rule.LOST}


def test_the_search_tries_all_orders() -> None:
    """Ten concurrent operations that fit in one order alone; an unclear one may be left out."""

    def step(number: int, returned_at: int) -> Operation[int]:
        return Operation(0, returned_at, lambda last: [number] if number == last + 1 else [])

    assert is_linearizable([step(number, 5) for number in range(10, 0, -1)], 0)
    assert is_linearizable([step(number, 5) for number in range(10, 0, -1)] + [step(99, NEVER)], 0)
    assert not is_linearizable([step(number, 5) for number in range(11, 0, -1) if number != 4], 0)
