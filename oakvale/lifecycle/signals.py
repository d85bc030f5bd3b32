"""Signals: each is a byte on a socket pair, handled in a turn of the loop like anything else that comes."""

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
    def __init__(self) -> None:
        self._read, self._write = socket.socketpair()
        self._read.setblocking(False)
        self._write.setblocking(False)

    def fileno(self) -> int:
        return self._read.fileno()

    def watch(self) -> None:
        """Before anything else at the start, as by default SIGHUP ends a process. What comes before the loop
        runs waits on the socket pair."""
        signal.set_wakeup_fd(self._write.fileno(), warn_on_full_buffer=False)
        for number in (*STOP, RELOAD):
            signal.signal(number, lambda *_: None)  # the wake-up descriptor tells

    def run(self, stop: Callable[[], None], reload: Callable[[], None]) -> Coroutine:
        """Several of a kind that came together are one. A stop goes first, and a reload is harmless in it.
        What fails in either is logged and the next signal is still heard."""
        while True:
            yield READ, 0
            try:
                came = set(self._read.recv(4096))
            except BlockingIOError:
                continue
            for call in [stop] * bool(came.intersection(STOP)) + [reload] * (RELOAD in came):
                try:
                    call()
                except Exception:
                    log.exception("signal failed")

    def close(self) -> None:
        self._read.close()
        self._write.close()
