"""The process of the core role: `oakvale headworks`."""

from __future__ import annotations

import gc
import os
import sqlite3
import threading
import time
from collections.abc import Callable, Mapping
from importlib import import_module
from typing import TYPE_CHECKING

from oakvale.base.loop import Clock, Loop, Rank
from oakvale.base.net import Sock
from oakvale.config.bounds import bounds
from oakvale.config.settings import Settings
from oakvale.config.settings_watch import SettingsWatch
from oakvale.config.toml_table import BadFile
from oakvale.controlplane.compaction import Pruning
from oakvale.controlplane.control_server import Ctl
from oakvale.controlplane.core import Core
from oakvale.controlplane.failover_planning import Planning
from oakvale.controlplane.membership import Gates
from oakvale.controlplane.status import standing
from oakvale.controlplane.voter import VoterService
from oakvale.lifecycle.acceptor import Acceptor
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.lifecycle.signals import Signals
from oakvale.shared import SharedResources
from oakvale.storage.store import Storage
from oakvale.transport.links import Transport
from oakvale.transport.status_service import serve_status

if TYPE_CHECKING:
    from oakvale.config.chains import Given
    from oakvale.controlplane.drains import Drains

log_event = EventLogger(__name__)
SWEEP = 1_000_000
BROKEN = 3  # the status to end with: the next start puts the file aside, and is let in as a seat without state
READY = 3_000_000  # after it began to serve; by then, who waited for it has been served
OPENS, PAUSE = 50, 0.2  # tries at the disk at the start, and seconds between them


def _opened(loop: Loop, folder: str) -> Storage:
    """A disk in trouble refuses for a while; a process that ends for that would only begin again."""
    for tries in range(OPENS):
        try:
            return Storage(loop, folder)
        except (sqlite3.Error, OSError) as error:
            if tries == OPENS - 1:
                raise BadFile(f"[self] datadir {folder}: {error}") from error
            log_event("disk refuses", "warning", why=str(error))
            time.sleep(PAUSE)
    raise AssertionError


def _ready_for_operators(loop: Loop) -> None:
    """A primary imports what it checks configurations with before one comes: later, as those who wait for news of a
    core that is back go first, and in a thread, as it may take longer than a heartbeat may be late."""
    thread = threading.Thread(target=import_module, args=("oakvale.config.model",), daemon=True)
    loop.at(loop.now + READY, lambda _: None if thread.ident else thread.start())


class Process:
    """All that runs on the loop, but for what the operating system tells."""

    def __init__(
        self, settings: Settings, listeners: Mapping[str, Sock], loop: Loop, opened: Callable[[], Storage]
    ) -> None:
        """`opened` gives the disk, and may take a while. Raises BadFile, OSError."""
        self.loop = loop
        self.transport = Transport(loop, (settings.ip, settings.ports[0]))
        self.transport.listen()
        self.storage = opened()
        self.core = core = Core(loop, self.transport, settings, self.storage)
        voter_service = VoterService(loop, self.transport, self.storage, settings.bootstrap, core.is_witness)
        Gates(core, voter_service, loop, self.transport)
        Pruning(core, loop)
        serve_status(self.transport, "headworks", settings.node, lambda: standing(core))
        self.shared = SharedResources(loop, bounds(settings))
        self._ctl = Ctl(self.shared, core, settings)
        self.acceptor = Acceptor(self._ctl, listeners["ctl"], loop)
        self._drains: Drains | None = None
        self.know = core.know
        loop.at(loop.now + SWEEP, self._sweep)
        log_event("headworks", node=settings.node, own=core.own[0], incarnation=core.own[1])

    def _sweep(self, _: object) -> None:
        self.transport.close_idle_links()
        self.loop.at(self.loop.now + SWEEP, self._sweep)

    def plan(self, settings: Settings, given: Given | None) -> None:
        """Works out failover chains, where they are wanted."""
        Planning(self.core, self._ctl.backends, self.loop, self.transport, settings, given)

    def contracts(self, settings: Settings) -> None:
        """At the start and on SIGHUP; a file that is there is looked at anew by itself."""
        if self._drains is not None:
            self._drains.again()
        elif os.path.exists(settings.contracts):
            from oakvale.controlplane.drains import Drains  # its imports cost, and most systems have no contracts

            self._drains = Drains(self.core, self.loop, self.transport, settings.contracts, settings.bounds.apply)
            self._ctl.offer(self._drains)

    def stop(self) -> None:
        self.shared.stopping = True
        self.shared.clients.end_idle()
        self.core.leave(self.loop.stop)


def serve(settings: Settings, signals: Signals, listeners: Mapping[str, Sock], chains: str | None = None) -> int:
    """`chains`: the operators' file on chains, where these are wanted. Raises BadFile, OSError."""
    given = None
    if chains is not None:
        from oakvale.config.chains import load  # its imports cost, and most systems have no chains

        given = load(chains, settings)
    datadir = settings.datadir
    if datadir is None or "ctl" not in settings.bind:
        raise BadFile("headworks needs [self] datadir and [network.bind] ctl")
    loop = Loop(Clock(), bounds(settings))
    process = Process(settings, listeners, loop, lambda: _opened(loop, datadir))
    process.plan(settings, given)
    watch = SettingsWatch(loop, os.environ, settings, lambda fresh: process.know(fresh.seeds))
    process.core.on_change.append(lambda serves: _ready_for_operators(loop) if serves else None)

    def again() -> None:
        watch.again()
        process.contracts(settings)

    process.contracts(settings)
    process.storage.on_broken = loop.stop
    loop.start(signals.run(process.stop, again), signals.fileno(), Rank.DISCOVERY)
    gc.collect()
    gc.freeze()
    try:
        loop.run()
    finally:
        loop.end(process.acceptor.task)
        process.storage.close()
        loop.close()
        signals.close()
    if process.storage.broken:
        log_event("ends, its file is broken", "error", node=settings.node)
        return BROKEN
    log_event("stopped", node=settings.node)
    return 0
