"""The command line: one program with a subcommand for each task.

Each command imports its own dependencies, so that processes start quickly.
"""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence
from typing import TYPE_CHECKING, NoReturn

from oakvale import __version__
from oakvale.base.address import format_address

if TYPE_CHECKING:
    from oakvale.base.configuration import Configuration

BACKLOG = 1024  # pending connections per listening socket
LEVELS = ("debug", "info", "warning", "error")
ROLE_MODULES = {"headworks": "oakvale.controlplane.process", "sluice": "oakvale.dataplane.process"}


def fail(reason: object, status: int = 2) -> NoReturn:
    """Prints one line to standard error and exits."""
    print(f"oakvale: {reason}", file=sys.stderr)
    sys.exit(status)


def load() -> Configuration:
    """Loads the configuration of the standalone gateway, or exits with an error."""
    from oakvale.base import configuration

    try:
        return configuration.load(os.environ)
    except configuration.ConfigurationError as error:
        fail(error)


def serve(args: argparse.Namespace) -> None:
    """Runs the standalone gateway until SIGTERM, configured by LB_CONFIG and the other LB_ variables."""
    from oakvale.lifecycle import logs, serving
    from oakvale.lifecycle.signals import Signals

    signals = Signals()
    signals.watch()
    config = load()
    try:
        listener = serving.open_listener(config.listen, config.limits.backlog)
    except OSError as error:
        fail(f"cannot listen on {format_address(config.listen)}: {error.strerror}", 1)
    logs.configure(args.log_level, config.limits.log_same)
    sys.exit(serving.serve(config, listener, signals))


def check_config(args: argparse.Namespace) -> None:
    """Reads the configuration as `serve` does and prints a summary."""
    config = load()
    print(f"{config.name} would listen on {format_address(config.listen)}")
    print(f"classes: {', '.join(config.names.classes)}")
    print(f"plans: {', '.join(config.names.plans)}")
    print(f"known backends: {len(config.known.get('endpoints') or [])}")
    limits = config.limits
    print(f"maximum connections: {limits.clients} from clients, {limits.backends} to backends")


def health(args: argparse.Namespace) -> None:
    """Queries the health of the gateway at an address; exits with 0 if it can serve."""
    import http.client

    from oakvale.base import configuration

    try:
        host, port = configuration.require_address(args.address, "address")
        connection = http.client.HTTPConnection(host, port, timeout=args.timeout)
        connection.request("GET", args.path)
        status, text = (response := connection.getresponse()).status, response.read().decode().strip()
    except (configuration.ConfigurationError, OSError, http.client.HTTPException) as error:
        fail(f"{args.address}: {error}", 1)
    print(text)
    sys.exit(0 if status == 200 else 1)


def check(args: argparse.Namespace) -> None:
    """Checks a file of the complete system and prints a summary."""
    from oakvale.config import check

    try:
        print("\n".join(check.check(args.kind, args.file)))
    except check.CheckError as error:
        fail(error)


def status(args: argparse.Namespace) -> None:
    """Prints the status of a process of the complete system; exits with 0 if it responds."""
    from oakvale.base import configuration
    from oakvale.lifecycle import logs
    from oakvale.transport import status_service

    try:
        fields = status_service.query_status(configuration.require_address(args.address, "address"), args.timeout)
    except (configuration.ConfigurationError, status_service.NoResponse) as error:
        fail(f"{args.address}: {error}", 1)
    print("\n".join(logs.format_pairs({name: value}) for name, value in fields.items()))


def drain(args: argparse.Namespace) -> None:
    """Plans, orders, shows or cancels a drain, or prints the account of all drains, through any headworks."""
    import json

    from oakvale.base import configuration
    from oakvale.drains import client

    body = None
    if args.what in ("plan", "order"):
        kind, target = next(
            (kind, value) for kind in ("gateway", "backend", "zone") if (value := getattr(args, kind)) is not None
        )
        body = {"kind": kind, "target": target, "by": args.by, "why": args.why, "due": args.due}
    elif args.what == "cancel":
        body = {"by": args.by, "why": args.why}
    verb = "Drains." + {"account": "Show"}.get(args.what, args.what.capitalize())
    try:
        addresses = [configuration.require_address(text, "--ctl") for text in args.ctl.split(",")]
        response = client.call_control_plane(addresses, verb, getattr(args, "name", None) or "", body, args.timeout)
    except configuration.ConfigurationError as error:
        fail(error)
    except client.DrainRequestError as error:
        if isinstance(error.body, dict) and "plan" in error.body:
            print("\n".join(client.format_lines(error.body["plan"])))
        fail(error, 1)
    if args.what == "account" and args.format == "csv":
        from oakvale.drains import report

        print(report.as_csv(response), end="")
    elif args.what == "account" or args.json:
        print(json.dumps(response, indent=2))
    else:
        print("\n".join(client.format_lines(response)) or "stored")
    if args.what == "plan" and response["obstacles"]:
        sys.exit(1)


