"""One soak of gateways from its seed: real processes take requests of clients to backends while series of signals to
the gateways, troubles of the backends and changes of the configuration overlap. At the end all is calm for a time.
"""

from __future__ import annotations

import asyncio
import json
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from oakvale.lab.applications.wire import HttpRequest
from oakvale.lab.soak.backends import Backend, RunEnd
from oakvale.lab.soak.clients import HOST, Client, Route
from oakvale.lab.soak.connections import Connections, now_us
from oakvale.lab.soak.core_caller import CoreCaller
from oakvale.lab.soak.machines import GATEWAY_CLAUSES, Machine, Machines
from oakvale.lab.soak.operator import REPLACE
from oakvale.lab.soak.traffic_judge import CONTACT_US, ConfigChange, Seen, Span, judge

SECOND = 1_000_000
CORE_COUNT = 3
READ = Route("read", True, 12_000, 2_000, 3, 200, 1_500, 0.4)
LONG_READ = Route("long", True, 12_000, 2_000, 2, 2_500, 4_100, 0.06)
BOOK = Route("book", False, 12_000, 1_000, 2, 100, 1_200, 0.2)
MOVED = Route("moved", True, 4_000, 1_000, 2, 20, 60, 0.2)
QUICK = Route("quick", True, 1_000, 500, 2, 20, 60, 0.2)  # added by a configuration
MAIN, OTHER = "main", "other"  # services
START_TIMEOUT_S, CALL_PATIENCE_S = 30.0, 10.0
WARM_UP_S = 3.0
CALM_S = 6.0  # judged, after the last trouble and `contact`
MAX_SERIES = 3
ONE_REQUEST_US = 10_000  # in which a client begins one request
MAX_STOP_S = 8.0


@dataclass(slots=True, frozen=True)
class TrafficOptions:
    """The size of a soak."""

    seconds: float  # for which troubles begin
    gateways: int = 2
    backends: int = 4  # of each service
    clients: int = 5  # of each gateway
    output: Path | None = None  # gets a directory for each seed, with logs, requests and runs


@dataclass(slots=True)
class TrafficReport:
    """What a soak found and counted."""

    seed: int
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def lines(self) -> list[str]:
        """The report as text."""
        counts = ", ".join(f"{name} {count}" for name, count in sorted(self.counts.items()))
        return [f"seed {self.seed}: {len(self.violations)} findings; {counts}", *(f"  {x}" for x in self.violations)]


def play(seed: int, options: TrafficOptions) -> TrafficReport:
    """Plays one soak. Raises OSError if there are no loopback addresses, TimeoutError if nothing is served at first."""

    async def play_soak() -> TrafficReport:
        return await _TrafficSoak(seed, options).play()

    return asyncio.run(play_soak())


def configuration(version: int, moved_to: str) -> dict[str, Any]:
    """A configuration with all routes; the first version lacks the quick one."""
    columns = ["name", "vhost", "prefix", "type", "deadline", "target_time", "prio", "tries", "public", "svc"]
    rows = [
        [route.name, HOST, f"/{route.name}/", "safe" if route.safe else "unsafe", f"{route.deadline_ms}ms"]
        + [f"{route.target_ms}ms", 1, route.tries, True, moved_to if route is MOVED else MAIN]
        for route in (READ, LONG_READ, BOOK, MOVED, QUICK)
        if version > 1 or route is not QUICK
    ]
    services = [[name, "/healthz", 100, "h1", False] for name in (MAIN, OTHER)]
    return {
        "gen": version,
        "limits": {"hdr-bytes": 16_384, "body-bytes": 1_048_576, "hdr": "3000ms", "idle": "15000ms"},
        "svcs": {"cols": ["name", "hcheck", "max-conns", "proto", "tls"], "rows": services},
        "routes": {"cols": columns, "rows": rows},
        "tenants": {"cols": ["name", "apikeys", "prio", "rate-per-s", "burst"], "rows": []},
    }


