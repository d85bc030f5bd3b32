"""System packages of the deploy file, in Debian's names: what each brings, and what `build` and the roles call of it.

A machine that runs the system has the packages that the file lists and nothing else. What a listed package pulls in by
its own dependencies (the standard library and libsqlite3 with `python3`, the certificates with `python3-pip`) counts as
brought; the sources are Debian's package lists of bookworm and trixie.
"""

from __future__ import annotations

import re
import shlex
import shutil
import subprocess
from collections.abc import Iterable, Sequence

NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+\Z")  # Debian policy manual, 5.6.1
VERSIONED_PYTHON = re.compile(r"python3\.(\d+)(-minimal)?\Z")

OLDEST_PYTHON = (3, 11)  # pyproject.toml, requires-python
NEWEST_PYTHON = (3, 14)  # the newest for which each pinned requirement has a wheel: no compiler is listed

SHELL_BUILTINS = frozenset(
    "! . : [ alias bg break case cd command continue do done echo elif else esac eval exec exit export false fg fi for "
    "getopts hash if in jobs kill local printf pwd read readonly return set shift test then times trap true type "
    "ulimit umask unalias unset until wait while { }".split()
)
KEYWORDS = frozenset("! do else elif if then until while {".split())
"""Words of the shell behind which a command begins."""
PROGRAMS = {
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
"""Programs that a package brings, for the packages that a build is likely to call."""
MODULES = {
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
"""Modules run with `python3 -m` that `python3` alone does not bring, with the package that does."""


class UnlistedCommand(Exception):
    """A command needs what no listed package brings. One line, naming the command."""


class UnsupportedPython(Exception):
    """A listed package brings an interpreter for which the system is not made. One line, naming the package."""


def is_name(text: str) -> bool:
    return NAME.match(text) is not None


def check_commands(commands: Iterable[Sequence[str]], packages: Sequence[str]) -> None:
    """Each command is a program with its arguments. Raises UnlistedCommand."""
    listed = set(packages)
    for words in commands:
        program = words[0]
        if program in SHELL_BUILTINS:
            continue
        if "/" in program:
            raise UnlistedCommand(f"{program!r} is named by its path, so no listed package can be shown to bring it")
        if not any(program in _programs(package) for package in listed):
            raise UnlistedCommand(f"{program!r} is brought by no listed package{_advice(program)}")
        module = _module(words)
        if module in MODULES and MODULES[module] not in listed:
            raise UnlistedCommand(f"'{program} -m {module}' needs {MODULES[module]}, which is not listed")


def commands_of(script: str) -> list[list[str]]:
    """The simple commands of a shell script of one line or more, without assignments, redirections and keywords.

    Raises ValueError where the script's quotes are not closed.
    """
    lexer = shlex.shlex(script, posix=True, punctuation_chars=";&|()<>\n")
    lexer.whitespace = " \t"
    lexer.whitespace_split = True
    found: list[list[str]] = [[]]
    redirected = False
    for word in lexer:
        if set(word) <= set(";&|()\n"):
            found.append([])
        elif set(word) <= set("<>&"):
            redirected = True
        elif redirected:
            redirected = False
        elif not found[-1] and (_assigns(word) or word in KEYWORDS):
            continue
        else:
            found[-1].append(word)
    return [words for words in found if words]


def installed_python(package: str) -> tuple[int, int] | None:
    """The version of Python that this machine's package database has for a package; None where it can't be told."""
    if shutil.which("dpkg-query") is None:
        return None
    asked = ["dpkg-query", "--show", "--showformat", "${Version}", package]
    answer = subprocess.run(asked, capture_output=True, text=True, timeout=10)
    return _python_version(answer.stdout) if answer.returncode == 0 else None


def check_python(packages: Sequence[str]) -> str:
    """One line on the interpreter that the list brings. Raises UnsupportedPython."""
    supported = f"{_dotted(OLDEST_PYTHON)} to {_dotted(NEWEST_PYTHON)}"
    for package in packages:
        if named := VERSIONED_PYTHON.match(package):
            version: tuple[int, int] | None = (3, int(named[1]))
        elif package in ("python3", "python3-minimal"):
            version = installed_python(package)
        else:
            continue
        if version is None:
            return f"{package} is the distribution's own version: {supported} is supported"
        if not OLDEST_PYTHON <= version <= NEWEST_PYTHON:
            raise UnsupportedPython(f"{package} is Python {_dotted(version)}: {supported} is supported")
        return f"{package} is Python {_dotted(version)} here: {supported} is supported"
    raise UnsupportedPython(f"no package brings an interpreter: python3 ({supported}) is needed")


def _programs(package: str) -> list[str]:
    if VERSIONED_PYTHON.match(package):
        return [package.removesuffix("-minimal")]
    return PROGRAMS.get(package, "").split()


def _advice(program: str) -> str:
    bringing = sorted(package for package in PROGRAMS if program in _programs(package))
    return f" ({' or '.join(bringing)} would)" if bringing else ""


def _module(words: Sequence[str]) -> str | None:
    if not words[0].startswith("python3") or "-m" not in words[1:-1]:
        return None
    return words[words.index("-m") + 1].partition(".")[0]


def _assigns(word: str) -> bool:
    return re.match(r"[A-Za-z_]\w*=", word) is not None


def _python_version(text: str) -> tuple[int, int] | None:
    found = re.match(r"(?:\d+:)?(\d+)\.(\d+)", text)
    return (int(found[1]), int(found[2])) if found else None


def _dotted(version: tuple[int, int]) -> str:
    return ".".join(map(str, version))
