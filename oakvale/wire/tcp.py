"""Functions shared by all connections: connecting, writing all of a message, peeking at received bytes."""

from __future__ import annotations

import errno
import socket
import struct

from oakvale.base.address import Address
from oakvale.base.loop import READ, TIMED_OUT, WOKEN, WRITE, Step
from oakvale.base.net import Net, Sock

SO_TIMESTAMPNS = 35  # Linux; the socket module has no name for it
TIMESPEC = struct.Struct("qq")
LINGER_ZERO = struct.pack("ii", 1, 0)  # struct linger: on, for 0 s
ANCILLARY_BYTES = socket.CMSG_SPACE(TIMESPEC.size)


class ConnectionLost(Exception):
    """The peer closed or reset the connection, or took too long; `write_started`: some of the data was sent."""

    def __init__(self, timed_out: bool = False, write_started: bool = False) -> None:
        super().__init__()
        self.timed_out, self.write_started = timed_out, write_started


def new_socket(net: Net) -> Sock:
    """A stream socket that sends small writes without delay."""
    sock = net.stream()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def reset_on_close(sock: Sock) -> None:
    """Makes the next close reset the connection: the kernel discards unsent data, and the peer cannot take the close
    for a half-close."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    except OSError:
        pass  # the connection is already broken


def connect(sock: Sock, address: Address, deadline: int) -> Step[bool]:
    """True once the connection is established; False if it is refused, breaks, or is not up by `deadline`."""
    code = sock.connect_ex(address)
    if code != errno.EINPROGRESS:
        return code == 0
    while (signal := (yield WRITE, deadline)) == WOKEN:
        pass
    return signal != TIMED_OUT and not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def write_all(sock: Sock, data: bytes, deadline: int, stop_on_input: bool = False) -> Step[int]:
    """Writes all of `data`, waiting while the socket is full; raises ConnectionLost if that fails.

    Returns the number of bytes written: fewer than all if `stop_on_input` is set and something was received first."""
    sent = signal = 0
    while True:
        try:
            sent += sock.send(data[sent:] if sent else data)
        except BlockingIOError:
            pass
        except OSError as error:
            raise ConnectionLost(write_started=sent > 0) from error
        if sent == len(data) or stop_on_input and signal > 0 and signal & READ:
            return sent
        signal = yield WRITE | (READ if stop_on_input else 0), deadline
        if signal == TIMED_OUT:
            raise ConnectionLost(timed_out=True, write_started=sent > 0)


def enable_receive_timestamps(listener: Sock) -> None:
    """Makes the kernel timestamp the bytes received on connections that this listener accepts, so that the time that a
    request waits in the receive buffer while the gateway is paused or busy is known."""
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    except OSError:
        pass  # without timestamps, waiting times count as 0


def read_timestamped(sock: Sock, buffer: memoryview) -> tuple[int, int]:
    """The number of bytes read, and when the last of them arrived: Unix time in nanoseconds, 0 if unknown."""
    count, ancillary, _, _ = sock.recvmsg_into([buffer], ANCILLARY_BYTES)
    for level, kind, data in ancillary:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(data) >= TIMESPEC.size:
            seconds, nanoseconds = TIMESPEC.unpack_from(data)
            return count, int(seconds * 1_000_000_000 + nanoseconds)
    return count, 0


def peek(sock: Sock) -> bytes | None:
    """The first unread byte: None if nothing was received, empty if the peer closed or broke the connection."""
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""
