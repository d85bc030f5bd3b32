"""Accepting within bounds, and stopping: nothing taken is lost, and the process ends in time."""

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


def test_the_same_address_is_bound_again_at_once() -> None:
    listener = open_listener(("127.0.0.1", 0), 4)
    address = listener.getsockname()
    client = socket.create_connection(address)
    served, _ = listener.accept()
    served.close()  # this side closed first: its end lingers in the kernel
    listener.close()
    again = open_listener(address, 4)
    again.close()
    client.close()


@pytest.mark.parametrize("sockets", [1024, 256, 4096])
def test_the_shares_of_descriptors_leave_room(sockets: int) -> None:
    limits = Limits.fill(sockets, 192 << 20, 250_000, 30_000_000, 80_000, 100)
    assert limits.clients + limits.backends + limits.counters + 16 < sockets
    assert limits.clients > limits.backends > 0


def test_at_the_limit_the_longest_idle_client_makes_room() -> None:
    node = Node(clients=3)
    clients = refused_clients(node, 3)
    extra = node.client()
    node.ask(extra, "a9")
    node.reads(extra, b"later\n")
    node.until(lambda: clients[0].read() and clients[0].ended)
    assert len(node.host.clients.all) == 3 and not clients[1].ended
    node.turns()
    clients[1].read()
    assert not clients[1].ended  # nobody else had to go
    node.close()


def test_those_that_never_spoke_make_room_before_those_that_did() -> None:
    """Hundreds connect and say nothing: usual clients between two requests keep their connections."""
    node = Node(clients=3)
    node.script.answers[i.Request] = refuse
    usual, silent, done = node.client(), node.client(), node.client()
    node.ask(usual, "a1")
    node.reads(usual, b"later\n")
    node.until(lambda: len(node.host.clients.silent) == 2)
    node.pass_time(node.host.limits.client_grace)
    done.send(b"nonsense\r\n\r\n")
    node.reads(done)
    extra = [node.client()]
    node.ask(extra[0], "a2")
    node.reads(extra[0], b"later\n")
    node.until(lambda: done.read() and done.ended and len(node.host.clients.all) == 3)
    assert not node.host.clients.lingering and len(node.host.clients.silent) == 1
    extra.append(node.client())
    node.ask(extra[1], "a3")
    node.reads(extra[1], b"later\n")
    node.until(lambda: silent.read() == b"" and silent.ended)
    usual.read()
    assert not usual.ended
    node.close()


def test_one_that_has_just_come_does_not_make_room_for_the_next() -> None:
    """A crowd asks once and stays, so that each new connection finds no room: one whose client had no time
    yet to send its request was ended for the next."""
    node = Node(clients=3)
    refused_clients(node, 3)
    fresh = []
    for n in range(3):
        fresh.append(node.client())
        node.until(lambda: len(node.host.clients.silent) == n + 1)  # noqa: B023
    assert not node.host.clients.idle
    for n, client in enumerate(fresh):
        node.ask(client, f"b{n}")
        assert node.reads(client, b"later\n").startswith(b"HTTP/1.1 429")
    node.close()


def test_at_the_limit_with_none_idle_new_ones_wait_and_nothing_spins(caplog: pytest.LogCaptureFixture) -> None:
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


def test_a_failing_accept_does_not_spin_and_goes_on_later(node: Node) -> None:
    class NoDescriptors:
        def __init__(self, sock: socket.socket) -> None:
            self.sock, self.tries = sock, 0

        def accept(self) -> Any:
            self.tries += 1
            raise OSError(errno.EMFILE, "too many open files")

        def __getattr__(self, name: str) -> Any:
            return getattr(self.sock, name)

    failing = NoDescriptors(node.listener)
    node.server.acceptor.listener = failing
    client = node.client()
    node.ask(client)
    node.turns(20)
    assert failing.tries == 1
    node.server.acceptor.listener = node.listener
    node.pass_time(node.host.limits.accept_pause)
    node.came(i.Request)


def test_a_storm_of_clients_is_taken_some_a_turn() -> None:
    node = Node(accepts=4)
    clients = [node.client() for _ in range(10)]
    node.loop.turn(0)
    assert len(node.host.clients.all) == 4
    node.until(lambda: len(node.host.clients.all) == 10)
    del clients
    node.close()


