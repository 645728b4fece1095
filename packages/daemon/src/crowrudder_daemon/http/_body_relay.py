"""Pass the body of an answer on from the callback that received it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class HoldReading(Protocol):
    """Stops the reading of a connection, or goes on with it."""

    def __call__(self, *, is_held: bool) -> None:
        """Stop or go on."""


class BodyRelay:
    """Hands each part of a body to a taker until its proper end.

    A task that waits for each part would cost two turns of the loop and a
    timer for each event of a stream.

    Parameters
    ----------
    take
        Takes a part. The next one is held back until a future that it gives
        is done, so that a slow reader slows its sender.
    next_part
        Gives the next part; empty while none is at hand, None at the end.
    hold
        Told whether the connection stops reading.
    pause_s
        Longest time without a part, seconds.
    """

    def __init__(
        self,
        take: Callable[[bytes], asyncio.Future[None] | None],
        next_part: Callable[[], bytes | None],
        hold: HoldReading,
        *,
        pause_s: float,
    ) -> None:
        self._take = take
        self._next_part = next_part
        self._hold = hold
        self._pause_s = pause_s
        self._loop = asyncio.get_running_loop()
        self._moved_at = self._loop.time()
        self._done: asyncio.Future[None] = self._loop.create_future()
        self._is_held = False
        self._timer = self._loop.call_later(pause_s, self._look)

    async def run(self) -> None:
        """Wait for the end of the body.

        Raises
        ------
        TimeoutError
            When no part came for too long.
        """
        try:
            self.on_bytes()
            await self._done
        finally:
            self._timer.cancel()

    def on_bytes(self) -> None:
        """Hand on what is at hand: bytes came, or the connection ended."""
        if self._is_held or self._done.done():
            return
        try:
            self._pump()
        except Exception as exc:
            # `run` raises it, in the task that waits for the body.
            self._done.set_exception(exc)

    def _pump(self) -> None:
        while part := self._next_part():
            self._moved_at = self._loop.time()
            taken = self._take(part)
            if taken is not None and not taken.done():
                self._set_held(is_held=True)
                taken.add_done_callback(self._on_taken)
                return
        if part is None:
            self._done.set_result(None)

    def _on_taken(self, _taken: asyncio.Future[None]) -> None:
        if self._done.done():
            return
        self._moved_at = self._loop.time()
        self._set_held(is_held=False)
        self.on_bytes()

    def _set_held(self, *, is_held: bool) -> None:
        self._is_held = is_held
        self._hold(is_held=is_held)

    def _look(self) -> None:
        """Give up after a pause; otherwise look again when one may be over.

        While the taker holds the body back no pause is its sender's.
        """
        left_s = self._moved_at + self._pause_s - self._loop.time()
        if self._is_held:
            left_s = self._pause_s
        if left_s > 0:
            self._timer = self._loop.call_later(left_s, self._look)
        elif not self._done.done():
            self._done.set_exception(TimeoutError())
