"""A retry budget that all entries keep together without shared state."""

from __future__ import annotations

from collections import deque

from attrs import define, field, frozen

SAFETY_FACTOR = 0.8
"""Share of the bound that is used.

The windows slide, and an arrival is counted where it arrives, a little later
than it was sent. Entries also differ briefly in how many entries they know.
"""


@frozen(kw_only=True)
class BudgetState:
    """What an entry has spent of a service's budget, and what it may spend.

    Parameters
    ----------
    requests, arrivals
        Requests in the current window, and arrivals beyond their first.
    allowed
        Arrivals that the window may have; a fraction.
    """

    requests: int
    arrivals: int
    allowed: float


@define
class _Window:
    """Times of requests and of arrivals beyond their first."""

    firsts: deque[float] = field(factory=deque)
    repeats: deque[float] = field(factory=deque)

    def drop_before(self, cutoff: float) -> None:
        for times in (self.firsts, self.repeats):
            while times and times[0] < cutoff:
                times.popleft()


@define(kw_only=True)
class SharedRetryBudget:
    """Arrivals beyond the first of each request, by service and window.

    Each entry may use a ratio of its own requests, which over all entries is
    that ratio of all requests, and an equal part of the fixed number. Without
    such a budget, every entry would send each request to a failing service
    twice, and the added load would make it fail more.

    Parameters
    ----------
    share
        Arrivals beyond the first as a share of the requests.
    extra
        Further arrivals per window, of all entries together.
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

    def take(self, service: str, *, entry_share: float, now: float) -> bool:
        """Spend one further arrival; return whether the share allowed it.

        ``entry_share`` is this entry's share of the fixed number, 0 to 1.
        """
        if not self.has(service, entry_share=entry_share, now=now):
            return False
        self._window(service, now).repeats.append(now)
        return True

    def give_back(self, service: str) -> None:
        """Return an arrival that was spent and never sent.

        The oldest one is removed: whichever it was, at least as many are left
        in any later window as have arrived.
        """
        window = self._windows.get(service)
        if window is not None and window.repeats:
            window.repeats.popleft()

    def has(self, service: str, *, entry_share: float, now: float) -> bool:
        """Return whether one further arrival could be spent."""
        state = self.state(service, entry_share=entry_share, now=now)
        return state.arrivals + 1 <= state.allowed

    def state(
        self, service: str, *, entry_share: float, now: float
    ) -> BudgetState:
        """Return what was spent in the current window, and what may be."""
        window = self._window(service, now)
        allowed = self.share * len(window.firsts) + self.extra * entry_share
        return BudgetState(
            requests=len(window.firsts),
            arrivals=len(window.repeats),
            allowed=SAFETY_FACTOR * allowed,
        )

    def _window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.drop_before(now - self.window_s)
        return window
