"""One gateway's data plane between clients and backends in memory, and a plain model of both ends that judges it.

A schedule is bytes, three for a step; what they bring about stands in `World.log`. The model knows of each request what
was handed to a kernel on its way to a backend, what a backend said of it, and what its client was told.
"""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import cache
from types import SimpleNamespace
from typing import Any, cast

from oakvale.base.loop import Loop
from oakvale.config.bounds import limits_from_settings
from oakvale.dataplane.request_router import RequestRouter
from oakvale.dataplane.routes import Backend, Picture, configured
from oakvale.lifecycle.acceptor import Acceptor
from oakvale.lifecycle.shutdown import Shutdown
from oakvale.retry_budget import RetryLimits
from oakvale.shared import SharedResources
from tests.memory_connections import PLENTY, Line, Lines

MS, SECOND = 1_000, 1_000_000
START = 1_800_000_000 * SECOND
SETTINGS = SimpleNamespace(nofile=4100, memory_mb=300, bounds=SimpleNamespace(grace=6 * SECOND))
PROMISES = (408, 421, 429, 503)
LEFT = re.compile(rb"time-left: *(\d+)", re.IGNORECASE)
ID = re.compile(rb"attempt-id: *(\w+)", re.IGNORECASE)
PLACES = {"i-1": ("one", ("10.0.1.1", 80)), "i-2": ("one", ("10.0.1.2", 80)), "i-3": ("two", ("10.0.2.1", 80))}
CONFIG = {
    "gen": 7,
    "limits": {"idle": "15s"},
    "routes": {
        "cols": ["name", "vhost", "prefix", "type", "deadline", "tries", "svc"],
        "rows": [
            ["read", "a", "/r/", "safe", "5s", 3, "one"],
            ["book", "a", "/b/", "unsafe", "6s", 3, "one"],
            ["move", "a", "/m/", "unsafe", "9s", 2, "two"],
        ],
    },
    "svcs": {"cols": ["name"], "rows": [["one"], ["two"]]},
    "tenants": {"cols": ["name", "apikeys"], "rows": [["t1", ["k1"]], ["t2", ["k2"]]]},
}


@cache
def parts(idle: str) -> dict[str, Any]:
    return configured(json.dumps(CONFIG | {"limits": {"idle": idle}}).encode())


@dataclass(eq=False)
class Asked:
    """A request of a client."""

    id: str
    unsafe: bool
    raw: bytes
    line: bytes
    body: bytes
    arrivals: list[Arrival] = field(default_factory=list)


@dataclass(eq=False)
class Arrival:
    """At a backend: some of a request was handed to the kernel on the way there."""

    asked: Asked
    number: int
    data: bytes
    left: int  # bytes that are still to come
    declined: bool = False
    done: bool = False  # a final answer was sent, of whatever kind
    due: int = 0  # when its client waits no longer
    odd: int = 0  # what was sent that is no answer to it
    good: bool = False  # its answer was sent in time, with nothing odd before

    @property
    def sealed(self) -> bytes:
        return b"s-%s-%d" % (self.asked.id.encode(), self.number)

    def body(self) -> bytes:
        return (b"of %s." % self.sealed) * (1 + self.number % 3)


def reply(arrival: Arrival, status: bytes = b"200 OK", named: bool = True, seal: bool = True, **headers: str) -> bytes:
    fields = {"Attempt-Id": arrival.asked.id} if named else {}
    fields |= {"Seal": arrival.sealed.decode()} if seal else {}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    body = arrival.body()
    fields["Content-Length"] = str(len(body))
    return b"HTTP/1.1 %s\r\n%s\r\n%s" % (
        status,
        b"".join(f"{name}: {value}\r\n".encode() for name, value in fields.items()),
        body,
    )


def chunked(arrival: Arrival) -> bytes:
    body = arrival.body()
    head = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nSeal: %s\r\nTransfer-Encoding: chunked\r\n\r\n" % (
        arrival.asked.id.encode(),
        arrival.sealed,
    )
    return head + b"4\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n" % (body[:4], len(body) - 4, body[4:])


