"""The immutable snapshot of configuration and state by which a gateway routes requests.

No I/O and no clock. The control plane has validated the configuration; here it is only indexed, so that a request is
matched by its host and longest path prefix, and its key identifies a tenant.
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
    """A configured route: requests for a host whose path starts with a prefix."""

    name: str
    host: str
    prefix: str
    safe: bool
    deadline_us: int
    target_us: int
    priority: int
    max_attempts: int
    public: bool
    weighted_services: tuple[tuple[str, float], ...]

    def choose_service(self, draw: float) -> str:
        """Selects a service by weight; `draw` is in [0, 1)."""
        remaining = draw * sum(weight for _, weight in self.weighted_services)
        for service, weight in self.weighted_services:
            remaining -= weight
            if remaining < 0:
                return service
        return next(service for service, weight in reversed(self.weighted_services) if weight > 0)


@dataclass(slots=True, frozen=True)
class Tenant:
    """A configured tenant."""

    name: str
    quota: Quota
    priority: int | None  # None: that of the route


@dataclass(slots=True, frozen=True)
class Backend:
    """A backend as registered with the control plane."""

    id: str
    service: str
    address: str
    zone: str
    slots: float
    ready: bool
    warmup_us: int


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """The operator's limits on what clients send, and how long they take; None or 0 leaves the process's limit."""

    max_head_bytes: int | None = None
    max_body_bytes: int | None = None
    max_head_us: int | None = None
    max_idle_us: int | None = None

    def within(self, process_limits: Limits) -> Limits:
        """The process's limits with these applied. Sizes can only be lowered, as the process's own protect its memory;
        times may also be raised."""
        return replace(
            process_limits,
            header=min(process_limits.header, self.max_head_bytes or process_limits.header),
            body=min(process_limits.body, self.max_body_bytes or process_limits.body),
            client_head=self.max_head_us or process_limits.client_head,
            client_idle=self.max_idle_us or process_limits.client_idle,
        )


@dataclass(slots=True, frozen=True)
class RoutingSnapshot:
    """Everything that routing a request depends on; replaced as a whole on each change."""

    generation: int = -1  # of the configuration; -1 before the first
    clients: ClientLimits = ClientLimits()
    routes: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)  # host -> longest prefix first
    keys: Mapping[str, Tenant] | None = None  # None: keys are not required
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    backends: Mapping[str, Backend] = field(default_factory=dict)
    members: Members = field(default_factory=Members)
    avoid: Mapping[str, frozenset[str]] = field(default_factory=dict)  # tenant -> backends that it was moved off

    def match(self, host: str, path: str) -> Route | None:
        """The route with the longest matching prefix."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def table_rows(data: Any) -> list[dict[str, Any]]:
    """The rows of a configuration table as dictionaries, without null values."""
    if not data:
        return []
    return [
        {name: value for name, value in zip(data["cols"], row, strict=False) if value is not None}
        for row in data["rows"]
    ]


def parse_configuration(text: bytes) -> dict[str, Any]:
    """The fields of a RoutingSnapshot that come from the configuration."""
    data = orjson.loads(text)
    by_host: dict[str, list[Route]] = {}
    for row in table_rows(data.get("routes")):
        split = row.get("split")
        weighted_services = (
            tuple((str(part["svc"]), float(part["wt"])) for part in split) if split else ((str(row["svc"]), 1.0),)
        )
        deadline_us = parse_duration(row["deadline"])
        target_us = parse_duration(row["target_time"]) if "target_time" in row else deadline_us
        host = str(row["vhost"]).lower()
        by_host.setdefault(host, []).append(
            Route(
                str(row["name"]),
                host,
                str(row["prefix"]),
                row["type"] == "safe",
                deadline_us,
                target_us,
                int(row.get("prio") or 0),
                int(row["tries"]),
                bool(row.get("public")),
                weighted_services,
            )
        )
    tenants: dict[str, Tenant] = {}
    keys: dict[str, Tenant] = {}
    for row in table_rows(data.get("tenants")):
        tenant = Tenant(
            str(row["name"]), Quota(float(row.get("rate-per-s") or 0), float(row.get("burst") or 0)), row.get("prio")
        )
        tenants[tenant.name] = tenant
        keys |= {str(key): tenant for key in row.get("apikeys") or []}
    limits = data.get("limits") or {}
    return {
        "generation": int(data["gen"]),
        "clients": ClientLimits(
            limits.get("hdr-bytes"),
            limits.get("body-bytes"),
            *(parse_duration(limits[name]) if limits.get(name) else None for name in ("hdr", "idle")),
        ),
        "routes": {
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix))) for host, routes in by_host.items()
        },
        "tenants": tenants,
        "keys": keys if data.get("tenants") is not None else None,
    }


def update_backends(table: Table, keys: Iterable[str], previous: Mapping[str, Backend]) -> dict[str, Backend]:
    """The backends after a state update that changed `keys`.

    Only these are parsed again: when all backends of a service are replaced there are as many updates as backends."""
    updated = dict(previous)
    for key in keys:
        if key.startswith("backend/"):
            name, value = key.removeprefix("backend/"), table.get(key)
            updated.pop(name, None)
            if value is not None:
                updated[name] = Backend(
                    name,
                    str(value["svc"]),
                    str(value["addr"]),
                    str(value["az"]),
                    float(value["slots"]),
                    value["state"] == "ready",
                    int(value.get("warm") or 0),
                )
    return updated


def update_members(table: Table, keys: Iterable[str], previous: Members) -> Members:
    """The gateways after a state update that changed `keys`."""
    changes: dict[str, Member | None] = {}
    for key in keys:
        if key.startswith("gate/"):
            node, value = key.removeprefix("gate/"), table.get(key)
            changes[node] = value and Member(node, str(value["addr"]), str(value["az"]), str(value["life"]))
    return previous.with_changes(changes)
