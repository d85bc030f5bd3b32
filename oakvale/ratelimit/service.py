"""A gateway's part in the counting: it asks who counts a tenant, counts those it was elected for, and passes its
share alone while nobody answers. The decisions are in `floors` and `ballots`; here they meet the mains.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from oakvale.base.address import Address, parse_address, spelled
from oakvale.base.loop import Loop
from oakvale.dissemination.tree import Member, Members, next_on_ring, ring_position
from oakvale.election.voting import MARGIN, QUIET, SPAN, Ask, Candidate, Word
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.ratelimit.counter_state import CounterState, Receipt
from oakvale.ratelimit.handover import STATE_KEPT_US, Handover
from oakvale.ratelimit.presence import ABSENT, KEPT, Presence
from oakvale.ratelimit.quotas import SECOND, Alone, Quota, QuotaCounter, Read, Terms
from oakvale.ratelimit.refunds import Returns
from oakvale.ratelimit.usage_collection import Gathering
from oakvale.transport.links import Answer, Connection, Transport

DUTIES = 4  # parts that the tenants are counted in
STAND = 4  # gateways that stand for a duty
ASKED_TO_TAKE = 12  # gateways that are asked, one by one, to take a duty from one that ends
WAIT = 150_000  # microseconds for the counter's answer
TICK = 60_000
GREET = 250_000  # without a call to a counter for so long, it is greeted
GATHER = 100_000  # for what others last read, before a new counter begins
LATE_ANSWERS = 1_000_000  # what others last read counts for so long, also after it has begun
VOTE_TIMEOUT = SPAN - MARGIN  # a vote that comes later binds no longer
MOMENT = 120_000  # a request waits so long for a counter to be found
VACANT = 250_000  # how long a juror's word that nobody does a duty is good
DOUBT = 80_000  # after an unanswered call, the counter is not waited for
LONG = 2_000_000  # without a keeper for so long, a gateway is cut off: another keeper is found sooner
LONG_GONE = 3_000_000  # and surely knows it then: its last call was under way for a fraction of a second
FEW = 0.25  # of its even share it uses then: it sees few clients, or is without power

log_event = EventLogger(__name__)

Told = Callable[[bool, int, bool], None]  # passes, microseconds until one more would, whether it was counted


def duty_of(tenant: str) -> str:
    return f"gauge/{ring_position(tenant) % DUTIES}"


class RateLimiter:
    def __init__(
        self,
        loop: Loop,
        transport: Transport,
        terms: Terms,
        node: str,
        life: str,
        own: str,
        members: Callable[[], Members],
        voters: Callable[[], list[str]],
        quota: Callable[[str], Quota],
    ) -> None:
        self.loop, self.transport, self._terms = loop, transport, terms
        self._node, self._life, self._own = node, life, own
        self._members, self._voters, self._quota = members, voters, quota
        self._duties = [f"gauge/{n}" for n in range(DUTIES)]
        self._candidate = Candidate(life)
        self._presence = Presence(loop, transport, node, life, members)
        self._counters: dict[str, QuotaCounter] = {}  # of the duties held here
        self._gathering: dict[str, Gathering] = {}
        self._former: dict[str, tuple[QuotaCounter, int]] = {}  # counters of duties that were held here, and until when
        self._counts_since = 0  # when a duty was last won
        self._holders: dict[str, Address] = {}
        self._contact: dict[str, int] = {}  # duty -> when its counter last answered
        self._called: dict[str, int] = {}
        self._doubt: dict[str, int] = {}
        self._asked: dict[str, int] = {}
        self._vacant: dict[str, dict[Address, int]] = {}  # duty -> juror -> when it last knew of nobody
        self._ranks: dict[str, int] = {}  # duty -> this gateway's place among those who stand for it
        self._stamps: dict[Address, Any] = {}  # counter -> its latest stamp, to be told back to it
        self._born = loop.now
        self._waiting: dict[str, dict[int, Callable[[], None]]] = {}
        self._number = 0
        self._read = Read()
        self.alone = Alone(terms, loop.net.rng.random, loop.now)
        self._tenants: dict[str, None] = {}
        self._returns = Returns(node, life)
        self._handover = Handover(
            loop,
            transport,
            own,
            self._successors,
            self._presence.others,
            self._stand_now,
            self._candidate.highest_round,
            self._state,
            self._gave_up,
        )
        transport.handlers["count"] = self._count
        transport.handlers["greet"] = self._greeted
        transport.handlers["give back"] = self._given_back
        transport.handlers["gauge"] = self._announced
        transport.handlers["counts"] = lambda conn, body, answer: answer([self._known(str(body))])
        transport.handlers["levels"] = self._levels
        transport.handlers["life"] = lambda conn, body, answer: answer(life)
        loop.at(loop.now + TICK, self._tick)

    def held(self) -> list[str]:
        return sorted(duty for duty in self._counters if self._counts(duty))

    def counts(self, duty: str) -> bool:
        """Whether this gateway does a duty now."""
        return self._counts(duty)

    def holder(self, duty: str) -> Address | None:
        """The other gateway that does it, as far as known."""
        return self._holders.get(duty)

    # ---- asking

    def ask(self, tenant: str, again: bool, then: Told, patience: int = MOMENT, receipt: Receipt | None = None) -> None:
        """Whether one more request of this tenant passes; `again`: it came back after a refusal. `receipt` is filled in
        where it was counted, before `then` is called.
        """
        quota = self._quota(tenant)
        if quota.rate <= 0:
            return then(True, 0, True)
        self._tenants[tenant] = None
        duty, now = duty_of(tenant), self.loop.now
        if self._counts(duty):
            self._counters[duty].reach(self._presence.share(), now)
            verdict = self._counters[duty].add(tenant, quota, again, now)
            self._read.note(tenant, verdict.level, now)
            if receipt is not None and verdict.passes:
                receipt.tenant, receipt.counter, receipt.counted_at = tenant, self._life, verdict.counted_at
            return then(verdict.passes, verdict.wait, True)
        holder = self._holders.get(duty)
        if holder is None and patience:
            return self._wait_for(duty, partial(self.ask, tenant, again, then, 0, receipt), patience)
        if holder is None or now - self._doubt.get(duty, -DOUBT) < DOUBT:
            return self._pass_alone(tenant, quota, then)

        def answered(answer: Any) -> None:
            if not isinstance(answer, list):
                self._unanswered(duty, holder)
                if patience and self._holders.get(duty) != holder:  # it has just handed the duty on, or has ended
                    once_more = partial(self.ask, tenant, again, then, 0, receipt)
                    return once_more() if duty in self._holders else self._wait_for(duty, once_more, patience)
                return self._pass_alone(tenant, quota, then)
            self._doubt.pop(duty, None)
            self._contact[duty], self._stamps[holder] = self.loop.now, answer[3]
            passes, level, wait = bool(answer[0]), float(answer[1]), int(answer[2])
            self._read.note(tenant, level, self.loop.now)
            if receipt is not None and passes and len(answer) > 4:  # the version before tells no time
                receipt.tenant, receipt.counter, receipt.counted_at = tenant, str(answer[3][0]), int(answer[4])
            then(passes, wait, True)

        self._called[duty] = now
        self.transport.ask(
            holder,
            "count",
            [tenant, quota.rate, quota.burst, self._node, again, self._stamps.get(holder)],
            WAIT,
            answered,
        )

    def give_back(self, receipt: Receipt) -> None:
        """The request surely never ran. A second call does nothing, nor does one for a counter that counts no more."""
        counter, receipt.counter = receipt.counter, ""
        if not counter:
            return
        duty = duty_of(receipt.tenant)
        if counter == self._life:
            self._take_back(receipt.tenant, receipt.counted_at)
        elif (holder := self._holders.get(duty)) is not None:
            self.transport.tell(holder, "give back", self._returns.packed(receipt.tenant, counter, receipt.counted_at))

    def _given_back(self, conn: Connection, body: Any, _: Answer) -> None:
        given = self._returns.taken(body, self._life, self.loop.now)
        if given is not None:
            self._take_back(*given)

    def _take_back(self, tenant: str, counted_at: int) -> None:
        duty = duty_of(tenant)
        if self._counts(duty):
            self._counters[duty].give_back(tenant, self._quota(tenant), counted_at, self.loop.now)

    def _wait_for(self, duty: str, call: Callable[[], None], patience: int) -> None:
        """Nobody is known to count yet: a moment is given to the ballots."""
        waiting = self._waiting.setdefault(duty, {})
        number = self._number = self._number + 1
        waiting[number] = call

        def late(_: Any) -> None:
            if waiting.pop(number, None) is not None:
                call()

        self.loop.at(self.loop.now + patience, late)

    def _found(self, duty: str) -> None:
        waiting = self._waiting.pop(duty, {})
        while waiting:
            waiting.pop(next(iter(waiting)))()

    def _unanswered(self, duty: str, holder: Address) -> None:
        if self._holders.get(duty) == holder:
            self._doubt[duty] = self.loop.now
            if self.transport.recently_refused(holder):
                del self._holders[duty]
        self._find(duty, suspects=True)

    def _pass_alone(self, tenant: str, quota: Quota, then: Told) -> None:
        now = self.loop.now
        absent = now - max(self._contact.get(duty_of(tenant), 0), self._born) - ABSENT
        if absent > KEPT - 2 * SECOND and not self._presence.among_others():
            absent = 0
        passes = self.alone.passes(tenant, quota, len(self._presence.lately), max(0, absent), now)
        if passes:
            self._read.add(tenant, now)
        then(passes, 200_000, False)

    def away(self, gateways: frozenset[str]) -> float:
        """How many of them are not known to have heard from this one lately, nor to have ended: each of those may hold
        itself to be `cut`. Those of long ago count in part."""
        now, lives = self.loop.now, {node: member.incarnation for node, member in self._presence.lately.items()}
        return sum(
            FEW if now - self._presence.heard.get(node, self._counts_since) >= LONG_GONE else 1.0
            for node in gateways
            if node != self._node
            and not self._presence.here(node)
            and (node not in lives or self._presence.ended.get(node) != lives[node])
        )

    def cut(self, duty: str) -> float:
        """Of its even share, what this gateway may use, as who does this duty reckons with it no longer."""
        silent = self.loop.now - max(self._contact.get(duty, 0), self._born)
        return 0.0 if silent < ABSENT else 1.0 if silent < LONG else FEW

    def _find(self, duty: str, suspects: bool = False) -> None:
        """Asks the jurors, and a gateway or two for those who can't reach them, who counts. `suspects`: the holder did
        not answer, and the jurors are to look whether it has ended.
        """
        now = self.loop.now
        if now - self._asked.get(duty, -DOUBT) < DOUBT:
            return
        self._asked[duty] = now
        for address in self._voter_service():
            self.transport.ask(
                address, "who", [duty, self._own, self._life, suspects], WAIT, partial(self._juror_said, duty, address)
            )
        others = self._presence.others()
        for address in self.loop.net.rng.sample(others, min(2, len(others))):
            self.transport.ask(address, "counts", duty, WAIT, partial(self._told_by, duty, address))

    def _juror_said(self, duty: str, voter: Address, answer: Any) -> None:
        if isinstance(answer, list):
            self._heard_of(duty, answer[0])
            self._vacant.setdefault(duty, {})[voter] = self.loop.now if answer[0] is None else -VACANT
            if self._is_vacant(duty):
                self._stand(duty)

    def _is_vacant(self, duty: str) -> bool:
        """Most jurors just said that nobody has their vote: a holder's silence need not be waited for."""
        said = sum(1 for at in self._vacant.get(duty, {}).values() if self.loop.now - at < VACANT)
        return said > len(self._voters()) // 2

    def _told_by(self, duty: str, address: Address, answer: Any) -> None:
        if isinstance(answer, list) or self.transport.recently_refused(address):
            self._presence.reached(address)
        self._heard_of(duty, answer[0] if isinstance(answer, list) else None)

    def _heard_of(self, duty: str, answer: Any) -> None:
        address = parse_address(answer) if answer else None
        if address is None or answer == self._own or self.transport.recently_refused(address):
            return
        if self._holders.get(duty) != address:
            self._holders[duty] = address
            self._doubt.pop(duty, None)
            self._greet(address)
            self._found(duty)

    def _known(self, duty: str) -> str | None:
        if self._counts(duty):
            return self._own
        holder = self._holders.get(duty)
        fresh = self.loop.now - self._contact.get(duty, -ABSENT) < ABSENT
        return spelled(holder) if holder and fresh else None

    # ---- counting

    def _counts(self, duty: str) -> bool:
        return duty in self._counters and self._candidate.holds(duty, self.loop.now)

    def _count(self, conn: Connection, body: Any, answer: Answer) -> None:
        tenant = str(body[0])
        duty = duty_of(tenant)
        if not self._counts(duty):
            return answer(None)
        self._presence.hears(str(body[3]), body[5])
        quota = self._quota(tenant)
        if quota.rate <= 0:
            quota = Quota(float(body[1]), float(body[2]))  # news of it have not come here yet
        self._counters[duty].reach(self._presence.share(), self.loop.now)
        verdict = self._counters[duty].add(tenant, quota, bool(body[4]), self.loop.now)
        answer([verdict.passes, verdict.level, verdict.wait, self._presence.stamp(), verdict.counted_at])

    def _greet(self, address: Address) -> None:
        """Who calls seldom is reckoned with all the same."""
        asked = [duty for duty, holder in self._holders.items() if holder == address]
        for duty in asked:
            self._called[duty] = self.loop.now

        def answered(answer: Any) -> None:
            for duty in asked:
                if isinstance(answer, list) and duty in answer[0]:
                    self._contact[duty], self._stamps[address] = self.loop.now, answer[1]
                elif self._holders.get(duty) == address:
                    self._unanswered(duty, address)

        self.transport.ask(address, "greet", [self._node, self._stamps.get(address)], WAIT, answered)

    def _greeted(self, conn: Connection, body: Any, answer: Answer) -> None:
        self._presence.hears(str(body[0]), body[1])
        answer([self.held(), self._presence.stamp()])

    def _levels(self, conn: Connection, body: Any, answer: Answer) -> None:
        """What was last read here, and for how long this gateway has lived. Who asks is elected and reckons with
        this gateway from now on."""
        duty = str(body[0])
        self._contact[duty] = self.loop.now
        levels = self._read.aged(self._of(duty), len(self._presence.lately), self.loop.now)
        answer(
            [{tenant: list(known) for tenant, known in levels.items()}, self.loop.now - self._born, self._node, body[1]]
        )

    def _of(self, duty: str) -> list[tuple[str, Quota]]:
        return [(tenant, self._quota(tenant)) for tenant in self._tenants if duty_of(tenant) == duty]

    def _begin(self, duty: str) -> None:
        """Elected: what the others last read is gathered, and the state of the holder before where it handed the duty
        to this gateway; then all are told. It waits for either no longer than `GATHER`.
        """
        now = self.loop.now
        counter = QuotaCounter(self._terms, now)
        gathering = self._gathering[duty] = Gathering(counter, len(self._presence.others()), now - self._born)
        for tenant, known in self._read.aged(self._of(duty), len(self._presence.lately), now).items():
            counter.learn(tenant, *known, now)

        def gathered(member: Member, address: Address, answer: Any) -> None:
            if not gathering.counts():
                return
            self._presence.proven(member, address, now, answer)
            if isinstance(answer, list):
                self._presence.hears(str(answer[2]), answer[3])
                gathering.learn(answer[0], int(answer[1]), self.loop.now)
            else:
                gathering.no_answer()
            if gathering.nobody_left():
                self._begin_counting(duty, gathering)

        def handed(state: CounterState, asked: int) -> None:
            if not gathering.counts():
                return
            counter.take_over(state, self.loop.now)
            self._presence.take_over(state.heard, asked)
            self._begin_counting(duty, gathering)

        former = self._handover.won(duty)
        if former is not None:
            self._handover.ask_for_state(former, duty, LATE_ANSWERS, handed)
        for member in self._members().values():
            address = parse_address(member.address)
            if address is not None and member.node != self._node:
                heard = partial(gathered, member, address)
                self.transport.ask(address, "levels", [duty, self._presence.stamp()], LATE_ANSWERS, heard)
        self.loop.at(now + GATHER, lambda _: self._begin_counting(duty, gathering))

    def _begin_counting(self, duty: str, gathering: Gathering) -> None:
        if self._gathering.get(duty) is not gathering:
            return
        del self._gathering[duty]
        if not self._candidate.holds(duty, self.loop.now):
            return gathering.end()
        self._counters[duty] = gathering.counter
        self._counts_since = self.loop.now
        self._holders.pop(duty, None)
        self._found(duty)
        log_event("counting", duty=duty)
        for address in self._presence.others():
            self.transport.tell(address, "gauge", [duty, self._own])

    def _announced(self, conn: Connection, body: Any, _: Answer) -> None:
        duty, where = str(body[0]), str(body[1])
        address = parse_address(where)
        if address is not None and where != self._own:
            self._holders[duty] = address
            self._doubt.pop(duty, None)
            self._greet(address)
            self._found(duty)

    # ---- ballots

    def members_changed(self) -> None:
        self._presence.remember()
        members = self._members()
        self._ranks = {}
        for duty in self._duties:
            for rank, member in enumerate(next_on_ring(members, duty, STAND)):
                if member.node == self._node:
                    self._ranks[duty] = rank

    def _voter_service(self) -> list[Address]:
        found = [parse_address(address) for address in self._voters()]
        return [address for address in found if address is not None]

    def _tick(self, _: Any) -> None:
        now = self.loop.now
        self.loop.at(now + TICK, self._tick)
        greeted: set[Address] = set()
        self._presence.remember()
        if self.held():
            self._presence.prove()
        for duty in self._duties:
            if duty in self._counters and not self._counts(duty):
                log_event("counts no longer", duty=duty)
                self._stop_counting(duty)
                self._handover.hand_on(duty, self._handover.next_for(duty))
            elif duty in self._counters:
                self._counters[duty].reach(self._presence.share(), now)
            self._stand(duty)
            holder = self._holders.get(duty)
            if duty in self._counters:
                continue
            if holder is None:
                self._find(duty)
            elif holder not in greeted and now - self._called.get(duty, 0) > GREET:
                greeted.add(holder)
                self._greet(holder)

    def _stand(self, duty: str) -> None:
        """Renews the votes for a duty that is held, or stands for one that is vacant."""
        now, holds = self.loop.now, duty in self._counters
        first = self._handover.stands_first(duty)
        stands = (first or duty in self._ranks) and not self._handover.ending and not self._handover.held_back(duty)
        if not holds and not stands:
            return
        silent = max(self._contact.get(duty, 0), self._born)
        if first or self._is_vacant(duty):
            silent = min(silent, now - QUIET)
        self._put(self._candidate.tick(duty, silent, 0 if first else self._ranks.get(duty, STAND), now))

    def _put(self, ask: Ask | None) -> None:
        """A question to the whole jury."""
        if ask is None:
            return
        voters = self._voter_service()

        def answered(answer: Any, voter: Address) -> None:
            if isinstance(answer, list):
                kind, number, yes, known, holder, where, left = answer
                self._hear(
                    Word(
                        ask.duty,
                        str(kind),
                        (int(number[0]), str(number[1])),
                        bool(yes),
                        int(known),
                        str(holder),
                        str(where),
                        int(left),
                    ),
                    spelled(voter),
                    len(voters),
                )

        for voter in voters:
            self.transport.ask(
                voter,
                "ballot",
                [ask.duty, ask.kind, list(ask.number), self._own],
                VOTE_TIMEOUT,
                lambda answer, voter=voter: answered(answer, voter),  # type: ignore[misc]
            )

    def _hear(self, word: Word, voter: str, voters: int) -> None:
        now = self.loop.now
        if not word.yes:
            self._heard_of(word.duty, word.where)
        held = self._candidate.holds(word.duty, now)
        self._put(self._candidate.hear(word, voter, voters, now))
        if not held and self._candidate.holds(word.duty, now) and word.duty not in self._gathering:
            self._begin(word.duty)

    # ---- handing on

    def release(self) -> None:
        """This gateway is told to end: its duties go to others, and it stands for none any more."""
        self._handover.ending = True
        self._ranks.clear()
        self._handover.seek_successors(self.held(), self._hand_on)

    def _hand_on(self, successors: dict[str, Address]) -> None:
        """All duties at once: the voters free all votes for a life together."""
        for duty in list(self._counters):
            self._stop_counting(duty)
        for duty in self._gathering:
            self._candidate.drop(duty)
        for voter in self._voter_service():
            self.transport.tell(voter, "ended", self._life)
        for duty, successor in successors.items():
            if duty in self._former:  # else its votes ran out meanwhile, and it was handed on for that
                self._handover.hand_on(duty, successor)

    def _stop_counting(self, duty: str) -> None:
        self._former[duty] = (self._counters.pop(duty), self.loop.now + STATE_KEPT_US)
        self._candidate.drop(duty)

    def _successors(self, duty: str) -> list[Member]:
        """Who stands next for a duty, those in reach first; of a large fleet no more than may be asked one by one."""
        found = [member for member in next_on_ring(self._members(), duty, ASKED_TO_TAKE) if member.node != self._node]
        return sorted(found, key=lambda member: not self._presence.here(member.node))

    def _stand_now(self, duty: str, above: int) -> None:
        self._put(self._candidate.stand(duty, self.loop.now, above))

    def _gave_up(self, duty: str, holder: Address) -> None:
        if self._holders.get(duty) == holder:
            del self._holders[duty]

    def _state(self, duty: str) -> CounterState | None:
        """Of a counter that does not count any more: what it lets pass later would be missing."""
        counter, until = self._former.get(duty, (None, 0))
        if counter is None or self.loop.now > until:
            return None
        return counter.state(self._quota, self._presence.ages(), self.loop.now)
