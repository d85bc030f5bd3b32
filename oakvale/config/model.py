"""Parses and validates the operator's configurations before they are stored.

What PROTOCOL calls invalid raises `InvalidConfiguration` with the location and the field; everything else is accepted.
Unknown fields are ignored. The text is stored and returned exactly as it was sent.

`parse_with_digest` also computes a digest of the content, so that a configuration that is sent again is recognized.
These do not change the digest: white space, escapes, the order of an object's fields and of a table's columns, a null
in a row (PROTOCOL: a missing field), the notation of a number that is the same 64-bit integer or double (1.50 and
1.5), and all but the last of duplicate fields. Everything else does: 1 and 1.0 differ, as do "7" and 7, a null outside
of rows and a missing field, code points that look alike, the order of rows and lists, and unknown fields. In doubt two
texts count as different: the second is then rejected rather than confirmed by mistake.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from hashlib import blake2b
from typing import Annotated, Any, TypeVar

import orjson
from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, StrictBool, StrictInt, TypeAdapter, ValidationError

from oakvale.config.durations import parse_duration

MINUTE_US = 60_000_000
DIGEST_BYTES = 16
SINGLE_STEP_MAX_BYTES = 100_000  # a larger text is parsed in several steps; some 15 ms in one
ROWS_PER_STEP = 4_000  # rows that are checked in one step, about 20 ms
DurationUs = Annotated[int, BeforeValidator(parse_duration)]


class InvalidConfiguration(Exception):
    """The configuration is invalid; one line with the location, the field and the reason."""


class ConfigurationPart(BaseModel):
    """A part of a configuration; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True, populate_by_name=True)


class Split(ConfigurationPart):
    """A service that takes a weighted share of the requests of a route."""

    svc: str
    wt: Annotated[float, Field(ge=0)]


class Route(ConfigurationPart):
    """Requests of a host and path prefix, and the services that take them."""

    name: str
    vhost: Annotated[str, Field(min_length=1)]
    prefix: Annotated[str, Field(pattern=r"^/(.*/)?$")]
    type: Annotated[str, Field(pattern="^(safe|unsafe)$")]
    deadline: DurationUs
    target_time: DurationUs | None = None
    prio: int = 0
    split: list[Split] | None = None
    svc: str | None = None
    tries: Annotated[int, Field(ge=1)]
    public: StrictBool = False


class Service(ConfigurationPart):
    """A service: its health check path and the connections that each of its backends accepts."""

    name: str
    hcheck: str | None = None
    max_conns: Annotated[int | None, Field(alias="max-conns")] = None


class Tenant(ConfigurationPart):
    """A tenant: its API keys, priority and quota."""

    name: str
    apikeys: list[str]
    prio: int | None = None
    rate: Annotated[float, Field(alias="rate-per-s", ge=0)] = 0.0
    burst: Annotated[float, Field(ge=0)] = 0.0


class Limits(ConfigurationPart):
    """Limits on the size of requests and on the time that clients may take."""

    hdr_bytes: Annotated[StrictInt | None, Field(alias="hdr-bytes")] = None
    body_bytes: Annotated[StrictInt | None, Field(alias="body-bytes")] = None
    hdr: DurationUs | None = None
    idle: DurationUs | None = None


class Configuration(ConfigurationPart):
    """A whole configuration, its tables as lists of objects."""

    gen: int
    routes: list[Route]
    svcs: list[Service]
    limits: Limits = Limits()
    tenants: list[Tenant] | None = None


ParsedConfiguration = tuple[Configuration, bytes]  # with the digest of its content
T = TypeVar("T")
TABLES: dict[str, TypeAdapter[list[Any]]] = {
    "routes": TypeAdapter(list[Route]),
    "svcs": TypeAdapter(list[Service]),
    "tenants": TypeAdapter(list[Tenant]),
}


def rows_to_objects(table: Any, location: str) -> list[dict[str, Any]]:
    """Returns the rows of a table as objects; a null in a row is a missing field. Raises InvalidConfiguration."""
    if not isinstance(table, dict) or not all(isinstance(table.get(field), list) for field in ("cols", "rows")):
        raise InvalidConfiguration(f"{location}: no cols or rows")
    names = table["cols"]
    if not all(isinstance(name, str) for name in names):
        raise InvalidConfiguration(f"{location}.cols: a name is no text")
    if len(set(names)) != len(names):
        raise InvalidConfiguration(f"{location}.cols: a name is there twice")
    objects = []
    for index, row in enumerate(table["rows"]):
        if not isinstance(row, list) or len(row) != len(names):
            raise InvalidConfiguration(f"{location}.rows[{index}]: not {len(names)} values")
        objects.append({name: value for name, value in zip(names, row, strict=True) if value is not None})
    return objects


