"""What the primary forgets, so that the control state does not grow without end: that a backend has left, once no
beat of it can be on its way any more, and the graves of what was taken away, but for the latest.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from oakvale.base.loop import Loop
from oakvale.controlplane.core import Core
from oakvale.dissemination.table import HORIZON_KEY, NO_VERSION, Version
from oakvale.lifecycle.eventlog import EventLogger

ROUND = 10_000_000  # microseconds between two looks
LEFT = 90_000_000  # for so long late beats of a backend that left are recognised, and graves stay whatever their number
MOST = 200  # markers that go in one change

log_event = EventLogger(__name__)


class Pruning:
    def __init__(self, core: Core, loop: Loop, round_: int = ROUND, left: int = LEFT) -> None:
        self._core, self._loop, self._round, self._kept = core, loop, round_, left
        self._since: dict[str, int] = {}  # backend that left -> since when this primary has known it
        self._highs: deque[tuple[int, Version]] = deque()  # when the table was how far
        loop.at(loop.now + round_, self._look)

    def _look(self, _: Any) -> None:
        now = self._loop.now
        self._loop.at(now + self._round, self._look)
        if not self._core.serving():
            self._since.clear()
            self._highs.clear()
            return
        table = self._core.replicated_state.table
        self._since = {name: self._since.get(name, now) for name, _ in table.items("left/")}
        old = [name for name, at in self._since.items() if now - at >= self._kept][:MOST]
        changes: dict[str, Any] = {f"left/{name}": None for name in old}
        self._highs.append((now, table.highest_version))
        last = NO_VERSION  # as far as it was, long enough ago
        while self._highs and now - self._highs[0][0] >= self._kept:
            last = self._highs.popleft()[1]
        if last != NO_VERSION:
            self._highs.appendleft((now - self._kept, last))
        floor = min(table.next_horizon(), last)
        if floor > table.horizon:
            changes[HORIZON_KEY] = list(floor)
        if changes and not self._core.replicated_state.has_pending():
            log_event("forgets", left=len(old), up_to="/".join(map(str, floor)))
            self._core.change(changes, lambda done: None)
