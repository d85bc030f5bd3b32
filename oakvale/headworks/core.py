"""A core machine's part in the control state, as its process runs it: disk, peers, clock, and those who want news.

What is decided is `copying` (copies, and what is in force), over `succession` (who is primary) and `ledger`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from oakvale.base.address import Address, parse_address, spelled
from oakvale.base.loop import Loop
from oakvale.cistern.store import Cistern
from oakvale.headworks import copying
from oakvale.headworks.copying import Copying
from oakvale.headworks.ledger import Ledger, Then
from oakvale.headworks.peers import Peers
from oakvale.headworks.succession import Out, Seat, Succession, View, founding, seat, unpack
from oakvale.intake.settings import Settings
from oakvale.lifecycle.daybook import Writer
from oakvale.mains.links import Answer, Conn, Mains
from oakvale.penstock.feed import PULSE, Outlet
from oakvale.penstock.table import Version

BEAT = 200_000  # microseconds between two heartbeats of core machines
SILENCE = 900_000  # a core machine that was not heard for this counts as down
SICK = 700_000  # a write that waits longer: this disk is not to be relied on
AGAIN = 150_000  # before a backup that failed is sent the state once more
LEAST, LOOK = 300_000, 50_000  # after it is told to end: for answers that are under way; between two looks
LAST = 1_000_000  # before the end of `grace`: then it goes, whatever it holds

note = Writer(__name__)


def address_of(peer: Seat) -> Address:
    address = parse_address(peer[0])
    assert address is not None
    return address


class Core:
    def __init__(self, loop: Loop, mains: Mains, settings: Settings, cistern: Cistern) -> None:
        self.loop, self.mains, self.settings, self.cistern = loop, mains, settings, cistern
        self.on_change: list[Callable[[bool], None]] = []  # hears when this seat begins or ends to serve
        self._tick_number = 0
        seeds = [f"{ip}:{settings.ports[0]}" for ip, _ in settings.seeds]
        copies = 1 + max(1, settings.tolerate)
        founds = settings.bootstrap and cistern.first and spelled(mains.own) in seeds
        start = copying.start(spelled(mains.own), cistern.fact("self"), cistern.fact("state"),
                              founding(seeds, copies) if founds else None, lambda: loop.net.token(4))
        patience = settings.bounds.sync_time + settings.bounds.contact
        self.copying = Copying(start, cistern.rows(), copies, SILENCE, patience, cistern.pieces())
        self.own: Seat = start.own
        self.outlet = Outlet(self.ledger.table)
        self.peers = Peers(seeds)
        for kind in ("prepare", "promise", "accept", "accepted", "decided", "refused", "void", "voided"):
            mains.handlers[kind] = self._council(kind)
        mains.handlers["core"] = self._heard
        mains.handlers["leaving"] = self._leaving
        mains.handlers["released"] = lambda conn, body, answer: self.copying.released(int(body[1][0]))
        mains.handlers["gone"] = self._gone
        mains.handlers["append"] = lambda conn, body, answer: self._do(self.copying.append(body, answer))
        mains.handlers["sync"] = lambda conn, body, answer: self._do(self.copying.sync(body, answer))
        mains.handlers["offer"] = lambda conn, body, answer: self._do(self.copying.offer(body, answer))
        mains.handlers["piece"] = lambda conn, body, answer: self._do(self.copying.piece(body, answer))
        mains.handlers["subscribe"] = self._subscribe
        mains.handlers["leave"] = lambda conn, body, answer: self.outlet.leave(conn)
        mains.handlers["digests"] = lambda conn, body, answer: self.outlet.mend(conn, body, answer)
        self._do(self.copying.flush())
        loop.at(loop.now, self._beat)
        loop.at(loop.now + PULSE, self._pulse)

    # ---- what the rest of the process asks

    @property
    def ledger(self) -> Ledger:
        return self.copying.ledger

    @property
    def succession(self) -> Succession:
        return self.copying.succession

    @property
    def active(self) -> bool:
        return self.copying.active

    def view(self) -> View | None:
        return self.copying.view()

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

    def confirm(self, then: Then, behind: bool = False) -> None:
        """Calls with True once all backups of the view have said that they are still in it; `behind`: and all that was
        asked for before is in force."""
        self.change({}, then, behind)

    def know(self, seeds: tuple[Address, ...]) -> None:
        """Other core machines, from a settings file that changed."""
        self.peers.seeds = {f"{ip}:{self.settings.ports[0]}" for ip, _ in seeds}

    def leave(self, then: Callable[[], None]) -> None:
        """This machine is told to end: it says so, serves on while it is missed, and calls `then` as soon as it is not,
        or when `grace` is nearly over."""
        if self.succession.leaves:
            return
        self.copying.leave()
        self._say()
        earliest = self.loop.now + LEAST
        self.loop.at(earliest, self._look, (max(earliest, self.loop.now + self.settings.bounds.grace - LAST), then))

    def _look(self, leaving: tuple[int, Callable[[], None]]) -> None:
        now, may = self.loop.now, self.copying.may_go(self.loop.now)
        if not may and now < leaving[0]:
            self.loop.at(now + LOOK, self._look, leaving)
            return
        number = view.number if (view := self.view()) else 0
        note("goes" if may else "goes while it is missed", "info" if may else "warning", view=number)
        for address in self._others():
            self.mains.tell(address, "gone", list(self.own))
        leaving[1]()

    def change(self, changes: dict[str, Any], then: Then, behind: bool = False) -> None:
        """Makes a change; `then` hears True once it is in force and the news of it are on their way."""
        self._do(self.copying.change(changes or {"confirmed": None}, then, behind))

    # ---- what is decided, done

    def _do(self, items: list[copying.Do]) -> None:
        for item in items:
            match item:
                case copying.Write(number, what):
                    self.cistern.write(what, lambda number=number: self._do(  # type: ignore[misc]
                        self.copying.written(number)))
                case copying.Ask(number, to, kind, body, timeout):
                    self.mains.ask(address_of(to), kind, body, timeout, lambda answer, number=number: self._do(  # type: ignore[misc]
                        self.copying.answered(number, answer)))
                case copying.Tell(to, kind, body):
                    self.mains.tell(address_of(to), kind, [list(self.own), body])
                case copying.Reply(answer, said):
                    answer(said)
                case copying.Again(backup, view):
                    self.loop.at(self.loop.now + AGAIN, lambda _, backup=backup, view=view: self._do(  # type: ignore[misc]
                        self.copying.again(backup, view)))
                case copying.Told(then, done):
                    then(done)
                case copying.News(entries):
                    self.outlet.publish(self._next_pulse(), entries)
                case copying.Entered(view):
                    note("view", view=view.number, primary=view.primary[0], backups=_names(view.backups),
                         witnesses=_names(view.witnesses), own=self.own[0])
                case copying.Turned(serves):
                    self._turned(serves)
                case copying.Resigned():
                    self.outlet.drop()
                case copying.Replaced():
                    self.outlet = Outlet(self.ledger.table)

    def _turned(self, serves: bool) -> None:
        view = self.view()
        if serves and view is not None:
            note("serving the control state", view=view.number, backups=_names(view.backups))
        for call in self.on_change:
            call(serves)

    # ---- views

    def _council(self, kind: str) -> Callable[[Conn, Any, Answer], None]:
        def take(conn: Conn, body: Any, _: Answer) -> None:
            self._carry(self.succession.message(self.loop.now, seat(body[0]), kind, body[1]))
        return take

    def _carry(self, out: list[Out]) -> None:
        self._do(self.copying.carry(out))

    # ---- heartbeats, pulses, those who want news

    def _beat(self, _: Any) -> None:
        now = self.loop.now
        since = self.cistern.waiting_since()
        healthy = since is None or now - since < SICK
        if healthy:  # one whose disk does not answer keeps nothing, so it does not count
            self._say()
        self._do(self.copying.tick(now, healthy))
        self.loop.at(now + BEAT, self._beat)

    def _say(self) -> None:
        """A heartbeat; one that leaves says so with each."""
        view = self.view()
        body = [list(self.own), self.settings.zone, view.pack() if view else None, self.peers.lively(self.loop.now)]
        kind = "leaving" if self.succession.leaves else "core"
        for address in self._others():
            self.mains.tell(address, kind, body)

    def _others(self) -> list[Address]:
        """Whom it speaks to."""
        now, view = self.loop.now, self.view()
        members = {peer[0] for peer in view.witnesses} if view else set()
        known = self.peers.called(now, members, self.succession.in_touch(now)) - {self.own[0]}
        return [address for address in map(parse_address, sorted(known)) if address is not None]

    def _heard(self, conn: Conn, body: Any, _: Answer) -> None:
        peer, zone = seat(body[0]), str(body[1])
        self.peers.heard(self.loop.now, peer[0], map(str, body[3]))
        view = unpack(body[2]) if body[2] is not None else None
        self._carry(self.succession.heard(self.loop.now, peer, zone, view))

    def _leaving(self, conn: Conn, body: Any, answer: Answer) -> None:
        self._heard(conn, body, answer)
        self._do(self.copying.leaving(self.loop.now, seat(body[0])))

    def _gone(self, conn: Conn, body: Any, _: Answer) -> None:
        peer = seat(body)
        self.peers.gone(peer[0])
        self.succession.gone(peer)

    def _next_pulse(self) -> Version:
        """Above those of earlier lives: a primary that starts again in its view would give stale ones for hours."""
        view = self.view()
        self._tick_number += 1
        return (view.number if view else 0, (self.copying.life << 32) + self._tick_number)

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


def _names(seats: tuple[Seat, ...]) -> str:
    return ",".join(peer[0] for peer in seats)
