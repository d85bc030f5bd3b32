"""Every client gets the answer to its own request, and no unsafe request runs twice.

Drawn schedules are played on a model of clients, backends and one gateway (tests/data_plane_model.py); the same draw
must find each safeguard that is removed.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, cast

import h11
import pytest

from oakvale import interface as i
from oakvale.base.limits import Limits
from oakvale.config.bounds import limits_from_settings
from oakvale.dataplane import backend_protocol
from oakvale.dataplane.backend_protocol import SystemDialect
from oakvale.memory.idle_connections import IdleConnections
from oakvale.memory.requests import Answer, ReusableConnection
from oakvale.policy.attempts import Attempts
from oakvale.wire import backends
from oakvale.wire.backends import BackendConnection
from oakvale.wire.clients import ClientConnection
from oakvale.wire.tcp import ConnectionLost
from tests import schedules
from tests.data_plane_model import MS, SECOND, SETTINGS, BackendEnd, ClientEnd, DataPlaneSimulation, play
from tests.memory_connections import UNLIMITED_BYTES
from tests.node import Node, request

EXAMPLES = 2_000  # `python -m tests.test_answers N` plays N others
SCHEDULE_BYTES = 24, 140  # three a step


def search(examples: int, repeatable: bool = True, shrink: bool = True) -> None:
    schedules.search(play, examples, SCHEDULE_BYTES, repeatable, shrink)


def default_limits() -> Limits:
    return limits_from_settings(cast(Any, SETTINGS))


def test_drawn_schedules_break_no_rule() -> None:
    search(EXAMPLES)


# ---- with one safeguard removed, the draw must find a violation


def declared_length_without_checks(event: h11.Response, longest: int) -> int:
    return int(dict(event.headers).get(b"content-length", 0))


def lenient_ending(*not_run: int, seal_required: bool = True) -> Callable[[SystemDialect, Answer], i.Ending]:
    """`SystemDialect.ending`, but taking the statuses `not_run` as proof that the request did not run."""
    real = SystemDialect.ending

    def ending(dialect: SystemDialect, answer: Answer) -> i.Ending:
        if answer.status in not_run:
            return i.Ending.FULL
        return i.Ending.SERVED if answer.status == 200 and not seal_required else real(dialect, answer)

    return ending


def drop_pipelined_input(connection: h11.Connection) -> None:
    """Starts the next cycle without the input that followed the last request."""
    START_NEXT_CYCLE(connection)
    if connection.our_role is h11.SERVER:
        connection._receive_buffer = type(connection._receive_buffer)()


def hide_trailing_response_data(connection: h11.Connection) -> tuple[bytes, bool]:
    """Reports no bytes behind an answer."""
    found: tuple[bytes, bool] = TRAILING_DATA.__get__(connection)
    return found if connection.our_role is h11.SERVER else (b"", False)


def raise_connection_lost(connection: ClientConnection) -> None:
    raise ConnectionLost()


def take_any_connection(
    connections: IdleConnections, backend: int, now: int, max_idle_us: int | None, unsuitable: object
) -> ReusableConnection | None:
    """Takes no notice of which connections have carried an attempt of the request."""
    return TAKE(connections, backend, now, max_idle_us)


TAKE = IdleConnections.take
START_NEXT_CYCLE = h11.Connection.start_next_cycle
TRAILING_DATA: Any = h11.Connection.__dict__["trailing_data"]
REMOVED_SAFEGUARDS: dict[str, tuple[Any, str, Any]] = {
    "an answer for another attempt is accepted": (SystemDialect, "matches_attempt", lambda *_: True),
    "a partly written request counts as not run": (SystemDialect, "partial_request_may_run", False),
    "an attempt without an answer counts as not run": (BackendConnection, "_may_have_run", lambda *_: False),
    "a 503 without Not-Run counts as not run": (SystemDialect, "ending", lenient_ending(503)),
    "a 429 without Not-Run is passed on": (backend_protocol, "NEVER_RAN_STATUSES", ()),
    "a success needs no seal": (SystemDialect, "ending", lenient_ending(seal_required=False)),
    "an encoded body is accepted": (SystemDialect, "check_headers", lambda *_: None),
    "an answer needs no length": (backends, "declared_length", declared_length_without_checks),
    "an unsafe request that may have run is repeated": (Attempts, "repeatable", lambda *_: True),
    "a connection is reused after an answer without an attempt id": (
        SystemDialect,
        "identifies_attempt",
        lambda *_: True,
    ),
    "a connection carries several attempts of a request": (
        IdleConnections,
        "take",
        take_any_connection,
    ),
    "a connection is reused with bytes behind the answer": (
        h11.Connection,
        "trailing_data",
        property(hide_trailing_response_data),
    ),
    "a backend that pauses within an answer is given up": (SystemDialect, "waits_for_rest", lambda *_: False),
    "pipelined requests are dropped": (h11.Connection, "start_next_cycle", drop_pipelined_input),
    "a half-closed client counts as gone": (ClientConnection, "_probe", raise_connection_lost),
    "API keys are passed on": (
        backend_protocol,
        "GATEWAY_REQUEST_HEADERS",
        backend_protocol.GATEWAY_REQUEST_HEADERS - {b"authorization"},
    ),
}


@pytest.mark.parametrize("safeguard", REMOVED_SAFEGUARDS)
def test_each_removed_safeguard_is_found(monkeypatch: pytest.MonkeyPatch, safeguard: str) -> None:
    owner, name, replacement = REMOVED_SAFEGUARDS[safeguard]
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises(AssertionError):
        search(EXAMPLES, shrink=False)


# ---- single cases that the draw found or can't reach


def send_request(simulation: DataPlaneSimulation, kind: int, client: ClientEnd | None = None) -> ClientEnd:
    """Sends a request: kind 0 may be repeated, 3 and 7 may not, and 7 has no body."""
    client = client or simulation.connect_client()
    client.send_request(simulation.add_request(kind, 0), 0)
    simulation.run_turns()
    return client


def statuses(client: ClientEnd) -> list[tuple[int, str]]:
    client.connection.read()
    return [(status, headers.get("connection", "")) for status, headers, _, whole in client.responses() if whole]


def running_backend(simulation: DataPlaneSimulation) -> BackendEnd:
    """The backend end with the latest unanswered request."""
    simulation.run_turns(4)
    unanswered = [
        end for end in simulation.backend_ends if (current := end.current()) is not None and not current.answered
    ]
    return unanswered[-1]


def serve(simulation: DataPlaneSimulation) -> None:
    running_backend(simulation).respond(1)
    simulation.run_turns()


def test_a_pipelined_request_waits_until_the_one_before_is_answered() -> None:
    """The gateway must not answer 400 and cut the backend off because a pipelined request has waited long."""
    simulation = DataPlaneSimulation()
    client = send_request(simulation, 7)
    send_request(simulation, 7, client)
    simulation.pass_time(8 * SECOND)
    serve(simulation)
    serve(simulation)
    assert statuses(client) == [(200, ""), (200, "")]
    simulation.finish()


def test_a_pipelining_timeout_in_the_turn_of_the_answer_does_not_replace_it() -> None:
    """The time for pipelined input runs out in the turn that writes the answer; the answer goes out, not a 500."""
    node = Node()
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1)]
    node.script.answers[i.Ended] = lambda e: [i.Refuse(e.id, 1)]
    client = node.client()
    client.send(request("a1", X_Expires_In="2499m") + b"nonsense\r\n\r\n")
    node.reads(node.accept_from(node.backend))
    node.pass_time(2_600 * MS)
    assert node.reads(client).startswith(b"HTTP/1.1 503")
    node.close()


def test_a_stopping_gateway_answers_pipelined_requests_before_it_closes() -> None:
    """Requests that were read must not be dropped because the answer before them closes the connection."""
    simulation = DataPlaneSimulation()
    client = simulation.connect_client()
    client.send_request(simulation.add_request(7, 0), 1000)  # only its first byte
    send_request(simulation, 7, client)
    simulation.shutdown.begin()
    serve(simulation)
    serve(simulation)
    assert statuses(client) == [(200, ""), (200, "close")]
    simulation.finish()


def test_a_partly_written_interim_answer_is_completed_before_the_final_one() -> None:
    """A half-closed client is probed with a 100; if the kernel takes a part, `HTTP/HTTP/1.1 200 OK` must not result."""
    simulation = DataPlaneSimulation()
    client = send_request(simulation, 7)
    client.reading_paused, client.connection.capacity_bytes = True, 5
    client.connection.end_sending()
    simulation.run_turns()
    client.reading_paused, client.connection.capacity_bytes = False, UNLIMITED_BYTES
    serve(simulation)
    assert statuses(client) == [(200, "")] and client.connection.received.startswith(b"HTTP/1.1 100")
    simulation.finish()


def idle_client(simulation: DataPlaneSimulation) -> ClientEnd:
    """A client that has its answer and whose connection is idle."""
    client = send_request(simulation, 7)
    serve(simulation)
    assert statuses(client)[-1] == (200, "")
    return client


def test_a_connection_stays_idle_for_the_configured_time_also_after_a_change() -> None:
    """Clients may still go by the previous idle time, so for a while the longer of the two holds."""
    simulation = DataPlaneSimulation()
    simulation.idle_timeout = "4s"
    simulation.publish_configuration()
    simulation.pass_time(16 * SECOND)
    longer = idle_client(simulation)
    simulation.pass_time(2 * SECOND)
    simulation.idle_timeout = "30s"
    simulation.publish_configuration()
    simulation.pass_time(24 * SECOND)
    assert not longer.connection.closed
    shorter = idle_client(simulation)
    simulation.idle_timeout = "4s"
    simulation.publish_configuration()
    simulation.pass_time(5 * SECOND)
    after = idle_client(simulation)
    simulation.pass_time(24 * SECOND)
    assert longer.connection.closed and not shorter.connection.closed and not after.connection.closed
    simulation.pass_time(8 * SECOND)
    assert shorter.connection.closed and after.connection.closed
    late = idle_client(simulation)
    simulation.pass_time(5 * SECOND)
    assert late.connection.closed
    simulation.finish()


def test_a_request_that_arrives_when_the_idle_time_ends_is_read() -> None:
    """Even if the timer comes first in a turn, the gateway checks for input before it closes the connection."""
    simulation = DataPlaneSimulation()
    client = idle_client(simulation)
    raw = simulation.add_request(7, 0)
    simulation.loop.at(simulation.now + 15 * SECOND, lambda _: client.send_request(raw, 0))
    simulation.loop.at(simulation.now, lambda _: None)
    simulation.pass_time(15 * SECOND)
    serve(simulation)
    assert statuses(client) == [(200, ""), (200, "")]
    simulation.finish()


def test_empty_lines_before_a_request_are_ignored() -> None:
    """They get no 400, also when a line is split; a connection that sends nothing else stays idle and is closed."""
    simulation = DataPlaneSimulation()
    client = idle_client(simulation)
    for part in (b"\r", b"\n", b"\r\n\r", b"\n"):
        client.connection.deliver(part)
        simulation.run_turns()
    send_request(simulation, 7, client)
    serve(simulation)
    assert statuses(client) == [(200, ""), (200, "")]
    client.connection.deliver(b"\r\n")
    simulation.pass_time(14 * SECOND)
    assert not client.connection.closed
    simulation.pass_time(3 * SECOND)
    assert client.connection.closed and statuses(client) == [(200, ""), (200, "")]
    simulation.finish()


def test_idle_connections_are_closed_only_when_full_and_not_at_the_start_of_a_stop() -> None:
    """A request that crosses the closing of its connection is lost to its client."""
    simulation = DataPlaneSimulation(
        {"clients": 4, "clients_idle": default_limits().clients_idle - default_limits().clients + 4}
    )
    idle_clients = [idle_client(simulation) for _ in range(4)]
    assert not any(client.connection.closed for client in idle_clients)
    fifth = idle_client(simulation)
    assert [client.connection.closed for client in (*idle_clients, fifth)] == [True, False, False, False, False]
    simulation.shutdown.begin()
    simulation.run_turns()
    client = send_request(simulation, 7, idle_clients[1])
    serve(simulation)
    assert statuses(client) == [(200, ""), (200, "close")]
    simulation.pass_time(3 * SECOND)
    assert all(client.connection.closed for client in idle_clients)
    simulation.finish()


def test_an_unsafe_request_waits_for_an_answer_that_pauses_midway() -> None:
    """It can't be repeated, so giving up before the deadline would gain nothing; a safe one is tried elsewhere."""
    simulation = DataPlaneSimulation()
    client, safe = send_request(simulation, 7), send_request(simulation, 0)
    for backend_end in simulation.backend_ends:
        backend_end.respond(21)
    simulation.pass_time(3 * SECOND)
    assert simulation.backend_ends[1].connection.closed and not simulation.backend_ends[0].connection.closed
    simulation.backend_ends[0].respond(1)
    simulation.run_turns()
    assert statuses(client) == [(200, "")] and not statuses(safe)
    simulation.finish()


