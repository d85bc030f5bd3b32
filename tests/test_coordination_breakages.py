"""Mechanisms of the coordination service taken out on purpose: the checks of histories find each of them in drawn
schedules, in which the service as it is breaks no rule (tests/test_coordination_schedules.py)."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any, cast

import pytest

from oakvale.controlplane.core import Core
from oakvale.coordination import counters, locks, service
from oakvale.coordination.counters import BLOCK_SIZE, Counters
from oakvale.coordination.decisions import Decision
from oakvale.coordination.entries import CounterEntry, LockEntry
from oakvale.coordination.key_groups import KeyGroup, KeyGroups
from oakvale.coordination.locks import Locks
from oakvale.coordination.service import CoordinationService
from oakvale.lab.history.violations import Rule, Violation
from oakvale.memory.requests import Answer
from tests.coordination_simulation import CoordinationWorld, Resources, real_resources
from tests.simulated_processes import Loop

FAULTS = 8
MAX_SEEDS = 60  # at most; one of them has to show the breakage

SMALL_BLOCK = 4  # numbers


@dataclass(frozen=True)
class Breakage:
    """What is patched, and the rules of which one has to be found broken."""

    name: str
    rules: tuple[Rule, ...]
    patches: tuple[tuple[Any, str, Any], ...] = ()
    make_resources: Callable[[CoordinationWorld, Core, Loop], Resources] = real_resources
    first_seed: int = 0


# ---- what stands in for the real code


class CoreWithoutLeaseChecks:
    """A core machine that believes that it serves from the start of a term until it is told of the end."""

    def __init__(self, core: Core) -> None:
        self._core, self._believes = core, False
        core.on_serving_change.append(self._serving_changed)

    def _serving_changed(self, serves: bool) -> None:
        self._believes = serves

    def serving(self) -> bool:
        return self._believes

    def __getattr__(self, name: str) -> Any:
        return getattr(self._core, name)


def service_without_lease_checks(world: CoordinationWorld, core: Core, loop: Loop) -> Resources:
    trusting = CoreWithoutLeaseChecks(core)
    handlers = CoordinationService(cast(Any, trusting), cast(Any, loop), world.retain_us).handlers()
    return Resources(handlers, trusting.serving)


class CoreThatFeedsResults:
    """A core machine whose service learns what is in force from the results of its own changes."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self.on_in_force: list[Callable[[list[Any]], None]] = []

    def change(self, changes: dict[str, Any], on_done: Callable[[bool], None]) -> None:
        def done(in_force: bool) -> None:
            if in_force:
                for feed in self.on_in_force:
                    feed([(key, (0, 0), value) for key, value in changes.items()])
            on_done(in_force)

        self._core.change(changes, done)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._core, name)


def service_fed_by_results(world: CoordinationWorld, core: Core, loop: Loop) -> Resources:
    fed = CoordinationService(cast(Any, CoreThatFeedsResults(core)), cast(Any, loop), world.retain_us)
    return Resources(fed.handlers(), core.serving)


def rebuild_without_waiting(self: Locks, *arguments: Any, real: Callable[..., None] = Locks.rebuild) -> None:
    real(self, *arguments)
    for lock in self._locks.values():
        lock.held_until = 0


def rebuild_without_fences(
    self: Locks,
    in_force: Iterable[tuple[str, LockEntry]],
    *arguments: Any,
    real: Callable[..., None] = Locks.rebuild,
) -> None:
    real(self, [(name, entry if entry.owner else replace(entry, fence=0)) for name, entry in in_force], *arguments)


def rebuild_within_the_block(
    self: Counters,
    in_force: Iterable[tuple[str, CounterEntry]],
    pending: Iterable[tuple[str, CounterEntry]],
    real: Callable[..., None] = Counters.rebuild,
) -> None:
    real(self, in_force, pending)
    for counter in self._counters.values():
        counter.last_taken = max(0, counter.last_taken - BLOCK_SIZE)


def rebuild_in_the_same_term(
    self: CoordinationService, real: Callable[..., None] = CoordinationService._rebuild
) -> None:
    self._is_same_term = True
    real(self)


def rebuild_without_pending_puts(
    self: KeyGroups, cells: Any, events: Any, _: Any, __: Any, now: int, real: Callable[..., None] = KeyGroups.rebuild
) -> None:
    real(self, cells, events, [], [], now)


def take_before_the_block_is_in_force(
    self: Counters, name: str, real: Callable[..., Decision] = Counters.take
) -> Decision:
    return replace(real(self, name), rests_on_pending=False)


def put_without_memory(self: KeyGroups, *arguments: Any, real: Callable[..., Decision] = KeyGroups.put) -> Decision:
    for group in self._groups.values():
        group.revs_by_put.clear()
    return real(self, *arguments)


def restore_without_memory(self: KeyGroup, *arguments: Any, real: Callable[..., None] = KeyGroup.restore) -> None:
    real(self, *arguments)
    self.revs_by_put.clear()


