"""Test harness: a gateway's data plane on loopback sockets, with three stub backends and a fake rate limiter."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from oakvale.base.limits import Limits
from oakvale.base.loop import Loop
from oakvale.dataplane.request_router import RequestRouter
from oakvale.dataplane.routes import Backend, RoutingSnapshot, parse_configuration
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


class FakeRateLimiter:
    """Gives a preset result: if a request is within the quota, the wait in microseconds, whether it was counted."""

    def __init__(self) -> None:
        self.result = (True, 0, True)
        self.counted_requests: list[tuple[str, bool]] = []
        self.refunded: list[str] = []

    def count_request(
        self,
        tenant: str,
        is_retry: bool,
        on_counted: Callable[[bool, int, bool], None],
        max_wait_us: int,
        receipt: Receipt,
    ) -> None:
        self.counted_requests.append((tenant, is_retry))
        if self.result[0]:
            receipt.tenant, receipt.counter_id = tenant, "life"
        on_counted(*self.result)

    def refund(self, receipt: Receipt) -> None:
        if receipt.counter_id:
            self.refunded.append(receipt.tenant)
            receipt.counter_id = ""

    def holds(self, duty: str) -> bool:
        return False

    def holder(self, duty: str) -> None:
        return None


class FakeTransport:
    """Accepts the registration of handlers, and never calls them."""

    def __init__(self) -> None:
        self.handlers: dict[str, Any] = {}


class GatewayHarness(Node):
    """Runs a `RequestRouter` where `Node` runs the stand-alone gateway; the client and server stubs are shared."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        limits = Limits.fill(1024, 200 << 20, 300 * MS, 9_000 * MS, 150 * MS, 100)
        self.limits = replace(limits, timer_slack=0, wake_slack=0)
        self.loop = Loop(self.clock, self.limits)
        self.backend_1, self.backend_2, self.backend_3 = StubServer(), StubServer(), StubServer()
        self.rate_limiter, self.peers = FakeRateLimiter(), []
        self.router = RequestRouter(
            SharedResources(self.loop, self.limits),
            self.rate_limiter,  # type: ignore[arg-type]
            FakeTransport(),  # type: ignore[arg-type]
            "g",
            ["z"],
            "z",
            RetryLimits(10_000 * MS, 16.0, 60.0),
        )  # large enough never to limit a test
        listener = open_listener(("127.0.0.1", 0), 64)
        self.address = listener.getsockname()
        self.acceptor = Acceptor(self.router, listener, self.loop)
        self.apply_state()

    def apply_state(self, removed: tuple[str, ...] = (), draining: tuple[str, ...] = (), **changes: Any) -> None:
        """Puts a configuration and a backend list into force; `draining` backends are listed but not ready."""
        services = {"i-1": ("one", self.backend_1), "i-2": ("one", self.backend_2), "i-3": ("two", self.backend_3)}
        backends = {
            name: Backend(name, service, server.text, "z", 2.0, name not in draining, 0)
            for name, (service, server) in services.items()
            if name not in removed
        }
        fields = parse_configuration(json.dumps(CONFIG | changes).encode())
        self.router.apply_snapshot(replace(RoutingSnapshot(**fields), backends=backends))

    def send_request(
        self,
        path: str = "/r/x",
        request_id: str = "a1",
        key: str | None = KEY,
        method: str = "GET",
        body: bytes = b"",
        **headers: str,
    ) -> StubConnection:
        """Sends a request on a new client connection; underscores in header names become hyphens."""
        fields = {"Host": "a.example", "Attempt-Id": request_id, "Time-Left": "5000"}
        fields |= {"Authorization": f"Bearer {key}"} if key else {}
        fields |= {"Content-Length": str(len(body))} if body else {}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        client = self.client()
        client.send(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        return client

    def next_backend_request(self) -> tuple[str, StubConnection, bytes]:
        """Waits for the next request at a backend of service one: the backend's name, connection, and bytes read."""

        def find_request() -> Any:
            return next(
                (
                    (name, peer)
                    for name, server in (("i-1", self.backend_1), ("i-2", self.backend_2))
                    if (peer := server.take())
                ),
                None,
            )

        name, peer = self.until(find_request)
        return name, self._kept(peer), self.reads(peer)

    def status(self, client: StubConnection) -> int:
        """Waits for an answer's head; returns its status."""
        return int(self.reads(client).split()[1])

    def close(self) -> None:
        self.router.ended = True
        self.loop.close()
        for server in (self.backend_1, self.backend_2, self.backend_3):
            server.close()
        for peer in self.peers:
            peer.close()


def success_answer(request_id: str = "a1", body: bytes = b"ok") -> bytes:
    """A complete answer of a backend that ran the request."""
    return answer(body=body, Attempt_Id=request_id, Seal="s")
