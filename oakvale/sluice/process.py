"""The process of the edge role: `oakvale sluice`."""

from __future__ import annotations

import gc
import os
import socket

from oakvale.base.loop import Rank
from oakvale.intake.settings import BadSettings, Settings
from oakvale.intake.watch import SettingsWatch
from oakvale.lifecycle.daybook import Writer
from oakvale.lifecycle.shutdown import Shutdown
from oakvale.lifecycle.signals import Signals
from oakvale.lifecycle.status import Status
from oakvale.mains.standing import offer
from oakvale.sluice.gate import Sluice
from oakvale.sluice.standing import standing

note = Writer(__name__)


def serve(settings: Settings, signals: Signals, listeners: dict[str, socket.socket]) -> int:
    """Raises BadSettings, OSError."""
    if "http" not in settings.bind:
        raise BadSettings("sluice needs [network.bind] http")
    sluice = Sluice(settings, listeners)
    shutdown = Shutdown(sluice)
    offer(sluice.mains, "sluice", settings.node, lambda: standing(sluice))
    sluice.mains.handlers["chains"] = lambda conn, body, answer: answer({"held": sluice.table.get("chains")})

    watch = SettingsWatch(sluice.loop, os.environ, settings, lambda fresh: sluice.know(fresh.seeds))

    def stop() -> None:
        shutdown.begin()
        sluice.gauge.release()

    sluice.loop.start(signals.run(stop, watch.again), signals.fileno(), Rank.DISCOVERY)
    Status(sluice.shared).begin()
    gc.collect()
    gc.freeze()
    note("sluice", node=settings.node, own=sluice.own, life=sluice.life)
    try:
        sluice.loop.run()
    finally:
        shutdown.close()
        signals.close()
    note("stopped", node=settings.node)
    return 0
