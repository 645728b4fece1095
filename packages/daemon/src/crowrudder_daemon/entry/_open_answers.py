"""Count the answers that haven't been sent completely."""

from __future__ import annotations

import asyncio

from attrs import define, field


@define
class OpenAnswers:
    """Answers from the arrival of the call until the last byte is sent.

    A request has its final outcome while its last piece may still be in a
    buffer of this process. If a drain closed the connections then, a slow
    reader would get a truncated answer, as in a rolling restart. A drain
    therefore waits for these answers.
    """

    _count: int = field(default=0, init=False)
    _all_sent: asyncio.Event = field(factory=asyncio.Event, init=False)

    def __attrs_post_init__(self) -> None:
        self._all_sent.set()

    def begin(self) -> None:
        """Count a call."""
        self._count += 1
        self._all_sent.clear()

    def end(self) -> None:
        """Record that an answer was sent or its caller disconnected."""
        self._count -= 1
        if not self._count:
            self._all_sent.set()

    async def wait_until_sent(self) -> None:
        """Wait until every answer has been sent."""
        await self._all_sent.wait()
