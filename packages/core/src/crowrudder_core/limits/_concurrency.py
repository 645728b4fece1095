"""How many requests a customer may have in progress at one entry."""

from __future__ import annotations

from collections import Counter

from attrs import define, field

CROWDED_OCCUPANCY = 0.8
"""Share of the capacity in use from which on no customer may exceed its
share."""

MIN_SHARE = 0.02
"""Share of the capacity that every customer has, even without a declared
share."""


@define
class ConcurrencyShares:
    """An entry's capacity for requests, shared among its customers.

    Example
    -------
    >>> shares = ConcurrencyShares(max_requests=10)
    >>> shares.enter('large', share=0.5)
    True
    """

    max_requests: int
    _in_progress: Counter[str] = field(factory=Counter, init=False)
    _total: int = field(default=0, init=False)

    def enter(self, customer: str, *, share: float) -> bool:
        """Count a request in; return whether there was capacity for it."""
        if self._total >= self.max_requests:
            return False
        if self._total >= CROWDED_OCCUPANCY * self.max_requests:
            guaranteed = max(share, MIN_SHARE) * self.max_requests
            if self._in_progress[customer] >= guaranteed:
                return False
        self._in_progress[customer] += 1
        self._total += 1
        return True

    def leave(self, customer: str) -> None:
        """Count a request out."""
        self._in_progress[customer] -= 1
        self._total -= 1
        if not self._in_progress[customer]:
            self._in_progress.pop(customer)
