"""Reloads: SIGHUP switches discovery and counter to the addresses in the configuration file without losing calls."""

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
from tests.test_counter_wire import connect_call, make_calls, outcomes
from tests.test_discovery_wire import WATCH_HEAD, accept_watch, backend_lists, catalog_change
from tests.test_start import config


class ReloadNode(Node):
    """A node with a configuration file, and a second discovery and counter that a rewritten file can name."""

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
def node(tmp_path: Path) -> Iterator[ReloadNode]:
    reload_node = ReloadNode(tmp_path / "config.json")
    yield reload_node
    reload_node.close()


def accept_new_watch(node: ReloadNode) -> StubConnection:
    """The new discovery's end of the connection on which the gateway watches."""
    connection = node.taken(node.new_discovery)
    assert node.reads(connection).startswith(b"GET /catalog/members?follow=1&since=0 HTTP/1.1\r\n")
    return connection


def test_at_a_reload_the_file_takes_precedence_over_the_environment(node: ReloadNode) -> None:
    accept_watch(node)
    node.reload()
    assert node.host.discovery.address == node.new_discovery.address
    assert node.host.counter and node.host.counter.address == node.new_counter.address


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
def test_an_unusable_file_is_logged_in_one_line_and_changes_nothing(
    node: ReloadNode, text: str | None, caplog: pytest.LogCaptureFixture
) -> None:
    discovery = accept_watch(node)
    node.path.unlink(missing_ok=True)
    if text is not None:
        node.path.write_text(text)
    node.server.reload()
    node.turns()
    assert [r.message for r in caplog.records] == ["reload refused"]
    assert node.host.discovery.address == node.discovery.address and not discovery.ended
    assert node.host.counter and node.host.counter.address == node.counter.address


def test_a_reload_with_the_same_addresses_keeps_the_connections(node: ReloadNode) -> None:
    discovery = accept_watch(node)
    node.reload(node.discovery, node.counter)
    assert node.discovery.take() is None and not discovery.ended


def test_the_old_watch_is_used_until_the_new_one_has_responded(node: ReloadNode) -> None:
    old = accept_watch(node)
    old.send(WATCH_HEAD + chunk(catalog_change(60, row("s-2", "127.0.0.1:7072"))))
    backend_lists(node)
    node.reload()
    new = accept_new_watch(node)
    old.send(chunk(catalog_change(61, row("s-3", "127.0.0.1:7073"))))
    # The change is used, but its version is not one of the new server's.
    assert len(backend_lists(node)) == 3 and node.host.discovery.index == 0
    new.send(WATCH_HEAD + chunk(catalog_change(7, row("s-1", "127.0.0.1:7071"), snapshot=True)))
    assert backend_lists(node)[-1].form is ListForm.FULL and node.host.discovery.index == 7
    node.until(lambda: old.read() and old.ended)
    new.close()
    node.turns()
    node.pass_time(node.host.limits.discovery_retry)
    reopened = node.taken(node.new_discovery)
    assert b"since=7 " in node.reads(reopened)


def test_the_old_watch_cannot_overwrite_the_new_list(node: ReloadNode) -> None:
    """The old server sends a list after the new one."""
    old = accept_watch(node)
    old.send(WATCH_HEAD + chunk(catalog_change(60, row("s-2", "127.0.0.1:7072"))))
    backend_lists(node)
    node.reload()
    new = accept_new_watch(node)
    new.send(WATCH_HEAD + chunk(catalog_change(7, row("s-1", "127.0.0.1:7071"), snapshot=True)))
    backend_lists(node)
    try:
        old.send(chunk(catalog_change(61, row("s-9", "127.0.0.1:7079"), snapshot=True)))
    except OSError:
        pass
    assert backend_lists(node)[-1].entries[0].backend == 1


def test_the_end_of_the_old_watch_is_not_a_failure(node: ReloadNode, caplog: pytest.LogCaptureFixture) -> None:
    old = accept_watch(node)
    old.send(WATCH_HEAD + chunk(catalog_change(60, row("s-2", "127.0.0.1:7072"))))
    backend_lists(node)
    node.reload()
    old.close()
    node.turns()
    node.pass_time(node.host.limits.discovery_retry)
    assert node.discovery.take() is None and "discovery lost" not in caplog.text
    accept_new_watch(node)
    assert node.new_discovery.take() is None  # one watch, not two
    assert ListForm.FAILED not in [e.form for e in backend_lists(node)]


def test_the_retry_pause_of_the_old_discovery_does_not_delay_the_new_one(node: ReloadNode) -> None:
    accept_watch(node).close()
    node.turns()
    node.reload()
    accept_new_watch(node)


