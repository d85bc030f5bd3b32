"""Runs days on the bench with fixed seeds, and compares the results of two source trees.

    hardening.py play --bench FLEETBENCH --out DIR --sites SITE... --days DAY... [--seeds N...] [--at-once N]
    hardening.py table BEFORE AFTER

`play` runs `fleetbench run SITE DAY --no-cpu --seed N --report FILE` in the current directory, which selects the source
tree, and writes the report and output of each run to DIR as SITE-DAY-SEED.json and .log. A run whose report exists is
not repeated. DAY is the name of a standard day or a TOML file. A bench that lists fewer kinds or variants of faults
than the newest known one is rejected, unless `--older-bench` is given.

Both commands print a table with the worth that the bench reports, broken rules and their counts, missed duties and
errors of the run; a run without a report is marked. The exit code is 1 if a run broke a rule, missed a duty or has no
report, or (`table`) if the mean worth of a day over its seeds fell by more than `--within`.
"""

import argparse
import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ABANDONED_WORK_LABEL = "worth worked on after its client had left"  # label of this price in the reports of the bench

NEWEST_BENCH_VARIANTS = {
    "core_cut": ("split", "behind", "near", "oldest", "lure", "relieve"),
    "after_ack_kill": ("timed", "taken", "gone"),
    "after_ack_wipe": ("oldest",),
    "replace_core": ("oldest", "planned"),
    "garble": ("unframed", "early"),
    "scale_in": ("spot", "reclaim"),
    "give_up": (),
    "retry_abuse": (),
    "disk_stall": (),
    "ack_lost": (),
}
"""Kinds of faults and their variants that only the newest bench lists; it reports no version."""


def missing_kinds(listed: str) -> list[str]:
    """Returns the kinds and variants of the newest bench that are missing in the output of `kinds`."""
    found = {line.partition(":")[0]: line for line in listed.splitlines() if ":" in line}
    missing = [kind for kind in NEWEST_BENCH_VARIANTS if kind not in found]
    return missing + [
        f"{kind} {word}"
        for kind, words in NEWEST_BENCH_VARIANTS.items()
        if kind in found
        for word in words
        if word not in found[kind]
    ]


@dataclass(frozen=True)
class DayRun:
    """One run of a day on a site with a seed; `worth` is None if the bench wrote no report.

    `abandoned` is the worth of the work that backends did for clients that had disconnected; 0 if the bench does not
    count it.
    """

    name: str
    worth: float | None
    broken_rules: dict[str, Any]
    duties: float
    missed: list[Any]
    fault: str | None
    abandoned: float = 0.0

    @property
    def is_clean(self) -> bool:
        """Tells whether the run has a report, broke no rule, missed no duty and had no error."""
        return self.worth is not None and not self.broken_rules and not self.fault and self.duties < 0.5

    def describe(self) -> str:
        """Summarizes what went wrong in the run; `-` if nothing did."""
        if self.worth is None:
            return "no report"
        parts = [f"{rule} {count}" for rule, count in self.broken_rules.items()]
        parts += [f"duties {self.duties:g}"] if self.duties >= 0.5 else []
        parts += [f"fault: {self.fault}"] if self.fault else []
        parts += [f"abandoned {self.abandoned:g}"] if self.abandoned else []
        parts += [f"missed: {self.missed}"] if self.missed else []
        return "; ".join(parts) or "-"


def load_run(path: Path) -> DayRun:
    """Returns the run of a report file, which may not exist."""
    try:
        report = json.loads(path.read_text())
    except (OSError, ValueError):
        return DayRun(path.stem, None, {}, 0.0, [], None)
    amounts = {label: amount for label, amount, _ in report["prices"]}
    duties, abandoned = amounts.get("duties missed", 0.0), amounts.get(ABANDONED_WORK_LABEL, 0.0)
    return DayRun(path.stem, report["G"], report["breaks"], duties, report["missed"], report["fault"], abandoned)


def run_day(bench: str, site: Path, day: str, seed: int, out: Path, why: str) -> DayRun:
    """Runs a day on the bench, unless its report exists, and returns the result."""
    stem = f"{site.stem}-{Path(day).stem}-{seed}"
    report = out / f"{stem}.json"
    if not report.exists():
        command = [
            bench,
            "run",
            str(site),
            day,
            "--no-cpu",
            "--seed",
            str(seed),
            "--jobs",
            "1",
            "--report",
            str(report),
        ]
        with (out / f"{stem}.log").open("w") as log:
            subprocess.run([*command, "--why", why], stdout=log, stderr=subprocess.STDOUT, check=False)
    return load_run(report)


