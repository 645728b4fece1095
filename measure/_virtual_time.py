"""An event loop whose clock jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar('T')


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the clock instead of waiting for sockets."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Poll the sockets without waiting; advance the clock by the timeout."""
        if timeout is None:
            raise RuntimeError('nothing is left to wait for')
        self.now += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs the daemon's unmodified tasks in virtual time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual seconds since the start."""
        return self._jumping.now


def run_virtual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        loop.run_until_complete(
            asyncio.gather(*pending, return_exceptions=True),
        )
        loop.close()
