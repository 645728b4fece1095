"""Whether a process gets to its work in time."""

from __future__ import annotations

import math

from attrs import define

LATE_S = 0.15
"""A tick that comes so much too late tells of a process that stood still."""


@define
class Punctuality:
    """Follows regular ticks of an event loop.

    A process that was frozen or suspended, or that is short of processor time,
    reads answers long after they came, and can't see that from the answers.

    Times are seconds of a clock that counts suspensions.

    Parameters
    ----------
    every_s
        Time between two ticks.
    """

    every_s: float
    _ticked_at: float = math.inf
    _late_at: float = -math.inf

    def on_tick(self, now: float) -> None:
        """Take a tick."""
        if self._is_overdue(now):
            self._late_at = now
        self._ticked_at = now

    def is_given(self, now: float) -> bool:
        """Whether nothing that is read now can have waited for long.

        A late tick may come before what has waited with it is read.
        """
        return not self._is_overdue(now) and now - self._late_at > self.every_s

    def _is_overdue(self, now: float) -> bool:
        return now - self._ticked_at > self.every_s + LATE_S
