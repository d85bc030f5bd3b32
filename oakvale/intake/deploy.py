"""The deploy file (`deploy/system.toml`), checked: what is built, and which role runs on which machines.

The operators' platform reads it; no process of the system does. A role's unknown field is refused, as a misspelt
one would be passed over without a word.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

FIELDS = ("run", "on", "share", "count", "serves", "apart")
SERVED = ("edge", "ctl")
MOST = 2  # roles on a machine
NO_PROGRAMS = ("sh", "bash", "dash", "zsh", "env", "npx")  # shells and helpers


class BadDeploy(Exception):
    """One line: the file, the place, the field, what is wrong with it."""


@dataclass(slots=True, frozen=True)
class Role:
    name: str
    run: tuple[str, ...]
    on: str
    share: float | None
    count: int | None
    serves: tuple[str, ...]
    apart: bool

    def machines(self) -> str:
        many = f"{self.count} of a zone" if self.count is not None else f"a share of {self.share:g} of a zone"
        return f"{many}, from its {'end' if self.apart else 'start'}"


@dataclass(slots=True, frozen=True)
class Deploy:
    build: str
    roles: tuple[Role, ...]


def load(path: str) -> Deploy:
    try:
        data = tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise BadDeploy(f"{path}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise BadDeploy(f"{path}: not TOML: {error}") from error
    try:
        return decode(data)
    except BadDeploy as error:
        raise BadDeploy(f"{path}: {error}") from error


def decode(data: dict[str, Any]) -> Deploy:
    build, tables = data.get("build"), data.get("roles")
    if not isinstance(build, str) or not build.strip():
        raise BadDeploy("build is missing or no text")
    if not isinstance(tables, dict) or not tables:
        raise BadDeploy("[roles] holds no role")
    roles = tuple(_role(name, table) for name, table in tables.items())
    classes: dict[str, list[Role]] = {}
    for role in roles:
        others = classes.setdefault(role.on, [])
        for other in others:
            if both := set(role.serves) & set(other.serves):
                raise BadDeploy(f"[roles.{role.name}] serves {min(both)!r} on {role.on}, as [roles.{other.name}] does")
        others.append(role)
        if len(others) > MOST:
            raise BadDeploy(f"[roles.{role.name}] on: {role.on} has {MOST} roles already")
    for what in SERVED:
        if not any(what in role.serves for role in roles):
            raise BadDeploy(f"[roles] no role serves {what!r}")
    return Deploy(build, roles)


def _role(name: str, table: Any) -> Role:
    place = f"[roles.{name}]"
    if not isinstance(table, dict):
        raise BadDeploy(f"{place} is not a table")
    if odd := [field for field in table if field not in FIELDS]:
        raise BadDeploy(f"{place} {odd[0]} is not known (there are {', '.join(FIELDS)})")
    for field in ("run", "on"):
        if not isinstance(table.get(field), str) or not table[field].strip():
            raise BadDeploy(f"{place} {field} is missing or no text")
    run = tuple(table["run"].split(" "))
    if "" in run:
        raise BadDeploy(f"{place} run has a space too many: it is split at each")
    if run[0].rpartition("/")[2] in NO_PROGRAMS:
        raise BadDeploy(f"{place} run: {run[0]!r} is a shell or a helper, not the program")
    share, count = table.get("share"), table.get("count")
    if (share is None) == (count is None):
        raise BadDeploy(f"{place} needs one of share and count")
    if share is not None and (isinstance(share, bool) or not isinstance(share, (int, float)) or not 0 < share <= 1):
        raise BadDeploy(f"{place} share is not over 0 and up to 1: {share!r}")
    if count is not None and (isinstance(count, bool) or not isinstance(count, int) or count < 1):
        raise BadDeploy(f"{place} count is not a whole number from 1 on: {count!r}")
    serves, apart = table.get("serves", []), table.get("apart", False)
    if not isinstance(serves, list) or any(what not in SERVED for what in serves):
        raise BadDeploy(f"{place} serves is not a list of {' and '.join(SERVED)}: {serves!r}")
    if not isinstance(apart, bool):
        raise BadDeploy(f"{place} apart is neither true nor false: {apart!r}")
    return Role(name, run, table["on"], None if share is None else float(share), count, tuple(serves), apart)
