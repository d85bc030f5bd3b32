"""The command line: one program; what it does is the first word.

Each command imports what it needs by itself: the time that a process takes to start is time without it.
"""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence
from typing import TYPE_CHECKING, NoReturn

from oakvale import __version__
from oakvale.base.address import spelled

if TYPE_CHECKING:
    from oakvale.base.configuration import Configuration

BACKLOG = 1024  # connections that wait to be accepted
LEVELS = ("debug", "info", "warning", "error")
ROLE_MODULES = {"headworks": "oakvale.controlplane.process", "sluice": "oakvale.dataplane.process"}


def fail(why: object, status: int = 2) -> NoReturn:
    print(f"oakvale: {why}", file=sys.stderr)
    sys.exit(status)


def load() -> Configuration:
    from oakvale.base import configuration

    try:
        return configuration.load(os.environ)
    except configuration.BadConfiguration as error:
        fail(error)


def serve(args: argparse.Namespace) -> None:
    """The gateway in service: until SIGTERM, as LB_CONFIG and the other LB_ variables say."""
    from oakvale.lifecycle import logs, serving
    from oakvale.lifecycle.signals import Signals

    signals = Signals()
    signals.watch()
    config = load()
    try:
        listener = serving.listening(config.listen, config.limits.backlog)
    except OSError as error:
        fail(f"cannot listen on {spelled(config.listen)}: {error.strerror}", 1)
    logs.configure(args.log_level, config.limits.log_same)
    sys.exit(serving.serve(config, listener, signals))


def check_config(args: argparse.Namespace) -> None:
    """Read the configuration as serve would and say what it holds."""
    config = load()
    print(f"{config.name} would listen on {spelled(config.listen)}")
    print(f"classes: {', '.join(config.names.classes)}")
    print(f"plans: {', '.join(config.names.plans)}")
    print(f"backends known: {len(config.known.get('endpoints') or [])}")
    limits = config.limits
    print(f"connections at most: {limits.clients} of clients, {limits.backends} to backends")


def health(args: argparse.Namespace) -> None:
    """Ask the gateway at ADDRESS (host:port) whether it can serve; exit 0 if so."""
    import http.client

    from oakvale.base import configuration

    try:
        host, port = configuration.address(args.address, "address")
        connection = http.client.HTTPConnection(host, port, timeout=args.timeout)
        connection.request("GET", args.path)
        status, text = (reply := connection.getresponse()).status, reply.read().decode().strip()
    except (configuration.BadConfiguration, OSError, http.client.HTTPException) as error:
        fail(f"{args.address}: {error}", 1)
    print(text)
    sys.exit(0 if status == 200 else 1)


def check(args: argparse.Namespace) -> None:
    """Check a file of the whole system and say what it holds."""
    from oakvale.config import check

    try:
        print("\n".join(check.check(args.kind, args.file)))
    except check.Wrong as error:
        fail(error)


def status(args: argparse.Namespace) -> None:
    """Ask a process of the whole system, at its mains address, how it stands; exit 0 if it answers."""
    from oakvale.base import configuration
    from oakvale.lifecycle import logs
    from oakvale.transport import status_service

    try:
        told = status_service.query_status(configuration.address(args.address, "address"), args.timeout)
    except (configuration.BadConfiguration, status_service.NoResponse) as error:
        fail(f"{args.address}: {error}", 1)
    print("\n".join(logs.pairs({name: value}) for name, value in told.items()))


def drain(args: argparse.Namespace) -> None:
    """Plan, order, show or cancel a drain, or print the account of all, by any headworks."""
    import json

    from oakvale.base import configuration
    from oakvale.drains import client

    body = None
    if args.what in ("plan", "order"):
        kind, target = next(
            (kind, named) for kind in ("gateway", "backend", "zone") if (named := getattr(args, kind)) is not None
        )
        body = {"kind": kind, "target": target, "by": args.by, "why": args.why, "due": args.due}
    elif args.what == "cancel":
        body = {"by": args.by, "why": args.why}
    verb = "Drains." + {"account": "Show"}.get(args.what, args.what.capitalize())
    try:
        addresses = [configuration.address(text, "--ctl") for text in args.ctl.split(",")]
        told = client.call_control_plane(addresses, verb, getattr(args, "name", None) or "", body, args.timeout)
    except configuration.BadConfiguration as error:
        fail(error)
    except client.DrainRequestError as error:
        if isinstance(error.body, dict) and "plan" in error.body:
            print("\n".join(client.format_lines(error.body["plan"])))
        fail(error, 1)
    if args.what == "account" and args.format == "csv":
        from oakvale.drains import report

        print(report.as_csv(told), end="")
    elif args.what == "account" or args.json:
        print(json.dumps(told, indent=2))
    else:
        print("\n".join(client.format_lines(told)) or "kept")
    if args.what == "plan" and told["obstacles"]:
        sys.exit(1)


