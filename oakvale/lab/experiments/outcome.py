"""What a played day is reduced to: figures, broken rules and the series that plots need; plain enough for JSON."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from dataclasses import asdict, dataclass, field
from typing import Any

from oakvale.config import model
from oakvale.lab.days import Day
from oakvale.lab.judge.words import Verdict
from oakvale.lab.record import Record

STEP = 250_000  # microseconds between points of the use of quotas
TAKEOVERS = ("view", "serving the control state", "counting", "counts no longer")  # as the processes note them
TAKEN = "configuration"  # a process notes that a version is in force there, with `gen`


@dataclass(frozen=True)
class Series:
    """Times are seconds since traffic began."""

    worth: list[tuple[int, float, float]] = field(default_factory=list)  # second, earned, owed
    arrivals: dict[str, dict[str, list[int]]] = field(default_factory=dict)  # service -> backend -> each second
    news: dict[str, list[float]] = field(default_factory=dict)  # gen -> seconds from its sending to each machine
    quota: dict[str, list[tuple[float, float]]] = field(default_factory=dict)  # tenant -> time, use / bound
    takeovers: list[tuple[float, str, str]] = field(default_factory=list)  # time, machine, event
    troubles: list[tuple[float, float, str]] = field(default_factory=list)  # from, until, what


@dataclass(frozen=True)
class Outcome:
    variant: str
    day: str
    seed: int
    failed: str = ""  # the run itself did not come to an end, and why
    earned: float = 0.0
    owed: float = 0.0
    served: int = 0
    refused: int = 0
    lost: int = 0
    broken: dict[str, int] = field(default_factory=dict)
    first: str = ""  # the first broken rule, in words
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    arrivals: int = 0
    fingerprint: str = ""
    cpu_s: float = 0.0
    series: Series | None = None

    @property
    def worth(self) -> float:
        return self.earned / self.owed if self.owed else 1.0

    @property
    def score(self) -> float:
        """The worth; a day that breaks a rule counts for nothing."""
        return 0.0 if self.broken or self.failed else self.worth

    @property
    def served_share(self) -> float:
        return self.served / max(1, self.served + self.refused + self.lost)

    def told(self) -> dict[str, Any]:
        return asdict(self)


def of(variant: str, day: Day, record: Record, verdict: Verdict, cpu_s: float) -> Outcome:
    broken = {rule: len(found) for rule, found in verdict.rules.items() if found}
    first = min(verdict.broken, key=lambda one: one.at, default=None)
    worth, times = verdict.worth, sorted(latencies(record))
    return Outcome(
        variant,
        day.name,
        record.seed,
        "",
        worth.earned,
        worth.owed,
        worth.served,
        worth.refused,
        worth.failed,
        broken,
        ""
        if first is None
        else f"{first.rule} at {(first.at - record.began) / 1e6:.3f} s: {first.why} ({', '.join(first.ids[:4])})",
        quantile(times, 0.5) / 1e3,
        quantile(times, 0.99) / 1e3,
        len(record.arrived),
        record.fingerprint(),
        cpu_s,
        series(day, record, verdict),
    )


def latencies(record: Record) -> list[int]:
    """Microseconds from a request's first try to the first whole success of any of its tries."""
    begun: dict[str, int] = {}
    first: dict[str, str] = {}
    for sent in record.sent:
        if sent.route:
            first[sent.id] = sent.first
            begun.setdefault(sent.first, sent.at)
    done: dict[str, int] = {}
    for got in record.got:
        if got.id in first and got.whole and 200 <= got.status < 300:
            done.setdefault(first[got.id], got.at - begun[first[got.id]])
    return list(done.values())


def quantile(ordered: list[int], part: float) -> float:
    return float(ordered[min(len(ordered) - 1, int(part * len(ordered)))]) if ordered else 0.0


def series(day: Day, record: Record, verdict: Verdict) -> Series:
    def seconds(at: int) -> float:
        return round((at - record.began) / 1e6, 3)

    worth = [(second, part.earned, part.owed) for second, part in sorted(verdict.worth.by_second.items())]
    long = max(1, -(-(record.ended - record.began) // 1_000_000))
    arrivals: dict[str, dict[str, list[int]]] = defaultdict(dict)
    for came in record.arrived:
        if 0 <= (second := (came.at - record.began) // 1_000_000) < long:
            arrivals[came.service].setdefault(came.backend, [0] * long)[second] += 1
    troubles = [
        (seconds(one.at), seconds(min(one.until, record.ended)), one.why or str(one.kind))
        for one in record.happened
        if one.at >= record.began
    ]
    takeovers = [
        (seconds(one.at), one.machine, said(one.event, one.fields))
        for one in record.noted
        if one.event in TAKEOVERS and one.at >= record.began
    ]
    return Series(
        worth,
        {name: dict(sorted(rows.items())) for name, rows in sorted(arrivals.items())},
        news(record),
        quota(day, record),
        takeovers,
        sorted(set(troubles)),
    )


def said(event: str, fields: dict[str, Any]) -> str:
    """An event of a takeover with what it is about."""
    about = fields.get("duty", fields.get("view"))
    return event if about is None else f"{event} {about}"


def news(record: Record) -> dict[str, list[float]]:
    """For each version that the operator sent: how long after that it was in force on each machine that noted it."""
    sent = {one.gen: one.at for one in record.ordered if one.valid}
    found: dict[int, dict[str, int]] = defaultdict(dict)
    for one in record.noted:
        gen = one.fields.get("gen")
        if one.event == TAKEN and isinstance(gen, int) and gen in sent and one.at >= sent[gen]:
            found[gen].setdefault(one.machine, one.at)
    return {
        str(gen): sorted(round((at - sent[gen]) / 1e6, 4) for at in by.values()) for gen, by in sorted(found.items())
    }


def quota(day: Day, record: Record) -> dict[str, list[tuple[float, float]]]:
    """What ran of each tenant in the window up to a time, as a part of what the rule lets it have by the newest version
    that was acknowledged then. Tenants go by the names that they have in the configuration."""
    whose = {came.id: came.tenant for came in record.arrived}
    window, terms = day.time("quota-win"), day.terms()
    ran: dict[str, list[int]] = defaultdict(list)
    for one in record.ran:
        if (tenant := whose.get(one.id)) is not None:
            ran[tenant].append(one.at)
    versions = limits(record)
    found: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for at in range(record.began, record.ended, STEP):
        for name, (rate, burst) in next((table for since, table in reversed(versions) if since <= at), {}).items():
            bound = (rate * window / 1e6 + burst) * (1 + float(terms["quota-excess"])) + float(terms["quota-slack"])
            times = ran[name]
            use = (bisect_left(times, at) - bisect_left(times, at - window)) / bound
            found[name].append((round((at - record.began) / 1e6, 2), round(use, 4)))
    return dict(sorted(found.items()))


def limits(record: Record) -> list[tuple[int, dict[str, tuple[float, float]]]]:
    """From when on which rate and burst was each tenant's, those without a limit left out."""
    found = []
    for one in sorted((one for one in record.ordered if one.valid and one.acked_at is not None), key=lambda it: it.gen):
        tenants = model.parse(record.texts[one.content_digest]).tenants or []
        table = {tenant.name: (tenant.rate, tenant.burst) for tenant in tenants if tenant.rate}
        found.append((one.acked_at or 0, table))
    return found


def tally(outcomes: list[Outcome]) -> Counter[str]:
    """Runs in which each rule broke."""
    return Counter(rule for one in outcomes for rule in one.broken)
