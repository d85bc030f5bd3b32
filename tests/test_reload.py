"""Reloads: SIGHUP moves discovery and counter to what the file names, and loses nothing on the way."""

import json
import os
import signal
import socket
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from oakvale import interface as i
from oakvale.base.loop import Priority
from oakvale.interface import Ending, ListForm
from oakvale.lifecycle.shutdown import Shutdown
from oakvale.lifecycle.signals import Signals
from tests.node import MS, Node, StubConnection, StubServer, chunk, row
from tests.test_counter_wire import call, one, outcomes
from tests.test_discovery_wire import HEAD, change, lists, watch
from tests.test_start import config


class Reloaded(Node):
    """A node whose file can be written anew, and the places that the new file names."""

    def __init__(self, path: Path, **kw: Any) -> None:
        super().__init__(**kw)
        self.path, self.new_discovery, self.new_counter = path, StubServer(), StubServer()
        environment = {"LB_CONFIG": str(path), "LB_DISCOVERY": self.discovery.text}
        self.configuration = replace(self.configuration, environment=environment)
        self.server.configuration = self.configuration

    def reload(self, discovery: StubServer | None = None, counter: StubServer | None = None) -> None:
        self.path.write_text(
            json.dumps(
                config(discovery=(discovery or self.new_discovery).text, counter=(counter or self.new_counter).text)
            )
        )
        self.server.reload()
        self.turns()

    def close(self) -> None:
        super().close()
        self.new_discovery.close()
        self.new_counter.close()


@pytest.fixture
def moved(tmp_path: Path) -> Iterator[Reloaded]:
    n = Reloaded(tmp_path / "config.json")
    yield n
    n.close()


def new_watch(node: Reloaded) -> StubConnection:
    watching = node.taken(node.new_discovery)
    assert node.reads(watching).startswith(b"GET /catalog/members?follow=1&since=0 HTTP/1.1\r\n")
    return watching


def test_the_file_goes_before_the_environment_at_a_reload(moved: Reloaded) -> None:
    watch(moved)
    moved.reload()
    assert moved.host.discovery.address == moved.new_discovery.address
    assert moved.host.counter and moved.host.counter.address == moved.new_counter.address


@pytest.mark.parametrize(
    "text",
    [
        None,
        "",
        '{"name": "n3", "disc',
        "[]",
        "{}",
        json.dumps(config(counter="127.0.0.1:" + "9" * 5000)),
        json.dumps(config(discovery="127.0.0.1:²")),
    ],
)
def test_a_file_that_cant_be_used_is_one_line_and_changes_nothing(
    moved: Reloaded, text: str | None, caplog: pytest.LogCaptureFixture
) -> None:
    discovery = watch(moved)
    moved.path.unlink(missing_ok=True)
    if text is not None:
        moved.path.write_text(text)
    moved.server.reload()
    moved.turns()
    assert [r.message for r in caplog.records] == ["reload refused"]
    assert moved.host.discovery.address == moved.discovery.address and not discovery.ended
    assert moved.host.counter and moved.host.counter.address == moved.counter.address


def test_the_same_addresses_again_move_nothing(moved: Reloaded) -> None:
    discovery = watch(moved)
    moved.reload(moved.discovery, moved.counter)
    assert moved.discovery.take() is None and not discovery.ended


def test_the_old_watch_goes_on_until_the_new_one_has_spoken(moved: Reloaded) -> None:
    old = watch(moved)
    old.send(HEAD + chunk(change(60, row("s-2", "127.0.0.1:7072"))))
    lists(moved)
    moved.reload()
    new = new_watch(moved)
    old.send(chunk(change(61, row("s-3", "127.0.0.1:7073"))))
    assert len(lists(moved)) == 3 and moved.host.discovery.index == 0  # heard, but its version is not ours
    new.send(HEAD + chunk(change(7, row("s-1", "127.0.0.1:7071"), snapshot=True)))
    assert lists(moved)[-1].form is ListForm.FULL and moved.host.discovery.index == 7
    moved.until(lambda: old.read() and old.ended)
    new.close()
    moved.turns()
    moved.pass_time(moved.host.limits.discovery_retry)
    again = moved.taken(moved.new_discovery)
    assert b"since=7 " in moved.reads(again)


def test_an_old_watch_cant_undo_the_new_list(moved: Reloaded) -> None:
    """Both speak in one turn, the old one last."""
    old = watch(moved)
    old.send(HEAD + chunk(change(60, row("s-2", "127.0.0.1:7072"))))
    lists(moved)
    moved.reload()
    new = new_watch(moved)
    new.send(HEAD + chunk(change(7, row("s-1", "127.0.0.1:7071"), snapshot=True)))
    lists(moved)
    try:
        old.send(chunk(change(61, row("s-9", "127.0.0.1:7079"), snapshot=True)))
    except OSError:
        pass
    assert lists(moved)[-1].entries[0].backend == 1


def test_the_end_of_a_left_watch_is_no_failure(moved: Reloaded, caplog: pytest.LogCaptureFixture) -> None:
    old = watch(moved)
    old.send(HEAD + chunk(change(60, row("s-2", "127.0.0.1:7072"))))
    lists(moved)
    moved.reload()
    old.close()
    moved.turns()
    moved.pass_time(moved.host.limits.discovery_retry)
    assert moved.discovery.take() is None and "discovery lost" not in caplog.text
    new_watch(moved)
    assert moved.new_discovery.take() is None  # one watch, not two
    assert ListForm.FAILED not in [e.form for e in lists(moved)]


def test_a_lost_discovery_holds_the_new_one_up_by_no_pause(moved: Reloaded) -> None:
    watch(moved).close()
    moved.turns()
    moved.reload()
    new_watch(moved)


