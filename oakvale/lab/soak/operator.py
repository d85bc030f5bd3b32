"""The operator of a soak: changes of the configuration, small ones and some of more than 100 KB, and what is read back
at the end.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from random import Random
from typing import Any

from oakvale.lab.applications.wire import HttpRequest
from oakvale.lab.soak.connections import Connections
from oakvale.lab.soak.core_caller import CoreCaller

LARGE_TENANT_COUNT = 1_800  # more than 100 KB
SMALL_TENANT_COUNT = 3
LARGE_SHARE = 0.3
MIN_PAUSE_S, MAX_PAUSE_S = 0.3, 2.0
CHANGE_PATIENCE_S = 10.0
REPLACE, READ = "Config.Replace", "Config.Read"


def configuration(version: int, tenant_count: int) -> dict[str, Any]:
    """A configuration with one route and so many tenants."""
    columns = ["name", "vhost", "prefix", "type", "deadline", "target_time", "prio", "tries", "public", "svc"]
    route = ["lookups", "desk.example", "/calendar/", "safe", "2000ms", "500ms", 1, 2, False, "calendar"]
    tenants = [[f"tenant{number}", [f"key-{version}-{number:020d}"], 1, 50, 50] for number in range(tenant_count)]
    return {
        "gen": version,
        "limits": {"hdr-bytes": 16_384, "body-bytes": 1_048_576, "hdr": "3000ms", "idle": "15000ms"},
        "svcs": {
            "cols": ["name", "hcheck", "max-conns", "proto", "tls"],
            "rows": [["calendar", "/healthz", 100, "h1", False]],
        },
        "routes": {"cols": columns, "rows": [route]},
        "tenants": {"cols": ["name", "apikeys", "prio", "rate-per-s", "burst"], "rows": tenants},
    }


class Operator:
    """Changes the configuration until it is stopped."""

    def __init__(self, connections: Connections, rng: Random) -> None:
        self._caller, self._rng = CoreCaller(connections, rng), rng
        self._version = 0
        self.acknowledged = 0  # the newest version
        self.acknowledged_count = 0
        self.given_up: list[int] = []  # versions without a clear answer
        self.rejected: list[str] = []
        self.stopped = False

    async def run(self) -> None:
        """Sends one change after another."""
        while not self.stopped:
            await self._change()
            await asyncio.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    async def check(self, patience_s: float) -> Iterator[str]:
        """What is wrong with the configuration that is read back."""
        answer = await self._caller.call(HttpRequest(b"GET", READ, "", "", b""), patience_s)
        if not self.acknowledged:
            return iter(())
        if answer is None or answer.status != 200:
            return iter([f"the configuration is not readable; version {self.acknowledged} was acknowledged"])
        version = int(json.loads(answer.body)["gen"])
        if version < self.acknowledged:
            return iter([f"configuration {version} is read; {self.acknowledged} was acknowledged"])
        return iter(())

    async def _change(self) -> None:
        self._version += 1
        size = LARGE_TENANT_COUNT if self._rng.random() < LARGE_SHARE else SMALL_TENANT_COUNT
        body = json.dumps(configuration(self._version, size)).encode()
        answer = await self._caller.call(HttpRequest(b"POST", REPLACE, "", "", body), CHANGE_PATIENCE_S)
        if answer is None:
            self.given_up.append(self._version)
        elif answer.status == 200:
            self.acknowledged = self._version
            self.acknowledged_count += 1
        else:
            self.rejected.append(f"configuration {self._version}: {answer.status} {answer.body[:200]!r}")
