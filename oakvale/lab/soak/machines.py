"""Core machines of a soak as real processes, each with a loopback address, a settings file and a data directory of its
own, and gateways beside them.
"""

from __future__ import annotations

import asyncio
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import oakvale

ROOT = Path(oakvale.__file__).parent.parent
ZONES = ("a", "b", "c", "d")
SEED_COUNT = 3
CORE, GATEWAY = "headworks", "sluice"
CORE_CLAUSES = ("base", "config", "coord")
GATEWAY_CLAUSES = ("base", "drain", "config", "cost", "retry", "recover")
FIRST_GATEWAY_HOST, FIRST_BACKEND_HOST = 101, 201  # last parts of their addresses
PORT_COUNT = 5
GRACE_S = 6.0  # from SIGTERM to SIGKILL
POLL_INTERVAL_S = 0.01
PROBE_BYTES = 512
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(slots=True, frozen=True)
class Size:
    """Memory and disk that a machine uses, in bytes."""

    memory: int
    disk: int


@dataclass(slots=True, eq=False)
class Machine:
    """One machine and its process, if it runs."""

    name: str
    role: str
    ip: str
    ctl: str
    settings_path: Path
    http: str = ""  # where clients connect
    process: subprocess.Popen[bytes] | None = None
    exit_statuses: list[int] = field(default_factory=list)  # of its processes that were told to stop
    stop_requested_at: float | None = None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if there is one."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Machines:
    """All machines of one soak in a temporary directory. Raises OSError if no loopback addresses are available."""

    def __init__(self, core_count: int, gateway_count: int, clauses: Sequence[str] = CORE_CLAUSES) -> None:
        self._directory = tempfile.TemporaryDirectory(prefix="oakvale-soak-")
        self._path = Path(self._directory.name)
        self._network = f"127.{64 + secrets.randbelow(128)}.{secrets.randbelow(256)}"
        self._first_port = _free_ports(f"{self._network}.1")
        self._hosts_used, self._clauses = 0, clauses
        self.log_paths: list[Path] = []
        self.unexpected_exits: list[str] = []
        self.killed_after_grace: list[str] = []
        self.core: list[Machine] = []
        ctl = [f"{self._network}.{number + 1}:{self._first_port}" for number in range(min(core_count, SEED_COUNT))]
        for _ in range(core_count):
            self.core.append(self._new_core(ctl, bootstrap=True))
        self.gateways = [self._new_gateway(number, ctl) for number in range(gateway_count)]

    def start_all(self) -> None:
        """Starts every process."""
        for machine in [*self.core, *self.gateways]:
            self.start(machine)

    def start(self, machine: Machine) -> None:
        """Starts the process of a machine."""
        environment = {**os.environ, "OAKVALE_SETTINGS": str(machine.settings_path), "PYTHONPATH": str(ROOT)}
        log_path = self._path / f"{machine.name}.log"
        with open(log_path, "ab") as log:
            machine.process = subprocess.Popen(
                [sys.executable, "-m", "oakvale", machine.role],
                cwd=self._path,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )
        machine.stop_requested_at = None
        if log_path not in self.log_paths:
            self.log_paths.append(log_path)

    def add(self) -> Machine:
        """Starts an empty core machine at a new address."""
        machine = self._new_core([each.ctl for each in self.core[-SEED_COUNT:]], bootstrap=False)
        self.core.append(machine)
        self.start(machine)
        return machine

    def kill(self, machine: Machine) -> None:
        """Ends the process with SIGKILL."""
        process = self._take(machine)
        if process is not None:
            process.kill()
            process.wait()

    async def finish_stopping(self, machine: Machine) -> None:
        """Waits for a process that was told to stop, and kills it after its grace."""
        deadline = asyncio.get_running_loop().time() + GRACE_S
        process = machine.process
        while process is not None and process.poll() is None:
            if asyncio.get_running_loop().time() > deadline:
                self.killed_after_grace.append(machine.name)
                process.kill()
                process.wait()
                machine.process = None
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        if process is not None:
            machine.exit_statuses.append(process.returncode)
        machine.process = None

    def sizes(self) -> dict[str, Size]:
        """What each running core machine uses."""
        return {machine.name: Size(_memory(machine), self._disk(machine)) for machine in self.core if machine.process}

    def failures(self) -> Iterator[str]:
        """What processes did that no process may do: exits by itself or with an error, and errors in a log."""
        for name in self.unexpected_exits:
            yield f"{name} exited by itself"
        for machine in [*self.core, *self.gateways]:
            if machine.process is not None and machine.process.poll() is not None:
                yield f"{machine.name} exited by itself with {machine.process.returncode}"
            for status in machine.exit_statuses:
                if status != 0:
                    yield f"{machine.name} exited with {status} after SIGTERM"
        for path in self.log_paths:
            text = path.read_text(errors="replace")
            if "Traceback" in text:
                yield f"{path.stem}: {text[text.index('Traceback') :][:2000]}"

    def processor_waits(self) -> dict[str, int]:
        """Microseconds for which each running core process has waited for a processor so far."""
        return {machine.name: _processor_wait(machine) for machine in self.core if machine.process}

    def sync_probe(self) -> None:
        """Writes a little to the disk of all machines and waits for it."""
        with open(self._path / "probe", "ab") as probe:
            probe.write(bytes(PROBE_BYTES))
            os.fsync(probe.fileno())

    def copy_logs(self, directory: Path) -> None:
        """Copies what the processes have logged."""
        for path in self.log_paths:
            shutil.copy(path, directory)

    def backend_ip(self, number: int) -> str:
        """An address for a backend of the test."""
        return f"{self._network}.{FIRST_BACKEND_HOST + number}"

    def close(self) -> None:
        """Kills every process and deletes the directory."""
        for machine in [*self.core, *self.gateways]:
            self.kill(machine)
        self._directory.cleanup()

    def _take(self, machine: Machine) -> subprocess.Popen[bytes] | None:
        process, machine.process = machine.process, None
        if process is not None and machine.stop_requested_at is None and process.poll() is not None:
            self.unexpected_exits.append(machine.name)
        return process

    def _disk(self, machine: Machine) -> int:
        return sum(path.stat().st_size for path in (self._path / machine.name).rglob("*") if path.is_file())

    def _new_core(self, seeds: list[str], bootstrap: bool) -> Machine:
        number = self._hosts_used
        self._hosts_used += 1
        ip = f"{self._network}.{number + 1}"
        name, ctl = f"{CORE}-{number + 1}", f"{ip}:{self._first_port}"
        head = f'voting = true\nbootstrap = {str(bootstrap).lower()}\ndatadir = "{self._path / name}"\n'
        path = self._write_settings(name, ip, number, head, seeds, f'bind = {{ ctl = "{ctl}" }}')
        return Machine(name, CORE, ip, ctl, path)

    def _new_gateway(self, number: int, seeds: list[str]) -> Machine:
        ip = f"{self._network}.{FIRST_GATEWAY_HOST + number}"
        name, http, readyz = f"{GATEWAY}-{number + 1}", f"{ip}:{self._first_port + 1}", f"{ip}:{self._first_port + 2}"
        bind = f'bind = {{ http = "{http}", readyz = "{readyz}" }}'
        path = self._write_settings(name, ip, number, "voting = false\nbootstrap = true\n", seeds, bind)
        return Machine(name, GATEWAY, ip, "", path, http)

    def _write_settings(self, name: str, ip: str, number: int, head: str, seeds: list[str], bind: str) -> Path:
        path = self._path / f"{name}.toml"
        path.write_text(f"""[self]
node = "{name}"
ip = "{ip}"
az = "{ZONES[number % len(ZONES)]}"
{head}[self.limits]
mem-mb = 296
nofile = 4096
[network]
port-range = [{self._first_port + 3}, {self._first_port + 4}]
seeds = [{", ".join(f'"{address}"' for address in seeds)}]
{bind}
[network.azs]
{"".join(f'{zone} = "here"' + chr(10) for zone in ZONES)}[infra]
beat = "1500ms"
cfg-mode = "highest"
[terms]
clauses = [{", ".join(f'"{clause}"' for clause in self._clauses)}]
[terms.tolerance]
nodes = 1
[terms.bounds]
grace = "6s"
sync_time = "4s"
recover = "15s"
retain = "20s"
release = "1500ms"
""")
        return path


def _memory(machine: Machine) -> int:
    assert machine.process is not None
    try:
        return int(Path(f"/proc/{machine.process.pid}/statm").read_text().split()[1]) * PAGE_BYTES
    except (OSError, IndexError):
        return 0


def _processor_wait(machine: Machine) -> int:
    assert machine.process is not None
    try:
        return int(Path(f"/proc/{machine.process.pid}/schedstat").read_text().split()[1]) // 1_000
    except (OSError, IndexError):
        return 0


def _free_ports(ip: str) -> int:
    """The first of consecutive ports that are free on every loopback address."""
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            first = int(probe.getsockname()[1])
        if first + PORT_COUNT < 65536 and all(_is_free(first + number) for number in range(PORT_COUNT)):
            return first


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("0.0.0.0", port))
        except OSError:
            return False
    return True
