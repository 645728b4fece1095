"""Start, serve, drain and stop a process of any role."""

from __future__ import annotations

import asyncio
import enum
import io
import os
import signal
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from attrs import define, field

from crowrudder_daemon._loop_watch import LoopWatch
from crowrudder_daemon._runtime import Role, Runtime
from crowrudder_daemon.admin import AdminServer, AdminView
from crowrudder_daemon.early_signals import take_signals
from crowrudder_daemon.logs import start_logs

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from crowrudder_daemon.settings import Settings

EXIT_DRAINED = 0
EXIT_NOT_STARTED = 1
EXIT_CUT_OFF = 3

SHUTDOWN_STEP_TIMEOUT_S = 5.0
"""Timeout of one shutdown step in seconds.

The slowest step cancels its remote calls after a grace period of one second
(`LEAVE_GRACE_S` of the roles); five seconds allow for a busy machine.
"""


class Phase(enum.Enum):
    """Phase of a process."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'


@define
class Stop:
    """A stop request: the first starts the drain, the second cancels it."""

    requested: asyncio.Event = field(factory=asyncio.Event)
    forced: asyncio.Event = field(factory=asyncio.Event)
    teller: str = ''

    def ask(self, teller: str) -> None:
        """Record a signal or another request to stop."""
        if self.requested.is_set():
            self.forced.set()
        self.teller = self.teller or teller
        self.requested.set()


@define
class Lifecycle:
    """Runs one role from start to exit code."""

    runtime: Runtime
    role: Role
    phase: Phase = Phase.STARTING
    admin_port: int = 0
    has_unfinished_steps: bool = False
    """Whether some part of the process did not end within its timeout."""

    _started_s: float = field(factory=time.monotonic)

    async def run(self, stop: Stop) -> int:
        """Serve until a stop is requested, then drain; return the exit code."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_loop_fault)
        admin = AdminServer(self._view())
        try:
            return await self._run(admin, stop)
        finally:
            await self._safely('stop', self.role.stop())
            await self._safely('stop jobs', self.runtime.cancel_jobs())
            await self._safely('stop admin', admin.close())
            self.runtime.metrics.close()

    def status(self) -> dict[str, Any]:
        """Return the status of the role, with the keys of the process."""
        process = self.runtime.cfg.process
        return {
            **self.role.status(),
            'host': process.host,
            'role': process.role,
            'region': process.region,
            'failure_domain': process.failure_domain,
            'incarnation': self.runtime.incarnation,
            'phase': self.phase.value,
            'uptime_s': round(time.monotonic() - self._started_s, 3),
        }

    def readiness(self) -> list[str]:
        """Return the reasons why the process can't serve."""
        if self.phase is Phase.SERVING:
            return self.role.readiness()
        return [self.phase.value]

    async def _run(self, admin: AdminServer, stop: Stop) -> int:
        process = self.runtime.cfg.process
        try:
            self.admin_port = admin.listen(process.address, process.admin_port)
            await self.role.start()
        except Exception:
            # Usually a port in use: shown by the exit code and this line.
            self.runtime.log.exception('not started', extra={'step': 'start'})
            return EXIT_NOT_STARTED
        self.runtime.spawn(
            LoopWatch(self.runtime).watch(), step='watch the loop'
        )
        self._enter(Phase.SERVING, 'process')
        await stop.requested.wait()
        self._enter(Phase.DRAINING, stop.teller)
        return await self._drain(stop)

    async def _drain(self, stop: Stop) -> int:
        """Wait for running requests until forced to stop or timed out.

        A host whose role never ends its drain could not be replaced; `drain_s`
        bounds the wait, and a second signal ends it.
        """
        drain = asyncio.ensure_future(self.role.drain())
        forced = asyncio.ensure_future(stop.forced.wait())
        await asyncio.wait(
            (drain, forced),
            timeout=self.runtime.cfg.limits.drain_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        forced.cancel()
        if not drain.done():
            drain.cancel()
            self.runtime.log.warning('drain cut off', extra={'step': 'drain'})
            await self._safely('drain', drain)
            return EXIT_CUT_OFF
        if drain.cancelled():
            return EXIT_CUT_OFF
        if (exc := drain.exception()) is not None:
            self.runtime.fault('drain', exc)
            return EXIT_CUT_OFF
        return EXIT_DRAINED

    def _enter(self, phase: Phase, teller: str) -> None:
        before, self.phase = self.phase, phase
        self.runtime.log.info(phase.value, extra={'step': phase.value})
        if phase is Phase.DRAINING:
            self.runtime.audit.note(
                kind='drain',
                teller=teller,
                subject=self.runtime.cfg.process.host,
                before=before.value,
                after=phase.value,
            )

    def _view(self) -> AdminView:
        return AdminView(
            status=self.status,
            readiness=self.readiness,
            explain=self.role.explain,
            members=self.role.members,
            bundle=self.role.bundle,
            metrics=self.runtime.metrics,
            audit=self.runtime.audit.trail,
            on_fault=self.runtime.fault,
        )

    async def _safely(self, step: str, closing: Awaitable[None]) -> None:
        """Run one shutdown step; a failure or timeout doesn't stop the others.

        If a step never ended, the process would outlive its drain and hold its
        ports, so that its successor could not start.
        """
        part = asyncio.ensure_future(closing)
        await asyncio.wait((part,), timeout=SHUTDOWN_STEP_TIMEOUT_S)
        if not part.done():
            self.has_unfinished_steps = True
            self._log_running_tasks(step)
        elif not part.cancelled() and (exc := part.exception()) is not None:
            self.runtime.fault(step, exc)

    def _log_running_tasks(self, step: str) -> None:
        """Log the stack of each task that still runs."""
        for task in asyncio.all_tasks():
            where = io.StringIO()
            task.print_stack(file=where)
            self.runtime.log.error(
                'not closed within %.0f s: %s',
                SHUTDOWN_STEP_TIMEOUT_S,
                where.getvalue(),
                extra={'step': step},
            )

    def _on_loop_fault(
        self,
        loop: asyncio.AbstractEventLoop,
        context: dict[str, Any],
    ) -> None:
        """Log and count errors that no task caught; the process goes on."""
        self.runtime.log.error(context['message'], extra={'step': 'loop'})
        self.runtime.fault('loop', context.get('exception'))


def run_role(
    cfg: Settings,
    build: Callable[[Runtime], Role],
    *,
    lines_per_s: float = 0,
) -> int:
    """Run a role until SIGTERM or SIGINT; return the exit code.

    0: drained; 1: not started; 3: running work was cut off. ``lines_per_s``
    limits the log rate, see `start_logs`.
    """
    return asyncio.run(_serve(cfg, build, lines_per_s))


async def _serve(
    cfg: Settings,
    build: Callable[[Runtime], Role],
    lines_per_s: float,
) -> int:
    log = start_logs(cfg, lines_per_s=lines_per_s)
    runtime = Runtime(cfg=cfg, log=log)
    stop = Stop()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.ask, number.name)
    # Unhandled, SIGHUP would end the process and all running work.
    loop.add_signal_handler(signal.SIGHUP, runtime.request_reload)
    # SIGHUP isn't repeated: the settings are read after it anyhow.
    stops = [each for each in take_signals() if each is not signal.SIGHUP]
    if stops:
        log.info('stopped before it served', extra={'step': 'start'})
        return EXIT_DRAINED
    lifecycle = Lifecycle(runtime, build(runtime))
    code = await lifecycle.run(stop)
    if lifecycle.has_unfinished_steps:
        # Closing the loop waits for every task, so it would wait for ever.
        os._exit(code or EXIT_CUT_OFF)
    return code
