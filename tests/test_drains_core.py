"""Drains on core machines that fail, in simulated time: orders and moves last, one machine's clock opens nothing."""

from __future__ import annotations

from pathlib import Path
from typing import Any, cast

import orjson
import pytest

from oakvale.controlplane.drains import Drains
from oakvale.controlplane.resources import Backends, Reply
from oakvale.controlplane.resources import Drains as Handler
from oakvale.drains import report
from oakvale.drains.moves import Moves
from oakvale.drains.planning import MARGIN
from tests.control_plane_simulation import Machine, World
from tests.simulated_processes import MS, SECOND, Loop

DAY0 = 1_796_212_800 * SECOND - 1_000 * SECOND  # the world begins at its second 1,000: 12:00 UTC on a Wednesday
PACE = 2_500 * MS
FILE = """
[[contract]]
tenant = "ana"
zone = "UTC"
hours = [{ days = ["wed"], from = "12:02", to = "12:20" }]
[[contract]]
tenant = "ben"
zone = "UTC"
hours = [{ days = ["thu"], from = "12:00", to = "13:00" }]
"""
OPENS = DAY0 + 1_120 * SECOND
CONFIG = orjson.dumps({"gen": 1, "tenants": {"cols": ["name"], "rows": [["ana"], ["ben"]]}})


class Cores(World):
    """Three core machines with drains, and two gateways that hear the primary and tell it."""

    def __init__(self, seed: int, path: Path) -> None:
        path.write_text(FILE)
        self.path, self.steps = path, dict[str, int]()
        self.drains: dict[str, Drains] = {}
        self.backends: dict[str, Backends] = {}
        self.gates = {node: Moves(node, f"life-{node}") for node in ("g1", "g2")}
        self.followed: dict[tuple[str, str], int] = {}  # gateway and move -> when it was followed first
        super().__init__(seed, on_machine_start=self.equip)
        self.run(3 * SECOND)
        self.change_now(
            {"config": {"gen": 1, "text": CONFIG}}
            | {f"gate/{node}": {"addr": "x:1", "az": "east", "life": f"life-{node}"} for node in self.gates}
            | {f"backend/b{n}": self.backend(n, "ready") for n in range(3)}
        )
        self.at(self.now, self._gates)

    @staticmethod
    def backend(number: int, state: str) -> dict[str, Any]:
        return {
            "svc": "book",
            "addr": f"10.9.0.{number}:80",
            "az": "east",
            "gen": "v1",
            "slots": 2.0,
            "state": state,
            "calls": 1,
            "warm": 0,
        }

    def equip(self, machine: Machine, loop: Loop) -> None:
        core, ip = machine.core, machine.address[0]
        assert core is not None
        self.drains[ip] = Drains(
            core, cast(Any, loop), core.transport, str(self.path), PACE, lambda: DAY0 + self.now + self.steps.get(ip, 0)
        )
        settings = self.settings(machine, False)
        self.backends[ip] = Backends(core, cast(Any, loop), settings)
        self.backends[ip]._sweep = lambda _: None  # type: ignore[method-assign]
        self.backends[ip].leaves = self.drains[ip].leaves

    @property
    def wall(self) -> int:
        return DAY0 + self.now

    def change_now(self, changes: dict[str, Any]) -> None:
        found = self.serving()
        assert found is not None and found.core is not None
        done: list[bool] = []
        found.core.change(changes, done.append)
        self.run(200 * MS)
        assert done == [True]

    def ask(self, verb: str, name: str, body: Any = None) -> tuple[int, Any]:
        found = self.serving()
        assert found is not None and found.core is not None
        out: list[Reply] = []
        handler = Handler(found.core, self.drains[found.address[0]])
        getattr(handler, verb)(name, b"" if body is None else orjson.dumps(body), out.append)
        self.run(300 * MS)
        return out[0].status, orjson.loads(out[0].body)

    def order(self, name: str, backend: str = "b0", verb: str = "order") -> tuple[int, Any]:
        return self.ask(
            verb,
            name,
            {"kind": "backend", "target": backend, "by": "ana", "why": "a disk", "due": "2026-12-04T00:00:00+00:00"},
        )

    def _gates(self) -> None:
        self.at(self.now + 250 * MS, self._gates)
        found = self.serving()
        if found is None or found.core is None:
            return
        entries = found.core.replicated_state.table.items("move/")
        for node, moves in self.gates.items():
            for key in moves.take(entries, self.wall):
                self.followed.setdefault((node, key), self.wall)
            words = [[key, key in moves.away, 1, 0, {"served": 1}] for key in moves.owed()]
            if words:
                found.core.transport.handlers["towed"](cast(Any, None), [node, f"life-{node}", words], cast(Any, None))


