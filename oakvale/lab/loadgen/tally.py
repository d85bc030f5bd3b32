"""What a load run measured: latencies in HDR histograms, statuses and failures; as text and as JSON.

Latency runs from the moment a request was due, so that one which had to wait for a slow answer before it is not made
to look quick. A request that ran into its time limit enters with the limit, as it took that long at least; one whose
connection failed is counted and has no latency.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

LONGEST = 3_600_000_000  # microseconds; three digits are kept
QUANTILES = (50.0, 75.0, 90.0, 99.0, 99.9, 99.99)


def histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST, 3)


@dataclass
class Tally:
    due: int = 0  # requests whose moment came
    latency: Any = field(default_factory=histogram)  # from the due moment
    service: Any = field(default_factory=histogram)  # from the sending
    late: Any = field(default_factory=histogram)  # how late the tool itself sent: a connection was free, it was not
    statuses: Counter[int] = field(default_factory=Counter)
    failures: Counter[str] = field(default_factory=Counter)
    received: int = 0  # bytes of bodies
    connections: int = 0  # opened
    elapsed: int = 0  # microseconds
    partial: bool = False  # it was interrupted

    def answered(self, status: int, latency: int, service: int, size: int) -> None:
        self.statuses[status] += 1
        self.received += size
        self.latency.record_value(_in(latency))
        self.service.record_value(_in(service))

    def failed(self, why: str, waited: int | None = None) -> None:
        self.failures[why] += 1
        if waited is not None:
            self.latency.record_value(_in(waited))

    def sent(self, late: int) -> None:
        self.late.record_value(_in(late))

    def done(self) -> int:
        return sum(self.statuses.values()) + sum(self.failures.values())

    def told(self) -> dict[str, Any]:
        """All of it, for JSON: times in microseconds, the histograms in the HDR format for merging."""
        return {
            "partial": self.partial,
            "elapsed_us": self.elapsed,
            "due": self.due,
            "answered": sum(self.statuses.values()),
            "unfinished": self.due - self.done(),
            "answered_per_s": round(sum(self.statuses.values()) * 1e6 / max(1, self.elapsed), 2),
            "statuses": {str(status): many for status, many in sorted(self.statuses.items())},
            "failures": dict(sorted(self.failures.items())),
            "received_bytes": self.received,
            "connections": self.connections,
            "latency_us": _spread(self.latency),
            "service_us": _spread(self.service),
            "late_us": _spread(self.late),
        }

    def lines(self) -> list[str]:
        whole = self.told()
        head = "interrupted: a partial report" if self.partial else "whole"
        lines = [
            f"{head}; {self.elapsed / 1e6:.2f} s, {self.due} requests due, {whole['answered']} answered "
            f"({whole['answered_per_s']:g} a second), {whole['unfinished']} unfinished, "
            f"{self.connections} connections, {self.received} bytes of bodies"
        ]
        lines += [f"status {status}: {many}" for status, many in whole["statuses"].items()]
        lines += [f"failed, {why}: {many}" for why, many in whole["failures"].items()]
        lines.append(f"{'ms':>10} {'from due':>12} {'from sending':>12} {'sent late':>12}")
        for name in (*(f"p{q:g}" for q in QUANTILES), "max"):
            row = (whole[part].get(name, 0) / 1000 for part in ("latency_us", "service_us", "late_us"))
            lines.append(f"{name:>10} " + " ".join(f"{value:12.3f}" for value in row))
        return lines


def _in(value: int) -> int:
    return min(max(1, value), LONGEST)


def _spread(values: Any) -> dict[str, Any]:
    if not values.get_total_count():
        return {"count": 0}
    return {
        "count": values.get_total_count(),
        "mean": round(values.get_mean_value(), 1),
        **{f"p{q:g}": int(values.get_value_at_percentile(q)) for q in QUANTILES},
        "max": int(values.get_max_value()),
        "hdr": values.encode().decode(),
    }
