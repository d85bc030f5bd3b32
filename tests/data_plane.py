"""A gateway's data plane on loopback sockets: three backends, and a counter that answers as it is told."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from oakvale.base.limits import Limits
from oakvale.base.loop import Loop
from oakvale.dataplane.request_router import RequestRouter
from oakvale.dataplane.routes import Backend, Picture, configured
from oakvale.lifecycle.acceptor import Acceptor, open_listener
from oakvale.ratelimit.counter_state import Receipt
from oakvale.retry_budget import RetryLimits
from oakvale.shared import SharedResources
from tests.node import MS, FakeClock, Node, StubConnection, StubServer, answer

KEY = "ctnfzs989anu6wsjnban"
CONFIG = {
    "gen": 7,
    "routes": {
        "cols": ["name", "vhost", "prefix", "type", "deadline", "target_time", "prio", "tries", "public", "svc"],
        "rows": [
            ["read", "a.example", "/r/", "safe", "5s", "800ms", 2, 2, False, "one"],
            ["deep", "a.example", "/r/deep/", "safe", "5s", "800ms", 2, 2, True, "two"],
            ["book", "a.example", "/b/", "unsafe", "6000ms", "1s", 1, 2, False, "one"],
        ],
    },
    "svcs": {"cols": ["name"], "rows": [["one"], ["two"]]},
    "tenants": {"cols": ["name", "apikeys", "rate-per-s", "burst"], "rows": [["t1", [KEY], 10, 10]]},
}


class FakeGauge:
    """Answers as it is told: whether a tenant's request passes, the wait, whether it was counted."""

    def __init__(self) -> None:
        self.word = (True, 0, True)
        self.asked: list[tuple[str, bool]] = []
        self.given_back: list[str] = []

    def count_request(
        self, tenant: str, again: bool, then: Callable[[bool, int, bool], None], patience: int, receipt: Receipt
    ) -> None:
        self.asked.append((tenant, again))
        if self.word[0]:
            receipt.tenant, receipt.counter_id = tenant, "life"
        then(*self.word)

    def refund(self, receipt: Receipt) -> None:
        if receipt.counter_id:
            self.given_back.append(receipt.tenant)
            receipt.counter_id = ""

    def holds(self, duty: str) -> bool:
        return False

    def holder(self, duty: str) -> None:
        return None


class FakeMains:
    def __init__(self) -> None:
        self.handlers: dict[str, Any] = {}


class Gate(Node):
    """The plant where `Node` has the server in service; its driving and its stand-ins stay."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        limits = Limits.fill(1024, 200 << 20, 300 * MS, 9_000 * MS, 150 * MS, 100)
        self.limits = replace(limits, timer_slack=0, wake_slack=0)
        self.loop = Loop(self.clock, self.limits)
        self.first, self.second, self.other = StubServer(), StubServer(), StubServer()
        self.rate_limiter, self.peers = FakeGauge(), []
        self.router = RequestRouter(
            SharedResources(self.loop, self.limits),
            self.rate_limiter,  # type: ignore[arg-type]
            FakeMains(),  # type: ignore[arg-type]
            "g",
            ["z"],
            "z",
            RetryLimits(10_000 * MS, 16.0, 60.0),
        )  # plenty: what it earns is tested apart
        listener = open_listener(("127.0.0.1", 0), 64)
        self.address = listener.getsockname()
        self.acceptor = Acceptor(self.router, listener, self.loop)
        self.show()

    def show(self, gone: tuple[str, ...] = (), drain: tuple[str, ...] = (), **changes: Any) -> None:
        places = {"i-1": ("one", self.first), "i-2": ("one", self.second), "i-3": ("two", self.other)}
        backends = {
            name: Backend(name, service, party.text, "z", 2.0, name not in drain, 0)
            for name, (service, party) in places.items()
            if name not in gone
        }
        parts = configured(json.dumps(CONFIG | changes).encode())
        self.router.show(replace(Picture(**parts), backends=backends))

    def say(
        self,
        path: str = "/r/x",
        rid: str = "a1",
        key: str | None = KEY,
        method: str = "GET",
        body: bytes = b"",
        **headers: str,
    ) -> StubConnection:
        fields = {"Host": "a.example", "Attempt-Id": rid, "Time-Left": "5000"}
        fields |= {"Authorization": f"Bearer {key}"} if key else {}
        fields |= {"Content-Length": str(len(body))} if body else {}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        client = self.client()
        client.send(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        return client

    def at_backend(self) -> tuple[str, StubConnection, bytes]:
        """The next request that came to a backend of service one: which, its connection, what it read."""

        def look() -> Any:
            return next(
                ((name, peer) for name, party in (("i-1", self.first), ("i-2", self.second)) if (peer := party.take())),
                None,
            )

        name, peer = self.until(look)
        return name, self._kept(peer), self.reads(peer)

    def status(self, client: StubConnection) -> int:
        return int(self.reads(client).split()[1])

    def close(self) -> None:
        self.router.ended = True
        self.loop.close()
        for party in (self.first, self.second, self.other):
            party.close()
        for peer in self.peers:
            peer.close()


def sealed(rid: str = "a1", body: bytes = b"ok") -> bytes:
    return answer(body=body, Attempt_Id=rid, Seal="s")