def turned_away(arrival: Arrival, which: int) -> bytes:
    if which % 2:
        return b"HTTP/1.1 421 Misdirected Request\r\nServed-By: i-9\r\nContent-Length: 0\r\n\r\n"
    return b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno"


class Ear:
    """A backend's end of a connection."""

    def __init__(self, world: World, line: Line) -> None:
        self.world, self.line = world, line
        self.arrivals: list[Arrival] = []
        self.rest = b""  # of an answer that was begun
        self.copy = b""  # of an answer, to come in the place of the next one's
        line.sent, line.ends = self.came, self.closed

    def came(self, data: bytes, count: int) -> None:
        now = self.now()
        if now is None or not now.left:
            self.world.holds(now is None or now.done, "a request was sent behind one that has no answer")
            found = ID.search(data)
            if found is None:
                return self.world.holds(False, f"bytes of no request: {data!r}")
            asked = self.world.asked[found[1].decode()]
            now = Arrival(asked, len(asked.arrivals), data, len(data))
            now.due = self.world.now + int(LEFT.findall(data)[0]) * MS
            asked.arrivals.append(now)
            self.arrivals.append(now)
            if self.copy:
                self.line.say(self.copy)
                now.odd += 1
            self.rest = self.copy = b""
            line, body = data.split(b"\r\n", 1)[0], data.split(b"\r\n\r\n", 1)[1]
            self.world.holds((line, body) == (asked.line, asked.body), f"changed on its way: {data!r}")
            self.world.holds(b"Bearer" not in data, "a key was passed on")
            ran = [a for a in asked.arrivals if not a.declined]
            self.world.holds(not asked.unsafe or len(ran) == 1, f"{asked.id} may run more than once")
        now.left -= count

    def closed(self) -> None:
        a = self.now()
        at_work = a is not None and not a.done and a.asked.unsafe and a.odd < 7 and not self.line.broken
        if at_work and a is not None and not self.world.over and not (a.left and self.world.abandoned(a.asked)):
            self.world.holds(self.world.now >= a.due, f"{a.asked.id} is broken off while its backend is at work")

    def now(self) -> Arrival | None:
        return self.arrivals[-1] if self.arrivals else None

    def answer(self, how: int) -> str:
        """What a backend may do with the request that it has, or on a connection that has none."""
        line, a = self.line, self.now()
        if a is None or a.done:
            return self.idle(how)
        if self.rest:
            if how % 4:
                line.say(self.rest)
            else:
                (line.leave if how % 8 else line.reset)()
            self.rest, a.done = b"", True
            return "the rest, or its end"
        whole, part = reply(a), len(reply(a)) - 5
        kind = how % 32
        if kind < 7 or 25 < kind < 30:
            a.good = self.world.now < a.due and not a.odd
            return self._final(whole, "serves")
        if kind == 7:
            return self._final(chunked(a), "serves in chunks")
        if kind in (8, 9, 10):
            a.declined = True
            return self._final(turned_away(a, kind), "turns away")
        if kind == 11:
            return self._final(reply(a, b"500 Oops", seal=False), "fails")
        if kind == 12:
            return self._final(reply(a, b"503 Full", seal=False), "is full, and does not say that it never ran")
        if kind == 13:
            return self._final(reply(a, b"429 Much", seal=False), "says 429, and not that it never ran")
        if kind == 14:
            line.say(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: STRAY\r\n\r\n")
            a.odd += 2
            return "interim answers"
        if kind == 15:
            others = self.arrivals[-2:-1] or [b for b in self.world.heard if b.asked is not a.asked]
            if others:
                other, a.odd = others[how % len(others)], a.odd + 1
                line.say(turned_away(other, how) if other.declined and other in self.arrivals else reply(other))
            return "another's answer"
        if kind == 16:
            return self._final(b"STRAY noise\r\n\r\n", "noise")
        if kind in (17, 18):
            line.say(whole[:part] if how & 64 else whole[:9])
            a.done = True
            line.leave() if kind == 17 else line.reset()
            return "cut"
        if kind in (19, 20):
            a.done = True
            line.leave() if kind == 19 else line.reset()
            return "ends without a word"
        if kind == 21:
            self.rest = whole[part:]
            line.say(whole[:part])
            return "part of an answer"
        if kind in (22, 30, 31):
            behind = (whole, b"STRAY\r\n\r\n", b"", b"")[how >> 5 & 3]
            self.copy = whole if not behind else b""
            return self._final(whole + behind, "serves, and more comes behind it or with the next")
        if kind == 23:
            a.declined = True
            self.copy = turned_away(a, how >> 3) if how & 64 else b""
            return self._final(turned_away(a, how >> 3) * (1 if how & 64 else 2), "turns away, twice")
        if kind == 24:
            head = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nSeal: %s\r\n\r\nhal" % (a.asked.id.encode(), a.sealed)
            line.say(head)
            a.done = True
            line.leave()
            return "no length, and cut"
        return self._final(reply(a, seal=False) if how & 64 else reply(a, Content_Encoding="gzip"), "spoilt")

    def _final(self, data: bytes, what: str) -> str:
        a = self.now()
        assert a is not None
        a.done = True
        self.line.say(data)
        return what

    def idle(self, how: int) -> str:
        a, kind = self.now(), how % 6
        if kind == 0:
            self.line.leave()
            return "ends, idle"
        if kind == 1:
            self.line.reset()
            return "resets, idle"
        if kind == 2 and a is not None:
            self.line.say(b"STRAY")
            return "noise, idle"
        if a is not None and kind == 3:
            self.line.say(turned_away(a, how >> 3) if a.declined else reply(a))
            return "its answer once more"
        return ""


class Caller:
    """A client's end of a connection."""

    def __init__(self, world: World, line: Line) -> None:
        self.world, self.line = world, line
        self.asked: list[Asked] = []
        self.unsent = b""
        self.left = self.ended = self.deaf = self.slow = False
        self.since = 0  # when it went deaf
        self.whole: list[Asked] = []  # requests whose last byte was sent

    def ask(self, asked: Asked, cut: int) -> None:
        if self.left or self.ended:
            return
        self.asked.append(asked)
        self.unsent += asked.raw
        self.push(cut)

    def push(self, cut: int = 0) -> None:
        """Sends what there is, but for the last `cut` bytes."""
        if self.left or self.ended or not self.unsent or self.line.closed:
            return
        count = max(1, len(self.unsent) - cut)
        self.line.say(self.unsent[:count])
        self.unsent = self.unsent[count:]
        total = sum(len(asked.raw) for asked in self.asked) - len(self.unsent)
        self.whole, at = [], 0
        for asked in self.asked:
            at += len(asked.raw)
            if at <= total:
                self.whole.append(asked)

    def read(self) -> None:
        if not self.deaf:
            self.line.read()
        elif self.world.now - self.since > 9 * SECOND:
            self.slow = True

    def answers(self) -> list[tuple[int, dict[str, str], bytes, bool]]:
        """Status, headers, body and whether it is whole, of each final answer."""
        data = bytes(self.line.heard)
        found: list[tuple[int, dict[str, str], bytes, bool]] = []
        assert b"STRAY" not in data, "what belongs to no request was passed on"
        while data:
            head, end, rest = data.partition(b"\r\n\r\n")
            if not end:
                found.append((0, {}, b"", False))
                break
            first, *lines = head.decode().split("\r\n")
            assert first.startswith("HTTP/1.1 "), f"no answer: {first!r}"
            status = int(first.split()[1])
            headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
            if status < 200:
                data = rest
                continue
            length = int(headers["content-length"])
            found.append((status, headers, rest[:length], len(rest) >= length))
            data = rest[length:]
        return found


class World:
    def __init__(self, limits: dict[str, Any] | None = None) -> None:
        self.now, self.log = START, list[str]()
        self.faults: list[str] = []
        self.net = Lines()
        given = replace(limits_from_settings(cast(Any, SETTINGS)), timer_slack=0, wake_slack=0, **limits or {})
        self.loop = Loop(lambda: self.now, given, cast(Any, self.net))
        self.word: tuple[bool, int, bool] | None = (True, 0, True)  # of the counter; None: later
        self.owed: list[Callable[[bool, int, bool], None]] = []
        rate_limiter = SimpleNamespace(
            count_request=self._count,
            holds=lambda duty: False,
            holder=lambda duty: None,
            refund=lambda receipt: None,
        )
        transport = SimpleNamespace(handlers={})
        self.router = RequestRouter(
            SharedResources(self.loop, given),
            cast(Any, rate_limiter),
            cast(Any, transport),
            "g",
            ["z"],
            "z",
            RetryLimits(10 * SECOND, 16.0, 60.0),
        )
        listener = self.net.listen(("10.0.0.1", 80), 64)
        self.listener = listener
        self.acceptor = Acceptor(cast(Any, self.router), listener, self.loop)
        self.shutdown = Shutdown(
            cast(
                Any,
                SimpleNamespace(
                    host=self.router, loop=self.loop, accepting=self.acceptor.task, accept_one=self.acceptor.accept_one
                ),
            )
        )
        self.asked: dict[str, Asked] = {}
        self.callers: list[Caller] = []
        self.ears: list[Ear] = []
        self.heard: list[Arrival] = []  # whole, of any request
        self.mode, self.room, self.over = 0, PLENTY, False
        self.drained: tuple[str, ...] = ()
        self.idle, self.avoid = "15s", False
        for _, address in PLACES.values():
            self.net.places[address] = self._connects
        self.show()

    def _connects(self, line: Line) -> None:
        line.up, line.refused, line.room = self.mode == 0, self.mode == 1, self.room
        self.ears.append(Ear(self, line))

    def _count(
        self, tenant: str, again: bool, then: Callable[[bool, int, bool], None], patience: int, receipt: Any
    ) -> None:
        if self.word is None:
            self.owed.append(then)
        else:
            then(*self.word)

    def show(self) -> None:
        found = {
            name: Backend(name, service, f"{ip}:{port}", "z", 2.0, name not in self.drained, 0)
            for name, (service, (ip, port)) in PLACES.items()
        }
        avoid = {"t2": frozenset({"i-1"})} if self.avoid else {}
        was = self.router.picture
        self.router.show(replace(Picture(**parts(self.idle)), backends=found, avoid=avoid, gen=was.gen + 1))

    def holds(self, so: bool, what: str) -> None:
        """What the program calls keeps its findings for the judge: the loop would catch them."""
        if not so:
            self.faults.append(what)

    # ---- steps

    def turn(self, count: int = 2) -> None:
        for _ in range(count):
            self.loop.turn(0)
        for caller in self.callers:
            caller.read()
        for ear in self.ears:
            ear.line.read()

    def pass_time(self, span: int) -> None:
        end = self.now + span
        for _ in range(6):
            if self.now >= end:
                break
            self.now = min(end, self.now + max(MS, int(self.loop.wait(10.0) * SECOND), span // 6))
            self.turn(1)
        self.now = end
        self.turn()

    def client(self) -> Caller:
        line = self.net.line()
        line.up = True
        self.listener.queue.append(line)
        self.callers.append(Caller(self, line))
        return self.callers[-1]

    def request(self, kind: int, tenant: int) -> Asked:
        rid = f"a{len(self.asked)}"
        path, unsafe = (("/r/x", False), ("/b/x", True), ("/b/y?z=1", True), ("/m/x", True))[kind % 4]
        body = b"" if kind % 4 == 0 or kind & 4 else (b"%d." % len(self.asked)) * (4 if kind & 8 else 40)
        method = b"POST" if body else b"GET" if not unsafe else b"DELETE"
        line = b"%s %s HTTP/1.1" % (method, path.encode())
        framing, sent = b"", body
        if body and kind & 16:
            framing, sent = b"Transfer-Encoding: chunked\r\n", b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        elif body:
            framing = b"Content-Length: %d\r\n" % len(body)
        raw = b"%s\r\nHost: a\r\nAttempt-Id: %s\r\nTime-Left: 9000\r\nAuthorization: Bearer k%d\r\n%s\r\n%s" % (
            line,
            rid.encode(),
            1 + tenant,
            framing,
            sent,
        )
        raw = b"\r\n" * (kind >> 6 & 1) + raw  # as some clients send behind a body
        self.asked[rid] = Asked(rid, unsafe, raw, line, body)
        return self.asked[rid]

    def play(self, schedule: bytes) -> None:
        for at in range(0, len(schedule) - 2, 3):
            self.step(*schedule[at : at + 3])
            self.turn()
            self.now += 3 * MS * (schedule[at + 1] & 1)  # connections settle, and are used again
        self.finish()

    def step(self, what: int, which: int, how: int) -> None:
        what %= 32
        open_callers = [c for c in self.callers if not c.left and not c.line.closed]
        busy = [e for e in self.ears if e.line.up and not e.line.closed and not e.line.broken]
        waiting = [e for e in busy if (a := e.now()) is not None and not a.done]
        caller = open_callers[which % len(open_callers)] if open_callers else None
        said = ""
        if what < 8:
            if caller is None or which & 64 or len(open_callers) < 2:
                caller = self.client()
            if self.listener.closed and caller.line in self.listener.queue:
                return
            caller.ask(self.request(how, which >> 5 & 1), (0, 0, 0, 5, 60)[how % 5])
            said = f"asks {caller.asked[-1:] and caller.asked[-1].id}"
        elif what < 19:
            ears = waiting if waiting and how < 224 else busy
            if ears:
                ear = ears[which % len(ears)]
                now = ear.now()
                said = f"backend: {ear.answer(how)} ({now and now.asked.id})"
        elif what < 23:
            span = (MS, 20 * MS, 310 * MS, 2_100 * MS, 700 * MS, 3_100 * MS, 60 * MS, 5 * MS)[how % 8]
            self.pass_time(span)
            said = f"{span // MS} ms"
        elif what == 23 and caller is not None:
            caller.push()
            said = "the rest of a request"
        elif what == 24 and caller is not None and how % 3 == 0:
            caller.left = True
            (caller.line.reset if which & 32 else caller.line.leave)()
            said = "a client goes"
        elif what == 25 and caller is not None:
            caller.ended = True
            caller.line.fin()
            said = "a client ends its sending"
        elif what == 26 and caller is not None:
            caller.deaf, caller.since = not caller.deaf, self.now
            caller.line.room = len(caller.line.wire) + how if caller.deaf else PLENTY
            said = f"a client reads: {not caller.deaf}"
        elif what == 27:
            self.mode = (0, 0, 1, 2)[how % 4]
            said = f"connections: {self.mode}"
        elif what == 28:
            self.room = (PLENTY, 40, 300)[how % 3]
            for ear in self.ears:
                ear.line.room = PLENTY if how & 4 else ear.line.room
            said = f"room: {self.room}"
        elif what == 29:
            self.drained = ((), ("i-1",), ("i-2",), ())[how % 4]
            self.avoid, self.idle = bool(how & 16), "15s" if how & 32 else "4s"
            self.show()
            said = f"news: {self.drained} drained, {self.idle}, apart {self.avoid}"
        elif what == 30:
            passes = (True, 0, True)
            self.word = (passes, passes, (False, 200 * MS, True), (False, 200 * MS, False), None)[how % 5]
            owed, self.owed = self.owed, []
            for then in owed:
                then(*(self.word or (True, 0, True)))
            said = f"the counter says {self.word}"
        elif what == 31 and how > 200:
            self.shutdown.begin()
            said = "SIGTERM"
        if said:
            self.log.append(f"{(self.now - START) // MS} ms: {said}")
        self.heard = [a for ear in self.ears for a in ear.arrivals if not a.left]

    def abandoned(self, asked: Asked) -> bool:
        """Whether its client closed its connection."""
        return any(caller.left and asked in caller.asked for caller in self.callers)

    def nothing_goes_on_for_those_who_left(self) -> None:
        """But for what may run once and is at its backend whole."""
        for ear in self.ears:
            a = ear.now()
            open_ = not ear.line.closed and not ear.line.broken
            if a is not None and open_ and not a.done and self.abandoned(a.asked):
                assert a.asked.unsafe and not a.left, f"{a.asked.id} goes on after its client has left"

    def finish(self) -> None:
        """Everything is let go on, and comes to its end."""
        self.log.append("the end")
        for _ in range(3):
            self.turn()
        self.nothing_goes_on_for_those_who_left()
        self.mode, self.word = 0, (True, 0, True)
        for ear in self.ears:
            ear.line.room = PLENTY
        for caller in self.callers:
            caller.deaf, caller.line.room = False, PLENTY
            caller.push()
        owed, self.owed = self.owed, []
        for then in owed:
            then(True, 0, True)
        self.room = PLENTY
        for _ in range(3):
            self.pass_time(3_200 * MS)
        for _ in range(len(self.asked) + 2):
            if not len(self.router.requests):
                self.pass_time(60 * MS)  # one that was read late may wait for whether its client is there
            if not len(self.router.requests):
                break
            self.pass_time(9_500 * MS)
        self.judge()
        self.over = True
        self.pass_time(40 * SECOND)
        self.router.shared.idle.sweep(self.now)
        self.turn()
        assert not self.faults, self.faults[0]
        assert not len(self.router.requests) and not self.router.bodies.taken and not self.router.buffers.taken
        assert not self.router.shared.backend_connections and not self.router.idle.count
        assert not self.router.clients.all, "clients are held for ever"
        self.loop.close()

    # ---- the judge

    def judge(self) -> None:
        assert not self.faults, self.faults[0]
        for caller in self.callers:
            caller.read()
            self._judge(caller)

    def _judge(self, caller: Caller) -> None:
        answers = caller.answers()
        begun = len(caller.asked) if not caller.unsent else len(caller.whole) + 1
        assert len(answers) <= begun, f"answers to no request: {answers}"
        for (status, headers, body, whole), asked in zip(answers, caller.asked, strict=False):
            if not whole:
                continue
            assert headers.get("attempt-id", asked.id) == asked.id, f"{asked.id} got another's answer: {headers}"
            if 200 <= status < 300:
                found = [a for a in asked.arrivals if a.sealed.decode() == headers.get("seal")]
                whole_body = found and found[0].body() == body and "content-encoding" not in headers
                assert whole_body, f"{asked.id} got {headers} {body!r}"
            elif asked.unsafe and any(a.good for a in asked.arrivals):
                raise AssertionError(f"{asked.id} got {status} where its backend served")
            elif asked.unsafe and status in PROMISES:
                ran = [a for a in asked.arrivals if not a.declined]
                assert not ran, f"{asked.id} was promised with {status} not to have run"
            own = "attempt-id" not in headers
            wrong = own and status in (400, 404, 401, 500) and asked in caller.whole
            assert not wrong, f"{asked.id} got {status}: {body!r}"
        if caller.left or caller.slow or caller.line in self.listener.queue:
            return
        complete, owed = [a for a in answers if a[3]], len(caller.whole)
        if any("close" in headers.get("connection", "") for _, headers, _, _ in complete):
            owed, size = 0, 0  # only what was read
            for asked in caller.whole:
                size += len(asked.raw)
                owed += size <= caller.line.taken
        assert len(complete) >= owed, f"{[a.id for a in caller.whole[len(complete) :]]} got no verdict, {answers}"


def play(schedule: bytes, **limits: Any) -> World:
    """Raises AssertionError with the steps of a schedule that breaks a rule."""
    world, root, was = World(limits), logging.getLogger(), logging.getLogger().handlers[:]
    root.handlers[:] = [Faults(world)]
    try:
        world.play(schedule)
    except AssertionError as error:
        raise AssertionError("\n".join([str(error), *world.log])) from error
    finally:
        root.handlers[:] = was
    return world


class Faults(logging.Handler):
    """What the program catches of its own."""

    def __init__(self, world: World) -> None:
        super().__init__(logging.ERROR)
        self._world = world

    def emit(self, record: logging.LogRecord) -> None:
        why = record.exc_info[1] if record.exc_info else None
        self._world.holds(False, f"{record.getMessage()}: {why!r}")
