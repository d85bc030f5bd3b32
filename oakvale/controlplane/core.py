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
from oakvale.controlplane.failure_domains import FailureDomains
from oakvale.controlplane.leases import Leases, Waiting
from oakvale.controlplane.peers import PeerAddresses
from oakvale.controlplane.replicated_state import Callback, ReplicatedState
from oakvale.controlplane.replication import Replicator
from oakvale.controlplane.view_change import (
    Replica,
    View,
    ViewManager,
    ViewOutput,
    bootstrap_view,
    unpack_replica,
    unpack_view,
)
from oakvale.dissemination.feed import HEARTBEAT_INTERVAL_US, Publisher
from oakvale.dissemination.table import Version
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.storage.store import Storage
from oakvale.transport.links import Answer, Connection, Transport

BEAT = 200_000  # microseconds between two heartbeats of core machines
SILENCE = 900_000  # a core machine that was not heard for this counts as down
SICK = 700_000  # a write that waits longer: this disk is not to be relied on
AGAIN = 150_000  # before a backup that failed is sent the state once more
WAIT = 10_000_000  # an author waits so long at most: a large order on a thin link takes as much
SOON = 10_000  # between two looks at those who wait, at least
MOST_LIVES = 64
BRIEF = 1_000_000  # a shorter time without a lease is no new beginning
LEAST, LOOK = 300_000, 50_000  # after it is told to end: for answers that are under way; between two looks
LAST = 1_000_000  # before the end of `grace`: then it goes, whatever it holds

log_event = EventLogger(__name__)


def address_of(peer: Replica) -> Address:
    address = parse_address(peer[0])
    assert address is not None
    return address