def test_a_connection_is_not_reused_after_an_answer_without_an_attempt_id() -> None:
    """A second copy of a Not-Run answer would be taken for the next request's answer, which would then run twice."""
    simulation = DataPlaneSimulation()
    client = send_request(simulation, 7)
    simulation.backend_ends[0].respond(8)
    simulation.run_turns()
    assert (
        simulation.backend_ends[0].connection.closed
        and running_backend(simulation).deliveries[0].request is client.requests[0]
    )
    serve(simulation)
    assert statuses(client) == [(200, "")] and not simulation.backend_ends[1].connection.closed
    simulation.finish()


@pytest.mark.parametrize("how, status", [(0, 200), (8, 200), (20, 502)])
def test_an_answer_before_the_whole_request_is_written_counts(how: int, status: int) -> None:
    """A backend that answers early may read no further, so the gateway must not wait until it does."""
    simulation = DataPlaneSimulation()
    simulation.capacity_bytes = 40
    client = send_request(simulation, 3)
    simulation.backend_ends[0].respond(how)
    simulation.capacity_bytes = UNLIMITED_BYTES
    simulation.run_turns()
    if how == 8:
        serve(simulation)
    assert statuses(client) == [(status, "")] and simulation.backend_ends[0].connection.closed
    simulation.finish()


