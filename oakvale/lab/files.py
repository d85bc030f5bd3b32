"""Files of the laboratory besides days: read as TOML and checked, or one line with file, place and field."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from oakvale.lab import days


class BadFile(Exception):
    """One line: the file, the place, the field, what is wrong with it."""


M = TypeVar("M", bound=BaseModel)


def load(path: str | Path, model: type[M]) -> M:
    try:
        data = tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise BadFile(f"{path}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise BadFile(f"{path}: not TOML: {error}") from error
    try:
        return model.model_validate(data)
    except ValidationError as error:
        raise BadFile(f"{path}: {days.first(error, data)}") from error
