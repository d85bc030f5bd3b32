"""The daybook: lines of the whole system's processes, through eliot."""

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


def _nowhere(_: dict[str, Any]) -> None:
    pass


@pytest.fixture
def lines() -> Iterator[Lines]:
    """A daybook open on a pipe; each call gives what was written since, without its time."""
    root = logging.getLogger()
    level, handlers = root.level, root.handlers[:]
    read, write = os.pipe()
    os.set_blocking(read, False)
    eliot.add_destinations(_nowhere)  # eliot keeps what was noted before the first destination, for that one
    eliot.remove_destination(_nowhere)
    eventlog.configure("info", 3, write)

    def since() -> list[str]:
        try:
            return [line.partition(" ")[2] for line in os.read(read, 65536).decode().splitlines()]
        except BlockingIOError:
            return []

    yield since
    eventlog.EVENT_LOG.close()
    root.handlers[:] = handlers
    root.setLevel(level)
    os.close(read)
    os.close(write)


def test_a_note_is_one_line_of_pairs_with_its_own_fields(lines: Lines) -> None:
    log_event = eventlog.EventLogger("oakvale.transport.links")
    log_event("view", view=3, primary="10.0.0.1:7340")
    log_event("bad frame", "warning", why='two "words"\n')
    log_event("nothing", "debug")
    assert lines() == [
        "level=info part=transport.links event=view view=3 primary=10.0.0.1:7340",
        'level=warning part=transport.links event="bad frame" why="two \\"words\\"\\n"',
    ]


def test_a_fault_and_records_of_logging_come_with_their_traceback_on_the_same_log(lines: Lines) -> None:
    try:
        raise ValueError("odd")
    except ValueError:
        eventlog.EventLogger("oakvale.transport.links").fault("message failed", kind="news")
        logging.getLogger("oakvale.base.loop").exception("timer failed", extra={"party": "client"})
    logging.getLogger("oakvale.host").debug("unheard")
    own, taken = lines()
    assert own.startswith('level=error part=transport.links event="message failed" kind=news traceback="Traceback')
    assert taken.startswith('level=error part=base.loop event="timer failed" party=client traceback="Trace')
    assert "ValueError: odd" in own and "ValueError: odd" in taken


def test_lines_of_one_event_are_bounded_and_counted(lines: Lines, monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_the_gateway_in_service_does_without_eliot() -> None:
    code = "import sys, oakvale.cli, oakvale.lifecycle.serving; sys.exit('eliot' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0
