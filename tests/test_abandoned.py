"""A client closes its connection while its request is pending: what is cancelled, what continues, what is counted."""

from __future__ import annotations

import socket

import pytest

from oakvale.base.net import Sock
from tests.data_plane import KEY, GatewayHarness, success_answer
from tests.data_plane_model import DataPlaneSimulation
from tests.node import MS, StubConnection

LARGE_BODY = b"x" * 60_000  # more than the reduced socket buffers hold


def next_unread_connection(gateway: GatewayHarness) -> StubConnection:
    """Waits for the next connection to a backend, and reads nothing from it."""
    backend = gateway.until(lambda: gateway.backend_1.take() or gateway.backend_2.take())
    gateway.peers.append(backend)
    assert isinstance(backend, StubConnection)
    return backend


def shrink_socket_buffers(gateway: GatewayHarness, receive_only: bool = False) -> None:
    """Shrinks the receive buffers of backends and, unless `receive_only`, the send buffers of the gateway."""
    for server in (gateway.backend_1, gateway.backend_2):
        server.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    if receive_only:
        return
    open_stream = gateway.loop.net.stream

    def stream() -> Sock:
        sock = open_stream()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock

    gateway.loop.net.stream = stream  # type: ignore[method-assign]


def send_all(gateway: GatewayHarness, client: StubConnection, data: bytes) -> None:
    """Sends more than the socket buffers hold; the gateway reads in the meantime."""
    rest = memoryview(data)
    while rest:
        try:
            rest = rest[client.sock.send(rest) :]
        except BlockingIOError:
            gateway.loop.turn(0.01)


