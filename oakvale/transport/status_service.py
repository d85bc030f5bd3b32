"""Standing: what a process says of itself when it is asked over the mains (`oakvale status`), and notes in its log
at intervals. Values are numbers and short texts; ages are in milliseconds of the steady clock.
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

EACH = 30_000_000  # microseconds between two notes
KIND = "status"
MS = 1_000

log_event = EventLogger(__name__)

Fields = dict[str, Any]


class Silent(Exception):
    """Who was asked did not answer; one line."""


def offer(transport: Transport, role: str, node: str, tell: Callable[[], Fields]) -> None:
    """Answers whoever asks, and notes the same at intervals."""
    loop, began = transport.loop, transport.loop.now

    def standing() -> Fields:
        (cpu, memory), (out, come) = loop.net.used(), transport.links()
        return (
            {"role": role, "node": node, "up_ms": (loop.now - began) // MS}
            | tell()
            | {
                "links_out": out,
                "links_in": come,
                "sent_bytes": transport.sent.total(),
                "turns": loop.turns,
                "cpu_ms": round(cpu * 1000),
                "memory_mb": memory,
            }
            | {f"sent.{kind}": count for kind, count in sorted(transport.sent.items())}
        )

    def again(_: Any) -> None:
        loop.at(loop.now + EACH, again)
        log_event("standing", **standing())

    transport.handlers[KIND] = lambda conn, body, answer: answer(standing())
    loop.at(loop.now + EACH, again)


def by_service(backends: Iterable[tuple[str, str]]) -> Fields:
    """Counts from pairs of service and state."""
    counts = Counter(backends)
    return {f"backends.{service}.{state}": count for (service, state), count in sorted(counts.items())}


def inquire(address: Address, timeout: float, kind: str = KIND) -> Mapping[str, Any]:
    """Asks from outside a loop; raises Silent."""
    due = time.monotonic() + timeout
    came = bytearray()
    try:
        with socket.create_connection(address, timeout) as sock:
            sock.sendall(encode(kind, 1, None))
            while True:
                sock.settimeout(max(0.01, due - time.monotonic()))
                data = sock.recv(65536)
                if not data:
                    raise Silent("closed without an answer")
                came += data
                for sort, number, body in decode(came):
                    if not sort and number == 1 and isinstance(body, dict):
                        return body
                if time.monotonic() > due:
                    raise Silent("no answer in time")
    except (OSError, BadFrame) as error:
        raise Silent(str(error)) from error
