"""The coordination service on a control state whose changes come into force when the test says so."""

from __future__ import annotations

from typing import Any, cast

import orjson
import pytest

from oakvale.base.loop import Loop
from oakvale.coordination.calls import MAX_BODY_BYTES, ControlCall
from oakvale.coordination.counters import BLOCK_SIZE
from oakvale.coordination.entries import LOCK_PREFIX
from oakvale.coordination.service import CoordinationService
from oakvale.memory.requests import Answer
from tests.coordination_core import SteppedCore, SteppedLoop

SECOND = 1_000_000
HOLD = {"owner": "a", "hold": "3000ms"}
MARGIN_US = 50_000


class Call:
    """A call and its answer, if it has one."""

    def __init__(self) -> None:
        self.answers: list[Answer] = []

    @property
    def status(self) -> int | None:
        assert len(self.answers) <= 1
        return self.answers[0].status if self.answers else None

    @property
    def fields(self) -> Any:
        return orjson.loads(self.answers[0].body)


class Bench:
    """The service, its core, and calls to it."""

    def __init__(self) -> None:
        self.core, self.loop = SteppedCore(), SteppedLoop()
        self.service = CoordinationService(self.core, cast(Loop, self.loop), 20 * SECOND)
        self._handlers = self.service.handlers()

    def call(self, verb: str, name: str, body: Any = None, query: str = "") -> Call:
        method = b"GET" if verb in ("Cells.Read", "watch") else b"POST"
        made = Call()
        raw = body if isinstance(body, bytes) else orjson.dumps(body if body is not None else {})
        self._handlers[method, verb](ControlCall(name, query, raw), made.answers.append)
        return made

    def done(self, verb: str, name: str, body: Any = None) -> tuple[Any, Any]:
        """Makes a call and puts its change in force."""
        made = self.call(verb, name, body)
        self.core.settle()
        return made.status, made.fields


@pytest.fixture
def bench() -> Bench:
    return Bench()


def test_a_change_is_answered_once_it_is_in_force(bench: Bench) -> None:
    made = bench.call("Locks.Begin", "l", HOLD)
    assert not made.answers
    bench.core.settle()
    assert (made.status, made.fields) == (200, {"fence": 1})
    renewed = bench.call("Locks.Heartbeat", "l", HOLD | {"fence": 1})
    assert renewed.status == 200 and renewed.answers[0].headers == [(b"content-type", b"application/json")]
    assert bench.done("Locks.Finish", "l", {"owner": "a", "fence": 1}) == (200, {})
    assert bench.call("Locks.Heartbeat", "l", HOLD | {"fence": 1}).status == 409
    assert [*map(list, bench.core.changes)] == [[LOCK_PREFIX + "l"]] * 2


def test_calls_that_are_not_understood_do_nothing(bench: Bench) -> None:
    put, begin, beat = "Cells.Replace", "Locks.Begin", "Locks.Heartbeat"
    for verb, name, body, status, why in (
        (begin, "", HOLD, 400, "name"),
        (begin, "a/b", HOLD, 400, "name"),
        (begin, "x" * 129, HOLD, 400, "name"),
        (begin, "l", b"{", 400, "body"),
        (begin, "l", [], 400, "body"),
        (begin, "l", HOLD | {"owner": ""}, 400, "owner"),
        (begin, "l", HOLD | {"owner": 7}, 400, "owner"),
        (begin, "l", HOLD | {"owner": "x" * 129}, 413, "owner"),
        (begin, "l", HOLD | {"hold": 3000}, 400, "hold"),
        (begin, "l", HOLD | {"hold": "0ms"}, 400, "hold"),
        (begin, "l", HOLD | {"hold": "-3000ms"}, 400, "hold"),
        (begin, "l", HOLD | {"hold": "3601s"}, 400, "hold"),
        (beat, "l", HOLD, 400, "fence"),
        (beat, "l", HOLD | {"fence": True}, 400, "fence"),
        (beat, "l", HOLD | {"fence": "1"}, 400, "fence"),
        (beat, "l", HOLD | {"fence": -1}, 400, "fence"),
        ("numbers", "n", b"[]", 400, "body"),
        ("numbers", "n n", {}, 400, "name"),
        (put, "g.a", {}, 400, "val"),
        (put, "g.a", {"val": "x" * 4097}, 413, "val"),
        (put, "g.a", {"val": "v", "topic": 1.5}, 400, "topic"),
        (put, "g.a", b" " * (MAX_BODY_BYTES + 1), 413, "body"),
        ("Cells.Read", "g\n", None, 400, "name"),
    ):
        made = bench.call(verb, name, body)
        assert made.status == status and made.fields["error"].startswith(why + ":"), (verb, name, body)
    assert not bench.core.changes and bench.service.status()["keys"] == 0