def put_without_waiting(self: KeyGroups, *arguments: Any, real: Callable[..., Decision] = KeyGroups.put) -> Decision:
    decision = real(self, *arguments)
    return replace(decision, rests_on_pending=False) if decision.reply.status == 412 else decision


def put_over_what_is_in_force(
    self: KeyGroups, name: str, *arguments: Any, real: Callable[..., Decision] = KeyGroups.put
) -> Decision:
    cell = self._cells.get(name)
    self._newest_revs[name] = cell.rev if cell else 0
    return real(self, name, *arguments)


def extend_without_a_change(name: str, lock: Any, hold_us: int, now: int, reply: Any) -> Decision:
    lock.held_until = max(lock.held_until, now + hold_us)
    return Decision(reply, rests_on_pending=lock.is_pending())


def carry_out_at_once(
    self: CoordinationService, decision: Decision, send: Any, real: Any = CoordinationService._carry_out
) -> None:
    if decision.changes:
        self._core.change(decision.changes, lambda done: None)
    self._reply(decision.reply, send)


def finish_by_owner_alone(
    self: Locks, name: str, owner: str, fence: int, real: Callable[..., Decision] = Locks.finish
) -> Decision:
    lock = self._locks.get(name)
    return real(self, name, lock.newest.owner, lock.newest.fence) if lock else real(self, name, owner, fence)


def forgetful_service(world: CoordinationWorld, core: Core, loop: Loop) -> Resources:
    forgetful = CoordinationService(cast(Any, core), cast(Any, loop), world.retain_us)
    forgetful._groups._retention_us = 500_000
    return Resources(forgetful.handlers(), core.serving)


BREAKAGES = (
    Breakage(
        "no-lease-check-before-replies", (Rule.ONE, Rule.STALE, Rule.ORDER), make_resources=service_without_lease_checks
    ),
    Breakage("holds-not-waited-out", (Rule.ONE,), ((Locks, "rebuild", rebuild_without_waiting),)),
    Breakage("longer-holds-not-stored", (Rule.ONE,), ((locks, "_extend", extend_without_a_change),)),
    Breakage(
        "terms-taken-for-one",
        (Rule.ONE,),
        ((CoordinationService, "_rebuild", rebuild_in_the_same_term),),
        first_seed=5,
    ),
    Breakage("fences-forgotten", (Rule.ONE,), ((Locks, "rebuild", rebuild_without_fences),)),
    Breakage("finish-of-any-hold", (Rule.ONE,), ((Locks, "finish", finish_by_owner_alone),)),
    Breakage("numbers-of-a-used-block", (Rule.ORDER,), ((Counters, "rebuild", rebuild_within_the_block),)),
    Breakage(
        "numbers-of-a-pending-block",
        (Rule.ORDER,),
        ((Counters, "take", take_before_the_block_is_in_force), (counters, "BLOCK_SIZE", SMALL_BLOCK)),
    ),
    Breakage("values-not-remembered", (Rule.REFUSED,), ((KeyGroups, "put", put_without_memory),)),
    Breakage("values-forgotten-by-a-takeover", (Rule.REFUSED,), ((KeyGroup, "restore", restore_without_memory),)),
    Breakage(
        "conflict-rests-on-pending", (Rule.LINEARIZABILITY, Rule.MIXED), ((KeyGroups, "put", put_without_waiting),)
    ),
    Breakage("topic-judged-by-what-is-in-force", (Rule.ORDER,), ((KeyGroups, "put", put_over_what_is_in_force),)),
    Breakage(
        "pending-puts-forgotten-by-a-rebuild",
        (Rule.ORDER, Rule.MIXED),
        ((KeyGroups, "rebuild", rebuild_without_pending_puts),),
        first_seed=10,
    ),
    Breakage("fed-by-results", (Rule.STALE, Rule.ORDER), make_resources=service_fed_by_results, first_seed=10),
    Breakage(
        "replies-before-in-force", (Rule.STALE, Rule.LOST), ((CoordinationService, "_carry_out", carry_out_at_once),)
    ),
    Breakage("unknown-outcome-as-unavailable", (Rule.REFUSED,), ((service, "UNKNOWN_OUTCOME", Answer(503)),)),
    Breakage("events-forgotten", (Rule.LOST,), make_resources=forgetful_service),
)


@pytest.mark.parametrize("breakage", BREAKAGES, ids=lambda breakage: breakage.name)
def test_a_mechanism_taken_out_is_found(breakage: Breakage, monkeypatch: pytest.MonkeyPatch) -> None:
    for target, name, substitute in breakage.patches:
        monkeypatch.setattr(target, name, substitute)
    found: list[Violation] = []
    for seed in range(breakage.first_seed, breakage.first_seed + MAX_SEEDS):
        found += CoordinationWorld(seed, breakage.make_resources).run_schedule(FAULTS)
        if any(violation.rule in breakage.rules for violation in found):
            return
    pytest.fail(f"not found in {MAX_SEEDS} schedules; found {[str(violation) for violation in found]}")
