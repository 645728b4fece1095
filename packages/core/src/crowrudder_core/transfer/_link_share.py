"""The share of one direction of the host's link that weights may use."""

from __future__ import annotations

import math
from collections import deque

from attrs import define, field

LIVE_RATE_WINDOW_S = 1.0
MIN_WEIGHTS_SHARE = 0.05
"""Share of the link that weights always get, so that a transfer never stops."""

MAX_QUEUE_S = 0.15
"""Queueing delay of the link from which weights yield until it is short again.
Probes show it a few tenths of a second late."""

FULL_SHARE = 0.75
"""Share of its rate from which a link counts as fully used by weights."""

MAX_FULL_QUEUE_S = 0.4
"""The same delay for a fully used link, where some chunks always queue."""

CARRIED_WINDOW_S = 0.5
MAX_REDUCTION = 0.8
"""Least reduction: part of the bytes counted as carried may only be buffered."""

GROWTH_PER_S = 0.3
"""Share by which the rate grows per second once the queue is short. It is
multiplied by the seconds for which it has been short."""

MAX_GROWTH_PER_S = 1.0
IN_USE_S = 1.0
"""How long the link counts as used after the last byte."""


@define(kw_only=True)
class LinkShare:
    """A token bucket whose rate yields to live requests.

    While requests run, weights get at most ``live_share`` of the link minus
    the recent rate of the answers; otherwise the full link. Reservations
    queue: each returns the time to wait before sending.

    The link may carry less than its nominal rate. Then what is sent waits in
    its queue, and so does all else that uses the link, such as requests. The
    rate is reduced while the measured delay is long, and grows again after.

    Parameters
    ----------
    rate
        The link's rate, bytes per second.
    burst
        Bytes that may be sent at once.

    Example
    -------
    >>> link = LinkShare(rate=10.0, burst=0.0)
    >>> link.reserve(10, now=0.0)
    1.0
    """

    rate: float
    burst: float
    live_share: float = 0.9
    live_rate: float = 0
    live_requests: int = 0
    _limit: float = math.inf
    _is_draining: bool = False
    _measures_at: float = math.inf
    _short_since: float = -math.inf
    _measured_at: float = -math.inf
    _carried: deque[tuple[float, int]] = field(factory=deque, repr=False)
    _free_at: float = 0
    _updated_at: float = 0

    def on_live_traffic(self, size: int, requests: int, *, now: float) -> None:
        """Record answer bytes since the last call, and the running requests."""
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        weight = min(elapsed_s / LIVE_RATE_WINDOW_S, 1.0)
        self.live_rate += weight * (size / elapsed_s - self.live_rate)
        self.live_requests = requests
        self._updated_at = now

    @property
    def weights_rate(self) -> float:
        """Bytes per second that weights may use now."""
        least = MIN_WEIGHTS_SHARE * self.rate
        if not self.live_requests:
            return min(self.rate, self._limit)
        left = self.live_share * self.rate - self.live_rate
        return min(max(left, least), self._limit)

    @property
    def is_draining(self) -> bool:
        """Whether nothing new is to be sent until the queue is short."""
        return self._is_draining

    @property
    def is_limited(self) -> bool:
        """Whether the rate is reduced because the link is slow."""
        return self._is_draining or self._limit < self.rate

    def is_fully_used(self, now: float) -> bool:
        """Return whether the link carries weights at about its nominal rate."""
        return self._carried_rate(now) >= FULL_SHARE * self.rate

    def is_in_use(self, now: float) -> bool:
        """Return whether weights were carried of late."""
        return bool(self._carried) and now - self._carried[-1][0] <= IN_USE_S

    def on_carried(self, size: int, *, now: float) -> None:
        """Record bytes of weights that passed the link."""
        self._carried.append((now, size))
        while self._carried[0][0] < now - CARRIED_WINDOW_S:
            self._carried.popleft()

    def on_delay(
        self, delay_s: float, *, now: float, is_full: bool = False
    ) -> None:
        """Adapt the rate to the measured queueing delay of the link.

        The queue is drained first; then weights are sent at a little less than
        what the link carried while there was a queue.

        Parameters
        ----------
        is_full
            Whether the link is fully used, in either direction.
        """
        max_queue_s = MAX_FULL_QUEUE_S if is_full else MAX_QUEUE_S
        elapsed_s = min(now - self._measured_at, 1.0)
        self._measured_at = now
        if delay_s >= max_queue_s:
            if not self._is_draining:
                self._is_draining = True
                self._limit = self._reduced_limit(now)
                # The queue lasts for the window that begins now.
                self._measures_at = now + CARRIED_WINDOW_S
            elif now >= self._measures_at and delay_s >= CARRIED_WINDOW_S:
                self._measures_at = math.inf
                self._limit = self._reduced_limit(now)
        elif self._is_draining:
            self._is_draining = False
            self._short_since = now
        elif self._limit < self.rate:
            growth = GROWTH_PER_S * max(now - self._short_since, 1.0)
            self._limit *= 1 + min(growth, MAX_GROWTH_PER_S) * elapsed_s

    def _carried_rate(self, now: float) -> float:
        carried_bytes = sum(
            size for at, size in self._carried if at >= now - CARRIED_WINDOW_S
        )
        return carried_bytes / CARRIED_WINDOW_S

    def _reduced_limit(self, now: float) -> float:
        reduced = MAX_REDUCTION * min(
            self._carried_rate(now), self.rate, self._limit
        )
        return max(reduced, MIN_WEIGHTS_SHARE * self.rate)

    def reserve(self, size: int, *, now: float) -> float:
        """Reserve bytes and return the seconds to wait before sending them."""
        rate = self.weights_rate
        start = max(self._free_at, now - self.burst / rate)
        self._free_at = start + size / rate
        return max(self._free_at - now, 0.0)