class Core:
    def __init__(self, loop: Loop, transport: Transport, settings: Settings, storage: Storage) -> None:
        self.loop, self.transport, self.settings, self.storage = loop, transport, settings, storage
        self.on_change: list[Callable[[bool], None]] = []  # hears when this seat begins or ends to serve
        self._tick_number = 0
        seeds = [f"{ip}:{settings.ports[0]}" for ip, _ in settings.seeds]
        copies = 1 + max(1, settings.tolerate, settings.tolerate_zones, settings.tolerate_regions)
        domains = FailureDomains(settings.zones, settings.tolerate_zones > 0, settings.tolerate_regions > 0)
        founds = settings.bootstrap and storage.never_used and spelled(transport.self_address) in seeds
        start = replication.load_start_state(
            spelled(transport.self_address),
            storage.fact("self"),
            storage.fact("state"),
            bootstrap_view(seeds, copies) if founds else None,
            lambda: loop.net.token(4),
        )
        patience = settings.bounds.sync_time + settings.bounds.contact
        self.replicator = Replicator(
            start, storage.rows(), copies, SILENCE, patience, storage.chunks(), settings.zone, domains
        )
        self.own: Replica = start.self_id
        served = storage.fact("served")
        self._leases = Leases(start.self_id, SILENCE, loop.clock(), start.durable.view, int(served) if served else 0)
        self._waiting = Waiting(WAIT)
        self._served: int | None = None  # when it was last seen to serve in this view
        self._looks = False  # a look at those who wait is due
        self._lives: dict[Replica, int] = {}  # the latest start of each peer that was heard
        self.outlet = Publisher(self.replicated_state.table)
        self.peers = PeerAddresses(seeds)
        for kind in ("prepare", "promise", "accept", "accepted", "decided", "refused", "void", "voided"):
            transport.handlers[kind] = self._council(kind)
        transport.handlers["core"] = self._heard
        transport.handlers["leaving"] = self._leaving
        transport.handlers["released"] = lambda conn, body, answer: self.replicator.released(int(body[1][0]))
        transport.handlers["gone"] = self._gone
        transport.handlers["append"] = lambda conn, body, answer: self._do(self.replicator.append(body, answer))
        transport.handlers["sync"] = lambda conn, body, answer: self._do(self.replicator.sync(body, answer))
        transport.handlers["offer"] = lambda conn, body, answer: self._do(self.replicator.offer(body, answer))
        transport.handlers["piece"] = lambda conn, body, answer: self._do(self.replicator.piece(body, answer))
        transport.handlers["subscribe"] = self._subscribe
        transport.handlers["leave"] = lambda conn, body, answer: self.outlet.unsubscribe(conn)
        transport.handlers["digests"] = self._digests
        self._do(self.replicator.flush())
        loop.at(loop.now, self._beat)
        loop.at(loop.now + HEARTBEAT_INTERVAL_US, self._pulse)

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
        return view is not None and self.own in view.witnesses

    def primary(self) -> Replica | None:
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
            and view.primary == self.own
            and self._leases.holds(view, self.loop.clock())
        )

    def confirm(self, then: Callback, behind: bool = False) -> None:
        """Calls with True once all backups of the view have said that they are still in it; `behind`: and all that was
        asked for before is in force."""
        self.change({}, then, behind)

    def know(self, seeds: tuple[Address, ...]) -> None:
        """Other core machines, from a settings file that changed."""
        self.peers.seeds = {f"{ip}:{self.settings.ports[0]}" for ip, _ in seeds}

    def leave(self, then: Callable[[], None]) -> None:
        """This machine is told to end: it says so, serves on while it is missed, and calls `then` as soon as it is not,
        or when `grace` is nearly over."""
        if self.view_manager.self_leaving:
            return
        self.replicator.leave()
        self._say()
        earliest = self.loop.now + LEAST
        latest = max(earliest, self.loop.now + self.settings.bounds.grace - LAST)
        self.loop.at(earliest, self._look_whether_missed, (latest, then))

    def _look_whether_missed(self, leaving: tuple[int, Callable[[], None]]) -> None:
        now, may = self.loop.now, self.replicator.may_leave(self.loop.now)
        if not may and now < leaving[0]:
            self.loop.at(now + LOOK, self._look_whether_missed, leaving)
            return
        number = view.number if (view := self.view()) else 0
        log_event("goes" if may else "goes while it is missed", "info" if may else "warning", view=number)
        self._leases.give_up()
        for address in self._others():
            self.transport.tell(address, "gone", [*self.own, self.replicator.start_number])
        leaving[1]()

    def change(self, changes: dict[str, Any], then: Callback, behind: bool = False) -> None:
        """Makes a change; `then` hears True once it is in force and the news of it are on their way, or False as soon
        as the lease is lost, or after `WAIT`: it may still come into force, but nobody hears a yes of it."""
        told = self._waiting.add(then, self.loop.clock())
        self._do(self.replicator.change(changes or {"confirmed": None}, told, behind))
        self._look_later()

    def when_settled(self, then: Callback) -> None:
        """Calls with True once everything that waits now is in force, else as `change`."""
        self.replicated_state.when_settled(self._waiting.add(then, self.loop.clock()))
        self._look_later()

    # ---- what is decided, done

    def _do(self, items: list[replication.Action]) -> None:
        for item in items:
            match item:
                case replication.Write(number, what):
                    self.storage.write(
                        what,
                        lambda number=number: self._do(  # type: ignore[misc]
                            self.replicator.written(number)
                        ),
                    )
                case replication.SendRequest(number, to, kind, body, timeout):
                    self.transport.ask(
                        address_of(to),
                        kind,
                        body,
                        timeout,
                        lambda answer, number=number: self._do(  # type: ignore[misc]
                            self.replicator.answered(number, answer)
                        ),
                    )
                case replication.SendMessage(to, kind, body):
                    self.transport.tell(address_of(to), kind, [list(self.own), body])
                case replication.Reply(answer, said):
                    answer(said)
                case replication.RetryLater(backup, view):
                    self.loop.at(
                        self.loop.now + AGAIN,
                        lambda _, backup=backup, view=view: self._do(  # type: ignore[misc]
                            self.replicator.retry_sync(backup, view)
                        ),
                    )
                case replication.ChangeResult(then, done):
                    then(done)
                case replication.StateUpdates(entries):
                    self.outlet.publish(self._next_pulse(), entries)
                case replication.ViewInstalled(view):
                    self._served = None
                    self._say()  # a primary asks for its lease, one that was replaced tells the other so
                    log_event(
                        "view",
                        view=view.number,
                        primary=view.primary[0],
                        backups=_names(view.backups),
                        witnesses=_names(view.witnesses),
                        own=self.own[0],
                    )
                case replication.ServingChanged(serves):
                    self._turned(serves)
                case replication.SteppedDown():
                    self.outlet.close_all()
                case replication.StateReplaced():
                    self.outlet = Publisher(self.replicated_state.table)
                    current = self.view()
                    if current is not None:  # its primary may have granted a lease just before
                        self._leases.grant(current, current.primary, self.loop.clock())

    def _turned(self, serves: bool) -> None:
        if serves:
            return self._watch()
        for call in self.on_change:
            call(False)

    # ---- the lease

    def _ask_for_lease(self, backup: Replica, kind: str, body: list[Any]) -> None:
        sent = self.loop.clock()

        def answered(answer: Any) -> None:
            if answer:
                self._leases.answered(backup, int(answer), sent)
                self._watch()

        self.transport.ask(address_of(backup), kind, body, SILENCE, answered)

    def _watch(self) -> None:
        """Looks whether this seat serves now: who waits is not kept waiting without a lease."""
        now, view = self.loop.clock(), self.view()
        serves = self.serving()
        for then in self._waiting.over(now, not serves):
            then(False)
        if not serves or view is None:
            return
        begins, self._served = self._served is None or now - self._served >= BRIEF, now
        if begins:
            self.storage.write(("fact", ("served", str(view.number).encode())), lambda: None)
            log_event("serving the control state", view=view.number, backups=_names(view.backups))
            for call in self.on_change:
                call(True)

    def _look_later(self) -> None:
        """When the lease runs out as it stands, or the first has waited long enough."""
        view = self.view()
        if not self._looks and self._waiting and view is not None:
            self._looks = True
            due = min(self._leases.until(view), self._waiting.due())
            self.loop.at(max(self.loop.now + SOON, due), self._look_at_waiting)

    def _look_at_waiting(self, _: Any) -> None:
        self._looks = False
        self._watch()
        self._look_later()

    # ---- views

    def _council(self, kind: str) -> Callable[[Connection, Any, Answer], None]:
        def take(conn: Connection, body: Any, _: Answer) -> None:
            self._carry(self.view_manager.message(self.loop.now, unpack_replica(body[0]), kind, body[1]))

        return take

    def _carry(self, out: list[ViewOutput]) -> None:
        self._do(self.replicator.apply_view_outputs(out))

    # ---- heartbeats, pulses, those who want news

    def _beat(self, _: Any) -> None:
        self._watch()
        now = self.loop.now
        since = self.storage.oldest_pending_since()
        healthy = since is None or now - since < SICK
        if healthy:  # one whose disk does not answer keeps nothing, so it does not count
            self._say()
        self._do(self.replicator.tick(now, healthy))
        self.loop.at(now + BEAT, self._beat)

    def _say(self) -> None:
        """A heartbeat; one that leaves says so with each."""
        view = self.view()
        body = [
            list(self.own),
            self.settings.zone,
            view.pack() if view else None,
            self.peers.advertised(self.loop.now),
            self.replicator.start_number,
        ]
        kind = "leaving" if self.view_manager.self_leaving else "core"
        backups = {address_of(peer): peer for peer in view.backups} if view and view.primary == self.own else {}
        for address in self._others():
            if address in backups:
                self._ask_for_lease(backups[address], kind, body)
            else:
                self.transport.tell(address, kind, body)

    def _others(self) -> list[Address]:
        """Whom it speaks to."""
        now, view = self.loop.now, self.view()
        members = {peer[0] for peer in view.witnesses} if view else set()
        known = self.peers.contact_list(now, members, self.view_manager.majority_reachable(now)) - {self.own[0]}
        return [address for address in map(parse_address, sorted(known)) if address is not None]

    def _heard(self, conn: Connection, body: Any, answer: Answer, leaves: bool = False) -> None:
        peer, zone, now = unpack_replica(body[0]), str(body[1]), self.loop.clock()
        if int(body[4]) < self._lives.get(peer, 0):
            return  # of an earlier life, that was long on its way
        if peer not in self._lives and len(self._lives) >= MOST_LIVES:
            self._lives.clear()  # of seats that are gone, mostly
        self._lives[peer] = int(body[4])
        self.peers.heartbeat_received(now, peer[0], map(str, body[3]))
        view = unpack_view(body[2]) if body[2] is not None else None
        self._leases.speaks(peer, view.number if view is not None else 0)
        self._carry(self.view_manager.heartbeat_received(now, peer, zone, view, leaves))
        answer(self._leases.grant(self.view(), peer, now))
        if leaves:
            self._do(self.replicator.peer_leaving(now, peer))

    def _leaving(self, conn: Connection, body: Any, answer: Answer) -> None:
        self._heard(conn, body, answer, leaves=True)

    def _gone(self, conn: Connection, body: Any, _: Answer) -> None:
        peer = unpack_replica(body[:2])
        if int(body[2]) >= self._lives.get(peer, 0):  # else it was long on its way, and has begun anew since
            self.peers.remove(peer[0])
            self.view_manager.peer_stopped(peer)
            self._leases.ended(peer)

    def _next_pulse(self) -> Version:
        """Above those of earlier lives: a primary that starts again in its view would give stale ones for hours."""
        view = self.view()
        self._tick_number += 1
        return (view.number if view else 0, (self.replicator.start_number << 32) + self._tick_number)

    def _pulse(self, _: Any) -> None:
        self._watch()
        if self.serving():
            self.outlet.publish(self._next_pulse(), [])
        self.loop.at(self.loop.now + HEARTBEAT_INTERVAL_US, self._pulse)

    def _digests(self, conn: Connection, body: Any, answer: Answer) -> None:
        """A copy that does not serve may hold what is not in force, or was replaced."""
        if self.serving():
            self.outlet.send_repair(conn, body, answer)
        else:
            answer(None)

    def _subscribe(self, conn: Connection, body: Any, answer: Answer) -> None:
        """Only the primary gives news; others name it."""
        if self.serving():
            answer({})
            self.outlet.subscribe(conn, (int(body["high"][0]), int(body["high"][1])), self._next_pulse())
            return
        primary = self.primary()
        answer({"primary": primary[0] if primary and primary != self.own else None})


def _names(seats: tuple[Replica, ...]) -> str:
    return ",".join(peer[0] for peer in seats)
