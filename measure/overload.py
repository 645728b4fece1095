"""What an entry serves at 0.5 to 4 times what it can serve.

The entry runs on a tenth of a core. Its capacity is what it serves a few callers
that send one request after the other. ``goodput`` is what is served before its
deadline, as a share of the capacity; ``late_sends`` counts requests that were sent
over half a second after their callers had left.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from _entry_load import Load, limited_entry

if TYPE_CHECKING:
    from collections.abc import Callable

    from _entry_load import LoadResult

    Show = Callable[[str, float | str], None]

SHARE = 0.1
"""Share of a core that the entry gets."""

CLOSED_CALLERS = 8
CLOSED_S = 5.0
DURATION_S = 6.0
MULTIPLES = (0.5, 1, 1.5, 2, 4)
MS = 1000


def run(show: Show) -> None:
    """Measure one entry at each multiple of its capacity."""
    asyncio.run(_measure(show))


async def _measure(show: Show) -> None:
    async with limited_entry(SHARE) as entry:
        closed = await entry.run_closed(CLOSED_CALLERS, CLOSED_S)
        capacity_per_s = closed.served / CLOSED_S
        request_s = closed.cpu_s / closed.served
        show('overload.request_ms', request_s * MS)
        show('overload.capacity_per_s', capacity_per_s)
        for multiple in MULTIPLES:
            load = Load(multiple * capacity_per_s, DURATION_S)
            result = await entry.run(load)
            _show_result(
                show, f'overload.x{multiple:g}', result, capacity_per_s
            )
            refusal_s = result.cpu_s - result.served * request_s
            if result.refused:
                show(
                    f'overload.x{multiple:g}.refusal_ms',
                    refusal_s / result.refused * MS,
                )


def _show_result(
    show: Show, name: str, result: LoadResult, capacity_per_s: float
) -> None:
    served_per_s = result.served / result.load.duration_s
    late_sends = result.late_sends
    show(f'{name}.calls', len(result.calls))
    show(f'{name}.goodput', served_per_s / capacity_per_s)
    show(f'{name}.served', result.served)
    show(f'{name}.refused', result.refused)
    show(f'{name}.refused_early', result.refused_early)
    show(f'{name}.late_sends', len(late_sends))
    show(f'{name}.latest_send_s', max(late_sends, default=0))
