"""The clock by which a fleet's processes judge ages and deadlines."""

from __future__ import annotations

import time


def clock_s() -> float:
    """Give seconds since the host's start, times of suspension included.

    The event loop's clock stands still while a host is suspended. A process
    that woke up would take a request whose caller has long gone for a fresh
    one, seen as work begun after its deadline.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
