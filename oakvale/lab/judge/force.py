"""Which configurations may be in force when, and what each allows, from what the operators sent.

A text is read here by the pages alone, not by the system's own reader.
"""

from __future__ import annotations

import json
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from oakvale.lab.judge.words import Bounds
from oakvale.lab.record import Ordered, Record

UNITS = {"ms": 1_000, "s": 1_000_000}


@dataclass(frozen=True, slots=True)
class Route:
    name: str
    safe: bool
    deadline: int
    public: bool
    services: frozenset[str]


@dataclass(frozen=True, slots=True)
class Limit:
    rate: float  # a second; 0: none
    burst: float

    def within(self, window: int) -> float:
        return self.rate * window / 1e6 + self.burst if self.rate else float("inf")


class Table:
    """One configuration's text."""

    def __init__(self, text: bytes) -> None:
        """Raises ValueError, KeyError, TypeError, AttributeError where it is not one."""
        data = json.loads(text)
        self.routes: dict[tuple[str, str], Route] = {}
        for row in _rows(data["routes"]):
            services = (
                {str(part["svc"]) for part in row["split"] if part["wt"] > 0} if row.get("split") else {str(row["svc"])}
            )
            self.routes[row["vhost"].lower(), row["prefix"]] = Route(
                row["name"],
                row["type"] == "safe",
                _micros(row["deadline"]),
                bool(row.get("public")),
                frozenset(services),
            )
        tenants = _rows(data["tenants"]) if data.get("tenants") is not None else None
        self.guarded = tenants is not None
        self.holders = {key: t["name"] for t in tenants or () for key in t["apikeys"]}
        self.limits = {
            t["name"]: Limit(float(t.get("rate-per-s") or 0), float(t.get("burst") or 0)) for t in tenants or ()
        }
        self.names = {route.name for route in self.routes.values()}
        self.route: Callable[[str, str], Route | None] = lru_cache(100_000)(self._route)

    def _route(self, host: str, path: str) -> Route | None:
        """Of the host's routes, the one whose prefix begins the path and is longest."""
        host, path = host.lower(), path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            found = self.routes.get((host, path[: end + 1]))
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None

    def knows(self, route: Route, key: str | None) -> bool:
        return not self.guarded or route.public or key in self.holders

    def runs(self, host: str, path: str, key: str | None, service: str) -> bool:
        route = self.route(host, path)
        return route is not None and service in route.services and self.knows(route, key)

    def allows(self, host: str, path: str, key: str | None) -> bool:
        route = self.route(host, path)
        return route is not None and self.knows(route, key)

    def refuses(self, host: str, path: str, key: str | None, status: int) -> bool:
        """Whether a 401, 403 or 404 is what this configuration wants."""
        route = self.route(host, path)
        if status == 404:
            return route is None
        return route is not None and not self.knows(route, key)


@dataclass(frozen=True, slots=True)
class Version:
    gen: int
    at: int
    acked_at: int | None
    proper: bool  # valid and not refused
    table: Table | None  # None: it cannot be read
    order: Ordered


class Force:
    """All versions, by the time that they were first sent."""

    def __init__(self, record: Record, bounds: Bounds) -> None:
        self._bounds = bounds
        tables: dict[str, Table | None] = {}
        for name, text in record.texts.items():
            try:
                tables[name] = Table(text)
            except (ValueError, KeyError, TypeError, AttributeError):
                tables[name] = None
        self.all = sorted(
            (
                Version(o.gen, o.at, o.acked_at, o.valid and not 400 <= o.status < 500, tables.get(o.content_digest), o)
                for o in record.ordered
            ),
            key=lambda v: v.at,
        )
        self.proper = [v for v in self.all if v.proper and v.table is not None]
        self._floors: dict[int, tuple[list[int], list[int]]] = {}

    def floor(self, at: int, lag: int) -> int:
        """The newest version that was acknowledged `lag` before a moment; -1 for none."""
        if lag not in self._floors:
            times: list[int] = []
            gens: list[int] = []
            acked = sorted((v.acked_at, v.gen) for v in self.proper if v.acked_at is not None)
            for when, gen in acked:
                times.append(when + lag)
                gens.append(max(gen, gens[-1] if gens else -1))
            self._floors[lag] = (times, gens)
        times, gens = self._floors[lag]
        index = bisect_right(times, at - 1) - 1
        return gens[index] if index >= 0 else -1

    def acked(self, gen: int) -> int | None:
        """When it was first acknowledged."""
        return min((v.acked_at for v in self.proper if v.gen == gen and v.acked_at is not None), default=None)

    def candidates(self, sent: int, until: int) -> list[Version]:
        """What may be in force, at a machine in touch, for a request sent at one moment and handled by another."""
        floor = self.floor(sent, self._bounds.apply)
        return [v for v in self.proper if v.gen >= floor and v.at <= until]

    def everywhere(self, sent: int, until: int, call: Callable[[Table], bool]) -> bool:
        """Whether all that may be in force agree; no if there is none."""
        found = self.candidates(sent, until)
        return bool(found) and all(v.table is not None and call(v.table) for v in found)


def _rows(table: Any) -> list[dict[str, Any]]:
    return [
        {name: value for name, value in zip(table["cols"], row, strict=True) if value is not None}
        for row in table["rows"]
    ]


def _micros(text: str) -> int:
    unit = "ms" if text.endswith("ms") else "s"
    return round(float(text.removesuffix(unit)) * UNITS[unit])
