"""The board of a service: what is open at each of its backends, over all gateways, and how fast each works.

No I/O and no clock. A gateway alone sees a small part of what a backend holds; who keeps the board is asked
before each first attempt and names the backend that will likely answer first. It only advises: a gateway sends
to backends that its own news allow, and chooses by itself when nobody answers. What one gateway learns of a
slow, full or failing backend so helps all.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import lru_cache
from math import sqrt

from oakvale.penstock.tree import place

LEARN = 0.15  # weight of the newest sample in moving averages
WORSE = 6.0  # a backend that fails everything looks so much slower, and one more
FAR = 1.4  # another zone's: its bytes are paid for; still before one that would have it wait
OWN = 0.4  # each gateway leans to backends of its own: fewer connections serve it, and they stay warm
UNKNOWN = 300_000  # microseconds that an answer is reckoned with before one came
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
    bad: float = 0.0  # share of attempts that failed, lately
    fails: int = 0
    out_until: int = 0
    open: dict[int, int] = field(default_factory=dict)  # ticket -> when it is over in any case
    free: set[int] = field(default_factory=set)  # tickets that found a free slot: their time is its speed


@lru_cache(32768)
def leaning(asker: str, backend: str) -> float:
    """0 to 1, drawn once for each pair by their names."""
    return place(f"{asker} {backend}") / 2.0**64


class Board:
    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw = draw
        self._spots: dict[str, Spot] = {}
        self._means: dict[str, float] = {}  # route -> microseconds
        self._ticket = 0

    def pick(self, offers: Iterable[Offer], asker: str, zone: str, until: int, now: int,
             within: frozenset[str] | None = None) -> tuple[str, int] | None:
        """The backend that will likely answer first, and a ticket that is to be handed back. `within`: zones that it
        may stand in; None for all."""
        offers = list(offers)
        known = {offer.id for offer in offers}
        for name in [name for name in self._spots if name not in known]:
            del self._spots[name]
        best: tuple[float, Offer] | None = None
        for offer in offers:
            if within is not None and offer.zone not in within:
                continue
            spot = self._spots.get(offer.id)
            if spot is None:
                spot = self._spots[offer.id] = Spot(now + offer.warm)
            cost = self._cost(offer, spot, zone, now) * (1 + OWN * leaning(asker, offer.id))
            if best is None or cost < best[0]:
                best = (cost, offer)
        if best is None:
            return None
        offer, spot = best[1], self._spots[best[1].id]
        self._ticket += 1
        if len(spot.open) < offer.slots:
            spot.free.add(self._ticket)
        spot.open[self._ticket] = until
        return offer.id, self._ticket

    # ---- what a crest asks (oakvale/spillway)

    def usual(self) -> int:
        """Microseconds that an answer takes, of the slowest route."""
        return int(max(self._means.values(), default=UNKNOWN))

    def work(self, route: str) -> float:
        """Slot-seconds that a request of a route takes at mean speed."""
        return self._means.get(route, float(self.usual())) / 1_000_000

    def distrust(self, names: Iterable[str]) -> None:
        """Their place failed: those that start anew there go before these, which may be listed and dead."""
        for name in names:
            if name in self._spots:
                self._spots[name].bad = 0.5

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

    def _cost(self, offer: Offer, spot: Spot, zone: str, now: int) -> float:
        if spot.open and min(spot.open.values()) <= now:
            for ticket in [t for t, until in spot.open.items() if until <= now]:
                del spot.open[ticket]
                spot.free.discard(ticket)
        waits = max(0.0, len(spot.open) + 1 - offer.slots) / max(offer.slots, 1.0)
        # a free slot is what counts; among free ones the faster goes first, but not at any price
        cost = sqrt(spot.speed) * (1 + 2 * waits) * (1 + WORSE * spot.bad) * (FAR if offer.zone != zone else 1.0)
        cost *= 2.0 if now < spot.cold_until else 1.0
        cost += 100.0 if now < spot.out_until else 0.0  # only where all others are out too
        return cost * (1 + 0.02 * self._draw())

    def done(self, name: str, ticket: int, route: str, latency: int, outcome: str, now: int) -> None:
        """How an attempt ended: `served`, `error` (its own failure), `full`, `lost`, or `none` (never made)."""
        spot = self._spots.get(name)
        if spot is None:
            return
        spot.open.pop(ticket, None)
        alone = ticket in spot.free
        spot.free.discard(ticket)
        if outcome == "none":
            return
        failed = outcome in ("lost", "full", "error")
        if outcome != "full":
            spot.bad += LEARN * (failed - spot.bad)
        if outcome == "served":
            spot.fails = max(0, spot.fails - 1)
            if alone:
                mean = self._means.get(route, float(latency))
                self._means[route] = mean + LEARN / 3 * (latency - mean)
                spot.speed += LEARN * (min(latency / max(mean, 1.0), 4.0) - spot.speed)
        elif outcome in ("lost", "full"):
            mean = max(self._means.values(), default=0.0) or 100_000.0
            spot.fails = min(spot.fails + 1, PAUSES)
            spot.out_until = now + int(mean * 2 ** (spot.fails - 3))
