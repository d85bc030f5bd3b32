"""The deploy file (`deploy/system.toml`), checked: what is built, and which role runs on which machines.

The operators' platform reads it; no process of the system does. A role's unknown field is refused, as a misspelt
one would be passed over without a word.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from oakvale.config import packages
from oakvale.config.toml_table import BadFile, Table, read

FIELDS = ("run", "on", "share", "count", "serves", "apart")
SERVED = ("edge", "ctl")
MOST = 2  # roles on a machine
NO_PROGRAMS = ("sh", "bash", "dash", "zsh", "env", "npx")  # shells and helpers


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
    return read(path, decode)


def decode(data: dict[str, Any]) -> Deploy:
    whole = Table(data, "")
    build, tables = whole.text("build"), whole.table("roles")
    if not tables.keys():
        raise whole.wrong("[roles]", "holds no role")
    roles = tuple(_role(name, tables.table(name)) for name in tables.keys())
    classes: dict[str, list[Role]] = {}
    for role in roles:
        others = classes.setdefault(role.on, [])
        for other in others:
            if both := set(role.serves) & set(other.serves):
                raise BadFile(f"[roles.{role.name}] serves {min(both)!r} on {role.on}, as [roles.{other.name}] does")
        others.append(role)
        if len(others) > MOST:
            raise BadFile(f"[roles.{role.name}] on: {role.on} has {MOST} roles already")
    for what in SERVED:
        if not any(what in role.serves for role in roles):
            raise BadFile(f"[roles] no role serves {what!r}")
    return Deploy(build, *_packages(whole, build, roles), roles)


def _packages(whole: Table, build: str, roles: tuple[Role, ...]) -> tuple[tuple[str, ...], str]:
    """The list, and one line on the interpreter that it brings.

    Raises BadFile where the list is not one, or lacks what `build` or a role calls.
    """
    whole.get("packages", list)
    listed = whole.texts("packages")
    if odd := [name for name in listed if not packages.is_name(name)]:
        raise whole.wrong("packages", f"holds what is no package's name: {odd[0]!r}")
    if len(set(listed)) < len(listed):
        raise whole.wrong("packages", "names a package twice")
    try:
        packages.check_commands(packages.commands_of(build), listed)
    except ValueError as error:
        raise whole.wrong("build:", f"is no command of a shell: {error}") from error
    except packages.Unlisted as error:
        raise whole.wrong("build:", str(error)) from error
    for role in roles:
        try:
            packages.check_commands([role.run], listed)
        except packages.Unlisted as error:
            raise BadFile(f"[roles.{role.name}] run: {error}") from error
    try:
        return listed, packages.check_python(listed)
    except packages.UnsupportedPython as error:
        raise whole.wrong("packages:", str(error)) from error


def _role(name: str, table: Table) -> Role:
    if odd := [field for field in table.keys() if field not in FIELDS]:
        raise table.wrong(odd[0], f"is not known (there are {', '.join(FIELDS)})")
    run, on = tuple(table.text("run").split(" ")), table.text("on")
    if "" in run:
        raise table.wrong("run", "has a space too many: it is split at each")
    if run[0].rpartition("/")[2] in NO_PROGRAMS:
        raise table.wrong("run:", f"{run[0]!r} is a shell or a helper, not the program")
    share, count = table.get("share", (int, float), None), table.get("count", int, None)
    if (share is None) == (count is None):
        raise table.wrong("needs", "one of share and count")
    if share is not None and not 0 < share <= 1:
        raise table.wrong("share", f"is not over 0 and up to 1: {share!r}")
    if count is not None and count < 1:
        raise table.wrong("count", f"is not a whole number from 1 on: {count!r}")
    serves, apart = table.texts("serves"), table.get("apart", bool, False)
    if any(what not in SERVED for what in serves):
        raise table.wrong("serves", f"is not a list of {' and '.join(SERVED)}: {list(serves)!r}")
    return Role(name, run, on, None if share is None else float(share), count, serves, apart)
