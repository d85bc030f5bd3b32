"""The clients of a zone: requests come whether or not earlier ones were answered, each with a deadline."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from oakvale.base.loop import Loop
from oakvale.lab.models.client_requests import ClientRequest
from oakvale.lab.models.platform import Edge, Platform
from oakvale.lab.models.senders import Senders
from oakvale.lab.record import Record

SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Flow:
    """Requests of one route from one zone."""

    route: str
    per_s: float
    safe: bool
    deadline: int
    public: bool
    body: int = 0  # bytes on average


@dataclass(slots=True)
class Swell:
    """More requests than usual for a while: of all, or of one tenant."""

    at: int
    until: int
    x: float
    tenant: str = ""


@dataclass(slots=True)
class GiveUp:
    """Clients that leave early for a while: a share of them, each within a time of its request."""

    at: int
    until: int
    share: float
    within: int


class Crowd:
    """The clients of a zone."""

    def __init__(
        self,
        loop: Loop,
        record: Record,
        rng: Random,
        zone: str,
        clients: int,
        platform: Platform,
        flows: Iterable[Flow],
        place: Callable[[str], tuple[str, str]],
        tenants: dict[str, float],
        key: Callable[[str, int, Random], str | None],
        eager: float,
        swells: list[Swell],
        give_ups: list[GiveUp],
    ) -> None:
        """`place`: host and prefix of a route. `tenants`: their weights. `key`: one that a tenant's client has at a
        time. `eager`: the share of clients that come again too often."""
        self.loop, self.rng, self._zone, self._platform = loop, rng, zone, platform
        self._flows, self._place, self._key, self._swells, self._give_ups = list(flows), place, key, swells, give_ups
        self._clients = [f"{zone}-{n}" for n in range(clients)]
        self._keeps = {name for name in self._clients if rng.random() < 0.5}
        self._eager = {name for name in self._clients if rng.random() < eager}
        self._tenants, self._weights = list(tenants), list(tenants.values())
        self._until = 0
        self.senders = Senders(loop, record, rng, self._lead, zone)

    def begin(self, at: int, until: int) -> None:
        self._until = until
        for flow in self._flows:
            self.loop.at(at + self._gap(flow, at), self._come, flow)

    def _lead(self, ask: ClientRequest) -> Edge:
        return self._platform.lead(ask.zone, ask.client, len(ask.tries), set(ask.gateways))

    def _gap(self, flow: Flow, now: int) -> int:
        """Poisson arrivals: the time to the next one of a flow. A tenant's swell adds its own share."""
        rate = flow.per_s
        for swell in self._swells:
            if swell.at <= now < swell.until:
                share = self._share(swell.tenant) if not flow.public else 0
                rate += flow.per_s * (swell.x - 1) * (share if swell.tenant else 1)
        return round(self.rng.expovariate(rate) * SECOND)

    def _share(self, tenant: str) -> float:
        return self._weights[self._tenants.index(tenant)] / sum(self._weights) if tenant in self._tenants else 0

    def _come(self, flow: Flow) -> None:
        now = self.loop.now
        if now >= self._until:
            return
        self.loop.at(now + self._gap(flow, now), self._come, flow)
        client = self.rng.choice(self._clients)
        tenant = None if flow.public or not self._tenants else self._tenant(now)
        host, prefix = self._place(flow.route)
        body = b"" if flow.safe else self.rng.randbytes(max(1, round(self.rng.expovariate(1 / max(1, flow.body)))))
        ask = ClientRequest(
            flow.route,
            host,
            f"{prefix}{self.rng.getrandbits(24):x}?q={self.rng.getrandbits(8)}",
            "GET" if flow.safe else "POST",
            body,
            self._key(tenant, now, self.rng) if tenant else None,
            tenant,
            flow.safe,
            client,
            self._zone,
            now,
            now + flow.deadline,
            client in self._eager,
        )
        ask.leaves = self._leaves(now)
        self.senders.send(ask, client in self._keeps)

    def _leaves(self, now: int) -> int:
        """When the client of a request that comes now leaves; 0 for not before its deadline."""
        for give_up in self._give_ups:
            if give_up.at <= now < give_up.until and self.rng.random() < give_up.share:
                return now + 1 + self.rng.randrange(give_up.within)
        return 0

    def _tenant(self, now: int) -> str:
        weights = list(self._weights)
        for swell in self._swells:
            if swell.tenant and swell.at <= now < swell.until:
                weights[self._tenants.index(swell.tenant)] *= swell.x
        return self.rng.choices(self._tenants, weights)[0]
