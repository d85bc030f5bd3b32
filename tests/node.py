"""Test harness for a gateway's sockets: a fake clock and stub peers on loopback sockets, in one thread.

`Node.until` runs the event loop until a condition holds; the loop's wait for events is the only synchronisation.
"""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from oakvale import interface as i
from oakvale.base.configuration import Configuration, decode
from oakvale.base.loop import Loop
from oakvale.lifecycle.serving import Server, open_listener

START = 1_800_000_000_000_000  # Unix time in microseconds
MS = 1_000
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "slot-lookup", "effect": "safe", "giveUpUs": 5_000_000, "targetUs": 1_500_000},
        {"name": "save", "effect": "unsafe", "giveUpUs": 5_000_000, "targetUs": 1_500_000},
    ],
    "fleetSize": 4,
    "position": 0,
    "zone": 0,
    "discovery": "pushed",
    "zones": ["room-a", "room-b"],
    "kinds": ["std"],
    "limits": {
        "maxAttempts": 4,
        "mayCancel": True,
        "retryAfter": True,
        "maxRetryAfterUs": 1_000_000,
        "connIdleUs": 30_000_000,
        "connectTimeoutUs": 250_000,
        "maxOpen": 100,
    },
    "report": {"columns": ["concurrent", "load_share"], "how": "answers"},
    "specifics": {"mayCount": True, "counterTimeoutUs": 80_000, "largest": 4},
    "tiersOfService": [{"name": "team", "perSecond": 2.0, "depth": 8.0, "valueFactor": 1.0}],
}


class FakeClock:
    def __init__(self) -> None:
        self.now, self.readings = START, 0

    def __call__(self) -> int:
        self.readings += 1
        return self.now


class ScriptedPolicy:
    """Replaces the policy: records the events and returns scripted actions."""

    def __init__(self) -> None:
        self.events: list[i.Event] = []
        self.times: list[int] = []
        self.answers: dict[type[i.Event], Callable[[Any], list[i.Action]]] = {}

    def handle(self, now: int, event: i.Event) -> list[i.Action]:
        self.times.append(now)
        self.events.append(event)
        answer = self.answers.get(type(event))
        return answer(event) if answer else []

    def of(self, kind: type[Any]) -> list[Any]:
        return [e for e in self.events if type(e) is kind]


