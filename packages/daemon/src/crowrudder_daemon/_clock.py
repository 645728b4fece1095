"""The clock for ages and deadlines in a fleet's processes."""

from __future__ import annotations

import time


def clock_s() -> float:
    """Return seconds since the host's boot, including time suspended.

    The event loop's clock stops while a host is suspended. With it, a resumed
    process would treat a request whose caller has left as a fresh one, and
    begin work after its deadline.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
