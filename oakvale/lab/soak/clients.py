"""Clients of a soak: each uses its connection to a gateway until it is told to close it or the process is gone."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random

from oakvale.lab.soak.connections import now_us
from oakvale.lab.soak.http_streams import read_head

HOST = "desk.example"
RECONNECT_DELAY_S = 0.05
PATIENCE_S = 1.0  # beyond the deadline
MAX_PAUSE_S = 0.6  # between two requests of a client


@dataclass(slots=True, frozen=True)
class Route:
    """A route that clients use, and how long its requests take."""

    name: str
    safe: bool
    deadline_ms: int
    target_ms: int
    tries: int
    min_work_ms: int
    max_work_ms: int
    share: float  # of the clients' requests


@dataclass(slots=True)
class Exchange:
    """One request and what came of it. Times are microseconds of the callers' clock."""

    id: str
    gateway: str
    route: Route
    sent_at: int
    ended_at: int = 0
    status: int = 0  # 0: the connection ended without a whole answer
    sealed: bool = False
    body: bytes = b""

    @property
    def deadline(self) -> int:
        """When the client stops waiting."""
        return self.sent_at + self.route.deadline_ms * 1_000


class Client:
    """Sends one request after another to one gateway."""

    def __init__(self, gateway: str, address: str, name: str, rng: Random, routes: list[Route]) -> None:
        self._gateway, self._address, self._name, self._rng, self._routes = gateway, address, name, rng, routes
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.exchanges: list[Exchange] = []

    async def run(self, until: int) -> None:
        """Sends requests until then."""
        try:
            while now_us() < until:
                if self._streams is None and not await self._connect():
                    await asyncio.sleep(RECONNECT_DELAY_S)
                    continue
                await self._ask()
                await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE_S))
        finally:
            self._close()

    async def _connect(self) -> bool:
        host, _, port = self._address.rpartition(":")
        try:
            self._streams = await asyncio.wait_for(asyncio.open_connection(host, int(port)), PATIENCE_S)
        except (OSError, TimeoutError):
            return False
        return True

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None

    async def _ask(self) -> None:
        [route] = self._rng.choices(self._routes, [route.share for route in self._routes])
        work = self._rng.randint(route.min_work_ms, route.max_work_ms)
        exchange = Exchange(f"{self._name}-{len(self.exchanges)}", self._gateway, route, now_us())
        self.exchanges.append(exchange)
        try:
            await asyncio.wait_for(self._exchange(exchange, work), route.deadline_ms / 1_000 + PATIENCE_S)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self._close()
        exchange.ended_at = now_us()

    async def _exchange(self, exchange: Exchange, work: int) -> None:
        assert self._streams is not None
        reader, writer = self._streams
        route = exchange.route
        body = b"" if route.safe else b"x" * 40
        head = f"{'GET' if route.safe else 'POST'} /{route.name}/{work} HTTP/1.1\r\nHost: {HOST}\r\n"
        head += f"Attempt-Id: {exchange.id}\r\nTime-Left: {route.deadline_ms}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n" if body else "\r\n"
        writer.write(head.encode() + body)
        answer = await read_head(reader)
        if answer is None:
            return self._close()
        exchange.body = await reader.readexactly(answer.content_length)
        exchange.status, exchange.sealed = answer.status, "seal" in answer.fields
        if answer.fields.get("connection", "").lower() == "close":
            self._close()
