"""The state file of a core machine, on a real disk."""

from __future__ import annotations

import os
import random
import shutil
import sqlite3
import time
from pathlib import Path
from typing import Any, cast

import pytest

from oakvale.base.loop import READ
from oakvale.lab.simulation.disks import Held
from oakvale.storage import store
from oakvale.storage.store import Storage


class IdleLoop:
    """An event loop that never runs anything."""

    now = 0

    def start(self, *_: Any) -> None:
        pass


@pytest.fixture(autouse=True)
def logged_events(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """The logged events with their level; no log file is open here."""
    events: list[str] = []
    monkeypatch.setattr(store, "log_event", lambda event, level="info", **fields: events.append(f"{level} {event}"))
    return events


def open_storage(folder: Path) -> Storage:
    return Storage(cast(Any, IdleLoop()), str(folder))


def close_storage(storage: Storage) -> None:
    storage.close()
    deadline = time.monotonic() + 5
    while storage._thread.is_alive() and time.monotonic() < deadline:
        time.sleep(0.01)
    storage._db.close()


def content(storage: Storage) -> tuple[dict[str, bytes], dict[bytes, bytes], bytes | None]:
    return dict(storage.rows()), dict(storage.chunks()), storage.fact("state")


def write_history(folder: Path, seed: int, writes: int = 60) -> Held:
    """Writes of all kinds, a copy of the file as a killed process leaves it ("left"), and a model of its content."""
    rng, model, storage = random.Random(seed), Held(), open_storage(folder)

    def row() -> tuple[str, bytes]:
        return f"k{rng.randrange(9)}", rng.randbytes(rng.choice((3, 90, 9_000)))

    for n in range(writes):
        write: Any = rng.choice(
            (
                ("rows", [row(), row()]),
                ("gone", ["k1", row()[0]]),
                ("fact", ("state", b"%d" % n)),
                ("stage", [(rng.randbytes(1), rng.randbytes(2_000))]),
                ("unstage", [rng.randbytes(1)]),
                ("whole", [row(), row()]) if n % 9 == 0 else ("rows", [row()]),
            )
        )
        model.apply([write])
        storage._commit([(n, write)])
    last_write = ("fact", ("state", b"last"))
    model.apply([last_write])
    storage._commit([(writes, last_write)])
    storage._queue.put(None)
    storage._thread.join()
    shutil.copytree(folder, folder / "left")  # before a clean close checkpoints the log
    storage._db.close()
    return model


def damage(path: Path, damage_kind: str, rng: random.Random) -> None:
    data = bytearray(path.read_bytes())
    offset = rng.randrange(len(data))
    if damage_kind == "torn":
        data = data[:offset]
    elif damage_kind == "zeroed":
        data[offset - offset % 4096 : offset - offset % 4096 + 4096] = bytes(
            min(4096, len(data) - (offset - offset % 4096))
        )
    elif damage_kind == "flipped":
        data[offset] ^= 1 << rng.randrange(8)
    elif damage_kind == "noise":
        data = bytearray(rng.randbytes(len(data)))
    path.write_bytes(data)
    if damage_kind == "gone":
        path.unlink()


@pytest.fixture(scope="module")
def files(tmp_path_factory: pytest.TempPathFactory) -> list[tuple[Path, Held]]:
    folders = [tmp_path_factory.mktemp("files") for _ in range(6)]
    return [(folder / "left", write_history(folder, seed)) for seed, folder in enumerate(folders)]


@pytest.mark.parametrize("file_name", ["oakvale.db", "oakvale.db-wal", "oakvale.mark"])
@pytest.mark.parametrize("damage_kind", ["torn", "zeroed", "flipped", "noise", "gone"])
def test_a_damaged_file_is_replaced_by_an_empty_one(
    tmp_path: Path, files: list[tuple[Path, Held]], file_name: str, damage_kind: str, logged_events: list[str]
) -> None:
    """Never an older or mixed state, nor an error that recurs at each start; the file is usable afterwards."""
    for seed, (file, model) in enumerate(files):
        folder = tmp_path / str(seed)
        shutil.copytree(file, folder)
        damage(folder / file_name, damage_kind, random.Random(f"{seed} {file_name} {damage_kind}"))
        storage = open_storage(folder)
        intact = (model.rows, model.pieces, model.facts["state"])
        assert content(storage) in (intact, ({}, {}, None)), (file_name, damage_kind, seed)
        if file_name == "oakvale.mark":
            assert content(storage) == intact
        if content(storage) != intact:  # identity lost, no bootstrap, and logged once
            assert not storage.never_used and storage.fact("self") is None
            assert logged_events in (["error file is damaged"], ["error no state where there was one"])
        else:
            assert not logged_events
        logged_events.clear()
        storage.write(("rows", [("new", b"1")]), lambda: None)
        close_storage(storage)
        reopened = open_storage(folder)
        assert dict(reopened.rows())["new"] == b"1" and reopened._commit_count > 0
        close_storage(reopened)


def test_an_empty_folder_allows_bootstrap_and_a_mark_file_that_lags_is_harmless(tmp_path: Path) -> None:
    """The mark file is written after each sync, never before: if it lags, the state file is the newer one."""
    storage = open_storage(tmp_path)
    assert storage.never_used and not (tmp_path / "oakvale.mark").exists()
    close_storage(storage)
    storage = open_storage(tmp_path)
    assert storage.never_used
    storage._commit([(1, ("fact", ("self", b"1")))])
    mark = (tmp_path / "oakvale.mark").read_bytes()
    storage._commit([(2, ("fact", ("self", b"2")))])
    close_storage(storage)
    (tmp_path / "oakvale.mark").write_bytes(mark)
    storage = open_storage(tmp_path)
    assert (storage.fact("self"), storage.never_used) == (b"2", False)
    close_storage(storage)


def test_a_file_without_seals_is_accepted_and_sealed(tmp_path: Path) -> None:
    with sqlite3.connect(tmp_path / "oakvale.db") as db:
        db.execute("create table fact (name text primary key, value blob) without rowid")
        db.execute("create table row (key text primary key, value blob) without rowid")
        db.execute("insert into fact values ('self', x'01')")
        db.execute("insert into row values ('a', x'02')")
    db.close()
    storage = open_storage(tmp_path)
    assert (storage.fact("self"), storage.rows()) == (b"\1", [("a", b"\2")])
    close_storage(storage)
    with sqlite3.connect(tmp_path / "oakvale.db") as db:
        db.execute("update row set value = x'03'")
    db.close()
    storage = open_storage(tmp_path)
    assert storage.rows() == [] and not storage.never_used
    close_storage(storage)


def test_a_failed_write_is_rolled_back_and_retried(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(store, "DISK_RETRY_SECONDS", 0.0)
    storage, failures_left = open_storage(tmp_path), [3]
    original_seal = Storage._seal

    def seal(self: Storage, number: int) -> None:
        if failures_left[0]:
            failures_left[0] -= 1
            raise sqlite3.OperationalError("database or disk is full")
        original_seal(self, number)

    monkeypatch.setattr(Storage, "_seal", seal)
    storage._commit([(1, ("rows", [("a", b"1"), ("a", b"2")]))])
    storage._commit([(2, ("whole", [("b", b"1")]))])
    close_storage(storage)
    storage = open_storage(tmp_path)
    assert storage.rows() == [("b", b"1")]
    close_storage(storage)


def test_a_file_that_becomes_corrupt_in_use_is_not_written_to_and_moved_aside_at_the_next_start(tmp_path: Path) -> None:
    """Guards against endless retries, with the machine up and holding its vote but not responding."""
    storage, calls, on_disk = open_storage(tmp_path), list[str](), list[int]()
    storage.on_broken = lambda: calls.append("broken")
    rows = [(f"k{n}", bytes(2_000)) for n in range(2_000)]
    storage._commit([(0, ("rows", rows))])
    storage._db.execute("pragma wal_checkpoint(truncate)")
    storage._db.execute("pragma cache_size=1")
    with open(tmp_path / "oakvale.db", "r+b") as file:
        file.seek(8 * 4096)
        file.write(b"\xff" * 800 * 4096)
    for n in range(1, 4):
        storage.write(("rows", [(f"k{n * 500}", b"new")]), lambda n=n: on_disk.append(n))  # type: ignore[misc]
    storage._thread.join(5)
    notice = storage._run_callbacks()
    next(notice), notice.send(READ)
    notice.close()
    assert storage.broken and calls == ["broken"] and not on_disk
    storage._db.close()
    reopened = open_storage(tmp_path)
    assert not reopened.never_used and reopened.rows() == []
    close_storage(reopened)


def test_the_file_stays_bounded_over_10_000_changes(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(os, "fsync", lambda fd: None)
    storage, rng = open_storage(tmp_path), random.Random(1)
    storage._db.execute("pragma synchronous=off")  # the test bounds the file size, not the time
    text, max_bytes = rng.randbytes(200_000), 0
    for n in range(10_000):
        storage._commit(
            [
                (
                    n,
                    (
                        "rows",
                        [("config" if n % 50 == 0 else f"b{n % 300}", text + b"%d" % n if n % 50 == 0 else b"x" * 200)],
                    ),
                )
            ]
        )
        if n % 500 == 499:
            max_bytes = max(max_bytes, sum(file.stat().st_size for file in tmp_path.iterdir()))
    assert max_bytes < 300 * 400 + 3 * 200_000 + store.MAX_WAL_BYTES
    close_storage(storage)


def test_removed_rows_are_deleted_from_the_disk(tmp_path: Path) -> None:
    storage = Storage(cast(Any, IdleLoop()), str(tmp_path))
    storage.write(("rows", [("a", b"1"), ("b", b"2"), ("c", b"3")]), lambda: None)
    storage.write(("gone", ["a", "c", "x"]), lambda: None)
    storage.write(("fact", ("view", b"4")), lambda: None)
    storage.close()
    deadline = time.monotonic() + 5
    while storage._thread.is_alive() and time.monotonic() < deadline:
        time.sleep(0.01)
    assert (storage.rows(), storage.fact("view")) == ([("b", b"2")], b"4")
    storage._db.close()
    with sqlite3.connect(tmp_path / "oakvale.db") as db:
        assert db.execute("select key from row").fetchall() == [("b",)]