def test_an_unknown_outcome_is_500_and_never_a_promise(bench: Bench) -> None:
    calls = [bench.call("Locks.Begin", "l", HOLD), bench.call("Locks.Begin", "l", HOLD | {"owner": "b"})]
    calls += [bench.call("Cells.Replace", "g.a", {"val": val, "topic": 0}) for val in ("v", "v", "w")]
    calls += [bench.call("numbers", "n") for _ in range(2)]
    assert [made.status for made in calls] == [None] * len(calls)
    bench.core.lose_results()
    assert [made.status for made in calls] == [500] * len(calls)
    bench.core.settle()  # they come into force all the same
    assert bench.done("Cells.Replace", "g.a", {"val": "v", "topic": 0}) == (200, {"rev": 1})
    assert bench.done("Cells.Replace", "g.a", {"val": "w", "topic": 0}) == (412, {"rev": 1})
    assert bench.done("Locks.Begin", "l", HOLD) == (200, {"fence": 1})
    assert bench.done("numbers", "n") == (200, {"val": BLOCK_SIZE + 1})


def test_a_change_that_was_turned_away_leaves_no_trace(bench: Bench) -> None:
    bench.core.accepts_changes = False
    assert bench.call("Cells.Replace", "g.a", {"val": "v"}).status == 500
    assert bench.call("Locks.Begin", "l", HOLD).status == 500
    bench.core.accepts_changes = True
    assert bench.call("Cells.Read", "g.a").status == 404
    assert bench.done("Cells.Replace", "g.a", {"val": "w", "topic": 0}) == (200, {"rev": 1})
    assert bench.done("Locks.Begin", "l", HOLD | {"owner": "b"}) == (200, {"fence": 1})


def test_a_primary_without_a_lease_promises_that_it_did_nothing(bench: Bench) -> None:
    bench.done("Locks.Begin", "l", HOLD)
    bench.core.serves = False
    calls = [
        bench.call("Locks.Begin", "l", HOLD),
        bench.call("Locks.Heartbeat", "l", HOLD | {"fence": 1}),
        bench.call("numbers", "n"),
        bench.call("Cells.Replace", "g.a", {"val": "v"}),
        bench.call("Cells.Read", "g.a"),
        bench.call("watch", "g.", query="after=0"),
    ]
    assert [made.status for made in calls] == [503] * len(calls) and len(bench.core.changes) == 1


def test_a_primary_frozen_before_its_reply_reports_no_success(bench: Bench) -> None:
    """Its lease ran out between the moment at which the change came into force and the reply."""
    calls = [bench.call("Locks.Begin", "l", HOLD), bench.call("Locks.Begin", "l", HOLD)]
    calls += [bench.call("numbers", "n"), bench.call("Cells.Replace", "g.a", {"val": "v"})]
    bench.core.settle(before_results=lambda: setattr(bench.core, "serves", False))
    assert [made.status for made in calls] == [500] * len(calls)


