"""The process of the core role: `oakvale headworks`."""

from __future__ import annotations

import gc
import os
import socket
import sqlite3
import time

from oakvale.base.limits import Limits
from oakvale.base.loop import Clock, Loop, Rank
from oakvale.cistern.store import Cistern
from oakvale.headworks.core import Core
from oakvale.headworks.ctl import Ctl
from oakvale.headworks.gates import Gates
from oakvale.headworks.jury import Jury
from oakvale.headworks.planning import Planning
from oakvale.headworks.pruning import Pruning
from oakvale.headworks.standing import standing
from oakvale.intake.bounds import bounds
from oakvale.intake.chains import load
from oakvale.intake.settings import BadSettings, Settings
from oakvale.intake.watch import SettingsWatch
from oakvale.lane import Shared
from oakvale.lifecycle.acceptor import Acceptor
from oakvale.lifecycle.daybook import Writer
from oakvale.lifecycle.signals import Signals
from oakvale.mains.links import Mains
from oakvale.mains.standing import offer

note = Writer(__name__)
SWEEP = 1_000_000
OPENS, PAUSE = 50, 0.2  # tries at the disk at the start, and seconds between them


def _opened(loop: Loop, folder: str) -> Cistern:
    """A disk in trouble refuses for a while; a process that ends for that would only begin again."""
    for tries in range(OPENS):
        try:
            return Cistern(loop, folder)
        except (sqlite3.Error, OSError) as error:
            if tries == OPENS - 1:
                raise BadSettings(f"[self] datadir {folder}: {error}") from error
            note("disk refuses", "warning", why=str(error))
            time.sleep(PAUSE)
    raise AssertionError


def serve(settings: Settings, signals: Signals, listeners: dict[str, socket.socket], chains: str | None = None) -> int:
    """`chains`: the operators' file on chains, where these are wanted. Raises BadSettings, OSError."""
    given = load(chains, settings) if chains is not None else None
    if settings.datadir is None or "ctl" not in settings.bind:
        raise BadSettings("headworks needs [self] datadir and [network.bind] ctl")
    limits: Limits = bounds(settings)
    loop = Loop(Clock(), limits)
    mains = Mains(loop, (settings.ip, settings.ports[0]))
    mains.listen()
    cistern = _opened(loop, settings.datadir)
    core = Core(loop, mains, settings, cistern)
    Gates(core, Jury(loop, mains, cistern), loop, mains)
    Pruning(core, loop)
    offer(mains, "headworks", settings.node, lambda: standing(core))
    shared = Shared(loop, limits)
    ctl = Ctl(shared, core, settings)
    Planning(core, ctl.backends, loop, mains, settings, given)
    acceptor = Acceptor(ctl, listeners["ctl"], loop)

    def sweep(_: object) -> None:
        mains.sweep()
        loop.at(loop.now + SWEEP, sweep)

    watch = SettingsWatch(loop, os.environ, settings, lambda fresh: core.know(fresh.seeds))

    def stop() -> None:
        shared.stopping = True
        core.resign()
        shared.clients.end_idle()
        loop.at(loop.now + 300_000, lambda _: loop.stop())

    loop.at(loop.now + SWEEP, sweep)
    loop.start(signals.run(stop, watch.again), signals.fileno(), Rank.DISCOVERY)
    gc.collect()
    gc.freeze()
    note("headworks", node=settings.node, own=core.own[0], incarnation=core.own[1])
    try:
        loop.run()
    finally:
        loop.end(acceptor.task)
        cistern.close()
        loop.close()
        signals.close()
    note("stopped", node=settings.node)
    return 0
