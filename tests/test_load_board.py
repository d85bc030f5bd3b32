"""The load board of a service: selection by the load and behaviour of its backends over all gateways."""

from __future__ import annotations

import random

import pytest

from oakvale.loadbalancing.load_board import (
    AFFINITY_WEIGHT,
    REMOTE_ZONE_COST,
    WARM_CONNECTION_COST,
    BackendCandidate,
    LoadBoard,
    affinity,
)
from oakvale.loadbalancing.route_latencies import RouteLatencies

MS, SECOND = 1_000, 1_000_000
HERE = [BackendCandidate(f"b{n}", "z", 2, 0) for n in range(4)]


def new_board() -> LoadBoard:
    return LoadBoard(random.Random(7).random)


def test_two_gateways_do_not_meet_at_one_backend_while_others_are_free() -> None:
    """A gateway that sees only its own attempts would queue at one backend while slots are free at another."""
    load_board = new_board()
    named = [load_board.select(HERE, f"g{n % 3}", "z", 10_000 * MS, 0) for n in range(8)]
    counts = {candidate.id: sum(1 for found in named if found and found[0] == candidate.id) for candidate in HERE}
    assert set(counts.values()) == {2}


def test_returned_tickets_free_their_slots_and_others_expire() -> None:
    load_board = new_board()
    for _ in range(8):
        load_board.select(HERE, "g", "z", 500 * MS, 0)
    full = load_board.select(HERE, "g", "z", 500 * MS, 0)
    assert full is not None
    load_board.record_attempt(full[0], full[1], "r", 0, "none", 1)
    assert sum(len(spot.open) for spot in load_board._loads.values()) == 8
    for _ in range(8):
        load_board.select(HERE, "g", "z", 900 * MS, 600 * MS)  # a gateway that failed returns no tickets
    assert {len(spot.open) for spot in load_board._loads.values()} == {2}


def test_a_backend_that_loses_or_rejects_attempts_is_paused() -> None:
    load_board = new_board()
    found = load_board.select(HERE, "g", "z", 10_000 * MS, 0)
    assert found is not None
    load_board.record_attempt(*found, "r", 20 * MS, "lost", 1)
    named = {load_board.select(HERE, "g", "z", 10_000 * MS, 2)[0] for _ in range(6)}  # type: ignore[index]
    assert found[0] not in named


def test_a_route_that_fell_silent_does_not_lengthen_pauses() -> None:
    """Guards against a mean that outlives its route: a removed batch route of 30 s paused failing backends for 60 s."""
    load_board = new_board()

    def answer(route: str, latency: int, now: int) -> None:
        found = load_board.select(HERE, "g", "z", now + 60 * SECOND, now)
        assert found is not None
        load_board.record_attempt(*found, route, latency, "served", now)

    answer("batch", 30 * SECOND, 30 * SECOND)
    for second in range(31, 30 + 60):
        answer("quick", 50 * MS, second * SECOND)
    assert load_board.typical_latency() == 30 * SECOND  # the batch may still go on
    for second in range(30 + 60, 30 + 60 + 32):
        answer("quick", 50 * MS, second * SECOND)
    assert load_board.typical_latency() == 50 * MS
    now = 122 * SECOND
    for _ in range(4):
        load_board.record_attempt("b0", 0, "quick", MS, "lost", now)
    assert load_board._loads["b0"].paused_until == now + 2 * 50 * MS


def test_latencies_of_a_silent_service_are_kept() -> None:
    latencies = RouteLatencies()
    assert latencies.slowest() is None and latencies.mean("r") is None
    assert latencies.record("r", 100, 0) == 100 and latencies.record("r", 300, 1_000 * SECOND) == 100
    assert latencies.slowest() == latencies.mean("r") == pytest.approx(110)


def test_latencies_of_routes_are_bounded_by_what_is_answered() -> None:
    """Guards against a mean for each route name that any configuration ever had."""
    latencies = RouteLatencies()
    for number in range(1_000):
        latencies.record(f"r{number}", 100, number * SECOND)
    assert len(latencies._routes) <= 62


