"""What weights may take of one direction of the machine's link."""

from __future__ import annotations

from attrs import define

MEAN_S = 1.0
LEAST_SHARE = 0.05
"""Weights always get this much, so that a transfer never stops for good."""


@define(kw_only=True)
class LinkShare:
    """A token bucket whose rate yields to live requests.

    While requests run, weights get at most ``live_share`` of the link less
    the bytes that the answers took lately; otherwise the whole link. Takers
    queue: each is told how long to wait before it sends.

    Parameters
    ----------
    rate
        The link's bytes a second.
    burst
        Bytes that may go at once.

    Example
    -------
    >>> link = LinkShare(rate=10.0, burst=0.0)
    >>> link.reserve(10, now=0.0)
    1.0
    """

    rate: float
    burst: float
    live_share: float = 0.9
    live_rate: float = 0
    live_runs: int = 0
    _free_at: float = 0
    _heard_at: float = 0

    def on_live(self, size: int, runs: int, *, now: float) -> None:
        """Note the bytes of answers since the last word, and running ones."""
        passed = now - self._heard_at
        if passed <= 0:
            return
        weight = min(passed / MEAN_S, 1.0)
        self.live_rate += weight * (size / passed - self.live_rate)
        self.live_runs = runs
        self._heard_at = now

    @property
    def weights_rate(self) -> float:
        """Bytes a second that weights may take now."""
        if not self.live_runs:
            return self.rate
        left = self.live_share * self.rate - self.live_rate
        return max(left, LEAST_SHARE * self.rate)

    def reserve(self, size: int, *, now: float) -> float:
        """Take bytes; give the seconds to wait before they may go."""
        rate = self.weights_rate
        start = max(self._free_at, now - self.burst / rate)
        self._free_at = start + size / rate
        return max(self._free_at - now, 0.0)
