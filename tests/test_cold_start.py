"""A cold start: many gateways without state ask a new primary for it at once, each over a thin link."""

from __future__ import annotations

import json
from functools import partial
from random import Random
from typing import Any

import pytest

from oakvale.base.address import Address, format_address
from oakvale.base.limits import MB, MS, SECOND, Limits
from oakvale.base.loop import Loop
from oakvale.dissemination.feed import HEARTBEAT_INTERVAL_US, READS_COMPRESSED, STALE_AFTER_US, Feed, Publisher
from oakvale.dissemination.table import Entry, Table, Version
from oakvale.dissemination.tree import Member, Members, update_sources
from oakvale.lab.simulation.events import Events
from oakvale.lab.simulation.machines import Costs, Process
from oakvale.lab.simulation.wires import Machine, Wires
from oakvale.transport.links import Answer, Connection, Transport

GATEWAYS_PER_ZONE, ZONES = 31, 6
BACKENDS = 361
CONFIG_BYTES = 24_000
GATEWAY_MBPS, GATEWAY_SHARE, CORE_SHARE = 2.0, 0.43, 1.29
PORT = 7340
TENANT_ROW_BYTES = 80
RECEIVERS, LONG_BYTES = 12, 200_000
HEARTBEAT_DELAY_BOUND_US = STALE_AFTER_US  # then a subscriber turns to another source
APPLY_BOUND_US = 4 * SECOND  # of the large deployments


def gateway_member(number: int) -> Member:
    zone = number % ZONES
    return Member(f"edge-{zone}-{number}", f"10.1.{zone}.{number}:{PORT}", f"zone-{zone}", f"life{number:08d}")


def state_entries(rng: Random) -> list[Entry]:
    """The state of a large deployment: its gateways, its backends and an incompressible configuration."""
    values: dict[str, Any] = {}
    for number in range(GATEWAYS_PER_ZONE * ZONES):
        member = gateway_member(number)
        values[f"gate/{member.node}"] = {"addr": member.address, "az": member.zone, "life": member.incarnation}
    for number in range(BACKENDS):
        values[f"backend/i-{rng.randbytes(5).hex()}"] = {
            "svc": f"service-{number % 3}",
            "addr": f"10.2.{number % ZONES}.{number % 250}:8080",
            "az": f"zone-{number % ZONES}",
            "state": "ready",
            "gen": "v1",
            "slots": 2,
            "warmup_time": 0,
        }
    values["config"] = {"gen": 1, "text": rng.randbytes(CONFIG_BYTES)}
    return [(key, (1, sequence + 1), value) for sequence, (key, value) in enumerate(values.items())]


class PrimaryProcess:
    """What gateways see of the primary."""

    def __init__(self, loop: Loop, address: Address, entries: list[Entry]) -> None:
        self.loop, self.transport, self.table = loop, Transport(loop, address), Table()
        self.table.put(entries)
        self.publisher = Publisher(self.table)
        self._pulse_number = 0
        self.transport.handlers["subscribe"] = self._on_subscribe
        self.transport.handlers["leave"] = lambda conn, body, answer: self.publisher.unsubscribe(conn)
        self.transport.handlers["digests"] = lambda conn, body, answer: self.publisher.send_repair(conn, body, answer)
        self.transport.listen()
        loop.at(loop.now, self._publish_pulse)

    def _next_pulse(self) -> Version:
        self._pulse_number += 1
        return (1, self._pulse_number)

    def _publish_pulse(self, _: Any) -> None:
        self.publisher.publish(self._next_pulse(), [])
        self.loop.at(self.loop.now + HEARTBEAT_INTERVAL_US, self._publish_pulse)

    def _on_subscribe(self, conn: Connection, body: Any, answer: Answer) -> None:
        answer({})
        highest_version = (int(body["high"][0]), int(body["high"][1]))
        self.publisher.subscribe(conn, highest_version, self._next_pulse(), bool(body.get(READS_COMPRESSED)))

    def change(self, key: str, value: Any) -> None:
        entries = [(key, (1, self.table.highest_version[1] + 1), value)]
        self.table.put(entries)
        self.publisher.publish(self._next_pulse(), entries)


