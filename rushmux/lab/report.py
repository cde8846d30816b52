"""An experiment as one self-contained page and its plots."""

import base64
import html
import io
from pathlib import Path

import matplotlib
import numpy

from rushmux.lab import compare, outcome
from rushmux.lab.run import revision, whole

matplotlib.use("Agg")
from matplotlib import pyplot

WIDE, HIGH = 9.0, 2.6  # inches of a plot
DPI = 80
SMOOTH = 3  # seconds over which lines are averaged
COLOURS = ("#1b6ca8", "#d1495b", "#66a182", "#edae49", "#7d5ba6", "#5c5c5c")
TITLES = {
    "in_time": "in time",
    "worth": "worth in time",
    "worst": "worst 10 s",
    "entitled": "reserves met",
    "fair": "Jain's index",
    "p99_ms": "99th, ms",
}
STYLE = (
    "body{font:15px/1.45 sans-serif;max-width:64em;margin:2em auto;padding:0 1em;color:#222}"
    "table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .7em;border-bottom:1px solid #ddd;"
    "text-align:right}td:first-child,th:first-child{text-align:left}.bad{color:#b00020;font-weight:bold}"
    ".good{color:#2b7a4b;font-weight:bold}img{max-width:100%}h2{margin-top:1.6em}small{color:#666}"
)


def _smooth(values):
    values = numpy.asarray(values, float)
    if len(values) < SMOOTH:
        return values
    part = numpy.ones(SMOOTH)
    return numpy.convolve(values, part, "same") / numpy.convolve(numpy.ones(len(values)), part, "same")


def _figure(rows=1, high=HIGH):
    figure, axes = pyplot.subplots(
        rows, 1, figsize=(WIDE, high * rows), squeeze=False, constrained_layout=True
    )
    for axis in axes[:, 0]:
        axis.spines[["top", "right"]].set_visible(False)
        axis.grid(axis="y", alpha=0.3)
    return figure, axes[:, 0]


def over_time(found, kind):
    """Served in time beside what was asked, a second, by plan or lane; the mean over the seeds."""
    names = sorted(
        {
            name
            for rows in found.values()
            for row in rows.values()
            for name in row["series"]
            if name.startswith(kind)
        }
    )
    figure, axes = _figure(len(names))
    for axis, name in zip(axes, names):
        first = True
        for colour, (variant, rows) in zip(COLOURS, found.items()):
            series = numpy.mean(
                [row["series"][name] for row in rows.values() if name in row["series"]], axis=0
            )
            if first:
                axis.fill_between(range(len(series)), _smooth(series[:, 0]), color="#ddd", label="asked")
                first = False
            axis.plot(_smooth(series[:, 1]), color=colour, label=variant, lw=1.4)
        axis.set_title(name, loc="left", fontsize=10)
        axis.set_ylim(bottom=0)
        axis.set_ylabel("a second")
    axes[0].legend(fontsize=8, ncols=4, frameon=False)
    axes[-1].set_xlabel("seconds")
    return figure


def latency(found):
    """Answer times by percentile, all seeds together, a plot for each lane."""
    lanes = sorted({lane for rows in found.values() for row in rows.values() for lane in row["sketches"]})
    figure, axes = _figure(len(lanes))
    parts = numpy.concatenate([numpy.linspace(1, 90, 60), 100 - numpy.geomspace(9, 0.01, 40)])
    for axis, lane in zip(axes, lanes):
        for colour, (variant, rows) in zip(COLOURS, found.items()):
            whole_one = outcome.merged(
                row["sketches"][lane] for row in rows.values() if lane in row["sketches"]
            )
            if whole_one.get_total_count():
                axis.plot(
                    1 / (1 - parts / 100),
                    [whole_one.get_value_at_percentile(part) / 1000 for part in parts],
                    color=colour,
                    label=variant,
                    lw=1.4,
                )
        axis.set_xscale("log")
        axis.set_yscale("log")
        axis.set_xticks([2, 10, 100, 1000, 10_000], ["50%", "90%", "99%", "99.9%", "99.99%"])
        axis.set_title(f"{lane}: answer times of what succeeded", loc="left", fontsize=10)
        axis.set_ylabel("ms")
    axes[0].legend(fontsize=8, frameon=False)
    return figure


