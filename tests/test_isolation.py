"""A core machine cut off or frozen for twenty seconds, in the laboratory's world: whole processes, orders and reads
sent to every core machine all the while, and a plain judge of what came back.
"""

from __future__ import annotations

import json
from errno import ECONNRESET
from random import Random
from typing import Any

import pytest

from oakvale.controlplane.core import SILENCE
from oakvale.dissemination.feed import STALE_AFTER_US
from oakvale.lab.models.orders import Books
from oakvale.lab.models.ways import Reply, ask
from oakvale.lab.simulation.sockets import Stream
from oakvale.lab.simulation.works import CTL, PORTS, Layout, Station, Works
from tests.test_simulation import day

MS, SECOND = 1_000, 1_000_000
CUT = 20 * SECOND
EACH = 130 * MS  # between two orders or reads at a machine
LATE = 60 * MS  # for a turn, a timer's slack and the way
RELAYED = 200 * MS  # a pulse may take through relays


class Play:
    def __init__(self, seed: int = 1) -> None:
        layout = Layout(
            tuple((f"edge-{n}", "zxy"[n % 3]) for n in range(4)), tuple((f"core-{n}", "zxy"[n % 3]) for n in range(3))
        )
        self.works = Works(layout, seed)
        self._form = json.loads(Books(day(), Random(seed)).first().text)
        self.highest = 0  # of what was acknowledged
        self.acked: list[tuple[int, int]] = []  # when the highest rose, to what
        self.said: list[tuple[str, str, int, int, int]] = []  # verb, machine, status (0: none), asked and answered at
        self._gen = 0
        self.host = self.works.host("operator", "z")
        assert self.host.loop is not None
        self.loop = self.host.loop
        self.works.begin()
        self.works.run_for(2 * SECOND)
        self.loop.at(self.loop.now, self._ask)
        self.loop.at(self.loop.now, self._look)
        self.works.run_for(2 * SECOND)
        assert self.highest > 0
        self.said.clear()
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

    def cut(self, ones: list[Station], others: list[Station], both: bool = True, span: int = CUT) -> None:
        wires = self.works.wires
        pairs = wires.cut([s.machine for s in ones], [s.machine for s in others], both)
        self.works.events.at(self.works.events.now + span, lambda _: wires.heal(pairs))

    def reset(self, station: Station) -> None:
        """All its connections with other processes of the system."""
        assert station.process is not None
        for end in list(station.process.net.open.values()):
            if isinstance(end, Stream) and end.peer is not None and PORTS[0] in (end.name[1], end.address[1]):
                end._break(ECONNRESET)
                end.peer._break(ECONNRESET)

    # ---- who asks

    def _ask(self, _: Any = None) -> None:
        self.loop.at(self.loop.now + EACH, self._ask)
        for station in self.works.cores:
            self._gen += 1
            self._one(station, "POST", "Config.Replace", json.dumps(self._form | {"gen": self._gen}).encode())
            self._one(station, "GET", "Config.Read", None)

    def _one(self, station: Station, method: str, verb: str, body: bytes | None) -> None:
        gen, floor, at = self._gen, self.highest, self.loop.now

        def heard(reply: Reply | None) -> None:
            self.said.append((verb, station.name, reply.status if reply else 0, at, self.loop.now))
            if reply is None or reply.status != 200:
                return
            if body is not None and gen > self.highest:
                self.highest = gen
                self.acked.append((self.loop.now, gen))
            elif body is None:
                held = json.loads(reply.body)["gen"]
                assert held >= floor, f"{station.name} reads {held}, where {floor} was acknowledged"
                if held > self.highest:
                    self.highest = held
                    self.acked.append((self.loop.now, held))

        ask(self.loop, (station.machine.ip, CTL), method, f"/oakvale/{verb}", body, 5 * SECOND, heard)

    def _look(self, _: Any = None) -> None:
        """Whom a gateway holds for fresh has all that was acknowledged before the pulse was sent."""
        self.loop.at(self.loop.now + 20 * MS, self._look)
        assert sum(map(self.serves, self.works.cores)) < 2, "two serve"
        now = self.loop.now
        floor = max((gen for at, gen in self.acked if at <= now - STALE_AFTER_US - RELAYED), default=0)
        for station in self.works.edges:
            if station.up and station.process is not None and not station.process.paused:
                sluice = station.process.works.sluice
                if sluice.feed.is_fresh():
                    held = (sluice.table.get("config") or {"gen": 0})["gen"]
                    assert held >= floor, f"{station.name} holds {held} for fresh, where {floor} was acknowledged"

    # ---- what is looked at

    def during(self, station: Station, since: int, until: int) -> list[tuple[str, int, int]]:
        """Verb, status and how long it took, of what a machine was asked then."""
        return [
            (verb, status, end - at)
            for verb, name, status, at, end in self.said
            if name == station.name and since <= at < until
        ]


