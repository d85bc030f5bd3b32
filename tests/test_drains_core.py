"""Drains on failing core machines, in simulated time: orders and moves are durable, one wrong clock has no effect."""

from __future__ import annotations

from pathlib import Path
from typing import Any, cast

import orjson
import pytest

from oakvale.controlplane.drain_resource import DrainsHandler
from oakvale.controlplane.drains import DrainManager
from oakvale.controlplane.replies import Reply
from oakvale.controlplane.resources import BackendsHandler
from oakvale.drains import report
from oakvale.drains.moves import MoveFollower
from oakvale.drains.planning import HOURS_MARGIN_US
from tests.control_plane_simulation import Machine, World
from tests.simulated_processes import MS, SECOND, Loop

WALL_OFFSET = 1_796_212_800 * SECOND - 1_000 * SECOND  # second 1,000, the start, is 12:00 UTC on a Wednesday
PACE_US = 2_500 * MS
CONTRACTS = """
[[contract]]
tenant = "ana"
zone = "UTC"
hours = [{ days = ["wed"], from = "12:02", to = "12:20" }]
[[contract]]
tenant = "ben"
zone = "UTC"
hours = [{ days = ["thu"], from = "12:00", to = "13:00" }]
"""
HOURS_OPEN_AT = WALL_OFFSET + 1_120 * SECOND
CONFIG = orjson.dumps({"gen": 1, "tenants": {"cols": ["name"], "rows": [["ana"], ["ben"]]}})


class Cores(World):
    """Three core machines with drains, and two gateways that follow the primary's moves and report back."""

    def __init__(self, seed: int, path: Path) -> None:
        path.write_text(CONTRACTS)
        self.path, self.clock_steps = path, dict[str, int]()
        self.drains: dict[str, DrainManager] = {}
        self.backends: dict[str, BackendsHandler] = {}
        self.gateways = {node: MoveFollower(node, f"life-{node}") for node in ("g1", "g2")}
        self.followed: dict[tuple[str, str], int] = {}  # gateway and move -> when it was first followed
        super().__init__(seed, on_machine_start=self.equip)
        self.run(3 * SECOND)
        self.change_now(
            {"config": {"gen": 1, "text": CONFIG}}
            | {f"gate/{node}": {"addr": "x:1", "az": "east", "life": f"life-{node}"} for node in self.gateways}
            | {f"backend/b{n}": self.backend(n, "ready") for n in range(3)}
        )
        self.at(self.now, self._run_gateways)

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
        self.drains[ip] = DrainManager(
            core,
            cast(Any, loop),
            core.transport,
            str(self.path),
            PACE_US,
            lambda: WALL_OFFSET + self.now + self.clock_steps.get(ip, 0),
        )
        settings = self.settings(machine, False)
        self.backends[ip] = BackendsHandler(core, cast(Any, loop), settings)
        self.backends[ip]._sweep = lambda _: None  # type: ignore[method-assign]
        self.backends[ip].departure_changes = self.drains[ip].departure_changes

    @property
    def wall(self) -> int:
        return WALL_OFFSET + self.now

    def change_now(self, changes: dict[str, Any]) -> None:
        primary = self.serving()
        assert primary is not None and primary.core is not None
        done: list[bool] = []
        primary.core.change(changes, done.append)
        self.run(200 * MS)
        assert done == [True]

    def ask(self, verb: str, name: str, body: Any = None) -> tuple[int, Any]:
        primary = self.serving()
        assert primary is not None and primary.core is not None
        replies: list[Reply] = []
        handler = DrainsHandler(primary.core, self.drains[primary.address[0]])
        getattr(handler, verb)(name, b"" if body is None else orjson.dumps(body), replies.append)
        self.run(300 * MS)
        return replies[0].status, orjson.loads(replies[0].body)

    def order(self, name: str, backend: str = "b0", verb: str = "order") -> tuple[int, Any]:
        return self.ask(
            verb,
            name,
            {"kind": "backend", "target": backend, "by": "ana", "why": "a disk", "due": "2026-12-04T00:00:00+00:00"},
        )

    def _run_gateways(self) -> None:
        self.at(self.now + 250 * MS, self._run_gateways)
        primary = self.serving()
        if primary is None or primary.core is None:
            return
        entries = primary.core.replicated_state.table.items("move/")
        for node, moves in self.gateways.items():
            for key in moves.update(entries, self.wall):
                self.followed.setdefault((node, key), self.wall)
            reports = [[key, key in moves.followed, 1, 0, {"served": 1}] for key in moves.pending_moves()]
            if reports:
                primary.core.transport.handlers["towed"](
                    cast(Any, None), [node, f"life-{node}", reports], cast(Any, None)
                )


