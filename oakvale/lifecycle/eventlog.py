"""Event log of the processes of the complete system: one line of key=value pairs per event, written with `eliot`.

Each module logs through its own `EventLogger`. Events below the log level or above the rate limit are dropped before
they reach `eliot`. Records of the `logging` module, which code shared with the standalone gateway uses, are written to
the same log.
"""

from __future__ import annotations

import logging
import time
import traceback
from collections.abc import Mapping
from typing import Any

import eliot

from oakvale.lifecycle.logs import EventRateLimiter, NonBlockingPipe, extra_fields, format_pairs, format_timestamp

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
# fields of eliot that the line starts with or omits
RESERVED_FIELDS = frozenset({"message_type", "timestamp", "task_uuid", "task_level", "level", "part"})


class EventLog:
    """The event log of a process: its level, its rate limit and where it is written."""

    def __init__(self) -> None:
        self._min_level, self._rate_limiter = 0, EventRateLimiter(20)
        self._destination: PipeDestination | None = None

    def open(self, level: str, lines_per_second: int, fd: int = 2) -> None:
        """Starts writing to a descriptor, at most `lines_per_second` lines of each event."""
        self.close()
        self._min_level, self._rate_limiter = LEVELS[level], EventRateLimiter(lines_per_second)
        self._destination = PipeDestination(fd)
        eliot.add_destinations(self._destination)
        logging.basicConfig(level=level.upper(), handlers=[LoggingBridge()], force=True)

    def close(self) -> None:
        """Stops writing."""
        if self._destination is not None:
            eliot.remove_destination(self._destination)
            self._destination = None

    def write(self, part: str, event: str, level: str, fields: Mapping[str, Any]) -> None:
        """Writes an event unless it is below the level or above the rate limit."""
        if LEVELS.get(level, 20) < self._min_level:
            return
        suppressed = self._rate_limiter.admit((part, event[:64]), time.time())
        if suppressed is None:
            return
        if suppressed:
            fields = {**fields, "held_back": suppressed}
        eliot.log_message(message_type=event, part=part, level=level, **fields)


EVENT_LOG = EventLog()


class EventLogger:
    """Writes the events of one module: `log_event("view", primary=...)`."""

    def __init__(self, name: str) -> None:
        self._part = name.removeprefix("oakvale.")

    def __call__(self, event: str, level: str = "info", **fields: Any) -> None:
        EVENT_LOG.write(self._part, event, level, fields)

    def fault(self, event: str, **fields: Any) -> None:
        """Logs an error with the traceback of the exception that is being handled."""
        EVENT_LOG.write(self._part, event, "error", fields | {"traceback": traceback.format_exc().rstrip()})


class PipeDestination:
    """An `eliot` destination that writes lines to a pipe without blocking, and omits the tasks of `eliot`."""

    def __init__(self, fd: int) -> None:
        self._pipe = NonBlockingPipe(fd)

    def __call__(self, message: dict[str, Any]) -> None:
        timestamp = float(message.get("timestamp", 0.0))
        leading = {
            "at": format_timestamp(timestamp, int(timestamp % 1 * 1000)),
            "level": message.get("level", "error"),
            "part": message.get("part", "eliot"),
            "event": message.get("message_type", ""),
        }
        self._pipe.write(
            format_pairs(leading | {name: value for name, value in message.items() if name not in RESERVED_FIELDS})
        )


class LoggingBridge(logging.Handler):
    """Writes records of the `logging` module to the event log."""

    def emit(self, record: logging.LogRecord) -> None:
        fields = extra_fields(record)
        if record.exc_info:
            fields["traceback"] = "".join(traceback.format_exception(*record.exc_info)).rstrip()
        EVENT_LOG.write(record.name.removeprefix("oakvale."), record.getMessage(), record.levelname.lower(), fields)


def configure(level: str, lines_per_second: int, fd: int = 2) -> None:
    """Opens the event log of this process."""
    EVENT_LOG.open(level, lines_per_second, fd)
