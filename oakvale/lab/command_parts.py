"""What the commands of the laboratory have in common: exit statuses, errors, a progress bar, types of arguments."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable

BROKEN = 1
INTERRUPTED = 130


class Wrong(Exception):
    """One line: the file or argument, the place, the field, what is wrong with it."""


class Failed(Exception):
    """One line: what could not be done, though nothing was wrong with what was asked."""


class Progress:
    """A bar on standard error, where that is a terminal."""

    def __init__(self, total: float, unit: str, quiet: bool) -> None:
        from tqdm import tqdm

        form = "{percentage:3.0f}%|{bar}| {n:.4g}/{total:.4g} {unit} [{elapsed}<{remaining}] {postfix}"
        self._bar = tqdm(total=total, unit=unit, disable=quiet or not sys.stderr.isatty(), leave=False, bar_format=form)

    def __enter__(self) -> Progress:
        return self

    def __exit__(self, *_: object) -> None:
        self._bar.close()

    def show(self, done: float, text: str = "") -> None:
        self._bar.n = done
        self._bar.set_postfix_str(text, refresh=False)
        self._bar.refresh()


def above(least: float) -> Callable[[str], float]:
    """A type of arguments: numbers above the least one."""

    def number(text: str) -> float:
        value = float(text)
        if not least < value < 1e9:
            raise argparse.ArgumentTypeError(f"not above {least:g}: {text}")
        return value

    return number


def whole_number(text: str) -> int:
    """A type of arguments: whole numbers from 1 on."""
    value = int(text)
    if value < 1:
        raise argparse.ArgumentTypeError(f"not a whole number from 1 on: {text}")
    return value
