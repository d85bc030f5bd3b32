"""Reads and checks the settings file of a process (`OAKVALE_SETTINGS`, TOML).

Unknown fields are ignored. A missing required field or a malformed one raises `BadFile`, which names it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from oakvale.base.address import Address, parse_address
from oakvale.config.toml_table import Table, read_toml

DEFAULT_CONTRACTS_PATH = (
    "deploy/contracts.toml"  # relative to the working directory, which is the root of the repository
)
DEFAULT_PATH = "/etc/oakvale/settings.toml"
MILLISECOND_US = 1_000


@dataclass(slots=True, frozen=True)
class Bounds:
    """Bounds from the `[terms.bounds]` table, times in microseconds; the defaults are the examples of PROTOCOL."""

    contact: int = 3_000 * MILLISECOND_US
    ack: int = 5_000 * MILLISECOND_US
    sync_time: int = 4_000 * MILLISECOND_US
    drain: int = 2_500 * MILLISECOND_US
    grace: int = 6_000 * MILLISECOND_US
    apply: int = 2_500 * MILLISECOND_US
    reuse: int = 2_000 * MILLISECOND_US
    recover: int = 15_000 * MILLISECOND_US
    retry_win: int = 10_000 * MILLISECOND_US
    quota_win: int = 5_000 * MILLISECOND_US
    retry_ratio: float = 0.2
    retry_slack: float = 0.0
    quota_excess: float = 0.0
    quota_slack: float = 0.0
    revoke: int = 5_000 * MILLISECOND_US
    retain: int = 20_000 * MILLISECOND_US  # how long a watch may resume from a revision that it was given
    strict_revoke: bool = False  # reject a key if a revocation may have been missed for `revoke`


DURATION_FIELDS = (
    "contact",
    "ack",
    "sync_time",
    "drain",
    "grace",
    "apply",
    "reuse",
    "recover",
    "retry_win",
    "quota_win",
    "revoke",
    "retain",
)
NUMBER_FIELDS = ("retry_ratio", "retry_slack", "quota_excess", "quota_slack")


@dataclass(slots=True, frozen=True)
class Settings:
    """The checked contents of the settings file."""

    node: str
    ip: str
    zone: str
    region: str
    serves: tuple[str, ...]
    voting: bool
    bootstrap: bool
    datadir: str | None
    seeds: tuple[Address, ...]  # control addresses of core machines
    bind: dict[str, Address]
    ports: tuple[int, int]  # first and last port for connections between nodes
    zones: dict[str, str]  # zone -> region
    beat: int  # microseconds between two heartbeats of a backend
    cpu: float
    memory_mb: int
    nofile: int
    disk_mb: int
    tolerate: int  # voting machines that may fail at the same time
    tolerate_zones: int
    tolerate_regions: int
    clauses: frozenset[str]
    bounds: Bounds = field(default_factory=Bounds)
    contracts: str = DEFAULT_CONTRACTS_PATH  # path of the contracts file; without the file, drain requests are rejected


def load(environment: Mapping[str, str]) -> Settings:
    """Reads the file that the environment names. Raises BadFile."""
    path = environment.get("OAKVALE_SETTINGS") or DEFAULT_PATH
    return read_toml(path, decode)


def decode(data: dict[str, Any]) -> Settings:
    """Checks the parsed TOML. Raises BadFile."""
    root = Table(data, "")
    node, network, terms = root.table("self"), root.table("network"), root.table("terms")
    limits, bind, zones = node.table("limits"), network.table("bind"), network.table("azs")
    bounds, tolerance = terms.table("bounds"), terms.table("tolerance")
    ports = network.get("port-range", list)
    if len(ports) != 2 or not all(isinstance(port, int) and 0 < port < 65536 for port in ports) or ports[0] > ports[1]:
        raise network.field_error("port-range", f"is not two ports in ascending order: {ports!r}")
    bind_addresses: dict[str, Address] = {}
    for name in bind.keys():
        address = parse_address(bind.get(name, str))
        if address is None:
            raise bind.field_error(name, "is not host:port")
        bind_addresses[name] = address
    bound_values: dict[str, Any] = {
        name: bounds.duration(name if name in ("sync_time",) else name.replace("_", "-"), getattr(Bounds(), name))
        for name in DURATION_FIELDS
    }
    for name in NUMBER_FIELDS:
        bound_values[name] = float(bounds.get(name.replace("_", "-"), (int, float), getattr(Bounds(), name)))
    bound_values["strict_revoke"] = bounds.get("strict-revoke", bool, False)
    return Settings(
        node=node.get("node", str),
        ip=node.get("ip", str),
        zone=node.get("az", str, ""),
        region=node.get("rgn", str, ""),
        serves=node.strings("serves"),
        voting=node.get("voting", bool, False),
        bootstrap=node.get("bootstrap", bool, False),
        datadir=node.get("datadir", str, None),
        seeds=network.addresses("seeds"),
        bind=bind_addresses,
        ports=(ports[0], ports[1]),
        zones={name: zones.get(name, str) for name in zones.keys()},
        beat=root.table("infra").duration("beat", 1_500 * MILLISECOND_US),
        cpu=float(limits.get("cpu", (int, float), 1.0)),
        memory_mb=limits.get("mem-mb", int, 192),
        nofile=limits.get("nofile", int, 1024),
        disk_mb=limits.get("disk-mb", int, 0),
        tolerate=tolerance.get("nodes", int, 0),
        tolerate_zones=tolerance.get("azs", int, 0),
        tolerate_regions=tolerance.get("rgns", int, 0),
        clauses=frozenset(terms.strings("clauses")),
        bounds=Bounds(**bound_values),
        contracts=root.table("contracts").get("file", str, DEFAULT_CONTRACTS_PATH),
    )