def parse(text: bytes) -> Configuration:
    """Parses and validates a configuration. Raises InvalidConfiguration."""
    return parse_with_digest(text)[0]


def parse_with_digest(text: bytes) -> ParsedConfiguration:
    """Parses and validates a configuration and computes its digest. Raises InvalidConfiguration."""
    steps = parse_in_steps(text)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            parsed: ParsedConfiguration = stop.value
            return parsed


def parse_in_steps(text: bytes) -> Generator[None, None, ParsedConfiguration]:
    """Does the work of `parse_with_digest` in steps, so that a caller can serve other work in between.

    No step takes much longer than decoding the JSON.
    """
    large = len(text) > SINGLE_STEP_MAX_BYTES
    content, table_extras = _decode(text)
    if large:
        yield
    canonical = orjson.dumps([content, table_extras], option=orjson.OPT_SORT_KEYS)
    digest = blake2b(canonical, digest_size=DIGEST_BYTES).digest()
    content = {name: value for name, value in content.items() if value is not None}
    for name, adapter in TABLES.items():
        rows, validated = content.get(name, []), list[Any]()
        for start in range(0, len(rows), ROWS_PER_STEP):
            validated += _validate(adapter.validate_python, rows[start : start + ROWS_PER_STEP], name, start)
            if large:
                yield
        if rows:
            content[name] = validated
    configuration = _validate(Configuration.model_validate, content)
    if large:
        yield
    check_consistency(configuration)
    return configuration, digest


def _validate(validate: Callable[[Any], T], data: Any, table: str = "", first_row: int = 0) -> T:
    """Validates data, or rows of a table from `first_row` on. Raises InvalidConfiguration."""
    try:
        return validate(data)
    except ValidationError as error:
        first = error.errors()[0]
        location = list(first["loc"])
        if table:
            location = [table, first_row + int(location[0]), *location[1:]]
        raise InvalidConfiguration(f"{'.'.join(map(str, location))}: {first['msg']}") from error


def _decode(text: bytes) -> tuple[dict[str, Any], dict[str, Any]]:
    """Returns the content with tables as lists of objects, and the fields of each table beside `cols` and `rows`."""
    try:
        data = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise InvalidConfiguration(f"not JSON: {error}") from error
    if not isinstance(data, dict):
        raise InvalidConfiguration("no object")
    table_extras = {}
    for name in TABLES:
        if data.get(name) is not None:
            table = data[name]
            data[name] = rows_to_objects(table, name)
            table_extras[name] = {field: value for field, value in table.items() if field not in ("cols", "rows")}
    return data, table_extras


def check_consistency(config: Configuration) -> None:
    """Checks what concerns several fields or rows. Raises InvalidConfiguration."""
    services = {service.name for service in config.svcs}
    if len(services) != len(config.svcs):
        raise InvalidConfiguration("svcs: two services have one name")
    route_by_match: dict[tuple[str, str], str] = {}
    for route in config.routes:
        where = f"routes.{route.name}"
        if route.split is None and route.svc is None:
            raise InvalidConfiguration(f"{where}: neither svc nor split")
        referenced = [part.svc for part in route.split or []] + ([] if route.svc is None else [route.svc])
        for name in referenced:
            if name not in services:
                raise InvalidConfiguration(f"{where}: unknown service {name!r}")
        if route.split is not None and not sum(part.wt for part in route.split) > 0:
            raise InvalidConfiguration(f"{where}.split: no weight")
        match = (route.vhost.lower(), route.prefix)
        if match in route_by_match:
            raise InvalidConfiguration(f"{where}: host and prefix of {route_by_match[match]}")
        route_by_match[match] = route.name
        if route.deadline <= 0:
            raise InvalidConfiguration(f"{where}.deadline: not above 0")
        if route.target_time is not None and route.target_time - route.deadline >= MINUTE_US:
            raise InvalidConfiguration(f"{where}.target_time: a minute or more above deadline")
    tenant_by_key: dict[str, str] = {}
    for tenant in config.tenants or []:
        for key in tenant.apikeys:
            if tenant_by_key.setdefault(key, tenant.name) != tenant.name:
                raise InvalidConfiguration(f"tenants.{tenant.name}.apikeys: a key of {tenant_by_key[key]}")
