"""An experiment's results as a self-contained HTML page, and its plots as files."""

import base64
import html
import io
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import numpy
from matplotlib import pyplot
from matplotlib.figure import Figure

from rushmux.lab import compare, plots
from rushmux.lab.compare import Conclusion, Difference, lower_is_better
from rushmux.lab.experiment_schema import Experiment
from rushmux.lab.measurements import MEASURES, DayResult
from rushmux.lab.plots import MEASURE_TITLES
from rushmux.lab.run import Results, current_revision, without_crashes

DPI = 80
STYLE = (
    "body{font:15px/1.45 sans-serif;max-width:64em;margin:2em auto;padding:0 1em;color:#222}"
    "table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .7em;border-bottom:1px solid #ddd;"
    "text-align:right}td:first-child,th:first-child{text-align:left}.bad{color:#b00020;font-weight:bold}"
    ".good{color:#2b7a4b;font-weight:bold}img{max-width:100%}h2{margin-top:1.6em}small{color:#666}"
)
CONCLUSIONS = {
    Conclusion.BETTER: "serves more in time",
    Conclusion.WORSE: "serves less in time",
}
KEPT, BROKEN, CRASHED = (
    "<span class=good>kept</span>",
    "<span class=bad>broken</span>",
    "<span class=bad>crashed</span>",
)
TIME_PLOTS = (  # title and name
    ("By plan, over time", "plans"),
    ("By lane, over time", "lanes"),
    ("Answer times", "latency"),
)
DIFFERENCE_COLUMNS = ("variant", "measure", "mean", "from", "to", "chance", "seeds", "")


class _Report(NamedTuple):
    """The content of the page."""

    experiment: Experiment
    results: Results
    completed: Results
    """Without crashes."""
    differences: Sequence[Difference]
    images: Mapping[str, str]
    """The plots as HTML, by name."""


def write(experiment: Experiment, results: Results, folder: str | Path) -> Path:
    """Writes the page and its plots to a folder; returns the page's path."""
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    completed = without_crashes(results)
    differences = compare.differences(completed, MEASURES)
    images = {
        name: _write_image(figure, folder / f"{name}.png")
        for name, figure in _figures(completed, differences).items()
    }
    report = _Report(experiment, results, completed, differences, images)
    page = folder / "report.html"
    page.write_text(
        f"<!doctype html><meta charset=utf-8><title>{html.escape(experiment['name'])}</title>"
        f"<style>{STYLE}</style>" + "\n".join(_sections(report))
    )
    return page


def _figures(completed: Results, differences: Sequence[Difference]) -> dict[str, Figure]:
    figures = {}
    if completed:
        figures["plans"] = plots.plot_over_time(completed, "plan")
        figures["lanes"] = plots.plot_over_time(completed, "lane")
        figures["latency"] = plots.plot_latency(completed)
        for name, days in completed.items():
            figures[f"nodes-{name}"] = plots.plot_nodes(days, name)
    if differences:
        figures["against"] = plots.plot_differences(differences)
    return figures


def _write_image(figure: Figure, path: Path) -> str:
    """Writes a plot to a file and returns it as an inline HTML image."""
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=DPI, metadata={"Software": None})
    pyplot.close(figure)
    path.write_bytes(buffer.getvalue())
    return f'<img src="data:image/png;base64,{base64.b64encode(buffer.getvalue()).decode()}">'


def _sections(report: _Report) -> Iterator[str]:
    yield from _heading(report.experiment)
    conclusions = "".join(f"<li>{line}</li>" for line in _conclusions(report))
    yield f"<ul>{conclusions}</ul>"
    yield _variants_table(report)
    yield from _crashes(report.results)
    if report.differences:
        yield "<h2>Against the first variant</h2>" + report.images["against"]
        yield _differences_table(report.differences)
    for title, name in TIME_PLOTS:
        if name in report.images:
            yield f"<h2>{title}</h2>{report.images[name]}"
    node_images = (image for name, image in report.images.items() if name.startswith("nodes-"))
    yield "<h2>Nodes, first seed</h2>" + "".join(node_images)
    yield "<h2>Rules: how near the nearest came (1: the edge of it)</h2>" + _rules_table(report.completed)
    lines = report.experiment["troubles"]
    if lines:
        yield "<h2>Troubles</h2><pre>" + html.escape("\n".join(lines)) + "</pre>"


