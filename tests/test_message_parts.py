"""Long messages between processes, sent in parts, on loopback sockets."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import pytest

from oakvale.base.limits import Limits
from oakvale.base.loop import Clock, Loop
from oakvale.controlplane.chunks import MAX_INLINE_BYTES
from oakvale.transport import links
from oakvale.transport.links import MAX_BACKLOG_BYTES, MAX_UNSPLIT_BYTES, Transport


@pytest.fixture(autouse=True)
def logged_events(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """The logged events; no log file is open here."""
    events: list[str] = []
    monkeypatch.setattr(links, "log_event", lambda event, level="info", **fields: events.append(event))
    return events


class Cluster:
    """A sending process and receiving ones on loopback, with the messages that each receives, in order."""

    def __init__(self, others: int = 1) -> None:
        self.loop = Loop(Clock(), Limits.fill(256, 192 << 20, 250_000, 30_000_000, 80_000, 100))
        self.transport = Transport(self.loop, ("127.0.0.1", 0))
        self.others: list[tuple[tuple[str, int], list[Any]]] = []
        self.receivers: list[Transport] = []
        for _ in range(others):
            sock = socket.create_server(("127.0.0.1", 0))
            address: tuple[str, int] = sock.getsockname()
            sock.close()
            other, received = Transport(self.loop, address), list[Any]()
            other.listen()
            for kind in ("a", "b", "long", "sync", "append"):
                other.handlers[kind] = lambda conn, body, answer, kind=kind, received=received: received.append(  # type: ignore[misc]
                    (kind, body)
                ) or answer(body)
            self.others.append((address, received))
            self.receivers.append(other)

    def until(self, condition: Callable[[], bool]) -> None:
        for _ in range(20_000):
            if condition():
                return
            self.loop.turn(0.01)
        raise AssertionError("condition not reached")


def test_a_long_frame_arrives_complete_and_does_not_delay_other_kinds() -> None:
    """Holds for frames above the backlog limit, too; later frames of the same kind stay behind the long one."""
    cluster = Cluster()
    [(address, received)], answers = cluster.others, list[Any]()
    text = bytes(range(256)) * (2 * MAX_BACKLOG_BYTES // 256) + b"end"
    cluster.transport.tell(address, "a", text)
    for n in range(3):
        cluster.transport.tell(address, "a", n)
        cluster.transport.tell(address, "b", n)
    cluster.transport.ask(address, "long", text[: 2 * MAX_UNSPLIT_BYTES], 60_000_000, answers.append)
    cluster.until(lambda: len(received) == 8 and bool(answers))
    assert [kind for kind, _ in received] == ["b", "b", "b", "a", "a", "a", "a", "long"]
    assert [body for kind, body in received if kind == "a"] == [text, 0, 1, 2] and answers == [
        text[: 2 * MAX_UNSPLIT_BYTES]
    ]
    assert (
        not cluster.transport.parts_in_flight
        and not cluster.transport.ready_for_part
        and cluster.transport.long_notice_at > 0
    )
    cluster.loop.close()


def test_a_change_does_not_overtake_the_state_that_it_follows() -> None:
    """A backup turns away a state that arrives behind a newer change, and the whole state is sent to it again."""
    cluster = Cluster()
    [(address, received)] = cluster.others
    cluster.transport.ask(address, "sync", bytes(MAX_INLINE_BYTES), 60_000_000, lambda answer: None)
    cluster.transport.ask(address, "append", 1, 60_000_000, lambda answer: None)
    cluster.until(lambda: len(received) == 2)
    assert [kind for kind, _ in received] == ["sync", "append"]
    cluster.loop.close()


def test_peers_that_do_not_acknowledge_parts_do_not_block_others(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(links, "MIN_PARTS_IN_FLIGHT", 2)
    monkeypatch.setattr(links, "PART_ACK_TIMEOUT_US", 20_000)
    cluster = Cluster()
    [(address, received)] = cluster.others
    silent_peers = [socket.create_server(("127.0.0.1", 0)) for _ in range(4)]
    for sock in silent_peers:
        cluster.transport.tell(sock.getsockname(), "a", bytes(10 * MAX_UNSPLIT_BYTES))
    cluster.until(lambda: cluster.transport.parts_in_flight == 2)
    cluster.transport.tell(address, "a", bytes(3 * MAX_UNSPLIT_BYTES))
    cluster.until(lambda: len(received) == 1)
    connections = [conn for sock in silent_peers if (conn := cluster.transport.link(sock.getsockname())) is not None]
    for conn in connections:
        conn.end()
    cluster.until(
        lambda: not cluster.transport.parts_in_flight and not any(conn.sending_long_frame() for conn in connections)
    )
    cluster.loop.close()
    for sock in silent_peers:
        sock.close()


def test_a_peer_that_does_not_read_is_disconnected_when_its_backlog_is_full(logged_events: list[str]) -> None:
    cluster = Cluster(0)
    silent_peer = socket.create_server(("127.0.0.1", 0))
    for _ in range(2):
        cluster.transport.tell(silent_peer.getsockname(), "a", bytes(MAX_BACKLOG_BYTES // 2 + 10))
    conn = cluster.transport.link(silent_peer.getsockname())
    assert conn is not None and conn.alive and conn.sending_long_frame()
    cluster.transport.tell(silent_peer.getsockname(), "a", bytes(MAX_BACKLOG_BYTES // 2))
    assert not conn.alive and logged_events == ["peer does not read"]
    cluster.loop.close()
    silent_peer.close()


def test_long_messages_in_close_succession_leave_no_part_counted_as_in_flight() -> None:
    """Relays whose slots were taken for ever sent no configuration, and went on to announce that one was coming."""
    cluster, text = Cluster(), bytes(MAX_UNSPLIT_BYTES + 1)
    [(address, received)] = cluster.others
    transport = cluster.transport
    conn = transport.link(address)
    assert conn is not None
    for sent in (2, 4):
        transport.tell(address, "a", text)
        cluster.until(lambda: not conn.sending_long_frame())
        assert transport.parts_in_flight == 1  # the last part of the first message
        transport.tell(address, "a", text)
        assert transport.parts_in_flight == 1
        cluster.until(lambda sent=sent: len(received) == sent)  # type: ignore[misc]
    for _ in range(20):
        cluster.loop.turn(0.01)
    assert transport.parts_in_flight == 0
    cluster.loop.close()


def test_a_long_message_that_makes_no_progress_is_not_announced(monkeypatch: pytest.MonkeyPatch) -> None:
    """Gateways waited without heartbeats, and asked no other source, for as long as their relay announced one."""
    monkeypatch.setattr(links, "MIN_PARTS_IN_FLIGHT", 1)
    monkeypatch.setattr(links, "STALLED_US", 150_000)
    monkeypatch.setattr(links, "LONG_NOTICE_INTERVAL_US", 20_000)
    cluster = Cluster()
    [(address, received)], [receiver] = cluster.others, cluster.receivers
    silent_peer = socket.create_server(("127.0.0.1", 0))
    cluster.transport.tell(silent_peer.getsockname(), "a", bytes(10 * MAX_UNSPLIT_BYTES))
    cluster.until(lambda: cluster.transport.parts_in_flight == 1)
    queued_at = cluster.loop.now
    cluster.transport.tell(address, "a", bytes(MAX_UNSPLIT_BYTES + 1))
    cluster.until(lambda: cluster.loop.now - queued_at > 500_000)
    assert receiver.long_notice_at >= queued_at and not received
    assert receiver.long_notice_at - queued_at <= 200_000
    silent_connection = cluster.transport.link(silent_peer.getsockname())
    assert silent_connection is not None
    silent_connection.end()
    cluster.until(lambda: bool(received))
    cluster.loop.close()
    silent_peer.close()