def test_the_full_list_is_fetched_if_the_new_server_sends_only_changes(node: ReloadNode) -> None:
    accept_watch(node)
    node.reload()
    new = accept_new_watch(node)
    new.send(WATCH_HEAD + chunk(catalog_change(7, row("s-5", "127.0.0.1:7075"))))
    node.turns()
    fetch = node.taken(node.new_discovery)
    assert node.reads(fetch).startswith(b"GET /catalog/members HTTP/1.1")
    new.send(chunk(catalog_change(8, row("s-6", "127.0.0.1:7076"))))
    backend_lists(node)
    body = json.dumps(catalog_change(7, row("s-5", "127.0.0.1:7075"), snapshot=True)).encode()
    fetch.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    assert backend_lists(node)[-1].form is ListForm.DELTA  # the fetched list is older than a change


def test_new_calls_use_the_new_counter_at_once_and_old_calls_get_their_answers(
    node: ReloadNode, caplog: pytest.LogCaptureFixture
) -> None:
    old = connect_call(node)
    node.reload()
    make_calls(node, i.Charge("q:b:1", 1.0, 4_000_000))
    new = node.taken(node.new_counter)
    assert node.reads(new, b"\r\n") == b"add q:b:1 1 4000\r\n"
    old.send(b"ok 2\r\n")
    new.send(b"ok 1\r\n")
    assert sorted(outcomes(node)) == [("q:a:1", Ending.SERVED, 2.0), ("q:b:1", Ending.SERVED, 1.0)]
    node.until(lambda: old.read() and old.ended)  # closed after its last answer
    assert old.came.count(b"add") == 1 and "counter lost" not in caplog.text


def test_a_reset_by_the_old_counter_does_not_mark_the_new_one_as_lost(
    node: ReloadNode, caplog: pytest.LogCaptureFixture
) -> None:
    old = connect_call(node)
    node.reload()
    old.close(reset=True)
    assert outcomes(node) == [("q:a:1", Ending.RESET, 0.0)]
    assert node.host.counter and not node.host.counter.lost and "counter lost" not in caplog.text
    make_calls(node, i.Charge("q:b:1", 1.0, 4_000_000))
    node.taken(node.new_counter)


def test_the_connection_to_a_silent_old_counter_is_closed(node: ReloadNode) -> None:
    old = connect_call(node)
    node.reload()
    node.pass_time(node.host.limits.counter_late)
    node.until(lambda: old.read() and old.ended)


def test_unwritten_calls_go_to_the_new_counter(node: ReloadNode) -> None:
    """For instance while the connection to the old address is not established."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    backlog = [socket.socket() for _ in range(4)]
    for sock in backlog:  # with a full backlog, connecting hangs
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
    assert node.host.counter
    node.host.counter.address = listener.getsockname()
    make_calls(node, i.Charge("q:a:1", 2.0, 4_000_000))
    assert outcomes(node) == []
    node.reload()
    new = node.taken(node.new_counter)
    assert node.reads(new, b"\r\n") == b"add q:a:1 2 4000\r\n"
    new.send(b"ok 2\r\n")
    assert outcomes(node) == [("q:a:1", Ending.SERVED, 2.0)]
    for sock in [*backlog, listener]:
        sock.close()


def test_the_retry_pause_of_the_old_counter_does_not_delay_the_new_one(node: ReloadNode) -> None:
    node.counter.close()
    make_calls(node, i.Charge("q:a:1", 2.0, 4_000_000))
    assert outcomes(node) == [("q:a:1", Ending.NO_CONNECTION, 0.0)]
    node.reload()
    make_calls(node, i.Charge("q:a:1", 2.0, 4_000_000))
    node.taken(node.new_counter)


# ---- signal handling


def test_signals_of_a_turn_are_merged_by_kind_and_an_exception_in_one_handler_does_not_stop_the_rest(
    node: ReloadNode, caplog: pytest.LogCaptureFixture
) -> None:
    signals, handled = Signals(), list[str]()

    def reload() -> None:
        handled.append("reload")
        raise RuntimeError("odd")

    node.loop.start(signals.run(lambda: handled.append("stop"), reload), signals.fileno(), Priority.DISCOVERY)
    signals._write.send(bytes([signal.SIGHUP, signal.SIGHUP, signal.SIGTERM]))
    node.turns()
    assert handled == ["stop", "reload"] and "signal failed" in caplog.text
    signals._write.send(bytes([signal.SIGHUP]))
    node.turns()
    assert handled == ["stop", "reload", "reload"]
    signals.close()


def test_a_reload_during_a_shutdown_switches_and_the_shutdown_goes_on(node: ReloadNode) -> None:
    accept_watch(node)
    shutdown = Shutdown(node.server)
    shutdown.begin()
    node.reload()
    accept_new_watch(node)
    for _ in range(100):
        if node.loop.stopped:
            break
        node.pass_time(100 * MS)
    assert node.loop.stopped


def test_sighup_is_handled_from_the_start_and_does_not_end_the_process() -> None:
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
