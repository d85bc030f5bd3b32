"""Rules on the system as a whole: RECOVER, and what fails the gate or counts as a fault (ACKS, FAULT)."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from oakvale.lab.judge.cases import Matter
from oakvale.lab.judge.words import MS, Broken, Spans, Worth
from oakvale.lab.record import Event, State

QUARTER = 0.25
FOR_EACH_ROUTE = 3 * MS
FIFTH, EIGHTH = 0.2, 0.125
LEAST = 20  # requests, or looks, from which on shares of them are compared
TENTH = 0.1
ENDS = 3


def recover(matter: Matter) -> Iterator[Broken]:
    for closing in matter.record.happened:
        if closing.kind is not Event.CLOSING:
            continue
        before, after = [0, 0], [0, 0]
        for case in matter.cases.values():
            sent = case.sent
            if sent is None or not sent.route:
                continue
            if not matter.force.everywhere(sent.at, sent.at, lambda t, s=sent: t.allows(s.host, s.path, s.key)):  # type: ignore[misc]
                continue
            back = closing.until + matter.bounds.recover
            part = before if sent.at < closing.at else after if sent.at > back else None
            if part is not None:
                part[0] += 1
                part[1] += case.served is not None
        if before[0] and after[0] and before[1] >= QUARTER * before[0] and after[1] < QUARTER * after[0]:
            yield Broken(
                "RECOVER",
                closing.until + matter.bounds.recover,
                closing.machines,
                f"{after[1]} of {after[0]} requests were served after the closing fault, {before[1]} of "
                f"{before[0]} before it",
            )


def acks(matter: Matter) -> Iterator[Broken]:
    """Proper orders and words of leaving without an acknowledgement after `ack`, while the core was settled and no
    link was in trouble."""
    links = [
        (h.at, h.until)
        for h in matter.record.happened
        if h.kind in (Event.CUT, Event.LINK, Event.CHOKED, Event.RESET, Event.ACK_LOST)
    ]
    rough = Spans([*matter.calm.unsettled, *links])
    ended = matter.record.ended or 1 << 62
    for version in matter.force.proper:
        due = version.at + matter.bounds.ack + FOR_EACH_ROUTE * (len(version.table.routes) if version.table else 0)
        if (version.acked_at is None or version.acked_at > due) and due <= ended and not rough.meets(version.at, due):
            yield Broken(
                "ACKS",
                due,
                (),
                f"version {version.gen} is not acknowledged after {(due - version.at) / 1e6:.2f} s of calm",
            )
    first: dict[str, tuple[int, int]] = {}  # of those that leave: first said, first acknowledged
    for said in matter.record.said:
        if said.state is State.DRAIN:
            at, acked = first.get(said.backend, (said.at, 1 << 62))
            first[said.backend] = (min(at, said.at), min(acked, said.acked_at or 1 << 62))
    crashed = {name for h in matter.record.happened if h.kind is Event.BACKEND for name in h.machines}
    calm = {
        name: times
        for name, times in first.items()
        if times[0] + matter.bounds.ack <= ended
        and name not in crashed
        and not rough.meets(times[0], times[0] + matter.bounds.ack)
    }
    late = [name for name, (at, acked) in calm.items() if acked > at + matter.bounds.ack]
    if len(late) > FIFTH * len(calm):
        yield Broken(
            "ACKS",
            ended,
            tuple(late),
            f"{len(late)} of {len(calm)} backends that leave in a calm time are not acknowledged in time",
        )


def starved(matter: Matter, worth: Worth) -> Iterator[Broken]:
    """A kind of request, or a tenant's requests, served less than a quarter as often as all."""
    parts = list(worth.by_route.values())
    asked, served = sum(part.asked for part in parts), sum(part.served for part in parts)
    for what, found in (("kind", worth.by_route), ("tenant", worth.by_tenant)):
        for name, part in found.items():
            if name and part.asked >= LEAST and part.served * asked < QUARTER * served * part.asked:
                yield Broken(
                    "STARVED",
                    matter.record.ended,
                    (name,),
                    f"{what} {name}: {part.served} of {part.asked} requests were served, of all {served} of {asked}",
                )


def duty(matter: Matter) -> Iterator[Broken]:
    """Machines in touch that take requests are not ready for an eighth of the calm time."""
    calm = [
        look
        for look in matter.record.looked
        if look.at >= matter.record.began and matter.calm.in_touch(look.machine, look.at)
    ]
    not_ready = [look for look in calm if not look.ready]
    if len(calm) >= LEAST and len(not_ready) >= EIGHTH * len(calm):
        yield Broken(
            "DUTY",
            not_ready[0].at,
            tuple(sorted({look.machine for look in not_ready})),
            f"not ready at {len(not_ready)} of {len(calm)} looks in calm time",
        )


def fault(matter: Matter) -> Iterator[Broken]:
    """Processes that end by themselves with no trouble there; or nothing is served."""
    ends: dict[str, int] = defaultdict(int)
    for span in matter.calm.happened:
        if span.kind is Event.END:
            for name in span.machines:
                ends[name] += 1
    often = [name for name, times in ends.items() if times >= ENDS]
    least = max(2, TENTH * len(matter.record.machines))
    if len(often) >= least or matter.calm.core and 2 * len(set(often) & set(matter.calm.core)) >= len(matter.calm.core):
        yield Broken("FAULT", matter.record.ended, tuple(often), "processes end by themselves three times or more")
    if matter.record.sent and not any(case.served for case in matter.cases.values()):
        yield Broken("FAULT", matter.record.ended, (), "no request is served")