class _TrafficSoak:
    def __init__(self, seed: int, options: TrafficOptions) -> None:
        self._options, self._report = options, TrafficReport(seed)
        self._rng = Random(f"traffic {seed}")
        self._machines = Machines(CORE_COUNT, options.gateways, GATEWAY_CLAUSES)
        self._connections = Connections(lambda: [machine.ctl for machine in self._machines.core])
        self._caller = CoreCaller(self._connections, Random(f"caller {seed}"))
        self._seen = Seen(moved_route=MOVED.name, added_route=QUICK.name)
        self._backends: list[Backend] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._backend_count = self._version = 0
        self._end = 0
        self._series: list[Callable[[Machine], Awaitable[None]]] = [
            self._terminate,
            self._terminate,
            self._terminate_in_series,
            self._reload_and_terminate,
            self._freeze_stopping,
            self._kill,
            self._kill_stopping,
            self._freeze,
        ]

    async def play(self) -> TrafficReport:
        """Plays the soak; its processes are gone at the end."""
        try:
            self._machines.start_all()
            for service in (MAIN, OTHER):
                for _ in range(self._options.backends):
                    await self._start_backend(service)
            await self._change_configuration(START_TIMEOUT_S)
            await self._wait_for_gateways()
            await self._play_troubles()
            self._report.violations += [*judge(self._seen), *self._machines.failures()]
            self._count()
            return self._report
        finally:
            if self._options.output is not None:
                self._keep(self._options.output / f"seed-{self._report.seed}")
            for task in self._tasks:
                task.cancel()
            for backend in self._backends:
                backend.crash()
            self._connections.close()
            self._machines.close()

    async def _wait_for_gateways(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            for machine in self._machines.gateways:
                while True:
                    client = Client(machine.name, machine.http, "first", Random(0), [MOVED])
                    await client.run(now_us() + ONE_REQUEST_US)
                    if any(exchange.sealed for exchange in client.exchanges):
                        break
                    await asyncio.sleep(0.1)

    async def _play_troubles(self) -> None:
        begin = now_us()
        self._end = begin + int((WARM_UP_S + self._options.seconds) * SECOND)
        calm_begin = self._end + int(MAX_STOP_S * SECOND) + CONTACT_US
        self._seen.calm = Span(calm_begin, calm_begin + int(CALM_S * SECOND))
        clients = self._start_clients(self._seen.calm.end)
        await asyncio.sleep(WARM_UP_S)
        troubles = [self._trouble_gateway(machine) for machine in self._machines.gateways]
        troubles += [self._trouble_backends(), self._change_repeatedly()]
        for task in [asyncio.ensure_future(trouble) for trouble in troubles]:
            self._tasks.append(task)
        await asyncio.gather(*self._tasks)
        for backend in self._backends:
            backend.hung = False
        for client, task in clients:
            await task
            self._seen.exchanges += client.exchanges

    def _start_clients(self, until: int) -> list[tuple[Client, asyncio.Task[None]]]:
        started = []
        for machine in self._machines.gateways:
            for number in range(self._options.clients):
                name = f"{machine.name}-{number}"
                routes = [READ, LONG_READ, BOOK, MOVED, QUICK]
                client = Client(machine.name, machine.http, name, Random(f"{name} {self._report.seed}"), routes)
                started.append((client, asyncio.ensure_future(client.run(until))))
        return started

    def _count(self) -> None:
        seen, counts = self._seen, self._report.counts
        counts["requests"] = len(seen.exchanges)
        counts["served"] = sum(exchange.sealed for exchange in seen.exchanges)
        counts["stops"] = sum(map(len, seen.stops.values()))
        counts["other troubles"] = sum(map(len, seen.troubles.values()))
        counts["configurations"] = sum(bool(change.acknowledged_at) for change in seen.changes)
        counts["cut-off runs"] = sum(run.end is RunEnd.CUT_OFF for run in seen.runs)
        for exchange in seen.exchanges:
            if seen.calm.begin <= exchange.sent_at and exchange.ended_at <= seen.calm.end:
                counts["calm requests"] += 1
                counts["calm served"] += exchange.sealed

    def _keep(self, directory: Path) -> None:
        """Writes what is needed to trace a finding."""
        directory.mkdir(parents=True, exist_ok=True)
        self._machines.copy_logs(directory)
        seen = self._seen
        lines = [*seen.exchanges, *seen.runs, *seen.changes, seen.stops, seen.troubles, *self._report.violations]
        (directory / "seen.txt").write_text("".join(f"{line}\n" for line in lines))

    # ---- the configuration

    async def _change_configuration(self, patience_s: float) -> None:
        self._version += 1
        service = (MAIN, OTHER)[self._version % 2]
        body = json.dumps(configuration(self._version, service)).encode()
        sent_at = now_us()
        answer = await self._caller.call(HttpRequest(b"POST", REPLACE, "", "", body), patience_s)
        acknowledged_at = now_us() if answer is not None and answer.status == 200 else 0
        self._seen.changes.append(ConfigChange(self._version, service, sent_at, acknowledged_at))

    async def _change_repeatedly(self) -> None:
        while now_us() < self._end:
            await self._change_configuration(CALL_PATIENCE_S)
            await asyncio.sleep(self._rng.choice((0.2, 1.0, 4.0)))

    # ---- backends

    async def _start_backend(self, service: str) -> None:
        self._backend_count += 1
        ip = self._machines.backend_ip(self._backend_count % 50)
        backend = Backend(service, ip, self._rng.choice((2, 4)), 4, self._caller, self._seen.runs)
        await backend.start()
        self._backends.append(backend)

    async def _trouble_backends(self) -> None:
        while now_us() < self._end:
            await asyncio.sleep(self._rng.uniform(0.5, 3))
            backend = self._rng.choice(self._backends)
            trouble = self._rng.choice((self._hang, self._crash, self._leave))
            await trouble(backend)

    async def _hang(self, backend: Backend) -> None:
        backend.hung = True
        await asyncio.sleep(self._rng.uniform(0.5, 4))
        backend.hung = False

    async def _crash(self, backend: Backend) -> None:
        backend.crash()
        self._backends.remove(backend)
        await asyncio.sleep(self._rng.uniform(0, 1))
        await self._start_backend(backend.service)

    async def _leave(self, backend: Backend) -> None:
        await self._start_backend(backend.service)
        await backend.leave()
        self._backends.remove(backend)

    # ---- gateways

    async def _trouble_gateway(self, machine: Machine) -> None:
        while now_us() < self._end:
            await asyncio.sleep(self._rng.uniform(0.2, 4))
            await self._rng.choice(self._series)(machine)

    def _request_stop(self, machine: Machine) -> None:
        if machine.stop_requested_at is None:
            self._seen.stops[machine.name].append(now_us())
        machine.stop_requested_at = now_us()
        machine.signal(signal.SIGTERM)

    async def _stop_and_start(self, machine: Machine) -> None:
        await self._machines.finish_stopping(machine)
        await asyncio.sleep(self._rng.choice((0.0, 0.3, 1.0)))
        self._machines.start(machine)

    async def _terminate(self, machine: Machine) -> None:
        self._request_stop(machine)
        await self._stop_and_start(machine)

    async def _terminate_in_series(self, machine: Machine) -> None:
        for _ in range(MAX_SERIES):
            self._request_stop(machine)
            await asyncio.sleep(self._rng.uniform(0, 0.5))
        await self._stop_and_start(machine)

    async def _reload_and_terminate(self, machine: Machine) -> None:
        for _ in range(MAX_SERIES):
            machine.signal(signal.SIGHUP)
            await asyncio.sleep(self._rng.uniform(0, 0.3))
        await self._terminate(machine)

    async def _freeze_stopping(self, machine: Machine) -> None:
        self._request_stop(machine)
        await asyncio.sleep(self._rng.uniform(0, 1))
        await self._freeze(machine)
        await self._stop_and_start(machine)

    async def _kill_stopping(self, machine: Machine) -> None:
        self._request_stop(machine)
        await asyncio.sleep(self._rng.uniform(0, 1))
        await self._kill(machine)

    async def _kill(self, machine: Machine) -> None:
        begin = now_us()
        self._machines.kill(machine)
        await asyncio.sleep(self._rng.choice((0.0, 0.3, 1.0)))
        self._machines.start(machine)
        self._seen.troubles[machine.name].append(Span(begin, now_us()))

    async def _freeze(self, machine: Machine) -> None:
        begin = now_us()
        machine.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 2))
        machine.signal(signal.SIGCONT)
        self._seen.troubles[machine.name].append(Span(begin, now_us()))
