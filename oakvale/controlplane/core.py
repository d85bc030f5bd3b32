"""A core machine's part in the control state, as its process runs it: disk, peers, clock, and those who want news.

What is decided is `copying` (copies, and what is in force), over `succession` (who is primary) and `ledger`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from oakvale.base.address import Address, parse_address, spelled
from oakvale.base.loop import Loop
from oakvale.config.settings import Settings
from oakvale.controlplane import replication
from oakvale.controlplane.failure_domains import Domains
from oakvale.controlplane.leases import Leases, PendingCallbacks
from oakvale.controlplane.peers import Peers
from oakvale.controlplane.replicated_state import ReplicatedState, Then
from oakvale.controlplane.replication import Replicator
from oakvale.controlplane.view_change import Out, Seat, View, ViewManager, founding, seat, unpack
from oakvale.dissemination.feed import PULSE, Publisher
from oakvale.dissemination.table import Version
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.storage.store import Storage
from oakvale.transport.links import Answer, Connection, Transport

BEAT = 200_000  # microseconds between two heartbeats of core machines
PEER_TIMEOUT_US = 900_000  # a core machine that was not heard for this counts as down
SICK = 700_000  # a write that waits longer: this disk is not to be relied on
AGAIN = 150_000  # before a backup that failed is sent the state once more
WAIT = 10_000_000  # an author waits so long at most: a large order on a thin link takes as much
SOON = 10_000  # between two looks at those who wait, at least
MOST_LIVES = 64
BRIEF = 1_000_000  # a shorter time without a lease is no new beginning
LEAST, LOOK = 300_000, 50_000  # after it is told to end: for answers that are under way; between two looks
LAST = 1_000_000  # before the end of `grace`: then it goes, whatever it holds

log_event = EventLogger(__name__)


def address_of(peer: Seat) -> Address:
    address = parse_address(peer[0])
    assert address is not None
    return address


class Core:
    def __init__(self, loop: Loop, transport: Transport, settings: Settings, storage: Storage) -> None:
        self.loop, self.transport, self.settings, self.storage = loop, transport, settings, storage
        self.on_serving_change: list[Callable[[bool], None]] = []  # hears when this seat begins or ends to serve
        self._tick_number = 0
        seeds = [f"{ip}:{settings.ports[0]}" for ip, _ in settings.seeds]
        copies = 1 + max(1, settings.tolerate, settings.tolerate_zones, settings.tolerate_regions)
        domains = Domains(settings.zones, settings.tolerate_zones > 0, settings.tolerate_regions > 0)
        founds = settings.bootstrap and storage.first and spelled(transport.own) in seeds
        start = replication.start(
            spelled(transport.own),
            storage.fact("self"),
            storage.fact("state"),
            founding(seeds, copies) if founds else None,
            lambda: loop.net.token(4),
        )
        patience = settings.bounds.sync_time + settings.bounds.contact
        self.replicator = Replicator(
            start, storage.rows(), copies, PEER_TIMEOUT_US, patience, storage.pieces(), settings.zone, domains
        )
        self.self_id: Seat = start.own
        served = storage.fact("served")
        self._leases = Leases(
            start.own, PEER_TIMEOUT_US, loop.clock(), start.durable.view, int(served) if served else 0
        )
        self._waiting = PendingCallbacks(WAIT)
        self._served: int | None = None  # when it was last seen to serve in this view
        self._looks = False  # a look at those who wait is due
        self._latest_incarnation: dict[Seat, int] = {}  # the latest start of each peer that was heard
        self.publisher = Publisher(self.replicated_state.table)
        self.peers = Peers(seeds)
        for kind in ("prepare", "promise", "accept", "accepted", "decided", "refused", "void", "voided"):
            transport.handlers[kind] = self._council(kind)
        transport.handlers["core"] = self._on_heartbeat
        transport.handlers["leaving"] = self._on_leaving
        transport.handlers["released"] = lambda conn, body, answer: self.replicator.released(int(body[1][0]))
        transport.handlers["gone"] = self._on_gone
        transport.handlers["append"] = lambda conn, body, answer: self._do(self.replicator.append(body, answer))
        transport.handlers["sync"] = lambda conn, body, answer: self._do(self.replicator.sync(body, answer))
        transport.handlers["offer"] = lambda conn, body, answer: self._do(self.replicator.offer(body, answer))
        transport.handlers["piece"] = lambda conn, body, answer: self._do(self.replicator.piece(body, answer))
        transport.handlers["subscribe"] = self._subscribe
        transport.handlers["leave"] = lambda conn, body, answer: self.publisher.leave(conn)
        transport.handlers["digests"] = self._digests
        self._do(self.replicator.flush())
        loop.at(loop.now, self._beat)
        loop.at(loop.now + PULSE, self._pulse)

    # ---- what the rest of the process asks

    @property
    def replicated_state(self) -> ReplicatedState:
        return self.replicator.replicated_state

    @property
    def view_manager(self) -> ViewManager:
        return self.replicator.view_manager

    @property
    def active(self) -> bool:
        return self.replicator.active

    def view(self) -> View | None:
        return self.replicator.view()

    def is_witness(self) -> bool:
        """Whether the view that is known here names this seat as a witness."""
        view = self.view()
        return view is not None and self.self_id in view.witnesses

    def primary(self) -> Seat | None:
        """Who serves, as far as known here and lately heard of."""
        view = self.view()
        if view is None or not self.view_manager.alive(view.primary, self.loop.now):
            return None
        return view.primary

    def serving(self) -> bool:
        """Primary, and at this very moment it holds the lease of all backups: what it says counts."""
        view = self.view()
        return (
            self.active
            and view is not None
            and view.primary == self.self_id
            and self._leases.holds(view, self.loop.clock())
        )

    def confirm(self, then: Then, after_pending: bool = False) -> None:
        """Calls `then` with True once all backups of the view have confirmed that they are still in it; with
        `after_pending` also only after all earlier changes are in force."""
        self.change({}, then, after_pending)

    def update_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Other core machines, from a settings file that changed."""
        self.peers.seeds = {f"{ip}:{self.settings.ports[0]}" for ip, _ in seeds}

    def leave(self, then: Callable[[], None]) -> None:
        """This machine is told to end: it says so, serves on while it is missed, and calls `then` as soon as it is not,
        or when `grace` is nearly over."""
        if self.view_manager.leaves:
            return
        self.replicator.leave()
        self._say()
        earliest = self.loop.now + LEAST
        latest = max(earliest, self.loop.now + self.settings.bounds.grace - LAST)
        self.loop.at(earliest, self._check_departure, (latest, then))

    def _check_departure(self, leaving: tuple[int, Callable[[], None]]) -> None:
        now, may = self.loop.now, self.replicator.may_go(self.loop.now)
        if not may and now < leaving[0]:
            self.loop.at(now + LOOK, self._check_departure, leaving)
            return
        number = view.number if (view := self.view()) else 0
        log_event("goes" if may else "goes while it is missed", "info" if may else "warning", view=number)
        self._leases.relinquish()
        for address in self._others():
            self.transport.tell(address, "gone", [*self.self_id, self.replicator.life])
        leaving[1]()

    def change(self, changes: dict[str, Any], then: Then, after_pending: bool = False) -> None:
        """Makes a change; `then` hears True once it is in force and the news of it are on their way, or False as soon
        as the lease is lost, or after `WAIT`: it may still come into force, but nobody hears a yes of it."""
        told = self._waiting.add(then, self.loop.clock())
        self._do(self.replicator.change(changes or {"confirmed": None}, told, after_pending))
        self._look_later()

    def when_settled(self, then: Then) -> None:
        """Calls with True once everything that waits now is in force, else as `change`."""
        self.replicated_state.when_settled(self._waiting.add(then, self.loop.clock()))
        self._look_later()

    # ---- what is decided, done

    def _do(self, items: list[replication.Do]) -> None:
        for item in items:
            match item:
                case replication.Write(number, what):
                    self.storage.write(
                        what,
                        lambda number=number: self._do(  # type: ignore[misc]
                            self.replicator.written(number)
                        ),
                    )
                case replication.Ask(number, to, kind, body, timeout):
                    self.transport.ask(
                        address_of(to),
                        kind,
                        body,
                        timeout,
                        lambda answer, number=number: self._do(  # type: ignore[misc]
                            self.replicator.answered(number, answer)
                        ),
                    )
                case replication.Tell(to, kind, body):
                    self.transport.tell(address_of(to), kind, [list(self.self_id), body])
                case replication.Reply(answer, said):
                    answer(said)
                case replication.Again(backup, view):
                    self.loop.at(
                        self.loop.now + AGAIN,
                        lambda _, backup=backup, view=view: self._do(  # type: ignore[misc]
                            self.replicator.again(backup, view)
                        ),
                    )
                case replication.Told(then, done):
                    then(done)
                case replication.News(entries):
                    self.publisher.publish(self._next_pulse(), entries)
                case replication.Entered(view):
                    self._served = None
                    self._say()  # a primary asks for its lease, one that was replaced tells the other so
                    log_event(
                        "view",
                        view=view.number,
                        primary=view.primary[0],
                        backups=_names(view.backups),
                        witnesses=_names(view.witnesses),
                        own=self.self_id[0],
                    )
                case replication.Turned(serves):
                    self._turned(serves)
                case replication.Resigned():
                    self.publisher.drop()
                case replication.Replaced():
                    self.publisher = Publisher(self.replicated_state.table)
                    current = self.view()
                    if current is not None:  # its primary may have granted a lease just before
                        self._leases.grant(current, current.primary, self.loop.clock())

    def _turned(self, serves: bool) -> None:
        if serves:
            return self._watch()
        for call in self.on_serving_change:
            call(False)

    # ---- the lease

    def _ask_for_lease(self, backup: Seat, kind: str, body: list[Any]) -> None:
        sent = self.loop.clock()

        def answered(answer: Any) -> None:
            if answer:
                self._leases.answered(backup, int(answer), sent)
                self._watch()

        self.transport.ask(address_of(backup), kind, body, PEER_TIMEOUT_US, answered)

    def _watch(self) -> None:
        """Looks whether this seat serves now: who waits is not kept waiting without a lease."""
        now, view = self.loop.clock(), self.view()
        serves = self.serving()
        for then in self._waiting.take_expired(now, not serves):
            then(False)
        if not serves or view is None:
            return
        begins, self._served = self._served is None or now - self._served >= BRIEF, now
        if begins:
            self.storage.write(("fact", ("served", str(view.number).encode())), lambda: None)
            log_event("serving the control state", view=view.number, backups=_names(view.backups))
            for call in self.on_serving_change:
                call(True)

    def _look_later(self) -> None:
        """When the lease runs out as it stands, or the first has waited long enough."""
        view = self.view()
        if not self._looks and self._waiting and view is not None:
            self._looks = True
            due = min(self._leases.expires_at(view), self._waiting.next_deadline())
            self.loop.at(max(self.loop.now + SOON, due), self._look_at_waiting)

    def _look_at_waiting(self, _: Any) -> None:
        self._looks = False
        self._watch()
        self._look_later()

    # ---- views

    def _council(self, kind: str) -> Callable[[Connection, Any, Answer], None]:
        def take(conn: Connection, body: Any, _: Answer) -> None:
            self._carry(self.view_manager.message(self.loop.now, seat(body[0]), kind, body[1]))

        return take

    def _carry(self, out: list[Out]) -> None:
        self._do(self.replicator.carry(out))

    # ---- heartbeats, pulses, those who want news

    def _beat(self, _: Any) -> None:
        self._watch()
        now = self.loop.now
        since = self.storage.waiting_since()
        healthy = since is None or now - since < SICK
        if healthy:  # one whose disk does not answer keeps nothing, so it does not count
            self._say()
        self._do(self.replicator.tick(now, healthy))
        self.loop.at(now + BEAT, self._beat)

    def _say(self) -> None:
        """A heartbeat; one that leaves says so with each."""
        view = self.view()
        body = [
            list(self.self_id),
            self.settings.zone,
            view.pack() if view else None,
            self.peers.lively(self.loop.now),
            self.replicator.life,
        ]
        kind = "leaving" if self.view_manager.leaves else "core"
        backups = {address_of(peer): peer for peer in view.backups} if view and view.primary == self.self_id else {}
        for address in self._others():
            if address in backups:
                self._ask_for_lease(backups[address], kind, body)
            else:
                self.transport.tell(address, kind, body)

    def _others(self) -> list[Address]:
        """Whom it speaks to."""
        now, view = self.loop.now, self.view()
        members = {peer[0] for peer in view.witnesses} if view else set()
        known = self.peers.called(now, members, self.view_manager.in_touch(now)) - {self.self_id[0]}
        return [address for address in map(parse_address, sorted(known)) if address is not None]

    def _on_heartbeat(self, conn: Connection, body: Any, answer: Answer, leaves: bool = False) -> None:
        peer, zone, now = seat(body[0]), str(body[1]), self.loop.clock()
        if int(body[4]) < self._latest_incarnation.get(peer, 0):
            return  # of an earlier life, that was long on its way
        if peer not in self._latest_incarnation and len(self._latest_incarnation) >= MOST_LIVES:
            self._latest_incarnation.clear()  # of seats that are gone, mostly
        self._latest_incarnation[peer] = int(body[4])
        self.peers.heard(now, peer[0], map(str, body[3]))
        view = unpack(body[2]) if body[2] is not None else None
        self._leases.peer_reported_view(peer, view.number if view is not None else 0)
        self._carry(self.view_manager.heard(now, peer, zone, view, leaves))
        answer(self._leases.grant(self.view(), peer, now))
        if leaves:
            self._do(self.replicator.leaving(now, peer))

    def _on_leaving(self, conn: Connection, body: Any, answer: Answer) -> None:
        self._on_heartbeat(conn, body, answer, leaves=True)

    def _on_gone(self, conn: Connection, body: Any, _: Answer) -> None:
        peer = seat(body[:2])
        if int(body[2]) >= self._latest_incarnation.get(
            peer, 0
        ):  # else it was long on its way, and has begun anew since
            self.peers.gone(peer[0])
            self.view_manager.gone(peer)
            self._leases.peer_ended(peer)

    def _next_pulse(self) -> Version:
        """Above those of earlier lives: a primary that starts again in its view would give stale ones for hours."""
        view = self.view()
        self._tick_number += 1
        return (view.number if view else 0, (self.replicator.life << 32) + self._tick_number)

    def _pulse(self, _: Any) -> None:
        self._watch()
        if self.serving():
            self.publisher.publish(self._next_pulse(), [])
        self.loop.at(self.loop.now + PULSE, self._pulse)

    def _digests(self, conn: Connection, body: Any, answer: Answer) -> None:
        """A copy that does not serve may hold what is not in force, or was replaced."""
        if self.serving():
            self.publisher.mend(conn, body, answer)
        else:
            answer(None)

    def _subscribe(self, conn: Connection, body: Any, answer: Answer) -> None:
        """Only the primary gives news; others name it."""
        if self.serving():
            answer({})
            self.publisher.subscribe(conn, (int(body["high"][0]), int(body["high"][1])), self._next_pulse())
            return
        primary = self.primary()
        answer({"primary": primary[0] if primary and primary != self.self_id else None})


def _names(seats: tuple[Seat, ...]) -> str:
    return ",".join(peer[0] for peer in seats)
