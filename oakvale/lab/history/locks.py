"""Checks of one lock: no two callers count themselves holder at once, and fences rise."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from oakvale.lab.history.calls import BeginHold, Call, FinishHold, RenewHold, successes
from oakvale.lab.history.violations import Rule, Violation


@dataclass(slots=True)
class Hold:
    """A time during which a caller counts itself holder."""

    caller: str
    fence: int
    start: int
    end: int


def holds_of(caller: str, calls: list[Call]) -> list[Hold]:
    """The holds of one caller, from its calls to one lock: each from a 200 until the lock is given back, found lost or
    not renewed in time."""
    events: list[tuple[int, int, Call]] = []
    for order, call in enumerate(calls):
        if isinstance(call.request, FinishHold):
            events.append((call.sent_at, order, call))
        elif call.result is not None:
            events.append((call.answered_at, order, call))
    holds: list[Hold] = []
    current: Hold | None = None
    for at, _, call in sorted(events, key=lambda event: event[:2]):
        if current is not None and at >= current.end:
            current = None
        match call.request:
            case BeginHold(_, hold_us) if call.result is not None and call.result.status == 200:
                end = call.sent_at + hold_us
                if current is not None and current.fence == call.result.fence:
                    current.end = end
                elif end > at:
                    current = Hold(caller, call.result.fence, at, end)
                    holds.append(current)
            case RenewHold(_, fence, hold_us) if current is not None and current.fence == fence:
                if call.succeeded:
                    current.end = call.sent_at + hold_us
                elif call.has_status(409):
                    current.end, current = at, None
            case FinishHold(_, fence) if current is not None and current.fence == fence:
                current.end, current = at, None
    return holds


def _check_single_holder(name: str, calls: list[Call]) -> Iterator[Violation]:
    by_caller: dict[str, list[Call]] = {}
    for call in calls:
        by_caller.setdefault(call.caller, []).append(call)
    holds = [hold for caller, own in by_caller.items() for hold in holds_of(caller, own)]
    holds.sort(key=lambda hold: hold.start)
    latest_by_caller: dict[str, Hold] = {}
    for hold in holds:
        for earlier in latest_by_caller.values():
            if earlier.caller != hold.caller and earlier.end > hold.start:
                yield Violation(Rule.ONE, name, f"{earlier} and {hold} at once")
        latest = latest_by_caller.get(hold.caller)
        if latest is None or hold.end > latest.end:
            latest_by_caller[hold.caller] = hold


def _check_fences(name: str, calls: list[Call]) -> Iterator[Violation]:
    grants = list(successes(calls, BeginHold))
    holder_by_fence: dict[int, str] = {}
    for call, _, result in grants:
        if holder_by_fence.setdefault(result.fence, call.caller) != call.caller:
            yield Violation(Rule.ONE, name, f"fence {result.fence} went to {holder_by_fence[result.fence]} too: {call}")
        earlier = [
            other.fence
            for grant, _, other in grants
            if grant.caller != call.caller and grant.was_answered_before(call.sent_at)
        ]
        if earlier and max(earlier) >= result.fence:
            yield Violation(Rule.ONE, name, f"fence not above {max(earlier)}, given before: {call}")


def check_lock(name: str, calls: list[Call]) -> list[Violation]:
    """Checks all calls to one lock."""
    return [*_check_single_holder(name, calls), *_check_fences(name, calls)]
