"""Load shedding by how long requests wait until a process handles them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from random import Random

INTERVAL_S = 0.1
"""Interval whose mean wait decides. The shortest one says little: a turn of the
event loop takes all that has arrived, also what came just before it."""

TARGET_WAIT_S = 0.1
"""Mean wait from which an interval is late: what a process that runs for a part
of each tenth of a second reaches when all of its time is taken."""

LATE_INTERVALS = 2
"""Late intervals in a row before requests are shed. A pause of the process, or
one long piece of work, makes a single one."""

MAX_DECREASES = 3
"""Limit of decreases at once, after an interval that took long to end."""

MIN_PAUSE_S = 1.0
"""Time without any request that counts as a pause of the process. On a tenth of a
core an overloaded process has gaps of 0.2 to 0.3 s, which are no pauses."""

DECREASE = 0.7
"""Factor of the admitted share after each late interval."""

INCREASE = 0.08
"""Increase of the admitted share in an interval that isn't late, as a share of
it: the less is admitted, the more a small step adds."""

MIN_INCREASE = 0.02
"""Least increase of the admitted share in such an interval."""

MIN_ADMITTED_SHARE = 0.05
"""Without any admitted request nothing would show that the load has fallen."""

MAX_WAIT_S = 0.2
"""Wait from which a request is shed for certain while requests are late: served
in its place, one that has just arrived is in time."""

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0


@define
class LoadShedder:
    """Sheds requests while this process is late for most of them.

    Without it, a process that gets more than it can serve spends its time on
    requests that are late or abandoned by the time they are handled, and
    serves the fewer the more arrive. The share that is admitted follows the
    wait: it falls by a factor while requests wait for too long, and rises slowly
    otherwise. Requests are drawn at random, so that no kind and no
    customer is starved; those that have waited for long are shed first.

    What arrives in a pause of the process has waited although there is little
    to do. It is no sign of overload, and isn't shed for its wait.
    """

    _random: Random
    admitted_share: float = field(default=1, init=False)
    _waits_s: float = field(default=0, init=False)
    _handled: int = field(default=0, init=False)
    _judged: int = field(default=0, init=False)
    _last_wait_s: float = field(default=0, init=False)
    _late_intervals: int = field(default=0, init=False)
    _late_until: float = field(default=-math.inf, init=False)
    _first_arrived_at: float = field(default=math.inf, init=False)
    _last_decided_at: float = field(default=-math.inf, init=False)
    _began_at: float = field(default=-math.inf, init=False)
    _last_request_at: float = field(default=math.inf, init=False)
    _paused_at: float = field(default=0, init=False)
    _resumed_at: float = field(default=0, init=False)

    @property
    def is_shedding(self) -> bool:
        """Whether a part of the requests is to be refused."""
        return self.admitted_share < 1

    @property
    def retry_after_s(self) -> float:
        """Seconds after which a shed request is worth another attempt.

        What waits here is served in the time that it has waited; of what
        comes meanwhile, only the admitted share is served.
        """
        after_s = self._last_wait_s / self.admitted_share
        return min(max(after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def on_handled(self, waited_s: float, *, now: float) -> None:
        """Record how long a request has waited until it is handled now."""
        self._on_request(now)
        self._on_known_wait(waited_s, now)
        self._handled += 1
        if not self._has_paused_since(waited_s):
            self._waits_s += waited_s
            self._judged += 1

    def draw(self, waited_s: float, *, now: float) -> bool:
        """Return whether to admit a request that has waited for so long.

        While nothing is shed, the wait needn't be known.
        """
        self._on_request(now)
        if not self.is_shedding:
            return True
        self._on_known_wait(waited_s, now)
        return not self.is_overdue(waited_s) and (
            self._random.random() < self.admitted_share
        )

    def is_overdue(self, waited_s: float) -> bool:
        """Return whether to shed the latest request because of its wait."""
        return (
            self.is_shedding
            and waited_s > MAX_WAIT_S
            and not self._has_paused_since(waited_s)
        )

    def _on_request(self, now: float) -> None:
        if now - self._began_at >= INTERVAL_S:
            self._end_interval(now)
        pause_s = now - self._last_request_at
        self._last_request_at = now
        if pause_s >= MIN_PAUSE_S:
            self._paused_at = now - pause_s
            self._resumed_at = now

    def _has_paused_since(self, waited_s: float) -> bool:
        """Return whether the latest request arrived in the latest pause."""
        arrived_at = self._last_request_at - waited_s
        return self._paused_at <= arrived_at < self._resumed_at

    def _on_known_wait(self, waited_s: float, now: float) -> None:
        self._first_arrived_at = min(self._first_arrived_at, now - waited_s)
        self._last_decided_at = now

    def _end_interval(self, now: float) -> None:
        intervals = (now - self._began_at) / INTERVAL_S
        if self._waits_s > TARGET_WAIT_S * self._judged:
            self._on_late_interval(intervals)
        elif self._judged or not self._handled:
            self._late_intervals = 0
            step = max(self.admitted_share * INCREASE, MIN_INCREASE)
            share = self.admitted_share + step * intervals
            self.admitted_share = min(share, 1)
        self._began_at = now
        self._first_arrived_at = math.inf
        self._waits_s = 0
        self._handled = 0
        self._judged = 0

    def _on_late_interval(self, intervals: float) -> None:
        # A process that is still behind has requests left from the last one.
        if self._first_arrived_at > self._late_until:
            self._late_intervals = 0
        self._late_intervals += 1
        self._late_until = self._last_decided_at
        self._last_wait_s = self._waits_s / self._judged
        if self._late_intervals >= LATE_INTERVALS:
            factor = DECREASE ** min(intervals, MAX_DECREASES)
            share = max(self.admitted_share * factor, MIN_ADMITTED_SHARE)
            self.admitted_share = share