def test_the_rest_of_a_request_is_written_after_an_interim_answer() -> None:
    simulation = DataPlaneSimulation()
    simulation.capacity_bytes = 40
    client = send_request(simulation, 3)
    backend_end = simulation.backend_ends[0]
    backend_end.respond(14)
    simulation.run_turns()
    backend_end.connection.capacity_bytes = UNLIMITED_BYTES
    simulation.run_turns()
    assert backend_end.deliveries[0].bytes_left == 0
    serve(simulation)
    assert statuses(client) == [(200, "")] and not backend_end.connection.closed
    simulation.finish()


def test_an_exception_after_part_of_a_request_was_written_counts_as_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def write_part(sock: Any, data: bytes, due: int, stop_on_input: bool = False) -> Any:
        sock.send(data[:40])
        raise RuntimeError("write failed")
        yield

    monkeypatch.setattr(backends, "write_all", write_part)
    simulation = DataPlaneSimulation()
    client = send_request(simulation, 3)
    assert statuses(client) == [(502, "")] and len(simulation.backend_ends) == 1


def test_connect_does_not_block_the_event_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    """A CONNECT answered with 200 pauses h11's parser, on which the gateway must not loop forever."""
    simulation = DataPlaneSimulation()
    connect = simulation.add_request(0, 0)
    connect.request_line = connect.request_line.replace(b"GET", b"CONNECT")
    connect.raw = connect.raw.replace(b"GET", b"CONNECT")
    client = simulation.connect_client()
    client.send_request(connect, 0)
    simulation.run_turns(4)
    assert statuses(client)[0][0] == 405 and not simulation.backend_ends
    simulation.finish()
    simulation = DataPlaneSimulation()
    send_request(simulation, 7)
    connection = next(iter(simulation.router.requests.all()[0].attempts.values())).connection
    monkeypatch.setattr(cast(Any, connection)._http, "next_event", lambda: h11.PAUSED)
    simulation.backend_ends[0].connection.deliver(b"x")
    simulation.run_turns()
    assert simulation.backend_ends[0].connection.closed


if __name__ == "__main__":
    search(int(sys.argv[1]), repeatable=False)
    print(f"{sys.argv[1]} schedules, no rule broken")
