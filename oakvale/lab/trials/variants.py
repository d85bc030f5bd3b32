"""Variants of the code: module constants and functions that are exchanged for a run.

`set` gives a name a value (`"oakvale.gauge.service.DUTIES" = 8`), `swap` puts another object there by its dotted name,
which is how a fix is taken out: a function of the laboratory stands for the one that has it. A name that other modules
have imported from its home is set there as well, or the change would reach only some of its readers.
"""

from __future__ import annotations

import importlib
import sys
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field


ROLES = ("oakvale.headworks.process", "oakvale.sluice.process", "oakvale.intake.model")


class Spec(BaseModel):
    """A variant as a file gives it."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,39}$")]
    why: str = ""
    set: dict[str, Any] = {}
    swap: dict[str, str] = {}


class BadVariant(Exception):
    """One line: the variant, the name, what is wrong with it."""


def found(dotted: str) -> tuple[Any, str]:
    """The module or class that holds a name, and the name within it; raises BadVariant."""
    parts = dotted.split(".")
    if parts[0] != "oakvale":
        raise BadVariant(f"{dotted}: no name of oakvale's")
    for cut in range(len(parts) - 1, 0, -1):
        home = ".".join(parts[:cut])
        try:
            holder: Any = importlib.import_module(home)
        except ModuleNotFoundError as error:
            if error.name and (home + ".").startswith(error.name + "."):
                continue
            raise
        for step in parts[cut:-1]:
            if not hasattr(holder, step):
                raise BadVariant(f"{dotted}: {home} has no {step}")
            holder = getattr(holder, step)
        if not hasattr(holder, parts[-1]):
            raise BadVariant(f"{dotted}: {'.'.join(parts[:-1])} has no {parts[-1]}")
        return holder, parts[-1]
    raise BadVariant(f"{dotted}: no such module")


def like(old: Any, new: Any) -> bool:
    """Whether a value may stand where another was: kinds agree, and a whole number will do for a fraction."""
    if isinstance(old, bool) or isinstance(new, bool):
        return isinstance(old, bool) and isinstance(new, bool)
    if isinstance(old, (int, float)):
        return isinstance(new, (int, float)) and (isinstance(old, float) or isinstance(new, int))
    return old is None or isinstance(new, type(old))


def patches(spec: Spec) -> dict[str, Any]:
    """Dotted name -> what stands there for the run; raises BadVariant."""
    for role in ROLES:  # whoever reads a name has to be there to be found
        importlib.import_module(role)
    whole: dict[str, Any] = {}
    for dotted, value in spec.set.items():
        holder, name = found(dotted)
        old = getattr(holder, name)
        value = tuple(value) if isinstance(value, list) and isinstance(old, tuple) else value
        if not like(old, value):
            raise BadVariant(f"variants.{spec.name}.set.{dotted}: {value!r} is not like {old!r}")
        whole[dotted] = value
    for dotted, other in spec.swap.items():
        holder, name = found(dotted)
        there, its = found(other)
        old, new = getattr(holder, name), getattr(there, its)
        if callable(old) != callable(new):
            raise BadVariant(f"variants.{spec.name}.swap.{dotted}: {other} is not like it")
        whole[dotted] = new
    for dotted in list(whole):
        whole.update({also: whole[dotted] for also in readers(dotted) if also not in whole})
    return whole


def readers(dotted: str) -> list[str]:
    """The same object under the same name in other modules that are loaded, where it was imported from its home.

    Small numbers are one object everywhere, so a module counts only if it holds its home or the name is none of its
    own: modules say `from home import NAME`, which leaves no trace but the name and the object."""
    holder, name = found(dotted)
    home = dotted.rpartition(".")[0]
    if sys.modules.get(home) is not holder:
        return []  # a class: whoever has the class has the change
    old = getattr(holder, name)
    return [f"{other}.{name}" for other, module in sorted(sys.modules.items())
            if other.startswith("oakvale.") and other != home and not other.startswith("oakvale.lab.")
            and _imports(module, home, name) and getattr(module, name, None) is old]


def _imports(module: Any, home: str, name: str) -> bool:
    import ast
    import inspect

    try:
        tree = ast.parse(inspect.getsource(module))
    except (OSError, TypeError):
        return False
    return any(isinstance(node, ast.ImportFrom) and node.module == home
               and any(alias.name == name and alias.asname is None for alias in node.names)
               for node in ast.walk(tree))
