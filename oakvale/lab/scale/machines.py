"""What a scale run starts: machines on loopback, each with an address of its own and all with the same ports."""

from __future__ import annotations

import http.client
import json
import os
import secrets
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import oakvale
from oakvale.base.address import Address
from oakvale.lab.scale.control import Control, Silent, used
from oakvale.lab.scale.sizes import BEAT, CORE, NAMES, ZONES, Size

ROOT = Path(oakvale.__file__).parent.parent
REAL = 2  # gateways that are processes of their own
PER_WORKER = 30  # hollow gateways in one process
BEATERS = 4  # processes of backends, at most
LOST = "b1"  # the zone that is killed: a core machine stands in it
FILES = 16_000  # descriptors that a core machine is told it has: each backend's beat is a connection


class Unfinished(Exception):
    """A step that came to no end in its time; one line."""


class Machines:
    def __init__(self, size: Size, beat: float = BEAT) -> None:
        self.size, self._beat = size, beat
        self._folder = tempfile.TemporaryDirectory(prefix="oakvale-scale-")
        self._net = f"127.{64 + secrets.randbelow(128)}"
        self._port = _free(6)  # ctl, http, readyz, mains of the core and of gateways, control
        self._words: dict[str, list[str]] = {}  # process -> how it is started
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        self.controls: dict[str, Control] = {}
        self.groups: dict[str, list[str]] = {"tenth": [], f"zone {LOST}": []}  # what is killed together
        self.core = [f"core-{n}" for n in range(len(CORE))]
        self._addresses = {name: f"{self._net}.0.{n + 1}" for n, name in enumerate(self.core)}
        self.ctl: list[Address] = [(self._addresses[name], self._port) for name in self.core]
        self.real: list[str] = []
        self.workers: list[str] = []
        self.beaters: list[str] = []
        self._lay_out()

    # ---- what there is

    def _lay_out(self) -> None:
        for n, name in enumerate(self.core):
            ip = self._addresses[name]
            self._process(name, "headworks", self._settings(name, ip, CORE[n], True), (ip, self._port + 3))
            if CORE[n] == LOST:
                self.groups[f"zone {LOST}"].append(name)
        shared: dict[str, list[dict[str, Any]]] = {}  # of a worker: settings
        for n in range(self.size.gateways):
            node, zone, ip = f"gate-{n}", NAMES[n % len(NAMES)], f"{self._net}.{1 + n // 200}.{1 + n % 200}"
            told = self._settings(node, ip, zone, False)
            if n < REAL:
                self.real.append(node)
                self._process(node, "sluice", told, (ip, self._port + 4))
                continue
            group = "tenth" if n % 10 == 5 else f"zone {zone}" if zone == LOST else "others"
            shared.setdefault(group, []).append(told)
        for group, gateways in shared.items():
            parts = -(-len(gateways) // PER_WORKER)
            for part in range(parts):
                name = f"{group} {part}"
                self.workers.append(name)
                if group in self.groups:
                    self.groups[group].append(name)
                self._worker(name, "gateways", {"gateways": gateways[part::parts], "tenants": self.size.tenants})
        parts = min(BEATERS, -(-self.size.backends // 100))
        listed = [
            [
                f"b{n}",
                f"svc-{n % self.size.services}",
                NAMES[n // self.size.services % len(NAMES)],
                f"{self._net}.{100 + n // 200}.{1 + n % 200}:9000",
            ]
            for n in range(self.size.backends)
        ]
        for part in range(parts):
            self.beaters.append(f"backends {part}")
            self._worker(
                self.beaters[-1], "beaters", {"ctl": self.ctl, "beat": self._beat, "backends": listed[part::parts]}
            )

    def _settings(self, node: str, ip: str, zone: str, core: bool) -> dict[str, Any]:
        bind = (
            {"ctl": f"{ip}:{self._port}"}
            if core
            else {"http": f"{ip}:{self._port + 1}", "readyz": f"{ip}:{self._port + 2}"}
        )
        own: dict[str, Any] = {
            "node": node,
            "ip": ip,
            "az": zone,
            "rgn": ZONES[zone],
            "voting": core,
            "bootstrap": True,
            "limits": {"mem-mb": 600, "nofile": FILES},
        }
        if core:
            own["datadir"] = str(Path(self._folder.name) / node)
        return {
            "self": own,
            "network": {
                "port-range": [self._port + 3, self._port + 4],
                "seeds": [f"{self._addresses[name]}:{self._port}" for name in self.core[:3]],
                "bind": bind,
                "azs": ZONES,
            },
            "infra": {"beat": f"{round(self._beat * 1000)}ms"},
            "terms": {"tolerance": {"nodes": 1}},
        }

    def _process(self, name: str, role: str, told: dict[str, Any], mains: Address) -> None:
        import tomli_w

        self._file(name, "toml").write_text(tomli_w.dumps(told))
        self._words[name] = ["-m", "oakvale", role]
        self.controls[name] = Control(mains)

    def _worker(self, name: str, module: str, spec: dict[str, Any]) -> None:
        address = (f"{self._net}.250.{len(self.controls) + 1}", self._port + 5)
        self._file(name, "json").write_text(json.dumps(spec | {"control": address}))
        self._words[name] = ["-m", f"oakvale.lab.scale.{module}", str(self._file(name, "json"))]
        self.controls[name] = Control(address)

    def _file(self, name: str, kind: str) -> Path:
        return Path(self._folder.name) / f"{name.replace(' ', '-')}.{kind}"

    # ---- starting and killing

    def start(self, names: list[str]) -> None:
        for name in names:
            environment = {**os.environ, "OAKVALE_SETTINGS": str(self._file(name, "toml")), "PYTHONPATH": str(ROOT)}
            with open(self._file(name, "log"), "ab") as log:
                self._running[name] = subprocess.Popen(
                    [sys.executable, *self._words[name]],
                    cwd=self._folder.name,
                    stdin=subprocess.PIPE,
                    stdout=log,
                    stderr=log,
                    env=environment,
                )

    def kill(self, names: list[str]) -> None:
        """All at the same moment, with SIGKILL."""
        gone = [self._running.pop(name) for name in names]
        for process in gone:
            process.kill()
        for name, process in zip(names, gone, strict=True):
            process.wait()
            if process.stdin is not None:
                process.stdin.close()
            self.controls[name].close()

    def stop(self) -> None:
        for control in self.controls.values():
            control.close()
        self.kill(list(self._running))
        self._folder.cleanup()

    def up(self, names: list[str]) -> list[str]:
        return [name for name in names if name in self._running]

    def ended(self) -> list[str]:
        """Those that ended by themselves, with the last line that they wrote."""
        found = []
        for name, process in self._running.items():
            if process.poll() is not None:
                lines = self._file(name, "log").read_text(errors="replace").splitlines()
                found.append(f"{name}: {process.returncode}: {(lines or [''])[-1][:300]}")
        return found

    def used(self) -> dict[str, dict[str, float]]:
        return {name: used(process.pid) for name, process in self._running.items() if process.poll() is None}

    def log(self, name: str) -> str:
        return self._file(name, "log").read_text(errors="replace")

    # ---- asking

    def ask(self, name: str, kind: str, body: Any = None, timeout: float = 10.0) -> Any:
        """Raises Silent."""
        return self.controls[name].ask(kind, body, timeout)

    def listens(self, names: list[str], within: float) -> None:
        """Waits until all of them answer. Raises Unfinished."""
        due = time.monotonic() + within
        for name in names:
            while True:
                try:
                    self.ask(name, "status" if name in self.core or name in self.real else "look", timeout=20)
                    break
                except Silent as error:
                    if time.monotonic() > due or self.ended():
                        raise Unfinished(f"no start: {'; '.join(self.ended()) or error}") from error
                    time.sleep(0.05)

    def standing(self) -> dict[str, dict[str, Any]]:
        """Of each core machine that answers."""
        found = {}
        for name in self.up(self.core):
            try:
                found[name] = self.ask(name, "status", timeout=2)
            except Silent:
                pass
        return found

    def order(self, body: bytes, within: float) -> float:
        """A configuration, from one core machine to the next until it is acknowledged; milliseconds. Raises
        Unfinished."""
        began, turn, last = time.monotonic(), 0, "nobody asked"
        while time.monotonic() - began < within:
            host, port = self.ctl[turn % len(self.ctl)]
            for _ in range(3):
                connection = http.client.HTTPConnection(host, port, timeout=4)  # a second, and one for each megabyte
                try:
                    connection.request("POST", "/oakvale/Config.Replace", body)
                    reply = connection.getresponse()
                    text, to = reply.read(), reply.headers.get("Location")
                    last = f"{reply.status} {text[:100]!r}"
                except (OSError, http.client.HTTPException) as error:
                    last = repr(error)
                    break
                finally:
                    connection.close()
                if reply.status == 200:
                    return (time.monotonic() - began) * 1e3
                if reply.status != 307 or to is None:
                    break
                place = urlsplit(to)
                host, port = place.hostname or host, place.port or port
            turn += 1
            time.sleep(0.05)
        raise Unfinished(f"no acknowledgement of a configuration in {within:g} s: {last}")


def _free(count: int) -> int:
    """The first of so many ports in a row that nothing listens on, on any address."""
    while True:
        first = 10_000 + secrets.randbelow(20_000)
        for port in range(first, first + count):
            with socket.socket() as probe:
                try:
                    probe.bind(("0.0.0.0", port))
                except OSError:
                    break
        else:
            return first
