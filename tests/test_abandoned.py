"""A client closes while its request is in hand: what is known of it, and what goes on in its name."""

from __future__ import annotations

import socket

import pytest

from oakvale.base.net import Sock
from tests.data_plane import KEY, Gate, sealed
from tests.data_plane_model import DataPlaneSimulation
from tests.node import MS, StubConnection

LARGE = b"x" * 60_000  # more than small kernel buffers take for a backend that does not read


def unread_connection(gate: Gate) -> StubConnection:
    """The next connection to a backend, which has read nothing of it."""
    backend = gate.until(lambda: gate.first.take() or gate.second.take())
    gate.peers.append(backend)
    assert isinstance(backend, StubConnection)
    return backend


def small_buffers(gate: Gate, receive_only: bool = False) -> None:
    """Backends take little at a time; so does the gateway's own end of their connections."""
    for party in (gate.first, gate.second):
        party.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    if receive_only:
        return
    made = gate.loop.net.stream

    def stream() -> Sock:
        sock = made()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock

    gate.loop.net.stream = stream  # type: ignore[method-assign]


def sends(gate: Gate, client: StubConnection, data: bytes) -> None:
    """Sends more than the kernel takes at once: the gateway reads meanwhile."""
    rest = memoryview(data)
    while rest:
        try:
            rest = rest[client.sock.send(rest) :]
        except BlockingIOError:
            gate.loop.turn(0.01)


