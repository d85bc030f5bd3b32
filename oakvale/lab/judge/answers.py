"""Rules on single requests and their answers: MIXED, UNASKED, TWICE, REFUSED."""

from __future__ import annotations

from collections.abc import Iterator

from oakvale.lab.judge.cases import PROMISES, Case, Matter
from oakvale.lab.judge.words import Broken
from oakvale.lab.record import Arrived, Fate, Got, Sent


def mixed(matter: Matter) -> Iterator[Broken]:
    owners = {answered.seal: answered.id for answered in matter.record.answered}
    for got in matter.surplus:
        if 200 <= got.status < 300:
            yield Broken("MIXED", got.at, (got.shown or "",), "a success where no request waits")
        elif got.status == 0:
            yield Broken("MIXED", got.at, (), "bytes that are no answer where no request waits")
    for case in matter.cases.values():
        for number, got in enumerate(case.got):
            why = _wrong(case, got, owners) if number == 0 else "a second answer to one request"
            if why:
                yield Broken("MIXED", got.at, (case.id,), why)


def _wrong(case: Case, got: Got, owners: dict[str, str]) -> str:
    if got.status == 0:
        broke_off = any(a.fate is Fate.CUT for a in case.answered)
        return "" if broke_off else "bytes that are no answer"
    if got.shown is not None and got.shown != case.id:
        return f"an answer that belongs to {got.shown}"
    if got.seal is not None and owners.get(got.seal, case.id) != case.id:
        return f"an answer that belongs to {owners[got.seal]}"
    if not got.whole:
        return ""  # its end shows that it is none
    success = 200 <= got.status < 300
    if got.seal is None:
        return "a success without a seal" if success else ""
    if got.encoded:
        return "an encoded body is not the backend's"
    if case.backends_own(got) is None:
        given = [a for a in case.answered if a.seal == got.seal]
        if not given:
            return "a seal that no backend gave" if success else ""
        if given[0].status != got.status:
            return f"{got.status} where the backend answered {given[0].status}"
        return "a body that is not the backend's whole body, and looks complete"
    return ""


def unasked(matter: Matter) -> Iterator[Broken]:
    for case in matter.cases.values():
        for ran in case.ran:
            if case.sent is None:
                yield Broken("UNASKED", ran.at, (case.id,), "a run with an id that no client sent")
                continue
            arrival = case.arrival_of(ran)
            if arrival is None:
                continue
            changed = [
                name for name in ("method", "path", "body_digest") if getattr(case.sent, name) != getattr(arrival, name)
            ]
            if changed:
                yield Broken("UNASKED", ran.at, (case.id,), f"changed on its way: {', '.join(changed)}")
            why = _stranger(matter, case.sent, arrival)
            if why:
                yield Broken("UNASKED", ran.at, (case.id,), why)


def _stranger(matter: Matter, sent: Sent, arrival: Arrived) -> str:
    """What is wrong with the tenant that a backend was shown."""
    tables = [v.table for v in matter.force.proper if v.table is not None and v.at <= arrival.at and v.table.guarded]
    if not tables:
        return ""
    if sent.key and arrival.key_shown and sent.key in arrival.key_shown:
        return "the key was passed on"
    holders: set[str | None] = {table.holders[sent.key] for table in tables if sent.key in table.holders}
    routes = [table.route(sent.host, sent.path) for table in tables]
    if not holders or any(route is not None and route.public for route in routes):
        holders.add(None)
    if arrival.tenant not in holders:
        return f"run for tenant {arrival.tenant}, whose key it is not"
    return ""


def twice(matter: Matter) -> Iterator[Broken]:
    for case in matter.cases.values():
        if len(case.ran) > 1 and case.sent is not None and not matter.repeatable(case.sent):
            yield Broken(
                "TWICE",
                case.ran[1].at,
                (case.id,),
                f"ran {len(case.ran)} times: {', '.join(ran.backend for ran in case.ran)}",
            )


def refused(matter: Matter) -> Iterator[Broken]:
    for case in matter.cases.values():
        if not case.ran or case.sent is None:
            continue
        for got in case.got[:1]:
            if got.status in PROMISES and not matter.repeatable(case.sent):
                when = "has run" if case.ran[0].at <= got.at else "ran later"
                yield Broken(
                    "REFUSED",
                    got.at,
                    (case.id,),
                    f"{got.status} promised that it has not run; it {when} at {case.ran[0].backend}",
                )
