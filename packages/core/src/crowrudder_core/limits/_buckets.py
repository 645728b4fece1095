"""Token bucket and retry budget; the time is passed in by the caller."""

from __future__ import annotations

from attrs import define, field


@define
class TokenBucket:
    """Tokens that are refilled at a rate, up to a burst.

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
    refilled_at: float = 0
    tokens: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.tokens = self.burst

    def take(self, count: float, *, now: float) -> bool:
        """Remove tokens if there are enough; return whether there were."""
        self._refill(now)
        if self.tokens < count:
            return False
        self.tokens -= count
        return True

    def wait_s(self, count: float, *, now: float) -> float:
        """Return the seconds until ``count`` tokens are available."""
        self._refill(now)
        missing = max(min(count, self.burst) - self.tokens, 0.0)
        return missing / self.rate if self.rate else float('inf')

    def _refill(self, now: float) -> None:
        elapsed_s = max(now - self.refilled_at, 0.0)
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate)
        self.refilled_at = max(now, self.refilled_at)


INITIAL_RETRIES = 1.0
"""Retries that are allowed before any first attempt was sent."""

MAX_UNUSED_RETRIES = 10.0
"""Most unused retries that are kept."""


@define
class RetryBudget:
    """Retries as a share of first attempts, to prevent retry storms."""

    share: float
    balance: float = INITIAL_RETRIES

    def on_first(self) -> None:
        """Count a first attempt."""
        self.balance = min(self.balance + self.share, MAX_UNUSED_RETRIES)

    def take(self) -> bool:
        """Spend one retry; return whether the budget had one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
