"""A gateway's part in the counting: it asks who counts a tenant, counts those it was elected for, and passes its
share alone while nobody answers. The decisions are in `floors` and `ballots`; here they meet the mains.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any

from oakvale.base.address import Address, parse_address
from oakvale.base.loop import Loop
from oakvale.gauge.ballots import Ask, Candidate, Juror, Word
from oakvale.gauge.floors import Alone, Floors, Quota, Read, Terms
from oakvale.mains.links import Answer, Conn, Mains
from oakvale.penstock.tree import Member, jury, place

DUTIES = 4  # parts that the tenants are counted in
JURORS = 5
WAIT = 150_000  # microseconds for the counter's answer
TICK = 60_000
GATHER = 150_000  # for what others last read, before a new counter begins
DOUBT = 100_000  # after an unanswered call, the counter is not waited for
KEPT = 10_000_000  # how long the number of gateways is remembered at its highest

log = logging.getLogger(__name__)

Told = Callable[[bool, int, bool], None]  # passes, microseconds until one more would, whether it was counted


def duty_of(tenant: str) -> str:
    return f"gauge/{place(tenant) % DUTIES}"


class Gauge:
    def __init__(self, loop: Loop, mains: Mains, terms: Terms, node: str, life: str, own: str,
                 members: Callable[[], dict[str, Member]], quota: Callable[[str], Quota]) -> None:
        self.loop, self.mains, self._terms = loop, mains, terms
        self._node, self._life, self._own, self._members, self._quota = node, life, own, members, quota
        self._duties = [f"gauge/{n}" for n in range(DUTIES)]
        self._juror, self._candidate = Juror(), Candidate(life)
        self._counters: dict[str, Floors] = {}  # of the duties held here
        self._gathering: set[str] = set()
        self._holders: dict[str, Address] = {}
        self._doubt: dict[str, int] = {}
        self._asked: dict[str, int] = {}
        self._juries: dict[str, list[Member]] = {}
        self._most: tuple[int, int] = (0, 0)  # gateways, and when so many were known
        self._read = Read()
        self.alone = Alone(terms, random.random)
        self._tenants: set[str] = set()
        mains.handlers["ballot"] = self._ballot
        mains.handlers["count"] = self._count
        mains.handlers["gauge"] = self._announced
        mains.handlers["who"] = lambda conn, body, answer: answer(self._known(str(body)))
        mains.handlers["levels"] = self._levels
        loop.at(loop.now + TICK, self._tick)

    # ---- asking

    def ask(self, tenant: str, then: Told) -> None:
        """Whether one more request of this tenant passes."""
        quota = self._quota(tenant)
        if quota.rate <= 0:
            return then(True, 0, True)
        self._tenants.add(tenant)
        duty, now = duty_of(tenant), self.loop.now
        counter = self._counters.get(duty)
        if counter is not None and self._candidate.holds(duty, now):
            verdict = counter.add(tenant, quota, now)
            self._read.note(tenant, verdict.level, now)
            return then(verdict.passes, verdict.wait, True)
        holder = self._holders.get(duty)
        if holder is None or now - self._doubt.get(duty, -DOUBT) < DOUBT:
            self._find(duty)
            return self._pass_alone(tenant, quota, then)

        def answered(answer: Any) -> None:
            if not isinstance(answer, list):
                self._doubt[duty] = self.loop.now
                if self._holders.get(duty) == holder:
                    self._find(duty)
                return self._pass_alone(tenant, quota, then)
            self._doubt.pop(duty, None)
            passes, level, wait = bool(answer[0]), float(answer[1]), int(answer[2])
            self._read.note(tenant, level, self.loop.now)
            then(passes, wait, True)

        self.mains.ask(holder, "count", [tenant, quota.rate, quota.burst], WAIT, answered)

    def _pass_alone(self, tenant: str, quota: Quota, then: Told) -> None:
        passes = self.alone.passes(tenant, quota, self._gateways(), self.loop.now)
        if passes:
            self._read.add(tenant, self.loop.now)
        then(passes, 300_000, False)

    def _gateways(self) -> int:
        """As many as there were lately: one that left the list may still pass its share."""
        count, now = len(self._members()), self.loop.now
        if count >= self._most[0] or now - self._most[1] > KEPT:
            self._most = (count, now)
        return self._most[0]

    def _find(self, duty: str) -> None:
        """Asks the jurors who counts, one after the other."""
        now = self.loop.now
        if now - self._asked.get(duty, -DOUBT) < DOUBT:
            return
        self._asked[duty] = now
        for juror in self._juries.get(duty, []):
            address = parse_address(juror.address)
            if address is not None and juror.address != self._own:
                self.mains.ask(address, "who", duty, WAIT, lambda answer: self._heard_of(duty, answer))

    def _heard_of(self, duty: str, answer: Any) -> None:
        address = parse_address(answer) if answer else None
        if address is not None and answer != self._own:
            self._holders[duty] = address

    def _known(self, duty: str) -> str | None:
        now = self.loop.now
        if self._candidate.holds(duty, now) and duty in self._counters:
            return self._own
        return self._juror.holder(duty, now)

    # ---- counting

    def _count(self, conn: Conn, body: Any, answer: Answer) -> None:
        tenant, now = str(body[0]), self.loop.now
        duty = duty_of(tenant)
        counter = self._counters.get(duty)
        if counter is None or not self._candidate.holds(duty, now):
            return answer(None)
        quota = self._quota(tenant)
        if quota.rate <= 0:
            quota = Quota(float(body[1]), float(body[2]))  # news of it have not come here yet
        verdict = counter.add(tenant, quota, now)
        answer([verdict.passes, verdict.level, verdict.wait])

    def _levels(self, conn: Conn, body: Any, answer: Answer) -> None:
        answer(self._read.aged(self._of(str(body)), self.loop.now))

    def _of(self, duty: str) -> list[tuple[str, Quota]]:
        return [(tenant, self._quota(tenant)) for tenant in self._tenants if duty_of(tenant) == duty]

    def _begin(self, duty: str) -> None:
        """Elected: what the others last read is gathered, then all are told."""
        now = self.loop.now
        counter = Floors(self._terms, now)
        self._gathering.add(duty)
        for tenant, level in self._read.aged(self._of(duty), now).items():
            counter.learn(tenant, level, now)

        def gathered(answer: Any) -> None:
            if isinstance(answer, dict) and duty in self._gathering:
                for tenant, level in answer.items():
                    counter.learn(str(tenant), float(level), self.loop.now)

        def begin(_: Any) -> None:
            self._gathering.discard(duty)
            if not self._candidate.holds(duty, self.loop.now):
                return
            self._counters[duty] = counter
            log.info("counting", extra={"duty": duty})
            for address in self._others():
                self.mains.tell(address, "gauge", [duty, self._own])

        for address in self._others():
            self.mains.ask(address, "levels", duty, GATHER, gathered)
        self.loop.at(now + GATHER, begin)

    def _others(self) -> list[Address]:
        found = [parse_address(member.address) for member in self._members().values() if member.node != self._node]
        return [address for address in found if address is not None]

    def _announced(self, conn: Conn, body: Any, _: Answer) -> None:
        duty, where = str(body[0]), str(body[1])
        self._heard_of(duty, where)
        self._doubt.pop(duty, None)

    # ---- ballots

    def members_changed(self) -> None:
        members = self._members().values()
        self._juries = {duty: jury(members, duty, JURORS) for duty in self._duties}
        self._juror.seated({duty for duty, jurors in self._juries.items()
                            if any(juror.node == self._node for juror in jurors)}, self.loop.now)

    def _tick(self, _: Any) -> None:
        now = self.loop.now
        self.loop.at(now + TICK, self._tick)
        for duty, jurors in self._juries.items():
            rank = next((n for n, juror in enumerate(jurors) if juror.node == self._node), None)
            if duty in self._counters and not self._candidate.holds(duty, now):
                log.info("counts no longer", extra={"duty": duty})
                del self._counters[duty]
            if rank is not None or duty in self._counters:
                self._put(self._candidate.tick(duty, self._juror.vacant_since(duty), rank or 0, now))

    def _put(self, ask: Ask | None) -> None:
        """A question to the whole jury."""
        if ask is None:
            return
        jurors = self._juries.get(ask.duty, [])
        for juror in jurors:
            if juror.node == self._node:
                self._hear(self._juror.hear(ask, self._own, self.loop.now), juror.node, len(jurors))
                continue
            address = parse_address(juror.address)
            if address is not None:
                def answered(answer: Any, node: str = juror.node) -> None:
                    if isinstance(answer, list):
                        kind, number, yes, known, holder, where, left = answer
                        self._hear(Word(ask.duty, str(kind), (int(number[0]), str(number[1])), bool(yes), int(known),
                                        str(holder), str(where), int(left)), node, len(jurors))

                body = [ask.duty, ask.kind, list(ask.number), self._own]
                self.mains.ask(address, "ballot", body, WAIT, answered)

    def _hear(self, word: Word | None, juror: str, jurors: int) -> None:
        if word is None:
            return
        now = self.loop.now
        held = self._candidate.holds(word.duty, now)
        self._put(self._candidate.hear(word, juror, jurors, now))
        if not held and self._candidate.holds(word.duty, now) and word.duty not in self._gathering:
            self._begin(word.duty)

    def _ballot(self, conn: Conn, body: Any, answer: Answer) -> None:
        duty, kind, number, where = str(body[0]), str(body[1]), (int(body[2][0]), str(body[2][1])), str(body[3])
        word = self._juror.hear(Ask(duty, kind, number), where, self.loop.now)
        answer(None if word is None else [word.kind, list(word.number), word.yes, word.round, word.holder, word.where,
                                          word.left])

    def released(self, duty: str, life: str) -> None:
        """Another gateway gives a duty up."""
        self._juror.release(duty, life, self.loop.now)

    def release(self) -> None:
        """This gateway ends: the jurors need not wait for its span to run out."""
        for duty in list(self._counters):
            self._candidate.drop(duty)
            del self._counters[duty]
            self._juror.release(duty, self._life, self.loop.now)
            for juror in self._juries.get(duty, []):
                address = parse_address(juror.address)
                if address is not None and juror.node != self._node:
                    self.mains.tell(address, "release", [duty, self._life])
