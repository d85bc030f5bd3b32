"""What the sides that speak HTTP share: reading into pooled buffers, rules on headers."""

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
    """Headers that pass a proxy: none that speak of this connection or of this message's framing."""
    kept = [(k, v) for k, v in headers if k not in HOP_BY_HOP and k not in without]
    for name, value in headers:
        if name == b"connection":
            named = {option.strip().lower() for option in value.split(b",")}
            kept = [(k, v) for k, v in kept if k not in named]
    return kept


def read_available(sock: Sock, http: h11.Connection, pool: BufferPool, stamped: bool) -> int | None:
    """Hands the parser what has come; gives the stamp of its arrival (0: none), None where nothing had come.
    Raises OSError when the connection broke."""
    buffer = pool.acquire()
    try:
        count, arrived = read_timestamped(sock, buffer) if stamped else (sock.recv_into(buffer), 0)
        http.receive_data(bytes(buffer[:count]))
        return arrived
    except BlockingIOError:
        return None
    finally:
        pool.release(buffer)


def read_more(sock: Sock, http: h11.Connection, pool: BufferPool, due: int, stamped: bool = False) -> Step[int]:
    """Waits until the parser has been given something new; gives the stamp of its arrival. Raises Gone. What has
    come when the time is over counts: whoever sent it was in time."""
    while True:
        late = (yield READ, due) == TIMED_OUT
        try:  # also when woken: what came with a new connection is read at once
            if (arrived := read_available(sock, http, pool, stamped)) is not None:
                return arrived
        except OSError as error:
            raise ConnectionLost() from error
        if late:
            raise ConnectionLost(timed_out=True)
