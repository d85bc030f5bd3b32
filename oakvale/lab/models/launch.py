"""`launch(ground, day, rng, record)`: backends, clients and operator of a day, each on the loop of its host, with all
that the day does to them planned ahead. What it does to machines, links and disks is the ground's."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, Protocol

from oakvale.base.address import Address
from oakvale.base.loop import Loop
from oakvale.config.durations import parse_duration
from oakvale.lab.days import Day, Route, Service, Trouble
from oakvale.lab.models.backend import Backend, Ways
from oakvale.lab.models.crowd import Crowd, Flow, GiveUp, Swell
from oakvale.lab.models.operator import MOST_OPEN, Losses, Operator
from oakvale.lab.models.orders import PLACED, Books, name
from oakvale.lab.models.platform import Edge, Platform
from oakvale.lab.models.workshop import Ailment, Terms
from oakvale.lab.record import Event, Happened, Kind, Record

MS, SECOND = 1_000, 1_000_000
PORT = 9_000
CLIENTS = 30  # in each zone
EAGER = 0.05  # of the clients come again too often
SPEEDS = (0.8, 1.0, 1.25)
SAGS = 0.3  # of the backends slow down when nearly full
WORKS_ON = 0.1  # of the backends do not drop what nobody waits for
BEATS_BEFORE = 4 * SECOND  # backends start so long before traffic, earlier if the day's lead lets them
FIRST_ORDER = 3 * SECOND  # before traffic at the latest; sent as soon as there is a day
BODY = 2_000
FREED = 8 * SECOND  # a backend that was told to leave has ended by then
OURS = frozenset(
    {
        "hot_tenant",
        "burst",
        "give_up",
        "srv_crash",
        "srv_slow",
        "srv_grey",
        "srv_flap",
        "srv_lying_health",
        "release",
        "scale_in",
        "drain",
        "answer_lost",
        "garble",
        "idle_race",
        "config_change",
        "config_flood",
        "config_race",
        "bad_config",
        "revoke",
        "ack_lost",
        "order_again",
    }
)
TIMED = (5 * MS, 400 * MS)  # after a change was sent
PROBED = 10  # of a flood's changes one in so many is probed
MEETS_READ = (0, 5 * MS, 20 * MS, 60 * MS, 150 * MS, 400 * MS)  # after a machine is back it is read
MEETS_LEAVE = 200 * MS  # backends leave so long after a machine is back
AFTER_ACK = frozenset({"after_ack_kill", "after_ack_wipe", "closing"})  # ours until the acknowledgement


class Host(Protocol):
    """A machine outside of the system."""

    loop: Loop
    ip: str

    def power(self, on: bool) -> None:
        """Off: silent at once, its sockets gone; what runs on its loop is called on, and finds its sockets dead."""


class Ground(Protocol):
    """What the models need of a world, simulated or real."""

    edges: list[Edge]

    def host(self, name: str, zone: str) -> Host: ...
    def ctl(self) -> list[Address]: ...  # as callers have the list, `seed-lag` late
    def machine(self, ip: str) -> str: ...  # of the system, "" for any other
    def struck(self, trouble: Trouble, machine: str) -> None: ...  # `machine` has just acknowledged a change


@dataclass(eq=False)
class Seat:
    """An address at which backends live one after the other."""

    host: Host
    zone: str
    freed: int = 0  # when the last life is surely over, as planned; 0: it is not planned to end
    lives: list[Backend] = field(default_factory=list)

    @property
    def now(self) -> Backend | None:
        return self.lives[-1] if self.lives and self.lives[-1].alive else None


@dataclass
class Played:
    """The models of a day at work."""

    operator: Operator
    crowds: list[Crowd]
    seats: dict[str, list[Seat]]  # by the day's name of their service
    books: Books
    swells: list[Swell]
    meet: Callable[[Address, str, str], None]

    @property
    def done(self) -> bool:
        """The operator has read back, and each client has an answer or gave up at its deadline."""
        return self.operator.done and not any(crowd.senders.out for crowd in self.crowds)


class Launch:
    def __init__(self, ground: Ground, day: Day, rng: Random, record: Record, began: int) -> None:
        self.ground, self.day, self.record, self.began = ground, day, record, began
        self._rng = rng
        self._times = {key: parse_duration(value) for key, value in day.terms().items() if isinstance(value, str)}
        self.books = Books(day, Random(rng.getrandbits(64)))
        self.platform = Platform(ground.edges, list(day.zones))
        self._unheard = Losses(Random(f"unheard {record.name} {record.seed}"))  # of backends
        self.ways = Ways(
            ground.ctl,
            ground.machine,
            self.books.worked,
            record.beat,
            self._times["drain"],
            lambda reply, address, sent: self._unheard.after(reply.at),
        )
        self._met = Random(f"meetings {record.name} {record.seed}")
        record.kinds.update({r.name: Kind(r.name, r.worth, r.late, round(r.aim_ms * MS)) for r in day.routes})
        record.began = began
        self.swells: list[Swell] = []
        self.give_ups: list[GiveUp] = []
        self.seats = {
            service.name: [self._seat(service, n) for n in range(service.backends)] for service in day.services
        }
        self._services = {service.name: service for service in day.services}
        host = ground.host("operator", day.zones[0])
        self.operator = Operator(
            host.loop,
            record,
            self.books,
            self.platform,
            ground.ctl,
            ground.machine,
            Random(rng.getrandbits(64)),
            self._times["apply"],
            self._times["contact"],
        )
        self._hosts = 0

    # ---- parts

    def _seat(self, service: Service, number: int) -> Seat:
        zone = self.day.zones[number % len(self.day.zones)]
        return Seat(self.ground.host(f"{service.name}-{number}", zone), zone)

    def _life(self, service: Service, seat: Seat, gen: str = "v1") -> Backend:
        rng = self._rng
        terms = Terms(
            f"i-{rng.getrandbits(32):08x}",
            self.books.services[service.name],
            service.slots,
            service.queue,
            rng.choice(SPEEDS),
            service.work_spread,
            round(service.warmup_s * SECOND),
            service.cold_factor,
            rng.random() < SAGS,
            service.reset_when_full,
            service.max_conns,
            drops=rng.random() >= WORKS_ON,
        )
        return Backend(
            seat.host.loop,
            self.record,
            terms,
            seat.zone,
            (seat.host.ip, PORT),
            self.ways,
            Random(rng.getrandbits(64)),
            gen,
        )

    def _start_at(self, seat: Seat, life: Backend, at: int) -> None:
        def start(_: Any) -> None:
            if seat.now is None:
                seat.host.power(True)
                seat.lives.append(life)
                life.start()

        seat.host.loop.at(at, start)

    def _flow(self, route: Route) -> Flow:
        return Flow(
            route.name, route.per_s / len(self.day.zones), route.safe, round(route.deadline_ms * MS), route.public, BODY
        )

    # ---- a day

    def begin(self) -> Played:
        day, began = self.day, self.began
        first = min(seat.host.loop.now for seats in self.seats.values() for seat in seats)
        early = max(first, min(began - BEATS_BEFORE, first + SECOND))
        for service in day.services:
            for seat in self.seats[service.name]:
                self._start_at(seat, self._life(service, seat), early + self._rng.randrange(SECOND))
        loop = self.operator.loop
        loop.at(
            max(loop.now, min(began - FIRST_ORDER, loop.now + SECOND)),
            lambda _: self.operator.order(self.books.first()),
        )
        loop.at(began - 2 * SECOND, self.operator.look)
        loop.at(began, self.operator.look_in)
        self._plan()
        tenants = {self.books.tenants[tenant.name]: tenant.weight for tenant in day.tenants}
        until = began + round(day.seconds * SECOND)
        crowds = []
        for zone in day.zones:
            home = self.ground.host(f"clients-{zone}", zone)
            crowd = Crowd(
                home.loop,
                self.record,
                Random(self._rng.getrandbits(64)),
                zone,
                CLIENTS,
                self.platform,
                [self._flow(route) for route in day.routes],
                self.books.place,
                tenants,
                self.books.key,
                EAGER,
                self.swells,
                self.give_ups,
            )
            crowd.begin(began, until)
            crowds.append(crowd)
        longest = max(route.deadline_ms for route in day.routes)
        loop.at(until + min(round(longest * MS), 2 * SECOND), self.operator.read_back)
        return Played(self.operator, crowds, self.seats, self.books, self.swells, self.meet)

    def _plan(self) -> None:
        """Everything is laid on the loop that it concerns, ahead of time: no loop reaches into another's."""
        for trouble in (*self.day.troubles, *self.day.plan):
            at = self.began + round(trouble.at * SECOND)
            if trouble.kind in AFTER_ACK and "timed" in trouble.how:
                self._operate(at, lambda: self.operator.order(self.books.change()))
                self._operate(
                    at + self._rng.randrange(*TIMED),
                    lambda t=trouble: self.ground.struck(  # type: ignore[misc]
                        t, self.operator.last_by
                    ),
                )
            elif trouble.kind in AFTER_ACK:
                self._operate(
                    at,
                    lambda t=trouble: self.operator.order(  # type: ignore[misc]
                        self.books.change(), lambda machine: self.ground.struck(t, machine)
                    ),
                )
            elif trouble.kind in OURS:
                getattr(self, f"_{trouble.kind}")(
                    trouble, at, round(trouble.for_s * SECOND), round(trouble.gap_s * SECOND)
                )

    def _operate(self, at: int, call: Callable[[], None]) -> None:
        self.operator.loop.at(at, lambda _: call())

    # ---- clients

    def _hot_tenant(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        """`count`: its rank by size."""
        ranked = sorted(self.day.tenants, key=lambda t: -t.weight)
        if ranked:
            tenant = ranked[min(trouble.count or 1, len(ranked)) - 1]
            self._swell(Swell(at, at + lasts, trouble.x, self.books.tenants[tenant.name]))

    def _burst(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        self._swell(Swell(at, at + lasts, trouble.x))

    def _give_up(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        """`x`: milliseconds within which they leave."""
        self.give_ups.append(GiveUp(at, at + lasts, trouble.share or 1.0, max(1, round(trouble.x * MS))))

    def _swell(self, swell: Swell) -> None:
        self.swells.append(swell)
        self._happened(swell.at, swell.until, Event.PRESS, ())

    def _happened(self, at: int, until: int, kind: Event, ids: tuple[str, ...], why: str = "") -> None:
        self.record.add(Happened(at, until, kind, ids, why=why))

    # ---- backends

    def _some(self, trouble: Trouble) -> tuple[Service, list[Seat]]:
        """Those of a service that a trouble strikes."""
        on = trouble.on if trouble.on in self.seats else self._rng.choice(sorted(self.seats))
        seats = [s for s in self.seats[on] if not s.freed and trouble.zone in ("", s.zone)]
        return self._services[on], self._rng.sample(seats, trouble.many(len(seats)))

    def _go(self, trouble: Trouble) -> tuple[Service, list[Seat]]:
        """Those of a service that go for good: one stays, or nothing could be served and no gateway be ready."""
        service, seats = self._some(trouble)
        left = sum(not seat.freed for seat in self.seats[service.name])
        return service, seats[: max(0, left - 1)]

    def _ail(self, trouble: Trouble, at: int, lasts: int, **ills: Any) -> None:
        _, seats = self._some(trouble)
        for seat in seats:
            seat.host.loop.at(at, self._falls_ill, (seat, ills, at + lasts, trouble.kind))

    def _falls_ill(self, what: tuple[Seat, dict[str, Any], int, str]) -> None:
        seat, ills, until, why = what
        life = seat.now
        if life is None:
            return
        life.idle = ills.get("idle", 0)
        life.shop.ill = Ailment(**{k: v for k, v in ills.items() if k != "idle"})
        self._happened(life.loop.now, until, Event.BACKEND, (life.terms.id,), why)
        life.loop.at(until, self._well, life)

    def _well(self, life: Backend) -> None:
        life.idle = 0
        life.shop.ill = Ailment()

    def _srv_slow(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        self._ail(trouble, at, lasts, slow=trouble.x)

    def _srv_grey(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        """`x` above one is a slowness, below one the share of requests that fail or hang."""
        part = trouble.x if trouble.x < 1 else 0.2
        self._ail(trouble, at, lasts, slow=max(1.0, trouble.x), errors=part / 2, hangs=part / 2)

    def _srv_lying_health(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        self._ail(trouble, at, lasts, errors=0.9, lies=True)

    def _srv_flap(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        _, seats = self._some(trouble)
        gap = gap or SECOND
        for begin in range(at, at + max(lasts, 1), 2 * gap):
            for seat in seats:
                seat.host.loop.at(begin, self._falls_ill, (seat, {"away": True}, begin + gap, trouble.kind))

    def _answer_lost(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        self._ail(trouble, at, lasts, lost=_part(trouble), lost_by_reset="reset" in trouble.how)

    def _garble(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        part = _part(trouble)
        if "extra" in trouble.how:
            self._ail(trouble, at, lasts, cut=part / 3, garbled=part / 3, extra=part / 3, late="late" in trouble.how)
        else:
            self._ail(trouble, at, lasts, cut=part / 2, garbled=part / 2)

    def _idle_race(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        """They close unused connections after `x` seconds."""
        self._ail(trouble, at, lasts, idle=round(trouble.x * SECOND))

    def _srv_crash(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        service, seats = self._go(trouble) if "gone" in trouble.how else self._some(trouble)
        for seat in seats:
            seat.host.loop.at(at, self._crashes, (seat, "dark" in trouble.how, at + lasts))
            if "gone" in trouble.how:
                seat.freed = at
            else:
                self._start_at(seat, self._life(service, seat), at + max(lasts, 100 * MS))

    def _crashes(self, what: tuple[Seat, bool, int]) -> None:
        seat, dark, until = what
        life = seat.now
        if life is not None:
            if dark:
                seat.host.power(False)
            life.end()
            self._happened(life.loop.now, max(until, life.loop.now), Event.BACKEND, (life.terms.id,), "srv_crash")

    def _release(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        """`x` at a time: the new one starts first, then the old one drains."""
        service, seats = self._some(trouble)
        step = max(1, round(trouble.x))
        for index, old in enumerate(seats):
            begin = at + index // step * (gap or SECOND)
            new = self._free_seat(service, old.zone, begin)
            self.seats[service.name].append(new)
            self._start_at(new, self._life(service, new, "v2"), begin)
            self._leaves(old, begin + SECOND)

    def _scale_in(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        _, seats = self._go(trouble)
        for seat in seats:
            self._leaves(seat, at)

    def _drain(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        """The same as planned work; on machines of the system it is not the models'."""
        if trouble.on in self.seats:
            self._scale_in(trouble, at, lasts, gap)

    def _leaves(self, seat: Seat, at: int) -> None:
        seat.freed = at + FREED

        def leave(_: Any) -> None:
            if seat.now is not None:
                seat.now.leave()

        seat.host.loop.at(at, leave)

    def _free_seat(self, service: Service, zone: str, at: int) -> Seat:
        """An address that another backend, of any service, has left for longer than `reuse`; else a new one."""
        for name_of, seats in self.seats.items():
            for seat in seats:
                if 0 < seat.freed <= at - self._times["reuse"] and self._rng.random() < 0.7:
                    self.seats[name_of].remove(seat)
                    seat.freed = 0
                    return seat
        self._hosts += 1
        return Seat(self.ground.host(f"{service.name}-new-{self._hosts}-{name(self._rng)}", zone), zone)

    # ---- the operator

    def _config_change(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        for index in range(trouble.count or 1):
            self._operate(at + index * (gap or SECOND), lambda: self.operator.order(self.books.change(trouble.how)))

    def _config_flood(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        """As many changes as there is time for, up to eight under way at once."""

        def change(left: int) -> None:
            if self.operator.under_way < MOST_OPEN:
                order = self.books.change(trouble.how)
                self.operator.order(order if left % PROBED == 0 else replace(order, probes=()))
                left -= 1
            loop = self.operator.loop
            if left:
                loop.at(loop.now + (gap or 100 * MS), change, left)

        self._operate(at, lambda: change(trouble.count or 50))

    def _ack_lost(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        """`x` of the answers to the operator are lost; `how`: `backends`, of those to backends as well."""

        def begin(losses: Losses) -> None:
            losses.share, losses.until = trouble.x if trouble.x < 1 else 0.7, at + lasts

        for losses in [self.operator.losses, *([self._unheard] if "backends" in trouble.how else [])]:
            self._operate(at, lambda held=losses: begin(held))  # type: ignore[misc]
        self._happened(at, at + lasts, Event.ACK_LOST, ())

    def _order_again(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        for index in range(trouble.count or 1):
            self._operate(at + index * (gap or SECOND), lambda: self.operator.again(trouble.how))

    def meet(self, address: Address, zone: str, how: str) -> None:
        """A core machine is back, or in the midst of a cut: a change is sent to it, and it is asked for what it holds.
        `how`: `race`, two at once under one number; `hard`, until it answers; `drain`, backends of its zone leave."""
        operator, hard = self.operator, "hard" in how

        def now() -> None:
            for after in MEETS_READ:
                operator.loop.at(operator.loop.now + after, lambda _: operator.read_at(address))
            for order in self.books.race(True) if "race" in how else (self.books.change(),):
                operator.order(order, first=address, hard=hard)

        self._operate(operator.loop.now, now)
        if "drain" in how:
            for seats in self.seats.values():
                live = [seat for seat in seats if not seat.freed and seat.now is not None]
                near = [seat for seat in live if seat.zone == zone]
                if len(live) > 2 and near:
                    self._leaves(self._met.choice(near), operator.loop.now + MEETS_LEAVE)

    def _config_race(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        """`how`: `number`, both under the same one."""

        def race() -> None:
            one, other = self.books.race("number" in trouble.how)
            ctl = self.ground.ctl()
            places = self._rng.sample(ctl, min(2, len(ctl)))
            self.operator.order(one, first=places[0])
            self.operator.order(other, first=places[-1])

        for index in range(trouble.count or 1):
            self._operate(at + index * (gap or SECOND), race)

    def _bad_config(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        for index in range(trouble.count or 1):
            self._operate(
                at + index * (gap or SECOND),
                lambda: self.operator.order(
                    self.books.placed(trouble.how) if trouble.how in PLACED else self.books.spoil(trouble.how)
                ),
            )

    def _revoke(self, trouble: Trouble, at: int, lasts: int, gap: int) -> None:
        for index in range(trouble.count or 1):
            self._operate(at + index * (gap or SECOND), lambda: self.operator.order(self.books.revoke()))


def _part(trouble: Trouble) -> float:
    """`x` as a share of what is run; the kinds that take it so mean a few of a hundred where none is given."""
    return trouble.x if trouble.x < 1 else 0.03


def launch(ground: Ground, day: Day, rng: Random, record: Record, began: int) -> Played:
    """All models of a day on their hosts' loops, with traffic from `began` on. Whoever turns the loops goes on until
    `Played.done`. Everything drawn comes from `rng`."""
    return Launch(ground, day, rng, record, began).begin()
