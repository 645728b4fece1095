"""Counts whose events lose weight with their age."""

from __future__ import annotations

import math

from attrs import define


@define
class DecayingCount:
    """A count in which an event weighs a third after the time constant.

    Example
    -------
    >>> count = DecayingCount(time_constant_s=2.0)
    >>> count.add(now=0.0)
    >>> round(count.value(now=2.0), 3)
    0.368
    """

    time_constant_s: float
    _value: float = 0
    _updated_at: float = 0

    def add(self, *, now: float) -> None:
        """Count an event."""
        self._value = self.value(now=now) + 1
        self._updated_at = now

    def value(self, *, now: float) -> float:
        """Return the weighted number of events."""
        age_s = max(now - self._updated_at, 0)
        return self._value * math.exp(-age_s / self.time_constant_s)
