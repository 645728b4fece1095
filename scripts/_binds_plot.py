"""Plot of request outcomes; needs matplotlib from the `report` extra."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

from _binds_tables import RequestOutcome

if TYPE_CHECKING:
    from _binds_tables import Window

_INCHES = (10.0, 4.5)
_DOTS_PER_INCH = 110


def draw(
    windows: dict[tuple[int, str], Window], width_s: float, file: str
) -> None:
    """Draw stacked bars of each window's request outcomes, over all routes."""
    pyplot: Any = importlib.import_module('matplotlib.pyplot')
    numbers = sorted({number for number, _ in windows})
    starts = [number * width_s for number in numbers]
    figure, axes = pyplot.subplots(figsize=_INCHES)
    below = [0 for _ in numbers]
    for request_outcome in RequestOutcome:
        counts = [
            sum(
                window.outcomes[request_outcome]
                for (number, _), window in windows.items()
                if number == each
            )
            for each in numbers
        ]
        axes.bar(
            starts, counts, width_s, bottom=below, label=request_outcome.value
        )
        below = [
            lower + count for lower, count in zip(below, counts, strict=True)
        ]
    axes.set_xlabel('arrived, seconds')
    axes.set_ylabel('requests')
    axes.legend(fontsize='small', ncols=len(RequestOutcome))
    figure.savefig(file, dpi=_DOTS_PER_INCH, bbox_inches='tight')
    pyplot.close(figure)
