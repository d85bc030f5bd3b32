"""What the owners of connections in a process share, and what each of them is: a lane, a plant, the `ctl` side."""

from __future__ import annotations

import logging
from functools import lru_cache

from oakvale.base.limits import Limits
from oakvale.base.loop import Loop
from oakvale.memory.buffers import BufferPool, Room
from oakvale.memory.counters import Tally
from oakvale.memory.idle_connections import Clients, IdleConnections
from oakvale.memory.requests import Answer, InHand, RequestsInHand
from oakvale.wire.clients import response


class SharedResources:
    """What all owners of a process's connections hold together."""

    def __init__(self, loop: Loop, limits: Limits) -> None:
        self.loop, self.limits = loop, limits
        self.log = logging.getLogger("oakvale.host")
        self.buffers = BufferPool(limits.buffer, limits.buffers)
        self.requests = RequestsInHand(limits.requests)
        self.idle = IdleConnections(limits.backend_settle)
        self.clients = Clients(limits.client_grace, limits.clients_idle)
        self.tally = Tally()
        self.backend_connections = 0
        self.bodies = Room(limits.bodies)
        self.stopping = self.ended = False
        self.response = lru_cache(limits.cached)(response)


class ConnectionOwner:
    """Whom connections belong to: the process's shared parts, under the names that connections ask for."""

    def __init__(self, shared: SharedResources) -> None:
        self.shared = shared
        self.loop, self.limits, self.log = shared.loop, shared.limits, shared.log
        self.buffers, self.requests, self.idle = shared.buffers, shared.requests, shared.idle
        self.clients, self.bodies, self.response = shared.clients, shared.bodies, shared.response

    @property
    def tally(self) -> Tally:
        return self.shared.tally

    @tally.setter
    def tally(self, tally: Tally) -> None:
        self.shared.tally = tally

    @property
    def stopping(self) -> bool:
        return self.shared.stopping

    @stopping.setter
    def stopping(self, stops: bool) -> None:
        self.shared.stopping = stops

    @property
    def ended(self) -> bool:
        return self.shared.ended

    @ended.setter
    def ended(self, ends: bool) -> None:
        self.shared.ended = ends

    def waited(self, arrived: int) -> int:
        """Microseconds since the kernel's stamp of an arrival; 0 where the time of day, which jumps, is not asked."""
        return 0

    def abandon(self, request: InHand) -> None:
        """Its client left: nobody waits for an answer any more."""
        request.over = request.abandoned = True
        self.tally.abandoned["at_backend" if request.out else "waiting"] += 1
        self.requests.drop_if_done(request)

    def final(self, request: InHand, answer: Answer) -> None:
        request.over = True
        request.client.give(answer)
        self.requests.drop_if_done(request)