def _heading(experiment: Experiment) -> Iterator[str]:
    fleet = experiment["fleet"]
    yield f"<h1>{html.escape(experiment['name'])}</h1><p>{html.escape(experiment['question'])}</p>"
    yield (
        f"<p><small>{fleet['edges']} gateways, {fleet['nodes']} nodes in {fleet['zones']} zone(s), "
        f"{sum(experiment['volumes'].values())} volumes, {experiment['seconds']:g} s a day, commit "
        f"{current_revision()}</small></p>"
    )


def _conclusions(report: _Report) -> Iterator[str]:
    first = html.escape(report.experiment["variants"][0]["name"])
    for row in report.differences:
        if row.measure != "in_time":
            continue
        interval = f"[{row.low:+.3f}, {row.high:+.3f}]"
        text = CONCLUSIONS.get(row.conclusion)
        if text:
            text = f"{text}, {row.mean:+.3f} {interval}, chance {row.p_value:.3f}"
        else:
            text = (
                f"no difference seen in what is served in time ({row.mean:+.3f} "
                f"{interval} over {row.pairs} seeds)"
            )
        yield f"<b>{html.escape(row.variant)}</b> against {first}: {text}"


def _variants_table(report: _Report) -> str:
    rows = []
    for name in report.results:
        days = report.completed.get(name, {})
        means = [_mean_cell(days, measure) for measure in MEASURE_TITLES]
        rows.append([html.escape(name), len(days), *means, _rules_cell(days)])
    return _table(["variant", "days", *MEASURE_TITLES.values(), "rules"], rows)


def _mean_cell(days: Mapping[int, DayResult], measure: str) -> str:
    if not days:
        return "-"
    return _number_cell(numpy.mean([day[measure] for day in days.values()]), measure)


def _rules_cell(days: Mapping[int, DayResult]) -> str:
    if not days:
        return CRASHED
    return KEPT if all(day["kept"] for day in days.values()) else BROKEN


def _number_cell(value: float, measure: str) -> str:
    return f"{value:.0f}" if lower_is_better(measure) else f"{value:.3f}"


def _crashes(results: Results) -> Iterator[str]:
    for name, days in results.items():
        for seed, day in days.items():
            if "crashed" in day:
                yield f"<p class=bad>{html.escape(name)}, seed {seed}: {html.escape(day['crashed'])}</p>"


def _differences_table(differences: Sequence[Difference]) -> str:
    rows = [
        [
            html.escape(row.variant),
            MEASURE_TITLES[row.measure],
            _number_cell(row.mean, row.measure),
            _number_cell(row.low, row.measure),
            _number_cell(row.high, row.measure),
            f"{row.p_value:.3f}",
            row.pairs,
            row.conclusion,
        ]
        for row in differences
    ]
    return _table(DIFFERENCE_COLUMNS, rows)


def _rules_table(completed: Results) -> str:
    rules: Sequence[str] = ()
    if completed:
        first_days = next(iter(completed.values()))
        rules = list(next(iter(first_days.values()))["rules"])
    rows = []
    for name, days in completed.items():
        own_rules = next(iter(days.values()))["rules"]
        rows.append([html.escape(name), *(_margin_cell(days, rule) for rule in own_rules)])
    return _table(["variant", *rules], rows)


def _margin_cell(days: Mapping[int, DayResult], rule: str) -> str:
    """The highest ratio to the bound of a rule over all days."""
    checks = [day["rules"][rule] for day in days.values()]
    broken_days = sum(bool(breaches) for _, _, breaches in checks)
    nearest = max((nearest for _, nearest, _ in checks if nearest is not None), default=None)
    text = "-" if nearest is None else f"{nearest:.2f}"
    return f"<span class=bad>{text}, broken on {broken_days} day(s)</span>" if broken_days else text


def _table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    head = "".join(f"<th>{html.escape(str(column))}</th>" for column in columns)
    body = "".join("<tr>" + "".join(f"<td>{cell}</td>" for cell in row) + "</tr>" for row in rows)
    return f"<table><tr>{head}</tr>{body}</table>"
