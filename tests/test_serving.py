"""Accepting connections within limits, and graceful shutdown: no accepted request is lost, and it ends in time."""

import errno
import socket
from typing import Any

import pytest

from oakvale import interface as i
from oakvale.base.limits import Limits
from oakvale.lifecycle.serving import open_listener
from oakvale.lifecycle.shutdown import Shutdown
from oakvale.lifecycle.status import Status
from tests.node import MS, Node, answer
from tests.test_clients import refuse, refused_clients


def test_an_address_can_be_bound_again_immediately() -> None:
    listener = open_listener(("127.0.0.1", 0), 4)
    address = listener.getsockname()
    client = socket.create_connection(address)
    connection, _ = listener.accept()
    connection.close()  # this side closes first, so that its socket enters TIME_WAIT
    listener.close()
    second_listener = open_listener(address, 4)
    second_listener.close()
    client.close()


@pytest.mark.parametrize("sockets", [1024, 256, 4096])
def test_the_limits_leave_descriptors_free(sockets: int) -> None:
    limits = Limits.fill(sockets, 192 << 20, 250_000, 30_000_000, 80_000, 100)
    assert limits.clients + limits.backends + limits.counters + 16 < sockets
    assert limits.clients > limits.backends > 0


def test_at_the_limit_the_longest_idle_client_is_closed() -> None:
    node = Node(clients=3)
    clients = refused_clients(node, 3)
    extra = node.client()
    node.ask(extra, "a9")
    node.reads(extra, b"later\n")
    node.until(lambda: clients[0].read() and clients[0].ended)
    assert len(node.host.clients.all) == 3 and not clients[1].ended
    node.turns()
    clients[1].read()
    assert not clients[1].ended  # no other client was closed
    node.close()


def test_clients_without_a_request_are_closed_before_clients_that_sent_one() -> None:
    """Many connections that send nothing must not displace clients that are idle between requests."""
    node = Node(clients=3)
    node.script.answers[i.Request] = refuse
    active, silent, rejected = node.client(), node.client(), node.client()
    node.ask(active, "a1")
    node.reads(active, b"later\n")
    node.until(lambda: len(node.host.clients.silent) == 2)
    node.pass_time(node.host.limits.client_grace)
    rejected.send(b"nonsense\r\n\r\n")
    node.reads(rejected)
    extra = [node.client()]
    node.ask(extra[0], "a2")
    node.reads(extra[0], b"later\n")
    node.until(lambda: rejected.read() and rejected.ended and len(node.host.clients.all) == 3)
    assert not node.host.clients.lingering and len(node.host.clients.silent) == 1
    extra.append(node.client())
    node.ask(extra[1], "a3")
    node.reads(extra[1], b"later\n")
    node.until(lambda: silent.read() == b"" and silent.ended)
    active.read()
    assert not active.ended
    node.close()


def test_a_new_connection_is_not_closed_to_make_room_for_the_next() -> None:
    """Guards against closing a new connection at the limit before its client had time to send a request."""
    node = Node(clients=3)
    refused_clients(node, 3)
    new_clients = []
    for n in range(3):
        new_clients.append(node.client())
        node.until(lambda: len(node.host.clients.silent) == n + 1)  # noqa: B023
    assert not node.host.clients.idle
    for n, client in enumerate(new_clients):
        node.ask(client, f"b{n}")
        assert node.reads(client, b"later\n").startswith(b"HTTP/1.1 429")
    node.close()


