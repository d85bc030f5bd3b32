"""Implements `oakvale check`: summarizes a file in a few lines, or raises CheckError with file, location and field."""

from __future__ import annotations

from pathlib import Path

from oakvale.base.address import format_address
from oakvale.config import deploy, settings
from oakvale.config.toml_table import BadFile


class CheckError(Exception):
    """A file failed its check; one line for the operator."""


def check(kind: str, path: str) -> list[str]:
    """Returns the summary of a file of the given kind. Raises CheckError."""
    try:
        return {
            "settings": describe_settings,
            "deploy": describe_deployment,
            "config": describe_configuration,
            "contracts": describe_contracts,
        }[kind](path)
    except BadFile as error:
        raise CheckError(str(error)) from error


def describe_settings(path: str) -> list[str]:
    """Summarizes a settings file, with the roles that its addresses allow."""
    loaded = settings.load({"OAKVALE_SETTINGS": path})
    role_by_bind = {"http": "sluice", "ctl": "headworks"}
    possible_roles = [role for bind, role in role_by_bind.items() if bind in loaded.bind]
    counted = "counted" if loaded.voting else "not counted"
    lines = [
        f"{loaded.node} at {loaded.ip}, zone {loaded.zone or '-'}, region {loaded.region or '-'}; {counted} "
        f"among the machines that may fail; fits: {', '.join(possible_roles) or 'no role'}",
        *(f"{name}: {format_address(address)}" for name, address in loaded.bind.items()),
        f"connections between nodes: ports {loaded.ports[0]} to {loaded.ports[1]}",
        f"seeds: {', '.join(map(format_address, loaded.seeds)) or 'none'}; bootstrap: {loaded.bootstrap}",
        f"limits: {loaded.cpu:g} cores, {loaded.memory_mb} MB, {loaded.nofile} descriptors, "
        f"disk {loaded.disk_mb} MB at {loaded.datadir or '-'}",
        f"tolerated failures at the same time: {loaded.tolerate} machines, or {loaded.tolerate_zones} zones, or "
        f"{loaded.tolerate_regions} regions",
        f"clauses: {', '.join(sorted(loaded.clauses)) or 'none'}",
    ]
    if "ctl" in loaded.bind and loaded.datadir is None:
        raise CheckError(f"{path}: [self] datadir is missing; a headworks (ctl in [network.bind]) requires it")
    return lines


def describe_deployment(path: str) -> list[str]:
    """Summarizes a deploy file."""
    loaded = deploy.load(path)
    return [
        f"build: {loaded.build}",
        f"packages: {', '.join(loaded.packages)}; {loaded.python}",
        *(
            f"{role.name} on {role.on}: {role.machines()}; serves {', '.join(role.serves) or 'no outside interface'}; "
            f"runs {' '.join(role.run)}"
            for role in loaded.roles
        ),
    ]


def describe_configuration(path: str) -> list[str]:
    """Summarizes a configuration."""
    from oakvale.config import model  # imported late: slow to import, and no other check needs it

    try:
        config = model.parse(Path(path).read_bytes())
    except OSError as error:
        raise CheckError(f"{path}: cannot be read: {error.strerror}") from error
    except model.InvalidConfiguration as error:
        raise CheckError(f"{path}: {error}") from error
    safe_routes = sum(route.type == "safe" for route in config.routes)
    limited_tenants = sum(tenant.rate > 0 for tenant in config.tenants or [])
    keys = sum(len(tenant.apikeys) for tenant in config.tenants or [])
    return [
        f"gen {config.gen}",
        f"routes: {len(config.routes)}, {safe_routes} of them safe, "
        f"on {len({route.vhost.lower() for route in config.routes})} hosts",
        f"services: {', '.join(service.name for service in config.svcs)}",
        "tenants: none; requests need no API key"
        if config.tenants is None
        else f"tenants: {len(config.tenants)} with {keys} keys, {limited_tenants} of them with a quota",
    ]


def describe_contracts(path: str) -> list[str]:
    """Summarizes a contracts file."""
    from oakvale.config import contracts  # imported late, as above
    from oakvale.drains.hours import DAY

    loaded = contracts.load(path)
    contract_lines = [
        f"{name}: {contract.zone}, {sum(map(len, contract.week))} time ranges a week, "
        f"{len(contract.dates)} exceptions, notice {contract.notice / DAY:g} days"
        for name, contract in sorted(loaded.by_tenant.items())
    ]
    order_lines = [
        f"order {order.name}: {order.kind} {order.target}, by {order.by}: {order.why}" for order in loaded.orders
    ]
    return contract_lines + order_lines or ["no contracts"]
