"""`oakvale lab`: what the laboratory does, a word for each. Each command imports what it needs by itself.

A bad file or argument ends with 2 and one line that names file, place and field; an interrupted command leaves its
partial report and ends with 130; a broken rule that was found ends with 1.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

from oakvale.lab.command_parts import BROKEN, INTERRUPTED, Failed, Progress, Wrong, above, whole_number
from oakvale.lab.soak import commands as soak_commands

if TYPE_CHECKING:
    from oakvale.lab.days import Day
    from oakvale.lab.experiments.outcome import Outcome
    from oakvale.lab.experiments.variants import Spec
    from oakvale.lab.loadgen.tally import Tally


def day(args: argparse.Namespace) -> int:
    """Play a day and judge it: each rule, what was earned of what was owed, the worst seconds."""
    from oakvale.lab.experiments import player

    played = _days([args.file])[0]
    one = player.world(played, played.seed if args.seed is None else args.seed, _variant(args.variant))
    if one.failed:
        raise Failed(f"{args.file}: the run came to no end: {one.failed}")
    lines = [
        f"{one.day}, seed {one.seed}, variant {one.variant}: worth {one.worth:.4f} ({one.earned:g} of "
        f"{one.owed:g}); served {one.served}, refused {one.refused}, lost {one.lost}; answers "
        f"p50 {one.p50_ms:.1f} ms, p99 {one.p99_ms:.1f} ms; {one.arrivals} arrivals; "
        f"{one.cpu_s:.1f} s of a core to play; record {one.fingerprint}"
    ]
    if one.series is not None and (bad := [row for row in one.series.worth if row[1] < row[2]]):
        worst = sorted(bad, key=lambda row: row[1] / row[2])[:5]
        lines.append("worst seconds: " + ", ".join(f"{second} ({earned / owed:.2f})" for second, earned, owed in worst))
    lines += [f"rule {rule} broken {many} times" for rule, many in one.broken.items()]
    lines.append(f"first: {one.first}" if one.broken else "no rule broken")
    print("\n".join(lines))
    if args.json:
        _write(args.json, json.dumps(one.told(), indent=1) + "\n")
    return BROKEN if one.broken else 0


def experiment(args: argparse.Namespace) -> int:
    """Play variants x days x seeds over the cores; say of each variant: better, worse or noise."""
    from oakvale.config.toml_table import BadFile
    from oakvale.lab import days
    from oakvale.lab.experiments import findings, page, player, report, runs, spec

    try:
        told, played = spec.load(args.file)
    except (BadFile, days.BadDay) as error:
        raise Wrong(error) from error
    folder = Path(args.out or Path(args.file).with_suffix("").name + "-report")
    jobs = told.jobs(played)
    outcomes = []
    interrupted = False
    with Progress(len(jobs), "runs", args.quiet) as bar:
        try:
            for one in runs.played(jobs, args.jobs, player.world):
                outcomes.append(one)
                bar.show(len(outcomes), f"{one.day} {one.variant}")
        except KeyboardInterrupt:
            interrupted = True
    if not outcomes:
        raise Failed("interrupted before the first run had ended: there is nothing to report")
    found = findings.rows(told, outcomes)
    text = report.markdown(told, found, outcomes, len(jobs))
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise Wrong(f"{folder}: cannot be made: {error.strerror}") from error
    _write(str(folder / "report.md"), text)
    _write(str(folder / "report.html"), page.page(told, found, outcomes, len(jobs)))
    _write(str(folder / "outcomes.json"), json.dumps([one.told() for one in outcomes]) + "\n")
    print(text + f"\n{folder}/report.md, report.html, outcomes.json")
    return INTERRUPTED if interrupted else BROKEN if all(one.failed for one in outcomes) else 0


def hunt(args: argparse.Namespace) -> int:
    """Play drawn days until a rule breaks; keep that day, and with --shrink the smallest one that still breaks it."""
    from oakvale.lab.experiments import draw, player
    from oakvale.lab.experiments import hunt as hunting

    like = _days([args.like])[0] if args.like else None
    variant, kinds = _variant(args.variant), tuple(args.kinds.split(",")) if args.kinds else ()
    if odd := [kind for kind in kinds if kind not in draw.WAYS]:
        raise Wrong(f"--kinds: {odd[0]!r} is no kind of trouble (there are {', '.join(draw.WAYS)})")
    first = args.first_seed
    done = 0
    found: list[tuple[Day, Outcome]] = []
    interrupted = False
    with Progress(args.days, "days", args.quiet) as bar:
        try:
            for played, one in hunting.hunted(first, args.days, args.jobs, player.world, variant, like, kinds):
                done += 1
                bar.show(done, f"{len(found)} found")
                if hunting.faults(one):
                    found.append((played, one))
                    if not args.all:
                        break
        except KeyboardInterrupt:
            interrupted = True
    print(
        f"{'interrupted: ' if interrupted else ''}{done} of {args.days} days from seed {first} played, "
        f"{len(found)} with a fault"
    )
    for played, one in sorted(found, key=lambda pair: pair[0].seed):
        rules = hunting.faults(one)
        path = hunting.keep(played, rules, one.failed or one.first, variant, Path(args.out))
        print(f"{', '.join(sorted(rules))}: {one.failed or one.first}\n  {path}")
        if args.shrink and not interrupted:
            _shrunk(played, rules, args.most, variant, path, args.quiet)
    return INTERRUPTED if interrupted else BROKEN if found else 0


def shrink(args: argparse.Namespace) -> int:
    """Cut a day that breaks a rule down to the smallest one that still does."""
    from oakvale.lab.experiments import hunt as hunting
    from oakvale.lab.experiments import player

    played, variant = _days([args.file])[0], _variant(args.variant)
    one = player.world(played, played.seed, variant)
    rules = hunting.faults(one)
    if args.rule and args.rule not in rules:
        raise Failed(f"{args.file}: breaks {', '.join(sorted(rules)) or 'no rule'}, not {args.rule}")
    if not rules:
        raise Failed(f"{args.file}: breaks no rule, so there is nothing to shrink")
    return _shrunk(
        played,
        {args.rule} if args.rule else rules,
        args.most,
        variant,
        Path(args.file),
        args.quiet,
        Path(args.out) if args.out else None,
    )


def _shrunk(
    played: Day, rules: set[str], most: int, variant: Spec, path: Path, quiet: bool, out: Path | None = None
) -> int:
    """Writes the smallest day beside `path`; an interrupt keeps the smallest so far."""
    from oakvale.lab.experiments import hunt as hunting
    from oakvale.lab.experiments import player

    with Progress(most, "plays", quiet) as bar:
        cut = hunting.cut(played, rules, most, player.world, variant, lambda asked, day: bar.show(asked, _size(day)))
    kept = hunting.keep(cut.day, rules, cut.first, variant, out or path.parent, "-small")
    print(
        f"{'interrupted: the smallest so far' if cut.interrupted else 'smallest'} after {cut.asked} plays: "
        f"{_size(cut.day)} (was {_size(played)})\n  {kept}"
    )
    return INTERRUPTED if cut.interrupted else 0


def _size(one: Day) -> str:
    return (
        f"{len(one.troubles) + len(one.plan)} troubles, {one.seconds:g} s, {len(one.edges())} edges, {one.cores} "
        f"cores, {len(one.services)} services, {len(one.routes)} routes, {len(one.tenants)} tenants"
    )


def check(args: argparse.Namespace) -> int:
    """Look at every interleaving of the control state's small core."""
    status: int = _checker().check(args)
    return status


