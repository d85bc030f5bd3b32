"""The state machine of the rising numbers."""

from __future__ import annotations

import pytest

from oakvale.coordination import counters as counters_module
from oakvale.coordination.counters import BLOCK_SIZE, Counters
from oakvale.coordination.decisions import CallReply, Decision
from oakvale.coordination.entries import COUNTER_PREFIX, CounterEntry

KEY = COUNTER_PREFIX + "n"


def numbered(number: int, rests_on_pending: bool = False) -> Decision:
    return Decision(CallReply(200, {"val": number}), rests_on_pending=rests_on_pending)


def reserving(number: int, up_to: int) -> Decision:
    return Decision(CallReply(200, {"val": number}), {KEY: up_to})


def test_numbers_of_a_block_wait_until_it_is_in_force() -> None:
    counters = Counters()
    assert counters.take("n") == reserving(1, BLOCK_SIZE)
    assert counters.take("n") == numbered(2, rests_on_pending=True)
    counters.put_in_force("n", CounterEntry(BLOCK_SIZE))
    assert [counters.take("n") for _ in range(3, BLOCK_SIZE + 1)] == [numbered(n) for n in range(3, BLOCK_SIZE + 1)]
    assert counters.take("n") == reserving(BLOCK_SIZE + 1, 2 * BLOCK_SIZE)


def test_a_new_term_begins_above_all_blocks() -> None:
    counters = Counters()
    counters.take("n")
    counters.rebuild([("n", CounterEntry(BLOCK_SIZE))], [("n", CounterEntry(2 * BLOCK_SIZE))])
    assert counters.take("n") == reserving(2 * BLOCK_SIZE + 1, 3 * BLOCK_SIZE)
    counters.rebuild([], [("n", CounterEntry(BLOCK_SIZE))])
    assert counters.take("n") == reserving(BLOCK_SIZE + 1, 2 * BLOCK_SIZE)


def test_names_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(counters_module, "MAX_COUNTERS", 1)
    counters = Counters()
    counters.take("n")
    assert counters.take("other").reply.status == 429 and counters.take("n").reply.status == 200
    assert len(counters) == 1
