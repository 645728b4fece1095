"""A retry budget that all entries keep together without shared state."""

from __future__ import annotations

from collections import deque

from attrs import define, field

SAFETY = 0.8
"""Part of the bound that is used.

Windows slide, and an arrival is counted where it arrives, a little later than
it was sent; entries also differ for a moment in how many of them they know.
"""


@define
class _Window:
    """Times of requests and of arrivals beyond their first."""

    firsts: deque[float] = field(factory=deque)
    repeats: deque[float] = field(factory=deque)

    def forget(self, before: float) -> None:
        for times in (self.firsts, self.repeats):
            while times and times[0] < before:
                times.popleft()


@define(kw_only=True)
class SharedRetryBudget:
    """Arrivals beyond the first of each request, by service and window.

    Each entry takes its part: the share of its own requests, which add up to
    the share of all, and an equal part of the fixed number. What goes wrong
    without it: a service that fails is sent everything twice by every entry,
    and fails the more.

    Parameters
    ----------
    share
        Arrivals beyond the first as a share of the requests.
    extra
        Further ones in a window, of all entries together.
    window_s
        Length of the sliding window.
    """

    share: float
    extra: float
    window_s: float
    _windows: dict[str, _Window] = field(factory=dict)

    def on_first(self, service: str, *, now: float) -> None:
        """Count a request."""
        self._window(service, now).firsts.append(now)

    def take(self, service: str, *, part: float, now: float) -> bool:
        """Spend one further arrival if this entry's part has it.

        ``part`` is this entry's part of what all entries may do, 0 to 1.
        """
        if not self.has(service, part=part, now=now):
            return False
        self._window(service, now).repeats.append(now)
        return True

    def has(self, service: str, *, part: float, now: float) -> bool:
        """Whether one further arrival could be spent."""
        window = self._window(service, now)
        allowed = self.share * len(window.firsts) + self.extra * part
        return len(window.repeats) + 1 <= SAFETY * allowed

    def _window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.forget(now - self.window_s)
        return window