def _checker() -> Any:
    from importlib import import_module

    return import_module("oakvale.lab.modelcheck.check")


def _days(paths: Sequence[str]) -> list[Day]:
    from oakvale.lab import days

    try:
        return [days.load(path) for path in paths]
    except days.BadDay as error:
        raise Wrong(error) from error


def _variant(path: str | None) -> Spec:
    from oakvale.config.toml_table import BadFile
    from oakvale.lab import files
    from oakvale.lab.experiments import player, variants

    if path is None:
        return player.BASE
    try:
        spec = files.load(path, variants.Spec)
        variants.patches(spec)
    except BadFile as error:
        raise Wrong(error) from error
    except variants.BadVariant as error:
        raise Wrong(f"{path}: {error}") from error
    return spec


def load(args: argparse.Namespace) -> int:
    """Requests to URL at a steady rate, whatever the answers do; latency runs from when each was due."""
    from oakvale.lab.loadgen import drive
    from oakvale.lab.loadgen.target import BadTarget, target

    try:
        to = target(args.url, args.host)
        body = Path(args.body).read_bytes() if args.body else b""
    except BadTarget as error:
        raise Wrong(error) from error
    except OSError as error:
        raise Wrong(f"{args.body}: cannot be read: {error.strerror}") from error
    run = drive.Run(
        to,
        args.rate,
        args.seconds,
        args.count,
        args.arrivals,
        args.seed,
        args.connections,
        not args.new_connections,
        args.limit,
        args.method,
        tuple(args.header),
        body,
        args.id_header,
    )
    with Progress(args.seconds, "s", args.quiet) as bar:
        tally = drive.drive(run, lambda tally: bar.show(min(tally.elapsed / 1e6, args.seconds), _short(tally)))
    if args.json:
        _write(args.json, json.dumps(tally.told(), indent=1) + "\n")
    if args.json != "-":
        print("\n".join(tally.lines()))
    return INTERRUPTED if tally.partial else 0


def _short(tally: Tally) -> str:
    return f"{tally.due} due, {tally.done()} done"


def _write(path: str, text: str) -> None:
    if path == "-":
        sys.stdout.write(text)
        return
    try:
        Path(path).write_text(text)
    except OSError as error:
        raise Wrong(f"{path}: cannot be written: {error.strerror}") from error


