"""Drawn messages of any size between processes on thin links, which freeze and end meanwhile.

`test_links.py` compares short messages with a model; here messages go in parts.
"""

from __future__ import annotations

from collections import defaultdict
from functools import partial
from random import Random
from typing import Any

import pytest

from oakvale.base.address import Address
from oakvale.base.limits import MS, SECOND
from oakvale.base.loop import Loop
from oakvale.lab.simulation.events import Events
from oakvale.lab.simulation.machines import Costs, Process
from oakvale.lab.simulation.wires import Machine, Wires
from oakvale.transport.links import PART_ACK_TIMEOUT_US, Answer, Connection, Transport
from tests.thin_links import GATEWAY_MBPS, GATEWAY_SHARE, LIMITS, PORT

PROCESSES = 5
MESSAGES = 150
KINDS = ("news", "digests", "levels")
MAX_UNSPLIT_BYTES = 4_096
SIZES = (10, 5_000, 17_000, 40_000)


class Scenario:
    """The processes, and what each received, by sender and kind."""

    def __init__(self, seed: int) -> None:
        self.rng, self.events = Random(seed), Events()
        self.wires = Wires(self.events, Random(seed), between=500)
        self.received: dict[tuple[int, int, str], list[int]] = defaultdict(list)
        self.sent: dict[tuple[int, int, str], list[int]] = defaultdict(list)
        self.machines = [
            Machine(self.wires, f"m{n}", f"10.1.0.{n + 1}", "zone", GATEWAY_SHARE, GATEWAY_MBPS, GATEWAY_MBPS)
            for n in range(PROCESSES)
        ]
        self.processes = [self._start(n) for n in range(PROCESSES)]

    def address(self, number: int) -> Address:
        return (self.machines[number].ip, PORT)

    def _start(self, number: int) -> Process:
        process = Process(self.machines[number], Random(self.rng.getrandbits(32)), LIMITS, Costs())
        process.begin(lambda loop: self._transport(loop, number))
        return process

    def _transport(self, loop: Loop, number: int) -> Transport:
        transport = Transport(loop, self.address(number))
        for kind in KINDS:
            transport.handlers[kind] = partial(self._on_message, number, kind)
        transport.listen()
        return transport

    def _on_message(self, receiver: int, kind: str, conn: Connection, body: Any, answer: Answer) -> None:
        self.received[int(body[0]), receiver, kind].append(int(body[1]))
        answer(bytes(self.rng.choice(SIZES)))

    def send(self, number: int) -> None:
        sender, receiver = self.rng.sample(range(PROCESSES), 2)
        kind, size, asks = self.rng.choice(KINDS), self.rng.choice(SIZES), self.rng.random() < 0.5
        transport: Transport = self.processes[sender].works

        def transmit() -> None:
            conn = transport.link(self.address(receiver))
            if conn is None:
                return
            conn.max_unsplit_bytes = MAX_UNSPLIT_BYTES
            self.sent[sender, receiver, kind].append(number)
            body = [sender, number, bytes(size)]
            if asks:
                conn.ask(kind, body, 30 * SECOND, lambda answer: None)
            else:
                conn.send(kind, 0, body)

        self.processes[sender].post(transmit)

    def _connect_all(self) -> None:
        """A message on a connection that fails to open is lost, as its sender expects."""
        for process in self.processes:
            for receiver in range(PROCESSES):
                if self.address(receiver) != process.works.self_address:
                    process.post(partial(process.works.link, self.address(receiver)))
        self.events.run(self.events.now + SECOND)

    def disturb(self) -> None:
        number = self.rng.randrange(PROCESSES)
        if self.rng.random() < 0.5:
            machine = self.machines[number]
            machine.pause()
            self.events.at(self.events.now + self.rng.randrange(2 * SECOND), lambda _: machine.resume())
        else:
            self.processes[number].end()
            self.processes[number] = self._start(number)

    def run(self, disturbances: bool) -> None:
        self._connect_all()
        for number in range(MESSAGES):
            self.send(number)
            if disturbances and self.rng.random() < 0.05:
                self.disturb()
            self.events.run(self.events.now + self.rng.choice((0, 1, 20, 100)) * MS)
        self.events.run(self.events.now + 40 * SECOND + 2 * PART_ACK_TIMEOUT_US)


@pytest.mark.parametrize("disturbances", [False, True])
@pytest.mark.parametrize("seed", range(8))
def test_all_messages_arrive_in_order_and_no_part_stays_counted(seed: int, disturbances: bool) -> None:
    scenario = Scenario(seed)
    scenario.run(disturbances)
    transports: list[Any] = [process.works for process in scenario.processes]
    assert [transport.parts_in_flight for transport in transports] == [0] * PROCESSES
    assert not any(transport.ready_for_part for transport in transports)
    for key, sent in scenario.sent.items():
        received = scenario.received[key]
        assert received == [number for number in sent if number in received]  # in order, none twice
        if not disturbances:
            assert received == sent
