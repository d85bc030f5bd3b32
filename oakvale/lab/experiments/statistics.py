"""How sure a difference is: paired by seed, medians with bootstrap intervals, one word."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Literal

import numpy as np
from scipy import stats

Word = Literal["better", "worse", "noise"]
FEWEST = 6  # pairs: of fewer that all point one way, more than one in twenty does so by luck (2 x 0.5 ** 5)
DRAWS = 9_999


@dataclass(slots=True, frozen=True)
class Median:
    value: float
    low: float
    high: float


@dataclass(slots=True, frozen=True)
class Compared:
    pairs: int
    change: Median  # of the variant less the base, seed by seed
    word: Word


def median(values: Sequence[float], confidence: float = 0.95, seed: int = 0) -> Median:
    """The median, and the interval that it has when the seeds are drawn anew (percentile bootstrap)."""
    found = float(np.median(values))
    if len(values) < 2 or min(values) == max(values):
        return Median(found, found, found)
    drawn = stats.bootstrap(
        (np.asarray(values, float),),
        np.median,
        confidence_level=confidence,
        n_resamples=DRAWS,
        method="percentile",
        rng=np.random.default_rng(seed),
    )
    return Median(found, float(drawn.confidence_interval.low), float(drawn.confidence_interval.high))


def compared(
    base: Sequence[float], other: Sequence[float], confidence: float = 0.95, least: float = 0.0, seed: int = 0
) -> Compared:
    """`other` against `base`, of the same seeds in the same order, where more is better. It is better or worse if the
    whole interval of the change is on one side of nothing, the change is `least` at least, and the pairs suffice."""
    change = median([b - a for a, b in zip(base, other, strict=True)], confidence, seed)
    word: Word = "noise"
    if len(base) >= FEWEST and abs(change.value) >= least:
        word = "better" if change.low > 0 else "worse" if change.high < 0 else "noise"
    return Compared(len(base), change, word)
