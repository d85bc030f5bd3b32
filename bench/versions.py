"""Rolls a small system on loopback from one version to another and half-way back, under load, and counts what failed.

    versions.py OLD [--edge N] [--seconds S]

OLD is a checkout of the version before; this tree is the new one. Three core machines and some gateways run as
processes; each step restarts one of them with the other version and waits S seconds. All of it: the core forward,
then the gateways; the core back, then half of the gateways; all back; and forward again with the gateways first.
Clients send safe and unsafe requests for two services meanwhile, and two stand-in backends a service count what they
run. It ends with 1 where an unsafe request ran twice, a request ran at a stranger's service, a process ended by
itself, or a connection broke on an unsafe request that had been sent.
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
CLIENTS = 6
PAUSE = 0.02  # seconds between two requests of a client
LONGEST_START = 30.0  # seconds until all gateways are ready


def configuration() -> dict[str, object]:
    routes = CONFIGURATION["routes"]
    row = dict(zip(routes["cols"], routes["rows"][0], strict=True))
    rows = [row, row | {"name": "orders", "prefix": "/book/", "type": "unsafe", "svc": "book"}]
    services = CONFIGURATION["svcs"]
    known = dict(zip(services["cols"], services["rows"][0], strict=True))
    tenants = {"cols": ["name", "apikeys", "prio", "rate-per-s", "burst"], "rows": [["north", [KEY], 1, 5000, 5000]]}
    return CONFIGURATION | {
        "tenants": tenants,
        "routes": {"cols": routes["cols"], "rows": [[one[name] for name in routes["cols"]] for one in rows]},
        "svcs": {"cols": services["cols"], "rows": [list((known | {"name": name}).values()) for name in SERVICES]},
    }


class Clients:
    """They take another gateway after a failure, as the platform does; unsafe requests only after a promise."""

    def __init__(self, gateways: list[str]) -> None:
        self._gateways, self.ends = gateways, threading.Event()
        self.counts: Counter[str] = Counter()
        self.unsafe: set[str] = set()
        self.unclear: set[str] = set()  # unsafe, sent, and no answer
        self._lock = threading.Lock()
        self._threads = [threading.Thread(target=self._run, args=(n,), daemon=True) for n in range(CLIENTS)]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self.ends.set()
        for thread in self._threads:
            thread.join(10)

    def _run(self, number: int) -> None:
        draw = random.Random(number)
        while not self.ends.wait(PAUSE):
            self._ask(draw, draw.choice(SERVICES))

    def _ask(self, draw: random.Random, service: str) -> None:
        for _ in range(6):
            name, gateway = secrets.token_hex(8), draw.choice(self._gateways)
            outcome = self._try(name, gateway, service)
            with self._lock:
                self.counts[f"{service}: {outcome}"] += 1
            if outcome not in ("refused", "no connection") and not (service == "calendar" and outcome != "200"):
                return
            self.ends.wait(0.1)
        with self._lock:
            self.counts[f"{service}: given up"] += 1

    def _try(self, name: str, gateway: str, service: str) -> str:
        unsafe = service == "book"
        if unsafe:
            self.unsafe.add(name)
        headers = {"Host": HOST, "Attempt-Id": name, "Time-Left": "2000", "Authorization": f"Bearer {KEY}"}
        method, body = ("POST", b"order") if unsafe else ("GET", None)
        try:
            given, _ = send_request(gateway, method, f"/{service}/x", body, headers, timeout=3)
        except ConnectionRefusedError:
            return "no connection"
        except (OSError, http.client.HTTPException):
            if unsafe:
                self.unclear.add(name)
            return "broken off"
        return "refused" if given.status in RETRYABLE_STATUSES else str(given.status)


def steps(machines: Machines, old: Path) -> Iterator[tuple[str, Path]]:
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
    told = parser.parse_args()
    machines, ends = Machines(edge=told.edge), threading.Event()
    zones = ("a", "b")
    backends = [
        Backend((machines.backend_address[0], 0), service, zone, machines.ctl) for service in SERVICES for zone in zones
    ]
    clients = Clients(machines.http)
    in_order = 0
    restarts = 0
    try:
        machines.start(told.old)
        for backend in backends:
            backend.start()
        ControlClient(machines.ctl, ends).call("POST", "/oakvale/Config.Replace", configuration(), LONGEST_START)
        due = time.monotonic() + LONGEST_START
        while not machines.ready() and time.monotonic() < due:
            time.sleep(0.1)
        clients.start()
        for node, tree in steps(machines, told.old):
            in_order += machines.restart(node, tree)
            restarts += 1
            time.sleep(told.seconds)
    finally:
        clients.stop()
        for backend in backends:
            backend.stop()
        ended = machines.ended()
        machines.stop()
    return report(clients, backends, restarts, in_order, ended)


def report(clients: Clients, backends: list[Backend], restarts: int, in_order: int, ended: list[str]) -> int:
    ran = Counter(name for backend in backends for name in backend.ran)
    twice = [name for name, times in ran.items() if times > 1 and name in clients.unsafe]
    strangers = 0
    for backend in backends:
        orders = backend.service == "book"
        strangers += sum((name in clients.unsafe) is not orders for name in backend.ran)
    print(f"{restarts} restarts, {in_order} in order; ended by themselves: {ended or 'none'}")
    print("; ".join(f"{what} {count}" for what, count in sorted(clients.counts.items())))
    print(
        f"unsafe run twice: {len(twice)}; run at a stranger's service: {strangers}; broken off: {len(clients.unclear)}"
    )
    return 1 if twice or strangers or clients.unclear or ended else 0


if __name__ == "__main__":
    sys.exit(main())
