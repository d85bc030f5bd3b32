"""What an experiment found, from its outcomes: for each day and variant the medians and what changed, paired by seed;
and over all days, where a seed counts with the mean of its days."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from statistics import fmean

from oakvale.lab.experiments.outcome import Outcome, tally
from oakvale.lab.experiments.spec import Experiment
from oakvale.lab.experiments.statistics import Compared, Median, compared, median

ALL = "all days"
# name -> what an outcome shows, and whether more is better
MEASURES: dict[str, tuple[Callable[[Outcome], float], bool]] = {
    "score": (lambda one: one.score, True),
    "worth": (lambda one: one.worth, True),
    "served": (lambda one: one.served_share, True),
    "p50 ms": (lambda one: one.p50_ms, False),
    "p99 ms": (lambda one: one.p99_ms, False),
    "arrivals": (lambda one: float(one.arrivals), False),
}


@dataclass(frozen=True)
class Row:
    day: str
    variant: str
    runs: int
    failed: int  # runs that came to no end
    broken: Mapping[str, int]  # rule -> runs
    medians: Mapping[str, Median]
    changes: Mapping[str, Compared]  # none for the base


def rows(experiment: Experiment, outcomes: list[Outcome]) -> list[Row]:
    """Only seeds that came to an end with both variants are compared; a base without runs has no rows."""
    found: list[Row] = []
    by: dict[tuple[str, str], dict[int, Outcome]] = {}
    for one in outcomes:
        by.setdefault((one.day, one.variant), {})[one.seed] = one
    names = list(dict.fromkeys(one.day for one in sorted(outcomes, key=lambda one: one.day)))
    base = experiment.variants[0].name
    for day in names + ([ALL] if len(names) > 1 else []):
        for spec in experiment.variants:
            mine = [
                one
                for (its, variant), seeds in by.items()
                if variant == spec.name and day in (its, ALL)
                for one in seeds.values()
            ]
            ended = [one for one in mine if not one.failed]
            if not mine:
                continue
            over = [name for name in names if day in (name, ALL) and (name, spec.name) in by]
            medians, changes = {}, {}
            for name, (shown, more) in MEASURES.items():
                own, other = _by_seed(by, over, spec.name, shown), _by_seed(by, over, base, shown)
                if own:
                    medians[name] = median(list(own.values()), experiment.confidence)
                if spec.name != base and (both := sorted(own.keys() & other.keys())):
                    sign = 1 if more else -1
                    least = experiment.least if name in ("score", "worth", "served") else 0.0
                    change = compared(
                        [sign * other[seed] for seed in both],
                        [sign * own[seed] for seed in both],
                        experiment.confidence,
                        least,
                    )
                    if sign < 0:  # told as it was measured; the word stays
                        its = change.change
                        change = Compared(change.pairs, Median(0 - its.value, 0 - its.high, 0 - its.low), change.word)
                    changes[name] = change
            found.append(Row(day, spec.name, len(mine), len(mine) - len(ended), tally(mine), medians, changes))
    return found


def _by_seed(
    by: Mapping[tuple[str, str], Mapping[int, Outcome]],
    days: list[str],
    variant: str,
    shown: Callable[[Outcome], float],
) -> dict[int, float]:
    """Seed -> the mean over the days, of seeds that ended on each."""
    runs = [by.get((day, variant), {}) for day in days]
    seeds = set.intersection(*(set(one) for one in runs)) if runs else set()
    return {
        seed: fmean(shown(one[seed]) for one in runs)
        for seed in sorted(seeds)
        if not any(one[seed].failed for one in runs)
    }