def ends_well(play: Play) -> None:
    """Nothing was refused, nothing waited long, and all is well after."""
    assert not [said for said in play.said if 400 <= said[2] < 500]
    play.works.run_for(4 * SECOND)
    assert play.works.faults == [] and sum(map(play.serves, play.works.cores)) == 1
    last = play.highest
    play.works.run_for(2 * SECOND)
    assert play.highest > last
    assert all(s.process.works.sluice.feed.is_fresh() for s in play.works.edges if s.process is not None)


@pytest.mark.parametrize("way", ["whole", "hears nobody", "nobody hears it"])
def test_a_primary_that_is_cut_off(way: str) -> None:
    """Another serves soon; it itself answers 5xx or names the other, and says no yes from when it lost the lease."""
    play = Play()
    if way == "hears nobody":
        play.cut(play.others, [play.leader], both=False)
    else:
        play.cut([play.leader], play.others, both=way == "whole")
    began = play.works.events.now
    edge = play.works.edges[0]  # begins anew, and reaches no other core machine
    play.cut([edge], play.others)
    edge.kill()
    play.works.run_for(CUT)
    assert any(map(play.serves, play.others))
    said = play.during(play.leader, began, began + CUT - 6 * SECOND)
    assert len(said) > 150 and {status for _, status, _ in said} <= {200, 307, 503}
    assert max(took for _, _, took in said) <= SILENCE + LATE
    late = play.during(play.leader, began + SILENCE, began + CUT - 6 * SECOND)
    assert {status for _, status, _ in late} <= {307, 503} and max(took for _, _, took in late) < LATE
    assert {status for _, status, _ in play.during(play.backup, began + 3 * SECOND, began + CUT)} == {200}
    ends_well(play)


def test_a_primary_alone_with_its_backup_goes_on() -> None:
    """They are all copies, and nobody else can take over: what they say counts, and is not doubted."""
    play = Play(2)
    play.cut([play.leader, play.backup], [play.third])
    began = play.works.events.now
    play.works.run_for(CUT)
    said = play.during(play.leader, began, began + CUT - SECOND)
    assert {status for _, status, _ in said} == {200} and max(took for _, _, took in said) < 200 * MS
    assert {status for _, status, _ in play.during(play.third, began + SECOND, began + CUT - SECOND)} <= {307, 503}
    ends_well(play)


def test_resets_alone_cost_nothing_and_with_a_cut_nothing_is_believed() -> None:
    play = Play(3)
    began = play.works.events.now
    for n in range(20):
        play.works.events.at(began + n * SECOND, lambda _: play.reset(play.leader))
    play.works.run_for(8 * SECOND)
    said = play.during(play.leader, began, began + 8 * SECOND)
    assert play.serves(play.leader) and max(took for _, _, took in said) <= SECOND + LATE
    assert sum(status == 200 for _, status, _ in said) > 0.9 * len(said)
    play.cut([play.leader], play.others)
    cut = play.works.events.now
    play.works.run_for(12 * SECOND)
    late = play.during(play.leader, cut + SILENCE, cut + 10 * SECOND)
    assert {status for _, status, _ in late} <= {307, 503} and max(took for _, _, took in late) < LATE
    play.works.run_for(8 * SECOND)
    ends_well(play)


@pytest.mark.parametrize("backup_too", [False, True])
def test_a_primary_that_was_frozen_believes_nothing_that_waited(backup_too: bool) -> None:
    """Its clock jumps, and all that came meanwhile lies ready: heartbeats, answers, orders, words of watchers."""
    play = Play(4)
    began, gates = play.works.events.now, len(play._core(play.leader).replicated_state.table.items("gate/"))
    play.leader.freeze(CUT)
    if backup_too:  # nobody can take over: it is primary still
        play.backup.freeze(CUT)
    play.works.run_for(CUT - 1)
    assert any(map(play.serves, play.others)) is not backup_too and not play.serves(play.leader)
    thawed, heard = play.works.events.now + 1, len(play.said)
    play.works.run_for(LATE)
    early = [said for said in play.said[heard:] if said[1] == play.leader.name and said[3] < thawed - SILENCE]
    assert {said[2] for said in early} & {307, 503} and {said[2] for said in early} <= {0, 200, 307, 503}
    between = 2 * play.works.layout.between  # a yes takes a question sent after the thaw, and its answer
    assert all(said[4] >= thawed + between for said in early if said[2] == 200)
    if backup_too:
        assert len(play._core(play.leader).replicated_state.table.items("gate/")) == gates
    assert not [said for said in play.said if said[3] < began + CUT and said[2] not in (0, 200, 307, 503)]
    play.works.run_for(3 * SECOND)
    ends_well(play)
