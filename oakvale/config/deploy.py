"""Checks the deploy file (`deploy/system.toml`): what is built, and which role runs on which machines.

The operators' platform reads this file; no process of the system does. An unknown field of a role is rejected,
because ignoring it would hide a misspelt one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from oakvale.config import packages
from oakvale.config.toml_table import BadFile, Table, read_toml

ROLE_FIELDS = ("run", "on", "share", "count", "serves", "apart")
SERVED_INTERFACES = ("edge", "ctl")
MAX_ROLES_PER_CLASS = 2  # of one class of machines
SHELLS_AND_WRAPPERS = ("sh", "bash", "dash", "zsh", "env", "npx")


@dataclass(slots=True, frozen=True)
class Role:
    """A role: its command line, and the class and number of machines that run it."""

    name: str
    run: tuple[str, ...]
    on: str  # class of machines
    share: float | None  # of the machines of a zone; exactly one of share and count is set
    count: int | None  # machines of a zone
    serves: tuple[str, ...]
    apart: bool  # machines are taken from the end of the zone's list

    def machines(self) -> str:
        """Describes which machines of a zone run the role."""
        amount = f"{self.count} of a zone" if self.count is not None else f"a share of {self.share:g} of a zone"
        return f"{amount}, from its {'end' if self.apart else 'start'}"


@dataclass(slots=True, frozen=True)
class Deploy:
    """The checked contents of the deploy file."""

    build: str
    packages: tuple[str, ...]
    python: str  # describes the interpreter that the packages provide
    roles: tuple[Role, ...]


def load(path: str) -> Deploy:
    """Reads and checks the deploy file. Raises BadFile."""
    return read_toml(path, decode)


def decode(data: dict[str, Any]) -> Deploy:
    """Checks the parsed TOML. Raises BadFile."""
    root = Table(data, "")
    build, tables = root.string("build"), root.table("roles")
    if not tables.keys():
        raise root.field_error("[roles]", "holds no role")
    roles = tuple(_role(name, tables.table(name)) for name in tables.keys())
    roles_by_class: dict[str, list[Role]] = {}
    for role in roles:
        others = roles_by_class.setdefault(role.on, [])
        for other in others:
            if shared := set(role.serves) & set(other.serves):
                raise BadFile(f"[roles.{role.name}] serves {min(shared)!r} on {role.on}, as [roles.{other.name}] does")
        others.append(role)
        if len(others) > MAX_ROLES_PER_CLASS:
            raise BadFile(f"[roles.{role.name}] on: {role.on} has {MAX_ROLES_PER_CLASS} roles already")
    for interface in SERVED_INTERFACES:
        if not any(interface in role.serves for role in roles):
            raise BadFile(f"[roles] no role serves {interface!r}")
    return Deploy(build, *_packages(root, build, roles), roles)


def _packages(root: Table, build: str, roles: tuple[Role, ...]) -> tuple[tuple[str, ...], str]:
    """Returns the package list and a description of the interpreter that it provides.

    Raises BadFile if the list is malformed or lacks a program that `build` or a role calls.
    """
    root.get("packages", list)
    listed = root.strings("packages")
    if invalid := [name for name in listed if not packages.is_package_name(name)]:
        raise root.field_error("packages", f"holds what is no package's name: {invalid[0]!r}")
    if len(set(listed)) < len(listed):
        raise root.field_error("packages", "names a package twice")
    try:
        packages.check_commands(packages.commands_of(build), listed)
    except ValueError as error:
        raise root.field_error("build:", f"is not a valid shell command: {error}") from error
    except packages.UnlistedCommand as error:
        raise root.field_error("build:", str(error)) from error
    for role in roles:
        try:
            packages.check_commands([role.run], listed)
        except packages.UnlistedCommand as error:
            raise BadFile(f"[roles.{role.name}] run: {error}") from error
    try:
        return listed, packages.check_python(listed)
    except packages.UnsupportedPython as error:
        raise root.field_error("packages:", str(error)) from error


def _role(name: str, table: Table) -> Role:
    if unknown := [field for field in table.keys() if field not in ROLE_FIELDS]:
        raise table.field_error(unknown[0], f"is not known (known fields: {', '.join(ROLE_FIELDS)})")
    run, on = tuple(table.string("run").split(" ")), table.string("on")
    if "" in run:
        raise table.field_error("run", "has an empty argument: it is split at each space")
    if run[0].rpartition("/")[2] in SHELLS_AND_WRAPPERS:
        raise table.field_error("run:", f"{run[0]!r} is a shell or a wrapper, not the program")
    share, count = table.get("share", (int, float), None), table.get("count", int, None)
    if (share is None) == (count is None):
        raise table.field_error("needs", "one of share and count")
    if share is not None and not 0 < share <= 1:
        raise table.field_error("share", f"is not over 0 and up to 1: {share!r}")
    if count is not None and count < 1:
        raise table.field_error("count", f"is not a whole number from 1 on: {count!r}")
    serves, apart = table.strings("serves"), table.get("apart", bool, False)
    if any(interface not in SERVED_INTERFACES for interface in serves):
        raise table.field_error("serves", f"is not a list of {' and '.join(SERVED_INTERFACES)}: {list(serves)!r}")
    return Role(name, run, on, None if share is None else float(share), count, serves, apart)
