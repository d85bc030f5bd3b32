"""Processor time of a request through `oakvale serve`, one tree against another in pairs: no test, but a measurement.

    python -m tests.cpu_comparison OLD NEW [--requests N] [--pairs N]

Each run starts the program from its tree beside stand-ins of a backend, a counter and discovery, sends requests one
after another over a few kept connections, and reads what the process has used of user and system time meanwhile. Runs
go old, new, old, new; the median of the pairs' ratios is told. The stand-ins' own work is not in it.
"""

from __future__ import annotations

import argparse
import json
import os
import socket
import statistics
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory

from tests.node import SETTINGS, answer, chunk, request, row

CLIENTS = 8
WARM = 300  # requests before the time is read
TICK = os.sysconf("SC_CLK_TCK")


def party(serve: Callable[[socket.socket], None]) -> str:
    """A stand-in with a thread for each connection; the address that it listens on."""
    listener = socket.create_server(("127.0.0.1", 0))

    def accept() -> None:
        while True:
            threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return "%s:%d" % listener.getsockname()  # noqa: UP031


def replies(sock: socket.socket, end: bytes, reply: Callable[[bytes], bytes]) -> None:
    """Answers each message that ends with `end`, until the other side closes."""
    data = b""
    try:
        while more := sock.recv(65536):
            *whole, data = (data + more).split(end)
            if whole:
                sock.sendall(b"".join(map(reply, whole)))
    except OSError:
        pass


def backend(sock: socket.socket) -> None:
    replies(sock, b"\r\n\r\n", lambda _: answer(body=b"x" * 200))


def counter(sock: socket.socket) -> None:
    replies(sock, b"\r\n", lambda line: b"ok %s\r\n" % line.split()[2])


def discovery(sock: socket.socket) -> None:
    """Nothing ever changes, which is said each second."""
    try:
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            sock.sendall(chunk(None))
            time.sleep(1)
    except OSError:
        pass


def used(pid: int) -> int:
    """User and system time of a process so far, in ticks."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


def ask(sock: socket.socket, rid: int) -> None:
    sock.sendall(request(f"{rid:016x}", X_Customer=f"c{rid % 20}"))
    reply = sock.recv(65536)
    assert reply.startswith(b"HTTP/1.1 200"), reply[:100]


def run(tree: Path, requests: int) -> float:
    """Microseconds of processor time a request."""
    free = socket.create_server(("127.0.0.1", 0))
    address = free.getsockname()
    free.close()
    known = {"index": 1, "snapshot": True, "endpoints": [row(f"s-{n}", party(backend)) for n in range(4)]}
    plan = {"name": "team", "perSecond": 1e6, "depth": 1e6, "valueFactor": 1.0}  # nothing is to be refused
    told = {
        "name": "n0",
        "listen": "%s:%d" % address,  # noqa: UP031
        "seed": "8c1f30d27a5be964",
        "known": known,
        "discovery": party(discovery),
        "counter": party(counter),
        "limits": {"sockets": 1024},
        "settings": {**SETTINGS, "tiersOfService": [plan]},
    }
    with TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(told))
        process = subprocess.Popen(
            [sys.executable, "-m", "oakvale", "serve", "--log-level", "warning"],
            cwd=tree,
            env={**os.environ, "LB_CONFIG": str(path), "PYTHONPATH": str(tree)},
        )
        try:
            clients: list[socket.socket] = []
            while not clients:
                try:
                    clients.append(socket.create_connection(address))
                except ConnectionRefusedError:
                    assert process.poll() is None, "it has ended"
            clients += [socket.create_connection(address) for _ in range(CLIENTS - 1)]
            for n in range(WARM):
                ask(clients[n % CLIENTS], n)
            before = used(process.pid)
            for n in range(WARM, WARM + requests):
                ask(clients[n % CLIENTS], n)
            return (used(process.pid) - before) * 1e6 / TICK / requests
        finally:
            process.terminate()
            process.wait()


def main() -> None:
    words = argparse.ArgumentParser(description="Processor time of a request, two trees in pairs.")
    words.add_argument("old", type=Path)
    words.add_argument("new", type=Path)
    words.add_argument("--requests", type=int, default=4000)
    words.add_argument("--pairs", type=int, default=7)
    args = words.parse_args()
    ratios = []
    for _ in range(args.pairs):
        old, new = run(args.old.resolve(), args.requests), run(args.new.resolve(), args.requests)
        ratios.append(new / old)
        print(f"old {old:.0f} us, new {new:.0f} us a request, ratio {new / old:.3f}", flush=True)
    print(f"median ratio {statistics.median(ratios):.3f} of {args.pairs} pairs")


if __name__ == "__main__":
    main()
