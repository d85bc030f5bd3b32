"""Startup: configuration, command line, log lines and the gateway as a process."""

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
from oakvale.base.configuration import ConfigurationError, decode, load
from oakvale.lifecycle.logs import KeyValueFormatter, PipeHandler, RateLimitFilter
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


def test_a_configuration_is_decoded() -> None:
    configuration = decode(config(unheard={"of": 1}), {})
    assert (configuration.name, configuration.listen, configuration.discovery, configuration.counter) == (
        "n3",
        ("127.0.0.1", 7070),
        ("127.0.0.1", 8500),
        ("127.0.0.1", 6400),
    )
    settings, limits = configuration.settings, configuration.limits
    assert configuration.seed == 0x8C1F30D27A5BE964
    assert configuration.names.classes == {"slot-lookup": 0, "save": 1}
    assert settings.report == ("inflight", "util") and settings.counter_timeout == 80_000
    assert limits.connect == 250_000 and limits.backend_idle == 20_000_000 and limits.requests == 100


def test_environment_variables_override_the_file() -> None:
    configuration = decode(config(), {"LB_NAME": "n9", "LB_LISTEN": "127.0.0.2:1", "LB_DISCOVERY": "127.0.0.3:2"})
    assert (configuration.name, configuration.listen, configuration.discovery) == (
        "n9",
        ("127.0.0.2", 1),
        ("127.0.0.3", 2),
    )


INVALID_CHANGES: list[tuple[dict[str, Any], str]] = [
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


@pytest.mark.parametrize("changes, word", INVALID_CHANGES, ids=range(len(INVALID_CHANGES)))
def test_an_invalid_configuration_fails_with_one_line_before_listening(
    changes: dict[str, Any], word: str, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(**changes)))
    if changes == {"known": []}:
        path.write_text(json.dumps(config(known=[1])))
    result = invoke(["serve"], env={"LB_CONFIG": str(path)})
    assert result.exit_code == 2
    assert result.stderr.startswith("oakvale: ") and word in result.stderr and result.stderr.count("\n") == 1


@pytest.mark.parametrize("text", [None, "", "not json", "[]"])
def test_a_missing_or_malformed_file_is_an_error(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    with pytest.raises(ConfigurationError):
        load({"LB_CONFIG": str(path)})
    with pytest.raises(ConfigurationError, match="LB_CONFIG is not set"):
        load({})


# ---- command line


def test_check_config_prints_a_summary_and_version_the_version(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config()))
    result = invoke(["check-config"], env={"LB_CONFIG": str(path)})
    assert result.exit_code == 0 and "n3 would listen on 127.0.0.1:7070" in result.stdout
    assert __version__ in invoke(["version"]).stdout
    assert invoke(["nothing"]).exit_code == 2


def test_health_of_an_unreachable_gateway_fails() -> None:
    for address in ("127.0.0.1:1", "nowhere"):
        result = invoke(["health", address])
        assert result.exit_code == 1 and result.stderr.startswith(f"oakvale: {address}")


def test_the_example_configuration_loads() -> None:
    configuration = load({"LB_CONFIG": str(ROOT / "deploy" / "example.json")})
    assert configuration.known["endpoints"] and configuration.settings.may_count


def test_an_address_in_use_fails_with_one_line(tmp_path: Path) -> None:
    occupied = socket.create_server(("127.0.0.1", 0))
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(listen="127.0.0.1:%d" % occupied.getsockname()[1])))  # noqa: UP031
    level = logging.getLogger().level
    result = invoke(["serve"], env={"LB_CONFIG": str(path)})
    logging.getLogger().setLevel(level)
    assert result.exit_code == 1 and "cannot listen" in result.stderr
    occupied.close()


# ---- log lines


def format_record(message: str, **extra: Any) -> str:
    record = logging.makeLogRecord(
        {"name": "oakvale.host", "levelname": "INFO", "msg": message, "created": 0.0, "msecs": 0.0, **extra}
    )
    return KeyValueFormatter().format(record)


def test_log_lines_are_key_value_pairs() -> None:
    assert format_record("serving", gateway="n3", backend=7) == (
        "at=1970-01-01T00:00:00.000Z level=info part=host event=serving gateway=n3 backend=7"
    )
    assert format_record("two words", why='say "x"=\n\x1b').endswith('event="two words" why="say \\"x\\"=\\n\\x1b"')
    assert format_record("", why="").endswith('event="" why=""')


def test_a_traceback_stays_on_one_line() -> None:
    try:
        raise ValueError("odd")
    except ValueError:
        text = format_record("failed", exc_info=sys.exc_info())
    assert "\n" not in text and "ValueError: odd" in text and 'traceback="' in text


