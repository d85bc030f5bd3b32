"""The process of a core machine, started by `oakvale headworks`."""

from __future__ import annotations

import gc
import os
import sqlite3
import threading
import time
from collections.abc import Callable, Mapping
from importlib import import_module
from typing import TYPE_CHECKING

from oakvale.base.loop import Clock, Loop, Priority
from oakvale.base.net import Sock
from oakvale.config.bounds import limits_from_settings
from oakvale.config.settings import Settings
from oakvale.config.settings_watch import SettingsWatch
from oakvale.config.toml_table import BadFile
from oakvale.controlplane.compaction import Compactor
from oakvale.controlplane.control_server import ControlServer
from oakvale.controlplane.core import Core
from oakvale.controlplane.failover_planning import FailoverPlanner
from oakvale.controlplane.membership import GatewayRegistry
from oakvale.controlplane.status import core_status
from oakvale.controlplane.voter import VoterService
from oakvale.coordination.service import CoordinationService
from oakvale.coordination.watches import MAX_WAITING_WATCHES
from oakvale.lifecycle.acceptor import Acceptor
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.lifecycle.signals import Signals
from oakvale.shared import SharedResources
from oakvale.storage.store import Storage
from oakvale.transport.links import Transport
from oakvale.transport.status_service import serve_status

if TYPE_CHECKING:
    from oakvale.config.chains import ChainSettings
    from oakvale.controlplane.drains import DrainManager

log_event = EventLogger(__name__)
TRANSPORT_SWEEP_INTERVAL_US = 1_000_000
EXIT_STORAGE_BROKEN = 3  # exit status; the next start sets the file aside and rejoins as a replica without state
CONFIG_IMPORT_DELAY_US = 3_000_000  # after it began to serve, when waiting subscribers have been served
MAX_OPEN_ATTEMPTS, OPEN_RETRY_DELAY_S = 50, 0.2


def _open_storage(loop: Loop, folder: str) -> Storage:
    """Opens the storage, with retries: disk errors may be transient, and a restart would only try again."""
    for attempt in range(MAX_OPEN_ATTEMPTS):
        try:
            return Storage(loop, folder)
        except (sqlite3.Error, OSError) as error:
            if attempt == MAX_OPEN_ATTEMPTS - 1:
                raise BadFile(f"[self] datadir {folder}: {error}") from error
            log_event("disk refuses", "warning", why=str(error))
            time.sleep(OPEN_RETRY_DELAY_S)
    raise AssertionError


def _preload_config_model(loop: Loop) -> None:
    """Imports the configuration checks before the first configuration arrives. Delayed, so that waiting subscribers are
    served first, and in a thread, since the import may take longer than the heartbeat interval."""
    thread = threading.Thread(target=import_module, args=("oakvale.config.model",), daemon=True)
    loop.at(loop.now + CONFIG_IMPORT_DELAY_US, lambda _: None if thread.ident else thread.start())


class Process:
    """All services of a core machine that run on its loop, except signals and settings files."""

    def __init__(
        self, settings: Settings, listeners: Mapping[str, Sock], loop: Loop, open_storage: Callable[[], Storage]
    ) -> None:
        """`open_storage` may block for some time. Raises BadFile, OSError."""
        self.loop = loop
        self.transport = Transport(loop, (settings.ip, settings.ports[0]))
        self.transport.listen()
        self.storage = open_storage()
        self.core = core = Core(loop, self.transport, settings, self.storage)
        voter_service = VoterService(loop, self.transport, self.storage, settings.bootstrap, core.is_witness)
        GatewayRegistry(core, voter_service, loop, self.transport)
        Compactor(core, loop)
        limits = limits_from_settings(settings)
        # other calls need connections too
        max_watches = min(MAX_WAITING_WATCHES, limits.clients // 2)
        coordination = CoordinationService(core, loop, settings.bounds.retain, max_watches)
        serve_status(self.transport, "headworks", settings.node, lambda: core_status(core, coordination.status()))
        self.shared = SharedResources(loop, limits)
        self._ctl = ControlServer(self.shared, core, settings)
        self._ctl.enable_coordination(coordination.handlers())
        self.acceptor = Acceptor(self._ctl, listeners["ctl"], loop)
        self._drains: DrainManager | None = None
        self.know = core.update_seeds
        loop.at(loop.now + TRANSPORT_SWEEP_INTERVAL_US, self._sweep)
        log_event("headworks", node=settings.node, own=core.self_id[0], incarnation=core.self_id[1])

    def _sweep(self, _: object) -> None:
        self.transport.close_idle_links()
        self.loop.at(self.loop.now + TRANSPORT_SWEEP_INTERVAL_US, self._sweep)

    def plan_failover(self, settings: Settings, chain_settings: ChainSettings | None) -> None:
        """Starts failover planning; without `chain_settings` it only removes earlier plans."""
        FailoverPlanner(self.core, self._ctl.backends, self.loop, self.transport, settings, chain_settings)

    def load_contracts(self, settings: Settings) -> None:
        """Reads the contracts file at the start and on SIGHUP; later changes are also noticed without a signal."""
        if self._drains is not None:
            self._drains.reload()
        elif os.path.exists(settings.contracts):
            from oakvale.controlplane.drains import DrainManager  # slow to import; most systems have no contracts

            self._drains = DrainManager(self.core, self.loop, self.transport, settings.contracts, settings.bounds.apply)
            self._ctl.enable_drains(self._drains)

    def stop(self) -> None:
        """Begins an orderly shutdown; the loop stops once the other core machines can spare this one. Until then calls
        are answered, also on connections that were idle, and each answer closes its connection."""
        self.shared.stopping = True
        self.core.leave(self.loop.stop)


def serve(settings: Settings, signals: Signals, listeners: Mapping[str, Sock], chains: str | None = None) -> int:
    """Runs the process and returns its exit status. `chains`: path of the file on failover chains, if they are used.
    Raises BadFile, OSError."""
    chain_settings = None
    if chains is not None:
        from oakvale.config.chains import load  # slow to import; most systems have no chains

        chain_settings = load(chains, settings)
    datadir = settings.datadir
    if datadir is None or "ctl" not in settings.bind:
        raise BadFile("headworks needs [self] datadir and [network.bind] ctl")
    loop = Loop(Clock(), limits_from_settings(settings))
    process = Process(settings, listeners, loop, lambda: _open_storage(loop, datadir))
    process.plan_failover(settings, chain_settings)
    watch = SettingsWatch(loop, os.environ, settings, lambda fresh: process.know(fresh.seeds))
    process.core.on_serving_change.append(lambda serves: _preload_config_model(loop) if serves else None)

    def reload() -> None:
        watch.reload()
        process.load_contracts(settings)

    process.load_contracts(settings)
    process.storage.on_broken = loop.stop
    loop.start(signals.run(process.stop, reload), signals.fileno(), Priority.DISCOVERY)
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
        return EXIT_STORAGE_BROKEN
    log_event("stopped", node=settings.node)
    return 0
