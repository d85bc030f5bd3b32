"""Checks that the Debian packages of the deploy file provide every program that `build` and the roles call.

A machine that runs the system has only the packages that the file lists, and their dependencies (the standard library
and libsqlite3 with `python3`, the certificates with `python3-pip`). The tables below follow the package lists of Debian
bookworm and trixie.
"""

from __future__ import annotations

import re
import shlex
import shutil
import subprocess
from collections.abc import Iterable, Sequence

PACKAGE_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+\Z")  # Debian policy manual, 5.6.1
VERSIONED_PYTHON = re.compile(r"python3\.(\d+)(-minimal)?\Z")

OLDEST_PYTHON = (3, 11)  # pyproject.toml, requires-python
NEWEST_PYTHON = (3, 14)  # the newest for which every pinned requirement has a wheel, as no compiler is listed

SHELL_BUILTINS = frozenset(
    "! . : [ alias bg break case cd command continue do done echo elif else esac eval exec exit export false fg fi for "
    "getopts hash if in jobs kill local printf pwd read readonly return set shift test then times trap true type "
    "ulimit umask unalias unset until wait while { }".split()
)
SHELL_KEYWORDS = frozenset("! do else elif if then until while {".split())
"""Shell keywords that a command follows."""
PROGRAMS_BY_PACKAGE = {
    "coreutils": "cat chmod cp cut date dirname env head install ln ls mkdir mktemp mv rm sort tail touch tr uniq wc",
    "curl": "curl",
    "findutils": "find xargs",
    "gcc": "cc gcc",
    "git": "git",
    "grep": "grep",
    "make": "make",
    "python3": "python3 pydoc3",
    "python3-minimal": "python3",
    "python3-pip": "pip pip3",
    "sed": "sed",
    "tar": "tar",
}
"""The programs of each package that a build is likely to call."""
PACKAGE_BY_MODULE = {
    "pip": "python3-pip",
    "venv": "python3-venv",
    "ensurepip": "python3-venv",
    "setuptools": "python3-setuptools",
    "wheel": "python3-wheel",
    "build": "python3-build",
    "tkinter": "python3-tk",
    "lib2to3": "python3-lib2to3",
    "distutils": "python3-distutils",
}
"""Modules that `python3` alone does not provide, and the package that does."""


class UnlistedCommand(Exception):
    """No listed package provides what a command needs; one line that names the command."""


class UnsupportedPython(Exception):
    """The interpreter of the listed packages is not supported; one line that names the package."""


def is_package_name(text: str) -> bool:
    """Tells whether a text is a valid Debian package name."""
    return PACKAGE_NAME.match(text) is not None


def check_commands(commands: Iterable[Sequence[str]], packages: Sequence[str]) -> None:
    """Checks commands, each a program with its arguments. Raises UnlistedCommand."""
    listed = set(packages)
    for words in commands:
        program = words[0]
        if program in SHELL_BUILTINS:
            continue
        if "/" in program:
            raise UnlistedCommand(f"{program!r} is named by its path, so it cannot be matched to a listed package")
        if not any(program in _programs(package) for package in listed):
            raise UnlistedCommand(f"{program!r} is not provided by any listed package{_advice(program)}")
        module = _module(words)
        if module in PACKAGE_BY_MODULE and PACKAGE_BY_MODULE[module] not in listed:
            raise UnlistedCommand(f"'{program} -m {module}' needs {PACKAGE_BY_MODULE[module]}, which is not listed")


def commands_of(script: str) -> list[list[str]]:
    """Returns the simple commands of a shell script, without assignments, redirections and keywords.

    Raises ValueError if the quotes of the script are not closed.
    """
    lexer = shlex.shlex(script, posix=True, punctuation_chars=";&|()<>\n")
    lexer.whitespace = " \t"
    lexer.whitespace_split = True
    commands: list[list[str]] = [[]]
    after_redirection = False
    for word in lexer:
        if set(word) <= set(";&|()\n"):
            commands.append([])
        elif set(word) <= set("<>&"):
            after_redirection = True
        elif after_redirection:
            after_redirection = False
        elif not commands[-1] and (_is_assignment(word) or word in SHELL_KEYWORDS):
            continue
        else:
            commands[-1].append(word)
    return [words for words in commands if words]


def installed_python(package: str) -> tuple[int, int] | None:
    """Returns the Python version of a package in the package database of this machine; None if it is unknown."""
    if shutil.which("dpkg-query") is None:
        return None
    query = ["dpkg-query", "--show", "--showformat", "${Version}", package]
    result = subprocess.run(query, capture_output=True, text=True, timeout=10)
    return _python_version(result.stdout) if result.returncode == 0 else None


def check_python(packages: Sequence[str]) -> str:
    """Describes the interpreter that the packages provide. Raises UnsupportedPython."""
    supported = f"{_dotted(OLDEST_PYTHON)} to {_dotted(NEWEST_PYTHON)}"
    for package in packages:
        if versioned := VERSIONED_PYTHON.match(package):
            version: tuple[int, int] | None = (3, int(versioned[1]))
        elif package in ("python3", "python3-minimal"):
            version = installed_python(package)
        else:
            continue
        if version is None:
            return f"{package} is the distribution's own version: {supported} is supported"
        if not OLDEST_PYTHON <= version <= NEWEST_PYTHON:
            raise UnsupportedPython(f"{package} is Python {_dotted(version)}: {supported} is supported")
        return f"{package} is Python {_dotted(version)} here: {supported} is supported"
    raise UnsupportedPython(f"no package provides an interpreter: python3 ({supported}) is needed")


def _programs(package: str) -> list[str]:
    if VERSIONED_PYTHON.match(package):
        return [package.removesuffix("-minimal")]
    return PROGRAMS_BY_PACKAGE.get(package, "").split()


def _advice(program: str) -> str:
    providers = sorted(package for package in PROGRAMS_BY_PACKAGE if program in _programs(package))
    return f" ({' or '.join(providers)} would)" if providers else ""


def _module(words: Sequence[str]) -> str | None:
    if not words[0].startswith("python3") or "-m" not in words[1:-1]:
        return None
    return words[words.index("-m") + 1].partition(".")[0]


def _is_assignment(word: str) -> bool:
    return re.match(r"[A-Za-z_]\w*=", word) is not None


def _python_version(text: str) -> tuple[int, int] | None:
    match = re.match(r"(?:\d+:)?(\d+)\.(\d+)", text)
    return (int(match[1]), int(match[2])) if match else None


def _dotted(version: tuple[int, int]) -> str:
    return ".".join(map(str, version))
