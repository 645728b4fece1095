"""A pause that an upstream asked for, and the gradual return after it."""

from __future__ import annotations

import math

from attrs import define

MAX_PAUSE_S = 3600.0
"""Longest pause in seconds; a longer one is shortened to this."""

DOUBLING_S = 0.25
"""Interval at which the requests that may follow a pause double."""

RETURN_S = 1.0
"""Time after the end of a pause from which on requests aren't counted."""


@define
class Pause:
    """No requests until ``until``, then one, two, four within each interval.

    Entries that were asked at the same time resume at the same time. If each
    sent all that it has, the upstream would be overloaded again at once.

    Parameters
    ----------
    until
        End of the pause, seconds on the own clock.

    Example
    -------
    >>> pause = Pause(until=10.0)
    >>> pause.wait_s(9.0), pause.wait_s(10.0)
    (1.0, 0.0)
    >>> pause.on_sent()
    >>> pause.wait_s(10.0)
    0.25
    """

    until: float
    sent: int = 0

    def extend(self, until: float) -> None:
        """Apply another request for a pause; the later end counts."""
        if until > self.until:
            self.until = until
            self.sent = 0

    def wait_s(self, now: float) -> float:
        """Return the seconds until the next request may be sent."""
        next_at = self.until + DOUBLING_S * math.log2(self.sent + 1)
        return max(next_at - now, 0)

    def on_sent(self) -> None:
        """Count a request that is sent after the pause."""
        self.sent += 1

    def is_over(self, now: float) -> bool:
        """Return whether the pause and the return after it have ended."""
        return now >= self.until + RETURN_S