def chain(args: argparse.Namespace) -> None:
    """Shows, checks or explains the failover chains that a process of the complete system holds."""
    from oakvale.base import configuration
    from oakvale.config import settings, toml_table
    from oakvale.failover import report
    from oakvale.failover.chains import unpack
    from oakvale.transport import status_service

    try:
        if args.at:
            address = configuration.require_address(args.at, "--at")
        else:
            node_settings = settings.load(os.environ)
            address = node_settings.ip, node_settings.ports[0] + (0 if "ctl" in node_settings.bind else 1)
        packed_chains = status_service.query_status(address, args.timeout, "chains")["held"]
    except (configuration.ConfigurationError, toml_table.BadFile) as error:
        fail(error)
    except status_service.NoResponse as error:
        fail(f"{format_address(address)}: {error}", 1)
    if packed_chains is None:
        fail(
            f"{format_address(address)}: holds no chains: no headworks has --chains, or this one is only a witness",
            1,
        )
    chains = unpack(packed_chains)
    try:
        if args.what == "check":
            lines = report.check(chains)
            print("\n".join(lines) or "the remaining capacity covers every failure of one or two places")
            sys.exit(3 if lines else 0)
        print(
            "\n".join(report.show(chains) if args.what == "show" else report.explain(chains, args.place, args.service))
        )
    except report.UnknownName as error:
        fail(error)


def demo(args: argparse.Namespace) -> None:
    """Runs a small system on loopback: sends one request through it, or keeps it running until interrupted."""
    import signal

    from oakvale.demo import show

    signal.signal(
        signal.SIGTERM, signal.default_int_handler
    )  # SIGTERM raises KeyboardInterrupt, so that the demo stops its processes
    try:
        show.show(lambda line: print(line, flush=True), args.stay)
    except show.DemoFailed as error:
        fail(error, 1)
    except KeyboardInterrupt:
        fail("interrupted; all processes have been stopped", 130)


def version(args: argparse.Namespace) -> None:
    """Prints the versions of oakvale and of its main dependencies."""
    from importlib import metadata  # slow to import, and serve needs none of it

    print(f"oakvale {__version__} (h11 {metadata.version('h11')}, cbor2 {metadata.version('cbor2')})")


def role(args: argparse.Namespace) -> None:
    """Runs a process of the complete system, configured by the file that OAKVALE_SETTINGS names."""
    from importlib import import_module

    from oakvale.base.sockets import open_listener
    from oakvale.config import settings, toml_table
    from oakvale.lifecycle.signals import Signals

    signals = Signals()
    signals.watch()
    try:
        node_settings = settings.load(os.environ)
        # opened before the slower imports, so that early clients wait in the backlog instead of being refused
        listeners = {name: open_listener(address, BACKLOG) for name, address in node_settings.bind.items()}
        from oakvale.lifecycle import eventlog

        eventlog.configure(args.log_level, 20)
        options = {"chains": args.chains} if args.command == "headworks" else {}
        sys.exit(import_module(ROLE_MODULES[args.command]).serve(node_settings, signals, listeners, **options))
    except toml_table.BadFile as error:
        fail(error)
    except OSError as error:
        fail(f"cannot start: {error}", 1)


def lab(args: argparse.Namespace) -> None:
    """Runs the laboratory without arguments; `main` passes its arguments on unparsed."""
    laboratory([])


def laboratory(arguments: Sequence[str]) -> None:
    """Runs a command of the laboratory, which parses its own arguments."""
    try:
        from oakvale.lab import command_parts, commands
    except ModuleNotFoundError as error:
        fail(f"lab needs {error.name}: pip install -r requirements-lab.txt")
    try:
        sys.exit(commands.main(arguments))
    except command_parts.Wrong as error:
        fail(error)
    except command_parts.Failed as error:
        fail(error, 1)


