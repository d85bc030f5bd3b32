"""Serving: the listening socket, its coroutine, and the start of everything else."""

from __future__ import annotations

import gc
import logging
import os

from oakvale.base.address import spelled
from oakvale.base.configuration import BadConfiguration, Configuration
from oakvale.base.loop import Clock, Loop, Rank
from oakvale.base.net import Sock
from oakvale.host import Host
from oakvale.lifecycle.acceptor import Acceptor, listening
from oakvale.lifecycle.shutdown import Shutdown
from oakvale.lifecycle.signals import Signals
from oakvale.lifecycle.status import Status
from oakvale.wire.discovery import InvalidBackendList

__all__ = ["Server", "listening", "serve"]

log = logging.getLogger(__name__)


class Server:
    def __init__(self, configuration: Configuration, listener: Sock, loop: Loop) -> None:
        self.loop, self.listener = loop, listener
        self.host = Host(configuration, loop)
        self.configuration, self.limits = configuration, configuration.limits
        self.known = configuration.known
        self.acceptor = Acceptor(self.host, listener, loop)
        self.accepting = self.acceptor.task
        loop.at(loop.now + self.limits.sweep, self._sweep)

    def begin(self) -> None:
        """The list as this gateway last had it, maybe old, then the watch."""
        nothing = {"index": 0, "snapshot": True, "endpoints": []}
        try:
            self.host.discovery.apply(self.known or nothing, cached=True)
        except InvalidBackendList as error:
            log.warning("known list is not understood", extra={"why": str(error)})
            self.host.discovery.apply(nothing, cached=True)
        if not self.host.settings.on_request:
            self.host.discovery.watch(True)

    def reload(self) -> None:
        """Reads the file anew and moves to the discovery and the counter that it names. Everything else
        takes a restart. A file that can't be used changes nothing."""
        was = self.configuration
        try:
            fresh = was.again()
        except BadConfiguration as error:
            log.error("reload refused", extra={"why": str(error)})
            return
        parts = [
            part
            for part in ("name", "listen", "settings", "names", "limits")
            if getattr(fresh, part) != getattr(was, part)
        ]
        log.info(
            "reloaded",
            extra={
                "discovery": spelled(fresh.discovery),
                "counter": fresh.counter and spelled(fresh.counter),
                "needs_restart": ",".join(parts) or "nothing",
            },
        )
        self.host.discovery.set_address(fresh.discovery)
        if self.host.counter is not None and fresh.counter is not None:
            self.host.counter.set_address(fresh.counter)

    def accept_one(self) -> bool:
        return self.acceptor.accept_one()

    def _sweep(self, _: None) -> None:
        self.host.idle.close_expired(self.loop.now)
        self.loop.at(self.loop.now + self.limits.sweep, self._sweep)


def serve(configuration: Configuration, listener: Sock, signals: Signals) -> int:
    loop = Loop(Clock(), configuration.limits)
    server = Server(configuration, listener, loop)
    shutdown = Shutdown(server)
    loop.start(signals.run(shutdown.begin, server.reload), signals.fileno(), Rank.DISCOVERY)
    server.begin()
    Status(server.host.shared).begin()
    gc.collect()
    gc.freeze()  # what lives as long as the process is never looked at again
    log.info(
        "serving", extra={"gateway": configuration.name, "pid": os.getpid(), "listen": spelled(configuration.listen)}
    )
    try:
        loop.run()
    finally:
        shutdown.close()
        signals.close()
    log.info("stopped", extra={"gateway": configuration.name})
    return 0
