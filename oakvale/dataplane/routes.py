"""What a gateway decides by: an immutable picture of the news, made anew whenever they change.

No I/O and no clock. The configuration was checked before it came into force; here it is only laid out so that a
request is matched by its host and longest prefix, and its key names a tenant.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import orjson

from oakvale.base.limits import Limits
from oakvale.config.durations import parse_duration
from oakvale.dissemination.table import Table
from oakvale.dissemination.tree import Member, Members
from oakvale.ratelimit.quotas import Quota


@dataclass(slots=True, frozen=True)
class Route:
    name: str
    host: str
    prefix: str
    safe: bool
    deadline: int  # microseconds
    aim: int
    prio: int
    tries: int
    public: bool
    parts: tuple[tuple[str, float], ...]  # service and its weight

    def service(self, draw: float) -> str:
        """By weight; `draw` lies in [0, 1)."""
        left = draw * sum(weight for _, weight in self.parts)
        for service, weight in self.parts:
            left -= weight
            if left < 0:
                return service
        return next(service for service, weight in reversed(self.parts) if weight > 0)


@dataclass(slots=True, frozen=True)
class Tenant:
    name: str
    quota: Quota
    prio: int | None


@dataclass(slots=True, frozen=True)
class Backend:
    id: str
    service: str
    address: str
    zone: str
    slots: float
    ready: bool
    warm: int


@dataclass(slots=True, frozen=True)
class ClientBounds:
    """What the operator lets a client send, and how long it may take or stay idle; None or 0: as the process has it."""

    head: int | None = None  # bytes
    body: int | None = None
    head_time: int | None = None  # microseconds
    idle: int | None = None

    def within(self, own: Limits) -> Limits:
        """A process's limits with these in force. They bind more tightly than its own, or not at all: those guard its
        memory. Only the times may be longer."""
        return replace(
            own,
            header=min(own.header, self.head or own.header),
            body=min(own.body, self.body or own.body),
            client_head=self.head_time or own.client_head,
            client_idle=self.idle or own.client_idle,
        )


@dataclass(slots=True, frozen=True)
class Picture:
    gen: int = -1
    clients: ClientBounds = ClientBounds()
    routes: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)  # host -> longest prefix first
    keys: Mapping[str, Tenant] | None = None  # None: no key is asked for
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    backends: Mapping[str, Backend] = field(default_factory=dict)
    members: Members = field(default_factory=Members)
    avoid: Mapping[str, frozenset[str]] = field(default_factory=dict)  # tenant -> backends that it was moved off

    def match(self, host: str, path: str) -> Route | None:
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def rows(data: Any) -> list[dict[str, Any]]:
    if not data:
        return []
    return [
        {name: value for name, value in zip(data["cols"], row, strict=False) if value is not None}
        for row in data["rows"]
    ]


def configured(text: bytes) -> dict[str, Any]:
    """The parts of a picture that the configuration gives."""
    data = orjson.loads(text)
    by_host: dict[str, list[Route]] = {}
    for row in rows(data.get("routes")):
        split = row.get("split")
        parts = tuple((str(p["svc"]), float(p["wt"])) for p in split) if split else ((str(row["svc"]), 1.0),)
        deadline = parse_duration(row["deadline"])
        aim = parse_duration(row["target_time"]) if "target_time" in row else deadline
        host = str(row["vhost"]).lower()
        by_host.setdefault(host, []).append(
            Route(
                str(row["name"]),
                host,
                str(row["prefix"]),
                row["type"] == "safe",
                deadline,
                aim,
                int(row.get("prio") or 0),
                int(row["tries"]),
                bool(row.get("public")),
                parts,
            )
        )
    tenants: dict[str, Tenant] = {}
    keys: dict[str, Tenant] = {}
    for row in rows(data.get("tenants")):
        tenant = Tenant(
            str(row["name"]), Quota(float(row.get("rate-per-s") or 0), float(row.get("burst") or 0)), row.get("prio")
        )
        tenants[tenant.name] = tenant
        keys |= {str(key): tenant for key in row.get("apikeys") or []}
    given = data.get("limits") or {}
    return {
        "gen": int(data["gen"]),
        "clients": ClientBounds(
            given.get("hdr-bytes"),
            given.get("body-bytes"),
            *(parse_duration(given[name]) if given.get(name) else None for name in ("hdr", "idle")),
        ),
        "routes": {host: tuple(sorted(found, key=lambda r: -len(r.prefix))) for host, found in by_host.items()},
        "tenants": tenants,
        "keys": keys if data.get("tenants") is not None else None,
    }


def backends(table: Table, keys: Iterable[str], was: Mapping[str, Backend]) -> dict[str, Backend]:
    """With only the changed keys read anew: a service whose backends are exchanged brings as many news as it has, and
    each would read all of them."""
    found = dict(was)
    for key in keys:
        if key.startswith("backend/"):
            name, v = key.removeprefix("backend/"), table.get(key)
            found.pop(name, None)
            if v is not None:
                found[name] = Backend(
                    name,
                    str(v["svc"]),
                    str(v["addr"]),
                    str(v["az"]),
                    float(v["slots"]),
                    v["state"] == "ready",
                    int(v.get("warm") or 0),
                )
    return found


def members(table: Table, keys: Iterable[str], known: Members) -> Members:
    """The list that follows, by the news of some keys."""
    changes: dict[str, Member | None] = {}
    for key in keys:
        if key.startswith("gate/"):
            node, value = key.removeprefix("gate/"), table.get(key)
            changes[node] = value and Member(node, str(value["addr"]), str(value["az"]), str(value["life"]))
    return known.with_changes(changes)
