"""Replayable log of the messages of one attempt."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from crowrudder_model.messages import RunServerMessage


@define
class AnswerLog:
    """Messages of an attempt, retained so that an entry can read them again.

    A stream to the entry may break at any message. The entry then settles and
    resumes from the first piece that it lacks, which must still be available.
    """

    events: list[RunServerMessage] = Factory(list)
    closed: bool = False
    _changed: asyncio.Event = Factory(asyncio.Event)

    def add(self, event: RunServerMessage) -> None:
        """Append a message and wake the readers."""
        self.events.append(event)
        self._wake()

    def close(self) -> None:
        """Mark the log as complete and wake the readers."""
        self.closed = True
        self._wake()

    async def read(self) -> AsyncIterator[RunServerMessage]:
        """Yield all messages from the first on until the log is closed."""
        position = 0
        while True:
            changed = self._changed
            while position < len(self.events):
                yield self.events[position]
                position += 1
            if self.closed:
                return
            await changed.wait()

    async def read_from_piece(
        self, index: int
    ) -> AsyncIterator[RunServerMessage]:
        """Yield the pieces from an index on, and the final message."""
        async for event in self.read():
            if event.final is not None:
                yield event
            if event.piece is not None and event.piece.index >= index:
                yield event

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
