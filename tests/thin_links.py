"""A simulated deployment: a primary on a wide link and many gateways on thin ones, all started within 0.3 s."""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random
from typing import Any

from oakvale.base.address import Address, format_address
from oakvale.base.limits import MB, MS, SECOND, Limits
from oakvale.base.loop import Loop
from oakvale.dissemination.feed import HEARTBEAT_INTERVAL_US, READS_COMPRESSED
from oakvale.dissemination.freshness import Stamp
from oakvale.dissemination.publisher import Publisher
from oakvale.dissemination.table import NO_VERSION, Entry, Table, Version
from oakvale.dissemination.tree import Member
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
CORE_ADDRESS: Address = ("10.0.0.1", PORT)
LIMITS = Limits.fill(2_000, 200 * MB, 300 * MS, 9 * SECOND, 150 * MS, 4_000)

MakeGateway = Callable[[Process, Loop, Member], Any]  # makes what runs on a gateway's machine


def gateway_member(number: int) -> Member:
    """The gateway of this number, as the gateway list has it."""
    zone = number % ZONES
    return Member(f"edge-{zone}-{number}", f"10.1.{zone}.{number}:{PORT}", f"zone-{zone}", f"life{number:08d}")


def tenants_text(rng: Random, size: int) -> bytes:
    """About `size` bytes of a configuration that is mostly random keys, the part that compresses least."""
    alphabet, rows = "abcdefghijklmnopqrstuvwxyz0123456789", list[Any]()
    while len(rows) * TENANT_ROW_BYTES < size:
        keys = ["".join(rng.choices(alphabet, k=20)) for _ in range(2)]
        rows.append([f"tenant-{len(rows)}", keys, 1, rng.randrange(99), rng.randrange(99)])
    return json.dumps({"cols": ["name", "apikeys", "prio", "rate-per-s", "burst"], "rows": rows}).encode()


def state_entries(rng: Random, gateways: int, config_text: bytes) -> list[Entry]:
    """The state of a large deployment: its gateways, its backends and a configuration."""
    values: dict[str, Any] = {}
    for number in range(gateways):
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
    values["config"] = {"gen": 1, "text": config_text}
    return [(key, (1, sequence + 1), value) for sequence, (key, value) in enumerate(values.items())]


class PrimaryProcess:
    """What gateways see of the primary."""

    def __init__(self, loop: Loop, address: Address, entries: list[Entry], view: int = 1) -> None:
        self.loop, self.transport, self.table, self.view = loop, Transport(loop, address), Table(), view
        self.table.put(entries)
        self.publisher = Publisher(self.table, self._stamp)
        self._pulse_number = 0
        self.transport.handlers["subscribe"] = self._on_subscribe
        self.transport.handlers["leave"] = lambda conn, body, answer: self.publisher.unsubscribe(conn)
        self.transport.handlers["digests"] = lambda conn, body, answer: self.publisher.send_repair(conn, body, answer)
        self.transport.handlers["stamp"] = lambda conn, body, answer: answer([self._stamp().pack(), 0])
        self.transport.handlers["join"] = self._on_join
        self.transport.listen()
        loop.at(loop.now, self._publish_pulse)

    def _next_pulse(self) -> Version:
        self._pulse_number += 1
        return (self.view, self._pulse_number)

    def _stamp(self) -> Stamp:
        return Stamp((self.view, 1), self.loop.clock(), self.table.highest_gateway_version)

    def _publish_pulse(self, _: Any) -> None:
        self.publisher.publish(self._next_pulse(), [])
        self.loop.at(self.loop.now + HEARTBEAT_INTERVAL_US, self._publish_pulse)

    def _on_subscribe(self, conn: Connection, body: Any, answer: Answer) -> None:
        answer({})
        highest_version = (int(body["high"][0]), int(body["high"][1]))
        self.publisher.subscribe(conn, highest_version, self._next_pulse(), bool(body.get(READS_COMPRESSED)))

    def _on_join(self, conn: Connection, body: Any, answer: Answer) -> None:
        self.change(f"gate/{body['node']}", {"addr": body["addr"], "az": body["az"], "life": body["life"]})
        answer({"joined": True})

    def change(self, key: str, value: Any) -> None:
        """Puts a value into force and publishes it."""
        entries = [(key, (self.view, self.table.highest_version[1] + 1), value)]
        self.table.put(entries)
        self.publisher.publish(self._next_pulse(), entries)


