"""How many requests a customer may have under way in one entry."""

from __future__ import annotations

from collections import Counter

from attrs import define, field

CROWDED = 0.8
"""From this part of the room on, no customer may grow beyond its share."""

LEAST_SHARE = 0.02
"""Room that every customer has, also without a declared share."""


@define
class ConcurrencyShares:
    """The room for requests of an entry, kept open for every customer.

    Example
    -------
    >>> room = ConcurrencyShares(most=10)
    >>> room.enter('large', share=0.5)
    True
    """

    most: int
    _inside: Counter[str] = field(factory=Counter, init=False)
    _total: int = field(default=0, init=False)

    def enter(self, customer: str, *, share: float) -> bool:
        """Count a request in; false where it has no room."""
        if self._total >= self.most:
            return False
        if self._total >= CROWDED * self.most:
            own = max(share, LEAST_SHARE) * self.most
            if self._inside[customer] >= own:
                return False
        self._inside[customer] += 1
        self._total += 1
        return True

    def leave(self, customer: str) -> None:
        """Count a request out."""
        self._inside[customer] -= 1
        self._total -= 1
        if not self._inside[customer]:
            self._inside.pop(customer)
