"""The whole system as processes on loopback: the demo, and `oakvale status` of what it runs."""

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


def duties(told: list[dict[str, str]]) -> list[str]:
    return sorted(duty for one in told for duty in one.get("duties", "").split(",") if duty.startswith("gauge/"))


def one_content_each(ctl: list[str]) -> list[int]:
    """Two contents under each of 20 numbers, at once at two machines or one after the other; then both again to each
    machine. Under each number one must get 200 and the other 409, each time; gives the numbers for which that holds."""
    ends, good = threading.Event(), list[int]()
    callers = [ControlClient(ctl[n:] + ctl[:n], ends) for n in range(len(ctl))]

    def send(caller: ControlClient, gen: int, idle: int) -> int:
        limits = CONFIGURATION["limits"] | {"idle": f"{idle}s"}
        return caller.call("POST", "/oakvale/Config.Replace", CONFIGURATION | {"gen": gen, "limits": limits}).status

    with ThreadPoolExecutor(2) as pool:
        for gen in range(2, 22):
            if gen % 2:
                first = list(pool.map(lambda n: send(callers[n], gen, n), (0, 1)))  # noqa: B023
            else:
                first = [send(callers[n], gen, n) for n in (0, 1)]
            again = [[send(caller, gen, n) for n in (0, 1)] for caller in callers]
            if sorted(first) == [200, 409] and again == [first] * len(callers):
                good.append(gen)
    return good


def test_a_small_system_serves_tells_how_it_stands_and_ends() -> None:
    process = subprocess.Popen(
        [sys.executable, "-m", "oakvale", "demo", "--stay"],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    assert process.stdout is not None
    watchdog = threading.Timer(60, process.kill)  # what is read below then ends
    watchdog.start()
    try:
        said = []
        for line in process.stdout:
            said.append(line.strip())
            if line == "until interrupted\n":
                break
        assert said[-1:] == ["until interrupted"], process.stderr and process.stderr.read()
        assert any("200 GET /calendar/today?chair=2" in line and line.endswith("for north") for line in said)
        addresses = next(line for line in said if line.startswith("oakvale status: ")).split()[2:]
        due = time.monotonic() + 10
        told = [status(address) for address in addresses]
        while duties(told) != DUTIES and time.monotonic() < due:  # some may still be put to the vote
            told = [status(address) for address in addresses]
        good = one_content_each(next(line for line in said if line.startswith("operator and backends: ")).split()[3:])
    finally:
        process.send_signal(signal.SIGTERM)
        rest, errors = process.communicate()
        watchdog.cancel()
    assert (process.returncode, rest) == (130, "stopped\n"), errors

    assert good == list(range(2, 22))
    core, edge = told[:3], told[3:]
    assert sorted(t["place"] for t in core) == ["backup", "primary", "witness"]
    serving = [t for t in core if t["serving"] == "True"]
    assert len(serving) == 1 and serving[0]["own"] == serving[0]["primary"] == core[0]["primary"]
    for one in (*serving, *edge):
        by_kind = {name: int(count) for name, count in one.items() if name.startswith("sent.")}
        assert sum(by_kind.values()) == int(one["sent_bytes"])
        assert by_kind["sent.news" if one in serving else "sent.join"] > 0
        assert (one["gen"], one["gateways"], one["backends.calendar.ready"]) == ("1", "sluice-1,sluice-2", "1")
    assert all(one["ready"] == one["listed"] == "True" and int(one["news_age_ms"]) >= 0 for one in edge)
    assert sum(int(one["requests"]) for one in edge) == 1
    assert duties(told) == DUTIES
    for one in told:
        assert one["role"] in one["node"] and int(one["memory_mb"]) > 0 and int(one["links_out"]) > 0


def test_who_does_not_answer_is_one_line() -> None:
    for address in ("127.0.0.1:1", "nowhere"):
        result = invoke(["status", address])
        assert result.exit_code == 1 and result.stdout == "" and result.stderr.startswith(f"oakvale: {address}: ")
