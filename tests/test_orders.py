"""Configurations sent by operators, in simulated time: each number gets one content, and retries are confirmed.

The reference model is a map from numbers to confirmed contents, and the set of refused ones.
"""

from __future__ import annotations

import random
from collections.abc import Generator
from functools import partial
from typing import Any

import orjson
import pytest

from oakvale.config import model
from oakvale.controlplane import chunks, replies, resources
from oakvale.controlplane.replicated_state import ReplicatedState
from oakvale.controlplane.replies import Reply
from oakvale.controlplane.resources import CONFIG_DIGESTS, ConfigHandler
from oakvale.dissemination.table import NO_VERSION
from oakvale.lab import undone
from tests.control_plane_simulation import Machine, World
from tests.simulated_processes import MS, SECOND, Loop

CONTENTS = 3


def order(gen: int, content: int, spelling: int = 0) -> bytes:
    config: dict[str, Any] = {
        "gen": gen,
        "routes": {"cols": [], "rows": []},
        "svcs": {"cols": ["name", "hcheck"], "rows": [[f"s{content}", None]]},
    }
    if spelling == 1:
        config["svcs"] = {"rows": [[f"s{content}"]], "cols": ["name"]}
    return orjson.dumps(config, option=orjson.OPT_INDENT_2 if spelling == 2 else 0)


class Operators:
    """Sends configurations to simulated core machines and checks every answer against the reference model."""

    def __init__(self, seed: int) -> None:
        self.configs: dict[Machine, ConfigHandler] = {}
        self.confirmed: dict[int, int] = {}
        self.refused: set[tuple[int, int]] = set()
        self.answers: list[int] = []
        self.rng = random.Random(f"orders {seed}")
        self.world = World(seed, on_machine_start=self._equip)
        self.world.run(SECOND)

    def _equip(self, machine: Machine, loop: Loop) -> None:
        assert machine.core is not None
        self.configs[machine] = ConfigHandler(machine.core)

    def send(self, machine: Machine | None, gen: int, content: int, spelling: int = 0) -> None:
        """Sends it to a machine if that one serves; others would redirect the caller."""
        if machine is None or machine.core is None or machine.paused or not machine.core.serving():
            return

        def check(reply: Reply) -> None:
            self.answers.append(reply.status)
            if reply.status == 200:
                assert self.confirmed.setdefault(gen, content) == content, f"two contents of {gen}"
                assert (gen, content) not in self.refused, f"{gen} was refused and is confirmed"
            elif reply.status == 409:
                self.refused.add((gen, content))
                assert self.confirmed.get(gen) != content, f"{gen} was confirmed and is refused"
            else:
                assert reply.status == 503

        self.configs[machine].replace("", order(gen, content, spelling), check)

    def send_now(self, gen: int, content: int, spelling: int = 0) -> int:
        """Sends it to the serving machine and returns the status of the answer."""
        self.answers.clear()
        self.send(self.world.serving(), gen, content, spelling)
        self.world.run(200 * MS)
        [status] = self.answers
        return status

    def schedule(self, gen: int) -> None:
        """Sends one to three contents several times to any machines, often around a fault."""
        rng, world = self.rng, self.world
        contents = rng.choice([(0,), (0, 1), (0, 1), (0, 1, 2)])
        for _ in range(rng.randrange(2, 7)):
            due = world.now + rng.randrange(rng.choice([5, 30, 1_200]) * MS)
            world.at(due, partial(self._send_to_some, gen, rng.choice(contents), rng.randrange(3)))
        if rng.random() < 0.6:
            world.at(world.now + rng.randrange(40 * MS), self._inject_fault)
        world.run(rng.choice([60, 300, 1_500]) * MS)

    def _send_to_some(self, gen: int, content: int, spelling: int) -> None:
        for machine in self.rng.choices(self.world.machines, k=5):  # one machine may get it twice
            self.send(machine, gen, content, spelling)

    def _inject_fault(self) -> None:
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
        """Plays schedules and heals all faults; after that each number has one confirmed content, and others are
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
            statuses = {content: self.send_now(gen, content) for content in self.rng.sample(range(CONTENTS), CONTENTS)}
            assert sorted(statuses.values()) == [200, 409, 409]
            assert first is None or statuses[first] == 200
        config = self.config()
        assert config["gen"] == max(self.confirmed)
        assert bytes(config["text"]) in [order(config["gen"], self.confirmed[config["gen"]], n) for n in range(3)]

    def config(self) -> Any:
        machine = self.world.serving()
        assert machine is not None and machine.core is not None
        return machine.core.replicated_state.table.get("config")


@pytest.mark.parametrize("part", range(4))
def test_one_number_one_content(part: int) -> None:
    """2,000 random schedules."""
    for seed in range(part * 10, part * 10 + 10):
        Operators(seed).day(50)


@pytest.mark.parametrize("seed", [0, 4, 5, 10])
def test_one_number_one_content_when_configurations_are_sent_in_chunks(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The chunks of a large configuration are sent first; answers about it wait until it is in force."""
    monkeypatch.setattr(chunks, "MAX_INLINE_BYTES", 120)
    monkeypatch.setattr(chunks, "MAX_CHUNK_BYTES", 100)
    Operators(seed).day(50)