def test_lines_of_an_event_are_rate_limited_and_dropped_ones_are_counted() -> None:
    rate_limit = RateLimitFilter(3)

    def write(second: float, event: str) -> logging.LogRecord | None:
        record = logging.makeLogRecord({"name": "oakvale.host", "msg": event, "created": second})
        return record if rate_limit.filter(record) else None

    assert [bool(write(1.0, "spoilt answer")) for _ in range(10)] == [True] * 3 + [False] * 7
    assert write(1.5, "reloaded")  # another event
    next_second = write(2.0, "spoilt answer")
    assert next_second and vars(next_second)["held_back"] == 7
    later = write(2.1, "spoilt answer")
    assert later and "held_back" not in vars(later)


def test_a_full_pipe_does_not_block_and_dropped_lines_are_counted() -> None:
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
    handler.emit(record)  # the pipe has no reader
    assert handler.dropped == 1
    os.close(write)


# ---- buffers


def test_buffers_have_one_size_and_are_reused() -> None:
    pool = BufferPool(64, 2)
    first = [pool.acquire() for _ in range(3)]
    assert {len(buffer) for buffer in first} == {64} and pool.in_use == 3
    for buffer in first:
        pool.release(buffer)
    assert pool.in_use == 0
    second = [pool.acquire() for _ in range(3)]  # the pool kept two
    assert sum(any(buffer is other for other in first) for buffer in second) == 2


# ---- the gateway as a process


class GatewayProcess:
    """A standalone gateway in a process of its own, started when the constructor returns."""

    def __init__(self, tmp_path: Path, max_descriptors: int = 1024) -> None:
        self.discovery = socket.create_server(("127.0.0.1", 0))
        probe = socket.create_server(("127.0.0.1", 0))
        self.address = probe.getsockname()
        probe.close()
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(
                config(
                    listen="%s:%d" % self.address,  # noqa: UP031
                    limits={"sockets": max_descriptors},
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
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors)),
        )
        assert self.process.stderr is not None
        first_line = self.process.stderr.readline()  # logged once it listens
        assert "event=serving" in first_line, first_line

    def get(self, target: str) -> bytes:
        with socket.create_connection(self.address, timeout=10) as client:
            client.sendall(b"GET " + target.encode() + b" HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            response = b""
            while data := client.recv(65536):
                response += data
        return response


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_the_gateway_serves_and_exits_with_0_on_a_stop_signal(tmp_path: Path, number: int) -> None:
    gateway = GatewayProcess(tmp_path)
    try:
        assert gateway.get("/_health").startswith(b"HTTP/1.1 200")
        assert gateway.get("/odd").startswith(b"HTTP/1.1 404")
        address = f"{gateway.address[0]}:{gateway.address[1]}"
        result = invoke(["health", address])
        assert (result.exit_code, result.stdout) == (0, "ok\n")
        gateway.process.send_signal(number)
        _, log = gateway.process.communicate(timeout=10)
    finally:
        gateway.process.kill()
        gateway.discovery.close()
    assert gateway.process.returncode == 0
    assert "event=stopping" in log and "event=stopped" in log


def test_the_gateway_survives_sighups_and_uses_the_discovery_address_of_the_reloaded_file(tmp_path: Path) -> None:
    gateway = GatewayProcess(tmp_path)
    new_discovery = socket.create_server(("127.0.0.1", 0))
    path = tmp_path / "config.json"
    try:
        path.write_text("cut sho")
        gateway.process.send_signal(signal.SIGHUP)
        assert gateway.process.stderr and 'event="reload refused"' in gateway.process.stderr.readline()
        path.write_text(json.dumps(config(discovery="%s:%d" % new_discovery.getsockname())))  # noqa: UP031
        for _ in range(3):
            gateway.process.send_signal(signal.SIGHUP)
        new_discovery.settimeout(10)
        subscription, _ = new_discovery.accept()
        assert subscription.recv(4096).startswith(b"GET /catalog/members?follow=1&since=0 ")
        assert gateway.get("/_health").startswith(b"HTTP/1.1 200")
        gateway.process.send_signal(signal.SIGHUP)
        gateway.process.send_signal(signal.SIGTERM)
        gateway.process.communicate(timeout=10)
        subscription.close()
    finally:
        gateway.process.kill()
        gateway.discovery.close()
        new_discovery.close()
    assert gateway.process.returncode == 0


def test_more_clients_than_descriptors_do_not_prevent_serving(tmp_path: Path) -> None:
    gateway = GatewayProcess(tmp_path, max_descriptors=128)
    clients = []
    try:
        for _ in range(200):
            clients.append(socket.create_connection(gateway.address, timeout=10))
        assert gateway.get("/_health").startswith(b"HTTP/1.1 200")
        open_descriptors = len(os.listdir(f"/proc/{gateway.process.pid}/fd"))
        for client in clients:
            client.close()
        assert gateway.get("/_health").startswith(b"HTTP/1.1 200")
    finally:
        gateway.process.kill()
        _, log = gateway.process.communicate()
        gateway.discovery.close()
    assert open_descriptors < 128 and "Too many open files" not in log
