"""Runs over the cores: each in a process of its own, so that no variant leaves anything to the next run."""

from __future__ import annotations

import multiprocessing
import os
import signal
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool

from oakvale.lab.days import Day
from oakvale.lab.experiments.outcome import Outcome
from oakvale.lab.experiments.player import Player
from oakvale.lab.experiments.variants import Spec

Job = tuple[Day, int, Spec]


def cores() -> int:
    return len(os.sched_getaffinity(0))


def played(jobs: Sequence[Job], many: int, player: Player) -> Iterator[Outcome]:
    """Outcomes as they come; one that is left early (an interrupt, or the caller has enough) ends the other runs."""
    if many == 1:
        for day, seed, spec in jobs:
            yield player(day, seed, spec)
        return
    before = set(multiprocessing.active_children())
    pool = ProcessPoolExecutor(
        min(many, len(jobs) or 1), multiprocessing.get_context("spawn"), _deaf, max_tasks_per_child=1
    )
    try:
        waiting = {pool.submit(player, *job): job for job in jobs}
        for future in as_completed(waiting):
            day, seed, spec = waiting[future]
            try:
                yield future.result()
            except BrokenProcessPool:
                yield Outcome(spec.name, day.name, seed, "its process ended, or that of another run beside it")
        pool.shutdown()
    except BaseException:
        pool.shutdown(wait=False, cancel_futures=True)
        for process in set(multiprocessing.active_children()) - before:
            process.terminate()
        raise


def _deaf() -> None:
    """An interrupt is the parent's: it ends the workers and tells what there is."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
