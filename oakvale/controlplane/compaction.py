"""Compaction of the control state on the primary: removes old markers of backends that left, once no delayed heartbeat
of them can arrive any more, and moves the compaction horizon, below which tombstones are dropped.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from oakvale.base.loop import Loop
from oakvale.controlplane.core import Core
from oakvale.dissemination.table import HORIZON_KEY, NO_VERSION, Version
from oakvale.lifecycle.eventlog import EventLogger

COMPACTION_INTERVAL_US = 10_000_000
RETENTION_US = 90_000_000  # how long delayed heartbeats of a backend that left are recognised and tombstones are kept
MAX_MARKERS_PER_CHANGE = 200  # markers that go in one change

log_event = EventLogger(__name__)


class Compactor:
    """Periodically proposes a compacting change while this replica serves."""

    def __init__(
        self, core: Core, loop: Loop, interval_us: int = COMPACTION_INTERVAL_US, retention_us: int = RETENTION_US
    ) -> None:
        self._core, self._loop, self._interval_us, self._retention_us = core, loop, interval_us, retention_us
        self._left_since: dict[str, int] = {}  # backend that left -> when this primary first saw its marker
        # time -> the highest version of entries that gateways hold, at that time
        self._version_history: deque[tuple[int, Version]] = deque()
        loop.at(loop.now + interval_us, self._compact)

    def _compact(self, _: Any) -> None:
        now = self._loop.now
        self._loop.at(now + self._interval_us, self._compact)
        if not self._core.serving():
            self._left_since.clear()
            self._version_history.clear()
            return
        table = self._core.replicated_state.table
        self._left_since = {name: self._left_since.get(name, now) for name, _ in table.items("left/")}
        expired = [name for name, at in self._left_since.items() if now - at >= self._retention_us][
            :MAX_MARKERS_PER_CHANGE
        ]
        changes: dict[str, Any] = {f"left/{name}": None for name in expired}
        self._version_history.append((now, table.highest_gateway_version))
        retained_from = NO_VERSION  # the highest version of one retention period ago
        while self._version_history and now - self._version_history[0][0] >= self._retention_us:
            retained_from = self._version_history.popleft()[1]
        if retained_from != NO_VERSION:
            self._version_history.appendleft((now - self._retention_us, retained_from))
        horizon = min(table.next_horizon(), retained_from)
        if horizon > table.horizon:
            changes[HORIZON_KEY] = list(horizon)
        if changes and not self._core.replicated_state.has_pending_for_gateways():
            log_event("forgets", left=len(expired), up_to="/".join(map(str, horizon)))
            self._core.change(changes, lambda done: None)
