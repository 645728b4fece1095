"""What every role of a process is handed, and what it has to offer."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable, Coroutine
from logging import Logger
from typing import Any, Protocol

from attrs import define, field, frozen

from crowrudder_daemon._audit import AuditEvent, AuditKind, AuditTrail
from crowrudder_daemon.metrics import Metrics
from crowrudder_daemon.settings import Settings
from crowrudder_model import Member

INCARNATION_BYTES = 8


def new_incarnation() -> str:
    """Draw the name of one life of a process: 64 random bits in hex."""
    return secrets.token_hex(INCARNATION_BYTES)


@frozen
class Audit:
    """The trail of this process, stamped with its wall clock."""

    trail: AuditTrail = field(factory=AuditTrail)
    _clock: Callable[[], float] = time.time

    def note(
        self,
        *,
        kind: AuditKind,
        teller: str,
        subject: str,
        before: str,
        after: str,
    ) -> AuditEvent:
        """Record a change now."""
        return self.trail.record(
            at=self._clock(),
            kind=kind,
            teller=teller,
            subject=subject,
            before=before,
            after=after,
        )


@define
class Runtime:
    """The surroundings of a role.

    `incarnation` tells this life of the process from earlier ones under the
    same host name; nothing of it is kept. `reload_asked` is set when the
    settings may have changed.
    """

    cfg: Settings
    log: Logger
    metrics: Metrics = field(factory=Metrics)
    audit: Audit = field(factory=Audit)
    incarnation: str = field(factory=new_incarnation)
    reload_asked: asyncio.Event = field(factory=asyncio.Event)
    _jobs: set[asyncio.Task[Any]] = field(factory=set, init=False)

    def spawn(
        self,
        job: Coroutine[Any, Any, Any],
        *,
        step: str,
    ) -> asyncio.Task[Any]:
        """Run a job whose fault is logged and counted.

        The loop keeps only weak references to tasks: one that nobody holds may
        vanish while it waits, seen as work that stops without a line of log.
        """
        task = asyncio.get_running_loop().create_task(job, name=step)
        self._jobs.add(task)
        task.add_done_callback(self._on_done)
        return task

    def ask_reload(self) -> None:
        """Note that the settings may have changed."""
        self.log.info('told to read the settings', extra={'step': 'reload'})
        self.reload_asked.set()

    def fault(self, step: str, exc: BaseException | None) -> None:
        """Log and count a fault that no handler expected."""
        self.metrics.unhandled_faults.add(step=step)
        self.log.error('unhandled fault', exc_info=exc, extra={'step': step})

    async def cancel_jobs(self) -> None:
        """End every job that still runs."""
        jobs = list(self._jobs)
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._jobs.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.fault(task.get_name(), task.exception())


class Role(Protocol):
    """An entry or an agent, as the process that runs it sees it."""

    async def start(self) -> None:
        """Open sockets and start tasks."""

    async def drain(self) -> None:
        """Take no new work, tell peers, and wait for what runs."""

    async def stop(self) -> None:
        """Close sockets and end tasks; running work is cut off."""

    def status(self) -> dict[str, Any]:
        """Describe the state for ``/status``, in values that JSON carries."""

    def readiness(self) -> list[str]:
        """List the reasons why it can't serve; empty when it can."""

    def members(self) -> tuple[Member, ...]:
        """List the members that this process knows."""

    def bundle(self) -> bytes:
        """Give the bytes of the bundle in force; empty where none is."""

    def explain(self, customer: str, model: str) -> dict[str, Any]:
        """Say where a request would go, and why; entries only.

        Raises
        ------
        NotImplementedError
            In a role that doesn't route.
        """
