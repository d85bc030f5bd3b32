"""The file of a core machine, on a real disk."""

from __future__ import annotations

import sqlite3
import time
from pathlib import Path
from typing import Any, cast

from oakvale.cistern.store import Cistern


class Still:
    """A loop that runs nothing."""

    now = 0

    def start(self, *_: Any) -> None:
        pass


def test_rows_that_are_forgotten_go_from_the_disk(tmp_path: Path) -> None:
    cistern = Cistern(cast(Any, Still()), str(tmp_path))
    cistern.write(("rows", [("a", b"1"), ("b", b"2"), ("c", b"3")]), lambda: None)
    cistern.write(("gone", ["a", "c", "x"]), lambda: None)
    cistern.write(("fact", ("view", b"4")), lambda: None)
    cistern.close()
    until = time.monotonic() + 5
    while cistern._thread.is_alive() and time.monotonic() < until:
        time.sleep(0.01)
    assert (cistern.rows(), cistern.fact("view")) == ([("b", b"2")], b"4")
    cistern._db.close()
    with sqlite3.connect(tmp_path / "oakvale.db") as db:
        assert db.execute("select key from row").fetchall() == [("b",)]
