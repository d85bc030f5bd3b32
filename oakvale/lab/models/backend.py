"""A backend on the loop's sockets: serves what `Workshop` says, spoils what its ailment says, beats and leaves."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import h11

from oakvale.base.address import Address, format_address, parse_address
from oakvale.base.loop import READ, TIMED_OUT, Coroutine, Loop, Priority, Step, Task
from oakvale.lab.models.core_calls import CallSequence, call_core
from oakvale.lab.models.exchanges import ConnectionEnded, Reply, TimedOut, header_value, read, reset, send
from oakvale.lab.models.workshop import Do, Job, Outcome, Terms, Workshop
from oakvale.lab.record import Answered, Arrived, Declined, Dropped, Fate, Ran, Record, Said, State, digest

MS, SECOND = 1_000, 1_000_000
BACKLOG = 512
PATIENCE = 60 * SECOND  # for a request that tells no `Time-Left`, and for a caller to take its answer
UNANSWERED = 6 * SECOND  # it ends so long after it said that it drains, though nobody heard
LITTLE_LONGER = (300 * MS, 900 * MS)  # than `drain` it serves on
NOW_AND_THEN = 0.01  # of answers say `Connection: close`
CHUNKED = 0.3  # of answers
HEALTH = b"/healthz"
JUNK = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 no answer at all \r\n\r\n"


@dataclass(slots=True)
class Ways:
    """What a backend knows of the world around it."""

    ctl: Callable[[], list[Address]]  # as its list has them
    machine: Callable[[str], str]  # the machine at an IP, "" for none
    work: Callable[[str, str], int]  # of a request to host and path
    beat: int
    drain: int
    passes: Callable[[Reply, Address, int], int] = lambda reply, address, sent: -1  # as `walk` asks


@dataclass(eq=False, slots=True)
class Visit:
    """A connection of a gateway."""

    sock: Any
    gateway: str
    task: Task | None = None
    surplus: bytes = b""  # comes in the place of the next answer


class Quit(Exception):
    """The connection is over; `rst` to close it without a farewell."""

    def __init__(self, rst: bool = False) -> None:
        self.rst = rst


@dataclass(eq=False)
class Backend:
    """One life."""

    loop: Loop
    record: Record
    terms: Terms
    zone: str
    address: Address
    ways: Ways
    rng: Random
    gen: str = "v1"
    alive: bool = False
    shop: Workshop = field(init=False)
    idle: int = 0  # microseconds until it closes an unused connection, where that is not as its terms say

    def start(self, _: Any = None) -> None:
        """Raises OSError where it can't listen."""
        self.alive, self._calls, self._later = True, 0, None
        self.shop = Workshop(self.terms, self.loop.now, self.rng)
        self._visits: set[Visit] = set()
        self._listener = self.loop.net.listen(self.address, BACKLOG)
        self._accepting = self.loop.start(self._accept(), self._listener.fileno(), Priority.CLIENT)
        self._beat_url: Address | None = None
        self._drained = False
        self._ready: CallSequence | None = None  # the latest beat, under way or over
        self._beat()

    def end(self, _: Any = None) -> None:
        """Closes all, as a process that ends does; what it was working on is dropped."""
        if not self.alive:
            return
        self.alive = False
        self.loop.end(self._accepting)
        for visit in list(self._visits):
            if visit.task is not None:
                self.loop.end(visit.task)

    def leave(self, _: Any = None) -> None:
        """Planned: says `drain`, serves on, says `Leave`, ends."""
        if self.alive and not self.shop.leaving:
            self.shop.leaving = True
            self.loop.at(self.loop.now + UNANSWERED, self._gone, False)
            self._say(State.DRAIN)

    # ---- what it says

    def _report(self, state: State) -> bytes:
        self._calls += 1
        left = max(0, self.shop.born + self.terms.warmup - self.loop.now) // MS
        return json.dumps(
            {
                "svc": self.terms.service,
                "addr": format_address(self.address),
                "az": self.zone,
                "gen": self.gen,
                "slots": self.terms.slots,
                "state": state.value,
                "warmup_time": f"{left}ms",
                "calls": self._calls,
            }
        ).encode()

    def _beat(self, _: Any = None) -> None:
        if not self.alive or self.shop.leaving:
            return
        self.loop.at(self.loop.now + round(self.ways.beat * self.rng.uniform(0.9, 1.1)), self._beat)
        self._say(State.READY)

    def _say(self, state: State) -> None:
        at = self.loop.now
        steps = CallSequence(
            self.ways.ctl,
            self.rng,
            at + (self.ways.beat if state is State.READY else UNANSWERED),
            beat=True,
            first=self._beat_url,
        )
        self._beat_url = None
        if state is State.DRAIN and self._ready is not None:
            self._ready.give_up()  # it would go on saying that this one is ready
        self._ready = steps if state is State.READY else None

        def said(reply: Reply | None, by: Address) -> None:
            if reply is not None and 200 <= reply.status < 300:
                self._taken(state, at, reply, by)
            elif self.alive or state is State.DRAIN:  # it may have ended, unheard
                self.record.add(Said(at, self.terms.id, state, None, None))

        def body() -> bytes:
            return self._report(state)

        call_core(
            self.loop, steps, "POST", f"/oakvale/Backends.Heartbeat/{self.terms.id}", body, said, self.ways.passes
        )

    def _taken(self, state: State, at: int, reply: Reply, by: Address) -> None:
        self.record.add(Said(at, self.terms.id, state, reply.at, self.ways.machine(by[0])))
        try:
            told = json.loads(reply.body).get("beat-url", "") if reply.body else ""
        except (ValueError, AttributeError):
            told = ""
        self._beat_url = parse_address(str(told).removeprefix("http://").partition("/")[0])
        if state is State.DRAIN and not self._drained:
            self._drained = True
            self.loop.at(self.loop.now + self.ways.drain + self.rng.randrange(*LITTLE_LONGER), self._gone, True)

    def _gone(self, heard: bool) -> None:
        if not self.alive or heard != self._drained:
            return
        at = self.loop.now

        def left(reply: Reply | None, by: Address) -> None:
            good = reply is not None and 200 <= reply.status < 300
            self.record.add(
                Said(
                    at,
                    self.terms.id,
                    State.LEAVE,
                    self.loop.now if good else None,
                    self.ways.machine(by[0]) if good else None,
                )
            )

        call_core(
            self.loop,
            CallSequence(self.ways.ctl, self.rng, at + UNANSWERED, first=self._beat_url),
            "POST",
            f"/oakvale/Backends.Leave/{self.terms.id}",
            None,
            left,
            self.ways.passes,
        )
        self.end()

    # ---- connections

    def _accept(self) -> Coroutine:
        try:
            while True:
                yield READ, 0
                while True:
                    try:
                        sock, peer = self._listener.accept()
                    except BlockingIOError:
                        break
                    except OSError:
                        break
                    sock.setblocking(False)
                    if len(self._visits) >= self.shop.connections():
                        reset(sock)
                        continue
                    visit = Visit(sock, self.ways.machine(peer[0]))
                    self._visits.add(visit)
                    visit.task = self.loop.start(self._serve(visit), sock.fileno(), Priority.CLIENT)
        finally:
            self._listener.close()

    def _serve(self, visit: Visit) -> Coroutine:
        rst = False
        try:
            peer = h11.Connection(h11.SERVER)
            while True:
                yield from self._one(visit, peer)
                peer.start_next_cycle()
        except Quit as error:
            rst = error.rst
        except (ConnectionEnded, TimedOut, h11.ProtocolError):
            pass
        finally:
            self._visits.discard(visit)
            if rst:
                reset(visit.sock)
            else:
                visit.sock.close()

    def _one(self, visit: Visit, peer: h11.Connection) -> Step[None]:
        asked, body = yield from self._asked(visit, peer)
        headers = [(bytes(n), bytes(v)) for n, v in asked.headers]
        target, method = bytes(asked.target), asked.method.decode()
        probe = method == "GET" and target == HEALTH
        name, host = header_value(headers, b"attempt-id") or "", header_value(headers, b"host") or ""
        left, named = header_value(headers, b"time-left"), header_value(headers, b"backend")
        now = self.loop.now
        until = now + (int(left) * MS if left and left.isdigit() else PATIENCE)
        job = Job(name, self.ways.work(host, target.decode("latin-1")), until, named, probe)
        if not probe:
            self.record.add(
                Arrived(
                    now,
                    name,
                    self.terms.id,
                    self.terms.service,
                    header_value(headers, b"tenant"),
                    header_value(headers, b"authorization"),
                    host,
                    target.decode("latin-1"),
                    method,
                    digest(body),
                    named,
                    visit.gateway,
                )
            )
        do = self.shop.take(now, job)
        if do is Do.RESET:
            self.record.add(Declined(now, name, self.terms.id, 0))
            raise Quit(rst=True)
        if do is not Do.DECLINE and not (yield from self._worked(visit, peer, job)):
            raise Quit
        if job.status:
            if not probe:
                self.record.add(Declined(self.loop.now, name, self.terms.id, job.status))
            extra = [] if job.status == 421 else [("Not-Run", "1")]
            yield from self._answer(visit, peer, job.status, b"", [("Served-By", self.terms.id), *extra])
            return
        yield from self._give(visit, peer, job, self.shop.ends(self.loop.now, job))

    def _asked(self, visit: Visit, peer: h11.Connection) -> Step[tuple[h11.Request, bytes]]:
        """The next whole request. Raises Quit after too long a time without one."""
        asked, body = None, b""
        due = self.loop.now + (self.idle or self.terms.idle)
        while True:
            event = peer.next_event()
            if event is h11.NEED_DATA:
                if (yield READ, due) == TIMED_OUT:
                    raise Quit
                data = read(visit.sock)
                if data is not None:
                    peer.receive_data(data)
            elif isinstance(event, h11.Request):
                asked, due = event, self.loop.now + PATIENCE
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                assert asked is not None
                return asked, body
            else:
                raise Quit

    def _worked(self, visit: Visit, peer: h11.Connection, job: Job) -> Step[bool]:
        """Until its work is over, or it was declined in the queue; False where it was dropped."""

        def started() -> None:
            if visit.task is not None:
                self.loop.wake(visit.task)

        job.started = started
        noted = job.probe
        try:
            while not job.status:
                if job.began and not noted:
                    noted = True
                    self.record.add(Ran(self.loop.now, job.id, self.terms.id, self.terms.service))
                if job.began and job.due <= self.loop.now:
                    return True
                flags = yield READ, job.due if job.began else 0
                if flags > 0 and (data := read(visit.sock)) is not None:
                    if not data:
                        raise ConnectionEnded(False)
                    peer.receive_data(data)
        except ConnectionEnded:
            if self.shop.drop(self.loop.now, job):
                self._dropped(job, noted, own=False)
            else:
                self.loop.at(job.due, self._unheard, job)
            return False
        except GeneratorExit:  # this life ended
            self._dropped(job, noted, own=True)
            raise
        return True

    def _dropped(self, job: Job, noted: bool, own: bool) -> None:
        if noted and not job.probe:
            self.record.add(Dropped(self.loop.now, job.id, self.terms.id, own))

    def _unheard(self, job: Job) -> None:
        """It worked on, though its caller had gone."""
        if self.alive:
            outcome = self.shop.ends(self.loop.now, job)
            if not job.probe:
                self.record.add(
                    Answered(
                        self.loop.now,
                        job.id,
                        self.terms.id,
                        outcome.status,
                        outcome.seal,
                        digest(outcome.body),
                        Fate.WHOLE,
                    )
                )

    # ---- answers

    def _give(self, visit: Visit, peer: h11.Connection, job: Job, outcome: Outcome) -> Step[None]:
        if job.probe:
            return (yield from self._answer(visit, peer, outcome.status, b"", [("Served-By", self.terms.id)]))
        self.record.add(
            Answered(
                self.loop.now, job.id, self.terms.id, outcome.status, outcome.seal, digest(outcome.body), outcome.fate
            )
        )
        headers = [("Attempt-Id", job.id), ("Seal", outcome.seal)]
        plain = b"HTTP/1.1 %d Spoilt\r\nAttempt-Id: %s\r\nSeal: %s\r\nContent-Length: %d\r\n\r\n%s" % (
            outcome.status,
            job.id.encode(),
            outcome.seal.encode(),
            len(outcome.body),
            outcome.body,
        )
        due = self.loop.now + PATIENCE
        match outcome.fate:
            case Fate.LOST:
                raise Quit(rst=True)
            case Fate.SILENT:
                while read(visit.sock) != b"":  # silent until its caller goes
                    if (yield READ, due) == TIMED_OUT:
                        break
                raise Quit
            case Fate.CUT:
                yield from send(visit.sock, plain[: -max(1, len(outcome.body) // 2)], due)
                raise Quit(rst=self.rng.random() < 0.5)
            case Fate.GARBLED:
                yield from send(visit.sock, JUNK, due)
                raise Quit
        yield from self._answer(visit, peer, outcome.status, outcome.body, headers)
        if outcome.fate is Fate.EXTRA:
            if outcome.late:
                visit.surplus = plain
            else:
                yield from send(visit.sock, plain, due)

    def _answer(
        self, visit: Visit, peer: h11.Connection, status: int, body: bytes, headers: list[tuple[str, str]]
    ) -> Step[None]:
        idle = (self.idle or self.terms.idle) // SECOND
        chunked = self.rng.random() < CHUNKED
        headers = [*headers, ("Transfer-Encoding", "chunked") if chunked else ("Content-Length", str(len(body)))]
        if self.shop.leaving or self.rng.random() < NOW_AND_THEN:
            headers.append(("Connection", "close"))
        elif idle:
            headers.append(("Keep-Alive", f"timeout={idle}"))
        data, visit.surplus = visit.surplus, b""
        data += peer.send(h11.Response(status_code=status, headers=headers)) or b""
        for piece in (body[: len(body) // 2], body[len(body) // 2 :]):
            if piece:
                data += peer.send(h11.Data(data=piece)) or b""
        data += peer.send(h11.EndOfMessage()) or b""
        yield from send(visit.sock, data, self.loop.now + PATIENCE)
        if peer.our_state is h11.MUST_CLOSE:
            raise Quit
