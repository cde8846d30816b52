"""The plots of an experiment's report."""

from collections.abc import Mapping, Sequence

import matplotlib
import numpy

from rushmux.lab import histograms
from rushmux.lab.compare import Conclusion, Difference, lower_is_better
from rushmux.lab.measurements import DayResult
from rushmux.lab.run import Results

matplotlib.use("Agg")  # needs no display; must precede the import of pyplot
from matplotlib import pyplot
from matplotlib.figure import Figure

WIDTH, HEIGHT = 9.0, 2.6  # inches
SMOOTHING = 3  # seconds, window of the moving average
COLOURS = ("#1b6ca8", "#d1495b", "#66a182", "#edae49", "#7d5ba6", "#5c5c5c")
CONCLUSION_COLOURS = {Conclusion.BETTER: "#2b7a4b", Conclusion.WORSE: "#b00020"}
NEUTRAL_COLOUR = "#777"
NODE_ROW_HEIGHT, MIN_NODES_HEIGHT = 0.16, 2.0  # inches
DIFFERENCE_ROW_HEIGHT, MIN_DIFFERENCES_HEIGHT, DIFFERENCES_MARGIN = 0.28, 1.6, 0.6  # inches
MAX_NODE_LABELS = 12
PERCENT = 100

MEASURE_TITLES = {
    "in_time": "in time",
    "worth": "worth in time",
    "worst": "worst 10 s",
    "entitled": "reserves met",
    "fair": "Jain's index",
    "p99_ms": "99th, ms",
}


def _smooth(values) -> numpy.ndarray:
    values = numpy.asarray(values, float)
    if len(values) < SMOOTHING:
        return values
    window = numpy.ones(SMOOTHING)
    weights = numpy.convolve(numpy.ones(len(values)), window, "same")
    return numpy.convolve(values, window, "same") / weights


def _new_figure(rows: int = 1, height: float = HEIGHT) -> tuple[Figure, Sequence]:
    """A figure with a column of plots, and their axes."""
    figure, axes = pyplot.subplots(
        rows, 1, figsize=(WIDTH, height * rows), squeeze=False, constrained_layout=True
    )
    for axis in axes[:, 0]:
        axis.spines[["top", "right"]].set_visible(False)
        axis.grid(axis="y", alpha=0.3)
    return figure, axes[:, 0]


def plot_over_time(results: Results, kind: str) -> Figure:
    """Operations sent and those in time, per second, averaged over the seeds.

    Args:
        results: Without crashes.
        kind: "plan" or "lane" (request class), each of which gets a plot.
    """
    names = sorted({name for days in results.values() for day in days.values() for name in day["series"]})
    names = [name for name in names if name.startswith(kind)]
    figure, axes = _new_figure(len(names))
    for axis, name in zip(axes, names, strict=True):
        _plot_series(axis, results, name)
    axes[0].legend(fontsize=8, ncols=4, frameon=False)
    axes[-1].set_xlabel("seconds")
    return figure


def _plot_series(axis, results: Results, name: str) -> None:
    shows_asked = True
    for colour, (variant, days) in zip(COLOURS, results.items(), strict=False):
        series = numpy.mean([day["series"][name] for day in days.values() if name in day["series"]], axis=0)
        asked, in_time = _smooth(series[:, 0]), _smooth(series[:, 1])
        if shows_asked:  # the same for all variants
            axis.fill_between(range(len(series)), asked, color="#ddd", label="asked")
            shows_asked = False
        axis.plot(in_time, color=colour, label=variant, lw=1.4)
    axis.set_title(name, loc="left", fontsize=10)
    axis.set_ylim(bottom=0)
    axis.set_ylabel("a second")


def plot_latency(results: Results) -> Figure:
    """Latencies by percentile over all seeds, with a plot for each request class."""
    names = sorted({name for days in results.values() for day in days.values() for name in day["sketches"]})
    figure, axes = _new_figure(len(names))
    for axis, name in zip(axes, names, strict=True):
        _plot_percentiles(axis, results, name)
    axes[0].legend(fontsize=8, frameon=False)
    return figure


