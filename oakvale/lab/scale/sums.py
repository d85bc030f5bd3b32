"""The tables of docs/CAPACITY.md, worked out from the rows that a run has left: slopes against the size, how far the
measured figures lie from the line, what that gives at the planned size, and what is over the operators' limits."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from statistics import fmean
from typing import Any

from oakvale.lab.scale.sizes import BEAT, PLANNED

Row = dict[str, Any]

CORE, BYTES, MEMORY = 2.4, 16_000, 128  # of a gateway for control: % of a core, bytes a second, megabytes
WITHIN = 4_000  # milliseconds until a change is in force everywhere
CHANGES, REQUESTS = 300, 51_000  # a day; a second
FAILURES, RESTARTS = 18, 320  # of machines, a day
CORES = 4
RACK, RACKS = 40, 52  # machines that go together (assumed), times a year
ZONE_LOSSES, CUTS, CUT = 4, 4, 300  # a year each (assumed from "a few" and "several"); seconds of a cut (assumed)
UNSEEN = 2.5  # seconds until nobody sends to a gateway that ended: the platform looks twice, a second apart
YEAR = 365 * 86_400
FAN_OUT, ZONES = 4, 8
TIMES = (
    "serving_ms",
    "ack_ms",
    "ack_p50_ms",
    "ack_last_ms",
    "known_ms",
    "processes_ms",
    "left_ms",
    "p50_ms",
    "p99_ms",
    "last_ms",
    "heard_ms",
    "whole_ms",
)
FIGURES = {
    "cpu_percent": "% of a core",
    "sent_bytes_s": "bytes/s out",
    "most_bytes_s": "bytes/s out, the most of one",
    "come_bytes_s": "bytes/s in",
    "frames_out_s": "messages/s out",
    "frames_in_s": "messages/s in",
    "most_mb": "MB at most",
    "mb": "MB",
    "fds": "descriptors",
    "links": "links, the most of one",
}
ROLES = ("primary", "backup", "witness", "idle core", "sluice", "hollow", "plain", "relay", "counter")
EVENTS = {
    "steady": "An ordinary minute",
    "calls": "With calls to the counter, 4 a second of each gateway",
    "change": "One change",
    "changes": "Ten changes in a row",
    "replaced": "2 % of the backends released anew",
    "primary": "The primary killed: takeover, and all beats turn to another",
    "zone": "A zone killed with its core machine",
    "gateways": "All gateways begin at once",
    "slowly": "Gateways begin one process after the other",
}
KINDS = {
    "watched and watcher: heartbeats on the ring": ("plain", "alive"),
    "juror: ballots": ("witness", "ballot"),
    "source of news: the primary": ("primary", "news"),
    "source of news: a relay": ("relay", "news"),
    "counter: greetings": ("counter", "greet"),
    "who asks it: greetings": ("plain", "greet"),
    "mending: digests of a gateway": ("plain", "digests"),
    "core machines: heartbeats": ("backup", "core"),
}


class BadRows(Exception):
    """One line: the file, the line, what is wrong."""


def load(path: str) -> list[Row]:
    rows: list[Row] = []
    try:
        with open(path) as file:
            for line in file:
                rows.append(json.loads(line))
                if not isinstance(rows[-1], dict) or not {"step", "gateways"} <= rows[-1].keys():
                    raise ValueError("no step or gateways")
    except OSError as error:
        raise BadRows(f"{path}: cannot be read: {error.strerror}") from error
    except ValueError as error:
        raise BadRows(f"{path}: line {len(rows) + 1}: {error}") from error
    return rows


def brief(row: Row) -> str:
    """One line of a row."""
    known = {
        name: value
        for name, value in row.items()
        if name.endswith("_ms") or name in ("failed", "ended", "reached", "took_s", "config_bytes")
    }
    said = ", ".join(f"{name} {value}" for name, value in known.items())
    return f"{row['gateways']} gateways, {row['step']}: {said}"


# ---- lines

Point = tuple[float, float]


@dataclass(slots=True, frozen=True)
class Line:
    base: float
    slope: float
    off: float  # the farthest of a point from the line, as a share of the largest
    points: int

    def at(self, x: float) -> float:
        return self.base + self.slope * x


def line(points: list[Point]) -> Line | None:
    """By least squares; None for fewer than three sizes."""
    if len({x for x, _ in points}) < 3:
        return None
    mx, my = fmean(x for x, _ in points), fmean(y for _, y in points)
    slope = sum((x - mx) * (y - my) for x, y in points) / sum((x - mx) ** 2 for x, _ in points)
    base, most = my - slope * mx, max(abs(y) for _, y in points)
    off = max(abs(y - base - slope * x) for x, y in points) / most if most else 0.0
    return Line(base, slope, off, len(points))


def number(value: float) -> str:
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


class Found:
    """What the rows say, by step and size."""

    def __init__(self, rows: Iterable[Row]) -> None:
        self.rows = list(rows)
        self.sizes = sorted({int(row["gateways"]) for row in self.rows})

    def step(self, step: str) -> dict[int, Row]:
        """The latest row of each size; of those that failed only what was measured until then."""
        return {int(row["gateways"]): row for row in self.rows if row["step"] == step}

    def points(self, step: str, read: Callable[[Row], Any]) -> list[Point]:
        found = []
        for size, row in sorted(self.step(step).items()):
            value = None if "failed" in row else read(row)
            if isinstance(value, int | float) and value >= 0:
                found.append((float(size), float(value)))
        return found

    def role(self, step: str, role: str, figure: str) -> list[Point]:
        return self.points(step, lambda row: row.get("roles", {}).get(role, {}).get(figure))

    def planned(self, points: list[Point]) -> tuple[float, str] | None:
        """At the planned size: as measured there, else along the line; and which of them."""
        for size, value in points:
            if size == PLANNED.gateways:
                return value, "measured"
        along = line(points)
        return (along.at(PLANNED.gateways), "along the line") if along else None

    # ---- tables

    def _size(self, size: int) -> str:
        """With the beat that its latest run was played with, where that is not the planned one."""
        beat = [row["beat_s"] for row in self.rows if row["gateways"] == size and "beat_s" in row][-1:]
        return f"{size}" + "".join(f", a beat each {each:g} s" for each in beat if each != BEAT)

    def _cells(self, points: list[Point]) -> list[str]:
        known = dict(points)
        cells = [number(known[size]) if size in known else "-" for size in self.sizes]
        along = line(points)
        if along is None:
            return [*cells, "not measured", "", self._plan(points)]
        doubt = "" if along.off <= 0.15 else ", not straight"
        return [*cells, f"{number(along.slope * 100)}", f"{along.off * 100:.0f} %{doubt}", self._plan(points)]

    def _plan(self, points: list[Point]) -> str:
        planned = self.planned(points)
        return "not measured" if planned is None else number(planned[0]) + ("" if planned[1] == "measured" else " *")

    def _head(self, *names: str) -> list[str]:
        cells = [*names, *map(self._size, self.sizes), "for 100 more", "off the line", str(PLANNED.gateways)]
        return [f"| {' | '.join(cells)} |", "|" + "---|" * len(cells)]

    def times(self) -> list[str]:
        lines = self._head("step", "milliseconds until")
        for step in dict.fromkeys(row["step"] for row in self.rows if not row["step"].startswith("piece")):
            for figure in TIMES:
                points = self.points(step, lambda row, figure=figure: row.get(figure))  # type: ignore[misc]
                if points:
                    lines.append(f"| {step} | {figure.removesuffix('_ms')} | {' | '.join(self._cells(points))} |")
        return lines

    def failed(self) -> list[str]:
        return [
            f"- {row['gateways']} gateways, {row['backends']:,} backends, a beat each {row['beat_s']:g} s, "
            f"`{row['step']}`{' of ' + row['code'] if 'code' in row else ''}: {row['failed']}"
            for row in self.rows
            if "failed" in row
        ]

    def event(self, step: str) -> list[str]:
        lines = self._head("role", "figure")
        for role in ROLES:
            for figure, unit in FIGURES.items():
                points = self.role(step, role, figure)
                if points:
                    lines.append(f"| {role} | {unit} | {' | '.join(self._cells(points))} |")
        return lines if len(lines) > 2 else ["not measured"]

    def kinds(self) -> list[str]:
        """Of roles that share a process with others."""
        lines = self._head("role, bytes/s out by kind, an ordinary minute")
        for name, (role, kind) in KINDS.items():
            points = self.points(
                "steady",
                lambda row, role=role, kind=kind: row.get("roles", {})  # type: ignore[misc]
                .get(role, {})
                .get("sent_by_kind", {})
                .get(kind),
            )
            lines.append(f"| {name} | {' | '.join(self._cells(points))} |")
        return lines

    def pieces(self) -> list[str]:
        lines = [
            line.replace(self._size(size), str(size))
            for size in self.sizes[-1:]
            for line in self._head("piece, milliseconds of a core")
        ]
        for step in dict.fromkeys(row["step"] for row in self.rows if row["step"].startswith("piece")):
            points = self.points(step, lambda row: row["ms"])
            lines.append(f"| {step.removeprefix('piece: ')} | {' | '.join(self._cells(points))} |")
        return lines

    # ---- against the limits

    def piece(self, name: str) -> float | None:
        found = self.planned(self.points(f"piece: {name}", lambda row: row["ms"]))
        return found[0] if found else None

    def per_beat(self) -> Line | None:
        """Per cent of a core of a primary against beats a second."""
        points = []
        for row in self.step("steady").values():
            cpu = row.get("roles", {}).get("primary", {}).get("cpu_percent")
            if cpu is not None:
                points.append((row["beats"]["counts"].get("Heartbeat", 0) / row["seconds"], cpu))
        return line(points)

    def per_call(self) -> float | None:
        """Milliseconds of a core of one counter's call, asker's and counter's side together, in a fleet where few
        come at once: the mean over sizes of what the gateways spend more with calls than without."""
        quiet, busy = dict(self.role("steady", "hollow", "cpu_percent")), self.role("calls", "hollow", "cpu_percent")
        rows, found = self.step("calls"), []
        for size, cpu in busy:
            row = rows[int(size)]
            rate = (row["calls"]["counted"] + row["calls"]["uncounted"]) / row["seconds"]
            if size in quiet and rate:
                found.append((cpu - quiet[size]) / 100 * row["roles"]["hollow"]["machines"] / rate * 1e3)
        return fmean(found) if len(found) >= 3 else None

    def limits(self) -> list[str]:
        lines = ["| what | today's code at the planned size | limit | | from |", "|---|---|---|---|---|"]

        def add(what: str, value: float | None, unit: str, limit: float | None, source: str) -> None:
            told = "not measured" if value is None else f"{number(value)} {unit}"
            over = "" if value is None or limit is None else "**over**" if value > limit else "within"
            given = "none given" if limit is None else f"{number(limit)} {unit}"
            lines.append(f"| {what} | {told} | {given} | {over} | {source} |")

        def seen(step: str, role: str, figure: str) -> float | None:
            found = self.planned(self.role(step, role, figure))
            return found[0] if found else None

        beats = PLANNED.backends / BEAT
        per_beat, per_call = self.per_beat(), self.per_call()
        add(
            "taker of beats: 2,933 beats a second at one primary",
            per_beat.at(beats) if per_beat else None,
            "% of a core",
            100,
            "primary's processor against beats, `steady`",
        )
        each = REQUESTS / 4
        add(
            "counter: one of four duties, 51,000 calls a second, one a turn",
            each * per_call / 20 if per_call else None,
            "% of a core",
            CORE,
            "half of a call's cost, `calls` less `steady`",
        )
        call = self.piece("a counter's call, both sides")
        add(
            "the same where its calls come packed",
            each * call / 20 if call else None,
            "% of a core",
            CORE,
            "piece `a counter's call`",
        )
        for cost, name in ((per_call, "one a turn of the loop"), (call, "packed")):
            add(
                f"duties for 51,000 calls a second at {CORE} % of a core each, calls {name}",
                REQUESTS * cost / 20 / CORE if cost else None,
                "duties",
                4,
                "the same; today there are four",
            )
        pick = self.piece("a board's pick and end")
        add(
            "keeper of a quarter of the boards: decisions alone",
            each * pick / 10 if pick else None,
            "% of a core",
            CORE,
            "piece `a board's pick`, no messages",
        )
        config = max((row.get("config_bytes", 0) for row in self.rows), default=0)
        daily = CHANGES * config / 86_400
        add(
            "relay: 300 changes a day as whole texts, to four below",
            FAN_OUT * daily or None,
            "bytes/s",
            BYTES,
            "bytes of a configuration",
        )
        add("any gateway: the same, received", daily or None, "bytes/s", BYTES, "bytes of a configuration")
        add(
            "primary: the same, to the first of each zone",
            ZONES * daily or None,
            "bytes/s",
            None,
            "bytes of a configuration",
        )
        for step, what in (("change", "one change"), ("changes", "ten in a row, from the first one's sending")):
            last = self.planned(self.points(step, lambda row: row["last_ms"]))
            add(f"{what}: the last hollow gateway", last[0] if last else None, "ms", WITHIN, f"`{step}`")
        lay, coded = self.piece("a configuration laid out"), self.piece("a frame of a configuration encoded")
        deep = 4  # 59 gateways of a zone, four below each: 1 + 4 + 16 + 38
        add(
            "one change through four real relays, their processors alone",
            deep * (lay + FAN_OUT * coded) if lay and coded else None,
            "ms",
            WITHIN,
            "pieces: laid out, then passed on",
        )
        for role, name in (("sluice", "a real gateway"), ("hollow", "the mean hollow gateway")):
            add(f"{name}, an ordinary minute", seen("steady", role, "cpu_percent"), "% of a core", CORE, "`steady`")
        add("a relay, an ordinary minute, out", seen("steady", "relay", "most_bytes_s"), "bytes/s", BYTES, "`steady`")
        add(
            "who holds duties, an ordinary minute, out",
            seen("steady", "counter", "most_bytes_s"),
            "bytes/s",
            BYTES,
            "`steady`",
        )
        digests = self.piece("digests of the table")
        add(
            "relay: digests, its own and of four below, each 5 s",
            (1 + FAN_OUT) * digests / 50 if digests else None,
            "% of a core",
            CORE,
            "piece `digests of the table`",
        )
        add(
            "a real gateway's peak memory",
            max(
                (row["roles"]["sluice"]["most_mb"] for row in self.rows if "sluice" in row.get("roles", {})),
                default=None,
            ),
            "MB",
            MEMORY,
            "the most of any step and size, also of those that came to no end",
        )
        state = max((row.get("state_bytes", 0) for row in self.rows), default=0)
        add(
            "all begin at once: the whole state from the primary to each",
            PLANNED.gateways * state / 1e6 or None,
            "MB",
            None,
            "bytes of the whole state",
        )
        encoded = self.piece("the whole state encoded")
        add(
            "the same: the primary's processor without a heartbeat between",
            PLANNED.gateways * encoded if encoded else None,
            "ms",
            900,
            "piece `the whole state encoded`, against the core's 0.9 s of silence",
        )
        look = self.piece("backends looked through for an address")
        add(
            "all backends begin: looking for equal addresses",
            PLANNED.backends * look / 2 / 1e3 if look else None,
            "s of a core",
            BEAT,
            "piece, half of the list at the mean, against one beat",
        )
        news = self.piece("one backend's news at a gateway")
        add(
            "the same: each gateway's processor for the news",
            PLANNED.backends * news / 1e3 if news else None,
            "s of a core",
            BEAT,
            "piece `one backend's news`",
        )
        return lines

    # ---- availability

    def availability(self) -> list[str]:
        """A year's sum from the stated rates; a wait is from the primary's kill to the next acknowledgement."""
        waits = self.planned(self.points("primary", lambda row: row["ack_ms"]))
        if waits is None:
            return ["not measured: no acknowledgement after a takeover at three sizes"]
        wait, machines = waits[0] / 1e3, PLANNED.gateways + PLANNED.backends + CORES
        share = CORES / machines / 2  # a machine is primary or backup
        events = {
            "a machine fails": FAILURES * 365 * share,
            "a machine is restarted": RESTARTS * 365 * share,
            "a rack or switch goes": RACKS * RACK * share,
            "a zone goes": ZONE_LOSSES * CORES / ZONES / 2,
            "regions part, on the larger side": float(CUTS),
        }
        lines = ["| event | a year, at the primary or its backup | changes wait, minutes a year |", "|---|---|---|"]
        lines += [f"| {what} | {number(many)} | {number(many * wait / 60)} |" for what, many in events.items()]
        total = sum(events.values()) * wait / 60
        lines.append(f"| **all, where most witnesses are** | {number(sum(events.values()))} | {number(total)} |")
        cut = CUTS * CUT / 60
        lines.append(f"| regions part, on the smaller side | {CUTS} | {number(cut)} |")
        gateways = FAILURES * PLANNED.gateways / machines * UNSEEN / 86_400 / PLANNED.gateways
        zones = ZONE_LOSSES / ZONES * UNSEEN / YEAR
        quotas = CUTS * (CUT - 8) / 2 / YEAR
        return [
            *lines,
            "",
            f"Each wait is {number(wait)} s ({waits[1]}). Of {CHANGES} changes a day "
            f"{number(total * CHANGES / 1440)} a year meet one on the larger side and "
            f"{number(cut * CHANGES / 1440)} on the smaller. Requests go on without changes; of them a part of "
            f"{gateways:.1e} meets a gateway that just ended, {zones:.1e} a zone that did, and {quotas:.1e} have "
            "quotas on the smaller side of a cut after its first 8 s, where none pass.",
        ]


def page(rows: list[Row]) -> str:
    """All tables, as they stand in the page."""
    found = Found(rows)
    lines = ["### What came to no end", "", *(found.failed() or ["Nothing."]), "", "### Times", "", *found.times(), ""]
    for step, title in EVENTS.items():
        lines += [f"### {title}", "", *found.event(step), ""]
    lines += ["### Roles that share a process", "", *found.kinds(), ""]
    lines += [
        "### Pieces",
        "",
        *found.pieces(),
        "",
        "### Against the limits",
        "",
        *found.limits(),
        "",
        "### Availability",
        "",
        *found.availability(),
    ]
    return "\n".join(lines)
