"""Idle connections to backends: the latest used is reused first, the rest age out."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from oakvale.wire.backends import BackendConnection
    from oakvale.wire.clients import ClientConnection


class IdleConnections:
    def __init__(self, longest: int) -> None:
        self._longest = longest
        self._by_backend: dict[int, deque[BackendConnection]] = {}
        self.count = 0

    def put(self, connection: BackendConnection) -> None:
        self._by_backend.setdefault(connection.backend, deque()).append(connection)
        self.count += 1

    def take(self, backend: int) -> BackendConnection | None:
        """The latest used that is still whole."""
        connections = self._by_backend.get(backend)
        while connections:
            connection = connections.pop()
            self.count -= 1
            if connection.whole():
                return connection
            connection.end()
        return None

    def remove(self, connection: BackendConnection) -> None:
        connections = self._by_backend.get(connection.backend)
        if connections and connection in connections:
            connections.remove(connection)
            self.count -= 1

    def sweep(self, now: int) -> None:
        """Ends those that stood idle too long; the oldest come first."""
        for connections in self._by_backend.values():
            while connections and now - connections[0].used >= self._longest:
                self._end(connections)

    def free(self, backend: int) -> None:
        connections = self._by_backend.pop(backend, None)
        while connections:
            self._end(connections)

    def end_oldest(self) -> bool:
        """Makes room for another connection."""
        oldest = min((c for c in self._by_backend.values() if c), key=lambda c: c[0].used, default=None)
        if oldest is None:
            return False
        self._end(oldest)
        return True

    def _end(self, connections: deque[BackendConnection]) -> None:
        self.count -= 1
        connections.popleft().end()


class Clients:
    """Clients' connections, those between requests apart, the longest idle first."""

    def __init__(self) -> None:
        self.all: set[ClientConnection] = set()
        self.idle: dict[ClientConnection, None] = {}

    def add(self, connection: ClientConnection) -> None:
        self.all.add(connection)

    def remove(self, connection: ClientConnection) -> None:
        self.all.discard(connection)
        self.idle.pop(connection, None)

    def end_oldest_idle(self) -> bool:
        return any(connection.end_if_idle() for connection in list(self.idle)[:8])

    def end_idle(self) -> None:
        for connection in list(self.idle):
            connection.end_if_idle()