@pytest.mark.parametrize("reset", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("partial_answer", [b"", success_answer()[:-1]], ids=["waiting", "half an answer"])
def test_a_safe_request_is_cancelled_at_its_backend(
    gateway: GatewayHarness, partial_answer: bytes, reset: bool
) -> None:
    """Guards against a backend working on a request that nobody waits for."""
    client = gateway.send_request()
    _, backend, _ = gateway.next_backend_request()
    if partial_answer:
        backend.send(partial_answer)
        gateway.turns()
    client.close(reset)
    gateway.until_ended(backend)
    assert gateway.router.tally.abandoned_attempts["cancelled"] == 1
    assert not len(gateway.router.requests) and gateway.backend_1.take() is None and gateway.backend_2.take() is None


@pytest.mark.parametrize("path", ["/r/x", "/b/x"])
def test_a_partly_written_request_is_not_completed(gateway: GatewayHarness, path: str) -> None:
    """A backend can't run a partial request; sending the rest after the client has left would let it run."""
    shrink_socket_buffers(gateway)
    client = gateway.send_request(path, method="POST", Content_Length=str(len(LARGE_BODY)))
    send_all(gateway, client, LARGE_BODY)
    backend = next_unread_connection(gateway)
    gateway.turns(20)
    client.close(reset=True)
    gateway.until(lambda: gateway.router.tally.abandoned["at_backend"] == 1)
    gateway.turns()
    gateway.until_ended(backend)
    assert len(backend.received) < len(LARGE_BODY) and not len(gateway.router.requests)


@pytest.mark.parametrize("client_leaves", [True, False], ids=["client leaves", "deadline passes"])
def test_unsent_data_in_the_socket_buffer_is_discarded(gateway: GatewayHarness, client_leaves: bool) -> None:
    """After a graceful close during a network partition the request would still arrive, and run for nobody."""
    shrink_socket_buffers(gateway, receive_only=True)
    client = gateway.send_request(method="POST", Content_Length=str(len(LARGE_BODY)))
    send_all(gateway, client, LARGE_BODY)
    backend = next_unread_connection(gateway)
    gateway.until(
        lambda: any(out.written for request in gateway.router.requests.all() for out in request.attempts.values())
    )
    if client_leaves:
        client.close()
    else:
        gateway.pass_time(5_100 * MS)
    gateway.until(lambda: not gateway.router.shared.backend_connections)
    with pytest.raises(ConnectionResetError):
        while backend.sock.recv(65536):
            pass


def test_an_unsafe_request_in_flight_is_neither_cancelled_nor_retried(gateway: GatewayHarness) -> None:
    """Cancelling could leave its effect half done; a client can query the state of a request that ran."""
    for request_id, reply in (("a1", success_answer()), ("a2", None)):
        client = gateway.send_request("/b/x", request_id=request_id, method="POST", body=b"order")
        _, backend, _ = gateway.next_backend_request()
        client.close()
        gateway.until(lambda: not gateway.router.clients.all)
        gateway.turns(10)
        assert (backend.read(), backend.ended)[1] is False
        if reply:
            backend.send(reply)
        else:
            backend.close(reset=True)
        gateway.until(lambda: not len(gateway.router.requests))
    gateway.turns(10)
    assert gateway.backend_1.take() is None and gateway.backend_2.take() is None


def test_a_safe_request_that_fails_after_its_client_left_is_not_retried(gateway: GatewayHarness) -> None:
    client = gateway.send_request()
    _, backend, _ = gateway.next_backend_request()
    client.close()
    gateway.until(lambda: gateway.router.tally.abandoned["at_backend"] == 1)
    backend.close(reset=True)
    gateway.turns(10)
    assert not len(gateway.router.requests) and gateway.backend_1.take() is None and gateway.backend_2.take() is None


def test_cancelled_requests_do_not_count_against_the_backend(gateway: GatewayHarness) -> None:
    """Guards against treating cancelled attempts as failures of the backend."""
    gateway.apply_state(removed=("i-2",))
    for n in range(12):
        client = gateway.send_request(request_id=f"a{n}")
        _, backend, _ = gateway.next_backend_request()
        client.close()
        gateway.until_ended(backend)
        gateway.until(lambda: not len(gateway.router.requests))
    client = gateway.send_request(request_id="b")
    _, backend, _ = gateway.next_backend_request()
    backend.send(success_answer("b"))
    assert gateway.status(client) == 200


def test_an_abandoned_request_is_counted_with_the_ending_of_its_attempt(gateway: GatewayHarness) -> None:
    """The counters show that the close was noticed, and how the attempt ended."""
    client = gateway.send_request("/b/x", method="POST", body=b"order")
    _, backend, _ = gateway.next_backend_request()
    client.close()
    gateway.until(lambda: gateway.router.tally.abandoned["at_backend"] == 1)
    backend.send(success_answer())
    gateway.until(lambda: gateway.router.tally.abandoned_attempts["served"] == 1)
    assert gateway.router.tally.fields()["abandoned_at_backend"] == 1
    assert not len(gateway.router.requests)


def test_a_request_abandoned_before_rate_limiting_has_its_own_counter(gateway: GatewayHarness) -> None:
    gateway.rate_limiter.count_request = lambda tenant, is_retry, on_counted, max_wait_us, receipt: None  # type: ignore[method-assign]
    client = gateway.send_request()
    gateway.until(lambda: len(gateway.router.requests))
    client.close()
    gateway.until(lambda: gateway.router.tally.abandoned["waiting"] == 1)
    assert not len(gateway.router.requests) and gateway.backend_1.take() is None and gateway.backend_2.take() is None


def test_an_attempt_that_is_connecting_ends_when_its_client_leaves() -> None:
    """Guards against a connection that is established late delivering a request that nobody waits for."""
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


def end_client_while_gateway_is_paused(gateway: GatewayHarness, client: StubConnection, ends: str) -> None:
    """Closes the client's connection, then lets the gateway run two seconds later."""
    if ends == "half":
        client.sock.shutdown(socket.SHUT_WR)
    else:
        client.close(reset=ends == "reset")
    gateway.clock.now += 2_000 * MS
    gateway.turns(20)
    gateway.pass_time(60 * MS)
    gateway.turns(20)


@pytest.mark.parametrize("path", ["/r/x", "/b/x"])
@pytest.mark.parametrize("ends", ["close", "reset"])
def test_a_request_read_long_after_its_client_left_is_not_started(
    gateway: GatewayHarness, path: str, ends: str
) -> None:
    """Guards against forwarding a request seconds after its client gave up, when the gateway was not scheduled."""
    client = gateway.client()
    gateway.turns()  # accepts the connection before the pause
    method = "POST" if path == "/b/x" else "GET"
    client.send(
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\nTime-Left: 5000\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n".encode()
    )
    end_client_while_gateway_is_paused(gateway, client, ends)
    assert gateway.backend_1.take() is None and gateway.backend_2.take() is None
    assert not gateway.rate_limiter.counted_requests, "an abandoned request was counted"


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_a_client_that_only_half_closed_is_served_even_when_read_late(gateway: GatewayHarness, version: str) -> None:
    client = gateway.client()
    gateway.turns()
    client.send(
        f"GET /r/x HTTP/{version}\r\nHost: a.example\r\nAttempt-Id: a1\r\nTime-Left: 5000\r\n"
        f"Authorization: Bearer {KEY}\r\n\r\n".encode()
    )
    end_client_while_gateway_is_paused(gateway, client, "half")
    _, backend, _ = gateway.next_backend_request()
    backend.send(success_answer())
    gateway.until(lambda: b"200 OK" in client.read() and client.received.endswith(b"ok"))


def test_a_request_read_in_time_is_not_delayed_by_a_probe(gateway: GatewayHarness) -> None:
    client = gateway.send_request()
    client.sock.shutdown(socket.SHUT_WR)
    gateway.turns(3)
    assert gateway.rate_limiter.counted_requests
