"""Packages in the deploy file: their names, the programs that `build` and the roles call, and the interpreter."""

from __future__ import annotations

import ast
import re
import sys
import tomllib
from pathlib import Path

import pytest

from oakvale.config import deploy, packages
from oakvale.config.toml_table import BadFile

ROOT = Path(__file__).parent.parent
DEPLOY_FILE = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
SEPARATELY_PACKAGED_MODULES = set(packages.PACKAGE_BY_MODULE) | {"idlelib", "turtle", "_gdbm", "dbm"}
"""Modules of the standard library that Debian ships neither in python3 nor in its dependencies."""
DEVELOPMENT_PACKAGES = ("lab", "demo")  # not run on production machines


def deploy_file_with(**fields: object) -> dict[str, object]:
    """Returns the deploy file of the system with the given fields replaced."""
    return {**DEPLOY_FILE, **fields}


@pytest.mark.parametrize(
    "build, program",
    [
        ("gcc -c x.c", "gcc"),
        ("mkdir -p target && python3 -m pip -V", "mkdir"),
        ("if true; then make; fi", "make"),
        ("X=1 curl -o f", "curl"),
        ("true | (git log)", "git"),
        ("python3.9 -V", "python3.9"),
        ("/opt/bin/tool", "/opt/bin/tool"),
        ("python3 -m venv target/env", "python3-venv"),
        ("python3 -m pip -V >target/log; unheard-of", "unheard-of"),
    ],
)
def test_program_of_no_listed_package_is_rejected(build: str, program: str) -> None:
    with pytest.raises(BadFile, match=rf"build: .*{re.escape(program)}"):
        deploy.decode(deploy_file_with(build=build))


def test_build_line_needs_every_listed_package() -> None:
    listed = DEPLOY_FILE["packages"]
    assert deploy.decode(DEPLOY_FILE).packages == tuple(listed)
    for left_out in ("python3", "python3-pip"):
        with pytest.raises(BadFile, match="build: "):
            deploy.decode(deploy_file_with(packages=[name for name in listed if name != left_out]))


def test_role_may_run_only_programs_of_listed_packages() -> None:
    roles = {**DEPLOY_FILE["roles"], "sluice": {**DEPLOY_FILE["roles"]["sluice"], "run": "node gateway.js"}}
    with pytest.raises(BadFile, match=r"\[roles.sluice\] run: 'node' is not provided by any listed package"):
        deploy.decode(deploy_file_with(roles=roles))


@pytest.mark.parametrize(
    "listed, expected_error",
    [
        (None, "packages is not understood"),
        ("python3", "packages is not understood"),
        ([3], "packages holds what is not a text"),
        (["Python3"], "packages holds what is no package's name: 'Python3'"),
        (["python3", "python3-pip=23.0"], "packages holds what is no package's name: 'python3-pip=23.0'"),
        (["python3", "python3-pip", "python3"], "packages names a package twice"),
        (["python3.9", "python3-pip"], "build: 'python3' is not provided by any listed package"),
    ],
)
def test_malformed_package_list_is_rejected(listed: object, expected_error: str) -> None:
    with pytest.raises(BadFile, match=re.escape(expected_error)):
        deploy.decode(deploy_file_with(packages=listed))


def test_package_list_is_required() -> None:
    with pytest.raises(BadFile, match="packages is missing"):
        deploy.decode({name: value for name, value in DEPLOY_FILE.items() if name != "packages"})


@pytest.mark.parametrize("version", [(3, 9), (3, 10), (3, 15), (4, 0)])
def test_unsupported_installed_interpreter_is_rejected(
    version: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(packages, "installed_python", lambda _: version)
    with pytest.raises(BadFile, match=r"packages: python3 is Python \d\.\d+: 3\.11 to 3\.14 is supported"):
        deploy.decode(DEPLOY_FILE)


@pytest.mark.parametrize("package", ["python3.10", "python3.15-minimal"])
def test_unsupported_versioned_interpreter_is_rejected(package: str) -> None:
    with pytest.raises(packages.UnsupportedPython, match=package):
        packages.check_python([package])


def test_oldest_supported_version_matches_pyproject() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    assert project["requires-python"] == f">={'.'.join(map(str, packages.OLDEST_PYTHON))}"


def test_roles_import_no_module_that_debian_packages_separately() -> None:
    for path in (ROOT / "oakvale").rglob("*.py"):
        if path.relative_to(ROOT / "oakvale").parts[0] in DEVELOPMENT_PACKAGES:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            names = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
            names += [node.module] if isinstance(node, ast.ImportFrom) and node.module else []
            for name in (name.partition(".")[0] for name in names):
                assert not (name in sys.stdlib_module_names and name in SEPARATELY_PACKAGED_MODULES), f"{path}: {name}"


def test_commands_of_shell_script() -> None:
    script = "[ a -nt b ] || X=1 python3 -m pip -q >log 2>&1; if true; then\n ls | wc; fi"
    programs = [words[0] for words in packages.commands_of(script)]
    assert programs == ["[", "python3", "true", "ls", "wc", "fi"]
