"""When requests are due: moments in microseconds from the start, whatever the answers do."""

from __future__ import annotations

import random
from collections.abc import Iterator

KINDS = ("constant", "poisson")


def moments(kind: str, rate: float, seconds: float, most: int, seed: int = 0) -> Iterator[int]:
    """At `rate` a second for `seconds`, at most `most` of them; `poisson` draws its gaps, `constant` has one gap.

    The n-th constant moment is reckoned from n, so that rounding doesn't add up."""
    if kind not in KINDS:
        raise ValueError(f"neither {' nor '.join(KINDS)}: {kind!r}")
    draw = random.Random(seed)
    at, end = 0.0, seconds * 1e6
    for n in range(most):
        at = n * 1e6 / rate if kind == "constant" else at + draw.expovariate(rate) * 1e6
        if at >= end:
            return
        yield int(at)
