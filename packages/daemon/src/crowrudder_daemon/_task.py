"""Active objects: a queue, a loop, and handlers named after messages."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from logging import Logger

_CAPITAL = re.compile(r'(?<!^)(?=[A-Z])')


class Task:
    """An active object: its state is changed only by its own loop.

    A message of class ``BundleRead`` goes to ``on_bundle_read``, which may
    be a coroutine function.
    """

    def __init__(self, log: Logger) -> None:
        self._log = log
        self._inbox: asyncio.Queue[object] = asyncio.Queue()
        self._steps: dict[type, str] = {}
        self._jobs: set[asyncio.Task[Any]] = set()

    def post(self, message: object) -> None:
        """Put a message into the queue."""
        self._inbox.put_nowait(message)

    def start(self) -> None:
        """Start the loop."""
        self.spawn(self._loop())

    def spawn(self, job: Any) -> asyncio.Task[Any]:
        """Run a coroutine that is cancelled when this object stops."""
        task = asyncio.ensure_future(job)
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)
        return task

    async def stop(self) -> None:
        """Cancel the loop and all jobs."""
        jobs = list(self._jobs)
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)

    async def _loop(self) -> None:
        while True:
            message = await self._inbox.get()
            await self._handle(message)

    def handle_immediately(self, message: object) -> None:
        """Run a handler that isn't a coroutine function, bypassing the queue.

        For messages from the object's own socket in its own loop: the queue
        costs two more loop iterations for each datagram.
        """
        try:
            getattr(self, f'on_{self._step_of(type(message))}')(message)
        except Exception:
            self._log_fault(message)

    async def _handle(self, message: object) -> None:
        """Run the handler; an exception in it must not end the loop.

        Otherwise the process would seem healthy but answer nothing.
        """
        try:
            reply = getattr(self, f'on_{self._step_of(type(message))}')(message)
            if asyncio.iscoroutine(reply):
                await reply
        except Exception:
            self._log_fault(message)

    def _log_fault(self, message: object) -> None:
        step = self._step_of(type(message))
        self._log.exception('handler failed', extra={'step': step})

    def _step_of(self, kind: type) -> str:
        """Return the snake_case name of a message class, as in its handler."""
        if kind not in self._steps:
            self._steps[kind] = _CAPITAL.sub('_', kind.__name__).lower()
        return self._steps[kind]
