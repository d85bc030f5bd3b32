"""The hunt: drawn days until a rule breaks or a run comes to no end; the day is kept for a test to play."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from pathlib import Path

from oakvale.lab import days
from oakvale.lab.days import Day
from oakvale.lab.experiments import draw, runs, shrink
from oakvale.lab.experiments.outcome import Outcome
from oakvale.lab.experiments.player import Player
from oakvale.lab.experiments.variants import Spec

NO_END = "NO END"


def hunted(
    first: int, many: int, jobs: int, player: Player, spec: Spec, like: Day | None = None, kinds: tuple[str, ...] = ()
) -> Iterator[tuple[Day, Outcome]]:
    """Days of the seeds from `first` on with what came of each, as they end. Batches, so that an early find ends it."""
    batch = max(1, jobs) * 4
    for begin in range(first, first + many, batch):
        drawn = {seed: draw.drawn(seed, like, kinds) for seed in range(begin, min(begin + batch, first + many))}
        for one in runs.played([(day, seed, spec) for seed, day in drawn.items()], jobs, player):
            yield drawn[one.seed], replace(one, series=None)


def faults(one: Outcome) -> set[str]:
    return set(one.broken) | ({NO_END} if one.failed else set())


@dataclass
class Cut:
    """A day cut down, or as far as that came; `first`: what broke in it."""

    day: Day
    first: str = ""
    asked: int = 0
    interrupted: bool = False


def cut(day: Day, rules: set[str], most: int, player: Player, spec: Spec, told: Callable[[int, Day], None]) -> Cut:
    """The smallest day that still breaks one of `rules`; `told` hears how many plays there were, and the smallest day
    so far. An interrupt ends it with that."""
    found = Cut(day.model_copy(update={"name": f"{day.name[:34]}-small"}))
    seen: dict[str, str] = {}

    def breaks(candidate: Day) -> bool:
        found.asked += 1
        one = player(candidate, candidate.seed, spec)
        told(found.asked, found.day)
        if not faults(one) & rules:
            return False
        seen[candidate.model_dump_json()] = one.failed or one.first
        return True

    def smaller(candidate: Day) -> None:
        found.day, found.first = candidate, seen[candidate.model_dump_json()]

    try:
        shrink.smallest(found.day, breaks, most, smaller)
    except KeyboardInterrupt:
        found.interrupted = True
    return found


def keep(day: Day, rules: set[str], first: str, variant: Spec, folder: Path, suffix: str = "") -> Path:
    """Writes the day where a test finds it; the first line says what it broke."""
    said = " ".join(sorted(rules)).replace(" ", "-").lower()
    path = folder / f"{said}-{day.seed}{suffix}.toml"
    folder.mkdir(parents=True, exist_ok=True)
    head = [
        f"# broke {', '.join(sorted(rules))}" + (f" with variant {variant.name}" if variant.name != "base" else ""),
        f"# {' '.join(first.split())}"[:400],
    ]
    path.write_text("\n".join(head) + "\n" + days.dump(day))
    return path
