"""Aligned timers, so that periodic checks wake a process together.

Separate wake-ups for each check would take most of the CPU time of an idle
process.
"""

from __future__ import annotations

import asyncio
import math

TICK_S = 0.1
"""Time between two ticks in seconds; periods are whole multiples of it."""

_MIN_S = TICK_S / 100


def until_tick_s(period_s: float) -> float:
    """Return the time to the next tick of a period in seconds.

    Ticks of all periods are aligned on the clock of the event loop. At most the
    period plus a hundredth of a tick.

    Parameters
    ----------
    period_s
        Time between two checks; rounded down to whole ticks, at least one.

    Example
    -------
    >>> import asyncio
    >>> async def until_next():
    ...     return 0 < until_tick_s(0.3) <= 0.3
    >>> asyncio.run(until_next())
    True
    """
    now = asyncio.get_running_loop().time()
    period_s = max(math.floor(period_s / TICK_S + _MIN_S), 1) * TICK_S
    left_s = period_s - now % period_s
    return left_s if left_s > _MIN_S else left_s + period_s


async def sleep_to_tick(period_s: float) -> None:
    """Sleep until the next tick of a period."""
    await asyncio.sleep(until_tick_s(period_s))