def test_the_number_of_remembered_digests_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """In the table and on disk, without tombstones, and gateways hold none. A forgotten number is neither confirmed nor
    refused."""
    monkeypatch.setattr(resources, "MAX_REMEMBERED_CONFIGS", 20)
    operators = Operators(1)
    assert [operators.send_now(gen, gen % 3) for gen in range(2, 402, 2)] == [200] * 200
    machine = operators.world.serving()
    assert machine is not None and machine.core is not None
    table, gateway = machine.core.replicated_state.table, operators.world.gateway
    for keys in (machine.disk.rows, {key for key, _, _ in table.since(NO_VERSION)}):
        assert len([key for key in keys if key.startswith(CONFIG_DIGESTS)]) == 21
    assert not gateway.items(CONFIG_DIGESTS) and gateway.get("config") == table.get("config")
    assert (operators.send_now(361, 0), operators.send_now(361, 0)) == (200, 503)  # the lowest of 21, forgotten at once
    assert (operators.send_now(363, 0), gateway.highest_version) == (200, table.highest_version)
    assert gateway.digests() == table.digests() and not gateway.differing_entries(table.digests())
    assert (operators.send_now(364, 364 % 3), operators.send_now(364, 0), operators.send_now(363, 1)) == (200, 409, 409)
    assert (operators.send_now(362, 362 % 3), operators.send_now(361, 0), operators.send_now(10, 10 % 3)) == (
        503,
        503,
        503,
    )
    assert (operators.send_now(400, 400 % 3), operators.send_now(400, 0), operators.config()["gen"]) == (200, 409, 400)


def test_a_state_stored_without_digests() -> None:
    """The stored configuration counts; older numbers are unknown, and get one confirmed content from then on."""
    operators = Operators(1)
    machine = operators.world.serving()
    assert machine is not None and machine.core is not None
    machine.core.change({"config": {"gen": 7, "text": order(7, 1)}}, lambda done: None)
    operators.world.run(200 * MS)
    assert (operators.send_now(7, 0), operators.send_now(7, 1, 2)) == (409, 200)
    assert (operators.send_now(5, 0), operators.send_now(5, 1), operators.send_now(9, 2)) == (200, 409, 200)
    assert (operators.send_now(7, 0), operators.send_now(7, 1, 1), operators.config()["gen"]) == (409, 200, 9)


def test_eight_large_configurations_at_once_delay_no_heartbeat(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each takes a second to check, in steps, and a duplicate of a queued one is not checked again. Whole checks in one
    turn would get the primary replaced."""
    operators = Operators(1)
    world, checks, real = operators.world, list[bytes](), model.parse_in_steps

    def slow(text: bytes) -> Generator[None, None, Any]:
        checks.append(text)
        for _ in range(4):
            world.now += 250 * MS
            yield
        return (yield from real(text))

    monkeypatch.setattr(model, "parse_in_steps", slow)
    machine = world.serving()
    assert machine is not None and machine.core is not None
    for _ in range(2):
        for gen in range(1, 9):
            operators.send(machine, gen, 0)
    world.run(10 * SECOND)
    assert (operators.answers, len(checks)) == ([200] * 16, 8)
    view = machine.core.view()
    assert view is not None and view.number == 1


# ---- deliberate faults that the tests above must detect


def without_pending(self: ReplicatedState, prefix: str) -> dict[str, Any]:
    return dict(self.table.items(prefix))


def refused_before_durable(
    self: ConfigHandler,
    checked: resources.CheckedConfig,
    body: bytes,
    send_reply: replies.ReplyCallback,
    real: Any = ConfigHandler._decide,
) -> None:
    known, _ = self._stored_digests()
    if known.get(checked.gen, ("", checked.digest))[1] != checked.digest:
        return send_reply(replies.error_reply(409, "different content is pending or in force"))
    real(self, checked, body, send_reply)


BREAKAGES: dict[str, tuple[tuple[Any, str, Any], ...]] = {
    "any-below": ((ConfigHandler, "_decide", undone.any_below),),
    "digest-forgotten": (
        (ConfigHandler, "_stored_digests", undone.taken_in_memory),
        (resources, "_remember", undone.remember_in_memory),
    ),
    "pending-ignored": ((ReplicatedState, "latest_items", without_pending),),
    "refused-before-durable": ((ConfigHandler, "_decide", refused_before_durable),),
}


@pytest.mark.parametrize("name", BREAKAGES)
def test_each_deliberate_fault_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    for owner, attribute, replacement in BREAKAGES[name]:
        monkeypatch.setattr(owner, attribute, replacement)
    with pytest.raises(AssertionError):
        for seed in range(40):
            Operators(seed).day(50)
