"""Rule on requests that are held past their route's deadline: CONFIG."""

from __future__ import annotations

from collections.abc import Iterator

from oakvale.lab.judge.cases import Case, Matter
from oakvale.lab.judge.words import MS, Broken

LATE = 500 * MS  # past the deadline of the route
LEAST = 8  # requests without a final answer by then, and
SHARE = 0.25  # of those that had none at the deadline: the stricter of the two shares that the operators name


def overdue(matter: Matter) -> Iterator[Broken]:
    """Of the requests still unanswered at the deadline of their route, too many have no answer half a second later."""
    unanswered, late = 0, list[Case]()
    for case in matter.cases.values():
        due = _due(matter, case)
        if due is None or case.sent is None or _ended_by(case, due):
            continue
        if not matter.calm.in_touch(case.sent.gateway, case.sent.at, due + LATE):
            continue
        unanswered += 1
        if not _ended_by(case, due + LATE):
            late.append(case)
    if len(late) >= LEAST and len(late) > SHARE * unanswered:
        at = min(case.sent.at for case in late if case.sent is not None)
        names = tuple(case.id for case in late)
        yield Broken("CONFIG", at, names, f"{len(late)} of {unanswered} are held half a second past their deadline")


def _due(matter: Matter, case: Case) -> int | None:
    """The latest deadline that a configuration in force sets; None where the client's own ends before it is judged."""
    sent = case.sent
    if sent is None or case.whole_at is None:
        return None
    routes = matter.routes(sent)
    if not routes:
        return None
    due = case.whole_at + max(route.deadline for route in routes)
    return due if due + LATE < min(sent.deadline, matter.record.ended) else None


def _ended_by(case: Case, at: int) -> bool:
    closed = case.closed is not None and case.closed.at <= at
    return closed or any(got.at <= at for got in case.got)
