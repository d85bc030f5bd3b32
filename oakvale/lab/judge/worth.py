"""What was earned of what was owed, by route, second, zone and tenant."""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass, field

from oakvale.lab.judge.cases import PROMISES, Case, Matter
from oakvale.lab.judge.words import Part, Worth
from oakvale.lab.record import Kind, Sent

WELL = 100_000  # before its time is over
EARLY = 0.25  # of the aim: a refusal within it, followed by a service, earns the mean of both


@dataclass(slots=True)
class Ask:
    """A request as its client knows it: all its tries."""

    kind: Kind
    tries: list[Case] = field(default_factory=list)

    @property
    def first(self) -> Sent:
        sent = self.tries[0].sent
        assert sent is not None
        return sent

    @property
    def served(self) -> bool:
        return any(case.served for case in self.tries)

    def earned(self) -> float:
        for number, case in enumerate(self.tries):
            got, sent = case.served, case.sent
            if got is None or sent is None:
                continue
            if got.at > self.first.deadline:
                return 0.0
            if got.at - self.first.at <= self.kind.aim:
                return self.kind.worth
            early = self.first.at + EARLY * self.kind.aim
            refused = any(
                before.got and before.got[0].status in PROMISES and before.got[0].at <= early
                for before in self.tries[:number]
            )
            if refused and got.at - sent.at <= self.kind.aim:
                return (self.kind.worth + self.kind.late) / 2
            return self.kind.late
        return 0.0


def worth(matter: Matter) -> Worth:
    found = Worth()
    asks = _asks(matter)
    free = _excess(matter, asks)
    for name, ask in asks.items():
        sent = ask.first
        if name in free or not _owed(matter, ask):
            found.excess += 1
            continue
        earned, owed = ask.earned(), ask.kind.worth
        found.earned += earned
        found.owed += owed
        second = (sent.at - matter.record.began) // 1_000_000
        for part in (
            found.by_route.setdefault(ask.kind.name, Part()),
            found.by_zone.setdefault(sent.zone, Part()),
            found.by_tenant.setdefault(sent.tenant or "", Part()),
            found.by_second.setdefault(second, Part()),
        ):
            part.earned += earned
            part.owed += owed
            part.asked += 1
            part.served += ask.served
        if not ask.served:
            _price(found, ask)
        found.broken_off += any(_broken_off(case) for case in ask.tries)
        if ask.served:
            found.served += 1
        elif ask.tries[-1].got and ask.tries[-1].got[0].status in PROMISES:
            found.refused += 1
        else:
            found.failed += 1
    return found


def _price(found: Worth, ask: Ask) -> None:
    """What a request that was not served is taken off for."""
    aim, last = ask.kind.aim, ask.tries[-1]
    offered = any(a.at <= ask.first.at + aim for case in ask.tries for a in case.arrived)
    longest = max((_end(case) - case.sent.at for case in ask.tries if case.sent is not None), default=0)
    found.held += not offered and longest > EARLY * aim
    found.ended += any(
        not case.arrived
        and (_own_error(case) or case.closed is not None and case.closed.read and not case.closed.by_client)
        for case in ask.tries
    )
    before = any(case.got and case.got[0].status in PROMISES for case in ask.tries[:-1])
    found.refused_again += before and bool(last.got) and last.got[0].status in PROMISES


def _end(case: Case) -> int:
    assert case.sent is not None
    return case.got[0].at if case.got else case.closed.at if case.closed else case.sent.at


def _own_error(case: Case) -> bool:
    return bool(case.got) and case.got[0].status >= 500 and case.got[0].status != 503 and case.got[0].seal is None


def _broken_off(case: Case) -> bool:
    """A backend dropped it, as the gateway had closed well before its time was over; not for its client's sake."""
    sent = case.sent
    if sent is None or case.closed is not None and case.closed.by_client:
        return False
    return any(not drop.own and drop.at < sent.deadline - WELL for drop in case.dropped)


def _asks(matter: Matter) -> dict[str, Ask]:
    found: dict[str, Ask] = {}
    for sent in matter.record.sent:
        kind = matter.record.kinds.get(sent.route)
        if kind is None:
            continue
        ask = found.get(sent.first)
        if ask is None:
            ask = found[sent.first] = Ask(kind)
        ask.tries.append(matter.cases[sent.id])
    return found


def _owed(matter: Matter, ask: Ask) -> bool:
    """Allowed by all that may be in force, and the client waited as long as it said, or got an answer."""
    sent, last = ask.first, ask.tries[-1]
    allowed = matter.force.everywhere(sent.at, sent.deadline, lambda t: t.allows(sent.host, sent.path, sent.key))
    if not allowed and not ask.served:
        return False
    gave_up = last.closed is not None and last.closed.by_client and last.closed.at < sent.deadline - 1_000
    return not gave_up or bool(last.got)


def _excess(matter: Matter, asks: dict[str, Ask]) -> set[str]:
    """Asks beyond their tenant's limit, by a bucket. A served one is always owed: it takes the place of an unserved
    one within the limit, less than a window away."""
    free: set[str] = set()
    by_tenant: dict[str, list[tuple[int, str]]] = defaultdict(list)
    for name, ask in asks.items():
        if ask.first.tenant is not None:
            by_tenant[ask.first.tenant].append((ask.first.at, name))
    window = matter.bounds.quota_win
    for tenant, times in by_tenant.items():
        level, last = None, 0
        owed: deque[tuple[int, str]] = deque()  # unserved and within the limit
        ahead: deque[int] = deque()  # served ones beyond it, whose place is still to be taken
        for at, name in sorted(times):
            limit = _limit(matter, tenant, at)
            if limit is None:
                continue
            rate, burst = limit
            level = burst if level is None else min(burst, level + (at - last) * rate / 1e6)
            last = at
            passes = level >= 1
            level -= passes
            served = asks[name].served
            if passes and not served:
                while ahead and ahead[0] < at - window:
                    ahead.popleft()
                if ahead:
                    ahead.popleft()
                    free.add(name)
                else:
                    owed.append((at, name))
            elif not passes and served:
                while owed and owed[0][0] < at - window:
                    owed.popleft()
                if owed:
                    free.add(owed.popleft()[1])
                else:
                    ahead.append(at)
            elif not passes:
                free.add(name)
    return free


def _limit(matter: Matter, tenant: str, at: int) -> tuple[float, float] | None:
    """The lowest limit that may be in force."""
    found = [
        limit
        for v in matter.force.candidates(at, at)
        if v.table is not None and (limit := v.table.limits.get(tenant)) is not None and limit.rate
    ]
    if not found:
        return None
    lowest = min(found, key=lambda limit: limit.rate)
    return lowest.rate, max(1.0, lowest.burst)
