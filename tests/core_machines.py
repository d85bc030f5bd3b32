"""Core machines on loopback sockets: processes with real transports and state files, all on one event loop.

Their clock advances by a fixed step each turn of the loop in which no write to disk is under way, so that neither a
busy processor nor a slow disk costs them their leases.
"""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from oakvale.base.address import Address
from oakvale.base.limits import Limits
from oakvale.base.loop import Loop
from oakvale.config.settings import Settings, decode
from oakvale.controlplane.process import Process
from oakvale.lifecycle.acceptor import open_listener
from oakvale.storage.store import Storage
from tests.node import FakeClock

MACHINE_COUNT = 3
MILLISECOND, SECOND = 1_000, 1_000_000
TURN_US = 2 * MILLISECOND  # by which a turn of the loop advances the clock
MAX_WAIT_S = 0.001  # for events, in one turn
MAX_DISK_TURNS = 60_000  # that a write to disk may take; at least a minute


@dataclass(slots=True, frozen=True)
class Response:
    """What came back on a call."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def fields(self) -> dict[str, Any]:
        """The fields of the JSON body."""
        fields = json.loads(self.body)
        assert isinstance(fields, dict)
        return fields


def request(method: str, path: str, body: bytes | None = None) -> bytes:
    """An HTTP request as applications send it."""
    head = f"{method} {path} HTTP/1.1\r\nHost: ctl\r\n"
    if body is not None:
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + (body or b"")


@dataclass(slots=True)
class PendingCall:
    """A call under way on a connection of its own."""

    sock: socket.socket
    received: bytes = b""
    response: Response | None = None

    def read(self) -> Response | None:
        """Reads what has arrived; returns the response once it is whole."""
        try:
            while self.response is None and (data := self.sock.recv(65536)):
                self.received += data
                self.response = _parse(self.received)
        except BlockingIOError:
            pass
        return self.response


def _parse(received: bytes) -> Response | None:
    head, end, rest = received.partition(b"\r\n\r\n")
    if not end:
        return None
    status_line, *lines = head.decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    length = int(headers.get("content-length", "0"))
    return Response(int(status_line.split()[1]), headers, rest[:length]) if len(rest) >= length else None


@dataclass
class CoreMachines:
    """A freshly bootstrapped core. Only the `running` machines of the seeds are started."""

    directory: Path
    running: int = MACHINE_COUNT
    clock: FakeClock = field(default_factory=FakeClock)
    processes: list[Process] = field(default_factory=list)
    addresses: list[Address] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.loop = Loop(self.clock, Limits(timer_slack=0))
        network = f"127.{1 + (os.getpid() >> 8) % 200}.{os.getpid() % 256}"
        ips = [f"{network}.{number + 1}" for number in range(MACHINE_COUNT)]
        ctl_port, link_port = _free_port(ips[0]), _free_port(ips[0])
        self.addresses = [(ip, ctl_port) for ip in ips]
        for number, address in enumerate(self.addresses[: self.running]):
            self._start(self._settings(number, address[0], ctl_port, link_port))

    def _settings(self, number: int, ip: str, ctl_port: int, link_port: int) -> Settings:
        ctl = [f"{address[0]}:{ctl_port}" for address in self.addresses]
        name = f"core-{number}"
        node = {"node": name, "ip": ip, "az": f"z{number}", "voting": True, "bootstrap": True}
        network = {
            "port-range": [link_port, link_port],
            "seeds": ctl,
            "bind": {"ctl": ctl[number]},
            "azs": {f"z{zone}": "r" for zone in range(MACHINE_COUNT)},
        }
        bounds = {"retain": "20s", "release": "1500ms"}
        return decode(
            {
                "self": {**node, "serves": ["ctl"], "datadir": str(self.directory / name)},
                "network": network,
                "terms": {"clauses": ["coord"], "tolerance": {"nodes": 1}, "bounds": bounds},
            }
        )

    def _start(self, settings: Settings) -> None:
        listener = open_listener(settings.bind["ctl"], 64)
        datadir = settings.datadir
        assert datadir is not None
        self.processes.append(Process(settings, {"ctl": listener}, self.loop, lambda: Storage(self.loop, datadir)))

    def wait_until_serving(self) -> None:
        """Runs the loop until a machine serves and every other one knows it."""
        self._until(lambda: any(process.core.serving() for process in self.processes))
        self._until(lambda: all(process.core.primary() is not None for process in self.processes))

    def primary(self) -> int:
        """The index of the machine that serves."""
        return next(number for number, process in enumerate(self.processes) if process.core.serving())

    def begin(self, machine: int, method: str, path: str, body: bytes | None = None) -> PendingCall:
        """Sends a call on a new connection."""
        sock = socket.create_connection(self.addresses[machine], timeout=1)
        sock.sendall(request(method, path, body))
        sock.setblocking(False)
        return PendingCall(sock)

    def finish(self, call: PendingCall, seconds: float = 5.0) -> Response:
        """Runs the loop until the response to a call is here."""
        self._until(lambda: call.read() is not None, seconds)
        call.sock.close()
        assert call.response is not None
        return call.response

    def call(self, method: str, path: str, body: Any = None, machine: int | None = None) -> Response:
        """Sends a call with a JSON body, or with raw bytes, to the primary or another machine."""
        data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
        return self.finish(self.begin(self.primary() if machine is None else machine, method, path, data))

    def run_for(self, milliseconds: int) -> None:
        """Runs the loop for a time."""
        end = self.loop.clock() + milliseconds * MILLISECOND
        self._until(lambda: self.loop.clock() >= end)

    def _until(self, condition: Callable[[], bool], seconds: float = 10.0) -> None:
        deadline, disk_turns = self.loop.clock() + round(seconds * SECOND), 0
        while not condition():
            assert self.loop.clock() < deadline, "the condition did not become true in time"
            if self._is_writing():
                disk_turns += 1
                assert disk_turns < MAX_DISK_TURNS, "the disk hangs"
            else:
                self.clock.now += TURN_US
            self.loop.turn(MAX_WAIT_S)

    def _is_writing(self) -> bool:
        return any(process.storage.oldest_pending_since() is not None for process in self.processes)

    def close(self) -> None:
        """Ends all processes."""
        for process in self.processes:
            self.loop.end(process.acceptor.task)
            process.storage.close()
        self.loop.close()


def _free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        port = sock.getsockname()[1]
        assert isinstance(port, int)
        return port
