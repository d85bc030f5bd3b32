"""What the gateway has done, told in one log line at intervals."""

from __future__ import annotations

import logging
import resource

from oakvale.host import Host
from oakvale.memory.tally import Tally

log = logging.getLogger(__name__)


class Status:
    def __init__(self, host: Host) -> None:
        self._host = host
        self._cpu = 0.0
        self._turns = 0

    def begin(self) -> None:
        self._host.loop.at(self._host.loop.now + self._host.limits.status, self._tell)

    def _tell(self, _: None) -> None:
        host = self._host
        tally, host.tally = host.tally, Tally()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu = usage.ru_utime + usage.ru_stime
        log.info("status", extra=tally.fields() | {
            "in_hand": len(host.requests), "clients": len(host.clients.all),
            "backend_connections": host.backend_connections, "idle_connections": host.idle.count,
            "buffers_taken": host.buffers.taken,
            "turns": host.loop.turns - self._turns, "cpu_ms": round((cpu - self._cpu) * 1000),
            "memory_mb": usage.ru_maxrss // 1024})
        self._cpu, self._turns = cpu, host.loop.turns
        self.begin()
