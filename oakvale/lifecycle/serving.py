"""The server of the standalone gateway: its startup, its reload and its main function."""

from __future__ import annotations

import gc
import logging
import os

from oakvale.base.address import format_address
from oakvale.base.configuration import Configuration, ConfigurationError
from oakvale.base.loop import Clock, Loop, Priority
from oakvale.base.net import Sock
from oakvale.host import Host
from oakvale.lifecycle.acceptor import Acceptor, open_listener
from oakvale.lifecycle.shutdown import Shutdown
from oakvale.lifecycle.signals import Signals
from oakvale.lifecycle.status import Status
from oakvale.wire.discovery import InvalidBackendList

__all__ = ["Server", "open_listener", "serve"]

log = logging.getLogger(__name__)


class Server:
    """Host, acceptor and configuration of one gateway process."""

    def __init__(self, configuration: Configuration, listener: Sock, loop: Loop) -> None:
        self.loop, self.listener = loop, listener
        self.host = Host(configuration, loop)
        self.configuration, self.limits = configuration, configuration.limits
        self.known = configuration.known
        self.acceptor = Acceptor(self.host, listener, loop)
        self.accepting = self.acceptor.task
        loop.at(loop.now + self.limits.sweep, self._sweep)

    def begin(self) -> None:
        """Starts with the last known backend list, which may be outdated, and subscribes to discovery updates."""
        empty_list = {"index": 0, "snapshot": True, "endpoints": []}
        try:
            self.host.discovery.apply(self.known or empty_list, cached=True)
        except InvalidBackendList as error:
            log.warning("known list is not understood", extra={"why": str(error)})
            self.host.discovery.apply(empty_list, cached=True)
        if not self.host.settings.on_request:
            self.host.discovery.watch(True)

    def reload(self) -> None:
        """Reads the configuration file again and switches to the discovery and counter addresses it names.

        All other settings need a restart. An invalid file changes nothing.
        """
        current = self.configuration
        try:
            fresh = current.reload()
        except ConfigurationError as error:
            log.error("reload refused", extra={"why": str(error)})
            return
        changed = [
            name
            for name in ("name", "listen", "settings", "names", "limits")
            if getattr(fresh, name) != getattr(current, name)
        ]
        log.info(
            "reloaded",
            extra={
                "discovery": format_address(fresh.discovery),
                "counter": fresh.counter and format_address(fresh.counter),
                "needs_restart": ",".join(changed) or "nothing",
            },
        )
        self.host.discovery.set_address(fresh.discovery)
        if self.host.counter is not None and fresh.counter is not None:
            self.host.counter.set_address(fresh.counter)

    def accept_one(self) -> bool:
        """Accepts one connection; see `Acceptor.accept_one`."""
        return self.acceptor.accept_one()

    def _sweep(self, _: None) -> None:
        self.host.idle.close_expired(self.loop.now)
        self.loop.at(self.loop.now + self.limits.sweep, self._sweep)


def serve(configuration: Configuration, listener: Sock, signals: Signals) -> int:
    """Runs the standalone gateway until a signal stops it; returns the exit status."""
    loop = Loop(Clock(), configuration.limits)
    server = Server(configuration, listener, loop)
    shutdown = Shutdown(server)
    loop.start(signals.run(shutdown.begin, server.reload), signals.fileno(), Priority.DISCOVERY)
    server.begin()
    Status(server.host.shared).begin()
    gc.collect()
    gc.freeze()  # excludes objects that live as long as the process from garbage collection
    log.info(
        "serving",
        extra={"gateway": configuration.name, "pid": os.getpid(), "listen": format_address(configuration.listen)},
    )
    try:
        loop.run()
    finally:
        shutdown.close()
        signals.close()
    log.info("stopped", extra={"gateway": configuration.name})
    return 0
