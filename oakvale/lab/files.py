"""Files of the laboratory besides days: read as TOML and checked, or one line with file, place and field."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from oakvale.config.toml_table import BadFile, read_toml
from oakvale.lab import days

M = TypeVar("M", bound=BaseModel)


def load(path: str | Path, model: type[M]) -> M:
    """Raises BadFile: one line with the file, the place, the field, what is wrong with it."""

    def decode(data: dict[str, Any]) -> M:
        try:
            return model.model_validate(data)
        except ValidationError as error:
            raise BadFile(days.first(error, data)) from error

    return read_toml(str(path), decode)
