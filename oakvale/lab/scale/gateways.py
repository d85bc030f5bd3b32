"""Hollow gateways, many in a process on one loop: the real control side (`Sluice`: join, heartbeats, ring, tree, relay,
digests, counter), without a data plane. `python -m oakvale.lab.scale.gateways FILE` runs those that FILE names.

What differs from a real one, and is measured on real ones beside it: the text of a configuration is laid out once for
all in a process, lanes and boards learn nothing of backends, and one turn of the loop serves many gateways.
"""

from __future__ import annotations

import gc
import json
import sys
import time
from collections import Counter
from collections.abc import Callable
from functools import lru_cache
from hashlib import blake2b
from pathlib import Path
from typing import Any

from oakvale.base.loop import Loop
from oakvale.base.sockets import listening
from oakvale.intake import settings as intake
from oakvale.lab.scale.control import answers, hollow_loop
from oakvale.mains import links
from oakvale.sluice import gate
from oakvale.sluice.gate import Sluice
from oakvale.sluice.routes import Picture

SECOND = 1_000_000


def list_digest(lives: dict[str, str]) -> str:
    """Equal where two lists name the same lives."""
    return blake2b("\n".join(f"{node} {lives[node]}" for node in sorted(lives)).encode(), digest_size=8).hexdigest()


class Frames:
    """How many frames went out and came in, by kind, and bytes in; of all gateways of the process."""

    def __init__(self) -> None:
        self.out: Counter[str] = Counter()
        self.come: Counter[str] = Counter()
        self.bytes_in = 0
        module: Any = links
        encode, decode = module.encode, module.decode

        def encoded(kind: str, number: int, body: Any) -> bytes:
            self.out[kind] += 1
            data: bytes = encode(kind, number, body)
            return data

        def decoded(buffer: bytearray) -> list[Any]:
            before = len(buffer)
            found: list[Any] = decode(buffer)
            self.bytes_in += before - len(buffer)
            for kind, _, _ in found:
                self.come[kind] += 1
            return found

        module.encode, module.decode = encoded, decoded


class Hollow(Sluice):
    def __init__(self, settings: intake.Settings, loop: Loop) -> None:
        """Raises OSError."""
        self.learned: dict[int, float] = {}  # gen -> seconds of the steady clock
        self.marked: Counter[str] = Counter()
        self._digest: tuple[Any, str] = (None, "")
        super().__init__(settings, {"http": listening(settings.bind["http"], 16)}, loop)
        plant: Any = self.plant
        plant.show = self._show

    def _show(self, picture: Picture) -> None:
        was, self.plant.picture = self.plant.picture, picture
        if picture.gen != was.gen:
            self.learned[picture.gen] = time.monotonic()

    def digest(self) -> str:
        listed = self.plant.picture.members
        if self._digest[0] is not listed:
            self._digest = listed, list_digest({node: member.life for node, member in listed.items()})
        return self._digest[1]

    def place(self) -> str:
        """Its role besides its own: the dearest that it has."""
        return "counter" if self.gauge.held() else "relay" if len(self.feed.outlet) else "plain"


class Worker:
    def __init__(self, loop: Loop, spec: dict[str, Any]) -> None:
        self.loop, self.frames = loop, Frames()
        module: Any = gate
        module.configured = lru_cache(2)(module.configured)
        self.gateways = [Hollow(intake.decode(data), loop) for data in spec["gateways"]]
        self._tenants = int(spec["tenants"])
        self._calls = [0, 0]  # counted and not
        self._waits: list[float] = []
        self._rate = 0.0  # calls a second, of all here
        self._next = 0

    def calls(self) -> dict[str, Callable[[Any], Any]]:
        return {
            "look": self.look,
            "lives": self.lives,
            "learned": self.learned,
            "mark": self.mark,
            "span": self.span,
            "rate": self.rate,
        }

    def lives(self, _: Any) -> dict[str, str]:
        return {g.settings.node: g.life for g in self.gateways}

    def look(self, _: Any) -> dict[str, Any]:
        """What they know now."""
        pictures = [g.plant.picture for g in self.gateways]
        return {
            "gateways": len(pictures),
            "fresh": sum(g.feed.fresh() for g in self.gateways),
            "lists": Counter(g.digest() for g in self.gateways),
            "gens": Counter(p.gen for p in pictures),
            "backends": Counter(len(p.backends) for p in pictures),
            "listed": Counter(len(p.members) for p in pictures),
            "duties": sum(len(g.gauge.held()) for g in self.gateways),
        }

    def learned(self, gen: Any) -> list[float]:
        """When each came to know a configuration."""
        return [g.learned[gen] for g in self.gateways if gen in g.learned]

    def mark(self, _: Any) -> None:
        for gateway in self.gateways:
            gateway.marked = gateway.mains.sent.copy()
        self.frames.out.clear()
        self.frames.come.clear()
        self.frames.bytes_in = 0
        self._calls, self._waits = [0, 0], []

    def span(self, _: Any) -> dict[str, Any]:
        """Since the mark: bytes sent by kind for each role, the most of one, frames, links now, counter's calls."""
        roles: dict[str, dict[str, Any]] = {}
        for gateway in self.gateways:
            sent = gateway.mains.sent - gateway.marked
            role = roles.setdefault(
                gateway.place(), {"gateways": 0, "sent": Counter(), "most": 0, "links": 0, "below": 0}
            )
            role["gateways"] += 1
            role["sent"].update(sent)
            role["most"] = max(role["most"], sent.total())
            role["links"] = max(role["links"], sum(gateway.mains.links()))
            role["below"] = max(role["below"], len(gateway.feed.outlet))
        return {
            "roles": roles,
            "out": self.frames.out,
            "come": self.frames.come,
            "bytes_in": self.frames.bytes_in,
            "counted": self._calls[0],
            "uncounted": self._calls[1],
            "waits": self._waits,
        }

    def rate(self, rate: Any) -> None:
        """So many calls to the counter a second from now on."""
        begins, self._rate = not self._rate, float(rate)
        if begins and self._rate:
            self._call(None)

    def _call(self, _: Any) -> None:
        if not self._rate:
            return
        self.loop.at(self.loop.now + round(SECOND / self._rate), self._call)
        self._next += 1
        gauge, began = self.gateways[self._next % len(self.gateways)].gauge, time.monotonic()

        def told(passes: bool, wait: int, counted: bool) -> None:
            self._calls[0 if counted else 1] += 1
            self._waits.append((time.monotonic() - began) * 1e3)

        gauge.ask(f"tenant-{self.loop.net.rng.randrange(self._tenants)}", False, told)


def main(path: str) -> None:
    spec = json.loads(Path(path).read_text())
    loop = hollow_loop()
    gc.set_threshold(100_000, 50, 50)  # what they hold lasts
    host, port = spec["control"]
    answers(loop, (host, port), Worker(loop, spec).calls())
    loop.run()


if __name__ == "__main__":
    main(sys.argv[1])
