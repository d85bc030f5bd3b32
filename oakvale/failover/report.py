"""What `oakvale chain` prints of the chains that a process holds. Slots are of mean speed."""

from __future__ import annotations

from collections.abc import Iterable

from oakvale.failover.chains import Chain, Chains


class UnknownName(Exception):
    """One line: what is not there, and what is."""


def show(chains: Chains) -> list[str]:
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
            others = [(c, c.failed_zones) for c in chains.chains_without(zone, service) if c.home == zone]
            lines += [f"    fails: {_steps(chain)}" for chain, _ in others]
    return lines


def check(chains: Chains) -> list[str]:
    """Failures that can't be held, the worst first; none: an empty list."""
    found = sorted(chains.uncovered_failures(), key=lambda item: (len(item[0]), -item[2] / item[3]))
    return [
        f"{' and '.join(sorted(out))} out: {service} lacks {refused:.1f} of {asked:.1f} slots "
        f"({100 * refused / asked:.0f} %)"
        for out, service, refused, asked in found
    ]


def explain(chains: Chains, place: str, service: str) -> list[str]:
    """Raises Unknown."""
    places = chains.hierarchy.locations()
    if place not in places:
        raise UnknownName(f"no place {place!r}; there are {_list(places)}")
    if service not in chains.limits:
        raise UnknownName(f"no service {service!r}; there are {_list(chains.limits)}")
    out, limits = places[place], chains.limits[service]
    lines = [f"{place} ({', '.join(sorted(out))}) out, {service}, version {chains.version}"]
    up = {zone: limit for zone, limit in limits.items() if zone not in out}
    if not up:
        return [*lines, "  nothing is left: it is not moved, and each request is tried where it is"]
    found = chains.chains_without(place, service)
    lines += [f"  clients of {chain.home}: {_steps(chain)}" for chain in found]
    for zone, limit in sorted(up.items()):
        takes = sum(step.slots for chain in found for step in chain.steps if step.zone == zone)
        lines.append(f"  {zone} then has {takes:.1f} of {limit:.1f} slots")
    return lines


def _steps(chain: Chain) -> str:
    steps = ", then ".join(f"{step.zone} {step.slots:.1f}" for step in chain.steps) or "nowhere"
    refused = "; ".join(f"rank {rank}: {work:.1f} refused" for rank, work in sorted(chain.refused_slots.items())[::-1])
    return f"{steps}{'; ' + refused if refused else ''}"


def _list(names: Iterable[str]) -> str:
    return ", ".join(sorted(names)) or "none"
