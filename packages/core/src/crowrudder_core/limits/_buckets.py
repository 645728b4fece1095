"""Token bucket and retry budget, both pure in the time."""

from __future__ import annotations

from attrs import define, field


@define
class TokenBucket:
    """Tokens that refill at a rate up to a burst.

    Parameters
    ----------
    rate
        Tokens a second.
    burst
        Most tokens held.

    Example
    -------
    >>> bucket = TokenBucket(rate=1.0, burst=2.0)
    >>> bucket.take(1.0, now=0.0)
    True
    """

    rate: float
    burst: float
    at: float = 0
    tokens: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.tokens = self.burst

    def take(self, count: float, *, now: float) -> bool:
        """Take tokens if there are enough."""
        self._refill(now)
        if self.tokens < count:
            return False
        self.tokens -= count
        return True

    def wait_s(self, count: float, *, now: float) -> float:
        """Seconds until so many tokens will be there."""
        self._refill(now)
        missing = max(min(count, self.burst) - self.tokens, 0.0)
        return missing / self.rate if self.rate else float('inf')

    def _refill(self, now: float) -> None:
        passed = max(now - self.at, 0.0)
        self.tokens = min(self.burst, self.tokens + passed * self.rate)
        self.at = max(now, self.at)


RETRY_FLOOR = 1.0
"""Retries that are allowed even when nothing was sent before."""

RETRY_CEILING = 10.0
"""Most unused retries that are kept."""


@define
class RetryBudget:
    """Retries as a share of first attempts, so that failure brings no storm."""

    share: float
    balance: float = RETRY_FLOOR

    def on_first(self) -> None:
        """Count a first attempt."""
        self.balance = min(self.balance + self.share, RETRY_CEILING)

    def take(self) -> bool:
        """Spend one retry if the budget has it."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
