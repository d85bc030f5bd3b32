"""States sent to a backup in chunks: compared with a model while connections break and machines restart at any chunk,
and at the planned size on slow links."""

from __future__ import annotations

import json
import random
from collections import Counter
from collections.abc import Iterator
from typing import Any, cast

import pytest

from oakvale.controlplane import chunks
from oakvale.controlplane.chunks import MAX_CHUNK_BYTES, chunk_digests, join_chunks, split_state
from oakvale.controlplane.core import PEER_TIMEOUT_US, Core
from oakvale.dissemination.table import NO_VERSION, Entry
from oakvale.lab.simulation.works import Layout, Station, Works
from tests.control_plane_simulation import Machine, World
from tests.simulated_processes import MS, SECOND
from tests.test_view_change import SHAPES


def configuration(gen: int, tenants: int = 16) -> bytes:
    """A valid configuration of one route."""
    return json.dumps(
        {
            "gen": gen,
            "limits": {"hdr-bytes": 16384, "body-bytes": 65536, "hdr": "3000ms", "idle": "15000ms"},
            "routes": {
                "cols": ["name", "vhost", "prefix", "type", "deadline", "target_time", "tries", "svc"],
                "rows": [["read", "a.example", f"/read{gen}/", "safe", "1200ms", "300ms", 2, "alpha"]],
            },
            "svcs": {"cols": ["name", "hcheck"], "rows": [["alpha", "/healthz"]]},
            "tenants": {
                "cols": ["name", "apikeys", "rate-per-s", "burst"],
                "rows": [[f"tenant-{n}", [f"key-{n}"], 100_000, 100_000] for n in range(tenants)],
            },
        }
    ).encode()


def random_entries(rng: random.Random, rows: int) -> list[Entry]:
    sizes = (0, 10, 300, 5_000, MAX_CHUNK_BYTES - 20, MAX_CHUNK_BYTES, 3 * MAX_CHUNK_BYTES + 5)
    return [
        (f"k{n}", (1, n + 1), rng.choice((None, {"gen": n, "text": rng.randbytes(rng.choice(sizes))})))
        for n in range(rows)
    ]


@pytest.mark.parametrize("seed", range(12))
def test_joined_chunks_restore_the_state(seed: int) -> None:
    rng = random.Random(seed)
    entries = random_entries(rng, rng.choice((0, 1, 7, 60)))
    made = split_state(entries)
    assert sorted(join_chunks(made.manifest(), made.chunks)) == sorted(entries)
    assert set(chunk_digests(made.manifest())) == set(made.chunks)
    assert all(
        len(piece) <= (MAX_CHUNK_BYTES if made.ranges else chunks.MAX_INLINE_BYTES) for piece in made.chunks.values()
    )
    gone = rng.choice(list(made.chunks))
    with pytest.raises(KeyError):
        join_chunks(made.manifest(), {name: piece for name, piece in made.chunks.items() if name != gone})


def test_equal_values_have_equal_chunks_whatever_their_version() -> None:
    rng = random.Random(1)
    entries = random_entries(rng, 60)
    large = [e for e in entries if e[2] is not None and len(e[2]["text"]) > MAX_CHUNK_BYTES]
    made = split_state(entries)
    other = split_state(
        [(key, (2, 9) if key == large[0][0] else version, value) for key, version, value in entries[1:]], made.ranges
    )
    fresh = set(other.chunks) - set(made.chunks)
    assert made.ranges > 1 and large and len(fresh) <= 2  # only the range that lost a row, and the moved value


# ---- with small chunks, on simulated core machines


