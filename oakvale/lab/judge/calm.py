"""Which machines are in touch, and when: 'In touch', 'Core', 'Settled', 'Choked', 'Own ends', 'Outer' of the rules.

All of it comes from what the world did (`Happened`). A machine that a span touches is out of touch from the span's
begin until `contact` after its end; both ends count as within, for the benefit of the system.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict

from oakvale.lab.judge.words import SECOND, Bounds, Spans
from oakvale.lab.record import FOREVER, Event, Happened, Record

OWN = frozenset(
    {
        Event.START,
        Event.KILL,
        Event.OFF,
        Event.WIPE,
        Event.TERM,
        Event.FREEZE,
        Event.SLOW,
        Event.DISK,
        Event.CLOCK,
        Event.RESET,
        Event.LINK,
        Event.CHOKED,
    }
)
# of a core machine: those that unsettle at both ends, and those that do all the while
ENDS = frozenset({Event.START, Event.KILL, Event.OFF, Event.WIPE, Event.TERM, Event.FREEZE, Event.CLOCK, Event.RESET})
WHILE = frozenset({Event.SLOW, Event.DISK, Event.LINK, Event.CHOKED})
STOPS = frozenset({Event.KILL, Event.OFF, Event.TERM, Event.END})
QUIET = frozenset({Event.START, Event.AGAIN, Event.TERM, Event.HUP, Event.PRESS, Event.GONE})  # no trouble
SPENT = SECOND  # an end within this after trouble is the trouble's
PRESSED = 5 * SECOND
MANY = 9  # cores beyond which one unsettles only if it has just acknowledged


class Calm:
    def __init__(self, record: Record, bounds: Bounds) -> None:
        self._bounds, self._record = bounds, record
        self.core = tuple(m.name for m in record.machines if m.core)
        self.edges = tuple(m.name for m in record.machines if m.edge)
        known = {m.name for m in record.machines}
        self.happened = self._counted(record.happened)
        touched: dict[str, list[tuple[int, int]]] = defaultdict(list)
        slowed: dict[str, list[tuple[int, int]]] = defaultdict(list)
        for span in self.happened:
            for name in span.machines:
                if span.kind in OWN and name in known:
                    touched[name].append((span.at, span.until + bounds.contact))
                if span.kind in WHILE:
                    slowed[name].append((span.at, span.until + bounds.contact))
        self._slowed = {name: Spans(spans) for name, spans in slowed.items()}
        self._cuts = [span for span in self.happened if span.kind is Event.CUT]
        self._gone = [span for span in self.happened if span.kind is Event.GONE]
        self._down = self._downs()
        self._majority_lost: list[tuple[int, int]] = []
        apart = self._apart(known)
        unsettled = self._unsettled()
        later = [(begin, end + bounds.contact) for begin, end in self._majority_lost]
        own = {name: touched[name] + apart[name] for name in known}
        self._outer = {name: Spans(spans) for name, spans in own.items()}
        self._bad = {name: Spans([*spans, *unsettled, *later]) for name, spans in own.items()}
        self.unsettled = Spans([*unsettled, *later])
        weak = [(s.at, s.until) for s in self.happened if s.kind in WHILE and set(s.machines) & set(self.core)]
        self._weak = Spans([*self._majority_lost, *weak])
        self._lives = self._begins()
        self._troubles = Spans((s.at, s.until) for s in self.happened if not s.planned and s.kind not in QUIET)

    # ---- what is asked

    def in_touch(self, machine: str, begin: int, end: int | None = None) -> bool:
        """At a moment, or all the while. A machine that nobody knows is never in touch."""
        spans = self._bad.get(machine)
        return spans is not None and not spans.meets(begin, begin if end is None else end)

    def outer(self, machine: str, begin: int, end: int) -> bool:
        """It meets (1) and (3) from `begin` to `end`."""
        spans = self._outer.get(machine)
        return spans is not None and not spans.meets(begin, end)

    def core_holds(self, begin: int, end: int) -> bool:
        """More than half of the core runs, is connected and not slowed, the whole time."""
        return not self._weak.meets(begin, end)

    def in_touch_after(self, machine: str, at: int) -> int:
        spans = self._bad.get(machine)
        return at if spans is None else spans.after(at)

    def slowed(self, machine: str, at: int) -> bool:
        spans = self._slowed.get(machine)
        return spans is not None and spans.holds(at)

    def life(self, machine: str, at: int) -> int:
        """Which life of its processes a machine is in: the time at which it began."""
        begins = self._lives.get(machine, [])
        index = bisect_right(begins, at) - 1
        return begins[index] if index >= 0 else 0

    def held_up(self, machine: str, backend: str, at: int) -> bool:
        """The link between both was cut or harmed in the last `contact`."""
        for span in self.happened:
            if span.kind is Event.CUT:
                hit = _parts(span, machine, backend)
            elif span.kind in (Event.LINK, Event.CHOKED):
                hit = machine in span.machines or backend in span.machines
            else:
                continue
            if hit and span.at <= at <= span.until + self._bounds.contact:
                return True
        return False

    def unplanned(self, begin: int, end: int) -> bool:
        """Any trouble that was not planned, from `begin` to `end`."""
        if not hasattr(self, "_troubles"):
            self._troubles = Spans((s.at, s.until) for s in self.happened if not s.planned and s.kind not in QUIET)
        return self._troubles.meets(begin, end)

    # ---- how it is known

    def _counted(self, happened: list[Happened]) -> list[Happened]:
        """Choked counts while clients press and a little longer; an end of its own counts where trouble is near."""
        press = [s for s in happened if s.kind is Event.PRESS]
        found: list[Happened] = []
        for span in happened:
            if span.kind is Event.CHOKED:
                if not any(p.at <= span.until and span.at <= p.until + PRESSED for p in press):
                    continue
            elif span.kind is Event.END:
                name = span.machines[0]
                if any(
                    s.kind in OWN | {Event.CUT}
                    and s.kind is not Event.START
                    and name in s.machines
                    and s.at <= span.at <= s.until + SPENT
                    for s in happened
                ):
                    span = Happened(span.at, span.until, Event.KILL, span.machines, span.planned, why=span.why)
            found.append(span)
        return sorted(found, key=lambda s: s.at)

    def _starts(self) -> dict[str, list[int]]:
        found: dict[str, list[int]] = defaultdict(list)
        for span in self.happened:
            if span.kind in (Event.START, Event.AGAIN):
                for name in span.machines:
                    found[name].append(span.at)
        return found

    def _downs(self) -> dict[str, list[tuple[int, int]]]:
        """When a machine does not run. An end of its own counts as running."""
        starts = self._starts()
        found: dict[str, list[tuple[int, int]]] = defaultdict(list)
        for span in self.happened:
            for name in span.machines:
                if span.kind is Event.FREEZE:
                    found[name].append((span.at, span.until))
                elif span.kind in (Event.KILL, Event.OFF, Event.TERM):
                    gone = span.until if span.kind is Event.TERM else span.at
                    back = next((at for at in starts[name] if at >= gone), FOREVER)
                    found[name].append((gone, back))
        for name, begins in starts.items():
            first = begins[0]
            if not any(begin <= first for begin, _ in found[name]):
                found[name].append((-FOREVER, first))
        return found

    def _begins(self) -> dict[str, list[int]]:
        found: dict[str, list[int]] = defaultdict(list)
        for span in self.happened:
            if span.kind in STOPS | {Event.START, Event.AGAIN}:
                for name in span.machines:
                    found[name].append(span.at)
        return {name: sorted(times) for name, times in found.items()}

    def _counted_core(self, at: int) -> list[str]:
        """One that is removed counts until its successor has had `sync_time`, which counts from then on."""
        out = {name for span in self._gone for name in (span.machines if span.until <= at else span.others)}
        return [name for name in self.core if name not in out]

    def _moments(self) -> list[int]:
        """When anything may change that running and being connected hang on."""
        times = {t for spans in self._down.values() for span in spans for t in span}
        times |= {t for span in self._cuts for t in (span.at, span.until)}
        times |= {span.until for span in self._gone}
        return sorted({-FOREVER, *times, FOREVER})

    def _apart(self, known: set[str]) -> dict[str, list[tuple[int, int]]]:
        """When a machine lacks a path to a running core machine that reaches more than half of the core, `contact`
        longer; notes also when nobody reaches more than half."""
        found: dict[str, list[tuple[int, int]]] = defaultdict(list)
        if not self.core:
            return found
        moments = self._moments()
        for begin, end in zip(moments, moments[1:], strict=False):
            cuts = [c for c in self._cuts if c.at <= begin and c.until >= end]
            core = self._counted_core(begin)
            up = [c for c in core if not any(b <= begin and e >= end for b, e in self._down.get(c, ()))]
            reach = {c: sum(c == d or not _cut(cuts, c, d) for d in up) for c in up}
            strong = [c for c in up if 2 * reach[c] > len(core)]
            if not strong:
                self._majority_lost.append((begin, end))
            if cuts:
                for name in known:
                    if any(c != name and _cut(cuts, name, c) for c in strong):
                        found[name].append((begin, end + self._bounds.contact))
        return found

    def _unsettled(self) -> list[tuple[int, int]]:
        core, contact = set(self.core), self._bounds.contact
        acks = [(o.by, o.acked_at) for o in self._record.ordered if o.acked_at is not None]
        found = []
        for span in self.happened:
            hit = core & {*span.machines, *span.others} if span.kind is Event.CUT else core & set(span.machines)
            if not hit:
                continue
            if len(core) > MANY and not any(by in hit and span.at - contact <= at <= span.at for by, at in acks):
                continue
            if span.kind is Event.CUT:
                if any(_parts(span, a, b) for a in core for b in core if a != b):
                    found += [(span.at, span.at + contact), (span.until, span.until + contact)]
            elif span.kind in ENDS:
                found += [(span.at, span.at + contact), (span.until, span.until + contact)]
            elif span.kind in WHILE:
                found.append((span.at, span.until + contact))
        return found


def _parts(span: Happened, one: str, other: str) -> bool:
    """Whether a cut parts both, one way at least."""
    return any(
        a in span.machines and (b in span.others if span.others else b not in span.machines)
        for a, b in ((one, other), (other, one))
    )


def _cut(cuts: list[Happened], one: str, other: str) -> bool:
    return any(_parts(span, one, other) for span in cuts)