class Deployment:
    """The machines and processes. Nothing runs before `run` is called."""

    def __init__(
        self, seed: int, make_gateway: MakeGateway, config_text: bytes, gateways: int = GATEWAYS_PER_ZONE * ZONES
    ) -> None:
        rng = Random(seed)
        self.events = Events()
        self.wires = Wires(self.events, Random(seed), between=500)
        self.started_at = self.events.now
        self._seed, self._make_gateway = seed, make_gateway
        self._core = Machine(self.wires, "core", CORE_ADDRESS[0], "zone-0", CORE_SHARE)
        self._core_process = self._start_primary(state_entries(rng, gateways, config_text), 1)
        self._processes: list[Process] = []
        for number in range(gateways):
            member = gateway_member(number)
            ip = member.address.partition(":")[0]
            machine = Machine(self.wires, member.node, ip, member.zone, GATEWAY_SHARE, GATEWAY_MBPS, GATEWAY_MBPS)
            self._processes.append(Process(machine, Random(seed + number), LIMITS, Costs()))
            self._begin_after(number, rng.randrange(300 * MS))

    def _start_primary(self, entries: list[Entry], view: int) -> Process:
        process = Process(self._core, Random(self._seed), LIMITS, Costs())
        process.begin(lambda loop: PrimaryProcess(loop, CORE_ADDRESS, entries, view))
        return process

    def _begin_after(self, number: int, delay_us: int) -> None:
        process, member = self._processes[number], gateway_member(number)

        def begin(_: Any) -> None:
            process.begin(lambda loop: self._make_gateway(process, loop, member))

        self.events.at(self.events.now + delay_us, begin)

    @property
    def primary(self) -> PrimaryProcess:
        """What runs on the primary's machine."""
        works: PrimaryProcess = self._core_process.works
        return works

    def restart(self, number: int, down_us: int) -> None:
        """Kills the process of a gateway; another one runs so long after."""
        machine = self._processes[number].machine
        self._processes[number].end()
        self._processes[number] = Process(machine, Random(self.events.now + number), LIMITS, Costs())
        self._begin_after(number, down_us)

    def replace_primary(self) -> None:
        """Another process serves the same state in the next view."""
        old = self.primary
        self._core_process.end()
        self._core_process = self._start_primary(old.table.since(NO_VERSION), old.view + 1)

    def run(self, span_us: int) -> None:
        """Lets simulated time pass."""
        self.events.run(self.events.now + span_us)

    def change(self, key: str, value: Any) -> int:
        """Has the primary put a value into force; returns when."""
        self.primary.loop.at(0, lambda _: self.primary.change(key, value))
        return self.events.now

    def gateways(self) -> list[Any]:
        """What runs on the machines of the gateways that have started."""
        return [process.works for process in self._processes if process.works is not None]

    def freeze(self, number: int, span_us: int) -> None:
        """Stops the process of a gateway for a while, as SIGSTOP does; what is sent to it waits in its sockets."""
        machine = self._processes[number].machine
        machine.pause()
        self.events.at(self.events.now + span_us, lambda _: machine.resume())

    def subscription_bytes(self) -> int:
        """Bytes of all requests for updates so far."""
        return sum(gateway.feed.transport.sent_bytes["subscribe"] for gateway in self.gateways())


def core_address_text() -> str:
    """The primary's address as settings have it."""
    return format_address(CORE_ADDRESS)
