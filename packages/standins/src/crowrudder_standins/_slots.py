"""The slots of an engine, and the queue in front of them."""

from __future__ import annotations

import asyncio
from collections import Counter, deque


class Slots:
    """Who runs and who waits; a load refuses all that wait.

    Parameters
    ----------
    count
        Requests that run at once.
    places
        Requests that wait at the most.

    ``seen`` counts those that waited, and those of them that a load refused
    or that left.
    """

    def __init__(self, count: int, places: int = 0) -> None:
        self.count = count
        self.places = places
        self.running = 0
        self.is_closed = False
        self.seen: Counter[str] = Counter()
        self._waiting: deque[asyncio.Future[bool]] = deque()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    def take(self) -> asyncio.Future[bool]:
        """Give what comes true with a slot; false: there is none to be had."""
        turn: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        if self.is_closed:
            turn.set_result(False)
        elif self.running < self.count:
            self._begin()
            turn.set_result(True)
        elif self.queued >= self.places:
            turn.set_result(False)
        else:
            self._waiting.append(turn)
            self.seen['waited'] += 1
        return turn

    def leave(self, turn: asyncio.Future[bool]) -> None:
        """Refuse one that waits and whose caller has left."""
        if turn in self._waiting:
            self._waiting.remove(turn)
            self.seen['left'] += 1
            turn.set_result(False)

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
            self.seen['refused'] += 1
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
