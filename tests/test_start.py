"""Configuration, command line, log lines, and the program as a process."""

import json
import logging
import os
import resource
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from oakvale import __version__
from oakvale.base.configuration import BadConfiguration, decode, load
from oakvale.lifecycle.logs import KeyValueFormatter, PipeHandler, Seldom
from oakvale.memory.buffers import BufferPool
from tests.helpers import invoke
from tests.node import SETTINGS, row

ROOT = Path(__file__).parent.parent


def config(**changes: Any) -> dict[str, Any]:
    return {
        "name": "n3",
        "listen": "127.0.0.1:7070",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f30d27a5be964",
        "counter": "127.0.0.1:6400",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 41, "snapshot": True, "endpoints": [row("s-1", "127.0.0.1:7071")]},
        "settings": SETTINGS,
        **changes,
    }


# ---- configuration


def test_what_a_configuration_holds() -> None:
    c = decode(config(unheard={"of": 1}), {})
    assert (c.name, c.listen, c.discovery, c.counter) == (
        "n3",
        ("127.0.0.1", 7070),
        ("127.0.0.1", 8500),
        ("127.0.0.1", 6400),
    )
    assert c.seed == 0x8C1F30D27A5BE964 and c.names.classes == {"slot-lookup": 0, "save": 1}
    assert c.settings.report == ("inflight", "util") and c.settings.counter_timeout == 80_000
    assert c.limits.connect == 250_000 and c.limits.backend_idle == 20_000_000 and c.limits.requests == 100


def test_the_environment_comes_before_the_file() -> None:
    c = decode(config(), {"LB_NAME": "n9", "LB_LISTEN": "127.0.0.2:1", "LB_DISCOVERY": "127.0.0.3:2"})
    assert (c.name, c.listen, c.discovery) == ("n9", ("127.0.0.2", 1), ("127.0.0.3", 2))


BAD: list[tuple[dict[str, Any], str]] = [
    ({"settings": None}, "settings"),
    ({"settings": []}, "settings"),
    ({"settings": {}}, "classes"),
    ({"settings": {**SETTINGS, "classes": [{}]}}, "settings"),
    ({"settings": {**SETTINGS, "limits": 5}}, "settings"),
    ({"listen": None}, "listen"),
    ({"listen": "7070"}, "listen"),
    ({"listen": "a:b"}, "listen"),
    ({"listen": "127.0.0.1:99999"}, "listen"),
    ({"discovery": ""}, "discovery"),
    ({"counter": "x"}, "counter"),
    ({"counter": None}, "counter"),
    ({"seed": "xyz"}, "settings"),
    ({"known": []}, "known"),
    ({"limits": {"sockets": "many"}}, "settings"),
]


@pytest.mark.parametrize("bad, word", BAD, ids=range(len(BAD)))
def test_a_bad_configuration_is_one_clear_line_before_listening(bad: dict[str, Any], word: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(**bad)))
    if bad == {"known": []}:
        path.write_text(json.dumps(config(known=[1])))
    result = invoke(["serve"], env={"LB_CONFIG": str(path)})
    assert result.exit_code == 2
    assert result.stderr.startswith("oakvale: ") and word in result.stderr and result.stderr.count("\n") == 1


@pytest.mark.parametrize("text", [None, "", "not json", "[]"])
def test_a_missing_or_broken_file(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    with pytest.raises(BadConfiguration):
        load({"LB_CONFIG": str(path)})
    with pytest.raises(BadConfiguration, match="LB_CONFIG is not set"):
        load({})


# ---- command line


def test_check_config_and_version(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config()))
    result = invoke(["check-config"], env={"LB_CONFIG": str(path)})
    assert result.exit_code == 0 and "n3 would listen on 127.0.0.1:7070" in result.stdout
    assert __version__ in invoke(["version"]).stdout
    assert invoke(["nothing"]).exit_code == 2


def test_health_of_a_gateway_that_is_not_there() -> None:
    for address in ("127.0.0.1:1", "nowhere"):
        result = invoke(["health", address])
        assert result.exit_code == 1 and result.stderr.startswith(f"oakvale: {address}")


def test_the_example_configuration_loads() -> None:
    c = load({"LB_CONFIG": str(ROOT / "deploy" / "example.json")})
    assert c.known["endpoints"] and c.settings.may_count


def test_an_address_in_use_is_one_clear_line(tmp_path: Path) -> None:
    taken = socket.create_server(("127.0.0.1", 0))
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(listen="127.0.0.1:%d" % taken.getsockname()[1])))  # noqa: UP031
    level = logging.getLogger().level
    result = invoke(["serve"], env={"LB_CONFIG": str(path)})
    logging.getLogger().setLevel(level)
    assert result.exit_code == 1 and "cannot listen" in result.stderr
    taken.close()


# ---- log


def line(message: str, **extra: Any) -> str:
    record = logging.makeLogRecord(
        {"name": "oakvale.host", "levelname": "INFO", "msg": message, "created": 0.0, "msecs": 0.0, **extra}
    )
    return KeyValueFormatter().format(record)


def test_lines_are_key_value_pairs() -> None:
    assert line("serving", gateway="n3", backend=7) == (
        "at=1970-01-01T00:00:00.000Z level=info part=host event=serving gateway=n3 backend=7"
    )
    assert line("two words", why='say "x"=\n\x1b').endswith('event="two words" why="say \\"x\\"=\\n\\x1b"')
    assert line("", why="").endswith('event="" why=""')


