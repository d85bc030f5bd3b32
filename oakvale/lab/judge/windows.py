"""Rules over sliding windows: BUDGET, QUOTA. Every span of the length counts; only those are looked at where the
count can be largest, by bisection in sorted times."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator

from oakvale.lab.judge.cases import Matter
from oakvale.lab.judge.force import Limit
from oakvale.lab.judge.words import Broken

UNLIMITED = Limit(0, 0)


def budget(matter: Matter) -> Iterator[Broken]:
    for service, (extra, asked) in _traffic(matter).items():
        worst = overrun(extra, asked, matter.bounds.retry_win, matter.bounds.retry_ratio, matter.bounds.retry_slack)
        if worst is not None:
            at, seen, allowed = worst
            yield Broken(
                "BUDGET",
                at,
                (service,),
                f"{service}: {seen} arrivals past the first in "
                f"{matter.bounds.retry_win / 1e6:g} s from {(at - matter.record.began) / 1e6:.2f} s on, "
                f"{allowed:.1f} allowed",
            )


def _traffic(matter: Matter) -> dict[str, tuple[list[int], list[int]]]:
    """For each service, the times of arrivals past the first of their request, and of the requests for it."""
    found: dict[str, tuple[list[int], list[int]]] = defaultdict(lambda: ([], []))
    tables = [v for v in matter.force.proper if v.table is not None]
    for case in matter.cases.values():
        for arrival in case.arrived[1:]:
            found[arrival.service][0].append(arrival.at)
        if case.sent is None:
            continue
        services: set[str] = set()
        for version in matter.force.candidates(case.sent.at, case.sent.deadline) or tables:
            route = version.table.route(case.sent.host, case.sent.path) if version.table else None
            if route is not None:
                services |= route.services
        for service in services:
            found[service][1].append(case.sent.at)
    return {service: (sorted(extra), sorted(asked)) for service, (extra, asked) in found.items()}


def overrun(
    extra: list[int], asked: list[int], window: int, ratio: float, slack: float
) -> tuple[int, int, float] | None:
    """The begin of the worst window [t, t + window) in which there are more extra arrivals than ratio x the requests
    + slack, how many, and how many were allowed; requests counted in that window, the one before it, or the one half
    a window earlier, whichever holds the most. None if no window has too many."""

    def count(times: list[int], begin: int) -> int:
        return bisect_left(times, begin + window) - bisect_left(times, begin)

    worst: tuple[float, int, int, float] | None = None
    half = window // 2
    begins = [at - window + 1 for at in extra]  # an arrival has just come in
    if len(extra) > slack:
        for at in asked:  # a request has just gone out of one of the three
            begins += (at + 1, at + window + 1, at + half + 1)
    for begin in begins:
        seen = count(extra, begin)
        if seen <= slack:
            continue
        base = max(count(asked, begin), count(asked, begin - window), count(asked, begin - half))
        allowed = ratio * base + slack
        if seen > allowed and (worst is None or seen - allowed > worst[0]):
            worst = (seen - allowed, begin, seen, allowed)
    return worst[1:] if worst else None


def quota(matter: Matter) -> Iterator[Broken]:
    runs = _runs(matter)
    limits = Bindings(matter)
    window = matter.bounds.quota_win
    for tenant, pairs in runs.items():
        worst: tuple[float, int, int, float] | None = None
        for begin, seen in fullest(pairs, window):
            allowed = limits.largest(tenant, begin, begin + window)
            allowed = allowed * (1 + matter.bounds.quota_excess) + matter.bounds.quota_slack
            if seen > allowed and (worst is None or seen - allowed > worst[0]):
                worst = (seen - allowed, begin, seen, allowed)
        if worst:
            _, begin, seen, allowed = worst
            yield Broken(
                "QUOTA",
                begin,
                (tenant,),
                f"{tenant}: {seen} requests sent and run within {window / 1e6:g} s "
                f"from {(begin - matter.record.began) / 1e6:.2f} s on, {allowed:.1f} allowed",
            )


def _runs(matter: Matter) -> dict[str, list[tuple[int, int]]]:
    """For each tenant, when its requests were sent and first arrived where they ran."""
    holders: dict[str, str] = {}
    for version in matter.force.proper:
        if version.table is not None:
            holders.update(version.table.holders)
    found: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for case in matter.cases.values():
        if case.sent is None or not case.ran or case.sent.key not in holders:
            continue
        arrivals = [a.at for a in (case.arrival_of(ran) for ran in case.ran) if a is not None]
        found[holders[case.sent.key]].append((case.sent.at, min(arrivals, default=case.ran[0].at)))
    return found


def fullest(pairs: list[tuple[int, int]], window: int) -> Iterator[tuple[int, int]]:
    """The windows [t, t + window] that can hold the most pairs whole, each with how many it holds. A pair longer than
    a window is in none; of the rest, one that was sent before `t` has arrived by the end of the window."""
    pairs = [(sent, came) for sent, came in pairs if came - sent <= window]
    sent, came = sorted(s for s, _ in pairs), sorted(c for _, c in pairs)
    for begin in sorted(set(sent)):
        yield begin, bisect_right(came, begin + window) - bisect_left(sent, begin)


class Bindings:
    """From when on each version binds tenants' limits: its acknowledgement, `apply`, and every front machine that is
    in touch; a machine that never is again keeps it from binding."""

    def __init__(self, matter: Matter) -> None:
        calm, self._versions = matter.calm, matter.force.proper
        self._binds: list[tuple[int, int]] = []  # (since, gen)
        for version in self._versions:
            if version.acked_at is None:
                continue
            since = version.acked_at + matter.bounds.apply
            self._binds.append((max([since, *(calm.in_touch_after(edge, since) for edge in calm.edges)]), version.gen))
        self._binds.sort()
        self._spans: dict[str, list[tuple[int, int, Limit]]] = {}

    def _all(self, tenant: str) -> list[tuple[int, int, Limit]]:
        """(first sent, no more in force after, limit) of each version, as far as this tenant goes."""
        found = self._spans.get(tenant)
        if found is None:
            found = self._spans[tenant] = []
            for version in self._versions:
                limit = version.table.limits.get(tenant) if version.table else None
                if limit is None:
                    continue  # its keys went too: nothing of it runs by this version
                until = min((since for since, gen in self._binds if gen > version.gen), default=1 << 62)
                found.append((version.at, until, limit))
        return found

    def largest(self, tenant: str, begin: int, end: int) -> float:
        """What the largest limit that may bind in a window allows in it."""
        return max(
            (limit.within(end - begin) for since, until, limit in self._all(tenant) if since <= end and until >= begin),
            default=float("inf"),
        )
