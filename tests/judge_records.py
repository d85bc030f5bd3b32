"""Records made by hand: a legal day first, then one thing wrong in it."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

from oakvale.lab.judge.verdict import judge
from oakvale.lab.record import (
    Answered,
    Arrived,
    Closed,
    Event,
    Fate,
    Got,
    Happened,
    Kind,
    Machine,
    Ordered,
    Ran,
    ReadBack,
    Record,
    Replied,
    Said,
    Sent,
    State,
    Wrote,
)
from oakvale.lab.record import Told as ToldReader

MS, SECOND = 1_000, 1_000_000
ROUTES = (("read", "/read/", "safe", ("alpha",)), ("book", "/book/", "unsafe", ("beta",)))
COLUMNS = ["name", "vhost", "prefix", "type", "deadline", "split", "tries", "public"]


def text(
    gen: int,
    routes: tuple[tuple[str, str, str, tuple[str, ...]], ...] = ROUTES,
    keys: str = "key",
    rate: float = 0,
    burst: float = 0,
    public: bool = False,
) -> bytes:
    rows = [
        [name, "a.example", prefix, kind, "4s", [{"svc": s, "wt": 1} for s in services], 2, public]
        for name, prefix, kind, services in routes
    ]
    return json.dumps(
        {
            "gen": gen,
            "routes": {"cols": COLUMNS, "rows": rows},
            "svcs": {"cols": ["name"], "rows": [["alpha"], ["beta"]]},
            "tenants": {
                "cols": ["name", "apikeys", "rate-per-s", "burst"],
                "rows": [["ten", [keys], rate, burst], ["other", ["others"], None, None]],
            },
        }
    ).encode()


class Told:
    """Machines e1, e2 and cores c1 to c3 start at -20 s; version 1 is in force from -10 s on."""

    def __init__(self, first: bytes | None = None, **bounds: Any) -> None:
        machines = (
            *(Machine(f"e{n}", "z", True, False) for n in (1, 2)),
            *(Machine(f"c{n}", "z", False, True) for n in (1, 2, 3)),
        )
        kinds = {"read": Kind("read", 1, 0.3, 500 * MS), "book": Kind("book", 2, 0.6, 500 * MS)}
        self.record = Record(
            "told", 1, {"retry_slack": 3, "quota_slack": 2, **bounds}, machines, kinds, ended=100 * SECOND
        )
        self.happen(Event.START, -20 * SECOND, "e1", "e2", "c1", "c2", "c3")
        self.order(1, first or text(1), -10 * SECOND)
        self.count = 0

    def happen(
        self,
        kind: Event,
        at: int,
        *machines: str,
        until: int | None = None,
        planned: bool = False,
        others: tuple[str, ...] = (),
    ) -> None:
        self.record.add(Happened(at, at if until is None else until, kind, machines, planned, others))

    def order(
        self, gen: int, content: bytes, at: int, acked: bool = True, valid: bool = True, status: int = 200
    ) -> None:
        self.record.add(
            Ordered(
                at,
                gen,
                valid,
                self.record.order(content),
                at + 50 * MS if acked else None,
                status,
                "c1" if acked else None,
            )
        )

    def reply(self, at: int, gen: int, content: bytes, status: int = 200, by: str = "c1", lost: bool = False) -> None:
        """A machine's answer to an order that was sent 5 ms before."""
        name = self.record.order(content)
        self.record.add(Replied(at, at - 5 * MS, gen, True, name, status, by, lost))
        if not lost:
            self.order(gen, content, at - 5 * MS, acked=status == 200, status=status)

    def read(self, at: int, gen: int, content: bytes, by: str = "c1") -> None:
        self.record.add(ToldReader(at, at - 5 * MS, gen, self.record.order(content), by))

    def send(
        self,
        at: int,
        route: str = "read",
        gateway: str = "e1",
        key: str | None = "key",
        name: str = "",
        first: str = "",
        wait: int = 4 * SECOND,
    ) -> str:
        self.count += 1
        name = name or f"r{self.count}"
        self.record.add(
            Sent(
                at,
                name,
                "cl",
                "a.example",
                f"/{route}/x",
                "GET",
                "none",
                key,
                "ten",
                route if route in self.record.kinds else "",
                at + wait,
                gateway,
                self.count,
                first or name,
            )
        )
        self.record.add(Wrote(at, name))
        return name

    def arrive(self, at: int, name: str, backend: str = "a1", service: str = "alpha", **changed: Any) -> None:
        sent = next(s for s in self.record.sent if s.id == name)
        arrived = Arrived(
            at,
            name,
            backend,
            service,
            "ten",
            None,
            sent.host,
            sent.path,
            sent.method,
            sent.body_digest,
            backend,
            sent.gateway,
        )
        self.record.add(replace(arrived, **changed))

    def run(self, at: int, name: str, backend: str = "a1", service: str = "alpha", **changed: Any) -> None:
        self.arrive(at, name, backend, service, **changed)
        self.record.add(Ran(at, name, backend, service))

    def answer(self, at: int, name: str, backend: str = "a1", status: int = 200, fate: Fate = Fate.WHOLE) -> None:
        self.record.add(Answered(at, name, backend, status, f"seal-{name}-{backend}", f"body-{name}", fate))

    def get(self, at: int, name: str | None, status: int = 200, **changed: Any) -> None:
        sealed = status < 400 and name is not None
        got = Got(
            at,
            name,
            status,
            f"seal-{name}-a1" if sealed else None,
            f"body-{name}" if sealed else "",
            True,
            None,
            1,
            name,
        )
        self.record.add(replace(got, **changed))

    def close(self, at: int, name: str, read: bool = True, by_client: bool = False) -> None:
        self.record.add(Closed(at, name, 1, read, by_client))

    def serve(
        self,
        at: int,
        route: str = "read",
        gateway: str = "e1",
        key: str | None = "key",
        service: str | None = None,
        name: str = "",
    ) -> str:
        """A request that runs after 2 ms and is answered after 20."""
        name = self.send(at, route, gateway, key, name)
        self.run(at + 2 * MS, name, service=service or {"read": "alpha", "book": "beta"}.get(route, "alpha"))
        self.answer(at + 20 * MS, name)
        self.get(at + 22 * MS, name)
        return name

    def leave(self, at: int, backend: str, by: str = "c1") -> None:
        self.record.add(Said(at, backend, State.DRAIN, at, by))

    def read_back(self, gen: int, content: bytes, at: int = 99 * SECOND) -> None:
        self.record.add(ReadBack(at, gen, self.record.order(content)))

    def broken(self) -> list[str]:
        """The rules that are, each once, in order of the alphabet."""
        return sorted({found.rule for found in judge(self.record).broken})
