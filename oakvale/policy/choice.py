"""Choice of backend: the one that is likely to answer first, of those that may take the request."""

from oakvale.interface import Effect, State
from oakvale.policy.limits import Limits
from oakvale.policy.records import BATCH, EASE, SECOND, Backend, Desk, Held


class Choice:
    def __init__(self, desk: Desk, limits: Limits) -> None:
        self.desk, self.limits, self.health = desk, limits, limits.health
        self.sent_units, self.sent_rate = 0.0, 0.0  # since the last tick; a second's, lately

    def tick(self) -> None:
        took = BATCH if self.desk.now > self.desk.gap else self.desk.stood
        self.sent_rate += EASE * (self.sent_units * SECOND / took - self.sent_rate)
        self.sent_units = 0.0

    def cold_room(self, b: Backend, units: float, warm: float) -> bool:
        """A cold backend gets this gateway's mean flow to a warm one, times its warmth; bursts stay small."""
        desk = self.desk
        n = sum(1 for x in desk.backends.values() if x.entry.state is State.READY)
        rate = self.sent_rate / max(1, n) * warm
        b.tokens += rate * (desk.now - (b.tokens_at or desk.now)) / SECOND
        b.tokens = min(max(rate * desk.s.fall_span / SECOND / 2, 0.5 * desk.s.largest), b.tokens)
        b.tokens_at = desk.now
        return b.tokens >= units

    def choose(self, held: Held) -> Backend | None:
        desk, health, s = self.desk, self.health, self.desk.s
        ready = [b for b in desk.backends.values() if b.entry.state is State.READY and self.in_group(held, b)]
        up = [b for b in ready if b.out_until <= desk.now and not health.stalled(b)]
        up = up if 2 * len(up) >= len(ready) else ready  # many ejected: distrust ejection
        if held.req.preferred_backend and not held.hops and (
                told := desk.backends.get(held.req.preferred_backend)) in up:
            return told  # by who sees all gateways' attempts
        if sum(len(b.inflight) for b in up) >= max(self.limits.room.size, sum(b.limit.size for b in up)):
            return None  # limits under one hold for all together; what is stuck at others takes no room
        best, best_cost = None, 0.0
        for b in [b for b in up if b.entry.backend not in held.tried] or up:
            if len(b.inflight) >= (1 if b.fails else max(1.0, b.limit.size)):
                continue
            age = (desk.now - b.entry.started) / s.ramp if b.entry.started and s.ramp else 1.0
            warm = min(1.0, s.cold_from + (1 - s.cold_from) * max(0.0, age))  # surely no less
            if warm < 1 and not self.cold_room(b, held.req.units, warm):
                continue
            cost = (len(b.inflight) + 1) * health.lat_of(b) / max(b.entry.weight, 1e-3) / warm
            cost *= 1.3 if b.entry.zone != s.zone and s.cross_zone_price > 0 else 1
            cost *= 1 + 0.05 * desk.rng.random()
            if best is None or cost < best_cost:
                best, best_cost = b, cost
        return best

    def in_group(self, held: Held, b: Backend) -> bool:
        """Rule: a keyed request that may have run stays with those that discard its repeats."""
        if held.ran is None or held.cls.effect is not Effect.KEYED or held.cls.group == "all":
            return True
        first = held.ran[0].entry
        return b.entry.zone == first.zone and (held.cls.group == "zone" or b.entry.cell == first.cell)