def test_at_the_limit_without_idle_clients_new_ones_wait_in_the_backlog_without_a_busy_loop(
    caplog: pytest.LogCaptureFixture,
) -> None:
    node = Node(clients=2)
    clients = [node.client() for _ in range(2)]
    for n, client in enumerate(clients):
        node.ask(client, f"a{n}")
    node.came(i.Request, 2)
    extra = node.client()
    node.ask(extra, "a9")
    node.turns()
    assert len(node.script.of(i.Request)) == 2 and len(node.host.clients.all) == 2
    turns = node.loop.turns
    node.loop.turn(0.05)
    assert node.loop.turns == turns + 1
    for _ in range(5):
        node.pass_time(node.host.limits.accept_pause)
    assert sum("new clients wait" in r.message for r in caplog.records) == 1
    node.script.answers[i.Timer] = lambda _: [i.Refuse("a0", 1)]
    node.host.dispatch(i.Timer(1))
    node.reads(clients[0], b"later\n")
    node.pass_time(node.host.limits.accept_pause)
    assert node.came(i.Request, 3).id == "a9"
    node.close()


def test_a_failing_accept_is_retried_after_a_pause(node: Node) -> None:
    class ListenerWithoutDescriptors:
        def __init__(self, sock: socket.socket) -> None:
            self.sock, self.attempts = sock, 0

        def accept(self) -> Any:
            self.attempts += 1
            raise OSError(errno.EMFILE, "too many open files")

        def __getattr__(self, name: str) -> Any:
            return getattr(self.sock, name)

    failing = ListenerWithoutDescriptors(node.listener)
    node.server.acceptor.listener = failing
    client = node.client()
    node.ask(client)
    node.turns(20)
    assert failing.attempts == 1
    node.server.acceptor.listener = node.listener
    node.pass_time(node.host.limits.accept_pause)
    node.came(i.Request)


def test_a_burst_of_clients_is_accepted_over_several_turns() -> None:
    node = Node(accepts=4)
    clients = [node.client() for _ in range(10)]
    node.loop.turn(0)
    assert len(node.host.clients.all) == 4
    node.until(lambda: len(node.host.clients.all) == 10)
    del clients
    node.close()


