"""A control state for tests of the coordination service: changes come into force when the test says so."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from oakvale.controlplane.replicated_state import Callback, ReplicatedState
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
        self.serves = self.accepts_changes = True
        self.changes: list[dict[str, Any]] = []  # all that were proposed
        self._results: list[Callback] = []  # of pending changes

    def serving(self) -> bool:
        return self.serves

    def change(self, changes: dict[str, Any], on_done: Callback) -> None:
        if not self.accepts_changes:
            return on_done(False)
        self.changes.append(changes)
        self.replicated_state.propose(changes, {SELF}, self._track(on_done))

    def when_settled(self, on_done: Callback) -> None:
        self.replicated_state.when_settled(self._track(on_done))

    def _track(self, on_done: Callback) -> Callback:
        """As `PendingCallbacks` does: a result that was reported as unknown is not reported again."""
        self._results.append(on_done)

        def report(done: bool) -> None:
            if on_done in self._results:
                self._results.remove(on_done)
                on_done(done)

        return report

    def settle(self, before_results: Callable[[], None] = lambda: None, but: int = 0) -> None:
        """Puts the pending changes in force, but the last ones."""
        pending = self.replicated_state._pending
        if len(pending) > but:
            entries = self.replicated_state.synced(SELF, pending[len(pending) - 1 - but].entries[-1][1])
            for hook in self.on_in_force:
                hook(entries)
        before_results()
        for on_done in self.replicated_state.take_completed():
            on_done(True)

    def lose_results(self) -> None:
        """The callers learn that the outcome of their changes is unknown; the changes stay pending."""
        while self._results:
            self._results.pop(0)(False)

    def end_term(self, lost: int = 0) -> ReplicatedState:
        """Another replica takes over. Returns its state, which has the pending changes but the last ones."""
        self.serves = False
        state, kept = ReplicatedState(), len(self.replicated_state._pending) - lost
        state.apply(self.replicated_state.table.since((0, 0)))
        for pending in [*self.replicated_state._pending][: max(0, kept)]:
            state.apply(pending.entries)
        self.lose_results()
        for hook in self.on_serving_change:
            hook(False)
        return state

    def begin_term(self, state: ReplicatedState) -> None:
        """This replica serves from this state, in a new view."""
        self.replicated_state = state
        state.start(state.last_version[0] + 1)
        self.serves = self.accepts_changes = True
        for hook in self.on_serving_change:
            hook(True)
