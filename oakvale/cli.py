"""The command line: serve, check-config, health, version."""

from __future__ import annotations

import os
import sys

import click

from oakvale import __version__
from oakvale.lifecycle import configuration, logs


def load() -> configuration.Configuration:
    try:
        return configuration.load(os.environ)
    except configuration.BadConfiguration as error:
        click.echo(f"oakvale: {error}", err=True)
        sys.exit(2)


@click.group()
def main() -> None:
    """A gateway that holds customers to their quotas before a shared back end."""


@main.command()
@click.option("--log-level", default="info", show_default=True,
              type=click.Choice(["debug", "info", "warning", "error"]), help="The least that is logged.")
def serve(log_level: str) -> None:
    """Serve until SIGTERM, as LB_CONFIG and the other LB_ variables say."""
    from oakvale.lifecycle import serving
    from oakvale.lifecycle.signals import Signals

    signals = Signals()
    signals.watch()
    config = load()
    try:
        listener = serving.listening(config.listen, config.limits.backlog)
    except OSError as error:
        where = configuration.spelled(config.listen)
        click.echo(f"oakvale: cannot listen on {where}: {error.strerror}", err=True)
        sys.exit(1)
    logs.configure(log_level, config.limits.log_same)
    sys.exit(serving.serve(config, listener, signals))


@main.command("check-config")
def check_config() -> None:
    """Read the configuration as serve would and say what it holds."""
    config = load()
    click.echo(f"{config.name} would listen on {configuration.spelled(config.listen)}")
    click.echo(f"classes: {', '.join(config.names.classes)}")
    click.echo(f"plans: {', '.join(config.names.plans)}")
    click.echo(f"backends known: {len(config.known.get('endpoints') or [])}")
    limits = config.limits
    click.echo(f"connections at most: {limits.clients} of clients, {limits.backends} to backends")


@main.command()
@click.argument("address")
@click.option("--timeout", default=2.0, show_default=True, help="Seconds to wait for the answer.")
def health(address: str, timeout: float) -> None:
    """Ask the gateway at ADDRESS (host:port) whether it can serve; exit 0 if so."""
    import http.client

    try:
        host, port = configuration.address(address, "address")
        connection = http.client.HTTPConnection(host, port, timeout=timeout)
        connection.request("GET", "/_health")
        status, text = (reply := connection.getresponse()).status, reply.read().decode().strip()
    except (configuration.BadConfiguration, OSError, http.client.HTTPException) as error:
        click.echo(f"oakvale: {address}: {error}", err=True)
        sys.exit(1)
    click.echo(text)
    sys.exit(0 if status == 200 else 1)


@main.command()
def version() -> None:
    """Print the version."""
    from importlib import metadata  # slow to import, and serve needs none of it

    click.echo(f"oakvale {__version__} (click {metadata.version('click')}, h11 {metadata.version('h11')})")
