"""Locks, counters and keys as sequential objects, for the check of linearizability.

A call that was turned away and proves nothing about the object is left out, as is a call without a clear answer whose
effect nobody could have seen.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from oakvale.lab.history.calls import (
    BeginHold,
    Call,
    FinishHold,
    NextNumber,
    PutValue,
    ReadValue,
    RenewHold,
    Result,
    successes,
    with_request,
)
from oakvale.lab.history.key_groups import GroupHistory, Put
from oakvale.lab.history.linearizability import NEVER, Operation, is_linearizable


@dataclass(slots=True, frozen=True)
class LockState:
    """A lock: its newest fence, its holder, and when the holder's own time ends."""

    fence: int = 0
    holder: str = ""
    until: int = 0


def _begin(call: Call, request: BeginHold, result: Result) -> Operation[LockState]:
    def successors(state: LockState) -> Iterable[LockState]:
        until = call.sent_at + request.hold_us
        if state.holder == call.caller and state.fence == result.fence:
            yield replace(state, until=max(state.until, until))
        elif result.fence > state.fence and (not state.holder or state.until <= call.answered_at):
            yield LockState(result.fence, call.caller, until)

    return Operation(call.sent_at, call.answered_at, successors)


def _renew(call: Call, request: RenewHold) -> Operation[LockState]:
    def successors(state: LockState) -> Iterable[LockState]:
        if (state.fence, state.holder) == (request.fence, call.caller):
            yield replace(state, until=max(state.until, call.sent_at + request.hold_us))

    return Operation(call.sent_at, call.answered_at, successors)


def _finish(call: Call, request: FinishHold) -> Operation[LockState]:
    def successors(state: LockState) -> Iterable[LockState]:
        if (state.fence, state.holder) == (request.fence, call.caller):
            yield LockState(state.fence)
        elif call.succeeded:
            yield state

    return Operation(call.sent_at, call.answered_at if call.succeeded else NEVER, successors)


def lock_is_linearizable(calls: list[Call]) -> bool:
    """Whether all calls to one lock are. A hold ends by itself no earlier than its holder's own time."""
    operations = [_begin(call, request, result) for call, request, result in successes(calls, BeginHold)]
    operations += [_renew(call, request) for call, request, _ in successes(calls, RenewHold)]
    finishes = with_request(calls, FinishHold)
    operations += [_finish(call, request) for call, request in finishes if not call.has_no_effect]
    return is_linearizable(operations, LockState())


def counter_is_linearizable(calls: list[Call]) -> bool:
    """Whether all calls for numbers of one name are."""

    def number(call: Call, given: int) -> Operation[int]:
        return Operation(call.sent_at, call.answered_at, lambda last: [given] if given > last else [])

    return is_linearizable([number(call, result.number) for call, _, result in successes(calls, NextNumber)], 0)


@dataclass(slots=True, frozen=True)
class KeyState:
    """A key: the revision and the value of its newest put."""

    rev: int = 0
    value: str = ""


def _put(put: Put, possible_revs: list[int]) -> Operation[KeyState]:
    def successors(state: KeyState) -> Iterable[KeyState]:
        if state.rev == put.topic:
            for rev in possible_revs:
                if rev > state.rev:
                    yield KeyState(rev, put.value)

    acknowledgement = put.acknowledgement
    return Operation(put.first_sent_at, acknowledgement.answered_at if acknowledgement else NEVER, successors)


def _read(call: Call, result: Result) -> Operation[KeyState]:
    shown = KeyState(result.rev, result.value)
    return Operation(call.sent_at, call.answered_at, lambda state: [state] if state == shown else [])


def _conflict(call: Call, request: PutValue, rev: int) -> Operation[KeyState]:
    def successors(state: KeyState) -> Iterable[KeyState]:
        if state.rev == rev != request.topic:
            yield state

    return Operation(call.sent_at, call.answered_at, successors)


def key_is_linearizable(name: str, history: GroupHistory) -> bool:
    """Whether all calls to one key are. A put whose revision nobody was shown may be behind a revision that a 412 named
    alone."""
    calls = [call for call in history.calls if call.name == name]
    puts = [put for put in history.puts.values() if put.name == name]
    rev_by_value = {sight.value: sight.rev for sight in history.sights if sight.name == name}
    conflicts = [
        (call, request, call.result.rev)
        for call, request in with_request(calls, PutValue)
        if call.result is not None and call.result.status == 412
    ]
    unexplained = sorted({rev for _, _, rev in conflicts} - {0, *rev_by_value.values()})
    operations: list[Operation[KeyState]] = []
    for put in puts:
        if put.value in rev_by_value:
            operations.append(_put(put, [rev_by_value[put.value]]))
        elif unexplained and not put.was_turned_away:
            operations.append(_put(put, unexplained))
    for call, _ in with_request(calls, ReadValue):
        if call.result is not None and call.result.status in (200, 404):
            operations.append(_read(call, call.result))
    operations += [_conflict(*conflict) for conflict in conflicts]
    return is_linearizable(operations, KeyState())
