"""Variants of the code: module constants and functions that are exchanged for a run.

`set` gives a name a value (`"oakvale.ratelimit.service.DUTY_COUNT" = 8`), `swap` puts another object there by its
dotted name, which is how a fix is taken out: a function of the laboratory stands for the one that has it. What follows
from a change changes with it, as if the source had been edited: without that it would reach only
some of those who read the name.
"""

from __future__ import annotations

import ast
import importlib
import inspect
import sys
from functools import cache
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field

ROLES = ("oakvale.controlplane.process", "oakvale.dataplane.process", "oakvale.config.model")


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
    return Spread(whole).whole


class Spread:
    """What follows from names that have other values now, as if their modules had been written so: the same names in
    modules that import them, constants reckoned from them, and defaults of arguments, which Python binds once."""

    def __init__(self, whole: dict[str, Any]) -> None:
        self.whole = dict(whole)
        self._trees = {
            name: tree
            for name, module in sorted(sys.modules.items())
            if name.startswith("oakvale.")
            and not name.startswith("oakvale.lab")
            and (tree := _tree(module)) is not None
        }
        before = -1
        while before < len(self.whole):
            before = len(self.whole)
            for module, tree in self._trees.items():
                self._module(module, tree)

    def _module(self, module: str, tree: ast.Module) -> None:
        here = {}  # names of this module that have another value
        for node in tree.body:
            if isinstance(node, ast.ImportFrom):
                for alias in node.names:
                    if (home := f"{node.module}.{alias.name}") in self.whole:
                        here[alias.asname or alias.name] = self.whole[home]
                        self.whole.setdefault(f"{module}.{alias.asname or alias.name}", self.whole[home])
            elif isinstance(node, (ast.Assign, ast.AnnAssign)):
                targets = node.targets if isinstance(node, ast.Assign) else [node.target]
                for target in targets:
                    if not isinstance(target, ast.Name):
                        continue
                    dotted = f"{module}.{target.id}"
                    if dotted not in self.whole and node.value is not None and _names(node.value) & here.keys():
                        self.whole[dotted] = self._reckoned(module, node.value, here)
                    if dotted in self.whole:
                        here[target.id] = self.whole[dotted]
            elif isinstance(node, (ast.FunctionDef, ast.ClassDef)):
                self._defaults(module, node, module, here)

    def _defaults(self, place: str, node: ast.FunctionDef | ast.ClassDef, module: str, here: dict[str, Any]) -> None:
        own = f"{place}.{node.name}"
        if isinstance(node, ast.ClassDef):
            for part in node.body:
                if isinstance(part, (ast.FunctionDef, ast.ClassDef)):
                    self._defaults(own, part, module, here)
                elif isinstance(part, (ast.Assign, ast.AnnAssign)) and part.value and _names(part.value) & here.keys():
                    raise BadVariant(f"{own}: a field's default hangs on {min(_names(part.value) & here.keys())}")
            return
        values = node.args.defaults
        if own not in self.whole and any(_names(value) & here.keys() for value in values):
            self.whole[f"{own}.__defaults__"] = tuple(self._reckoned(module, value, here) for value in values)

    def _reckoned(self, module: str, value: ast.expr, here: dict[str, Any]) -> Any:
        text = compile(ast.Expression(value), module, "eval")
        return eval(text, {**vars(sys.modules[module]), **here})


@cache
def _tree(module: Any) -> ast.Module | None:
    try:
        return ast.parse(inspect.getsource(module))
    except (OSError, TypeError):
        return None


def _names(value: ast.expr) -> set[str]:
    return {node.id for node in ast.walk(value) if isinstance(node, ast.Name)}
