"""The environment of a role, and the interface that a role implements."""

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
    """Return a random incarnation id of a process: 64 bits in hex."""
    return secrets.token_hex(INCARNATION_BYTES)


@frozen
class Audit:
    """The audit trail of this process, with wall-clock timestamps."""

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
        """Record a change at the current time."""
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
    """The environment of a role.

    `incarnation` distinguishes this run of the process from earlier ones under
    the same host name; it isn't stored. `reload_requested` is set when the
    settings may have changed.
    """

    cfg: Settings
    log: Logger
    metrics: Metrics = field(factory=Metrics)
    audit: Audit = field(factory=Audit)
    incarnation: str = field(factory=new_incarnation)
    reload_requested: asyncio.Event = field(factory=asyncio.Event)
    _jobs: set[asyncio.Task[Any]] = field(factory=set, init=False)

    def spawn(
        self,
        job: Coroutine[Any, Any, Any],
        *,
        step: str,
    ) -> asyncio.Task[Any]:
        """Run a job; its unhandled exceptions are logged and counted.

        The loop keeps only weak references to tasks: without another reference
        a waiting task may be collected, and its work stops without a log line.
        """
        task = asyncio.get_running_loop().create_task(job, name=step)
        self._jobs.add(task)
        task.add_done_callback(self._on_done)
        return task

    def request_reload(self) -> None:
        """Request a reload of the settings, which may have changed."""
        self.log.info('told to read the settings', extra={'step': 'reload'})
        self.reload_requested.set()

    def fault(
        self, step: str, exc: BaseException | None, **fields: str
    ) -> None:
        """Log and count an unhandled fault; ``fields`` are of its log line."""
        self.metrics.unhandled_faults.add(step=step)
        self.log.error(
            'unhandled fault', exc_info=exc, extra={'step': step, **fields}
        )

    async def cancel_jobs(self) -> None:
        """Cancel all running jobs."""
        jobs = list(self._jobs)
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._jobs.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.fault(task.get_name(), task.exception())


class Role(Protocol):
    """The interface of an entry or agent towards its process."""

    async def start(self) -> None:
        """Open sockets and start tasks."""

    async def drain(self) -> None:
        """Accept no new work, notify peers and wait for running work."""

    async def stop(self) -> None:
        """Close sockets and cancel tasks; running work is cut off."""

    def status(self) -> dict[str, Any]:
        """Return the state for ``/status`` as JSON-compatible values."""

    def readiness(self) -> list[str]:
        """Return the reasons why it can't serve; empty if it can."""

    def members(self) -> tuple[Member, ...]:
        """Return the members that this process knows."""

    def bundle(self) -> bytes:
        """Return the bytes of the bundle in force; empty if there is none."""

    def explain(self, customer: str, model: str) -> dict[str, Any]:
        """Return where a request would go, and why; entries only.

        Raises
        ------
        NotImplementedError
            In a role that doesn't route requests.
        """
