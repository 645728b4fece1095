"""Tell from a fleet's logs where requests were lost, when and why.

Usage:
  what_binds.py [--width=S] [--zero=AT] [--by-route] [--plot=FILE] LOG ...

LOG is a file with the log lines of the fleet's processes, in any order; a time
or a host may stand before each line.

Options:
  --width=S    Seconds of a window [default: 1].
  --zero=AT    Time of day from which seconds are counted, as in the lines; the
               first line's when left out.
  --by-route   One row for each window and route.
  --plot=FILE  Draw the windows as a PNG; needs `pip install .[report]`.
"""

from __future__ import annotations

import importlib
import sys
from collections import Counter
from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING

from _binds_lines import TIME_FORMAT, read_lines
from _binds_tables import (
    MILESTONES,
    RequestOutcome,
    Window,
    versions_of,
    windows_of,
)
from docopt import docopt

if TYPE_CHECKING:
    from _binds_tables import VersionTimeline

MAX_REASONS = 12


def main() -> int:
    """Print the tables and draw the plot if requested."""
    options = docopt(__doc__ or '')
    lines = sorted(
        (
            line
            for name in options['LOG']
            for line in read_lines(
                Path(name).read_text(errors='replace').splitlines()
            )
        ),
        key=lambda line: line.at,
    )
    if not lines:
        print('no line of a process of the fleet in these files')
        return 1
    zero = lines[0].at
    if options['--zero']:
        zero = datetime.strptime(options['--zero'], TIME_FORMAT).timestamp()
    width_s = float(options['--width'])
    windows = windows_of(lines, zero=zero, width_s=width_s)
    if not options['--by-route']:
        windows = _all_routes(windows)
    _show_windows(windows, width_s)
    _show_reasons(windows)
    for name, timeline in versions_of(lines, zero=zero).items():
        _show_version(name, timeline)
    if options['--plot']:
        draw = importlib.import_module('_binds_plot').draw
        draw(windows, width_s, options['--plot'])
    return 0


def _all_routes(
    windows: dict[tuple[int, str], Window],
) -> dict[tuple[int, str], Window]:
    """Sum each window's counts over all routes."""
    found: dict[tuple[int, str], Window] = {}
    for (number, _), window in windows.items():
        combined = found.setdefault((number, ''), Window())
        combined.outcomes.update(window.outcomes)
        combined.reasons.update(window.reasons)
    return found


def _show_windows(
    windows: dict[tuple[int, str], Window], width_s: float
) -> None:
    head = ''.join(
        f'{request_outcome.value:>12}' for request_outcome in RequestOutcome
    )
    print(f'{"from s":>8}{"asked":>7}{head}  route')
    for (number, route), window in sorted(windows.items()):
        counts = ''.join(
            f'{window.outcomes[request_outcome]:>12}'
            for request_outcome in RequestOutcome
        )
        asked = window.outcomes.total()
        print(f'{number * width_s:>8.1f}{asked:>7}{counts}  {route}')


def _show_reasons(windows: dict[tuple[int, str], Window]) -> None:
    combined: Counter[str] = Counter()
    for window in windows.values():
        combined.update(window.reasons)
    print('\nwhy, most often first (figures are left out)')
    for reason, count in combined.most_common(MAX_REASONS):
        print(f'{count:>7}  {reason}')


def _show_version(name: str, timeline: VersionTimeline) -> None:
    print(f'\n{name}, known from {timeline.announced_at:.2f} s on')
    head = ''.join(f'{milestone:>12}' for milestone in MILESTONES.values())
    print(f'{"host":<24}{head}')
    for host, milestones in sorted(
        timeline.hosts.items(), key=lambda each: max(each[1].values())
    ):
        row = ''.join(
            f'{milestones[milestone]:>12.2f}'
            if milestone in milestones
            else f'{"-":>12}'
            for milestone in MILESTONES.values()
        )
        print(f'{host:<24}{row}')


if __name__ == '__main__':
    sys.exit(main())