def test_an_order_is_kept_like_a_configuration(tmp_path: Path) -> None:
    """Synced on both copies before the yes; the same after a change of primary and after all were killed."""
    cores = Cores(1, tmp_path / "contracts.toml")
    assert cores.order("o1", verb="plan")[1]["obstacles"] == []
    assert cores.order("o1")[0] == 200
    assert cores.order("o1")[0] == 200  # sent again
    assert cores.order("o1", "b1")[0] == 409  # another order by this name
    status, told = cores.order("o2")
    assert (status, told["error"]) == (409, "b0 is under another order")
    cores.run(15 * SECOND)
    before = cores.ask("show", "o1")[1]
    assert [move["tenant"] for move in before["moves"]] == [""]
    assert before["moves"][0]["in_flight"] == before["moves"][0]["served"] == 2
    for machine in cores.machines:
        cores.down(machine, 500 * MS)
    cores.run(8 * SECOND)
    after = cores.ask("show", "o1")[1]
    assert (after["orders"], after["moves"]) == (before["orders"], before["moves"])
    lines = report.as_csv(after).splitlines()
    assert lines[1].startswith("o1,backend,b0,,moved,2026-12-02T12:00:")
    assert cores.ask("cancel", "o1", {"by": "ben", "why": "not today"})[0] == 200
    cores.run(10 * SECOND)
    assert cores.ask("show", "")[1]["moves"][0]["state"] == "returned"


@pytest.mark.parametrize("step", [-8 * SECOND, 8 * SECOND, 90 * SECOND])
def test_one_clock_that_steps_at_the_opening_opens_nothing_and_closes_nothing(tmp_path: Path, step: int) -> None:
    """The primary's own, and that of each other; ana moves when her hours open, within a second or two."""
    for victim in range(3):
        cores = Cores(victim, tmp_path / "contracts.toml")
        cores.order("o1")
        cores.run(OPENS - 5 * SECOND - cores.wall)
        cores.steps[cores.machines[victim].address[0]] = step
        cores.run(60 * SECOND)
        at = [cores.followed[node, "o1/b0/ana"] for node in cores.gates]
        assert all(0 <= when - OPENS - MARGIN <= 3 * SECOND for when in at)
        assert ("g1", "o1/b0/ben") not in cores.followed


@pytest.mark.parametrize("after", [0, 3, 8, 15, 400])
def test_the_primary_killed_between_a_move_and_its_record(tmp_path: Path, after: int) -> None:
    """The move is its record: killed so many milliseconds after it was decided, it is made once or made later, and
    what gateways follow is what the account says."""
    cores = Cores(7, tmp_path / "contracts.toml")
    cores.order("o1")
    while cores.wall < OPENS + MARGIN + 5 * SECOND:
        cores.run(MS)
        found = cores.serving()
        if (
            found is not None
            and found.core is not None
            and found.core.replicated_state.latest("move/o1/b0/ana") is not None
        ):
            break
    assert found is not None
    cores.run(after * MS)
    cores.down(found, 30 * SECOND)
    cores.run(25 * SECOND)
    told = [move for move in cores.ask("show", "o1")[1]["moves"] if move["tenant"] == "ana"]
    assert len(told) == 1 and told[0]["state"] == "moved" and told[0]["again"] == 0
    followed = [cores.followed[node, "o1/b0/ana"] for node in cores.gates]
    assert all(0 <= when - OPENS - MARGIN <= 8 * SECOND for when in followed)
    assert told[0]["moved"] <= report.stamp(min(followed)) or min(followed) - OPENS - MARGIN < SECOND


def test_a_backend_that_leaves_by_itself_is_recorded_once_for_each_contract_out_of_hours(tmp_path: Path) -> None:
    """The rules go first: its drain is acknowledged at once; said again, left, and after a change of primary it is
    not recorded again."""
    cores = Cores(3, tmp_path / "contracts.toml")

    def beat(state: str, calls: int) -> None:
        found = cores.serving()
        assert found is not None
        out: list[Reply] = []
        body = {
            "svc": "book",
            "addr": "10.9.0.0:80",
            "az": "east",
            "gen": "v1",
            "slots": 2,
            "state": state,
            "calls": calls,
        }
        backends = cores.backends[found.address[0]]
        if state == "left":
            backends.leave("b0", b"", out.append)
        else:
            backends.heartbeat("b0", orjson.dumps(body), out.append)
        cores.run(100 * MS)
        assert [reply.status for reply in out] == [200]

    beat("drain", 2)
    beat("drain", 3)
    cores.down(cores.primary(), 2 * SECOND)
    cores.run(10 * SECOND)
    beat("drain", 4)
    beat("left", 5)
    found = cores.ask("show", "")[1]["outside"]
    assert [(f["backend"], f["tenant"], f["why"]) for f in found] == [("b0", "ana", "drain"), ("b0", "ben", "drain")]


def test_without_a_time_or_with_a_broken_file_nothing_is_ordered(tmp_path: Path) -> None:
    cores = Cores(4, tmp_path / "contracts.toml")
    for wrong, status in (({"kind": "gate"}, 400), ({"due": "2026-12-04T00:00:00"}, 400)):
        body = {"kind": "backend", "target": "b0", "by": "ana", "why": "x", "due": "2026-12-04T00:00:00Z"} | wrong
        assert cores.ask("order", "o1", body)[0] == status
    assert cores.ask("cancel", "o1", {"by": "a", "why": "b"})[0] == 404
    for drains in cores.drains.values():
        drains.contracts = None
    assert cores.order("o1")[0] == 409
    for drains in cores.drains.values():
        drains.again()
        drains.clock._offset = None
        drains.clock.look = lambda now, machines: None  # type: ignore[method-assign]
    assert cores.order("o1")[0] == 503
