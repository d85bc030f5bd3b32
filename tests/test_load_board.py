"""The board of a service: one picture of what is open at its backends, whoever asks."""

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

MS, SECOND = 1_000, 1_000_000
HERE = [BackendCandidate(f"b{n}", "z", 2, 0) for n in range(4)]


def board() -> LoadBoard:
    return LoadBoard(random.Random(7).random)


def test_two_gateways_do_not_meet_at_one_backend_while_others_are_free() -> None:
    """Each alone saw its own attempts only: two slots filled here, four attempts waited there."""
    one = board()
    named = [one.select(HERE, f"g{n % 3}", "z", 10_000 * MS, 0) for n in range(8)]
    counts = {offer.id: sum(1 for found in named if found and found[0] == offer.id) for offer in HERE}
    assert set(counts.values()) == {2}


def test_what_is_handed_back_is_free_again_and_what_never_is_runs_out() -> None:
    one = board()
    for _ in range(8):
        one.select(HERE, "g", "z", 500 * MS, 0)
    full = one.select(HERE, "g", "z", 500 * MS, 0)
    assert full is not None
    one.record_attempt(full[0], full[1], "r", 0, "none", 1)
    assert sum(len(spot.open) for spot in one._loads.values()) == 8
    for _ in range(8):
        one.select(HERE, "g", "z", 900 * MS, 600 * MS)  # a gateway that died hands nothing back
    assert {len(spot.open) for spot in one._loads.values()} == {2}


def test_one_that_loses_or_turns_away_what_it_gets_is_left_alone_for_a_while() -> None:
    one = board()
    found = one.select(HERE, "g", "z", 10_000 * MS, 0)
    assert found is not None
    one.record_attempt(*found, "r", 20 * MS, "lost", 1)
    named = {one.select(HERE, "g", "z", 10_000 * MS, 2)[0] for _ in range(6)}  # type: ignore[index]
    assert found[0] not in named


def test_one_that_fails_in_part_gets_less_than_the_others() -> None:
    one, draw, got = board(), random.Random(3), dict.fromkeys((o.id for o in HERE), 0)
    for at in range(2_000):
        name, ticket = one.select(HERE, f"g{draw.randrange(9)}", "z", 10**9, at * 50 * MS) or ("", 0)
        got[name] += 1
        grey = name == "b0" and draw.random() < 0.5
        one.record_attempt(name, ticket, "r", 100 * MS, "error" if grey else "served", at * 50 * MS + 1)
    assert got["b0"] < min(got[name] for name in ("b1", "b2", "b3")) / 2


def test_at_a_place_that_failed_those_that_start_anew_are_named_first() -> None:
    """The dead stay listed for a while, warm and idle by what was known: half of what came back went to them."""
    one = board()
    for _ in HERE[:2]:
        name, ticket = one.select(HERE[:2], "g", "z", 10_000 * MS, 0) or ("", 0)
        one.record_attempt(name, ticket, "r", 100 * MS, "served", 1)
        one.select(HERE[:2], "g", "z", 2 * MS, 1)
    one.mark_suspect((offer.id for offer in HERE[:2]), 2)
    cold = [BackendCandidate(offer.id, "z", 2, 3_000 * MS) for offer in HERE[2:]]
    named = {one.select([*HERE[:2], *cold], "g", "z", 10_000 * MS, 2)[0] for _ in range(4)}  # type: ignore[index]
    assert named == {"b2", "b3"}


def test_only_what_is_offered_is_named_and_nothing_of_the_rest_is_kept() -> None:
    one = board()
    for _ in range(8):
        one.select(HERE, "g", "z", 10_000 * MS, 0)
    assert one.select(HERE[:1], "g", "z", 10_000 * MS, 1) is not None
    assert set(one._loads) == {"b0"}
    assert one.select([], "g", "z", 10_000 * MS, 2) is None


def test_the_own_zone_goes_first_until_it_would_have_to_wait() -> None:
    one = board()
    offers = [BackendCandidate("near", "z", 2, 0), BackendCandidate("far", "y", 2, 0)]
    named = [one.select(offers, "g", "z", 10_000 * MS, 0) for _ in range(4)]
    assert [found[0] for found in named if found] == ["near", "near", "far", "far"]


