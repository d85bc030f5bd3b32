"""A small deployment on loopback for the cases of the second review: the project's processes by the `run` lines of the
deploy file, and stand-ins for backends, clients, the operator and applications that follow PROTOCOL.md.

Every process is a child of the script and is ended by it. Addresses are loopback addresses, ports are free ones, and
all files but `record.txt` are in a temporary folder.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ("half-way-tree", "new-kingston", "portmore")
FINAL = (400, 409, 412, 413, 422)


class CannotRun(Exception):
    """The case could not be brought about; the script exits with 2."""


class Record:
    """What was sent, answered and run, with seconds since the start; written to a file, line by line."""

    def __init__(self, path: Path) -> None:
        self._file = open(path, "w")
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def __call__(self, *words: object) -> float:
        at = self.now()
        print(f"{at:9.4f}", *words, file=self._file, flush=True)
        return at


def free_ports(count: int) -> int:
    """The first of consecutive ports that are free on all loopback addresses."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            first = probe.getsockname()[1]
        if first + count > 65_000:
            continue
        try:
            for port in range(first, first + count):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        return first


class Deployment:
    """Core and edge machines, one loopback address each, with the settings of the small deployment."""

    def __init__(self, record: Record, core: int = 3, edge: int = 2) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="oakvale-review-"))
        self.net = f"127.{64 + secrets.randbelow(128)}.{1 + secrets.randbelow(250)}"
        self.port = free_ports(16)
        self.core = [f"core-{n}" for n in range(core)]
        self.edge = [f"edge-{n}" for n in range(edge)]
        self.ip = {name: f"{self.net}.{1 + n}" for n, name in enumerate(self.core)}
        self.ip |= {name: f"{self.net}.{101 + n}" for n, name in enumerate(self.edge)}
        self.ctl = [f"{self.ip[name]}:{self.port}" for name in self.core]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._run = {role["on"]: shlex.split(role["run"]) for role in roles.values()}
        for name in [*self.core, *self.edge]:
            self.write_settings(name, bootstrap=True)

    def http(self, name: str) -> tuple[str, int]:
        """The address of an edge machine for clients."""
        return self.ip[name], self.port + 1

    def write_settings(self, name: str, bootstrap: bool) -> None:
        """As DEPLOY.md shows them, with the bounds of the small deployment."""
        is_core, ip, number = name in self.core, self.ip[name], int(name.partition("-")[2])
        bind = {"ctl": f"{ip}:{self.port}"} if is_core else {"http": f"{ip}:{self.port + 1}"}
        if not is_core:
            bind["readyz"] = f"{ip}:{self.port + 2}"
        lines = ["[self]", f'node = "{name}"', f'role = "{"headworks" if is_core else "sluice"}"']
        lines += [f'mclass = "{"core" if is_core else "edge"}"', f'serves = ["{"ctl" if is_core else "edge"}"]']
        lines += [f'ip = "{ip}"', f'az = "{ZONES[number % 3]}"', 'rgn = "kingston"']
        lines += [f"voting = {str(is_core).lower()}", f"bootstrap = {str(bootstrap).lower()}"]
        lines += [f'datadir = "{self.folder / name}"'] if is_core else []
        lines += ["[self.limits]", f"cpu = {1.29 if is_core else 0.86}", "ncpu = 1"]
        lines += [f"mem-mb = {296 if is_core else 300}", "nofile = 4096", "net-mbps = 1000.0"]
        lines += [f"disk-mb = {256 if is_core else 0}", "[network]"]
        lines += [f"port-range = [{self.port + 4},{self.port + 15}]"]
        lines += [f"seeds = [{','.join(chr(34) + address + chr(34) for address in self.ctl[:3])}]", "[network.bind]"]
        lines += [f'{key} = "{address}"' for key, address in bind.items()]
        lines += ["[network.azs]", *(f'{zone} = "kingston"' for zone in ZONES)]
        lines += ["[infra]", 'discovery = "self_reg"', 'ingress = "vip"', 'beat = "1500ms"', 'cfg-mode = "highest"']
        lines += ["[terms]", 'clauses = ["base","drain","config","cost","retry","recover","tenants","quota"]']
        lines += ["[terms.tolerance]", "nodes = 1", "azs = 0", "rgns = 0", "[terms.bounds]"]
        times = {"seed-lag": "3s", "reuse": "2s", "contact": "3000ms", "ack": "5000ms", "sync_time": "4s"}
        times |= {"drain": "2500ms", "grace": "6s", "loss-slack": "200ms", "apply": "2500ms", "revert": "250ms"}
        times |= {"skew": "8000ms", "revoke": "5000ms", "retry-win": "10s", "quota-win": "5s", "recover": "15s"}
        times |= {"retain": "20s", "release": "1500ms"}
        lines += [f'{key} = "{value}"' for key, value in times.items()]
        lines += ["strict-revoke = false", "retry-ratio = 0.2", "retry-slack = 62", "quota-excess = 0.1"]
        lines += ["quota-slack = 20"]
        (self.folder / f"{name}.toml").write_text("\n".join(lines) + "\n")

    def start(self, name: str) -> None:
        """Starts the process of a machine by the `run` line of its role, at the root, with the libraries of `build`."""
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment |= {"OAKVALE_SETTINGS": str(self.folder / f"{name}.toml")}
        environment |= {"PYTHONPATH": str(ROOT / "target/deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                self._run["core" if name in self.core else "edge"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record(name, "process started")

    def start_all(self) -> None:
        for name in [*self.core, *self.edge]:
            self.start(name)

    def signal(self, name: str, number: signal.Signals) -> float:
        """Sends a signal to the process of a machine."""
        self.processes[name].send_signal(number)
        return self.record(name, number.name)

    def lose_disk(self, name: str) -> None:
        """The machine's disk is empty from now on; `bootstrap` is false. Its process must have ended."""
        shutil.rmtree(self.folder / name, ignore_errors=True)
        self.write_settings(name, bootstrap=False)
        self.record(name, "its disk is lost")

    def log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def close(self) -> None:
        """Ends all processes that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


# ---- HTTP/1.1, as far as the stand-ins need it


@dataclass
class Message:
    """A request or an answer."""

    first: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        return int(self.first.split(" ", 2)[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """The head of a message; None if the connection ended before it."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *rest = text[:-4].split("\r\n")
    pairs = (line.partition(":") for line in rest)
    return Message(first, {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_message(reader: asyncio.StreamReader, head_only: bool = False) -> Message | None:
    """A whole message with a length; interim answers are passed over. None if the connection ended before its end."""
    while True:
        message = await read_head(reader)
        if message is None:
            return None
        if not (message.first.startswith("HTTP/") and 100 <= message.status < 200):
            break
    try:
        if not head_only:
            message.body = await reader.readexactly(int(message.headers.get("content-length") or 0))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return message


async def exchange(
    address: tuple[str, int], request: bytes, timeout: float, source: tuple[str, int] | None = None
) -> Message | None:
    """One request on a new connection; None if there is no whole answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address, local_addr=source)
            writer.write(request)
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


def render(method: str, target: str, host: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """The bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", *(f"{name}: {value}" for name, value in headers.items())]
    lines += [f"Content-Length: {len(body)}"] if body or method != "GET" else []
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


# ---- callers of `ctl`


async def ctl_once(
    address: str, method: str, target: str, body: object = None, timeout: float = 1.0
) -> tuple[Message | None, str]:
    """One call at a core machine, which follows 307 twice; the answer, and the address that gave it."""
    data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    answer = None
    for _ in range(3):
        host, _, port = address.rpartition(":")
        request = render(method, target, address, {"Content-Type": "application/json"}, data)
        answer = await exchange((host, int(port)), request, timeout)
        if answer is None or answer.status != 307:
            return answer, address
        there = urlsplit(answer.headers["location"])
        address, target = there.netloc, there.path + (f"?{there.query}" if there.query else "")
    return answer, address


async def ctl_call(
    deployment: Deployment, method: str, target: str, body: object = None, within: float = 20.0, timeout: float = 1.0
) -> Message:
    """Calls one core machine after another until there is a clear answer."""
    pause, end, number = 0.05, time.monotonic() + within, 0
    while time.monotonic() < end:
        address = deployment.ctl[number % len(deployment.ctl)]
        answer, _ = await ctl_once(address, method, target, body, timeout)
        if answer is not None and (answer.status < 300 or answer.status == 404 or answer.status in FINAL):
            return answer
        number, pause = number + 1, min(0.5, pause * 1.5)
        await asyncio.sleep(pause)
    raise CannotRun(f"{method} {target}: no clear answer in {within:g} s")


# ---- backends


@dataclass
class Run:
    """A request that a backend has begun to work on."""

    id: str
    began: float
    ended: float = 0.0
    how: str = "at work"  # served, cut off


Work = Callable[[Message], float]


@dataclass(eq=False)
class Backend:
    """A backend that works on `slots` requests at once, queues `queue` more, and turns others away with `Not-Run`."""

    deployment: Deployment
    service: str
    work: Work  # seconds that it works on a request
    number: int
    slots: int = 2
    queue: int = 8
    runs: list[Run] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.id = f"i-{secrets.token_hex(4)}"
        self.record = self.deployment.record
        self.ip = f"{self.deployment.net}.{201 + self.number}"
        self.state = "ready"
        self._calls = self._busy = 0
        self._waiting: list[asyncio.Future[None]] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._tasks.append(asyncio.create_task(self._beat()))

    def stop(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def report(self) -> dict[str, object]:
        self._calls += 1
        return {
            "svc": self.service,
            "addr": f"{self.ip}:{self.port}",
            "az": ZONES[self.number % 3],
            "gen": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_time": "0ms",
            "calls": self._calls,
        }

    async def _beat(self) -> None:
        number = self.number
        while True:
            address = self.deployment.ctl[number % len(self.deployment.ctl)]
            answer, _ = await ctl_once(address, "POST", f"/oakvale/Backends.Heartbeat/{self.id}", self.report())
            if answer is None or answer.status != 200:
                number += 1
                await asyncio.sleep(0.1)
            else:
                await asyncio.sleep(1.5)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                if not await self._answer(request, reader, writer):
                    return
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """False if the caller closed the connection meanwhile: the request is dropped."""
        name = request.headers.get("attempt-id")
        if name is None or request.headers.get("backend", self.id) != self.id:
            return await self._send(writer, 400 if name is None else 421, {"Not-Run": "1"}, b"")
        if self._busy >= self.slots:
            if len(self._waiting) >= self.queue:
                self.record(self.id, "turns away", name)
                return await self._send(writer, 503, {"Not-Run": "1", "Attempt-Id": name}, b"full\n")
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            if not await self._unless_closed(turn, reader):
                if turn in self._waiting:
                    self._waiting.remove(turn)
                else:
                    self._next()
                return False
        else:
            self._busy += 1
        run = Run(name, self.record(self.id, "begins", name))
        self.runs.append(run)
        try:
            if not await self._unless_closed(asyncio.ensure_future(asyncio.sleep(self.work(request))), reader):
                run.ended, run.how = self.record(self.id, "is cut off at", name), "cut off"
                return False
            run.ended, run.how = self.record(self.id, "has run", name), "served"
            body = f"{request.first} run by {self.id}\n".encode()
            return await self._send(writer, 200, {"Attempt-Id": name, "Seal": f"{name}.{len(body)}"}, body)
        finally:
            self._next()

    def _next(self) -> None:
        if self._waiting:
            self._waiting.pop(0).set_result(None)
        else:
            self._busy -= 1

    async def _unless_closed(self, done: asyncio.Future[None], reader: asyncio.StreamReader) -> bool:
        """Waits for `done`; False if the caller closes its connection first."""
        closed = asyncio.create_task(reader.read(1))
        await asyncio.wait([done, closed], return_when=asyncio.FIRST_COMPLETED)
        over = not done.done()
        for task in (done, closed):
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await closed
        return not over

    async def _send(self, writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes) -> bool:
        lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'no'}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "Keep-Alive: timeout=10"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        return True


# ---- the operator's configuration


def configuration(gen: int, routes: list[list[object]], services: list[str]) -> dict[str, object]:
    """A configuration with these routes, given as in `columns`."""
    columns = ["name", "vhost", "prefix", "type", "deadline", "target_time", "prio", "split", "tries", "public", "svc"]
    service_columns = ["name", "hcheck", "max-conns", "proto", "tls"]
    return {
        "gen": gen,
        "limits": {"hdr-bytes": 16384, "body-bytes": 67108864, "hdr": "3000ms", "idle": "15000ms"},
        "routes": {"cols": columns, "rows": routes},
        "svcs": {"cols": service_columns, "rows": [[name, "/healthz", 130, "h1", False] for name in services]},
    }


async def until(condition: Callable[[], Awaitable[bool]], what: str, within: float) -> None:
    """Waits for a condition; raises CannotRun after that time."""
    end = time.monotonic() + within
    while not await condition():
        if time.monotonic() > end:
            raise CannotRun(f"{what}: not within {within:g} s")
        await asyncio.sleep(0.05)


async def edges_ready(deployment: Deployment) -> bool:
    """Whether all edge machines say that they are ready."""
    for name in deployment.edge:
        request = render("GET", "/oakvale/readyz", "readyz", {})
        answer = await exchange((deployment.ip[name], deployment.port + 2), request, 1.0)
        if answer is None or answer.status != 200:
            return False
    return True


def main(record_path: Path, play: Callable[[Record], Awaitable[int]]) -> None:
    """Plays a case and exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Record(record_path)
    record("trouble" if TROUBLE else "no trouble")

    async def limited() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.set_exception_handler(
            lambda _, context: record("stand-in:", context.get("message"), repr(context.get("exception")))
        )
        for number in (signal.SIGTERM, signal.SIGINT):  # so that the processes are ended all the same
            loop.add_signal_handler(number, lambda: task.cancel() if task is not None else None)
        async with asyncio.timeout(115):
            return await play(record)

    try:
        code = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:  # whatever it is, it shows no broken rule
        record("could not run:", repr(error))
        code = NOT_RUN
    words = {HELD: "the rule held", BROKEN: "THE RULE IS BROKEN", NOT_RUN: "the case could not run"}[code]
    record(words)
    print(words)
    sys.exit(code)
