"""The file of a core machine: a few named facts, the rows of the control state, and pieces of one that is on its way.

All writes go through one thread, in order; those that wait together share a transaction and its sync. A call's
`then` runs in the loop once its write, and so every earlier one, is on disk. A disk that hangs or refuses
holds the thread up, never the loop: `waiting_since` tells how long, and the write is tried again until it lasts. A file
that is found broken while it is in use is not written to any more: `on_broken` runs in the loop.

A file is taken as it is only if it is whole. Each transaction is numbered and seals all that the file holds with a
checksum; the number is also noted in a file of its own, behind the sync and without one, so that it is never ahead of
an honest disk: a file that was cut back to an older state shows by it, though that state is whole in itself.
"""

from __future__ import annotations

import os
import socket
import sqlite3
import threading
import time
from collections.abc import Callable
from hashlib import blake2b
from queue import SimpleQueue
from typing import Any

from oakvale.base.loop import READ, Coroutine, Loop, Rank
from oakvale.lifecycle.eventlog import EventLogger

Row = tuple[str, bytes]
Piece = tuple[bytes, bytes]  # its name, and what it holds
Write = tuple[str, Any]  # ("fact", (name, value)) | ("rows", [row...]) | ("gone", [key...]) | ("stage", [piece...])
# | ("unstage", [name...]) | ("whole", [row...]): no rows but these, and no pieces

RETRY = 0.05  # seconds between two tries at a disk that refuses
MOST = 64  # writes in one transaction
MOST_BYTES = 1 << 20  # a transaction that holds more takes no further write
LOG = 4 << 20  # bytes that the log keeps of the disk once it is worked in
SEALED = 1  # `user_version` of a file whose every transaction is sealed; 0 of one of before, or an empty one
SEAL = "seal"  # the fact: 8 bytes that name the file, 8 of the transaction's number, 16 of the checksum
TABLES = {"fact": "name", "row": "key", "piece": "name"}
BROKEN = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)
DAMAGED = (*BROKEN, sqlite3.SQLITE_ERROR)  # the last: a table is missing

log_event = EventLogger(__name__)


class Damaged(Exception):
    """The file holds something else than what was written to it, or an older state."""


