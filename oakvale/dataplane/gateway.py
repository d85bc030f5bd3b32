"""A gateway of the edge role: connects its components and maintains its membership among the other gateways."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from oakvale.base.address import Address, format_address, parse_address
from oakvale.base.loop import Loop
from oakvale.base.net import Sock
from oakvale.config.bounds import limits_from_settings
from oakvale.config.settings import Settings
from oakvale.dataplane.drain_agent import DrainAgent
from oakvale.dataplane.request_router import RequestRouter
from oakvale.dataplane.routes import parse_configuration, update_backends, update_members
from oakvale.dataplane.service_entry import ServiceEntry
from oakvale.dissemination.feed import Feed
from oakvale.dissemination.table import Table
from oakvale.dissemination.tree import Member, Members, heartbeat_senders, heartbeat_targets, update_sources
from oakvale.failover.chains import unpack
from oakvale.lifecycle.acceptor import Acceptor
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.memory.requests import Answer as HttpAnswer
from oakvale.memory.requests import ClientRequest
from oakvale.ratelimit.quotas import Quota, QuotaTerms
from oakvale.ratelimit.service import RateLimiter
from oakvale.retry_budget import RetryLimits
from oakvale.shared import SharedResources
from oakvale.transport.links import Answer, Connection, Transport
from oakvale.wire.clients import IncomingRequest, plain_answer

MAX_CORE_ADDRESSES = 24
JOIN_RETRY_US = 150_000
MEMBERSHIP_CHECK_INTERVAL_US = 3_000_000  # once this gateway is in the member list
HEARTBEAT_INTERVAL_US = 500_000
WATCHERS_PER_GATEWAY = 3
HEARTBEAT_TIMEOUT_US = 2_200_000  # then the gateway is reported to the primary as missing
SWEEP_INTERVAL_US = 1_000_000
MAX_STATE_AGE_US = 2_000_000  # older state does not count as evidence that a location is down

log_event = EventLogger(__name__)


class ReadinessOwner:
    """Owns connections to the `readyz` listener. The gateway's limits apply, and each request is answered at once."""

    def __init__(self, shared: SharedResources, gateway: EdgeGateway) -> None:
        self._gateway = gateway
        self.loop, self.limits, self.log = shared.loop, shared.limits, shared.log
        self.buffers, self.response = shared.buffers, shared.response
        self.bodies, self.answers = shared.bodies, shared.answers
        self.clients = type(shared.clients)(self.limits.client_grace, 16)
        self.tally = type(shared.tally)()
        self.stopping = False

    def waited(self, arrived: int) -> int:
        """How long a request waited before it was read; not measured here."""
        return 0

    def open(self, client: Any, incoming: IncomingRequest, arrived: int) -> HttpAnswer | ClientRequest:
        """Answers a readiness check."""
        if incoming.target != b"/oakvale/readyz":
            return plain_answer(404, "no such call")
        return plain_answer(200, "ready") if self._gateway.ready() else plain_answer(503, "not ready")

    def begin(self, request: ClientRequest) -> None:
        """Never called, as `open` always answers."""
        raise AssertionError("readiness checks are answered in open()")

    def client_gone(self, request: ClientRequest) -> None:
        """Never called, as `open` always answers."""
        raise AssertionError("readiness checks are answered in open()")


