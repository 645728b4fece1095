"""Plots of measured figures; matplotlib comes with the `report` extra."""

from __future__ import annotations

import importlib
from importlib import util as importing
from typing import TYPE_CHECKING, Any

from _report_figures import series_of
from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from _report_figures import ExperimentResult, Figure, Series

_INCHES = (7.0, 4.2)
_DOTS_PER_INCH = 120
_BAR_WIDTH = 0.25


@frozen
class SizePlot:
    """A figure and its variants against the number of processes."""

    file: str
    prefix: str
    title: str
    unit: str
    goal: float | None = None
    baselines: str = ''

    def series(self, figures: Sequence[Figure]) -> tuple[Series, ...]:
        """Return the series that the plot shows."""
        prefixes = (
            [self.prefix, self.baselines] if self.baselines else [self.prefix]
        )
        return series_of(figures, *prefixes)

    def label(self, series: Series) -> str:
        """Return the label of a series in the legend."""
        if series.name == self.prefix:
            return 'crowrudder'
        kept = series.name.removeprefix(f'{self.prefix}.')
        return kept.removeprefix(f'{self.baselines}.').replace('_', ' ')


SIZE_PLOTS = (
    SizePlot(
        'time-over-bound.png',
        'weights.time_over_bound',
        'Time until all hosts have the weights, over the bound',
        'time / bound',
        1.15,
        'weights.baseline',
    ),
    SizePlot(
        'origin-copies.png',
        'weights.origin_copies',
        'Bytes read from the origin',
        'copies',
        1.05,
    ),
    SizePlot(
        'config-everywhere.png',
        'config.everywhere_s',
        'From publication until in force everywhere',
        's',
        5,
    ),
)


def has_matplotlib() -> bool:
    """Return whether matplotlib is installed."""
    return importing.find_spec('matplotlib') is not None


def draw_all(
    figures: Sequence[Figure],
    results: Sequence[ExperimentResult],
    out: Path,
) -> tuple[str, ...]:
    """Draw all plots that have figures and return their file names."""
    files = [
        _draw_sizes(plot, figures, out)
        for plot in SIZE_PLOTS
        if plot.series(figures)
    ]
    if results:
        files.append(_draw_goodput(results, out))
        files.append(_draw_latency(results, out))
    return tuple(files)


def _pyplot() -> Any:
    # Agg needs no display. Imported late, as matplotlib is optional.
    importlib.import_module('matplotlib').use('Agg')
    return importlib.import_module('matplotlib.pyplot')


def _axes(title: str) -> tuple[Any, Any]:
    figure, axes = _pyplot().subplots(
        figsize=_INCHES, dpi=_DOTS_PER_INCH, layout='constrained'
    )
    axes.set_title(title, loc='left')
    axes.grid(visible=True, alpha=0.3)
    axes.spines[['top', 'right']].set_visible(False)
    return figure, axes


def _save(figure: Any, out: Path, file: str) -> str:
    figure.savefig(out / file)
    _pyplot().close(figure)
    return file


def _draw_sizes(plot: SizePlot, figures: Sequence[Figure], out: Path) -> str:
    figure, axes = _axes(plot.title)
    sizes: set[int] = set()
    for series in plot.series(figures):
        own = series.name == plot.prefix
        axes.plot(
            *zip(*series.points, strict=True),
            marker='o',
            linewidth=2.5 if own else 1.2,
            linestyle='-' if own else '--',
            zorder=3 if own else 2,
            label=plot.label(series),
        )
        sizes.update(size for size, _ in series.points)
    if plot.goal is not None:
        axes.axhline(plot.goal, color='grey', linestyle=':', label='goal')
    # Sizes double, and so does the cost of an algorithm that scales badly.
    axes.set_xscale('log', base=2)
    axes.set_yscale('log')
    axes.set_xticks(sorted(sizes), labels=[str(size) for size in sorted(sizes)])
    axes.minorticks_off()
    axes.yaxis.set_major_locator(_locator(axes))
    axes.yaxis.set_major_formatter('{x:.3g}')
    axes.set_xlabel('processes')
    axes.set_ylabel(plot.unit)
    axes.legend(frameon=False, fontsize='small')
    return _save(figure, out, plot.file)


def _locator(axes: Any) -> Any:
    """Return a locator for round ticks on a log axis, also in one decade."""
    ticker = importlib.import_module('matplotlib.ticker')
    low, high = axes.get_ylim()
    parts = (1, 2, 5) if high / low > 8 else (1, 1.5, 2, 3, 4, 5, 7)
    return ticker.LogLocator(base=10, subs=parts)


def _draw_goodput(results: Sequence[ExperimentResult], out: Path) -> str:
    figure, axes = _axes('Goodput against load, by phase')
    most = 0.0
    for result in results:
        phases = result.summary.phases
        rates = [phase.rate_per_s for phase in phases]
        goodput = [phase.goodput_per_s for phase in phases]
        most = max(most, *rates, *goodput)
        axes.scatter(rates, goodput, alpha=0.8, label=result.experiment)
    axes.plot(
        [0, most], [0, most], color='grey', linestyle=':', label='every request'
    )
    axes.set_xlabel('requests/s that arrived')
    axes.set_ylabel('whole answers in time, 1/s')
    axes.legend(frameon=False, fontsize='small')
    return _save(figure, out, 'goodput.png')


def _draw_latency(results: Sequence[ExperimentResult], out: Path) -> str:
    figure, axes = _axes('Latency of whole answers')
    for number, quantile in enumerate(('p50', 'p95', 'p99')):
        times = [
            getattr(result.summary.total.latency, quantile) or 0
            for result in results
        ]
        positions = [
            place + (number - 1) * _BAR_WIDTH for place in range(len(times))
        ]
        bars = axes.bar(positions, times, _BAR_WIDTH, label=quantile)
        axes.bar_label(bars, fmt='{:.2g}', fontsize='x-small')
    names = [result.experiment.replace('-', '-\n', 1) for result in results]
    axes.set_xticks(range(len(names)), labels=names, fontsize='small')
    axes.set_ylabel('s')
    axes.legend(frameon=False)
    return _save(figure, out, 'latency.png')
