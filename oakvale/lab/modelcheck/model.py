"""All that can happen next to three machines, and what must hold whatever did.

A state is a tuple of numbers and tuples: each machine's (kept once, by what it is), what is on its way, what was
acknowledged, and how much of each fault was spent. What one event does to one machine is worked out once by the
real code and looked up from then on.

What is on its way arrives in any order or never; nothing is doubled, as connections do not; what was on its way to
a process ends with it, what it sent does not. A connection that was given up is one whose question is waited for no
longer, though it may still arrive. Heartbeats are beliefs: whoever wakes may hold any others for up, also the seats
of disks that are gone, and may at any time learn of any view that was ever decided.
"""

from __future__ import annotations

import pickle
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from itertools import product
from typing import Any, NamedTuple

from oakvale.controlplane import chunks
from oakvale.controlplane.views import Replica
from oakvale.dissemination.table import Version
from oakvale.lab.modelcheck.machine import NAMES, SILENCE, Event, Facts, Machine, Sent

COPIES = 2  # tolerance 1
COUNCIL = frozenset(("prepare", "promise", "accept", "accepted", "void", "voided", "refused"))


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much of each may happen on one way through the states."""

    machines: int = 3
    writes: int = 1
    kills: int = 1
    wipes: int = 1
    wakes: int = 1  # attempts to replace a view, or words said again
    retries: int = 1  # questions given up, or state sent once more
    beats: int = 0  # times that a primary asks for its lease
    passes: int = 0  # times that the silence passes, everywhere, whatever is on its way
    leaves: int = 0  # machines told to end, that go for good when they may
    spares: int = 0  # machines more, which no founder knows
    zones: str = ""  # a letter for each machine, where any zone may be lost; else it does not matter who stands where


KILLS, WIPES, WAKES, RETRIES, WRITES, BEATS, PASSES, LEAVES = range(8)
COST = {
    "kill": KILLS,
    "wipe": WIPES,
    "wake": WAKES,
    "again": RETRIES,
    "answer": RETRIES,
    "change": WRITES,
    "beat": BEATS,
    "pass": PASSES,
    "leave": LEAVES,
}
TIMED = frozenset(("start", "mail", "beat", "answer", "again", "sync"))  # where a machine may look at its clock
OUTWARD = frozenset(("kill", "wipe", "change", "go"))
ROUNDS = 12  # of everything that waits for a time, until somebody serves
LONG = 400  # steps that one round may take
Acked = tuple[int, Version, int]  # write, its version, the number of the view that said yes
Step = tuple[int, Event]  # machine, what happens to it


@dataclass(frozen=True, slots=True)
class Told:
    """What the world outside knows."""

    acked: tuple[Acked, ...] = ()
    asked: tuple[tuple[int, tuple[int, ...]], ...] = ()  # writes that wait, with those acknowledged before each
    decided: tuple[Any, ...] = ()  # views, by their numbers
    troubled: int = -1  # whose disk was wiped, until all is well again


class State(NamedTuple):
    """Whole numbers alone, so that its hash is the same in every run."""

    seats: tuple[int, ...]  # of machines' states
    mail: tuple[int, ...]  # of messages on their way, sorted
    told: int  # of what the world outside knows
    spent: tuple[int, ...]


UNSPENT = (0,) * 8
LADEN = (91, 92)  # writes that a laden system has taken
SMALL = 4, 0  # bytes of a piece, and those that go with a question


def _unspent(state: State) -> tuple[int, ...]:
    """But for the time, which is no bound of a later state's."""
    return (*UNSPENT[:PASSES], state.spent[PASSES])


class Broken(Exception):
    """What must hold does not."""

    def __init__(self, rule: str, why: str) -> None:
        super().__init__(f"{rule}: {why}")
        self.rule, self.why = rule, why


@contextmanager
def _sized(small: bool) -> Iterator[None]:
    real = chunks.MAX_CHUNK_BYTES, chunks.MAX_INLINE_BYTES
    if small:
        chunks.MAX_CHUNK_BYTES, chunks.MAX_INLINE_BYTES = SMALL
    try:
        yield
    finally:
        chunks.MAX_CHUNK_BYTES, chunks.MAX_INLINE_BYTES = real


