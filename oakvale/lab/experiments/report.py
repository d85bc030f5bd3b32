"""An experiment's report as Markdown: what was compared, the word for each variant and day, the figures behind it."""

from __future__ import annotations

from oakvale.lab.experiments.findings import MEASURES, Row
from oakvale.lab.experiments.outcome import Outcome
from oakvale.lab.experiments.spec import Experiment
from oakvale.lab.experiments.statistics import FEWEST, Compared, Median


def markdown(experiment: Experiment, found: list[Row], outcomes: list[Outcome], wanted: int) -> str:
    base = experiment.variants[0].name
    lines = [f"# Experiment {experiment.name}", ""]
    if len(outcomes) < wanted:
        lines += [f"**Interrupted: {len(outcomes)} of {wanted} runs; what follows is of these alone.**", ""]
    if experiment.why:
        lines += [experiment.why, ""]
    lines += [
        f"{len(experiment.variants)} variants, {len(experiment.days)} days, {experiment.seeds} seeds from "
        f"{experiment.first_seed}; differences from `{base}`, paired by seed, with their median and its "
        f"{experiment.confidence:.0%} interval (bootstrap). A day that breaks a rule scores 0. "
        f"Under {FEWEST} pairs all is noise.",
        "",
    ]
    for spec in experiment.variants:
        made = [f"`{name}` = {value!r}" for name, value in spec.set.items()]
        made += [f"`{name}` is `{other}`" for name, other in spec.swap.items()]
        lines.append(f"- `{spec.name}`: {'; '.join(made) or 'the code as it stands'}{spec.why and '. ' + spec.why}")
    lines += ["", "| day | variant | score | change | verdict | rules broken (runs) |", "|---|---|---|---|---|---|"]
    for row in found:
        change = row.changes.get("score")
        lines.append(
            f"| {row.day} | {row.variant} | {_median(row.medians.get('score'), 3)} | {_change(change, 3)} | "
            f"{change.word if change else '-'} | {_broken(row)} |"
        )
    lines += [
        "",
        "## All measures",
        "",
        "Less is better in times and arrivals (what reached backends, further tries with it).",
        "",
        f"| day | variant | {' | '.join(MEASURES)} |",
        f"|---|---|{'---|' * len(MEASURES)}",
    ]
    for row in found:
        cells = []
        for name in MEASURES:
            digits = 3 if name in ("score", "worth", "served") else 1
            cell = _median(row.medians.get(name), digits)
            if (other := row.changes.get(name)) is not None:
                cell += f" ({other.change.value:+.{digits}f}, {other.word})"
            cells.append(cell)
        lines.append(f"| {row.day} | {row.variant} | {' | '.join(cells)} |")
    if told := [one for one in outcomes if one.failed or one.first]:
        lines += ["", "## What broke", ""]
        for one in sorted(told, key=lambda one: (one.day, one.variant, one.seed))[:40]:
            lines.append(f"- {one.day}, {one.variant}, seed {one.seed}: {one.failed or one.first}")
        if len(told) > 40:
            lines.append(f"- and {len(told) - 40} more runs")
    lines += ["", f"{len(outcomes)} runs, {sum(one.cpu_s for one in outcomes):.0f} s of one core."]
    return "\n".join(lines) + "\n"


def _median(found: Median | None, digits: int) -> str:
    if found is None:
        return "-"
    return f"{found.value:.{digits}f} [{found.low:.{digits}f}, {found.high:.{digits}f}]"


def _change(found: Compared | None, digits: int) -> str:
    if found is None:
        return "-"
    low, high = found.change.low, found.change.high
    return f"{found.change.value:+.{digits}f} [{low:+.{digits}f}, {high:+.{digits}f}], {found.pairs} pairs"


def _broken(row: Row) -> str:
    parts = [f"{rule} {many}" for rule, many in sorted(row.broken.items())]
    return ", ".join(parts + ([f"no end {row.failed}"] if row.failed else [])) or f"none in {row.runs}"