class Storage:
    def __init__(self, loop: Loop, folder: str) -> None:
        """A file that is damaged is put aside, and another begun. Raises OSError or sqlite3.Error where the folder
        can't be used."""
        self._loop = loop
        if not os.path.isdir(folder):
            os.makedirs(folder, exist_ok=True)
            _sync_folder(os.path.dirname(os.path.abspath(folder)))
        self._folder, self._path = folder, os.path.join(folder, "oakvale.db")
        self._mark, self._aside = (os.path.join(folder, f"oakvale.{name}") for name in ("mark", "db.damaged"))
        self.first = not any(map(os.path.exists, (self._mark, self._aside)))  # no state was ever kept here
        self._id, self._commits, self._total = os.urandom(8), 0, 0
        self._sums: dict[str, dict[Any, int]] = {}  # of all that the file holds
        self._undo: list[tuple[str, Any, int]] = []
        try:
            self._open()
        except (Damaged, sqlite3.DatabaseError) as error:
            if getattr(error, "sqlite_errorcode", sqlite3.SQLITE_CORRUPT) & 0xFF not in DAMAGED:
                raise  # the disk refuses
            log_event("file is damaged", "error", why=str(error), kept=self._aside, begins="without state")
            self.first = False
            self._put_aside()
            self._open()
        else:
            if not self.first and not self._commits:
                log_event("no state where there was one", "error", folder=folder, begins="without state")
        self._mark_file = os.open(self._mark, os.O_RDWR | os.O_CREAT, 0o644) if self._commits else -1
        self._queue: SimpleQueue[tuple[int, Write] | None] = SimpleQueue()
        self._then: dict[int, Callable[[], None]] = {}
        self._since: dict[int, int] = {}  # number -> when it was asked for
        self._number = self._done = 0
        self.broken = False
        self.on_broken: Callable[[], None] = lambda: None
        self._read, self._wake = socket.socketpair()
        self._read.setblocking(False)
        self._wake.setblocking(False)
        loop.start(self._notice(), self._read.fileno(), Rank.COUNTER)
        self._thread = threading.Thread(target=self._work, name="cistern", daemon=True)
        self._thread.start()

    # ---- opening

    def _open(self) -> None:
        """Raises Damaged, sqlite3.Error, OSError."""
        self._db = sqlite3.connect(self._path, isolation_level=None, check_same_thread=False)
        self._db.execute("pragma locking_mode=exclusive")  # one process: no index of the log in shared pages
        self._db.execute("pragma journal_mode=wal")
        self._db.execute("pragma synchronous=full")
        self._db.execute("pragma wal_autocheckpoint=200")
        self._db.execute(f"pragma journal_size_limit={LOG}")
        sealed = self._db.execute("pragma user_version").fetchone()[0] == SEALED
        if sealed:
            self._check()
        self._db.execute("begin immediate")
        for table, key in TABLES.items():
            kind = "blob" if table == "piece" else "text"
            self._db.execute(f"create table if not exists {table} ({key} {kind} primary key, value blob) without rowid")
        if not sealed:
            self._read_sums()  # empty, or of a version that sealed nothing
            self._seal(0)
            self._db.execute(f"pragma user_version={SEALED}")
        self._db.execute("commit")
        _sync_folder(self._folder)  # or a loss of power might leave the log without its file, or neither

    def _read_sums(self) -> None:
        self._total, self._sums = 0, {table: {} for table in TABLES}
        for table in TABLES:
            for key, value in self._db.execute(f"select * from {table}"):
                if (table, key) != ("fact", SEAL):
                    self._sum(table, key, bytes(value))
        self._undo.clear()

    def _check(self) -> None:
        """That what the file holds is what was last written to it, as far as it can tell."""
        found = self._db.execute("pragma quick_check(1)").fetchone()[0]
        if found != "ok":
            raise Damaged(str(found))
        try:
            self._read_sums()
        except (TypeError, AttributeError, sqlite3.OperationalError) as error:
            raise Damaged(str(error)) from error
        seal = self.fact(SEAL)
        if seal is None or len(seal) != 32 or int.from_bytes(seal[16:]) != self._total:
            raise Damaged("what it holds is not what was sealed")
        self._id, self._commits = seal[:8], int.from_bytes(seal[8:16])
        try:
            with open(self._mark, "rb") as file:
                mark = file.read(24)
        except FileNotFoundError:
            return
        noted = int.from_bytes(mark[8:16])
        if mark == _marked(self._id, noted) and noted > self._commits:
            raise Damaged(f"transaction {self._commits} is its last, and {noted} was synced")

    def _put_aside(self) -> None:
        """The file goes before its log: without the log it might pass for whole, in an older state."""
        try:
            self._db.close()
        except sqlite3.Error:
            pass
        os.replace(self._path, self._aside)
        _sync_folder(self._folder)
        for end in ("-wal", "-shm", "-journal"):
            if os.path.exists(self._path + end):
                os.remove(self._path + end)
        _sync_folder(self._folder)
        self._id, self._commits = os.urandom(8), 0

    # ---- reading, at the start alone

    def fact(self, name: str) -> bytes | None:
        found = self._db.execute("select value from fact where name = ?", (name,)).fetchone()
        return bytes(found[0]) if found else None

    def rows(self) -> list[Row]:
        return [(key, bytes(value)) for key, value in self._db.execute("select key, value from row")]

    def pieces(self) -> list[Piece]:
        return [(bytes(name), bytes(value)) for name, value in self._db.execute("select name, value from piece")]

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
                if self.broken:
                    self.on_broken()
                done = self._done
                for number in [n for n in self._then if n <= done]:
                    then = self._then.pop(number)
                    self._since.pop(number, None)
                    try:
                        then()
                    except Exception:
                        log_event.fault("what follows a write failed")
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
            batch, size = [first], _size(first[1])
            while len(batch) < MOST and size < MOST_BYTES and not self._queue.empty():
                more = self._queue.get()
                if more is None:
                    self._commit(batch)
                    return
                batch.append(more)
                size += _size(more[1])
            try:
                self._commit(batch)
            except Damaged as error:
                log_event("file breaks", "error", why=str(error))
                self.broken = True
                return self._tell()
            self._done = batch[-1][0]
            self._tell()

    def _tell(self) -> None:
        try:
            self._wake.send(b"\0")
        except (BlockingIOError, OSError):
            pass  # a byte is there already, or the loop has ended

    def _commit(self, batch: list[tuple[int, Write]]) -> None:
        """Raises Damaged where trying again is of no use."""
        while True:
            try:
                self._db.execute("begin immediate")
                for _, (kind, data) in batch:
                    self._apply(kind, data)
                self._seal(self._commits + 1)
                self._db.execute("commit")
                break
            except sqlite3.Error as error:
                if getattr(error, "sqlite_errorcode", 0) & 0xFF in BROKEN:
                    raise Damaged(str(error)) from error
                log_event("disk refuses", "warning", why=str(error))
                try:
                    self._db.execute("rollback")
                except sqlite3.Error:
                    pass
                self._take_back()
                time.sleep(RETRY)
        self._undo.clear()
        self._note_number()

    def _apply(self, kind: str, data: Any) -> None:
        if kind == "fact":
            self._put("fact", [data])
        elif kind == "gone":
            self._remove("row", data)
        elif kind == "stage":
            self._put("piece", data)
        elif kind == "unstage":
            self._remove("piece", data)
        else:
            if kind == "whole":
                self._remove("row", list(self._sums["row"]))
                self._remove("piece", list(self._sums["piece"]))
            self._put("row", data)

    def _put(self, table: str, rows: list[Any]) -> None:
        for key, value in rows:
            self._sum(table, key, value)
        self._db.executemany(f"insert or replace into {table} values (?, ?)", rows)

    def _remove(self, table: str, keys: list[Any]) -> None:
        for key in keys:
            self._sum(table, key, None)
        self._db.executemany(f"delete from {table} where {TABLES[table]} = ?", [(key,) for key in keys])

    def _sum(self, table: str, key: Any, value: bytes | None) -> None:
        sums = self._sums[table]
        before, now = sums.pop(key, 0), 0
        if value is not None:
            name = key.encode() if isinstance(key, str) else key
            now = sums[key] = int.from_bytes(
                blake2b(
                    value, digest_size=16, key=blake2b(name, digest_size=16, person=table.encode()).digest()
                ).digest()
            )
        self._total ^= before ^ now
        self._undo.append((table, key, before))

    def _take_back(self) -> None:
        for table, key, before in reversed(self._undo):
            sums = self._sums[table]
            self._total ^= sums.pop(key, 0) ^ before
            if before:
                sums[key] = before
        self._undo.clear()

    def _seal(self, number: int) -> None:
        seal = self._id + number.to_bytes(8) + self._total.to_bytes(16)
        self._db.execute("insert or replace into fact values (?, ?)", (SEAL, seal))

    def _note_number(self) -> None:
        """Without a sync: it may lag behind the file, and is never ahead of it."""
        self._commits += 1
        try:
            if self._mark_file < 0:
                self._mark_file = os.open(self._mark, os.O_RDWR | os.O_CREAT, 0o644)
                _sync_folder(self._folder)
            os.pwrite(self._mark_file, _marked(self._id, self._commits), 0)
        except OSError as error:
            log_event("disk refuses", "warning", why=str(error))


def _marked(name: bytes, number: int) -> bytes:
    noted = name + number.to_bytes(8)
    return noted + blake2b(noted, digest_size=8).digest()


def _size(what: Write) -> int:
    kind, data = what
    return sum(len(value) for _, value in data) if kind in ("rows", "whole", "stage") else 0


def _sync_folder(folder: str) -> None:
    opened = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(opened)
    finally:
        os.close(opened)
