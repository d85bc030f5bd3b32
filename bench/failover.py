"""Tables and pictures of the days on which a zone fails, from the reports and logs of the bench's runs."""

from __future__ import annotations

import argparse
import json
import re
from collections import defaultdict
from pathlib import Path
from statistics import median

LINE = re.compile(r"^\s*(-?[0-9.]+) (\S+) .*event=flow service=(\S+) refused=\d+ (.*)$")
FLOW = re.compile(r"(\S+)=([0-9.]+)/([0-9.]+)")
FAILED = 12.0  # seconds, of the days' files


def flows(log: Path) -> dict[tuple[str, str], list[tuple[float, float, float]]]:
    """(service, place) -> when, slots' worth of work let in since the line before, limit."""
    found: dict[tuple[str, str], list[tuple[float, float, float]]] = defaultdict(list)
    for line in log.read_text(errors="replace").splitlines():
        if match := LINE.match(line):
            for place, let, limit in FLOW.findall(match[4]):
                found[match[3], place].append((float(match[1]), float(let), float(limit)))
    return found


def settled(log: Path) -> float | None:
    """Seconds from the failure until every service's place was taken out, as the first gateway was told."""
    first: dict[str, float] = {}
    for line in log.read_text(errors="replace").splitlines():
        match = re.match(r"^\s*(-?[0-9.]+) .*event=place service=(\S+) place=\S+ flow=out ", line)
        if match and float(match[1]) > FAILED:
            first.setdefault(match[2], float(match[1]) - FAILED)
    return max(first.values(), default=None)


def table(folder: Path) -> None:
    runs: dict[tuple[str, str], dict[str, list[dict[str, object]]]] = defaultdict(lambda: defaultdict(list))
    times: dict[tuple[str, str], list[float]] = defaultdict(list)
    for report in sorted(folder.glob("*.json")):
        site, day, _, mode = report.stem.split("-")
        runs[site, day][mode].append(json.loads(report.read_text()))
        if mode == "on" and (took := settled(report.with_suffix(".txt"))) is not None:
            times[site, day].append(took)
    print("| day | seeds | worth, off | worth, on | served in worth, off | on | refused, off | on | out after |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for (site, day), modes in sorted(runs.items()):
        cells = [f"`{site}-{day}`", f"{len(modes['off'])}, {len(modes['on'])}"]
        for name in ("G", "served", "refused"):
            for mode in ("off", "on"):
                cells.append(f"{median(float(str(run[name])) for run in modes[mode]):.3f}" if modes[mode] else "-")
        took = times.get((site, day))
        cells.append(f"{median(took):.1f} s" if took else "-")
        broken = sum(bool(run["breaks"]) for found in modes.values() for run in found)
        print("| " + " | ".join(cells) + " |" + (f" rules broken in {broken}" if broken else ""))


def plot(log: Path, out: Path) -> None:
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams |= {"svg.hashsalt": "oakvale", "svg.fonttype": "none"}
    from matplotlib import pyplot

    found = flows(log)
    services = sorted({service for service, _ in found})
    figure, axes = pyplot.subplots(len(services), 1, figsize=(8, 2.4 * len(services)), sharex=True, squeeze=False)
    for axis, service in zip(axes[:, 0], services, strict=True):
        for place in sorted({place for name, place in found if name == service}):
            points = found[service, place]
            line = axis.step([at for at, _, _ in points], [let for _, let, _ in points], where="pre", label=place)[0]
            axis.plot([at for at, _, _ in points], [limit for _, _, limit in points], "--", color=line.get_color())
        axis.axvspan(FAILED, FAILED + 6, color="0.9")
        axis.set_ylabel(f"{service}\nslots")
        axis.legend(fontsize="x-small", loc="upper right")
    axes[-1, 0].set_xlabel("seconds; grey: the zone's backends are silent; dashed: limits while load moves")
    axes[-1, 0].set_xlim(4, 30)
    figure.tight_layout()
    figure.savefig(out, metadata={"Date": None})


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    commands = parser.add_subparsers(dest="what", required=True)
    commands.add_parser("table").add_argument("folder", type=Path)
    picture = commands.add_parser("plot")
    picture.add_argument("log", type=Path)
    picture.add_argument("out", type=Path)
    args = parser.parse_args()
    if args.what == "table":
        table(args.folder)
    else:
        plot(args.log, args.out)


if __name__ == "__main__":
    main()
