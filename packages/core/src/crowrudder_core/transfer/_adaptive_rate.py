"""A rate that follows what a link carries, by its queueing delay."""

from __future__ import annotations

import math
from collections import deque

from attrs import define, field

MAX_QUEUE_S = 0.15
"""Queueing delay of the link from which weights yield until it is short again.
Probes show it a few tenths of a second late."""

FULL_SHARE = 0.75
"""Share of its rate from which a link counts as fully used by weights."""

MAX_FULL_QUEUE_S = 0.4
"""The same delay for a fully used link, where some chunks always queue."""

CARRIED_WINDOW_S = 0.5
"""Time over which carried bytes are counted."""

REDUCTION = 0.8
"""Share of the carried rate that is used: some bytes may only be buffered."""

MIN_SHARE = 0.05
"""Share of the nominal rate that is always allowed."""

GROWTH_PER_S = 0.3
"""Share by which the rate grows per second once the queue is short. It is
multiplied by the seconds for which it has been short."""

MAX_GROWTH_PER_S = 1.0
IN_USE_S = 1.0
"""How long the link counts as used after the last byte."""


@define
class AdaptiveRate:
    """Limits the rate of weights on a link that carries less than its nominal rate.

    What such a link can't carry waits in its queue, and so does all else that
    uses it, such as requests. While the measured delay is long, the queue is
    drained; then the rate is a little less than what the link carried while
    there was a queue, and grows from there.

    Parameters
    ----------
    nominal
        The link's rate, bytes per second.

    Attributes
    ----------
    limit
        Bytes per second that weights may use; infinite if nothing limits them.
    is_draining
        Whether nothing new is to be sent until the queue is short.
    """

    nominal: float
    limit: float = field(default=math.inf, init=False)
    is_draining: bool = field(default=False, init=False)
    _remeasure_at: float = field(default=math.inf, init=False)
    _short_since: float = field(default=-math.inf, init=False)
    _updated_at: float = field(default=-math.inf, init=False)
    _carried: deque[tuple[float, int]] = field(factory=deque, init=False)

    @property
    def is_limited(self) -> bool:
        """Whether the link is slow, or was until a short time ago."""
        return self.is_draining or self.limit < self.nominal

    def is_fully_used(self, now: float) -> bool:
        """Return whether the link carries weights at about its nominal rate."""
        return self._carried_rate(now) >= FULL_SHARE * self.nominal

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
        """Adapt the limit to the measured queueing delay of the link.

        Parameters
        ----------
        is_full
            Whether the link is fully used, in either direction.
        """
        elapsed_s = min(now - self._updated_at, 1.0)
        self._updated_at = now
        if delay_s >= (MAX_FULL_QUEUE_S if is_full else MAX_QUEUE_S):
            self._drain(delay_s, now)
        elif self.is_draining:
            self.is_draining = False
            self._short_since = now
        elif self.is_limited:
            growth = GROWTH_PER_S * max(now - self._short_since, 1.0)
            self.limit *= 1 + min(growth, MAX_GROWTH_PER_S) * elapsed_s

    def _drain(self, delay_s: float, now: float) -> None:
        """Reduce the limit at once, and again after a window with a queue.

        The first window may begin before the link became slow.
        """
        if not self.is_draining:
            self.is_draining = True
            self.limit = self._reduced_limit(now)
            self._remeasure_at = now + CARRIED_WINDOW_S
        elif now >= self._remeasure_at and delay_s >= CARRIED_WINDOW_S:
            self._remeasure_at = math.inf
            self.limit = self._reduced_limit(now)

    def _carried_rate(self, now: float) -> float:
        carried_bytes = sum(
            size for at, size in self._carried if at >= now - CARRIED_WINDOW_S
        )
        return carried_bytes / CARRIED_WINDOW_S

    def _reduced_limit(self, now: float) -> float:
        carried = min(self._carried_rate(now), self.nominal, self.limit)
        return max(REDUCTION * carried, MIN_SHARE * self.nominal)
