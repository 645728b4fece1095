"""Run asynchronous tests without a pytest plugin."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar('T')

DEFAULT_TIMEOUT_S = 20.0


def run(
    coro: Coroutine[object, object, T],
    *,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> T:
    """Run a coroutine in a new event loop, for at most `timeout_s` seconds.

    >>> async def answer():
    ...     return 42
    >>> run(answer())
    42
    """

    async def limited() -> T:
        async with asyncio.timeout(timeout_s):
            return await coro

    return asyncio.run(limited())
