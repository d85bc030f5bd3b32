"""A core machine cut off or frozen for twenty seconds, in the lab simulation of whole processes. Configurations and
reads are sent to every core machine all the time, and each answer is checked.
"""

from __future__ import annotations

import json
from errno import ECONNRESET
from random import Random
from typing import Any

import pytest

from oakvale.controlplane.core import PEER_TIMEOUT_US
from oakvale.dissemination.feed import STALE_AFTER_US
from oakvale.lab.models.exchanges import Reply, exchange
from oakvale.lab.models.orders import Books
from oakvale.lab.simulation.sockets import Stream
from oakvale.lab.simulation.works import CTL, PORTS, Layout, Station, Works
from tests.test_simulation import day

MS, SECOND = 1_000, 1_000_000
FAULT_US = 20 * SECOND
REQUEST_INTERVAL_US = 130 * MS  # at each machine
MAX_DELAY_US = 60 * MS  # a turn of the loop, timer slack and the network
MAX_RELAY_DELAY_US = 200 * MS  # of a pulse


class Scenario:
    """A simulated system with a client that sends requests to all core machines and checks the answers."""

    def __init__(self, seed: int = 1) -> None:
        layout = Layout(
            tuple((f"edge-{n}", "zxy"[n % 3]) for n in range(4)), tuple((f"core-{n}", "zxy"[n % 3]) for n in range(3))
        )
        self.works = Works(layout, seed)
        self._config = json.loads(Books(day(), Random(seed)).first().text)
        self.highest = 0  # acknowledged number
        self.acked: list[tuple[int, int]] = []  # when `highest` rose, and to what
        # verb, machine, status (0: no answer), time of request and of answer
        self.answers: list[tuple[str, str, int, int, int]] = []
        self._gen = 0
        self.host = self.works.host("operator", "z")
        assert self.host.loop is not None
        self.loop = self.host.loop
        self.works.begin()
        self.works.run_for(2 * SECOND)
        self.loop.at(self.loop.now, self._send_requests)
        self.loop.at(self.loop.now, self._check_gateways)
        self.works.run_for(2 * SECOND)
        assert self.highest > 0
        self.answers.clear()
        [self.leader] = [s for s in self.works.cores if self.serves(s)]
        self.others = [s for s in self.works.cores if s is not self.leader]
        view = self._core(self.leader).view()
        [self.backup] = [s for s in self.others if view.backups[0][0].startswith(f"{s.machine.ip}:")]
        [self.third] = [s for s in self.others if s is not self.backup]

    @staticmethod
    def _core(station: Station) -> Any:
        return station.process.works.core if station.process is not None and station.up else None

    def serves(self, station: Station) -> bool:
        core = self._core(station)
        return core is not None and bool(core.serving())

    def cut(self, isolated: list[Station], others: list[Station], both: bool = True, span: int = FAULT_US) -> None:
        wires = self.works.wires
        pairs = wires.cut([s.machine for s in isolated], [s.machine for s in others], both)
        self.works.events.at(self.works.events.now + span, lambda _: wires.heal(pairs))

    def reset(self, station: Station) -> None:
        """Resets all its connections with other processes of the system."""
        assert station.process is not None
        for end in list(station.process.net.open.values()):
            if isinstance(end, Stream) and end.peer is not None and PORTS[0] in (end.name[1], end.address[1]):
                end._break(ECONNRESET)
                end.peer._break(ECONNRESET)

    # ---- the client

    def _send_requests(self, _: Any = None) -> None:
        self.loop.at(self.loop.now + REQUEST_INTERVAL_US, self._send_requests)
        for station in self.works.cores:
            self._gen += 1
            self._send(station, "POST", "Config.Replace", json.dumps(self._config | {"gen": self._gen}).encode())
            self._send(station, "GET", "Config.Read", None)

    def _send(self, station: Station, method: str, verb: str, body: bytes | None) -> None:
        gen, floor, at = self._gen, self.highest, self.loop.now

        def on_reply(reply: Reply | None) -> None:
            self.answers.append((verb, station.name, reply.status if reply else 0, at, self.loop.now))
            if reply is None or reply.status != 200:
                return
            if body is not None and gen > self.highest:
                self.highest = gen
                self.acked.append((self.loop.now, gen))
            elif body is None:
                current = json.loads(reply.body)["gen"]
                assert current >= floor, f"{station.name} returned {current} after {floor} was acknowledged"
                if current > self.highest:
                    self.highest = current
                    self.acked.append((self.loop.now, current))

        exchange(self.loop, (station.machine.ip, CTL), method, f"/oakvale/{verb}", body, 5 * SECOND, on_reply)

    def _check_gateways(self, _: Any = None) -> None:
        """A gateway that counts as fresh must have everything acknowledged before the latest pulse was sent."""
        self.loop.at(self.loop.now + 20 * MS, self._check_gateways)
        assert sum(map(self.serves, self.works.cores)) < 2, "two replicas serve"
        now = self.loop.now
        floor = max((gen for at, gen in self.acked if at <= now - STALE_AFTER_US - MAX_RELAY_DELAY_US), default=0)
        for station in self.works.edges:
            if station.up and station.process is not None and not station.process.paused:
                sluice = station.process.works.gateway
                if sluice.feed.is_fresh():
                    current = (sluice.table.get("config") or {"gen": 0})["gen"]
                    assert current >= floor, f"{station.name} is fresh at {current} after {floor} was acknowledged"

    # ---- evaluation

    def during(self, station: Station, since: int, until: int) -> list[tuple[str, int, int]]:
        """Verb, status and duration of the requests sent to a machine in that time."""
        return [
            (verb, status, end - at)
            for verb, name, status, at, end in self.answers
            if name == station.name and since <= at < until
        ]


