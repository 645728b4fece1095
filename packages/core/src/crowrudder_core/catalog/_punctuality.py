"""Detection of delayed event-loop ticks."""

from __future__ import annotations

import math

from attrs import define

LATE_TICK_S = 0.15
"""A tick delayed by more than this shows that the process was suspended or
starved."""


@define
class TickMonitor:
    """Tracks the regular ticks of an event loop.

    A process that was paused or suspended, or that lacks processor time, reads
    answers long after they arrived, and the answers don't show the delay.

    Times are seconds of a clock that includes suspensions.

    Parameters
    ----------
    interval_s
        Time between two ticks.
    """

    interval_s: float
    _ticked_at: float = math.inf
    _late_at: float = -math.inf

    def on_tick(self, now: float) -> None:
        """Record a tick."""
        if self._is_overdue(now):
            self._late_at = now
        self._ticked_at = now

    def is_on_time(self, now: float) -> bool:
        """Return whether data read now can't have waited for long.

        A late tick may run before data that arrived during the delay is read.
        """
        return (
            not self._is_overdue(now) and now - self._late_at > self.interval_s
        )

    def _is_overdue(self, now: float) -> bool:
        return now - self._ticked_at > self.interval_s + LATE_TICK_S
