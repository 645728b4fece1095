"""Detection of a narrow inbound link from the bytes received over it."""

from __future__ import annotations

import math
from collections import deque

from attrs import define, field

WINDOW_S = 0.5
"""Time in seconds over which received bytes are compared with the link rate."""

NARROW_HOLD_S = 2.0
"""Time in seconds after which several concurrent reads are tried again."""


@define
class InboundLink:
    """Tracks received bytes and reads in flight to detect a narrow link.

    Without the check, all reads in flight fill the queue of a link whose
    capacity dropped. Each read stalls and is retried at another host, so the
    queue grows; requests and status messages wait in it for seconds, and
    chunks of cancelled reads arrive nevertheless.

    Parameters
    ----------
    link_bytes_per_s
        The link's nominal rate.
    narrow_share
        The link is narrow if it delivers less than this share of its rate
        while several reads are in flight; 0 disables the check.

    Attributes
    ----------
    limit
        Rate to which reads are limited, in bytes per second. Below the narrow
        share, several reads would only take turns.
    """

    link_bytes_per_s: float
    narrow_share: float
    limit: float = field(default=math.inf, init=False)
    _received: deque[tuple[float, int]] = field(factory=deque, init=False)
    _concurrent_since: float | None = field(default=None, init=False)
    _narrow_until: float = field(default=0, init=False)

    def on_bytes(self, size: int, *, now: float) -> None:
        """Record received bytes."""
        self._received.append((now, size))
        self._discard_old(now)

    def on_reads(self, in_flight: int, *, now: float) -> None:
        """Record the number of reads in flight."""
        if in_flight <= 1:
            self._concurrent_since = None
        elif self._concurrent_since is None:
            self._concurrent_since = now

    def rate(self, now: float) -> float:
        """Return the bytes per second received of late."""
        self._discard_old(now)
        return sum(size for _, size in self._received) / WINDOW_S

    def is_narrow(self, now: float) -> bool:
        """Return whether the link carries only one read at a time."""
        if self.limit < self.narrow_share * self.link_bytes_per_s:
            return True
        if now < self._narrow_until:
            return True
        if (
            self._concurrent_since is None
            or now - self._concurrent_since < WINDOW_S
        ):
            return False
        if self.rate(now) >= self.narrow_share * self.link_bytes_per_s:
            return False
        self._narrow_until = now + NARROW_HOLD_S
        self._concurrent_since = None
        return True

    def _discard_old(self, now: float) -> None:
        while self._received and self._received[0][0] < now - WINDOW_S:
            self._received.popleft()