def chain(args: argparse.Namespace) -> None:
    """The chains that a process of the whole system holds: what they are, what they can't hold, what one says."""
    from oakvale.base import configuration
    from oakvale.config import settings, toml_table
    from oakvale.failover import report
    from oakvale.failover.chains import unpack
    from oakvale.transport import status_service

    try:
        if args.at:
            address = configuration.address(args.at, "--at")
        else:
            own = settings.load(os.environ)
            address = own.ip, own.ports[0] + (0 if "ctl" in own.bind else 1)
        held = status_service.query_status(address, args.timeout, "chains")["held"]
    except (configuration.BadConfiguration, toml_table.BadFile) as error:
        fail(error)
    except status_service.NoResponse as error:
        fail(f"{spelled(address)}: {error}", 1)
    if held is None:
        fail(f"{spelled(address)}: holds no chains: no headworks has --chains, or this one is only a witness", 1)
    chains = unpack(held)
    try:
        if args.what == "check":
            lines = report.check(chains)
            print("\n".join(lines) or "every failure of one place or two can be held")
            sys.exit(3 if lines else 0)
        print(
            "\n".join(report.show(chains) if args.what == "show" else report.explain(chains, args.place, args.service))
        )
    except report.UnknownName as error:
        fail(error)


def demo(args: argparse.Namespace) -> None:
    """A small system on loopback: one request through it, or until it is interrupted."""
    import signal

    from oakvale.demo import show

    signal.signal(signal.SIGTERM, signal.default_int_handler)  # what was started ends with it
    try:
        show.show(lambda line: print(line, flush=True), args.stay)
    except show.Failed as error:
        fail(error, 1)
    except KeyboardInterrupt:
        fail("interrupted; everything has ended", 130)


def version(args: argparse.Namespace) -> None:
    """Print the version."""
    from importlib import metadata  # slow to import, and serve needs none of it

    print(f"oakvale {__version__} (h11 {metadata.version('h11')}, cbor2 {metadata.version('cbor2')})")


def role(args: argparse.Namespace) -> None:
    """A process of the whole system, as the settings file that OAKVALE_SETTINGS names says."""
    from importlib import import_module

    from oakvale.base.sockets import listening
    from oakvale.config import settings, toml_table
    from oakvale.lifecycle.signals import Signals

    signals = Signals()
    signals.watch()
    try:
        told = settings.load(os.environ)
        # before the rest is imported: who comes meanwhile waits a moment instead of being turned away
        listeners = {name: listening(address, BACKLOG) for name, address in told.bind.items()}
        from oakvale.lifecycle import eventlog

        eventlog.configure(args.log_level, 20)
        more = {"chains": args.chains} if args.command == "headworks" else {}
        sys.exit(import_module(ROLE_MODULES[args.command]).serve(told, signals, listeners, **more))
    except toml_table.BadFile as error:
        fail(error)
    except OSError as error:
        fail(f"cannot start: {error}", 1)


def lab(args: argparse.Namespace) -> None:
    """The laboratory, whose words are its own: `main` hands them over unread."""
    laboratory([])


def laboratory(words: Sequence[str]) -> None:
    try:
        from oakvale.lab import commands
    except ModuleNotFoundError as error:
        fail(f"lab needs {error.name}: pip install -r requirements-lab.txt")
    try:
        sys.exit(commands.main(words))
    except commands.Wrong as error:
        fail(error)
    except commands.Failed as error:
        fail(error, 1)


