"""Coordination calls on `ctl` connections: how they reach their handlers, and what other replicas answer."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

import pytest

from oakvale.base.loop import Loop
from oakvale.config.bounds import limits_from_settings
from oakvale.controlplane.control_server import ControlServer
from oakvale.coordination.calls import ControlCall, SendAnswer
from oakvale.lifecycle.acceptor import Acceptor
from oakvale.memory.requests import Answer
from oakvale.shared import SharedResources
from tests.data_plane_model import SECOND, SETTINGS, START
from tests.memory_connections import MemoryConnection, MemoryNet

ADDRESS = ("10.0.0.1", 8783)
OWN, OTHER = ("10.0.0.1:7340", "a"), ("10.0.0.2:7340", "b")
CALLS = {
    (b"POST", "numbers"): b"POST /oakvale/numbers/n2",
    (b"POST", "Locks.Begin"): b"POST /oakvale/Locks.Begin/l1f",
    (b"GET", "Cells.Read"): b"GET /oakvale/Cells.Read/g1.2d",
    (b"GET", "watch"): b"GET /oakvale/watch/g1.?after=930&wait-ms=2000",
}


class StubCore:
    """A replica that serves or not, and knows a primary or not."""

    def __init__(self) -> None:
        self.on_serving_change: list[Any] = []
        self.replicated_state = SimpleNamespace(table=SimpleNamespace(items=lambda prefix: []))
        self.self_id, self.serves = OWN, True
        self.known_primary: Any = OWN

    def serving(self) -> bool:
        return self.serves

    def primary(self) -> Any:
        return self.known_primary

    def view(self) -> Any:
        return SimpleNamespace(primary=OTHER)


class ControlWorld:
    def __init__(self) -> None:
        self.now, self.net = START, MemoryNet()
        limits = replace(limits_from_settings(cast(Any, SETTINGS)), timer_slack=0, wake_slack=0)
        self.loop = Loop(lambda: self.now, limits, cast(Any, self.net))
        self.core = StubCore()
        bound = SimpleNamespace(bind={"ctl": ADDRESS}, beat=SECOND)
        server = ControlServer(SharedResources(self.loop, limits), cast(Any, self.core), cast(Any, bound))
        self.calls: list[tuple[str, ControlCall, SendAnswer]] = []
        server.enable_coordination({key: self._handler(key[1]) for key in CALLS})
        self.listener = self.net.listen(ADDRESS, 9)
        Acceptor(cast(Any, server), cast(Any, self.listener), self.loop)

    def _handler(self, verb: str) -> Any:
        return lambda call, send: self.calls.append((verb, call, send))

    def send(self, head: bytes, body: bytes = b"") -> MemoryConnection:
        connection = self.net.connection()
        connection.connected = True
        self.listener.queue.append(connection)
        connection.deliver(head + b" HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        self.turn()
        return connection

    def turn(self) -> None:
        for _ in range(3):
            self.loop.turn(0)


@pytest.mark.parametrize("key", CALLS)
def test_a_call_reaches_its_handler_with_query_and_body(key: tuple[bytes, str]) -> None:
    world, body = ControlWorld(), b"{}" if key[0] == b"POST" else b""
    connection = world.send(CALLS[key], body)
    [(verb, call, send)] = world.calls
    path, _, query = CALLS[key].decode().partition("?")
    assert (verb, call.name, call.query, call.body) == (key[1], path.rpartition("/")[2], query, body)
    assert not connection.read()
    send(Answer(200, [(b"content-type", b"application/json")], b'{"rev":1}'))
    send(Answer(200, [], b"again"))
    world.turn()
    answer = connection.read()
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b'\r\n\r\n{"rev":1}')
    assert answer.count(b"content-type: application/json") == 1 and b"again" not in answer


def test_a_caller_that_leaves_abandons_its_call() -> None:
    world, left = ControlWorld(), list[str]()
    connection = world.send(CALLS[b"GET", "watch"])
    [(_, call, send)] = world.calls
    call.on_abandoned.append(lambda: left.append(call.name))
    connection.reset()
    world.turn()
    assert left == ["g1."]
    send(Answer(200))  # too late, and harmless
    world.turn()


def test_no_limit_of_idle_connections_ends_a_watch_that_waits() -> None:
    world = ControlWorld()
    connection = world.send(CALLS[b"GET", "watch"])
    [(_, _, send)] = world.calls
    for _ in range(10):
        world.now += 10 * SECOND
        world.turn()
    send(Answer(200, [], b"late"))
    world.turn()
    assert connection.read().endswith(b"late")


@pytest.mark.parametrize("key", CALLS)
def test_a_replica_that_is_not_primary_never_answers_from_its_own_state(key: tuple[bytes, str]) -> None:
    """It redirects with path and query to the primary, or answers 503 at once if it knows none."""
    world = ControlWorld()
    world.core.serves, world.core.known_primary = False, OTHER
    head = world.send(CALLS[key]).read().decode()
    assert head.startswith("HTTP/1.1 307")
    assert f"location: http://10.0.0.2:8783{CALLS[key].decode().partition(' ')[2]}\r\n" in head
    for world.core.known_primary in (None, OWN):  # OWN: it is the primary, but has no lease
        assert world.send(CALLS[key]).read().startswith(b"HTTP/1.1 503")
    assert not world.calls


def test_unknown_calls_and_methods_are_refused() -> None:
    world = ControlWorld()
    assert world.send(b"DELETE /oakvale/numbers/n2").read().startswith(b"HTTP/1.1 405")
    assert world.send(b"POST /oakvale/watch/g1.").read().startswith(b"HTTP/1.1 405")
    assert world.send(b"POST /oakvale/number/n2").read().startswith(b"HTTP/1.1 404")
    assert world.send(b"POST /numbers/n2").read().startswith(b"HTTP/1.1 404")
    assert not world.calls
