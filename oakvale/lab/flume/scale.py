"""How the system's cost grows with its gateways: one world of each size, in simulated time. `python -m
oakvale.lab.flume.scale SIZE...` prints a row of JSON for each.

Thirty seconds: all start at once; then they beat in peace, ask the counters, learn a new configuration; then half of
the gateways are killed at the same moment. What is measured is read from outside: bytes on the wires, frames by kind,
what processes note, and what each gateway knows at a time.
"""

from __future__ import annotations

import argparse
import json
import resource
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any

from oakvale.lab.flume.works import CTL, Layout, Station, Works
from oakvale.lab.models.ways import ask
from oakvale.mains import links

MS, SECOND = 1_000, 1_000_000
ZONES = ("east", "west", "north", "south")
CORES = 3
LOOK = 100 * MS  # between two looks at what the gateways know
PEACE, CALLS, CHANGE, KILL, END = 10, 12, 16, 20, 30  # seconds from the start at which each part begins
TENANTS = 16
RATE = 400  # calls a second, of all gateways together
SHARE = 0.5  # of the gateways are killed


def configuration(gen: int) -> bytes:
    return json.dumps(
        {
            "gen": gen,
            "limits": {"hdr-bytes": 16384, "body-bytes": 65536, "hdr": "3000ms", "idle": "15000ms"},
            "routes": {
                "cols": ["name", "vhost", "prefix", "type", "deadline", "target_time", "tries", "svc"],
                "rows": [["read", "a.example", f"/read{gen}/", "safe", "1200ms", "300ms", 2, "alpha"]],
            },
            "svcs": {"cols": ["name", "hcheck"], "rows": [["alpha", "/healthz"]]},
            "tenants": {
                "cols": ["name", "apikeys", "rate-per-s", "burst"],
                "rows": [[f"tenant-{n}", [f"key-{n}"], 100_000, 100_000] for n in range(TENANTS)],
            },
        }
    ).encode()


def quantile(found: list[int], share: float) -> int:
    return sorted(found)[min(len(found) - 1, int(share * len(found)))] if found else -1


class Frames:
    """Frames and their bytes by kind; an answer counts as its kind's."""

    def __init__(self) -> None:
        self.count: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()

    def __call__(self, kind: str, number: int, body: Any) -> bytes:
        data: bytes = self._encode(kind, number, body)
        name = kind or "answers"
        self.count[name] += 1
        self.bytes[name] += len(data)
        return data

    @contextmanager
    def counted(self) -> Iterator[None]:
        module: Any = links
        self._encode = module.encode
        module.encode = self
        try:
            yield
        finally:
            module.encode = self._encode

    def taken(self) -> tuple[Counter[str], Counter[str]]:
        found = self.count, self.bytes
        self.count, self.bytes = Counter(), Counter()
        return found


