"""The drawn plan of a soak: a series of episodes, each of which troubles one machine, or all of them with their disks
intact. One seed is one plan.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random

MIN_FREEZE_S, MAX_FREEZE_S = 0.3, 6.0
MAX_DOWN_S = 2.0
PRIMARY_SHARE = 0.6  # of the episodes that trouble one machine
PRIMARY = -1


class EpisodeKind(StrEnum):
    """What happens to the machine."""

    KILL = "kill"
    TERMINATE = "terminate"
    FREEZE = "freeze"
    TERMINATE_FROZEN = "terminate-frozen"  # SIGTERM is handled once the process goes on
    FREEZE_STOPPING = "freeze-stopping"  # frozen while it stops
    KILL_STOPPING = "kill-stopping"
    KILL_STARTING = "kill-starting"  # killed again while it starts
    RELOAD_TERMINATE = "reload-terminate"  # many SIGHUP, then SIGTERM
    FREEZE_SERIES = "freeze-series"
    REPLACE = "replace"  # removed without notice; an empty one is added at another address
    REPLACE_PLANNED = "replace-planned"  # the empty one is added first, then the other gets SIGTERM
    KILL_ALL = "kill-all"


WEIGHTS = {kind: 1 for kind in EpisodeKind} | {EpisodeKind.TERMINATE: 3, EpisodeKind.KILL: 2, EpisodeKind.FREEZE: 2}


@dataclass(slots=True, frozen=True)
class Episode:
    """One series of signals. `machine` is an index into the running machines, or `PRIMARY`."""

    kind: EpisodeKind
    machine: int
    freeze_s: float
    signal_delay_s: float  # between signals that overlap
    down_s: float  # between the end of a process and its next start
    calm_s: float  # after the machine counts as recovered


def draw_episode(rng: Random, machine_count: int) -> Episode:
    """Draws the next episode."""
    kind = rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
    machine = PRIMARY if rng.random() < PRIMARY_SHARE else rng.randrange(machine_count)
    freeze_s = rng.choice((MIN_FREEZE_S, 0.7, 1.0, 2.5, MAX_FREEZE_S)) * rng.uniform(0.9, 1.0)
    return Episode(
        kind,
        machine,
        max(freeze_s, MIN_FREEZE_S),
        rng.choice((0.001, 0.02, 0.1, 0.4)) * rng.uniform(0.5, 1.5),
        rng.choice((0.0, 0.1, 0.5, MAX_DOWN_S)),
        rng.choice((0.0, 0.5, 2.0)),
    )
