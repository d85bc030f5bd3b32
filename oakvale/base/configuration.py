"""Configuration of the standalone gateway: the file that `LB_CONFIG` names, and LB_ environment variables."""

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
    """The configuration is unusable; the message is a single line for the operator."""


@dataclass(slots=True, frozen=True)
class Configuration:
    """The validated configuration; `known` is the last known backend list, used until discovery responds."""

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
        """Reads the file again. Its discovery address now takes precedence over LB_DISCOVERY, which applies only
        at startup. Raises ConfigurationError."""
        fresh = load({name: value for name, value in self.environment.items() if name != "LB_DISCOVERY"})
        return replace(fresh, environment=self.environment)


def require_address(text: Any, what: str) -> Address:
    """Parses `host:port`; raises ConfigurationError that names the setting `what`."""
    parsed = parse_address(text)
    if parsed is None:
        raise ConfigurationError(f"{what} is not host:port: {text!r}")
    return parsed


def load(environment: Mapping[str, str]) -> Configuration:
    """Reads the configuration file named by LB_CONFIG. Raises ConfigurationError."""
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
        raise ConfigurationError(f"{path} does not contain a JSON object")
    return decode(data, environment)


def decode(data: dict[str, Any], environment: Mapping[str, str]) -> Configuration:
    """Validates the content of a configuration file. Raises ConfigurationError."""
    raw = data.get("settings")
    if not isinstance(raw, dict):
        raise ConfigurationError("settings are missing or not an object")
    try:
        decoded, names = site.decode(raw), site.decode_names(raw)
        raw_limits, specifics = site.section(raw, "limits"), site.section(raw, "specifics")
        limits = Limits.fill(
            sockets=int(site.section(data, "limits").get("sockets") or 1024),
            memory=int(site.section(data, "limits").get("memory_mb") or 192) * MB,
            connect=int(raw_limits.get("connectTimeoutUs") or Limits.connect),
            backend_idle=int(raw_limits.get("connIdleUs") or Limits.backend_idle),
            counter_timeout=int(specifics.get("counterTimeoutUs") or Limits.counter_timeout),
            requests=int(raw_limits.get("maxOpen") or Limits.requests),
        )
        seed = int(str(data.get("seed") or "0"), 16)
    except (TypeError, ValueError, KeyError, AttributeError) as error:
        raise ConfigurationError(f"invalid settings: {error!r}") from error
    if not decoded.classes or not decoded.plans:
        raise ConfigurationError("settings define no classes or no plans")
    known = data.get("known") or {}
    if not isinstance(known, dict):
        raise ConfigurationError("known is not an object")
    counter = data.get("counter")
    if not counter and decoded.may_count:
        raise ConfigurationError("counter is missing, but the settings allow calls to it")
    return Configuration(
        name=environment.get("LB_NAME") or str(data.get("name") or "oakvale"),
        listen=require_address(environment.get("LB_LISTEN") or data.get("listen"), "listen"),
        discovery=require_address(environment.get("LB_DISCOVERY") or data.get("discovery"), "discovery"),
        counter=require_address(counter, "counter") if counter else None,
        seed=seed,
        known=known,
        settings=decoded,
        names=names,
        limits=limits,
        environment=environment,
    )