def test_against_a_plain_model_attempts_wait_hardly_more_than_in_one_queue() -> None:
    """Twelve gateways, four backends of two slots, 70% busy: with the board nearly nobody waits while a slot is
    free elsewhere; by chance alone a third does."""

    def waited(choose: bool) -> float:
        one, draw, late = board(), random.Random(11), 0
        busy: dict[str, list[tuple[int, int]]] = {offer.id: [] for offer in HERE}
        now = 0
        for _ in range(3_000):
            now += int(draw.expovariate(1) * 100 * MS / (8 * 0.7))
            for name, work in busy.items():
                for end, ticket in [w for w in work if w[0] <= now]:
                    work.remove((end, ticket))
                    one.record_attempt(name, ticket, "r", 100 * MS, "served", now)
            gate = f"g{draw.randrange(12)}"
            by_chance = (f"b{draw.randrange(4)}", 0)
            name, ticket = (one.select(HERE, gate, "z", 10**12, now) or by_chance) if choose else by_chance
            late += len(busy[name]) >= 2 and any(len(work) < 2 for work in busy.values())
            ends = sorted(end for end, _ in busy[name])
            start = now if len(ends) < 2 else ends[-2]
            busy[name].append((start + 100 * MS, ticket))
        return late / 3_000

    assert waited(True) < 0.03 < 0.25 < waited(False)


def test_one_connection_that_was_dropped_while_idle_tells_all_for_how_long_theirs_are_good() -> None:
    """Each of many gateways lost requests that may run once only before it knew: the losses grew with the fleet."""
    one = board()

    def lose(idled: int, now: int) -> None:
        found = one.select(HERE, "g", "z", now + SECOND, now)
        assert found is not None
        one.record_attempt(*found, "r", MS, "lost", now, idled)

    assert one.idle_timeout.safe_idle_time(0) is None
    lose(400 * MS, 0)
    assert one.idle_timeout.safe_idle_time(1) == 200 * MS
    lose(150 * MS, SECOND)
    lose(900 * MS, 2 * SECOND)  # longer ones go on to be lost: that tells nothing of the young
    assert (
        one.idle_timeout.safe_idle_time(11 * SECOND) == 75 * MS and one.idle_timeout.safe_idle_time(12 * SECOND) is None
    )
    lose(300 * MS, 13 * SECOND)  # it was forgotten too soon
    assert (
        one.idle_timeout.safe_idle_time(32 * SECOND) == 150 * MS
        and one.idle_timeout.safe_idle_time(33 * SECOND) is None
    )


def test_what_a_full_backend_resets_tells_nothing_of_idle_connections() -> None:
    one = board()
    named = [one.select(HERE[:1], "g", "z", SECOND, 0) for _ in range(3)]
    assert named[2] is not None
    one.record_attempt(*named[2], "r", MS, "lost", 0, 400 * MS)
    assert one.idle_timeout.safe_idle_time(0) is None


def test_one_gateway_that_loses_everywhere_does_not_empty_the_service() -> None:
    """Its own link was bad: each backend that it was named rested in turn, and the others met at what was left."""
    one, draw, rested = board(), random.Random(5), 0
    for at in range(400):
        now, asker = at * 10 * MS, f"g{draw.randrange(8)}"
        found = one.select(HERE, asker, "z", 10**9, now)
        assert found is not None
        one.record_attempt(*found, "r", 100 * MS, "lost" if asker == "g0" else "served", now + 1, 0, asker)
        rested += at > 200 and sum(spot.paused_until > now for spot in one._loads.values())
    assert rested == 0
    for at in range(400, 420):  # what all lose there is the backend's
        found = one.select(HERE, f"g{at % 8}", "z", 10**9, at * 10 * MS)
        assert found is not None
        one.record_attempt(
            *found, "r", 100 * MS, "lost" if found[0] == "b1" else "served", at * 10 * MS, 0, f"g{at % 8}"
        )
    assert one._loads["b1"].paused_until > 4 * SECOND > one._loads["b2"].paused_until


def test_one_that_failed_is_tried_again_though_others_are_free() -> None:
    """It failed once, was dearer than any free one from then on, and so never got the chance to show better."""
    one = board()
    found = one.select(HERE, "g", "z", 10**9, 0)
    assert found is not None
    one.record_attempt(*found, "r", 20 * MS, "error", 1)

    def named(now: int) -> set[str]:
        picks = [one.select(HERE, f"g{n}", "z", now + 1, now) for n in range(3)]
        return {pick[0] for pick in picks if pick}

    assert found[0] not in set().union(*(named(SECOND + n * MS) for n in range(60)))
    assert found[0] in set().union(*(named(90 * SECOND + n * MS) for n in range(60)))


