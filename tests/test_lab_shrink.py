"""Shrinking against a slow plain model: all parts of a small whole, tried one by one."""

from __future__ import annotations

import random
from itertools import combinations
from pathlib import Path

import pytest

from oakvale.lab import days
from oakvale.lab.days import Day
from oakvale.lab.experiments import shrink

SQUALL = days.load(Path(__file__).parent.parent / "lab" / "days" / "squall.toml")


def parts(items: tuple[int, ...]) -> list[tuple[int, ...]]:
    """The slow plain model's: every part, the smallest first."""
    return [some for size in range(len(items) + 1) for some in combinations(items, size)]


@pytest.mark.parametrize("seed", range(60))
def test_what_is_left_breaks_and_nothing_of_it_can_go(seed: int) -> None:
    """Also where a part breaks that a smaller one does not, or two causes stand side by side."""
    draw = random.Random(seed)
    items = tuple(range(draw.randint(1, 9)))
    causes = [set(draw.sample(items, draw.randint(1, min(4, len(items))))) for _ in range(draw.randint(1, 3))]
    hidden = {some: draw.random() < 0.15 for some in parts(items)} if seed % 2 else {}

    def breaks(some: tuple[int, ...]) -> bool:
        return any(cause <= set(some) for cause in causes) and not (hidden.get(some) and some != items)

    left = shrink.fewest(items, breaks)
    assert breaks(left) and not any(breaks(left[:at] + left[at + 1 :]) for at in range(len(left)))
    if not hidden:  # nothing hides it: of the causes that the model finds, it is one
        assert left in [
            some
            for some in parts(items)
            if breaks(some) and not any(breaks(some[:at] + some[at + 1 :]) for at in range(len(some)))
        ]
    assert left == shrink.fewest(items, breaks)


def test_what_breaks_without_any_is_left_without_any() -> None:
    assert shrink.fewest((1, 2, 3), lambda some: True) == ()


def broken(day: Day) -> bool:
    """A stand-in for a played day: a kill after a change that an edge of three sees, on a service of two backends."""
    kinds = [trouble.kind for trouble in day.troubles]
    return (
        "after_ack_kill" in kinds
        and any(one.kind == "config_change" for one in day.plan)
        and len(day.edges()) >= 3
        and any(one.name == "berths" and one.backends >= 2 for one in day.services)
        and any(not route.safe and route.per_s > 3 for route in day.routes)
        and day.seconds >= 18
    )


def test_a_day_shrinks_to_what_breaks_it() -> None:
    small = shrink.smallest(SQUALL, broken)
    assert broken(small) and not any(broken(step) for step in shrink.steps(small))
    assert [one.kind for one in small.troubles] == ["after_ack_kill"]
    assert [one.kind for one in small.plan] == ["config_change"]
    assert [(one.name, one.backends) for one in small.services] == [("berths", 2)]
    assert [one.name for one in small.routes] == ["berth-book"] and not small.tenants and small.cores == 1
    assert len(small.edges()) == 3 and small.seconds < 19
    assert small == shrink.smallest(SQUALL, broken)


def test_every_step_is_a_day_and_smaller_than_what_it_came_from() -> None:
    """A step that leads back would let shrinking go round for ever."""

    def size(day: Day) -> float:
        rows = sum(len(getattr(day, part)) for part in ("zones", "services", "routes", "tenants", "troubles", "plan"))
        numbers = (
            sum(one.backends + one.slots + one.cold_factor + one.reset_when_full for one in day.services)
            + sum(one.per_s + one.tries + one.prio + len(one.split) for one in day.routes)
            + sum(one.keys + one.rate_per_s for one in day.tenants)
            + sum(one.for_s + (one.count or 0) for one in day.troubles + day.plan)
        )
        return 1e6 * rows + numbers + day.seconds + len(day.edges()) + day.cores

    found = list(shrink.steps(SQUALL))
    assert len(found) > 40 and all(size(step) < size(SQUALL) for step in found)
    for step in found:
        days.decode(step.model_dump(mode="python"))


def test_a_bounded_search_keeps_what_it_has() -> None:
    asked: list[Day] = []

    def counted(day: Day) -> bool:
        asked.append(day)
        return broken(day)

    small = shrink.smallest(SQUALL, counted, most=7)
    assert len(asked) == 7 and broken(small) and len(small.troubles) < len(SQUALL.troubles)
