"""Make Markdown tables and plots of measurements and experiments.

Usage:
  report.py [--figures=FILE] [--out=DIR] [EXPERIMENT ...]

Options:
  --figures=FILE  The `name=value` lines that `run.py --out=FILE` wrote.
  --out=DIR       Where report.md and the plots go [default: report].

EXPERIMENT is a JSON file that `experiment.py --out=DIR` wrote. Without
matplotlib, which the extra `report` installs, there are only the tables.
Exit codes: 0 written, 2 a file can't be read.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from _report_figures import ReportError, read_figures, read_result
from _report_goals import Verdict, evaluate_goals
from _report_plots import SIZE_PLOTS, draw_all, has_matplotlib
from _report_tables import (
    figures_table,
    goals_table,
    phases_table,
    promises_table,
    sizes_table,
)
from docopt import docopt

if TYPE_CHECKING:
    from collections.abc import Sequence

    from _report_figures import ExperimentResult, Figure

NO_PLOTS = 'no plots: matplotlib is not installed (`make report PLOTS=1`)'


def report_text(
    figures: Sequence[Figure],
    results: Sequence[ExperimentResult],
    plots: Sequence[str] | None,
) -> str:
    """Return the complete report as Markdown.

    Parameters
    ----------
    plots
        The plot files; None if matplotlib is not installed.
    """
    goal_results = evaluate_goals(figures)
    met = [each.verdict for each in goal_results].count(Verdict.MET)
    parts = [
        '# Measured',
        f'Goals met: {met} of {len(goal_results)}.',
        goals_table(goal_results),
    ]
    for plot in SIZE_PLOTS:
        series = plot.series(figures)
        if series:
            parts.extend((f'## {plot.title}', f'Unit: {plot.unit}.'))
            parts.append(sizes_table(series))
            parts.extend(_image(plot.file, plots))
    if results:
        parts.append('## Experiments')
        parts.extend(_image('goodput.png', plots))
        parts.extend(_image('latency.png', plots))
    for result in results:
        parts.extend(_experiment(result))
    if figures:
        parts.extend(('## All figures', figures_table(figures)))
    if plots is None:
        parts.append(f'({NO_PLOTS})')
    return '\n\n'.join(parts) + '\n'


def _image(file: str, plots: Sequence[str] | None) -> list[str]:
    is_plotted = file in (plots or ())
    return [f'![{file.removesuffix(".png")}]({file})'] if is_plotted else []


def _experiment(result: ExperimentResult) -> list[str]:
    verdict = 'ok' if result.passed else 'failed'
    books = ', '.join(f'{name} {n}' for name, n in result.books.items())
    parts = [
        f'### {result.experiment}: {verdict}, seed {result.seed}',
        f'Books: {books}.',
        phases_table(result),
    ]
    if result.promises:
        parts.append(promises_table(result))
    broken = [f'- broken: {line}' for line in result.broken]
    if broken:
        parts.append('\n'.join(broken))
    return parts


def main() -> int:
    """Write the report and print the names of its files."""
    options = docopt(__doc__ or '')
    file = options['--figures']
    out = Path(options['--out'])
    try:
        figures = read_figures(Path(file)) if file else ()
        results = [read_result(Path(path)) for path in options['EXPERIMENT']]
    except ReportError as exc:
        print(exc, file=sys.stderr)
        return 2
    out.mkdir(parents=True, exist_ok=True)
    plots = draw_all(figures, results, out) if has_matplotlib() else None
    path = out / 'report.md'
    path.write_text(report_text(figures, results, plots), encoding='utf-8')
    print(f'written: {path}', *(plots or ()))
    if plots is None:
        print(NO_PLOTS)
    return 0


if __name__ == '__main__':
    sys.exit(main())
