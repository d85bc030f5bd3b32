"""The process of the edge role: `oakvale sluice`."""

from __future__ import annotations

import gc
import os
from collections.abc import Mapping

from oakvale.base.loop import Clock, Loop, Priority
from oakvale.base.net import Sock
from oakvale.config.bounds import limits_from_settings
from oakvale.config.settings import Settings
from oakvale.config.settings_watch import SettingsWatch
from oakvale.config.toml_table import BadFile
from oakvale.dataplane.gateway import EdgeGateway
from oakvale.dataplane.status import status_fields
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.lifecycle.shutdown import Shutdown
from oakvale.lifecycle.signals import Signals
from oakvale.lifecycle.status import Status
from oakvale.transport.status_service import serve_status

log_event = EventLogger(__name__)


class Process:
    """Everything that runs on the event loop, except for signals and the settings file."""

    def __init__(self, settings: Settings, listeners: Mapping[str, Sock], loop: Loop) -> None:
        """Creates the gateway and its status service. Raises OSError."""
        self.gateway = gateway = EdgeGateway(settings, listeners, loop)
        self.shutdown = Shutdown(gateway)
        serve_status(gateway.transport, "sluice", settings.node, lambda: status_fields(gateway))
        gateway.transport.handlers["chains"] = lambda conn, body, answer: answer({"held": gateway.table.get("chains")})
        self.know = gateway.update_seeds
        Status(gateway.shared).begin()
        log_event("sluice", node=settings.node, own=gateway.self_address, life=gateway.incarnation)

    def stop(self) -> None:
        """Begins a graceful shutdown and hands over this gateway's duties."""
        self.shutdown.begin()
        self.gateway.rate_limiter.release()


def serve(settings: Settings, signals: Signals, listeners: Mapping[str, Sock]) -> int:
    """Runs the gateway until it is stopped; returns the exit status. Raises BadFile, OSError."""
    if "http" not in settings.bind:
        raise BadFile("the sluice role needs an `http` address in [network.bind]")
    loop = Loop(Clock(), limits_from_settings(settings))
    process = Process(settings, listeners, loop)
    watch = SettingsWatch(loop, os.environ, settings, lambda new_settings: process.know(new_settings.seeds))
    loop.start(signals.run(process.stop, watch.reload), signals.fileno(), Priority.DISCOVERY)
    gc.collect()
    gc.freeze()
    try:
        loop.run()
    finally:
        process.shutdown.close()
        signals.close()
    log_event("stopped", node=settings.node)
    return 0
