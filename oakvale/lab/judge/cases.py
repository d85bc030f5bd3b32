"""The record by request: what a judge of single requests looks at."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from oakvale.lab.judge.calm import Calm
from oakvale.lab.judge.force import Force, Route
from oakvale.lab.judge.words import Bounds
from oakvale.lab.record import Answered, Arrived, Closed, Declined, Dropped, Got, Ran, Record, Sent

PROMISES = frozenset({408, 421, 429, 503})


@dataclass(slots=True)
class Case:
    """One try, as all sides saw it."""

    id: str
    sent: Sent | None = None
    whole_at: int | None = None  # its last byte was sent
    got: list[Got] = field(default_factory=list)
    closed: Closed | None = None
    arrived: list[Arrived] = field(default_factory=list)
    ran: list[Ran] = field(default_factory=list)
    declined: list[Declined] = field(default_factory=list)
    answered: list[Answered] = field(default_factory=list)
    dropped: list[Dropped] = field(default_factory=list)

    def arrival_of(self, ran: Ran) -> Arrived | None:
        """The arrival that a run came from: the last there before it."""
        found = None
        for arrival in self.arrived:
            if arrival.backend == ran.backend and arrival.at <= ran.at:
                found = arrival
        return found

    def backends_own(self, got: Got) -> Answered | None:
        """The backend's answer that a client got, if it is one."""
        if got.seal is None:
            return None
        return next(
            (
                a
                for a in self.answered
                if a.seal == got.seal and a.status == got.status and a.body_digest == got.body_digest and a.at <= got.at
            ),
            None,
        )

    @property
    def served(self) -> Got | None:
        return next((got for got in self.got if 200 <= got.status < 300 and got.whole), None)


@dataclass(slots=True)
class Matter:
    """All that the rules are judged on."""

    record: Record
    bounds: Bounds
    calm: Calm
    force: Force
    cases: dict[str, Case]
    surplus: list[Got]  # answers and bytes that nobody waited for

    @classmethod
    def of(cls, record: Record) -> Matter:
        bounds = Bounds.of(record.bounds)
        cases: dict[str, Case] = {}

        def case(name: str) -> Case:
            found = cases.get(name)
            if found is None:
                found = cases[name] = Case(name)
            return found

        for sent in record.sent:
            case(sent.id).sent = sent
        for wrote in record.wrote:
            case(wrote.id).whole_at = wrote.at
        for got in record.got:
            if got.id is not None:
                case(got.id).got.append(got)
        for closed in record.closed:
            if closed.id is not None:
                case(closed.id).closed = closed
        for arrived in record.arrived:
            case(arrived.id).arrived.append(arrived)
        for ran in record.ran:
            case(ran.id).ran.append(ran)
        for declined in record.declined:
            case(declined.id).declined.append(declined)
        for answered in record.answered:
            case(answered.id).answered.append(answered)
        for dropped in record.dropped:
            case(dropped.id).dropped.append(dropped)
        return cls(
            record,
            bounds,
            Calm(record, bounds),
            Force(record, bounds),
            cases,
            [got for got in record.got if got.id is None],
        )

    def routes(self, sent: Sent) -> list[Route]:
        """Its route by each proper configuration that was sent before the end and has one for it."""
        tables = [version.table for version in self.force.proper if version.table is not None]
        return [route for table in tables if (route := table.route(sent.host, sent.path)) is not None]

    def repeatable(self, sent: Sent) -> bool:
        """Some configuration that was sent before its end calls its route safe."""
        return any(route.safe for route in self.routes(sent))


def by_gateway(cases: dict[str, Case]) -> dict[str, list[Case]]:
    found: dict[str, list[Case]] = defaultdict(list)
    for case in cases.values():
        if case.sent is not None:
            found[case.sent.gateway].append(case)
    return found
