"""One core machine of the model: the real decisions over a disk, of which only what was synced outlasts a kill.

A machine is told one event, and says what goes out. Time is put aside: whatever waits for a time may happen at any
time, so what the seat notes of times is set to "long ago" before each event and cleared after it.
"""

from __future__ import annotations

import dataclasses
import pickle
from collections import deque
from typing import Any

import cbor2

from oakvale.controlplane import actions, start_state
from oakvale.controlplane.actions import (
    ChangeResult,
    Reply,
    RetryLater,
    SendMessage,
    SendRequest,
    ServingChanged,
    StateReplaced,
    Write,
)
from oakvale.controlplane.failure_domains import FailureDomains
from oakvale.controlplane.leases import Leases
from oakvale.controlplane.replication import Replicator
from oakvale.controlplane.views import Replica, bootstrap_view, unpack_replica, unpack_view
from oakvale.dissemination.table import Version

NAMES = "abcdefg"
SILENCE = 900_000
NOW = 10**12  # microseconds: anything noted as 0 is long ago

Event = tuple[Any, ...]
Sent = tuple[Any, ...]  # what goes out, as `Machine.out` says


@dataclasses.dataclass(slots=True, frozen=True)
class Author:
    """Who made write `number`; hears through what goes out."""

    number: int

    def __call__(self, done: bool) -> None:
        raise AssertionError("told through what goes out")


