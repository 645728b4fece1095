"""Format the summary of a run of load as text."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from _load_summary import Group, Summary

_HEAD = (
    'group',
    'requests',
    'rate/s',
    'goodput/s',
    'good',
    'answered',
    'not_run',
    'failed',
    'unknown',
    'no_answer',
    'not_sent',
    'sendings',
    'p50 s',
    'p95 s',
    'p99 s',
    'token p95 s',
)


def summary_lines(summary: Summary) -> list[str]:
    """Return the lines of the table of groups and of the counts."""
    groups = (
        *summary.phases,
        *summary.customers,
        *summary.parts,
        summary.total,
    )
    flaws = summary.flaws
    return [
        *aligned([_HEAD, *(_row(group) for group in groups)]),
        f'answers by version: {summary.versions}',
        f'others by code: {summary.codes}',
        f'broken_off={flaws.broken_off} truncated={flaws.truncated} '
        f'mixed={flaws.mixed} crossed={flaws.crossed} '
        f'overdue={summary.total.overdue} seed={summary.seed}',
    ]


def aligned(rows: Sequence[Sequence[str]]) -> list[str]:
    """Return the rows as lines, with all but the first column right-aligned."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [_line(row, widths) for row in rows]


def _line(row: Sequence[str], widths: Iterable[int]) -> str:
    first, *others = zip(row, widths, strict=True)
    cells = [first[0].ljust(first[1])]
    cells.extend(text.rjust(width) for text, width in others)
    return '  '.join(cells)


def _row(group: Group) -> list[str]:
    latency = group.latency
    times = (latency.p50, latency.p95, latency.p99, group.first_token.p95)
    row = [group.name, str(group.requests)]
    row.extend(
        f'{rate:.1f}' for rate in (group.rate_per_s, group.goodput_per_s)
    )
    row.append(f'{group.good_share:.3f}')
    row.extend(str(count) for count in group.outcomes.values())
    row.append(str(group.sendings))
    row.extend('-' if at_s is None else f'{at_s:.3f}' for at_s in times)
    return row
