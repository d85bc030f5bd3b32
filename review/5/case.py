"""LOST: after a SIGTERM, a gateway cuts off a request that its backend works on, and answers in its place."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness2 as h

HOST = "desk.example"
DEADLINE_MS = 12_000  # of `patient-read`, as its aim of 2,000 ms
USUAL_S, LONG_READ_S, BOOKING_S = 0.25, 3.0, 2.0  # work; the site's longest are 4.1 s and 2.1 s
GRACE_S = 6.0  # the rule excuses what a backend still works on in the last sixth of it
WARM_UP_S = 12.0  # more than one `retry-win` of usual traffic
BOOKINGS = 7  # with the long read they fill 2 backends of 2 slots and 2 places in the queue


def work(request: h.Message) -> float:
    """Seconds."""
    return BOOKING_S if "/book/" in request.first else LONG_READ_S if "/long" in request.first else USUAL_S


async def ask(deployment: h.Deployment, edge: str, method: str, path: str, name: str) -> h.Message | None:
    headers = {"Attempt-Id": name, "Time-Left": str(DEADLINE_MS)}
    body = b"x" * 40 if method == "POST" else b""
    deployment.record("client sends", name, method, path, "to", edge)
    answer = await h.exchange(
        deployment.http(edge), h.render(method, path, HOST, headers, body), DEADLINE_MS / 1000 + 0.5
    )
    words = "nothing" if answer is None else f"{answer.status} seal {answer.headers.get('seal')}"
    deployment.record("client gets", name, words)
    return answer


async def play(record: h.Record) -> int:
    deployment = h.Deployment(record)
    backends = [h.Backend(deployment, "chairview", work, number, slots=2, queue=2) for number in range(2)]
    try:
        deployment.start_all()
        for backend in backends:
            await backend.start()
        routes: list[list[object]] = [
            ["read", HOST, "/read/", "safe", f"{DEADLINE_MS}ms", "2000ms", 2, None, 2, True, "chairview"],
            ["book", HOST, "/book/", "unsafe", f"{DEADLINE_MS}ms", "1000ms", 1, None, 2, True, "chairview"],
        ]
        await h.ctl_call(
            deployment, "POST", "/oakvale/Config.Replace", h.configuration(1, routes, ["chairview"]), timeout=3
        )
        await h.until(lambda: h.edges_ready(deployment), "edge machines ready", 20)
        end, number = record.now() + WARM_UP_S, 0
        while record.now() < end:
            number += 1
            usual = [ask(deployment, edge, "GET", "/read/usual", f"usual-{number}-{edge}") for edge in deployment.edge]
            await asyncio.gather(*usual)
        sent = record.now()
        long_read = asyncio.create_task(ask(deployment, "edge-0", "GET", "/read/long", "long-read"))
        await asyncio.sleep(0.05)
        bookings = []
        for n in range(BOOKINGS):
            bookings.append(asyncio.create_task(ask(deployment, "edge-1", "POST", "/book/slot", f"booking-{n}")))
            await asyncio.sleep(0.02)
        stopped = record.now()
        if h.TROUBLE:
            stopped = deployment.signal("edge-0", signal.SIGTERM)
        answer = await long_read
        answered = record.now()
        await asyncio.gather(*bookings)
        cut = [run for b in backends for run in b.runs if run.id == "long-read" and run.how == "cut off"]
        own_answer = answer is None or "seal" not in answer.headers
        record("long-read: cut off", [f"{run.ended:.3f}" for run in cut], "own answer", own_answer)
        if not any(run.id == "long-read" for b in backends for run in b.runs):
            return h.NOT_RUN
        in_time = answered < sent + DEADLINE_MS / 1000  # a deadline that was reached is an excuse
        in_window = [run for run in cut if stopped < run.ended < stopped + GRACE_S * 5 / 6]
        broken = h.TROUBLE and own_answer and in_time and bool(in_window)
        return h.BROKEN if broken else h.HELD
    finally:
        for backend in backends:
            backend.stop()
        deployment.close()


if __name__ == "__main__":
    h.main(Path(__file__).resolve().parent / "record.txt", play)  # written anew by each run
