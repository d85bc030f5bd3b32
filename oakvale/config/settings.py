"""The settings file of a process in the system (`OAKVALE_SETTINGS`, TOML), read and checked.

Unknown fields are skipped. A missing or broken field that is needed raises `BadFile`, which names it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from oakvale.base.address import Address, parse_address
from oakvale.config.toml_table import Table, read_toml

DEFAULT_CONTRACTS_PATH = "deploy/contracts.toml"  # from where the process was started: the repository's root
DEFAULT_PATH = "/etc/oakvale/settings.toml"
MILLISECOND_US = 1_000


@dataclass(slots=True, frozen=True)
class Bounds:
    """The figures of the rules, times in microseconds. What a file does not give keeps the page's example."""

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
    strict_revoke: bool = False  # a key is not honoured where its removal may have gone unheard for `revoke`


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
)
NUMBER_FIELDS = ("retry_ratio", "retry_slack", "quota_excess", "quota_slack")


@dataclass(slots=True, frozen=True)
class Settings:
    node: str
    ip: str
    zone: str
    region: str
    serves: tuple[str, ...]
    voting: bool
    bootstrap: bool
    datadir: str | None
    seeds: tuple[Address, ...]  # ctl addresses of core machines
    bind: dict[str, Address]
    ports: tuple[int, int]  # first and last of those between gateways
    zones: dict[str, str]  # zone -> region
    beat: int  # microseconds between two beats of a backend
    cpu: float
    memory_mb: int
    nofile: int
    disk_mb: int
    tolerate: int  # counted machines that may be lost at once
    tolerate_zones: int
    tolerate_regions: int
    clauses: frozenset[str]
    bounds: Bounds = field(default_factory=Bounds)
    contracts: str = DEFAULT_CONTRACTS_PATH  # the operators' file of contracts; where there is none, no drain is taken


def load(environment: Mapping[str, str]) -> Settings:
    """Raises BadFile."""
    path = environment.get("OAKVALE_SETTINGS") or DEFAULT_PATH
    return read_toml(path, decode)


def decode(data: dict[str, Any]) -> Settings:
    whole = Table(data, "")
    own, network, terms = whole.table("self"), whole.table("network"), whole.table("terms")
    limits, bind, zones = own.table("limits"), network.table("bind"), network.table("azs")
    given, tolerance = terms.table("bounds"), terms.table("tolerance")
    ports = network.get("port-range", list)
    if len(ports) != 2 or not all(isinstance(p, int) and 0 < p < 65536 for p in ports) or ports[0] > ports[1]:
        raise network.field_error("port-range", f"is not two ports: {ports!r}")
    bound: dict[str, Address] = {}
    for name in bind.keys():
        address = parse_address(bind.get(name, str))
        if address is None:
            raise bind.field_error(name, "is not host:port")
        bound[name] = address
    figures: dict[str, Any] = {
        name: given.duration(name if name in ("sync_time",) else name.replace("_", "-"), getattr(Bounds(), name))
        for name in DURATION_FIELDS
    }
    for name in NUMBER_FIELDS:
        figures[name] = float(given.get(name.replace("_", "-"), (int, float), getattr(Bounds(), name)))
    figures["strict_revoke"] = given.get("strict-revoke", bool, False)
    return Settings(
        node=own.get("node", str),
        ip=own.get("ip", str),
        zone=own.get("az", str, ""),
        region=own.get("rgn", str, ""),
        serves=own.strings("serves"),
        voting=own.get("voting", bool, False),
        bootstrap=own.get("bootstrap", bool, False),
        datadir=own.get("datadir", str, None),
        seeds=network.addresses("seeds"),
        bind=bound,
        ports=(ports[0], ports[1]),
        zones={name: zones.get(name, str) for name in zones.keys()},
        beat=whole.table("infra").duration("beat", 1_500 * MILLISECOND_US),
        cpu=float(limits.get("cpu", (int, float), 1.0)),
        memory_mb=limits.get("mem-mb", int, 192),
        nofile=limits.get("nofile", int, 1024),
        disk_mb=limits.get("disk-mb", int, 0),
        tolerate=tolerance.get("nodes", int, 0),
        tolerate_zones=tolerance.get("azs", int, 0),
        tolerate_regions=tolerance.get("rgns", int, 0),
        clauses=frozenset(terms.strings("clauses")),
        bounds=Bounds(**figures),
        contracts=whole.table("contracts").get("file", str, DEFAULT_CONTRACTS_PATH),
    )