class Model:
    def __init__(self, bounds: Bounds, small: bool = False) -> None:
        """`small`: nothing fits in one message, each row is a piece of its own."""
        self.bounds, self.small = bounds, small
        self.addresses = tuple(f"{name}:1" for name in NAMES[: bounds.machines + bounds.spares])
        self.founders = self.addresses[: bounds.machines]
        self.zones = dict(zip(self.addresses, bounds.zones, strict=True)) if bounds.zones else {}
        self._place = {address: n for n, address in enumerate(self.addresses)}
        self._numbers: dict[Any, int] = {}  # a machine's key -> its number
        self._packed: list[bytes] = []
        self.facts: list[Facts] = []
        self._steps: dict[tuple[int, Event], tuple[int, tuple[Sent, ...]]] = {}
        self._mail_numbers: dict[Any, int] = {}
        self.mails: list[tuple[int, str, Any, Any]] = []  # to whom, kind, body, ticket
        self._to: list[int] = []
        self._over: dict[tuple[int, int], bool] = {}
        self._tolds: dict[Told, int] = {}
        self.tolds: list[Told] = []
        self._holding: set[tuple[int, int]] = set()  # machines' states that hold what they must, by what is known
        self._wakings: dict[tuple[int, ...], tuple[Step, ...]] = {}

    # ---- machines

    def _number(self, place: int, machine: Machine) -> int:
        key = place, machine.key()
        found = self._numbers.get(key)
        if found is None:
            found = self._numbers[key] = len(self._packed)
            self._packed.append(machine.packed())
            self.facts.append(Facts(machine))
        return found

    def machine(self, number: int) -> Machine:
        found: Machine = pickle.loads(self._packed[number])
        return found

    def local(self, place: int, number: int, event: Event) -> tuple[int, tuple[Sent, ...]]:
        """What the real code makes of an event: the machine's next state, and what goes out."""
        known = self._steps.get((number, event))
        if known is None:
            machine, what = self.machine(number), event
            if event[0] == "at" and event[2][0] == "mail":
                _, kind, body, ticket = self.mails[event[2][1]]
                what = "at", event[1], ("message", kind, body, ticket)
                if kind == "answer":
                    what = "at", event[1], ("answer", body[2], body[3])
            elif event[0] == "mail":
                _, kind, body, ticket = self.mails[event[1]]
                what = ("answer", body[2], body[3]) if kind == "answer" else ("message", kind, body, ticket)
            with _sized(self.small):
                machine.told(what)
            known = self._steps[number, event] = self._number(place, machine), tuple(machine.out)
        return known

    def first(self, start: str) -> State:
        return {"cold": self.cold, "settled": self.settled, "laden": self.laden}[start]()

    def laden(self) -> State:
        """It serves, and has taken two writes."""
        state = self.settled()
        for write in LADEN:
            state = self.heal(state, write)
        return state._replace(spent=UNSPENT, mail=())

    def cold(self) -> State:
        """Nothing was ever started."""
        seats = tuple(
            self._number(place, Machine(address, self.founders, COPIES, self.bounds.beats > 0, self.zones))
            for place, address in enumerate(self.addresses)
        )
        return State(seats, (), self._known(Told()), UNSPENT)

    def settled(self) -> State:
        """The founding view serves."""
        return self.heal(self.cold(), write=None)._replace(spent=UNSPENT, mail=())

    def _known(self, told: Told) -> int:
        found = self._tolds.get(told)
        if found is None:
            found = self._tolds[told] = len(self.tolds)
            self.tolds.append(told)
        return found

    # ---- what can happen

    def steps(self, state: State, wakes: bool = True) -> Iterator[Step]:
        seats, mail, known, spent = state
        bounds, facts, to = self.bounds, self.facts, self._to
        for place, seat in enumerate(seats):
            if not facts[seat].up and not facts[seat].gone:
                # at once: until then nothing happens to it that could not happen after, nor does anybody notice
                yield place, ("start",)
                return
        told = self.tolds[known]
        last = -1
        for number in mail:
            if number != last:
                last = number
                yield to[number], ("mail", number)
        # nor between the word that one may go and its end: that one is as good as gone
        wipes = (
            spent[WIPES] < bounds.wipes
            and told.troubled < 0
            and not (
                bounds.leaves
                and (any(facts[seat].may_go for seat in seats) or any(self.mails[n][1] == "released" for n in mail))
            )
        )
        for place, seat in enumerate(seats):
            own = facts[seat]
            if own.gone:
                continue
            if spent[LEAVES] < bounds.leaves and not own.leaving:
                yield place, ("leave",)
            if own.may_go:
                yield place, ("go",)
            saying = any(self.mails[n][1] == "released" for n in mail)
            for other in self._leavers(seats, place) if own.active and not saying else ():
                assert own.view is not None
                if facts[seats[self._place[other[0]]]].released >= own.view[0]:
                    continue
                release = "releases", other, self._running(seats, place)
                if self.local(place, seat, release)[1]:
                    yield place, release
            if wipes and own.seat is not None:
                yield place, ("wipe",)
            if own.queue:
                yield place, ("sync",)
            if spent[RETRIES] < bounds.retries:
                for number in own.asks:
                    yield place, ("answer", number, None)
                for n in range(own.agains):
                    yield place, ("again", n)
            if own.leads and spent[BEATS] < bounds.beats:
                yield place, ("beat",)
            if own.active and spent[WRITES] < bounds.writes:
                yield place, ("change", spent[WRITES] + 1)
            for view in told.decided:
                if own.view is None or view[0] > own.view[0]:
                    yield place, ("learn", view)
            if spent[KILLS] < bounds.kills:
                for kept in range(own.queue + 1):
                    yield place, ("kill", kept)
        if spent[PASSES] < bounds.passes:
            yield 0, ("pass",)
        if wakes and spent[WAKES] < bounds.wakes:
            found = self._wakings.get(seats)
            if found is None:
                found = self._wakings[seats] = tuple(
                    (place, wake)
                    for place, seat in enumerate(seats)
                    for wake in self.wakes(seats, place)
                    if self.local(place, seat, wake) != (seat, ())
                )
            yield from found

    def _running(self, seats: tuple[int, ...], place: int) -> tuple[Replica, ...]:
        owns = [self.facts[seat].own for other, seat in enumerate(seats) if other != place]
        return tuple(own for own in owns if own is not None)

    def _leavers(self, seats: tuple[int, ...], place: int) -> tuple[Replica, ...]:
        return tuple(
            own
            for own in self._running(seats, place)
            if any(self.facts[seat].own == own and self.facts[seat].leaving for seat in seats)
        )

    def wakes(self, seats: tuple[int, ...], place: int) -> Iterator[Event]:
        """What a machine might believe when it looks whether it should do something."""
        own = self.facts[seats[place]]
        if own.view is None:
            return
        known = {own.view[1], *own.view[2], *own.view[3]}
        ways: list[list[Replica | None]] = []
        for other, seat in enumerate(seats):
            if other != place:
                now = self.facts[seat].seat
                old = sorted(s for s in known if s[0] == self.addresses[other] and s != now)
                ways.append([None, *([now] if now else []), *old])
        leavers = self._leavers(seats, place)
        for chosen in product(*ways):
            up = tuple(s for s in chosen if s is not None)
            left = tuple(s for s in up if s in leavers)
            more = (left,) if left else ()
            yield "wake", up, False, *more
            if own.campaigns:
                yield "wake", up, True, *more

    def after(self, state: State, step: Step) -> State:
        """Raises Broken."""
        seats, mail, known, spent = state
        place, event = step
        kind = event[0]
        before = seats[place]
        time = spent[PASSES]
        now, sent = self.local(place, before, ("at", time, event) if time and kind in TIMED else event)
        left = list(mail)
        if kind == "mail":
            left.remove(event[1])
        elif kind in ("kill", "wipe", "go"):
            left = [n for n in left if self._to[n] != place]
        cost = COST.get(kind)
        if cost is not None:
            spent = (*spent[:cost], spent[cost] + 1, *spent[cost + 1 :])
        view = self.facts[now].view
        if kind == "go":
            self._may_be_missed(self.tolds[known], seats, place)
        if now != before:
            seats = (*seats[:place], now, *seats[place + 1 :])
            if kind in OUTWARD or view != self.facts[before].view:
                known = self._known(self._seen(self._outward(self.tolds[known], place, before, event), view))
            left = [n for n in left if self._to[n] != place or not self._is_over(place, now, n)]
        for item in sent:
            if item[0] == "told" or item[0] == "turned":
                known = self._known(self._heard(self.tolds[known], seats, place, item))
            else:
                self._may_say(self.tolds[known], now, item)
                number = self._posted(seats, item)
                if number is not None:
                    left.append(number)
        left.sort()
        for seat in seats:
            if (seat, known) not in self._holding:
                self._holds(self.tolds[known], seat)
                self._holding.add((seat, known))
        self._one_serves(seats, spent[PASSES])
        told = self.tolds[known]
        if told.troubled >= 0 and self._well(told, seats):
            known = self._known(replace(told, troubled=-1))
        return State(seats, tuple(left), known, spent)

    def replay(self, state: State, way: list[Step]) -> tuple[int, Broken] | None:
        """After how many steps a way breaks which rule; None where it can't be gone, or breaks none."""
        for number, step in enumerate(way, 1):
            if not self._may(state, step):
                return None
            try:
                state = self.after(state, step)
            except Broken as broken:
                return number, broken
        return None

    def shortened(self, state: State, way: list[Step], rule: str) -> list[Step]:
        """A way that breaks the same rule and from which no single step can be left out."""
        size = max(1, len(way) // 2)
        while True:
            place, shorter = len(way), False
            while place > 0:
                place -= size
                tried = way[: max(place, 0)] + way[place + size :]
                ends = self.replay(state, tried)
                if ends is not None and ends[1].rule == rule:
                    way, shorter = tried[: ends[0]], True
                    place = min(place, len(way))
            if size > 1:
                size //= 2
            elif not shorter:
                return way

    def _may(self, state: State, step: Step) -> bool:
        place, event = step
        kind, own = event[0], self.facts[state.seats[place]]
        if kind == "mail":
            return own.up and event[1] in state.mail
        if kind == "learn":
            return (
                own.up
                and event[1] in self.tolds[state.told].decided
                and (own.view is None or event[1][0] > own.view[0])
            )
        if kind == "kill":
            return own.up and event[1] <= own.queue
        if kind == "releases":
            return own.active and event[1] in self._leavers(state.seats, place)
        if kind == "wipe":
            return own.seat is not None and self.tolds[state.told].troubled < 0
        return bool(
            {
                "start": not own.up,
                "sync": own.queue,
                "answer": own.up and event[1:] and event[1] in own.asks,
                "again": own.agains,
                "change": own.active,
                "beat": own.leads,
                "pass": True,
                "wake": own.up and own.view,
                "leave": own.up and not own.leaving,
                "go": own.may_go,
            }[kind]
        )

    def _outward(self, told: Told, place: int, before: int, event: Event) -> Told:
        kind = event[0]
        if kind == "change":
            return replace(told, asked=(*told.asked, (event[1], tuple(n for n, _, _ in told.acked))))
        if kind in ("kill", "wipe", "go"):  # its authors will never hear
            waiting = self.facts[before].waiting
            told = replace(told, asked=tuple(item for item in told.asked if item[0] not in waiting))
        return replace(told, troubled=place) if kind in ("wipe", "go") else told

    # ---- what is on its way

    def _posted(self, seats: tuple[int, ...], item: Sent) -> int | None:
        """The number of a message; None for one that can do nothing."""
        message: tuple[int, str, Any, Any]
        if item[0] == "reply":
            (address, incarnation, life, number), answer = item[1:]
            place = self._place[address]
            message = place, "answer", (incarnation, life, number, answer), None
            if not self._awaited(seats[place], message[2]):
                return None
        else:
            place, kind, body = self._place[item[1]], item[2], item[3]
            if self.facts[seats[place]].gone:
                return None
            own = self.facts[seats[place]].view
            if kind == "decided" or kind == "refused" and own is not None and own[0] != body[1][0][0]:
                return None  # any view that was decided may be learned at any time
            message = place, kind, body, item[4] if item[0] == "ask" else None
        found = self._mail_numbers.get(message)
        if found is None:
            found = self._mail_numbers[message] = len(self.mails)
            self.mails.append(message)
            self._to.append(place)
        return None if self._is_over(place, seats[place], found) else found

    def _awaited(self, seat: int, body: Any) -> bool:
        own = self.facts[seat]
        return own.own is not None and own.own[1] == body[0] and own.life == body[1] and body[2] in own.asks

    def _is_over(self, place: int, seat: int, number: int) -> bool:
        """It does nothing here, and never will: nobody waits for this answer; or it is of the council, about no later
        view than the one here, and the real code makes nothing of it, with all on disk that this stands on. (Promises
        and ballots only rise, and what is on its way to a process ends with it.)"""
        found = self._over.get((seat, number))
        if found is None:
            _, kind, body, _ = self.mails[number]
            own = self.facts[seat]
            if kind == "answer":
                found = not self._awaited(seat, body)
            elif kind in COUNCIL and own.up and own.view is not None:
                about = body[1][0]
                view = about if isinstance(about, int) else about[0] if about else 0
                settled = view < own.durable or view <= own.view[0] and not own.queue
                found = settled and self._does_nothing(place, seat, number)
            else:
                found = False
            self._over[seat, number] = found
        return found

    def _does_nothing(self, place: int, seat: int, number: int) -> bool:
        now, sent = self.local(place, seat, ("mail", number))
        return now == seat and all(item[0] == "say" and item[2] == "refused" for item in sent)

    # ---- what must hold

    def _seen(self, told: Told, view: Any) -> Told:
        if view is None or view in told.decided:
            return told
        same = [v for v in told.decided if v[0] == view[0]]
        if same:
            raise Broken("one view for each number", f"{view_text(same[0])} and {view_text(view)}")
        for before in (v for v in told.decided if v[0] == view[0] - 1):
            self._one_step(before, view)
        return replace(told, decided=tuple(sorted((*told.decided, view))))

    @staticmethod
    def _one_step(before: Any, view: Any) -> None:
        """Other copies, or one other witness, and never fewer of these; the seat that a wiped disk's address has now
        may come in beside."""
        came = {seat[0] for seat in view[3]} - {seat[0] for seat in before[3]}
        others = {view[1], *view[2]} != {before[1], *before[2]}
        if len(came) > 1 or came and others or len(view[3]) < len(before[3]):
            raise Broken("one step at a time", f"{view_text(before)}, then {view_text(view)}")

    def _may_be_missed(self, told: Told, seats: tuple[int, ...], place: int) -> None:
        """Who leaves leaves as many complete copies as there have to be; one less where a disk was just lost, or where
        another view was decided after the word that it may go, of which it has not heard."""
        leaver = self.facts[seats[place]]
        own = leaver.view
        if own is not None and leaver.own not in own[3] and leaver.complete < own[0] - 1:
            return  # a spare: it has no vote, and holds nothing that counts
        others = [self.facts[seat] for other, seat in enumerate(seats) if other != place]
        # complete in the view before and a copy in this one is complete in it, as soon as it learns it
        whole = [f for f in others if own is None or f.complete == f.durable >= own[0] - (f.seat in (own[1], *own[2]))]
        late = own is not None and any(view[0] > own[0] for view in told.decided)
        if len(whole) < COPIES - (told.troubled >= 0 or late):
            raise Broken(
                "who leaves leaves the copies whole",
                f"{len(whole)} of {COPIES} others in view {own[0] if own else 0} or later",
            )

    def _may_say(self, told: Told, seat: int, item: Sent) -> None:
        """Only a witness of the view votes on its successor."""
        if item[0] == "say" and item[2] in ("promise", "accepted"):
            sender, (number, *_) = item[3]
            for view in told.decided:
                if view[0] == number and sender not in view[3]:
                    raise Broken("only witnesses vote", f"{seat_text(sender)} in {view_text(view)}")

    def _heard(self, told: Told, seats: tuple[int, ...], place: int, item: Sent) -> Told:
        if item[0] == "turned":
            return self._turned(told, seats, place) if item[1] else told
        return self._answered(told, seats, place, item[1], item[2])

    def _answered(self, told: Told, seats: tuple[int, ...], place: int, write: int, done: bool) -> Told:
        """An author hears that its change is in force, or that it is not known to be."""
        floor = dict(told.asked).get(write, ())
        told = replace(told, asked=tuple(item for item in told.asked if item[0] != write))
        if not done:
            return told
        own = self.facts[seats[place]]
        assert own.view is not None
        version = own.shown.get(write)
        if version is None:
            raise Broken("what is acknowledged is there", f"w{write} is not in its primary's table")
        held = {n: v for n, v, _ in told.acked}
        for n in floor:
            if own.shown.get(n) != held[n]:
                raise Broken("nothing acknowledged is lost", f"w{n} is not there where w{write} is acknowledged")
            if held[n] >= version:
                raise Broken("later is newer", f"w{write} is {version}, and w{n} before it {held[n]}")
        # of the view that it was made in, or of a later one that its primary has gone on in
        views = [v for v in told.decided if version[0] <= v[0] <= own.view[0]]
        view = next((v for v in views if not self._lacking(seats, v, write, version)), None)
        if view is None:
            lacks = self._lacking(seats, own.view, write, version)
            raise Broken("both copies synced it", f"w{write} is not on the disk of {seat_text(lacks[0])}")
        for other in seats:
            then = self.facts[other]
            if then.active and then.view is not None and then.view[0] > view[0] and write not in then.shown:
                raise Broken(
                    "a replaced primary says no", f"w{write}: view {then.view[0]} serves, and does not hold it"
                )
        return self._acked(told, write, version, view[0])

    def _lacking(self, seats: tuple[int, ...], view: Any, write: int, version: Version) -> list[Replica]:
        """The copies of a view that do not have it on disk, or refuse to be complete in it: such a one vouches for
        nothing there, whatever its disk holds. One that was wiped since is no witness."""
        found = []
        for seat in (view[1], *view[2]):
            disk = self.facts[seats[self._place[seat[0]]]]
            if disk.seat == seat and (disk.kept.get(write) != version or disk.void == view[0]):
                found.append(seat)
        return found

    def _acked(self, told: Told, write: int, version: Version, view: int) -> Told:
        if any(n == write for n, _, _ in told.acked):
            return told
        if any(v == version for _, v, _ in told.acked):
            raise Broken("one content for each version", f"{version} is w{write} and another")
        return replace(told, acked=tuple(sorted((*told.acked, (write, version, view)))))

    def _turned(self, told: Told, seats: tuple[int, ...], place: int) -> Told:
        """It begins to serve: whoever asks for its table is shown all of it."""
        own = self.facts[seats[place]]
        assert own.view is not None
        for other, seat in enumerate(seats):
            then = self.facts[seat]
            if other != place and then.active and then.view is not None and then.view[0] == own.view[0]:
                raise Broken("one primary in a view", f"two serve view {own.view[0]}")
        for n, version, view in told.acked:
            if view <= own.view[0] and own.shown.get(n) != version:
                raise Broken("nothing acknowledged is lost", f"view {own.view[0]} serves without w{n}")
        for n, version in own.shown.items():
            told = self._acked(told, n, version, own.view[0])
        return told

    def _holds(self, told: Told, seat: int) -> None:
        """Whoever is complete in its view has all on disk that was acknowledged up to it."""
        disk = self.facts[seat]
        if disk.complete and disk.complete == disk.durable:
            for n, version, view in told.acked:
                if view <= disk.durable and disk.kept.get(n) != version:
                    raise Broken(
                        "complete means all acknowledged",
                        f"{seat_text(disk.seat)} is complete in view {disk.durable} without w{n}",
                    )

    def _one_serves(self, seats: tuple[int, ...], time: int) -> None:
        """Nobody may serve in a later view while a lease of an earlier one holds. Of the later, only what it granted
        itself is looked at: whether it holds a lease of its own is left open."""
        for seat in seats:
            own = self.facts[seat]
            if own.active and own.leads and own.leases and own.leases.holds(own.leads, time * SILENCE):
                for other in seats:
                    then = self.facts[other]
                    if (
                        then.active
                        and then.leads
                        and then.leads.number > own.leads.number
                        and then.leases
                        and then.leases.grants_expired(time * SILENCE)
                    ):
                        raise Broken(
                            "one serves at a time",
                            f"{seat_text(own.own)} in view {own.leads.number}, and "
                            f"{seat_text(then.own)} in view {then.leads.number}",
                        )

    def _well(self, told: Told, seats: tuple[int, ...]) -> bool:
        """All are up and agree, and all witnesses are of those: the one that was wiped, or a spare in its place."""
        parts = [self.facts[seat] for seat in seats]
        newest = told.decided[-1] if told.decided else None
        return (
            newest is not None
            and any(p.active for p in parts)
            and all(p.up and not p.queue and p.view == newest and p.durable == newest[0] for p in parts)
            and {p.own for p in parts}.issuperset(newest[3])
        )

    # ---- all heals

    def heal(
        self, state: State, write: int | None = 99, passed: set[State] | None = None, trace: list[Step] | None = None
    ) -> State:
        """All run, hear each other and are fast from here on: somebody serves, and takes a write. Raises Broken.

        `passed` are states from which that was so before; `trace` is given the steps."""
        fair = _Fair(self, state._replace(spent=_unspent(state)), set() if passed is None else passed, trace)
        if fair.serves() and write is not None:
            fair.takes(write)
        if passed is not None:
            passed |= fair.new
        return fair.state


class _Fair:
    """One way on from a state, on which all that is under way ends."""

    def __init__(self, model: Model, state: State, passed: set[State], trace: list[Step] | None) -> None:
        self.model, self.state, self._passed, self._trace = model, state, passed, trace
        self.new: set[State] = set()
        self.known = False  # it came where an earlier way went on well

    def _do(self, place: int, event: Event) -> None:
        if self._trace is not None:
            self._trace.append((place, event))
        self.state = self.model.after(self.state, (place, event))
        self.state = self.state._replace(spent=_unspent(self.state))
        self.new.add(self.state)
        self.known = self.known or self.state in self._passed

    def _facts(self) -> list[Facts]:
        return [self.model.facts[seat] for seat in self.state.seats]

    def serves(self) -> bool:
        """False where an earlier way has shown the rest."""
        for place, own in enumerate(self._facts()):
            if not own.up and not own.gone:
                self._do(place, ("start",))
        for _ in range(ROUNDS):
            self._run_dry()
            if self.known:
                return False
            newest = max((own.view for own in self._facts() if own.view is not None), default=None)
            late = [
                place
                for place, own in enumerate(self._facts())
                if newest is not None and own.view != newest and not own.gone
            ]
            if late:
                for place in late:
                    self._do(place, ("learn", newest))
                continue
            self._again()
            if self.known:
                return False
            if self._serving() is not None:
                return True
            self._wake_all()
        raise Broken("somebody serves once all is well", f"nobody after {ROUNDS} rounds")

    def _serving(self) -> int | None:
        """Who is primary, with all its backups up: only such a one calls itself serving."""
        up = {own.own for own in self._facts()}
        return next(
            (
                place
                for place, own in enumerate(self._facts())
                if own.active and own.view is not None and up.issuperset(own.view[2])
            ),
            None,
        )

    def _again(self) -> None:
        for place in [place for place, own in enumerate(self._facts()) for _ in range(own.agains)]:
            if not self.known:
                self._do(place, ("again", 0))
                self._run_dry()

    def _wake_all(self) -> None:
        for place in range(len(self.state.seats)):
            if self._facts()[place].gone:
                continue
            up = tuple(own.own for other, own in enumerate(self._facts()) if other != place and own.own is not None)
            left = self.model._leavers(self.state.seats, place)
            wake = ("wake", up, False, left) if left else ("wake", up, False)
            seat = self.state.seats[place]
            if self.model.local(place, seat, wake) != (seat, ()):
                self._do(place, wake)
                self._run_dry()

    def takes(self, write: int) -> None:
        serving = self._serving()
        assert serving is not None
        self._do(serving, ("change", write))
        for _ in range(ROUNDS):
            self._run_dry()
            self._again()
            if self.known:
                return
        if not any(n == write for n, _, _ in self.model.tolds[self.state.told].acked):
            raise Broken("somebody serves once all is well", "it serves, but keeps nothing")

    def _run_dry(self) -> None:
        """Everything that is on its way arrives, everything waiting is synced or given up."""
        for _ in range(LONG):
            step = self._next()
            if step is None or self.known:
                return
            self._do(*step)
        raise Broken("somebody serves once all is well", "words go to and fro without end")

    def _next(self) -> Step | None:
        for number in self.state.mail:
            return self.model.mails[number][0], ("mail", number)
        for place, own in enumerate(self._facts()):
            if own.queue:
                return place, ("sync",)
        for place, own in enumerate(self._facts()):
            if own.asks:
                return place, ("answer", own.asks[0], None)
        return None


def seat_text(seat: Any) -> str:
    """A, and A' once its disk was lost, A'' and so on."""
    if seat is None:
        return "?"
    name: str = seat[0].partition(":")[0].upper()
    return name if seat[1] == "founder" else name + "'" * (int(seat[1]) - 1)


def view_text(view: Any) -> str:
    number, primary, backups, witnesses = view
    return (
        f"view {number} ({seat_text(primary)}+{'+'.join(map(seat_text, backups))}"
        f" by {''.join(map(seat_text, witnesses))})"
    )
