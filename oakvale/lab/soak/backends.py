"""Backends of a soak, within the test's own process: they send heartbeats to the core machines, serve on loopback
addresses, and record what they run. How long a request takes stands in its path.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import secrets
from collections.abc import Awaitable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from oakvale.lab.applications.wire import HttpRequest
from oakvale.lab.soak.connections import now_us
from oakvale.lab.soak.core_caller import CoreCaller
from oakvale.lab.soak.http_streams import Head, read_head

BEAT_S = 1.5
BEAT_PATIENCE_S = 4.0
DRAIN_S = 3.0  # from the acknowledgement of a drain to the end


class RunEnd(StrEnum):
    """How a run at a backend ended."""

    AT_WORK = "at work"
    ANSWERED = "answered"
    CUT_OFF = "cut off"  # its gateway closed the connection
    BROKEN_OFF = "broken off"  # by the backend


@dataclass(slots=True)
class Run:
    """A request on which a backend has begun to work. Times are microseconds of the callers' clock."""

    request_id: str
    service: str
    backend: str
    began_at: int
    ended_at: int = 0
    end: RunEnd = RunEnd.AT_WORK


class Backend:
    """Works on `slots` requests at once, queues `queue` more, and turns others away with `Not-Run`."""

    def __init__(self, service: str, ip: str, slots: int, queue: int, caller: CoreCaller, runs: list[Run]) -> None:
        self.id = f"i-{secrets.token_hex(4)}"
        self.service, self.slots = service, slots
        self.hung = False  # it accepts requests and answers none
        self._ip, self._caller, self._runs = ip, caller, runs
        self._permits, self._places = asyncio.Semaphore(slots), slots + queue
        self._beats, self._state, self._breaks_off = 0, "ready", False
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Listens, and sends heartbeats from now on."""
        self._server = await asyncio.start_server(self._serve, self._ip, 0)
        self._address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        self._beat_task = self._spawn(self._send_beats())

    def crash(self) -> None:
        """Ends at once and breaks off what it works on."""
        self._breaks_off = True
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def leave(self) -> None:
        """Drains, leaves the list, and ends."""
        self._state = "drain"
        self._beat_task.cancel()
        await self._beat(BEAT_PATIENCE_S)
        await asyncio.sleep(DRAIN_S)
        request = HttpRequest(b"POST", "Backends.Leave", self.id, "", b"{}")
        await self._caller.call(request, BEAT_PATIENCE_S)
        self.crash()

    def _spawn(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _send_beats(self) -> None:
        while True:
            await self._beat(BEAT_PATIENCE_S)
            await asyncio.sleep(BEAT_S)

    async def _beat(self, patience_s: float) -> None:
        self._beats += 1
        fields = {
            "svc": self.service,
            "addr": self._address,
            "az": "a",
            "gen": "v1",
            "slots": self.slots,
            "state": self._state,
            "warmup_time": "0ms",
            "calls": self._beats,
        }
        request = HttpRequest(b"POST", "Backends.Heartbeat", self.id, "", json.dumps(fields).encode())
        await self._caller.call(request, patience_s)

    # ---- requests

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (head := await read_head(reader)) is not None:
                await reader.readexactly(head.content_length)
                if not await self._answer(head, reader, writer):
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            if not self._breaks_off:
                raise
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """False if the gateway closed the connection meanwhile."""
        name = head.fields.get("attempt-id", "")
        if head.fields.get("backend", self.id) != self.id:
            return await self._send(writer, 421, name, b"", "Not-Run: 1\r\n")
        if not self._places:
            return await self._send(writer, 503, name, b"", "Not-Run: 1\r\n")
        self._places -= 1
        try:
            return await self._run(head, name, reader, writer)
        finally:
            self._places += 1

    async def _run(self, head: Head, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        closed = asyncio.ensure_future(reader.read(1))
        run: Run | None = None
        try:
            if not await _unless(closed, self._permits.acquire()):
                return False
            try:
                run = Run(name, self.service, self.id, now_us())
                self._runs.append(run)
                if not await _unless(closed, self._work(head)):
                    return self._ended(run, RunEnd.CUT_OFF)
            finally:
                self._permits.release()
            body = f"{name} by {self.service}\n".encode()
            self._ended(run, RunEnd.ANSWERED)
        except asyncio.CancelledError:
            if run is not None:
                self._ended(run, RunEnd.BROKEN_OFF)
            raise
        finally:
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await closed
        return await self._send(writer, 200, name, body, f"Seal: {name}.{len(body)}\r\n")

    async def _work(self, head: Head) -> None:
        await asyncio.sleep(int(head.target.rsplit("/", 1)[-1]) / 1_000)
        while self.hung:
            await asyncio.sleep(BEAT_S)

    def _ended(self, run: Run, end: RunEnd) -> bool:
        run.end, run.ended_at = end, now_us()
        return end is RunEnd.ANSWERED

    async def _send(self, writer: asyncio.StreamWriter, status: int, name: str, body: bytes, more: str) -> bool:
        head = f"HTTP/1.1 {status} Status\r\nAttempt-Id: {name}\r\n{more}Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        return True


async def _unless(closed: asyncio.Future[bytes], work: Awaitable[Any]) -> bool:
    """Waits for `work`; False, and the work is cancelled, if the connection is closed first."""
    task = asyncio.ensure_future(work)
    try:
        await asyncio.wait([task, closed], return_when=asyncio.FIRST_COMPLETED)
        return task.done()
    finally:
        task.cancel()
