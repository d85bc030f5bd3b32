"""Drains in simulated time: 2,000 random schedules against a simple model, and special cases."""

from __future__ import annotations

import pytest

from oakvale.drains.execution import DrainExecutor, move_key
from oakvale.drains.hours import Contract, Span
from oakvale.drains.planning import ContractHours
from tests.drain_simulation import MINUTE, PACE, TICK, DrainSimulation, Request, in_hours

BLOCK = 100
NODE = "book-east0"


@pytest.mark.parametrize("block", range(20))
def test_random_schedules(block: int) -> None:
    """No tenant moves outside its hours, counts as moved too early or waits without a reason; moves are spread."""
    for seed in range(block * BLOCK, (block + 1) * BLOCK):
        simulation = DrainSimulation(seed)
        simulation.run(simulation.rng.randrange(4) * TICK)
        simulation.random_order()
        simulation.run(3 * MINUTE)
        simulation.heal()
        simulation.run(5 * TICK)
        simulation.run(
            max([simulation.now, *(order["due"] for order in simulation.orders.values())])
            - simulation.now
            + 2 * MINUTE,
            until_end=False,
        )
        simulation.check_end()


def test_without_faults_a_plan_predicts_the_moves() -> None:
    """Each move happens at its planned time, and the node is empty."""
    checked_moves = 0
    for seed in range(150):
        simulation = DrainSimulation(seed, faults=False)
        simulation.hours = ContractHours(2 * TICK)
        simulation.executor = DrainExecutor(simulation.hours)
        kind, target = simulation.rng.choice((("backend", NODE), ("gateway", "gate-west0"), ("zone", "east")))
        plan = simulation.order("o", kind, target, 8 * MINUTE)
        if plan.obstacles:
            assert not simulation.moves
            continue
        simulation.run(10 * MINUTE)
        assert simulation.orders["o"]["state"] == "empty" and plan.empty is not None
        for row in plan.rows:
            for tenant in row.unit.tenants:
                move = simulation.moves[move_key("o", row.unit.node, tenant)]
                checked_moves += 1
                # the simulation advances in ticks: moves may be some ticks late and change places
                assert row.moves_at is not None and abs(move["at"] - row.moves_at) <= 5 * TICK
    assert checked_moves > 300


def quiet_simulation(**hours: tuple[int, int]) -> DrainSimulation:
    """Without faults; the hours of each tenant in minutes from now, never open if the end is not after the begin."""
    simulation = DrainSimulation(5, faults=False)
    simulation.tenants = ("", *hours)
    minute = simulation.now // MINUTE
    simulation.contracts = {
        name: Contract(
            name, "UTC", ((Span((minute + begin) % 1440, (minute + end) % 1440),) if begin < end else (),) * 7
        )
        for name, (begin, end) in hours.items()
    }
    simulation.backends = {
        name: {"svc": name[:4], "az": name[5:9], "state": "ready"}
        for name in (NODE, "book-east1", "book-west0", "rate-east0", "rate-east1", "rate-west0")
    }
    for gate in simulation.gates.values():
        gate.backends = dict(simulation.backends)
    return simulation


def states(simulation: DrainSimulation, node: str = NODE) -> dict[str, str]:
    return {move["tenant"]: move["state"] for move in simulation.moves.values() if move["node"] == node}


def test_a_node_with_one_tenant_inside_and_one_outside_its_hours() -> None:
    """At a backend the tenants move separately; a gateway is drained only while the hours of both are open."""
    simulation = quiet_simulation(ana=(-60, 120), ben=(30, 90))
    simulation.order("b", "backend", NODE, 60 * MINUTE)
    simulation.order("g", "gateway", "gate-west0", 60 * MINUTE)
    simulation.run(20 * MINUTE)
    assert states(simulation) == {"": "moved", "ana": "moved"} and not states(simulation, "gate-west0")
    simulation.run(15 * MINUTE)
    assert states(simulation)["ben"] == "moved"
    assert states(simulation, "gate-west0") == {"": "moved", "ana": "moved", "ben": "moved"}
    assert all(
        in_hours(simulation.contracts["ben"], move["at"])
        for move in simulation.moves.values()
        if move["tenant"] == "ben"
    )


