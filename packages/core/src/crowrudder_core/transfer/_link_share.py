"""The share of one direction of the host's link that weights may use."""

from __future__ import annotations

from attrs import define, field

from crowrudder_core.transfer._adaptive_rate import AdaptiveRate

LIVE_RATE_WINDOW_S = 1.0
MIN_WEIGHTS_SHARE = 0.05
"""Share of the link that weights always get, so that a transfer never stops."""


@define(kw_only=True)
class LinkShare:
    """A token bucket whose rate yields to live requests.

    While requests run, weights get at most ``live_share`` of the link minus
    the recent rate of the answers; otherwise the full link. Reservations
    queue: each returns the time to wait before sending.

    Parameters
    ----------
    rate
        The link's rate, bytes per second.
    burst
        Bytes that may be sent at once.

    Attributes
    ----------
    adaptive
        Limits weights further while the link carries less than its rate.

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
    live_requests: int = 0
    adaptive: AdaptiveRate = field(init=False)
    _free_at: float = 0
    _updated_at: float = 0

    def __attrs_post_init__(self) -> None:
        """Start with the nominal rate."""
        self.adaptive = AdaptiveRate(self.rate)

    def on_live_traffic(self, size: int, requests: int, *, now: float) -> None:
        """Record answer bytes since the last call, and the running requests."""
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        weight = min(elapsed_s / LIVE_RATE_WINDOW_S, 1.0)
        self.live_rate += weight * (size / elapsed_s - self.live_rate)
        self.live_requests = requests
        self._updated_at = now

    @property
    def weights_rate(self) -> float:
        """Bytes per second that weights may use now."""
        if not self.live_requests:
            return min(self.rate, self.adaptive.limit)
        left = self.live_share * self.rate - self.live_rate
        least = MIN_WEIGHTS_SHARE * self.rate
        return min(max(left, least), self.adaptive.limit)

    def reserve(self, size: int, *, now: float) -> float:
        """Reserve bytes and return the seconds to wait before sending them."""
        rate = self.weights_rate
        start = max(self._free_at, now - self.burst / rate)
        self._free_at = start + size / rate
        return max(self._free_at - now, 0.0)
