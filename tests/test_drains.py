"""Drains in simulated time: 2,000 drawn schedules against a plain model, and the hard cases one by one."""

from __future__ import annotations

import pytest

from oakvale.drains.execution import DrainExecutor, move_key
from oakvale.drains.hours import Contract, Span
from oakvale.drains.planning import ContractHours
from tests.drain_simulation import MINUTE, PACE, TICK, Request, Waterway, in_hours

BLOCK = 100
NODE = "book-east0"


@pytest.mark.parametrize("block", range(20))
def test_drawn_schedules(block: int) -> None:
    """No tenant moves outside its hours, is counted as moved too early, or waits without a reason; no herd."""
    for seed in range(block * BLOCK, (block + 1) * BLOCK):
        way = Waterway(seed)
        way.run(way.rng.randrange(4) * TICK)
        way.draw_order()
        way.run(3 * MINUTE)
        way.heal()
        way.run(5 * TICK)
        way.run(max([way.now, *(order["due"] for order in way.orders.values())]) - way.now + 2 * MINUTE, whole=False)
        way.judge_end()


def test_a_plan_says_what_will_happen() -> None:
    """A plan that no fault crosses is kept to: each move at its time, the node empty when it said."""
    seen = 0
    for seed in range(150):
        way = Waterway(seed, faults=False)
        way.hours = ContractHours(2 * TICK)
        way.executor = DrainExecutor(way.hours)
        kind, target = way.rng.choice((("backend", NODE), ("gateway", "gate-west0"), ("zone", "east")))
        plan = way.order("o", kind, target, 8 * MINUTE)
        if plan.obstacles:
            assert not way.moves
            continue
        way.run(10 * MINUTE)
        assert way.orders["o"]["state"] == "empty" and plan.empty is not None
        for row in plan.rows:
            for tenant in row.unit.tenants:
                move = way.moves[move_key("o", row.unit.node, tenant)]
                seen += 1
                # the plan thinks in moments and the days here are ticks: some may be a few late, and trade places
                assert row.moves_at is not None and abs(move["at"] - row.moves_at) <= 5 * TICK
    assert seen > 300


def world(**hours: tuple[int, int]) -> Waterway:
    """No faults; tenants with hours so many minutes from now on, `to` before or at `from` being never."""
    way = Waterway(5, faults=False)
    way.tenants = ("", *hours)
    minute = way.now // MINUTE
    way.contracts = {
        name: Contract(
            name, "UTC", ((Span((minute + begin) % 1440, (minute + end) % 1440),) if begin < end else (),) * 7
        )
        for name, (begin, end) in hours.items()
    }
    way.backends = {
        name: {"svc": name[:4], "az": name[5:9], "state": "ready"}
        for name in (NODE, "book-east1", "book-west0", "rate-east0", "rate-east1", "rate-west0")
    }
    for gate in way.gates.values():
        gate.backends = dict(way.backends)
    return way


def states(way: Waterway, node: str = NODE) -> dict[str, str]:
    return {move["tenant"]: move["state"] for move in way.moves.values() if move["node"] == node}


def test_two_tenants_on_a_node_one_in_hours_and_one_not() -> None:
    """At a backend the neighbour stays; a gateway, where both come by one hash, is not left for either."""
    way = world(ana=(-60, 120), ben=(30, 90))
    way.order("b", "backend", NODE, 60 * MINUTE)
    way.order("g", "gateway", "gate-west0", 60 * MINUTE)
    way.run(20 * MINUTE)
    assert states(way) == {"": "moved", "ana": "moved"} and not states(way, "gate-west0")
    way.run(15 * MINUTE)
    assert states(way)["ben"] == "moved"
    assert states(way, "gate-west0") == {"": "moved", "ana": "moved", "ben": "moved"}
    assert all(in_hours(way.contracts["ben"], move["at"]) for move in way.moves.values() if move["tenant"] == "ben")


def test_a_request_held_open_across_the_close_ends_where_it_is() -> None:
    """It left in hours, so nothing calls it back; it is counted as moved when its last request has ended there."""
    way = world(ana=(-60, 2))
    gate = next(iter(way.gates.values()))
    held = Request(gate, "ana", "book", NODE, way.now + 10 * MINUTE)
    way.requests.append(held)
    way.order("b", "backend", NODE, 60 * MINUTE)
    way.run(9 * MINUTE)
    assert not in_hours(way.contracts["ana"], way.now) and held in way.requests
    assert states(way)["ana"] == "leaving" and way.orders["b"]["state"] == "open"
    way.run(2 * MINUTE)
    assert states(way)["ana"] == "moved" and way.orders["b"]["state"] == "empty"
    record = way.moves[move_key("b", NODE, "ana")]
    assert sum(said[2] for said in record["gates"].values()) >= 1
    assert sum(said[4].get("served", 0) for said in record["gates"].values()) >= 1


def test_hours_that_close_in_the_middle_stop_the_rest() -> None:
    """What has moved stays moved, the others stay where they are, and the order says why."""
    way = world(ana=(-60, 300), ben=(30, 31), cai=(0, 1))
    way.hours.set_contracts(way.contracts)
    assert any("ben" in why for why in way.order("b", "backend", NODE, 20 * MINUTE).obstacles)
    way.contracts = {**way.contracts, "ben": way.contracts["ana"]}
    assert not way.order("b", "backend", NODE, 20 * MINUTE).obstacles
    way.contracts = {**way.contracts, "ben": Contract("ben", "UTC", ((),) * 7)}  # another contract, in the middle
    way.run(25 * MINUTE)
    assert states(way) == {"": "moved", "ana": "moved", "cai": "moved"}
    assert way.orders["b"]["state"] == "ended" and "ben: its hours were not open" in way.orders["b"]["why_state"]