def test_a_long_request_past_the_end_of_the_hours_completes_at_its_node() -> None:
    """The tenant counts as moved once its last request there has ended."""
    simulation = quiet_simulation(ana=(-60, 2))
    gate = next(iter(simulation.gates.values()))
    long_request = Request(gate, "ana", "book", NODE, simulation.now + 10 * MINUTE)
    simulation.requests.append(long_request)
    simulation.order("b", "backend", NODE, 60 * MINUTE)
    simulation.run(9 * MINUTE)
    assert not in_hours(simulation.contracts["ana"], simulation.now) and long_request in simulation.requests
    assert states(simulation)["ana"] == "leaving" and simulation.orders["b"]["state"] == "open"
    simulation.run(2 * MINUTE)
    assert states(simulation)["ana"] == "moved" and simulation.orders["b"]["state"] == "empty"
    record = simulation.moves[move_key("b", NODE, "ana")]
    assert sum(report[2] for report in record["gates"].values()) >= 1
    assert sum(report[4].get("served", 0) for report in record["gates"].values()) >= 1


def test_hours_that_close_during_a_drain_stop_the_remaining_moves() -> None:
    """Tenants that have moved stay moved, the others stay, and the order states the reason."""
    simulation = quiet_simulation(ana=(-60, 300), ben=(30, 31), cai=(0, 1))
    simulation.hours.set_contracts(simulation.contracts)
    assert any("ben" in why for why in simulation.order("b", "backend", NODE, 20 * MINUTE).obstacles)
    simulation.contracts = {**simulation.contracts, "ben": simulation.contracts["ana"]}
    assert not simulation.order("b", "backend", NODE, 20 * MINUTE).obstacles
    simulation.contracts = {
        **simulation.contracts,
        "ben": Contract("ben", "UTC", ((),) * 7),
    }  # replaced during the drain
    simulation.run(25 * MINUTE)
    assert states(simulation) == {"": "moved", "ana": "moved", "cai": "moved"}
    assert (
        simulation.orders["b"]["state"] == "ended"
        and "ben: its hours were not open" in simulation.orders["b"]["why_state"]
    )


def test_the_last_backend_of_a_service_in_a_zone_is_not_drained() -> None:
    simulation = quiet_simulation(ana=(-60, 300))
    assert simulation.order("w", "backend", "book-west0", MINUTE).obstacles == [
        "book-west0 is the last backend of book in west"
    ]
    assert not simulation.order("e", "backend", NODE, 5 * MINUTE).obstacles
    why = simulation.order("f", "backend", "book-east1", MINUTE).obstacles
    assert any("last backend of book in east" in line for line in why)
    gates = [node for node, gate in simulation.listed.items() if gate["az"] == "east"]
    for n, node in enumerate(gates):
        obstacles = simulation.order(f"g{n}", "gateway", node, 5 * MINUTE).obstacles
        # with fewer than half of them, the platform would use all gateways of the zone again
        assert bool(obstacles) == (2 * (len(gates) - n - 1) < len(gates))


def test_a_drain_stops_when_a_crash_makes_its_node_the_last_backend() -> None:
    """No move leaves a zone without a backend of the service, even if the plan allowed it."""
    simulation = quiet_simulation(ana=(-60, 300), ben=(-60, 300), cai=(-60, 300))
    simulation.order("e", "backend", NODE, 5 * MINUTE)
    simulation.run(2 * TICK)
    moved = set(states(simulation))
    del simulation.backends["book-east1"]
    simulation.run(6 * MINUTE)
    assert set(states(simulation)) == moved and simulation.orders["e"]["state"] == "ended"
    assert "last backend of book in east" in simulation.orders["e"]["why_state"]


def test_moves_are_spread_when_all_hours_open_at_once() -> None:
    names = {f"t{n}": (2, 30) for n in range(12)}
    simulation = quiet_simulation(**names)
    simulation.order("z", "zone", "east", 25 * MINUTE)
    simulation.run(25 * MINUTE)
    times = sorted({move["at"] for move in simulation.moves.values()})
    assert len(times) > 12 and all(b - a >= PACE for a, b in zip(times, times[1:], strict=False))


