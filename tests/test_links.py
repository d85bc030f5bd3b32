"""Links between processes, on loopback sockets."""

from __future__ import annotations

import socket
from typing import Any

from oakvale.base.limits import Limits
from oakvale.base.loop import Clock, Loop
from oakvale.mains.links import Mains


def test_a_connection_that_is_being_made_is_not_waited_for_once_its_peer_is_known_to_be_up() -> None:
    """Its first packet had met a dark machine; the peer had called meanwhile, and was asked 0.3 s later."""
    loop = Loop(Clock(), Limits.fill(256, 192 << 20, 250_000, 30_000_000, 80_000, 100))
    peer = Mains(loop, ("127.0.0.1", 0))
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
