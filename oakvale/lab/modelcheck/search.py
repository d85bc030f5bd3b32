"""Every state that can be reached within bounds, nearest first; the shortest way to one that breaks a rule."""

from __future__ import annotations

import time
from array import array
from collections.abc import Callable
from dataclasses import dataclass, field

from oakvale.lab.modelcheck import trace
from oakvale.lab.modelcheck.model import UNSPENT, Bounds, Broken, Model, State, Step

EVERY = 64  # from one state in so many, and from all at the depth given, everything is let heal; 0 for none
SHOWN = 100_000  # states between two reports


@dataclass(slots=True)
class Found:
    """What a search came to."""

    bounds: Bounds
    start: str
    states: int = 0
    steps: int = 0  # from one state to another, whether known or not
    depth: int = 0  # of the farthest states
    machines: int = 0  # different states of one machine, so many were worked out by the real code
    healed: int = 0  # states from which everything was let heal
    seconds: float = 0.0
    whole: bool = False  # nothing within the bounds was left out
    broken: Broken | None = None
    way: list[Step] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)

    def line(self) -> str:
        b = self.bounds
        what = (
            f"{self.start}, {b.writes} writes, {b.kills} kills, {b.wipes} wipes, {b.wakes} wakes, "
            f"{b.retries} retries"
            + (f", {b.beats} beats, {b.passes} passes" if b.beats else "")
            + (f", {b.leaves} leaves" if b.leaves else "")
            + (f", {b.spares} spares" if b.spares else "")
            + (f", zones {b.zones}" if b.zones else "")
        )
        ends = "all" if self.whole else "cut short"
        said = f"BROKEN {self.broken}" if self.broken else "nothing broken"
        return (
            f"{what}: {self.states} states ({ends}), {self.steps} steps, depth {self.depth}, "
            f"{self.machines} of one machine, healed from {self.healed}, {self.seconds:.1f} s: {said}"
        )


class Search:
    """States are known by a 64-bit hash: of a million, two share one with a chance of 1 in 37 million, and one of
    those would be left out."""

    def __init__(
        self,
        bounds: Bounds,
        start: str = "settled",
        depth: int = 1_000,
        most: int = 50_000_000,
        seconds: float = 86_400.0,
        every: int = EVERY,
        show: Callable[[str], None] | None = None,
    ) -> None:
        self.model = Model(bounds, small=start == "laden")
        self.found = Found(bounds, start)
        self._depth, self._most, self._seconds, self._every, self._show = depth, most, seconds, every, show
        self._index: dict[int, int] = {}  # hash of a state -> its place
        self._from, self._by = array("L"), array("L")  # for each state: the place of the one before, and the step
        self._step_numbers: dict[Step, int] = {}
        self._steps: list[Step] = []
        self._passed: set[State] = set()  # from where all heals, as was seen

    def run(self) -> Found:
        began = time.monotonic()
        found, first = self.found, State((), (), 0, UNSPENT)
        try:
            first = self.model.first(self.found.start)
            self._explore(first, began)
        except _Way as way:
            found.broken, found.way = way.broken, way.steps
            found.trace = trace.lines(self.model, first, way.steps, way.healing)
        except Broken as broken:  # before anything went wrong
            found.broken = broken
        finally:  # also where it was stopped
            found.seconds = time.monotonic() - began
            found.machines, found.states = len(self.model.facts), len(self._index)
        return found

    def shorten(self) -> None:
        """Takes steps out of the way that was found, as long as it still breaks the same rule."""
        found, model = self.found, self.model
        if found.broken is None:
            return
        first = model.first(found.start)
        found.way = model.shortened(first, found.way, found.broken.rule)
        found.trace = trace.lines(model, first, found.way)

    def _explore(self, first: State, began: float) -> None:
        found, model, index = self.found, self.model, self._index
        index[hash(first)] = 0
        self._from.append(0)
        self._by.append(0)
        edge = [first]
        shown = SHOWN
        while edge:
            if found.depth >= self._depth:
                return self._heal_edge(edge, began)
            after: list[State] = []
            for state in edge:
                place = index[hash(state)]
                for step in model.steps(state):
                    found.steps += 1
                    try:
                        made = model.after(state, step)
                    except Broken as broken:
                        raise _Way(broken, [*self._way(place), step]) from None
                    key = hash(made)
                    if key in index:
                        continue
                    new = index[key] = len(self._from)
                    self._from.append(place)
                    self._by.append(self._number(step))
                    after.append(made)
                    if self._every and key % self._every == 0:
                        self._heal(made, new)
                if len(index) > shown:
                    shown += SHOWN
                    if self._show is not None:
                        self._show(f"depth {found.depth}: {len(index)} states, {time.monotonic() - began:.0f} s")
                if len(index) >= self._most or time.monotonic() - began > self._seconds:
                    return
            edge = after
            found.depth += bool(edge)
        found.whole = True

    def _heal_edge(self, edge: list[State], began: float) -> None:
        if not self._every:
            return
        for state in edge:
            if time.monotonic() - began > self._seconds:
                return
            self._heal(state, self._index[hash(state)])

    def _heal(self, state: State, place: int) -> None:
        self.found.healed += 1
        on: list[Step] = []
        try:
            self.model.heal(state, passed=self._passed, trace=on)
        except Broken as broken:
            steps = self._way(place)
            raise _Way(broken, [*steps, *on], len(steps)) from None

    def _number(self, step: Step) -> int:
        found = self._step_numbers.get(step)
        if found is None:
            found = self._step_numbers[step] = len(self._steps)
            self._steps.append(step)
        return found

    def _way(self, place: int) -> list[Step]:
        steps = []
        while place:
            steps.append(self._steps[self._by[place]])
            place = self._from[place]
        return steps[::-1]


class _Way(Exception):
    def __init__(self, broken: Broken, steps: list[Step], healing: int | None = None) -> None:
        super().__init__(str(broken))
        self.broken, self.steps, self.healing = broken, steps, healing
