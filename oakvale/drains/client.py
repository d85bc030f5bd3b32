"""HTTP client of the command line for drains; it follows redirects of the core machines to the primary."""

from __future__ import annotations

import http.client
import json
import time
from typing import Any
from urllib.parse import quote, urlsplit

RETRY_PAUSE_S = 0.3  # between two rounds over the addresses


class DrainRequestError(Exception):
    """A request was refused or got no clear response; the message is one line."""

    def __init__(self, reason: str, body: Any = None) -> None:
        super().__init__(reason)
        self.body = body


def call_control_plane(
    addresses: list[tuple[str, int]], verb: str, name: str, body: dict[str, Any] | None, timeout: float
) -> Any:
    """Returns the JSON of the response. Repeats the request until the outcome is known, which is safe since orders
    are identified by their name.

    Raises DrainRequestError."""
    deadline, reason = time.monotonic() + timeout, "no address was given"
    path = f"/oakvale/{verb}" + (f"/{quote(name, safe='')}" if name else "")
    while True:
        for address in addresses:
            current, target_path = address, path
            for _ in range(3):  # follows up to two redirects
                try:
                    status, headers, raw = _send_once(
                        current, target_path, body, min(2.0, max(0.1, deadline - time.monotonic()))
                    )
                except (OSError, http.client.HTTPException) as error:
                    reason = f"{current[0]}:{current[1]}: {error}"
                    break
                if status == 307 and headers.get("location"):
                    parts = urlsplit(headers["location"])
                    current, target_path = (parts.hostname or "", parts.port or 80), parts.path
                    continue
                response = json.loads(raw) if raw.strip().startswith(b"{") else {"error": raw.decode(errors="replace")}
                if status == 200:
                    return response
                reason = str(response.get("error", status)).strip()
                if status < 500:
                    raise DrainRequestError(reason, response)
                break
        if time.monotonic() >= deadline:
            raise DrainRequestError(reason)
        time.sleep(RETRY_PAUSE_S)


def _send_once(
    address: tuple[str, int], path: str, body: dict[str, Any] | None, timeout: float
) -> tuple[int, dict[str, str], bytes]:
    """Sends one request; returns status, headers with lower-case names, and body."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        if body is None:
            connection.request("GET", path)
        else:
            connection.request("POST", path, json.dumps(body), {"Content-Type": "application/json"})
        response = connection.getresponse()
        return response.status, {name.lower(): value for name, value in response.getheaders()}, response.read()
    finally:
        connection.close()


def format_lines(response: dict[str, Any]) -> list[str]:
    """Formats a response for people."""
    lines = [f"time {response['time']}"] if "time" in response else []
    for order in response.get("orders", []):
        lines.append(
            f"order {order['id']}: {order['kind']} {order['target']}, {order['state']}"
            + (f" ({order['reason']})" if order["reason"] else "")
            + f", by {order['by']}: {order['why']}, due {order['due']}"
            + (f", empty {order['empty']}" if order["empty"] else "")
        )
    for move in response.get("moves", []):
        names = ", ".join(name or "public routes" for name in move.get("tenants", [move.get("tenant")]))
        hours = f"hours {move['opens'] or 'always'} to {move['closes'] or 'always'}"
        if "state" in move:
            lines.append(
                f"  {move['node']} {names}: {move['state']}, moved {move['moved']}, done {move['done'] or '-'}, "
                f"in flight {move['in_flight']}" + (f", not heard {move['unheard']}" if move["unheard"] else "")
            )
        elif move["moves"]:
            lines.append(f"  {move['node']} {names}: moves {move['moves']}, {hours}")
        else:
            lines.append(f"  {move['node']} {names}: stays, {move['why']}; next {hours}")
    for event in response.get("outside", []):
        lines.append(f"outside hours: {event['backend']} {event['tenant']} at {event['at']} ({event['why']})")
    if "obstacles" in response:
        lines.append(f"empty {response['empty']}" if response["empty"] else "never empty")
        lines += [f"in the way: {obstacle}" for obstacle in response["obstacles"]]
    return lines
