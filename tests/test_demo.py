"""The complete system as processes on loopback: the demo, and `oakvale status` of its processes."""

from __future__ import annotations

import signal
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from oakvale.demo.control_client import ControlClient
from oakvale.demo.show import CONFIGURATION
from tests.helpers import invoke

ROOT = Path(__file__).parent.parent
DUTIES = ["gauge/0", "gauge/1", "gauge/2", "gauge/3"]


def status(address: str) -> dict[str, str]:
    result = invoke(["status", address])
    assert result.exit_code == 0, result.stderr
    return dict(line.split("=", 1) for line in result.stdout.splitlines())


def gauge_duties(statuses: list[dict[str, str]]) -> list[str]:
    return sorted(
        duty for fields in statuses for duty in fields.get("duties", "").split(",") if duty.startswith("gauge/")
    )


def versions_with_one_content(ctl: list[str]) -> list[int]:
    """Sends two contents under each of 20 version numbers, alternately in parallel and in sequence, then both again to
    each machine. Returns the versions for which one content always got 200 and the other always 409."""
    stop_event, consistent = threading.Event(), list[int]()
    clients = [ControlClient(ctl[n:] + ctl[:n], stop_event) for n in range(len(ctl))]

    def send(client: ControlClient, gen: int, idle: int) -> int:
        limits = CONFIGURATION["limits"] | {"idle": f"{idle}s"}
        return client.call("POST", "/oakvale/Config.Replace", CONFIGURATION | {"gen": gen, "limits": limits}).status

    with ThreadPoolExecutor(2) as pool:
        for gen in range(2, 22):
            if gen % 2:
                first = list(pool.map(lambda n: send(clients[n], gen, n), (0, 1)))  # noqa: B023
            else:
                first = [send(clients[n], gen, n) for n in (0, 1)]
            repeated = [[send(client, gen, n) for n in (0, 1)] for client in clients]
            if sorted(first) == [200, 409] and repeated == [first] * len(clients):
                consistent.append(gen)
    return consistent


def test_a_small_system_serves_a_request_reports_its_status_and_stops() -> None:
    process = subprocess.Popen(
        [sys.executable, "-m", "oakvale", "demo", "--stay"],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    assert process.stdout is not None
    watchdog = threading.Timer(60, process.kill)  # ends the reads below
    watchdog.start()
    try:
        output = []
        for line in process.stdout:
            output.append(line.strip())
            if line == "until interrupted\n":
                break
        assert output[-1:] == ["until interrupted"], process.stderr and process.stderr.read()
        assert any("200 GET /calendar/today?chair=2" in line and line.endswith("for north") for line in output)
        addresses = next(line for line in output if line.startswith("oakvale status: ")).split()[2:]
        deadline = time.monotonic() + 10
        statuses = [status(address) for address in addresses]
        while gauge_duties(statuses) != DUTIES and time.monotonic() < deadline:  # some may still be up for election
            statuses = [status(address) for address in addresses]
        consistent = versions_with_one_content(
            next(line for line in output if line.startswith("operator and backends: ")).split()[3:]
        )
    finally:
        process.send_signal(signal.SIGTERM)
        remaining, errors = process.communicate()
        watchdog.cancel()
    assert (process.returncode, remaining) == (130, "stopped\n"), errors

    assert consistent == list(range(2, 22))
    core, edge = statuses[:3], statuses[3:]
    assert sorted(fields["place"] for fields in core) == ["backup", "primary", "witness"]
    serving = [fields for fields in core if fields["serving"] == "True"]
    assert len(serving) == 1 and serving[0]["own"] == serving[0]["primary"] == core[0]["primary"]
    for fields in (*serving, *edge):
        by_kind = {name: int(count) for name, count in fields.items() if name.startswith("sent.")}
        assert sum(by_kind.values()) == int(fields["sent_bytes"])
        assert by_kind["sent.news" if fields in serving else "sent.join"] > 0
        assert (fields["gen"], fields["gateways"], fields["backends.calendar.ready"]) == ("1", "sluice-1,sluice-2", "1")
    assert all(fields["ready"] == fields["listed"] == "True" and int(fields["news_age_ms"]) >= 0 for fields in edge)
    assert sum(int(fields["requests"]) for fields in edge) == 1
    assert gauge_duties(statuses) == DUTIES
    for fields in statuses:
        assert fields["role"] in fields["node"] and int(fields["memory_mb"]) > 0 and int(fields["links_out"]) > 0


def test_status_of_an_unreachable_process_fails_with_one_line() -> None:
    for address in ("127.0.0.1:1", "nowhere"):
        result = invoke(["status", address])
        assert result.exit_code == 1 and result.stdout == "" and result.stderr.startswith(f"oakvale: {address}: ")