def test_status_lines_report_the_changes_since_the_last_one(node: Node, caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    node.script.answers[i.Request] = refuse
    Status(node.host.shared).begin()
    client = node.client()
    for request_id in ("a1", "a2"):
        client.came = b""
        node.ask(client, request_id)
        node.reads(client, b"later\n")
    for _ in range(2):
        node.pass_time(node.host.limits.status)
    first, second = [vars(r) for r in caplog.records if r.message == "status"]
    assert (first["requests"], first["answer_429"], first["clients"]) == (2, 2, 0)
    assert first["buffers_taken"] == 0
    assert second["requests"] == 0 and "answer_429" not in second


# ---- shutdown


class ShutdownNode:
    """A node and its shutdown."""

    def __init__(self, node: Node) -> None:
        self.node, self.shutdown = node, Shutdown(node.server)

    def has_stopped(self) -> bool:
        return self.node.loop.stopped


@pytest.fixture
def stopping(node: Node) -> ShutdownNode:
    node.script.answers[i.Request] = refuse
    return ShutdownNode(node)


def test_connections_after_sigterm_are_served_and_then_closed(stopping: ShutdownNode) -> None:
    node = stopping.node
    stopping.shutdown.begin()
    node.pass_time(400 * MS)
    client = node.client()
    node.ask(client)
    reply = node.reads(client, b"later\n")
    assert reply.startswith(b"HTTP/1.1 429") and b"connection: close" in reply.lower()
    node.until(lambda: client.read() and client.ended)


def test_health_fails_during_shutdown(stopping: ShutdownNode) -> None:
    stopping.shutdown.begin()
    client = stopping.node.client()
    client.send(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
    assert stopping.node.reads(client).startswith(b"HTTP/1.1 503")


def test_connections_in_the_backlog_are_served_before_the_listener_closes(stopping: ShutdownNode) -> None:
    """Closing a listener resets the connections that have not been accepted."""
    node = stopping.node
    stopping.shutdown.begin()
    node.clock.now += 500 * MS
    clients = [node.client() for _ in range(50)]
    for n, client in enumerate(clients):
        node.ask(client, f"a{n}")
    stopping.shutdown._stop_accepting(None)  # before any of them was accepted
    for client in clients:
        node.reads(client, b"later\n")
    with pytest.raises(ConnectionRefusedError):
        node.client()


def test_a_backlog_without_room_is_accepted_as_clients_leave() -> None:
    node = Node(clients=2)
    stopping = ShutdownNode(node)
    clients = [node.client() for _ in range(3)]
    for n, client in enumerate(clients):
        node.ask(client, f"a{n}")
    node.came(i.Request, 2)
    stopping.shutdown.begin()
    node.pass_time(500 * MS)
    node.script.answers[i.Timer] = lambda _: [i.Refuse("a0", 1), i.Refuse("a1", 1)]
    node.host.dispatch(i.Timer(1))
    node.reads(clients[0], b"later\n")
    clients[0].close()
    node.turns()
    node.pass_time(node.host.limits.accept_pause)
    assert node.came(i.Request, 3).id == "a2"
    node.pass_time(200 * MS)
    with pytest.raises(ConnectionRefusedError):
        node.client()
    node.close()


def test_idle_connections_are_closed_while_new_ones_are_still_accepted(stopping: ShutdownNode) -> None:
    node = stopping.node
    idle = node.client()
    node.until(lambda: node.host.clients.silent)
    stopping.shutdown.begin()
    node.until(lambda: idle.read() == b"" and idle.ended)
    new_client = node.client()
    node.ask(new_client)
    node.reads(new_client, b"later\n")


def test_a_connection_with_an_unread_request_is_not_closed_as_idle(stopping: ShutdownNode) -> None:
    node = stopping.node
    idle, busy = node.client(), node.client()
    node.until(lambda: len(node.host.clients.silent) == 2)
    node.ask(busy)  # arrived, but not read yet
    stopping.shutdown.begin()
    node.reads(busy, b"later\n")
    node.until(lambda: idle.read() == b"" and idle.ended)


def test_pending_requests_are_answered_before_the_loop_stops(stopping: ShutdownNode) -> None:
    node = stopping.node
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1)]
    client = node.client()
    node.ask(client)
    backend = node.taken(node.backend)
    node.reads(backend)
    stopping.shutdown.begin()
    for _ in range(20):
        node.pass_time(100 * MS)
    assert not stopping.has_stopped()
    backend.send(answer())
    node.reads(client, b"slots")
    client.close()
    node.pass_time(20 * MS)
    node.until(stopping.has_stopped)


def test_without_requests_the_loop_stops_once_admission_is_closed(stopping: ShutdownNode) -> None:
    node = stopping.node
    node.client()
    node.turns()
    stopping.shutdown.begin()
    node.pass_time(500 * MS)
    assert not stopping.has_stopped()
    node.pass_time(200 * MS)
    assert stopping.has_stopped()


def test_a_request_after_admission_is_closed_is_rejected_immediately(stopping: ShutdownNode) -> None:
    node = stopping.node
    client = node.client()
    client.send(b"GET /slot")  # the rest arrives late
    node.until(lambda: node.host.clients.all and not node.host.clients.silent)
    stopping.shutdown.begin()
    node.pass_time(500 * MS)
    node.pass_time(200 * MS)
    client.send(
        b"-lookup?key=00000000b4d65521 HTTP/1.1\r\nHost: a\r\nX-Trace-Id: a1\r\nX-Tier: team\r\n"
        b"X-Expires-In: 480m\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n"
    )
    assert node.reads(client).startswith(b"HTTP/1.1 503")
    assert node.script.of(i.Request) == []


def test_a_request_that_never_ends_does_not_delay_the_stop_beyond_its_limit(stopping: ShutdownNode) -> None:
    node = stopping.node
    node.script.answers[i.Request] = lambda r: []
    node.ask(node.client(), X_Expires_In="60000m")
    node.came(i.Request)
    stopping.shutdown.begin()
    node.pass_time(700 * MS)
    node.pass_time(node.host.limits.stop_longest)
    node.pass_time(20 * MS)
    assert stopping.has_stopped()
