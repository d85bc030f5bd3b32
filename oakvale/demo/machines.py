"""Machines on loopback: all use the same ports, as in a deployment, so each has an address of its own."""

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
    """Core machines with a headworks each, edge machines with a sluice each; a folder that goes with them."""

    def __init__(self, core: int = 3, edge: int = 2) -> None:
        """Raises OSError where no addresses can be had."""
        self._folder = tempfile.TemporaryDirectory(prefix="oakvale-demo-")
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._places: dict[str, tuple[str, str, int, str]] = {}  # node -> what it was started with
        self.net = f"127.{64 + secrets.randbelow(128)}.{secrets.randbelow(256)}"
        self._ports = _free(f"{self.net}.1", 5)  # ctl, http, readyz, headworks' mains and the next for sluices
        self.core = [f"{self.net}.{n + 1}" for n in range(core)]
        self.edge = [f"{self.net}.{n + 101}" for n in range(edge)]
        self.backend_address = (f"{self.net}.201", 0)
        self.ctl = [f"{ip}:{self._ports[0]}" for ip in self.core]
        self.http = [f"{ip}:{self._ports[1]}" for ip in self.edge]
        self.readyz = [f"{ip}:{self._ports[2]}" for ip in self.edge]
        self.transport = [f"{ip}:{self._ports[3]}" for ip in self.core] + [
            f"{ip}:{self._ports[3] + 1}" for ip in self.edge
        ]

    def start(self, tree: Path = ROOT) -> None:
        """`tree`: of the sources that all run."""
        for n, ip in enumerate(self.core):
            self._run("headworks", ip, n, f'bind = {{ ctl = "{self.ctl[n]}" }}', tree)
        for n, ip in enumerate(self.edge):
            bind = f'bind = {{ http = "{self.http[n]}", readyz = "{self.readyz[n]}" }}'
            self._run("sluice", ip, n, bind, tree)

    def log(self, node: str) -> str:
        return (Path(self._folder.name) / f"{node}.log").read_text()

    def nodes(self) -> list[str]:
        return list(self._processes)

    def kill(self, node: str) -> None:
        process = self._processes.pop(node)
        process.kill()
        process.wait()

    def restart(self, node: str, tree: Path, within: float = 5.0) -> bool:
        """Tells a node to end and starts it again from another tree of sources; True where it ended in order."""
        process = self._processes.pop(node)
        process.send_signal(signal.SIGTERM)
        try:
            code = process.wait(within)
        except subprocess.TimeoutExpired:
            process.kill()
            code = process.wait()
        self._run(*self._places[node], tree)
        return code == 0

    def ready(self) -> bool:
        """Whether every sluice says so."""
        try:
            return all(send_request(address, "GET", "/oakvale/readyz")[0].status == 200 for address in self.readyz)
        except OSError:
            return False

    def ended(self) -> list[str]:
        """Those that ended by themselves."""
        return [node for node, process in self._processes.items() if process.poll() is not None]

    def stop(self, within: float = 5.0) -> bool:
        """Everything and the folder; True where all ended in order."""
        for process in self._processes.values():
            process.send_signal(signal.SIGTERM)
        kills = [threading.Timer(within, process.kill) for process in self._processes.values()]
        for timer in kills:
            timer.start()
        codes = [process.wait() for process in self._processes.values()]
        for timer in kills:
            timer.cancel()
        self._folder.cleanup()
        return not any(codes)

    def _run(self, role: str, ip: str, number: int, bind: str, tree: Path) -> None:
        self._places[f"{role}-{number + 1}"] = (role, ip, number, bind)
        node, folder = f"{role}-{number + 1}", Path(self._folder.name)
        path = folder / f"{node}.toml"
        disk = f'datadir = "{folder / node}"\n' if role == "headworks" else ""
        seeds = ", ".join(f'"{address}"' for address in self.ctl[:3])
        path.write_text(f"""[self]
node = "{node}"
ip = "{ip}"
az = "{ZONES[number % len(ZONES)]}"
voting = {str(role == "headworks").lower()}
bootstrap = true
{disk}[self.limits]
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
        with open(folder / f"{node}.log", "ab") as log:
            self._processes[node] = subprocess.Popen(
                [sys.executable, "-m", "oakvale", role],
                cwd=folder,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )


def _free(ip: str, count: int) -> list[int]:
    """As many ports, one after the other, that nothing listens on, on any address."""
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            first = int(probe.getsockname()[1])
        ports = list(range(first, first + count))
        if ports[-1] < 65536 and all(_bindable(port) for port in ports):
            return ports


def _bindable(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("0.0.0.0", port))
        except OSError:
            return False
    return True