def test_an_order_is_durable_once_it_is_confirmed(tmp_path: Path) -> None:
    """It is unchanged after all core machines were killed, and can then be cancelled."""
    cores = Cores(1, tmp_path / "contracts.toml")
    assert cores.order("o1", verb="plan")[1]["obstacles"] == []
    assert cores.order("o1")[0] == 200
    assert cores.order("o1")[0] == 200  # an unchanged retry
    assert cores.order("o1", "b1")[0] == 409  # a different order with this name
    status, reply = cores.order("o2")
    assert (status, reply["error"]) == (409, "b0 is under another order")
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
def test_one_clock_that_steps_does_not_shift_the_contract_hours(tmp_path: Path, step: int) -> None:
    """For each machine's clock in turn: ana moves within seconds after her hours open, and ben not at all."""
    for victim in range(3):
        cores = Cores(victim, tmp_path / "contracts.toml")
        cores.order("o1")
        cores.run(HOURS_OPEN_AT - 5 * SECOND - cores.wall)
        cores.clock_steps[cores.machines[victim].address[0]] = step
        cores.run(60 * SECOND)
        followed = [cores.followed[node, "o1/b0/ana"] for node in cores.gateways]
        assert all(0 <= when - HOURS_OPEN_AT - HOURS_MARGIN_US <= 3 * SECOND for when in followed)
        assert ("g1", "o1/b0/ben") not in cores.followed


@pytest.mark.parametrize("after", [0, 3, 8, 15, 400])
def test_a_move_is_made_once_although_the_primary_is_killed(tmp_path: Path, after: int) -> None:
    """Killed so many milliseconds after the decision: the move is made once, now or later, and the account matches what
    the gateways followed."""
    cores = Cores(7, tmp_path / "contracts.toml")
    cores.order("o1")
    while cores.wall < HOURS_OPEN_AT + HOURS_MARGIN_US + 5 * SECOND:
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
    moves = [move for move in cores.ask("show", "o1")[1]["moves"] if move["tenant"] == "ana"]
    assert len(moves) == 1 and moves[0]["state"] == "moved" and moves[0]["again"] == 0
    followed = [cores.followed[node, "o1/b0/ana"] for node in cores.gateways]
    assert all(0 <= when - HOURS_OPEN_AT - HOURS_MARGIN_US <= 8 * SECOND for when in followed)
    assert (
        moves[0]["moved"] <= report.format_time(min(followed))
        or min(followed) - HOURS_OPEN_AT - HOURS_MARGIN_US < SECOND
    )


def test_a_backend_that_leaves_by_itself_is_recorded_once_per_tenant_outside_hours(tmp_path: Path) -> None:
    """Its drain is acknowledged at once; repeated heartbeats, its departure and a change of primary add no record."""
    cores = Cores(3, tmp_path / "contracts.toml")

    def send(state: str, call_number: int) -> None:
        found = cores.serving()
        assert found is not None
        replies: list[Reply] = []
        body = {
            "svc": "book",
            "addr": "10.9.0.0:80",
            "az": "east",
            "gen": "v1",
            "slots": 2,
            "state": state,
            "calls": call_number,
        }
        backends = cores.backends[found.address[0]]
        if state == "left":
            backends.leave("b0", b"", replies.append)
        else:
            backends.heartbeat("b0", orjson.dumps(body), replies.append)
        cores.run(100 * MS)
        assert [reply.status for reply in replies] == [200]

    send("drain", 2)
    send("drain", 3)
    cores.down(cores.primary(), 2 * SECOND)
    cores.run(10 * SECOND)
    send("drain", 4)
    send("left", 5)
    records = cores.ask("show", "")[1]["outside"]
    assert [(r["backend"], r["tenant"], r["why"]) for r in records] == [("b0", "ana", "drain"), ("b0", "ben", "drain")]


def test_orders_are_refused_without_contracts_or_an_agreed_time(tmp_path: Path) -> None:
    cores = Cores(4, tmp_path / "contracts.toml")
    for invalid, status in (({"kind": "gate"}, 400), ({"due": "2026-12-04T00:00:00"}, 400)):
        body = {"kind": "backend", "target": "b0", "by": "ana", "why": "x", "due": "2026-12-04T00:00:00Z"} | invalid
        assert cores.ask("order", "o1", body)[0] == status
    assert cores.ask("cancel", "o1", {"by": "a", "why": "b"})[0] == 404
    for drains in cores.drains.values():
        drains.contracts = None
    assert cores.order("o1")[0] == 409
    for drains in cores.drains.values():
        drains.reload()
        drains.clock._offset = None
        drains.clock.update = lambda now, machines: None  # type: ignore[method-assign]
    assert cores.order("o1")[0] == 503
