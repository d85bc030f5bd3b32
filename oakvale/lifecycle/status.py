"""What the gateway has done, told in one log line at intervals."""

from __future__ import annotations

import logging
from typing import Any

from oakvale.shared import SharedResources

log = logging.getLogger(__name__)


class Status:
    def __init__(self, host: SharedResources) -> None:
        self._host = host
        self._cpu = 0.0
        self._turns = 0
        self._told: dict[str, Any] = {}

    def begin(self) -> None:
        self._host.loop.at(self._host.loop.now + self._host.limits.status, self._tell)

    def _tell(self, _: None) -> None:
        host = self._host
        counts, told = host.tally.fields(), self._told
        since = {name: count - told.get(name, 0) for name, count in counts.items()}
        cpu, memory = host.loop.net.used()
        log.info(
            "status",
            extra={name: count for name, count in since.items() if count or name == "requests"}
            | {
                "in_hand": len(host.requests),
                "clients": len(host.clients.all),
                "backend_connections": host.backend_connections,
                "idle_connections": host.idle.count,
                "buffers_taken": host.buffers.in_use,
                "turns": host.loop.turns - self._turns,
                "cpu_ms": round((cpu - self._cpu) * 1000),
                "memory_mb": memory,
            },
        )
        self._cpu, self._turns, self._told = cpu, host.loop.turns, counts
        self.begin()
