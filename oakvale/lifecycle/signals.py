"""Signals, received as bytes on a socket pair and handled by the event loop like any other input."""

from __future__ import annotations

import logging
import signal
import socket
from collections.abc import Callable

from oakvale.base.loop import READ, Coroutine

log = logging.getLogger(__name__)

STOP = (signal.SIGTERM, signal.SIGINT)
RELOAD = signal.SIGHUP


class Signals:
    """The socket pair that the signal wake-up descriptor writes to."""

    def __init__(self) -> None:
        self._read, self._write = socket.socketpair()
        self._read.setblocking(False)
        self._write.setblocking(False)

    def fileno(self) -> int:
        return self._read.fileno()

    def watch(self) -> None:
        """Installs the handlers. Must run first at startup, as SIGHUP terminates a process by default.

        Signals that arrive before the loop runs are queued on the socket pair.
        """
        signal.set_wakeup_fd(self._write.fileno(), warn_on_full_buffer=False)
        for number in (*STOP, RELOAD):
            signal.signal(number, lambda *_: None)  # the wake-up descriptor delivers the signal

    def run(self, stop: Callable[[], None], reload: Callable[[], None]) -> Coroutine:
        """Calls `stop` and `reload` for the signals received.

        Signals of one kind that arrive together count as one. A stop is handled before a reload. Exceptions are
        logged, and later signals are still handled.
        """
        while True:
            yield READ, 0
            try:
                received = set(self._read.recv(4096))
            except BlockingIOError:
                continue
            for callback in [stop] * bool(received.intersection(STOP)) + [reload] * (RELOAD in received):
                try:
                    callback()
                except Exception:
                    log.exception("signal failed")

    def close(self) -> None:
        self._read.close()
        self._write.close()
