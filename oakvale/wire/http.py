"""Functions shared by the HTTP connections: reading through pooled buffers, and header rules."""

from __future__ import annotations

import h11

from oakvale.base.loop import READ, TIMED_OUT, Step
from oakvale.base.net import Sock
from oakvale.memory.buffers import BufferPool
from oakvale.memory.requests import Headers
from oakvale.wire.tcp import ConnectionLost, read_timestamped

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)

END_OF_MESSAGE = h11.EndOfMessage()


def end_to_end(headers: Headers, without: frozenset[bytes] = frozenset()) -> Headers:
    """The headers that a proxy forwards: without hop-by-hop headers, framing headers and those in `without`."""
    forwarded = [(k, v) for k, v in headers if k not in HOP_BY_HOP and k not in without]
    for name, value in headers:
        if name == b"connection":
            listed = {option.strip().lower() for option in value.split(b",")}
            forwarded = [(k, v) for k, v in forwarded if k not in listed]
    return forwarded


def read_available(sock: Sock, http: h11.Connection, pool: BufferPool, timestamped: bool) -> int | None:
    """Passes received bytes to the parser and returns their arrival timestamp (0 if there is none), or None if nothing
    was received. Raises OSError when the connection broke."""
    buffer = pool.acquire()
    try:
        count, arrived = read_timestamped(sock, buffer) if timestamped else (sock.recv_into(buffer), 0)
        http.receive_data(bytes(buffer[:count]))
        return arrived
    except BlockingIOError:
        return None
    finally:
        pool.release(buffer)


def read_more(
    sock: Sock, http: h11.Connection, pool: BufferPool, deadline: int, timestamped: bool = False
) -> Step[int]:
    """Waits until the parser has been given new bytes; returns their arrival timestamp. Raises ConnectionLost.

    Bytes that are readable when the time is over count, as they were sent in time."""
    while True:
        timed_out = (yield READ, deadline) == TIMED_OUT
        try:  # also when woken, as bytes may have arrived together with a new connection
            if (arrived := read_available(sock, http, pool, timestamped)) is not None:
                return arrived
        except OSError as error:
            raise ConnectionLost() from error
        if timed_out:
            raise ConnectionLost(timed_out=True)
