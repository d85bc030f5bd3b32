"""The commands of the laboratory that play soaks of real processes."""

from __future__ import annotations

import argparse
import signal
from collections.abc import Callable
from pathlib import Path

from oakvale.lab.command_parts import BROKEN, Failed, Progress, Wrong, above, whole_number

AddCommand = Callable[[str, Callable[[argparse.Namespace], int], str], argparse.ArgumentParser]


def add_commands(add: AddCommand) -> None:
    """Adds both commands and their arguments."""
    core = add("soak", soak, "signals to real core machines on loopback, with applications; 1 if a rule is broken")
    _add_seeds(core)
    core.add_argument("--cores", type=whole_number, default=4, help="core machines (default: %(default)s)")
    core.add_argument("--gateways", type=int, default=0, help="gateways beside them (default: %(default)s)")
    core.add_argument(
        "--workloads", type=whole_number, default=1, help="of about 20 applications (default: %(default)s)"
    )
    core.add_argument("--out", metavar="FOLDER", help="keeps logs and calls of each seed")
    core.add_argument("--kinds", metavar="KIND,...", help="the kinds of episodes to draw from (all)")
    traffic = add(
        "soak-gateways",
        soak_gateways,
        "signals to real gateways on loopback, with clients, backends and an operator; 1 if a rule is broken",
    )
    _add_seeds(traffic)
    traffic.add_argument("--gateways", type=whole_number, default=2, help="gateways (default: %(default)s)")
    traffic.add_argument(
        "--backends", type=whole_number, default=4, help="backends of each service (default: %(default)s)"
    )
    traffic.add_argument(
        "--clients", type=whole_number, default=5, help="clients of each gateway (default: %(default)s)"
    )
    traffic.add_argument("--out", metavar="FOLDER", help="keeps logs, requests and runs of each seed")


def end_processes_on_sigterm() -> None:
    """Has SIGTERM interrupt the command as Ctrl+C does, so that its processes are ended and its folder goes."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)


def _add_seeds(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--seeds", type=int, nargs=2, default=(1, 1), metavar=("FIRST", "COUNT"))
    parser.add_argument(
        "--seconds", type=above(0), default=30.0, help="for which episodes begin (default: %(default)g)"
    )


def soak(args: argparse.Namespace) -> int:
    """Play soaks of real core machines under drawn series of signals; 1 if a rule is broken."""
    from oakvale.lab.soak import run
    from oakvale.lab.soak.plan import EpisodeKind

    end_processes_on_sigterm()
    try:
        kinds = tuple(EpisodeKind(kind) for kind in args.kinds.split(",")) if args.kinds else tuple(EpisodeKind)
    except ValueError as error:
        raise Wrong(f"--kinds: {error} (there are {', '.join(EpisodeKind)})") from error
    first, count = args.seeds
    output = Path(args.out) if args.out else None
    options = run.Options(args.seconds, args.cores, args.gateways, args.workloads, kinds, output)
    failed = 0
    with Progress(count, "soaks", args.quiet) as bar:
        for number, seed in enumerate(range(first, first + count)):
            try:
                report = run.play(seed, options)
            except (run.NeverServed, OSError) as error:
                raise Failed(f"seed {seed}: {error}") from error
            failed += bool(report.violations)
            print("\n".join(report.lines()), flush=True)
            bar.show(number + 1, f"{failed} with findings")
    print(f"{count} soaks from seed {first}, {failed} with findings")
    return BROKEN if failed else 0


def soak_gateways(args: argparse.Namespace) -> int:
    """Play soaks of real gateways under series of signals, with clients and backends; 1 if a rule is broken."""
    from oakvale.lab.soak import traffic

    end_processes_on_sigterm()
    first, count = args.seeds
    output = Path(args.out) if args.out else None
    options = traffic.TrafficOptions(args.seconds, args.gateways, args.backends, args.clients, output)
    failed = 0
    with Progress(count, "soaks", args.quiet) as bar:
        for number, seed in enumerate(range(first, first + count)):
            try:
                report = traffic.play(seed, options)
            except (TimeoutError, OSError) as error:
                raise Failed(f"seed {seed}: {error or 'no gateway served after the first start'}") from error
            failed += bool(report.violations)
            print("\n".join(report.lines()), flush=True)
            bar.show(number + 1, f"{failed} with findings")
    print(f"{count} soaks from seed {first}, {failed} with findings")
    return BROKEN if failed else 0
