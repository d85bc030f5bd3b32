"""CONFIG: after an acknowledged change of one route's `target_time` the gateways hang, and answer nothing any more."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

from standins import Answer, Backend, Client, ClientAnswer, Operator, Platform, Record, Request, configuration, play

CALENDAR, BOOK = "calendar.example", "book.example"
WORK_S, TAIL, TAIL_X = 0.06, 0.01, 3  # calendar-read of the site file: "tail = 0.01, tail_x = 3"
DEADLINE_S = 3.0  # of both routes
CONTACT_S = 3.0
WATCHED_S = 16.0
READ_GIVEN_UP_S = 1.0  # a try of a repeatable request that the gateway has not read
UNANSWERED, SHARE = 8, 0.25  # CONFIG: "Eight or more of them, and over a quarter"


class Server(Backend):
    """A sound backend. One request in a hundred takes three times as long."""

    def run(self, request: Request) -> Answer:
        self.work_s = WORK_S * (TAIL_X if len(self.ran) % round(1 / TAIL) == 0 and self.ran else 1)
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
    bookings: list[tuple[float, str, str, float, ClientAnswer]] = []  # when sent, where, id, how long, answer

    def read(node: str) -> None:
        """Reads, and gives a try up after a second, as the gateway may not have read it. These are not counted."""
        client = Client(record, platform.http[node], CALENDAR, f"reader of {node}")
        while not over.is_set():
            client.send("GET", "/calendar/today", None, 3600, READ_GIVEN_UP_S)
            time.sleep(0.02)

    def book(node: str) -> None:
        """Books on one kept connection, and waits for each answer until past the deadline; ends when one fails."""
        client = Client(record, platform.http[node], BOOK, f"booker of {node}")
        while not over.is_set():
            sent_at = time.monotonic()
            attempt_id, answer = client.send("POST", "/book/slot", b"chair 4", 4000, DEADLINE_S + 0.6)
            bookings.append((sent_at, node, attempt_id, time.monotonic() - sent_at, answer))
            if answer.status is None:
                return
            time.sleep(0.2)

    threads = [
        threading.Thread(target=what, args=(node,)) for node in platform.http for what in [read] * 4 + [book] * 10
    ]
    for thread in threads:
        thread.start()
    time.sleep(4)
    if trouble:
        operator.replace(configuration(2, routes("0ms"), services))
    changed_at = time.monotonic()
    time.sleep(WATCHED_S)
    for node in platform.http:
        record("platform", f"readyz of {node} answers 200: {platform.is_ready(node)}")
    over.set()
    for thread in threads:
        thread.join()
    asked = [booking for booking in bookings if booking[0] > changed_at and booking[4].on_kept_connection]
    overdue = [booking for booking in asked if booking[3] > DEADLINE_S]
    silent = [booking for booking in overdue if booking[3] >= DEADLINE_S + 0.5 and booking[4].status is None]
    record(
        "case", f"{len(asked)} bookings after the change, {len(overdue)} past the deadline, {len(silent)} unanswered"
    )
    if len(silent) >= UNANSWERED and len(silent) > SHARE * len(overdue):
        nodes = ", ".join(sorted({booking[1] for booking in silent}))
        return [
            f"CONFIG: {len(silent)} of {len(overdue)} bookings past their deadline have no answer 0.5 s later ({nodes})"
        ]
    return []


play(Path(sys.argv[1]), case)  # record.txt beside this file, as run.sh names it
