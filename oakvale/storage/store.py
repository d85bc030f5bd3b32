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
Chunk = tuple[bytes, bytes]  # its name, and what it holds
Write = tuple[str, Any]  # ("fact", (name, value)) | ("rows", [row...]) | ("gone", [key...]) | ("stage", [piece...])
# | ("unstage", [name...]) | ("whole", [row...]): no rows but these, and no pieces

DISK_RETRY_SECONDS = 0.05  # seconds between two tries at a disk that refuses
MAX_BATCH_WRITES = 64  # writes in one transaction
MAX_BATCH_BYTES = 1 << 20  # a transaction that holds more takes no further write
MAX_WAL_BYTES = 4 << 20  # bytes that the log keeps of the disk once it is worked in
SEALED_FORMAT = 1  # `user_version` of a file whose every transaction is sealed; 0 of one of before, or an empty one
SEAL_FACT = "seal"  # the fact: 8 bytes that name the file, 8 of the transaction's number, 16 of the checksum
TABLES = {"fact": "name", "row": "key", "piece": "name"}
CORRUPTION_CODES = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)
DAMAGE_CODES = (*CORRUPTION_CODES, sqlite3.SQLITE_ERROR)  # the last: a table is missing

log_event = EventLogger(__name__)


class DamagedFile(Exception):
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
        self._mark_path, self._damaged_path = (
            os.path.join(folder, f"oakvale.{name}") for name in ("mark", "db.damaged")
        )
        self.never_used = not any(
            map(os.path.exists, (self._mark_path, self._damaged_path))
        )  # no state was ever kept here
        self._file_id, self._commit_count, self._checksum = os.urandom(8), 0, 0
        self._entry_checksums: dict[str, dict[Any, int]] = {}  # of all that the file holds
        self._checksum_undo: list[tuple[str, Any, int]] = []
        try:
            self._open()
        except (DamagedFile, sqlite3.DatabaseError) as error:
            if getattr(error, "sqlite_errorcode", sqlite3.SQLITE_CORRUPT) & 0xFF not in DAMAGE_CODES:
                raise  # the disk refuses
            log_event("file is damaged", "error", why=str(error), kept=self._damaged_path, begins="without state")
            self.never_used = False
            self._move_damaged_aside()
            self._open()
        else:
            if not self.never_used and not self._commit_count:
                log_event("no state where there was one", "error", folder=folder, begins="without state")
        self._mark_file = os.open(self._mark_path, os.O_RDWR | os.O_CREAT, 0o644) if self._commit_count else -1
        self._queue: SimpleQueue[tuple[int, Write] | None] = SimpleQueue()
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._requested_at: dict[int, int] = {}  # number -> when it was asked for
        self._last_number = self._last_synced = 0
        self.broken = False
        self.on_broken: Callable[[], None] = lambda: None
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        loop.start(self._run_callbacks(), self._wake_reader.fileno(), Rank.COUNTER)
        self._thread = threading.Thread(target=self._write_loop, name="cistern", daemon=True)
        self._thread.start()

    # ---- opening

    def _open(self) -> None:
        """Raises Damaged, sqlite3.Error, OSError."""
        self._db = sqlite3.connect(self._path, isolation_level=None, check_same_thread=False)
        self._db.execute("pragma locking_mode=exclusive")  # one process: no index of the log in shared pages
        self._db.execute("pragma journal_mode=wal")
        self._db.execute("pragma synchronous=full")
        self._db.execute("pragma wal_autocheckpoint=200")
        self._db.execute(f"pragma journal_size_limit={MAX_WAL_BYTES}")
        sealed = self._db.execute("pragma user_version").fetchone()[0] == SEALED_FORMAT
        if sealed:
            self._verify()
        self._db.execute("begin immediate")
        for table, key in TABLES.items():
            kind = "blob" if table == "piece" else "text"
            self._db.execute(f"create table if not exists {table} ({key} {kind} primary key, value blob) without rowid")
        if not sealed:
            self._read_sums()  # empty, or of a version that sealed nothing
            self._seal(0)
            self._db.execute(f"pragma user_version={SEALED_FORMAT}")
        self._db.execute("commit")
        _sync_folder(self._folder)  # or a loss of power might leave the log without its file, or neither

    def _read_sums(self) -> None:
        self._checksum, self._entry_checksums = 0, {table: {} for table in TABLES}
        for table in TABLES:
            for key, value in self._db.execute(f"select * from {table}"):
                if (table, key) != ("fact", SEAL_FACT):
                    self._update_checksum(table, key, bytes(value))
        self._checksum_undo.clear()

    def _verify(self) -> None:
        """That what the file holds is what was last written to it, as far as it can tell."""
        found = self._db.execute("pragma quick_check(1)").fetchone()[0]
        if found != "ok":
            raise DamagedFile(str(found))
        try:
            self._read_sums()
        except (TypeError, AttributeError, sqlite3.OperationalError) as error:
            raise DamagedFile(str(error)) from error
        seal = self.fact(SEAL_FACT)
        if seal is None or len(seal) != 32 or int.from_bytes(seal[16:]) != self._checksum:
            raise DamagedFile("what it holds is not what was sealed")
        self._file_id, self._commit_count = seal[:8], int.from_bytes(seal[8:16])
        try:
            with open(self._mark_path, "rb") as file:
                mark = file.read(24)
        except FileNotFoundError:
            return
        recorded = int.from_bytes(mark[8:16])
        if mark == _mark_record(self._file_id, recorded) and recorded > self._commit_count:
            raise DamagedFile(f"transaction {self._commit_count} is its last, and {recorded} was synced")

    def _move_damaged_aside(self) -> None:
        """The file goes before its log: without the log it might pass for whole, in an older state."""
        try:
            self._db.close()
        except sqlite3.Error:
            pass
        os.replace(self._path, self._damaged_path)
        _sync_folder(self._folder)
        for suffix in ("-wal", "-shm", "-journal"):
            if os.path.exists(self._path + suffix):
                os.remove(self._path + suffix)
        _sync_folder(self._folder)
        self._file_id, self._commit_count = os.urandom(8), 0

    # ---- reading, at the start alone

    def fact(self, name: str) -> bytes | None:
        found = self._db.execute("select value from fact where name = ?", (name,)).fetchone()
        return bytes(found[0]) if found else None

    def rows(self) -> list[Row]:
        return [(key, bytes(value)) for key, value in self._db.execute("select key, value from row")]

    def chunks(self) -> list[Chunk]:
        return [(bytes(name), bytes(value)) for name, value in self._db.execute("select name, value from piece")]

    # ---- writing

    def write(self, write: Write, on_done: Callable[[], None]) -> None:
        self._last_number += 1
        self._callbacks[self._last_number] = on_done
        self._requested_at[self._last_number] = self._loop.now
        self._queue.put((self._last_number, write))

    def oldest_pending_since(self) -> int | None:
        """When the oldest write that is not on disk yet was asked for."""
        return next(iter(self._requested_at.values()), None)

    def _run_callbacks(self) -> Coroutine:
        try:
            while True:
                yield READ, 0
                try:
                    self._wake_reader.recv(4096)
                except BlockingIOError:
                    continue
                if self.broken:
                    self.on_broken()
                done = self._last_synced
                for number in [n for n in self._callbacks if n <= done]:
                    on_done = self._callbacks.pop(number)
                    self._requested_at.pop(number, None)
                    try:
                        on_done()
                    except Exception:
                        log_event.fault("what follows a write failed")
        finally:
            self._wake_reader.close()

    def close(self) -> None:
        """Waits for what is under way; a disk that hangs is not waited for."""
        self._queue.put(None)
        self._thread.join(0.3)

    # ---- the thread

    def _write_loop(self) -> None:
        while True:
            first = self._queue.get()
            if first is None:
                return
            batch, size = [first], _payload_bytes(first[1])
            while len(batch) < MAX_BATCH_WRITES and size < MAX_BATCH_BYTES and not self._queue.empty():
                following = self._queue.get()
                if following is None:
                    self._commit(batch)
                    return
                batch.append(following)
                size += _payload_bytes(following[1])
            try:
                self._commit(batch)
            except DamagedFile as error:
                log_event("file breaks", "error", why=str(error))
                self.broken = True
                return self._wake_loop()
            self._last_synced = batch[-1][0]
            self._wake_loop()

    def _wake_loop(self) -> None:
        try:
            self._wake_writer.send(b"\0")
        except (BlockingIOError, OSError):
            pass  # a byte is there already, or the loop has ended

    def _commit(self, batch: list[tuple[int, Write]]) -> None:
        """Raises Damaged where trying again is of no use."""
        while True:
            try:
                self._db.execute("begin immediate")
                for _, (kind, data) in batch:
                    self._apply(kind, data)
                self._seal(self._commit_count + 1)
                self._db.execute("commit")
                break
            except sqlite3.Error as error:
                if getattr(error, "sqlite_errorcode", 0) & 0xFF in CORRUPTION_CODES:
                    raise DamagedFile(str(error)) from error
                log_event("disk refuses", "warning", why=str(error))
                try:
                    self._db.execute("rollback")
                except sqlite3.Error:
                    pass
                self._undo_checksums()
                time.sleep(DISK_RETRY_SECONDS)
        self._checksum_undo.clear()
        self._record_commit()

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
                self._remove("row", list(self._entry_checksums["row"]))
                self._remove("piece", list(self._entry_checksums["piece"]))
            self._put("row", data)

    def _put(self, table: str, rows: list[Any]) -> None:
        for key, value in rows:
            self._update_checksum(table, key, value)
        self._db.executemany(f"insert or replace into {table} values (?, ?)", rows)

    def _remove(self, table: str, keys: list[Any]) -> None:
        for key in keys:
            self._update_checksum(table, key, None)
        self._db.executemany(f"delete from {table} where {TABLES[table]} = ?", [(key,) for key in keys])

    def _update_checksum(self, table: str, key: Any, value: bytes | None) -> None:
        sums = self._entry_checksums[table]
        before, now = sums.pop(key, 0), 0
        if value is not None:
            name = key.encode() if isinstance(key, str) else key
            now = sums[key] = int.from_bytes(
                blake2b(
                    value, digest_size=16, key=blake2b(name, digest_size=16, person=table.encode()).digest()
                ).digest()
            )
        self._checksum ^= before ^ now
        self._checksum_undo.append((table, key, before))

    def _undo_checksums(self) -> None:
        for table, key, before in reversed(self._checksum_undo):
            sums = self._entry_checksums[table]
            self._checksum ^= sums.pop(key, 0) ^ before
            if before:
                sums[key] = before
        self._checksum_undo.clear()

    def _seal(self, number: int) -> None:
        seal = self._file_id + number.to_bytes(8) + self._checksum.to_bytes(16)
        self._db.execute("insert or replace into fact values (?, ?)", (SEAL_FACT, seal))

    def _record_commit(self) -> None:
        """Without a sync: it may lag behind the file, and is never ahead of it."""
        self._commit_count += 1
        try:
            if self._mark_file < 0:
                self._mark_file = os.open(self._mark_path, os.O_RDWR | os.O_CREAT, 0o644)
                _sync_folder(self._folder)
            os.pwrite(self._mark_file, _mark_record(self._file_id, self._commit_count), 0)
        except OSError as error:
            log_event("disk refuses", "warning", why=str(error))


def _mark_record(name: bytes, number: int) -> bytes:
    recorded = name + number.to_bytes(8)
    return recorded + blake2b(recorded, digest_size=8).digest()


def _payload_bytes(write: Write) -> int:
    kind, data = write
    return sum(len(value) for _, value in data) if kind in ("rows", "whole", "stage") else 0


def _sync_folder(folder: str) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
