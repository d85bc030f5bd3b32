"""Graceful shutdown after SIGTERM: keep serving briefly, stop listening, finish pending requests, stop the loop."""

from __future__ import annotations

import logging
from typing import Any, Protocol

from oakvale.base.loop import Loop, Task

log = logging.getLogger(__name__)


class Stoppable(Protocol):
    """A server that can be shut down: the owner of its connections, its loop and its accepting coroutine."""

    @property
    def host(self) -> Any: ...
    @property
    def loop(self) -> Loop: ...
    @property
    def accepting(self) -> Task: ...

    def accept_one(self) -> bool:
        """Accepts one connection; returns False if none is waiting. Raises OSError if there is no room."""


class Shutdown:
    """Performs the shutdown of one server in timed steps."""

    def __init__(self, server: Stoppable) -> None:
        self.server, self.host, self.loop = server, server.host, server.loop
        self._started_at, self._started = 0, False

    def begin(self) -> None:
        """Starts the shutdown; further calls have no effect."""
        if self._started:
            return
        self._started = True
        limits, now = self.host.limits, self.loop.now
        self.host.stopping = True  # responses carry `Connection: close` from now on
        self._started_at = now
        log.info("stopping", extra={"requests": len(self.host.requests)})
        if not limits.patient:
            # while new connections are accepted: a client whose request crosses the close retries it
            self.host.clients.close_idle()
        self.loop.at(now + limits.stop_accepting, self._stop_accepting)
        self.loop.at(now + limits.stop_taking, self._stop_admission)

    def _stop_accepting(self, _: None) -> None:
        """Accepts all connections in the backlog, which closing the listener would reset, then closes the listener.

        Without room it tries again until `limits.stop_taking`, as clients that got their responses leave.
        """
        limits, now = self.host.limits, self.loop.now
        try:
            while self.server.accept_one():
                pass
        except OSError as error:
            if now - self._started_at < limits.stop_taking:
                self.loop.at(now + limits.accept_pause, self._stop_accepting)
                return
            log.warning("clients left in the backlog", extra={"why": str(error)})
        self.loop.end(self.server.accepting)
        self.host.clients.close_idle()

    def _stop_admission(self, _: None) -> None:
        self.host.admission_closed = True
        self._end_when_done(None)

    def _end_when_done(self, _: None) -> None:
        limits, now = self.host.limits, self.loop.now
        self.host.clients.close_idle()
        if not self.host.clients.all or now - self._started_at > limits.stop_longest:
            self.host.ended = True
            self.loop.stop()
        else:
            self.loop.at(now + limits.accept_pause, self._end_when_done)

    def close(self) -> None:
        """Ends everything on the loop at once."""
        self.host.ended = True
        self.loop.close()
