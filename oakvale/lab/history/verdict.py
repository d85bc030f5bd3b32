"""The verdict on a history: every rule, checked separately for each lock, counter and group of keys."""

from __future__ import annotations

from oakvale.lab.history.calls import (
    BeginHold,
    Call,
    FinishHold,
    History,
    NextNumber,
    PutValue,
    ReadValue,
    RenewHold,
    WatchGroup,
)
from oakvale.lab.history.closing import check_closing_counter, check_closing_group, check_closing_lock
from oakvale.lab.history.counters import check_counter
from oakvale.lab.history.key_groups import GroupHistory, check_group
from oakvale.lab.history.locks import check_lock
from oakvale.lab.history.sequential import counter_is_linearizable, key_is_linearizable, lock_is_linearizable
from oakvale.lab.history.violations import Rule, Violation


def group_of(name: str) -> str:
    """The group of a key: its name up to the first dot, dot included."""
    head, dot, _ = name.partition(".")
    return head + dot


def _not_linearizable(name: str) -> Violation:
    return Violation(Rule.LINEARIZABILITY, name, "no order of the calls explains all answers")


def _check_locks(history: History) -> list[Violation]:
    violations: list[Violation] = []
    for name, calls in history.by_name(BeginHold, RenewHold, FinishHold).items():
        violations += check_lock(name, calls) + check_closing_lock(name, calls)
        if not lock_is_linearizable(calls):
            violations.append(_not_linearizable(name))
    return violations


def _check_counters(history: History) -> list[Violation]:
    violations: list[Violation] = []
    for name, calls in history.by_name(NextNumber).items():
        violations += check_counter(name, calls) + check_closing_counter(name, calls)
        if not counter_is_linearizable(calls):
            violations.append(_not_linearizable(name))
    return violations


def _check_groups(history: History, retain_us: int) -> list[Violation]:
    violations: list[Violation] = []
    by_group: dict[str, list[Call]] = {}
    for call in history.calls:
        if isinstance(call.request, PutValue | ReadValue | WatchGroup):
            by_group.setdefault(group_of(call.name), []).append(call)
    for group, calls in by_group.items():
        group_history = GroupHistory(group, calls)
        violations += check_group(group_history, retain_us) + check_closing_group(group_history)
        for name in sorted(group_history.key_names()):
            if not key_is_linearizable(name, group_history):
                violations.append(_not_linearizable(name))
    return violations


def check_history(history: History, retain_us: int) -> list[Violation]:
    """Everything in which the history breaks a rule; `retain_us` is how long events have to be remembered."""
    return _check_locks(history) + _check_counters(history) + _check_groups(history, retain_us)
