"""A load run: requests leave when they are due, each in a task of its own, over a bounded number of connections.

A request that finds no connection free waits, and its latency runs meanwhile. The run ends at its time or count, and
every request has a time limit from its due moment, so the end is bounded too.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from oakvale.lab.loadgen import arrivals
from oakvale.lab.loadgen.lines import FAULTS, Cut, Line
from oakvale.lab.loadgen.tally import Tally
from oakvale.lab.loadgen.target import Target

MOST = 10_000_000  # requests of a run
STEP = 0.05  # seconds between looks at the progress


@dataclass(slots=True, frozen=True)
class Run:
    target: Target
    rate: float
    seconds: float
    count: int = MOST
    kind: str = "constant"
    seed: int = 0
    connections: int = 256  # at most, at once
    keep: bool = True  # connections serve more than one request
    limit: float = 10.0  # seconds for a request, from when it was due
    method: str = "GET"
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    id_header: str = ""  # gets an id of its own in each request


def drive(run: Run, progress: Callable[[Tally], None] = lambda tally: None) -> Tally:
    """Plays the run; SIGINT or SIGTERM ends it early with what there is, marked as partial."""
    return asyncio.run(_Drive(run, progress).play())


class _Drive:
    def __init__(self, run: Run, progress: Callable[[Tally], None]) -> None:
        self._run, self._progress, self.tally = run, progress, Tally()
        self._idle: list[Line] = []
        self._room = asyncio.Semaphore(run.connections)
        self._stop = asyncio.Event()
        self._began = 0

    def _now(self) -> int:
        """Microseconds since the start."""
        return time.monotonic_ns() // 1000 - self._began

    async def play(self) -> Tally:
        loop = asyncio.get_running_loop()
        signals = (signal.SIGINT, signal.SIGTERM)
        for number in signals:
            loop.add_signal_handler(number, self._stop.set)
        self._began = time.monotonic_ns() // 1000
        tasks: set[asyncio.Task[None]] = set()
        shown = asyncio.create_task(self._show())
        try:
            for due in arrivals.moments(
                self._run.kind, self._run.rate, self._run.seconds, self._run.count, self._run.seed
            ):
                if not await self._until(due):
                    break
                self.tally.due += 1
                task = asyncio.create_task(self._one(due))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            if not self._stop.is_set():
                stop = asyncio.create_task(self._stop.wait())
                while tasks and not stop.done():
                    await asyncio.wait({*tasks, stop}, return_when=asyncio.FIRST_COMPLETED)
                stop.cancel()
        finally:
            self.tally.partial = self._stop.is_set()
            for number in signals:
                loop.remove_signal_handler(number)
            for task in (*tasks, shown):
                task.cancel()
            await asyncio.gather(*tasks, shown, return_exceptions=True)
            for line in self._idle:
                line.close()
            self.tally.elapsed = self._now()
            self._progress(self.tally)
        return self.tally

    async def _show(self) -> None:
        while True:
            await asyncio.sleep(STEP)
            self.tally.elapsed = self._now()
            self._progress(self.tally)

    async def _until(self, due: int) -> bool:
        """Waits for the moment; false where the run is stopped. Requests that are due together leave in one turn, but
        every so often the answers get theirs."""
        if (rest := due - self._now()) > 0:
            try:
                await asyncio.wait_for(self._stop.wait(), rest / 1e6)
            except TimeoutError:
                pass
        elif not self.tally.due % 16:
            await asyncio.sleep(0)
        return not self._stop.is_set()

    async def _one(self, due: int) -> None:
        line: Line | None = None
        run, tally = self._run, self.tally
        limit = due / 1e6 + run.limit - self._now() / 1e6
        try:
            async with asyncio.timeout(max(0.0, limit)):
                waits = self._room.locked()
                async with self._room:
                    begun = self._now()
                    if not waits:
                        tally.sent(begun - due)
                    line = await self._line()
                    headers = [("Host", run.target.host), *run.headers]
                    if run.id_header:
                        headers.append((run.id_header, uuid.uuid4().hex))
                    if run.body:
                        headers.append(("Content-Length", str(len(run.body))))
                    if not run.keep:
                        headers.append(("Connection", "close"))
                    status, size = await line.ask(run.method, run.target.path, headers, run.body)
                    now = self._now()
                    tally.answered(status, now - due, now - begun, size)
                    if run.keep and line.usable:
                        self._idle.append(line)
                        line = None
        except TimeoutError:
            tally.failed("time limit", int(run.limit * 1e6))
        except Cut as error:
            tally.failed(str(error))
        except FAULTS as error:
            tally.failed(os.strerror(number) if (number := getattr(error, "errno", None)) else type(error).__name__)
        finally:
            if line is not None:
                line.close()

    async def _line(self) -> Line:
        while self._idle:
            if (line := self._idle.pop()).usable:
                return line
        self.tally.connections += 1
        _, made = await asyncio.get_running_loop().create_connection(Line, self._run.target.ip, self._run.target.port)
        return made