class Machine:
    def __init__(
        self,
        address: str,
        addresses: tuple[str, ...],
        copies: int,
        leases: bool = False,
        zones: dict[str, str] | None = None,
    ) -> None:
        """`addresses` are the founders'; `zones` of all, where any zone may be lost."""
        self.address, self.addresses, self.copies, self.with_leases = address, addresses, copies, leases
        self.zones = zones or {}
        self.gone = False  # it was told to end, and went
        self.founds = address in addresses  # started as one of a new system's, until that is on its disk
        self.drawn = 1  # incarnations
        self.facts: dict[str, bytes] = {}
        self.rows: dict[str, bytes] = {}
        self.pieces: dict[bytes, bytes] = {}
        self.queue: list[tuple[int, tuple[str, Any]]] = []  # writes that are not on disk yet
        self.part: Replicator | None = None
        self.leases: Leases | None = None
        self.now = 0  # microseconds, of the event that it is told; kept by none
        self.agains: list[RetryLater] = []
        self.out: list[Sent] = []

    def told(self, event: Event) -> None:
        """One event; `out` then holds what it sent: ("say", to, kind, body), ("ask", to, kind, body, ticket),
        ("reply", ticket, answer), ("told", write, done) and ("turned", serves)."""
        self.out = []
        if event[0] == "at":  # a time, and what happens then
            self.now, event = event[1] * SILENCE, event[2]
        getattr(self, f"_{event[0]}")(*event[1:])
        self.now = 0
        self._put_time_aside()

    def _zone(self, address: str) -> str:
        return self.zones.get(address, "")

    # ---- the process and the disk

    def _start(self) -> None:
        assert self.part is None
        first = bootstrap_view(self.addresses, self.copies) if self.founds else None
        if "self" not in self.facts and not first:
            self.drawn += 1
        began = start_state.load_start_state(
            self.address, self.facts.get("self"), self.facts.get("state"), first, lambda: str(self.drawn)
        )
        self.part = Replicator(
            began,
            sorted(self.rows.items()),
            self.copies,
            SILENCE,
            0,
            sorted(self.pieces.items()),
            self._zone(self.address),
            FailureDomains(by_zone=bool(self.zones)),
        )
        if self.with_leases:
            self.leases = Leases(began.self_id, SILENCE, self.now, began.durable.view, 0)
        self._do(self.part.flush())

    def _kill(self, kept: int) -> None:
        """`kept` of the writes that wait had come to the disk, though nobody was told."""
        for _, what in self.queue[:kept]:
            self._apply(*what)
        self.part, self.leases, self.queue, self.agains = None, None, [], []

    def _wipe(self) -> None:
        self._kill(0)
        self.facts, self.rows, self.pieces, self.founds = {}, {}, {}, False

    def _leave(self) -> None:
        assert self.part is not None
        self.part.leave()

    def _go(self) -> None:
        """For good."""
        self._wipe()
        self.gone = True

    def _sync(self) -> None:
        assert self.part is not None
        number, what = self.queue.pop(0)
        self._apply(*what)
        self._do(self.part.written(number))

    def _apply(self, kind: str, data: Any) -> None:
        if kind == "fact":
            self.facts[data[0]] = data[1]
            self.founds = False
        elif kind == "gone":
            for key in data:
                self.rows.pop(key, None)
        elif kind == "stage":
            self.pieces.update(data)
        elif kind == "unstage":
            for name in data:
                self.pieces.pop(name, None)
        else:
            if kind == "whole":
                self.rows, self.pieces = {}, {}
            self.rows.update(data)

    # ---- peers, time and authors

    def _message(self, kind: str, body: Any, ticket: Any) -> None:
        assert self.part is not None
        if kind in ("append", "sync", "offer", "piece"):
            self._do(getattr(self.part, kind)(body, ticket))
        elif kind == "released":
            self.part.released(body[1][0])
        else:
            sender, inner = body
            if kind == "beat":
                return self._heartbeat(sender, *inner)
            if kind == "lease":
                return self._lease(sender, *inner)
            self._do(
                self.part.apply_view_outputs(self.part.view_manager.message(NOW, unpack_replica(sender), kind, inner))
            )

    def _beat(self) -> None:
        """As primary: it asks its backups for a lease."""
        assert self.part is not None
        view = self.part.view()
        assert view is not None
        said = self.part.self_id, (frozen(view.pack()), self.now, self.part.start_number)
        self.out += [("say", backup[0], "beat", said) for backup in view.backups]

    def _heartbeat(self, sender: Replica, view: Any, sent: int, life: int) -> None:
        """As `core` does: it is heard first, and learned from, then answered."""
        assert self.part is not None and self.leases is not None
        self.leases.peer_reported_view(unpack_replica(sender), view[0])
        self._do(
            self.part.apply_view_outputs(
                self.part.view_manager.heartbeat_received(
                    NOW, unpack_replica(sender), self._zone(sender[0]), unpack_view(view)
                )
            )
        )
        number = self.leases.grant(self.part.view(), unpack_replica(sender), self.now)
        if number:
            self.out.append(("say", sender[0], "lease", (self.part.self_id, (number, sent, life, sender[1]))))

    def _lease(self, sender: Replica, number: int, sent: int, life: int, incarnation: str) -> None:
        """It comes on the connection that the question went out on, so it is not of an earlier life."""
        assert self.part is not None and self.leases is not None
        if (life, incarnation) == (self.part.start_number, self.part.self_id[1]):
            self.leases.answered(unpack_replica(sender), number, sent)

    def _pass(self) -> None:
        """Time passes: nothing of it changes a machine."""

    def _answer(self, number: int, answer: Any) -> None:
        """None: it is waited for no longer, or its connection is gone."""
        assert self.part is not None
        self._do(self.part.answered(number, answer))

    def _again(self, place: int) -> None:
        assert self.part is not None
        item = self.agains.pop(place)
        self._do(self.part.retry_sync(item.backup, item.view))

    def _change(self, number: int) -> None:
        assert self.part is not None
        self._do(self.part.change({f"w{number}": number}, Author(number)))

    def _learn(self, view: Any) -> None:
        """By a heartbeat, or by the word that it is decided."""
        assert self.part is not None
        self._do(self.part.apply_view_outputs(self.part.view_manager.learn(unpack_view(view))))

    def _releases(self, leaver: Replica, up: tuple[Replica, ...]) -> None:
        """It hears the word of one that leaves, with these others heard, and does nothing else about it yet."""
        assert self.part is not None
        view_manager = self.part.view_manager
        for peer in up:
            self._do(
                self.part.apply_view_outputs(
                    view_manager.heartbeat_received(NOW, peer, self._zone(peer[0]), None, peer == leaver)
                )
            )
        view_manager._next_attempt_at = NOW + 1
        if view_manager._campaign is not None:
            view_manager._campaign.started_at = view_manager._campaign.last_sent_at = NOW
        self._do(self.part.peer_leaving(NOW, leaver))

    def _wake(self, up: tuple[Replica, ...], again: bool, leaving: tuple[Replica, ...] = ()) -> None:
        """A tick, after such a time that it tries anew, or once more, with these peers heard and no others."""
        assert self.part is not None
        view_manager = self.part.view_manager
        campaign = view_manager._campaign
        if campaign is not None and again:
            campaign.started_at = campaign.last_sent_at = NOW - SILENCE
        view_manager._started_at, view_manager._proposing_since = 0, 1
        for peer in up:
            self._do(
                self.part.apply_view_outputs(
                    view_manager.heartbeat_received(NOW, peer, self._zone(peer[0]), None, peer in leaving)
                )
            )
        self._do(self.part.tick(NOW))

    # ---- what comes out

    def _do(self, items: list[actions.Action]) -> None:
        for item in items:
            match item:
                case Write(number, what):
                    self.queue.append((number, what))
                case SendRequest(number, to, kind, body, _):
                    assert self.part is not None
                    ticket = (self.address, self.part.self_id[1], self.part.start_number, number)
                    self.out.append(("ask", to[0], kind, frozen(body), ticket))
                case SendMessage(to, kind, body):
                    assert self.part is not None
                    self.out.append(("say", to[0], kind, frozen([self.part.self_id, body])))
                case Reply(ticket, answer):
                    self.out.append(("reply", ticket, frozen(answer)))
                case StateReplaced():
                    view = self.part.view() if self.part is not None else None
                    if view is not None and self.leases is not None:
                        self.leases.grant(view, view.primary, self.now)
                case RetryLater():
                    self.agains.append(item)
                case ChangeResult(then, done):
                    assert isinstance(then, Author)
                    self.out.append(("told", then.number, done))
                case ServingChanged(serves):
                    self.out.append(("turned", serves))

    def _put_time_aside(self) -> None:
        part = self.part
        if part is None:
            return
        view_manager = part.view_manager
        own = self._zone(self.address)
        view_manager._last_heartbeat, view_manager._spares, view_manager._zones = (
            {},
            {},
            {part.self_id: own} if own else {},
        )
        view_manager._leaving = set()
        view_manager._started_at, view_manager._next_attempt_at, view_manager._proposing_since = None, 0, 0
        if view_manager._campaign is not None:
            view_manager._campaign.started_at = view_manager._campaign.last_sent_at = 0
        if not view_manager._after_persisted:
            view_manager._last_number = 0  # only their order counts
        if not part._pending_writes:
            part._last_write_number = 0

    # ---- as a value

    def packed(self) -> bytes:
        out, self.out = self.out, []
        data = pickle.dumps(self, 5)
        self.out = out
        return data

    def key(self) -> Any:
        """Equal where machines will do the same for ever."""
        return (
            self.founds,
            self.drawn,
            self.gone,
            frozen(self.facts),
            frozen(self.rows),
            frozen(self.pieces),
            frozen(self.queue),
            frozen(self.agains),
            frozen(self.part),
            frozen(self.leases),
        )


