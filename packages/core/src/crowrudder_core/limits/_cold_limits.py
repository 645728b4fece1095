"""Limits of upstreams that are cold after a start."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, Protocol

from attrs import define, field

from crowrudder_model import ranked, score

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

SAFE_SHARE = 0.8
"""Share of the rate of a cold upstream that all entries together use. What is
above it is for requests that are delayed on their way and arrive together, and
for a partition in which each side uses all of it."""

WINDOW_S = 1.0
"""Upstreams count the requests of any second."""


MIN_WAIT_S = 0.001
"""Least wait while the quota is used up. Without it, rounding gave a wait of 0
for a request that is still in the window."""


OCCUPIED_WAIT_S = 1.0
"""Wait while a request of this entry runs that has to end first; when it will
isn't known."""

SCORES = 2**64
"""Number of scores of rendezvous hashing."""


class EntryQuota(Protocol):
    """Returns how many requests this entry may send in a window."""

    def __call__(self, upstream_id: str, per_s: float) -> int:
        """Compute the quota."""


def cold_quota(
    own: str,
    upstream_id: str,
    per_s: float,
    *,
    near: Sequence[str],
    far: Sequence[str],
) -> int:
    """Return how many requests an entry may send to a cold upstream in a window.

    Few entries send to it, so that the sum over all of them is bounded in
    every window: a fraction of a request for each of many entries isn't. All
    entries compute the same senders.

    Parameters
    ----------
    own
        IP address of the entry.
    per_s
        Requests a second that the upstream accepts from all entries together.
    near, far
        IP addresses of the entries in the upstream's region, and of others,
        which send only if there are none in its region.

    Example
    -------
    >>> cold_quota('a', 'u', 5, near=['a', 'b'], far=['c'])
    2
    >>> cold_quota('c', 'u', 5, near=['a', 'b'], far=['c'])
    0
    """
    total = _total(per_s)
    senders = ranked(f'cold|{upstream_id}', near or far)[:total]
    return total // len(senders) if own in senders else 0


def lone_cold_quota(
    own: str, upstream_id: str, per_s: float, *, entries: int
) -> int:
    """Return the same for an entry that has never heard of another one.

    It is 1 or 0. Such entries can't rank each other, so that each decides by
    its own score whether it sends. If ``entries`` of them do so, the mean
    number that send is that of whole requests of the limit; all send if there
    are fewer. Of 45 entries with a limit of 17 a second, at most 28 send to one
    of 20,000 upstreams; the bound is 30.

    Parameters
    ----------
    entries
        Most entries that the fleet may have.

    Example
    -------
    >>> lone_cold_quota('a', 'u', 5, entries=4)
    1
    >>> names = [f'10.0.0.{number}' for number in range(100)]
    >>> sum(lone_cold_quota(own, 'u', 5, entries=100) for own in names)
    2
    """
    share = _total(per_s) / max(entries, 1)
    return int(score(f'cold|{upstream_id}', own) < share * SCORES)


def _total(per_s: float) -> int:
    """Return how many requests all entries may send in a window."""
    return max(int(SAFE_SHARE * per_s * WINDOW_S), 1)


@define
class _LimitedUpstream:
    """An upstream with a limit while it is cold; ``per_s`` is 0 without one."""

    per_s: float
    until: float = -math.inf
    is_listed: bool = True
    sent_at: deque[float] = field(factory=deque)

    def is_cold(self, now: float) -> bool:
        return self.per_s > 0 and now < self.until

    def drop_old(self, now: float) -> None:
        while self.sent_at and self.sent_at[0] <= now - WINDOW_S:
            self.sent_at.popleft()


