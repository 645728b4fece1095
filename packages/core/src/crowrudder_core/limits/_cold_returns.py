"""When callers that cold upstreams have refused are to come back."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Hashable


@define
class ColdReturns:
    """Gives each refused caller a time of its own to come back.

    A cold upstream accepts a few requests a second. If all refused callers came
    back when it accepts the next one, all but one would be refused again.

    Example
    -------
    >>> returns = ColdReturns()
    >>> [
    ...     returns.wait_s('a', first_s=0.5, spacing_s=0.25, last_s=1.0, now=8)
    ...     for _ in range(4)
    ... ]
    [0.5, 0.75, 1.0, 1.0]
    """

    _next_at: dict[Hashable, float] = field(factory=dict)

    def wait_s(
        self,
        group: Hashable,
        *,
        first_s: float,
        spacing_s: float,
        last_s: float,
        now: float,
    ) -> float:
        """Return the seconds after which the next caller is to come back.

        Parameters
        ----------
        group
            Callers that the same upstreams may serve.
        first_s
            Time until a request is accepted.
        spacing_s
            Time between two requests that are accepted.
        last_s
            Time until an upstream accepts any number.
        """
        earliest_at = max(now + first_s, self._next_at.get(group, -math.inf))
        at = min(earliest_at, now + max(last_s, first_s))
        self._next_at = {
            other: next_at
            for other, next_at in self._next_at.items()
            if next_at > now
        }
        self._next_at[group] = at + spacing_s
        return at - now
