"""Orders of operators over the control state in simulated time: one number, one content, and the same order again.

The plain model is a map from numbers to the contents that were confirmed, and the set of what was refused.
"""

from __future__ import annotations

import random
from collections.abc import Generator
from functools import partial
from typing import Any

import orjson
import pytest

from oakvale.config import model
from oakvale.controlplane import chunks, resources
from oakvale.controlplane.replicated_state import ReplicatedState
from oakvale.controlplane.resources import TAKEN, Config, Reply
from oakvale.dissemination.table import NO_VERSION
from oakvale.lab import undone
from tests.control_plane_simulation import Machine, World
from tests.simulated_processes import MS, SECOND, Loop

CONTENTS = 3


def order(gen: int, content: int, spelling: int = 0) -> bytes:
    said: dict[str, Any] = {
        "gen": gen,
        "routes": {"cols": [], "rows": []},
        "svcs": {"cols": ["name", "hcheck"], "rows": [[f"s{content}", None]]},
    }
    if spelling == 1:
        said["svcs"] = {"rows": [[f"s{content}"]], "cols": ["name"]}
    return orjson.dumps(said, option=orjson.OPT_INDENT_2 if spelling == 2 else 0)


class Operators:
    def __init__(self, seed: int) -> None:
        self.configs: dict[Machine, Config] = {}
        self.confirmed: dict[int, int] = {}
        self.refused: set[tuple[int, int]] = set()
        self.answers: list[int] = []
        self.rng = random.Random(f"orders {seed}")
        self.world = World(seed, on_machine_start=self._equip)
        self.world.run(SECOND)

    def _equip(self, machine: Machine, loop: Loop) -> None:
        assert machine.core is not None
        self.configs[machine] = Config(machine.core)

    def send(self, machine: Machine | None, gen: int, content: int, spelling: int = 0) -> None:
        """To a machine that takes orders; others send the caller on."""
        if machine is None or machine.core is None or machine.paused or not machine.core.serving():
            return

        def give(reply: Reply) -> None:
            self.answers.append(reply.status)
            if reply.status == 200:
                assert self.confirmed.setdefault(gen, content) == content, f"two contents of {gen}"
                assert (gen, content) not in self.refused, f"{gen} was refused and is confirmed"
            elif reply.status == 409:
                self.refused.add((gen, content))
                assert self.confirmed.get(gen) != content, f"{gen} was confirmed and is refused"
            else:
                assert reply.status == 503

        self.configs[machine].replace("", order(gen, content, spelling), give)

    def now(self, gen: int, content: int, spelling: int = 0) -> int:
        """Sends it to who serves now; its answer."""
        self.answers.clear()
        self.send(self.world.serving(), gen, content, spelling)
        self.world.run(200 * MS)
        [status] = self.answers
        return status

    def schedule(self, gen: int) -> None:
        """Two contents or the same one, several times, to any machines, around something that fails."""
        rng, world = self.rng, self.world
        contents = rng.choice([(0,), (0, 1), (0, 1), (0, 1, 2)])
        for _ in range(rng.randrange(2, 7)):
            due = world.now + rng.randrange(rng.choice([5, 30, 1_200]) * MS)
            world.at(due, partial(self._everywhere, gen, rng.choice(contents), rng.randrange(3)))
        if rng.random() < 0.6:
            world.at(world.now + rng.randrange(40 * MS), self._fault)
        world.run(rng.choice([60, 300, 1_500]) * MS)

    def _everywhere(self, gen: int, content: int, spelling: int) -> None:
        for machine in self.rng.choices(self.world.machines, k=5):  # one may get it twice at once
            self.send(machine, gen, content, spelling)

    def _fault(self) -> None:
        rng, world = self.rng, self.world
        machine = world.primary() if rng.random() < 0.7 else rng.choice(world.machines)
        others = [m for m in world.machines if m is not machine]
        span = rng.choice([50, 400, 1_400]) * MS
        kind = rng.choice(["down", "cut", "half", "friend", "all", "wipe", "pause"])
        if kind == "wipe" and world.troubled_machines() <= {machine}:
            world.down(machine, span, wiped=True)
        elif kind == "all":
            for each in world.machines:
                world.down(each, rng.randrange(20, 400) * MS)
        elif kind in ("cut", "half"):
            world.cut([machine], others, span, kind == "cut")
        elif kind == "friend":
            world.cut([machine, others[0]], others[1:], span, True)
        elif kind == "pause":
            world.pause(machine, span)
        else:
            world.down(machine, span)

    def day(self, schedules: int) -> None:
        """Then all heals, and of all that was ever sent under a number one content is confirmed and the others
        refused."""
        newest, sent = 0, list[int]()
        for _ in range(schedules):
            if self.rng.random() < 0.7:
                newest += self.rng.randrange(1, 4)
                sent.append(newest)
                self.schedule(newest)
            else:
                older = self.rng.choice([self.rng.randrange(newest + 1), newest])
                sent.append(older)
                self.schedule(older)
        self.world.heal()
        self.world.run(10 * SECOND)
        for gen in dict.fromkeys(sent):
            first = self.confirmed.get(gen)
            got = {content: self.now(gen, content) for content in self.rng.sample(range(CONTENTS), CONTENTS)}
            assert sorted(got.values()) == [200, 409, 409]
            assert first is None or got[first] == 200
        held = self.held()
        assert held["gen"] == max(self.confirmed)
        assert bytes(held["text"]) in [order(held["gen"], self.confirmed[held["gen"]], n) for n in range(3)]

    def held(self) -> Any:
        machine = self.world.serving()
        assert machine is not None and machine.core is not None
        return machine.core.replicated_state.table.get("config")


