"""What the command line asks of a headworks about drains: over HTTP, following whoever names the primary."""

from __future__ import annotations

import http.client
import json
import time
from typing import Any
from urllib.parse import quote, urlsplit

RETRY_PAUSE_S = 0.3  # seconds between two rounds over the addresses


class DrainRequestError(Exception):
    """One line."""

    def __init__(self, why: str, body: Any = None) -> None:
        super().__init__(why)
        self.body = body


def call_control_plane(
    addresses: list[tuple[str, int]], verb: str, name: str, body: dict[str, Any] | None, timeout: float
) -> Any:
    """The answer's JSON. A call is sent again unchanged until its answer is clear: orders are known by their name.

    Raises DrainRequestError."""
    due, why = time.monotonic() + timeout, "no address was given"
    path = f"/oakvale/{verb}" + (f"/{quote(name, safe='')}" if name else "")
    while True:
        for address in addresses:
            place, target = address, path
            for _ in range(3):  # the one asked, and those that it names
                try:
                    status, headers, text = _send_once(place, target, body, min(2.0, max(0.1, due - time.monotonic())))
                except (OSError, http.client.HTTPException) as error:
                    why = f"{place[0]}:{place[1]}: {error}"
                    break
                if status == 307 and headers.get("location"):
                    parts = urlsplit(headers["location"])
                    place, target = (parts.hostname or "", parts.port or 80), parts.path
                    continue
                found = json.loads(text) if text.strip().startswith(b"{") else {"error": text.decode(errors="replace")}
                if status == 200:
                    return found
                why = str(found.get("error", status)).strip()
                if status < 500:
                    raise DrainRequestError(why, found)
                break
        if time.monotonic() >= due:
            raise DrainRequestError(why)
        time.sleep(RETRY_PAUSE_S)


def _send_once(
    address: tuple[str, int], path: str, body: dict[str, Any] | None, timeout: float
) -> tuple[int, dict[str, str], bytes]:
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        if body is None:
            connection.request("GET", path)
        else:
            connection.request("POST", path, json.dumps(body), {"Content-Type": "application/json"})
        reply = connection.getresponse()
        return reply.status, {name.lower(): value for name, value in reply.getheaders()}, reply.read()
    finally:
        connection.close()


def format_lines(told: dict[str, Any]) -> list[str]:
    """An answer for people."""
    out = [f"time {told['time']}"] if "time" in told else []
    for order in told.get("orders", []):
        out.append(
            f"order {order['id']}: {order['kind']} {order['target']}, {order['state']}"
            + (f" ({order['reason']})" if order["reason"] else "")
            + f", by {order['by']}: {order['why']}, due {order['due']}"
            + (f", empty {order['empty']}" if order["empty"] else "")
        )
    for move in told.get("moves", []):
        names = ", ".join(name or "public routes" for name in move.get("tenants", [move.get("tenant")]))
        hours = f"hours {move['opens'] or 'always'} to {move['closes'] or 'always'}"
        if "state" in move:
            out.append(
                f"  {move['node']} {names}: {move['state']}, moved {move['moved']}, done {move['done'] or '-'}, "
                f"in flight {move['in_flight']}" + (f", not heard {move['unheard']}" if move["unheard"] else "")
            )
        elif move["moves"]:
            out.append(f"  {move['node']} {names}: moves {move['moves']}, {hours}")
        else:
            out.append(f"  {move['node']} {names}: stays, {move['why']}; next {hours}")
    for found in told.get("outside", []):
        out.append(f"outside hours: {found['backend']} {found['tenant']} at {found['at']} ({found['why']})")
    if "obstacles" in told:
        out.append(f"empty {told['empty']}" if told["empty"] else "never empty")
        out += [f"in the way: {why}" for why in told["obstacles"]]
    return out
