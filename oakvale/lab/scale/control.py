"""How the run speaks with what it started: questions in the system's own frames, on one connection to each process,
which also answers `status`; and what the operating system says of a process."""

from __future__ import annotations

import os
import socket
import sys
import time
from collections.abc import Callable
from typing import Any

from oakvale.base.address import Address
from oakvale.base.limits import MB, SECOND, Limits
from oakvale.base.loop import READ, Clock, Coroutine, Loop, Rank
from oakvale.lifecycle import daybook
from oakvale.mains.frames import BadFrame, decode, encode
from oakvale.mains.links import Mains

TICKS = os.sysconf("SC_CLK_TCK")


class Silent(Exception):
    """Who was asked did not answer in time; one line."""


class Control:
    """A connection to one process. Each question waits for its answer."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._sock: socket.socket | None = None
        self._number = 0

    def ask(self, kind: str, body: Any = None, timeout: float = 10.0) -> Any:
        """Raises Silent."""
        due = time.monotonic() + timeout
        self._number += 1
        came = bytearray()
        try:
            if self._sock is None:
                self._sock = socket.create_connection(self.address, timeout)
            self._sock.settimeout(timeout)
            self._sock.sendall(encode(kind, self._number, body))
            while True:
                self._sock.settimeout(max(0.01, due - time.monotonic()))
                data = self._sock.recv(1 << 20)
                if not data:
                    raise Silent("closed without an answer")
                came += data
                for sort, number, answer in decode(came):
                    if not sort and number == self._number:
                        return answer
        except (OSError, BadFrame, Silent) as error:
            self.close()
            raise Silent(f"{self.address[0]}:{self.address[1]}: {kind}: {error}") from error

    def close(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None


def used(pid: int) -> dict[str, float]:
    """Seconds of processor time, megabytes now and at most, descriptors. Raises OSError where it has ended."""
    with open(f"/proc/{pid}/stat", "rb") as file:
        fields = file.read().rpartition(b")")[2].split()
    cpu = (int(fields[11]) + int(fields[12])) / TICKS
    found = {"cpu_s": cpu, "mb": 0.0, "most_mb": 0.0}
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            name, _, value = line.partition(":")
            if name in ("VmRSS", "VmHWM"):
                found["mb" if name == "VmRSS" else "most_mb"] = int(value.split()[0]) / 1024
    return found | {"fds": len(os.listdir(f"/proc/{pid}/fd"))}


def quantile(found: list[float], share: float) -> float:
    return round(sorted(found)[min(len(found) - 1, int(share * len(found)))], 1) if found else -1.0


# ---- in a process that was started


def hollow_loop() -> Loop:
    """The loop of a process that holds many hollow parts, which writes errors alone. It ends with its starter, whose
    end closes standard input."""
    daybook.configure("error", 5)
    limits = Limits.fill(
        sockets=16_000,
        memory=4096 * MB,
        connect=SECOND,
        backend_idle=9 * SECOND,
        counter_timeout=SECOND,
        requests=4_000,
    )
    loop = Loop(Clock(), limits)

    def watch() -> Coroutine:
        while True:
            yield READ, 0
            if not os.read(0, 4096):
                loop.stop()
                return

    loop.start(watch(), sys.stdin.fileno(), Rank.DISCOVERY)
    return loop


def answers(loop: Loop, address: Address, calls: dict[str, Callable[[Any], Any]]) -> None:
    mains = Mains(loop, address)
    for kind, call in calls.items():
        mains.handlers[kind] = lambda conn, body, answer, call=call: answer(call(body))  # type: ignore[misc]
    mains.listen()
