"""Reads TOML files field by field; every error names the file, the table and the field."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from oakvale.base.address import Address, parse_address
from oakvale.config.durations import parse_duration

T = TypeVar("T")


class BadFile(Exception):
    """A file cannot be used; one line with the file, the table, the field and the reason."""


def read_toml(path: str, decode: Callable[[dict[str, Any]], T]) -> T:
    """Parses a TOML file and passes it to `decode`. Raises BadFile, also for one that `decode` raises."""
    try:
        data = tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise BadFile(f"{path}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise BadFile(f"{path}: not TOML: {error}") from error
    try:
        return decode(data)
    except BadFile as error:
        raise BadFile(f"{path}: {error}") from error


class Table:
    """One table of a file, with typed access to its fields; each accessor raises BadFile."""

    def __init__(self, data: Any, location: str) -> None:
        if data is None:
            data = {}
        if not isinstance(data, dict):
            raise BadFile(f"[{location}] is not a table")
        self._data, self._location = data, location

    def field_error(self, name: str, why: str) -> BadFile:
        """Returns the error for a field of this table."""
        prefix = f"[{self._location}] " if self._location else ""
        return BadFile(f"{prefix}{name} {why}")

    def table(self, name: str) -> Table:
        """Returns a subtable; an empty one if it is missing."""
        return Table(self._data.get(name), f"{self._location}.{name}" if self._location else name)

    def get(self, name: str, kind: type | tuple[type, ...], default: Any = ...) -> Any:
        """Returns a field of the given type, or the default; without a default the field is required."""
        value = self._data.get(name, default)
        if value is ...:
            raise self.field_error(name, "is missing")
        wrong_type = not isinstance(value, kind) or isinstance(value, bool) and kind is not bool
        if value is not default and wrong_type:
            raise self.field_error(name, f"is not understood: {value!r}")
        return value

    def string(self, name: str) -> str:
        """Returns a required text that is not blank."""
        text: str = self.get(name, str)
        if not text.strip():
            raise self.field_error(name, "is empty")
        return text

    def duration(self, name: str, default: int) -> int:
        """Returns microseconds; the default if the field is missing."""
        value = self._data.get(name)
        if value is None:
            return default
        try:
            return parse_duration(value)
        except ValueError as error:
            raise self.field_error(f"{name}:", str(error)) from error

    def strings(self, name: str) -> tuple[str, ...]:
        """Returns a list of texts; an empty one if the field is missing."""
        values = self.get(name, list, [])
        if not all(isinstance(value, str) for value in values):
            raise self.field_error(name, f"holds what is not a text: {values!r}")
        return tuple(values)

    def addresses(self, name: str) -> tuple[Address, ...]:
        """Returns a list of `host:port` addresses; an empty one if the field is missing."""
        parsed = tuple(parse_address(text) for text in self.get(name, list, []))
        if None in parsed:
            raise self.field_error(name, "holds what is not host:port")
        return tuple(address for address in parsed if address is not None)

    def keys(self) -> list[str]:
        """Returns the names of the fields and subtables."""
        return list(self._data)
