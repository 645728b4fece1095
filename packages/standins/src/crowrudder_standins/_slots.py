"""The slots of an engine, and the queue in front of them."""

from __future__ import annotations

import asyncio
from collections import deque


class Slots:
    """Who runs and who waits; a load refuses all that wait.

    Parameters
    ----------
    count
        Requests that run at once.
    places
        Requests that wait at the most.
    """

    def __init__(self, count: int, places: int = 0) -> None:
        self.count = count
        self.places = places
        self.running = 0
        self.is_closed = False
        self._waiting: deque[asyncio.Future[bool]] = deque()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    async def take(self) -> bool:
        """Wait for a slot; false where there is none to be had."""
        if self.is_closed:
            return False
        if self.running < self.count:
            self._begin()
            return True
        if self.queued >= self.places:
            return False
        turn: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        return await turn

    def release(self) -> None:
        """Give a slot back, to whoever waits first."""
        self.running -= 1
        if self._waiting:
            self._begin()
            self._waiting.popleft().set_result(True)
        elif not self.running:
            self._idle.set()

    def close(self) -> None:
        """Let nothing begin any more, and refuse all that wait."""
        self.is_closed = True
        while self._waiting:
            self._waiting.popleft().set_result(False)

    def open(self) -> None:
        """Let requests begin again."""
        self.is_closed = False

    async def until_idle(self) -> None:
        """Wait until nothing runs."""
        await self._idle.wait()

    def _begin(self) -> None:
        self.running += 1
        self._idle.clear()
