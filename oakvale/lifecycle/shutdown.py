"""Shutdown: on SIGTERM take and answer all that still comes, stop listening, end what is in hand, go."""

from __future__ import annotations

import logging
from typing import Any, Protocol

from oakvale.base.loop import Loop, Task

log = logging.getLogger(__name__)


class Stoppable(Protocol):
    """What is shut down: its connections' owner, its loop, the coroutine that accepts."""

    @property
    def host(self) -> Any: ...
    @property
    def loop(self) -> Loop: ...
    @property
    def accepting(self) -> Task: ...

    def accept_one(self) -> bool:
        """False when nobody waits; raises OSError when there is no room."""


class Shutdown:
    def __init__(self, server: Stoppable) -> None:
        self.server, self.host, self.loop = server, server.host, server.loop
        self._began, self._begun = 0, False

    def begin(self) -> None:
        if self._begun:
            return
        self._begun = True
        limits, now = self.host.limits, self.loop.now
        self.host.stopping = True  # answers say from now on that the connection ends
        self._began = now
        log.info("stopping", extra={"requests": len(self.host.requests)})
        if not limits.patient:
            # now, while new ones are taken: a request that crosses the close of its connection is sent once more
            self.host.clients.close_idle()
        self.loop.at(now + limits.stop_accepting, self._stop_accepting)
        self.loop.at(now + limits.stop_taking, self._stop_taking)

    def _stop_accepting(self, _: None) -> None:
        """A listener that closes resets what is in its backlog: all of it is taken first, if need be over
        some time, while those that have their answers make room."""
        limits, now = self.host.limits, self.loop.now
        try:
            while self.server.accept_one():
                pass
        except OSError as error:
            if now - self._began < limits.stop_taking:
                self.loop.at(now + limits.accept_pause, self._stop_accepting)
                return
            log.warning("clients left in the backlog", extra={"why": str(error)})
        self.loop.end(self.server.accepting)
        self.host.clients.close_idle()

    def _stop_taking(self, _: None) -> None:
        self.host.admission_closed = True
        self._end_when_done(None)

    def _end_when_done(self, _: None) -> None:
        limits, now = self.host.limits, self.loop.now
        self.host.clients.close_idle()
        if not self.host.clients.all or now - self._began > limits.stop_longest:
            self.host.ended = True
            self.loop.stop()
        else:
            self.loop.at(now + limits.accept_pause, self._end_when_done)

    def close(self) -> None:
        self.host.ended = True
        self.loop.close()
