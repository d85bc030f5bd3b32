"""The output of `oakvale chain`, from the failover chains of a running process. Slots are of mean speed."""

from __future__ import annotations

from collections.abc import Iterable

from oakvale.failover.chains import Chain, Chains


class UnknownName(Exception):
    """An unknown location or service; the message lists the known ones in one line."""


def show(chains: Chains) -> list[str]:
    """All locations and services, with the limits of each zone and its chains if it fails alone."""
    lines = [f"version {chains.version}, headroom {chains.headroom:g}, {len(chains.roster)} gateways"]
    for name, zones in sorted(chains.hierarchy.locations().items(), key=lambda item: (len(item[1]), item[0])):
        if zones != {name}:
            lines.append(f"{name}: {', '.join(sorted(zones))}")
    for service, limits in sorted(chains.limits.items()):
        lines.append(f"service {service}")
        for zone, limit in sorted(limits.items()):
            asked = sum(load.work for load in chains.loads if load.service == service and load.home == zone)
            lines.append(
                f"  {zone}: takes {limit:.1f} slots, {chains.autonomous_share[service][zone]:.2f} by each gateway "
                f"that can't ask; its clients ask for {asked:.1f}"
            )
            others = [
                (chain, chain.failed_zones) for chain in chains.chains_without(zone, service) if chain.home == zone
            ]
            lines += [f"    fails: {_steps(chain)}" for chain, _ in others]
    return lines


def check(chains: Chains) -> list[str]:
    """The failures of one or two locations without enough capacity, worst first."""
    uncovered = sorted(chains.uncovered_failures(), key=lambda item: (len(item[0]), -item[2] / item[3]))
    return [
        f"{' and '.join(sorted(failed_zones))} out: {service} lacks {refused:.1f} of {demanded:.1f} slots "
        f"({100 * refused / demanded:.0f} %)"
        for failed_zones, service, refused, demanded in uncovered
    ]


def explain(chains: Chains, location: str, service: str) -> list[str]:
    """What happens to a service if a location fails. Raises UnknownName."""
    locations = chains.hierarchy.locations()
    if location not in locations:
        raise UnknownName(f"no place {location!r}; there are {_joined_names(locations)}")
    if service not in chains.limits:
        raise UnknownName(f"no service {service!r}; there are {_joined_names(chains.limits)}")
    failed_zones, limits = locations[location], chains.limits[service]
    lines = [f"{location} ({', '.join(sorted(failed_zones))}) out, {service}, version {chains.version}"]
    remaining = {zone: limit for zone, limit in limits.items() if zone not in failed_zones}
    if not remaining:
        return [*lines, "  nothing is left: it is not moved, and each request is tried where it is"]
    affected = chains.chains_without(location, service)
    lines += [f"  clients of {chain.home}: {_steps(chain)}" for chain in affected]
    for zone, limit in sorted(remaining.items()):
        taken = sum(step.slots for chain in affected for step in chain.steps if step.zone == zone)
        lines.append(f"  {zone} then has {taken:.1f} of {limit:.1f} slots")
    return lines


def _steps(chain: Chain) -> str:
    """The steps of a chain and what is refused, lowest rank first."""
    steps = ", then ".join(f"{step.zone} {step.slots:.1f}" for step in chain.steps) or "nowhere"
    refused = "; ".join(f"rank {rank}: {work:.1f} refused" for rank, work in sorted(chain.refused_slots.items())[::-1])
    return f"{steps}{'; ' + refused if refused else ''}"


def _joined_names(names: Iterable[str]) -> str:
    return ", ".join(sorted(names)) or "none"
