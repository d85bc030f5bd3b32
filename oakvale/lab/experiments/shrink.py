"""The smallest day that still breaks: pure functions over a predicate, the same result for the same day and predicate.

`smallest` first takes away many troubles at a time (delta debugging), then goes on with `steps`, one reduction after
the other, until none of them still breaks. Every candidate is checked as a day from a file is.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from typing import Any, TypeVar

from oakvale.lab import days
from oakvale.lab.days import Day

T = TypeVar("T")


class Enough(Exception):
    """The predicate may not be asked any more."""


def fewest(items: Sequence[T], breaks: Callable[[tuple[T, ...]], bool]) -> tuple[T, ...]:
    """A part of `items`, in their order, that still breaks, and no longer does without any one of them.

    Delta debugging: parts are tried, then what is left without a part, then finer parts. `items` breaks."""
    left, parts = tuple(items), 2
    if left and breaks(()):
        return ()
    while len(left) > 1:
        parts = min(parts, len(left))
        bounds = [len(left) * n // parts for n in range(parts + 1)]
        pieces = [left[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
        if (one := next((piece for piece in pieces if len(piece) < len(left) and breaks(piece)), None)) is not None:
            left, parts = one, 2
            continue
        others = (left[:a] + left[b:] for a, b in zip(bounds, bounds[1:], strict=False))
        if parts > 2 and (rest := next((rest for rest in others if breaks(rest)), None)) is not None:
            left, parts = rest, max(parts - 1, 2)
            continue
        if parts == len(left):
            return left
        parts *= 2
    return left


def smallest(
    day: Day, breaks: Callable[[Day], bool], most: int = 1_000, told: Callable[[Day], None] = lambda day: None
) -> Day:
    """The day reduced as far as it still breaks, `day` itself being known to; asks the predicate at most `most` times
    and then ends with what it has. `told` hears of each smaller day."""
    asked: dict[str, bool] = {}

    def holds(candidate: Day | None) -> bool:
        if candidate is None:
            return False
        key = candidate.model_dump_json()
        if key not in asked:
            if len(asked) >= most:
                raise Enough
            asked[key] = breaks(candidate)
        return asked[key]

    best = [day]

    def better(candidate: Day) -> None:
        best[0] = candidate
        told(candidate)

    try:
        struck = [(part, trouble) for part in ("troubles", "plan") for trouble in getattr(day, part)]

        def with_only(some: tuple[tuple[str, Any], ...]) -> bool:
            candidate = day.model_copy(
                update={
                    part: tuple(trouble for where, trouble in some if where == part) for part in ("troubles", "plan")
                }
            )
            if not holds(candidate):
                return False
            if len(some) < len(best[0].troubles) + len(best[0].plan):
                better(candidate)
            return True

        fewest(struck, with_only)
        while (found := next((step for step in steps(best[0]) if holds(step)), None)) is not None:
            better(found)
    except Enough:
        pass
    return best[0]


def steps(day: Day) -> Iterator[Day]:
    """Every single reduction of a day that is a day, the coarsest first."""
    data = day.model_dump(mode="python")
    seen = {day.model_dump_json()}
    for change in (_without_rows, _shorter, _fewer, _plainer):
        for candidate in change(data):
            try:
                found = days.decode(candidate)
            except days.BadDay:
                continue
            if (key := found.model_dump_json()) not in seen:
                seen.add(key)
                yield found


def _without_rows(data: dict[str, Any]) -> Iterator[dict[str, Any]]:
    for part in ("services", "zones", "routes", "tenants", "troubles", "plan"):
        for at, row in enumerate(data[part]):
            less = data | {part: data[part][:at] + data[part][at + 1 :]}
            if part == "services":
                less = _without_service(less, row["name"])
            elif part == "zones":
                less |= {
                    which: tuple(one for one in data[which] if one["zone"] != row) for which in ("troubles", "plan")
                }
            elif part == "tenants" and not less["tenants"]:
                less["routes"] = tuple(route | {"public": True} for route in data["routes"])
            yield less


def _without_service(data: dict[str, Any], name: str) -> dict[str, Any]:
    routes = []
    for route in data["routes"]:
        split = {service: weight for service, weight in route["split"].items() if service != name}
        if route["service"] != name and (split or not route["split"]):
            routes.append(route | {"split": split})
    return (
        data
        | {"routes": tuple(routes)}
        | {part: tuple(one for one in data[part] if one["on"] != name) for part in ("troubles", "plan")}
    )


def _shorter(data: dict[str, Any]) -> Iterator[dict[str, Any]]:
    last = max((one["at"] for part in ("troubles", "plan") for one in data[part]), default=0.0)
    whole = data["seconds"]
    for seconds in (last + 1, (last + whole) / 2, whole - 4, whole - 1):
        if 1 <= (seconds := round(seconds, 1)) < whole:
            yield data | {"seconds": seconds}
    for part in ("troubles", "plan"):
        for at, one in enumerate(data[part]):
            for to in {round(one["for_s"] / 2, 1), round(one["for_s"] - 0.5, 1)}:
                if 0 < to < one["for_s"]:
                    yield _with(data, part, at, for_s=to)


def _fewer(data: dict[str, Any]) -> Iterator[dict[str, Any]]:
    if len(data["zones"]) > 1:  # as many edges, all in one zone
        only = data["zones"][0]
        yield (
            data
            | {"zones": (only,), "edges_per_zone": len(data["zones"]) * data["edges_per_zone"]}
            | {
                part: tuple(one | {"zone": only if one["zone"] else ""} for one in data[part])
                for part in ("troubles", "plan")
            }
        )
    for name in ("edges_per_zone", "cores"):
        for to in _towards(data[name], 1):
            yield data | {name: to, "tolerance": min(data["tolerance"], (to - 1) // 2 if name == "cores" else 99)}
    for part, name, least in (
        ("services", "backends", 1),
        ("services", "slots", 1),
        ("tenants", "keys", 1),
        ("routes", "tries", 1),
        ("troubles", "count", 1),
        ("plan", "count", 1),
    ):
        for at, one in enumerate(data[part]):
            for to in _towards(one[name], least) if one[name] is not None else ():
                yield _with(data, part, at, **{name: to})


def _towards(value: int, least: int) -> list[int]:
    return list(dict.fromkeys(to for to in (least, (value + least) // 2, value - 1) if least <= to < value))


def _plainer(data: dict[str, Any]) -> Iterator[dict[str, Any]]:
    for at, route in enumerate(data["routes"]):
        if route["per_s"] >= 2:
            yield _with(data, "routes", at, per_s=round(route["per_s"] / 2, 2))
        if len(route["split"]) > 1:
            yield _with(data, "routes", at, split={}, service=max(route["split"], key=lambda it: route["split"][it]))
        if route["prio"]:
            yield _with(data, "routes", at, prio=0)
    for at, service in enumerate(data["services"]):
        if service["reset_when_full"]:
            yield _with(data, "services", at, reset_when_full=False)
        if service["cold_factor"] > 1:
            yield _with(data, "services", at, cold_factor=1.0)
    for at, tenant in enumerate(data["tenants"]):
        if tenant["rate_per_s"]:
            yield _with(data, "tenants", at, rate_per_s=0.0, burst=0.0)


def _with(data: dict[str, Any], part: str, at: int, **fields: Any) -> dict[str, Any]:
    rows = list(data[part])
    rows[at] = rows[at] | fields
    return data | {part: tuple(rows)}
