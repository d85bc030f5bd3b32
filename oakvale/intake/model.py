"""The operator's configurations, checked whole by `pydantic` before anything is kept.

What PROTOCOL calls invalid raises `Invalid` with the place and the field; everything else is taken. Unknown
fields are skipped. The text as it was sent is what is kept and read back.
"""

from __future__ import annotations

from typing import Annotated, Any

import orjson
from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from oakvale.intake.times import micros

MINUTE = 60_000_000
Micros = Annotated[int, BeforeValidator(micros)]


class Invalid(Exception):
    """One line: the place, the field, what is wrong."""


class Part(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, populate_by_name=True)


class Split(Part):
    svc: str
    wt: Annotated[float, Field(ge=0)]


class Route(Part):
    name: str
    vhost: Annotated[str, Field(min_length=1)]
    prefix: Annotated[str, Field(pattern=r"^/(.*/)?$")]
    type: Annotated[str, Field(pattern="^(safe|unsafe)$")]
    deadline: Micros
    target_time: Micros | None = None
    prio: int = 0
    split: list[Split] | None = None
    svc: str | None = None
    tries: Annotated[int, Field(ge=1)]
    public: bool = False


class Service(Part):
    name: str
    hcheck: str | None = None
    max_conns: Annotated[int | None, Field(alias="max-conns")] = None


class Tenant(Part):
    name: str
    apikeys: list[str]
    prio: int | None = None
    rate: Annotated[float, Field(alias="rate-per-s", ge=0)] = 0.0
    burst: Annotated[float, Field(ge=0)] = 0.0


class Limits(Part):
    hdr_bytes: Annotated[int | None, Field(alias="hdr-bytes")] = None
    body_bytes: Annotated[int | None, Field(alias="body-bytes")] = None
    hdr: Micros | None = None
    idle: Micros | None = None


class Configuration(Part):
    gen: int
    routes: list[Route]
    svcs: list[Service]
    limits: Limits = Limits()
    tenants: list[Tenant] | None = None


def records(table: Any, place: str) -> list[dict[str, Any]]:
    """The rows of a table as objects; null is a field that is left out."""
    if not isinstance(table, dict) or not all(isinstance(table.get(part), list) for part in ("cols", "rows")):
        raise Invalid(f"{place}: no cols or rows")
    names = table["cols"]
    if len(set(map(str, names))) != len(names):
        raise Invalid(f"{place}.cols: a name is there twice")
    found = []
    for at, row in enumerate(table["rows"]):
        if not isinstance(row, list) or len(row) != len(names):
            raise Invalid(f"{place}.rows[{at}]: not {len(names)} values")
        found.append({str(name): value for name, value in zip(names, row, strict=True) if value is not None})
    return found


def parse(text: bytes) -> Configuration:
    """A configuration from what the operator sent; raises Invalid."""
    try:
        data = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise Invalid(f"not JSON: {error}") from error
    if not isinstance(data, dict):
        raise Invalid("no object")
    plain = dict(data)
    for name in ("routes", "svcs", "tenants"):
        if plain.get(name) is not None:
            plain[name] = records(plain[name], name)
    plain = {name: value for name, value in plain.items() if value is not None}
    try:
        found = Configuration.model_validate(plain)
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        raise Invalid(f"{place}: {first['msg']}") from error
    check(found)
    return found


def check(config: Configuration) -> None:
    services = {service.name for service in config.svcs}
    if len(services) != len(config.svcs):
        raise Invalid("svcs: two services have one name")
    places: dict[tuple[str, str], str] = {}
    for route in config.routes:
        where = f"routes.{route.name}"
        if route.split is None and route.svc is None:
            raise Invalid(f"{where}: neither svc nor split")
        named = [part.svc for part in route.split or []] + ([] if route.svc is None else [route.svc])
        for name in named:
            if name not in services:
                raise Invalid(f"{where}: unknown service {name!r}")
        if route.split is not None and not sum(part.wt for part in route.split) > 0:
            raise Invalid(f"{where}.split: no weight")
        place = (route.vhost.lower(), route.prefix)
        if place in places:
            raise Invalid(f"{where}: host and prefix of {places[place]}")
        places[place] = route.name
        if route.deadline <= 0:
            raise Invalid(f"{where}.deadline: not above 0")
        if route.target_time is not None and route.target_time - route.deadline >= MINUTE:
            raise Invalid(f"{where}.target_time: a minute or more above deadline")
    holders: dict[str, str] = {}
    for tenant in config.tenants or []:
        for key in tenant.apikeys:
            if holders.setdefault(key, tenant.name) != tenant.name:
                raise Invalid(f"tenants.{tenant.name}.apikeys: a key of {holders[key]}")
