"""The drain commands against a fake core machine: redirects, retries, output and refusals."""

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
REFUSED_PLAN: dict[str, Any] = {"empty": "", "obstacles": ["b0 is the last backend of book in east"], "moves": []}


class FakeCore:
    """Sends prepared responses one after the other and records the requests."""

    def __init__(self) -> None:
        self.responses: list[tuple[int, Any]] = []
        self.requests: list[tuple[str, str, Any]] = []
        fake = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                text = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                fake.requests.append((self.command, self.path, json.loads(text) if text else None))
                status, body = fake.responses.pop(0)
                self.send_response(status)
                if status == 307:
                    self.send_header("Location", f"http://{fake.address}{self.path}")
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
def core() -> Iterator[FakeCore]:
    fake = FakeCore()
    yield fake
    fake.stop()


ORDER = ["--backend", "b0", "--due", "2026-12-03T04:00:00-05:00", "--by", "ana", "--why", "disk"]


def test_an_order_follows_redirects_and_is_repeated_unchanged(
    core: FakeCore, capsys: pytest.CaptureFixture[str]
) -> None:
    core.responses = [(307, {}), (503, {"error": "not known to be kept"}), (200, PLAN)]
    main(["drain", "order", "o1", "--ctl", core.address, *ORDER])
    body = {"kind": "backend", "target": "b0", "by": "ana", "why": "disk", "due": "2026-12-03T04:00:00-05:00"}
    assert core.requests == [("POST", "/oakvale/Drains.Order/o1", body)] * 3
    assert capsys.readouterr().out == "  b0 north: moves T1, hours always to always\nempty T2\n"


@pytest.mark.parametrize(("what", "status"), [("plan", 200), ("order", 409)])
def test_obstacles_are_printed_and_the_exit_code_is_1(
    core: FakeCore, capsys: pytest.CaptureFixture[str], what: str, status: int
) -> None:
    core.responses = [(status, REFUSED_PLAN if status == 200 else {"error": "it is the last", "plan": REFUSED_PLAN})]
    with pytest.raises(SystemExit) as exit_info:
        main(["drain", what, *(["o1"] if what == "order" else []), "--ctl", core.address, *ORDER])
    assert exit_info.value.code == 1
    assert "in the way: b0 is the last backend of book in east" in capsys.readouterr().out


def test_the_report_is_exported_as_csv_and_json(core: FakeCore, capsys: pytest.CaptureFixture[str]) -> None:
    report: dict[str, Any] = {
        "time": "T",
        "orders": [],
        "moves": [{"order": "o1", "node": "b0", "tenant": "north", "in_flight": 2}],
        "outside": [{"backend": "b1", "tenant": "north", "at": "T3", "why": "drain"}],
    }
    core.responses = [(200, report), (200, report)]
    main(["drain", "account", "--ctl", core.address])
    header, moved, outside = capsys.readouterr().out.splitlines()
    assert header.startswith("order,kind,node,tenant,state,moved") and moved.startswith("o1,,b0,north,")
    assert outside.startswith(",backend,b1,north,outside,T3,") and outside.endswith("the backend: drain")
    main(["drain", "account", "--ctl", core.address, "--format", "json"])
    assert json.loads(capsys.readouterr().out) == report
    assert {path for _, path, _ in core.requests} == {"/oakvale/Drains.Show"}
