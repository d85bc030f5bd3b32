"""The operator's configurations, checked whole by `pydantic` before anything is kept.

What PROTOCOL calls invalid raises `Invalid` with the place and the field; everything else is taken. Unknown
fields are skipped. The text as it was sent is what is kept and read back.

`read` also gives a digest of the content. Two texts have one digest where they say the same: spaces, escapes, the order
of an object's fields and of a table's columns don't count, nor does a null in a row (PROTOCOL: a field left out);
numbers are one where they read as one 64-bit integer or one double (1.50 and 1.5), and of a field that an object has
twice the last holds, as for all here who read a configuration. All else counts: 1 and 1.0 differ, so do "7" and 7, a
null outside of rows and a field left out, code points that look alike, the order of rows and lists, and unknown
fields. Where in doubt two texts differ: then the second is refused, and not confirmed as what it may not be.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from hashlib import blake2b
from typing import Annotated, Any, TypeVar

import orjson
from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, TypeAdapter, ValidationError

from oakvale.config.durations import parse_duration

MINUTE_US = 60_000_000
DIGEST_BYTES = 16  # bytes of BLAKE2b
SINGLE_STEP_MAX_BYTES = 100_000  # bytes of a text that is not read in one go, some 15 ms
ROWS_PER_STEP = 4_000  # rows that are checked in one step, about 20 ms
DurationUs = Annotated[int, BeforeValidator(parse_duration)]


class InvalidConfiguration(Exception):
    """One line: the place, the field, what is wrong."""


class ConfigurationPart(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, populate_by_name=True)


class Split(ConfigurationPart):
    svc: str
    wt: Annotated[float, Field(ge=0)]


class Route(ConfigurationPart):
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
    public: bool = False


class Service(ConfigurationPart):
    name: str
    hcheck: str | None = None
    max_conns: Annotated[int | None, Field(alias="max-conns")] = None


class Tenant(ConfigurationPart):
    name: str
    apikeys: list[str]
    prio: int | None = None
    rate: Annotated[float, Field(alias="rate-per-s", ge=0)] = 0.0
    burst: Annotated[float, Field(ge=0)] = 0.0


class Limits(ConfigurationPart):
    hdr_bytes: Annotated[int | None, Field(alias="hdr-bytes")] = None
    body_bytes: Annotated[int | None, Field(alias="body-bytes")] = None
    hdr: DurationUs | None = None
    idle: DurationUs | None = None


class Configuration(ConfigurationPart):
    gen: int
    routes: list[Route]
    svcs: list[Service]
    limits: Limits = Limits()
    tenants: list[Tenant] | None = None


ParsedConfiguration = tuple[Configuration, bytes]
T = TypeVar("T")
TABLES: dict[str, TypeAdapter[list[Any]]] = {
    "routes": TypeAdapter(list[Route]),
    "svcs": TypeAdapter(list[Service]),
    "tenants": TypeAdapter(list[Tenant]),
}


def rows_to_objects(table: Any, place: str) -> list[dict[str, Any]]:
    """The rows of a table as objects; null is a field that is left out."""
    if not isinstance(table, dict) or not all(isinstance(table.get(part), list) for part in ("cols", "rows")):
        raise InvalidConfiguration(f"{place}: no cols or rows")
    names = table["cols"]
    if not all(isinstance(name, str) for name in names):
        raise InvalidConfiguration(f"{place}.cols: a name is no text")
    if len(set(names)) != len(names):
        raise InvalidConfiguration(f"{place}.cols: a name is there twice")
    found = []
    for at, row in enumerate(table["rows"]):
        if not isinstance(row, list) or len(row) != len(names):
            raise InvalidConfiguration(f"{place}.rows[{at}]: not {len(names)} values")
        found.append({name: value for name, value in zip(names, row, strict=True) if value is not None})
    return found


def parse(text: bytes) -> Configuration:
    """A configuration from what the operator sent; raises Invalid."""
    return parse_with_digest(text)[0]


def parse_with_digest(text: bytes) -> ParsedConfiguration:
    """The same, and the digest of its content."""
    steps = parse_in_steps(text)
    while True:
        try:
            next(steps)
        except StopIteration as ended:
            found: ParsedConfiguration = ended.value
            return found


def parse_in_steps(text: bytes) -> Generator[None, None, ParsedConfiguration]:
    """The same in steps, none of which takes much longer than it takes to read the JSON: for who has more to do."""
    large = len(text) > SINGLE_STEP_MAX_BYTES
    plain, rest = _plain(text)
    if large:
        yield
    said = orjson.dumps([plain, rest], option=orjson.OPT_SORT_KEYS)
    digest = blake2b(said, digest_size=DIGEST_BYTES).digest()
    plain = {name: value for name, value in plain.items() if value is not None}
    for name, kind in TABLES.items():
        rows, made = plain.get(name, []), list[Any]()
        for at in range(0, len(rows), ROWS_PER_STEP):
            made += _valid(kind.validate_python, rows[at : at + ROWS_PER_STEP], name, at)
            if large:
                yield
        if rows:
            plain[name] = made
    found = _valid(Configuration.model_validate, plain)
    if large:
        yield
    check_consistency(found)
    return found, digest


def _valid(validate: Callable[[Any], T], data: Any, table: str = "", before: int = 0) -> T:
    """Raises Invalid; of a table's rows, `before` come ahead of these."""
    try:
        return validate(data)
    except ValidationError as error:
        first = error.errors()[0]
        place = list(first["loc"])
        if table:
            place = [table, before + int(place[0]), *place[1:]]
        raise InvalidConfiguration(f"{'.'.join(map(str, place))}: {first['msg']}") from error


