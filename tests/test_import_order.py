"""Imports run one way, also those inside functions and those for types alone."""

from __future__ import annotations

import ast
import tomllib
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# each imports from those before it and from itself; what stands on one line knows nothing of its neighbours
ORDER = (
    ("__init__",),
    ("interface", "numbers"),
    ("settings", "retry_budget"),
    ("policy_records",),
    ("base", "policy"),
    ("memory",),
    ("wire",),
    ("shared",),
    ("driver",),
    ("host",),
    ("lifecycle", "adapter", "drains"),
    ("config",),  # from here on, the whole system
    ("transport", "storage"),
    ("dissemination",),
    ("failover",),
    ("election",),
    ("ratelimit",),
    ("loadbalancing",),
    ("controlplane", "dataplane"),
    ("demo", "lab"),
    ("cli",),
    ("__main__",),
)
LEVEL = {part: level for level, parts in enumerate(ORDER) for part in parts}
FILES = {
    ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): path
    for path in sorted((ROOT / "oakvale").rglob("*.py"))
}


def imported(name: str) -> set[str]:
    """The modules of ours that a module names in an import, wherever in it."""
    found = set()
    for node in ast.walk(ast.parse(FILES[name].read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{name}: imports are absolute"
            inner = {f"{node.module}.{alias.name}" for alias in node.names}
            found |= {x if x in FILES else str(node.module) for x in inner}
    return found & FILES.keys()


def part(module: str) -> str:
    """The package or file right under oakvale that a module belongs to."""
    return (module.split(".") + ["__init__"])[1]


@pytest.mark.parametrize("name", FILES)
def test_imports_run_one_way(name: str) -> None:
    assert part(name) in LEVEL, "a new part: say where it stands"
    upwards = {
        other for other in imported(name) if part(other) != part(name) and LEVEL[part(other)] >= LEVEL[part(name)]
    }
    assert not upwards


def test_no_circle() -> None:
    TopologicalSorter({name: imported(name) for name in FILES}).prepare()


@pytest.mark.parametrize(
    "name", [name for name, path in FILES.items() if path.stem == "__init__" and name != "oakvale"]
)
def test_a_package_says_what_it_owns(name: str) -> None:
    """What it owns, what it must not do, where to begin reading: three sentences."""
    text = ast.get_docstring(ast.parse(FILES[name].read_text())) or ""
    *_, last = sentences = " ".join(text.split()).split(". ")
    assert len(sentences) == 3 and last.startswith("Begin with `")


def test_the_deploy_file_names_all_that_the_gateway_in_service_is_made_of() -> None:
    """A file that was moved out of the driver was not named: the operators would have judged the gateway without it."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    named, left, seen = (*deploy["node"], *deploy["policy"]), ["oakvale.lifecycle.serving"], set[str]()
    while left:
        seen.add(name := left.pop())
        left += imported(name) - seen
    files = {str(FILES[name].relative_to(ROOT)) for name in seen}
    assert len(files) > 30 and not {file for file in files if not file.startswith(named)}
