"""The request slots of an engine and their waiting queue."""

from __future__ import annotations

import asyncio
from collections import Counter, deque


class Slots:
    """Counts running requests and queues others; a load refuses the queue.

    Parameters
    ----------
    count
        Maximum number of running requests.
    places
        Maximum number of queued requests.

    ``seen`` counts the requests that waited, and those of them that a load
    refused or whose caller disconnected.
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
        """Number of queued requests."""
        return len(self._waiting)

    def take(self) -> asyncio.Future[bool]:
        """Return a future: true once a slot is acquired, false if refused."""
        granted: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        if self.is_closed:
            granted.set_result(False)
        elif self.running < self.count:
            self._begin()
            granted.set_result(True)
        elif self.queued >= self.places:
            granted.set_result(False)
        else:
            self._waiting.append(granted)
            self.seen['waited'] += 1
        return granted

    def leave(self, granted: asyncio.Future[bool]) -> None:
        """Refuse a queued request whose caller has disconnected."""
        if granted in self._waiting:
            self._waiting.remove(granted)
            self.seen['left'] += 1
            granted.set_result(False)

    def release(self) -> None:
        """Release a slot to the first queued request, if any."""
        self.running -= 1
        if self._waiting:
            self._begin()
            self._waiting.popleft().set_result(True)
        elif not self.running:
            self._idle.set()

    def close(self) -> None:
        """Accept no more requests, and refuse all queued ones."""
        self.is_closed = True
        while self._waiting:
            self.seen['refused'] += 1
            self._waiting.popleft().set_result(False)

    def open(self) -> None:
        """Accept requests again."""
        self.is_closed = False

    async def until_idle(self) -> None:
        """Wait until no request runs."""
        await self._idle.wait()

    def _begin(self) -> None:
        self.running += 1
        self._idle.clear()
