"""A rate that all entries keep together without shared state."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_core.limits._buckets import TokenBucket
from crowrudder_model import ranked

if TYPE_CHECKING:
    from collections.abc import Sequence

MIN_SENDERS = 3
"""Entries that send to a limited upstream; two may fail at the same time."""

MIN_PER_S = 0.05
"""A lower rate counts as this one: an upstream that gets no requests can't
state that its limit has ended."""

LIMIT_TTL_S = 20.0
"""How long a limit counts unless an answer repeats it."""

LIMIT_TTL_REQUESTS = 6.0
"""The same as a number of requests at the limited rate; the longer of the two
times counts."""

BURST_REQUESTS = 3.0
BURST_S = 1.5
"""Burst of all senders together: a number of requests, plus the requests of
this many seconds. It comes on top of the rate."""


def senders_of(
    upstream_id: str, per_s: float, near: Sequence[str], far: Sequence[str]
) -> list[str]:
    """Return the entries that send to a limited upstream; all compute the same.

    Only few entries send, so that each has a useful share. Of one request a
    second shared by dozens of entries, each would get one in a minute, and
    their bursts together would be far above the limit.

    Parameters
    ----------
    near, far
        IP addresses of the entries in the upstream's region, and of others.
    """
    count = max(MIN_SENDERS, math.ceil(per_s))
    key = f'limit|{upstream_id}'
    chosen = ranked(key, near)[:count]
    if len(chosen) < count:
        chosen += ranked(key, far)[: count - len(chosen)]
    return chosen


@define
class SharedRate:
    """One entry's share of the rate that an upstream accepts from all entries.

    Parameters
    ----------
    per_s
        Requests a second that it accepts from all entries together.
    stated_at
        When it last stated the limit, seconds on the own clock.

    Example
    -------
    >>> rate = SharedRate(per_s=1.0, stated_at=0.0)
    >>> rate.set_share(0.5, now=0.0)
    >>> rate.has_capacity(now=1.0), rate.has_capacity(now=2.0)
    (False, True)
    """

    per_s: float
    stated_at: float
    _bucket: TokenBucket = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with an empty bucket."""
        self._bucket = TokenBucket(rate=0, burst=1, refilled_at=self.stated_at)
        self._bucket.tokens = 0

    def is_expired(self, now: float) -> bool:
        """Return whether it was stated too long ago to count."""
        per_s = max(self.per_s, MIN_PER_S)
        return now - self.stated_at > max(
            LIMIT_TTL_S, LIMIT_TTL_REQUESTS / per_s
        )

    def set_share(self, share: float, *, now: float) -> None:
        """Set this entry's share of the rate, 0 to 1."""
        per_s = max(self.per_s, MIN_PER_S)
        rate = share * per_s
        if rate != self._bucket.rate:
            self._bucket.take(0, now=now)
            self._bucket.rate = rate
            self._bucket.burst = max(
                share * (BURST_REQUESTS + BURST_S * per_s), 1
            )

    def has_capacity(self, *, now: float) -> bool:
        """Return whether a request could be sent now."""
        return self._bucket.wait_s(1, now=now) <= 0

    def take(self, *, now: float) -> bool:
        """Spend one request; return whether this entry's share allowed it."""
        return self._bucket.take(1, now=now)

    def wait_s(self, *, now: float) -> float:
        """Return the seconds until a request can be sent from this entry."""
        return self._bucket.wait_s(1, now=now)
