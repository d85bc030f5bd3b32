"""The operators' file of contracts (TOML), read and checked by `pydantic`: whose traffic a drain may move when.

A file that cannot be used raises `BadFile` with file, tenant and field. An unknown field is refused, as a
misspelt one would be passed over without a word.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import UTC, date, datetime
from typing import Annotated, Any, Literal, TypeVar
from zoneinfo import ZoneInfoNotFoundError

from pydantic import AwareDatetime, BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from oakvale.config.toml_table import BadFile, read
from oakvale.drains import hours

DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
TIME = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])|24:00")
LONG = re.compile(r"([0-9]{1,5})([dhms])")
UNITS = {"d": hours.DAY_US, "h": hours.DAY_US // 24, "m": hours.DAY_US // 1440, "s": hours.SECOND_US}


def minute(text: object) -> int:
    found = TIME.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"not a time of day such as 06:30 or 24:00: {text!r}")
    return hours.MINUTES_PER_DAY if found[1] is None else int(found[1]) * 60 + int(found[2])


def long(text: object) -> int:
    found = LONG.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"not a span such as 14d, 36h or 90m: {text!r}")
    return int(found[1]) * UNITS[found[2]]


T = TypeVar("T", bound=BaseModel)
Minute = Annotated[int, BeforeValidator(minute)]


class Part(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, populate_by_name=True)


class Hours(Part):
    begin: Annotated[Minute, Field(alias="from")]
    end: Annotated[Minute, Field(alias="to")]

    def span(self) -> hours.Span:
        if self.begin == self.end:
            raise ValueError("from and to are the same; a whole day is 00:00 to 24:00")
        if self.begin == hours.MINUTES_PER_DAY:
            raise ValueError("from is the end of a day")
        return hours.Span(self.begin, self.end)


class Weekly(Hours):
    days: Annotated[list[Literal["mon", "tue", "wed", "thu", "fri", "sat", "sun"]], Field(min_length=1)]


class Exceptional(Part):
    on: Annotated[date, Field(alias="date")]
    hours: list[Hours] = []


class Contract(Part):
    tenant: Annotated[str, Field(min_length=1)]
    zone: str
    notice: Annotated[int, BeforeValidator(long)] = 31 * hours.DAY_US
    hours: list[Weekly]
    exceptions: list[Exceptional] = []


class Written(Part):
    """An order that stands in the file: given once, by the primary, so long after it first served with the file."""

    name: Annotated[str, Field(pattern=r"^[0-9A-Za-z._-]{1,64}$")]
    kind: Literal["gateway", "backend", "zone"]
    target: Annotated[str, Field(min_length=1)]
    by: Annotated[str, Field(min_length=1)]
    why: Annotated[str, Field(min_length=1)]
    after: Annotated[int, BeforeValidator(long)] = 0
    within: Annotated[int, BeforeValidator(long)]  # from when it is given


class File(Part):
    contract: list[Contract] = []
    order: list[Written] = []


@dataclass(slots=True, frozen=True)
class Contracts:
    by_tenant: dict[str, hours.Contract]  # `*`: of all that have none of their own
    orders: tuple[Written, ...] = ()


def load(path: str) -> Contracts:
    """Raises BadFile with the file, the tenant and the field."""
    return read(path, decode)


def decode(data: dict[str, Any]) -> Contracts:
    try:
        found = File.model_validate(data)
    except ValidationError as error:
        first = error.errors()[0]
        place = list(first["loc"])
        if place[0] in ("contract", "order") and len(place) > 1:
            what, at = str(place[0]), int(place[1])
            row = data[what][at]
            named = (row.get("tenant") or row.get("name")) if isinstance(row, dict) else None
            place[:2] = [f"{'contract of' if what == 'contract' else 'order'} {named or f'number {at + 1}'}"]
        field = ".".join(map(str, place[1:]))
        raise BadFile(": ".join([str(place[0]), *([field] if field else []), first["msg"]])) from error
    contracts: dict[str, hours.Contract] = {}
    for contract in found.contract:
        where = f"contract of {contract.tenant}"
        if contract.tenant in contracts:
            raise BadFile(f"{where}: tenant: there are two")
        try:
            hours.load_time_zone(contract.zone)
        except (ZoneInfoNotFoundError, ValueError, OSError) as error:
            raise BadFile(f"{where}: zone: no such time zone: {contract.zone!r}") from error
        week: list[list[hours.Span]] = [[] for _ in DAYS]
        for at, weekly in enumerate(contract.hours):
            for day in weekly.days:
                week[DAYS.index(day)].append(_span(where, f"hours.{at}", weekly))
        dates: dict[date, tuple[hours.Span, ...]] = {}
        for at, exception in enumerate(contract.exceptions):
            if exception.on in dates:
                raise BadFile(f"{where}: exceptions.{at}.date: {exception.on} is there twice")
            dates[exception.on] = tuple(_span(where, f"exceptions.{at}.hours", found) for found in exception.hours)
        contracts[contract.tenant] = hours.Contract(
            contract.tenant, contract.zone, tuple(map(tuple, week)), dates, contract.notice
        )
    names = [order.name for order in found.order]
    if twice := [name for name in names if names.count(name) > 1]:
        raise BadFile(f"order {twice[0]}: name: there are two")
    return Contracts(contracts, tuple(found.order))


def _span(where: str, field: str, found: Hours) -> hours.Span:
    try:
        return found.span()
    except ValueError as error:
        raise BadFile(f"{where}: {field}: {error}") from error


class Order(Part):
    """What an operator sends for a drain. A time without its zone would be read two ways, so it is refused."""

    kind: Literal["gateway", "backend", "zone"]
    target: Annotated[str, Field(min_length=1)]
    by: Annotated[str, Field(min_length=1)]
    why: Annotated[str, Field(min_length=1)]
    due: AwareDatetime

    def due_at(self) -> int:
        return round((self.due - datetime(1970, 1, 1, tzinfo=UTC)).total_seconds() * hours.SECOND_US)


class Cancelled(Part):
    by: Annotated[str, Field(min_length=1)]
    why: Annotated[str, Field(min_length=1)]


class BadOrder(Exception):
    """One line: the field and what is wrong with it."""


def order(form: type[T], body: bytes) -> T:
    """Raises BadOrder."""
    try:
        return form.model_validate_json(body)
    except ValidationError as error:
        first = error.errors()[0]
        raise BadOrder(f"{'.'.join(map(str, first['loc'])) or 'body'}: {first['msg']}") from error
