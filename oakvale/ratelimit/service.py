"""A gateway's part in rate limiting: it asks the counter of a tenant, counts the tenants that it was elected for, and
passes its local share while no counter answers. The decisions are made in `quotas` and `election.voting`; this module
connects them to the internal network.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from oakvale.base.address import Address, format_address, parse_address
from oakvale.base.loop import Loop
from oakvale.dissemination.tree import Member, Members, next_on_ring, ring_position
from oakvale.election.voting import (
    HOLDER_SILENCE_US,
    LEASE_SAFETY_MARGIN_US,
    VOTE_DURATION_US,
    Candidate,
    VoteRequest,
    VoteResponse,
)
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.ratelimit.counter_directory import COUNTER_TIMEOUT_US, CounterDirectory
from oakvale.ratelimit.counter_state import CounterState, Receipt
from oakvale.ratelimit.delayed_calls import DelayedCalls
from oakvale.ratelimit.handover import STATE_RETENTION_US, Handover
from oakvale.ratelimit.messages import CountReply, CountRequest
from oakvale.ratelimit.presence import ABSENT_US, MEMBER_RETENTION_US, Presence
from oakvale.ratelimit.quotas import SECOND, LocalAllowance, Quota, QuotaCounter, QuotaTerms, UsageReadings
from oakvale.ratelimit.refunds import RefundLog
from oakvale.ratelimit.usage_collection import UsageCollection
from oakvale.transport.links import Answer, Connection, Transport

DUTY_COUNT = 4  # the tenants are partitioned into this many duties
CANDIDATES_PER_DUTY = 4  # gateways
MAX_SUCCESSORS_ASKED = 12  # gateways that are asked, one by one, to take over a duty
TICK_INTERVAL_US = 60_000
COLLECTION_TIMEOUT_US = 100_000  # a new counter waits this long for the readings of other gateways
LATE_ANSWER_TIMEOUT_US = 1_000_000  # readings are accepted this long, also after the counter has started
VOTE_TIMEOUT_US = VOTE_DURATION_US - LEASE_SAFETY_MARGIN_US  # a later vote has expired
COUNTER_DISCOVERY_TIMEOUT_US = 120_000  # a request waits this long for a counter to be found
ISOLATED_AFTER_US = 2_000_000  # without a holder for this long, a gateway is isolated: a new holder is found sooner
LONG_ABSENT_US = 3_000_000  # after this it surely knows that it is isolated: its last call took a fraction of a second
ISOLATED_SHARE = 0.25  # of its even share; an isolated gateway has few clients or no power

log_event = EventLogger(__name__)

CountCallback = Callable[[bool, int, bool], None]  # passes, wait in microseconds, whether it was counted


def duty_of(tenant: str) -> str:
    return f"gauge/{ring_position(tenant) % DUTY_COUNT}"


class RateLimiter:
    """Counts requests against the tenants' quotas, here or at the elected counter."""

    def __init__(
        self,
        loop: Loop,
        transport: Transport,
        terms: QuotaTerms,
        node: str,
        incarnation: str,
        self_address: str,
        members: Callable[[], Members],
        voters: Callable[[], list[str]],
        quota: Callable[[str], Quota],
    ) -> None:
        self.loop, self.transport, self._terms = loop, transport, terms
        self._node, self._incarnation, self._self_address = node, incarnation, self_address
        self._members, self._voters, self._quota = members, voters, quota
        self.may_stand: Callable[[], bool] = lambda: True  # for election, by quotas that are not outdated
        self._duties = [f"gauge/{n}" for n in range(DUTY_COUNT)]
        self._candidate = Candidate(incarnation)
        self._presence = Presence(loop, transport, node, incarnation, members)
        self._counters: dict[str, QuotaCounter] = {}  # duty -> counter, of duties held here
        self._collections: dict[str, UsageCollection] = {}
        # duty -> counter of a duty formerly held here, and until when it is kept
        self._former_counters: dict[str, tuple[QuotaCounter, int]] = {}
        self._counts_since = 0  # when a duty was last won
        self._delayed_calls = DelayedCalls(loop)
        self._directory = CounterDirectory(
            loop,
            transport,
            node,
            incarnation,
            self_address,
            self._presence,
            voters,
            self._delayed_calls.resume,
            self._run_election,
        )
        self._ranks: dict[str, int] = {}  # duty -> this gateway's rank among its candidates
        self._started_at = loop.now
        self._readings = UsageReadings()
        self._local_allowance = LocalAllowance(terms, loop.net.rng.random, loop.now)
        self._seen_tenants: dict[str, None] = {}
        self._refunds = RefundLog(node, incarnation)
        self._handover = Handover(
            loop,
            transport,
            self_address,
            self._successors,
            self._presence.others,
            self._start_election,
            self._candidate.highest_round,
            self._former_state,
            self._directory.forget,
        )
        transport.handlers["count"] = self._on_count
        transport.handlers["greet"] = self._on_greeting
        transport.handlers["give back"] = self._on_refund
        transport.handlers["gauge"] = self._on_announcement
        transport.handlers["counts"] = lambda conn, body, answer: answer([self._known_holder(str(body))])
        transport.handlers["levels"] = self._on_levels_request
        transport.handlers["life"] = lambda conn, body, answer: answer(incarnation)
        loop.at(loop.now + TICK_INTERVAL_US, self._tick)

    def held_duties(self) -> list[str]:
        return sorted(duty for duty in self._counters if self._is_counting(duty))

    def holds(self, duty: str) -> bool:
        """Whether this gateway holds the duty and counts."""
        return self._is_counting(duty)

    def holder(self, duty: str) -> Address | None:
        """The other gateway that holds the duty, as far as known."""
        return self._directory.holder(duty)

    # ---- as client of a counter

    def count_request(
        self,
        tenant: str,
        again: bool,
        on_counted: CountCallback,
        patience: int = COUNTER_DISCOVERY_TIMEOUT_US,
        receipt: Receipt | None = None,
    ) -> None:
        """Calls `on_counted` with whether one more request of this tenant passes. `again`: the request is a retry after
        a refusal; `receipt`: filled in before the call if the request was counted.
        """
        quota = self._quota(tenant)
        if quota.rate <= 0:
            return on_counted(True, 0, True)
        self._seen_tenants[tenant] = None
        duty, now = duty_of(tenant), self.loop.now
        if self._is_counting(duty):
            self._counters[duty].set_reachable_share(self._presence.present_share(), now)
            decision = self._counters[duty].count_request(tenant, quota, again, now)
            self._readings.record(tenant, decision.level, now)
            if receipt is not None and decision.passes:
                receipt.tenant, receipt.counter_id, receipt.counted_at = tenant, self._incarnation, decision.counted_at
            return on_counted(decision.passes, decision.wait_us, True)
        holder = self._directory.holder(duty)
        if holder is None and patience:
            call = partial(self.count_request, tenant, again, on_counted, 0, receipt)
            return self._delayed_calls.delay(duty, call, patience)
        if holder is None or self._directory.backs_off(duty):
            return self._pass_locally(tenant, quota, on_counted)

        def answered(answer: Any) -> None:
            if not isinstance(answer, list):
                self._directory.unanswered(duty, holder)
                has_changed = self._directory.holder(duty) != holder  # it handed over the duty just now, or has ended
                if not patience or not has_changed:
                    return self._pass_locally(tenant, quota, on_counted)
                retry = partial(self.count_request, tenant, again, on_counted, 0, receipt)
                return retry() if self._directory.holder(duty) else self._delayed_calls.delay(duty, retry, patience)
            reply = CountReply.decode(answer)
            self._directory.answered(duty, holder, reply.stamp)
            self._readings.record(tenant, reply.level, self.loop.now)
            if receipt is not None and reply.passes and reply.counted_at is not None:
                receipt.tenant, receipt.counter_id, receipt.counted_at = tenant, reply.counter_id, reply.counted_at
            on_counted(reply.passes, reply.wait_us, True)

        self._directory.called(duty)
        request = CountRequest(tenant, quota, self._node, again, self._directory.stamp_of(holder))
        self.transport.ask(holder, "count", request.encode(), COUNTER_TIMEOUT_US, answered)

    def refund(self, receipt: Receipt) -> None:
        """Takes back the count of a request that surely never ran. Does nothing when called again, or if the counter
        has stopped counting."""
        counter, receipt.counter_id = receipt.counter_id, ""
        if not counter:
            return
        duty = duty_of(receipt.tenant)
        if counter == self._incarnation:
            self._apply_refund(receipt.tenant, receipt.counted_at)
        elif (holder := self._directory.holder(duty)) is not None:
            self.transport.tell(holder, "give back", self._refunds.encode(receipt.tenant, counter, receipt.counted_at))

    def _on_refund(self, conn: Connection, body: Any, _: Answer) -> None:
        given = self._refunds.accept(body, self._incarnation, self.loop.now)
        if given is not None:
            self._apply_refund(*given)

    def _apply_refund(self, tenant: str, counted_at: int) -> None:
        duty = duty_of(tenant)
        if self._is_counting(duty):
            self._counters[duty].refund(tenant, self._quota(tenant), counted_at, self.loop.now)

    def _pass_locally(self, tenant: str, quota: Quota, on_counted: CountCallback) -> None:
        now = self.loop.now
        absent = now - self._directory.last_answer_at(duty_of(tenant)) - ABSENT_US
        if absent > MEMBER_RETENTION_US - 2 * SECOND and not self._presence.reaches_half():
            absent = 0
        passes = self._local_allowance.allows(tenant, quota, len(self._presence.recent_members), max(0, absent), now)
        if passes:
            self._readings.record_uncounted(tenant, now)
        on_counted(passes, 200_000, False)

    def unreachable_gateways(self, gateways: frozenset[str]) -> float:
        """How many of these gateways are neither present nor known to have ended: each may be using its isolated share.
        Those absent for long count in part."""
        now, incarnations = (
            self.loop.now,
            {node: member.incarnation for node, member in self._presence.recent_members.items()},
        )
        return sum(
            ISOLATED_SHARE if now - self._presence.last_stamps.get(node, self._counts_since) >= LONG_ABSENT_US else 1.0
            for node in gateways
            if node != self._node
            and not self._presence.is_present(node)
            and (node not in incarnations or self._presence.proven_ended.get(node) != incarnations[node])
        )

    def isolated_share(self, duty: str) -> float:
        """What this gateway may use of its even share, as the duty's holder no longer counts it as present."""
        silent = self.loop.now - self._directory.last_answer_at(duty)
        return 0.0 if silent < ABSENT_US else 1.0 if silent < ISOLATED_AFTER_US else ISOLATED_SHARE

    def _known_holder(self, duty: str) -> str | None:
        if self._is_counting(duty):
            return self._self_address
        return self._directory.known_holder(duty)

    # ---- as counter

    def _is_counting(self, duty: str) -> bool:
        return duty in self._counters and self._candidate.holds(duty, self.loop.now)

    def _on_count(self, conn: Connection, body: Any, answer: Answer) -> None:
        request = CountRequest.decode(body)
        duty = duty_of(request.tenant)
        if not self._is_counting(duty):
            return answer(None)
        self._presence.record_stamp(request.node, request.stamp)
        quota = self._quota(request.tenant)
        if quota.rate <= 0:
            quota = request.quota  # state updates of it have not arrived here yet
        self._counters[duty].set_reachable_share(self._presence.present_share(), self.loop.now)
        decision = self._counters[duty].count_request(request.tenant, quota, request.is_retry, self.loop.now)
        stamp = self._presence.stamp()
        reply = CountReply(decision.passes, decision.level, decision.wait_us, stamp, decision.counted_at)
        answer(reply.encode())

    def _on_greeting(self, conn: Connection, body: Any, answer: Answer) -> None:
        self._presence.record_stamp(str(body[0]), body[1])
        answer([self.held_duties(), self._presence.stamp()])

    def _on_levels_request(self, conn: Connection, body: Any, answer: Answer) -> None:
        """Answers a new counter with the last readings and the age of this gateway, which is present there from now
        on."""
        duty = str(body[0])
        self._directory.has_called(duty)
        levels = self._readings.aged(self._quotas_of(duty), len(self._presence.recent_members), self.loop.now)
        answer(
            [
                {tenant: list(known) for tenant, known in levels.items()},
                self.loop.now - self._started_at,
                self._node,
                body[1],
            ]
        )

    def _quotas_of(self, duty: str) -> list[tuple[str, Quota]]:
        return [(tenant, self._quota(tenant)) for tenant in self._seen_tenants if duty_of(tenant) == duty]

    def _start_collection(self, duty: str) -> None:
        """Called when elected: collects the readings of the others, and the former holder's state if it handed the
        duty to this gateway, for at most `COLLECTION_TIMEOUT_US`; then starts to count and announces it.
        """
        now = self.loop.now
        counter = QuotaCounter(self._terms, now)
        collection = self._collections[duty] = UsageCollection(
            counter, len(self._presence.others()), now - self._started_at
        )
        for tenant, known in self._readings.aged(
            self._quotas_of(duty), len(self._presence.recent_members), now
        ).items():
            counter.merge_reading(tenant, *known, now)

        def on_reading(member: Member, address: Address, answer: Any) -> None:
            if not collection.is_open():
                return
            self._presence.check_incarnation(member, address, now, answer)
            if isinstance(answer, list):
                self._presence.record_stamp(str(answer[2]), answer[3])
                collection.record_answer(answer[0], int(answer[1]), self.loop.now)
            else:
                collection.record_failure()
            if collection.is_complete():
                self._start_counting(duty, collection)

        def on_state(state: CounterState, asked: int) -> None:
            if not collection.is_open():
                return
            counter.import_state(state, self.loop.now)
            self._presence.import_ages(state.stamp_ages, asked)
            self._start_counting(duty, collection)

        former = self._handover.take_former_holder(duty)
        if former is not None:
            self._handover.request_state(former, duty, LATE_ANSWER_TIMEOUT_US, on_state)
        for member in self._members().values():
            address = parse_address(member.address)
            if address is not None and member.node != self._node:
                on_answer = partial(on_reading, member, address)
                self.transport.ask(address, "levels", [duty, self._presence.stamp()], LATE_ANSWER_TIMEOUT_US, on_answer)
        self.loop.at(now + COLLECTION_TIMEOUT_US, lambda _: self._start_counting(duty, collection))

    def _start_counting(self, duty: str, collection: UsageCollection) -> None:
        if self._collections.get(duty) is not collection:
            return
        del self._collections[duty]
        if not self._candidate.holds(duty, self.loop.now):
            return collection.close()
        self._counters[duty] = collection.counter
        self._counts_since = self.loop.now
        self._directory.forget(duty)
        self._delayed_calls.resume(duty)
        log_event("counting", duty=duty)
        for address in self._presence.others():
            self.transport.tell(address, "gauge", [duty, self._self_address])

    def _on_announcement(self, conn: Connection, body: Any, _: Answer) -> None:
        duty, where = str(body[0]), str(body[1])
        address = parse_address(where)
        if address is not None and where != self._self_address:
            self._directory.announced(duty, address)

    # ---- elections

    def members_changed(self) -> None:
        """Called when the list of gateways has changed."""
        self._presence.remember()
        members = self._members()
        self._ranks = {}
        for duty in self._duties:
            for rank, member in enumerate(next_on_ring(members, duty, CANDIDATES_PER_DUTY)):
                if member.node == self._node:
                    self._ranks[duty] = rank

    def _voter_addresses(self) -> list[Address]:
        found = [parse_address(address) for address in self._voters()]
        return [address for address in found if address is not None]

    def _tick(self, _: Any) -> None:
        now = self.loop.now
        self.loop.at(now + TICK_INTERVAL_US, self._tick)
        greeted: set[Address] = set()
        self._presence.remember()
        if self.held_duties():
            self._presence.probe_absent()
        for duty in self._duties:
            if duty in self._counters and not self._is_counting(duty):
                log_event("counts no longer", duty=duty)
                self._stop_counting(duty)
                self._handover.announce_successor(duty, self._handover.first_successor(duty))
            elif duty in self._counters:
                self._counters[duty].set_reachable_share(self._presence.present_share(), now)
            self._run_election(duty)
            holder = self._directory.holder(duty)
            if duty in self._counters:
                continue
            if holder is None:
                self._directory.find(duty)
            else:
                self._directory.greet_if_idle(duty, holder, greeted)

    def _run_election(self, duty: str) -> None:
        """Renews the votes for a duty that is held here, or starts an election for a vacant one."""
        now, holds = self.loop.now, duty in self._counters
        is_successor = self._handover.is_successor(duty)
        is_candidate = (
            (is_successor or duty in self._ranks)
            and self.may_stand()
            and not self._handover.shutting_down
            and not self._handover.yields_to_successor(duty)
        )
        if not holds and not is_candidate:
            return
        silent = self._directory.last_answer_at(duty)
        if is_successor or self._directory.is_vacant(duty):
            silent = min(silent, now - HOLDER_SILENCE_US)
        self._send_to_voters(
            self._candidate.next_request(
                duty, silent, 0 if is_successor else self._ranks.get(duty, CANDIDATES_PER_DUTY), now
            )
        )

    def _send_to_voters(self, request: VoteRequest | None) -> None:
        """Sends a request to all voters."""
        if request is None:
            return
        voters = self._voter_addresses()

        def answered(answer: Any, voter: Address) -> None:
            if isinstance(answer, list):
                response = VoteResponse.decode(request.duty, answer)
                self._on_vote(response, format_address(voter), len(voters))

        message = request.encode(self._self_address)
        for voter in voters:
            self.transport.ask(voter, "ballot", message, VOTE_TIMEOUT_US, partial(answered, voter=voter))

    def _on_vote(self, response: VoteResponse, voter: str, voters: int) -> None:
        now = self.loop.now
        if not response.granted:
            self._directory.reported(response.duty, response.holder_address)
        held = self._candidate.holds(response.duty, now)
        self._send_to_voters(self._candidate.on_response(response, voter, voters, now))
        if not held and self._candidate.holds(response.duty, now) and response.duty not in self._collections:
            self._start_collection(response.duty)

    # ---- handover

    def release(self) -> None:
        """Called at shutdown: hands over the duties held here, and stops being a candidate."""
        self._handover.shutting_down = True
        self._ranks.clear()
        self._handover.find_successors(self.held_duties(), self._hand_over)

    def _hand_over(self, successors: dict[str, Address]) -> None:
        """Hands over all duties at once, as the voters release all votes for an incarnation together."""
        for duty in list(self._counters):
            self._stop_counting(duty)
        for duty in self._collections:
            self._candidate.abandon(duty)
        for voter in self._voter_addresses():
            self.transport.tell(voter, "ended", self._incarnation)
        for duty, successor in successors.items():
            if duty in self._former_counters:  # else its lease expired meanwhile, and it was handed over then
                self._handover.announce_successor(duty, successor)

    def _stop_counting(self, duty: str) -> None:
        self._former_counters[duty] = (self._counters.pop(duty), self.loop.now + STATE_RETENTION_US)
        self._candidate.abandon(duty)

    def _successors(self, duty: str) -> list[Member]:
        """The next candidates for a duty, present ones first; limited, as they are asked one by one."""
        found = [
            member for member in next_on_ring(self._members(), duty, MAX_SUCCESSORS_ASKED) if member.node != self._node
        ]
        return sorted(found, key=lambda member: not self._presence.is_present(member.node))

    def _start_election(self, duty: str, above: int) -> None:
        self._send_to_voters(self._candidate.start_round(duty, self.loop.now, above))

    def _former_state(self, duty: str) -> CounterState | None:
        """The state of a former counter; that of an active one would miss what it counts later."""
        counter, until = self._former_counters.get(duty, (None, 0))
        if counter is None or self.loop.now > until:
            return None
        return counter.export_state(self._quota, self._presence.stamp_ages(), self.loop.now)
