"""An experiment's report as one HTML page that needs nothing beside it: the tables of the Markdown and the plots."""

from __future__ import annotations

import base64
import html
import io
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib.figure import Figure  # noqa: E402

from oakvale.lab.experiments.findings import MEASURES, Row  # noqa: E402
from oakvale.lab.experiments.outcome import Outcome, Series  # noqa: E402
from oakvale.lab.experiments.spec import Experiment  # noqa: E402

STYLE = """body{font:15px/1.45 system-ui,sans-serif;max-width:74rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}td,th{border:1px solid #ccc;padding:.25rem .55rem;text-align:left}
.better{background:#d8f3dc}.worse{background:#ffd9d6}.noise{color:#777}img{max-width:100%}h2{margin-top:2.2rem}
code{background:#f3f3f3;padding:0 .2rem}"""


def page(experiment: Experiment, found: list[Row], outcomes: list[Outcome], wanted: int) -> str:
    parts = [f"<h1>Experiment {_text(experiment.name)}</h1>"]
    if len(outcomes) < wanted:
        parts.append(f"<p><b>Interrupted: {len(outcomes)} of {wanted} runs; what follows is of these alone.</b></p>")
    parts.append(f"<p>{_text(experiment.why)}</p>" if experiment.why else "")
    parts.append(_variants(experiment) + _table(found))
    parts.append(_image(_changes(found, experiment), "Change of the score against the first variant"))
    days = list(dict.fromkeys(row.day for row in found))
    for day in days:
        shown = _shown(experiment, outcomes, day)
        if not shown:
            continue
        seed = shown[0].seed
        parts.append(f"<h2>{_text(day)}, seed {seed}</h2>")
        for draw, title in (
            (_worth, "Worth over time"),
            (_arrivals, "Arrivals at each backend, a second"),
            (_news, "Spread of news: machines that had a version, by the time since it was sent"),
            (_quota, "Use of quotas, as a part of what the rule lets run"),
            (_takeovers, "Takeovers and troubles"),
        ):
            if (figure := draw(shown)) is not None:
                parts.append(_image(figure, title))
    if told := [one for one in outcomes if one.failed or one.first]:
        rows = "".join(
            f"<li>{_text(one.day)}, {_text(one.variant)}, seed {one.seed}: {_text(one.failed or one.first)}</li>"
            for one in told[:100]
        )
        parts.append(f"<h2>What broke</h2><ul>{rows}</ul>")
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{_text(experiment.name)}</title>"
        f"<style>{STYLE}</style>{''.join(parts)}</html>\n"
    )


def _text(value: object) -> str:
    return html.escape(str(value))


def _variants(experiment: Experiment) -> str:
    rows = "".join(
        f"<li><b>{_text(spec.name)}</b>: "
        + (
            "; ".join(
                [f"<code>{_text(k)}</code> = {_text(repr(v))}" for k, v in spec.set.items()]
                + [f"<code>{_text(k)}</code> is <code>{_text(v)}</code>" for k, v in spec.swap.items()]
            )
            or "the code as it stands"
        )
        + (f". {_text(spec.why)}" if spec.why else "")
        + "</li>"
        for spec in experiment.variants
    )
    return f"<ul>{rows}</ul>"


def _table(found: list[Row]) -> str:
    head = "".join(f"<th>{_text(name)}</th>" for name in ("day", "variant", *MEASURES, "rules broken (runs)"))
    body = []
    for row in found:
        cells = [f"<td>{_text(row.day)}</td><td>{_text(row.variant)}</td>"]
        for name in MEASURES:
            own, change = row.medians.get(name), row.changes.get(name)
            digits = 3 if name in ("score", "worth", "served") else 1
            text = "-" if own is None else f"{own.value:.{digits}f} [{own.low:.{digits}f}, {own.high:.{digits}f}]"
            if change is not None:
                text += f"<br>{change.change.value:+.{digits}f} {change.word}"
            cells.append(f"<td class={change.word if change else 'base'}>{text}</td>")
        broken = ", ".join(
            [f"{rule} {many}" for rule, many in sorted(row.broken.items())]
            + ([f"no end {row.failed}"] if row.failed else [])
        )
        cells.append(f"<td>{_text(broken) or f'none in {row.runs}'}</td>")
        body.append(f"<tr>{''.join(cells)}</tr>")
    return f"<table><tr>{head}</tr>{''.join(body)}</table>"


