"""How old the changes may be that an answer of the platform's watch brings."""

from __future__ import annotations

from attrs import define

QUICK_S = 0.25
"""An answer that took no longer may bring what had been published before the
watch was asked for: the platform answers within some milliseconds, and under
stress in sixty times as long."""


@define
class WatchAges:
    """Keeps until when nothing was published that isn't known here.

    An answer shows no times. What goes wrong when each change in it counts as
    published at that moment: a watch has hung on a connection that carries
    nothing any more, its successor brings a version that was named three
    seconds before, and requests begin on the one before it for as long after
    its end. All other processes take the age from the one that watches.

    A change that came while the watch waited counts as new. Otherwise it
    counts as old as it can be; that costs an old version at most the time
    without an answer, and calm days have none.

    Times are seconds of one clock.

    Parameters
    ----------
    level_at
        All that had been published by then is known; None while others watch.
    """

    level_at: float | None = None

    def on_rest(self) -> None:
        """Take note that the watch is left to others."""
        self.level_at = None

    def on_listed(self, asked_at: float) -> None:
        """Take note of a list, which is as of its first page."""
        self.level_at = asked_at

    def on_answer(
        self,
        asked_at: float,
        now: float,
        *,
        wait_s: float,
        has_changes: bool,
        is_punctual: bool,
    ) -> None:
        """Take note of a watch's answer, after `published_since`.

        An empty one was given after the wait, however late it is read.
        """
        if has_changes and not is_punctual:
            self.level_at = asked_at
        else:
            self.level_at = min(now, asked_at + wait_s)

    def published_since(
        self,
        asked_at: float,
        now: float,
        *,
        confirmed_at: float,
        returned_at: float,
        is_punctual: bool,
    ) -> float:
        """Give when the changes of an answer were published at the earliest.

        Parameters
        ----------
        asked_at, now
            When the watch was asked for, and when its answer is read.
        confirmed_at
            When any process had heard the platform before this answer.
        returned_at
            When the platform was last back from an absence. What was published
            meanwhile nobody could know; its time begins with the return.
        is_punctual
            Whether this process read its sockets in time, see `Punctuality`.
            If not, the absence may have been its own.
        """
        level_at = confirmed_at if self.level_at is None else self.level_at
        if not is_punctual:
            return min(level_at, now)
        if now - asked_at > QUICK_S:
            return now
        return min(max(level_at, returned_at), now)