def parser() -> argparse.ArgumentParser:
    whole = argparse.ArgumentParser(
        prog="oakvale", description="A gateway that holds customers to their quotas before a shared back end."
    )
    commands = whole.add_subparsers(dest="command", required=True, metavar="COMMAND")

    def add(name: str, call: object, text: str) -> argparse.ArgumentParser:
        command = commands.add_parser(name, help=text, description=text)
        command.set_defaults(call=call)
        return command

    for name, call, text in (
        ("serve", serve, "the gateway in service, on its own"),
        ("headworks", role, "core role of the whole system: control state, backends, operator"),
        ("sluice", role, "edge role of the whole system: carries clients' requests"),
    ):
        command = add(name, call, text)
        command.add_argument(
            "--log-level", default="info", choices=LEVELS, help="the least that is logged (default: %(default)s)"
        )
        if name == "headworks":
            command.add_argument(
                "--chains",
                metavar="FILE",
                help="work out failover chains, as this file says "
                "(docs/failover-chains.md); left out, nothing is moved",
            )
    add("check-config", check_config, "read the configuration as serve would and say what it holds")
    held = add("check", check, "check a file of the whole system and say what it holds, or what is wrong and where")
    held.add_argument(
        "kind",
        choices=("settings", "deploy", "config", "contracts"),
        help="a process's settings, the deploy file, an operator's configuration (JSON), or contracts",
    )
    held.add_argument("file")
    asked = add("health", health, "ask a running gateway whether it can serve; exit 0 if so")
    asked.add_argument("address", help="host:port")
    asked.add_argument("--path", default="/_health", help="/oakvale/readyz for a gateway of the whole system")
    asked.add_argument("--timeout", type=float, default=2.0, help="seconds to wait for the answer")
    asked = add("status", status, "ask a running process of the whole system how it stands; exit 0 if it answers")
    asked.add_argument(
        "address", help="host:port between gateways: the first of port-range for a headworks, the second for a sluice"
    )
    asked.add_argument("--timeout", type=float, default=2.0, help="seconds to wait for the answer")
    drains(add("drain", drain, "move tenants off a gateway, a backend or a zone, in the hours of their contracts"))
    told = add("chain", chain, "the failover chains that a running process holds").add_subparsers(
        dest="what", required=True, metavar="WHAT"
    )
    for what, text in (
        ("show", "places, what each takes, and where its load goes"),
        ("check", "the failures of one place or two that can't be held, and by how much; exit 3 if any"),
        ("explain", "what happens to a service when a place fails"),
    ):
        one = told.add_parser(what, help=text, description=text)
        if what == "explain":
            one.add_argument("place", help="a zone, a region or a name above them")
            one.add_argument("service")
        one.add_argument(
            "--at",
            metavar="HOST:PORT",
            help="between gateways, as for status; left out, the process whose settings OAKVALE_SETTINGS names",
        )
        one.add_argument("--timeout", type=float, default=2.0, help="seconds to wait for the answer")
    add("demo", demo, "a small system on loopback: three headworks, two sluices, a backend, one request").add_argument(
        "--stay", action="store_true", help="keep it until interrupted, for requests of your own and oakvale status"
    )
    add("lab", lab, "the laboratory: days in a simulated world, experiments, hunts, load; oakvale lab -h says more")
    add("version", version, "print the version")
    return whole


def drains(whole: argparse.ArgumentParser) -> None:
    verbs = whole.add_subparsers(dest="what", required=True, metavar="WHAT")
    for name, text in (
        ("plan", "what an order would do and when; nothing moves"),
        ("order", "give an order, unless its plan has an obstacle"),
        ("show", "orders and moves"),
        ("cancel", "no further move; what has moved comes back, each tenant in its hours"),
        ("account", "what moved when, what was in flight, how each ended"),
    ):
        verb = verbs.add_parser(name, help=text, description=text)
        verb.add_argument("--ctl", required=True, help="host:port of a headworks' ctl, or some with commas between")
        verb.add_argument("--timeout", type=float, default=10.0, help="seconds until the answer has to be clear")
        if name in ("order", "cancel"):
            verb.add_argument("name", help="of the order, given once: letters, digits, dot, dash")
        elif name in ("show", "account"):
            verb.add_argument("name", nargs="?", help="of one order; without it, of all")
        if name in ("plan", "order"):
            node = verb.add_mutually_exclusive_group(required=True)
            for kind, meant in (("gateway", "its node name"), ("backend", "its id"), ("zone", "all nodes in it")):
                node.add_argument(f"--{kind}", help=meant)
            verb.add_argument("--due", required=True, help="by when, with its zone: 2026-12-03T05:00:00-05:00")
        if name in ("plan", "order", "cancel"):
            verb.add_argument("--by", required=name != "plan", default="plan", help="who orders it")
            verb.add_argument("--why", required=name != "plan", default="plan", help="one line")
        if name == "account":
            verb.add_argument("--format", choices=("csv", "json"), default="csv")
        else:
            verb.add_argument("--json", action="store_true", help="the answer as it came")


def main(words: Sequence[str] | None = None) -> None:
    words = sys.argv[1:] if words is None else words
    if words and words[0] == "lab":  # before the parser is built: no other command knows its words or pays for them
        laboratory(words[1:])
    args = parser().parse_args(words)
    args.call(args)
