"""Memory of answers: bounded over all connections, and released while they are written."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from oakvale import interface as i
from oakvale.base.limits import MB, Limits
from oakvale.interface import Ending
from tests.node import MS, Node, StubConnection, answer

LIMIT, SIZE = 500_000, 400_000  # bytes: of all answers together, of each answer here


@pytest.fixture
def limited() -> Iterator[Node]:
    """A node with memory for one answer, whose policy sends each request to the one backend."""
    node = Node(answers=LIMIT)
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1)]
    yield node
    node.close()


def begin(node: Node, request_id: str) -> tuple[StubConnection, StubConnection]:
    """A client whose request has reached the backend, and the backend's connection."""
    client = node.client()
    node.ask(client, request_id)
    backend = node.accept_from(node.backend)
    node.reads(backend)
    return client, backend


def send_all(node: Node, peer: StubConnection, data: bytes) -> None:
    """Sends what the socket buffers take at once, and the rest while the gateway reads; gives up where it doesn't."""
    for _ in range(2_000):
        try:
            data = data[peer.sock.send(data) :]
        except BlockingIOError:
            pass
        node.turns(1)
        if not data:
            return


def test_answer_that_finds_no_memory_waits_for_it_and_is_served(limited: Node) -> None:
    """Guards against two faults: answers in hand that nothing bounds, and the refusal of what a backend has run."""
    (first, backend_1), (second, backend_2) = begin(limited, "a1"), begin(limited, "a2")
    whole = answer(body=b"x" * SIZE)
    backend_1.send(whole[:1_000])
    limited.turns(20)
    assert limited.host.answers.used_bytes == SIZE
    backend_2.send(whole[:1_000])
    limited.turns(20)
    limited.pass_time(limited.host.limits.memory_pause * 4)
    assert limited.host.answers.used_bytes == SIZE and not limited.script.of(i.Ended)
    send_all(limited, backend_1, whole[1_000:])
    assert len(limited.reads(first, b"x" * 1_000)) > 0
    limited.until(lambda: (first.read(), limited.host.answers.used_bytes == 0)[1])
    limited.pass_time(limited.host.limits.memory_pause)
    assert limited.host.answers.used_bytes == SIZE
    send_all(limited, backend_2, whole[1_000:])
    limited.wait_event(i.Ended, 2)
    assert [x.ending for x in limited.script.of(i.Ended)] == [Ending.SERVED, Ending.SERVED]
    limited.until(lambda: (second.read(), limited.host.answers.used_bytes == 0)[1])


def test_wait_for_memory_ends_with_the_deadline(limited: Node) -> None:
    (_, backend_1), (_, backend_2) = begin(limited, "a1"), begin(limited, "a2")
    for backend in (backend_1, backend_2):
        backend.send(answer(body=b"x" * SIZE)[:1_000])
        limited.turns(20)
    limited.pass_time(4_000 * MS)
    ended = limited.wait_event(i.Ended, 2)
    assert {x.ending for x in limited.script.of(i.Ended)} <= {Ending.TIMEOUT, Ending.RESET} and ended.id in ("a1", "a2")
    limited.turns(20)
    assert limited.host.answers.used_bytes == 0


def test_wait_for_memory_ends_with_the_backend_and_with_the_client(limited: Node) -> None:
    (_, backend_1), (client_2, backend_2), (_, backend_3) = (begin(limited, name) for name in ("a1", "a2", "a3"))
    for backend in (backend_1, backend_2, backend_3):
        backend.send(answer(body=b"x" * SIZE)[:1_000])
        limited.turns(20)
    backend_3.close(reset=True)
    ended = limited.wait_event(i.Ended)
    assert (ended.id, ended.ending) == ("a3", Ending.RESET)
    client_2.close(reset=True)
    assert limited.wait_event(i.Withdrawn).id == "a2"
    assert limited.host.answers.used_bytes == SIZE


def test_chunked_answer_without_memory_waits_for_a_short_time_only(limited: Node) -> None:
    """Several hold what has come and wait for the rest: each other's, in the end."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    (_, backend_1), (_, backend_2) = begin(limited, "a1"), begin(limited, "a2")
    send_all(limited, backend_1, head + b"%x\r\n" % SIZE + b"x" * SIZE)
    limited.until(lambda: limited.host.answers.used_bytes == SIZE)
    send_all(limited, backend_2, head + b"%x\r\n" % SIZE + b"x" * 200_000)
    limited.turns(100)
    assert SIZE < limited.host.answers.used_bytes <= LIMIT
    for _ in range(3):
        limited.pass_time(limited.host.limits.answer_rest)
        limited.turns(100)
    assert limited.wait_event(i.Ended, 2).ending is Ending.RESET and limited.host.answers.used_bytes == 0


def test_memory_is_released_while_an_answer_is_written() -> None:
    """Guards against slow readers that each hold a whole answer, or two copies of it."""
    node = Node(answers=16 * MB, answer=16 * MB)
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1)]
    client, backend = begin(node, "a1")
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    body = bytes(range(256)) * (12 * MB // 256)
    send_all(node, backend, answer(body=body))
    node.wait_event(i.Ended)
    seen, read = set(), b""
    for _ in range(20_000):
        seen.add(node.host.answers.used_bytes // MB)
        try:
            read += client.sock.recv(65_536)
        except BlockingIOError:
            pass
        node.turns(1)
        if len(read) > len(body) and read.endswith(body):
            break
    assert read.endswith(body) and len(seen) >= 4 and node.host.answers.used_bytes == 0
    node.close()


@pytest.mark.parametrize("megabytes", [30, 128, 200, 300, 1_024])
def test_bodies_of_requests_and_answers_leave_room_for_copies(megabytes: int) -> None:
    limits = Limits.fill(1024, megabytes * MB, 300 * MS, 9_000 * MS, 150 * MS, 100)
    assert limits.bodies + limits.answers <= max(2 * MB, (megabytes - 24) * MB * 5 // 8)