@pytest.mark.parametrize("reset", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("begun", [b"", sealed()[:-1]], ids=["waiting", "half an answer"])
def test_a_repeatable_request_is_called_off_at_its_backend(gate: Gate, begun: bytes, reset: bool) -> None:
    """Incident GONE: the request was over, and its attempt went on: the backend worked for nobody."""
    client = gate.say()
    _, backend, _ = gate.at_backend()
    if begun:
        backend.send(begun)
        gate.turns()
    client.close(reset)
    gate.until_ended(backend)
    assert gate.router.tally.abandoned_attempts["cancelled"] == 1
    assert not len(gate.router.requests) and gate.first.take() is None and gate.second.take() is None


@pytest.mark.parametrize("path", ["/r/x", "/b/x"])
def test_a_request_that_is_not_written_whole_is_sent_no_further(gate: Gate, path: str) -> None:
    """An order of which a part is out can't run yet: its rest reached the backend long after its client had left."""
    small_buffers(gate)
    client = gate.say(path, method="POST", Content_Length=str(len(LARGE)))
    sends(gate, client, LARGE)
    backend = unread_connection(gate)
    gate.turns(20)
    client.close(reset=True)
    gate.until(lambda: gate.router.tally.abandoned["at_backend"] == 1)
    gate.turns()
    gate.until_ended(backend)
    assert len(backend.came) < len(LARGE) and not len(gate.router.requests)


@pytest.mark.parametrize("leaves", [True, False], ids=["its client leaves", "its time is over"])
def test_what_the_kernel_still_holds_of_an_attempt_is_thrown_away(gate: Gate, leaves: bool) -> None:
    """A cut held the request up: closed in order, it came to its backend when the cut had healed, to run for nobody."""
    small_buffers(gate, receive_only=True)
    client = gate.say(method="POST", Content_Length=str(len(LARGE)))
    sends(gate, client, LARGE)
    backend = unread_connection(gate)
    gate.until(lambda: any(out.written for request in gate.router.requests.all() for out in request.attempts.values()))
    if leaves:
        client.close()
    else:
        gate.pass_time(5_100 * MS)
    gate.until(lambda: not gate.router.shared.backend_connections)
    with pytest.raises(ConnectionResetError):
        while backend.sock.recv(65536):
            pass


def test_an_unsafe_request_that_is_out_runs_to_its_end_and_is_not_sent_again(gate: Gate) -> None:
    """Half an order is worse than a whole one, whose state its client can ask for."""
    for rid, reply in (("a1", sealed()), ("a2", None)):
        client = gate.say("/b/x", rid=rid, method="POST", body=b"order")
        _, backend, _ = gate.at_backend()
        client.close()
        gate.until(lambda: not gate.router.clients.all)
        gate.turns(10)
        assert (backend.read(), backend.ended)[1] is False
        if reply:
            backend.send(reply)
        else:
            backend.close(reset=True)
        gate.until(lambda: not len(gate.router.requests))
    gate.turns(10)
    assert gate.first.take() is None and gate.second.take() is None


def test_a_repeatable_request_that_fails_after_its_client_left_is_not_tried_again(gate: Gate) -> None:
    client = gate.say()
    _, backend, _ = gate.at_backend()
    client.close()
    gate.until(lambda: gate.router.tally.abandoned["at_backend"] == 1)
    backend.close(reset=True)
    gate.turns(10)
    assert not len(gate.router.requests) and gate.first.take() is None and gate.second.take() is None


def test_clients_that_leave_are_not_held_against_the_backend(gate: Gate) -> None:
    """A backend whose requests are called off has done nothing wrong: the next ones are served there as before."""
    gate.show(gone=("i-2",))
    for n in range(12):
        client = gate.say(rid=f"a{n}")
        _, backend, _ = gate.at_backend()
        client.close()
        gate.until_ended(backend)
        gate.until(lambda: not len(gate.router.requests))
    client = gate.say(rid="b")
    _, backend, _ = gate.at_backend()
    backend.send(sealed("b"))
    assert gate.status(client) == 200


def test_a_client_that_leaves_is_counted_with_what_becomes_of_its_attempt(gate: Gate) -> None:
    """No figure told whether the close was seen, or what followed from it."""
    client = gate.say("/b/x", method="POST", body=b"order")
    _, backend, _ = gate.at_backend()
    client.close()
    gate.until(lambda: gate.router.tally.abandoned["at_backend"] == 1)
    backend.send(sealed())
    gate.until(lambda: gate.router.tally.abandoned_attempts["served"] == 1)
    assert gate.router.tally.fields()["abandoned_at_backend"] == 1
    assert not len(gate.router.requests)


def test_a_client_that_leaves_before_its_request_was_counted_is_counted_apart(gate: Gate) -> None:
    gate.rate_limiter.count_request = lambda tenant, again, then, patience, receipt: None  # type: ignore[method-assign]
    client = gate.say()
    gate.until(lambda: len(gate.router.requests))
    client.close()
    gate.until(lambda: gate.router.tally.abandoned["waiting"] == 1)
    assert not len(gate.router.requests) and gate.first.take() is None and gate.second.take() is None


def test_a_request_whose_connection_does_not_come_up_is_not_sent_when_its_client_has_left() -> None:
    """Its connection came up when a cut had healed: it reached its backend seconds after its client had left."""
    simulation = DataPlaneSimulation()
    simulation.connect_mode = 2  # connections hang
    client = simulation.connect_client()
    client.send_request(simulation.add_request(1, 0), 0)
    simulation.run_turns()
    assert simulation.router.shared.backend_connections == 1
    client.has_closed = True
    client.connection.reset()
    simulation.run_turns()
    assert simulation.router.shared.backend_connections == 0 and not len(simulation.router.requests)
    simulation.finish()


def while_it_stands_still(gate: Gate, client: StubConnection, ends: str) -> None:
    """The client asks and ends while the gateway is not scheduled."""
    if ends == "half":
        client.sock.shutdown(socket.SHUT_WR)
    else:
        client.close(reset=ends == "reset")
    gate.clock.now += 2_000 * MS
    gate.turns(20)
    gate.pass_time(60 * MS)
    gate.turns(20)


@pytest.mark.parametrize("path", ["/r/x", "/b/x"])
@pytest.mark.parametrize("ends", ["close", "reset"])
def test_a_request_that_is_read_long_after_its_client_left_is_not_begun(gate: Gate, path: str, ends: str) -> None:
    """Seconds after its client had given it up it was passed on, an unsafe one to its end."""
    client = gate.client()
    gate.turns()  # its connection is taken before the gateway stands still
    method = "POST" if path == "/b/x" else "GET"
    client.send(
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\nTime-Left: 5000\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n".encode()
    )
    while_it_stands_still(gate, client, ends)
    assert gate.first.take() is None and gate.second.take() is None
    assert not gate.rate_limiter.asked, "nor counted"


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_a_client_that_only_ended_its_sending_is_served_however_late_it_is_read(gate: Gate, version: str) -> None:
    client = gate.client()
    gate.turns()
    client.send(
        f"GET /r/x HTTP/{version}\r\nHost: a.example\r\nAttempt-Id: a1\r\nTime-Left: 5000\r\n"
        f"Authorization: Bearer {KEY}\r\n\r\n".encode()
    )
    while_it_stands_still(gate, client, "half")
    _, backend, _ = gate.at_backend()
    backend.send(sealed())
    gate.until(lambda: b"200 OK" in client.read() and client.came.endswith(b"ok"))


def test_a_request_that_is_read_in_time_is_not_held_for_a_probe(gate: Gate) -> None:
    client = gate.say()
    client.sock.shutdown(socket.SHUT_WR)
    gate.turns(3)
    assert gate.rate_limiter.asked
