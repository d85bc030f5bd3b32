"""Daybook: the log of the whole system's processes, one line of key=value pairs for each event, through `eliot`.

Each package writes with a `Writer` of its own. What is beneath the level or one too many of its event ends
before `eliot` sees it. Records of the `logging` module, from the code that is shared with the gateway in service,
are taken in as well, so that a process has one log.
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
OWN = frozenset({"message_type", "timestamp", "task_uuid", "task_level", "level", "part"})  # said first, or not


class EventLog:
    """What a process writes, and where."""

    def __init__(self) -> None:
        self._least, self._bound = 0, EventRateLimiter(20)
        self._destination: Line | None = None

    def open(self, level: str, same: int, fd: int = 2) -> None:
        self.close()
        self._least, self._bound = LEVELS[level], EventRateLimiter(same)
        self._destination = Line(fd)
        eliot.add_destinations(self._destination)
        logging.basicConfig(level=level.upper(), handlers=[Taken()], force=True)

    def close(self) -> None:
        if self._destination is not None:
            eliot.remove_destination(self._destination)
            self._destination = None

    def write(self, part: str, event: str, level: str, fields: Mapping[str, Any]) -> None:
        if LEVELS.get(level, 20) < self._least:
            return
        held = self._bound.held_back((part, event[:64]), time.time())
        if held is None:
            return
        if held:
            fields = {**fields, "held_back": held}
        eliot.log_message(message_type=event, part=part, level=level, **fields)


EVENT_LOG = EventLog()


class EventLogger:
    """What one module notes: `note("view", primary=...)`."""

    def __init__(self, name: str) -> None:
        self._part = name.removeprefix("oakvale.")

    def __call__(self, event: str, level: str = "info", **fields: Any) -> None:
        EVENT_LOG.write(self._part, event, level, fields)

    def fault(self, event: str, **fields: Any) -> None:
        """A fault of this program, with the exception that is being handled."""
        EVENT_LOG.write(self._part, event, "error", fields | {"traceback": traceback.format_exc().rstrip()})


class Line:
    """A destination of `eliot`: a line on a pipe, which is never waited for. Tasks have no meaning here."""

    def __init__(self, fd: int) -> None:
        self._pipe = NonBlockingPipe(fd)

    def __call__(self, message: dict[str, Any]) -> None:
        at = float(message.get("timestamp", 0.0))
        first = {
            "at": format_timestamp(at, int(at % 1 * 1000)),
            "level": message.get("level", "error"),
            "part": message.get("part", "eliot"),
            "event": message.get("message_type", ""),
        }
        self._pipe.write(format_pairs(first | {k: v for k, v in message.items() if k not in OWN}))


class Taken(logging.Handler):
    """Records of the `logging` module, written into the daybook."""

    def emit(self, record: logging.LogRecord) -> None:
        fields = extra_fields(record)
        if record.exc_info:
            fields["traceback"] = "".join(traceback.format_exception(*record.exc_info)).rstrip()
        EVENT_LOG.write(record.name.removeprefix("oakvale."), record.getMessage(), record.levelname.lower(), fields)


def configure(level: str, same: int, fd: int = 2) -> None:
    EVENT_LOG.open(level, same, fd)
