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

CHECK_INTERVAL_US = 2_000_000  # microseconds between two looks at the file

log_event = EventLogger(__name__)


class SettingsWatch:
    def __init__(
        self, loop: Loop, environment: Mapping[str, str], settings: Settings, on_change: Callable[[Settings], None]
    ) -> None:
        self._loop, self._environment, self._on_change = loop, environment, on_change
        self._path = environment.get("OAKVALE_SETTINGS") or DEFAULT_PATH
        self.settings = settings
        self._last_stamp = self._file_stamp()
        loop.at(loop.now + CHECK_INTERVAL_US, self._check_file)

    def _file_stamp(self) -> tuple[int, int] | None:
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size

    def _check_file(self, _: object) -> None:
        self._loop.at(self._loop.now + CHECK_INTERVAL_US, self._check_file)
        stamp = self._file_stamp()
        if stamp is not None and stamp != self._last_stamp:
            self.reload()

    def reload(self) -> None:
        self._last_stamp = self._file_stamp()
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
        self._on_change(fresh)
