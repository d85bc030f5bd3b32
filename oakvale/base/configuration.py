"""What a gateway is told at its start: the environment and the file that `LB_CONFIG` names."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import orjson

from oakvale import interface as i
from oakvale import settings as site
from oakvale.base.address import Address, parse_address
from oakvale.base.limits import MB, Limits


class ConfigurationError(Exception):
    """One line that says what is wrong."""


@dataclass(slots=True, frozen=True)
class Configuration:
    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    known: dict[str, Any]
    settings: i.Settings
    names: site.NameIndexes
    limits: Limits
    environment: Mapping[str, str]

    def reload(self) -> Configuration:
        """As the file is now, whose addresses go before the environment's: those are of the start. Raises
        BadConfiguration."""
        fresh = load({k: v for k, v in self.environment.items() if k != "LB_DISCOVERY"})
        return replace(fresh, environment=self.environment)


def require_address(text: Any, what: str) -> Address:
    parsed = parse_address(text)
    if parsed is None:
        raise ConfigurationError(f"{what} is not host:port: {text!r}")
    return parsed


def load(environment: Mapping[str, str]) -> Configuration:
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigurationError("LB_CONFIG is not set")
    try:
        data = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigurationError(f"cannot read {path}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"{path} is not JSON: {error}") from error
    if not isinstance(data, dict):
        raise ConfigurationError(f"{path} holds no object")
    return decode(data, environment)


def decode(data: dict[str, Any], environment: Mapping[str, str]) -> Configuration:
    raw = data.get("settings")
    if not isinstance(raw, dict):
        raise ConfigurationError("settings are missing")
    try:
        decoded, names = site.decode(raw), site.decode_names(raw)
        limits, extra = site.section(raw, "limits"), site.section(raw, "specifics")
        bounds = Limits.fill(
            sockets=int(site.section(data, "limits").get("sockets") or 1024),
            memory=int(site.section(data, "limits").get("memory_mb") or 192) * MB,
            connect=int(limits.get("connectTimeoutUs") or Limits.connect),
            backend_idle=int(limits.get("connIdleUs") or Limits.backend_idle),
            counter_timeout=int(extra.get("counterTimeoutUs") or Limits.counter_timeout),
            requests=int(limits.get("maxOpen") or Limits.requests),
        )
        seed = int(str(data.get("seed") or "0"), 16)
    except (TypeError, ValueError, KeyError, AttributeError) as error:
        raise ConfigurationError(f"bad settings: {error!r}") from error
    if not decoded.classes or not decoded.plans:
        raise ConfigurationError("settings name no classes or no plans")
    known = data.get("known") or {}
    if not isinstance(known, dict):
        raise ConfigurationError("known is not an object")
    counter = data.get("counter")
    if not counter and decoded.may_count:
        raise ConfigurationError("counter is missing, though the settings allow calls")
    return Configuration(
        name=environment.get("LB_NAME") or str(data.get("name") or "oakvale"),
        listen=require_address(environment.get("LB_LISTEN") or data.get("listen"), "listen"),
        discovery=require_address(environment.get("LB_DISCOVERY") or data.get("discovery"), "discovery"),
        counter=require_address(counter, "counter") if counter else None,
        seed=seed,
        known=known,
        settings=decoded,
        names=names,
        limits=bounds,
        environment=environment,
    )
