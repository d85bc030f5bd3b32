"""Health: what backends are known by, passively, from how attempts ended. Nothing is probed."""

from math import exp

from oakvale.interface import Ended, Ending
from oakvale.policy.records import EASE, NOT_TAKEN, SECOND, Backend, Desk

BEST_AFTER = 20  # answers until their mean latency counts: the first to answer are the short ones


class Health:
    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.lat = self.mean = 0.0  # latency of a unit in the fleet, lately and over more answers
        self.base, self.heard = 0.0, 0  # the least that this mean was, slowly forgotten; answers in it

    def lat_of(self, b: Backend) -> float:
        """Latency of a unit; what was seen long ago fades, so that a slow one is tried again."""
        known = exp((b.lat_at - self.desk.now) / (7 * SECOND)) if b.lat else 0.0
        return (self.lat or 1.0) + (b.lat - self.lat) * known

    def stalled(self, b: Backend) -> bool:
        """It holds work and has answered nothing for longer than that work should take."""
        work, desk = max(b.inflight.values(), default=0.0), self.desk
        return work > 0 and desk.now - max(b.heard, desk.gap) > max(3 * self.lat * work, 0.25 * desk.aim)

    def learn(self, b: Backend, ev: Ended, units: float) -> bool:  # whether it told something of latencies
        per = ev.latency / max(units, 1.0)
        if ev.ending is Ending.SERVED:
            b.heard, b.fails, b.out_until = self.desk.now, max(0, b.fails - 1), b.out_until * (b.fails > 1)
            self.sample(b, per)
            self.lat = self.lat + EASE * (per - self.lat) if self.lat else per
            self.heard = min(self.heard + 1, BEST_AFTER)
            self.mean += (per - self.mean) / self.heard
            if self.heard == BEST_AFTER:
                self.base = min(self.base or self.mean, self.mean)
            return True
        if ev.ending in (*NOT_TAKEN, Ending.RESET) or ev.ending is Ending.ERROR and not ev.over:
            self.eject(b)
        elif ev.ending in (Ending.TIMEOUT, Ending.CANCELLED) and per > b.lat:
            self.sample(b, per)
            return True
        return False

    def sample(self, b: Backend, per: float) -> None:
        """Starts from the fleet's figure: one answer, all that one of many gateways gets, tells little."""
        known = self.lat_of(b) if self.lat else per
        b.lat, b.lat_at = known + 2 * EASE * (per - known), self.desk.now

    def eject(self, b: Backend) -> None:
        """One that fails or errs at once or went silent looks idle and would draw all traffic: it is left
        alone for a 16th of the aim, doubling up to the aim; each answer takes one failure off."""
        if b.out_until <= self.desk.now:
            b.fails = min(b.fails + 1, 5)
            b.out_until = self.desk.now + (self.desk.aim << b.fails >> 5)