def test_a_partly_failing_backend_gets_fewer_attempts() -> None:
    load_board, draw, got = new_board(), random.Random(3), dict.fromkeys((o.id for o in HERE), 0)
    for at in range(2_000):
        name, ticket = load_board.select(HERE, f"g{draw.randrange(9)}", "z", 10**9, at * 50 * MS) or ("", 0)
        got[name] += 1
        grey = name == "b0" and draw.random() < 0.5
        load_board.record_attempt(name, ticket, "r", 100 * MS, "error" if grey else "served", at * 50 * MS + 1)
    assert got["b0"] < min(got[name] for name in ("b1", "b2", "b3")) / 2


def test_in_a_failed_zone_restarted_backends_are_selected_first() -> None:
    """Failed backends stay listed for a while and appear idle, so they would get half of the returning requests."""
    load_board = new_board()
    for _ in HERE[:2]:
        name, ticket = load_board.select(HERE[:2], "g", "z", 10_000 * MS, 0) or ("", 0)
        load_board.record_attempt(name, ticket, "r", 100 * MS, "served", 1)
        load_board.select(HERE[:2], "g", "z", 2 * MS, 1)
    load_board.mark_suspect((candidate.id for candidate in HERE[:2]), 2)
    cold = [BackendCandidate(candidate.id, "z", 2, 3_000 * MS) for candidate in HERE[2:]]
    named = {load_board.select([*HERE[:2], *cold], "g", "z", 10_000 * MS, 2)[0] for _ in range(4)}  # type: ignore[index]
    assert named == {"b2", "b3"}


def test_only_candidates_are_selected_and_others_are_forgotten() -> None:
    load_board = new_board()
    for _ in range(8):
        load_board.select(HERE, "g", "z", 10_000 * MS, 0)
    assert load_board.select(HERE[:1], "g", "z", 10_000 * MS, 1) is not None
    assert set(load_board._loads) == {"b0"}
    assert load_board.select([], "g", "z", 10_000 * MS, 2) is None


def test_the_own_zone_is_preferred_until_it_is_full() -> None:
    load_board = new_board()
    candidates = [BackendCandidate("near", "z", 2, 0), BackendCandidate("far", "y", 2, 0)]
    named = [load_board.select(candidates, "g", "z", 10_000 * MS, 0) for _ in range(4)]
    assert [found[0] for found in named if found] == ["near", "near", "far", "far"]


def test_attempts_queue_hardly_more_than_in_a_single_queue() -> None:
    """Twelve gateways, four backends of two slots, 70% busy: with the board hardly any attempt queues while a slot is
    free elsewhere; with random selection many do."""

    def waited(choose: bool) -> float:
        load_board, draw, late = new_board(), random.Random(11), 0
        busy: dict[str, list[tuple[int, int]]] = {candidate.id: [] for candidate in HERE}
        now = 0
        for _ in range(3_000):
            now += int(draw.expovariate(1) * 100 * MS / (8 * 0.7))
            for name, work in busy.items():
                for end, ticket in [w for w in work if w[0] <= now]:
                    work.remove((end, ticket))
                    load_board.record_attempt(name, ticket, "r", 100 * MS, "served", now)
            gate = f"g{draw.randrange(12)}"
            by_chance = (f"b{draw.randrange(4)}", 0)
            name, ticket = (load_board.select(HERE, gate, "z", 10**12, now) or by_chance) if choose else by_chance
            late += len(busy[name]) >= 2 and any(len(work) < 2 for work in busy.values())
            ends = sorted(end for end, _ in busy[name])
            start = now if len(ends) < 2 else ends[-2]
            busy[name].append((start + 100 * MS, ticket))
        return late / 3_000

    assert waited(True) < 0.03 < 0.25 < waited(False)