def parser() -> argparse.ArgumentParser:
    """Builds the parser of all commands but those of the laboratory."""
    root = argparse.ArgumentParser(
        prog="oakvale", description="An API gateway that enforces customers' quotas in front of shared backends."
    )
    commands = root.add_subparsers(dest="command", required=True, metavar="COMMAND")

    def add(name: str, handler: object, text: str) -> argparse.ArgumentParser:
        command = commands.add_parser(name, help=text, description=text)
        command.set_defaults(handler=handler)
        return command

    for name, handler, text in (
        ("serve", serve, "run the standalone gateway"),
        ("headworks", role, "run the core role of the complete system: control state, backends, operator API"),
        ("sluice", role, "run the edge role of the complete system: proxies client requests"),
    ):
        command = add(name, handler, text)
        command.add_argument(
            "--log-level", default="info", choices=LEVELS, help="lowest level that is logged (default: %(default)s)"
        )
        if name == "headworks":
            command.add_argument(
                "--chains",
                metavar="FILE",
                help="compute failover chains as configured in this file "
                "(docs/failover-chains.md); without it, no load is moved",
            )
    add("check-config", check_config, "read the configuration as serve does and print a summary")
    command = add("check", check, "check a file of the complete system; print a summary, or what is wrong and where")
    command.add_argument(
        "kind",
        choices=("settings", "deploy", "config", "contracts"),
        help="the settings of a process, the deploy file, an operator's configuration (JSON), or contracts",
    )
    command.add_argument("file")
    command = add("health", health, "query the health of a running gateway; exit 0 if it can serve")
    command.add_argument("address", help="host:port")
    command.add_argument(
        "--path", default="/_health", help="path to request; use /oakvale/readyz for a gateway of the complete system"
    )
    command.add_argument("--timeout", type=float, default=2.0, help="seconds to wait for the response")
    command = add(
        "status", status, "print the status of a running process of the complete system; exit 0 if it responds"
    )
    command.add_argument(
        "address",
        help="host:port for internal traffic: the first of port-range for a headworks, the second for a sluice",
    )
    command.add_argument("--timeout", type=float, default=2.0, help="seconds to wait for the response")
    add_drain_commands(
        add("drain", drain, "move tenants off a gateway, a backend or a zone, within the hours of their contracts")
    )
    chain_commands = add("chain", chain, "inspect the failover chains of a running process").add_subparsers(
        dest="what", required=True, metavar="WHAT"
    )
    for what, text in (
        ("show", "places, the load each can take, and where its own load goes"),
        ("check", "failures of one or two places that exceed the remaining capacity, and by how much; exit 3 if any"),
        ("explain", "what happens to a service when a place fails"),
    ):
        command = chain_commands.add_parser(what, help=text, description=text)
        if what == "explain":
            command.add_argument("place", help="a zone, a region or a larger location")
            command.add_argument("service")
        command.add_argument(
            "--at",
            metavar="HOST:PORT",
            help="internal address, as for status; default: the process whose settings OAKVALE_SETTINGS names",
        )
        command.add_argument("--timeout", type=float, default=2.0, help="seconds to wait for the response")
    add(
        "demo", demo, "run a small system on loopback: three headworks, two sluices, a backend, one request"
    ).add_argument(
        "--stay",
        action="store_true",
        help="keep it running until interrupted, for your own requests and oakvale status",
    )
    add("lab", lab, "the laboratory: simulated days, experiments, fault searches, load; see oakvale lab -h")
    add("version", version, "print the version")
    return root


def add_drain_commands(parent: argparse.ArgumentParser) -> None:
    """Adds the subcommands of `drain`."""
    verbs = parent.add_subparsers(dest="what", required=True, metavar="WHAT")
    for name, text in (
        ("plan", "show what an order would do and when, without moving anything"),
        ("order", "place an order, unless its plan has an obstacle"),
        ("show", "show orders and their moves"),
        ("cancel", "stop further moves and move tenants back, each within its hours"),
        ("account", "report what moved when, what was in flight and how each move ended"),
    ):
        verb = verbs.add_parser(name, help=text, description=text)
        verb.add_argument(
            "--ctl", required=True, help="host:port of the ctl address of a headworks; several separated by commas"
        )
        verb.add_argument("--timeout", type=float, default=10.0, help="seconds to wait for a final response")
        if name in ("order", "cancel"):
            verb.add_argument("name", help="unique name of the order: letters, digits, dot, dash")
        elif name in ("show", "account"):
            verb.add_argument("name", nargs="?", help="name of one order; without it, all orders")
        if name in ("plan", "order"):
            target = verb.add_mutually_exclusive_group(required=True)
            for kind, text in (("gateway", "its node name"), ("backend", "its id"), ("zone", "all nodes in it")):
                target.add_argument(f"--{kind}", help=text)
            verb.add_argument("--due", required=True, help="deadline with UTC offset: 2026-12-03T05:00:00-05:00")
        if name in ("plan", "order", "cancel"):
            verb.add_argument("--by", required=name != "plan", default="plan", help="who places the order")
            verb.add_argument("--why", required=name != "plan", default="plan", help="reason, in one line")
        if name == "account":
            verb.add_argument("--format", choices=("csv", "json"), default="csv")
        else:
            verb.add_argument("--json", action="store_true", help="print the response as JSON")


def main(arguments: Sequence[str] | None = None) -> None:
    """Runs the command named by the arguments, by default those of the process."""
    arguments = sys.argv[1:] if arguments is None else arguments
    if arguments and arguments[0] == "lab":  # the laboratory has its own parser, which other commands need not build
        laboratory(arguments[1:])
    args = parser().parse_args(arguments)
    args.handler(args)