def frozen(item: Any) -> Any:
    """Hashable, and equal for equal contents in whatever order they were put in; objects by all their fields."""
    kind = type(item)
    if kind in PLAIN:
        return item
    if kind in (list, tuple, deque):
        return tuple([frozen(x) for x in item])
    if kind in (set, frozenset):
        return tuple(sorted([frozen(x) for x in item]))
    if kind is dict:
        return tuple(sorted([(frozen(k), frozen(v)) for k, v in item.items()], key=_by_key))
    names = _FIELDS.get(kind)
    if names is None:
        is_dataclass = dataclasses.is_dataclass(item)
        names = tuple(field.name for field in dataclasses.fields(item)) if is_dataclass else tuple(sorted(vars(item)))
        _FIELDS[kind] = names
    return kind.__name__, tuple([frozen(getattr(item, name)) for name in names])


def _by_key(pair: tuple[Any, Any]) -> Any:
    return pair[0]  # of one kind in any one dict here; values need no order


PLAIN = frozenset((int, str, bytes, bool, type(None)))
_FIELDS: dict[type, tuple[str, ...]] = {}


class Facts:
    """What the model asks of a machine in one state."""

    __slots__ = (
        "active",
        "agains",
        "asks",
        "campaigns",
        "complete",
        "durable",
        "gone",
        "kept",
        "leads",
        "leases",
        "leaving",
        "life",
        "may_go",
        "own",
        "queue",
        "released",
        "seat",
        "shown",
        "up",
        "view",
        "void",
        "waiting",
    )

    def __init__(self, machine: Machine) -> None:
        part = machine.part
        self.up = part is not None
        stored = machine.facts.get("self")
        self.seat: Replica | None = (machine.address, cbor2.loads(stored)[0]) if stored else None  # the disk's
        # on disk: the number of the view, of the newest that it is complete in, and of the newest that it refuses
        self.durable = self.complete = self.void = 0
        if stored:
            state = start_state.load_start_state(machine.address, stored, machine.facts.get("state"), None, str).durable
            self.durable, self.complete = state.view.number if state.view else 0, state.complete
            self.void = state.void
        self.kept: dict[int, Version] = {}  # writes on disk
        for data in machine.rows.values():
            version, value = cbor2.loads(data)
            self.kept[value] = (version[0], version[1])
        self.queue = len(machine.queue)
        self.agains = len(machine.agains)
        self.own = part.self_id if part else None
        self.life = part.start_number if part else 0
        view = part.view() if part else None
        self.active = part is not None and part.active and view is not None and view.primary == part.self_id
        self.view = frozen(view.pack()) if view else None
        self.gone = machine.gone
        self.released = part._released_in_view if part else 0
        self.leaving = part is not None and part.view_manager.self_leaving
        self.may_go = part is not None and self.leaving and part.may_leave(NOW)
        self.leases = machine.leases
        self.leads = view if view is not None and part is not None and view.primary == part.self_id else None
        self.asks = tuple(part._requests) if part else ()
        self.campaigns = part is not None and part.view_manager._campaign is not None
        self.waiting = (
            frozenset(p.on_done.number for p in part.replicated_state._pending if isinstance(p.on_done, Author))
            if part
            else frozenset()
        )
        self.shown: dict[int, Version] = {}  # writes in the table
        if part is not None:
            self.shown = {
                value: part.replicated_state.table.version(key)
                for key, value in part.replicated_state.table.items("w")
                for key in ["w" + key]
            }
