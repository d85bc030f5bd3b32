"""Reloads the settings file on SIGHUP, and when its modification time or size changes.

A running process takes over only the seed addresses; every other change requires a restart. A file that cannot be
used is logged and otherwise ignored.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from dataclasses import replace

from oakvale.base.loop import Loop
from oakvale.config.settings import DEFAULT_PATH, Settings, load
from oakvale.config.toml_table import BadFile
from oakvale.lifecycle.eventlog import EventLogger

CHECK_INTERVAL_US = 2_000_000

log_event = EventLogger(__name__)


class SettingsWatch:
    """Checks the file at intervals and calls `on_change` with each new version of the settings."""

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
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size

    def _check_file(self, _: object) -> None:
        self._loop.at(self._loop.now + CHECK_INTERVAL_US, self._check_file)
        stamp = self._file_stamp()
        if stamp is not None and stamp != self._last_stamp:
            self.reload()

    def reload(self) -> None:
        """Reads the file, and reports the settings if they changed."""
        self._last_stamp = self._file_stamp()
        try:
            fresh = load(self._environment)
        except BadFile as error:
            log_event("settings refused", "error", why=str(error))
            return
        previous, self.settings = self.settings, fresh
        if fresh == previous:
            return
        needs_restart = replace(previous, seeds=fresh.seeds) != fresh
        log_event("settings", seeds=",".join(f"{ip}:{port}" for ip, port in fresh.seeds), needs_restart=needs_restart)
        self._on_change(fresh)