def plainly(one: LoadBoard, offers: list[BackendCandidate], asker: str, zone: str, now: int) -> str:
    """By looking at all of them."""

    def cost(offer: BackendCandidate) -> float:
        one._cost(offer, one._loads[offer.id], now)  # forgets what is over
        lies = (1 + AFFINITY_WEIGHT * affinity(asker, offer.id)) * (REMOTE_ZONE_COST if offer.zone != zone else 1.0)
        warm = [end for end in one._warm_connections.get(asker, {}).get(offer.id, []) if end > now]
        lies *= WARM_CONNECTION_COST if warm and len(one._loads[offer.id].open) < offer.slots else 1.0
        return lies * one._cost(offer, one._loads[offer.id], now)

    return min(offers, key=cost).id


@pytest.mark.parametrize("count, load", [(6, 0.9), (60, 0.3), (60, 1.2), (90, 0.95)])
def test_looking_at_few_finds_what_looking_at_all_does(count: int, load: float) -> None:
    draw, one = random.Random(count), LoadBoard(lambda: 0.0)
    offers, out = [BackendCandidate(f"b{n}", f"z{n % 3}", 2, n % 5 * 100 * MS) for n in range(count)], []
    pace = {offer.id: draw.choice((0.4, 1.0, 1.0, 3.0)) for offer in offers}
    one.select(offers, "g", "z0", 0, 0)
    for at in range(1_500):
        now, asker, zone = at * 5 * MS, f"g{draw.randrange(9)}", f"z{draw.randrange(3)}"
        if at % 100 == 99:  # some leave, some come
            offers = [offer for offer in offers if draw.random() < 0.9] + [
                BackendCandidate(f"n{at}", "z1", 2, 300 * MS)
            ]
            one.select(offers, asker, zone, 0, now)
        meant = plainly(one, offers, asker, zone, now)
        found = one.select(offers, asker, zone, now + 400 * MS, now)
        assert found is not None and found[0] == meant
        out.append((asker, found))
        if len(out) > 2 * load * len(offers):
            asker, (name, ticket) = out.pop(draw.randrange(len(out)))
            outcome = draw.choices(("served", "error", "lost", "full"), (94, 3, 2, 1))[0]
            one.record_attempt(
                name,
                ticket,
                "r",
                int(100 * MS * pace.get(name, 1.0)),
                outcome,
                now,
                0,
                asker,
                300 * MS * (outcome == "served"),
            )


def test_a_gateway_is_named_the_backend_that_it_has_a_connection_to() -> None:
    """Each pick went by lot among those that lay as well: one in eight attempts opened a connection in a fleet."""
    one, draw, new, idle = LoadBoard(random.Random(3).random), random.Random(4), 0, set[tuple[str, str]]()
    offers = [BackendCandidate(f"b{n}", f"z{n % 2}", 2, 0) for n in range(40)]
    for at in range(4_000):
        now, asker = at * 20 * MS, f"g{draw.randrange(30)}"
        found = one.select(offers, asker, "z0", now + SECOND, now)
        assert found is not None
        new += (asker, found[0]) not in idle
        idle.add((asker, found[0]))
        speed = 1 + offers.index(BackendCandidate(found[0], f"z{int(found[0][1:]) % 2}", 2, 0)) % 5 / 10
        one.record_attempt(
            *found, "r", int(speed * draw.uniform(80, 120)) * MS, "served", now + 1, 0, asker, 8 * SECOND
        )
    assert new < 2 * 30


@pytest.mark.parametrize("asker", [f"g{n}" for n in range(6)])
def test_a_connection_is_not_worth_a_wait(asker: str) -> None:
    """A full backend in the own zone with an idle connection went before a free one elsewhere."""
    one, offers = board(), [BackendCandidate("here", "z", 2, 0), BackendCandidate("there", "y", 2, 0)]
    one.select(offers, asker, "z", 0, 0)
    one.record_attempt("here", 0, "r", MS, "served", 1, 0, asker, 8 * SECOND)
    for _ in range(2):
        one.select(offers[:1], "other", "z", SECOND, 2)
    found = one.select(offers, asker, "z", SECOND, 3)
    assert found is not None and found[0] == "there"
