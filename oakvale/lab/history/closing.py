"""Checks of the calls at the end of a run: everything that was acknowledged is still there, and is shown in time."""

from __future__ import annotations

from collections.abc import Iterator

from oakvale.lab.history.calls import BeginHold, Call, NextNumber, PutValue, ReadValue, WatchGroup, successes
from oakvale.lab.history.key_groups import GroupHistory
from oakvale.lab.history.violations import Rule, Violation


def _shown(call: Call) -> int | None:
    """The fence, number or revision that an answer shows; None if it shows none."""
    result = call.result
    if result is None or result.status not in (200, 404):
        return None
    return {BeginHold: result.fence, NextNumber: result.number}.get(type(call.request), result.rev)


def _lagging(name: str, calls: list[Call], acknowledged: int) -> Iterator[Violation]:
    shown = [value for call in calls if call.closing and (value := _shown(call)) is not None]
    if not shown:
        yield Violation(Rule.LOST, name, f"no answer at the end; {acknowledged} was acknowledged")
    elif min(shown) < acknowledged:
        yield Violation(Rule.LOST, name, f"{min(shown)} at the end; {acknowledged} was acknowledged")


def check_closing_lock(name: str, calls: list[Call]) -> list[Violation]:
    """Checks that the lock was granted at the end with a fence above all that were acknowledged."""
    fences = [result.fence for call, _, result in successes(calls, BeginHold) if not call.closing]
    requests = [call for call in calls if isinstance(call.request, BeginHold)]
    return list(_lagging(name, requests, max(fences) + 1)) if fences else []


def check_closing_counter(name: str, calls: list[Call]) -> list[Violation]:
    """Checks that the counter gave a number at the end above all that were acknowledged."""
    numbers = [result.number for call, _, result in successes(calls, NextNumber) if not call.closing]
    return list(_lagging(name, calls, max(numbers) + 1)) if numbers else []


def check_closing_group(history: GroupHistory) -> list[Violation]:
    """Checks that each key was read back, and that watches were resumed up to the newest revision."""
    violations: list[Violation] = []
    newest = 0
    for name in sorted(history.key_names()):
        calls = [call for call in history.calls if call.name == name]
        revs = [result.rev for call, _, result in successes(calls, PutValue) if not call.closing]
        if revs:
            newest = max(newest, max(revs))
            reads = [call for call in calls if isinstance(call.request, ReadValue)]
            violations += _lagging(name, reads, max(revs))
    resumed = [call for call in history.calls if isinstance(call.request, WatchGroup)]
    if newest and any(call.closing for call in resumed):
        violations += _lagging(history.group, resumed, newest)
    return violations
