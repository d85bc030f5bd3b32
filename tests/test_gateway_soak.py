"""The soak of real gateways: a short one in full, and how its judge takes what clients and backends have seen."""

from __future__ import annotations

import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path

import pytest

from oakvale.lab.soak import traffic
from oakvale.lab.soak.backends import Run, RunEnd
from oakvale.lab.soak.clients import Exchange, Route
from oakvale.lab.soak.traffic_judge import APPLY_US, CONTACT_US, GRACE_US, ConfigChange, Seen, Span, judge

ROOT = Path(__file__).parent.parent
SECOND = 1_000_000
SENT, STOPPED = 100 * SECOND, 101 * SECOND


@pytest.mark.parametrize("seed", [2, 11])
def test_a_short_soak_of_gateways_finds_nothing(seed: int) -> None:
    """Drawn stops, kills, freezes, reloads, backends that hang or leave and configurations, over kept connections."""
    report = traffic.play(seed, traffic.TrafficOptions(seconds=10))
    assert report.violations == []
    assert report.counts["stops"] and report.counts["served"] > 50 and report.counts["calm served"] > 20


def exchange(route: Route = traffic.READ, took: int = 2 * SECOND, status: int = 200) -> Exchange:
    sealed = status == 200
    body = b"r1 by main\n" if sealed else b""
    return Exchange("r1", "g", route, SENT, SENT + took, status, sealed, body)


def run(ended_after: int = 2 * SECOND, end: RunEnd = RunEnd.ANSWERED, service: str = "main") -> Run:
    return Run("r1", service, "b", SENT + 10_000, SENT + ended_after, end)


def found(asked: Exchange, *runs: Run, stopped: int | None = STOPPED, troubles: tuple[Span, ...] = ()) -> list[str]:
    seen = Seen(exchanges=[asked], runs=list(runs))
    seen.troubles["g"] += troubles
    if stopped is not None:
        seen.stops["g"].append(stopped)
    return [violation.partition(":")[0] for violation in judge(seen)]


def test_answers_of_backends_break_nothing() -> None:
    assert found(exchange(), run()) == []
    assert found(exchange(), run(end=RunEnd.CUT_OFF), run()) == []
    assert found(exchange(status=503)) == []


@pytest.mark.parametrize("status", [0, 503])
def test_a_run_that_is_cut_off_after_sigterm_is_lost(status: int) -> None:
    """As review/5: with an answer of the gateway's own in its place, or with none."""
    cut = run(2 * SECOND, RunEnd.CUT_OFF)
    assert "LOST" in found(exchange(status=status), cut)
    assert found(exchange(status=503), cut, stopped=None) == []
    late = run(1 * SECOND + GRACE_US, RunEnd.CUT_OFF)
    assert found(exchange(took=1 * SECOND + GRACE_US, status=status), late) == []


def test_a_connection_that_ends_without_an_answer_is_lost_unless_something_else_happened() -> None:
    unanswered = exchange(took=3 * SECOND // 2, status=0)
    assert found(unanswered) == ["LOST"]
    assert found(exchange(took=50_000, status=0), stopped=SENT) == []  # the process may not have read it
    assert found(unanswered, run(SECOND, RunEnd.BROKEN_OFF)) == []
    assert found(unanswered, troubles=(Span(SENT - CONTACT_US, SENT - CONTACT_US),)) == []
    assert found(unanswered, troubles=(Span(SENT - CONTACT_US - 2, SENT - CONTACT_US - 1),)) == ["LOST"]


def test_runs_and_answers_of_unsafe_requests() -> None:
    assert found(exchange(traffic.BOOK), run(), run()) == ["TWICE"]
    assert found(exchange(traffic.BOOK, status=503), run()) == ["REFUSED"]
    assert found(exchange(traffic.BOOK, status=502), run()) == []


def test_answers_of_other_requests_or_without_a_seal() -> None:
    assert found(replace(exchange(), body=b"r2 by main\n"), run()) == ["MIXED"]
    assert found(replace(exchange(), sealed=False, body=b""), run()) == ["MIXED"]


@pytest.mark.parametrize("service, broken", [("old", True), ("new", False), ("newest", False)])
def test_requests_run_by_the_service_of_an_older_version(service: str, broken: bool) -> None:
    acknowledged_at = SENT - APPLY_US - 1
    changes = [
        ConfigChange(1, "old", 0, 1),
        ConfigChange(2, "new", acknowledged_at - 1, acknowledged_at),
        ConfigChange(3, "newest", SENT, 0),
    ]
    moved = exchange(traffic.MOVED)
    seen = Seen(exchanges=[moved], runs=[run(service=service)], changes=changes, moved_route=traffic.MOVED.name)
    assert [violation.partition(":")[0] for violation in judge(seen)] == ["CONFIG"] * broken


@pytest.mark.parametrize("refused, broken", [(16, True), (15, False)])
def test_an_added_route_that_is_served_too_seldom(refused: int, broken: bool) -> None:
    statuses = [503] * refused + [200] * (20 - refused)
    exchanges = [exchange(), *(exchange(traffic.QUICK, status=status) for status in statuses)]
    seen = Seen(exchanges=exchanges, added_route=traffic.QUICK.name, calm=Span(SENT, SENT + 9 * SECOND))
    assert [violation.partition(":")[0] for violation in judge(seen)] == ["CONFIG"] * broken


@pytest.mark.parametrize("command", ["soak", "soak-gateways"])
def test_a_soak_that_is_ended_leaves_no_process(command: str) -> None:
    """Guards against core machines and gateways that go on after SIGTERM to the command that started them."""
    words = [sys.executable, "-m", "oakvale", "lab", command, "--quiet", "--seconds", "60"]
    soak = subprocess.Popen(words, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        started = _children_once_started(soak.pid)
        soak.terminate()
        soak.wait(20)
    finally:
        soak.kill()
        soak.wait()
    assert started and not [child for child in started if Path(f"/proc/{child}").exists()]


def _children_once_started(parent: int) -> list[int]:
    """The processes that a soak has started, once there are some, after a moment for the others."""
    for _ in range(200):
        if Path(f"/proc/{parent}/task/{parent}/children").read_text().strip():
            break
        time.sleep(0.1)
    time.sleep(1)
    return [int(child) for child in Path(f"/proc/{parent}/task/{parent}/children").read_text().split()]
