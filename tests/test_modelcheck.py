"""The model checker of the control state: what is broken on purpose is found, and what stands is not broken."""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

import pytest

from oakvale.controlplane.replication import Replicator
from oakvale.controlplane.view_change import ViewManager
from oakvale.lab.modelcheck.breakages import BREAKAGES, QUIET, Breakage
from oakvale.lab.modelcheck.check import BadFaults, arguments, check, find, read_faults, searches
from oakvale.lab.modelcheck.machine import Machine
from oakvale.lab.modelcheck.model import Bounds, Model
from oakvale.lab.modelcheck.search import Search
from oakvale.lab.modelcheck.walks import Walks

RULES = {
    "primary-alone": "both copies synced it",
    "backup-before-sync": "both copies synced it",
    "founder-again": "complete means all acknowledged",
    "stranger-votes": "only witnesses vote",
    "gap": "both copies synced it",
    "refusal-counts": "both copies synced it",
    "old-life": "complete means all acknowledged",
    "ballots-forgotten": "one view for each number",
    "own-value": "one view for each number",
    "words-before-disk": "one view for each number",
    "complete-at-once": "complete means all acknowledged",
    "released-by-the-view-before": "who leaves leaves the copies whole",
    "leaves-alone": "who leaves leaves the copies whole",
    "released-early": "who leaves leaves the copies whole",
    "void-unkept": "complete means all acknowledged",
    "half-snapshot": "complete means all acknowledged",
    "lacks-counts": "both copies synced it",
    "staged-as-held": "complete means all acknowledged",
    "old-state-leads": "complete means all acknowledged",
    "lease-by-arrival": "one serves at a time",
    "lease-of-any-view": "one serves at a time",
    "lease-by-old-clock": "one serves at a time",
    "grant-not-waited-for": "one serves at a time",
    "grant-forgotten": "one serves at a time",
    "two-at-once": "one step at a time",
}


@pytest.mark.parametrize("breakage", BREAKAGES, ids=lambda b: str(b.name))
def test_what_is_broken_on_purpose_is_found(breakage: Breakage) -> None:
    found = find(breakage)
    assert found.broken is not None and found.broken.rule == RULES[breakage.name]
    assert found.trace[-1] == f"     BROKEN {found.broken}" and len(found.trace) == len(found.way) + 1 < 40


@pytest.mark.parametrize(
    "start, bounds",
    [
        ("settled", replace(QUIET, writes=1, kills=1, wipes=1, retries=1)),
        ("cold", replace(QUIET, writes=1, kills=1, retries=1)),
        ("laden", replace(QUIET, wakes=1, retries=1)),
        ("settled", replace(QUIET, wakes=1, beats=1, passes=1)),
    ],
)
def test_nothing_is_broken_as_it_stands(start: str, bounds: Bounds) -> None:
    """And all within the bounds was seen, the same in each run."""
    found = Search(bounds, start).run()
    assert found.whole and found.broken is None and found.healed > 20
    assert (found.states, found.depth) == {
        "settled": (151263, 24) if bounds.beats else (10303, 20),
        "cold": (1811, 24),
        "laden": (18598, 28),
    }[start]


def test_one_that_leaves_while_a_disk_is_lost() -> None:
    found = Search(replace(QUIET, writes=1, wipes=1, retries=1, leaves=1)).run()
    assert found.whole and found.broken is None and found.healed > 20 and (found.states, found.depth) == (4026, 16)


@pytest.mark.parametrize("zones", ["", "aabc"])
def test_a_spare_comes_in_by_views_of_one_step(zones: str) -> None:
    """Beside three machines, also where the founders' two copies share a zone that may be lost."""
    found = Search(replace(QUIET, wakes=1, spares=1, zones=zones)).run()
    assert found.whole and found.broken is None and found.healed > 20 and (found.states, found.depth) == (26132, 22)


def test_a_successor_that_nobody_can_become_is_found() -> None:
    """Where a view whose primary died can't be voided nobody serves, though nothing is lost."""

    @contextmanager
    def deaf() -> Iterator[None]:
        real = ViewManager._voided
        try:
            ViewManager._voided = lambda self, now, sender, body: None  # type: ignore[method-assign]
            yield
        finally:
            ViewManager._voided = real  # type: ignore[method-assign]

    with deaf():
        found = Search(replace(QUIET, wipes=1, wakes=1), every=16).run()
    assert found.broken is not None and found.broken.rule == "somebody serves once all is well"
    assert "     from here on everything heals" in found.trace


def test_drawn_ways_find_what_is_broken_and_are_the_same_again() -> None:
    [stranger] = [b for b in BREAKAGES if b.name == "stranger-votes"]
    with stranger.made():
        found = Walks(seed=1).run(5)
    assert found.broken is not None and found.broken.rule == RULES["stranger-votes"]
    once, again = Walks(seed=2), Walks(seed=2)
    once.run(4), again.run(4)
    assert once.found.broken is None and once.found.steps == again.found.steps > 200


def test_a_machine_comes_back_with_what_was_synced() -> None:
    model = Model(QUIET)
    state = model.settled()
    primary = state.seats[0]
    given, _ = model.local(0, primary, ("change", 1))
    lost, kept = (model.machine(model.local(0, given, ("kill", n))[0]) for n in (0, 1))
    assert lost.part is None and not lost.rows and list(kept.rows) == ["w1"]
    wiped: Machine = model.machine(model.local(0, model.local(0, given, ("wipe",))[0], ("start",))[0])
    assert wiped.part is not None and wiped.part.self_id == ("a:1", "2") and wiped.part.view() is None


def test_equal_machines_have_one_key_whatever_the_way() -> None:
    """Or the same state was explored again and again; and another that differs in one thing has another."""
    model = Model(QUIET)
    number = model.settled().seats[0]
    one, other = model.machine(number), model.machine(number)
    assert one is not other and one.key() == other.key()
    assert isinstance(one.part, Replicator)
    one.part._newest_request = (1, 1, 9)
    assert one.key() != other.key()


def test_faults_are_read_and_errors_name_them() -> None:
    assert read_faults("kills=2,wakes=1") == {
        "kills": 2,
        "wipes": 0,
        "wakes": 1,
        "retries": 0,
        "beats": 0,
        "passes": 0,
        "leaves": 0,
        "spares": 0,
    }
    for text in ("fires=1", "kills", "kills=x", "kills=-1"):
        with pytest.raises(BadFaults, match=r"--faults: .*(fires|kills)"):
            read_faults(text)


def test_the_command(capsys: pytest.CaptureFixture[str]) -> None:
    parser = argparse.ArgumentParser()
    arguments(parser)
    args = parser.parse_args(["--writes", "2", "--faults", "kills=1", "--depth", "6"])
    assert searches(args) == [("settled", replace(QUIET, writes=2, kills=1))]
    assert check(args) == 0 and "(cut short)" in capsys.readouterr().out
    assert check(parser.parse_args(["--faults", "kills=x"])) == 2 and "--faults" in capsys.readouterr().err
    assert check(parser.parse_args(["--broken", "gap"])) == 0 and "A is given w2" in capsys.readouterr().out