def _header(text: str) -> tuple[str, str]:
    name, colon, value = text.partition(":")
    if not colon or not name or not name.isascii() or any(c.isspace() for c in name):
        raise argparse.ArgumentTypeError(f"not NAME: VALUE: {text}")
    return name, value.strip()


def parser(words: Sequence[str] = ()) -> argparse.ArgumentParser:
    whole = argparse.ArgumentParser(prog="oakvale lab", description="The laboratory of oakvale.")
    commands = whole.add_subparsers(dest="command", required=True, metavar="COMMAND")

    def add(name: str, call: Callable[[argparse.Namespace], int], text: str) -> argparse.ArgumentParser:
        command = commands.add_parser(name, help=text, description=text)
        command.set_defaults(call=call)
        command.add_argument("--quiet", action="store_true", help="no progress bar")
        return command

    def over(command: argparse.ArgumentParser) -> None:
        command.add_argument(
            "--jobs",
            type=whole_number,
            default=len(os.sched_getaffinity(0)),
            help="runs at once (default: the cores, %(default)s)",
        )

    def varied(command: argparse.ArgumentParser) -> None:
        command.add_argument(
            "--variant", metavar="FILE", help="a file with name, and set or swap, of code that is exchanged for the run"
        )

    one = add("day", day, "play a day in the simulated world and judge it; ends with 1 if a rule is broken")
    one.add_argument("file", help="a day (TOML), as lab/days/still.toml")
    one.add_argument("--seed", type=int, help="instead of the day's own")
    varied(one)
    one.add_argument("--json", metavar="FILE", help="the outcome with its series")
    tried = add("experiment", experiment, "play variants x days x seeds; say what is better, worse or noise")
    tried.add_argument("file", help="an experiment (TOML)")
    tried.add_argument("--out", metavar="FOLDER", help="of report.md, report.html, outcomes.json (NAME-report)")
    over(tried)
    hunted = add("hunt", hunt, "play drawn days until a rule breaks; ends with 1 if one does")
    hunted.add_argument("--days", type=whole_number, default=40, help="at most (default: %(default)s)")
    hunted.add_argument("--first-seed", type=whole_number, default=1, help="of the first day (default: %(default)s)")
    hunted.add_argument("--like", metavar="FILE", help="a day whose site is kept; its troubles are drawn")
    hunted.add_argument("--kinds", metavar="KIND,...", help="the kinds of trouble to draw from (all)")
    hunted.add_argument("--all", action="store_true", help="go on after the first find")
    hunted.add_argument("--shrink", action="store_true", help="cut what is found down")
    hunted.add_argument("--out", default="lab/found", metavar="FOLDER", help="(default: %(default)s)")
    cut = add("shrink", shrink, "cut a day that breaks a rule down to the smallest one that still does")
    cut.add_argument("file", help="a day (TOML)")
    cut.add_argument("--rule", help="the one that has to break (any that the day breaks)")
    cut.add_argument("--out", metavar="FOLDER", help="(that of the day)")
    for command in (hunted, cut):
        command.add_argument(
            "--most", type=whole_number, default=300, help="plays of the shrinking (default: %(default)s)"
        )
        varied(command)
    over(hunted)
    checked = add("check", check, "search all interleavings of the control state's small core; 1 if one is bad")
    if words[:1] == ["check"]:  # its arguments are told by what it imports
        _checker().arguments(checked)
    generator = add("load", load, "open-loop load on a loopback URL, with latencies from when each request was due")
    generator.add_argument("url", help="http://127.0.0.1:PORT/PATH; anything but loopback is refused")
    generator.add_argument("--rate", type=above(0), default=100.0, help="requests a second (default: %(default)g)")
    generator.add_argument("--seconds", type=above(0), default=10.0, help="for how long (default: %(default)g)")
    generator.add_argument("--count", type=whole_number, default=10_000_000, help="requests at most")
    generator.add_argument("--arrivals", choices=("constant", "poisson"), default="poisson")
    generator.add_argument("--seed", type=int, default=0, help="of the arrivals (default: %(default)s)")
    generator.add_argument(
        "--connections", type=whole_number, default=256, help="at most, at once (default: %(default)s)"
    )
    generator.add_argument("--new-connections", action="store_true", help="one for each request")
    generator.add_argument(
        "--limit", type=above(0), default=10.0, help="seconds for each request (default: %(default)g)"
    )
    generator.add_argument("--method", default="GET")
    generator.add_argument("--host", help="the Host header, where it is not the URL's")
    generator.add_argument("--header", type=_header, action="append", default=[], metavar="NAME: VALUE")
    generator.add_argument(
        "--id-header", default="", metavar="NAME", help="a header that gets an id of its own each time"
    )
    generator.add_argument("--body", metavar="FILE", help="what each request carries")
    generator.add_argument(
        "--json", metavar="FILE", help="the report as JSON as well; - for JSON alone, on standard output"
    )
    soak_commands.add_commands(add)
    return whole


def main(words: Sequence[str]) -> int:
    args = parser(words).parse_args(words)
    status: int = args.call(args)
    return status
