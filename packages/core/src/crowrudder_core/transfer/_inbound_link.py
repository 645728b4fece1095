"""How many reads a host's link carries, by what comes over it."""

from __future__ import annotations

from collections import deque

from attrs import define, field

SPAN_S = 0.5
"""Time over which what comes is compared with the link, seconds."""

HOLD_S = 2.0
"""Time after which more reads are tried again, seconds."""


@define
class Inflow:
    """Notes bytes and reads, and tells a link that has become narrow.

    What goes wrong without it: a link narrows, and all reads under way put
    their bytes into its queue. Each read stalls and is asked for again at
    another host, so that the queue grows; requests and words wait in it for
    seconds, and what was taken back arrives all the same.

    Parameters
    ----------
    link_bytes_per_s
        What the link is said to carry.
    narrow_share
        Below this part of it a link that is asked for more is narrow; 0 for
        never.
    """

    link_bytes_per_s: float
    narrow_share: float
    _came: deque[tuple[float, int]] = field(factory=deque, init=False)
    _asked_since: float | None = field(default=None, init=False)
    _narrow_until: float = field(default=0, init=False)

    def on_bytes(self, size: int, *, now: float) -> None:
        """Take bytes that came."""
        self._came.append((now, size))
        self._forget(now)

    def on_reads(self, under_way: int, *, now: float) -> None:
        """Take the number of reads under way."""
        if under_way <= 1:
            self._asked_since = None
        elif self._asked_since is None:
            self._asked_since = now

    def is_narrow(self, now: float) -> bool:
        """Whether one read at a time is enough for the link."""
        if now < self._narrow_until:
            return True
        if self._asked_since is None or now - self._asked_since < SPAN_S:
            return False
        self._forget(now)
        came = sum(size for _, size in self._came)
        if came >= self.narrow_share * self.link_bytes_per_s * SPAN_S:
            return False
        self._narrow_until = now + HOLD_S
        self._asked_since = None
        return True

    def _forget(self, now: float) -> None:
        while self._came and self._came[0][0] < now - SPAN_S:
            self._came.popleft()