def test_a_call_is_answered_only_if_the_lease_holds_after_the_decision(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    bench.done("Locks.Begin", "l", HOLD)
    for verb, name, body in (("Locks.Heartbeat", "l", HOLD | {"fence": 1}), ("Cells.Read", "g.a", None)):
        moments = iter((True, False))
        monkeypatch.setattr(bench.core, "serving", lambda moments=moments: next(moments))
        assert bench.call(verb, name, body).status == 500


def test_a_new_term_holds_locks_anew_and_skips_numbers(bench: Bench) -> None:
    bench.done("Locks.Begin", "l", HOLD)
    assert bench.done("numbers", "n") == (200, {"val": 1})
    pending = bench.call("Cells.Replace", "g.a", {"val": "v"})
    bench.loop.advance(2 * SECOND)
    state = bench.core.end_term()
    assert pending.status == 500
    bench.core.begin_term(state)
    assert bench.done("numbers", "n") == (200, {"val": BLOCK_SIZE + 1})
    bench.loop.advance(3 * SECOND + MARGIN_US - 1)
    assert bench.done("Locks.Begin", "l", HOLD | {"owner": "b"})[0] == 409
    bench.loop.advance(1)
    assert bench.done("Locks.Begin", "l", HOLD | {"owner": "b"}) == (200, {"fence": 2})
    assert bench.done("Cells.Replace", "g.a", {"val": "v"}) == (200, {"rev": 1})


def test_a_rebuild_within_a_term_keeps_the_time_of_a_holder(bench: Bench) -> None:
    bench.done("Locks.Begin", "l", HOLD)
    bench.loop.advance(2 * SECOND)
    bench.call("numbers", "n")
    bench.core.lose_results()
    assert bench.done("Locks.Begin", "l", HOLD | {"owner": "b"})[0] == 409
    bench.loop.advance(SECOND + MARGIN_US)
    assert bench.done("Locks.Begin", "l", HOLD | {"owner": "b"}) == (200, {"fence": 2})


def test_a_replaced_state_is_read_anew(bench: Bench) -> None:
    bench.done("Cells.Replace", "g.a", {"val": "old"})
    bench.core.replicated_state.table.put([("coordination/cell/g.a", (2, 1), [5, "new"])])
    assert bench.call("Cells.Read", "g.a").fields == {"val": "old", "rev": 1}
    for hook in bench.core.on_state_replaced:
        hook()
    assert bench.call("Cells.Read", "g.a").fields == {"val": "new", "rev": 5}


def test_a_watch_is_answered_before_the_put_that_it_waited_for(bench: Bench) -> None:
    bench.done("Cells.Replace", "g.a", {"val": "v1"})
    assert bench.call("watch", "g.", query="after=0").fields == {"events": [], "rev": 1}
    order: list[str] = []
    watch = bench.call("watch", "g.", query="after=1&wait-ms=2000")
    put = bench.call("Cells.Replace", "g.a", {"val": "v2"})
    assert watch.status is None and bench.service.status()["waiting_watches"] == 1
    bench.core.settle(before_results=lambda: order.append(f"watch {watch.status}, put {put.status}"))
    assert order == ["watch 200, put None"] and put.status == 200
    assert watch.fields == {"events": [{"name": "g.a", "val": "v2", "rev": 2}], "rev": 2}


def test_a_watch_sees_a_put_whose_result_was_lost(bench: Bench) -> None:
    bench.done("Cells.Replace", "g.a", {"val": "v1"})
    watch = bench.call("watch", "g.", query="after=1&wait-ms=2000")
    bench.call("Cells.Replace", "g.a", {"val": "v2"})
    bench.core.lose_results()
    bench.core.settle()
    bench.call("Cells.Read", "g.a")
    assert watch.status == 200 and watch.fields["rev"] == 2


@pytest.mark.parametrize("announced", [True, False])
def test_watches_end_with_the_term(bench: Bench, announced: bool) -> None:
    bench.done("Cells.Replace", "g.a", {"val": "v1"})
    watch = bench.call("watch", "g.", query="after=1&wait-ms=60000")
    bench.loop.advance(SECOND)
    assert watch.status is None
    if announced:
        bench.core.end_term()
    else:  # the lease ran out
        bench.core.serves = False
        bench.loop.advance(SECOND // 10)
    assert watch.status == 503
    bench.loop.advance(60 * SECOND)
    assert watch.status == 503 and bench.service.status()["waiting_watches"] == 0
