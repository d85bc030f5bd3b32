"""A client of the control API `ctl` that follows the rules of PROTOCOL for backends and operators.

It tries the core machines in turn, follows up to two 307 redirects, and moves on to the next machine after a
connection failure, a 5xx, 408 or 429 status, or a second without a response.
"""

from __future__ import annotations

import http.client
import json
import threading
import time
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

RESPONSE_TIMEOUT_S = 1.0
FINAL_STATUSES = (400, 409, 412, 413, 422)  # errors that another attempt would not change


@dataclass(slots=True, frozen=True)
class Response:
    """Status and body of an HTTP response."""

    status: int
    body: bytes


class NoResponse(Exception):
    """No machine gave a final response in time."""


def send_request(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = RESPONSE_TIMEOUT_S,
) -> tuple[Response, str | None]:
    """Sends one request; returns the response and its Location header. Raises OSError, HTTPException."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Response(response.status, response.read()), response.getheader("Location")
    finally:
        connection.close()


class ControlClient:
    """Calls the control API through any of several core machines."""

    def __init__(self, addresses: list[str], stop_event: threading.Event) -> None:
        self._addresses, self._stop_event, self._next = addresses, stop_event, 0
        self.last = ""  # the address that gave the last response

    def call(self, method: str, path: str, body: Any = None, within: float = 10.0) -> Response:
        """Repeats a request until a final response comes; raises NoResponse after `within` seconds or when stopped."""
        data = None if body is None else json.dumps(body).encode()
        deadline, pause_s = time.monotonic() + within, 0.05
        while time.monotonic() < deadline and not self._stop_event.is_set():
            response = self._try(method, path, data)
            if response is not None and (response.status < 400 or response.status in FINAL_STATUSES):
                return response
            self._next += 1
            self._stop_event.wait(min(pause_s, 0.5))
            pause_s *= 1.5
        raise NoResponse(f"{method} {path}: no final response within {within:g} s")

    def _try(self, method: str, path: str, data: bytes | None) -> Response | None:
        address = self._addresses[self._next % len(self._addresses)]
        try:
            for _ in range(3):
                response, location = send_request(address, method, path, data, {"Content-Type": "application/json"})
                if response.status != 307 or not location:
                    self.last = address
                    return response
                target = urlsplit(location)
                address, path = target.netloc, target.path
        except (OSError, http.client.HTTPException):
            pass
        return None
