"""Forward a response body from the callback that received it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from crowrudder_daemon.http._turn_budget import TurnBudget

if TYPE_CHECKING:
    from collections.abc import Callable


class SetReadingPaused(Protocol):
    """Pauses or resumes reading from a connection."""

    def __call__(self, *, is_paused: bool) -> None:
        """Pause or resume."""


class BodyRelay:
    """Forwards each part of a body to a consumer until its orderly end.

    A task that waits for each part would cost two iterations of the event
    loop and a timer for each event of a stream.

    Parameters
    ----------
    consume
        Consumes a part. If it returns a future, the next part is held back
        until that is done, so that a slow reader applies back-pressure.
    next_part
        Returns the next part; empty while none is buffered, None at the end.
    set_paused
        Pauses or resumes reading from the connection.
    pause_s
        Longest time without a part in seconds.
    """

    def __init__(
        self,
        consume: Callable[[bytes], asyncio.Future[None] | None],
        next_part: Callable[[], bytes | None],
        set_paused: SetReadingPaused,
        *,
        pause_s: float,
    ) -> None:
        self._consume = consume
        self._next_part = next_part
        self._set_reading_paused = set_paused
        self._pause_s = pause_s
        self._loop = asyncio.get_running_loop()
        self._last_progress_at = self._loop.time()
        self._done: asyncio.Future[None] = self._loop.create_future()
        self._is_paused = False
        self._turn = TurnBudget()
        self._next_turn: asyncio.Handle | None = None
        self._timer = self._loop.call_later(pause_s, self._check_idle)

    async def run(self) -> None:
        """Wait for the end of the body.

        Raises
        ------
        TimeoutError
            When no part arrived for ``pause_s``.
        """
        try:
            self.on_bytes()
            await self._done
        finally:
            self._timer.cancel()
            if self._next_turn is not None:
                self._next_turn.cancel()

    def on_bytes(self) -> None:
        """Forward buffered parts; bytes arrived or the connection ended.

        What is left after the budget of a turn waits for the next one, and so
        do bytes that arrive meanwhile.
        """
        if self._next_turn is None:
            self._forward()

    def _forward(self) -> None:
        if self._is_paused or self._done.done():
            return
        self._turn.begin()
        try:
            self._pump()
        except Exception as exc:
            # `run` raises it in the task that waits for the body.
            self._done.set_exception(exc)

    def _pump(self) -> None:
        while part := self._next_part():
            self._last_progress_at = self._loop.time()
            self._turn.spend(len(part))
            consumed = self._consume(part)
            if consumed is not None and not consumed.done():
                self._set_paused(is_paused=True)
                consumed.add_done_callback(self._on_consumed)
                return
            if self._turn.is_spent:
                # Reading goes on once nothing is buffered.
                self._set_reading_paused(is_paused=True)
                self._next_turn = self._loop.call_soon(self._on_next_turn)
                return
        if part is None:
            self._done.set_result(None)

    def _on_next_turn(self) -> None:
        self._next_turn = None
        self._forward()

    def _on_consumed(self, _consumed: asyncio.Future[None]) -> None:
        if self._done.done():
            return
        self._last_progress_at = self._loop.time()
        self._set_paused(is_paused=False)
        self.on_bytes()

    def _set_paused(self, *, is_paused: bool) -> None:
        self._is_paused = is_paused
        self._set_reading_paused(is_paused=is_paused)

    def _check_idle(self) -> None:
        """Time out after a stall; otherwise schedule the next check.

        While the consumer holds the body back, the sender is not at fault.
        """
        left_s = self._last_progress_at + self._pause_s - self._loop.time()
        if self._is_paused:
            left_s = self._pause_s
        if left_s > 0:
            self._timer = self._loop.call_later(left_s, self._check_idle)
        elif not self._done.done():
            self._done.set_exception(TimeoutError())