class GatewayProcess:
    """The part of a gateway that receives and relays the state."""

    def __init__(self, loop: Loop, member: Member, address: Address, core: str) -> None:
        self.loop, self.member, self.table, self._core = loop, member, Table(), core
        self._members = Members()
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


class Deployment:
    """A primary on a wide link and gateways on thin ones, all started within 0.3 s."""

    def __init__(self, seed: int, config_bytes: int = CONFIG_BYTES) -> None:
        rng = Random(seed)
        self.events = Events()
        self.wires = Wires(self.events, Random(seed), between=500)
        self.started_at = self.events.now
        core = Machine(self.wires, "core", "10.0.0.1", "zone-0", CORE_SHARE)
        core_address = (core.ip, PORT)
        limits = Limits.fill(2_000, 200 * MB, 300 * MS, 9 * SECOND, 150 * MS, 4_000)
        entries = state_entries(rng)
        core_process = Process(core, Random(seed), limits, Costs())
        core_process.begin(lambda loop: PrimaryProcess(loop, core_address, entries))
        self.primary: PrimaryProcess = core_process.works
        self._processes: list[Process] = []
        for number in range(GATEWAYS_PER_ZONE * ZONES):
            member = gateway_member(number)
            ip = member.address.partition(":")[0]
            machine = Machine(self.wires, member.node, ip, member.zone, GATEWAY_SHARE, GATEWAY_MBPS, GATEWAY_MBPS)
            process = Process(machine, Random(seed + number), limits, Costs())
            self._processes.append(process)
            address = (ip, PORT)

            def begin(_: Any, process: Process = process, member: Member = member, address: Address = address) -> None:
                process.begin(lambda loop: GatewayProcess(loop, member, address, format_address(core_address)))

            self.events.at(self.events.now + rng.randrange(300 * MS), begin)

    def run(self, span_us: int) -> None:
        self.events.run(self.events.now + span_us)

    def gateways(self) -> list[GatewayProcess]:
        return [process.works for process in self._processes]

    def subscription_bytes(self) -> int:
        """Bytes of all requests for updates so far."""
        return sum(gateway.feed.transport.sent_bytes["subscribe"] for gateway in self.gateways())

    def longest_delay(self, generation: int, since: int) -> float:
        """Seconds until the last gateway received a generation; infinite if one lacks it."""
        received = [gateway.config_received_at.get(generation) for gateway in self.gateways()]
        return max(float("inf") if at is None else (at - since) / SECOND for at in received)


@pytest.mark.parametrize("seed", [1, 2])
def test_all_gateways_of_a_cold_start_hold_the_state_within_the_apply_bound(seed: int) -> None:
    deployment = Deployment(seed)
    deployment.run(20 * SECOND)
    assert deployment.longest_delay(1, deployment.started_at) <= APPLY_BOUND_US / SECOND


def tenants_text(rng: Random, size: int) -> bytes:
    """About `size` bytes of a configuration that is mostly random keys, the part that compresses least."""
    alphabet, rows = "abcdefghijklmnopqrstuvwxyz0123456789", list[Any]()
    while len(rows) * TENANT_ROW_BYTES < size:
        keys = ["".join(rng.choices(alphabet, k=20)) for _ in range(2)]
        rows.append([f"tenant-{len(rows)}", keys, 1, rng.randrange(99), rng.randrange(99)])
    return json.dumps({"cols": ["name", "apikeys", "prio", "rate-per-s", "burst"], "rows": rows}).encode()


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
    deployment = Deployment(1)
    deployment.run(8 * SECOND)
    changed_at, requests_before = deployment.events.now, deployment.subscription_bytes()
    value = {"gen": 2, "text": text}
    deployment.primary.loop.at(0, lambda _: deployment.primary.change("config", value))
    deployment.run(10 * SECOND)
    assert deployment.longest_delay(2, changed_at) <= APPLY_BOUND_US / SECOND
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
