"""`oakvale demo`: starts a small system, configures it, sends a request through it and stops it."""

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

TIMEOUT_S = 20.0  # from the start until the request has been served
POLL_INTERVAL_S = 0.05
RETRY_DELAY_S = 0.3  # after a rejected request
RETRYABLE_STATUSES = (408, 421, 429, 503)  # they guarantee that the request has not been executed
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
    """The demo did not work; the message is a single line for the operator."""


def wait_until(
    condition: Callable[[], bool],
    what: str,
    deadline: float,
    machines: Machines,
    stop_event: threading.Event,
    pause_s: float = POLL_INTERVAL_S,
) -> None:
    """Polls a condition; raises DemoFailed after the deadline or when a process has exited."""
    while not condition():
        if ended := machines.ended():
            raise DemoFailed(f"{ended[0]} exited unexpectedly: {machines.log(ended[0])[-500:]}")
        if time.monotonic() > deadline:
            raise DemoFailed(f"{what}: timed out after {TIMEOUT_S:g} s")
        stop_event.wait(pause_s)


def request(address: str) -> tuple[int, bytes]:
    """Sends one request through the gateway at an address. Raises OSError, HTTPException."""
    response, _ = send_request(
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
    return response.status, response.body


def try_request(address: str, say: Callable[[str], None]) -> bool:
    """Sends one request, prints the response and returns whether the backend served it."""
    status, body = request(address)
    say(f"a request through the sluice at {address}: {status} {body.decode(errors='replace').strip()}")
    if status not in RETRYABLE_STATUSES + (200,):
        raise DemoFailed(f"unexpected status {status}")
    return status == 200


def show(say: Callable[[str], None], stay: bool = False) -> None:
    """Runs the demo; with `stay` until interrupted. Raises DemoFailed; always stops every process it started."""
    deadline, stop_event = time.monotonic() + TIMEOUT_S, threading.Event()
    try:
        machines = Machines()
    except OSError as error:
        raise DemoFailed(f"no loopback addresses available: {error}") from error
    try:
        backend = Backend(machines.backend_address, "calendar", "a", machines.ctl)
        machines.start()
        backend.start()
        try:
            say(f"started {', '.join(machines.nodes())} and backend {backend.id} on {machines.network_prefix}.x")
            operator = ControlClient(machines.ctl, stop_event)
            response = operator.call("POST", "/oakvale/Config.Replace", CONFIGURATION, deadline - time.monotonic())
            say(f"the headworks at {operator.last} accepted configuration 1: {response.status}")
            if response.status != 200:
                raise DemoFailed(response.body.decode(errors="replace"))
            wait_until(machines.ready, "every sluice ready", deadline, machines, stop_event)
            say("both sluices are ready: they have received the configuration and the backend")
            # rejected requests may be retried; gateways reject requests until they have elected a counter
            wait_until(
                lambda: try_request(machines.http[0], say),
                "a served request",
                deadline,
                machines,
                stop_event,
                RETRY_DELAY_S,
            )
            if len(backend.ran) != 1:
                raise DemoFailed(f"the backend ran {len(backend.ran)} requests")
            if stay:
                say(f"operator and backends: {' '.join(machines.ctl)}")
                say(f"clients: {' '.join(machines.http)} (Host: {HOST}, Authorization: Bearer {KEY}, Attempt-Id: any)")
                say(f"oakvale status: {' '.join(machines.transport)}")
                say("until interrupted")
                stop_event.wait()
        finally:
            backend.stop()
    except (OSError, NoResponse, http.client.HTTPException) as error:
        raise DemoFailed(str(error)) from error
    finally:
        say("stopped" if machines.stop() else "stopped; some processes failed or had to be killed")
