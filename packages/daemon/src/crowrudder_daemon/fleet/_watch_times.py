"""When what the platform's watch tells was published, by this process."""

from __future__ import annotations

from attrs import frozen

from crowrudder_core.catalog import WATCH_WAIT_S, Punctuality, WatchAges
from crowrudder_daemon._clock import clock_s


@frozen
class Heard:
    """When the platform had been heard before an answer, and was back."""

    confirmed_at: float
    returned_at: float


class WatchTimes:
    """Puts calls to the platform and the own lateness together.

    Parameters
    ----------
    every_s
        How often `tick` is called.
    """

    def __init__(self, every_s: float) -> None:
        self._punctuality = Punctuality(every_s)
        self._ages = WatchAges()

    def tick(self) -> None:
        """Note that the event loop gets to its timers."""
        self._punctuality.on_tick(clock_s())

    def on_rest(self) -> None:
        """Note that the watch is left to others."""
        self._ages.on_rest()

    def on_listed(self, asked_at: float) -> None:
        """Note a list that was asked for then, and came."""
        self._ages.on_listed(asked_at)

    def published_since(
        self, asked_at: float, heard: Heard, *, has_changes: bool
    ) -> float:
        """Take a watch's answer; give since when its changes can be there."""
        now = clock_s()
        is_punctual = self._punctuality.is_given(now)
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
            wait_s=WATCH_WAIT_S,
            has_changes=has_changes,
            is_punctual=is_punctual,
        )
        return since
