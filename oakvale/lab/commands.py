"""`oakvale lab`: what the laboratory does, a word for each. Each command imports what it needs by itself.

A bad file or argument ends with 2 and one line that names file, place and field; an interrupted command leaves its
partial report and ends with 130; a broken rule that was found ends with 1.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from oakvale.lab.pump.tally import Tally

INTERRUPTED = 130


class Wrong(Exception):
    """One line: the file or argument, the place, the field, what is wrong with it."""


def load(args: argparse.Namespace) -> int:
    """Requests to URL at a steady rate, whatever the answers do; latency runs from when each was due."""
    from oakvale.lab.pump import drive
    from oakvale.lab.pump.target import BadTarget, target

    try:
        to = target(args.url, args.host)
        body = Path(args.body).read_bytes() if args.body else b""
    except BadTarget as error:
        raise Wrong(error) from error
    except OSError as error:
        raise Wrong(f"{args.body}: cannot be read: {error.strerror}") from error
    run = drive.Run(to, args.rate, args.seconds, args.count, args.arrivals, args.seed, args.connections,
                    not args.new_connections, args.limit, args.method, tuple(args.header), body, args.id_header)
    with Progress(args.seconds, "s", args.quiet) as bar:
        tally = drive.drive(run, lambda tally: bar.show(min(tally.elapsed / 1e6, args.seconds), _short(tally)))
    if args.json:
        _write(args.json, json.dumps(tally.told(), indent=1) + "\n")
    if args.json != "-":
        print("\n".join(tally.lines()))
    return INTERRUPTED if tally.partial else 0


def _short(tally: Tally) -> str:
    return f"{tally.due} due, {tally.done()} done"


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


def _write(path: str, text: str) -> None:
    if path == "-":
        sys.stdout.write(text)
        return
    try:
        Path(path).write_text(text)
    except OSError as error:
        raise Wrong(f"{path}: cannot be written: {error.strerror}") from error


def _over(least: float) -> Callable[[str], float]:
    def number(text: str) -> float:
        value = float(text)
        if not least < value < 1e9:
            raise argparse.ArgumentTypeError(f"not above {least:g}: {text}")
        return value
    return number


def _whole(text: str) -> int:
    value = int(text)
    if value < 1:
        raise argparse.ArgumentTypeError(f"not a whole number from 1 on: {text}")
    return value


def _header(text: str) -> tuple[str, str]:
    name, colon, value = text.partition(":")
    if not colon or not name or not name.isascii() or any(c.isspace() for c in name):
        raise argparse.ArgumentTypeError(f"not NAME: VALUE: {text}")
    return name, value.strip()


def parser() -> argparse.ArgumentParser:
    whole = argparse.ArgumentParser(prog="oakvale lab", description="The laboratory of oakvale.")
    commands = whole.add_subparsers(dest="command", required=True, metavar="COMMAND")

    def add(name: str, call: Callable[[argparse.Namespace], int], text: str) -> argparse.ArgumentParser:
        command = commands.add_parser(name, help=text, description=text)
        command.set_defaults(call=call)
        command.add_argument("--quiet", action="store_true", help="no progress bar")
        return command

    pump = add("load", load, "open-loop load on a loopback URL, with latencies from when each request was due")
    pump.add_argument("url", help="http://127.0.0.1:PORT/PATH; anything but loopback is refused")
    pump.add_argument("--rate", type=_over(0), default=100.0, help="requests a second (default: %(default)g)")
    pump.add_argument("--seconds", type=_over(0), default=10.0, help="for how long (default: %(default)g)")
    pump.add_argument("--count", type=_whole, default=10_000_000, help="requests at most")
    pump.add_argument("--arrivals", choices=("constant", "poisson"), default="poisson")
    pump.add_argument("--seed", type=int, default=0, help="of the arrivals (default: %(default)s)")
    pump.add_argument("--connections", type=_whole, default=256, help="at most, at once (default: %(default)s)")
    pump.add_argument("--new-connections", action="store_true", help="one for each request")
    pump.add_argument("--limit", type=_over(0), default=10.0, help="seconds for each request (default: %(default)g)")
    pump.add_argument("--method", default="GET")
    pump.add_argument("--host", help="the Host header, where it is not the URL's")
    pump.add_argument("--header", type=_header, action="append", default=[], metavar="NAME: VALUE")
    pump.add_argument("--id-header", default="", metavar="NAME", help="a header that gets an id of its own each time")
    pump.add_argument("--body", metavar="FILE", help="what each request carries")
    pump.add_argument("--json", metavar="FILE", help="the report as JSON as well; - for JSON alone, on standard output")
    return whole


def main(words: Sequence[str]) -> int:
    args = parser().parse_args(words)
    status: int = args.call(args)
    return status
