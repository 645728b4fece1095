"""Bounds the publication time of changes that the platform's watch returns."""

from __future__ import annotations

from attrs import frozen

from crowrudder_core.catalog import TickMonitor, WatchAges
from crowrudder_daemon._clock import clock_s


@frozen
class Heard:
    """Times of the last confirmation before an answer, and of the recovery."""

    confirmed_at: float
    returned_at: float


class WatchTimes:
    """Combines the times of platform calls with delays of the event loop.

    Parameters
    ----------
    interval_s
        Seconds between two calls of `tick`.
    """

    def __init__(self, interval_s: float) -> None:
        self._tick_monitor = TickMonitor(interval_s)
        self._ages = WatchAges()

    def tick(self) -> None:
        """Record that the event loop runs its timers."""
        self._tick_monitor.on_tick(clock_s())

    def on_idle(self) -> None:
        """Record that this process doesn't watch the platform."""
        self._ages.on_idle()

    def on_listed(self, asked_at: float) -> None:
        """Record a complete list that was requested at ``asked_at``."""
        self._ages.on_listed(asked_at)

    def published_since(
        self,
        asked_at: float,
        heard: Heard,
        *,
        has_changes: bool,
        wait_s: float,
    ) -> float:
        """Record a watch's answer; return the earliest time of its changes.

        ``wait_s`` is how long the watch waited for changes at most.
        """
        now = clock_s()
        is_punctual = self._tick_monitor.is_on_time(now)
        since = self._ages.published_since(
            asked_at,
            now,
            confirmed_at=heard.confirmed_at,
            returned_at=heard.returned_at,
            is_punctual=is_punctual,
        )
        self._ages.on_answer(
            asked_at,
            now,
            wait_s=wait_s,
            has_changes=has_changes,
            is_punctual=is_punctual,
        )
        return since