def assert_recovered(scenario: Scenario) -> None:
    """No request was refused, and one primary serves again with all gateways fresh."""
    assert not [answer for answer in scenario.answers if 400 <= answer[2] < 500]
    scenario.works.run_for(4 * SECOND)
    assert scenario.works.faults == [] and sum(map(scenario.serves, scenario.works.cores)) == 1
    last = scenario.highest
    scenario.works.run_for(2 * SECOND)
    assert scenario.highest > last
    assert all(s.process.works.gateway.feed.is_fresh() for s in scenario.works.edges if s.process is not None)


@pytest.mark.parametrize("direction", ["both ways", "receives nothing", "is not received"])
def test_a_primary_that_is_cut_off(direction: str) -> None:
    """Another one serves soon; the isolated one answers 503 or redirects, and confirms nothing without a lease."""
    scenario = Scenario()
    if direction == "receives nothing":
        scenario.cut(scenario.others, [scenario.leader], both=False)
    else:
        scenario.cut([scenario.leader], scenario.others, both=direction == "both ways")
    began = scenario.works.events.now
    edge = scenario.works.edges[0]  # restarts, and reaches no other core machine
    scenario.cut([edge], scenario.others)
    edge.kill()
    scenario.works.run_for(FAULT_US)
    assert any(map(scenario.serves, scenario.others))
    answers = scenario.during(scenario.leader, began, began + FAULT_US - 6 * SECOND)
    assert len(answers) > 150 and {status for _, status, _ in answers} <= {200, 307, 503}
    assert max(took for _, _, took in answers) <= PEER_TIMEOUT_US + MAX_DELAY_US
    late = scenario.during(scenario.leader, began + PEER_TIMEOUT_US, began + FAULT_US - 6 * SECOND)
    assert {status for _, status, _ in late} <= {307, 503} and max(took for _, _, took in late) < MAX_DELAY_US
    assert {status for _, status, _ in scenario.during(scenario.backup, began + 3 * SECOND, began + FAULT_US)} == {200}
    assert_recovered(scenario)


def test_a_primary_alone_with_its_backup_keeps_serving() -> None:
    """They are all the copies, and no other machine can take over, so the primary confirms everything."""
    scenario = Scenario(2)
    scenario.cut([scenario.leader, scenario.backup], [scenario.third])
    began = scenario.works.events.now
    scenario.works.run_for(FAULT_US)
    answers = scenario.during(scenario.leader, began, began + FAULT_US - SECOND)
    assert {status for _, status, _ in answers} == {200} and max(took for _, _, took in answers) < 200 * MS
    assert {status for _, status, _ in scenario.during(scenario.third, began + SECOND, began + FAULT_US - SECOND)} <= {
        307,
        503,
    }
    assert_recovered(scenario)


def test_connection_resets_do_no_harm_and_an_isolated_primary_confirms_nothing() -> None:
    scenario = Scenario(3)
    began = scenario.works.events.now
    for n in range(20):
        scenario.works.events.at(began + n * SECOND, lambda _: scenario.reset(scenario.leader))
    scenario.works.run_for(8 * SECOND)
    answers = scenario.during(scenario.leader, began, began + 8 * SECOND)
    assert scenario.serves(scenario.leader) and max(took for _, _, took in answers) <= SECOND + MAX_DELAY_US
    assert sum(status == 200 for _, status, _ in answers) > 0.9 * len(answers)
    scenario.cut([scenario.leader], scenario.others)
    cut = scenario.works.events.now
    scenario.works.run_for(12 * SECOND)
    late = scenario.during(scenario.leader, cut + PEER_TIMEOUT_US, cut + 10 * SECOND)
    assert {status for _, status, _ in late} <= {307, 503} and max(took for _, _, took in late) < MAX_DELAY_US
    scenario.works.run_for(8 * SECOND)
    assert_recovered(scenario)


@pytest.mark.parametrize("backup_too", [False, True])
def test_a_primary_that_was_frozen_does_not_act_on_messages_from_before(backup_too: bool) -> None:
    """Its clock jumps, and heartbeats, answers, requests and reports of watchers from the pause are waiting."""
    scenario = Scenario(4)
    began, gates = scenario.works.events.now, len(scenario._core(scenario.leader).replicated_state.table.items("gate/"))
    scenario.leader.freeze(FAULT_US)
    if backup_too:  # no machine can take over, so it is still primary
        scenario.backup.freeze(FAULT_US)
    scenario.works.run_for(FAULT_US - 1)
    assert any(map(scenario.serves, scenario.others)) is not backup_too and not scenario.serves(scenario.leader)
    thawed, answered = scenario.works.events.now + 1, len(scenario.answers)
    scenario.works.run_for(MAX_DELAY_US)
    early = [a for a in scenario.answers[answered:] if a[1] == scenario.leader.name and a[3] < thawed - PEER_TIMEOUT_US]
    assert {answer[2] for answer in early} & {307, 503} and {answer[2] for answer in early} <= {0, 200, 307, 503}
    between = 2 * scenario.works.layout.between  # to confirm takes a lease request sent after the pause, and its answer
    assert all(answer[4] >= thawed + between for answer in early if answer[2] == 200)
    if backup_too:
        assert len(scenario._core(scenario.leader).replicated_state.table.items("gate/")) == gates
    assert not [a for a in scenario.answers if a[3] < began + FAULT_US and a[2] not in (0, 200, 307, 503)]
    scenario.works.run_for(3 * SECOND)
    assert_recovered(scenario)
