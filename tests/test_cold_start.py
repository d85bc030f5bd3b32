"""A cold start: many gateways without state ask a new primary for it at once, each over a thin link."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import Any

import pytest

from oakvale.base.address import Address, parse_address
from oakvale.base.limits import MB, MS, SECOND, Limits
from oakvale.base.loop import Loop
from oakvale.dissemination.feed import HEARTBEAT_INTERVAL_US, STALE_AFTER_US, Feed
from oakvale.dissemination.table import Table
from oakvale.dissemination.tree import Member, Members, update_sources
from oakvale.lab.simulation.events import Events
from oakvale.lab.simulation.machines import Costs, Process
from oakvale.lab.simulation.wires import Machine, Wires
from oakvale.transport.links import Transport
from tests.thin_links import (
    CONFIG_BYTES,
    GATEWAY_MBPS,
    GATEWAY_SHARE,
    PORT,
    Deployment,
    core_address_text,
    tenants_text,
)

RECEIVERS, LONG_BYTES = 12, 200_000
HEARTBEAT_DELAY_BOUND_US = STALE_AFTER_US  # then a subscriber turns to another source
APPLY_BOUND_US = 4 * SECOND  # of the large deployments


class GatewayProcess:
    """The part of a gateway that receives and relays the state."""

    def __init__(self, loop: Loop, member: Member) -> None:
        self.loop, self.member, self.table, self._core = loop, member, Table(), core_address_text()
        self._members = Members()
        address = parse_address(member.address)
        assert address is not None
        transport = Transport(loop, address)
        self.config_received_at: dict[int, int] = {}  # by generation
        self.feed = Feed(loop, transport, self.table, dict, self._sources, self._changed)
        transport.listen()

    def _sources(self, failed: dict[str, int]) -> list[str]:
        return update_sources(self._members, self.member.node, self.member.zone, [self._core], failed)

    def _changed(self, keys: list[str]) -> None:
        if "config" in keys:
            self.config_received_at.setdefault(self.table.get("config")["gen"], self.loop.now)
        if any(key.startswith("gate/") for key in keys):
            gates = self.table.items("gate/")
            self._members = Members(Member(node, gate["addr"], gate["az"], gate["life"]) for node, gate in gates)
            self.feed.reselect_source()


def deployment_of(seed: int) -> Deployment:
    """Gateways that only receive and relay the state, an incompressible configuration among it."""
    return Deployment(
        seed,
        lambda process, loop, member: GatewayProcess(loop, member),
        Random(seed).randbytes(CONFIG_BYTES),
    )


def longest_delay(deployment: Deployment, generation: int, since: int) -> float:
    """Seconds until the last gateway received a generation; infinite if one lacks it."""
    received = [gateway.config_received_at.get(generation) for gateway in deployment.gateways()]
    return max(float("inf") if at is None else (at - since) / SECOND for at in received)


@pytest.mark.parametrize("seed", [1, 2])
def test_all_gateways_of_a_cold_start_hold_the_state_within_the_apply_bound(seed: int) -> None:
    deployment = deployment_of(seed)
    deployment.run(20 * SECOND)
    assert longest_delay(deployment, 1, deployment.started_at) <= APPLY_BOUND_US / SECOND


@pytest.mark.parametrize(
    "text",
    [
        pytest.param(Random(2).randbytes(24_000), id="noise of 24 KB"),
        pytest.param(Random(2).randbytes(30_000), id="noise of 30 KB"),
        pytest.param(Random(2).randbytes(60_000), id="noise of 60 KB"),
        pytest.param(tenants_text(Random(2), 100_000), id="tenants of 100 KB"),
    ],
)
def test_a_large_configuration_reaches_all_gateways_within_the_apply_bound(text: bytes) -> None:
    """On thin links it must not hold up the heartbeats: subscribers without them ask other sources for it again."""
    deployment = deployment_of(1)
    deployment.run(8 * SECOND)
    requests_before = deployment.subscription_bytes()
    changed_at = deployment.change("config", {"gen": 2, "text": text})
    deployment.run(10 * SECOND)
    assert longest_delay(deployment, 2, changed_at) <= APPLY_BOUND_US / SECOND
    assert deployment.subscription_bytes() == requests_before


def test_parts_to_many_receivers_do_not_delay_heartbeats_on_a_thin_link() -> None:
    """A relay on a thin link sends a long message to each of its subscribers: its parts must not queue there."""
    events = Events()
    wires, limits = Wires(events, Random(1)), Limits.fill(2_000, 200 * MB, 300 * MS, 9 * SECOND, 150 * MS, 4_000)
    delays: list[int] = []

    def make_transport(loop: Loop, address: Address) -> Transport:
        transport = Transport(loop, address)
        transport.handlers["alive"] = lambda conn, body, answer: delays.append(events.now - int(body))
        transport.listen()
        return transport

    transports: list[Transport] = []
    for number in range(1 + RECEIVERS):
        machine = Machine(wires, f"m{number}", f"10.1.0.{number}", "zone", GATEWAY_SHARE, GATEWAY_MBPS, GATEWAY_MBPS)
        process = Process(machine, Random(number), limits, Costs())
        address = (machine.ip, PORT)
        process.begin(partial(make_transport, address=address))
        transports.append(process.works)
    relay = transports[0]

    def send_heartbeats(_: Any) -> None:
        for receiver in transports[1:]:
            relay.tell(receiver.self_address, "alive", events.now)
        relay.loop.at(relay.loop.now + HEARTBEAT_INTERVAL_US, send_heartbeats)

    def send_long_messages(_: Any) -> None:
        for receiver in transports[1:]:
            relay.tell(receiver.self_address, "long", bytes(LONG_BYTES))

    relay.loop.at(relay.loop.now, send_long_messages)
    relay.loop.at(relay.loop.now, send_heartbeats)
    events.run(events.now + 6 * SECOND)
    assert len(delays) > 10 * RECEIVERS and max(delays) <= HEARTBEAT_DELAY_BOUND_US
