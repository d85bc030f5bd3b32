"""The file of a core machine, on a real disk."""

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


class Still:
    """A loop that runs nothing."""

    now = 0

    def start(self, *_: Any) -> None:
        pass


@pytest.fixture(autouse=True)
def notes(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """What is noted; no log is open here."""
    noted: list[str] = []
    monkeypatch.setattr(store, "log_event", lambda event, level="info", **fields: noted.append(f"{level} {event}"))
    return noted


def opened(folder: Path) -> Storage:
    return Storage(cast(Any, Still()), str(folder))


def ended(storage: Storage) -> None:
    storage.close()
    until = time.monotonic() + 5
    while storage._thread.is_alive() and time.monotonic() < until:
        time.sleep(0.01)
    storage._db.close()


def holds(storage: Storage) -> tuple[dict[str, bytes], dict[bytes, bytes], bytes | None]:
    return dict(storage.rows()), dict(storage.chunks()), storage.fact("state")


def written(folder: Path, seed: int, writes: int = 60) -> Held:
    """A file after writes of all kinds, ended as by a kill ("left"), and the plain model of what it holds."""
    rng, held, storage = random.Random(seed), Held(), opened(folder)

    def row() -> tuple[str, bytes]:
        return f"k{rng.randrange(9)}", rng.randbytes(rng.choice((3, 90, 9_000)))

    for n in range(writes):
        what: Any = rng.choice(
            (
                ("rows", [row(), row()]),
                ("gone", ["k1", row()[0]]),
                ("fact", ("state", b"%d" % n)),
                ("stage", [(rng.randbytes(1), rng.randbytes(2_000))]),
                ("unstage", [rng.randbytes(1)]),
                ("whole", [row(), row()]) if n % 9 == 0 else ("rows", [row()]),
            )
        )
        held.apply([what])
        storage._commit([(n, what)])
    last = ("fact", ("state", b"last"))
    held.apply([last])
    storage._commit([(writes, last)])
    storage._queue.put(None)
    storage._thread.join()
    shutil.copytree(folder, folder / "left")  # as a kill leaves it: whoever ends properly works the log in
    storage._db.close()
    return held


def harm(path: Path, how: str, rng: random.Random) -> None:
    data = bytearray(path.read_bytes())
    at = rng.randrange(len(data))
    if how == "torn":
        data = data[:at]
    elif how == "zeroed":
        data[at - at % 4096 : at - at % 4096 + 4096] = bytes(min(4096, len(data) - (at - at % 4096)))
    elif how == "flipped":
        data[at] ^= 1 << rng.randrange(8)
    elif how == "noise":
        data = bytearray(rng.randbytes(len(data)))
    path.write_bytes(data)
    if how == "gone":
        path.unlink()


@pytest.fixture(scope="module")
def files(tmp_path_factory: pytest.TempPathFactory) -> list[tuple[Path, Held]]:
    folders = [tmp_path_factory.mktemp("files") for _ in range(6)]
    return [(folder / "left", written(folder, seed)) for seed, folder in enumerate(folders)]


@pytest.mark.parametrize("which", ["oakvale.db", "oakvale.db-wal", "oakvale.mark"])
@pytest.mark.parametrize("how", ["torn", "zeroed", "flipped", "noise", "gone"])
def test_a_file_is_whole_or_it_is_begun_anew(
    tmp_path: Path, files: list[tuple[Path, Held]], which: str, how: str, notes: list[str]
) -> None:
    """Never an older state, a mixed one, or an error that comes back at each start; and it can be worked with."""
    for seed, (file, held) in enumerate(files):
        folder = tmp_path / str(seed)
        shutil.copytree(file, folder)
        harm(folder / which, how, random.Random(f"{seed} {which} {how}"))
        storage = opened(folder)
        whole = (held.rows, held.pieces, held.facts["state"])
        assert holds(storage) in (whole, ({}, {}, None)), (which, how, seed)
        if which == "oakvale.mark":
            assert holds(storage) == whole
        if holds(storage) != whole:  # who it was is gone, it founds nothing, and that is said once
            assert not storage.never_used and storage.fact("self") is None
            assert notes in (["error file is damaged"], ["error no state where there was one"])
        else:
            assert not notes
        notes.clear()
        storage.write(("rows", [("new", b"1")]), lambda: None)
        ended(storage)
        again = opened(folder)
        assert dict(again.rows())["new"] == b"1" and again._commit_count > 0
        ended(again)


def test_an_empty_folder_may_found_and_a_log_that_was_not_synced_harms_nothing(tmp_path: Path) -> None:
    """The number is noted behind each sync, never before: where it is behind, the file is the newer."""
    storage = opened(tmp_path)
    assert storage.never_used and not (tmp_path / "oakvale.mark").exists()
    ended(storage)
    storage = opened(tmp_path)
    assert storage.never_used
    storage._commit([(1, ("fact", ("self", b"1")))])
    mark = (tmp_path / "oakvale.mark").read_bytes()
    storage._commit([(2, ("fact", ("self", b"2")))])
    ended(storage)
    (tmp_path / "oakvale.mark").write_bytes(mark)
    storage = opened(tmp_path)
    assert (storage.fact("self"), storage.never_used) == (b"2", False)
    ended(storage)


def test_a_file_of_before_there_were_seals_is_taken_and_sealed(tmp_path: Path) -> None:
    with sqlite3.connect(tmp_path / "oakvale.db") as db:
        db.execute("create table fact (name text primary key, value blob) without rowid")
        db.execute("create table row (key text primary key, value blob) without rowid")
        db.execute("insert into fact values ('self', x'01')")
        db.execute("insert into row values ('a', x'02')")
    db.close()
    storage = opened(tmp_path)
    assert (storage.fact("self"), storage.rows()) == (b"\1", [("a", b"\2")])
    ended(storage)
    with sqlite3.connect(tmp_path / "oakvale.db") as db:
        db.execute("update row set value = x'03'")
    db.close()
    storage = opened(tmp_path)
    assert storage.rows() == [] and not storage.never_used
    ended(storage)


def test_a_write_that_failed_is_taken_back_and_made_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(store, "DISK_RETRY_SECONDS", 0.0)
    storage, fails = opened(tmp_path), [3]
    real = Storage._seal

    def seal(self: Storage, number: int) -> None:
        if fails[0]:
            fails[0] -= 1
            raise sqlite3.OperationalError("database or disk is full")
        real(self, number)

    monkeypatch.setattr(Storage, "_seal", seal)
    storage._commit([(1, ("rows", [("a", b"1"), ("a", b"2")]))])
    storage._commit([(2, ("whole", [("b", b"1")]))])
    ended(storage)
    storage = opened(tmp_path)
    assert storage.rows() == [("b", b"1")]
    ended(storage)


def test_a_file_that_breaks_in_use_is_written_to_no_more_and_put_aside_at_the_start(tmp_path: Path) -> None:
    """It was tried again for ever, and the machine stayed up with its vote, but silent."""
    storage, told, on_disk = opened(tmp_path), list[str](), list[int]()
    storage.on_broken = lambda: told.append("broken")
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
    assert storage.broken and told == ["broken"] and not on_disk
    storage._db.close()
    again = opened(tmp_path)
    assert not again.never_used and again.rows() == []
    ended(again)


def test_the_file_stays_bounded_over_10_000_changes(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(os, "fsync", lambda fd: None)
    storage, rng = opened(tmp_path), random.Random(1)
    storage._db.execute("pragma synchronous=off")  # a bound of the file, not of the disk's time
    text, most = rng.randbytes(200_000), 0
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
            most = max(most, sum(file.stat().st_size for file in tmp_path.iterdir()))
    assert most < 300 * 400 + 3 * 200_000 + store.MAX_WAL_BYTES
    ended(storage)


def test_rows_that_are_forgotten_go_from_the_disk(tmp_path: Path) -> None:
    storage = Storage(cast(Any, Still()), str(tmp_path))
    storage.write(("rows", [("a", b"1"), ("b", b"2"), ("c", b"3")]), lambda: None)
    storage.write(("gone", ["a", "c", "x"]), lambda: None)
    storage.write(("fact", ("view", b"4")), lambda: None)
    storage.close()
    until = time.monotonic() + 5
    while storage._thread.is_alive() and time.monotonic() < until:
        time.sleep(0.01)
    assert (storage.rows(), storage.fact("view")) == ([("b", b"2")], b"4")
    storage._db.close()
    with sqlite3.connect(tmp_path / "oakvale.db") as db:
        assert db.execute("select key from row").fetchall() == [("b",)]
