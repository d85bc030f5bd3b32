"""Status of a process: returned over the transport on request (`oakvale status`) and logged at intervals.

Values are numbers and short texts; ages are in milliseconds of the monotonic clock.
"""

from __future__ import annotations

import socket
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from oakvale.base.address import Address
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.transport.frames import BadFrame, decode, encode
from oakvale.transport.links import Transport

LOG_INTERVAL_US = 30_000_000
STATUS_KIND = "status"
US_PER_MS = 1_000

log_event = EventLogger(__name__)

Fields = dict[str, Any]


class NoResponse(Exception):
    """The process did not answer; the message is a single line."""


def serve_status(transport: Transport, role: str, node: str, own_fields: Callable[[], Fields]) -> None:
    """Answers status requests and logs the same fields at intervals."""
    loop, started_at = transport.loop, transport.loop.now

    def status_fields() -> Fields:
        (cpu_seconds, memory_mb), (outgoing, incoming) = loop.net.resource_usage(), transport.connection_counts()
        return (
            {"role": role, "node": node, "up_ms": (loop.now - started_at) // US_PER_MS}
            | own_fields()
            | {
                "links_out": outgoing,
                "links_in": incoming,
                "sent_bytes": transport.sent_bytes.total(),
                "parts_in_flight": transport.parts_in_flight,
                "parts_waiting": len(transport.ready_for_part),
                "turns": loop.turns,
                "cpu_ms": round(cpu_seconds * 1000),
                "memory_mb": memory_mb,
            }
            | {f"sent.{kind}": count for kind, count in sorted(transport.sent_bytes.items())}
        )

    def log_status(_: Any) -> None:
        loop.at(loop.now + LOG_INTERVAL_US, log_status)
        log_event("standing", **status_fields())

    transport.handlers[STATUS_KIND] = lambda conn, body, answer: answer(status_fields())
    loop.at(loop.now + LOG_INTERVAL_US, log_status)


def count_by_service(backends: Iterable[tuple[str, str]]) -> Fields:
    """Status fields that count backends, given as pairs of service and state."""
    counts = Counter(backends)
    return {f"backends.{service}.{state}": count for (service, state), count in sorted(counts.items())}


def query_status(address: Address, timeout_seconds: float, kind: str = STATUS_KIND) -> Mapping[str, Any]:
    """Requests the status of a process, blocking, from outside an event loop; raises NoResponse."""
    deadline = time.monotonic() + timeout_seconds
    received = bytearray()
    try:
        with socket.create_connection(address, timeout_seconds) as sock:
            sock.sendall(encode(kind, 1, None))
            while True:
                sock.settimeout(max(0.01, deadline - time.monotonic()))
                data = sock.recv(65536)
                if not data:
                    raise NoResponse("connection closed without a response")
                received += data
                for response_kind, number, body in decode(received):
                    if not response_kind and number == 1 and isinstance(body, dict):
                        return body
                if time.monotonic() > deadline:
                    raise NoResponse("no response before the timeout")
    except (OSError, BadFrame) as error:
        raise NoResponse(str(error)) from error
