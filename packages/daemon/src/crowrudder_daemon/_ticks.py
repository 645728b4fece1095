"""Periodic looks that wake a process together.

A process that is woken for each look by itself spends most of its time at rest
on being woken.
"""

from __future__ import annotations

import asyncio
import math

TICK_S = 0.1
"""Time between two ticks, seconds; periods are whole multiples of it."""

_LEAST_S = TICK_S / 100


def until_tick_s(period_s: float) -> float:
    """Give the time to the next tick of a period, seconds.

    Ticks of all periods fall together, on the clock of the event loop. No longer
    than the period and a hundredth of a tick.

    Parameters
    ----------
    period_s
        Time between two looks; rounded down to whole ticks, at least one.

    Example
    -------
    >>> import asyncio
    >>> async def until_next():
    ...     return 0 < until_tick_s(0.3) <= 0.3
    >>> asyncio.run(until_next())
    True
    """
    now = asyncio.get_running_loop().time()
    period_s = max(math.floor(period_s / TICK_S + _LEAST_S), 1) * TICK_S
    left_s = period_s - now % period_s
    return left_s if left_s > _LEAST_S else left_s + period_s


async def sleep_to_tick(period_s: float) -> None:
    """Sleep until the next tick of a period."""
    await asyncio.sleep(until_tick_s(period_s))
