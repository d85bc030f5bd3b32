"""TWICE: a booking runs twice when a full backend sends its `Not-Run` answer once more, late."""

from __future__ import annotations

import socket
import sys
import threading
import time
from pathlib import Path

from standins import Backend, Client, Operator, Platform, Record, Request, configuration, encode_answer, play

HOST = "book.example"
WORK_S = 0.01
LONG_WORK_S = 0.25  # of the bookings that fill both backends, half of them in the slots and half in the queue
REFUSAL_S = 0.08  # a full backend takes this long to say so
TROUBLE_S = 5.0  # `garble`: for_s of the site file
SPOILT_SHARE = 0.03  # `garble`: x of the site file; one of the two backends is in trouble (share 0.6)
BEFORE_FREE_S = 0.12  # a booking comes this long before there is room again: two of its tries find none


class SlotBook(Backend):
    """A backend of two slots and a queue of two. In trouble it sends some answers once more, late: in the place of the
    next one due."""

    garbles_until = 0.0
    answers = spoilt = 0

    def __init__(self, record: Record, platform: Platform, number: int) -> None:
        super().__init__(record, platform, "slotbook", number, work_s=WORK_S)
        self._surplus: dict[socket.socket, bytes] = {}

    def exchange(self, sock: socket.socket, request: Request) -> None:
        late = self._surplus.pop(sock, None)
        if late is not None:
            self.record(self.name, "sends the surplus answer in the place of the next one due")
            sock.sendall(late)
        status, headers, body = self.answer(request)
        if status == 503:
            time.sleep(REFUSAL_S)
        sock.sendall(encode_answer(status, headers, body))
        if time.monotonic() < self.garbles_until:
            self.answers += 1
            if status == 503 and self.spoilt + 1 <= SPOILT_SHARE * self.answers:
                self.spoilt += 1
                self._surplus[sock] = encode_answer(status, headers, body)
                self.record(self.name, f"will send the answer of {request.id} once more ({self.spoilt}/{self.answers})")

    def run(self, request: Request) -> tuple[int, dict[str, str], bytes]:
        if request.target != "/book/long":
            return super().run(request)
        self.record(self.name, f"runs {request.id} for {LONG_WORK_S} s")
        time.sleep(LONG_WORK_S)
        return 200, {"Attempt-Id": request.id, "Seal": "1"}, b"done\n"


def case(record: Record, platform: Platform, trouble: bool) -> list[str]:
    platform.start()
    route = ["r-book", HOST, "/book/", "unsafe", "6s", "1s", 4, "slotbook"]
    Operator(record, platform).replace(configuration(1, [route], ["slotbook"]))
    near, far = SlotBook(record, platform, 3), SlotBook(record, platform, 4)  # in the zone of edge-1, and in another
    for backend in (near, far):
        backend.start_beats()
    platform.wait_ready()
    time.sleep(1)
    client = Client(record, platform.http["edge-1"], HOST, "client 1")
    others = [Client(record, platform.http["edge-2"], HOST, f"client {n}") for n in range(2, 10)]
    answers: dict[str, int | None] = {}
    for _ in range(20):  # connections are up, and the latencies are known
        client.send("POST", "/book/slot", b"chair 4, ten o'clock")
    ends = time.monotonic() + TROUBLE_S
    if trouble:
        record("case", f"{near.name} is in trouble for {TROUBLE_S} s")
        near.garbles_until = ends
    while time.monotonic() < ends - 1.6:
        for _ in range(45):
            client.send("POST", "/book/slot", b"chair 4, ten o'clock")
        threads = [threading.Thread(target=other.send, args=("POST", "/book/long", b"x")) for other in others]
        for thread in threads:
            thread.start()
        time.sleep(LONG_WORK_S - BEFORE_FREE_S)
        attempt_id, answer = client.send("POST", "/book/slot", b"chair 4, ten o'clock")
        answers[attempt_id] = answer.status
        for thread in threads:
            thread.join()
    time.sleep(0.5)
    broken = []
    runs = [attempt_id for backend in (near, far) for _, attempt_id in backend.ran]
    for attempt_id in set(runs):
        if runs.count(attempt_id) > 1:
            broken.append(f"TWICE: {attempt_id} ran {runs.count(attempt_id)} times, answered {answers.get(attempt_id)}")
    for attempt_id, status in answers.items():
        if status in (408, 421, 429, 503) and attempt_id in runs:  # noted only: the rule of this case is TWICE
            record("case", f"also REFUSED: {attempt_id} was answered {status} and ran")
    return broken


play(Path(sys.argv[1]), case)  # record.txt beside this file, as run.sh names it
