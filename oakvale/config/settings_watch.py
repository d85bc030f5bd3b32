"""A settings file that changes under way: read anew on SIGHUP, and when its time or size is another.

What can change in a running process is where other machines are found; everything else takes a restart. A file
that can't be used changes nothing.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from dataclasses import replace

from oakvale.base.loop import Loop
from oakvale.config.settings import DEFAULT_PATH, Settings, load
from oakvale.config.toml_table import BadFile
from oakvale.lifecycle.eventlog import EventLogger

LOOK = 2_000_000  # microseconds between two looks at the file

log_event = EventLogger(__name__)


class SettingsWatch:
    def __init__(
        self, loop: Loop, environment: Mapping[str, str], settings: Settings, told: Callable[[Settings], None]
    ) -> None:
        self._loop, self._environment, self._told = loop, environment, told
        self._path = environment.get("OAKVALE_SETTINGS") or DEFAULT_PATH
        self.settings = settings
        self._seen = self._stamp()
        loop.at(loop.now + LOOK, self._look)

    def _stamp(self) -> tuple[int, int] | None:
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size

    def _look(self, _: object) -> None:
        self._loop.at(self._loop.now + LOOK, self._look)
        stamp = self._stamp()
        if stamp is not None and stamp != self._seen:
            self.again()

    def again(self) -> None:
        self._seen = self._stamp()
        try:
            fresh = load(self._environment)
        except BadFile as error:
            log_event("settings refused", "error", why=str(error))
            return
        was, self.settings = self.settings, fresh
        if fresh == was:
            return
        kept = replace(was, seeds=fresh.seeds) != fresh
        log_event("settings", seeds=",".join(f"{ip}:{port}" for ip, port in fresh.seeds), needs_restart=kept)
        self._told(fresh)