class StubConnection:
    """The peer's side of a connection: the data received, and a socket to answer on."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.came, self.ended = sock, b"", False
        sock.setblocking(False)

    def read(self) -> bytes:
        try:
            while data := self.sock.recv(65536):
                self.came += data
            self.ended = True
        except BlockingIOError:
            pass
        except OSError:
            self.ended = True
        return self.came

    def send(self, data: bytes) -> None:
        self.sock.setblocking(True)
        self.sock.sendall(data)
        self.sock.setblocking(False)

    def close(self, reset: bool = False) -> None:
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()


class StubServer:
    """Listening socket of a stub server."""

    def __init__(self) -> None:
        self.listener = open_listener(("127.0.0.1", 0), 16)
        self.address: tuple[str, int] = self.listener.getsockname()

    @property
    def text(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"

    def take(self) -> StubConnection | None:
        try:
            return StubConnection(self.listener.accept()[0])
        except BlockingIOError:
            return None

    def close(self) -> None:
        self.listener.close()


def row(name: str, address: str, status: str = "active", **changes: Any) -> dict[str, Any]:
    return {
        "name": name,
        "address": address,
        "zone": "room-a",
        "type": "std",
        "group": 1,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
        **changes,
    }


class Node:
    """A gateway on loopback with one known backend, a counter and discovery, each a stub."""

    def __init__(self, script: bool = True, settings: dict[str, Any] | None = None, **limits: Any) -> None:
        self.clock = FakeClock()
        self.backend, self.counter, self.discovery = StubServer(), StubServer(), StubServer()
        self.listener = open_listener(("127.0.0.1", 0), 64)
        self.address: tuple[str, int] = self.listener.getsockname()
        known = {"index": 41, "snapshot": True, "endpoints": [row("s-1", self.backend.text)]}
        data = {
            "name": "n0",
            "listen": "%s:%d" % self.address,  # noqa: UP031
            "discovery": self.discovery.text,
            "counter": self.counter.text,
            "seed": "8c1f30d27a5be964",
            "known": known,
            "limits": {"sockets": 1024},
            "settings": {**SETTINGS, **(settings or {})},
        }
        configuration = decode(data, {})
        self.configuration: Configuration = replace(configuration, limits=replace(configuration.limits, **limits))
        self.loop = Loop(self.clock, self.configuration.limits)
        self.server = Server(self.configuration, self.listener, self.loop)
        self.host = self.server.host
        self.host.unix_time = lambda: 0  # arrivals without a delay
        self.script = ScriptedPolicy()
        self.peers: list[StubConnection] = []
        if script:
            self.host.gateway = self.script  # type: ignore[assignment]
        self.server.begin()
        self.loop.turn(0)

    def until(self, condition: Callable[[], Any], seconds: float = 5.0) -> Any:
        """Runs the loop until `condition` returns a true value, and returns that."""
        end = time.monotonic() + seconds
        while not (value := condition()):
            assert time.monotonic() < end, "the condition did not become true in time"
            self.loop.turn(0.01)
        return value

    def acts(self, *actions: i.Action) -> None:
        """Has the policy return these actions now."""
        self.script.answers[i.Timer] = lambda _: list(actions)
        self.host.dispatch(i.Timer(1))

    def until_ended(self, peer: StubConnection) -> None:
        """Runs the loop until the gateway has closed the connection to `peer`, and reads what comes before."""
        self.until(lambda: (peer.read(), peer.ended)[1])

    def turns(self, n: int = 5) -> None:
        for _ in range(n):
            self.loop.turn(0)

    def pass_time(self, span: int) -> None:
        self.clock.now += span
        self.turns(3)

    def _kept(self, peer: StubConnection) -> StubConnection:
        """Keeps a reference, as a garbage-collected peer would close its connection."""
        self.peers.append(peer)
        return peer

    def client(self) -> StubConnection:
        return self._kept(StubConnection(socket.create_connection(self.address)))

    def ask(self, client: StubConnection, request_id: str = "9b1f03aa5c7e2d41", **headers: Any) -> None:
        client.send(request(request_id, **headers))

    def came(self, kind: type[Any], n: int = 1) -> Any:
        """Waits for the n-th event of a type and returns it."""
        self.until(lambda: len(self.script.of(kind)) >= n)
        return self.script.of(kind)[n - 1]

    def taken(self, party: StubServer) -> StubConnection:
        return self._kept(self.until(party.take))

    def reads(self, peer: StubConnection, end: bytes = b"\r\n\r\n") -> bytes:
        """Waits until the data that a peer received contains `end` and returns it."""
        self.until(lambda: end in peer.read())
        return peer.came

    def close(self) -> None:
        self.host.ended = True
        self.loop.close()
        for party in (self.backend, self.counter, self.discovery):
            party.close()
        for peer in self.peers:
            peer.close()


def request(
    request_id: str = "9b1f03aa5c7e2d41", method: str = "GET", target: str = "", body: bytes = b"", **headers: Any
) -> bytes:
    fields = {
        "Host": "app.svc",
        "X-Trace-Id": request_id,
        "X-Tier": "team",
        "X-Expires-In": "4000m",
        "X-Call-Terms": "units=2,spread=3,first=1",
    }
    fields |= {k.replace("_", "-"): v for k, v in headers.items()}
    if body:
        fields["Content-Length"] = str(len(body))
    head = "".join(f"{k}: {v}\r\n" for k, v in fields.items() if v)
    line = f"{method} {target or '/slot-lookup?key=00000000b4d65521'} HTTP/1.1\r\n"
    return (line + head + "\r\n").encode() + body


def answer(status: str = "200 OK", body: bytes = b"slots", **headers: str) -> bytes:
    head = "".join(f"{k.replace('_', '-')}: {v}\r\n" for k, v in headers.items())
    return f"HTTP/1.1 {status}\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def chunk(*objects: Any) -> bytes:
    """One HTTP chunk of the discovery stream, with one JSON object per line."""
    data = b"".join((json.dumps(o) if o is not None else "").encode() + b"\n" for o in objects)
    return b"%x\r\n%s\r\n" % (len(data), data)
