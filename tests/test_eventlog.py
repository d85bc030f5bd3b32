"""The event log that processes of the complete system write through eliot."""

from __future__ import annotations

import logging
import os
import subprocess
import sys
from collections.abc import Callable, Iterator
from typing import Any

import eliot
import pytest

from oakvale.lifecycle import eventlog

Lines = Callable[[], list[str]]


def _discard(_: dict[str, Any]) -> None:
    pass


@pytest.fixture
def lines() -> Iterator[Lines]:
    """An event log that writes to a pipe; each call returns the lines since the last call, without timestamps."""
    root = logging.getLogger()
    level, handlers = root.level, root.handlers[:]
    read, write = os.pipe()
    os.set_blocking(read, False)
    eliot.add_destinations(_discard)  # eliot buffers messages for the first destination that is added
    eliot.remove_destination(_discard)
    eventlog.configure("info", 3, write)

    def new_lines() -> list[str]:
        try:
            return [line.partition(" ")[2] for line in os.read(read, 65536).decode().splitlines()]
        except BlockingIOError:
            return []

    yield new_lines
    eventlog.EVENT_LOG.close()
    root.handlers[:] = handlers
    root.setLevel(level)
    os.close(read)
    os.close(write)


def test_an_event_is_one_line_of_key_value_pairs(lines: Lines) -> None:
    log_event = eventlog.EventLogger("oakvale.transport.links")
    log_event("view", view=3, primary="10.0.0.1:7340")
    log_event("bad frame", "warning", why='two "words"\n')
    log_event("nothing", "debug")
    assert lines() == [
        "level=info part=transport.links event=view view=3 primary=10.0.0.1:7340",
        'level=warning part=transport.links event="bad frame" why="two \\"words\\"\\n"',
    ]


def test_faults_and_logging_records_are_written_to_the_same_log_with_tracebacks(lines: Lines) -> None:
    try:
        raise ValueError("odd")
    except ValueError:
        eventlog.EventLogger("oakvale.transport.links").fault("message failed", kind="news")
        logging.getLogger("oakvale.base.loop").exception("timer failed", extra={"party": "client"})
    logging.getLogger("oakvale.host").debug("unheard")
    fault, record = lines()
    assert fault.startswith('level=error part=transport.links event="message failed" kind=news traceback="Traceback')
    assert record.startswith('level=error part=base.loop event="timer failed" party=client traceback="Trace')
    assert "ValueError: odd" in fault and "ValueError: odd" in record


def test_lines_of_an_event_are_rate_limited_and_dropped_ones_are_counted(
    lines: Lines, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = 1000.0
    monkeypatch.setattr("oakvale.lifecycle.eventlog.time.time", lambda: now)
    log_event = eventlog.EventLogger("oakvale.ratelimit.service")
    for _ in range(10):
        log_event("counting")
    log_event("counts no longer")
    assert len(lines()) == 4
    now += 1
    log_event("counting")
    assert lines() == ["level=info part=ratelimit.service event=counting held_back=7"]


def test_the_standalone_gateway_does_not_import_eliot() -> None:
    code = "import sys, oakvale.cli, oakvale.lifecycle.serving; sys.exit('eliot' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0
