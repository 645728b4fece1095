"""A rate that all entries keep together without shared state."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_core.limits._buckets import TokenBucket
from crowrudder_model import ranked

if TYPE_CHECKING:
    from collections.abc import Sequence

LEAST_SENDERS = 3
"""Entries that send to a limited upstream; two may die at once."""

LEAST_PER_S = 0.05
"""A lower rate counts as this one: an upstream that gets no request at all
can't tell that its limit has ended."""

STANDS_S = 20.0
"""How long a limit stands that no answer repeats."""

STANDS_REQUESTS = 6.0
"""The same in requests at the limited rate, where that is longer."""

SAVED = 3.0
SAVED_S = 1.5
"""Requests that all senders together may save up, and those of so many seconds
beside: what they save up comes on top of the rate."""


def senders_of(
    upstream_id: str, per_s: float, near: Sequence[str], far: Sequence[str]
) -> list[str]:
    """Give the entries that send to a limited upstream, the same everywhere.

    Few, so that each has a part that matters: of one request a second among
    dozens of entries, each would have one in a minute, and all that they may
    save up together would be far above the limit.

    Parameters
    ----------
    near, far
        IP numbers of the entries in the upstream's region, and of others.
    """
    count = max(LEAST_SENDERS, math.ceil(per_s))
    key = f'limit|{upstream_id}'
    chosen = ranked(key, near)[:count]
    if len(chosen) < count:
        chosen += ranked(key, far)[: count - len(chosen)]
    return chosen


@define
class SharedRate:
    """One entry's part of the rate that an upstream takes from all.

    Parameters
    ----------
    per_s
        Requests a second that it takes from all entries together.
    said_at
        When it said so last, seconds on the own clock.

    Example
    -------
    >>> rate = SharedRate(per_s=1.0, said_at=0.0)
    >>> rate.set_part(0.5, now=0.0)
    >>> rate.has_room(now=1.0), rate.has_room(now=2.0)
    (False, True)
    """

    per_s: float
    said_at: float
    _bucket: TokenBucket = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin without anything saved up."""
        self._bucket = TokenBucket(rate=0, burst=1, at=self.said_at)
        self._bucket.tokens = 0

    def is_over(self, now: float) -> bool:
        """Whether it is so long ago that it counts no more."""
        per_s = max(self.per_s, LEAST_PER_S)
        return now - self.said_at > max(STANDS_S, STANDS_REQUESTS / per_s)

    def set_part(self, part: float, *, now: float) -> None:
        """Take this entry's part of the rate, 0 to 1."""
        per_s = max(self.per_s, LEAST_PER_S)
        rate = part * per_s
        if rate != self._bucket.rate:
            self._bucket.take(0, now=now)
            self._bucket.rate = rate
            self._bucket.burst = max(part * (SAVED + SAVED_S * per_s), 1)

    def has_room(self, *, now: float) -> bool:
        """Whether a request could be sent now."""
        return self._bucket.wait_s(1, now=now) <= 0

    def take(self, *, now: float) -> bool:
        """Spend one request of this entry's part."""
        return self._bucket.take(1, now=now)

    def wait_s(self, *, now: float) -> float:
        """Give the seconds until a request can be sent from here."""
        return self._bucket.wait_s(1, now=now)
