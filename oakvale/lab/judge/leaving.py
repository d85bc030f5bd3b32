"""Rules on leaving in order: DRAIN, LOST."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator

from oakvale.lab.judge.cases import Case, Matter
from oakvale.lab.judge.words import MS, SECOND, Broken
from oakvale.lab.record import Closed, Event, Fate, Got, Happened, Looked, State

EARLY = 2 * MS  # `Time-Left` is in whole milliseconds
EXCUSED_SHARE = 5, 6  # of `grace`: a backend that is at work after that excuses a cut, on
EXCUSED_IF_SENT = 3 * SECOND  # a request that was sent no later than this after the SIGTERM
STILL_READY = 4 * SECOND  # after its SIGTERM a machine may not be asked for more any longer
MISSES = 2  # looks in a row without a 200 that take a machine out
LEAST_STILL_READY = 2  # machines, and
STILL_READY_SHARE = 0.25  # of those that were ready when SIGTERM came
MORE = 3  # times as many around configurations as at other times


def drain(matter: Matter) -> Iterator[Broken]:
    calm, bounds = matter.calm, matter.bounds
    gone: dict[str, int] = {}
    for said in matter.record.said:
        if said.state is State.READY or said.acked_at is None or said.by is None:
            continue
        gone[said.backend] = min(gone.get(said.backend, said.acked_at), said.acked_at)
    for case in matter.cases.values():
        if case.sent is None:
            continue
        for arrival in case.arrived:
            since = gone.get(arrival.backend)
            if since is None or arrival.at <= since + bounds.drain:
                continue
            if any(d.backend == arrival.backend and d.status == 421 for d in case.declined):
                continue
            if not calm.in_touch(case.sent.gateway, case.sent.at, arrival.at):
                continue
            if arrival.gateway != case.sent.gateway and not calm.in_touch(arrival.gateway, arrival.at):
                continue
            if calm.held_up(arrival.gateway, arrival.backend, arrival.at):
                continue
            yield Broken(
                "DRAIN",
                arrival.at,
                (case.id, arrival.backend),
                f"{arrival.gateway} sent to it {(arrival.at - since) / 1e6:.2f} s after it was acknowledged as leaving",
            )


def lost(matter: Matter) -> Iterator[Broken]:
    """Around planned work: a read request whose connection ended without a complete answer."""
    terms, hups = _spans(matter, Event.TERM), _spans(matter, Event.HUP)
    orders = [(v.at, v.acked_at + matter.bounds.apply + SECOND) for v in matter.force.proper if v.acked_at is not None]
    during: list[Broken] = []
    beside = 0
    for case in matter.cases.values():
        sent = case.sent
        if sent is None or case.whole_at is None:
            continue
        cut = _cut_at(case)
        if cut is None:
            taken = _taken_over(matter, case, terms.get(sent.gateway, []))
            if taken:
                yield taken
            continue
        if not _counts(matter, case, cut.at):
            continue
        term = _within(terms.get(sent.gateway, []), cut.at, matter.bounds.grace + SECOND)
        if term is not None:
            if not (_sent_in_time(case, term) and _still_working(case, _excused_from(matter, term), cut.at)):
                yield Broken(
                    "LOST",
                    cut.at,
                    (case.id,),
                    f"{sent.gateway} ended a request that it had read, {(cut.at - term.at) / 1e6:.2f} s after SIGTERM",
                )
            continue
        if any(
            sent.at < hup.at + matter.bounds.apply and hup.at <= cut.at and sent.at >= hup.at - SECOND * 60
            for hup in hups.get(sent.gateway, [])
        ):
            yield Broken("LOST", cut.at, (case.id,), f"{sent.gateway} ended a request that it had read, around SIGHUP")
        elif any(begin <= cut.at <= end for begin, end in orders):
            during.append(
                Broken(
                    "LOST",
                    cut.at,
                    (case.id,),
                    f"{sent.gateway} ended a request that it had read, around a new configuration",
                )
            )
        else:
            beside += 1
    if len(during) > MORE * beside:
        yield from during


def _spans(matter: Matter, kind: Event) -> dict[str, list[Happened]]:
    found: dict[str, list[Happened]] = defaultdict(list)
    for span in matter.record.happened:
        if span.kind is kind:
            for name in span.machines:
                found[name].append(span)
    return found


def _within(spans: list[Happened], at: int, after: int) -> Happened | None:
    index = bisect_right([span.at for span in spans], at) - 1
    return spans[index] if index >= 0 and at <= spans[index].at + after else None


def _cut_at(case: Case) -> Closed | Got | None:
    """The end of a request without a complete answer, not by the client; it had been read."""
    closed, got = case.closed, case.got[0] if case.got else None
    if got is not None:
        return got if not got.whole and got.status else None
    return closed if closed is not None and closed.read and not closed.by_client else None


def _counts(matter: Matter, case: Case, end: int) -> bool:
    """It was passed on, or held for longer than `loss-slack`, and nothing else excuses it."""
    assert case.sent is not None and case.whole_at is not None
    if not case.arrived and end <= case.whole_at + matter.bounds.loss_slack:
        return False
    # a backend that is silent has not broken off: an answer is waited for until its time is over
    if any(a.fate not in (Fate.WHOLE, Fate.SILENT) for a in case.answered) or any(d.own for d in case.dropped):
        return False
    if any(d.status == 0 for d in case.declined) or end >= _limit(matter, case) - EARLY:
        return False
    return not matter.calm.unplanned(case.sent.at - matter.bounds.contact, end)


def _limit(matter: Matter, case: Case) -> int:
    """The deadline, or the route's time-out where that is shorter."""
    assert case.sent is not None
    sent = case.sent
    return min([sent.deadline, *(sent.at + route.deadline for route in matter.routes(sent))])


