"""`judge(record) -> Verdict`: every rule, and the worth."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from oakvale.lab.judge import abandoned, answers, configs, leaving, orders, overdue, whole, windows
from oakvale.lab.judge.cases import Matter
from oakvale.lab.judge.words import RULES, Broken, Verdict
from oakvale.lab.judge.worth import worth
from oakvale.lab.record import Record

JUDGES: tuple[Callable[[Matter], Iterator[Broken]], ...] = (
    answers.mixed,
    answers.unasked,
    answers.twice,
    answers.refused,
    configs.denied,
    configs.route,
    leaving.drain,
    leaving.lost,
    leaving.ready_after_sigterm,
    abandoned.gone,
    configs.config,
    overdue.overdue,
    orders.orders,
    windows.budget,
    windows.quota,
    whole.recover,
    whole.acks,
    whole.duty,
    whole.fault,
)


def judge(record: Record) -> Verdict:
    matter = Matter.of(record)
    rules: dict[str, list[Broken]] = {rule: [] for rule in RULES}
    earned = worth(matter)
    for each in JUDGES:
        for found in each(matter):
            rules[found.rule].append(found)
    rules["STARVED"] += whole.starved(matter, earned)
    for broken in rules.values():
        broken.sort(key=lambda found: found.at)
    return Verdict(rules, earned)
