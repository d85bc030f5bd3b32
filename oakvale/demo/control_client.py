"""Who calls `ctl`, as PROTOCOL says of backends and the operator: one machine of the core after the other, 307
followed twice, another machine after a failure, a 5xx, a 408 or 429, or a second of silence.
"""

from __future__ import annotations

import http.client
import json
import threading
import time
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

SILENCE = 1.0  # seconds
FINAL = (400, 409, 412, 413, 422)


@dataclass(slots=True, frozen=True)
class Response:
    status: int
    body: bytes


class NoResponse(Exception):
    """None that counts until the time was over."""


def send_request(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = SILENCE,
) -> tuple[Response, str | None]:
    """One exchange; the answer and the place it points to. Raises OSError, HTTPException."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        return Response(reply.status, reply.read()), reply.getheader("Location")
    finally:
        connection.close()


class ControlClient:
    def __init__(self, addresses: list[str], ends: threading.Event) -> None:
        self._addresses, self._ends, self._turn = addresses, ends, 0
        self.last = ""  # the machine that gave the last answer

    def call(self, method: str, path: str, body: Any = None, within: float = 10.0) -> Response:
        data = None if body is None else json.dumps(body).encode()
        due, pause = time.monotonic() + within, 0.05
        while time.monotonic() < due and not self._ends.is_set():
            given = self._try(method, path, data)
            if given is not None and (given.status < 400 or given.status in FINAL):
                return given
            self._turn += 1
            self._ends.wait(min(pause, 0.5))
            pause *= 1.5
        raise NoResponse(f"{method} {path}: no answer that counts in {within:g} s")

    def _try(self, method: str, path: str, data: bytes | None) -> Response | None:
        address = self._addresses[self._turn % len(self._addresses)]
        try:
            for _ in range(3):
                given, location = send_request(address, method, path, data, {"Content-Type": "application/json"})
                if given.status != 307 or not location:
                    self.last = address
                    return given
                place = urlsplit(location)
                address, path = place.netloc, place.path
        except (OSError, http.client.HTTPException):
            pass
        return None
