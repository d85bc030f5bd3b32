"""What a process touches of the machine under its loop: sockets, the poller that waits on them, chance, what it has
used. A loop is handed one, and all that runs on it asks there: another world hands in another.

`Net` is the machine itself, and adds no cost to a turn: what it gives are the kernel's own objects.
"""

from __future__ import annotations

import os
import random
import resource
import select
import socket
import time
from collections.abc import Iterable
from typing import Any, Protocol

from oakvale.base.address import Address
from oakvale.base.sockets import open_listener


class Sock(Protocol):
    """The part of `socket.socket` that is used: never waits, raises OSError as the kernel would."""

    def fileno(self) -> int: ...
    def connect_ex(self, address: Address, /) -> int: ...
    def accept(self) -> tuple[Sock, Any]: ...
    def send(self, data: Any, flags: int = ..., /) -> int: ...
    def recv(self, size: int, flags: int = ..., /) -> bytes: ...
    def recv_into(self, buffer: Any, size: int = ..., flags: int = ...) -> int: ...
    def recvmsg_into(
        self, buffers: Iterable[Any], ancillary: int = ..., flags: int = ..., /
    ) -> tuple[int, list[tuple[int, int, bytes]], int, Any]: ...
    def getsockopt(self, level: int, option: int, /) -> int: ...
    def setsockopt(self, level: int, option: int, value: int | bytes, /) -> None: ...
    def getsockname(self) -> Any: ...
    def setblocking(self, flag: bool, /) -> None: ...
    def shutdown(self, how: int, /) -> None: ...
    def close(self) -> None: ...


class Poller(Protocol):
    """The part of `select.epoll` that is used; level-triggered."""

    def register(self, fd: int, mask: int, /) -> None: ...
    def modify(self, fd: int, mask: int, /) -> None: ...
    def unregister(self, fd: int, /) -> None: ...
    def poll(self, timeout: float, /) -> list[tuple[int, int]]: ...
    def close(self) -> None: ...


class Net:
    def __init__(self) -> None:
        self.rng = random.Random()  # all draws of a process, so that who seeds this one replays it

    def poller(self) -> Poller:
        return select.epoll()

    def stream(self) -> Sock:
        """For a connection out. Raises OSError where there is no descriptor left."""
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)

    def listen(self, address: Address, backlog: int) -> Sock:
        """Raises OSError where the address can't be had."""
        return open_listener(address, backlog)

    def token(self, size: int) -> str:
        """A name of so many bytes that nobody else draws, in hex."""
        return os.urandom(size).hex()

    def unix_time(self) -> int:
        """Nanoseconds; the time of day, which may step."""
        return time.time_ns()

    def resource_usage(self) -> tuple[float, int]:
        """Seconds of processor time so far, and the most megabytes of memory."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return usage.ru_utime + usage.ru_stime, usage.ru_maxrss // 1024
