"""The simulated world: what sockets tell a process, what disks keep, and that a seed replays to the byte."""

from __future__ import annotations

import errno
import os
import socket
import struct
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest

from oakvale.base.loop import READ, TIMED_OUT, WRITE, Coroutine, Priority
from oakvale.lab.days import Day, Trouble, decode
from oakvale.lab.judge.verdict import judge
from oakvale.lab.play import Variant, play
from oakvale.lab.record import Event
from oakvale.lab.simulation.disks import Disk
from oakvale.lab.simulation.events import Events
from oakvale.lab.simulation.machines import Process
from oakvale.lab.simulation.sockets import TCP_USER_TIMEOUT, WINDOW
from oakvale.lab.simulation.troubles import Troubles
from oakvale.lab.simulation.works import Layout, Station, Works

MS, SECOND = 1_000, 1_000_000
ZONES = ("east", "west")
ROOT = Path(__file__).parent.parent


class Pair:
    """A process that listens and one that speaks, on two machines; what comes is kept with its time."""

    def __init__(self, delay: int = 300) -> None:
        self.works = Works(Layout((), (), delay=delay), 1)
        self.works.wires.jitter = 0
        self.here, self.there = self.works.host("here", "z"), self.works.host("there", "z")
        self.address = (self.there.machine.ip, 80)
        self.came: list[tuple[int, Any]] = []
        self.taken: list[Any] = []
        self.start = self.works.events.now
        self.reads = True
        self.listener = self.there.net.listen(self.address, 2)
        self.on(self.there, self._accept(), self.listener.fileno())

    def on(self, process: Process, coroutine: Coroutine, fd: int) -> None:
        assert process.loop is not None
        process.loop.start(coroutine, fd, Priority.CLIENT)

    def now(self) -> int:
        return self.works.events.now - self.start

    def _accept(self) -> Coroutine:
        while True:
            yield READ, 0
            sock, _ = self.listener.accept()
            self.taken.append(sock)
            if self.reads:
                self.on(self.there, self._read(sock), sock.fileno())

    def _read(self, sock: Any) -> Coroutine:
        while True:
            yield READ, 0
            try:
                data = sock.recv(4096)
            except OSError as error:
                self.came.append((self.now(), error.errno))
                return
            self.came.append((self.now(), data))
            if not data:
                return

    def speak(self, then: Callable[[Any], None], told: list[Any], patience: int = 0) -> Any:
        """Connects, then does something; what comes back or goes wrong is told."""
        sock = self.here.net.stream()
        if patience:
            sock.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, patience)

        def run() -> Coroutine:
            assert sock.connect_ex(self.address) == errno.EINPROGRESS
            yield WRITE, 0
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            told.append((self.now(), "up" if not code else code))
            if code:
                return
            then(sock)
            while True:
                if (yield READ, 0) == TIMED_OUT:
                    return
                try:
                    data = sock.recv(4096)
                except OSError as error:
                    told.append((self.now(), error.errno))
                    return
                told.append((self.now(), data))
                if not data:
                    return

        self.on(self.here, run(), sock.fileno())
        return sock

    def run(self, span: int) -> None:
        self.works.run_for(span)


def test_bytes_come_in_order_after_their_way_and_a_close_behind_them() -> None:
    pair, told = Pair(), list[Any]()

    def says(sock: Any) -> None:
        sock.send(b"one")
        sock.send(b"two")
        sock.shutdown(socket.SHUT_WR)

    pair.speak(says, told)
    pair.run(SECOND)
    assert b"".join(data for _, data in pair.came) == b"onetwo" and pair.came[-1][1] == b""
    assert 600 <= told[0][0] < 700 and 900 <= pair.came[0][0] < 1_100  # a way there and back, then one more


def test_a_reader_that_stands_still_holds_the_writer_up() -> None:
    pair, sent = Pair(), list[int]()
    pair.reads = False

    def says(sock: Any) -> None:
        try:
            while True:
                sent.append(sock.send(bytes(50_000)))
        except BlockingIOError:
            pass

    sock = pair.speak(says, [])
    pair.run(SECOND)
    assert sum(sent) == WINDOW == sock.untaken()
    assert len(pair.taken[0].recv(1 << 20)) == WINDOW and sock.untaken() == 0 and sock.send(b"x") == 1


