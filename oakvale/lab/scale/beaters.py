"""Hollow backends, many in a process: beats, drains and leaves over HTTP to `ctl`, on a connection of its own each as
the laboratory's backends call, with 307, `beat-url` and another address after a failure. They serve nothing.
`python -m oakvale.lab.scale.beaters FILE` runs those that FILE names.
"""

from __future__ import annotations

import gc
import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from oakvale.base.address import Address, parse_address
from oakvale.base.loop import Loop
from oakvale.lab.models.walk import Walk, walk
from oakvale.lab.models.ways import Reply
from oakvale.lab.scale.control import answers, hollow_loop, quantile

SECOND = 1_000_000
GIVES_UP = 6 * SECOND  # of a drain and a leave


class Backend:
    """One life."""

    def __init__(self, worker: Worker, name: str, service: str, zone: str, address: str) -> None:
        self.worker, self.name, self.service, self.zone, self.address = worker, name, service, zone, address
        self.heard_at = 0.0  # seconds of the steady clock; when a beat was acknowledged last
        self.state = "ready"
        self._calls = 0
        self._first: Address | None = None

    def begin(self, _: Any) -> None:
        if self.state == "ready":
            loop = self.worker.loop
            loop.at(loop.now + round(self.worker.beat * loop.net.rng.uniform(0.9, 1.1)), self.begin)
            self._say("Heartbeat", self.worker.beat, self._beaten)

    def _report(self) -> bytes:
        self._calls += 1
        return json.dumps(
            {
                "svc": self.service,
                "addr": self.address,
                "az": self.zone,
                "gen": "v1",
                "slots": 8,
                "state": self.state,
                "warmup_time": "0ms",
                "calls": self._calls,
            }
        ).encode()

    def _say(self, verb: str, within: int, then: Callable[[Reply | None], None]) -> None:
        loop, began = self.worker.loop, time.monotonic()
        steps = Walk(
            lambda: self.worker.ctl, loop.net.rng, loop.now + within, beat=verb == "Heartbeat", first=self._first
        )
        self._first = None

        def said(reply: Reply | None, by: Address) -> None:
            good = reply if reply is not None and 200 <= reply.status < 300 else None
            self.worker.count(
                verb if self.state == "ready" else f"{verb} {self.state}", good is not None, time.monotonic() - began
            )
            if good is not None:
                told = json.loads(good.body or b"{}")
                self._first = parse_address(str(told.get("beat-url", "")).removeprefix("http://").partition("/")[0])
            then(good)

        walk(
            loop,
            steps,
            "POST",
            f"/oakvale/Backends.{verb}/{self.name}",
            self._report if verb == "Heartbeat" else None,
            said,
        )

    def _beaten(self, reply: Reply | None) -> None:
        if reply is not None:
            self.heard_at = time.monotonic()

    def leave(self) -> None:
        """Drain, then leave; nothing is in hand that would have to end first."""
        self.state = "drain"
        self._say("Heartbeat", GIVES_UP, lambda reply: self._say("Leave", GIVES_UP, lambda left: None))


class Worker:
    def __init__(self, loop: Loop, spec: dict[str, Any]) -> None:
        self.loop = loop
        self.ctl: list[Address] = [(host, port) for host, port in spec["ctl"]]
        self.beat = round(spec["beat"] * SECOND)
        self._made = 0
        self.backends = [Backend(self, *given) for given in spec["backends"]]
        self._counts: dict[str, list[int]] = {}
        self._waits: list[float] = []
        for backend in self.backends:
            loop.at(loop.now + loop.net.rng.randrange(self.beat), backend.begin)

    def calls(self) -> dict[str, Callable[[Any], Any]]:
        return {"look": self.look, "mark": self.mark, "replace": self.replace}

    def count(self, verb: str, good: bool, seconds: float) -> None:
        self._counts.setdefault(verb, [0, 0])[0 if good else 1] += 1
        self._waits.append(seconds * 1e3)

    def look(self, _: Any) -> dict[str, Any]:
        """Since the mark: what was acknowledged and what was not, by verb; and who was heard lately."""
        since = time.monotonic() - 2 * self.beat / SECOND
        return {
            "backends": len(self.backends),
            "known": sum(b.heard_at > since for b in self.backends),
            "counts": self._counts,
            "p50_ms": quantile(self._waits, 0.5),
            "p99_ms": quantile(self._waits, 0.99),
        }

    def mark(self, _: Any) -> None:
        self._counts, self._waits = {}, []

    def replace(self, count: Any) -> None:
        """So many are released anew: they drain and leave, and others begin in their places at new ids."""
        for at in range(min(int(count), len(self.backends))):
            old = self.backends[at]
            old.leave()
            self._made += 1
            fresh = Backend(
                self,
                f"{old.name}.{self._made}",
                old.service,
                old.zone,
                f"{old.address.partition(':')[0]}:{20_000 + self._made}",
            )
            self.backends[at] = fresh
            fresh.begin(None)


def main(path: str) -> None:
    spec = json.loads(Path(path).read_text())
    loop = hollow_loop()
    gc.set_threshold(100_000, 50, 50)
    host, port = spec["control"]
    answers(loop, (host, port), Worker(loop, spec).calls())
    loop.run()


if __name__ == "__main__":
    main(sys.argv[1])
