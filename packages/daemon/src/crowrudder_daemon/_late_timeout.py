"""A timeout that doesn't discard what was read by the time it is due."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

RECHECK_S = 0.01
"""Time in which the loop passes on what it has read, and reads what stands in
the socket."""

LATE_S = 0.005
"""Lateness of a check from which more may have arrived while the process stood
still."""

MAX_RECHECKS = 3
"""A loop that is late at each check doesn't prolong a timeout for ever."""


@define(eq=False)
class _Expiry:
    """The timer of a timeout: it is due once more before it takes effect."""

    _wait: asyncio.Timeout
    _due_at: float
    _timer: asyncio.TimerHandle = field(init=False)
    _rechecks: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Set the timer."""
        self._schedule(self._due_at)

    def cancel(self) -> None:
        """Cancel the timer."""
        self._timer.cancel()

    def _schedule(self, due_at: float) -> None:
        self._due_at = due_at
        self._timer = asyncio.get_running_loop().call_at(due_at, self._on_due)

    def _on_due(self) -> None:
        now = asyncio.get_running_loop().time()
        is_late = now - self._due_at >= LATE_S
        if not self._rechecks or (is_late and self._rechecks < MAX_RECHECKS):
            self._rechecks += 1
            self._schedule(now + RECHECK_S)
        else:
            self._wait.reschedule(now)


@contextlib.asynccontextmanager
async def late_timeout(delay_s: float) -> AsyncIterator[None]:
    """Raise `TimeoutError` some turns of the loop after a delay.

    A late loop reads the awaited bytes and finds the timer due in the same
    turn; `asyncio.timeout` then cancels the task that was about to get them.
    """
    async with asyncio.timeout(None) as wait:
        due_at = asyncio.get_running_loop().time() + delay_s
        expiry = _Expiry(wait, due_at)
        try:
            yield
        finally:
            expiry.cancel()
