"""Gateways whose state is older than it looks: at a start while a change is made, after a freeze, after a lost update.

The state of each is long on its way over a thin link. A change is in force after `apply` everywhere, also at a gateway
that started a moment ago and at one whose start fell into the way of the change.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

import pytest

from oakvale.base.address import format_address
from oakvale.base.limits import MS, SECOND
from oakvale.base.loop import Loop
from oakvale.config.settings import Settings, decode
from oakvale.dataplane.gateway import EdgeGateway
from oakvale.dissemination.feed import HEARTBEAT_INTERVAL_US, REPAIR_INTERVAL_US
from oakvale.dissemination.tree import Member
from oakvale.lab.simulation.machines import Process
from oakvale.memory.requests import ClientRequest
from oakvale.wire.clients import IncomingRequest
from tests.thin_links import CORE_ADDRESS, PORT, Deployment, tenants_text

APPLY_US = 4 * SECOND  # of the large deployments
SMALL_APPLY_US = 2_500 * MS  # of the small ones
RECOVER_US = 15 * SECOND
REVOKE_US = 5 * SECOND
PROBE_INTERVAL_US = 50 * MS
REVOKED_KEY = "revokedkeyrevokedkey"
FILLER_BACKEND = {
    "svc": "service-0",
    "addr": "10.2.0.1:1",
    "az": "z",
    "state": "ready",
    "gen": "x" * 2_000,
    "slots": 1,
}
HTTP_PORT, READYZ_PORT = 8782, 8789


def config(generation: int, tenant_bytes: int, keys: list[str]) -> dict[str, Any]:
    """A configuration whose tenants take about so many bytes, and its own small tenant with these keys."""
    tenants = json.loads(tenants_text(Random(generation), tenant_bytes))
    tenants["rows"].append(["probe", keys, 1, 100, 100])
    text = {
        "gen": generation,
        "routes": {
            "cols": ["name", "vhost", "prefix", "type", "deadline", "target_time", "prio", "tries", "public", "svc"],
            "rows": [["read", "a.example", "/r/", "safe", "5s", "800ms", 2, 2, False, "service-0"]],
        },
        "svcs": {"cols": ["name"], "rows": [["service-0"]]},
        "tenants": tenants,
    }
    return {"gen": generation, "text": json.dumps(text).encode()}


def gateway_settings(member: Member, strict_revoke: bool) -> Settings:
    ip = member.address.partition(":")[0]
    return decode(
        {
            "self": {
                "node": member.node,
                "ip": ip,
                "az": member.zone,
                "rgn": "",
                "voting": False,
                "serves": ["edge"],
                "bootstrap": False,
                "limits": {"cpu": 0.43, "mem-mb": 200, "nofile": 4_100},
            },
            "network": {
                "port-range": [PORT - 1, PORT + 15],
                "seeds": [f"{CORE_ADDRESS[0]}:{CORE_ADDRESS[1] + 1}"],
                "bind": {"http": f"{ip}:{HTTP_PORT}", "readyz": f"{ip}:{READYZ_PORT}"},
                "azs": {member.zone: ""},
            },
            "infra": {"beat": "1500ms"},
            "terms": {
                "tolerance": {"nodes": 1},
                "bounds": {
                    "apply": f"{APPLY_US // MS}ms",
                    "recover": f"{RECOVER_US // MS}ms",
                    "contact": "6s",
                    "strict-revoke": strict_revoke,
                    "revoke": f"{REVOKE_US // MS}ms",
                },
            },
        }
    )


def make_gateway(process: Process, loop: Loop, member: Member, strict_revoke: bool = False) -> EdgeGateway:
    settings = gateway_settings(member, strict_revoke)
    listeners = {name: process.net.listen(address, 64) for name, address in settings.bind.items()}
    gateway = EdgeGateway(settings, listeners, loop)
    gateway._core_addresses = [f"{CORE_ADDRESS[0]}:{CORE_ADDRESS[1]}"]
    return gateway


def accepts_revoked_key(gateway: EdgeGateway) -> bool:
    """Whether the gateway would send a request with the key to a backend now."""
    fields = {b"host": b"a.example", b"attempt-id": b"probe", b"authorization": f"Bearer {REVOKED_KEY}".encode()}
    request = IncomingRequest(b"GET", b"/r/x", [(name, value) for name, value in fields.items()], fields)
    return isinstance(gateway.router.open(None, request, gateway.loop.now), ClientRequest)


@dataclass
class Probes:
    """What probes of all gateways found. Times in microseconds after the change."""

    latest_stale_request: int = 0  # accepted with the key that the change took away
    latest_stale_ready: int = 0  # ready by the configuration before the change
    all_ready: int = 0  # the last gateway became ready by the new configuration


def probe(deployment: Deployment, changed_at: int, span_us: int) -> Probes:
    found = Probes()
    while deployment.events.now < changed_at + span_us:
        deployment.run(PROBE_INTERVAL_US)
        since_change = deployment.events.now - changed_at
        for gateway in deployment.gateways():
            old = gateway.router.snapshot.generation < 2
            if old and accepts_revoked_key(gateway):
                found.latest_stale_request = since_change
            if old and gateway.ready():
                found.latest_stale_ready = since_change
            if old or not gateway.ready():
                found.all_ready = since_change
    return found


def probes_of(gateways: int, tenant_bytes: int, change_after_ms: int) -> Probes:
    """Starts the gateways, takes the key away so long after, and probes until `recover`."""
    old = config(1, tenant_bytes, [REVOKED_KEY])
    deployment = Deployment(1, make_gateway, old["text"], gateways)
    deployment.run(change_after_ms * MS)
    changed_at = deployment.change("config", config(2, tenant_bytes, []))
    return probe(deployment, changed_at, RECOVER_US)


def check_bounds(found: Probes) -> None:
    assert found.latest_stale_request <= APPLY_US
    assert found.latest_stale_ready <= APPLY_US
    assert found.all_ready < RECOVER_US


def test_no_gateway_of_a_large_deployment_starts_by_a_table_replaced_on_its_way() -> None:
    """On 9fe7c8b gateways killed at 15.3 s served by version 25 at 22.17 s, 6.0 s after version 28 was acknowledged."""
    check_bounds(probes_of(gateways=186, tenant_bytes=24_000, change_after_ms=350))


@pytest.mark.parametrize("change_after_ms", [350, 1_500])
def test_no_gateway_starts_by_a_large_table_replaced_on_its_way(change_after_ms: int) -> None:
    check_bounds(probes_of(gateways=24, tenant_bytes=1_600_000, change_after_ms=change_after_ms))


def test_no_gateway_stands_for_a_counting_duty_by_quotas_that_may_have_been_replaced() -> None:
    old = config(1, 1_600_000, [REVOKED_KEY])
    deployment = Deployment(1, make_gateway, old["text"], gateways=8)
    primary, generations = deployment.primary, list[int]()
    primary.table.put([("core", (1, 1 << 20), {"witnesses": [format_address(CORE_ADDRESS)], "copies": []})])

    def on_ballot(conn: Any, body: Any, answer: Any) -> None:
        generations.extend(
            gateway.router.snapshot.generation
            for gateway in deployment.gateways()
            if gateway.self_address == str(body[3])
        )

    primary.transport.handlers["ballot"] = on_ballot
    deployment.run(350 * MS)
    deployment.change("config", config(2, 1_600_000, []))
    deployment.run(9 * SECOND)
    assert generations and min(generations) == 2


def test_a_thawed_gateway_lets_no_revoked_key_in_by_what_waited_in_its_sockets() -> None:
    """The heartbeats that it reads first are as old as the freeze, though they have just arrived."""
    text = config(1, 1_000, [REVOKED_KEY])["text"]
    deployment = Deployment(1, partial(make_gateway, strict_revoke=True), text, gateways=6)
    deployment.run(3 * SECOND)
    gateway = deployment.gateways()[0]
    assert accepts_revoked_key(gateway)
    thawed_at = deployment.events.now + 2 * REVOKE_US
    deployment.freeze(0, 2 * REVOKE_US)
    for number in range(400):  # its connection is full before the key is taken away
        deployment.change(f"backend/i-{number % 20}", None if number % 2 else FILLER_BACKEND)
        deployment.run(MS)
    deployment.change("config", config(2, 1_000, []))
    deployment.run(thawed_at - deployment.events.now)
    accepted = []
    for _ in range(1_000):
        deployment.run(MS)
        accepted.append(accepts_revoked_key(gateway))
    assert not any(accepted) and gateway.router.snapshot.generation == 2
    assert gateway.router.revocations_current()


@pytest.mark.parametrize("number", range(6))
def test_a_change_that_is_lost_on_its_way_is_asked_for_within_the_apply_bound(number: int) -> None:
    """Heartbeats go on, so that the source looks sound; they tell of a version that never came."""
    deployment = Deployment(1, make_gateway, config(1, 1_000, [REVOKED_KEY])["text"], gateways=6)
    deployment.run(REPAIR_INTERVAL_US + SECOND)  # the tables are compared anyway in each such interval
    gateway = deployment.gateways()[number]
    receive = gateway.feed.transport.handlers["news"]

    def lose_entries(conn: Any, body: Any, answer: Any) -> None:
        receive(conn, [body[0], [], *body[2:]], answer)

    gateway.feed.transport.handlers["news"] = lose_entries
    deployment.change("config", config(2, 1_000, []))
    deployment.run(HEARTBEAT_INTERVAL_US // 2)
    gateway.feed.transport.handlers["news"] = receive
    deployment.run(SMALL_APPLY_US - HEARTBEAT_INTERVAL_US // 2)
    assert gateway.router.snapshot.generation == 2