def _shown(experiment: Experiment, outcomes: list[Outcome], day: str) -> list[Outcome]:
    """One run of each variant that has one, of the least seed that most of them have."""
    runs = [one for one in outcomes if one.day == day and one.series is not None]
    if not runs:
        return []
    seeds = [one.seed for one in runs]
    seed = min(set(seeds), key=lambda it: (-seeds.count(it), it))
    order = [spec.name for spec in experiment.variants]
    return sorted((one for one in runs if one.seed == seed), key=lambda one: order.index(one.variant))


def _figure(rows: int, columns: int = 1, height: float = 3.0) -> tuple[Any, list[Any]]:
    figure = Figure(figsize=(11, height * rows), layout="constrained")
    axes = figure.subplots(rows, columns, squeeze=False, sharex=columns == 1)
    return figure, list(axes.flat)


def _image(figure: Any, title: str) -> str:
    if figure is None:
        return ""
    out = io.BytesIO()
    with matplotlib.rc_context({"svg.hashsalt": "oakvale", "svg.fonttype": "none"}):
        figure.savefig(out, format="svg", metadata={"Date": None})
    data = base64.b64encode(out.getvalue()).decode()
    return f'<h3>{_text(title)}</h3><img alt="{_text(title)}" src="data:image/svg+xml;base64,{data}">'


def _changes(found: list[Row], experiment: Experiment) -> Any:
    rows = [row for row in found if "score" in row.changes]
    if not rows:
        return None
    figure, (axis,) = _figure(1, height=0.9 + 0.35 * len(rows))
    colours = {"better": "tab:green", "worse": "tab:red", "noise": "tab:gray"}
    for at, row in enumerate(rows):
        change = row.changes["score"]
        axis.plot([change.change.low, change.change.high], [at, at], color=colours[change.word], lw=3)
        axis.plot([change.change.value], [at], "o", color=colours[change.word])
    axis.axvline(0, color="black", lw=0.8)
    axis.set_yticks(range(len(rows)), [f"{row.day}: {row.variant}" for row in rows])
    axis.invert_yaxis()
    base = experiment.variants[0].name
    axis.set_xlabel(f"score less that of {base}, median and {experiment.confidence:.0%} interval")
    return figure


def _worth(shown: list[Outcome]) -> Any:
    figure, (axis,) = _figure(1)
    for one in shown:
        assert one.series is not None
        axis.plot(
            [second for second, _, _ in one.series.worth],
            [earned / owed if owed else 1.0 for _, earned, owed in one.series.worth],
            label=one.variant,
            lw=1.4,
        )
    _troubled(axis, shown[0])
    axis.set_ylim(-0.02, 1.05)
    axis.set_ylabel("earned / owed")
    axis.set_xlabel("seconds of traffic")
    axis.legend(fontsize="small")
    return figure


def _troubled(axis: Any, one: Outcome) -> None:
    assert one.series is not None
    for begin, end, _ in one.series.troubles:
        axis.axvspan(begin, max(end, begin + 0.05), color="tab:orange", alpha=0.08, lw=0)


