"""A demo backend that follows PROTOCOL: it sends heartbeats, runs its requests and marks all others `Not-Run`."""

from __future__ import annotations

import hashlib
import secrets
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from oakvale.demo.control_client import ControlClient, NoResponse

HEARTBEAT_INTERVAL_S = 0.5


class Backend:
    """An HTTP server and a thread that sends heartbeats to the control plane."""

    def __init__(self, address: tuple[str, int], service: str, zone: str, ctl_addresses: list[str]) -> None:
        """Raises OSError if it can't listen on the address."""
        self.id, self.service = f"i-{secrets.token_hex(4)}", service
        self.ran: list[str] = []  # ids of the attempts it has run
        self._stop_event = threading.Event()
        self._client = ControlClient(ctl_addresses, self._stop_event)
        self._server = ThreadingHTTPServer(address, self._handler_class())
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
            threading.Thread(target=self._send_heartbeats, daemon=True),
        ]

    def start(self) -> None:
        """Starts serving and sending heartbeats."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops both threads and closes the listener."""
        self._stop_event.set()
        self._server.shutdown()
        self._server.server_close()
        for thread in self._threads:
            thread.join(3)

    def _send_heartbeats(self) -> None:
        calls = 0
        while not self._stop_event.is_set():
            calls += 1
            try:
                self._client.call("POST", f"/oakvale/Backends.Heartbeat/{self.id}", self._report | {"calls": calls}, 3)
            except NoResponse:
                pass  # the next heartbeat carries the same report
            self._stop_event.wait(HEARTBEAT_INTERVAL_S)

    def _handler_class(self) -> type[BaseHTTPRequestHandler]:
        backend = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                if self.path == "/healthz":
                    return self._respond(200, b"", {"Served-By": backend.id})
                attempt_id = self.headers.get("Attempt-Id")
                if attempt_id is None:
                    return self._respond(400, b"no id\n", {"Not-Run": "1"})
                if self.headers.get("Backend", backend.id) != backend.id:
                    return self._respond(421, b"another's\n", {"Not-Run": "1", "Attempt-Id": attempt_id})
                request_body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                backend.ran.append(attempt_id)
                body = (
                    f"{self.command} {self.path} with {len(request_body)} bytes, run by {backend.id} "
                    f"for {self.headers.get('Tenant', 'nobody')}\n"
                ).encode()
                seal = hashlib.blake2b(attempt_id.encode() + body, digest_size=8).hexdigest()
                self._respond(200, body, {"Attempt-Id": attempt_id, "Seal": seal})

            do_POST = do_GET

            def _respond(self, status: int, body: bytes, headers: dict[str, str]) -> None:
                self.send_response(status)
                for name, value in headers.items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, format: str, *args: object) -> None:
                pass

        return Handler
