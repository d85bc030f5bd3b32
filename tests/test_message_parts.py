"""Long messages between processes, in parts, on loopback sockets."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import pytest

from oakvale.base.limits import Limits
from oakvale.base.loop import Clock, Loop
from oakvale.transport import links
from oakvale.transport.links import MAX_BACKLOG_BYTES, MAX_UNSPLIT_BYTES, Transport


@pytest.fixture(autouse=True)
def notes(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """What is noted; no log is open here."""
    noted: list[str] = []
    monkeypatch.setattr(links, "log_event", lambda event, level="info", **fields: noted.append(event))
    return noted


class Two:
    """A process that speaks, and others that listen, on loopback; what comes to each, in its order."""

    def __init__(self, others: int = 1) -> None:
        self.loop = Loop(Clock(), Limits.fill(256, 192 << 20, 250_000, 30_000_000, 80_000, 100))
        self.transport = Transport(self.loop, ("127.0.0.1", 0))
        self.others: list[tuple[tuple[str, int], list[Any]]] = []
        for _ in range(others):
            sock = socket.create_server(("127.0.0.1", 0))
            address: tuple[str, int] = sock.getsockname()
            sock.close()
            other, came = Transport(self.loop, address), list[Any]()
            other.listen()
            for kind in ("a", "b", "long"):
                other.handlers[kind] = lambda conn, body, answer, kind=kind, came=came: came.append(  # type: ignore[misc]
                    (kind, body)
                ) or answer(body)
            self.others.append((address, came))

    def until(self, so: Callable[[], bool]) -> None:
        for _ in range(20_000):
            if so():
                return
            self.loop.turn(0.01)
        raise AssertionError("it does not come")


def test_a_long_frame_comes_whole_and_holds_up_no_other_kind() -> None:
    """Longer than all that may wait for a peer, or that a frame was allowed; what is of its kind stays behind it."""
    two = Two()
    [(address, came)], answers = two.others, list[Any]()
    text = bytes(range(256)) * (2 * MAX_BACKLOG_BYTES // 256) + b"end"
    two.transport.tell(address, "a", text)
    for n in range(3):
        two.transport.tell(address, "a", n)
        two.transport.tell(address, "b", n)
    two.transport.ask(address, "long", text[: 2 * MAX_UNSPLIT_BYTES], 60_000_000, answers.append)
    two.until(lambda: len(came) == 8 and bool(answers))
    assert [kind for kind, _ in came] == ["b", "b", "b", "a", "a", "a", "a", "long"]
    assert [body for kind, body in came if kind == "a"] == [text, 0, 1, 2] and answers == [
        text[: 2 * MAX_UNSPLIT_BYTES]
    ]
    assert not two.transport.parts_in_flight and not two.transport.ready_for_part and two.transport.long_notice_at > 0
    two.loop.close()


def test_peers_that_do_not_say_that_a_part_came_hold_up_nobody_else(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(links, "MAX_PARTS_IN_FLIGHT", 2)
    monkeypatch.setattr(links, "PART_ACK_TIMEOUT_US", 20_000)
    two = Two()
    [(address, came)] = two.others
    silent = [socket.create_server(("127.0.0.1", 0)) for _ in range(4)]
    for sock in silent:
        two.transport.tell(sock.getsockname(), "a", bytes(10 * MAX_UNSPLIT_BYTES))
    two.until(lambda: two.transport.parts_in_flight == 2)
    two.transport.tell(address, "a", bytes(3 * MAX_UNSPLIT_BYTES))
    two.until(lambda: len(came) == 1)
    ends = [conn for sock in silent if (conn := two.transport.link(sock.getsockname())) is not None]
    for conn in ends:
        conn.end()
    two.until(lambda: not two.transport.parts_in_flight and not any(conn.sending_long_frame() for conn in ends))
    two.loop.close()
    for sock in silent:
        sock.close()


def test_a_peer_that_takes_nothing_is_cut_off_when_much_waits_behind_what_is_long(notes: list[str]) -> None:
    two = Two(0)
    silent = socket.create_server(("127.0.0.1", 0))
    for _ in range(2):
        two.transport.tell(silent.getsockname(), "a", bytes(MAX_BACKLOG_BYTES // 2 + 10))
    conn = two.transport.link(silent.getsockname())
    assert conn is not None and conn.alive and conn.sending_long_frame()
    two.transport.tell(silent.getsockname(), "a", bytes(MAX_BACKLOG_BYTES // 2))
    assert not conn.alive and notes == ["peer does not read"]
    two.loop.close()
    silent.close()
