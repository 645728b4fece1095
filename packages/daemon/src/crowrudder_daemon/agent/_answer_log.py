"""What was said about one attempt, readable from any point, more than once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from crowrudder_model.messages import RunDown


@define
class AnswerLog:
    """Messages of an attempt, kept so that an entry can come back for them.

    A stream to the entry may break at any message. The entry then settles and
    reads on from the piece it lacks, which must still be here.
    """

    events: list[RunDown] = Factory(list)
    closed: bool = False
    _news: asyncio.Event = Factory(asyncio.Event)

    def add(self, event: RunDown) -> None:
        """Append a message and wake the readers."""
        self.events.append(event)
        self._wake()

    def close(self) -> None:
        """Nothing follows."""
        self.closed = True
        self._wake()

    async def read(self) -> AsyncIterator[RunDown]:
        """Yield all messages from the first, until closed."""
        at = 0
        while True:
            news = self._news
            while at < len(self.events):
                yield self.events[at]
                at += 1
            if self.closed:
                return
            await news.wait()

    async def read_from_piece(self, index: int) -> AsyncIterator[RunDown]:
        """Yield pieces from an index on, and the final message."""
        async for event in self.read():
            if event.final is not None:
                yield event
            if event.piece is not None and event.piece.index >= index:
                yield event

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()
