"""Logging: the logging module with a key=value formatter, and a handler that never waits for a full pipe."""

from __future__ import annotations

import logging
import os
import select
import time
from collections import Counter

LONGEST = select.PIPE_BUF  # a pipe that is ready takes this much without waiting
STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}


class KeyValueFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        at = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        fields = {"at": f"{at}.{int(record.msecs):03d}Z", "level": record.levelname.lower(),
                  "part": record.name.removeprefix("oakvale."), "event": record.getMessage()}
        fields |= {k: v for k, v in vars(record).items() if k not in STANDARD}
        if record.exc_info:
            fields["traceback"] = self.formatException(record.exc_info)
        return " ".join(f"{k}={quote(str(v))}" for k, v in fields.items())


def quote(text: str) -> str:
    if text and text.isprintable() and not any(c in text for c in ' "=\\'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return '"' + "".join(c if c.isprintable() else f"\\x{ord(c):02x}" for c in escaped) + '"'


class Seldom(logging.Filter):
    """So many lines a second of one event, at most: what bad peers cause by the hundred costs no more. The
    next line that passes says how many did not, in `held_back`."""

    def __init__(self, most: int) -> None:
        super().__init__()
        self._most, self._second = most, 0
        self._written: Counter[tuple[str, str]] = Counter()
        self._held: Counter[tuple[str, str]] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        if int(record.created) != self._second:
            self._second = int(record.created)
            self._written.clear()
        event = (record.name, str(record.msg)[:64])
        if self._written[event] >= self._most:
            self._held[event] += 1
            return False
        self._written[event] += 1
        if held := self._held.pop(event, 0):
            record.held_back = held
        return True


class PipeHandler(logging.Handler):
    """Writes lines to a descriptor only while that can't block; what does not fit is dropped and counted."""

    def __init__(self, fd: int) -> None:
        super().__init__()
        self.fd, self.dropped = fd, 0
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        try:
            line = self.format(record).encode("utf-8", "backslashreplace")[: LONGEST - 32]
            if self.dropped:
                line += b" dropped=%d" % self.dropped
            if any(flags & select.POLLOUT for _, flags in self._poll.poll(0)):
                os.write(self.fd, line + b"\n")
                self.dropped = 0
            else:
                self.dropped += 1
        except OSError:
            self.dropped += 1


def configure(level: str, same: int, fd: int = 2) -> None:
    handler = PipeHandler(fd)
    handler.addFilter(Seldom(same))
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
