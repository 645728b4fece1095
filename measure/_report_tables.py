"""Measured figures as Markdown tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from _report_figures import ExperimentResult, Figure, Group, Promise, Series
    from _report_goals import GoalResult


def markdown(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table.

    >>> print(markdown(('a', 'b'), [('1', '2')]))
    | a | b |
    |---|---|
    | 1 | 2 |
    """
    lines = [header, *rows]
    shown = [f'| {" | ".join(line)} |' for line in lines]
    shown.insert(1, f'|{"---|" * len(header)}')
    return '\n'.join(shown)


def goals_table(results: Iterable[GoalResult]) -> str:
    """Return a table of the goals with their figures and verdicts."""
    rows = [
        (
            str(each.goal.issue),
            f'`{each.figure.name if each.figure else each.goal.names}`',
            str(each.goal),
            each.figure.text if each.figure else '',
            each.verdict.value,
        )
        for each in results
    ]
    return markdown(('issue', 'figure', 'goal', 'measured', ''), rows)


def sizes_table(series: Sequence[Series]) -> str:
    """Return a table of a figure and its variants by number of processes."""
    sizes = sorted({size for each in series for size, _ in each.points})
    header = ('', *(f'N = {size}' for size in sizes))
    return markdown(header, (_sizes_row(each, sizes) for each in series))


def figures_table(figures: Iterable[Figure]) -> str:
    """Return a table of all figures as they were printed."""
    rows = [(f'`{figure.name}`', figure.text) for figure in figures]
    return markdown(('figure', 'measured'), rows)


def phases_table(result: ExperimentResult) -> str:
    """Return a table of the phases of an experiment; times in seconds."""
    header = (
        'phase',
        'requests',
        'rate/s',
        'goodput/s',
        'p50',
        'p95',
        'p99',
        'first token p95',
    )
    groups = (*result.summary.phases, result.summary.total)
    return markdown(header, map(_phase_row, groups))


def promises_table(result: ExperimentResult) -> str:
    """Return a table of the promises of an experiment."""
    rows = [
        (
            each.name,
            f'`{each.figure}`',
            _bounds(each),
            _time(each.measured),
            'kept' if each.kept else 'broken',
        )
        for each in result.promises
    ]
    return markdown(('promise', 'figure', 'bound', 'measured', ''), rows)


def _sizes_row(series: Series, sizes: Iterable[int]) -> list[str]:
    points = dict(series.points)
    row = [f'`{series.name}`']
    row.extend(_time(points.get(size)) for size in sizes)
    return row


def _phase_row(group: Group) -> list[str]:
    latency = group.latency
    row = [group.name, str(group.requests)]
    row.extend(
        f'{rate:.1f}' for rate in (group.rate_per_s, group.goodput_per_s)
    )
    times = (latency.p50, latency.p95, latency.p99, group.first_token.p95)
    row.extend(_time(time_s) for time_s in times)
    return row


def _time(measured: float | None) -> str:
    return '' if measured is None else f'{measured:.3g}'


def _bounds(promise: Promise) -> str:
    least = f'≥ {promise.least:g}' if promise.least else ''
    most = '' if promise.most is None else f'≤ {promise.most:g}'
    return f'{least} {most}'.strip()
