"""Tables of what was measured."""

from __future__ import annotations

import json
from typing import Any

Row = dict[str, Any]


class BadRows(Exception):
    """One line: the file, the line, what is wrong."""


def load(path: str) -> list[Row]:
    rows: list[Row] = []
    try:
        with open(path) as file:
            for line in file:
                rows.append(json.loads(line))
    except OSError as error:
        raise BadRows(f"{path}: cannot be read: {error.strerror}") from error
    except ValueError as error:
        raise BadRows(f"{path}: line {len(rows) + 1}: {error}") from error
    return rows


def page(rows: list[Row]) -> str:
    return ""


def brief(row: Row) -> str:
    """One line of a row."""
    known = {name: value for name, value in row.items()
             if name.endswith("_ms") or name in ("failed", "ended", "reached", "took_s", "config_bytes")}
    said = ", ".join(f"{name} {value}" for name, value in known.items())
    return f"{row['gateways']} gateways, {row['step']}: {said}"
