"""A gateway of the edge role: it joins its parts and keeps its place among the others."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from oakvale.base.address import Address, parse_address, spelled
from oakvale.base.loop import Loop
from oakvale.base.net import Sock
from oakvale.config.bounds import bounds
from oakvale.config.settings import Settings
from oakvale.dataplane.drain_agent import DrainAgent
from oakvale.dataplane.request_router import RequestRouter
from oakvale.dataplane.routes import backends, configured, members
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

CORE = 24  # core machines' addresses that are remembered
JOIN = 150_000  # microseconds between two tries to join
STAY = 3_000_000  # between two looks whether the list still has this gateway
HEARTBEAT = 500_000
WATCHERS = 3
MISSED = 2_200_000  # without a heartbeat for so long, the primary is told
SWEEP = 1_000_000
BLIND = 2_000_000  # without news for so long, what they said of silent places is not gone by

log_event = EventLogger(__name__)


class Readyz:
    """The owner of `readyz` connections: the same bounds, one answer."""

    def __init__(self, shared: SharedResources, sluice: EdgeGateway) -> None:
        self._sluice = sluice
        self.loop, self.limits, self.log = shared.loop, shared.limits, shared.log
        self.buffers, self.bodies, self.response = shared.buffers, shared.bodies, shared.response
        self.clients = type(shared.clients)(self.limits.client_grace, 16)
        self.tally = type(shared.tally)()
        self.stopping = False

    def waited(self, arrived: int) -> int:
        return 0

    def open(self, client: Any, incoming: IncomingRequest, came: int) -> HttpAnswer | ClientRequest:
        if incoming.target != b"/oakvale/readyz":
            return plain_answer(404, "no such call")
        return plain_answer(200, "ready") if self._sluice.ready() else plain_answer(503, "not ready")

    def begin(self, request: ClientRequest) -> None:
        raise AssertionError("answered at once")

    def client_gone(self, request: ClientRequest) -> None:
        raise AssertionError("answered at once")


class EdgeGateway:
    def __init__(self, settings: Settings, listeners: Mapping[str, Sock], loop: Loop) -> None:
        self.settings = settings
        limits = bounds(settings)
        self.loop = loop
        self.life = loop.net.token(6)
        # two roles of a machine share its ports: the headworks takes the first
        self.transport = Transport(self.loop, (settings.ip, settings.ports[0] + 1))
        self.own = spelled(self.transport.self_address)
        self.table = Table()
        self.shared = SharedResources(self.loop, limits)
        self._core = [f"{ip}:{settings.ports[0]}" for ip, _ in settings.seeds]  # the primary first, if known
        self._voters: list[str] = []
        given = settings.bounds
        terms = QuotaTerms(given.quota_win, given.quota_excess, given.quota_slack)
        self.rate_limiter = RateLimiter(
            self.loop,
            self.transport,
            terms,
            settings.node,
            self.life,
            self.own,
            self._members,
            lambda: self._voters,
            self._quota,
        )
        self.router = RequestRouter(
            self.shared,
            self.rate_limiter,
            self.transport,
            settings.node,
            sorted(settings.zones),
            settings.zone,
            RetryLimits(given.retry_win, given.retry_ratio, given.retry_slack),
        )
        self.feed = Feed(
            self.loop,
            self.transport,
            self.table,
            lambda: {"node": settings.node, "life": self.life},
            self._sources,
            self._changed,
        )
        if given.strict_revoke:  # half of it: a pulse may have been on its way through the relays for the rest
            self.router.sure = lambda: self.feed.is_fresh(given.revoke // 2)
        self.drain_agent = DrainAgent(
            self.loop,
            self.transport,
            self.router,
            settings.node,
            self.life,
            lambda: parse_address(self._core[0]) if self._core else None,
        )
        self._born = True  # no news have come yet
        self._watchers: list[Member] = []  # this gateway's, and those that it watches itself
        self._watched: list[Member] = []
        self._heard: dict[str, int] = {}  # node and life -> its last heartbeat here
        self._quiet: frozenset[tuple[str, str]] = frozenset()  # service and zone whose backends the primary misses
        self._gated: set[str] = set()  # zones that ever had a gateway
        self._bare: frozenset[str] = frozenset()  # of these, those that have none now
        self._sweeps = 0
        self.router.boards.missing_gateways = self._missing
        self._turn = 0
        self._joined = self._asking = False
        self.transport.handlers["alive"] = self._alive
        self.loop.at(self.loop.now, self._join)
        self.loop.at(self.loop.now + HEARTBEAT, self._beat)
        self.loop.at(self.loop.now + SWEEP, self._sweep)
        self.plant_acceptor = Acceptor(self.router, listeners["http"], self.loop, lambda: self.router.picture.gen >= 0)
        self.ready_acceptor: Acceptor | None = None
        if "readyz" in listeners:
            self.ready_acceptor = Acceptor(Readyz(self.shared, self), listeners["readyz"], self.loop)
        self.accepting = self.plant_acceptor.task
        self.host = self.router
        self.transport.listen()

    # ---- for the shutdown

    def accept_one(self) -> bool:
        return self.plant_acceptor.accept_one()

    def ready(self) -> bool:
        picture = self.router.picture
        return picture.gen >= 0 and bool(picture.backends) and self.router.sure() and not self.router.stopping

    def know(self, seeds: tuple[Address, ...]) -> None:
        """Other core machines than those that are known, perhaps; tried behind the primary. Behind all that are
        remembered, which may all be gone, they would be forgotten at once."""
        named = [f"{ip}:{self.settings.ports[0]}" for ip, _ in seeds]
        self._core = list(dict.fromkeys([*self._core[:1], *named, *self._core]))[:CORE]

    # ---- the list of gateways

    def _members(self) -> Members:
        return self.router.picture.members

    def _quota(self, tenant: str) -> Quota:
        found = self.router.picture.tenants.get(tenant)
        return found.quota if found else Quota()

    def _sources(self, failed: dict[str, int]) -> list[str]:
        return update_sources(self.router.picture.members, self.settings.node, self.settings.zone, self._core, failed)

    def _join(self, _: Any) -> None:
        """Until the list has this gateway, and again whenever it has not."""
        own = self.router.picture.members.get(self.settings.node)
        here = own is not None and own.incarnation == self.life
        self.loop.at(self.loop.now + (STAY if here else JOIN), self._join)
        if not here or not self._joined:
            self._ask_in()

    def _ask_in(self) -> None:
        """Asks one core machine; at once the next where that one names the primary."""
        address = parse_address(self._core[self._turn % len(self._core)]) if self._core else None
        if address is None or self._asking:
            return
        self._turn += 1
        self._asking = True
        body = {"node": self.settings.node, "addr": self.own, "az": self.settings.zone, "life": self.life}

        def answered(answer: Any) -> None:
            self._asking = False
            if not isinstance(answer, dict):
                return
            if answer.get("joined"):
                self._joined = True
            elif answer.get("primary") and answer["primary"] != spelled(address):
                self._know(str(answer["primary"]))
                self._ask_in()

        self.transport.ask(address, "join", body, 4 * JOIN, answered)

    def _know(self, primary: str) -> None:
        """Put first among the core machines; tried next."""
        self._core = list(dict.fromkeys([primary, *self._core]))[:CORE]
        self._turn = 0

    def _beat(self, _: Any) -> None:
        """To this gateway's watchers; and a look at those that it watches itself."""
        now = self.loop.now
        self.loop.at(now + HEARTBEAT, self._beat)
        everyone = self.router.picture.members
        own = everyone.get(self.settings.node)
        if own is None or own.incarnation != self.life:
            self._joined = False
            return
        for member in self._watchers:
            address = parse_address(member.address)
            if address is not None:
                self.transport.tell(address, "alive", [self.settings.node, self.life])
        seen = self._watched
        heard = {f"{m.node} {m.incarnation}": self._heard.get(f"{m.node} {m.incarnation}", now) for m in seen}
        self._heard = heard
        primary = parse_address(self._core[0]) if self._core else None
        for member in seen:
            if now - heard[f"{member.node} {member.incarnation}"] > MISSED and primary is not None:
                self.transport.tell(
                    primary, "missing", {"node": member.node, "life": member.incarnation, "watcher": self.settings.node}
                )

    def _alive(self, conn: Connection, body: Any, _: Answer) -> None:
        self._heard[f"{body[0]} {body[1]}"] = self.loop.now

    # ---- the news

    def _changed(self, keys: list[str]) -> None:
        picture = self.router.picture
        if "config" in keys:
            held = self.table.get("config")
            if held is not None and held["gen"] > picture.gen:
                picture = replace(picture, **configured(bytes(held["text"])))
                log_event("configuration", gen=picture.gen)
        if any(key.startswith("backend/") for key in keys):
            picture = replace(picture, backends=backends(self.table, keys, picture.backends))
        moved = any(key.startswith("gate/") for key in keys)
        if moved:
            picture = replace(picture, members=members(self.table, keys, picture.members))
        if any(key.startswith("move/") for key in keys):
            avoid = self.drain_agent.take(self.table.items("move/"), self._born)
            if avoid != picture.avoid:
                picture = replace(picture, avoid=avoid)
        self._born = False
        self.router.show(picture)
        if "chains" in keys:
            held = self.table.get("chains")
            self.router.boards.set_chains(unpack(held) if held is not None else None)
        if "quiet" in keys:
            self._quiet = frozenset((str(service), str(zone)) for service, zone in self.table.get("quiet") or [])
        if "core" in keys:
            held = self.table.get("core") or {}
            self._voters = [str(address) for address in held.get("witnesses") or []]
            copies = [str(address) for address in held.get("copies") or []]
            self._core = list(dict.fromkeys([*copies, *self._voters, *self._core]))[:CORE]
            if not self._joined:
                self._turn, self._asking = 0, False  # who was asked last may be dark
                self._ask_in()
        if moved:
            everyone = picture.members
            zones = {member.zone for member in everyone.values()}
            self._gated |= zones
            self._bare = frozenset(self._gated - zones)
            self._watchers = heartbeat_targets(everyone, self.settings.node, WATCHERS)
            self._watched = heartbeat_senders(everyone, self.settings.node, WATCHERS)
            self.rate_limiter.members_changed()
            self.feed.reselect_source()

    def _missing(self, service: str, zone: str) -> frozenset[str]:
        """Who, besides gateways that send there, misses a place."""
        found = set()
        if (service, zone) in self._quiet:
            found.add("beats")
        if zone in self._bare:
            found.add("members")
        return frozenset(found) if found and self.feed.is_fresh(BLIND) else frozenset()

    def _tell_flows(self) -> None:
        """To the primary, which works out the chains."""
        primary = parse_address(self._core[0]) if self._core else None
        if primary is not None:
            for flow in self.router.boards.flows():
                self.transport.tell(primary, "flows", flow)

    def _sweep(self, _: Any) -> None:
        self._sweeps += 1
        if self.router.boards.chains is not None and self._sweeps % 2 == 0:
            self._tell_flows()
        self.shared.idle.close_expired(self.loop.now)
        self.transport.close_idle_links()
        self.loop.at(self.loop.now + SWEEP, self._sweep)