def _excused_from(matter: Matter, term: Happened) -> int:
    share, whole = EXCUSED_SHARE
    return term.at + matter.bounds.grace * share // whole


def _sent_in_time(case: Case, term: Happened) -> bool:
    return case.sent is not None and case.sent.at <= term.at + EXCUSED_IF_SENT


def ready_after_sigterm(matter: Matter) -> Iterator[Broken]:
    """Machines that were told to end still run and count as ready seconds later."""
    looks: dict[str, list[Looked]] = defaultdict(list)
    for look in matter.record.looked:
        looks[look.machine].append(look)
    were_ready, still = 0, list[tuple[int, str]]()
    for machine, terms in _spans(matter, Event.TERM).items():
        for term in terms:
            if not _counted_ready(looks[machine], term.at):
                continue
            were_ready += 1
            at = term.at + STILL_READY
            if at < term.until and _counted_ready(looks[machine], at):
                still.append((at, machine))
    if len(still) >= LEAST_STILL_READY and len(still) > STILL_READY_SHARE * were_ready:
        names = tuple(sorted({machine for _, machine in still}))
        yield Broken("DRAIN", min(still)[0], names, f"{len(still)} of {were_ready} count as ready 4 s after SIGTERM")


def _counted_ready(looks: list[Looked], at: int) -> bool:
    """By the looks up to then: one miss alone takes no machine out."""
    known = [look.ready for look in looks if look.at <= at][-MISSES:]
    return bool(known) and any(known)


def _still_working(case: Case, since: int, until: int) -> bool:
    """A backend was working on it since then."""
    return (
        any(
            ran.at <= until and not any(a.backend == ran.backend and a.at < since for a in case.answered)
            for ran in case.ran
        )
        and until >= since
    )


def _taken_over(matter: Matter, case: Case, terms: list[Happened]) -> Broken | None:
    """After a SIGTERM: an answer of the gateway's own in place of the one that a backend is working on."""
    if not case.got or not case.ran or case.sent is None:
        return None
    got = case.got[0]
    term = _within(terms, got.at, matter.bounds.grace + SECOND)
    if term is None or got.status < 400 or got.seal is not None:
        return None
    done = {a.backend for a in case.answered if a.at <= got.at and a.fate is not Fate.SILENT}
    done |= {d.backend for d in case.dropped if d.at <= got.at}
    busy = [ran for ran in case.ran if ran.at <= got.at and ran.backend not in done]
    excused = _sent_in_time(case, term) and got.at >= _excused_from(matter, term)
    if not busy or excused or not _counts(matter, case, got.at):
        return None
    return Broken(
        "LOST",
        got.at,
        (case.id,),
        f"{case.sent.gateway} answered {got.status} itself while "
        f"{busy[0].backend} was working, {(got.at - term.at) / 1e6:.2f} s after SIGTERM",
    )
