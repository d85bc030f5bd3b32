"""Calls of the core machines, repeated until there is a clear answer, as the operator and backends make them."""

from __future__ import annotations

import asyncio
from random import Random

from oakvale.lab.applications.wire import HttpAnswer, HttpRequest
from oakvale.lab.soak.connections import Connections

CALL_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05


class CoreCaller:
    """Sends a call to one core machine after another."""

    def __init__(self, connections: Connections, rng: Random) -> None:
        self._connections, self._rng = connections, rng

    async def call(self, request: HttpRequest, patience_s: float) -> HttpAnswer | None:
        """Repeats a call until a final answer; None if there is none in time."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + patience_s
        address = ""
        while loop.time() < deadline:
            answer = await self._send(address or self._rng.choice(self._connections.core_addresses()), request)
            address = answer.location if answer is not None and answer.status == 307 else ""
            if answer is not None and (answer.status == 200 or (400 <= answer.status < 500 and answer.status != 429)):
                return answer
            if not address:
                await asyncio.sleep(RETRY_DELAY_S)
        return None

    async def _send(self, address: str, request: HttpRequest) -> HttpAnswer | None:
        answered: asyncio.Future[HttpAnswer | None] = asyncio.get_running_loop().create_future()

        def on_answer(answer: HttpAnswer | None) -> None:
            if not answered.done():
                answered.set_result(answer)

        self._connections.send(address, request, on_answer)
        try:
            return await asyncio.wait_for(answered, CALL_TIMEOUT_S)
        except TimeoutError:
            return None
