"""Imports follow the order of the layers, including those inside functions and for type checking."""

from __future__ import annotations

import ast
import tomllib
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# a package imports only from itself and from the lines above; packages on one line do not import each other
LAYERS = (
    ("__init__",),
    ("interface", "numbers"),
    ("settings", "retry_budget"),
    ("class_latency",),
    ("policy_records",),
    ("latency_statistics",),
    ("base", "policy"),
    ("memory",),
    ("wire",),
    ("shared",),
    ("driver",),
    ("host",),
    ("lifecycle", "adapter", "drains"),
    ("config",),  # from here on: the distributed system
    ("transport", "storage"),
    ("dissemination",),
    ("failover",),
    ("election",),
    ("ratelimit",),
    ("loadbalancing",),
    ("coordination",),
    ("controlplane", "dataplane"),
    ("demo", "lab"),
    ("cli",),
    ("__main__",),
)
LAYER_INDEX = {package: level for level, packages in enumerate(LAYERS) for package in packages}
FILES = {
    ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): path
    for path in sorted((ROOT / "oakvale").rglob("*.py"))
}


def imported_modules(name: str) -> set[str]:
    """Returns the modules of oakvale that a module imports anywhere in its source."""
    found = set()
    for node in ast.walk(ast.parse(FILES[name].read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{name}: imports are absolute"
            inner = {f"{node.module}.{alias.name}" for alias in node.names}
            found |= {module if module in FILES else str(node.module) for module in inner}
    return found & FILES.keys()


def top_level_part(module: str) -> str:
    """Returns the top-level package or file of oakvale that contains a module."""
    return (module.split(".") + ["__init__"])[1]


@pytest.mark.parametrize("name", FILES)
def test_imports_follow_the_layers(name: str) -> None:
    assert top_level_part(name) in LAYER_INDEX, "add the new package to LAYERS"
    upwards = {
        other
        for other in imported_modules(name)
        if top_level_part(other) != top_level_part(name)
        and LAYER_INDEX[top_level_part(other)] >= LAYER_INDEX[top_level_part(name)]
    }
    assert not upwards


def test_imports_have_no_cycle() -> None:
    TopologicalSorter({name: imported_modules(name) for name in FILES}).prepare()


@pytest.mark.parametrize(
    "name", [name for name, path in FILES.items() if path.stem == "__init__" and name != "oakvale"]
)
def test_package_docstring_states_what_it_owns(name: str) -> None:
    """Three sentences: what it owns, what it must not do, where to begin reading."""
    text = ast.get_docstring(ast.parse(FILES[name].read_text())) or ""
    *_, last = sentences = " ".join(text.split()).split(". ")
    assert len(sentences) == 3 and last.startswith("Begin with `")


def test_deploy_file_lists_every_module_of_the_gateway() -> None:
    """The deploy file must list every file of the running gateway, or operators would review an incomplete set."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    named, pending, seen = (*deploy["node"], *deploy["policy"]), ["oakvale.lifecycle.serving"], set[str]()
    while pending:
        seen.add(name := pending.pop())
        pending += imported_modules(name) - seen
    files = {str(FILES[name].relative_to(ROOT)) for name in seen}
    assert len(files) > 30 and not {file for file in files if not file.startswith(named)}
