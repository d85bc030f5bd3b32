"""Checks of one counter: each number is given once, above all that were given before its call was sent."""

from __future__ import annotations

from oakvale.lab.history.calls import Call, NextNumber, successes
from oakvale.lab.history.violations import Rule, Violation


def check_counter(name: str, calls: list[Call]) -> list[Violation]:
    """Checks all calls for numbers of one name."""
    violations: list[Violation] = []
    given: dict[int, Call] = {}
    answered = sorted(successes(calls, NextNumber), key=lambda success: success[0].sent_at)
    by_answer = sorted(answered, key=lambda success: success[0].answered_at)
    highest, next_answer = 0, 0
    for call, _, result in answered:
        while by_answer[next_answer][0].was_answered_before(call.sent_at):
            highest = max(highest, by_answer[next_answer][2].number)
            next_answer += 1
        if given.setdefault(result.number, call) is not call:
            violations.append(Violation(Rule.ORDER, name, f"given twice: {given[result.number]} and {call}"))
        elif result.number <= highest:
            violations.append(Violation(Rule.ORDER, name, f"not above {highest}, given before: {call}"))
    return violations
