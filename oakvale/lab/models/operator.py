"""An operator on the loop's sockets: sends orders until they are taken, probes what is in force, reads back."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from oakvale.base.address import Address
from oakvale.base.loop import Loop
from oakvale.lab.models.client_requests import ClientRequest
from oakvale.lab.models.core_calls import SILENCE_TIMEOUT_US, CallSequence, call_core
from oakvale.lab.models.exchanges import Reply, exchange
from oakvale.lab.models.orders import Books, Order
from oakvale.lab.models.platform import LOOK, Edge, Platform
from oakvale.lab.models.senders import Senders
from oakvale.lab.record import Looked, Ordered, ReadBack, Record, Replied, Told, digest

MS, SECOND = 1_000, 1_000_000
PROBES = (200 * MS, 900 * MS)  # after `apply`
PROBE_WAITS = 2 * SECOND
READ_EACH = 300 * MS
READ_LONGEST = 20 * SECOND
LOOK_IN = (50 * MS, 350 * MS)  # between two readings in the day, at a machine each
MOST_OPEN = 8  # orders under way at once
REMEMBERS = 20  # acknowledged orders that may be sent again


@dataclass(slots=True)
class Losses:
    """Answers to who calls `ctl`, a share of which is lost until a time."""

    rng: Random
    share: float = 0.0
    until: int = 0

    def after(self, now: int) -> int:
        """-1: it is not lost. Else how much later its caller knows: at once, by a reset, or after its silence."""
        if now >= self.until or self.rng.random() >= self.share:
            return -1
        return self.rng.choice((0, SILENCE_TIMEOUT_US))


class Operator:
    def __init__(
        self,
        loop: Loop,
        record: Record,
        books: Books,
        platform: Platform,
        ctl: Callable[[], list[Address]],
        machine: Callable[[str], str],
        rng: Random,
        apply: int,
        contact: int,
    ) -> None:
        self.loop, self.record, self.books, self._platform = loop, record, books, platform
        self._ctl, self._machine, self._rng, self._apply, self._contact = ctl, machine, rng, apply, contact
        self._open: dict[int, tuple[Order, int]] = {}  # under way, by a number, with when they began
        self._number = 0
        self._highest = -1
        self.last_by = ""  # the machine that acknowledged last
        self.acked: list[Order] = []  # the latest
        # of their own: what the rest of a day draws does not hang on them
        self.losses = Losses(Random(f"losses {record.name} {record.seed}"))
        self._reads = Random(f"reads {record.name} {record.seed}")
        self._stops = 1 << 62
        self.done = self._reading = False
        self._senders = Senders(loop, record, rng, self._none, "operator")

    def _none(self, asked: ClientRequest) -> Edge:
        raise LookupError("probes go where they are sent")

    # ---- orders

    @property
    def under_way(self) -> int:
        return len(self._open)

    def order(
        self, order: Order, then: Callable[[str], None] | None = None, first: Address | None = None, hard: bool = False
    ) -> None:
        """Sends it until its outcome is clear; `then` hears which machine acknowledged it, at once. `hard`: to `first`
        again and again until that answers. Once it reads back, nothing new is sent: it would read what it overtakes."""
        if self._reading:
            return
        self._number += 1
        number, at = self._number, self.loop.now
        self._open[number] = (order, at)
        name = self.record.order(order.text)

        def heard(reply: Reply | None, by: Address) -> None:
            if self._open.pop(number, None) is None:
                return  # the day is over
            good = reply is not None and 200 <= reply.status < 300
            machine = self._machine(by[0])
            self.record.add(
                Ordered(
                    at,
                    order.gen,
                    order.valid,
                    name,
                    reply.at if good and reply else None,
                    reply.status if reply else 0,
                    machine if reply else None,
                )
            )
            if good:
                self.last_by = machine
                if then is not None:
                    then(machine)
                self._acked(order)

        def passes(reply: Reply, by: Address, sent: int) -> int:
            after = self.losses.after(self.loop.now)
            self.record.add(
                Replied(reply.at, sent, order.gen, order.valid, name, reply.status, self._machine(by[0]), after >= 0)
            )
            return after

        call_core(
            self.loop,
            CallSequence(self._ctl, self._rng, self._stops, first=first, hard=hard),
            "POST",
            "/oakvale/Config.Replace",
            lambda: order.text,
            heard,
            passes,
        )

    def again(self, how: str = "") -> None:
        """One that was acknowledged is sent once more, to any machine; `how`: `newest`."""
        if self.acked:
            self.order(self.acked[-1] if "newest" in how else self._reads.choice(self.acked))

    def _acked(self, order: Order) -> None:
        if order.valid and order not in self.acked:
            self.acked = [*self.acked, order][-REMEMBERS:]
        if order.gen <= self._highest or not order.valid:
            return
        self._highest = order.gen
        self.books.taken(order, self.loop.now, self._apply)
        for after in PROBES:
            self.loop.at(self.loop.now + self._apply + after, self._probe, order)

    def _probe(self, order: Order) -> None:
        """A few requests to each gateway that is ready or receives clients."""
        edges = self._platform.edges
        reached = {edge.machine for zone in {e.zone for e in edges} for edge in self._platform.reach(zone)}
        for edge in edges:
            if edge.machine in reached or self._platform.inside(edge.machine):
                for host, path, key in order.probes:
                    now = self.loop.now
                    asked = ClientRequest(
                        "", host, path, "GET", b"", key, None, True, "operator", edge.zone, now, now + PROBE_WAITS
                    )
                    self._senders.send(asked, edge=edge)

    # ---- the platform's looks

    def look(self, _: object = None) -> None:
        self.loop.at(self.loop.now + LOOK, self.look)
        for edge in self._platform.edges:

            def looked(reply: Reply | None, machine: str = edge.machine) -> None:
                ready = reply is not None and reply.status == 200
                self.record.add(Looked(self.loop.now, machine, ready))
                self._platform.looked(machine, ready)

            exchange(self.loop, edge.readyz, "GET", "/oakvale/readyz", None, LOOK - 10 * MS, looked)

    # ---- readings in the day

    def look_in(self, _: object = None) -> None:
        """Reads at a machine, now and then, as long as the day lasts."""
        if self.done:
            return
        self.loop.at(self.loop.now + self._reads.randrange(*LOOK_IN), self.look_in)
        self.read_at(self._reads.choice(self._ctl()))

    def read_at(self, address: Address) -> None:
        """What this machine itself gives; where it sends its reader is not followed."""
        sent = self.loop.now

        def heard(reply: Reply | None) -> None:
            if reply is not None and (200 <= reply.status < 300 or reply.status == 404):
                read = self._read(reply) if reply.status != 404 else ReadBack(reply.at, -1, "")
                self.record.add(Told(reply.at, sent, read.gen, read.content_digest, self._machine(address[0])))

        exchange(self.loop, address, "GET", "/oakvale/Config.Read", None, SILENCE_TIMEOUT_US, heard)

    # ---- the end

    def read_back(self, _: object = None) -> None:
        """Repeatedly for at least `contact`; the last answer is what counts."""
        self._reading = True
        began = self.loop.now
        last: ReadBack | None = None

        def again(_: object = None) -> None:
            steps = CallSequence(self._ctl, self._rng, began + READ_LONGEST)
            call_core(self.loop, steps, "GET", "/oakvale/Config.Read", None, heard)

        def heard(reply: Reply | None, by: Address) -> None:
            nonlocal last
            if reply is not None and 200 <= reply.status < 300:
                last = self._read(reply)
            if self.loop.now - began >= self._contact and last is not None or self.loop.now - began >= READ_LONGEST:
                self._finish(last)
            else:
                self.loop.at(self.loop.now + READ_EACH, again)

        again()

    def _read(self, reply: Reply) -> ReadBack:
        """The same JSON as a text that was sent counts as that text."""
        try:
            data = json.loads(reply.body)
            gen = int(data["gen"])
        except (ValueError, KeyError, TypeError):
            return ReadBack(reply.at, 0, digest(reply.body))
        if digest(reply.body) in self.record.texts:
            return ReadBack(reply.at, gen, digest(reply.body))
        for name, text in self.record.texts.items():
            try:
                if json.loads(text) == data:
                    return ReadBack(reply.at, gen, name)
            except ValueError:
                continue
        return ReadBack(reply.at, gen, digest(reply.body))

    def _finish(self, last: ReadBack | None) -> None:
        self.record.add(last or ReadBack(self.loop.now, -1, ""))
        for order, at in self._open.values():
            self.record.add(Ordered(at, order.gen, order.valid, digest(order.text), None, 0, None))
        self._open.clear()
        self.done = True
