"""`oakvale check`: what a file holds, in a few lines, or `Wrong` with file, place and field."""

from __future__ import annotations

from pathlib import Path

from oakvale.base.address import format_address
from oakvale.config import deploy, settings
from oakvale.config.toml_table import BadFile


class Wrong(Exception):
    """One line."""


def check(kind: str, path: str) -> list[str]:
    try:
        return {"settings": of_settings, "deploy": of_deploy, "config": of_config, "contracts": of_contracts}[kind](
            path
        )
    except BadFile as error:
        raise Wrong(str(error)) from error


def of_settings(path: str) -> list[str]:
    told = settings.load({"OAKVALE_SETTINGS": path})
    role = {"http": "sluice", "ctl": "headworks"}
    fits = [name for bind, name in role.items() if bind in told.bind]
    counted = "counted" if told.voting else "not counted"
    lines = [
        f"{told.node} at {told.ip}, zone {told.zone or '-'}, region {told.region or '-'}; {counted} among those that "
        f"may be lost; fits: {', '.join(fits) or 'no role'}",
        *(f"{name}: {format_address(address)}" for name, address in told.bind.items()),
        f"between gateways: ports {told.ports[0]} to {told.ports[1]}",
        f"seeds: {', '.join(map(format_address, told.seeds)) or 'none'}; first start of the system: {told.bootstrap}",
        f"limits: {told.cpu:g} cores, {told.memory_mb} MB, {told.nofile} descriptors, "
        f"disk {told.disk_mb} MB at {told.datadir or '-'}",
        f"to be borne at once: {told.tolerate} machines, or {told.tolerate_zones} zones, or "
        f"{told.tolerate_regions} regions",
        f"clauses: {', '.join(sorted(told.clauses)) or 'none'}",
    ]
    if "ctl" in told.bind and told.datadir is None:
        raise Wrong(f"{path}: [self] datadir is missing, which a headworks (ctl in [network.bind]) needs")
    return lines


def of_deploy(path: str) -> list[str]:
    found = deploy.load(path)
    return [
        f"build: {found.build}",
        f"packages: {', '.join(found.packages)}; {found.python}",
        *(
            f"{role.name} on {role.on}: {role.machines()}; serves {', '.join(role.serves) or 'nobody outside'}; "
            f"runs {' '.join(role.run)}"
            for role in found.roles
        ),
    ]


def of_config(path: str) -> list[str]:
    from oakvale.config import model  # slow to import, and no other check needs it

    try:
        config = model.parse(Path(path).read_bytes())
    except OSError as error:
        raise Wrong(f"{path}: cannot be read: {error.strerror}") from error
    except model.Invalid as error:
        raise Wrong(f"{path}: {error}") from error
    safe = sum(route.type == "safe" for route in config.routes)
    limited = sum(tenant.rate > 0 for tenant in config.tenants or [])
    keys = sum(len(tenant.apikeys) for tenant in config.tenants or [])
    return [
        f"gen {config.gen}",
        f"routes: {len(config.routes)}, {safe} of them safe, on {len({r.vhost.lower() for r in config.routes})} hosts",
        f"services: {', '.join(service.name for service in config.svcs)}",
        "tenants: no key is asked for"
        if config.tenants is None
        else f"tenants: {len(config.tenants)} with {keys} keys, {limited} of them with a quota",
    ]


def of_contracts(path: str) -> list[str]:
    from oakvale.config import contracts  # as above
    from oakvale.drains.hours import DAY

    found = contracts.load(path)
    spans = [
        f"{name}: {contract.zone}, {sum(map(len, contract.week))} spans a week, {len(contract.dates)} exceptions, "
        f"notice {contract.notice / DAY:g} days"
        for name, contract in sorted(found.by_tenant.items())
    ]
    orders = [f"order {order.name}: {order.kind} {order.target}, by {order.by}: {order.why}" for order in found.orders]
    return spans + orders or ["no contracts"]
