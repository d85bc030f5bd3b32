"""Random events for the policy over random settings, reproducible by seed.

Attempts end, counter calls are answered and timers fall due after each action that asked for them. In between,
requests arrive, clients leave, the backend list changes and the clock jumps.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Iterator
from typing import Protocol

from oakvale import interface as i

MS = 1_000
SECOND = 1_000_000
ENDINGS = (
    i.Ending.SERVED,
    i.Ending.ERROR,
    i.Ending.FULL,
    i.Ending.TIMEOUT,
    i.Ending.NO_CONNECTION,
    i.Ending.RESET,
    i.Ending.MOOT,
)


class Policy(Protocol):
    def handle(self, now: int, event: i.Event) -> list[i.Action]: ...
    def update_settings(self, settings: i.Settings) -> None: ...


def classes(rng: random.Random) -> tuple[i.RequestClass, ...]:
    return tuple(
        i.RequestClass(
            aim=rng.choice((300 * MS, SECOND, 1500 * MS)),
            deadline=rng.choice((2, 4, 5)) * SECOND,
            effect=rng.choice(tuple(i.Effect)),
            group=rng.choice(("all", "zone", "cell")),
            memory=rng.choice((0, 500 * MS, 60 * SECOND)),
            tries=rng.choice((0, 0, 1, 3)),
        )
        for _ in range(rng.randint(1, 3))
    )


def plan(rng: random.Random) -> i.Plan:
    quota = rng.random() < 0.8
    return i.Plan(
        rate=rng.choice((0.5, 4.0, 20.0)) if quota else 0.0,
        burst=rng.choice((2.0, 8.0, 60.0)),
        open=rng.choice((0, 0, 3, 10)),
        price=rng.choice((0.2, 1.0, 2.5)),
        over_worth=rng.choice((0.0, 0.3)),
        over_cost=rng.choice((0.0, 0.0, 1.0)),
        ceiling_rate=rng.choice((0.0, 0.0, 10.0)),
        ceiling_burst=rng.choice((5.0, 30.0)),
    )


def settings(rng: random.Random) -> i.Settings:
    return i.Settings(
        classes=classes(rng),
        plans=tuple(plan(rng) for _ in range(rng.randint(1, 3))),
        fleet=rng.choice((1, 2, 8, 60)),
        on_request=rng.random() < 0.2,
        max_attempts=rng.randint(1, 4),
        max_retry_after=rng.choice((0, 200 * MS, SECOND)),
        retry_after=rng.random() < 0.8,
        may_cancel=rng.random() < 0.7,
        may_count=rng.random() < 0.75,
        counter_timeout=rng.choice((20 * MS, 50 * MS)),
        largest=rng.choice((1.0, 4.0)),
        post_paid=rng.random() < 0.3,
        late_earns=rng.random() < 0.3,
        cross_zone_price=rng.choice((0.0, 1.0)),
        cold_from=rng.choice((0.1, 0.5, 1.0)),
        ramp=rng.choice((0, 5 * SECOND, 30 * SECOND)),
        fall_span=rng.choice((500 * MS, SECOND)),
    )


class RandomEvents:
    """Events of one gateway. `trouble` is the share of attempts that fail, `counter_trouble` that of counter calls."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.settings = settings(self.rng)
        self.now = self.rng.randrange(10**9, 10**10)
        self.trouble, self.counter_trouble = self.rng.choice((0.0, 0.1, 0.5)), self.rng.choice((0.0, 0.0, 0.3))
        self.pause = self.rng.choice((5 * MS, 30 * MS, 200 * MS))  # between two requests
        self.latency = self.rng.choice((20 * MS, 150 * MS))
        self.levels: dict[str, float] = {}
        self.hops: Counter[str] = Counter()
        self.recent: list[str] = []  # the latest requests
        self.finished: set[str] = set()
        self.due: list[tuple[int, int, i.Event]] = []
        self.sequence = self.queued = 0
        self.schedule(0, self.backend_list(i.ListForm.CACHED))

    def schedule(self, delay: int, event: i.Event) -> None:
        self.sequence += 1
        heapq.heappush(self.due, (self.now + delay, self.sequence, event))

    def backend_list(self, form: i.ListForm) -> i.Backends:
        rng, entries = self.rng, []
        for backend in range(1, 9):
            if form is not i.ListForm.DELTA or rng.random() < 0.3:
                state = rng.choice((i.State.READY,) * 5 + tuple(i.State))
                started = rng.choice((0, 0, self.now - rng.randrange(20 * SECOND)))
                entries.append(
                    i.Entry(
                        backend,
                        rng.randrange(2),
                        cell=rng.randrange(3),
                        state=state,
                        weight=rng.choice((1.0, 1.0, 0.5, 3.0)),
                        started=started,
                    )
                )
        listed = rng.choice((0.0, 0.9, 0.9, 0.9, 1.0))  # the list may be empty
        kept = [e for e in entries if form is i.ListForm.DELTA or rng.random() < listed]
        return i.Backends(form, () if form is i.ListForm.FAILED else tuple(kept))

    def request(self) -> i.Request:
        rng, s = self.rng, self.settings
        request_id, cls = f"r{self.sequence}", rng.randrange(len(s.classes))
        wait = s.classes[cls].deadline if rng.random() < 0.8 else rng.randrange(1, 6 * SECOND)
        if rng.random() < 0.01:
            cls = len(s.classes)  # an unknown class
        self.recent = [*self.recent[-30:], request_id]
        customer = min(int(rng.expovariate(0.4)), 12)
        return i.Request(
            request_id,
            f"c{customer}",
            cls,
            customer % len(s.plans),
            rng.choice((0.5, 1.0, s.largest)),
            rng.randint(1, s.fleet),
            0,
            self.now + wait,
        )

    def unsolicited(self) -> i.Event:
        """An event that no action caused, sometimes about a request that has ended."""
        rng, request_id = self.rng, self.rng.choice(self.recent or ["none"])
        draw = rng.randrange(7)
        if draw < 2:
            self.finished.add(request_id)
            return i.Withdrawn(request_id)
        if draw < 4:
            return i.Head(request_id, rng.randrange(1, 9), rng.randrange(2))
        if draw == 4:
            return self.backend_list(
                rng.choice((i.ListForm.DELTA, i.ListForm.DELTA, i.ListForm.FULL, i.ListForm.FAILED))
            )
        if draw == 5:
            return i.Counted("q:none:1", i.Ending.SERVED, 1.0, MS)
        return rng.choice((i.Timer(10**9), i.Probed(1, i.Ending.SERVED, MS), i.PeerMessage(1)))

    def next(self) -> tuple[int, i.Event]:
        rng = self.rng
        if rng.random() < 0.004:
            self.queued = rng.randrange(6)
            self.now += rng.choice((600 * MS, 3 * SECOND, 40 * SECOND, 100 * SECOND))
            if rng.random() < 0.5:
                self.levels.clear()  # the counter lost its state
        pause = int(rng.expovariate(1 / self.pause))
        if self.queued:  # arrived during the pause
            self.queued -= 1
            self.sequence += 1
            return self.now, self.request()
        if self.due and self.due[0][0] <= self.now + pause:
            at, _, event = heapq.heappop(self.due)
            self.now = max(self.now, at)
        else:
            self.now += pause
            self.sequence += 1
            event = self.request() if rng.random() < 0.95 else self.unsolicited()
        return self.now, event

    def record(self, event: i.Event, actions: list[i.Action]) -> None:
        if isinstance(event, i.Ended) and event.over:
            self.finished.add(event.id)
        for action in actions:
            if isinstance(action, i.Attempt):
                self.attempt(action)
            elif isinstance(action, i.Charge):
                self.charge(action)
            elif isinstance(action, i.Cancel):
                self.schedule(
                    0, i.Ended(action.id, 0, action.hop, action.id in self.finished, i.Ending.CANCELLED, self.latency)
                )
            elif isinstance(action, i.Wake):
                self.schedule(action.delay + self.rng.randrange(20 * MS), i.Timer(action.token))
            elif isinstance(action, i.Fetch):
                self.schedule(100 * MS, self.backend_list(i.ListForm.FULL))
            elif isinstance(action, i.Refuse | i.Fail):
                self.finished.add(action.id)

    def attempt(self, action: i.Attempt) -> None:
        rng, hop = self.rng, self.hops[action.id]
        self.hops[action.id] += 1
        latency = int(rng.expovariate(1 / self.latency)) + MS
        ending = rng.choice(ENDINGS) if rng.random() < self.trouble else i.Ending.SERVED
        if rng.random() < 0.1 * self.trouble:
            latency += 4 * SECOND  # it hangs
        over = action.id in self.finished or ending is i.Ending.SERVED or rng.random() < 0.05
        self.schedule(
            latency,
            i.Ended(action.id, action.backend, hop, over, ending, latency, true_units=rng.choice((0.0, 0.5, 2.0))),
        )

    def charge(self, action: i.Charge) -> None:
        rng = self.rng
        ending = rng.choice(ENDINGS[:-1]) if rng.random() < self.counter_trouble else i.Ending.SERVED
        others = rng.choice((0.0, 0.0, 0.0, 0.5, 2.0)) * (self.settings.fleet > 1)
        if ending not in (i.Ending.FULL, i.Ending.NO_CONNECTION):
            self.levels[action.name] = self.levels.get(action.name, 0.0) + action.amount + others
        level = self.levels.get(action.name, 0.0) if ending is i.Ending.SERVED else 0.0
        latency = self.settings.counter_timeout if ending is i.Ending.TIMEOUT else rng.randrange(MS, 30 * MS)
        self.schedule(latency, i.Counted(action.name, ending, round(level, 3), latency))

    def play(self, gateway: Policy, events: int) -> Iterator[tuple[int, i.Event, list[i.Action]]]:
        for _ in range(events):
            if self.rng.random() < 0.001:
                self.settings = i.replace_classes(self.settings, classes(self.rng))
                gateway.update_settings(self.settings)
            now, event = self.next()
            actions = gateway.handle(now, event)
            self.record(event, actions)
            yield now, event, actions
