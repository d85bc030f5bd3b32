"""`oakvale lab check`: the searches, and the protocol broken on purpose."""

from __future__ import annotations

import argparse
import sys
from dataclasses import fields, replace
from typing import Any, cast

from oakvale.lab.modelcheck.breakages import BREAKAGES, Breakage
from oakvale.lab.modelcheck.model import Bounds
from oakvale.lab.modelcheck.search import Found, Search
from oakvale.lab.modelcheck.walks import Walks

NONE = Bounds(writes=0, kills=0, wipes=0, wakes=0, retries=0)
FAULTS = tuple(field.name for field in fields(Bounds) if field.name not in ("machines", "writes", "zones"))

# each is searched whole
SHORT = (
    ("settled", replace(NONE, wakes=1)),
    ("cold", replace(NONE, writes=1, kills=2, retries=1)),
    ("cold", replace(NONE, writes=1, kills=1, wipes=1, retries=1)),
    ("settled", replace(NONE, writes=2, kills=1, retries=2)),
    ("settled", replace(NONE, writes=1, kills=1, wipes=1, retries=1)),
    ("settled", replace(NONE, wakes=1, leaves=1)),
    ("settled", replace(NONE, writes=1, kills=1, retries=1, leaves=1)),
    ("settled", replace(NONE, writes=1, wipes=1, retries=1, leaves=1)),
    ("laden", replace(NONE, wakes=1, retries=1)),
    ("laden", replace(NONE, writes=1, kills=1, wipes=1, retries=1)),
    ("settled", replace(NONE, wakes=1, beats=1, passes=1)),
    ("settled", replace(NONE, wakes=1, spares=1)),
    ("settled", replace(NONE, wakes=1, spares=1, zones="aabc")),
)
LONG = (
    ("settled", replace(NONE, writes=1, wakes=1)),
    ("settled", replace(NONE, wipes=1, wakes=1)),
    ("settled", replace(NONE, kills=1, wakes=1)),
    ("settled", replace(NONE, writes=1, kills=1, wipes=1, wakes=1, retries=1)),
    ("settled", replace(NONE, writes=1, kills=1, wakes=2, retries=1)),
    ("cold", replace(NONE, writes=1, kills=1, wipes=1, wakes=1, retries=1)),
    ("settled", replace(NONE, writes=1, wakes=1, leaves=1)),
    ("laden", replace(NONE, kills=1, wakes=1)),
    ("laden", replace(NONE, wipes=1, wakes=1)),
    ("laden", replace(NONE, writes=1, wakes=1)),
    ("settled", replace(NONE, wakes=1, beats=2, passes=2)),
    ("settled", replace(NONE, kills=1, wakes=1, beats=1, passes=1)),
    ("settled", replace(NONE, writes=1, wakes=1, beats=1, passes=1)),
    ("settled", replace(NONE, kills=1, wakes=1, spares=1, zones="aabc")),
    ("settled", replace(NONE, writes=1, wakes=1, spares=1, zones="aabc")),
    ("settled", replace(NONE, wakes=1, leaves=1, spares=1)),
    ("settled", replace(NONE, wipes=1, wakes=1, spares=1)),
    ("settled", replace(NONE, wakes=2, spares=1, zones="aabc")),
)


class BadFaults(ValueError):
    """What was given for --faults can't be read."""


def read_faults(text: str) -> dict[str, int]:
    """`kills=1,wipes=1`; those not named do not happen. Raises BadFaults."""
    found = dict.fromkeys(FAULTS, 0)
    for part in filter(None, text.split(",")):
        name, _, number = part.partition("=")
        if name not in FAULTS:
            raise BadFaults(f"--faults: {name!r} is not one of {', '.join(FAULTS)}")
        if not number.isdecimal():
            raise BadFaults(f"--faults: {name} is to be a number, as in {name}=1, not {number!r}")
        found[name] = int(number)
    return found


def arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--long", action="store_true", help="search far: several minutes")
    parser.add_argument("--writes", type=int, metavar="N", help="one search with so many writes")
    parser.add_argument("--faults", metavar="NAME=N,...", help=f"one search with so many {', '.join(FAULTS)}")
    parser.add_argument(
        "--start",
        choices=("settled", "cold", "laden"),
        default="settled",
        help="of that search: the founding view serves, or nothing was ever started, or it serves, has "
        "taken two writes, and sends all in pieces of a row each",
    )
    parser.add_argument("--depth", type=int, default=1_000, metavar="N", help="steps from the start, at most")
    parser.add_argument(
        "--states",
        type=int,
        default=20_000_000,
        metavar="N",
        help="of each search, at most; a million take about 0.5 GB",
    )
    parser.add_argument("--seconds", type=float, default=300.0, metavar="S", help="for each search, at most")
    parser.add_argument(
        "--walks",
        type=int,
        default=0,
        metavar="N",
        help="so many drawn ways instead, each through several takeovers and losses of a disk",
    )
    parser.add_argument("--seed", type=int, default=1, metavar="N", help="of the drawn ways")
    parser.add_argument(
        "--broken",
        metavar="NAME",
        choices=["all", *(b.name for b in BREAKAGES)],
        help="break the protocol on purpose, and show the shortest way to where it shows",
    )


def searches(args: argparse.Namespace) -> list[tuple[str, Bounds]]:
    """Raises BadFaults."""
    if args.writes is None and args.faults is None:
        return list(LONG if args.long else SHORT)
    faults = read_faults(args.faults if args.faults is not None else "kills=1,wipes=1,wakes=1,retries=1")
    bounds = Bounds(writes=1 if args.writes is None else args.writes)
    return [(args.start, replace(bounds, **cast(dict[str, Any], faults)))]


def check(args: argparse.Namespace) -> int:
    """The status to end with: 0 where nothing is broken, or all that was broken on purpose was found."""
    if args.broken:
        chosen = [b for b in BREAKAGES if args.broken in ("all", b.name)]
        return 0 if all([_shown(breakage) for breakage in chosen]) else 1
    if args.walks:
        return _walked(args)
    try:
        wanted = searches(args)
    except BadFaults as error:
        print(f"oakvale: {error}", file=sys.stderr)
        return 2
    good = True
    for start, bounds in wanted:
        search = Search(bounds, start, args.depth, args.states, args.seconds, show=_say)
        try:
            search.run()
        except KeyboardInterrupt:
            print(search.found.line(), "(stopped)", flush=True)
            return 130
        _print(search.found)
        good = good and search.found.broken is None
    return 0 if good else 1


def _walked(args: argparse.Namespace) -> int:
    walks = Walks(start=args.start, seed=args.seed, show=_say)
    try:
        walks.run(args.walks, args.seconds)
    except KeyboardInterrupt:
        print(walks.line(), "(stopped)", flush=True)
        return 130
    print(walks.line(), *walks.found.trace, sep="\n", flush=True)
    return 1 if walks.found.broken else 0


def _say(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def find(breakage: Breakage) -> Found:
    """The shortest way on which it shows; where that is far, one from which no step can be left out."""
    with breakage.made():
        search = Search(breakage.bounds, breakage.start, every=breakage.heals)
        search.run()
        if breakage.heals:
            search.shorten()
        return search.found


def _shown(breakage: Breakage) -> bool:
    print(f"{breakage.name}: {breakage.why}")
    found = find(breakage)
    _print(found)
    print()
    return found.broken is not None


def _print(found: Found) -> None:
    print(found.line(), *found.trace, sep="\n", flush=True)