def _arrivals(shown: list[Outcome]) -> Any:
    services = sorted({name for one in shown if one.series for name in one.series.arrivals})
    if not services:
        return None
    figure = Figure(figsize=(11, 2.4 * len(services)), layout="constrained")
    axes = figure.subplots(len(services), len(shown), squeeze=False, sharex=True)
    for row, service in enumerate(services):
        tables = [(one.series or Series()).arrivals.get(service, {}) for one in shown]
        most = max((count for table in tables for line in table.values() for count in line), default=1)
        for column, (one, table) in enumerate(zip(shown, tables, strict=True)):
            axis = axes[row][column]
            if table:
                drawn = axis.imshow(
                    list(table.values()), aspect="auto", vmin=0, vmax=most, cmap="viridis", interpolation="nearest"
                )
                if column == len(shown) - 1:
                    figure.colorbar(drawn, ax=axis)
            axis.set_title(f"{service}, {one.variant}", fontsize="small")
            axis.set_yticks(
                range(len(table)) if len(table) <= 12 else [],
                list(table) if len(table) <= 12 else [],
                fontsize="x-small",
            )
    axes[-1][0].set_xlabel("seconds of traffic")
    return figure


def _news(shown: list[Outcome]) -> Any:
    if not any(one.series and one.series.news for one in shown):
        return None
    figure, (axis,) = _figure(1)
    for number, one in enumerate(shown):
        for at, delays in enumerate((one.series or Series()).news.values()):
            axis.step(
                [0.0, *delays],
                range(len(delays) + 1),
                where="post",
                color=f"C{number % 10}",
                alpha=0.35 + 0.65 / (1 + at),
                label=f"{one.variant}" if at == 0 else None,
            )
    axis.set_xlabel("seconds since the operator sent it, a line for each version")
    axis.set_ylabel("machines")
    axis.legend(fontsize="small")
    return figure


def _quota(shown: list[Outcome]) -> Any:
    tenants = sorted({name for one in shown if one.series for name in one.series.quota})
    if not tenants:
        return None
    most = {
        name: max((use for one in shown for _, use in (one.series or Series()).quota.get(name, [])), default=0.0)
        for name in tenants
    }
    tenants = sorted(tenants, key=lambda name: (-most[name], name))[:6]  # those that come nearest to it
    figure, axes = _figure(len(tenants), height=1.7)
    for axis, name in zip(axes, tenants, strict=True):
        for one in shown:
            points = (one.series or Series()).quota.get(name, [])
            axis.plot([at for at, _ in points], [use for _, use in points], label=one.variant, lw=1.2)
        axis.axhline(1.0, color="tab:red", lw=0.9, ls="--")
        axis.set_ylim(0, max(1.1, most[name] * 1.05))
        axis.set_title(name, fontsize="small")
    axes[0].legend(fontsize="x-small")
    axes[-1].set_xlabel("seconds of traffic")
    return figure


def _takeovers(shown: list[Outcome]) -> Any:
    if not any(one.series and (one.series.takeovers or one.series.troubles) for one in shown):
        return None
    figure, axes = _figure(len(shown), height=2.6)
    for axis, one in zip(axes, shown, strict=True):
        one_series = one.series or Series()
        machines = sorted({machine for _, machine, _ in one_series.takeovers})
        place = {machine: at for at, machine in enumerate(machines)}
        _troubled(axis, one)
        for begin, _, what in one_series.troubles:
            axis.text(begin, len(machines) - 0.4, what, fontsize=5, rotation=60, color="tab:orange", clip_on=True)
        kinds = sorted({what.rsplit(" ", 1)[0] if what[-1:].isdigit() else what for _, _, what in one_series.takeovers})
        for number, kind in enumerate(kinds):
            points = [(at, place[machine]) for at, machine, what in one_series.takeovers if what.startswith(kind)]
            axis.plot([at for at, _ in points], [y for _, y in points], "o", ms=4, color=f"C{number % 10}", label=kind)
        axis.set_yticks(range(len(machines)), machines, fontsize="x-small")
        axis.set_ylim(-0.6, max(1.0, len(machines) + 0.6))
        axis.set_title(one.variant, fontsize="small")
        if kinds:
            axis.legend(fontsize="x-small", loc="lower right")
    axes[-1].set_xlabel("seconds of traffic")
    return figure
