"""Judges what clients and backends of a soak have seen, by the rules LOST, TWICE, REFUSED, MIXED and CONFIG."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from oakvale.lab.soak.backends import Run, RunEnd
from oakvale.lab.soak.clients import Exchange

SECOND = 1_000_000
GRACE_US = 6 * SECOND
CONTACT_US = 3 * SECOND
APPLY_US = 5 * SECOND // 2
LOSS_SLACK_US = SECOND // 5
AFTER_GRACE_US = SECOND  # LOST binds until so long after it
PROMISES_NOT_RUN = (408, 421, 429, 503)
ADDED_ROUTE_SHARE = 0.25  # CONFIG: of what the first routes are served
MIN_JUDGED = 20  # requests on an added route


@dataclass(slots=True, frozen=True)
class Span:
    """A time in which something was so; microseconds."""

    begin: int
    end: int

    def overlaps(self, begin: int, end: int) -> bool:
        """Whether it has a moment in common with another."""
        return self.begin <= end and begin <= self.end


@dataclass(slots=True, frozen=True)
class ConfigChange:
    """A configuration that moves a route to a service."""

    version: int
    service: str
    sent_at: int
    acknowledged_at: int  # 0: no clear answer


@dataclass(slots=True)
class Seen:
    """All that is judged."""

    exchanges: list[Exchange] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    stops: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))  # gateway -> times of SIGTERM
    troubles: dict[str, list[Span]] = field(default_factory=lambda: defaultdict(list))  # killed, frozen, starting
    changes: list[ConfigChange] = field(default_factory=list)
    moved_route: str = ""
    added_route: str = ""
    calm: Span = Span(0, 0)  # after all troubles

    def runs_by_request(self) -> dict[str, list[Run]]:
        """The runs of each request."""
        found: dict[str, list[Run]] = defaultdict(list)
        for run in self.runs:
            found[run.request_id].append(run)
        return found


def judge(seen: Seen) -> Iterator[str]:
    """Yields what broke a rule."""
    runs = seen.runs_by_request()
    for exchange in seen.exchanges:
        of_request = runs.get(exchange.id, [])
        yield from _judge_answer(exchange, of_request)
        if not _disturbed(seen, exchange):
            yield from _judge_stop(exchange, of_request, seen.stops[exchange.gateway])
            if exchange.route.name == seen.moved_route:
                yield from _judge_version(exchange, of_request, seen)
    yield from _judge_added_route(seen)


def _judge_answer(exchange: Exchange, runs: list[Run]) -> Iterator[str]:
    if not exchange.route.safe and len(runs) > 1:
        yield f"TWICE: {exchange.id} ran {len(runs)} times"
    if not exchange.route.safe and runs and exchange.status in PROMISES_NOT_RUN:
        yield f"REFUSED: {exchange.id} ran and was answered {exchange.status}"
    if 200 <= exchange.status < 300 and not exchange.sealed:
        yield f"MIXED: {exchange.id} was answered {exchange.status} without a seal"
    if exchange.sealed and not exchange.body.startswith(f"{exchange.id} by ".encode()):
        yield f"MIXED: {exchange.id} was answered {exchange.body!r}"


def _disturbed(seen: Seen, exchange: Exchange) -> bool:
    """Whether something unplanned happened to the gateway, from `contact` before the request until its end."""
    begin = exchange.sent_at - CONTACT_US
    return any(span.overlaps(begin, exchange.ended_at) for span in seen.troubles[exchange.gateway])


def _judge_stop(exchange: Exchange, runs: list[Run], stops: Iterable[int]) -> Iterator[str]:
    for stopped_at in stops:
        if not exchange.sealed and exchange.ended_at < exchange.deadline:
            cut = [
                run
                for run in runs
                if run.end is RunEnd.CUT_OFF and stopped_at < run.ended_at < stopped_at + GRACE_US * 5 // 6
            ]
            if cut:
                after = (cut[0].ended_at - stopped_at) / SECOND
                yield f"LOST: {exchange.id} was cut off {after:.2f} s after SIGTERM and answered {exchange.status}"
        if exchange.status or not stopped_at <= exchange.ended_at <= stopped_at + GRACE_US + AFTER_GRACE_US:
            continue
        passed_on = bool(runs) or exchange.ended_at - exchange.sent_at > LOSS_SLACK_US
        late = any(not run.ended_at or run.ended_at > stopped_at + GRACE_US // 2 for run in runs)
        broken_off = any(run.end is RunEnd.BROKEN_OFF for run in runs)
        if passed_on and not late and not broken_off and exchange.ended_at < exchange.deadline:
            after = (exchange.ended_at - stopped_at) / SECOND
            yield f"LOST: {exchange.id} got no answer; its connection ended {after:.2f} s after SIGTERM"


def _judge_version(exchange: Exchange, runs: list[Run], seen: Seen) -> Iterator[str]:
    """A request that is sent later than `apply` after an acknowledgement is not run by an older version's service."""
    due = [x for x in seen.changes if x.acknowledged_at and x.acknowledged_at + APPLY_US < exchange.sent_at]
    if not due or any(
        stop - CONTACT_US <= exchange.ended_at and exchange.sent_at <= stop + GRACE_US
        for stop in seen.stops[exchange.gateway]
    ):
        return
    oldest = max(due, key=lambda change: change.version)
    allowed = {x.service for x in seen.changes if x.version >= oldest.version}
    for run in runs:
        if run.service not in allowed:
            yield f"CONFIG: {exchange.id} ran at {run.service}, of a version older than {oldest.version}"


def _judge_added_route(seen: Seen) -> Iterator[str]:
    """In calm times a route that was added is served at least a quarter as often as the others."""
    calm = [x for x in seen.exchanges if seen.calm.begin <= x.sent_at and x.ended_at <= seen.calm.end]
    added = [x.sealed for x in calm if x.route.name == seen.added_route]
    first = [x.sealed for x in calm if x.route.name != seen.added_route]
    if len(added) < MIN_JUDGED or not first:
        return
    shares = sum(added) / len(added), sum(first) / len(first)
    if shares[0] < ADDED_ROUTE_SHARE * shares[1]:
        yield f"CONFIG: {shares[0]:.2f} of the added route's requests were served, {shares[1]:.2f} of the others'"