@pytest.mark.parametrize("abrupt", [False, True])
def test_closing_with_unread_bytes_resets_and_so_does_no_time_to_linger(abrupt: bool) -> None:
    pair, told = Pair(), list[Any]()
    pair.reads = False
    pair.speak(lambda sock: None if abrupt else sock.send(b"unread"), told)
    pair.run(10 * MS)
    [sock] = pair.taken
    if abrupt:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
    pair.run(10 * MS)
    assert told[-1][1] == errno.ECONNRESET


def test_a_dead_port_refuses_and_a_machine_without_power_says_nothing() -> None:
    pair, told, silent = Pair(), list[Any](), list[Any]()
    pair.listener.close()
    pair.speak(lambda sock: None, told)
    pair.run(SECOND)
    assert told[0][1] == errno.ECONNREFUSED and told[0][0] < 700
    pair.there.machine.off = True
    pair.speak(lambda sock: None, silent)
    pair.run(30 * SECOND)
    assert silent == []


def test_a_full_queue_drops_the_opening_packet_which_comes_again_after_a_second() -> None:
    pair, told = Pair(), list[Any]()
    pair.there.paused = True
    for _ in range(3):
        pair.speak(lambda sock: None, told)
    pair.works.events.at(pair.works.events.now + 100 * MS, lambda _: pair.there.machine.resume())
    pair.run(3 * SECOND)
    assert [at // (500 * MS) for at, _ in told] == [0, 0, 2] and len(pair.taken) == 3


@pytest.mark.parametrize("both", [False, True])
@pytest.mark.parametrize("lasts", [SECOND, 4 * SECOND])
def test_a_cut_holds_bytes_up_until_the_senders_patience_is_over(both: bool, lasts: int) -> None:
    """One way: what is said arrives, and its sender never learns so."""
    pair, told = Pair(), list[Any]()
    sock = pair.speak(lambda sock: None, told, patience=1_500)
    pair.run(10 * MS)
    pairs = pair.works.wires.cut([pair.there.machine], [pair.here.machine], both)
    sock.send(b"held")
    pair.works.events.at(pair.works.events.now + lasts, lambda _: pair.works.wires.heal(pairs))
    pair.run(10 * SECOND)
    heard = [data for _, data in pair.came]
    if lasts < 1_500 * MS:
        assert told[1:] == [] and heard == [b"held"]
    else:
        assert [what for _, what in told[1:]] == [errno.ETIMEDOUT] and heard == ([] if both else [b"held"])


def test_a_killed_process_is_closed_by_its_kernel_and_one_without_power_is_found_out_later() -> None:
    pair, told = Pair(), list[Any]()
    pair.speak(lambda sock: None, told)
    pair.run(10 * MS)
    pair.there.end()
    pair.run(10 * MS)
    assert told[-1][1] == b""
    pair, told = Pair(), []
    sock = pair.speak(lambda sock: None, told)
    pair.run(10 * MS)
    pair.there.machine.power_off()
    pair.run(SECOND)
    assert len(told) == 1
    pair.there.machine.off = False
    sock.send(b"anybody?")
    pair.run(SECOND)
    assert told[-1][1] == errno.ECONNRESET


def test_processor_time_delays_what_is_said() -> None:
    """A machine a hundred times as slow answers later, and not all at once."""
    times = []
    for slow in (1.0, 100.0):
        works = Works(Layout((("edge", "z"),), (("core", "z"),)), 1)
        works.edges[0].machine.slow = slow
        works.begin()
        works.run_for(60 * SECOND)
        process = works.edges[0].process
        assert process is not None
        times.append(process.used / process.turns)
    assert times[1] > 50 * times[0]


def test_what_was_synced_lasts_and_the_rest_is_there_whole_or_not_unless_the_disk_tears() -> None:
    found = set()
    for seed in range(40):
        for tears in (False, True):
            disk = Disk(Events(), Random(seed))
            disk.tears = tears
            disk.apply([("rows", [("old", b"1")])])
            disk.under_way = [("rows", [("a", b"2")]), ("rows", [("b", b"3")]), ("gone", ["old"])]
            disk.lose()
            found.add((tears, *sorted(disk.rows)))
    assert found >= {(False, "old"), (False, "a", "b"), (True, "a", "old")} and (False, "a", "old") not in found


def whole(stations: list[Station]) -> bool:
    lives = {s.name: s.process.works.gateway.incarnation for s in stations if s.up and s.process is not None}
    return len(lives) == len(stations) and all(
        {n: m.incarnation for n, m in s.process.works.gateway.router.snapshot.members.items()} == lives  # type: ignore[union-attr]
        for s in stations
    )


def test_a_system_comes_up_and_comes_back_after_half_of_it_was_killed() -> None:
    works = Works(
        Layout(
            tuple((f"edge-{n}", ZONES[n % 2]) for n in range(6)), tuple((f"core-{n}", ZONES[n % 2]) for n in range(3))
        ),
        3,
    )
    works.begin()
    works.run_for(3 * SECOND)
    assert whole(works.edges) and sum(s.process.works.core.serving() for s in works.cores if s.process) == 1
    for station in works.edges[:3]:
        station.kill()
    works.cores[0].power_off(2 * SECOND)
    assert not whole(works.edges)
    works.run_for(6 * SECOND)
    assert whole(works.edges) and works.faults == []


@pytest.mark.parametrize("how, on", [("leader", "core"), ("power", "")])
def test_a_trouble_strikes_whom_it_names_and_as_it_says(how: str, on: str) -> None:
    """Days with `leader` struck any core machine, and a herd never lost its power: both were milder than they said."""
    cores = tuple((f"core-{n}", ZONES[n % 2]) for n in range(5))
    works = Works(Layout((("edge", ZONES[0]),), cores), 7)
    works.begin()
    works.run_for(3 * SECOND)
    serves = [s for s in works.cores if s.process is not None and s.process.works.core.serving()]
    kind = "node_kill" if on else "herd_kill"
    trouble = Trouble.model_validate(
        {"kind": kind, "at": 0.0, "on": on, "how": how, "for_s": 2.0, **({"count": 1} if on else {"share": 1.0})}
    )
    getattr(Troubles(works, Random(3)), f"_{kind}")(trouble)
    if on:
        assert [s for s in works.cores if s.process is None] == serves
    else:
        assert all(s.machine.off for s in works.stations.values())


@pytest.mark.parametrize("planned", [True, False])
def test_a_core_machine_is_replaced_by_an_empty_one_at_another_address(planned: bool) -> None:
    told: list[tuple[str, tuple[str, ...], tuple[str, ...]]] = []
    works = Works(
        Layout((("edge", "z"),), tuple((f"core-{n}", "z") for n in range(3))),
        5,
        happened=(
            lambda kind, at, until, machines, planned=False, others=(): told.append((kind.value, machines, others))
        ),
    )
    works.begin()
    works.run_for(4 * SECOND)
    old = works.cores[0]
    new = works.replace(old, SECOND, planned)
    works.run_for(SECOND // 2)
    assert new.up is planned is old.up
    works.run_for(8 * SECOND)
    assert new.up and not old.up and old.machine.off and new.machine.ip not in (s.machine.ip for s in works.cores[:2])
    assert ("gone", (old.name,), (new.name,)) in told and old not in works.cores
    assert sum(s.process.works.core.serving() for s in works.cores if s.process) == 1
    sluice = works.edges[0].process.works.gateway  # type: ignore[union-attr]
    sluice._core_addresses = [f"10.99.0.{n}:7340" for n in range(24)]  # as many as are remembered, all gone
    sluice.update_seeds(((new.machine.ip, 8783),))
    assert sluice._core_addresses[1] == f"{new.machine.ip}:7340"


def test_changes_meet_who_returns_and_are_sent_again_where_their_answers_are_lost() -> None:
    record = play(
        day(
            [
                {"kind": "ack_lost", "at": 1.0, "for_s": 6.0, "x": 0.5},
                {"kind": "reset_conns", "at": 2.0, "share": 1.0},
                {"kind": "node_kill", "at": 3.0, "on": "core", "how": "leader meet race", "for_s": 1.0},
                {"kind": "order_again", "at": 7.0, "count": 4, "gap_s": 0.1},
            ],
            [{"kind": "config_flood", "at": 1.0, "count": 40, "gap_s": 0.05, "how": "timeout"}],
        ),
        4,
    )
    lost = [reply for reply in record.replied if reply.lost and reply.status == 200]
    assert len(lost) > 10 and all(
        any(again.gen == reply.gen and again.sent > reply.at for again in record.replied) for reply in lost
    )
    assert len({order.gen for order in record.ordered if order.acked_at}) > 40 and len(record.told) > 4
    acked = [order.content_digest for order in record.ordered if order.acked_at]
    assert len(acked) - len(set(acked)) >= 4  # sent again, and confirmed again
    ends = sorted(
        [(order.at, 1) for order in record.ordered]
        + [(order.acked_at, -1) for order in record.ordered if order.acked_at]
    )
    assert max(sum(step for _, step in ends[:n]) for n in range(len(ends))) <= 10  # eight, and the two that race
    assert [one.machines for one in record.happened if one.kind is Event.RESET]


def test_a_process_that_ends_by_itself_is_told_of_and_started_again() -> None:
    told: list[tuple[str, tuple[str, ...]]] = []
    works = Works(
        Layout((("edge", "z"),), (("core", "z"),)),
        1,
        happened=lambda kind, at, until, machines, **_: told.append((kind.value, machines)),
    )
    works.begin()
    works.run_for(SECOND)
    process = works.edges[0].process
    assert process is not None and process.loop is not None
    process.post(process.loop.stop)
    works.run_for(SECOND)
    works.edges[0].kill()
    works.run_for(SECOND)
    assert [kind for kind, machines in told if machines == ("edge",)] == ["start", "end", "again", "kill", "start"]


def day(troubles: list[dict[str, Any]] | None = None, plan: list[dict[str, Any]] | None = None) -> Day:
    return decode(
        {
            "name": "small",
            "seconds": 12.0,
            "lead_s": 6.0,
            "zones": list(ZONES),
            "edges_per_zone": 1,
            "services": [{"name": "alpha", "backends": 3}],
            "tenants": [{"name": "ten", "rate_per_s": 20, "burst": 20}],
            "routes": [
                {"name": "read", "service": "alpha", "per_s": 8, "work_ms": 40, "aim_ms": 300, "deadline_ms": 1200},
                {
                    "name": "book",
                    "service": "alpha",
                    "safe": False,
                    "per_s": 4,
                    "work_ms": 60,
                    "aim_ms": 400,
                    "deadline_ms": 1500,
                },
            ],
            "troubles": troubles or [],
            "plan": plan or [],
        }
    )


ROUGH = [
    {"kind": "node_kill", "at": 2.0},
    {"kind": "node_kill", "at": 3.0, "on": "core", "how": "power", "for_s": 2.0},
    {"kind": "config_change", "at": 4.0},
    {"kind": "lossy", "at": 6.0, "for_s": 1.0, "on": "edge"},
    {"kind": "closing", "at": 10.0, "how": "power"},
]


def test_a_quiet_day_breaks_no_rule_and_is_served() -> None:
    verdict = judge(play(day(), 1))
    assert verdict.broken == [] and verdict.worth.share > 0.97


def test_a_rough_day_breaks_no_rule() -> None:
    record = play(day(ROUGH, [{"kind": "restart", "at": 8.0, "on": "edge"}]), 2)
    verdict = judge(record)
    assert verdict.broken == [] and verdict.worth.served > 0
    assert not [noted for noted in record.noted if noted.fields["level"] == "error"]


def test_a_seed_replays_to_the_byte_whatever_hashes_texts_have() -> None:
    """Sets of texts come in another order with each PYTHONHASHSEED: nothing that is decided may follow it."""
    code = (
        "from tests.test_simulation import ROUGH, day\nfrom oakvale.lab.play import play\nprint("
        "play(day(ROUGH), 5).fingerprint())"
    )
    here = play(day(ROUGH), 5).fingerprint()
    there = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": "7"},
        capture_output=True,
        text=True,
        check=True,
    ).stdout.strip()
    assert there == here != play(day(ROUGH), 6).fingerprint()


def test_a_variant_stands_for_the_run_alone() -> None:
    """Without a heartbeat of the cores nobody serves the control state, so there is no configuration to serve by."""
    from oakvale.controlplane import core

    variant = Variant("mute", {"oakvale.controlplane.core.PEER_TIMEOUT_US": 0})
    assert judge(play(day(), 1, variant)).worth.served == 0 and core.PEER_TIMEOUT_US > 0
