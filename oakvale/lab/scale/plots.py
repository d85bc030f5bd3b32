"""The plots of docs/CAPACITY.md."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from oakvale.lab.scale.sums import BYTES, CORE, WITHIN, Found

Curve = tuple[str, str, str, str]  # step, role ("" for the row itself), figure, name
PLOTS: dict[str, tuple[str, float | None, tuple[Curve, ...]]] = {
    "capacity-change.svg": (
        "ms until a change is known",
        WITHIN,
        (
            ("change", "", "p50_ms", "one change, median"),
            ("change", "", "last_ms", "one change, last"),
            ("changes", "", "last_ms", "ten in a row, last"),
        ),
    ),
    "capacity-processor.svg": (
        "% of a core, an ordinary minute",
        CORE,
        (
            ("steady", "primary", "cpu_percent", "primary"),
            ("steady", "sluice", "cpu_percent", "real gateway"),
            ("steady", "hollow", "cpu_percent", "hollow gateway, mean"),
        ),
    ),
    "capacity-bytes.svg": (
        "bytes a second out, an ordinary minute",
        BYTES,
        (
            ("steady", "plain", "sent_bytes_s", "gateway without a role"),
            ("steady", "relay", "sent_bytes_s", "relay"),
            ("steady", "counter", "most_bytes_s", "who holds duties"),
            ("steady", "primary", "sent_bytes_s", "primary"),
        ),
    ),
}


def draw(rows: list[dict[str, Any]], folder: str) -> None:
    """Each against the number of gateways, both by powers of ten, with the operators' limit."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "capacity"  # the same file for the same rows
    from matplotlib import pyplot

    found = Found(rows)
    for name, (title, limit, curves) in PLOTS.items():
        figure, axis = pyplot.subplots(figsize=(7, 4), layout="constrained")
        for step, role, part, label in curves:
            points = found.role(step, role, part) if role else found.points(step, lambda row, part=part: row.get(part))  # type: ignore[misc]
            axis.plot([x for x, _ in points], [y for _, y in points], marker="o", label=label)
        if limit is not None:
            axis.axhline(limit, color="red", linestyle="--", linewidth=1, label="limit of a gateway")
        axis.set(xscale="log", yscale="log", xlabel="gateways", title=title)
        axis.grid(True, which="both", alpha=0.25)
        axis.legend(fontsize=8)
        figure.savefig(Path(folder) / name, metadata={"Date": None})
        pyplot.close(figure)
