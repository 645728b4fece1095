"""Maximum age of the changes in an answer of a platform watch."""

from __future__ import annotations

from attrs import define

IMMEDIATE_ANSWER_S = 0.25
"""An answer within this time may contain changes published before the watch
was requested: the platform answers such a watch within some milliseconds, and
under stress takes sixty times as long."""


def confirmed_until(
    requested_at: float, now: float, *, wait_s: float, has_changes: bool
) -> float:
    """Return a time up to which an answer has all published changes.

    The platform answers an empty watch after its wait, which begins after the
    request, and any other answer at an unknown moment after the request. When
    the answer is read shows nothing: meanwhile it was on its way, or stood
    unread, and what was published then isn't in it.

    Times are seconds of one clock.

    Parameters
    ----------
    requested_at, now
        When the answer was requested, and when it is read.
    wait_s
        How long the platform was to wait for changes; 0 for a list.
    """
    is_waited = not has_changes and now - requested_at >= wait_s
    return requested_at + wait_s if is_waited else requested_at


@define
class WatchAges:
    """Tracks the time up to which all published changes are known.

    An answer has no times. If each change in it counted as published at that
    moment, then after a watch has hung on a dead connection, the next watch
    could return a version that was named three seconds before, and requests
    would begin on the previous version three seconds after its end. All other
    processes use the age that the watching process reports.

    A change that arrives while the watch waits counts as new. Any other change
    counts as old as it can be. That shortens the use of an old version by at
    most the time without an answer, which is zero in normal operation.

    Times are seconds of one clock.

    Parameters
    ----------
    known_until
        All changes published by then are known; None while others watch.
    """

    known_until: float | None = None

    def on_idle(self) -> None:
        """Record that this process doesn't watch."""
        self.known_until = None

    def on_listed(self, requested_at: float) -> None:
        """Record a list, which is complete up to its first page's request."""
        self.known_until = requested_at

    def on_answer(
        self,
        requested_at: float,
        now: float,
        *,
        wait_s: float,
        has_changes: bool,
        is_punctual: bool,
    ) -> None:
        """Record the answer of a watch, after a call of `published_since`.

        An empty answer was sent after the wait, however late it is read.
        """
        if has_changes and not is_punctual:
            self.known_until = requested_at
        else:
            self.known_until = min(now, requested_at + wait_s)

    def published_since(
        self,
        requested_at: float,
        now: float,
        *,
        confirmed_at: float,
        returned_at: float,
        is_punctual: bool,
    ) -> float:
        """Return the earliest publication time of an answer's changes.

        Parameters
        ----------
        asked_at, now
            When the watch was requested, and when its answer is read.
        confirmed_at
            When the platform last answered any process before this answer.
        returned_at
            When the platform's last outage ended. No process could know changes
            published during it; their ages count from its end.
        is_punctual
            Whether this process read its sockets in time, see `TickMonitor`.
            If not, this process may have been suspended, and the platform
            reachable all the time.
        """
        known_until = (
            confirmed_at if self.known_until is None else self.known_until
        )
        if not is_punctual:
            return min(known_until, now)
        if now - requested_at > IMMEDIATE_ANSWER_S:
            return now
        return min(max(known_until, returned_at), now)