@define
class ColdLimits:
    """One entry's share of what cold upstreams accept.

    A cold upstream that gets more requests in a second than it can bear
    crashes. The window slides: a bucket would allow its burst on top of the
    rate. Requests are also counted while the upstream isn't cold: those of the
    last second count when it becomes so.

    Parameters
    ----------
    entry_quota
        Returns this entry's quota for an upstream.
    is_occupied
        Returns whether a request that runs at an upstream has to end before
        this entry sends the next one there; None if none has.
    """

    _entry_quota: EntryQuota
    _is_occupied: Callable[[str], bool] | None = None
    _known: dict[str, _LimitedUpstream] = field(factory=dict)

    def on_cold(self, upstream_id: str, *, until: float, per_s: float) -> None:
        """Record until when an upstream is cold; one in the past ends it."""
        self.on_rate(upstream_id, per_s)
        self._known[upstream_id].until = until

    def on_rate(self, upstream_id: str, per_s: float) -> None:
        """Record the limit of a listed upstream by the configuration."""
        known = self._known.setdefault(upstream_id, _LimitedUpstream(per_s))
        known.per_s = per_s
        known.is_listed = True

    def on_gone(self, upstream_id: str) -> None:
        """Remove an upstream whose incarnation has ended."""
        self._known.pop(upstream_id, None)

    def on_unlisted(self, upstream_id: str, *, now: float) -> None:
        """Remove an upstream without a record as soon as it isn't cold any more.

        Its record may have lapsed in an outage of the platform and return.
        """
        known = self._known.get(upstream_id)
        if known is not None:
            known.is_listed = False
        self._known = {
            other: each
            for other, each in self._known.items()
            if each.is_listed or each.is_cold(now)
        }

    def left_s(self, upstream_id: str, *, now: float) -> float:
        """Return how long an upstream is still cold; 0 if it isn't."""
        known = self._known.get(upstream_id)
        if known is None or not known.is_cold(now):
            return 0
        return known.until - now

    def count(self, *, now: float) -> int:
        """Return how many upstreams are cold."""
        return sum(known.is_cold(now) for known in self._known.values())

    def quota(self, upstream_id: str, *, now: float) -> int:
        """Return this entry's quota for a cold upstream; 0 if it isn't cold."""
        known = self._known.get(upstream_id)
        if known is None or not known.is_cold(now):
            return 0
        return self._entry_quota(upstream_id, known.per_s)

    def total_per_s(self, upstream_id: str, *, now: float) -> float:
        """Return what all entries together may send; 0 if it isn't cold."""
        known = self._known.get(upstream_id)
        if known is None or not known.is_cold(now):
            return 0
        return _total(known.per_s) / WINDOW_S

    def any_entry_wait_s(self, upstream_id: str, *, now: float) -> float:
        """Return the seconds until this or another entry may send a request.

        Others may if this one has no quota; when isn't known, but each may
        again within a window.
        """
        wait_s = self.wait_s(upstream_id, now=now)
        if wait_s > 0 and not self.quota(upstream_id, now=now):
            return min(wait_s, WINDOW_S)
        return wait_s

    def wait_s(self, upstream_id: str, *, now: float) -> float:
        """Return the seconds until a request may be sent to an upstream.

        It is the rest of its cold time if this entry may send nothing in it.
        """
        known = self._known.get(upstream_id)
        if known is None or not known.is_cold(now):
            return 0
        quota = self._entry_quota(upstream_id, known.per_s)
        known.drop_old(now)
        left_s = known.until - now
        if quota and self._is_occupied and self._is_occupied(upstream_id):
            return min(OCCUPIED_WAIT_S, left_s)
        if len(known.sent_at) < quota:
            return 0
        if not quota:
            return left_s
        wait_s = known.sent_at[-quota] + WINDOW_S - now
        return min(max(wait_s, MIN_WAIT_S), left_s)

    def has_capacity(self, upstream_id: str, *, now: float) -> bool:
        """Return whether a request may be sent to an upstream now."""
        return self.wait_s(upstream_id, now=now) <= 0

    def take(self, upstream_id: str, *, now: float) -> None:
        """Count a request that is sent."""
        known = self._known.get(upstream_id)
        if known is not None and known.per_s > 0:
            known.drop_old(now)
            known.sent_at.append(now)
