"""The board of a service: what is open at each of its backends, over all gateways, and how fast each works.

No I/O and no clock. A gateway alone sees a small part of what a backend holds; who keeps the board is asked
before each first attempt and names the backend that will likely answer first. It only advises: a gateway sends
to backends that its own news allow, and chooses by itself when nobody answers. What one gateway learns of a
slow, full or failing backend so helps all.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from itertools import chain
from math import exp, sqrt
from operator import itemgetter

from oakvale.dissemination.tree import ring_position
from oakvale.loadbalancing.idle_timeout import Idling

LEARN = 0.15  # weight of the newest sample in moving averages
FADE = 30_000_000  # microseconds after which a third is left of what failures cost: it is tried again
WORSE = 6.0  # a backend that fails everything looks so much slower, and one more
FAR = 1.4  # another zone's: its bytes are paid for; still before one that would have it wait
WARM = 0.7  # where the asker has an idle connection: a new one costs the backend, and a round trip
KEPT = 4  # such connections of one asker to one backend that are remembered
OWN = 0.4  # each gateway leans to backends of its own: fewer connections serve it, and they stay warm
UNKNOWN = 300_000  # microseconds that an answer is reckoned with before one came
WRONG = 0.5  # a gateway that loses more than this of what it sends, and twice what others do, is itself at fault
ASKERS = 4_096  # gateways whose losses are remembered
NEAR = 32  # backends that are kept in the order of each asker
ORDERS = 1_000  # askers whose order is kept
PAUSES = 4  # doublings of the pause of one that fails again and again


@dataclass(slots=True, frozen=True)
class Offer:
    """A backend that may be named."""

    id: str
    zone: str
    slots: float
    warm: int  # microseconds that it stays slow from when it is first seen


@dataclass(slots=True)
class Spot:
    cold_until: int
    speed: float = 1.0  # its latency against the mean of the route's
    bad: float = 0.0  # share of attempts that failed, lately, as it stood at `bad_at`
    bad_at: int = 0
    fails: int = 0
    out_until: int = 0
    open: dict[int, int] = field(default_factory=dict)  # ticket -> when it is over in any case
    free: set[int] = field(default_factory=set)  # tickets that found a free slot: their time is its speed

    def badness(self, now: int) -> float:
        return self.bad * exp((self.bad_at - now) / FADE) if self.bad else 0.0


Place = tuple[float, Offer, Spot]  # how it lies for an asker: 1 or more, the less the better


@lru_cache(32768)
def leaning(asker: str, backend: str) -> float:
    """0 to 1, drawn once for each pair by their names."""
    return ring_position(f"{asker} {backend}") / 2.0**64


class Board:
    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw = draw
        self._spots: dict[str, Spot] = {}
        self._means: dict[str, float] = {}  # route -> microseconds
        self._ticket = 0
        self._offers: Sequence[Offer] | None = None
        self._orders: dict[tuple[str, str], list[Place]] = {}  # by asker and its zone
        self._kept: dict[str, dict[str, list[int]]] = {}  # asker -> backend -> when its idle connections end
        self._least = 1.0  # speed of the fastest, or less
        self.idling = Idling()
        self._losses: dict[str, float] = {}  # asker -> share of its attempts that were lost, lately
        self._lost = 0.0  # their sum

    def pick(
        self,
        offers: Sequence[Offer],
        asker: str,
        zone: str,
        until: int,
        now: int,
        within: frozenset[str] | None = None,
        without: frozenset[str] = frozenset(),
    ) -> tuple[str, int] | None:
        """The backend that will likely answer first, and a ticket that is to be handed back. Few are looked at as a
        rule: those that lie best for the asker first, until not even the fastest, free, would do any more.
        `within`: zones that it may stand in, None for all; `without`: backends not to be named."""
        if offers is not self._offers:
            self._take(offers, now)
        near = self._orders.get((asker, zone))
        if near is None:
            near = self._order(asker, zone)
        fastest, best, found = sqrt(self._least), 0.0, None
        kept = self._kept.get(asker, {})
        for lies, offer, spot in self._warm(kept, near, asker, zone, now) if kept else ():
            if offer.id in without or within is not None and offer.zone not in within:
                continue
            cost = lies * self._cost(offer, spot, now)
            if len(spot.open) < offer.slots and (found is None or cost < best):  # none is worth a wait
                best, found = cost, (offer, spot)
        for lies, offer, spot in chain(near, self._far(asker, zone)):
            if found is not None and lies * fastest >= best:
                break
            if offer.id in without or within is not None and offer.zone not in within:
                continue
            cost = lies * self._cost(offer, spot, now)
            if found is None or cost < best:
                best, found = cost, (offer, spot)
        if found is None:
            return None
        offer, spot = found
        if kept.get(offer.id):
            kept[offer.id].pop()
        self._ticket += 1
        if len(spot.open) < offer.slots:
            spot.free.add(self._ticket)
        spot.open[self._ticket] = until
        return offer.id, self._ticket

    # ---- what a crest asks (oakvale/failover)

    def usual(self) -> int:
        """Microseconds that an answer takes, of the slowest route."""
        return int(max(self._means.values(), default=UNKNOWN))

    def work(self, route: str) -> float:
        """Slot-seconds that a request of a route takes at mean speed."""
        return self._means.get(route, float(self.usual())) / 1_000_000

    def distrust(self, names: Iterable[str], now: int) -> None:
        """Their place failed: those that start anew there go before these, which may be listed and dead."""
        for name in names:
            if name in self._spots:
                self._spots[name].bad, self._spots[name].bad_at = 0.5, now

    def held(self, offers: Iterable[Offer]) -> dict[str, tuple[int, float]]:
        """Zone -> open attempts and slots."""
        found: dict[str, tuple[int, float]] = {}
        for offer in offers:
            spot, (out, slots) = self._spots.get(offer.id), found.get(offer.zone, (0, 0.0))
            found[offer.zone] = (out + (len(spot.open) if spot else 0), slots + offer.slots)
        return found

    def capacity(self, offers: Iterable[Offer]) -> dict[str, float]:
        """Zone -> slots of mean speed, as answers were measured."""
        found: dict[str, float] = {}
        for offer in offers:
            spot = self._spots.get(offer.id)
            found[offer.zone] = found.get(offer.zone, 0.0) + offer.slots / max(spot.speed if spot else 1.0, 0.1)
        return found

    def _take(self, offers: Sequence[Offer], now: int) -> None:
        """Others are on offer."""
        self._offers = offers
        self._spots = {offer.id: self._spots.get(offer.id) or Spot(now + offer.warm) for offer in offers}
        self._orders.clear()
        self._least = min((spot.speed for spot in self._spots.values()), default=1.0)

    def _warm(self, kept: dict[str, list[int]], near: list[Place], asker: str, zone: str, now: int) -> list[Place]:
        """Those to which the asker has an idle connection."""
        for name in [name for name, until in kept.items() if not until or until[-1] <= now or name not in self._spots]:
            del kept[name]
        found = [place for place in near if place[1].id in kept]
        if len(found) < len(kept):
            found = [place for place in self._lying(asker, zone) if place[1].id in kept]
        return [(WARM * lies, offer, spot) for lies, offer, spot in found]

    def _lying(self, asker: str, zone: str) -> list[Place]:
        made = [
            ((1 + OWN * leaning(asker, offer.id)) * (FAR if offer.zone != zone else 1.0), offer, self._spots[offer.id])
            for offer in self._offers or ()
        ]
        made.sort(key=itemgetter(0))
        return made

    def _order(self, asker: str, zone: str) -> list[Place]:
        if len(self._orders) >= ORDERS:
            self._orders.clear()
        made = self._orders[asker, zone] = self._lying(asker, zone)[:NEAR]
        return made

    def _far(self, asker: str, zone: str) -> Iterator[Place]:
        """Those behind the near ones; worked out only where none of these will do."""
        if len(self._spots) > NEAR:
            yield from self._lying(asker, zone)[NEAR:]

    def _cost(self, offer: Offer, spot: Spot, now: int) -> float:
        if spot.open and min(spot.open.values()) <= now:
            for ticket in [t for t, until in spot.open.items() if until <= now]:
                del spot.open[ticket]
                spot.free.discard(ticket)
        waits = max(0.0, len(spot.open) + 1 - offer.slots) / max(offer.slots, 1.0)
        # a free slot is what counts; among free ones the faster goes first, but not at any price
        cost = sqrt(spot.speed) * (1 + 2 * waits) * (1 + WORSE * spot.badness(now))
        cost *= 2.0 if now < spot.cold_until else 1.0
        cost += 100.0 if now < spot.out_until else 0.0  # only where all others are out too
        return cost * (1 + 0.02 * self._draw())

    def done(
        self,
        name: str,
        ticket: int,
        route: str,
        latency: int,
        outcome: str,
        now: int,
        dropped: int = 0,
        asker: str = "",
        kept: int = 0,
    ) -> None:
        """How an attempt ended: `served`, `error` (its own failure), `full`, `lost`, or `none` (never made).
        `dropped`: it was lost as a connection that had been idle for so many microseconds was written to; `kept`: its
        connection stays with the asker for so many."""
        if kept:
            if len(self._kept) >= ASKERS:
                self._kept.clear()
            ends = self._kept.setdefault(asker, {}).setdefault(name, [])
            ends.append(now + kept)
            del ends[:-KEPT]
        believed = outcome == "none" or self._believes(asker, outcome == "lost")
        spot = self._spots.get(name)
        if spot is None:
            return
        spot.open.pop(ticket, None)
        alone = ticket in spot.free
        spot.free.discard(ticket)
        if dropped and alone:  # a full backend may reset what it is sent, too
            self.idling.dropped(dropped, now)
        if outcome == "none" or outcome == "lost" and not believed:
            return
        failed = outcome in ("lost", "full", "error")
        if outcome != "full":
            was = spot.badness(now)
            spot.bad, spot.bad_at = was + LEARN * (failed - was), now
        if outcome == "served":
            spot.fails = max(0, spot.fails - 1)
            if alone:
                mean = self._means.get(route, float(latency))
                self._means[route] = mean + LEARN / 3 * (latency - mean)
                spot.speed += LEARN * (min(latency / max(mean, 1.0), 4.0) - spot.speed)
                self._least = min(self._least, spot.speed)
        elif outcome in ("lost", "full"):
            mean = max(self._means.values(), default=0.0) or 100_000.0
            spot.fails = min(spot.fails + 1, PAUSES)
            spot.out_until = now + int(mean * 2 ** (spot.fails - 3))

    def _believes(self, asker: str, lost: bool) -> bool:
        """Whether what an asker lost tells of backends: one whose own link is bad loses at all of them, and would
        have the others sent away from each in turn."""
        if len(self._losses) >= ASKERS:
            self._losses.clear()
            self._lost = 0.0
        was = self._losses.get(asker, 0.0)
        own = self._losses[asker] = was + LEARN * (lost - was)
        self._lost += own - was
        others = (self._lost - own) / max(1, len(self._losses) - 1)
        return own < WRONG or len(self._losses) < 2 or others > own / 2
