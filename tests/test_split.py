"""Services of a `split` get their shares of a route's requests, in every window of 200."""

from __future__ import annotations

import json
import random
from collections import Counter

import pytest

from oakvale.dataplane.routes import Route, parse_configuration
from tests.data_plane import CONFIG, GatewayHarness, success_answer

WINDOW_REQUESTS = 200
SHARE_TOLERANCE = 0.2


def route_of(weights: dict[str, float]) -> Route:
    """A route whose `split` has these weights."""
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
def test_each_service_gets_its_share_in_every_window(weights: dict[str, float]) -> None:
    route, rng, total = route_of(weights), random.Random(1), sum(weights.values())
    chosen = [route.choose_service(rng.random()) for _ in range(20 * WINDOW_REQUESTS)]
    for begin in range(0, len(chosen) - WINDOW_REQUESTS, 50):
        counted = Counter(chosen[begin : begin + WINDOW_REQUESTS])
        for name, weight in weights.items():
            assert abs(counted[name] / WINDOW_REQUESTS - weight / total) < SHARE_TOLERANCE
    counted = Counter(chosen)
    for name, weight in weights.items():
        assert abs(counted[name] / len(chosen) - weight / total) < 0.03
        assert weight or not counted[name], "a service with weight 0 got requests"


@pytest.mark.parametrize("draw, service", [(0.0, "a"), (0.899999, "a"), (0.9, "b"), (0.999999, "b")])
def test_draws_at_the_limits_of_a_share(draw: float, service: str) -> None:
    assert route_of({"a": 90, "b": 10}).choose_service(draw) == service


def test_a_service_is_drawn_for_each_request(gateway: GatewayHarness) -> None:
    """Drawing once per client or configuration would send one service everything for a while."""
    cols = [*CONFIG["routes"]["cols"][:-1], "split"]  # type: ignore[index]
    weighted_services = [{"svc": "one", "wt": 50}, {"svc": "two", "wt": 50}]
    gateway.apply_state(
        routes={
            "cols": cols,
            "rows": [["read", "a.example", "/r/", "safe", "5s", "800ms", 2, 2, False, weighted_services]],
        }
    )
    counted: Counter[str] = Counter()
    for n in range(24):
        gateway.send_request(request_id=f"a{n}")
        peer = gateway.until(lambda: gateway.backend_1.take() or gateway.backend_2.take() or gateway.backend_3.take())
        gateway.peers.append(peer)
        service = "two" if peer.sock.getsockname() == gateway.backend_3.address else "one"
        counted[service] += 1
        gateway.reads(peer)
        peer.send(success_answer(f"a{n}"))
        peer.close()
    assert min(counted["one"], counted["two"]) >= 4