class EdgeGateway:
    """All components of one gateway, connected to its listeners and the event loop."""

    def __init__(self, settings: Settings, listeners: Mapping[str, Sock], loop: Loop) -> None:
        self.settings = settings
        limits = limits_from_settings(settings)
        self.loop = loop
        self.incarnation = loop.net.token(6)
        # a machine's control plane process has the first port
        self.transport = Transport(self.loop, (settings.ip, settings.ports[0] + 1))
        self.self_address = format_address(self.transport.self_address)
        self.table = Table()
        self.shared = SharedResources(self.loop, limits)
        # the primary comes first once it is known
        self._core_addresses = [f"{ip}:{settings.ports[0]}" for ip, _ in settings.seeds]
        self._voters: list[str] = []
        bounds_settings = settings.bounds
        terms = QuotaTerms(bounds_settings.quota_win, bounds_settings.quota_excess, bounds_settings.quota_slack)
        self.rate_limiter = RateLimiter(
            self.loop,
            self.transport,
            terms,
            settings.node,
            self.incarnation,
            self.self_address,
            self._current_members,
            lambda: self._voters,
            self._tenant_quota,
        )
        self.router = RequestRouter(
            self.shared,
            self.rate_limiter,
            self.transport,
            settings.node,
            sorted(settings.zones),
            settings.zone,
            RetryLimits(bounds_settings.retry_win, bounds_settings.retry_ratio, bounds_settings.retry_slack),
        )
        self.feed = Feed(
            self.loop,
            self.transport,
            self.table,
            lambda: {"node": settings.node, "life": self.incarnation},
            self._state_sources,
            self._on_state_update,
        )
        if bounds_settings.strict_revoke:
            self.router.revocations_current = lambda: self.feed.is_current(bounds_settings.revoke * 3 // 4)
        self.drain_agent = DrainAgent(
            self.loop,
            self.transport,
            self.router,
            settings.node,
            self.incarnation,
            lambda: parse_address(self._core_addresses[0]) if self._core_addresses else None,
        )
        self._service_entry = ServiceEntry(bounds_settings.apply, bounds_settings.recover)
        self.router.serves = self.rate_limiter.may_stand = self.serves
        self._is_first_update = True
        self._watchers: list[Member] = []  # gateways that monitor this one
        self._watched: list[Member] = []  # gateways that this one monitors
        self._last_heartbeat: dict[str, int] = {}  # "node incarnation" -> when it arrived
        # (service, zone) whose backends stopped sending heartbeats
        self._silent_backends: frozenset[tuple[str, str]] = frozenset()
        self._zones_ever_with_gateway: set[str] = set()
        self._zones_without_gateway: frozenset[str] = frozenset()  # that had one before
        self._sweep_count = 0
        self.router.boards.missing_gateways = self._failure_evidence
        self._next_core_index = 0
        self._joined = self._join_pending = False
        self.transport.handlers["alive"] = self._on_heartbeat
        self.loop.at(self.loop.now, self._check_membership)
        self.loop.at(self.loop.now + HEARTBEAT_INTERVAL_US, self._send_heartbeats)
        self.loop.at(self.loop.now + SWEEP_INTERVAL_US, self._sweep)
        self.client_acceptor = Acceptor(self.router, listeners["http"], self.loop, self.serves)
        self.readiness_acceptor: Acceptor | None = None
        if "readyz" in listeners:
            self.readiness_acceptor = Acceptor(ReadinessOwner(self.shared, self), listeners["readyz"], self.loop)
        self.accepting = self.client_acceptor.task
        self.host = self.router
        self.transport.listen()

    # ---- shutdown and readiness

    def accept_one(self) -> bool:
        """Accepts one waiting client; False if there is none. Raises OSError."""
        return self.client_acceptor.accept_one()

    def ready(self) -> bool:
        """Whether the platform may send clients here."""
        return (
            self.serves()
            and bool(self.router.snapshot.backends)
            and self.router.revocations_current()
            and not self.router.stopping
        )

    def serves(self) -> bool:
        """Whether this gateway handles requests: once after its start, its state was current."""
        if self._service_entry.entered:
            return True
        age_us = self.feed.freshness.age(self.loop.now)
        entered = self._service_entry.check(self.loop.now, self.router.snapshot.generation >= 0, age_us)
        if entered:
            log_event(
                "serves", gen=self.router.snapshot.generation, state_age_ms=-1 if age_us is None else age_us // 1000
            )
        return entered

    def update_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Adds addresses of core machines, which are tried right after the primary.

        At the end of a full list they would be dropped at once, even if every older address is obsolete."""
        addresses = [f"{ip}:{self.settings.ports[0]}" for ip, _ in seeds]
        self._core_addresses = list(dict.fromkeys([*self._core_addresses[:1], *addresses, *self._core_addresses]))[
            :MAX_CORE_ADDRESSES
        ]

    # ---- membership

    def _current_members(self) -> Members:
        return self.router.snapshot.members

    def _tenant_quota(self, tenant: str) -> Quota:
        known = self.router.snapshot.tenants.get(tenant)
        return known.quota if known else Quota()

    def _state_sources(self, failed: dict[str, int]) -> list[str]:
        return update_sources(
            self.router.snapshot.members, self.settings.node, self.settings.zone, self._core_addresses, failed
        )

    def _check_membership(self, _: Any) -> None:
        """Sends join requests until the member list has this gateway, and again if it is removed."""
        member = self.router.snapshot.members.get(self.settings.node)
        listed = member is not None and member.incarnation == self.incarnation
        self.loop.at(
            self.loop.now + (MEMBERSHIP_CHECK_INTERVAL_US if listed else JOIN_RETRY_US), self._check_membership
        )
        if not listed or not self._joined:
            self._send_join()

    def _send_join(self) -> None:
        """Asks the next core machine; if it names another primary, that one is asked at once."""
        address = (
            parse_address(self._core_addresses[self._next_core_index % len(self._core_addresses)])
            if self._core_addresses
            else None
        )
        if address is None or self._join_pending:
            return
        self._next_core_index += 1
        self._join_pending = True
        body = {
            "node": self.settings.node,
            "addr": self.self_address,
            "az": self.settings.zone,
            "life": self.incarnation,
        }

        def answered(answer: Any) -> None:
            self._join_pending = False
            if not isinstance(answer, dict):
                return
            if answer.get("joined"):
                self._joined = True
            elif answer.get("primary") and answer["primary"] != format_address(address):
                self._set_primary(str(answer["primary"]))
                self._send_join()

        self.transport.ask(address, "join", body, 4 * JOIN_RETRY_US, answered)

    def _set_primary(self, primary: str) -> None:
        """Makes this the first core address, which is tried next."""
        self._core_addresses = list(dict.fromkeys([primary, *self._core_addresses]))[:MAX_CORE_ADDRESSES]
        self._next_core_index = 0

    def _send_heartbeats(self, _: Any) -> None:
        """Sends a heartbeat to this gateway's watchers, and reports watched gateways whose heartbeats are missing."""
        now = self.loop.now
        self.loop.at(now + HEARTBEAT_INTERVAL_US, self._send_heartbeats)
        members = self.router.snapshot.members
        member = members.get(self.settings.node)
        if member is None or member.incarnation != self.incarnation:
            self._joined = False
            return
        for member in self._watchers:
            address = parse_address(member.address)
            if address is not None:
                self.transport.tell(address, "alive", [self.settings.node, self.incarnation])
        watched = self._watched
        last_heartbeat = {
            f"{m.node} {m.incarnation}": self._last_heartbeat.get(f"{m.node} {m.incarnation}", now) for m in watched
        }
        self._last_heartbeat = last_heartbeat
        primary = parse_address(self._core_addresses[0]) if self._core_addresses else None
        for member in watched:
            if (
                now - last_heartbeat[f"{member.node} {member.incarnation}"] > HEARTBEAT_TIMEOUT_US
                and primary is not None
            ):
                self.transport.tell(
                    primary, "missing", {"node": member.node, "life": member.incarnation, "watcher": self.settings.node}
                )

    def _on_heartbeat(self, conn: Connection, body: Any, _: Answer) -> None:
        self._last_heartbeat[f"{body[0]} {body[1]}"] = self.loop.now

    # ---- state updates

    def _on_state_update(self, keys: list[str]) -> None:
        snapshot = self.router.snapshot
        if "config" in keys:
            config = self.table.get("config")
            if config is not None and config["gen"] > snapshot.generation:
                snapshot = replace(snapshot, **parse_configuration(bytes(config["text"])))
                log_event("configuration", gen=snapshot.generation)
        if any(key.startswith("backend/") for key in keys):
            snapshot = replace(snapshot, backends=update_backends(self.table, keys, snapshot.backends))
        members_changed = any(key.startswith("gate/") for key in keys)
        if members_changed:
            snapshot = replace(snapshot, members=update_members(self.table, keys, snapshot.members))
        if any(key.startswith("move/") for key in keys):
            avoid = self.drain_agent.apply_moves(self.table.items("move/"), self._is_first_update)
            if avoid != snapshot.avoid:
                snapshot = replace(snapshot, avoid=avoid)
        self._is_first_update = False
        self.router.apply_snapshot(snapshot)
        if "chains" in keys:
            chains = self.table.get("chains")
            self.router.boards.set_chains(unpack(chains) if chains is not None else None)
        if "quiet" in keys:
            self._silent_backends = frozenset(
                (str(service), str(zone)) for service, zone in self.table.get("quiet") or []
            )
        if "core" in keys:
            core = self.table.get("core") or {}
            self._voters = [str(address) for address in core.get("witnesses") or []]
            copies = [str(address) for address in core.get("copies") or []]
            self._core_addresses = list(dict.fromkeys([*copies, *self._voters, *self._core_addresses]))[
                :MAX_CORE_ADDRESSES
            ]
            if not self._joined:
                self._next_core_index, self._join_pending = 0, False  # the machine asked last may be unreachable
                self._send_join()
        if members_changed:
            members = snapshot.members
            zones = {member.zone for member in members.values()}
            self._zones_ever_with_gateway |= zones
            self._zones_without_gateway = frozenset(self._zones_ever_with_gateway - zones)
            self._watchers = heartbeat_targets(members, self.settings.node, WATCHERS_PER_GATEWAY)
            self._watched = heartbeat_senders(members, self.settings.node, WATCHERS_PER_GATEWAY)
            self.rate_limiter.members_changed()
            self.feed.reselect_source()

    def _failure_evidence(self, service: str, zone: str) -> frozenset[str]:
        """Which sources, besides failed attempts, indicate that a location is down; none while the state is stale."""
        evidence = set()
        if (service, zone) in self._silent_backends:
            evidence.add("beats")
        if zone in self._zones_without_gateway:
            evidence.add("members")
        return frozenset(evidence) if evidence and self.feed.is_current(MAX_STATE_AGE_US) else frozenset()

    def _send_flows(self) -> None:
        """Sends the traffic flows to the primary, which computes the failover chains from them."""
        primary = parse_address(self._core_addresses[0]) if self._core_addresses else None
        if primary is not None:
            for flow in self.router.boards.flows():
                self.transport.tell(primary, "flows", flow)

    def _sweep(self, _: Any) -> None:
        self._sweep_count += 1
        if self.router.boards.chains is not None and self._sweep_count % 2 == 0:
            self._send_flows()
        self.shared.idle.close_expired(self.loop.now)
        self.transport.close_idle_links()
        self.loop.at(self.loop.now + SWEEP_INTERVAL_US, self._sweep)
