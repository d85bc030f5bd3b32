"""Idle connections to backends, which are reused most recent first, and the states of client connections."""

from __future__ import annotations

from collections import deque
from collections.abc import Container
from itertools import islice
from typing import Protocol

from oakvale.memory.requests import ReusableConnection

EVICTION_CANDIDATES = 8  # oldest connections of one state that are tried


class IdleConnections:
    """Idle connections to backends, oldest first; `settle_us` is how long one must be idle before it is reused."""

    def __init__(self, settle_us: int) -> None:
        self._settle_us = settle_us
        self._by_backend: dict[int, deque[ReusableConnection]] = {}
        self.count = 0

    def put(self, connection: ReusableConnection) -> None:
        self._by_backend.setdefault(connection.backend, deque()).append(connection)
        self.count += 1

    def take(
        self,
        backend: int,
        now: int,
        max_idle_us: int | None = None,
        unsuitable: Container[ReusableConnection] = (),
    ) -> ReusableConnection | None:
        """Returns the most recently used connection that is still usable and idle for at most `max_idle_us`, but none
        of those in `unsuitable`.

        Some backends send a duplicate answer or stray bytes right after an answer. On a connection that is reused at
        once, these would be taken for the next answer, so one that was used within `settle_us` is passed over."""
        connections = self._by_backend.get(backend)
        passed_over: list[ReusableConnection] = []
        found = None
        while connections and found is None:
            connection = connections.pop()
            if now - connection.last_used < self._settle_us or connection in unsuitable:
                passed_over.append(connection)
                continue
            if max_idle_us is not None and now - connection.last_used > max_idle_us:
                connections.append(connection)  # the remaining ones have been idle even longer
                break
            self.count -= 1
            if now - connection.last_used < connection.max_idle_us and connection.is_reusable():
                found = connection
            else:
                connection.end()
        if connections is not None:
            connections.extend(reversed(passed_over))
        return found

    def remove(self, connection: ReusableConnection) -> None:
        connections = self._by_backend.get(connection.backend)
        if connections and connection in connections:
            connections.remove(connection)
            self.count -= 1
            if not connections:
                del self._by_backend[connection.backend]

    def close_expired(self, now: int) -> None:
        """Closes connections that have been idle for too long."""
        for connections in list(self._by_backend.values()):
            for connection in [c for c in connections if now - c.last_used >= c.max_idle_us]:
                connections.remove(connection)
                self.count -= 1
                connection.end()

    def close_backend(self, backend: int) -> None:
        """Closes all idle connections to a backend."""
        connections = self._by_backend.pop(backend, None)
        while connections:
            self._close_first(connections)

    def close_oldest(self) -> bool:
        """Closes the connection that has been idle longest, so that another can be opened; False if there is none."""
        oldest = min((c for c in self._by_backend.values() if c), key=lambda c: c[0].last_used, default=None)
        if oldest is None:
            return False
        self._close_first(oldest)
        return True

    def _close_first(self, connections: deque[ReusableConnection]) -> None:
        self.count -= 1
        connections.popleft().end()


class TrackedClient(Protocol):
    """A client connection as `ClientConnections` sees it."""

    @property
    def opened(self) -> int: ...

    def close_if_idle(self) -> bool:
        """Closes the connection unless unread bytes of a request have arrived."""

    def end(self) -> None: ...


class ClientConnections:
    """All client connections, with those that may be closed to admit new ones, each group oldest first.

    They are closed in this order: `lingering`, which have sent their last answer and wait for the client to close;
    `silent`, which have not sent a request; `idle`, which are between requests. A connection younger than `grace_us` is
    closed last, as its client may not even know yet that it is connected."""

    def __init__(self, grace_us: int, max_idle: int) -> None:
        self._grace_us, self._max_idle = grace_us, max_idle
        self.all: set[TrackedClient] = set()
        self.lingering: dict[TrackedClient, None] = {}
        self.silent: dict[TrackedClient, None] = {}
        self.idle: dict[TrackedClient, None] = {}

    def add(self, connection: TrackedClient) -> None:
        self.all.add(connection)

    def remove(self, connection: TrackedClient) -> None:
        self.all.discard(connection)
        self.lingering.pop(connection, None)
        self.mark_busy(connection)

    def mark_idle(self, connection: TrackedClient, silent: bool) -> None:
        """Records a connection that waits for a request, its first if `silent`. The number of idle ones is limited:
        clients that send one request and stay connected would exhaust the connections of this gateway, or of a proxy
        in front of it."""
        (self.silent if silent else self.idle)[connection] = None
        if len(self.idle) > self._max_idle:
            self._close_one(list(islice(self.idle, EVICTION_CANDIDATES)))

    def mark_busy(self, connection: TrackedClient) -> None:
        self.silent.pop(connection, None)
        self.idle.pop(connection, None)

    def mark_lingering(self, connection: TrackedClient) -> None:
        self.lingering[connection] = None

    def can_evict(self) -> bool:
        return bool(self.lingering or self.silent or self.idle)

    def evict_one(self, now: int) -> bool:
        """Closes one connection, in the order of the class; False if none could be closed."""
        for connection in islice(self.lingering, 1):
            connection.end()
            return True
        oldest = list(islice(self.silent, EVICTION_CANDIDATES))
        past_grace = [c for c in oldest if now - c.opened >= self._grace_us]
        return self._close_one([*past_grace, *islice(self.idle, EVICTION_CANDIDATES), *oldest])

    def _close_one(self, connections: list[TrackedClient]) -> bool:
        return any(connection.close_if_idle() for connection in connections)

    def close_idle(self) -> None:
        """Closes all connections that wait for a request."""
        for connection in [*self.silent, *self.idle]:
            connection.close_if_idle()