def _plot_percentiles(axis, results: Results, name: str) -> None:
    percents = numpy.concatenate([numpy.linspace(1, 90, 60), PERCENT - numpy.geomspace(9, 0.01, 40)])
    for colour, (variant, days) in zip(COLOURS, results.items(), strict=False):
        encoded = [day["sketches"][name] for day in days.values() if name in day["sketches"]]
        merged = histograms.merge(encoded)
        if merged.get_total_count():
            latencies = [histograms.percentile_ms(merged, percent) for percent in percents]
            axis.plot(1 / (1 - percents / PERCENT), latencies, color=colour, label=variant, lw=1.4)
    axis.set_xscale("log")
    axis.set_yscale("log")
    axis.set_xticks([2, 10, 100, 1000, 10_000], ["50%", "90%", "99%", "99.9%", "99.99%"])
    axis.set_title(f"{name}: answer times of what succeeded", loc="left", fontsize=10)
    axis.set_ylabel("ms")


def plot_nodes(days: Mapping[int, DayResult], title: str) -> Figure:
    """Attempts in flight and the median concurrency limit, for each node on the first day."""
    samples = next(iter(days.values()))["nodes"]
    height = max(MIN_NODES_HEIGHT, NODE_ROW_HEIGHT * len(_node_names(samples)) + 1)
    figure, axes = pyplot.subplots(1, 2, figsize=(WIDTH, height), constrained_layout=True)
    _plot_heatmap(figure, axes[0], samples, column=0, palette="magma_r")
    axes[0].set_title(f"{title}: executions at the node", loc="left", fontsize=9)
    _plot_heatmap(figure, axes[1], samples, column=1, palette="viridis")
    axes[1].set_title(f"{title}: median room of a gateway", loc="left", fontsize=9)
    return figure


def _node_names(samples: Sequence) -> list[str]:
    """The names of the sampled nodes in numerical order."""
    return sorted(samples[0][1], key=lambda name: int(name[1:]))


def _plot_heatmap(figure: Figure, axis, samples: Sequence, *, column: int, palette: str) -> None:
    """Draws a row for each node, which suits tens of nodes; `column` indexes a node's sample."""
    names, times = _node_names(samples), [at for at, _ in samples]
    image = axis.imshow(
        numpy.array([[nodes[name][column] for _, nodes in samples] for name in names]),
        aspect="auto",
        cmap=palette,
        extent=(times[0], times[-1], len(names) - 0.5, -0.5),
        vmin=0,
    )
    axis.set_xlabel("seconds")
    step = max(1, len(names) // MAX_NODE_LABELS)
    axis.set_yticks(range(0, len(names), step), names[::step], fontsize=7)
    figure.colorbar(image, ax=axis)


def plot_differences(differences: Sequence[Difference]) -> Figure:
    """Each variant's difference in each measure, with its confidence interval."""
    shown = [row for row in differences if not lower_is_better(row.measure)]
    height = max(MIN_DIFFERENCES_HEIGHT, DIFFERENCE_ROW_HEIGHT * len(shown) + DIFFERENCES_MARGIN)
    figure, (axis,) = _new_figure(1, height)
    for index, row in enumerate(shown):
        colour = CONCLUSION_COLOURS.get(row.conclusion, NEUTRAL_COLOUR)
        axis.plot([row.low, row.high], [index, index], color=colour, lw=3, solid_capstyle="butt")
        axis.plot([row.mean], [index], "o", color=colour, ms=5)
    axis.axvline(0, color="#222", lw=0.8)
    labels = [f"{row.variant}: {MEASURE_TITLES[row.measure]}" for row in shown]
    axis.set_yticks(range(len(shown)), labels, fontsize=8)
    axis.invert_yaxis()
    axis.set_xlabel("difference from the first variant, interval of 95%")
    return figure