@pytest.fixture
def small_chunks(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr(chunks, "MAX_CHUNK_BYTES", 64)
    monkeypatch.setattr(chunks, "MAX_INLINE_BYTES", 128)
    yield


@pytest.mark.parametrize("seed", range(300, 312))
def test_a_day_of_faults_with_every_state_in_chunks(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(chunks, "MAX_CHUNK_BYTES", 3)
    monkeypatch.setattr(chunks, "MAX_INLINE_BYTES", seed % 2 * 12)
    World(seed, *SHAPES[seed % len(SHAPES)]).run_day_of_faults(5)


class ChunkCounter:
    """A system with a large state that counts the chunks that arrive."""

    def __init__(self, seed: int, large: int = 40) -> None:
        self.world, self.rng = World(seed), random.Random(f"watched {seed}")
        self.arrived: Counter[tuple[str, bytes]] = Counter()
        self.world.run(2 * SECOND)
        primary = self.serving()
        for n in range(large):
            primary.change({f"big{n}": self.rng.randbytes(700)}, lambda done: None)
        self.world.run(6 * SECOND)
        assert not self.serving().replicated_state.has_pending() and not self.serving().replicated_state.staged_changes
        self.watch()

    def serving(self) -> Core:
        machine = self.world.serving()
        assert machine is not None and machine.core is not None
        return machine.core

    def watch(self) -> None:
        for machine in self.world.machines:
            start = machine.start

            def started(bootstrap: bool = False, machine: Machine = machine, start: Any = start) -> None:
                start(bootstrap)
                self.listen(machine)

            machine.start = started  # type: ignore[method-assign]
            self.listen(machine)

    def listen(self, machine: Machine) -> None:
        assert machine.core is not None
        handlers = machine.core.transport.handlers
        real = handlers["piece"]

        def piece(conn: Any, body: Any, answer: Any) -> None:
            name = bytes(body[3])
            self.arrived[machine.address[0], name] += 1
            real(conn, body, answer)

        handlers["piece"] = piece

    def machine(self, core: Core) -> Machine:
        return next(m for m in self.world.machines if m.core is core)

    def copy(self) -> Machine:
        """The backup's machine."""
        view = self.serving().view()
        assert view is not None
        return next(m for m in self.world.machines if m.core is not None and m.core.self_id == view.backups[0])

    def changes(self, span: int) -> None:
        """Makes small and large changes, ten a second."""
        for _ in range(span // (100 * MS)):
            machine = self.world.serving()
            if machine is not None and machine.core is not None:
                size = self.rng.choice((3, 3, 3, 900))
                machine.core.change({f"w{self.rng.randrange(5)}": self.rng.randbytes(size)}, lambda done: None)
            self.world.run(100 * MS)

    def check_copies_equal(self) -> None:
        """After everything has settled, each copy holds what the primary does, in memory and on disk."""
        self.world.run(6 * SECOND)
        core, copy = self.serving(), self.copy()
        held = core.replicated_state.table.since(NO_VERSION)
        assert copy.core is not None and not core.replicated_state.has_pending()
        assert copy.core.replicated_state.table.since(NO_VERSION) == held
        assert set(copy.disk.rows) == {key for key, _, _ in held} and not copy.disk.pieces
        assert copy.disk.rows == self.machine(core).disk.rows


@pytest.mark.usefixtures("small_chunks")
@pytest.mark.parametrize("seed", range(10))
def test_the_backup_equals_the_primary_after_interruptions(seed: int) -> None:
    """A new backup receives the state while connections break, machines stop and changes come; received chunks stay."""
    counter = ChunkCounter(seed)
    world, rng = counter.world, counter.rng
    world.down(counter.copy(), 20 * SECOND)
    world.run(1_500 * MS)
    for _ in range(rng.randrange(1, 5)):
        view = max(world.views.values(), key=lambda v: v.number)
        ends = [
            next(m for m in world.machines if m.address[0] == replica[0].partition(":")[0]) for replica in view.copies
        ]
        how = rng.choice(("cut", "backup", "primary"))
        if how == "cut":
            world.cut([ends[0]], [ends[1]], rng.randrange(50, 600) * MS, True)
        else:
            world.down(ends[how == "backup"], rng.randrange(50, 600) * MS)
        counter.changes(rng.randrange(200, 900) * MS)
    world.run(3 * SECOND)
    counter.changes(SECOND)
    counter.check_copies_equal()


@pytest.mark.usefixtures("small_chunks")
def test_received_chunks_are_not_sent_again_after_a_restart() -> None:
    counter = ChunkCounter(1)
    world = counter.world
    old = counter.copy()
    world.down(old, 60 * SECOND)
    while sum(counter.arrived.values()) < 100:
        world.run(10 * MS)
    view = max(world.views.values(), key=lambda v: v.number)
    ends = [next(m for m in world.machines if m.address[0] == replica[0].partition(":")[0]) for replica in view.copies]
    chunk_count, before = (
        len(split_state(cast(Core, ends[0].core).replicated_state.all_entries()).chunks),
        sum(counter.arrived.values()),
    )
    world.down(ends[1], 100 * MS)
    kept = len(ends[1].disk.pieces)
    world.run(300 * MS)
    world.down(ends[0], 100 * MS)
    world.run(5 * SECOND)
    total = sum(counter.arrived.values())
    assert kept > 90 and chunk_count > 400 and total < chunk_count + 12, (before, kept, chunk_count, total)
    counter.check_copies_equal()


@pytest.mark.usefixtures("small_chunks")
def test_small_changes_pass_a_large_one_and_it_is_sent_once() -> None:
    counter = ChunkCounter(2, large=0)
    world, core, results = counter.world, counter.serving(), list[str]()
    text = counter.rng.randbytes(9_000)
    core.change({"big": text}, lambda done: results.append(f"big {done}"))
    core.change({"small": 1}, lambda done: results.append(f"small {done}"))
    core.change({"big": b"other"}, lambda done: results.append(f"other {done}"))
    assert core.replicated_state.latest("big") == b"other" and core.replicated_state.table.get("big") is None
    world.run(3 * SECOND)
    assert results == ["small True", "big True", "other True"]
    count = len(split_state([("big", (1, 1), text)]).chunks)
    assert sum(counter.arrived.values()) == count > 100
    counter.check_copies_equal()


@pytest.mark.usefixtures("small_chunks")
def test_a_large_change_waits_for_no_backup_that_is_away() -> None:
    """It is in force once a copy holds it; if its primary is replaced first, the requester gets a result too."""
    counter = ChunkCounter(3, large=0)
    world, core, results = counter.world, counter.serving(), list[bool]()
    world.down(counter.copy(), 3 * SECOND)
    core.change({"big": counter.rng.randbytes(9_000)}, results.append)
    world.run(4 * SECOND)
    assert results in ([True], [False])
    counter.check_copies_equal()


# ---- at the planned size, on simulated links


def planned_size_configuration(rng: random.Random, gen: int = 1) -> bytes:
    """6,900 routes, 180 services, 25,000 tenants with two keys each: 2.3 MB."""
    routes = [
        [
            f"r{n:05}",
            f"h{n % 300}.example",
            f"/v{n % 3}/{rng.randbytes(4).hex()}/",
            "safe",
            "1200ms",
            "300ms",
            2,
            f"s{n % 180}",
        ]
        for n in range(6_900)
    ]
    tenants = [[f"t{n:05}", [rng.randbytes(10).hex(), rng.randbytes(10).hex()], 50 + n % 9, 100] for n in range(25_000)]
    return json.dumps(
        {
            "gen": gen,
            "limits": {"hdr-bytes": 16384, "body-bytes": 65536, "hdr": "3000ms", "idle": "15000ms"},
            "routes": {
                "cols": ["name", "vhost", "prefix", "type", "deadline", "target_time", "tries", "svc"],
                "rows": routes,
            },
            "svcs": {"cols": ["name", "hcheck"], "rows": [[f"s{n}", "/healthz"] for n in range(180)]},
            "tenants": {"cols": ["name", "apikeys", "rate-per-s", "burst"], "rows": tenants},
        }
    ).encode()


class SlowLinkSystem:
    """Three core machines that hold a configuration of the planned size, and then get links of 2 Mbit/s."""

    def __init__(self, text: bytes, seed: int = 1, gateways: int = 0) -> None:
        self.views: list[int] = []
        self.stalls: Counter[str] = Counter()
        edges = tuple((f"e{n}", "xyz"[n % 3]) for n in range(gateways))
        self.works = Works(
            Layout(edges, (("a", "x"), ("b", "y"), ("c", "z"))),
            seed,
            noted=lambda at, name, level, event, fields: self.on_log_event(at, name, event, fields),
        )
        self.serves: list[tuple[int, str]] = []
        self.gaps: Counter[str] = Counter()  # longest time between two heartbeats, by sender and receiver
        self.works.begin()
        self.run(4 * SECOND)
        self.results: list[tuple[int, int, bool]] = []  # when requested, how long it took, whether in force
        self.change("config", {"gen": 1, "text": text})
        self.run(3 * SECOND)
        assert [done for _, _, done in self.results] == [True]
        self.results.clear()
        for station in self.works.stations.values():
            station.machine.link_us = 8 / 2
        self.began = self.works.events.now
        self.serves.clear()
        self.views.clear()

    def on_log_event(self, at: int, name: str, event: str, fields: Any) -> None:
        if event == "serving the control state":
            self.serves.append((at, name))
        if event in ("news are stale", "peer does not read", "table mended"):
            self.stalls[event] += 1
        if event == "view":
            self.views.append(fields["view"])

    def run(self, span: int) -> None:
        self.works.run_for(span)

    def core(self, station: Station) -> Core | None:
        works = station.process.works if station.process is not None else None
        return works.core if works is not None else None

    def serving(self) -> Core | None:
        found = (self.core(station) for station in self.works.cores)
        return next((core for core in found if core is not None and core.serving()), None)

    def station(self, replica: Any) -> Station:
        return next(s for s in self.works.cores if replica[0].startswith(s.machine.ip + ":"))

    def change(self, key: str, value: Any) -> None:
        core = self.serving()
        if core is None:
            return
        now = self.works.events.now
        process = self.station(core.self_id).process
        assert process is not None
        process.post(
            lambda: core.change(
                {key: value}, lambda done: self.results.append((now, self.works.events.now - now, done))
            )
        )

    def listen(self) -> None:
        """Starts to record the gaps between heartbeats that arrive."""
        last: dict[tuple[str, str], int] = {}
        for station in self.works.cores:
            core = self.core(station)
            assert core is not None
            handlers = core.transport.handlers

            def on_heartbeat(
                conn: Any, body: Any, answer: Any, name: str = station.name, real: Any = handlers["core"]
            ) -> None:
                now, pair = self.works.events.now, (str(body[0][0]), name)
                self.gaps[f"{pair[0]} to {name}"] = max(self.gaps[f"{pair[0]} to {name}"], now - last.get(pair, now))
                last[pair] = now
                real(conn, body, answer)

            handlers["core"] = on_heartbeat


@pytest.mark.parametrize("how", ["planned", "noise"])
def test_a_new_backup_at_the_planned_size_on_a_slow_link(how: str) -> None:
    """All of it is sent in time, with one view change, heartbeats in time, and changes offered throughout."""
    rng = random.Random(1)
    text = planned_size_configuration(rng) if how == "planned" else rng.randbytes(2_300_000)
    system = SlowLinkSystem(text)
    core = system.serving()
    assert core is not None and 2_200_000 < len(text) < 2_500_000
    view = core.view()
    assert view is not None
    backup = system.station(view.backups[0])
    system.listen()
    backup.kill(down=60 * SECOND)
    began = system.works.events.now
    for n in range(80):
        system.change(f"w{n % 5}", n)
        system.run(250 * MS)
    assert set(system.views) == {view.number + 1} and len(system.serves) == 1 and not system.works.faults
    took = system.serves[0][0] - began
    print(how, "serves after", took / SECOND, "longest gaps", dict(system.gaps))
    assert took < (6 if how == "planned" else 12) * SECOND
    assert max(system.gaps.values()) < PEER_TIMEOUT_US // 2
    answered = [span for at, span, done in system.results if done and at > system.serves[0][0]]
    assert len(answered) > 20 and max(answered) < SECOND // 2


def test_a_backup_that_missed_hundreds_of_changes_is_sent_what_it_misses() -> None:
    """It restarts in the middle of a configuration, in the same view, while 300 more rows follow."""
    rng = random.Random(2)
    system = SlowLinkSystem(planned_size_configuration(rng))
    core = system.serving()
    assert core is not None
    view = core.view()
    assert view is not None
    system.listen()
    backup = system.station(view.backups[0])
    process = backup.process
    assert process is not None and process.works is not None
    system.change("config", {"gen": 2, "text": planned_size_configuration(rng)})
    system.run(1_500 * MS)  # part of it has arrived
    backup.kill(down=10 * MS)
    for n in range(300):
        system.change(f"w{n}", n)
        system.run(10 * MS)
    for n in range(60):
        system.change(f"w{n}", -n)
        system.run(250 * MS)
    system.run(SECOND)
    other = system.core(backup)
    assert other is not None and other.replicated_state.table.since(NO_VERSION) == core.replicated_state.table.since(
        NO_VERSION
    )
    assert (
        core.replicated_state.table.get("config")["gen"] == 2
        and set(system.views) <= {view.number}
        and system.serving() is core
    )
    late = max(at + span for at, span, done in system.results if done) - system.began
    print("all in force after", late / SECOND, "longest gaps", dict(system.gaps))
    heartbeat_gaps = [
        gap for pair, gap in system.gaps.items() if not pair.startswith(backup.machine.ip)
    ]  # except for the one that restarted
    assert (
        all(done for _, _, done in system.results)
        and len(system.results) == 361
        and max(heartbeat_gaps) < PEER_TIMEOUT_US // 2
    )


def test_changes_pass_a_configuration_on_its_way() -> None:
    """Small changes and heartbeats are sent between its chunks, and each is in force within half a second."""
    rng = random.Random(3)
    system = SlowLinkSystem(planned_size_configuration(rng))
    system.listen()
    system.change("config", {"gen": 2, "text": rng.randbytes(2_300_000)})
    for n in range(60):
        system.run(250 * MS)
        system.change(f"w{n}", n)
    system.run(SECOND)
    spans = sorted(span for _, span, _ in system.results)
    print("the configuration", spans[-1] / SECOND, "others at most", spans[-2] / SECOND, dict(system.gaps))
    assert all(done for _, _, done in system.results) and len(spans) == 61
    assert 9 * SECOND < spans[-1] < 13 * SECOND and spans[-2] < SECOND // 2
    assert max(system.gaps.values()) < PEER_TIMEOUT_US // 2 and not system.views


def test_gateways_get_a_configuration_of_the_planned_size_over_slow_links() -> None:
    """However slow the links: no gateway looks for another source while updates are arriving, and no primary is
    replaced."""
    system = SlowLinkSystem(configuration(1), gateways=6)
    system.stalls.clear()
    system.listen()
    system.change("config", {"gen": 2, "text": planned_size_configuration(random.Random(4), 2)})

    def held() -> list[bool]:
        feeds = [cast(Any, s.process).works.gateway.feed for s in system.works.edges]
        return [feed.table.get("config")["gen"] == 2 and feed.is_fresh() for feed in feeds]

    spans: list[int] = []
    for second in range(1, 61):
        system.run(SECOND)
        spans += [second] * (sum(held()) - len(spans))
    print("held after", spans, dict(system.gaps))
    assert len(spans) == 6 and spans[2] <= 36 and spans[5] <= 46
    assert not system.stalls and not system.views and max(system.gaps.values()) < PEER_TIMEOUT_US
