"""What a backend does with the requests that reach it: slots, a short queue, speed, cold starts, and its ailments.

Decisions alone: told what came and when, it says what to do; one `Workshop` is one life of a backend.
"""

from __future__ import annotations

import hashlib
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from random import Random

from oakvale.lab.record import Fate

MS = 1_000
SAG = 1.3  # of the work, at some backends while their queue is more than half full


@dataclass(frozen=True, slots=True)
class Terms:
    id: str
    service: str
    slots: int = 2
    queue: int = 8
    speed: float = 1.0  # work takes its time divided by this
    spread: float = 0.3  # sigma of the log of the work
    warmup: int = 3_000 * MS
    cold: float = 2.0  # times the work while warming up
    sags: bool = False
    resets: bool = False  # instead of 503 when full
    max_conns: int = 130
    idle: int = 10_000 * MS  # an unused connection is closed after this
    drops: bool = True  # a request whose connection closes
    health: int = 6 * MS  # work of a probe


@dataclass(slots=True)
class Ailment:
    """What ails it now; shares are of what it runs."""

    slow: float = 1.0  # times the work
    errors: float = 0.0  # 500 of its own
    lost: float = 0.0  # runs, and the answer is lost
    lost_by_reset: bool = False
    cut: float = 0.0  # the answer breaks off
    garbled: float = 0.0  # bytes that are no answer
    extra: float = 0.0  # a second answer after the whole one
    late: bool = False  # the second comes in the place of the next one due
    hangs: float = 0.0  # works on until the deadline
    lies: bool = False  # health says the opposite
    away: bool = False  # turns all away


class Do(Enum):
    RUN = auto()
    WAIT = auto()
    DECLINE = auto()  # with `Not-Run`
    RESET = auto()


@dataclass(slots=True, eq=False)
class Job:
    """A request at a backend. `until`: when its client no longer waits; `due`: when its work ends."""

    id: str
    work: int  # on a warm backend of speed 1
    until: int
    named: str | None = None
    probe: bool = False
    began: int = 0
    due: int = 0
    status: int = 0  # of a decline
    error: bool = False
    number: int = 0  # of its run in this life
    started: Callable[[], None] = field(default=lambda: None)  # it got a slot, or was declined in the queue


@dataclass(frozen=True, slots=True)
class Outcome:
    status: int
    seal: str
    body: bytes
    fate: Fate
    late: bool = False


class Workshop:
    def __init__(self, terms: Terms, born: int, rng: Random) -> None:
        self.terms, self.born, self._rng = terms, born, rng
        self.ill = Ailment()
        self.leaving = False
        self._busy: set[Job] = set()
        self._queue: deque[Job] = deque()
        self.runs = 0

    @property
    def held(self) -> int:
        return len(self._busy) + len(self._queue)

    def connections(self) -> int:
        """How many it accepts now: fewer while its queue is long."""
        long = 2 * len(self._queue) > self.terms.queue
        return self.terms.max_conns * 3 // 4 if long else self.terms.max_conns

    def take(self, now: int, job: Job) -> Do:
        if not job.probe:
            if not job.id:
                return self._no(job, 400)
            if job.named is not None and job.named != self.terms.id:
                return self._no(job, 421)
        if job.until <= now:
            return self._no(job, 503)
        if self.ill.away:
            return self._full(job)
        if len(self._busy) < self.terms.slots:
            self._start(now, job)
            return Do.RUN
        if len(self._queue) < self.terms.queue:
            self._queue.append(job)
            return Do.WAIT
        return self._full(job)

    def _full(self, job: Job) -> Do:
        return Do.RESET if self.terms.resets and not job.probe else self._no(job, 503)

    def _no(self, job: Job, status: int) -> Do:
        job.status = status
        return Do.DECLINE

    def _start(self, now: int, job: Job) -> None:
        self._busy.add(job)
        work = self.terms.health if job.probe else job.work * self._rng.lognormvariate(0, self.terms.spread)
        work *= self.ill.slow / self.terms.speed
        if now < self.born + self.terms.warmup:
            work *= self.terms.cold
        if self.terms.sags and 2 * len(self._queue) > self.terms.queue:
            work *= SAG
        if not job.probe:
            self.runs += 1
            job.number = self.runs
            job.error = self._rng.random() < self.ill.errors
            if self._rng.random() < self.ill.hangs:
                work = math.inf
        job.began = now
        job.due = round(min(now + work, job.until))

    def ends(self, now: int, job: Job) -> Outcome:
        """Its work is over: what it gives. Frees the slot."""
        self._free(now, job)
        rng, ill = self._rng, self.ill
        if job.probe:
            well = not self.leaving and not ill.away and not ill.errors
            return Outcome(200 if well != ill.lies else 503, "", b"", Fate.WHOLE)
        status = 500 if job.error else 504 if job.due >= job.until else 200
        body = self._body(job, status)
        seal = hashlib.blake2b(f"{self.terms.id}.{job.id}.{job.number}".encode() + body, digest_size=10).hexdigest()
        lot = rng.random()
        for share, fate in (
            (ill.lost, Fate.LOST),
            (ill.cut, Fate.CUT),
            (ill.garbled, Fate.GARBLED),
            (ill.extra, Fate.EXTRA),
        ):
            if lot < share:
                if fate is Fate.LOST and not ill.lost_by_reset:
                    fate = Fate.SILENT
                return Outcome(status, seal, body, fate, ill.late)
            lot -= share
        return Outcome(status, seal, body, Fate.WHOLE)

    def _body(self, job: Job, status: int) -> bytes:
        word = f"{job.id} {status} by {self.terms.id} for the {job.number}th\n".encode()
        return word * max(1, round(self._rng.lognormvariate(3, 0.6)))

    def drop(self, now: int, job: Job) -> bool:
        """Its connection closed: whether it ceases. One that waits always does."""
        if job in self._busy:
            if not self.terms.drops:
                return False
            self._free(now, job)
            return True
        if job in self._queue:
            self._queue.remove(job)
        return True

    def _free(self, now: int, job: Job) -> None:
        self._busy.discard(job)
        while self._queue and len(self._busy) < self.terms.slots:
            following = self._queue.popleft()
            if following.until <= now:
                following.status = 503  # the deadline passed in the queue
            else:
                self._start(now, following)
            following.started()
