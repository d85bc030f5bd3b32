"""The state file of a core machine: named facts, the rows of the control state, and chunks of a state in transfer.

One thread does all writes in order; waiting writes share a transaction and its sync. The `on_done` callback of a write
runs in the event loop once that write, and so every earlier one, is on disk. A disk that hangs or fails blocks the
thread but never the loop: the write is retried until it succeeds, and `oldest_pending_since` shows the delay. A file
found corrupt while in use is not written to any more; `on_broken` then runs in the loop.

At startup a file is used only if it is intact. Each transaction is numbered and stores a checksum of the whole content.
Its number is also written, after the sync and without one, to a separate mark file, which is therefore never ahead of
a disk that honours syncs. A file that was cut back to an older, self-consistent state is detected by it.
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

from oakvale.base.loop import READ, Coroutine, Loop, Priority
from oakvale.lifecycle.eventlog import EventLogger

Row = tuple[str, bytes]
Chunk = tuple[bytes, bytes]  # name and content
Write = tuple[str, Any]  # ("fact", (name, value)) | ("rows", [row...]) | ("gone", [key...]) | ("stage", [chunk...])
# | ("unstage", [name...]) | ("whole", [row...]): replaces all rows and removes all chunks

DISK_RETRY_SECONDS = 0.05
MAX_BATCH_WRITES = 64  # per transaction
MAX_BATCH_BYTES = 1 << 20  # a transaction that exceeds this takes no further write
MAX_WAL_BYTES = 4 << 20  # size of the write-ahead log file after a checkpoint
SEALED_FORMAT = 1  # `user_version` of files with seals; older and empty files have 0
SEAL_FACT = "seal"  # name of the fact with 8 bytes of file id, 8 of transaction number and 16 of checksum
KEY_COLUMNS = {"fact": "name", "row": "key", "piece": "name"}
CORRUPTION_CODES = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)
DAMAGE_CODES = (*CORRUPTION_CODES, sqlite3.SQLITE_ERROR)  # SQLITE_ERROR: a table is missing

log_event = EventLogger(__name__)


class DamagedFile(Exception):
    """The content of the file is not what was written to it, or is an older state."""


class Storage:
    """The state file with its writer thread. The reading methods are for startup, before the first write."""

    def __init__(self, loop: Loop, folder: str) -> None:
        """Opens the file. A damaged one is moved aside and replaced by an empty one. Raises OSError or sqlite3.Error if
        the folder cannot be used."""
        self._loop = loop
        if not os.path.isdir(folder):
            os.makedirs(folder, exist_ok=True)
            _sync_folder(os.path.dirname(os.path.abspath(folder)))
        self._folder, self._path = folder, os.path.join(folder, "oakvale.db")
        self._mark_path, self._damaged_path = (
            os.path.join(folder, f"oakvale.{name}") for name in ("mark", "db.damaged")
        )
        # No state was ever kept here.
        self.never_used = not any(map(os.path.exists, (self._mark_path, self._damaged_path)))
        self._file_id, self._commit_count, self._checksum = os.urandom(8), 0, 0
        self._entry_checksums: dict[str, dict[Any, int]] = {}  # by table and key
        self._checksum_undo: list[tuple[str, Any, int]] = []
        try:
            self._open()
        except (DamagedFile, sqlite3.DatabaseError) as error:
            if getattr(error, "sqlite_errorcode", sqlite3.SQLITE_CORRUPT) & 0xFF not in DAMAGE_CODES:
                raise  # a disk error, not damage
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
        self._requested_at: dict[int, int] = {}  # write number -> loop time
        self._last_number = self._last_synced = 0
        self.broken = False
        self.on_broken: Callable[[], None] = lambda: None
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        loop.start(self._run_callbacks(), self._wake_reader.fileno(), Priority.COUNTER)
        self._thread = threading.Thread(target=self._write_loop, name="cistern", daemon=True)
        self._thread.start()

    # ---- opening

    def _open(self) -> None:
        """Opens, verifies and if necessary initializes the database; raises DamagedFile, sqlite3.Error or OSError."""
        self._db = sqlite3.connect(self._path, isolation_level=None, check_same_thread=False)
        self._db.execute("pragma locking_mode=exclusive")  # a single process needs no shared-memory index of the log
        self._db.execute("pragma journal_mode=wal")
        self._db.execute("pragma synchronous=full")
        self._db.execute("pragma wal_autocheckpoint=200")
        self._db.execute(f"pragma journal_size_limit={MAX_WAL_BYTES}")
        sealed = self._db.execute("pragma user_version").fetchone()[0] == SEALED_FORMAT
        if sealed:
            self._verify()
        self._db.execute("begin immediate")
        for table, key in KEY_COLUMNS.items():
            kind = "blob" if table == "piece" else "text"
            self._db.execute(f"create table if not exists {table} ({key} {kind} primary key, value blob) without rowid")
        if not sealed:
            self._load_checksums()  # empty, or written before seals were introduced
            self._seal(0)
            self._db.execute(f"pragma user_version={SEALED_FORMAT}")
        self._db.execute("commit")
        _sync_folder(self._folder)  # makes the directory entries of database and log survive a power loss

    def _load_checksums(self) -> None:
        self._checksum, self._entry_checksums = 0, {table: {} for table in KEY_COLUMNS}
        for table in KEY_COLUMNS:
            for key, value in self._db.execute(f"select * from {table}"):
                if (table, key) != ("fact", SEAL_FACT):
                    self._update_checksum(table, key, bytes(value))
        self._checksum_undo.clear()

    def _verify(self) -> None:
        """Checks that the file holds what was last written to it, as far as it can be detected."""
        found = self._db.execute("pragma quick_check(1)").fetchone()[0]
        if found != "ok":
            raise DamagedFile(str(found))
        try:
            self._load_checksums()
        except (TypeError, AttributeError, sqlite3.OperationalError) as error:
            raise DamagedFile(str(error)) from error
        seal = self.fact(SEAL_FACT)
        if seal is None or len(seal) != 32 or int.from_bytes(seal[16:]) != self._checksum:
            raise DamagedFile("content does not match its seal")
        self._file_id, self._commit_count = seal[:8], int.from_bytes(seal[8:16])
        try:
            with open(self._mark_path, "rb") as file:
                mark = file.read(24)
        except FileNotFoundError:
            return
        recorded = int.from_bytes(mark[8:16])
        if mark == _mark_record(self._file_id, recorded) and recorded > self._commit_count:
            raise DamagedFile(f"last transaction is {self._commit_count}, but {recorded} was synced")

    def _move_damaged_aside(self) -> None:
        """Moves the file before deleting its log: without the log it could pass for an intact, older state."""
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

    # ---- reading, at startup only

    def fact(self, name: str) -> bytes | None:
        """The value of a named fact."""
        found = self._db.execute("select value from fact where name = ?", (name,)).fetchone()
        return bytes(found[0]) if found else None

    def rows(self) -> list[Row]:
        """All rows of the control state."""
        return [(key, bytes(value)) for key, value in self._db.execute("select key, value from row")]

    def chunks(self) -> list[Chunk]:
        """All chunks of the state in transfer."""
        return [(bytes(name), bytes(value)) for name, value in self._db.execute("select name, value from piece")]

    # ---- writing

    def write(self, write: Write, on_done: Callable[[], None]) -> None:
        """Queues a write; `on_done` runs in the loop once it is on disk."""
        self._last_number += 1
        self._callbacks[self._last_number] = on_done
        self._requested_at[self._last_number] = self._loop.now
        self._queue.put((self._last_number, write))

    def oldest_pending_since(self) -> int | None:
        """The time at which the oldest write that is not yet on disk was queued; None if there is none."""
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
                last_synced = self._last_synced
                for number in [n for n in self._callbacks if n <= last_synced]:
                    on_done = self._callbacks.pop(number)
                    self._requested_at.pop(number, None)
                    try:
                        on_done()
                    except Exception:
                        log_event.fault("what follows a write failed")
        finally:
            self._wake_reader.close()

    def close(self) -> None:
        """Waits briefly for queued writes, but not for a disk that hangs."""
        self._queue.put(None)
        self._thread.join(0.3)

    # ---- writer thread

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
            pass  # a wake-up is already pending, or the loop has ended

    def _commit(self, batch: list[tuple[int, Write]]) -> None:
        """Commits the writes in one transaction, with retries; raises DamagedFile if a retry cannot help."""
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
        self._db.executemany(f"delete from {table} where {KEY_COLUMNS[table]} = ?", [(key,) for key in keys])

    def _update_checksum(self, table: str, key: Any, value: bytes | None) -> None:
        sums = self._entry_checksums[table]
        previous_checksum, checksum = sums.pop(key, 0), 0
        if value is not None:
            name = key.encode() if isinstance(key, str) else key
            checksum = sums[key] = int.from_bytes(
                blake2b(
                    value, digest_size=16, key=blake2b(name, digest_size=16, person=table.encode()).digest()
                ).digest()
            )
        self._checksum ^= previous_checksum ^ checksum
        self._checksum_undo.append((table, key, previous_checksum))

    def _undo_checksums(self) -> None:
        for table, key, previous_checksum in reversed(self._checksum_undo):
            sums = self._entry_checksums[table]
            self._checksum ^= sums.pop(key, 0) ^ previous_checksum
            if previous_checksum:
                sums[key] = previous_checksum
        self._checksum_undo.clear()

    def _seal(self, number: int) -> None:
        seal = self._file_id + number.to_bytes(8) + self._checksum.to_bytes(16)
        self._db.execute("insert or replace into fact values (?, ?)", (SEAL_FACT, seal))

    def _record_commit(self) -> None:
        """Writes the transaction number to the mark file, without a sync: it may lag behind the file, never lead it."""
        self._commit_count += 1
        try:
            if self._mark_file < 0:
                self._mark_file = os.open(self._mark_path, os.O_RDWR | os.O_CREAT, 0o644)
                _sync_folder(self._folder)
            os.pwrite(self._mark_file, _mark_record(self._file_id, self._commit_count), 0)
        except OSError as error:
            log_event("disk refuses", "warning", why=str(error))


def _mark_record(file_id: bytes, number: int) -> bytes:
    recorded = file_id + number.to_bytes(8)
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
