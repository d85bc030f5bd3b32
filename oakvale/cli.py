"""The command line: serve, check-config, version."""

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
    from oakvale.lifecycle.serving import serve as run

    config = load()
    logs.configure(log_level)
    try:
        code = run(config)
    except OSError as error:
        where = f"{config.listen[0]}:{config.listen[1]}"
        click.echo(f"oakvale: cannot listen on {where}: {error.strerror}", err=True)
        code = 1
    sys.exit(code)


@main.command("check-config")
def check_config() -> None:
    """Read the configuration as serve would and say what it holds."""
    config = load()
    click.echo(f"{config.name} would listen on {config.listen[0]}:{config.listen[1]}")
    click.echo(f"classes: {', '.join(config.names.classes)}")
    click.echo(f"plans: {', '.join(config.names.plans)}")
    click.echo(f"backends known: {len(config.known.get('endpoints') or [])}")
    limits = config.limits
    click.echo(f"connections at most: {limits.clients} of clients, {limits.backends} to backends")


@main.command()
def version() -> None:
    """Print the version."""
    from importlib import metadata  # slow to import, and serve needs none of it

    click.echo(f"oakvale {__version__} (click {metadata.version('click')}, h11 {metadata.version('h11')})")