@pytest.mark.parametrize("part", range(4))
def test_one_number_one_content(part: int) -> None:
    """2,000 drawn schedules."""
    for seed in range(part * 10, part * 10 + 10):
        Operators(seed).day(50)


@pytest.mark.parametrize("seed", [0, 4, 5, 10])
def test_one_number_one_content_where_orders_go_in_pieces(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Ahead of a large order its pieces are sent; what is said of it meanwhile waits for it."""
    monkeypatch.setattr(chunks, "MAX_INLINE_BYTES", 120)
    monkeypatch.setattr(chunks, "MAX_CHUNK_BYTES", 100)
    Operators(seed).day(50)


def test_what_is_remembered_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """In the table and on the disks, without graves, and gateways hold none of it. A number that is known no longer is
    neither confirmed nor refused."""
    monkeypatch.setattr(resources, "MOST", 20)
    operators = Operators(1)
    assert [operators.now(gen, gen % 3) for gen in range(2, 402, 2)] == [200] * 200
    machine = operators.world.serving()
    assert machine is not None and machine.core is not None
    table, gateway = machine.core.replicated_state.table, operators.world.gateway
    for held in (machine.disk.rows, {key for key, _, _ in table.since(NO_VERSION)}):
        assert len([key for key in held if key.startswith(TAKEN)]) == 21
    assert not gateway.items(TAKEN) and gateway.get("config") == table.get("config")
    assert (operators.now(361, 0), operators.now(361, 0)) == (200, 503)  # the lowest of 21, forgotten at once
    assert (operators.now(363, 0), gateway.highest_version) == (200, table.highest_version)
    assert gateway.digests() == table.digests() and not gateway.differing_entries(table.digests())
    assert (operators.now(364, 364 % 3), operators.now(364, 0), operators.now(363, 1)) == (200, 409, 409)
    assert (operators.now(362, 362 % 3), operators.now(361, 0), operators.now(10, 10 % 3)) == (503, 503, 503)
    assert (operators.now(400, 400 % 3), operators.now(400, 0), operators.held()["gen"]) == (200, 409, 400)


def test_a_state_from_before_contents_were_remembered() -> None:
    """The one that is held counts; of older numbers nothing is known, and one content is confirmed from then on."""
    operators = Operators(1)
    machine = operators.world.serving()
    assert machine is not None and machine.core is not None
    machine.core.change({"config": {"gen": 7, "text": order(7, 1)}}, lambda done: None)
    operators.world.run(200 * MS)
    assert (operators.now(7, 0), operators.now(7, 1, 2)) == (409, 200)
    assert (operators.now(5, 0), operators.now(5, 1), operators.now(9, 2)) == (200, 409, 200)
    assert (operators.now(7, 0), operators.now(7, 1, 1), operators.held()["gen"]) == (409, 200, 9)


def test_eight_large_orders_at_once_hold_no_heartbeat_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each takes a second to check, in steps, and one that is sent again while it waits is checked once. With all, or
    each, in one turn the primary was replaced."""
    operators = Operators(1)
    world, checks, real = operators.world, list[bytes](), model.reading

    def slow(text: bytes) -> Generator[None, None, Any]:
        checks.append(text)
        for _ in range(4):
            world.now += 250 * MS
            yield
        return (yield from real(text))

    monkeypatch.setattr(model, "reading", slow)
    machine = world.serving()
    assert machine is not None and machine.core is not None
    for _ in range(2):
        for gen in range(1, 9):
            operators.send(machine, gen, 0)
    world.run(10 * SECOND)
    assert (operators.answers, len(checks)) == ([200] * 16, 8)
    view = machine.core.view()
    assert view is not None and view.number == 1


# ---- the same, broken on purpose


def in_force_alone(self: ReplicatedState, prefix: str) -> dict[str, Any]:
    return dict(self.table.items(prefix))


def refused_at_once(
    self: Config, checked: resources.Checked, body: bytes, give: resources.Give, real: Any = Config._judge
) -> None:
    known, _ = self._taken()
    if known.get(checked.gen, ("", checked.digest))[1] != checked.digest:
        return give(resources.problem(409, "another waits, or is in force"))
    real(self, checked, body, give)


BREAKAGES: dict[str, tuple[tuple[Any, str, Any], ...]] = {
    "any-below": ((Config, "_judge", undone.any_below),),
    "digest-forgotten": (
        (Config, "_taken", undone.taken_in_memory),
        (resources, "_remember", undone.remember_in_memory),
    ),
    "what-waits-unseen": ((ReplicatedState, "latest_items", in_force_alone),),
    "refused-at-once": ((Config, "_judge", refused_at_once),),
}


@pytest.mark.parametrize("name", BREAKAGES)
def test_what_is_broken_on_purpose_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    for whose, part, other in BREAKAGES[name]:
        monkeypatch.setattr(whose, part, other)
    with pytest.raises(AssertionError):
        for seed in range(40):
            Operators(seed).day(50)