def test_a_lost_idle_connection_limits_reuse_for_all_gateways() -> None:
    """If each gateway had to learn it by itself, lost requests would grow with the number of gateways."""
    load_board = new_board()

    def lose(idled: int, now: int) -> None:
        found = load_board.select(HERE, "g", "z", now + SECOND, now)
        assert found is not None
        load_board.record_attempt(*found, "r", MS, "lost", now, idled)

    assert load_board.idle_timeout.safe_idle_time(0) is None
    lose(400 * MS, 0)
    assert load_board.idle_timeout.safe_idle_time(1) == 200 * MS
    lose(150 * MS, SECOND)
    lose(900 * MS, 2 * SECOND)  # a longer idle time does not raise the estimate
    assert (
        load_board.idle_timeout.safe_idle_time(11 * SECOND) == 75 * MS
        and load_board.idle_timeout.safe_idle_time(12 * SECOND) is None
    )
    lose(300 * MS, 13 * SECOND)  # recurs, so it is remembered for longer
    assert (
        load_board.idle_timeout.safe_idle_time(32 * SECOND) == 150 * MS
        and load_board.idle_timeout.safe_idle_time(33 * SECOND) is None
    )


def test_resets_by_a_full_backend_do_not_limit_reuse() -> None:
    load_board = new_board()
    named = [load_board.select(HERE[:1], "g", "z", SECOND, 0) for _ in range(3)]
    assert named[2] is not None
    load_board.record_attempt(*named[2], "r", MS, "lost", 0, 400 * MS)
    assert load_board.idle_timeout.safe_idle_time(0) is None


def test_a_gateway_that_loses_everywhere_does_not_pause_all_backends() -> None:
    """A gateway with a bad network link must not get every backend paused for the others."""
    load_board, draw, rested = new_board(), random.Random(5), 0
    for at in range(400):
        now, gateway = at * 10 * MS, f"g{draw.randrange(8)}"
        found = load_board.select(HERE, gateway, "z", 10**9, now)
        assert found is not None
        load_board.record_attempt(*found, "r", 100 * MS, "lost" if gateway == "g0" else "served", now + 1, 0, gateway)
        rested += at > 200 and sum(spot.paused_until > now for spot in load_board._loads.values())
    assert rested == 0
    for at in range(400, 420):  # losses of all gateways are the backend's fault
        found = load_board.select(HERE, f"g{at % 8}", "z", 10**9, at * 10 * MS)
        assert found is not None
        load_board.record_attempt(
            *found, "r", 100 * MS, "lost" if found[0] == "b1" else "served", at * 10 * MS, 0, f"g{at % 8}"
        )
    assert load_board._loads["b1"].paused_until > 4 * SECOND > load_board._loads["b2"].paused_until


def test_a_failed_backend_is_tried_again_though_others_are_free() -> None:
    """A failure must be forgotten, or the backend is never selected again and cannot recover its rating."""
    load_board = new_board()
    found = load_board.select(HERE, "g", "z", 10**9, 0)
    assert found is not None
    load_board.record_attempt(*found, "r", 20 * MS, "error", 1)

    def named(now: int) -> set[str]:
        picks = [load_board.select(HERE, f"g{n}", "z", now + 1, now) for n in range(3)]
        return {pick[0] for pick in picks if pick}

    assert found[0] not in set().union(*(named(SECOND + n * MS) for n in range(60)))
    assert found[0] in set().union(*(named(90 * SECOND + n * MS) for n in range(60)))


def exhaustive_selection(
    load_board: LoadBoard, candidates: list[BackendCandidate], gateway: str, zone: str, now: int
) -> str:
    """Reference model: examines all candidates."""

    def cost(candidate: BackendCandidate) -> float:
        load_board._cost(candidate, load_board._loads[candidate.id], now)  # drops expired tickets
        lies = (1 + AFFINITY_WEIGHT * affinity(gateway, candidate.id)) * (
            REMOTE_ZONE_COST if candidate.zone != zone else 1.0
        )
        warm = [end for end in load_board._warm_connections.get(gateway, {}).get(candidate.id, []) if end > now]
        lies *= WARM_CONNECTION_COST if warm and len(load_board._loads[candidate.id].open) < candidate.slots else 1.0
        return lies * load_board._cost(candidate, load_board._loads[candidate.id], now)

    return min(candidates, key=cost).id


