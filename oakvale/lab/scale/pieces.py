"""What single parts of the real code cost at each size, in this process alone: for rows that loopback can't play, as a
fleet's whole load. Milliseconds of processor time, the median of several turns and the worst."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from typing import Any

from oakvale.base.limits import MB, SECOND, Limits
from oakvale.base.loop import Clock, Loop
from oakvale.base.sockets import listening
from oakvale.gauge.board import Board, Offer
from oakvale.gauge.floors import Floors, Quota, Terms
from oakvale.intake import model
from oakvale.intake import settings as intake
from oakvale.lab.scale.sizes import NAMES, Size, configuration
from oakvale.mains.frames import decode, encode
from oakvale.mains.links import Mains
from oakvale.penstock.table import Entry, Table, pack
from oakvale.sluice.gate import Sluice
from oakvale.sluice.routes import configured

TURNS = 9
CALLS = 2_000
Row = dict[str, Any]


def timed(call: Callable[[], Any], turns: int = TURNS, parts: int = 1) -> list[float]:
    """Median and worst milliseconds of a part."""
    found = []
    gc.collect()
    gc.disable()
    for _ in range(turns):
        began = time.process_time()
        call()
        found.append((time.process_time() - began) * 1e3 / parts)
    gc.enable()
    return [round(sorted(found)[turns // 2], 4), round(max(found), 4)]


def entries(size: Size, text: bytes) -> list[Entry]:
    """What a table of news holds at this size."""
    found: list[Entry] = [
        ("config", (1, 1), {"gen": 1, "text": text}),
        ("core", (1, 2), {"copies": ["127.0.0.1:1"], "witnesses": ["127.0.0.1:1"]}),
    ]
    for n in range(size.backends):
        found.append(
            (
                f"backend/b{n}",
                (1, len(found) + 1),
                {
                    "svc": f"svc-{n % size.services}",
                    "addr": f"127.1.{n // 200}.{n % 200 + 1}:9000",
                    "gen": "v1",
                    "az": NAMES[n // size.services % len(NAMES)],
                    "slots": 8.0,
                    "state": "ready",
                    "calls": 1,
                    "warm": 0,
                },
            )
        )
    for n in range(size.gateways):
        found.append(
            (
                f"gate/gate-{n}",
                (1, len(found) + 1),
                {"addr": f"127.2.{n // 200}.{n % 200 + 1}:9001", "az": NAMES[n % len(NAMES)], "life": f"{n:012x}"},
            )
        )
    return found


def _loop() -> Loop:
    return Loop(
        Clock(),
        Limits.fill(
            sockets=1_000,
            memory=512 * MB,
            connect=SECOND,
            backend_idle=9 * SECOND,
            counter_timeout=SECOND,
            requests=1_000,
        ),
    )


def _gateway(loop: Loop) -> Sluice:
    http = listening(("127.0.0.1", 0), 8)
    port = http.getsockname()[1]
    own = intake.decode(
        {
            "self": {"node": "gate-0", "ip": "127.0.0.1", "az": NAMES[0], "voting": False, "bootstrap": True},
            "network": {
                "port-range": [port, port + 1],
                "seeds": [],
                "bind": {"http": f"127.0.0.1:{port}"},
                "azs": dict.fromkeys(NAMES, "a"),
            },
            "terms": {},
            "infra": {},
        }
    )
    return Sluice(own, {"http": http}, loop)


def calls(loop: Loop) -> list[float]:
    """One question to a counter with its answer, both sides together, over loopback, many at once."""
    counter, asker = Mains(loop, ("127.0.0.1", 0)), Mains(loop, ("127.0.0.1", 0))
    listener = listening(("127.0.0.1", 0), 8)
    address = listener.getsockname()
    listener.close()
    counter.own = (address[0], address[1])
    counter.listen()
    floors, quota = Floors(Terms(5 * SECOND, 0.0, 0.0), loop.now), Quota(100_000, 100_000)

    def count(conn: Any, body: Any, answer: Callable[[Any], None]) -> None:
        verdict = floors.add(str(body[0]), quota, False, loop.now)
        answer([verdict.passes, verdict.level, verdict.wait, ["life", loop.now]])

    counter.handlers["count"] = count

    def all_of_them() -> None:
        left = [CALLS]

        def answered(answer: Any) -> None:
            left[0] -= 1

        for n in range(CALLS):
            asker.ask(
                counter.own, "count", [f"tenant-{n}", 1e5, 1e5, "gate-1", False, ["life", 1]], 20 * SECOND, answered
            )
        while left[0]:
            loop.turn(0.1)

    return timed(all_of_them, parts=CALLS)


def picks(backends: int) -> list[float]:
    """A pick of the board of a service with its end, asked by 470 gateways in turn, few open."""
    board = Board(lambda: 0.5)
    offers = [Offer(f"b{n}", NAMES[n % len(NAMES)], 8.0, 0) for n in range(backends)]
    now = [0]

    def some() -> None:
        for n in range(CALLS):
            now[0] += 20
            asker = n % 470
            picked = board.pick(offers, f"gate-{asker}", NAMES[asker % len(NAMES)], now[0] + SECOND, now[0])
            if picked is not None:
                board.done(picked[0], picked[1], "route", 20_000, "served", now[0], asker=f"gate-{asker}")

    return timed(some, parts=CALLS)


def measured(size: Size) -> list[Row]:
    text = configuration(size, 1)
    held = entries(size, text)
    table = Table()
    table.put(held)
    whole = ["news", 0, [[1, 1], pack(table.since((0, 0))), [0, 0]]]
    frame = encode("news", 0, whole[2])
    one = encode("news", 0, [[1, 1], pack(held[:1]), None])
    loop = _loop()
    gateway = _gateway(loop)
    gateway.table.put(held)
    gateway._changed([key for key, _, _ in held])
    place = [10]

    def news() -> None:
        for n in range(10):
            place[0] += 1
            key, _, value = held[2 + n]
            gateway.table.put([(key, (2, place[0]), value | {"state": "drain" if place[0] % 2 else "ready"})])
            gateway._changed([key])

    found = {
        "a configuration checked": timed(lambda: model.parse(text)),
        "a configuration laid out": timed(lambda: configured(text)),
        "a frame of a configuration encoded": timed(lambda: encode("news", 0, [[1, 1], pack(held[:1]), None])),
        "a frame of a configuration decoded": timed(lambda: decode(bytearray(one))),
        "the whole state encoded": timed(lambda: encode("news", 0, [[1, 1], pack(table.since((0, 0))), [0, 0]])),
        "the whole state decoded": timed(lambda: decode(bytearray(frame))),
        "digests of the table": timed(table.digests),
        "backends looked through for an address": timed(lambda: table.items("backend/")),
        "one backend's news at a gateway": timed(news, parts=10),
        "a counter's call, both sides": calls(loop),
        "a board's pick and end": picks(max(1, size.backends // size.services)),
    }
    loop.close()
    return [
        {
            "step": f"piece: {name}",
            **size.told(),
            "ms": worth[0],
            "worst_ms": worth[1],
            "state_bytes": len(frame),
            "config_bytes": len(one),
        }
        for name, worth in found.items()
    ]
