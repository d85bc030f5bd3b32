"""Prints tables and draws plots of days on which a zone fails, from the reports and logs of bench runs."""

from __future__ import annotations

import argparse
import json
import re
from collections import defaultdict
from pathlib import Path
from statistics import median

FLOW_LINE = re.compile(r"^\s*(-?[0-9.]+) (\S+) .*event=flow service=(\S+) refused=\d+ (.*)$")
FLOW_FIELD = re.compile(r"(\S+)=([0-9.]+)/([0-9.]+)")
FAILURE_AT_S = 12.0  # as in the files of the days


def read_flows(log: Path) -> dict[tuple[str, str], list[tuple[float, float, float]]]:
    """Returns, by service and place, the times with the slots of work admitted since the last line and the limit."""
    flows_by_place: dict[tuple[str, str], list[tuple[float, float, float]]] = defaultdict(list)
    for line in log.read_text(errors="replace").splitlines():
        if match := FLOW_LINE.match(line):
            for place, admitted, limit in FLOW_FIELD.findall(match[4]):
                flows_by_place[match[3], place].append((float(match[1]), float(admitted), float(limit)))
    return flows_by_place


def seconds_until_excluded(log: Path) -> float | None:
    """Returns the seconds from the failure until the failed place was excluded for every service, as logged first."""
    first_exclusion: dict[str, float] = {}
    for line in log.read_text(errors="replace").splitlines():
        match = re.match(r"^\s*(-?[0-9.]+) .*event=place service=(\S+) place=\S+ flow=out ", line)
        if match and float(match[1]) > FAILURE_AT_S:
            first_exclusion.setdefault(match[2], float(match[1]) - FAILURE_AT_S)
    return max(first_exclusion.values(), default=None)


def print_table(folder: Path) -> None:
    """Prints a Markdown table of the runs in a folder, with and without failover (on, off)."""
    runs_by_day: dict[tuple[str, str], dict[str, list[dict[str, object]]]] = defaultdict(lambda: defaultdict(list))
    exclusion_times: dict[tuple[str, str], list[float]] = defaultdict(list)
    for report in sorted(folder.glob("*.json")):
        site, day, _, mode = report.stem.split("-")
        runs_by_day[site, day][mode].append(json.loads(report.read_text()))
        if mode == "on" and (seconds := seconds_until_excluded(report.with_suffix(".txt"))) is not None:
            exclusion_times[site, day].append(seconds)
    print("| day | seeds | worth, off | worth, on | served in worth, off | on | refused, off | on | out after |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for (site, day), runs_by_mode in sorted(runs_by_day.items()):
        cells = [f"`{site}-{day}`", f"{len(runs_by_mode['off'])}, {len(runs_by_mode['on'])}"]
        for name in ("G", "served", "refused"):
            for mode in ("off", "on"):
                cells.append(
                    f"{median(float(str(run[name])) for run in runs_by_mode[mode]):.3f}" if runs_by_mode[mode] else "-"
                )
        times = exclusion_times.get((site, day))
        cells.append(f"{median(times):.1f} s" if times else "-")
        broken_runs = sum(bool(run["breaks"]) for runs in runs_by_mode.values() for run in runs)
        print("| " + " | ".join(cells) + " |" + (f" rules broken in {broken_runs}" if broken_runs else ""))


def plot_flows(log: Path, output_path: Path) -> None:
    """Plots the admitted work and the limits of a run as SVG."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams |= {"svg.hashsalt": "oakvale", "svg.fonttype": "none"}
    from matplotlib import pyplot

    flows_by_place = read_flows(log)
    services = sorted({service for service, _ in flows_by_place})
    figure, axes = pyplot.subplots(len(services), 1, figsize=(8, 2.4 * len(services)), sharex=True, squeeze=False)
    for axis, service in zip(axes[:, 0], services, strict=True):
        for place in sorted({place for name, place in flows_by_place if name == service}):
            points = flows_by_place[service, place]
            line = axis.step(
                [at for at, _, _ in points], [admitted for _, admitted, _ in points], where="pre", label=place
            )[0]
            axis.plot([at for at, _, _ in points], [limit for _, _, limit in points], "--", color=line.get_color())
        axis.axvspan(FAILURE_AT_S, FAILURE_AT_S + 6, color="0.9")
        axis.set_ylabel(f"{service}\nslots")
        axis.legend(fontsize="x-small", loc="upper right")
    axes[-1, 0].set_xlabel("seconds; grey: the backends of the zone do not respond; dashed: limits while load moves")
    axes[-1, 0].set_xlim(4, 30)
    figure.tight_layout()
    figure.savefig(output_path, metadata={"Date": None})


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    commands = parser.add_subparsers(dest="what", required=True)
    commands.add_parser("table").add_argument("folder", type=Path)
    plot_parser = commands.add_parser("plot")
    plot_parser.add_argument("log", type=Path)
    plot_parser.add_argument("out", type=Path)
    args = parser.parse_args()
    if args.what == "table":
        print_table(args.folder)
    else:
        plot_flows(args.log, args.out)


if __name__ == "__main__":
    main()
