"""Rules on what configurations allow: DENIED, ROUTE, CONFIG."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from oakvale.lab.judge.cases import Case, Matter
from oakvale.lab.judge.force import Table, Version
from oakvale.lab.judge.words import Broken
from oakvale.lab.record import Event, Sent

NOT_DENIED = frozenset({408, 409, 421, 429})
TELLING = frozenset({401, 403, 404})
ADDED_LEAST = 20  # requests on routes added later, from which on they are compared
SLOWER = 8  # times `revert` on a slowed machine


def denied(matter: Matter) -> Iterator[Broken]:
    found = []
    for case in matter.cases.values():
        sent = case.sent
        if sent is None or not case.got:
            continue
        got = case.got[0]
        if not 300 <= got.status < 500 or got.status in NOT_DENIED or _from_backend(case):
            continue
        if not matter.calm.in_touch(sent.gateway, sent.at, got.at):
            continue
        if matter.force.everywhere(sent.at, got.at, lambda t, s=sent: t.allows(s.host, s.path, s.key)):  # type: ignore[misc]
            found.append(
                Broken(
                    "DENIED",
                    got.at,
                    (case.id,),
                    f"{got.status} by {sent.gateway}, though every configuration that may be in force allows it",
                )
            )
    if len(found) > 5 + len(matter.record.sent) / 500:
        yield from found


def _from_backend(case: Case) -> bool:
    return any(a.status == case.got[0].status and a.at <= case.got[0].at for a in case.answered)


def route(matter: Matter) -> Iterator[Broken]:
    versions = [v for v in matter.force.all if v.table is not None]
    if not versions:
        return
    known: dict[str, int] = {}  # keys, by when they were first sent
    unguarded = next((v.at for v in versions if v.table is not None and not v.table.guarded), None)
    for version in versions:
        assert version.table is not None
        for key in version.table.holders:
            known.setdefault(key, version.at)
    for case in matter.cases.values():
        sent = case.sent
        if sent is None:
            continue
        for ran in case.ran:
            tables = [v.table for v in versions if v.at <= ran.at and v.table is not None]
            routes = [r for r in (t.route(sent.host, sent.path) for t in tables) if r is not None]
            if not any(ran.service in r.services for r in routes):
                yield Broken("ROUTE", ran.at, (case.id,), f"{ran.service} runs what no configuration sends to it")
            elif (
                not any(r.public for r in routes)
                and known.get(sent.key or "", ran.at + 1) > ran.at
                and not (unguarded is not None and unguarded <= ran.at)
            ):
                yield Broken("ROUTE", ran.at, (case.id,), "ran with a key that no configuration ever held")


@dataclass(slots=True)
class Handled:
    """What a gateway did with a request that tells which configuration it went by."""

    case: Case
    sent: Sent
    at: int
    what: str
    service: str | None = None
    status: int = 0

    def fits(self, table: Table) -> bool:
        sent = self.sent
        if self.service is not None:
            return table.runs(sent.host, sent.path, sent.key, self.service)
        return table.refuses(sent.host, sent.path, sent.key, self.status)


def handled(matter: Matter) -> list[Handled]:
    found = []
    for case in matter.cases.values():
        sent = case.sent
        if sent is None:
            continue
        for ran in case.ran:
            arrival = case.arrival_of(ran)
            if arrival is None or arrival.gateway in ("", sent.gateway):
                found.append(
                    Handled(
                        case,
                        sent,
                        ran.at if arrival is None else arrival.at,
                        f"run by {ran.service}",
                        service=ran.service,
                    )
                )
        if case.got and case.got[0].status in TELLING and not _from_backend(case):
            found.append(Handled(case, sent, case.got[0].at, f"{case.got[0].status}", status=case.got[0].status))
    return found


def config(matter: Matter) -> Iterator[Broken]:
    done = handled(matter)
    yield from _orders(matter)
    yield from _stale(matter, done)
    yield from _back(matter, done)
    yield from _added(matter)
    yield from _read_back(matter)


def _orders(matter: Matter) -> Iterator[Broken]:
    for order in matter.record.ordered:
        if not order.valid and order.acked_at is not None:
            yield Broken(
                "CONFIG", order.acked_at, (order.by or "",), f"version {order.gen} is invalid and acknowledged"
            )


def _stale(matter: Matter, done: list[Handled]) -> Iterator[Broken]:
    """Later than `apply` after an acknowledgement as only an older version allows; or as only what is invalid does."""
    force, calm, bounds = matter.force, matter.calm, matter.bounds
    improper = [v for v in force.all if not v.proper and v.table is not None]
    if len(force.all) < 2:
        return
    for one in done:
        fitting = [v for v in force.proper if v.at <= one.at and v.table is not None and one.fits(v.table)]
        if not fitting:
            for v in improper:
                if v.at <= one.at and v.table is not None and one.fits(v.table):
                    yield Broken(
                        "CONFIG",
                        one.at,
                        (one.case.id,),
                        f"{one.what} as only version {v.gen} allows, which is invalid or was refused",
                    )
                    break
            continue
        newest = max(v.gen for v in fitting)
        if newest >= force.floor(one.sent.at, bounds.apply):
            continue
        gateway = one.sent.gateway
        if calm.in_touch(gateway, one.sent.at, one.at):
            lag = bounds.apply
        elif calm.outer(gateway, one.sent.at, one.at):
            lag = bounds.apply + bounds.skew
            begin = min(
                (v.acked_at for v in force.proper if v.acked_at is not None and v.gen > newest), default=one.sent.at
            )
            if newest >= force.floor(one.sent.at, lag) or not calm.core_holds(begin, one.at):
                continue
        else:
            continue
        floor = force.floor(one.sent.at, lag)
        late = one.sent.at - (force.acked(floor) or 0)
        yield Broken(
            "CONFIG",
            one.at,
            (one.case.id,),
            f"{gateway}: {one.what} as version {newest} allows, "
            f"{late / 1e6:.2f} s after version {floor} was acknowledged",
        )


def _back(matter: Matter, done: list[Handled]) -> Iterator[Broken]:
    """Within one life a gateway handles as only an older version allows, after a backend saw the effect of a newer."""
    calm, bounds, force = matter.calm, matter.bounds, matter.force
    if len(force.proper) < 2:
        return
    lives: dict[tuple[str, int], list[Handled]] = defaultdict(list)
    for one in done:
        lives[one.sent.gateway, calm.life(one.sent.gateway, one.at)].append(one)
    for (gateway, _), acts in lives.items():
        acts.sort(key=lambda act: act.at)
        when: list[int] = []  # when an effect newer than all before was seen
        gens: list[int] = []
        for act in acts:
            fitting = [v.gen for v in force.proper if v.at <= act.at and v.table is not None and act.fits(v.table)]
            if not fitting:
                continue
            slack = bounds.revert * (SLOWER if calm.slowed(gateway, act.at) else 1)
            index = bisect_left(when, act.sent.at - slack) - 1
            if index >= 0 and max(fitting) < gens[index]:
                yield Broken(
                    "CONFIG",
                    act.at,
                    (act.case.id,),
                    f"{gateway} goes back: {act.what} as version "
                    f"{max(fitting)} allows, {(act.sent.at - when[index]) / 1e6:.2f} s after version "
                    f"{gens[index]} was seen",
                )
            if act.service is not None and (not gens or min(fitting) > gens[-1]):
                when.append(act.at)
                gens.append(min(fitting))


def _added(matter: Matter) -> Iterator[Broken]:
    """In calm times, routes that were added later are served less than a quarter as often as the first."""
    versions = matter.force.proper
    if len(versions) < 2 or versions[0].table is None:
        return
    first = versions[0].table.names
    counts = {False: [0, 0], True: [0, 0]}  # added: sent, served
    ids: list[str] = []
    for case in matter.cases.values():
        sent = case.sent
        if sent is None or case.got and case.got[0].status == 429:
            continue  # a quota's refusal says nothing of the route
        end = case.got[0].at if case.got else case.closed.at if case.closed else sent.at
        if not matter.calm.in_touch(sent.gateway, sent.at, end) or matter.calm.unplanned(
            sent.at - matter.bounds.contact, end
        ):
            continue
        may = matter.force.candidates(sent.at, end)
        names = {_name(v, sent) for v in may}
        if (
            len(names) != 1
            or None in names
            or not all(v.table and v.table.allows(sent.host, sent.path, sent.key) for v in may)
        ):
            continue
        count = counts[not names <= first]
        count[0] += 1
        count[1] += case.served is not None
        if not names <= first and case.served is None:
            ids.append(case.id)
    (old, old_served), (new, new_served) = counts[False], counts[True]
    if new >= ADDED_LEAST and old and new_served / new < old_served / old / 4:
        yield Broken(
            "CONFIG",
            matter.record.ended,
            tuple(ids[:10]),
            f"{new_served} of {new} requests on routes added later were served, {old_served} of {old} on the first",
        )


def _name(version: Version, sent: Sent) -> str | None:
    found = version.table.route(sent.host, sent.path) if version.table else None
    return found.name if found else None


def _read_back(matter: Matter) -> Iterator[Broken]:
    if not matter.record.read_back:
        return
    read = matter.record.read_back[-1]
    acked = [v for v in matter.force.proper if v.acked_at is not None]
    closing = [h for h in matter.record.happened if h.kind is Event.CLOSING]
    if read.gen < 0:
        if acked:
            yield Broken("CONFIG", read.at, (), "read back: it doesn't come")
        return
    newest = max((v.gen for v in acked), default=-1)
    if read.gen < newest:
        yield Broken("CONFIG", read.at, (), f"read back: version {read.gen}; {newest} was acknowledged")
        if closing and any(
            v.gen > read.gen and v.acked_at is not None and v.acked_at <= closing[-1].at + 10_000 for v in acked
        ):
            yield Broken("LOST", read.at, (), f"version {newest} was acknowledged and is gone after the closing fault")
    same = [v for v in matter.force.all if v.gen == read.gen]
    if not any(v.order.content_digest == read.content_digest for v in same):
        yield Broken("CONFIG", read.at, (), f"read back: version {read.gen} is not what was sent under its number")
    elif not any(v.proper for v in same if v.order.content_digest == read.content_digest):
        yield Broken("CONFIG", read.at, (), f"read back: version {read.gen} is invalid or was refused, and in force")
