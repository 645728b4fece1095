"""What arrives from the upstream of one run, and since when nothing did."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_daemon._clock import clock_s

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Iterator


@define(kw_only=True, eq=False)
class RunActivity:
    """The activity of a run that was sent.

    Parameters
    ----------
    upstream_id
        Incarnation id of its upstream.
    first_s, pause_s
        Longest silence in seconds before and after its first event.
    heard_at
        When something arrived last; at first, when the run was sent.
    urgency
        Of its request, 0 first.
    on_silent
        Called at each check while the run is silent; returns whether another
        run was sent to take its place.
    """

    upstream_id: str
    first_s: float
    pause_s: float
    heard_at: float
    urgency: int = 0
    on_silent: Callable[[], bool] = bool
    has_begun: bool = False
    is_upstream_ended: bool = field(default=False, init=False)
    """Whether its upstream's incarnation is known to have ended."""

    _is_held: bool = field(default=False, init=False)
    _held: asyncio.Future[None] | None = field(default=None, init=False)
    """Done once the caller has taken what it was sent."""

    def on_heard(self) -> None:
        """Record that bytes arrived."""
        self.heard_at = clock_s()
        self.is_upstream_ended = False

    def on_held(self, held: asyncio.Future[None] | None) -> None:
        """Record that the caller holds back the upstream's bytes until then."""
        self._held = held
        if held is not None:
            held.add_done_callback(self._on_taken)

    @contextlib.contextmanager
    def held(self) -> Iterator[None]:
        """Discount the time in which a caller takes what it is sent."""
        self._is_held = True
        try:
            yield
        finally:
            self._is_held = False
            self.heard_at = clock_s()

    def is_silent(self, now: float) -> bool:
        """Return whether nothing arrived for longer than the run allows.

        What a slow caller holds back isn't the upstream's silence.
        """
        if self._is_held or (self._held is not None and not self._held.done()):
            return False
        limit_s = self.pause_s if self.has_begun else self.first_s
        return self.is_upstream_ended or now - self.heard_at >= limit_s

    @property
    def rank(self) -> tuple[int, float]:
        """Return the order in which silent runs get another one.

        The more urgent request first, then the caller that waits longest.
        """
        return self.urgency, self.heard_at

    def excuse(self, late_s: float) -> None:
        """Discount a time in which this process could not have read."""
        self.heard_at += late_s

    def _on_taken(self, _taken: asyncio.Future[None]) -> None:
        self.heard_at = clock_s()
