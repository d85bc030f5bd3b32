"""Resources that the connections of a process share, and the base class of all that own connections."""

from __future__ import annotations

import logging
from functools import lru_cache

from oakvale.base.limits import Limits
from oakvale.base.loop import Loop
from oakvale.memory.buffers import BodyMemory, BufferPool
from oakvale.memory.counters import Tally
from oakvale.memory.idle_connections import ClientConnections, IdleConnections
from oakvale.memory.requests import Answer, ClientRequest, RequestTable
from oakvale.wire.clients import response_head


class SharedResources:
    """Loop, limits, buffers, requests and counters of a process, shared by all owners of connections."""

    def __init__(self, loop: Loop, limits: Limits) -> None:
        self.loop, self.limits = loop, limits
        self.log = logging.getLogger("oakvale.host")
        self.buffers = BufferPool(limits.buffer, limits.buffers)
        self.requests = RequestTable(limits.requests)
        self.idle = IdleConnections(limits.backend_settle)
        self.clients = ClientConnections(limits.client_grace, limits.clients_idle)
        self.tally = Tally()
        self.backend_connections = 0
        self.bodies = BodyMemory(limits.bodies)
        self.answers = BodyMemory(limits.answers)
        self.stopping = self.ended = False
        self.response = lru_cache(limits.cached)(response_head)


class ConnectionOwner:
    """Base class of owners of connections: the shared resources, under the names that connections use."""

    def __init__(self, shared: SharedResources) -> None:
        self.shared = shared
        self.loop, self.limits, self.log = shared.loop, shared.limits, shared.log
        self.buffers, self.requests, self.idle = shared.buffers, shared.requests, shared.idle
        self.clients, self.response = shared.clients, shared.response
        self.bodies, self.answers = shared.bodies, shared.answers

    @property
    def tally(self) -> Tally:
        """Counters of the process."""
        return self.shared.tally

    @tally.setter
    def tally(self, tally: Tally) -> None:
        self.shared.tally = tally

    @property
    def stopping(self) -> bool:
        """Whether the process is shutting down."""
        return self.shared.stopping

    @stopping.setter
    def stopping(self, stopping: bool) -> None:
        self.shared.stopping = stopping

    @property
    def ended(self) -> bool:
        """Whether the process has finished its work and its loop is to end."""
        return self.shared.ended

    @ended.setter
    def ended(self, ended: bool) -> None:
        self.shared.ended = ended

    def waited(self, arrived: int) -> int:
        """Microseconds since the kernel's timestamp of an arrival; 0 where the wall clock is not used."""
        return 0

    def abandon(self, request: ClientRequest) -> None:
        """Marks a request as finished without an answer, as its client has left."""
        request.finished = request.abandoned = True
        self.tally.abandoned["at_backend" if request.attempts else "waiting"] += 1
        self.requests.remove_if_done(request)

    def final(self, request: ClientRequest, answer: Answer) -> None:
        """Sends the final answer of a request to its client."""
        request.finished = True
        request.client.send_answer(answer)
        self.requests.remove_if_done(request)
