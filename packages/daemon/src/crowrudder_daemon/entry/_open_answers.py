"""Count the answers that callers have not yet been sent whole."""

from __future__ import annotations

import asyncio

from attrs import define, field


@define
class OpenAnswers:
    """Answers from the arrival of the call until the last byte is out.

    A request has its final word when the last piece lies in a buffer of this
    process. Closing the connections then would cut off a caller who reads
    slowly, seen as a truncated answer during a rolling restart; a drain
    therefore waits for these.
    """

    _count: int = field(default=0, init=False)
    _none: asyncio.Event = field(factory=asyncio.Event, init=False)

    def __attrs_post_init__(self) -> None:
        self._none.set()

    def begin(self) -> None:
        """Count a call."""
        self._count += 1
        self._none.clear()

    def end(self) -> None:
        """Note that its answer is out, or its caller gone."""
        self._count -= 1
        if not self._count:
            self._none.set()

    async def none_left(self) -> None:
        """Wait until every answer is out."""
        await self._none.wait()