def test_an_isolated_gateway_follows_a_move_only_in_the_next_hours() -> None:
    """A gateway that is isolated until the hours have closed ignores the late move and follows the repeated one."""
    simulation = quiet_simulation(ana=(1, 4))
    minute = simulation.now // MINUTE
    spans = (Span((minute + 1) % 1440, (minute + 4) % 1440), Span((minute + 20) % 1440, (minute + 30) % 1440))
    simulation.contracts = {"ana": Contract("ana", "UTC", (spans,) * 7)}
    gate = simulation.gates["gate-west1"]
    simulation.order("b", "backend", NODE, 60 * MINUTE)
    gate.isolated_since = simulation.now
    simulation.run(6 * MINUTE)
    key = move_key("b", NODE, "ana")
    assert key in simulation.moves and key not in gate.moves.followed
    gate.isolated_since = 0
    simulation.run(10 * MINUTE)
    assert key not in gate.moves.followed and simulation.moves[key]["state"] == "leaving"
    simulation.run(10 * MINUTE)
    assert (
        key in gate.moves.followed and simulation.moves[key]["state"] == "moved" and simulation.moves[key]["again"] == 1
    )


def test_the_drain_of_an_isolated_gateway_can_be_cancelled_after_its_return() -> None:
    simulation = quiet_simulation(ana=(-60, 600))
    gate = simulation.gates["gate-west1"]
    gate.isolated_since = simulation.now
    simulation.order("g", "gateway", "gate-west1", 3 * MINUTE)
    simulation.run(2 * TICK)
    assert not gate.moves.gateway_draining and states(simulation, "gate-west1")["ana"] == "leaving"
    simulation.run(5 * MINUTE)
    # without an entry in the list it counts as gone, and its order is done
    assert simulation.orders["g"]["state"] == "done"
    gate.isolated_since = 0
    simulation.run(MINUTE)
    assert gate.moves.gateway_draining and states(simulation, "gate-west1") == {"": "moved", "ana": "moved"}
    assert simulation.orders["g"]["state"] == "ended"  # so that it can be cancelled
    simulation.cancel("g")
    simulation.run(MINUTE)
    assert not gate.moves.gateway_draining


def test_after_a_cancel_tenants_return_within_their_hours() -> None:
    """Outside its hours, a tenant's return waits."""
    simulation = quiet_simulation(ana=(-60, 2), ben=(-60, 60))
    simulation.order("b", "backend", NODE, 30 * MINUTE)
    simulation.run(3 * MINUTE)
    assert states(simulation) == {"": "moved", "ana": "moved", "ben": "moved"}
    simulation.cancel("b")
    simulation.run(5 * MINUTE)
    assert states(simulation) == {"": "returned", "ana": "moved", "ben": "returned"}
    assert all(
        NODE in gate.moves.avoided_backends.get("ana", ()) and "ben" not in gate.moves.avoided_backends
        for gate in simulation.gates.values()
    )


def test_a_second_order_for_a_node_is_refused_until_the_first_is_cancelled() -> None:
    simulation = quiet_simulation(ana=(-60, 60))
    simulation.order("one", "backend", NODE, 5 * MINUTE)
    assert simulation.order("two", "zone", "east", 5 * MINUTE).obstacles == [f"{NODE} is under another order"]
    simulation.cancel("one")
    assert not simulation.order("two", "zone", "east", 5 * MINUTE).obstacles


def test_an_order_whose_node_ends_names_the_tenants_that_had_not_moved() -> None:
    simulation = quiet_simulation(ana=(-60, 60), ben=(30, 60))
    simulation.order("b", "backend", NODE, 40 * MINUTE)
    simulation.run(MINUTE)
    simulation.leave(NODE)
    simulation.run(2 * TICK)
    assert simulation.orders["b"]["state"] == "done" and simulation.orders["b"]["why_state"].endswith("ben")


def test_an_order_older_than_the_notice_of_a_contract_no_longer_moves_the_tenant() -> None:
    simulation = quiet_simulation(ana=(10, 60))
    simulation.contracts = {"ana": Contract("ana", "UTC", simulation.contracts["ana"].week, notice=5 * MINUTE)}
    assert "longest notice" in simulation.order("b", "backend", NODE, 40 * MINUTE).obstacles[0]
