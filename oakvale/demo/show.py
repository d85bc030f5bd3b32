"""`oakvale demo`: starts a small system, has it take a configuration, sends a request through it, stops it."""

from __future__ import annotations

import http.client
import secrets
import threading
import time
from collections.abc import Callable
from typing import Any

from oakvale.demo.backend import Backend
from oakvale.demo.control_client import ControlClient, NoResponse, send_request
from oakvale.demo.machines import Machines

LONGEST = 20.0  # seconds until the answer has come or the demo gives up
LOOK = 0.05  # between two looks
AGAIN = 0.3  # before a refused request is sent again
RETRYABLE_STATUSES = (408, 421, 429, 503)
HOST, KEY = "desk.example", "demo-key"
CONFIGURATION: dict[str, Any] = {
    "gen": 1,
    "limits": {"hdr-bytes": 16384, "body-bytes": 1048576, "hdr": "3000ms", "idle": "15000ms"},
    "svcs": {
        "cols": ["name", "hcheck", "max-conns", "proto", "tls"],
        "rows": [["calendar", "/healthz", 100, "h1", False]],
    },
    "routes": {
        "cols": ["name", "vhost", "prefix", "type", "deadline", "target_time", "prio", "tries", "public", "svc"],
        "rows": [["lookups", HOST, "/calendar/", "safe", "2000ms", "500ms", 1, 2, False, "calendar"]],
    },
    "tenants": {"cols": ["name", "apikeys", "prio", "rate-per-s", "burst"], "rows": [["north", [KEY], 1, 50, 50]]},
}


class DemoFailed(Exception):
    """One line."""


def wait_until(
    met: Callable[[], bool], what: str, due: float, machines: Machines, ends: threading.Event, pause: float = LOOK
) -> None:
    while not met():
        if ended := machines.ended():
            raise DemoFailed(f"{ended[0]} ended by itself: {machines.log(ended[0])[-500:]}")
        if time.monotonic() > due:
            raise DemoFailed(f"{what}: not in {LONGEST:g} s")
        ends.wait(pause)


def request(address: str) -> tuple[int, bytes]:
    """One through the gateway at an address. Raises OSError, HTTPException."""
    given, _ = send_request(
        address,
        "GET",
        "/calendar/today?chair=2",
        headers={
            "Host": HOST,
            "Attempt-Id": secrets.token_hex(8),
            "Time-Left": "2000",
            "Authorization": f"Bearer {KEY}",
        },
        timeout=3,
    )
    return given.status, given.body


def try_request(address: str, say: Callable[[str], None]) -> bool:
    """Whether it was; tells of the answer."""
    status, body = request(address)
    say(f"a request through the sluice at {address}: {status} {body.decode(errors='replace').strip()}")
    if status not in RETRYABLE_STATUSES + (200,):
        raise DemoFailed("that is not what was asked for")
    return status == 200


def show(say: Callable[[str], None], stay: bool = False) -> None:
    """Raises Failed; whatever happens, everything that was started has ended then."""
    due, ends = time.monotonic() + LONGEST, threading.Event()
    try:
        machines = Machines()
    except OSError as error:
        raise DemoFailed(f"no addresses on loopback: {error}") from error
    try:
        backend = Backend(machines.backend_address, "calendar", "a", machines.ctl)
        machines.start()
        backend.start()
        try:
            say(f"started {', '.join(machines.nodes())} and backend {backend.id} on {machines.net}.x")
            operator = ControlClient(machines.ctl, ends)
            given = operator.call("POST", "/oakvale/Config.Replace", CONFIGURATION, due - time.monotonic())
            say(f"the headworks at {operator.last} took configuration 1: {given.status}")
            if given.status != 200:
                raise DemoFailed(given.body.decode(errors="replace"))
            wait_until(machines.ready, "every sluice ready", due, machines, ends)
            say("both sluices are ready: configuration and backend reached them as news")
            # a refusal has not run and may be sent again; so it goes until the gateways have elected a counter
            wait_until(lambda: try_request(machines.http[0], say), "a served request", due, machines, ends, AGAIN)
            if len(backend.ran) != 1:
                raise DemoFailed(f"the backend ran {len(backend.ran)} requests")
            if stay:
                say(f"operator and backends: {' '.join(machines.ctl)}")
                say(f"clients: {' '.join(machines.http)} (Host: {HOST}, Authorization: Bearer {KEY}, Attempt-Id: any)")
                say(f"oakvale status: {' '.join(machines.transport)}")
                say("until interrupted")
                ends.wait()
        finally:
            backend.stop()
    except (OSError, NoResponse, http.client.HTTPException) as error:
        raise DemoFailed(str(error)) from error
    finally:
        say("stopped" if machines.stop() else "stopped, not in order")
