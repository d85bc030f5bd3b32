"""A stand-in backend, written from PROTOCOL: it beats, runs what is meant for it, and says with `Not-Run` what not."""

from __future__ import annotations

import hashlib
import secrets
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from oakvale.demo.control_client import ControlClient, NoResponse

BEAT = 0.5  # seconds


class Backend:
    def __init__(self, address: tuple[str, int], service: str, zone: str, ctl: list[str]) -> None:
        """Raises OSError where it can't listen."""
        self.id, self.service = f"i-{secrets.token_hex(4)}", service
        self.ran: list[str] = []  # ids of the attempts that it ran
        self._ends = threading.Event()
        self._caller = ControlClient(ctl, self._ends)
        self._server = ThreadingHTTPServer(address, self._handler())
        self._server.daemon_threads = True
        self._report = {
            "svc": service,
            "addr": f"{address[0]}:{self._server.server_address[1]}",
            "az": zone,
            "gen": "v1",
            "slots": 2,
            "state": "ready",
            "warmup_time": "0ms",
            "calls": 0,
        }
        self._threads = [
            threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True),
            threading.Thread(target=self._beat, daemon=True),
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._ends.set()
        self._server.shutdown()
        self._server.server_close()
        for thread in self._threads:
            thread.join(3)

    def _beat(self) -> None:
        calls = 0
        while not self._ends.is_set():
            calls += 1
            try:
                self._caller.call("POST", f"/oakvale/Backends.Heartbeat/{self.id}", self._report | {"calls": calls}, 3)
            except NoResponse:
                pass  # the next beat says the same
            self._ends.wait(BEAT)

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        backend = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                if self.path == "/healthz":
                    return self._answer(200, b"", {"Served-By": backend.id})
                own = self.headers.get("Attempt-Id")
                if own is None:
                    return self._answer(400, b"no id\n", {"Not-Run": "1"})
                if self.headers.get("Backend", backend.id) != backend.id:
                    return self._answer(421, b"another's\n", {"Not-Run": "1", "Attempt-Id": own})
                taken = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                backend.ran.append(own)
                body = (
                    f"{self.command} {self.path} with {len(taken)} bytes, run by {backend.id} "
                    f"for {self.headers.get('Tenant', 'nobody')}\n"
                ).encode()
                seal = hashlib.blake2b(own.encode() + body, digest_size=8).hexdigest()
                self._answer(200, body, {"Attempt-Id": own, "Seal": seal})

            do_POST = do_GET

            def _answer(self, status: int, body: bytes, headers: dict[str, str]) -> None:
                self.send_response(status)
                for name, value in headers.items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, format: str, *args: object) -> None:
                pass

        return Handler
