"""The operating system interface of a loop: sockets, the poller, randomness, the time of day and resource usage.

Everything that runs on a loop uses the interface of that loop, so that a simulation can substitute its own.
`Net` returns the kernel's own objects and adds no overhead to them.
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
    """The subset of `socket.socket` that is used. Implementations never block and raise OSError as the kernel does."""

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
    """The subset of `select.epoll` that is used, level-triggered."""

    def register(self, fd: int, mask: int, /) -> None: ...
    def modify(self, fd: int, mask: int, /) -> None: ...
    def unregister(self, fd: int, /) -> None: ...
    def poll(self, timeout: float, /) -> list[tuple[int, int]]: ...
    def close(self) -> None: ...


class Net:
    """The real operating system."""

    def __init__(self) -> None:
        self.rng = random.Random()  # the only random generator of the process: seeding it makes a run reproducible

    def poller(self) -> Poller:
        """Returns a new poller."""
        return select.epoll()

    def stream(self) -> Sock:
        """Returns a non-blocking TCP socket for an outgoing connection. Raises OSError without a free descriptor."""
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)

    def listen(self, address: Address, backlog: int) -> Sock:
        """Opens a listening socket. Raises OSError if the address is unavailable."""
        return open_listener(address, backlog)

    def token(self, size: int) -> str:
        """Returns a unique random token of `size` bytes, in hexadecimal."""
        return os.urandom(size).hex()

    def unix_time(self) -> int:
        """Returns the time of day in nanoseconds; unlike the loop's clock, it may step."""
        return time.time_ns()

    def resource_usage(self) -> tuple[float, int]:
        """Returns the CPU seconds used so far and the peak memory in megabytes."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return usage.ru_utime + usage.ru_stime, usage.ru_maxrss // 1024
