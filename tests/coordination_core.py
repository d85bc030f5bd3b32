"""A control state for tests of the coordination service: changes come into force when the test says so."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from oakvale.controlplane.replicated_state import ReplicatedState
from oakvale.dissemination.table import Entry

SELF = ("a:1", "0")


class SteppedLoop:
    """A loop whose clock stands still until it is told to move."""

    def __init__(self) -> None:
        self.now = 10**12
        self._timers: list[tuple[int, Callable[[Any], None], Any]] = []

    def clock(self) -> int:
        return self.now

    def at(self, due: int, call: Callable[[Any], None], argument: Any = None) -> None:
        self._timers.append((due, call, argument))

    def advance(self, span_us: int) -> None:
        """Moves the clock and runs the timers that are due by then, each at its time."""
        end = self.now + span_us
        while due_timers := [timer for timer in self._timers if timer[0] <= end]:
            timer = min(due_timers, key=lambda timer: timer[0])
            self._timers.remove(timer)
            self.now = max(self.now, timer[0])
            timer[1](timer[2])
        self.now = end


class SteppedCore:
    """A primary without backups, whose disk syncs when the test says so."""

    def __init__(self) -> None:
        self.on_serving_change: list[Callable[[bool], None]] = []
        self.on_in_force: list[Callable[[list[Entry]], None]] = []
        self.on_state_replaced: list[Callable[[], None]] = []
        self.replicated_state = ReplicatedState()
        self.replicated_state.start(1)
        self.serves = True
        self.accepts_changes = True
        self.written_keys: list[str] = []

    def serving(self) -> bool:
        return self.serves

    def change(self, changes: dict[str, Any], on_done: Callable[[bool], None]) -> None:
        if not self.accepts_changes:
            return on_done(False)
        self.written_keys += changes
        self.replicated_state.propose(changes, {SELF}, on_done)

    def when_settled(self, on_done: Callable[[bool], None]) -> None:
        self.replicated_state.when_settled(on_done)

    def settle(self, before_results: Callable[[], None] = lambda: None) -> None:
        """Puts all pending changes in force."""
        entries = self.replicated_state.synced(SELF, self.replicated_state.last_version)
        for hook in self.on_in_force:
            hook(entries)
        before_results()
        for on_done in self.replicated_state.take_completed():
            on_done(True)

    def lose_results(self) -> None:
        """The callers learn that the outcome of their changes is unknown; the changes stay pending."""
        for pending in self.replicated_state._pending:
            on_done, pending.on_done = pending.on_done, lambda done: None
            on_done(False)

    def end_term(self) -> None:
        """Another replica takes over, with the pending changes."""
        self.serves = False
        for on_done in self.replicated_state.abandon():
            on_done(False)
        for hook in self.on_serving_change:
            hook(False)

    def begin_term(self) -> None:
        self.serves = True
        for hook in self.on_serving_change:
            hook(True)
