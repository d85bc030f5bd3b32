"""Runs a core machine's share of the replicated control state: connects it to disk, peers, clock and subscribers.

The decisions are made elsewhere without I/O: `replication` copies changes, `view_change` elects the primary and
`replicated_state` holds what is in force. `Core` executes the actions that they return.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from oakvale.base.address import Address, format_address, parse_address
from oakvale.base.loop import Loop
from oakvale.config.settings import Settings
from oakvale.controlplane import actions
from oakvale.controlplane.failure_domains import FailureDomains
from oakvale.controlplane.leases import Leases, PendingCallbacks
from oakvale.controlplane.peers import PeerAddresses
from oakvale.controlplane.replicated_state import Callback, ReplicatedState
from oakvale.controlplane.replication import Replicator
from oakvale.controlplane.start_state import load_start_state
from oakvale.controlplane.view_change import ViewManager, ViewOutput
from oakvale.controlplane.views import Replica, View, bootstrap_view, unpack_replica, unpack_view
from oakvale.dissemination.feed import HEARTBEAT_INTERVAL_US, READS_COMPRESSED
from oakvale.dissemination.freshness import Stamp
from oakvale.dissemination.publisher import Publisher
from oakvale.dissemination.table import Entry, Version, gateway_entries
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.storage.store import Storage
from oakvale.transport.links import Answer, Connection, Transport

PEER_HEARTBEAT_INTERVAL_US = 200_000  # between core machines
PEER_TIMEOUT_US = 900_000  # a core machine that sent nothing for this long counts as down
DISK_STALL_US = 700_000  # a write pending for longer marks this machine as unhealthy
RESYNC_DELAY_US = 150_000  # before a failed backup is sent the state again
CHANGE_TIMEOUT_US = 10_000_000  # a large change over a slow link takes several seconds
MIN_PENDING_CHECK_INTERVAL_US = 10_000
MAX_TRACKED_PEERS = 64
SHORT_LEASE_GAP_US = 1_000_000  # a shorter gap does not count as a new term of serving
MIN_SHUTDOWN_US = 300_000  # lets answers that are under way reach their callers
SHUTDOWN_CHECK_INTERVAL_US = 50_000
SHUTDOWN_RESERVE_US = 1_000_000  # ends this long before `grace` is over, whatever its role

log_event = EventLogger(__name__)


def address_of(peer: Replica) -> Address:
    """The network address of a replica."""
    address = parse_address(peer[0])
    assert address is not None
    return address


class Core:
    """One core machine: its replica of the control state, its lease and its connections to peers and subscribers."""

    def __init__(self, loop: Loop, transport: Transport, settings: Settings, storage: Storage) -> None:
        self.loop, self.transport, self.settings, self.storage = loop, transport, settings, storage
        self.on_serving_change: list[Callable[[bool], None]] = []  # called when this replica starts or stops serving
        # called with entries that came into force, before any caller learns that its change did
        self.on_in_force: list[Callable[[list[Entry]], None]] = []
        self.on_state_replaced: list[Callable[[], None]] = []  # called when the primary's state replaced that held here
        self._pulse_number = 0
        seeds = [f"{ip}:{settings.ports[0]}" for ip, _ in settings.seeds]
        copies = 1 + max(1, settings.tolerate, settings.tolerate_zones, settings.tolerate_regions)
        domains = FailureDomains(settings.zones, settings.tolerate_zones > 0, settings.tolerate_regions > 0)
        bootstraps = settings.bootstrap and storage.never_used and format_address(transport.self_address) in seeds
        start = load_start_state(
            format_address(transport.self_address),
            storage.fact("self"),
            storage.fact("state"),
            bootstrap_view(seeds, copies) if bootstraps else None,
            lambda: loop.net.token(4),
        )
        sync_timeout_us = settings.bounds.sync_time + settings.bounds.contact
        self.replicator = Replicator(
            start, storage.rows(), copies, PEER_TIMEOUT_US, sync_timeout_us, storage.chunks(), settings.zone, domains
        )
        self.self_id: Replica = start.self_id
        served = storage.fact("served")
        self._leases = Leases(
            start.self_id, PEER_TIMEOUT_US, loop.clock(), start.durable.view, int(served) if served else 0
        )
        self._pending_callbacks = PendingCallbacks(CHANGE_TIMEOUT_US)
        self._last_served: int | None = None  # when it was last found serving in this view
        self._pending_check_scheduled = False
        self._latest_incarnation: dict[Replica, int] = {}  # the latest start seen of each peer
        self._latest_stamp: Stamp | None = None
        self.publisher = Publisher(self.replicated_state.table, self._stamp)
        self.peers = PeerAddresses(seeds)
        for kind in ("prepare", "promise", "accept", "accepted", "decided", "refused", "void", "voided"):
            transport.handlers[kind] = self._view_change_handler(kind)
        transport.handlers["core"] = self._on_heartbeat
        transport.handlers["leaving"] = self._on_leaving
        transport.handlers["released"] = lambda conn, body, answer: self.replicator.released(int(body[1][0]))
        transport.handlers["gone"] = self._on_gone
        transport.handlers["append"] = lambda conn, body, answer: self._do(self.replicator.append(body, answer))
        transport.handlers["sync"] = lambda conn, body, answer: self._do(self.replicator.sync(body, answer))
        transport.handlers["offer"] = lambda conn, body, answer: self._do(self.replicator.offer(body, answer))
        transport.handlers["piece"] = lambda conn, body, answer: self._do(self.replicator.piece(body, answer))
        transport.handlers["subscribe"] = self._on_subscribe
        transport.handlers["leave"] = lambda conn, body, answer: self.publisher.unsubscribe(conn)
        transport.handlers["digests"] = self._on_digests
        transport.handlers["stamp"] = self._on_stamp
        self._do(self.replicator.flush())
        loop.at(loop.now, self._send_heartbeats)
        loop.at(loop.now + HEARTBEAT_INTERVAL_US, self._publish_pulse)

    # ---- interface to the rest of the process

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
        """Whether the latest view known here names this replica as a voter."""
        view = self.view()
        return view is not None and self.self_id in view.witnesses

    def primary(self) -> Replica | None:
        """The primary of the latest known view, if it was heard from recently."""
        view = self.view()
        if view is None or not self.view_manager.alive(view.primary, self.loop.now):
            return None
        return view.primary

    def serving(self) -> bool:
        """Whether this replica is the primary and holds leases from all backups now, so that its reads are current."""
        view = self.view()
        return (
            self.active
            and view is not None
            and view.primary == self.self_id
            and self._leases.holds(view, self.loop.clock())
        )

    def confirm(self, on_done: Callback, after_pending: bool = False) -> None:
        """Calls `on_done` with True once all backups of the view have confirmed that they are still in it; with
        `after_pending` also only after all earlier changes are in force."""
        self.change({}, on_done, after_pending)

    def update_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Takes over the core machines named by a changed settings file."""
        self.peers.seeds = {f"{ip}:{self.settings.ports[0]}" for ip, _ in seeds}

    def leave(self, on_done: Callable[[], None]) -> None:
        """Begins an orderly shutdown: announces it, keeps serving until the others can spare this machine, then calls
        `on_done`; at the latest shortly before `grace` is over."""
        if self.view_manager.self_leaving:
            return
        self.replicator.leave()
        self._broadcast_heartbeat()
        earliest = self.loop.now + MIN_SHUTDOWN_US
        latest = max(earliest, self.loop.now + self.settings.bounds.grace - SHUTDOWN_RESERVE_US)
        self.loop.at(earliest, self._check_departure, (latest, on_done))

    def _check_departure(self, deadline_and_callback: tuple[int, Callable[[], None]]) -> None:
        """Stops serving once it may, and answers all pending callers before its connections are closed."""
        now, dispensable = self.loop.now, self.replicator.may_leave(self.loop.now)
        if not dispensable and now < deadline_and_callback[0]:
            self.loop.at(now + SHUTDOWN_CHECK_INTERVAL_US, self._check_departure, deadline_and_callback)
            return
        number = view.number if (view := self.view()) else 0
        log_event(
            "goes" if dispensable else "goes while it is missed", "info" if dispensable else "warning", view=number
        )
        self._leases.relinquish()
        self._serving_changed(False)
        self._check_lease()
        for address in self._peer_addresses():
            self.transport.tell(address, "gone", [*self.self_id, self.replicator.start_number])
        deadline_and_callback[1]()

    def change(self, changes: dict[str, Any], on_done: Callback, after_pending: bool = False) -> None:
        """Proposes a change. Calls `on_done` with True once it is in force and published to subscribers. Calls it with
        False when the lease is lost or after `CHANGE_TIMEOUT_US`; the change may still come into force later."""
        call_once = self._pending_callbacks.add(on_done, self.loop.clock())
        self._do(self.replicator.change(changes or {"confirmed": None}, call_once, after_pending))
        self._schedule_pending_check()

    def when_settled(self, on_done: Callback) -> None:
        """Calls `on_done` with True once everything pending now is in force; with False as `change` does."""
        self.replicated_state.when_settled(self._pending_callbacks.add(on_done, self.loop.clock()))
        self._schedule_pending_check()

    # ---- executing the decisions

    def _do(self, items: list[actions.Action]) -> None:
        for item in items:
            match item:
                case actions.Write(number, what):
                    self.storage.write(
                        what,
                        lambda number=number: self._do(  # type: ignore[misc]
                            self.replicator.written(number)
                        ),
                    )
                case actions.SendRequest(number, to, kind, body, timeout):
                    self.transport.ask(
                        address_of(to),
                        kind,
                        body,
                        timeout,
                        lambda answer, number=number: self._do(  # type: ignore[misc]
                            self.replicator.answered(number, answer)
                        ),
                    )
                case actions.SendMessage(to, kind, body):
                    self.transport.tell(address_of(to), kind, [list(self.self_id), body])
                case actions.Reply(answer, said):
                    answer(said)
                case actions.RetryLater(backup, view):
                    self.loop.at(
                        self.loop.now + RESYNC_DELAY_US,
                        lambda _, backup=backup, view=view: self._do(  # type: ignore[misc]
                            self.replicator.retry_sync(backup, view)
                        ),
                    )
                case actions.ChangeResult(then, done):
                    then(done)
                case actions.StateUpdates(entries):
                    for call in self.on_in_force:
                        call(entries)
                    self._publish(entries)
                case actions.ViewInstalled(view):
                    self._last_served = None
                    self._broadcast_heartbeat()  # asks for the lease, or shows the new view to a replaced primary
                    log_event(
                        "view",
                        view=view.number,
                        primary=view.primary[0],
                        backups=_addresses_of(view.backups),
                        witnesses=_addresses_of(view.witnesses),
                        own=self.self_id[0],
                    )
                case actions.ServingChanged(serves):
                    self._serving_changed(serves)
                case actions.SteppedDown():
                    self.publisher.close_all()
                case actions.StateReplaced():
                    self.publisher = Publisher(self.replicated_state.table, self._stamp)
                    current = self.view()
                    if current is not None:  # the primary that sent this state may have granted a lease just before
                        self._leases.grant(current, current.primary, self.loop.clock())
                    for notify in self.on_state_replaced:
                        notify()

    def _serving_changed(self, serves: bool) -> None:
        if serves:
            return self._check_lease()
        for call in self.on_serving_change:
            call(False)

    # ---- the lease

    def _ask_for_lease(self, backup: Replica, kind: str, body: list[Any]) -> None:
        sent = self.loop.clock()

        def answered(answer: Any) -> None:
            if answer:
                self._leases.answered(backup, int(answer), sent)
                self._check_lease()

        self.transport.ask(address_of(backup), kind, body, PEER_TIMEOUT_US, answered)

    def _check_lease(self) -> None:
        """Checks whether this replica serves now; without a lease all pending callers are answered at once."""
        now, view = self.loop.clock(), self.view()
        serves = self.serving()
        for on_done in self._pending_callbacks.take_expired(now, not serves):
            on_done(False)
        if not serves or view is None:
            return
        starts_term, self._last_served = self._last_served is None or now - self._last_served >= SHORT_LEASE_GAP_US, now
        if starts_term:
            self.storage.write(("fact", ("served", str(view.number).encode())), lambda: None)
            log_event("serving the control state", view=view.number, backups=_addresses_of(view.backups))
            for call in self.on_serving_change:
                call(True)

    def _schedule_pending_check(self) -> None:
        """Schedules a check for when the lease expires or the first pending caller times out."""
        view = self.view()
        if not self._pending_check_scheduled and self._pending_callbacks and view is not None:
            self._pending_check_scheduled = True
            due = min(self._leases.expires_at(view), self._pending_callbacks.next_deadline())
            self.loop.at(max(self.loop.now + MIN_PENDING_CHECK_INTERVAL_US, due), self._check_pending)

    def _check_pending(self, _: Any) -> None:
        self._pending_check_scheduled = False
        self._check_lease()
        self._schedule_pending_check()

    # ---- views

    def _view_change_handler(self, kind: str) -> Callable[[Connection, Any, Answer], None]:
        def handle(conn: Connection, body: Any, _: Answer) -> None:
            self._apply_view_change(self.view_manager.message(self.loop.now, unpack_replica(body[0]), kind, body[1]))

        return handle

    def _apply_view_change(self, outputs: list[ViewOutput]) -> None:
        self._do(self.replicator.apply_view_outputs(outputs))

    # ---- heartbeats, pulses, subscribers

    def _send_heartbeats(self, _: Any) -> None:
        self._check_lease()
        now = self.loop.now
        pending_since = self.storage.oldest_pending_since()
        healthy = pending_since is None or now - pending_since < DISK_STALL_US
        if healthy:  # with a stalled disk this machine can store nothing, so it lets the others count it as down
            self._broadcast_heartbeat()
        self._do(self.replicator.tick(now, healthy))
        self.loop.at(now + PEER_HEARTBEAT_INTERVAL_US, self._send_heartbeats)

    def _broadcast_heartbeat(self) -> None:
        """Sends a heartbeat to all known peers, which also asks backups for a lease and announces a shutdown."""
        view = self.view()
        body = [
            list(self.self_id),
            self.settings.zone,
            view.pack() if view else None,
            self.peers.advertised(self.loop.now),
            self.replicator.start_number,
        ]
        kind = "leaving" if self.view_manager.self_leaving else "core"
        backups = {address_of(peer): peer for peer in view.backups} if view and view.primary == self.self_id else {}
        for address in self._peer_addresses():
            if address in backups:
                self._ask_for_lease(backups[address], kind, body)
            else:
                self.transport.tell(address, kind, body)

    def _peer_addresses(self) -> list[Address]:
        """The other core machines that get heartbeats."""
        now, view = self.loop.now, self.view()
        members = {peer[0] for peer in view.witnesses} if view else set()
        known = self.peers.contact_list(now, members, self.view_manager.majority_reachable(now)) - {self.self_id[0]}
        return [address for address in map(parse_address, sorted(known)) if address is not None]

    def _on_heartbeat(self, conn: Connection, body: Any, answer: Answer, leaves: bool = False) -> None:
        peer, zone, now = unpack_replica(body[0]), str(body[1]), self.loop.clock()
        if int(body[4]) < self._latest_incarnation.get(peer, 0):
            return  # a delayed message of an earlier incarnation
        if peer not in self._latest_incarnation and len(self._latest_incarnation) >= MAX_TRACKED_PEERS:
            self._latest_incarnation.clear()  # mostly replicas that no longer exist
        self._latest_incarnation[peer] = int(body[4])
        self.peers.heartbeat_received(now, peer[0], map(str, body[3]))
        view = unpack_view(body[2]) if body[2] is not None else None
        self._leases.peer_reported_view(peer, view.number if view is not None else 0)
        self._apply_view_change(self.view_manager.heartbeat_received(now, peer, zone, view, leaves))
        answer(self._leases.grant(self.view(), peer, now))
        if leaves:
            self._do(self.replicator.peer_leaving(now, peer))

    def _on_leaving(self, conn: Connection, body: Any, answer: Answer) -> None:
        self._on_heartbeat(conn, body, answer, leaves=True)

    def _on_gone(self, conn: Connection, body: Any, _: Answer) -> None:
        peer = unpack_replica(body[:2])
        if int(body[2]) >= self._latest_incarnation.get(peer, 0):  # otherwise delayed, and the peer has restarted since
            self.peers.remove(peer[0])
            self.view_manager.peer_stopped(peer)
            self._leases.peer_ended(peer)

    def _next_pulse(self) -> Version:
        """A version above all of earlier incarnations: otherwise a primary that restarts within its view would publish
        pulses that subscribers ignore as old."""
        view = self.view()
        self._pulse_number += 1
        return (view.number if view else 0, (self.replicator.start_number << 32) + self._pulse_number)

    def _stamp(self) -> Stamp | None:
        """The stamp of now. Without a lease nothing new can be stated, and the latest one remains."""
        view = self.view()
        if view is not None and self.serving():
            version = self.replicated_state.table.highest_gateway_version
            self._latest_stamp = Stamp((view.number, self.replicator.start_number), self.loop.clock(), version)
        return self._latest_stamp

    def _on_stamp(self, conn: Connection, body: Any, answer: Answer) -> None:
        """Tells a gateway how the clocks relate; only while serving, as the stamp has to be new."""
        stamp = self._stamp() if self.serving() else None
        answer([stamp.pack(), 0] if stamp is not None else None)

    def _publish(self, entries: list[Entry]) -> None:
        """Sends what gateways hold of these entries. Changes that only core machines hold cost gateways nothing."""
        published = gateway_entries(entries)
        if published:
            self.publisher.publish(self._next_pulse(), published)

    def _publish_pulse(self, _: Any) -> None:
        self._check_lease()
        if self.serving():
            self.publisher.publish(self._next_pulse(), [])
        self.loop.at(self.loop.now + HEARTBEAT_INTERVAL_US, self._publish_pulse)

    def _on_digests(self, conn: Connection, body: Any, answer: Answer) -> None:
        """Answers only while serving: another replica may hold changes that are not in force or were replaced."""
        if self.serving():
            self.publisher.send_repair(conn, body, answer)
        else:
            answer(None)

    def _on_subscribe(self, conn: Connection, body: Any, answer: Answer) -> None:
        """Only the primary accepts subscribers; other replicas name the primary."""
        if self.serving():
            answer({})
            highest_version = (int(body["high"][0]), int(body["high"][1]))
            self.publisher.subscribe(conn, highest_version, self._next_pulse(), bool(body.get(READS_COMPRESSED)))
            return
        primary = self.primary()
        answer({"primary": primary[0] if primary and primary != self.self_id else None})


def _addresses_of(replicas: tuple[Replica, ...]) -> str:
    return ",".join(peer[0] for peer in replicas)
