"""Logging: a key=value formatter for the `logging` module, and a handler that does not block on a full pipe."""

from __future__ import annotations

import logging
import os
import select
import time
from collections import Counter
from collections.abc import Mapping
from typing import Any

MAX_LINE_BYTES = select.PIPE_BUF  # a writable pipe accepts this much without blocking
STANDARD_RECORD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs."""

    def format(self, record: logging.LogRecord) -> str:
        fields = {
            "at": format_timestamp(record.created, int(record.msecs)),
            "level": record.levelname.lower(),
            "part": record.name.removeprefix("oakvale."),
            "event": record.getMessage(),
        }
        fields |= extra_fields(record)
        if record.exc_info:
            fields["traceback"] = self.formatException(record.exc_info)
        return format_pairs(fields)


def format_timestamp(seconds: float, milliseconds: int) -> str:
    """Formats a Unix time as ISO 8601 in UTC with milliseconds."""
    return f"{time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(seconds))}.{milliseconds:03d}Z"


def extra_fields(record: logging.LogRecord) -> dict[str, Any]:
    """Returns the fields that were passed as `extra`."""
    return {name: value for name, value in vars(record).items() if name not in STANDARD_RECORD_FIELDS}


def format_pairs(fields: Mapping[str, Any]) -> str:
    """Formats fields as key=value pairs separated by spaces."""
    return " ".join(f"{name}={quote(str(value))}" for name, value in fields.items())


def quote(text: str) -> str:
    """Quotes and escapes a value unless it is plain printable text without spaces."""
    if text and text.isprintable() and not any(char in text for char in ' "=\\'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return '"' + "".join(char if char.isprintable() else f"\\x{ord(char):02x}" for char in escaped) + '"'


class EventRateLimiter:
    """Limits the log lines per second of each event, so that misbehaving peers cannot flood the log."""

    def __init__(self, lines_per_second: int) -> None:
        self._lines_per_second, self._second = lines_per_second, 0
        self._written: Counter[tuple[str, str]] = Counter()
        self._suppressed: Counter[tuple[str, str]] = Counter()

    def admit(self, event: tuple[str, str], timestamp: float) -> int | None:
        """Returns None if the line must be dropped, otherwise how many were dropped since the last written one."""
        if int(timestamp) != self._second:
            self._second = int(timestamp)
            self._written.clear()
        if self._written[event] >= self._lines_per_second:
            self._suppressed[event] += 1
            return None
        self._written[event] += 1
        return self._suppressed.pop(event, 0)


class NonBlockingPipe:
    """Writes lines to a descriptor without blocking; drops and counts lines that do not fit."""

    def __init__(self, fd: int) -> None:
        self.fd, self.dropped = fd, 0
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    def write(self, text: str) -> None:
        """Writes one line, with the number of lines dropped before it if any."""
        try:
            line = text.encode("utf-8", "backslashreplace")[: MAX_LINE_BYTES - 32]
            if self.dropped:
                line += b" dropped=%d" % self.dropped
            if any(flags & select.POLLOUT for _, flags in self._poll.poll(0)):
                os.write(self.fd, line + b"\n")
                self.dropped = 0
            else:
                self.dropped += 1
        except OSError:
            self.dropped += 1


class RateLimitFilter(logging.Filter):
    """Applies the rate limit to records; a record reports in `held_back` how many were dropped before it."""

    def __init__(self, lines_per_second: int) -> None:
        super().__init__()
        self._rate_limiter = EventRateLimiter(lines_per_second)

    def filter(self, record: logging.LogRecord) -> bool:
        suppressed = self._rate_limiter.admit((record.name, str(record.msg)[:64]), record.created)
        if suppressed:
            record.held_back = suppressed
        return suppressed is not None


class PipeHandler(logging.Handler):
    """A logging handler that writes to a pipe without blocking."""

    def __init__(self, fd: int) -> None:
        super().__init__()
        self._pipe = NonBlockingPipe(fd)

    @property
    def dropped(self) -> int:
        return self._pipe.dropped

    def emit(self, record: logging.LogRecord) -> None:
        self._pipe.write(self.format(record))


def configure(level: str, lines_per_second: int, fd: int = 2) -> None:
    """Logs to a descriptor, at most `lines_per_second` lines of each event."""
    handler = PipeHandler(fd)
    handler.addFilter(RateLimitFilter(lines_per_second))
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