def test_what_was_done_is_told_at_intervals(node: Node, caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    node.script.answers[i.Request] = refuse
    Status(node.host.shared).begin()
    client = node.client()
    for rid in ("a1", "a2"):
        client.came = b""
        node.ask(client, rid)
        node.reads(client, b"later\n")
    for _ in range(2):
        node.pass_time(node.host.limits.status)
    first, second = [vars(r) for r in caplog.records if r.message == "status"]
    assert (first["requests"], first["answer_429"], first["clients"]) == (2, 2, 0)
    assert first["buffers_taken"] == 0
    assert second["requests"] == 0 and "answer_429" not in second


# ---- stopping


class Stopped:
    def __init__(self, node: Node) -> None:
        self.node, self.shutdown = node, Shutdown(node.server)

    def ended(self) -> bool:
        return self.node.loop.stopped


@pytest.fixture
def stopped(node: Node) -> Stopped:
    node.script.answers[i.Request] = refuse
    return Stopped(node)


def test_what_comes_after_sigterm_is_taken_and_told_that_the_connection_ends(stopped: Stopped) -> None:
    node = stopped.node
    stopped.shutdown.begin()
    node.pass_time(400 * MS)
    client = node.client()
    node.ask(client)
    reply = node.reads(client, b"later\n")
    assert reply.startswith(b"HTTP/1.1 429") and b"connection: close" in reply.lower()
    node.until(lambda: client.read() and client.ended)


def test_health_fails_while_stopping(stopped: Stopped) -> None:
    stopped.shutdown.begin()
    client = stopped.node.client()
    client.send(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
    assert stopped.node.reads(client).startswith(b"HTTP/1.1 503")


def test_a_full_backlog_is_not_lost_when_listening_ends(stopped: Stopped) -> None:
    """A listener that closes resets the connections that nobody has accepted yet."""
    node = stopped.node
    stopped.shutdown.begin()
    node.clock.now += 500 * MS
    clients = [node.client() for _ in range(50)]
    for n, client in enumerate(clients):
        node.ask(client, f"a{n}")
    stopped.shutdown._stop_accepting(None)  # before any of them was accepted
    for client in clients:
        node.reads(client, b"later\n")
    with pytest.raises(ConnectionRefusedError):
        node.client()


def test_a_backlog_that_finds_no_room_is_taken_as_room_comes() -> None:
    node = Node(clients=2)
    stopped = Stopped(node)
    clients = [node.client() for _ in range(3)]
    for n, client in enumerate(clients):
        node.ask(client, f"a{n}")
    node.came(i.Request, 2)
    stopped.shutdown.begin()
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


def test_idle_connections_are_closed_while_new_ones_are_still_taken(stopped: Stopped) -> None:
    node = stopped.node
    idle = node.client()
    node.until(lambda: node.host.clients.silent)
    stopped.shutdown.begin()
    node.until(lambda: idle.read() == b"" and idle.ended)
    again = node.client()
    node.ask(again)
    node.reads(again, b"later\n")


def test_idle_connections_are_closed_but_not_one_whose_request_has_come(stopped: Stopped) -> None:
    node = stopped.node
    idle, busy = node.client(), node.client()
    node.until(lambda: len(node.host.clients.silent) == 2)
    node.ask(busy)  # it has come, and nobody has read it yet
    stopped.shutdown.begin()
    node.reads(busy, b"later\n")
    node.until(lambda: idle.read() == b"" and idle.ended)


def test_requests_in_hand_are_answered_before_the_end(stopped: Stopped) -> None:
    node = stopped.node
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1)]
    client = node.client()
    node.ask(client)
    backend = node.taken(node.backend)
    node.reads(backend)
    stopped.shutdown.begin()
    for _ in range(20):
        node.pass_time(100 * MS)
    assert not stopped.ended()
    backend.send(answer())
    node.reads(client, b"slots")
    client.close()
    node.pass_time(20 * MS)
    node.until(stopped.ended)


def test_without_requests_the_end_comes_as_soon_as_none_can_come(stopped: Stopped) -> None:
    node = stopped.node
    node.client()
    node.turns()
    stopped.shutdown.begin()
    node.pass_time(500 * MS)
    assert not stopped.ended()
    node.pass_time(200 * MS)
    assert stopped.ended()


def test_what_comes_too_late_to_be_answered_is_turned_away_at_once(stopped: Stopped) -> None:
    node = stopped.node
    client = node.client()
    client.send(b"GET /slot")  # its rest comes late
    node.until(lambda: node.host.clients.all and not node.host.clients.silent)
    stopped.shutdown.begin()
    node.pass_time(500 * MS)
    node.pass_time(200 * MS)
    client.send(
        b"-lookup?key=00000000b4d65521 HTTP/1.1\r\nHost: a\r\nX-Trace-Id: a1\r\nX-Tier: team\r\n"
        b"X-Expires-In: 480m\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n"
    )
    assert node.reads(client).startswith(b"HTTP/1.1 503")
    assert node.script.of(i.Request) == []


def test_a_client_that_never_ends_does_not_hold_the_end_up_for_ever(stopped: Stopped) -> None:
    node = stopped.node
    node.script.answers[i.Request] = lambda r: []
    node.ask(node.client(), X_Expires_In="60000m")
    node.came(i.Request)
    stopped.shutdown.begin()
    node.pass_time(700 * MS)
    node.pass_time(node.host.limits.stop_longest)
    node.pass_time(20 * MS)
    assert stopped.ended()
