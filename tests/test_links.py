"""Links between processes, on loopback sockets."""

from __future__ import annotations

import logging
import socket
from typing import Any

import pytest

from oakvale.base.limits import Limits
from oakvale.base.loop import Clock, Loop
from oakvale.dissemination.tree import Member, Members
from oakvale.lifecycle.eventlog import BOOK
from oakvale.ratelimit.quotas import Quota, QuotaTerms
from oakvale.ratelimit.service import RateLimiter
from oakvale.transport.links import Connection, Transport
from tests import schedules
from tests.link_model import PEERS, World


def test_a_connection_that_is_being_made_is_not_waited_for_once_its_peer_is_known_to_be_up() -> None:
    """Its first packet had met a dark machine; the peer had called meanwhile, and was asked 0.3 s later."""
    loop = Loop(Clock(), Limits.fill(256, 192 << 20, 250_000, 30_000_000, 80_000, 100))
    peer = Transport(loop, ("127.0.0.1", 0))
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    address: tuple[str, int] = listener.getsockname()
    held = [socket.create_connection(address)]  # the queue is full: further first packets fall
    answers: list[Any] = []
    peer.ask(address, "x", None, 5_000_000, answers.append)
    stuck = peer.link(address)
    for _ in range(5):
        loop.turn(0)
    assert stuck is not None and not stuck.up and not answers
    held += [listener.accept()[0]]
    peer.afresh(address)
    fresh = peer.link(address)
    assert fresh is not stuck
    for _ in range(20):
        loop.turn(0.01)
    assert fresh is not None and fresh.up and answers == [None] and peer.link(address) is fresh
    loop.close()
    for sock in (*held, listener):
        sock.close()


def search(examples: int, shrinks: bool = True) -> None:
    schedules.search(lambda schedule: World().play(schedule), examples, (20, 120), shrink=shrinks)


@pytest.fixture
def quiet(monkeypatch: pytest.MonkeyPatch) -> None:
    """Odd answers are drawn, and would be noted."""
    monkeypatch.setattr(BOOK, "write", lambda *_: None)
    monkeypatch.setattr(logging.getLogger("oakvale"), "disabled", True)


@pytest.mark.usefixtures("quiet")
def test_each_question_hears_once_and_its_own_answer_or_none() -> None:
    """Over connections that break, refuse, stay silent or don't read, peers that start again, answers late, twice and
    in pieces, peers that ask under the same numbers, and askers that fail at what they hear. Where one failed as its
    connection ended, the others that had asked on it heard nothing, ever."""
    search(1_000)


def kept(conn: Connection, frame: Any) -> None:
    """An answer leaves its question waiting."""
    waited = conn.waiting.get(frame[1])
    TAKE(conn, frame)
    if waited is not None and not frame[0]:
        conn.waiting[frame[1]] = waited


def alike(transport: Transport, conn: Connection, *rest: Any) -> None:
    """All questions bear one number."""
    transport._number = 0
    ASK_ON(transport, conn, *rest)


def unheard(transport: Transport, conn: Connection) -> None:
    """What is asked on a connection that ends hears nothing."""
    conn.waiting = {}
    GONE(transport, conn)


TAKE, ASK_ON, GONE = Connection._take, Transport.ask_on, Transport.gone
BREAKAGES = {
    "kept": (Connection, "_take", kept),
    "alike": (Transport, "ask_on", alike),
    "unheard": (Transport, "gone", unheard),
}


@pytest.mark.usefixtures("quiet")
@pytest.mark.parametrize("what", BREAKAGES)
def test_each_mechanism_of_questions_taken_out_is_found(monkeypatch: pytest.MonkeyPatch, what: str) -> None:
    monkeypatch.setattr(*BREAKAGES[what])
    with pytest.raises(AssertionError):
        search(300, shrinks=False)


def test_what_was_refused_before_a_question_proves_nothing_of_who_is_asked() -> None:
    """A gateway that had just started again, and was silent next, counted as ended for all its new life: its share of
    the quota, which it passes when it is cut off, was left with the counter (QUOTA)."""
    world, heard = World(), list[Any]()
    world.mode = 1
    world.transport.ask(PEERS[0], "life", None, 150_000, heard.append)
    world.turn()
    assert heard == [None] and world.transport.ended(PEERS[0])
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
    assert world.transport.ended(PEERS[0]) and not rate_limiter._presence.proven_ended
    world.now += 100_000
    world.turn()
    rate_limiter._presence.probe_absent()
    world.turn()
    assert rate_limiter._presence.proven_ended == {"g2": "new"}  # refused since: nobody listens there now
