"""Drawn ways through the states, far longer than a search of all of them comes: several takeovers, wipes and writes."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from oakvale.lab.modelcheck import trace
from oakvale.lab.modelcheck.model import WAKES, Bounds, Broken, Model, State, Step
from oakvale.lab.modelcheck.search import Found

FAR = Bounds(writes=6, kills=5, wipes=3, wakes=10, retries=10)  # on each walk
STEPS = 250
ANEW = 100  # walks, until what was worked out is forgotten: machines in such depths are seldom alike
CALM = 0.01  # of a step: all heals before the next, so that another disk may be lost
# how likely each kind is beside the others that can happen; words and disks must get on, or nothing comes of a fault
LIKELY = {
    "mail": 10.0,
    "sync": 10.0,
    "start": 1.0,
    "learn": 1.0,
    "again": 1.0,
    "wake": 0.6,
    "change": 0.5,
    "answer": 0.3,
    "kill": 0.2,
    "wipe": 0.1,
}
TIMES = (0.1, 1.0, 1.0, 6.0)  # each kind on each walk: walks that are all alike miss what takes many of one kind
SLOW = 0.3  # share of walks on which one machine does little
LAG = 0.9  # of what it would have done


class Walks:
    def __init__(
        self, bounds: Bounds = FAR, start: str = "settled", seed: int = 1, show: Callable[[str], None] | None = None
    ) -> None:
        self.bounds, self.seed, self.walks = bounds, seed, 0
        self.found = Found(bounds, start)
        self._show = show
        self._model = Model(bounds, small=start == "laden")

    def run(self, walks: int, seconds: float = 86_400.0) -> Found:
        """Each walk's draws are its own: the n-th is the same in every run of a seed."""
        began = time.monotonic()
        found = self.found
        while self.walks < walks and found.broken is None and time.monotonic() - began < seconds:
            if self.walks % ANEW == 0:
                found.machines += len(self._model.facts)
                self._model = Model(self.bounds, self._model.small)
                if self._show is not None and self.walks:
                    self._show(f"{self.walks} walks, {found.steps} steps, {time.monotonic() - began:.0f} s")
            self.walks += 1
            self._walk(random.Random(self.seed * 1_000_003 + self.walks))
        found.machines += len(self._model.facts)
        found.seconds = time.monotonic() - began
        return found

    def line(self) -> str:
        found = self.found
        said = f"BROKEN {found.broken}" if found.broken else "nothing broken"
        return (
            f"{found.start}, seed {self.seed}: {self.walks} walks of {STEPS} steps at most, {found.steps} steps, "
            f"{found.machines} of one machine, healed from {found.healed}, {found.seconds:.1f} s: {said}"
        )

    def _walk(self, rng: random.Random) -> None:
        model, way = self._model, list[Step]()
        first = state = model.first(self.found.start)
        likely = {kind: weight * rng.choice(TIMES) for kind, weight in LIKELY.items()}
        slow = rng.randrange(model.bounds.machines) if rng.random() < SLOW else -1
        try:
            for _ in range(STEPS):
                if rng.random() < CALM:
                    state = model.heal(state, None, trace=way)._replace(spent=state.spent)
                step = self._drawn(rng, state, likely, slow)
                if step is None:
                    continue
                way.append(step)
                state = model.after(state, step)
                self.found.steps += 1
            self.found.healed += 1
            model.heal(state, trace=way)
        except Broken as broken:
            self._shorten(first, way, broken)

    def _drawn(self, rng: random.Random, state: State, likely: dict[str, float], slow: int) -> Step | None:
        model = self._model
        kinds: dict[str, list[Step]] = {}
        for step in model.steps(state, wakes=False):
            kinds.setdefault(step[1][0], []).append(step)
        if state.spent[WAKES] < model.bounds.wakes and "start" not in kinds:
            kinds["wake"] = []
        kind = rng.choices(list(kinds), [likely[kind] for kind in kinds])[0] if kinds else ""
        if kind == "wake":
            place = rng.randrange(model.bounds.machines)
            kinds[kind] = [(place, wake) for wake in model.wakes(state.seats, place)]
        steps = kinds.get(kind)
        if not steps:
            return None
        step = rng.choice(steps)
        return None if step[0] == slow and rng.random() < LAG else step

    def _shorten(self, first: State, way: list[Step], broken: Broken) -> None:
        found, model = self.found, self._model
        found.broken, found.way = broken, way
        ends = model.replay(first, way)
        if ends is not None:  # else it shows in what does not happen, and every step may count
            found.way = model.shortened(first, way[: ends[0]], broken.rule)
        found.trace = trace.lines(model, first, found.way)
        if ends is None:
            found.trace.append(f"     BROKEN {broken}")