def nodes(rows, title):
    """Backlog and rooms of the nodes of one day: a row a node, so that tens of them can be read."""
    row = next(iter(rows.values()))
    names = sorted(row["nodes"][0][1], key=lambda name: int(name[1:]))
    times = [at for at, _ in row["nodes"]]
    figure, axes = pyplot.subplots(
        1, 2, figsize=(WIDE, max(2.0, 0.16 * len(names) + 1)), constrained_layout=True
    )
    for axis, place, what in zip(axes, (0, 1), ("executions at the node", "median room of a gateway")):
        values = numpy.array([[look[name][place] for _, look in row["nodes"]] for name in names])
        shown = axis.imshow(
            values,
            aspect="auto",
            cmap="magma_r" if place == 0 else "viridis",
            extent=(times[0], times[-1], len(names) - 0.5, -0.5),
            vmin=0,
        )
        axis.set_title(f"{title}: {what}", loc="left", fontsize=9)
        axis.set_xlabel("seconds")
        axis.set_yticks(
            range(0, len(names), max(1, len(names) // 12)), names[:: max(1, len(names) // 12)], fontsize=7
        )
        figure.colorbar(shown, ax=axis)
    return figure


def against(rows):
    """Each variant's difference in each measure with its interval."""
    shares = [row for row in rows if not row.measure.endswith("_ms")]
    figure, (axis,) = _figure(1, max(1.6, 0.28 * len(shares) + 0.6))
    for place, row in enumerate(shares):
        colour = {"better": "#2b7a4b", "worse": "#b00020"}.get(row.says, "#777")
        axis.plot([row.low, row.high], [place, place], color=colour, lw=3, solid_capstyle="butt")
        axis.plot([row.mean], [place], "o", color=colour, ms=5)
    axis.axvline(0, color="#222", lw=0.8)
    axis.set_yticks(
        range(len(shares)), [f"{row.variant}: {TITLES[row.measure]}" for row in shares], fontsize=8
    )
    axis.invert_yaxis()
    axis.set_xlabel("difference from the first variant, interval of 95%")
    return figure


def _cell(value, measure=""):
    return f"{value:.0f}" if measure.endswith("_ms") else f"{value:.3f}"


def _table(head, rows):
    cells = "".join(f"<th>{html.escape(str(part))}</th>" for part in head)
    body = "".join("<tr>" + "".join(f"<td>{part}</td>" for part in row) + "</tr>" for row in rows)
    return f"<table><tr>{cells}</tr>{body}</table>"


def _conclusion(raw, rows):
    for row in rows:
        if row.measure == "in_time":
            what = {"better": "serves more in time", "worse": "serves less in time"}.get(row.says)
            yield (
                f"<b>{html.escape(row.variant)}</b> against {html.escape(raw['variants'][0]['name'])}: "
                + (
                    f"{what}, {row.mean:+.3f} [{row.low:+.3f}, {row.high:+.3f}], chance {row.chance:.3f}"
                    if what
                    else f"no difference seen in what is served in time ({row.mean:+.3f} "
                    f"[{row.low:+.3f}, {row.high:+.3f}] over {row.pairs} seeds)"
                )
            )


def write(raw: dict, found: dict, folder) -> Path:
    """Writes the page and its plots to a folder; the page's path."""
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    good = whole(found)
    rows = compare.differences(good, outcome.MEASURES)
    plots = {}
    if good:
        plots = {"plans": over_time(good, "plan"), "lanes": over_time(good, "lane"), "latency": latency(good)}
        for name, days in good.items():
            plots[f"nodes-{name}"] = nodes(days, name)
    if rows:
        plots["against"] = against(rows)
    images = {}
    for name, figure in plots.items():
        sink = io.BytesIO()
        figure.savefig(sink, format="png", dpi=DPI, metadata={"Software": None})
        pyplot.close(figure)
        (folder / f"{name}.png").write_bytes(sink.getvalue())
        images[name] = f'<img src="data:image/png;base64,{base64.b64encode(sink.getvalue()).decode()}">'
    stood = raw["fleet"]
    parts = [
        f"<h1>{html.escape(raw['name'])}</h1><p>{html.escape(raw['question'])}</p>",
        f"<p><small>{stood['edges']} gateways, {stood['nodes']} nodes in {stood['zones']} zone(s), "
        f"{sum(raw['volumes'].values())} volumes, {raw['seconds']:g} s a day, commit "
        f"{revision()}</small></p>",
    ]
    parts += ["<ul>" + "".join(f"<li>{line}</li>" for line in _conclusion(raw, rows)) + "</ul>"]
    parts.append(
        _table(
            ["variant", "days", *TITLES.values(), "rules"],
            [
                [html.escape(name), len(good.get(name, ()))]
                + [
                    _cell(numpy.mean([row[measure] for row in good[name].values()]), measure)
                    if name in good
                    else "-"
                    for measure in TITLES
                ]
                + [
                    "<span class=good>kept</span>"
                    if name in good and all(row["kept"] for row in good[name].values())
                    else "<span class=bad>broken</span>"
                    if name in good
                    else "<span class=bad>crashed</span>"
                ]
                for name in found
            ],
        )
    )
    for name, days in found.items():
        for seed, row in days.items():
            if "crashed" in row:
                parts.append(
                    f"<p class=bad>{html.escape(name)}, seed {seed}: {html.escape(row['crashed'])}</p>"
                )
    if rows:
        parts.append("<h2>Against the first variant</h2>" + images["against"])
        parts.append(
            _table(
                ["variant", "measure", "mean", "from", "to", "chance", "seeds", ""],
                [
                    [
                        html.escape(row.variant),
                        TITLES[row.measure],
                        _cell(row.mean, row.measure),
                        _cell(row.low, row.measure),
                        _cell(row.high, row.measure),
                        f"{row.chance:.3f}",
                        row.pairs,
                        row.says,
                    ]
                    for row in rows
                ],
            )
        )
    for title, name in (
        ("By plan, over time", "plans"),
        ("By lane, over time", "lanes"),
        ("Answer times", "latency"),
    ):
        if name in images:
            parts.append(f"<h2>{title}</h2>{images[name]}")
    parts.append(
        "<h2>Nodes, first seed</h2>" + "".join(images[name] for name in images if name.startswith("nodes-"))
    )
    parts.append(
        "<h2>Rules: how near the nearest came (1: the edge of it)</h2>"
        + _table(
            ["variant", *(next(iter(next(iter(good.values())).values()))["rules"] if good else ())],
            [
                [html.escape(name)] + [_margin(days, rule) for rule in next(iter(days.values()))["rules"]]
                for name, days in good.items()
            ],
        )
    )
    if raw["troubles"]:
        parts.append("<h2>Troubles</h2><pre>" + html.escape("\n".join(raw["troubles"])) + "</pre>")
    page = folder / "report.html"
    page.write_text(
        f"<!doctype html><meta charset=utf-8><title>{html.escape(raw['name'])}</title>"
        f"<style>{STYLE}</style>" + "\n".join(parts)
    )
    return page


def _margin(days, rule):
    checks = [row["rules"][rule] for row in days.values()]
    broken = sum(bool(check[2]) for check in checks)
    nearest = max((check[1] for check in checks if check[1] is not None), default=None)
    text = "-" if nearest is None else f"{nearest:.2f}"
    return f"<span class=bad>{text}, broken on {broken} day(s)</span>" if broken else text
