"""An event loop whose clock jumps to the next timer: no second is waited."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar('T')


class _JumpingSelector(selectors.DefaultSelector):
    """Moves the clock on in place of waiting for sockets."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Look at the sockets without waiting."""
        if timeout is None:
            raise RuntimeError('nothing is left to wait for')
        self.now += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs the daemon's tasks as they are, in virtual seconds."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Give the virtual seconds since the start."""
        return self._jumping.now


def run_virtual(job: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(job)
    finally:
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        loop.run_until_complete(
            asyncio.gather(*left, return_exceptions=True),
        )
        loop.close()
