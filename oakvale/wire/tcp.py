"""What every connection shares: making one, writing all of something, looking without reading."""

from __future__ import annotations

import errno
import socket
import struct

from oakvale.base.address import Address
from oakvale.base.loop import READ, TIMED_OUT, WOKEN, WRITE, Step
from oakvale.base.net import Net, Sock

SO_TIMESTAMPNS = 35  # Linux; the socket module has no name for it
TIMESPEC = struct.Struct("qq")
LINGER_NO_TIME = struct.pack("ii", 1, 0)  # struct linger: on, for 0 s
ANCILLARY = socket.CMSG_SPACE(TIMESPEC.size)


class ConnectionLost(Exception):
    """The other side ended or broke the connection, or took too long; `begun`: part of what was to be written
    had gone out."""

    def __init__(self, timed_out: bool = False, begun: bool = False) -> None:
        super().__init__()
        self.timed_out, self.begun = timed_out, begun


def new_socket(net: Net) -> Sock:
    sock = net.stream()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def reset_on_close(sock: Sock) -> None:
    """Has the next close reset the connection: what the kernel still holds is thrown away, and the other side can't
    take it for the end of sending alone."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NO_TIME)
    except OSError:
        pass  # it broke meanwhile


def connect(sock: Sock, address: Address, due: int) -> Step[bool]:
    """True once the connection is up; False when it is refused, breaks, or is not up in time."""
    code = sock.connect_ex(address)
    if code != errno.EINPROGRESS:
        return code == 0
    while (signal := (yield WRITE, due)) == WOKEN:
        pass
    return signal != TIMED_OUT and not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def write_all(sock: Sock, data: bytes, due: int, stop_on_input: bool = False) -> Step[int]:
    """Writes what the socket takes and waits for the rest; raises Gone if it never all goes. Gives the bytes
    written: fewer than all where `stop_on_input` is set and something came in before."""
    sent = signal = 0
    while True:
        try:
            sent += sock.send(data[sent:] if sent else data)
        except BlockingIOError:
            pass
        except OSError as error:
            raise ConnectionLost(begun=sent > 0) from error
        if sent == len(data) or stop_on_input and signal > 0 and signal & READ:
            return sent
        signal = yield WRITE | (READ if stop_on_input else 0), due
        if signal == TIMED_OUT:
            raise ConnectionLost(timed_out=True, begun=sent > 0)


def enable_receive_timestamps(listener: Sock) -> None:
    """Has the kernel note when bytes arrive on the connections that are accepted here. Without it, how long a
    request waited in this gateway's own socket while it stood still or was busy would be unseen."""
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    except OSError:
        pass  # then waits count as none


def read_timestamped(sock: Sock, buffer: memoryview) -> tuple[int, int]:
    """How many bytes were read, and when the last of them arrived: Unix time in nanoseconds, 0 if unknown."""
    count, ancillary, _, _ = sock.recvmsg_into([buffer], ANCILLARY)
    for level, kind, data in ancillary:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(data) >= TIMESPEC.size:
            seconds, nanoseconds = TIMESPEC.unpack_from(data)
            return count, int(seconds * 1_000_000_000 + nanoseconds)
    return count, 0


def peek(sock: Sock) -> bytes | None:
    """What has come and was not read: None for nothing, empty when the other side ended or broke it."""
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""
