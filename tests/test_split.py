"""Parts of a `split` get their share of a route's requests, judged in spans of 200."""

from __future__ import annotations

import json
import random
from collections import Counter

import pytest

from oakvale.dataplane.routes import Route, parse_configuration
from tests.data_plane import CONFIG, Gate, sealed

SPAN, WITHIN = 200, 0.2  # the operators' judge: requests, and how far off a part's share may be


def route_of(weights: dict[str, float]) -> Route:
    rows = [["r", "a.example", "/r/", "safe", "1s", 2, [{"svc": name, "wt": wt} for name, wt in weights.items()], True]]
    text = {
        "gen": 1,
        "routes": {"cols": ["name", "vhost", "prefix", "type", "deadline", "tries", "split", "public"], "rows": rows},
        "svcs": {"cols": ["name"], "rows": [[name] for name in weights]},
    }
    return parse_configuration(json.dumps(text).encode())["routes"]["a.example"][0]  # type: ignore[no-any-return]


@pytest.mark.parametrize(
    "weights", [{"a": 90, "b": 10}, {"a": 50, "b": 50}, {"a": 1, "b": 2, "c": 7}, {"a": 0, "b": 5}, {"a": 100, "b": 0}]
)
def test_each_part_gets_its_share_in_every_span(weights: dict[str, float]) -> None:
    route, draw, whole = route_of(weights), random.Random(1), sum(weights.values())
    named = [route.choose_service(draw.random()) for _ in range(20 * SPAN)]
    for begin in range(0, len(named) - SPAN, 50):
        counted = Counter(named[begin : begin + SPAN])
        for name, weight in weights.items():
            assert abs(counted[name] / SPAN - weight / whole) < WITHIN
    counted = Counter(named)
    for name, weight in weights.items():
        assert abs(counted[name] / len(named) - weight / whole) < 0.03
        assert weight or not counted[name], "a part of weight 0 gets nothing"


@pytest.mark.parametrize("draw, service", [(0.0, "a"), (0.899999, "a"), (0.9, "b"), (0.999999, "b")])
def test_the_bounds_of_the_parts(draw: float, service: str) -> None:
    assert route_of({"a": 90, "b": 10}).choose_service(draw) == service


def test_the_data_plane_draws_for_each_request(gate: Gate) -> None:
    """A draw for each client, or each configuration, would give a part all or nothing for a while."""
    cols = [*CONFIG["routes"]["cols"][:-1], "split"]  # type: ignore[index]
    parts = [{"svc": "one", "wt": 50}, {"svc": "two", "wt": 50}]
    gate.show(routes={"cols": cols, "rows": [["read", "a.example", "/r/", "safe", "5s", "800ms", 2, 2, False, parts]]})
    counted: Counter[str] = Counter()
    for n in range(24):
        gate.say(rid=f"a{n}")
        peer = gate.until(lambda: gate.first.take() or gate.second.take() or gate.other.take())
        gate.peers.append(peer)
        service = "two" if peer.sock.getsockname() == gate.other.address else "one"
        counted[service] += 1
        gate.reads(peer)
        peer.send(sealed(f"a{n}"))
        peer.close()
    assert min(counted["one"], counted["two"]) >= 4
