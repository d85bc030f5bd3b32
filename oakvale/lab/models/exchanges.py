"""What all models do on sockets: connect, send, read, and one whole HTTP exchange. These are parts of coroutines of the
event loop; none waits longer than its deadline.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import h11

from oakvale.base.address import Address
from oakvale.base.loop import READ, TIMED_OUT, WRITE, Coroutine, Loop, Priority, Step
from oakvale.wire.tcp import reset_on_close

READ_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 4 * 1024 * 1024  # of one answer
Headers = list[tuple[bytes, bytes]]


class ConnectionEnded(Exception):
    """The other side closed or reset; `reset` where it did so with a RST, as with unread bytes."""

    def __init__(self, reset: bool) -> None:
        super().__init__("reset" if reset else "closed")
        self.reset = reset


class TimedOut(Exception):
    """The deadline has passed."""


def connect(sock: Any, address: Address, due: int) -> Step[None]:
    """Raises ConnectionEnded, TimedOut."""
    error = sock.connect_ex(address)
    if error == errno.EINPROGRESS:
        flags = yield WRITE, due
        while flags < 0:
            flags = yield WRITE, due
        if flags == TIMED_OUT:
            raise TimedOut
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise ConnectionEnded(True)


def send(sock: Any, data: bytes, due: int) -> Step[None]:
    """Raises ConnectionEnded, TimedOut."""
    view = memoryview(data)
    while view:
        try:
            view = view[sock.send(view) :]
        except BlockingIOError:
            if (yield WRITE, due) == TIMED_OUT:
                raise TimedOut from None
        except OSError as error:
            raise ConnectionEnded(True) from error


def read(sock: Any) -> bytes | None:
    """The bytes received; b"" at the end, None if there are none yet. Raises ConnectionEnded."""
    try:
        return bytes(sock.recv(READ_BYTES))
    except BlockingIOError:
        return None
    except OSError as error:
        raise ConnectionEnded(True) from error


def reset(sock: Any) -> None:
    """Closes with a reset."""
    reset_on_close(sock)
    sock.close()


def unread_bytes(sock: Any) -> int | None:
    """Bytes sent that the peer's process has not read yet; None where the sockets can't tell, as the kernel's."""
    tell = getattr(sock, "untaken", None)
    return None if tell is None else int(tell())


def header_value(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    return next((v.decode("latin-1") for n, v in headers if n == name), None)


@dataclass(frozen=True, slots=True)
class Reply:
    status: int
    headers: Headers
    body: bytes
    at: int


def exchange(
    loop: Loop,
    address: Address,
    method: str,
    target: str,
    body: bytes | None,
    within: int,
    then: Callable[[Reply | None], None],
) -> None:
    """One exchange on a connection of its own; `then` gets a whole answer, or None if none came in time."""
    try:
        sock = loop.net.stream()
    except OSError:
        loop.at(loop.now, then)
        return
    loop.start(
        _exchange(loop, sock, address, method, target, body, loop.now + within, then), sock.fileno(), Priority.CLIENT
    )


def _exchange(
    loop: Loop,
    sock: Any,
    address: Address,
    method: str,
    target: str,
    body: bytes | None,
    due: int,
    then: Callable[[Reply | None], None],
) -> Coroutine:
    reply = None
    try:
        yield from connect(sock, address, due)
        peer = h11.Connection(h11.CLIENT)
        headers = [("Host", f"{address[0]}:{address[1]}"), ("Connection", "close")]
        if body is not None:
            headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        data = peer.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body:
            data += peer.send(h11.Data(data=body)) or b""
        data += peer.send(h11.EndOfMessage()) or b""
        yield from send(sock, data, due)
        reply = yield from _read_reply(loop, sock, peer, due)
    except (ConnectionEnded, TimedOut, h11.ProtocolError):
        pass
    finally:
        sock.close()
        loop.at(loop.now, then, reply)


def _read_reply(loop: Loop, sock: Any, peer: h11.Connection, due: int) -> Step[Reply]:
    status, headers, body = 0, Headers(), b""
    while True:
        event = peer.next_event()
        if event is h11.NEED_DATA:
            data = read(sock)
            if data is not None:
                peer.receive_data(data)
            elif (yield READ, due) == TIMED_OUT:
                raise TimedOut
        elif isinstance(event, h11.Response):
            status, headers = event.status_code, [(bytes(n), bytes(v)) for n, v in event.headers]
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
            if len(body) > MAX_ANSWER_BYTES:
                raise TimedOut
        elif isinstance(event, h11.EndOfMessage):
            return Reply(status, headers, body, loop.now)
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionEnded(False)
