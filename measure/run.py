"""Run the measurements and print a ``name=value`` line for each figure.

Usage:
  run.py [--out=FILE] [AREA ...]

AREA is the name of a module beside this one (weights, route, dispatch,
config, codec, state, overload, priorities, uneven);
without one, all run. ``--out`` appends the lines to a file as well.

Each area is a module with ``run(show)``, where ``show(name, value)`` prints.
"""

from __future__ import annotations

import importlib
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from docopt import docopt

if TYPE_CHECKING:
    from collections.abc import Callable

AREAS = (
    'weights',
    'route',
    'dispatch',
    'config',
    'codec',
    'state',
    'overload',
    'priorities',
    'uneven',
)
BY_NAME = (
    'notified',
    'priority_patterns',
    'records',
    'retry_budget',
    'weights_choices',
    'weights_returns',
    'weights_window',
)


def available() -> list[str]:
    """Return the areas that have a module here, in a fixed order."""
    here = Path(__file__).parent
    return [area for area in AREAS if (here / f'{area}.py').exists()]


def make_show(out: str | None) -> Callable[[str, float | str], None]:
    """Return the function that prints a figure."""

    def show(name: str, figure: float | str) -> None:
        text = figure if isinstance(figure, str) else f'{figure:.4g}'
        line = f'{name}={text}'
        print(line, flush=True)
        if out:
            with Path(out).open('a', encoding='utf-8') as stream:
                stream.write(f'{line}\n')

    return show


def main() -> int:
    """Run the requested areas."""
    options = docopt(__doc__ or '')
    areas = options['AREA'] or available()
    unknown = sorted(set(areas) - {*available(), *BY_NAME})
    if unknown:
        print(f'no such area: {", ".join(unknown)}', file=sys.stderr)
        return 2
    # Some areas start fleets of processes, as the scripts do.
    sys.path.append(str(Path(__file__).parent.parent / 'scripts'))
    for area in areas:
        importlib.import_module(area).run(make_show(options['--out']))
    return 0


if __name__ == '__main__':
    sys.exit(main())
