"""The rule on clients that leave: GONE. What is done for them stops soon."""

from __future__ import annotations

from collections.abc import Iterator

from oakvale.lab.judge.cases import Case, Matter
from oakvale.lab.judge.words import MS, Broken
from oakvale.lab.record import Ran

STOP_WITHIN_US = 500 * MS  # after a client has left; nothing more arrives or works for it later
LATE_ARRIVALS_ALLOWED = 3
MIN_RUNS = 8  # that would have lasted so long; the share of fewer tells nothing
MAX_SHARE_GOING_ON = 0.25


def gone(matter: Matter) -> Iterator[Broken]:
    """Arrivals too long after their client left, and repeatable runs that go on without one."""
    arrived_late: list[Broken] = []
    went_on: list[Broken] = []
    would_have_lasted = 0
    for case in matter.cases.values():
        left_at = _left_at(matter, case)
        if left_at is None:
            continue
        arrived_late += [
            Broken(
                "GONE",
                arrival.at,
                (case.id, arrival.backend),
                f"it arrives {(arrival.at - left_at) / 1e6:.2f} s after its client has left",
            )
            for arrival in case.arrived
            if arrival.at > left_at + STOP_WITHIN_US
        ]
        if case.sent is None or not matter.repeatable(case.sent):
            continue
        for run in case.ran:
            end = _end(matter, case, run)
            dropped = any(
                drop.backend == run.backend and left_at < drop.at <= left_at + STOP_WITHIN_US for drop in case.dropped
            )
            goes_on = run.at <= left_at + STOP_WITHIN_US < end
            would_have_lasted += goes_on or dropped
            if goes_on:
                went_on.append(
                    Broken(
                        "GONE",
                        left_at,
                        (case.id, run.backend),
                        f"its run goes on for {(end - left_at) / 1e6:.2f} s after its client has left",
                    )
                )
    if len(arrived_late) > LATE_ARRIVALS_ALLOWED:
        yield from arrived_late
    if would_have_lasted >= MIN_RUNS and len(went_on) > MAX_SHARE_GOING_ON * would_have_lasted:
        yield from went_on


def _left_at(matter: Matter, case: Case) -> int | None:
    """When its client closed before an answer, at a machine in touch; None where it did not."""
    closed, sent = case.closed, case.sent
    if closed is None or sent is None or not closed.by_client:
        return None
    return closed.at if matter.calm.in_touch(sent.gateway, closed.at, closed.at + STOP_WITHIN_US) else None


def _end(matter: Matter, case: Case, run: Ran) -> int:
    """When a backend ceased to work on a run."""
    ends = [done.at for done in case.answered if done.backend == run.backend and done.at >= run.at]
    ends += [drop.at for drop in case.dropped if drop.backend == run.backend and drop.at >= run.at]
    return min(ends, default=matter.record.ended)
