"""The runs of one request, of which one may stand by for another."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from attrs import define, field, frozen

from crowrudder_core.dispatch import (
    SERVER_ERROR,
    Answered,
    Broken,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from crowrudder_core.dispatch import AttemptOutcome
    from crowrudder_daemon.fleet_entry._attempt import Attempt
    from crowrudder_daemon.fleet_entry._caller_side import CallerSide


class Succeeded(Protocol):
    """The request whose runs succeed each other."""

    side: CallerSide

    def on_run_ended(
        self, attempt: Attempt, ending: AttemptOutcome, *, is_last: bool
    ) -> None:
        """Record a run that ended; after the last one, none is open."""


@frozen
class Standby:
    """A run that takes the place of a silent one once it has begun."""

    attempt: Attempt
    task: asyncio.Task[AttemptOutcome]


@define(eq=False)
class Succession:
    """Decides which run of a request its answer comes from.

    A run is closed for its silence only once another one has begun: until
    then it isn't certain that any will, and its upstream may be at work. If
    the silent one goes on first, the other one is closed.
    """

    _request: Succeeded
    current: Attempt | None = field(default=None, init=False)
    _standby: Standby | None = field(default=None, init=False)
    _wait: asyncio.Timeout | None = field(default=None, init=False)
    _closed_because: str = field(default='', init=False)

    async def run(self, attempt: Attempt) -> tuple[Attempt, AttemptOutcome]:
        """Run an attempt, and what stands by for it; return the last one."""
        self.current = attempt
        ending = await self._guard(attempt.run())
        while self._standby is not None and not self._is_final(attempt, ending):
            self._request.on_run_ended(attempt, ending, is_last=False)
            standby, self._standby = self._standby, None
            self.current = attempt = standby.attempt
            ending = await self._guard(standby.task)
        self.cancel_standby('the run before it has ended')
        self.current = None
        self._request.on_run_ended(attempt, ending, is_last=True)
        return attempt, ending

    def needs_standby(self, attempt: Attempt) -> bool:
        """Return whether a silent run may get one that stands by."""
        return attempt is self.current and self._standby is None

    def stand_by(self, attempt: Attempt) -> None:
        """Send a request for a second time while its first run is silent."""
        task = asyncio.ensure_future(attempt.run())
        self._standby = Standby(attempt, task)
        task.add_done_callback(self._on_standby_done)

    def on_events(self, attempt: Attempt) -> None:
        """Close the run that an event of the other one has superseded."""
        if self._standby is None:
            return
        if attempt is self._standby.attempt:
            self.close_current('another run has begun in its place')
        else:
            self.cancel_standby('the run before it goes on')

    def close_unbegun(self, reason: str) -> None:
        """Close the runs that have not begun; those that have go on."""
        standby, current = self._standby, self.current
        if standby is not None and standby.attempt.time_to_first_event_s >= 0:
            return
        self.cancel_standby(reason)
        if current is not None and current.time_to_first_event_s < 0:
            self.close_current(reason)

    def close_current(self, reason: str) -> None:
        """Close the current run; one that stands by takes its place."""
        wait = self._wait
        if wait is not None and not wait.expired():
            self._closed_because = reason
            wait.reschedule(asyncio.get_running_loop().time())

    def cancel_standby(self, reason: str) -> None:
        """Close the run that stands by, if there is one."""
        standby, self._standby = self._standby, None
        if standby is None:
            return
        standby.task.cancel()
        ending = _outcome_of(standby.task) or Broken(
            _error_of(standby.task) or reason
        )
        self._request.on_run_ended(standby.attempt, ending, is_last=False)

    def _is_final(self, attempt: Attempt, ending: AttemptOutcome) -> bool:
        """Return whether a run's outcome is the answer, whatever others do."""
        if attempt.is_streamed:
            return True
        return (
            isinstance(ending, Answered)
            and ending.status < SERVER_ERROR
            and not self._request.side.has_begun
        )

    async def _guard(
        self, running: Awaitable[AttemptOutcome]
    ) -> AttemptOutcome:
        wait = asyncio.timeout(None)
        self._wait = wait
        try:
            async with wait:
                return await running
        except TimeoutError:
            if not wait.expired():
                raise
            return Broken(self._closed_because)
        finally:
            self._wait = None

    def _on_standby_done(self, task: asyncio.Task[AttemptOutcome]) -> None:
        standby = self._standby
        if standby is None or standby.task is not task or task.cancelled():
            return
        ending = _outcome_of(task)
        if ending is None:
            # The request ends with the error, which says that its caller left.
            self.close_current('the run that stands by has failed')
        elif self._is_final(standby.attempt, ending):
            self.close_current('another run has answered in its place')
        else:
            self.cancel_standby('')


def _outcome_of(task: asyncio.Task[AttemptOutcome]) -> AttemptOutcome | None:
    """Return the outcome of a run; None if it is open or failed."""
    if not task.done() or task.cancelled() or task.exception() is not None:
        return None
    return task.result()


def _error_of(task: asyncio.Task[AttemptOutcome]) -> str:
    """Return the error with which a run failed; empty if it did not."""
    if not task.done() or task.cancelled() or task.exception() is None:
        return ''
    return repr(task.exception())
