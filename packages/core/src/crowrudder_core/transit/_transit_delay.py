"""An entry's estimate of the queueing delay on the link of a host."""

from __future__ import annotations

import math

from attrs import define, field

REPORT_TTL_S = 1.0
"""How long a host's report on its link counts; one is sent every 0.4 s."""

MAX_TRANSIT_S = 4.0
"""Upper bound of an estimate, so that a host is tried again after that time at
the latest."""


@define
class TransitDelay:
    """Estimates how long what is sent to a host waits in queues on the way.

    There is one estimate per host. It is fed by the host's own reports, and by
    unacknowledged bytes on any connection of this process to the host. How
    long the host takes to answer doesn't count: that it is busy says nothing
    of its link. Nor does a check that comes late, as it may be this process
    that is busy.
    """

    _reported_s: float = field(default=0, init=False)
    _reported_at: float = field(default=-math.inf, init=False)
    _unacknowledged_s: float = field(default=0, init=False)
    _seen_at: float = field(default=-math.inf, init=False)
    _sent_at: float = field(default=-math.inf, init=False)

    def on_report(self, delay_s: float, *, as_of: float) -> None:
        """Record the delay that the host itself reports."""
        if as_of >= self._reported_at:
            self._reported_s = min(max(delay_s, 0), MAX_TRANSIT_S)
            self._reported_at = as_of

    def on_unacknowledged(self, *, sent_at: float, now: float) -> None:
        """Record bytes that the host hasn't acknowledged yet."""
        waited_s = min(now - sent_at, MAX_TRANSIT_S)
        if waited_s >= self._unacknowledged(now):
            self._unacknowledged_s = waited_s
            self._seen_at = now
            self._sent_at = sent_at

    def on_acknowledged(self, *, sent_at: float) -> None:
        """Record bytes that were never seen unacknowledged."""
        if sent_at > self._sent_at:
            self._unacknowledged_s = 0

    def delay_s(self, now: float) -> float:
        """Return the delay of what is sent now, in seconds."""
        is_reported = now - self._reported_at <= REPORT_TTL_S
        reported_s = self._reported_s if is_reported else 0
        return max(reported_s, self._unacknowledged(now))

    def _unacknowledged(self, now: float) -> float:
        """Return the delay of unacknowledged bytes, which decays.

        A queue of a second is empty after a second, unless more is sent.
        """
        return max(self._unacknowledged_s - (now - self._seen_at), 0)