class Scale:
    def __init__(self, size: int, seed: int = 1) -> None:
        self.size = size
        layout = Layout(
            tuple((f"edge-{n}", ZONES[n % len(ZONES)]) for n in range(size)),
            tuple((f"core-{n}", ZONES[n]) for n in range(CORES)),
            memory_mb=600,
        )
        self.learned: dict[int, list[int]] = {}  # gen -> when gateways came to know it
        self.works = Works(layout, seed, noted=self._noted)
        self.waits: list[int] = []
        self.uncounted = 0
        self.row: dict[str, Any] = {"gateways": size}
        self._frames = Frames()
        self._lives: dict[str, str] = {}  # gateway -> its present life
        self._right: dict[str, Any] = {}  # gateway -> its list, once that was found to be right

    def _noted(self, at: int, machine: str, level: str, event: str, fields: Mapping[str, Any]) -> None:
        if event == "configuration" and machine.startswith("edge"):
            self.learned.setdefault(int(fields["gen"]), []).append(at)

    def _knows(self, station: Station) -> bool:
        """It is up, has fresh news, and its list holds the present life of every gateway that is up."""
        if not station.up or station.process is None or station.process.works is None:
            return False
        sluice = station.process.works.sluice
        listed = sluice.plant.picture.members
        if self._right.get(station.name) is not listed:
            if {node: member.life for node, member in listed.items()} != self._lives:
                return False
            self._right[station.name] = listed
        return bool(sluice.feed.fresh())

    def whole(self) -> bool:
        if not all(station.up for station in self.works.edges):
            return False
        lives = {s.name: s.process.works.sluice.life for s in self.works.edges if s.process}
        if lives != self._lives:
            self._lives = lives
            self._right.clear()
        return all(self._knows(station) for station in self.works.edges)

    def held(self) -> int:
        return sum(len(s.process.works.sluice.gauge.held()) for s in self.works.edges if s.up and s.process)

    def _until(self, end: int, so: Callable[[], bool]) -> int:
        """Runs to the end; milliseconds until it was so and stayed so, -1: it is not."""
        began = self.works.events.now
        since = -1
        while self.works.events.now < end:
            self.works.run_for(LOOK)
            since = (since if since >= 0 else (self.works.events.now - began) // MS) if so() else -1
        return since

    def _order(self, gen: int) -> None:
        """To the primary, whoever that is."""
        primary = next((s for s in self.works.cores if s.up and s.process and s.process.works.core.serving()), None)
        if primary is not None:
            host = self.works.host(f"operator-{gen}", ZONES[0])
            assert host.loop is not None
            ask(
                host.loop,
                (primary.machine.ip, CTL),
                "POST",
                "/oakvale/Config.Replace",
                configuration(gen),
                5 * SECOND,
                lambda reply: self.row.__setitem__(f"acked_{gen}", reply.status if reply else 0),
            )

    def _call(self, number: int) -> None:
        """One gateway after the other asks whether a tenant's request passes."""
        station = self.works.edges[number % self.size]
        if station.up and station.process is not None:
            gauge, began = station.process.works.sluice.gauge, [0]

            def told(passes: bool, wait: int, counted: bool) -> None:
                self.waits.append(gauge.loop.now - began[0])
                self.uncounted += not counted

            def asks() -> None:
                began[0] = gauge.loop.now
                gauge.ask(f"tenant-{number % TENANTS}", False, told)

            station.process.post(asks)

    def _calls(self, begin: int, end: int) -> None:
        for number in range((end - begin) * RATE // SECOND):
            self.works.events.at(begin + number * SECOND // RATE, self._call, number)

    def _cost(self) -> tuple[int, int, int]:
        wires = self.works.wires
        return wires.segments, wires.bytes, round(sum(s.process.used for s in self.works.edges if s.process))

    def play(self) -> dict[str, Any]:
        with self._frames.counted():
            return self._play()

    def _play(self) -> dict[str, Any]:
        works, row, cpu = self.works, self.row, time.process_time
        start, began = works.events.now, cpu()
        second = [start + n * SECOND for n in range(END + 1)]
        works.begin()
        row["whole_after_start_ms"] = self._until(second[PEACE - 2], self.whole)
        self._order(1)
        works.run(second[PEACE])
        row["start_cpu_s"] = round(cpu() - began, 1)
        self._frames.taken()
        segments, size, used = self._cost()
        works.run(second[CALLS])
        count, data = self._frames.taken()
        span = CALLS - PEACE
        after = self._cost()
        row |= {
            "peace_frames_per_gateway_s": round(sum(count.values()) / span / self.size, 1),
            "peace_bytes_per_gateway_s": round((after[1] - size) / span / self.size),
            "peace_modelled_cpu_percent": round((after[2] - used) / span / self.size / 1e4, 2),
            "peace_by_kind": {
                kind: [round(n / span / self.size, 2), round(data[kind] / span / self.size)]
                for kind, n in count.most_common(8)
            },
        }
        self._calls(second[CALLS], second[CHANGE] - SECOND)
        works.run(second[CHANGE])
        row |= {
            "calls": len(self.waits),
            "calls_uncounted": self.uncounted,
            "call_p50_ms": quantile(self.waits, 0.5) / MS,
            "call_p99_ms": quantile(self.waits, 0.99) / MS,
        }
        self._frames.taken()
        self._order(2)
        works.run(second[KILL])
        spread = [at - second[CHANGE] for at in self.learned.get(2, [])]
        row |= {
            "spread_reached": len(spread),
            "spread_p50_ms": quantile(spread, 0.5) / MS,
            "spread_p99_ms": quantile(spread, 0.99) / MS,
            "spread_max_ms": quantile(spread, 1.0) / MS,
        }
        self._frames.taken()
        self.waits, self.uncounted = [], 0
        segments, size, _ = self._cost()
        for station in works.rng.sample(works.edges, round(SHARE * self.size)):
            station.kill()
        self._calls(second[KILL], second[END])
        row["whole_after_kill_ms"] = self._until(second[END], self.whole)
        row |= {
            "duties_held_at_end": self.held(),
            "kill_calls": len(self.waits),
            "kill_uncounted": self.uncounted,
            "kill_bytes_per_gateway": round((self._cost()[1] - size) / self.size),
            "cpu_s": round(cpu() - began, 1),
            "events": works.events.done,
            "segments": works.wires.segments,
            "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
            "faults": len(works.faults),
        }
        return row


PLOTS = (
    ("peace_bytes_per_gateway_s", "bytes a second of a gateway in peace"),
    ("spread_max_ms", "ms until the last gateway knows a change"),
    ("call_p99_ms", "ms of a counter's call, 99th of 100"),
    ("whole_after_kill_ms", "ms until all know all, half killed"),
    ("start_cpu_s", "s of one core to simulate the first 10 s"),
    ("cpu_s", "s of one core to simulate 30 s"),
)


def plot(rows: list[dict[str, Any]], file: str) -> None:
    """Each figure against the size, both by powers of ten."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "scale"  # the same file for the same rows
    from matplotlib import pyplot

    rows = sorted(rows, key=lambda row: int(row["gateways"]))
    figure, axes = pyplot.subplots(2, 3, figsize=(12, 6.5), layout="constrained")
    for axis, (name, title) in zip(axes.flat, PLOTS, strict=True):
        known = [(row["gateways"], row[name]) for row in rows if row[name] > 0]
        axis.plot([size for size, _ in known], [value for _, value in known], marker="o", color="#1f5f8b")
        axis.set(xscale="log", yscale="log", title=title, xlabel="gateways")
        axis.title.set_fontsize(9)
        axis.grid(True, which="both", alpha=0.25)
    figure.savefig(file, metadata={"Date": None})
    pyplot.close(figure)


def main() -> None:
    words = argparse.ArgumentParser(prog="python -m oakvale.lab.flume.scale", description=__doc__)
    words.add_argument("sizes", type=int, nargs="*", help="how many gateways")
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--plot", metavar="FILE", help="an SVG of the rows; with no sizes, of those on standard input")
    told = words.parse_args()
    import gc

    gc.set_threshold(100_000, 50, 50)  # a world's objects last
    rows = [] if told.sizes else [json.loads(line) for line in sys.stdin]
    for size in told.sizes:
        rows.append(Scale(size, told.seed).play())
        print(json.dumps(rows[-1]), flush=True)
        gc.collect()
    if told.plot:
        plot(rows, told.plot)


if __name__ == "__main__":
    main()
