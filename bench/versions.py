"""Upgrades a small system on loopback under load and partly rolls it back, and counts failed requests.

    versions.py OLD [--edge N] [--seconds S]

OLD is a checkout of the previous version; this tree is the new one. Three core machines and some gateways run as
processes; each step restarts one of them with the other version and waits S seconds. The order is: upgrade the core,
then the gateways; roll back the core, then half of the gateways, then the others; upgrade again, gateways first.
Meanwhile clients send safe and unsafe requests for two services, and two stub backends per service record what they
run. The exit code is 1 if an unsafe request ran twice, a request reached the wrong service, a process exited by itself,
or a connection broke after an unsafe request had been sent.
"""

import argparse
import http.client
import random
import secrets
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from oakvale.demo.backend import Backend
from oakvale.demo.control_client import ControlClient, send_request
from oakvale.demo.machines import ROOT, Machines
from oakvale.demo.show import CONFIGURATION, HOST, KEY, RETRYABLE_STATUSES

SERVICES = ("calendar", "book")
CLIENT_COUNT = 6
REQUEST_INTERVAL_S = 0.02  # between two requests of a client
STARTUP_TIMEOUT_S = 30.0  # until all gateways are ready


def configuration() -> dict[str, object]:
    """Returns the configuration of the demo with a second service, whose requests are unsafe."""
    routes = CONFIGURATION["routes"]
    row = dict(zip(routes["cols"], routes["rows"][0], strict=True))
    route_rows = [row, row | {"name": "orders", "prefix": "/book/", "type": "unsafe", "svc": "book"}]
    services = CONFIGURATION["svcs"]
    service_fields = dict(zip(services["cols"], services["rows"][0], strict=True))
    tenants = {"cols": ["name", "apikeys", "prio", "rate-per-s", "burst"], "rows": [["north", [KEY], 1, 5000, 5000]]}
    return CONFIGURATION | {
        "tenants": tenants,
        "routes": {"cols": routes["cols"], "rows": [[row[column] for column in routes["cols"]] for row in route_rows]},
        "svcs": {
            "cols": services["cols"],
            "rows": [list((service_fields | {"name": name}).values()) for name in SERVICES],
        },
    }


class Clients:
    """Clients that retry on another gateway after a failure, as the platform does.

    An unsafe request is retried only if the response guarantees that it was not run, or if no connection was made.
    """

    def __init__(self, gateways: list[str]) -> None:
        self._gateways, self.stopped = gateways, threading.Event()
        self.outcome_counts: Counter[str] = Counter()
        self.unsafe_ids: set[str] = set()
        self.unanswered_ids: set[str] = set()  # unsafe requests that were sent and got no response
        self._lock = threading.Lock()
        self._threads = [threading.Thread(target=self._run, args=(n,), daemon=True) for n in range(CLIENT_COUNT)]

    def start(self) -> None:
        """Starts a thread for each client."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the clients and waits for their threads."""
        self.stopped.set()
        for thread in self._threads:
            thread.join(10)

    def _run(self, number: int) -> None:
        rng = random.Random(number)
        while not self.stopped.wait(REQUEST_INTERVAL_S):
            self._send_with_retries(rng, rng.choice(SERVICES))

    def _send_with_retries(self, rng: random.Random, service: str) -> None:
        for _ in range(6):
            request_id, gateway = secrets.token_hex(8), rng.choice(self._gateways)
            outcome = self._attempt(request_id, gateway, service)
            with self._lock:
                self.outcome_counts[f"{service}: {outcome}"] += 1
            if outcome not in ("refused", "no connection") and not (service == "calendar" and outcome != "200"):
                return
            self.stopped.wait(0.1)
        with self._lock:
            self.outcome_counts[f"{service}: given up"] += 1

    def _attempt(self, request_id: str, gateway: str, service: str) -> str:
        is_unsafe = service == "book"
        if is_unsafe:
            self.unsafe_ids.add(request_id)
        headers = {"Host": HOST, "Attempt-Id": request_id, "Time-Left": "2000", "Authorization": f"Bearer {KEY}"}
        method, body = ("POST", b"order") if is_unsafe else ("GET", None)
        try:
            reply, _ = send_request(gateway, method, f"/{service}/x", body, headers, timeout=3)
        except ConnectionRefusedError:
            return "no connection"
        except (OSError, http.client.HTTPException):
            if is_unsafe:
                self.unanswered_ids.add(request_id)
            return "connection lost"
        return "refused" if reply.status in RETRYABLE_STATUSES else str(reply.status)


def restart_plan(machines: Machines, old: Path) -> Iterator[tuple[str, Path]]:
    """Yields the nodes in the order of their restarts, each with the source tree to start it from."""
    core = [node for node in machines.nodes() if node.startswith("headworks")]
    edge = [node for node in machines.nodes() if node.startswith("sluice")]
    for node in core + edge:
        yield node, ROOT
    for node in core + edge[::2]:
        yield node, old
    for node in edge[1::2]:
        yield node, old
    for node in edge + core:
        yield node, ROOT


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("old", type=Path)
    parser.add_argument("--edge", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=2.0)
    options = parser.parse_args()
    machines, stopped = Machines(edge=options.edge), threading.Event()
    zones = ("a", "b")
    backends = [
        Backend((machines.backend_address[0], 0), service, zone, machines.ctl) for service in SERVICES for zone in zones
    ]
    clients = Clients(machines.http)
    clean_exits = 0
    restarts = 0
    try:
        machines.start(options.old)
        for backend in backends:
            backend.start()
        ControlClient(machines.ctl, stopped).call("POST", "/oakvale/Config.Replace", configuration(), STARTUP_TIMEOUT_S)
        deadline = time.monotonic() + STARTUP_TIMEOUT_S
        while not machines.ready() and time.monotonic() < deadline:
            time.sleep(0.1)
        clients.start()
        for node, tree in restart_plan(machines, options.old):
            clean_exits += machines.restart(node, tree)
            restarts += 1
            time.sleep(options.seconds)
    finally:
        clients.stop()
        for backend in backends:
            backend.stop()
        exited_nodes = machines.ended()
        machines.stop()
    return report(clients, backends, restarts, clean_exits, exited_nodes)


def report(clients: Clients, backends: list[Backend], restarts: int, clean_exits: int, exited_nodes: list[str]) -> int:
    """Prints the outcome; returns the exit code."""
    run_counts = Counter(request_id for backend in backends for request_id in backend.ran)
    duplicates = [
        request_id for request_id, times in run_counts.items() if times > 1 and request_id in clients.unsafe_ids
    ]
    misrouted = 0
    for backend in backends:
        is_book = backend.service == "book"
        misrouted += sum((request_id in clients.unsafe_ids) is not is_book for request_id in backend.ran)
    print(f"{restarts} restarts, {clean_exits} with a clean exit; exited by themselves: {exited_nodes or 'none'}")
    print("; ".join(f"{outcome} {count}" for outcome, count in sorted(clients.outcome_counts.items())))
    print(
        f"unsafe run twice: {len(duplicates)}; run at the wrong service: {misrouted}; "
        f"connection lost: {len(clients.unanswered_ids)}"
    )
    return 1 if duplicates or misrouted or clients.unanswered_ids or exited_nodes else 0


if __name__ == "__main__":
    sys.exit(main())