def test_changes_only_from_the_new_server_have_the_whole_list_fetched(moved: Reloaded) -> None:
    watch(moved)
    moved.reload()
    new = new_watch(moved)
    new.send(HEAD + chunk(change(7, row("s-5", "127.0.0.1:7075"))))
    moved.turns()
    fetch = moved.taken(moved.new_discovery)
    assert moved.reads(fetch).startswith(b"GET /catalog/members HTTP/1.1")
    new.send(chunk(change(8, row("s-6", "127.0.0.1:7076"))))
    lists(moved)
    body = json.dumps(change(7, row("s-5", "127.0.0.1:7075"), snapshot=True)).encode()
    fetch.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    assert lists(moved)[-1].form is ListForm.DELTA  # the fetched list was overtaken


def test_calls_go_to_the_new_counter_at_once_and_old_ones_get_their_answers(
    moved: Reloaded, caplog: pytest.LogCaptureFixture
) -> None:
    old = one(moved)
    moved.reload()
    call(moved, i.Charge("q:b:1", 1.0, 4_000_000))
    new = moved.taken(moved.new_counter)
    assert moved.reads(new, b"\r\n") == b"add q:b:1 1 4000\r\n"
    old.send(b"ok 2\r\n")
    new.send(b"ok 1\r\n")
    assert sorted(outcomes(moved)) == [("q:a:1", Ending.SERVED, 2.0), ("q:b:1", Ending.SERVED, 1.0)]
    moved.until(lambda: old.read() and old.ended)  # nothing more is owed there
    assert old.came.count(b"add") == 1 and "counter lost" not in caplog.text


def test_a_left_counter_that_ends_tells_nothing_of_the_new_one(
    moved: Reloaded, caplog: pytest.LogCaptureFixture
) -> None:
    old = one(moved)
    moved.reload()
    old.close(reset=True)
    assert outcomes(moved) == [("q:a:1", Ending.RESET, 0.0)]
    assert moved.host.counter and not moved.host.counter.lost and "counter lost" not in caplog.text
    call(moved, i.Charge("q:b:1", 1.0, 4_000_000))
    moved.taken(moved.new_counter)


def test_a_left_counter_that_stays_silent_is_closed(moved: Reloaded) -> None:
    old = one(moved)
    moved.reload()
    moved.pass_time(moved.host.limits.counter_late)
    moved.until(lambda: old.read() and old.ended)


def test_calls_of_which_nothing_was_written_go_with_the_new_ones(moved: Reloaded) -> None:
    """As while the old address takes no connection."""
    full = socket.create_server(("127.0.0.1", 0), backlog=0)
    waiting = [socket.socket() for _ in range(4)]
    for sock in waiting:  # its backlog is full: connecting hangs
        sock.setblocking(False)
        sock.connect_ex(full.getsockname())
    assert moved.host.counter
    moved.host.counter.address = full.getsockname()
    call(moved, i.Charge("q:a:1", 2.0, 4_000_000))
    assert outcomes(moved) == []
    moved.reload()
    new = moved.taken(moved.new_counter)
    assert moved.reads(new, b"\r\n") == b"add q:a:1 2 4000\r\n"
    new.send(b"ok 2\r\n")
    assert outcomes(moved) == [("q:a:1", Ending.SERVED, 2.0)]
    for sock in [*waiting, full]:
        sock.close()


def test_a_retry_pause_of_the_old_counter_does_not_hold_the_new_one_up(moved: Reloaded) -> None:
    moved.counter.close()
    call(moved, i.Charge("q:a:1", 2.0, 4_000_000))
    assert outcomes(moved) == [("q:a:1", Ending.NO_CONNECTION, 0.0)]
    moved.reload()
    call(moved, i.Charge("q:a:1", 2.0, 4_000_000))
    moved.taken(moved.new_counter)


# ---- the signal itself


def test_signals_of_a_turn_are_one_a_kind_and_a_fault_in_one_leaves_the_rest(
    moved: Reloaded, caplog: pytest.LogCaptureFixture
) -> None:
    signals, came = Signals(), list[str]()

    def reload() -> None:
        came.append("reload")
        raise RuntimeError("odd")

    moved.loop.start(signals.run(lambda: came.append("stop"), reload), signals.fileno(), Priority.DISCOVERY)
    signals._write.send(bytes([signal.SIGHUP, signal.SIGHUP, signal.SIGTERM]))
    moved.turns()
    assert came == ["stop", "reload"] and "signal failed" in caplog.text
    signals._write.send(bytes([signal.SIGHUP]))
    moved.turns()
    assert came == ["stop", "reload", "reload"]
    signals.close()


def test_a_reload_during_a_stop_moves_and_the_stop_goes_on(moved: Reloaded) -> None:
    watch(moved)
    shutdown = Shutdown(moved.server)
    shutdown.begin()
    moved.reload()
    new_watch(moved)
    for _ in range(100):
        if moved.loop.stopped:
            break
        moved.pass_time(100 * MS)
    assert moved.loop.stopped


def test_sighup_is_heard_from_the_start_and_does_not_end_the_process() -> None:
    before = [signal.getsignal(n) for n in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)]
    signals = Signals()
    try:
        signals.watch()
        os.kill(os.getpid(), signal.SIGHUP)
        assert signals._read.recv(16) == bytes([signal.SIGHUP])
    finally:
        signal.set_wakeup_fd(-1)
        for number, handler in zip((signal.SIGHUP, signal.SIGTERM, signal.SIGINT), before, strict=True):
            signal.signal(number, handler)
        signals.close()
