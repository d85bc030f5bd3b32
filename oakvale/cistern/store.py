"""The file of a core machine: a few named facts and the rows of the control state.

All writes go through one thread, in order; those that wait together share a transaction and its sync. A call's
`then` runs in the loop once its write, and so every earlier one, is on disk. A disk that hangs or refuses
holds the thread up, never the loop: `waiting_since` tells how long, and the write is tried again until it lasts.
"""

from __future__ import annotations

import os
import socket
import sqlite3
import threading
import time
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any

from oakvale.base.loop import READ, Coroutine, Loop, Rank
from oakvale.lifecycle.daybook import Writer

Row = tuple[str, bytes]
Write = tuple[str, Any]  # ("fact", (name, value)) | ("rows", [row...]) | ("whole", [row...]) | ("gone", [key...])

RETRY = 0.05  # seconds between two tries at a disk that refuses
MOST = 64  # writes in one transaction

note = Writer(__name__)


class Cistern:
    def __init__(self, loop: Loop, folder: str) -> None:
        """Raises OSError or sqlite3.Error where the folder can't be used."""
        self._loop = loop
        os.makedirs(folder, exist_ok=True)
        self._path = os.path.join(folder, "oakvale.db")
        self._db = sqlite3.connect(self._path, isolation_level=None, check_same_thread=False)
        self._db.execute("pragma locking_mode=exclusive")  # one process: no index of the log in shared pages
        self._db.execute("pragma journal_mode=wal")
        self._db.execute("pragma synchronous=full")
        self._db.execute("pragma wal_autocheckpoint=200")
        self._db.execute("create table if not exists fact (name text primary key, value blob) without rowid")
        self._db.execute("create table if not exists row (key text primary key, value blob) without rowid")
        self._queue: SimpleQueue[tuple[int, Write] | None] = SimpleQueue()
        self._then: dict[int, Callable[[], None]] = {}
        self._since: dict[int, int] = {}  # number -> when it was asked for
        self._number = self._done = 0
        self._read, self._wake = socket.socketpair()
        self._read.setblocking(False)
        self._wake.setblocking(False)
        loop.start(self._notice(), self._read.fileno(), Rank.COUNTER)
        self._thread = threading.Thread(target=self._work, name="cistern", daemon=True)
        self._thread.start()

    # ---- reading, at the start alone

    def fact(self, name: str) -> bytes | None:
        found = self._db.execute("select value from fact where name = ?", (name,)).fetchone()
        return bytes(found[0]) if found else None

    def rows(self) -> list[Row]:
        return [(key, bytes(value)) for key, value in self._db.execute("select key, value from row")]

    # ---- writing

    def write(self, what: Write, then: Callable[[], None]) -> None:
        self._number += 1
        self._then[self._number] = then
        self._since[self._number] = self._loop.now
        self._queue.put((self._number, what))

    def waiting_since(self) -> int | None:
        """When the oldest write that is not on disk yet was asked for."""
        return next(iter(self._since.values()), None)

    def _notice(self) -> Coroutine:
        try:
            while True:
                yield READ, 0
                try:
                    self._read.recv(4096)
                except BlockingIOError:
                    continue
                done = self._done
                for number in [n for n in self._then if n <= done]:
                    then = self._then.pop(number)
                    self._since.pop(number, None)
                    try:
                        then()
                    except Exception:
                        note.fault("what follows a write failed")
        finally:
            self._read.close()

    def close(self) -> None:
        """Waits for what is under way; a disk that hangs is not waited for."""
        self._queue.put(None)
        self._thread.join(0.3)

    # ---- the thread

    def _work(self) -> None:
        while True:
            first = self._queue.get()
            if first is None:
                return
            batch = [first]
            while len(batch) < MOST and not self._queue.empty():
                more = self._queue.get()
                if more is None:
                    self._commit(batch)
                    return
                batch.append(more)
            self._commit(batch)
            self._done = batch[-1][0]
            try:
                self._wake.send(b"\0")
            except (BlockingIOError, OSError):
                pass  # a byte is there already, or the loop has ended

    def _commit(self, batch: list[tuple[int, Write]]) -> None:
        while True:
            try:
                self._db.execute("begin immediate")
                for _, (kind, data) in batch:
                    if kind == "fact":
                        self._db.execute("insert or replace into fact values (?, ?)", data)
                    elif kind == "gone":
                        self._db.executemany("delete from row where key = ?", [(key,) for key in data])
                    else:
                        if kind == "whole":
                            self._db.execute("delete from row")
                        self._db.executemany("insert or replace into row values (?, ?)", data)
                self._db.execute("commit")
                return
            except sqlite3.Error as error:
                note("disk refuses", "warning", why=str(error))
                try:
                    self._db.execute("rollback")
                except sqlite3.Error:
                    pass
                time.sleep(RETRY)
