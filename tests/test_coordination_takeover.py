"""Coordination calls to whole core processes in simulated time, over losses, freezes and the replacement of machines.

Applications call any core machine, follow redirects, and turn to another one after a failure or a second of silence.
Each answer is checked against those that were there before its call was sent.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random
from typing import Any
from urllib.parse import urlsplit

import pytest

from oakvale.lab.models.exchanges import Reply, exchange
from oakvale.lab.simulation.works import CTL, Layout, Station, Works

MS, SECOND = 1_000, 1_000_000
TIMEOUT = SECOND
RETRY_DELAY = 20 * MS
WAIT_MS = 2_000
HOLD = 3 * SECOND
MAX_INTERRUPTION = 6 * SECOND  # of coordination while one machine is lost
NO_ANSWER = 0

Result = Callable[[int, dict[str, Any]], None]  # status (NO_ANSWER: none) and fields of the body


class Application:
    """Calls of one caller: each is repeated at other machines until it has a clear answer."""

    def __init__(self, world: CoordinationWorld, number: int) -> None:
        self.world, self.name, self.rng = world, f"a{number}", Random(number)
        self.host = world.works.host(self.name, "xyz"[number % 3])
        assert self.host.loop is not None
        self.loop = self.host.loop

    def call(self, method: str, path: str, body: dict[str, Any] | None, on_result: Result, wait: int = 0) -> None:
        """Sends a call to some machine, and reports its final answer."""
        address = self.rng.choice(self.world.works.ctl())
        self._send(address, method, f"/oakvale/{path}", body, wait, 2, on_result)

    def _send(
        self,
        address: tuple[str, int],
        method: str,
        target: str,
        body: dict[str, Any] | None,
        wait: int,
        redirects: int,
        on_result: Result,
    ) -> None:
        def on_reply(reply: Reply | None) -> None:
            if reply is not None and reply.status == 307 and redirects:
                location = urlsplit(dict(reply.headers)[b"location"].decode())
                assert location.hostname is not None and f"{location.path}?{location.query}".rstrip("?") == target
                next_address = (location.hostname, location.port or CTL)
                return self._send(next_address, method, target, body, wait, redirects - 1, on_result)
            if reply is None:
                return on_result(NO_ANSWER, {})
            on_result(reply.status, json.loads(reply.body) if reply.body.startswith(b"{") else {})

        data = None if body is None else json.dumps(body).encode()
        exchange(self.loop, address, method, target, data, TIMEOUT + wait, on_reply)

    def later(self, call: Callable[[], None], delay: int = RETRY_DELAY) -> None:
        self.loop.at(self.loop.now + delay, lambda _: call())


class CoordinationWorld:
    """A system with applications that take numbers, hold locks, put, read and watch all the time."""

    def __init__(self, seed: int) -> None:
        cores = tuple((f"core-{n}", "xyz"[n % 3]) for n in range(4))
        self.works = Works(Layout((("edge", "x"),), cores), seed)
        self.rng = Random(seed)
        self.answered_at: dict[str, list[int]] = {}  # by kind of call: times of good answers
        self.highest_number = 0
        self.highest_fences: dict[str, int] = {}  # by owner
        self.holder: tuple[str, int] | None = None  # owner, and until when it takes itself to be holder
        self.acknowledged: dict[str, int] = {}  # key -> highest revision of an acknowledged put
        self.put_revs: dict[str, int] = {}  # value -> its revision, as first seen
        self.rev_values: dict[int, str] = {}
        self.refused: set[str] = set()  # values of puts that were turned away
        self.watched: list[int] = []  # revisions of events, as the watcher received them
        self.stopping = False
        self.works.begin()
        self.works.run_for(3 * SECOND)
        for number, start in enumerate((self.take_numbers, self.hold_lock, self.hold_lock, self.put, self.put)):
            start(Application(self, number))
        self.read(Application(self, 5))
        self.watch(Application(self, 6), 0)

    # ---- the system

    def primary(self) -> Station:
        [found] = [station for station in self.works.cores if self._serves(station)]
        return found

    @staticmethod
    def _serves(station: Station) -> bool:
        works: Any = station.process.works if station.process is not None else None
        return station.up and works is not None and bool(works.core.serving())

    def good_answer(self, kind: str) -> None:
        self.answered_at.setdefault(kind, []).append(self.works.events.now)

    # ---- numbers

    def take_numbers(self, app: Application) -> None:
        floor = self.highest_number

        def on_result(status: int, fields: dict[str, Any]) -> None:
            assert status in (200, 500, 503, NO_ANSWER), status
            if status == 200:
                assert fields["val"] > floor, "a number is not above one given before"
                assert fields["val"] != self.highest_number, "a number is given twice"
                self.highest_number = max(self.highest_number, fields["val"])
                self.good_answer("numbers")
            app.later(lambda: self.take_numbers(app))

        app.call("POST", "numbers/n", {}, on_result)

    # ---- a lock

    def hold_lock(self, app: Application) -> None:
        floor = max((fence for owner, fence in self.highest_fences.items() if owner != app.name), default=0)
        sent_at = app.loop.now

        def on_result(status: int, fields: dict[str, Any]) -> None:
            assert status in (200, 409, 500, 503, NO_ANSWER), status
            now = app.loop.now
            if status != 200 or now >= sent_at + HOLD:
                return app.later(lambda: self.hold_lock(app), 100 * MS)
            assert fields["fence"] > floor, "a fence is not above that of another holder"
            if self.holder is not None and self.holder[0] != app.name:
                assert self.holder[1] <= now, f"{app.name} holds the lock of {self.holder[0]}"
            self.highest_fences[app.name] = max(self.highest_fences.get(app.name, 0), fields["fence"])
            self.holder = (app.name, sent_at + HOLD)
            self.good_answer("locks")
            app.later(lambda: self.renew_lock(app, fields["fence"], 3), 500 * MS)

        app.call("POST", "Locks.Begin/l", {"owner": app.name, "hold": "3000ms"}, on_result)

    def renew_lock(self, app: Application, fence: int, times: int) -> None:
        sent_at = app.loop.now
        if self.holder is None or self.holder[0] != app.name or self.holder[1] <= sent_at:
            return self.hold_lock(app)
        if not times:
            self.holder = None
            body = {"owner": app.name, "fence": fence}
            return app.call("POST", "Locks.Finish/l", body, lambda status, _: app.later(lambda: self.hold_lock(app)))

        def on_result(status: int, fields: dict[str, Any]) -> None:
            assert status in (200, 409, 500, 503, NO_ANSWER), status
            holds = self.holder is not None and self.holder[0] == app.name and app.loop.now < self.holder[1]
            if holds and status == 409:
                self.holder = None
            elif holds and status == 200:
                self.holder = (app.name, sent_at + HOLD)
            app.later(lambda: self.renew_lock(app, fence, times - (status == 200)), 300 * MS)

        body = {"owner": app.name, "fence": fence, "hold": "3000ms"}
        app.call("POST", "Locks.Heartbeat/l", body, on_result)

    # ---- keys

    def put(self, app: Application) -> None:
        if self.stopping:
            return
        value, key = f"{app.name}-{app.rng.getrandbits(60):x}", f"g.{app.rng.randrange(3)}"
        topic = self.acknowledged.get(key, 0) if app.rng.random() < 0.5 else None
        self._send_put(app, key, value, topic)

    def _send_put(self, app: Application, key: str, value: str, topic: int | None, is_repeat: bool = False) -> None:
        floor = max(self.acknowledged.values(), default=0)

        def on_result(status: int, fields: dict[str, Any]) -> None:
            assert status in (200, 412, 500, 503, NO_ANSWER), status
            if status == 200:
                assert fields["rev"] > floor or value in self.put_revs or is_repeat, "a revision does not rise"
                self._saw(key, value, fields["rev"])
                self.acknowledged[key] = max(self.acknowledged.get(key, 0), fields["rev"])
                self.good_answer("put")
            elif status == 412:
                self.refused.add(value)
                assert value not in self.put_revs, "a refused value was shown"
                assert topic is not None and fields["rev"] >= topic
            else:
                return app.later(lambda: self._send_put(app, key, value, topic, is_repeat=True))
            app.later(lambda: self.put(app))

        body: dict[str, Any] = {"val": value}
        if topic is not None:
            body["topic"] = topic
        app.call("POST", f"Cells.Replace/{key}", body, on_result)

    def _saw(self, key: str, value: str, rev: int) -> None:
        assert value not in self.refused, "a refused value is shown"
        assert self.put_revs.setdefault(value, rev) == rev, "a value has two revisions"
        assert self.rev_values.setdefault(rev, value) == value, "a revision has two values"

    def read(self, app: Application) -> None:
        key = f"g.{app.rng.randrange(3)}"
        floor = self.acknowledged.get(key, 0)

        def on_result(status: int, fields: dict[str, Any]) -> None:
            assert status in (200, 404, 500, 503, NO_ANSWER), status
            if status == 200:
                assert fields["rev"] >= floor, "a read is stale"
                self._saw(key, fields["val"], fields["rev"])
                self.good_answer("read")
            assert status != 404 or floor == 0
            app.later(lambda: self.read(app))

        app.call("GET", f"Cells.Read/{key}", None, on_result)

    def watch(self, app: Application, after: int) -> None:
        def on_result(status: int, fields: dict[str, Any]) -> None:
            assert status in (200, 500, 503, NO_ANSWER), f"a watch got {status}"
            next_after = after
            if status == 200:
                revs = [event["rev"] for event in fields["events"]]
                assert not after or revs == list(range(after + 1, fields["rev"] + 1)), "a watch skips a put"
                for event in fields["events"]:
                    self._saw(event["name"], event["val"], event["rev"])
                self.watched += revs
                next_after = fields["rev"]
                self.good_answer("watch")
            app.later(lambda: self.watch(app, next_after), 0 if status == 200 and after else RETRY_DELAY)

        app.call("GET", f"watch/g.?after={after}&wait-ms={WAIT_MS}", None, on_result, WAIT_MS * MS)

    # ---- the end

    def check(self, settled_at: int) -> None:
        """All kinds of calls are answered again, none was interrupted for long, and the watcher has seen all puts."""
        self.stopping = True
        self.works.run_for(3 * SECOND)
        assert not self.works.faults, self.works.faults
        for kind in ("numbers", "locks", "put", "read", "watch"):
            times = [at for at in self.answered_at[kind] if at <= settled_at]
            longest = max(later - earlier for earlier, later in zip(times, times[1:], strict=False))
            assert longest < MAX_INTERRUPTION + HOLD * (kind == "locks"), (kind, longest / SECOND)
            assert times[-1] > settled_at - 3 * SECOND, kind
        assert self.watched == list(range(self.watched[0], max(self.acknowledged.values()) + 1))


def kill(world: CoordinationWorld) -> None:
    world.primary().kill(4 * SECOND)


def freeze(world: CoordinationWorld) -> None:
    world.primary().freeze(4 * SECOND)


def power_off_with_lost_disk(world: CoordinationWorld) -> None:
    world.primary().wipe(3 * SECOND)


def terminate(world: CoordinationWorld) -> None:
    world.primary().terminate(2 * SECOND)


def replace(world: CoordinationWorld) -> None:
    world.works.replace(world.primary(), SECOND, planned=False)


def replace_as_planned(world: CoordinationWorld) -> None:
    world.works.replace(world.primary(), SECOND, planned=True)


def isolate(world: CoordinationWorld) -> None:
    primary, wires = world.primary(), world.works.wires
    pairs = wires.cut([primary.machine], [s.machine for s in world.works.cores if s is not primary], True)
    world.works.events.at(world.works.events.now + 5 * SECOND, lambda _: wires.heal(pairs))


def kill_all(world: CoordinationWorld) -> None:
    for station in world.works.cores:
        station.power_off(500 * MS)


FAULTS = (kill, freeze, power_off_with_lost_disk, terminate, replace, replace_as_planned, isolate, kill_all)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: str(fault.__name__))
def test_coordination_over_a_takeover(fault: Callable[[CoordinationWorld], None]) -> None:
    world = CoordinationWorld(FAULTS.index(fault))
    world.works.run_for(3 * SECOND + world.rng.randrange(500 * MS))
    for _ in range(2):
        fault(world)
        world.works.run_for(12 * SECOND + world.rng.randrange(500 * MS))
    world.check(world.works.events.now)


@pytest.mark.parametrize("others_away", [0, 2])
def test_a_terminated_primary_answers_the_watches_that_wait(others_away: int) -> None:
    """Also if no other machine can take over before it stops."""
    world = CoordinationWorld(9)
    for _ in range(others_away):
        primary = world.primary()
        next(station for station in world.works.cores if station.up and station is not primary).kill(90 * SECOND)
        world.works.run_for(12 * SECOND)
    primary = world.primary()
    app, results = Application(world, 9), list[tuple[int, int]]()

    def on_reply(reply: Reply | None) -> None:
        results.append((reply.status if reply is not None else NO_ANSWER, app.loop.now))

    for _ in range(3):
        target = "/oakvale/watch/quiet.?after=1&wait-ms=30000"
        exchange(app.loop, (primary.machine.ip, CTL), "GET", target, None, 20 * SECOND, on_reply)
    world.works.run_for(SECOND)
    assert not results
    primary.terminate()
    while primary.process is not None:
        world.works.run_for(10 * MS)
    assert [status for status, _ in results] == [503] * 3
