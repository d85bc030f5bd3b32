"""The process of the edge role: `oakvale sluice`."""

from __future__ import annotations

import gc
import os
from collections.abc import Mapping

from oakvale.base.loop import Clock, Loop, Rank
from oakvale.base.net import Sock
from oakvale.config.bounds import limits_from_settings
from oakvale.config.settings import Settings
from oakvale.config.settings_watch import SettingsWatch
from oakvale.config.toml_table import BadFile
from oakvale.dataplane.gateway import EdgeGateway
from oakvale.dataplane.status import standing
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.lifecycle.shutdown import Shutdown
from oakvale.lifecycle.signals import Signals
from oakvale.lifecycle.status import Status
from oakvale.transport.status_service import serve_status

log_event = EventLogger(__name__)


class Process:
    """All that runs on the loop, but for what the operating system tells."""

    def __init__(self, settings: Settings, listeners: Mapping[str, Sock], loop: Loop) -> None:
        """Raises OSError."""
        self.sluice = sluice = EdgeGateway(settings, listeners, loop)
        self.shutdown = Shutdown(sluice)
        serve_status(sluice.transport, "sluice", settings.node, lambda: standing(sluice))
        sluice.transport.handlers["chains"] = lambda conn, body, answer: answer({"held": sluice.table.get("chains")})
        self.know = sluice.know
        Status(sluice.shared).begin()
        log_event("sluice", node=settings.node, own=sluice.own, life=sluice.life)

    def stop(self) -> None:
        self.shutdown.begin()
        self.sluice.rate_limiter.release()


def serve(settings: Settings, signals: Signals, listeners: Mapping[str, Sock]) -> int:
    """Raises BadFile, OSError."""
    if "http" not in settings.bind:
        raise BadFile("sluice needs [network.bind] http")
    loop = Loop(Clock(), limits_from_settings(settings))
    process = Process(settings, listeners, loop)
    watch = SettingsWatch(loop, os.environ, settings, lambda fresh: process.know(fresh.seeds))
    loop.start(signals.run(process.stop, watch.reload), signals.fileno(), Rank.DISCOVERY)
    gc.collect()
    gc.freeze()
    try:
        loop.run()
    finally:
        process.shutdown.close()
        signals.close()
    log_event("stopped", node=settings.node)
    return 0
