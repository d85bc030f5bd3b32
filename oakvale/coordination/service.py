"""Answers the coordination calls on the primary: carries out what the state machines decide.

The state machines hold the newest state, pending changes included. They learn from the control state what comes into
force, not from the results of changes: a result is lost with the lease, while its change may still come into force.
They are rebuilt when a term of serving begins, and before the next call after the state was replaced or a change had an
unknown outcome.

A call gets 503 only before it reaches the state machines, as that promises that it has no effect. Whatever is decided
after that is answered only while this replica serves, and with 500 otherwise.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

import orjson

from oakvale.base.loop import Loop
from oakvale.coordination import calls
from oakvale.coordination.calls import CallHandler, ControlCall, InvalidCall, SendAnswer
from oakvale.coordination.counters import Counters
from oakvale.coordination.decisions import CallReply, Decision
from oakvale.coordination.entries import PREFIX, EventEntry, SortedEntries
from oakvale.coordination.key_groups import KeyGroups
from oakvale.coordination.locks import Locks
from oakvale.coordination.watches import MAX_WAITING_WATCHES, Watches
from oakvale.dissemination.table import Entry, Table
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.memory.requests import Answer

MIN_RETENTION_US = 60_000_000  # longer than callers repeat a put
JSON = (b"content-type", b"application/json")
UNAVAILABLE = Answer(503, [JSON, (b"retry-after", b"0.3")], b'{"error":"no primary"}')
UNKNOWN_OUTCOME = Answer(500, [JSON], b'{"error":"the outcome is unknown"}')

Decide = Callable[[ControlCall, int], Decision]  # a call and the time of the steady clock

log_event = EventLogger(__name__)


class ReplicatedEntries(Protocol):
    """The entries in force and the pending ones."""

    table: Table

    def pending_entries(self) -> list[Entry]: ...


class ControlState(Protocol):
    """What the service needs of the control state; `Core` satisfies it."""

    on_serving_change: list[Callable[[bool], None]]
    on_in_force: list[Callable[[list[Entry]], None]]
    on_state_replaced: list[Callable[[], None]]

    @property
    def replicated_state(self) -> ReplicatedEntries: ...

    def serving(self) -> bool:
        """Whether this replica is the primary, with a lease that holds at this moment."""

    def change(self, changes: dict[str, Any], on_done: Callable[[bool], None]) -> None:
        """Proposes a change; True once it is in force, False if its outcome is unknown."""

    def when_settled(self, on_done: Callable[[bool], None]) -> None:
        """True once all that is pending now is in force, False if that is unknown."""


class CoordinationService:
    """The coordination calls of one core machine."""

    def __init__(self, core: ControlState, loop: Loop, retain_us: int, max_watches: int = MAX_WAITING_WATCHES) -> None:
        """`max_watches`: how many watches may wait; each holds a connection."""
        self._core, self._loop = core, loop
        self._locks, self._counters = Locks(), Counters()
        self._groups = KeyGroups(max(2 * retain_us, MIN_RETENTION_US), retain_us)
        self._watches = Watches(loop, self._events, self._groups.revision, core.serving, max_watches)
        self._is_current = False  # the state machines agree with the replicated state
        self._is_same_term = False  # no other primary can have served since they were built
        core.on_serving_change.append(self._serving_changed)
        core.on_state_replaced.append(self._end_term)
        core.on_in_force.append(self._put_in_force)

    def handlers(self) -> dict[tuple[bytes, str], CallHandler]:
        """The handlers by method and verb."""
        decided_by: dict[tuple[bytes, str], Decide] = {
            (b"POST", "Locks.Begin"): self._begin,
            (b"POST", "Locks.Heartbeat"): self._renew,
            (b"POST", "Locks.Finish"): self._finish,
            (b"POST", "numbers"): self._take_number,
            (b"POST", "Cells.Replace"): self._put,
            (b"GET", "Cells.Read"): self._read,
        }
        handlers: dict[tuple[bytes, str], CallHandler] = {
            route: partial(self._handle, decide) for route, decide in decided_by.items()
        }
        handlers[b"GET", "watch"] = self._watch
        return handlers

    def status(self) -> dict[str, int]:
        """Counts for the status of the process."""
        return {
            "locks": len(self._locks),
            "locks_held": self._locks.held_count(self._loop.clock()),
            "counters": len(self._counters),
            **self._groups.status(),
            "waiting_watches": len(self._watches),
        }

    # ---- the replicated state

    def _serving_changed(self, serves: bool) -> None:
        if not serves:
            self._end_term()
        elif not self._is_current and self._core.serving():
            self._rebuild()  # holds count from now, not from the next call

    def _end_term(self) -> None:
        self._is_current = self._is_same_term = False
        self._watches.end_term()

    def _put_in_force(self, entries: list[Entry]) -> None:
        """Wakes the watches of groups with new events; this happens before the callers of the puts are answered."""
        if not self._is_current:
            return
        found = SortedEntries.read((key, value) for key, _, value in entries)
        for name, lock in found.locks:
            self._locks.put_in_force(name, lock)
        for name, counter in found.counters:
            self._counters.put_in_force(name, counter)
        changed_groups = self._groups.put_in_force(found.cells, found.events, self._loop.clock())
        self._watches.puts_in_force(changed_groups)

    def _rebuild(self) -> None:
        now, state = self._loop.clock(), self._core.replicated_state
        in_force = SortedEntries.read((PREFIX + key, value) for key, value in state.table.items(PREFIX))
        pending = SortedEntries.read((key, value) for key, _, value in state.pending_entries())
        self._locks.rebuild(in_force.locks, pending.locks, now, self._is_same_term)
        self._counters.rebuild(in_force.counters, pending.counters)
        self._groups.rebuild(in_force.cells, in_force.events, pending.cells, pending.events, now)
        log_event("coordination state rebuilt", "info", same_term=self._is_same_term, **self.status())
        self._is_current = self._is_same_term = True
        self._watches.puts_in_force(self._groups.names())  # what came into force meanwhile

    # ---- calls

    def _handle(self, decide: Decide, call: ControlCall, send: SendAnswer) -> None:
        if not self._core.serving():
            return send(UNAVAILABLE)
        if not self._is_current:
            self._rebuild()
        try:
            decision = decide(call, self._loop.clock())
        except InvalidCall as error:
            return send(Answer(error.status, [JSON], orjson.dumps({"error": str(error)})))
        self._carry_out(decision, send)

    def _carry_out(self, decision: Decision, send: SendAnswer) -> None:
        def settled(done: bool) -> None:
            if done:
                self._reply(decision.reply, send)
            else:
                self._is_current = False
                send(UNKNOWN_OUTCOME)

        if decision.changes:
            self._core.change(decision.changes, settled)
        elif decision.rests_on_pending:
            self._core.when_settled(settled)
        else:
            self._reply(decision.reply, send)

    def _reply(self, reply: CallReply, send: SendAnswer) -> None:
        if reply.status == 429:
            log_event("coordination is full", "warning", why=reply.fields["error"])
        serves = self._core.serving()
        send(Answer(reply.status, [JSON], orjson.dumps(reply.fields)) if serves else UNKNOWN_OUTCOME)

    def _begin(self, call: ControlCall, now: int) -> Decision:
        request = calls.read_begin(call)
        expired_owner = self._locks.expired_holder(request.name, now)
        decision = self._locks.begin(request.name, request.owner, request.hold_us, now)
        if decision.changes and expired_owner not in ("", request.owner):
            log_event("lock expired", lock=request.name, owner=expired_owner, next_owner=request.owner)
        return decision

    def _renew(self, call: ControlCall, now: int) -> Decision:
        request = calls.read_heartbeat(call)
        return self._locks.renew(request.name, request.owner, request.fence, request.hold_us, now)

    def _finish(self, call: ControlCall, now: int) -> Decision:
        request = calls.read_finish(call)
        return self._locks.finish(request.name, request.owner, request.fence)

    def _take_number(self, call: ControlCall, now: int) -> Decision:
        return self._counters.take(calls.read_number_call(call))

    def _put(self, call: ControlCall, now: int) -> Decision:
        request = calls.read_put(call)
        return self._groups.put(request.name, request.value, request.topic, now)

    def _read(self, call: ControlCall, now: int) -> Decision:
        return self._groups.read(calls.read_name(call.name))

    def _events(self, group: str, after: int) -> list[EventEntry] | None:
        return self._groups.events(group, after, self._loop.clock())

    def _watch(self, call: ControlCall, send: SendAnswer) -> None:
        if not self._core.serving():
            return send(UNAVAILABLE)
        if not self._is_current:
            self._rebuild()
        self._watches.watch(call, send)