def _plain(text: bytes) -> tuple[dict[str, Any], dict[str, Any]]:
    """What it says, its tables as objects; and what its tables hold beside rows and names of columns."""
    try:
        data = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise InvalidConfiguration(f"not JSON: {error}") from error
    if not isinstance(data, dict):
        raise InvalidConfiguration("no object")
    rest = {}
    for name in TABLES:
        if data.get(name) is not None:
            table = data[name]
            data[name] = rows_to_objects(table, name)
            rest[name] = {part: value for part, value in table.items() if part not in ("cols", "rows")}
    return data, rest


def check_consistency(config: Configuration) -> None:
    services = {service.name for service in config.svcs}
    if len(services) != len(config.svcs):
        raise InvalidConfiguration("svcs: two services have one name")
    places: dict[tuple[str, str], str] = {}
    for route in config.routes:
        where = f"routes.{route.name}"
        if route.split is None and route.svc is None:
            raise InvalidConfiguration(f"{where}: neither svc nor split")
        named = [part.svc for part in route.split or []] + ([] if route.svc is None else [route.svc])
        for name in named:
            if name not in services:
                raise InvalidConfiguration(f"{where}: unknown service {name!r}")
        if route.split is not None and not sum(part.wt for part in route.split) > 0:
            raise InvalidConfiguration(f"{where}.split: no weight")
        place = (route.vhost.lower(), route.prefix)
        if place in places:
            raise InvalidConfiguration(f"{where}: host and prefix of {places[place]}")
        places[place] = route.name
        if route.deadline <= 0:
            raise InvalidConfiguration(f"{where}.deadline: not above 0")
        if route.target_time is not None and route.target_time - route.deadline >= MINUTE_US:
            raise InvalidConfiguration(f"{where}.target_time: a minute or more above deadline")
    holders: dict[str, str] = {}
    for tenant in config.tenants or []:
        for key in tenant.apikeys:
            if holders.setdefault(key, tenant.name) != tenant.name:
                raise InvalidConfiguration(f"tenants.{tenant.name}.apikeys: a key of {holders[key]}")
