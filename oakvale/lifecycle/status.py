"""Logs what the gateway has done, in one status line at regular intervals."""

from __future__ import annotations

import logging
from typing import Any

from oakvale.shared import SharedResources

log = logging.getLogger(__name__)


class Status:
    """Logs the change of all counters since the last status line."""

    def __init__(self, host: SharedResources) -> None:
        self._host = host
        self._cpu_seconds = 0.0
        self._turns = 0
        self._last_counts: dict[str, Any] = {}

    def begin(self) -> None:
        """Schedules the next status line."""
        self._host.loop.at(self._host.loop.now + self._host.limits.status, self._log_status)

    def _log_status(self, _: None) -> None:
        host = self._host
        counts, last_counts = host.tally.fields(), self._last_counts
        increments = {name: count - last_counts.get(name, 0) for name, count in counts.items()}
        cpu_seconds, memory_mb = host.loop.net.resource_usage()
        log.info(
            "status",
            extra={name: count for name, count in increments.items() if count or name == "requests"}
            | {
                "in_hand": len(host.requests),
                "clients": len(host.clients.all),
                "backend_connections": host.backend_connections,
                "idle_connections": host.idle.count,
                "buffers_taken": host.buffers.in_use,
                "turns": host.loop.turns - self._turns,
                "cpu_ms": round((cpu_seconds - self._cpu_seconds) * 1000),
                "memory_mb": memory_mb,
            },
        )
        self._cpu_seconds, self._turns, self._last_counts = cpu_seconds, host.loop.turns, counts
        self.begin()
