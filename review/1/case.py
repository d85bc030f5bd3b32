"""CONFIG: after an acknowledged change of one route's `target_time` the gateways hang, and answer nothing any more."""

from __future__ import annotations

import threading
import time
from pathlib import Path

from standins import Answer, Backend, Client, Operator, Platform, Record, Request, configuration, play

CALENDAR, BOOK = "calendar.example", "book.example"
MEAN_WORK_S, LONG_WORK_S = 0.06, 0.18  # one read in twenty takes three times as long (the site: tail 0.01, tail_x 3)
DEADLINE_S = 3.0  # of both routes
CONTACT_S, APPLY_S = 3.0, 2.5
WATCHED_S = 16.0
UNANSWERED, SHARE = 8, 0.25  # CONFIG: "Eight or more of them, and over a quarter"


class Server(Backend):
    """A sound backend. One request in twenty takes three times as long."""

    def run(self, request: Request) -> Answer:
        self.work_s = LONG_WORK_S if len(self.ran) % 20 == 19 else MEAN_WORK_S
        return super().run(request)


def routes(target_time: str) -> list[list[object]]:
    return [
        ["r-calendar", CALENDAR, "/calendar/", "safe", "3s", target_time, 2, "chairview"],
        ["r-book", BOOK, "/book/", "unsafe", "3s", "1s", 2, "slotbook"],
    ]


def case(record: Record, platform: Platform, trouble: bool) -> list[str]:
    platform.start()
    operator, services = Operator(record, platform), ["chairview", "slotbook"]
    operator.replace(configuration(1, routes("800ms"), services))
    for number in range(6):
        Server(record, platform, services[number % 2], number).start_beats()
    platform.wait_ready()
    time.sleep(CONTACT_S + 1)  # all machines are in touch
    over = threading.Event()
    waits: list[tuple[float, str, str, float, int | None]] = []  # when sent, where, id, how long, status

    def use(node: str, host: str, method: str, path: str) -> None:
        client = Client(record, platform.http[node], host, f"client of {node}")
        while not over.is_set():
            sent_at = time.monotonic()
            attempt_id, answer = client.send(method, path, b"x" if method == "POST" else None, 3600)
            waits.append((sent_at, node, attempt_id, time.monotonic() - sent_at, answer.status))
            time.sleep(0.02)

    uses = [(CALENDAR, "GET", "/calendar/today")] * 3 + [(BOOK, "POST", "/book/slot")] * 2
    threads = [threading.Thread(target=use, args=(node, *what)) for node in platform.http for what in uses]
    for thread in threads:
        thread.start()
    time.sleep(4)
    if trouble:
        operator.replace(configuration(2, routes("0ms"), services))
    from_then_on = time.monotonic() + APPLY_S
    time.sleep(WATCHED_S)
    for node in platform.http:
        record("platform", f"readyz of {node} answers 200: {platform.is_ready(node)}")
    over.set()
    for thread in threads:
        thread.join()
    asked = [wait for wait in waits if wait[0] > from_then_on]
    overdue = [wait for wait in asked if wait[3] > DEADLINE_S or wait[4] is None]
    silent = [wait for wait in overdue if wait[3] >= DEADLINE_S + 0.5 and wait[4] is None]
    record(
        "case", f"{len(asked)} requests after the change, {len(overdue)} past the deadline, {len(silent)} unanswered"
    )
    if len(silent) >= UNANSWERED and len(silent) > SHARE * len(overdue):
        nodes = ", ".join(sorted({wait[1] for wait in silent}))
        return [
            f"CONFIG: {len(silent)} of {len(overdue)} requests past their deadline have no answer 0.5 s later ({nodes})"
        ]
    return []


play(Path(__file__).resolve().parent, case)