def test_a_traceback_stays_on_one_line() -> None:
    try:
        raise ValueError("odd")
    except ValueError:
        text = line("failed", exc_info=sys.exc_info())
    assert "\n" not in text and "ValueError: odd" in text and 'traceback="' in text


def test_lines_of_one_event_are_held_back_beyond_some_a_second_and_counted() -> None:
    seldom = Seldom(3)

    def passes(second: float, event: str) -> logging.LogRecord | None:
        record = logging.makeLogRecord({"name": "oakvale.host", "msg": event, "created": second})
        return record if seldom.filter(record) else None

    assert [bool(passes(1.0, "spoilt answer")) for _ in range(10)] == [True] * 3 + [False] * 7
    assert passes(1.5, "reloaded")  # another event
    again = passes(2.0, "spoilt answer")
    assert again and vars(again)["held_back"] == 7
    later = passes(2.1, "spoilt answer")
    assert later and "held_back" not in vars(later)


def test_a_full_pipe_does_not_block_and_what_is_lost_is_counted() -> None:
    read, write = os.pipe()
    handler = PipeHandler(write)
    handler.setFormatter(KeyValueFormatter())
    record = logging.makeLogRecord({"name": "x", "levelname": "INFO", "msg": "y" * 3000})
    for _ in range(60):  # a pipe holds 64 KiB
        handler.emit(record)
    assert handler.dropped > 0
    os.read(read, 65536)
    handler.emit(record)
    assert b"dropped=" in os.read(read, 65536) and handler.dropped == 0
    os.close(read)
    handler.emit(record)  # nobody reads any more
    assert handler.dropped == 1
    os.close(write)


# ---- buffers


def test_buffers_have_one_size_and_are_used_again() -> None:
    pool = BufferPool(64, 2)
    taken = [pool.acquire() for _ in range(3)]
    assert {len(b) for b in taken} == {64} and pool.in_use == 3
    for buffer in taken:
        pool.release(buffer)
    assert pool.in_use == 0
    again = [pool.acquire() for _ in range(3)]  # two were kept
    assert sum(any(b is c for c in taken) for b in again) == 2


# ---- the program


class Program:
    def __init__(self, tmp_path: Path, descriptors: int = 1024) -> None:
        self.discovery = socket.create_server(("127.0.0.1", 0))
        free = socket.create_server(("127.0.0.1", 0))
        self.address = free.getsockname()
        free.close()
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(
                config(
                    listen="%s:%d" % self.address,  # noqa: UP031
                    limits={"sockets": descriptors},
                    discovery="%s:%d" % self.discovery.getsockname(),  # noqa: UP031
                )
            )
        )  # noqa: UP031
        self.process = subprocess.Popen(
            [sys.executable, "-m", "oakvale", "serve"],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "LB_CONFIG": str(path)},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors)),
        )
        assert self.process.stderr is not None
        first = self.process.stderr.readline()  # written once it listens
        assert "event=serving" in first, first

    def ask(self, target: str) -> bytes:
        with socket.create_connection(self.address, timeout=10) as client:
            client.sendall(b"GET " + target.encode() + b" HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            reply = b""
            while data := client.recv(65536):
                reply += data
        return reply


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_the_program_serves_and_ends_with_0_on_a_signal(tmp_path: Path, number: int) -> None:
    program = Program(tmp_path)
    try:
        assert program.ask("/_health").startswith(b"HTTP/1.1 200")
        assert program.ask("/odd").startswith(b"HTTP/1.1 404")
        address = f"{program.address[0]}:{program.address[1]}"
        result = invoke(["health", address])
        assert (result.exit_code, result.stdout) == (0, "ok\n")
        program.process.send_signal(number)
        _, log = program.process.communicate(timeout=10)
    finally:
        program.process.kill()
        program.discovery.close()
    assert program.process.returncode == 0
    assert "event=stopping" in log and "event=stopped" in log


def test_the_program_goes_on_over_sighups_and_follows_what_the_file_names(tmp_path: Path) -> None:
    program = Program(tmp_path)
    fresh = socket.create_server(("127.0.0.1", 0))
    path = tmp_path / "config.json"
    try:
        path.write_text("cut sho")
        program.process.send_signal(signal.SIGHUP)
        assert program.process.stderr and 'event="reload refused"' in program.process.stderr.readline()
        path.write_text(json.dumps(config(discovery="%s:%d" % fresh.getsockname())))  # noqa: UP031
        for _ in range(3):
            program.process.send_signal(signal.SIGHUP)
        fresh.settimeout(10)
        watching, _ = fresh.accept()
        assert watching.recv(4096).startswith(b"GET /catalog/members?follow=1&since=0 ")
        assert program.ask("/_health").startswith(b"HTTP/1.1 200")
        program.process.send_signal(signal.SIGHUP)
        program.process.send_signal(signal.SIGTERM)
        program.process.communicate(timeout=10)
        watching.close()
    finally:
        program.process.kill()
        program.discovery.close()
        fresh.close()
    assert program.process.returncode == 0


def test_more_clients_than_descriptors_do_not_keep_it_from_serving(tmp_path: Path) -> None:
    program = Program(tmp_path, descriptors=128)
    clients = []
    try:
        for _ in range(200):
            clients.append(socket.create_connection(program.address, timeout=10))
        assert program.ask("/_health").startswith(b"HTTP/1.1 200")
        held = len(os.listdir(f"/proc/{program.process.pid}/fd"))
        for client in clients:
            client.close()
        assert program.ask("/_health").startswith(b"HTTP/1.1 200")
    finally:
        program.process.kill()
        _, log = program.process.communicate()
        program.discovery.close()
    assert held < 128 and "Too many open files" not in log
