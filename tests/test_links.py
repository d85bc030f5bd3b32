"""Links between processes: on loopback sockets, and against a model over in-memory connections."""

from __future__ import annotations

import logging
import socket
from typing import Any

import pytest

from oakvale.base.limits import Limits
from oakvale.base.loop import Clock, Loop
from oakvale.dissemination.tree import Member, Members
from oakvale.lifecycle.eventlog import EVENT_LOG
from oakvale.ratelimit.quotas import Quota, QuotaTerms
from oakvale.ratelimit.service import RateLimiter
from oakvale.transport.links import Connection, Transport
from tests import schedules
from tests.link_model import PEER_ADDRESSES, World


def test_a_stalled_connection_attempt_is_replaced_once_the_peer_is_known_to_be_up() -> None:
    """Guards against waiting for the connect timeout when the first packet was lost while the peer was down."""
    loop = Loop(Clock(), Limits.fill(256, 192 << 20, 250_000, 30_000_000, 80_000, 100))
    peer = Transport(loop, ("127.0.0.1", 0))
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    address: tuple[str, int] = listener.getsockname()
    client_sockets = [socket.create_connection(address)]  # the accept queue is full: further connection attempts stall
    answers: list[Any] = []
    peer.ask(address, "x", None, 5_000_000, answers.append)
    stalled = peer.link(address)
    for _ in range(5):
        loop.turn(0)
    assert stalled is not None and not stalled.connected and not answers
    client_sockets += [listener.accept()[0]]
    peer.retry_connect(address)
    fresh = peer.link(address)
    assert fresh is not stalled
    for _ in range(20):
        loop.turn(0.01)
    assert fresh is not None and fresh.connected and answers == [None] and peer.link(address) is fresh
    loop.close()
    for sock in (*client_sockets, listener):
        sock.close()


def search(examples: int, shrinks: bool = True) -> None:
    schedules.search(lambda schedule: World().play(schedule), examples, (20, 120), shrink=shrinks)


@pytest.fixture
def silence_logs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Generated schedules contain unusable responses, which would be logged."""
    monkeypatch.setattr(EVENT_LOG, "write", lambda *_: None)
    monkeypatch.setattr(logging.getLogger("oakvale"), "disabled", True)


@pytest.mark.usefixtures("silence_logs")
def test_each_request_gets_exactly_one_response_its_own_or_none() -> None:
    """Connections break, refuse, stall or do not read; peers restart, respond late, twice and in pieces, and reuse
    request numbers; callbacks fail. Guards against a failing callback that keeps other pending requests from ending."""
    search(1_000)


def leave_request_pending(conn: Connection, frame: Any) -> None:
    """A response leaves its request pending."""
    pending = conn.pending_requests.get(frame[1])
    DISPATCH(conn, frame)
    if pending is not None and not frame[0]:
        conn.pending_requests[frame[1]] = pending


def reuse_request_number(transport: Transport, conn: Connection, *rest: Any) -> None:
    """All requests have the same number."""
    transport._last_number = 0
    ASK_ON(transport, conn, *rest)


def drop_pending_requests(transport: Transport, conn: Connection) -> None:
    """Requests pending on a closing connection get no response."""
    conn.pending_requests = {}
    CONNECTION_CLOSED(transport, conn)


DISPATCH, ASK_ON, CONNECTION_CLOSED = Connection._dispatch, Transport.ask_on, Transport.connection_closed
MUTATIONS = {
    "leave-request-pending": (Connection, "_dispatch", leave_request_pending),
    "reuse-request-number": (Transport, "ask_on", reuse_request_number),
    "drop-pending-requests": (Transport, "connection_closed", drop_pending_requests),
}


@pytest.mark.usefixtures("silence_logs")
@pytest.mark.parametrize("mutation", MUTATIONS)
def test_the_model_detects_each_mutation(monkeypatch: pytest.MonkeyPatch, mutation: str) -> None:
    monkeypatch.setattr(*MUTATIONS[mutation])
    with pytest.raises(AssertionError):
        search(300, shrinks=False)


def test_a_refusal_before_a_request_does_not_prove_that_the_requested_process_ended() -> None:
    """Guards against a restarted gateway counting as ended because its address refused connections before: its quota
    share would stay with the counter (QUOTA)."""
    world, responses = World(), list[Any]()
    world.connect_mode = 1
    world.transport.ask(PEER_ADDRESSES[0], "life", None, 150_000, responses.append)
    world.turn()
    assert responses == [None] and world.transport.recently_refused(PEER_ADDRESSES[0])
    world.now += 30_000
    world.turn()
    members = Members([Member("g2", "10.0.0.2:7", "z", "new")])
    rate_limiter = RateLimiter(
        world.loop,
        world.transport,
        QuotaTerms(5_000_000, 0.1, 20),
        "g1",
        "l1",
        "10.0.0.1:7",
        lambda: members,
        lambda: [],
        lambda tenant: Quota(10, 10),
    )
    rate_limiter.members_changed()
    rate_limiter._presence.probe_absent()
    world.turn()
    assert world.transport.recently_refused(PEER_ADDRESSES[0]) and not rate_limiter._presence.proven_ended
    world.now += 100_000
    world.turn()
    rate_limiter._presence.probe_absent()
    world.turn()
    assert rate_limiter._presence.proven_ended == {
        "g2": "new"
    }  # refused after the request: no process listens there any more
