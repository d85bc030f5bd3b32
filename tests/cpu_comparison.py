"""Measures the CPU time per request of `oakvale serve`, comparing two source trees in pairs of runs. This is no test.

    python -m tests.cpu_comparison OLD NEW [--requests N] [--pairs N]

Each run starts the gateway from its tree with stubs of the backends, the counter and discovery, sends requests one
after another over a few persistent connections, and reads the user and system time that the process used meanwhile.
Runs alternate between old and new; the result is the median of the ratios of the pairs. The work of the stubs is not
included.
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

CLIENT_CONNECTIONS = 8
WARMUP_REQUESTS = 300  # sent before the measurement
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def start_stub(serve: Callable[[socket.socket], None]) -> str:
    """Starts a stub with a thread for each connection; returns its address."""
    listener = socket.create_server(("127.0.0.1", 0))

    def accept() -> None:
        while True:
            threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return "%s:%d" % listener.getsockname()  # noqa: UP031


def serve_messages(sock: socket.socket, end: bytes, reply: Callable[[bytes], bytes]) -> None:
    """Replies to each message that ends with `end`, until the peer closes the connection."""
    data = b""
    try:
        while more := sock.recv(65536):
            *whole, data = (data + more).split(end)
            if whole:
                sock.sendall(b"".join(map(reply, whole)))
    except OSError:
        pass


def serve_backend(sock: socket.socket) -> None:
    """Answers each request with 200 bytes."""
    serve_messages(sock, b"\r\n\r\n", lambda _: answer(body=b"x" * 200))


def serve_counter(sock: socket.socket) -> None:
    """Grants every request to the counter."""
    serve_messages(sock, b"\r\n", lambda line: b"ok %s\r\n" % line.split()[2])


def serve_discovery(sock: socket.socket) -> None:
    """Sends an update without changes every second."""
    try:
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            sock.sendall(chunk(None))
            time.sleep(1)
    except OSError:
        pass


def cpu_ticks(pid: int) -> int:
    """Returns the user and system time of a process so far, in clock ticks."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


def send_request(sock: socket.socket, request_id: int) -> None:
    """Sends a request and checks that it succeeds."""
    sock.sendall(request(f"{request_id:016x}", X_Customer=f"c{request_id % 20}"))
    reply = sock.recv(65536)
    assert reply.startswith(b"HTTP/1.1 200"), reply[:100]


def measure_cpu_us(tree: Path, requests: int) -> float:
    """Runs the gateway of a tree; returns the microseconds of CPU time per request."""
    reserved_port = socket.create_server(("127.0.0.1", 0))
    address = reserved_port.getsockname()
    reserved_port.close()
    known_endpoints = {
        "index": 1,
        "snapshot": True,
        "endpoints": [row(f"s-{n}", start_stub(serve_backend)) for n in range(4)],
    }
    # a quota that no request exceeds
    customer_class = {"name": "team", "perSecond": 1e6, "depth": 1e6, "valueFactor": 1.0}
    configuration = {
        "name": "n0",
        "listen": "%s:%d" % address,  # noqa: UP031
        "seed": "8c1f30d27a5be964",
        "known": known_endpoints,
        "discovery": start_stub(serve_discovery),
        "counter": start_stub(serve_counter),
        "limits": {"sockets": 1024},
        "settings": {**SETTINGS, "tiersOfService": [customer_class]},
    }
    with TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration))
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
                    assert process.poll() is None, "the gateway exited during startup"
            clients += [socket.create_connection(address) for _ in range(CLIENT_CONNECTIONS - 1)]
            for n in range(WARMUP_REQUESTS):
                send_request(clients[n % CLIENT_CONNECTIONS], n)
            before = cpu_ticks(process.pid)
            for n in range(WARMUP_REQUESTS, WARMUP_REQUESTS + requests):
                send_request(clients[n % CLIENT_CONNECTIONS], n)
            return (cpu_ticks(process.pid) - before) * 1e6 / CLOCK_TICKS_PER_SECOND / requests
        finally:
            process.terminate()
            process.wait()


def main() -> None:
    parser = argparse.ArgumentParser(description="Compares the CPU time per request of two source trees.")
    parser.add_argument("old", type=Path)
    parser.add_argument("new", type=Path)
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--pairs", type=int, default=7)
    args = parser.parse_args()
    ratios = []
    for _ in range(args.pairs):
        old, new = measure_cpu_us(args.old.resolve(), args.requests), measure_cpu_us(args.new.resolve(), args.requests)
        ratios.append(new / old)
        print(f"old {old:.0f} us, new {new:.0f} us per request, ratio {new / old:.3f}", flush=True)
    print(f"median ratio {statistics.median(ratios):.3f} of {args.pairs} pairs")


if __name__ == "__main__":
    main()
