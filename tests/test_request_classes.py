"""Request classes: by the terms of routes, in force as long as these are configured."""

from __future__ import annotations

import json
from collections.abc import Callable
from copy import deepcopy
from functools import partial
from typing import Any

from oakvale import interface as i
from oakvale.dataplane.request_classes import RequestClasses, class_of, classes_by_service
from oakvale.dataplane.routes import Route, parse_configuration
from oakvale.ratelimit.counter_state import Receipt
from tests.data_plane import CONFIG, GatewayHarness, success_answer
from tests.node import MS


def configured_routes(**changes: dict[str, Any]) -> dict[str, Any]:
    """The `routes` table of the tests' configuration with changed fields, by the prefix of a route without slashes."""
    table = deepcopy(CONFIG["routes"])
    for row in table["rows"]:  # type: ignore[index]
        for field, value in changes.get(row[2].strip("/"), {}).items():
            row[table["cols"].index(field)] = value  # type: ignore[index]
    return table  # type: ignore[return-value]


def routes_with(**changes: dict[str, Any]) -> list[Route]:
    fields = parse_configuration(json.dumps(CONFIG | {"routes": configured_routes(**changes)}).encode())
    return [route for routes in fields["routes"].values() for route in routes]


def close_idle_connections(gateway: GatewayHarness) -> None:
    """So that the next attempt comes on a new connection, which the harness accepts."""
    for backend in (1, 2):
        gateway.router.idle.close_backend(backend)


def test_classes_are_known_by_their_terms_and_dropped_with_their_routes() -> None:
    routes = {route.prefix: route for route in routes_with(b={"name": "read"})}
    classes = RequestClasses()
    classes.configure(classes_by_service(routes.values())["one"])
    assert classes.number(routes["/r/"]) == (0, True)
    assert classes.number(routes["/b/"]) == (1, True)  # the same name, and unsafe
    assert classes.number(routes["/r/deep/"]) == (0, False)  # the same terms
    assert classes.configure(frozenset({class_of(routes["/b/"])}))
    assert classes.numbered == (class_of(routes["/b/"]),)
    number, is_new = classes.number(routes["/r/"])  # received before the change
    assert is_new and classes.numbered[number].retired
    assert classes.configure(frozenset({class_of(routes["/b/"])})) and len(classes.numbered) == 1


def test_value_that_the_operator_took_back_has_no_effect_any_more(gateway: GatewayHarness) -> None:
    """Guards against an odd value that works on in a gateway that gets no further request of its route."""

    def serve(path: str, request_id: str) -> None:
        close_idle_connections(gateway)
        client = gateway.send_request(path, request_id=request_id, method="POST" if path == "/b/x" else "GET")
        gateway.next_backend_request()[1].send(success_answer(request_id))
        gateway.reads(client, b"ok")

    def aims() -> list[int]:
        return gateway.router._driver("one").gateway.context.aims

    serve("/r/x", "a1")
    serve("/b/x", "a2")
    assert aims() == [800 * MS, 1_000 * MS]
    gateway.apply_state(gen=8, routes=configured_routes(r={"target_time": "0.001ms"}))
    serve("/r/x", "a3")
    assert aims() == [1, 1_000 * MS]
    gateway.apply_state(gen=9)
    assert aims() == [1_000 * MS]


def test_unsafe_request_is_not_decided_as_a_safe_one_of_the_same_name(gateway: GatewayHarness) -> None:
    """Guards against a second run of a booking that waited for the counter while a safe route of its name was used."""
    gateway.apply_state(gen=8, routes=configured_routes(r={"name": "same"}, b={"name": "same"}))
    waiting = list[Callable[[], None]]()
    passes_at_once = gateway.rate_limiter.count_request

    def count_request(
        tenant: str, is_retry: bool, on_counted: Callable[[bool, int, bool], None], max_wait_us: int, receipt: Receipt
    ) -> None:
        if waiting:
            return passes_at_once(tenant, is_retry, on_counted, max_wait_us, receipt)
        waiting.append(partial(on_counted, True, 0, True))

    gateway.rate_limiter.count_request = count_request  # type: ignore[method-assign]
    booking = gateway.send_request("/b/x", request_id="a1", method="POST", body=b"chair 4")
    gateway.until(lambda: waiting)
    reading = gateway.send_request("/r/x", request_id="a2")
    gateway.next_backend_request()[1].send(success_answer("a2"))
    gateway.reads(reading, b"ok")
    close_idle_connections(gateway)
    waiting[0]()
    _, backend, received = gateway.next_backend_request()
    assert b"chair 4" in gateway.reads(backend, b"chair 4") and b"a1" in received
    backend.close()
    assert gateway.status(booking) == 502
    classes = gateway.router._driver("one").gateway.context.settings.classes
    assert {request_class.effect for request_class in classes} == {i.Effect.SAFE, i.Effect.UNSAFE}
