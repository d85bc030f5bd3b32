"""Logging: the logging module with a key=value formatter, and a handler that never waits for a full pipe."""

from __future__ import annotations

import logging
import os
import select
import time
from collections import Counter
from collections.abc import Mapping
from typing import Any

LONGEST = select.PIPE_BUF  # a pipe that is ready takes this much without waiting
STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}


class KeyValueFormatter(logging.Formatter):
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


def format_timestamp(at: float, ms: int) -> str:
    return f"{time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(at))}.{ms:03d}Z"


def extra_fields(record: logging.LogRecord) -> dict[str, Any]:
    return {k: v for k, v in vars(record).items() if k not in STANDARD}


def format_pairs(fields: Mapping[str, Any]) -> str:
    return " ".join(f"{k}={quote(str(v))}" for k, v in fields.items())


def quote(text: str) -> str:
    if text and text.isprintable() and not any(c in text for c in ' "=\\'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return '"' + "".join(c if c.isprintable() else f"\\x{ord(c):02x}" for c in escaped) + '"'


class EventRateLimiter:
    """So many lines a second of one event, at most: what bad peers cause by the hundred costs no more."""

    def __init__(self, most: int) -> None:
        self._most, self._second = most, 0
        self._written: Counter[tuple[str, str]] = Counter()
        self._held: Counter[tuple[str, str]] = Counter()

    def held_back(self, event: tuple[str, str], at: float) -> int | None:
        """None for a line that is one too many; else how many were since the last that was not."""
        if int(at) != self._second:
            self._second = int(at)
            self._written.clear()
        if self._written[event] >= self._most:
            self._held[event] += 1
            return None
        self._written[event] += 1
        return self._held.pop(event, 0)


class NonBlockingPipe:
    """Writes lines to a descriptor only while that can't block; what does not fit is dropped and counted."""

    def __init__(self, fd: int) -> None:
        self.fd, self.dropped = fd, 0
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    def write(self, text: str) -> None:
        try:
            line = text.encode("utf-8", "backslashreplace")[: LONGEST - 32]
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
    """The next line of an event that passes says how many did not, in `held_back`."""

    def __init__(self, most: int) -> None:
        super().__init__()
        self._bound = EventRateLimiter(most)

    def filter(self, record: logging.LogRecord) -> bool:
        held = self._bound.held_back((record.name, str(record.msg)[:64]), record.created)
        if held:
            record.held_back = held
        return held is not None


class PipeHandler(logging.Handler):
    def __init__(self, fd: int) -> None:
        super().__init__()
        self._pipe = NonBlockingPipe(fd)

    @property
    def dropped(self) -> int:
        return self._pipe.dropped

    def emit(self, record: logging.LogRecord) -> None:
        self._pipe.write(self.format(record))


def configure(level: str, same: int, fd: int = 2) -> None:
    handler = PipeHandler(fd)
    handler.addFilter(RateLimitFilter(same))
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
