"""The deploy file (`deploy/system.toml`), checked: what is built, and which role runs on which machines.

The operators' platform reads it; no process of the system does. A role's unknown field is refused, as a misspelt
one would be passed over without a word.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from oakvale.config import packages
from oakvale.config.toml_table import BadFile, Table, read_toml

ROLE_FIELDS = ("run", "on", "share", "count", "serves", "apart")
SERVED_INTERFACES = ("edge", "ctl")
MAX_ROLES_PER_CLASS = 2  # roles on a machine
SHELLS_AND_WRAPPERS = ("sh", "bash", "dash", "zsh", "env", "npx")  # shells and helpers


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
    packages: tuple[str, ...]
    python: str  # one line on the interpreter that the packages bring
    roles: tuple[Role, ...]


def load(path: str) -> Deploy:
    """Raises BadFile."""
    return read_toml(path, decode)


def decode(data: dict[str, Any]) -> Deploy:
    whole = Table(data, "")
    build, tables = whole.string("build"), whole.table("roles")
    if not tables.keys():
        raise whole.field_error("[roles]", "holds no role")
    roles = tuple(_role(name, tables.table(name)) for name in tables.keys())
    classes: dict[str, list[Role]] = {}
    for role in roles:
        others = classes.setdefault(role.on, [])
        for other in others:
            if both := set(role.serves) & set(other.serves):
                raise BadFile(f"[roles.{role.name}] serves {min(both)!r} on {role.on}, as [roles.{other.name}] does")
        others.append(role)
        if len(others) > MAX_ROLES_PER_CLASS:
            raise BadFile(f"[roles.{role.name}] on: {role.on} has {MAX_ROLES_PER_CLASS} roles already")
    for what in SERVED_INTERFACES:
        if not any(what in role.serves for role in roles):
            raise BadFile(f"[roles] no role serves {what!r}")
    return Deploy(build, *_packages(whole, build, roles), roles)


def _packages(whole: Table, build: str, roles: tuple[Role, ...]) -> tuple[tuple[str, ...], str]:
    """The list, and one line on the interpreter that it brings.

    Raises BadFile where the list is not one, or lacks what `build` or a role calls.
    """
    whole.get("packages", list)
    listed = whole.strings("packages")
    if odd := [name for name in listed if not packages.is_name(name)]:
        raise whole.field_error("packages", f"holds what is no package's name: {odd[0]!r}")
    if len(set(listed)) < len(listed):
        raise whole.field_error("packages", "names a package twice")
    try:
        packages.check_commands(packages.commands_of(build), listed)
    except ValueError as error:
        raise whole.field_error("build:", f"is no command of a shell: {error}") from error
    except packages.UnlistedCommand as error:
        raise whole.field_error("build:", str(error)) from error
    for role in roles:
        try:
            packages.check_commands([role.run], listed)
        except packages.UnlistedCommand as error:
            raise BadFile(f"[roles.{role.name}] run: {error}") from error
    try:
        return listed, packages.check_python(listed)
    except packages.UnsupportedPython as error:
        raise whole.field_error("packages:", str(error)) from error


def _role(name: str, table: Table) -> Role:
    if odd := [field for field in table.keys() if field not in ROLE_FIELDS]:
        raise table.field_error(odd[0], f"is not known (there are {', '.join(ROLE_FIELDS)})")
    run, on = tuple(table.string("run").split(" ")), table.string("on")
    if "" in run:
        raise table.field_error("run", "has a space too many: it is split at each")
    if run[0].rpartition("/")[2] in SHELLS_AND_WRAPPERS:
        raise table.field_error("run:", f"{run[0]!r} is a shell or a helper, not the program")
    share, count = table.get("share", (int, float), None), table.get("count", int, None)
    if (share is None) == (count is None):
        raise table.field_error("needs", "one of share and count")
    if share is not None and not 0 < share <= 1:
        raise table.field_error("share", f"is not over 0 and up to 1: {share!r}")
    if count is not None and count < 1:
        raise table.field_error("count", f"is not a whole number from 1 on: {count!r}")
    serves, apart = table.strings("serves"), table.get("apart", bool, False)
    if any(what not in SERVED_INTERFACES for what in serves):
        raise table.field_error("serves", f"is not a list of {' and '.join(SERVED_INTERFACES)}: {list(serves)!r}")
    return Role(name, run, on, None if share is None else float(share), count, serves, apart)
