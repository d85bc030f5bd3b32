"""The command line's side of drains, against a headworks that is played: followed, sent again, printed, refused."""

from __future__ import annotations

import json
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import pytest

from oakvale.cli import main

MOVE = {"kind": "backend", "node": "b0", "tenants": ["north"], "opens": "", "closes": "", "moves": "T1", "why": ""}
PLAN = {"empty": "T2", "obstacles": [], "moves": [MOVE]}
STAYS: dict[str, Any] = {"empty": "", "obstacles": ["b0 is the last backend of book in east"], "moves": []}


class Headworks:
    """Answers as told, one after the other, and keeps what it was asked."""

    def __init__(self) -> None:
        self.answers: list[tuple[int, Any]] = []
        self.asked: list[tuple[str, str, Any]] = []
        played = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                text = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                played.asked.append((self.command, self.path, json.loads(text) if text else None))
                status, body = played.answers.pop(0)
                self.send_response(status)
                if status == 307:
                    self.send_header("Location", f"http://{played.address}{self.path}")
                self.end_headers()
                self.wfile.write(json.dumps(body).encode())

            do_POST = do_GET

            def log_message(self, format: str, *args: object) -> None:
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        self._thread = threading.Thread(target=self.server.serve_forever, args=(0.01,), daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self.server.shutdown()
        self.server.server_close()
        self._thread.join()


@pytest.fixture
def headworks() -> Iterator[Headworks]:
    made = Headworks()
    yield made
    made.stop()


ORDER = ["--backend", "b0", "--due", "2026-12-03T04:00:00-05:00", "--by", "ana", "--why", "disk"]


def test_an_order_follows_the_primary_and_is_sent_again_unchanged(
    headworks: Headworks, capsys: pytest.CaptureFixture[str]
) -> None:
    headworks.answers = [(307, {}), (503, {"error": "not known to be kept"}), (200, PLAN)]
    main(["drain", "order", "o1", "--ctl", headworks.address, *ORDER])
    body = {"kind": "backend", "target": "b0", "by": "ana", "why": "disk", "due": "2026-12-03T04:00:00-05:00"}
    assert headworks.asked == [("POST", "/oakvale/Drains.Order/o1", body)] * 3
    assert capsys.readouterr().out == "  b0 north: moves T1, hours always to always\nempty T2\n"


@pytest.mark.parametrize(("what", "status"), [("plan", 200), ("order", 409)])
def test_what_stands_in_the_way_is_printed_and_ends_with_1(
    headworks: Headworks, capsys: pytest.CaptureFixture[str], what: str, status: int
) -> None:
    headworks.answers = [(status, STAYS if status == 200 else {"error": "it is the last", "plan": STAYS})]
    with pytest.raises(SystemExit) as ended:
        main(["drain", what, *(["o1"] if what == "order" else []), "--ctl", headworks.address, *ORDER])
    assert ended.value.code == 1
    assert "in the way: b0 is the last backend of book in east" in capsys.readouterr().out


def test_the_account_is_exported_as_csv_and_as_json(headworks: Headworks, capsys: pytest.CaptureFixture[str]) -> None:
    told: dict[str, Any] = {
        "time": "T",
        "orders": [],
        "moves": [{"order": "o1", "node": "b0", "tenant": "north", "in_flight": 2}],
        "outside": [{"backend": "b1", "tenant": "north", "at": "T3", "why": "drain"}],
    }
    headworks.answers = [(200, told), (200, told)]
    main(["drain", "account", "--ctl", headworks.address])
    head, moved, outside = capsys.readouterr().out.splitlines()
    assert head.startswith("order,kind,node,tenant,state,moved") and moved.startswith("o1,,b0,north,")
    assert outside.startswith(",backend,b1,north,outside,T3,") and outside.endswith("the backend: drain")
    main(["drain", "account", "--ctl", headworks.address, "--format", "json"])
    assert json.loads(capsys.readouterr().out) == told
    assert {path for _, path, _ in headworks.asked} == {"/oakvale/Drains.Show"}
