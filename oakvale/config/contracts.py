"""Reads the operators' file of contracts (TOML): at which hours a drain may move the traffic of a tenant.

A file that cannot be used raises `BadFile` with file, tenant and field. An unknown field is rejected, because
ignoring it would hide a misspelt one.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import UTC, date, datetime
from typing import Annotated, Any, Literal, TypeVar
from zoneinfo import ZoneInfoNotFoundError

from pydantic import AwareDatetime, BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from oakvale.config.toml_table import BadFile, read_toml
from oakvale.drains import hours

WEEKDAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
TIME_PATTERN = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])|24:00")
SPAN_PATTERN = re.compile(r"([0-9]{1,5})([dhms])")
SPAN_UNITS_US = {"d": hours.DAY, "h": hours.DAY // 24, "m": hours.DAY // 1440, "s": hours.SECOND}


def parse_time_of_day(text: object) -> int:
    """Returns the minutes since midnight of a text such as `06:30`. Raises ValueError."""
    match = TIME_PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"not a time of day such as 06:30 or 24:00: {text!r}")
    return hours.MINUTES if match[1] is None else int(match[1]) * 60 + int(match[2])


def parse_span(text: object) -> int:
    """Returns the microseconds of a text such as `14d`. Raises ValueError."""
    match = SPAN_PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"not a span such as 14d, 36h or 90m: {text!r}")
    return int(match[1]) * SPAN_UNITS_US[match[2]]


Model = TypeVar("Model", bound=BaseModel)
MinuteOfDay = Annotated[int, BeforeValidator(parse_time_of_day)]


class StrictModel(BaseModel):
    """A part of the file; unknown fields are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True, populate_by_name=True)


class TimeRange(StrictModel):
    """A time range within a day in which a drain may move traffic."""

    begin: Annotated[MinuteOfDay, Field(alias="from")]
    end: Annotated[MinuteOfDay, Field(alias="to")]

    def span(self) -> hours.Span:
        """Raises ValueError if the range is empty or begins at the end of a day."""
        if self.begin == self.end:
            raise ValueError("from and to are the same; a whole day is 00:00 to 24:00")
        if self.begin == hours.MINUTES:
            raise ValueError("from is the end of a day")
        return hours.Span(self.begin, self.end)


class WeeklyRange(TimeRange):
    """A time range that recurs on the given weekdays."""

    days: Annotated[list[Literal["mon", "tue", "wed", "thu", "fri", "sat", "sun"]], Field(min_length=1)]


class DateException(StrictModel):
    """The time ranges of one date, in place of those of its weekday."""

    on: Annotated[date, Field(alias="date")]
    hours: list[TimeRange] = []


class Contract(StrictModel):
    """The contract of one tenant as the file gives it."""

    tenant: Annotated[str, Field(min_length=1)]
    zone: str
    notice: Annotated[int, BeforeValidator(parse_span)] = 31 * hours.DAY
    hours: list[WeeklyRange]
    exceptions: list[DateException] = []


class ScheduledOrder(StrictModel):
    """A drain order in the file; the primary issues it once, `after` it began to serve with the file."""

    name: Annotated[str, Field(pattern=r"^[0-9A-Za-z._-]{1,64}$")]
    kind: Literal["gateway", "backend", "zone"]
    target: Annotated[str, Field(min_length=1)]
    by: Annotated[str, Field(min_length=1)]
    why: Annotated[str, Field(min_length=1)]
    after: Annotated[int, BeforeValidator(parse_span)] = 0
    within: Annotated[int, BeforeValidator(parse_span)]  # from when it is issued


class ContractsFile(StrictModel):
    """The fields of the file."""

    contract: list[Contract] = []
    order: list[ScheduledOrder] = []


@dataclass(slots=True, frozen=True)
class Contracts:
    """The checked contents of the file."""

    by_tenant: dict[str, hours.Contract]  # `*` applies to every tenant without a contract
    orders: tuple[ScheduledOrder, ...] = ()


def load(path: str) -> Contracts:
    """Reads and checks the file. Raises BadFile with the file, the tenant and the field."""
    return read_toml(path, decode)


def decode(data: dict[str, Any]) -> Contracts:
    """Checks the parsed TOML. Raises BadFile."""
    try:
        content = ContractsFile.model_validate(data)
    except ValidationError as error:
        first = error.errors()[0]
        location = list(first["loc"])
        if location[0] in ("contract", "order") and len(location) > 1:
            table, index = str(location[0]), int(location[1])
            row = data[table][index]
            label = (row.get("tenant") or row.get("name")) if isinstance(row, dict) else None
            location[:2] = [f"{'contract of' if table == 'contract' else 'order'} {label or f'number {index + 1}'}"]
        field = ".".join(map(str, location[1:]))
        raise BadFile(": ".join([str(location[0]), *([field] if field else []), first["msg"]])) from error
    contracts: dict[str, hours.Contract] = {}
    for contract in content.contract:
        where = f"contract of {contract.tenant}"
        if contract.tenant in contracts:
            raise BadFile(f"{where}: tenant: is given twice")
        try:
            hours.zone_of(contract.zone)
        except (ZoneInfoNotFoundError, ValueError, OSError) as error:
            raise BadFile(f"{where}: zone: no such time zone: {contract.zone!r}") from error
        week: list[list[hours.Span]] = [[] for _ in WEEKDAYS]
        for index, weekly in enumerate(contract.hours):
            for day in weekly.days:
                week[WEEKDAYS.index(day)].append(_span(where, f"hours.{index}", weekly))
        dates: dict[date, tuple[hours.Span, ...]] = {}
        for index, exception in enumerate(contract.exceptions):
            if exception.on in dates:
                raise BadFile(f"{where}: exceptions.{index}.date: {exception.on} is given twice")
            dates[exception.on] = tuple(
                _span(where, f"exceptions.{index}.hours", time_range) for time_range in exception.hours
            )
        contracts[contract.tenant] = hours.Contract(
            contract.tenant, contract.zone, tuple(map(tuple, week)), dates, contract.notice
        )
    names = [order.name for order in content.order]
    if duplicates := [name for name in names if names.count(name) > 1]:
        raise BadFile(f"order {duplicates[0]}: name: is given twice")
    return Contracts(contracts, tuple(content.order))


def _span(where: str, field: str, time_range: TimeRange) -> hours.Span:
    try:
        return time_range.span()
    except ValueError as error:
        raise BadFile(f"{where}: {field}: {error}") from error


class DrainOrder(StrictModel):
    """The body of an operator's drain request. A `due` time without a time zone is ambiguous and therefore rejected."""

    kind: Literal["gateway", "backend", "zone"]
    target: Annotated[str, Field(min_length=1)]
    by: Annotated[str, Field(min_length=1)]
    why: Annotated[str, Field(min_length=1)]
    due: AwareDatetime

    def due_at(self) -> int:
        """Returns `due` in microseconds since the Unix epoch."""
        return round((self.due - datetime(1970, 1, 1, tzinfo=UTC)).total_seconds() * hours.SECOND)


class Cancellation(StrictModel):
    """The body of an operator's request to cancel a drain."""

    by: Annotated[str, Field(min_length=1)]
    why: Annotated[str, Field(min_length=1)]


class InvalidOrder(Exception):
    """A request body failed its check; one line with the field and the reason."""


def parse_order(form: type[Model], body: bytes) -> Model:
    """Parses and checks a request body. Raises InvalidOrder."""
    try:
        return form.model_validate_json(body)
    except ValidationError as error:
        first = error.errors()[0]
        raise InvalidOrder(f"{'.'.join(map(str, first['loc'])) or 'body'}: {first['msg']}") from error
