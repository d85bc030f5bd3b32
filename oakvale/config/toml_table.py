"""TOML files that are written by hand: read whole, then field by field; what is wrong says where it stands."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from oakvale.base.address import Address, parse_address
from oakvale.config.durations import parse_duration

T = TypeVar("T")


class BadFile(Exception):
    """One line: the file, the place, the field, what is wrong with it."""


def read_toml(path: str, decode: Callable[[dict[str, Any]], T]) -> T:
    """Raises BadFile."""
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
    """One table of the file; every read of a field says where it stands when it is wrong."""

    def __init__(self, data: Any, place: str) -> None:
        if data is None:
            data = {}
        if not isinstance(data, dict):
            raise BadFile(f"[{place}] is not a table")
        self._data, self._place = data, place

    def field_error(self, name: str, why: str) -> BadFile:
        place = f"[{self._place}] " if self._place else ""
        return BadFile(f"{place}{name} {why}")

    def table(self, name: str) -> Table:
        return Table(self._data.get(name), f"{self._place}.{name}" if self._place else name)

    def get(self, name: str, kind: type | tuple[type, ...], default: Any = ...) -> Any:
        value = self._data.get(name, default)
        if value is ...:
            raise self.field_error(name, "is missing")
        odd = not isinstance(value, kind) or isinstance(value, bool) and kind is not bool
        if value is not default and odd:
            raise self.field_error(name, f"is not understood: {value!r}")
        return value

    def string(self, name: str) -> str:
        """One that says something."""
        found: str = self.get(name, str)
        if not found.strip():
            raise self.field_error(name, "is empty")
        return found

    def duration(self, name: str, default: int) -> int:
        value = self._data.get(name)
        if value is None:
            return default
        try:
            return parse_duration(value)
        except ValueError as error:
            raise self.field_error(f"{name}:", str(error)) from error

    def strings(self, name: str) -> tuple[str, ...]:
        found = self.get(name, list, [])
        if not all(isinstance(text, str) for text in found):
            raise self.field_error(name, f"holds what is not a text: {found!r}")
        return tuple(found)

    def addresses(self, name: str) -> tuple[Address, ...]:
        found = tuple(parse_address(text) for text in self.get(name, list, []))
        if None in found:
            raise self.field_error(name, "holds what is not host:port")
        return tuple(address for address in found if address is not None)

    def keys(self) -> list[str]:
        return list(self._data)
