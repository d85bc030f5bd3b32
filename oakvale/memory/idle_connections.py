"""Idle connections to backends: the latest used is reused first, the rest age out."""

from __future__ import annotations

from collections import deque
from itertools import islice
from typing import Protocol

from oakvale.memory.requests import ReusableConnection


class IdleConnections:
    def __init__(self, settle: int) -> None:
        self._settle = settle
        self._by_backend: dict[int, deque[ReusableConnection]] = {}
        self.count = 0

    def put(self, connection: ReusableConnection) -> None:
        self._by_backend.setdefault(connection.backend, deque()).append(connection)
        self.count += 1

    def take(self, backend: int, now: int, within: int | None = None) -> ReusableConnection | None:
        """The latest used that is still whole, idle for at most `within`. Some backends send a copy or noise right
        behind an answer: on a connection used again at once it would be taken for the next one's."""
        connections = self._by_backend.get(backend)
        unsettled: list[ReusableConnection] = []
        found = None
        while connections and found is None:
            connection = connections.pop()
            if now - connection.last_used < self._settle:
                unsettled.append(connection)
                continue
            if within is not None and now - connection.last_used > within:
                connections.append(connection)  # as all that are left
                break
            self.count -= 1
            if now - connection.last_used < connection.max_idle_us and connection.is_reusable():
                found = connection
            else:
                connection.end()
        if connections is not None:
            connections.extend(reversed(unsettled))
        return found

    def remove(self, connection: ReusableConnection) -> None:
        connections = self._by_backend.get(connection.backend)
        if connections and connection in connections:
            connections.remove(connection)
            self.count -= 1
            if not connections:
                del self._by_backend[connection.backend]

    def close_expired(self, now: int) -> None:
        """Ends those that stood idle too long; the oldest come first."""
        for connections in list(self._by_backend.values()):
            for connection in [c for c in connections if now - c.last_used >= c.max_idle_us]:
                connections.remove(connection)
                self.count -= 1
                connection.end()

    def close_backend(self, backend: int) -> None:
        connections = self._by_backend.pop(backend, None)
        while connections:
            self._end(connections)

    def close_oldest(self) -> bool:
        """Makes room for another connection."""
        oldest = min((c for c in self._by_backend.values() if c), key=lambda c: c[0].last_used, default=None)
        if oldest is None:
            return False
        self._end(oldest)
        return True

    def _end(self, connections: deque[ReusableConnection]) -> None:
        self.count -= 1
        connections.popleft().end()


class Client(Protocol):
    """A client's connection."""

    @property
    def opened(self) -> int: ...

    def close_if_idle(self) -> bool:
        """Closes the connection unless a request has come that was not read yet."""

    def end(self) -> None: ...


class ClientConnections:
    """Clients' connections. Apart, the longest first: those that have their last answer and only have not
    ended, those that never sent anything, and those between requests. In this order they make room, but one
    that has just come is given a moment: its client may not even know yet that it is connected."""

    def __init__(self, grace: int, idle: int) -> None:
        self._grace, self._most_idle = grace, idle
        self.all: set[Client] = set()
        self.lingering: dict[Client, None] = {}
        self.silent: dict[Client, None] = {}
        self.idle: dict[Client, None] = {}

    def add(self, connection: Client) -> None:
        self.all.add(connection)

    def remove(self, connection: Client) -> None:
        self.all.discard(connection)
        self.lingering.pop(connection, None)
        self.mark_busy(connection)

    def mark_idle(self, connection: Client, silent: bool) -> None:
        """Of those between requests only so many stay: clients that ask once and keep their connection would
        leave no place for the next, here or in what is in front of this gateway."""
        (self.silent if silent else self.idle)[connection] = None
        if len(self.idle) > self._most_idle:
            self._end_one(list(islice(self.idle, 8)))

    def mark_busy(self, connection: Client) -> None:
        self.silent.pop(connection, None)
        self.idle.pop(connection, None)

    def mark_lingering(self, connection: Client) -> None:
        self.lingering[connection] = None

    def can_evict(self) -> bool:
        return bool(self.lingering or self.silent or self.idle)

    def evict_one(self, now: int) -> bool:
        for connection in islice(self.lingering, 1):
            connection.end()
            return True
        oldest = list(islice(self.silent, 8))
        slow = [c for c in oldest if now - c.opened >= self._grace]
        return self._end_one([*slow, *islice(self.idle, 8), *oldest])

    def _end_one(self, connections: list[Client]) -> bool:
        return any(connection.close_if_idle() for connection in connections)

    def close_idle(self) -> None:
        for connection in [*self.silent, *self.idle]:
            connection.close_if_idle()
