"""Checks of the calls at the end of a run: everything that was acknowledged is still there, and is shown in time."""

from __future__ import annotations

from oakvale.lab.history.calls import BeginHold, Call, NextNumber, PutValue, ReadValue, Request, WatchGroup
from oakvale.lab.history.key_groups import GroupHistory
from oakvale.lab.history.linearizability import NEVER
from oakvale.lab.history.violations import Rule, Violation


def _shown(call: Call) -> int | None:
    """The fence, number or revision that an answer shows; None if it shows none."""
    result = call.result
    if result is None or result.status not in (200, 404):
        return None
    return {BeginHold: result.fence, NextNumber: result.number}.get(type(call.request), result.rev)


def _check(
    name: str, calls: list[Call], acknowledging: type[Request], asking: type[Request], rises: bool
) -> list[Violation]:
    """Checks that the closing calls were answered, and show what was acknowledged before, or above it if it `rises`
    with each call."""
    closing = [call for call in calls if call.closing and isinstance(call.request, asking)]
    closed_at = min((call.sent_at for call in closing), default=NEVER)
    earlier = [call for call in calls if isinstance(call.request, acknowledging) and not call.closing]
    acknowledged = [_shown(call) or 0 for call in earlier if call.succeeded and call.answered_at < closed_at]
    if not acknowledged:
        return []
    shown = [value for call in closing if (value := _shown(call)) is not None]
    if not shown:
        return [Violation(Rule.LOST, name, f"no answer at the end; {max(acknowledged)} was acknowledged")]
    if min(shown) < max(acknowledged) + rises:
        return [Violation(Rule.LOST, name, f"{min(shown)} at the end; {max(acknowledged)} was acknowledged")]
    return []


def check_closing_lock(name: str, calls: list[Call]) -> list[Violation]:
    """Checks that the lock was granted at the end with a fence above all that were acknowledged."""
    return _check(name, calls, BeginHold, BeginHold, rises=True)


def check_closing_counter(name: str, calls: list[Call]) -> list[Violation]:
    """Checks that the counter gave a number at the end above all that were acknowledged."""
    return _check(name, calls, NextNumber, NextNumber, rises=True)


def check_closing_group(history: GroupHistory) -> list[Violation]:
    """Checks that each key was read back, and that watches were resumed up to the newest revision."""
    violations: list[Violation] = []
    for name in sorted(history.key_names()):
        calls = [call for call in history.calls if call.name == name]
        violations += _check(name, calls, PutValue, ReadValue, rises=False)
    if any(isinstance(call.request, WatchGroup) for call in history.calls):
        violations += _check(history.group, history.calls, PutValue, WatchGroup, rises=False)
    return violations