def test_the_last_of_a_service_in_a_zone_is_not_drained() -> None:
    way = world(ana=(-60, 300))
    assert way.order("w", "backend", "book-west0", MINUTE).obstacles == [
        "book-west0 is the last backend of book in west"
    ]
    assert not way.order("e", "backend", NODE, 5 * MINUTE).obstacles
    why = way.order("f", "backend", "book-east1", MINUTE).obstacles
    assert any("last backend of book in east" in line for line in why)
    gates = [node for node, gate in way.listed.items() if gate["az"] == "east"]
    for n, node in enumerate(gates):
        obstacles = way.order(f"g{n}", "gateway", node, 5 * MINUTE).obstacles
        # the platform would use all of a zone's gateways again with fewer than half of them
        assert bool(obstacles) == (2 * (len(gates) - n - 1) < len(gates))


def test_the_last_by_a_crash_in_the_middle_stays_with_those_that_have_not_moved() -> None:
    """No move is made that would leave a service without its zone, whatever the plan once said."""
    way = world(ana=(-60, 300), ben=(-60, 300), cai=(-60, 300))
    way.order("e", "backend", NODE, 5 * MINUTE)
    way.run(2 * TICK)
    moved = set(states(way))
    del way.backends["book-east1"]
    way.run(6 * MINUTE)
    assert set(states(way)) == moved and way.orders["e"]["state"] == "ended"
    assert "last backend of book in east" in way.orders["e"]["why_state"]


def test_hours_that_open_for_all_at_once_are_spread() -> None:
    names = {f"t{n}": (2, 30) for n in range(12)}
    way = world(**names)
    way.order("z", "zone", "east", 25 * MINUTE)
    way.run(25 * MINUTE)
    times = sorted({move["at"] for move in way.moves.values()})
    assert len(times) > 12 and all(b - a >= PACE for a, b in zip(times, times[1:], strict=False))


def test_a_gateway_cut_off_as_the_drain_begins_neither_moves_early_nor_stays_for_ever() -> None:
    """Cut off until the hours have closed, it does not move then, on news that were held up; it does in the next."""
    way = world(ana=(1, 4))
    minute = way.now // MINUTE
    spans = (Span((minute + 1) % 1440, (minute + 4) % 1440), Span((minute + 20) % 1440, (minute + 30) % 1440))
    way.contracts = {"ana": Contract("ana", "UTC", (spans,) * 7)}
    gate = way.gates["gate-west1"]
    way.order("b", "backend", NODE, 60 * MINUTE)
    gate.cut = way.now
    way.run(6 * MINUTE)
    key = move_key("b", NODE, "ana")
    assert key in way.moves and key not in gate.moves.followed
    gate.cut = 0
    way.run(10 * MINUTE)
    assert key not in gate.moves.followed and way.moves[key]["state"] == "leaving"
    way.run(10 * MINUTE)
    assert key in gate.moves.followed and way.moves[key]["state"] == "moved" and way.moves[key]["again"] == 1


def test_a_gateway_that_is_drained_while_cut_off_is_waited_for_until_the_order_is_due() -> None:
    way = world(ana=(-60, 600))
    gate = way.gates["gate-west1"]
    gate.cut = way.now
    way.order("g", "gateway", "gate-west1", 3 * MINUTE)
    way.run(2 * TICK)
    assert not gate.moves.gateway_draining and states(way, "gate-west1")["ana"] == "leaving"
    way.run(5 * MINUTE)
    # off the list it is gone to all that is known here, and its order is over
    assert way.orders["g"]["state"] == "done"
    gate.cut = 0
    way.run(MINUTE)
    assert gate.moves.gateway_draining and states(way, "gate-west1") == {"": "moved", "ana": "moved"}
    assert way.orders["g"]["state"] == "ended"  # so that it can be cancelled
    way.cancel("g")
    way.run(MINUTE)
    assert not gate.moves.gateway_draining


def test_a_cancel_brings_back_in_hours_what_has_moved() -> None:
    """A return is a move too: outside the hours it waits."""
    way = world(ana=(-60, 2), ben=(-60, 60))
    way.order("b", "backend", NODE, 30 * MINUTE)
    way.run(3 * MINUTE)
    assert states(way) == {"": "moved", "ana": "moved", "ben": "moved"}
    way.cancel("b")
    way.run(5 * MINUTE)
    assert states(way) == {"": "returned", "ana": "moved", "ben": "returned"}
    assert all(
        NODE in gate.moves.avoided_backends.get("ana", ()) and "ben" not in gate.moves.avoided_backends
        for gate in way.gates.values()
    )


def test_a_second_order_for_a_node_is_refused_until_the_first_is_cancelled() -> None:
    way = world(ana=(-60, 60))
    way.order("one", "backend", NODE, 5 * MINUTE)
    assert way.order("two", "zone", "east", 5 * MINUTE).obstacles == [f"{NODE} is under another order"]
    way.cancel("one")
    assert not way.order("two", "zone", "east", 5 * MINUTE).obstacles


def test_the_death_of_a_node_ends_its_order_and_says_who_had_not_moved() -> None:
    way = world(ana=(-60, 60), ben=(30, 60))
    way.order("b", "backend", NODE, 40 * MINUTE)
    way.run(MINUTE)
    way.leave(NODE)
    way.run(2 * TICK)
    assert way.orders["b"]["state"] == "done" and way.orders["b"]["why_state"].endswith("ben")


def test_notice() -> None:
    """An order that is older than a contract's longest notice moves that tenant no longer."""
    way = world(ana=(10, 60))
    way.contracts = {"ana": Contract("ana", "UTC", way.contracts["ana"].week, notice=5 * MINUTE)}
    assert "longest notice" in way.order("b", "backend", NODE, 40 * MINUTE).obstacles[0]
