"""A core machine's part in the control state: views, copies, and changes that both copies sync.

It joins `succession` (who is primary), `ledger` (what is in force), the cistern (disk) and the mains (peers).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import cbor2

from oakvale.base.address import Address, parse_address, spelled
from oakvale.base.loop import Loop
from oakvale.cistern.store import Cistern
from oakvale.headworks.ledger import Ledger, Then
from oakvale.headworks.succession import (
    FOUNDER,
    Durable,
    Keep,
    Out,
    Say,
    Seat,
    Succession,
    View,
    founded,
    founding,
    seat,
    unpack,
    unpack_durable,
)
from oakvale.intake.settings import Settings
from oakvale.lifecycle.daybook import Writer
from oakvale.mains.links import Answer, Conn, Mains
from oakvale.penstock.feed import PULSE, Outlet
from oakvale.penstock.table import NOTHING, Entry, Version, pack
from oakvale.penstock.table import unpack as unpack_entries

BEAT = 200_000  # microseconds between two heartbeats of core machines
SILENCE = 900_000  # a core machine that was not heard for this counts as down
CALL = 1_000_000  # for a backup to sync
SICK = 700_000  # a write that waits longer: this disk is not to be relied on
AGAIN = 150_000  # before a backup that failed is sent the state once more

note = Writer(__name__)


def address_of(peer: Seat) -> Address:
    address = parse_address(peer[0])
    assert address is not None
    return address


class Core:
    def __init__(self, loop: Loop, mains: Mains, settings: Settings, cistern: Cistern) -> None:
        self.loop, self.mains, self.settings, self.cistern = loop, mains, settings, cistern
        self.ledger = Ledger()
        self.outlet = Outlet(self.ledger.table)
        self.active = False
        self._leaving = False
        self.on_change: list[Callable[[bool], None]] = []  # hears when this seat begins or ends to serve
        self._tick_number = 0
        self._held: set[Seat] = set()  # backups that have synced the state in this view
        self._clean: set[Seat] = set()  # backups that hold the state and take changes
        self._sending: set[Seat] = set()
        seeds = [f"{ip}:{settings.ports[0]}" for ip, _ in settings.seeds]
        copies = 1 + max(1, settings.tolerate)
        stored, state = cistern.fact("self"), cistern.fact("state")
        if stored is not None:
            incarnation, life, first = cbor2.loads(stored)
        elif settings.bootstrap and spelled(mains.own) in seeds:
            incarnation, life, first = FOUNDER, 0, founding(seeds, copies).pack()
        else:
            incarnation, life, first = loop.net.token(4), 0, None
        self.own: Seat = (spelled(mains.own), incarnation)
        self._life = life + 1  # each start is another; what an earlier one said may still be on its way
        self._said = 0  # to backups in this life
        self._newest = (0, 0, 0)  # as a backup: view, life and number of the latest that the primary said
        durable = founded(unpack(first), self.own) if first else Durable()
        if state:
            durable = unpack_durable(cbor2.loads(state))
        self.ledger.take([(key, (version[0], version[1]), value) for key, version, value in (
            (key, *cbor2.loads(data)) for key, data in cistern.rows())])
        patience = settings.bounds.sync_time + settings.bounds.contact
        self.succession = Succession(self.own, durable, copies, SILENCE, patience)
        self._known = {*seeds}
        for kind in ("prepare", "promise", "accept", "accepted", "decided", "refused", "void", "voided"):
            mains.handlers[kind] = self._council(kind)
        mains.handlers["core"] = self._heard
        mains.handlers["resigned"] = lambda conn, body, answer: self.succession.gone(seat(body))
        mains.handlers["append"] = self._append
        mains.handlers["sync"] = self._sync
        mains.handlers["subscribe"] = self._subscribe
        mains.handlers["leave"] = lambda conn, body, answer: self.outlet.leave(conn)
        mains.handlers["digests"] = lambda conn, body, answer: self.outlet.mend(conn, body, answer)
        cistern.write(("fact", ("self", cbor2.dumps([incarnation, self._life, first]))), lambda: self._begin(durable))
        self._clear()
        loop.at(loop.now, self._beat)
        loop.at(loop.now + PULSE, self._pulse)

    def _begin(self, durable: Durable) -> None:
        """Who this is lasts: it may act on what it kept."""
        if durable.view is not None:
            self._moved(durable.view)

    # ---- what the rest of the process asks

    def view(self) -> View | None:
        return self.succession.state.view

    def primary(self) -> Seat | None:
        """Who serves, as far as known here and lately heard of."""
        view = self.view()
        if view is None or not self.succession.alive(view.primary, self.loop.now):
            return None
        return view.primary

    def serving(self) -> bool:
        """Primary, and its backups were all heard of lately: what it says counts."""
        view = self.view()
        return (self.active and view is not None and view.primary == self.own
                and all(self.succession.alive(peer, self.loop.now) for peer in view.backups))

    def confirm(self, then: Then) -> None:
        """Calls with True once all backups of the view have said that they are still in it."""
        self.change({}, then)

    def know(self, seeds: tuple[Address, ...]) -> None:
        """Other core machines, from a settings file that changed."""
        self._known |= {f"{ip}:{self.settings.ports[0]}" for ip, _ in seeds}

    def resign(self) -> None:
        """This machine ends: its backup need not wait until it is missed."""
        view = self.view()
        self._leaving = True
        if view is not None and view.primary == self.own:
            for backup in view.backups:
                self.mains.tell(address_of(backup), "resigned", list(self.own))

    def change(self, changes: dict[str, Any], then: Then) -> None:
        """Makes a change; `then` hears True once it is in force and the news of it are on their way."""
        view = self.view()
        if not self.active or view is None or view.primary != self.own:
            return then(False)
        if not changes:
            changes = {"confirmed": None}
        before = self.ledger.last
        entries = self.ledger.propose(changes, {self.own, *view.backups}, then)
        up_to = entries[-1][1]
        self.cistern.write(("rows", _rows(entries)), lambda: self._synced(self.own, up_to))
        for backup in view.backups:
            if backup in self._clean:
                self._replicate(backup, view, before, entries, up_to)

    # ---- copies

    def _replicate(self, backup: Seat, view: View, before: Version, entries: list[Entry], up_to: Version) -> None:
        def answered(answer: Any) -> None:
            if self.view() != view:
                return
            if answer is True:
                self._synced(backup, up_to)
            else:
                self._clean.discard(backup)
                self._send_all(backup, view)

        body = [view.pack(), list(self.own), self._next_order(), list(before), pack(entries)]
        self.mains.ask(address_of(backup), "append", body, CALL, answered)

    def _send_all(self, backup: Seat, view: View) -> None:
        """The whole state, small as it is, until it has arrived: to a new backup, or one that missed something."""
        if backup in self._sending or self.view() != view:
            return
        self._sending.add(backup)
        entries = self.ledger.everything()
        up_to = max((version for _, version, _ in entries), default=NOTHING)
        self._clean.add(backup)  # what is changed from here on follows on the same connection

        def answered(answer: Any) -> None:
            self._sending.discard(backup)
            if self.view() != view:
                return
            if answer is True:
                self._held.add(backup)
                self._synced(backup, up_to)
                self._activate(view)
                if backup not in self._clean:  # a change behind the state did not arrive
                    self._send_all(backup, view)
            else:
                if answer == "void":
                    self.succession.voided_by_backup(view.number)
                self._clean.discard(backup)
                self.loop.at(self.loop.now + AGAIN, lambda _: self._send_all(backup, view))

        body = [view.pack(), list(self.own), self._next_order(), pack(entries)]
        self.mains.ask(address_of(backup), "sync", body, 2 * CALL, answered)

    def _next_order(self) -> list[int]:
        self._said += 1
        return [self._life, self._said]

    def _activate(self, view: View) -> None:
        if self.active or self.view() != view or not set(view.backups) <= self._held:
            return
        self.active = True
        note("serving the control state", view=view.number, backups=_names(view.backups))
        for call in self.on_change:
            call(True)

    def _synced(self, who: Seat, up_to: Version) -> None:
        came = self.ledger.synced(who, up_to)
        if came:
            self.outlet.publish(self._next_pulse(), came)
            self._clear()
        for then in self.ledger.settled():
            then(True)

    def _clear(self) -> None:
        """What the table has forgotten goes from the disk, behind the floor that it was forgotten for."""
        gone, self.ledger.forgotten = self.ledger.forgotten, []
        if gone:
            self.cistern.write(("gone", gone), lambda: None)

    # ---- as a backup

    def _append(self, conn: Conn, body: Any, answer: Answer) -> None:
        view, sender, entries = unpack(body[0]), seat(body[1]), unpack_entries(body[4])
        if not self._in_order(view, sender, body[2]) or self.succession.state.complete != view.number:
            return answer(False)
        if self.ledger.table.high != (int(body[3][0]), int(body[3][1])):
            return answer(False)  # something before it did not arrive: an answer would vouch for that too
        self.ledger.take(entries)
        self.cistern.write(("rows", _rows(entries)), lambda: answer(self._follows(view, sender)))
        self._clear()

    def _sync(self, conn: Conn, body: Any, answer: Answer) -> None:
        view, sender, entries = unpack(body[0]), seat(body[1]), unpack_entries(body[3])
        self._carry(self.succession.learn(view))
        if not self._in_order(view, sender, body[2]):
            return answer(False)
        self._resign()
        self.ledger = Ledger()
        self.ledger.table.put(entries)
        self.outlet = Outlet(self.ledger.table)

        def complete() -> None:
            state = self.succession.state
            if state.void == view.number:
                return answer("void")
            answer(self._follows(view, sender) and state.complete == view.number)

        def stored() -> None:
            self._carry(self.succession.synced(view.number))
            self.cistern.write(("fact", ("last-sync", str(view.number).encode())), complete)

        self.cistern.write(("whole", _rows(entries)), stored)

    def _follows(self, view: View, sender: Seat) -> bool:
        own = self.view()
        return own is not None and own.number == view.number and sender == view.primary and self.own in view.backups

    def _in_order(self, view: View, sender: Seat, order: Any) -> bool:
        """A connection that was given up may deliver late: an older state would undo what this seat vouched for."""
        number = (view.number, int(order[0]), int(order[1]))
        if not self._follows(view, sender) or number <= self._newest:
            return False
        self._newest = number
        return True

    # ---- views

    def _council(self, kind: str) -> Callable[[Conn, Any, Answer], None]:
        def take(conn: Conn, body: Any, _: Answer) -> None:
            self._carry(self.succession.message(self.loop.now, seat(body[0]), kind, body[1]))
        return take

    def _carry(self, out: list[Out]) -> None:
        for item in out:
            if isinstance(item, Keep):
                number = item.number
                self.cistern.write(("fact", ("state", cbor2.dumps(item.state.pack()))),
                                   lambda number=number: self._carry(self.succession.kept(number)))  # type: ignore[misc]
            elif isinstance(item, Say):
                self.mains.tell(address_of(item.to), item.kind, [list(self.own), item.body])
            else:
                self._moved(item.view)

    def _moved(self, view: View) -> None:
        current = self.view()
        if current is not None and current.number > view.number:
            return  # already past it
        was = self.active
        self.active = False
        self._clean, self._sending, self._held = set(), set(), set()
        self._known |= {peer[0] for peer in view.witnesses}
        note("view", view=view.number, primary=view.primary[0], backups=_names(view.backups),
             witnesses=_names(view.witnesses), own=self.own[0])
        if self.succession.is_primary():
            self.ledger.start(view.number)
            self.ledger.owed_by(set(view.backups), self.own)
            for backup in view.backups:
                self._send_all(backup, view)
            self._activate(view)
        else:
            self._resign()
        if was and not self.active:
            for call in self.on_change:
                call(False)

    def _resign(self) -> None:
        for then in self.ledger.abandon():
            then(False)
        self.outlet.drop()

    # ---- heartbeats, pulses, those who want news

    def _beat(self, _: Any) -> None:
        now = self.loop.now
        since = self.cistern.waiting_since()
        healthy = since is None or now - since < SICK
        view = self.view()
        if healthy and not self._leaving:  # one whose disk does not answer keeps nothing, so it does not count
            body = [list(self.own), self.settings.zone, view.pack() if view else None, sorted(self._known)]
            for address in sorted(self._known - {self.own[0]}):
                parsed = parse_address(address)
                if parsed is not None:
                    self.mains.tell(parsed, "core", body)
        self._carry(self.succession.tick(now, healthy))
        self.loop.at(now + BEAT, self._beat)

    def _heard(self, conn: Conn, body: Any, _: Answer) -> None:
        peer, zone = seat(body[0]), str(body[1])
        self._known.add(peer[0])
        if len(self._known) < 32:
            self._known |= {str(address) for address in body[3]}
        view = unpack(body[2]) if body[2] is not None else None
        self._carry(self.succession.heard(self.loop.now, peer, zone, view))

    def _next_pulse(self) -> Version:
        """Above those of earlier lives: a primary that starts again in its view would give stale ones for hours."""
        view = self.view()
        self._tick_number += 1
        return (view.number if view else 0, (self._life << 32) + self._tick_number)

    def _pulse(self, _: Any) -> None:
        if self.serving():
            self.outlet.publish(self._next_pulse(), [])
        self.loop.at(self.loop.now + PULSE, self._pulse)

    def _subscribe(self, conn: Conn, body: Any, answer: Answer) -> None:
        """Only the primary gives news; others name it."""
        if self.serving():
            answer({})
            self.outlet.subscribe(conn, (int(body["high"][0]), int(body["high"][1])), self._next_pulse())
            return
        primary = self.primary()
        answer({"primary": primary[0] if primary and primary != self.own else None})


def _rows(entries: list[Entry]) -> list[tuple[str, bytes]]:
    return [(key, cbor2.dumps([list(version), value])) for key, version, value in entries]


def _names(seats: tuple[Seat, ...]) -> str:
    return ",".join(peer[0] for peer in seats)