@pytest.mark.parametrize("count, load", [(6, 0.9), (60, 0.3), (60, 1.2), (90, 0.95)])
def test_early_stopping_finds_the_same_backend_as_exhaustive_search(count: int, load: float) -> None:
    draw, load_board = random.Random(count), LoadBoard(lambda: 0.0)
    candidates, out = [BackendCandidate(f"b{n}", f"z{n % 3}", 2, n % 5 * 100 * MS) for n in range(count)], []
    pace = {candidate.id: draw.choice((0.4, 1.0, 1.0, 3.0)) for candidate in candidates}
    load_board.select(candidates, "g", "z0", 0, 0)
    for at in range(1_500):
        now, gateway, zone = at * 5 * MS, f"g{draw.randrange(9)}", f"z{draw.randrange(3)}"
        if at % 100 == 99:  # some backends leave, some join
            candidates = [candidate for candidate in candidates if draw.random() < 0.9] + [
                BackendCandidate(f"n{at}", "z1", 2, 300 * MS)
            ]
            load_board.select(candidates, gateway, zone, 0, now)
        meant = exhaustive_selection(load_board, candidates, gateway, zone, now)
        found = load_board.select(candidates, gateway, zone, now + 400 * MS, now)
        assert found is not None and found[0] == meant
        out.append((gateway, found))
        if len(out) > 2 * load * len(candidates):
            gateway, (name, ticket) = out.pop(draw.randrange(len(out)))
            outcome = draw.choices(("served", "error", "lost", "full"), (94, 3, 2, 1))[0]
            load_board.record_attempt(
                name,
                ticket,
                "r",
                int(100 * MS * pace.get(name, 1.0)),
                outcome,
                now,
                0,
                gateway,
                300 * MS * (outcome == "served"),
            )


def test_backends_with_a_warm_connection_are_preferred() -> None:
    """Random choice among equal backends would open new connections needlessly."""
    load_board, draw, new, idle = LoadBoard(random.Random(3).random), random.Random(4), 0, set[tuple[str, str]]()
    candidates = [BackendCandidate(f"b{n}", f"z{n % 2}", 2, 0) for n in range(40)]
    for at in range(4_000):
        now, gateway = at * 20 * MS, f"g{draw.randrange(30)}"
        found = load_board.select(candidates, gateway, "z0", now + SECOND, now)
        assert found is not None
        new += (gateway, found[0]) not in idle
        idle.add((gateway, found[0]))
        speed = 1 + candidates.index(BackendCandidate(found[0], f"z{int(found[0][1:]) % 2}", 2, 0)) % 5 / 10
        load_board.record_attempt(
            *found, "r", int(speed * draw.uniform(80, 120)) * MS, "served", now + 1, 0, gateway, 8 * SECOND
        )
    assert new < 2 * 30


@pytest.mark.parametrize("gateway", [f"g{n}" for n in range(6)])
def test_a_warm_connection_is_not_worth_queueing(gateway: str) -> None:
    """A full backend with an idle connection must not be preferred to a free one in another zone."""
    load_board, candidates = new_board(), [BackendCandidate("here", "z", 2, 0), BackendCandidate("there", "y", 2, 0)]
    load_board.select(candidates, gateway, "z", 0, 0)
    load_board.record_attempt("here", 0, "r", MS, "served", 1, 0, gateway, 8 * SECOND)
    for _ in range(2):
        load_board.select(candidates[:1], "other", "z", SECOND, 2)
    found = load_board.select(candidates, gateway, "z", SECOND, 3)
    assert found is not None and found[0] == "there"