def print_runs(runs: list[DayRun]) -> bool:
    """Prints a line for each run; returns whether all are clean."""
    print(f"{'day':44} {'worth':>6}  broken")
    for run in runs:
        print(f"{run.name:44} {'-' if run.worth is None else format(run.worth, '.3f'):>6}  {run.describe()}")
    print(f"{len(runs)} runs, {sum(not run.is_clean for run in runs)} of them not clean")
    return all(run.is_clean for run in runs)


def print_comparison(before: Path, after: Path, max_loss: float) -> bool:
    """Prints a line for each day over the seeds that both sides ran, and notes seeds that one side lacks."""
    names = sorted({path.name for folder in (before, after) for path in folder.glob("*.json")})
    runs_by_day: dict[str, list[tuple[DayRun, DayRun]]] = {}
    for name in names:
        runs_by_day.setdefault(name.rsplit("-", 1)[0], []).append((load_run(before / name), load_run(after / name)))
    print(f"{'day':40} {'seeds':>5} {'before':>7} {'after':>7} {'change':>7} {'least':>7}  not clean before / after")
    is_acceptable = True
    for group, pairs in runs_by_day.items():
        complete = [(a, b) for a, b in pairs if a.worth is not None and b.worth is not None]
        worth_before, worth_after = ([pair[side].worth or 0.0 for pair in complete] for side in (0, 1))
        side_runs = ([pair[side] for pair in pairs if pair[side].worth is not None] for side in (0, 1))
        flawed_runs = [[run for run in side if not run.is_clean] for side in side_runs]
        if not complete:
            print(f"{group:40} {0:5}  no seed run on both sides")
            continue
        mean_before, mean_after = (sum(worths) / len(worths) for worths in (worth_before, worth_after))
        change = mean_after - mean_before
        smallest_change = min(b - a for a, b in zip(worth_before, worth_after, strict=True))
        is_acceptable = is_acceptable and not flawed_runs[1] and change >= -max_loss
        flaws = " / ".join(
            "; ".join(f"{run.name.rsplit('-')[-1]}: {run.describe()}" for run in side) or "0" for side in flawed_runs
        )
        means = f"{mean_before:7.3f} {mean_after:7.3f} {change:+7.3f} {smallest_change:+7.3f}"
        incomplete_note = "" if len(complete) == len(pairs) else f" ({len(pairs) - len(complete)} on one side only)"
        print(f"{group:40} {len(complete):5} {means}  {flaws}{incomplete_note}")
    return is_acceptable


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    commands = parser.add_subparsers(dest="verb", required=True)
    play = commands.add_parser("play", help="run days and print a table of them")
    play.add_argument("--bench", required=True, help="path of fleetbench")
    play.add_argument("--out", type=Path, required=True)
    play.add_argument("--sites", type=Path, nargs="+", required=True)
    play.add_argument("--days", nargs="+", required=True)
    play.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3, 4, 5])
    play.add_argument("--at-once", type=int, default=4, help="runs at the same time")
    play.add_argument("--why", default="own days of the hardening")
    play.add_argument("--older-bench", action="store_true", help="also run on a bench that lists less than the newest")
    table = commands.add_parser("table", help="compare two sets of runs")
    table.add_argument("before", type=Path)
    table.add_argument("after", type=Path)
    table.add_argument(
        "--within", type=float, default=0.02, help="allowed loss of the mean worth of a day over its seeds"
    )
    options = parser.parse_args(arguments)
    if options.verb == "table":
        return 0 if print_comparison(options.before, options.after, options.within) else 1
    listed = subprocess.run(
        [options.bench, "kinds", str(options.sites[0])], capture_output=True, text=True, check=False
    ).stdout
    missing = missing_kinds(listed)
    print(f"bench {options.bench}: lists {'all kinds of the newest' if not missing else 'no ' + ', '.join(missing)}")
    if missing and not options.older_bench:
        print("this is an older bench: use --older-bench to run on it anyway", file=sys.stderr)
        return 2
    options.out.mkdir(parents=True, exist_ok=True)
    requests = [(site, day, seed) for site in options.sites for day in options.days for seed in options.seeds]
    with ThreadPoolExecutor(options.at_once) as pool:
        runs = list(pool.map(lambda request: run_day(options.bench, *request, options.out, options.why), requests))
    return 0 if print_runs(runs) else 1


if __name__ == "__main__":
    sys.exit(main())
