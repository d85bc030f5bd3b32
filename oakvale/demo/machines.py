"""Machines of the demo system: processes on loopback addresses of their own, with the same ports as each other."""

from __future__ import annotations

import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import threading
from pathlib import Path

import oakvale
from oakvale.demo.control_client import send_request

ZONES = ("a", "b", "c")
ROOT = Path(oakvale.__file__).parent.parent


class Machines:
    """Core machines that run a headworks each, edge machines that run a sluice each, and their temporary directory."""

    def __init__(self, core: int = 3, edge: int = 2) -> None:
        """Raises OSError if no loopback addresses are available."""
        self._directory = tempfile.TemporaryDirectory(prefix="oakvale-demo-")
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._start_arguments: dict[str, tuple[str, str, int, str]] = {}  # by node
        self.network_prefix = f"127.{64 + secrets.randbelow(128)}.{secrets.randbelow(256)}"
        # ctl, http, readyz, links of headworks, links of sluices
        self._ports = _free_ports(f"{self.network_prefix}.1", 5)
        self.core = [f"{self.network_prefix}.{n + 1}" for n in range(core)]
        self.edge = [f"{self.network_prefix}.{n + 101}" for n in range(edge)]
        self.backend_address = (f"{self.network_prefix}.201", 0)
        self.ctl = [f"{ip}:{self._ports[0]}" for ip in self.core]
        self.http = [f"{ip}:{self._ports[1]}" for ip in self.edge]
        self.readyz = [f"{ip}:{self._ports[2]}" for ip in self.edge]
        self.transport = [f"{ip}:{self._ports[3]}" for ip in self.core] + [
            f"{ip}:{self._ports[3] + 1}" for ip in self.edge
        ]

    def start(self, tree: Path = ROOT) -> None:
        """Starts all processes from the source tree `tree`."""
        for n, ip in enumerate(self.core):
            self._run("headworks", ip, n, f'bind = {{ ctl = "{self.ctl[n]}" }}', tree)
        for n, ip in enumerate(self.edge):
            bind = f'bind = {{ http = "{self.http[n]}", readyz = "{self.readyz[n]}" }}'
            self._run("sluice", ip, n, bind, tree)

    def log(self, node: str) -> str:
        """Returns what a node has logged so far."""
        return (Path(self._directory.name) / f"{node}.log").read_text()

    def nodes(self) -> list[str]:
        """Returns the names of the running nodes."""
        return list(self._processes)

    def kill(self, node: str) -> None:
        """Kills a node with SIGKILL."""
        process = self._processes.pop(node)
        process.kill()
        process.wait()

    def restart(self, node: str, tree: Path, within: float = 5.0) -> bool:
        """Restarts a node from another source tree; returns whether it exited in time with status 0."""
        process = self._processes.pop(node)
        process.send_signal(signal.SIGTERM)
        try:
            code = process.wait(within)
        except subprocess.TimeoutExpired:
            process.kill()
            code = process.wait()
        self._run(*self._start_arguments[node], tree)
        return code == 0

    def ready(self) -> bool:
        """Returns whether every sluice reports that it is ready."""
        try:
            return all(send_request(address, "GET", "/oakvale/readyz")[0].status == 200 for address in self.readyz)
        except OSError:
            return False

    def ended(self) -> list[str]:
        """Returns the nodes whose process has exited unexpectedly."""
        return [node for node, process in self._processes.items() if process.poll() is not None]

    def stop(self, within: float = 5.0) -> bool:
        """Stops all processes and deletes the directory; returns whether all exited with status 0 in time."""
        for process in self._processes.values():
            process.send_signal(signal.SIGTERM)
        kill_timers = [threading.Timer(within, process.kill) for process in self._processes.values()]
        for timer in kill_timers:
            timer.start()
        codes = [process.wait() for process in self._processes.values()]
        for timer in kill_timers:
            timer.cancel()
        self._directory.cleanup()
        return not any(codes)

    def _run(self, role: str, ip: str, number: int, bind: str, tree: Path) -> None:
        self._start_arguments[f"{role}-{number + 1}"] = (role, ip, number, bind)
        node, directory = f"{role}-{number + 1}", Path(self._directory.name)
        path = directory / f"{node}.toml"
        datadir = f'datadir = "{directory / node}"\n' if role == "headworks" else ""
        seeds = ", ".join(f'"{address}"' for address in self.ctl[:3])
        path.write_text(f"""[self]
node = "{node}"
ip = "{ip}"
az = "{ZONES[number % len(ZONES)]}"
voting = {str(role == "headworks").lower()}
bootstrap = true
{datadir}[self.limits]
mem-mb = 192
nofile = 1024
[network]
port-range = [{self._ports[3]}, {self._ports[3] + 1}]
seeds = [{seeds}]
{bind}
[network.azs]
{"".join(f'{zone} = "here"' + chr(10) for zone in ZONES)}[infra]
beat = "500ms"
[terms.tolerance]
nodes = 1
[terms.bounds]
grace = "1s"
""")
        environment = {**os.environ, "OAKVALE_SETTINGS": str(path), "PYTHONPATH": str(tree)}
        with open(directory / f"{node}.log", "ab") as log:
            self._processes[node] = subprocess.Popen(
                [sys.executable, "-m", "oakvale", role],
                cwd=directory,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )


def _free_ports(ip: str, count: int) -> list[int]:
    """Returns `count` consecutive ports that are free on every address."""
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            first = int(probe.getsockname()[1])
        ports = list(range(first, first + count))
        if ports[-1] < 65536 and all(_is_free(port) for port in ports):
            return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("0.0.0.0", port))
        except OSError:
            return False
    return True
