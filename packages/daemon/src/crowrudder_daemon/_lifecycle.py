"""Start, serve, drain and stop: the same for every role."""

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
from crowrudder_daemon.logs import start_logs

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from crowrudder_daemon.settings import Settings

EXIT_DRAINED = 0
EXIT_NOT_STARTED = 1
EXIT_CUT_OFF = 3

CLOSE_S = 5.0
"""Longest time in seconds for one step of closing.

The slowest step ends its remote calls after a grace of one second
(`LEAVE_GRACE_S` of the roles); five leaves room for a busy machine.
"""


class Phase(enum.Enum):
    """Where a process is in its life."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'


@define
class Stop:
    """The wish to end: the first asks for a drain, the second cuts it off."""

    asked: asyncio.Event = field(factory=asyncio.Event)
    hurried: asyncio.Event = field(factory=asyncio.Event)
    teller: str = ''

    def ask(self, teller: str) -> None:
        """Note a signal, or another wish to end."""
        if self.asked.is_set():
            self.hurried.set()
        self.teller = self.teller or teller
        self.asked.set()


@define
class Lifecycle:
    """Runs one role from start to exit code."""

    runtime: Runtime
    role: Role
    phase: Phase = Phase.STARTING
    admin_port: int = 0
    stuck: bool = False
    """Whether some part of the process did not end when told to."""

    _started_s: float = field(factory=time.monotonic)

    async def run(self, stop: Stop) -> int:
        """Serve until `stop` is asked, then drain; return the exit code."""
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
        """Describe the role and, over it, the process."""
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
        """List why the process can't serve."""
        if self.phase is Phase.SERVING:
            return self.role.readiness()
        return [self.phase.value]

    async def _run(self, admin: AdminServer, stop: Stop) -> int:
        process = self.runtime.cfg.process
        try:
            self.admin_port = admin.listen(process.address, process.admin_port)
            await self.role.start()
        except Exception:
            # A port in use, mostly: seen by the exit code and this line.
            self.runtime.log.exception('not started', extra={'step': 'start'})
            return EXIT_NOT_STARTED
        self.runtime.spawn(
            LoopWatch(self.runtime).watch(), step='watch the loop'
        )
        self._enter(Phase.SERVING, 'process')
        await stop.asked.wait()
        self._enter(Phase.DRAINING, stop.teller)
        return await self._drain(stop)

    async def _drain(self, stop: Stop) -> int:
        """Let running requests end, unless hurried or out of time.

        A role that never ends its drain would be seen as a host that can't be
        replaced; `drain_s` bounds the wait, and a second signal ends it.
        """
        drain = asyncio.ensure_future(self.role.drain())
        hurried = asyncio.ensure_future(stop.hurried.wait())
        await asyncio.wait(
            (drain, hurried),
            timeout=self.runtime.cfg.limits.drain_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        hurried.cancel()
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
        """Go on closing the rest when one part fails, or never ends.

        A part that never ends would be seen as a process that outlives its
        drain, keeps its ports and lets no successor start.
        """
        part = asyncio.ensure_future(closing)
        await asyncio.wait((part,), timeout=CLOSE_S)
        if not part.done():
            self.stuck = True
            self._tell_stuck(step)
        elif not part.cancelled() and (exc := part.exception()) is not None:
            self.runtime.fault(step, exc)

    def _tell_stuck(self, step: str) -> None:
        """Log where each task that still runs stands."""
        for task in asyncio.all_tasks():
            where = io.StringIO()
            task.print_stack(file=where)
            self.runtime.log.error(
                'not closed within %.0f s: %s',
                CLOSE_S,
                where.getvalue(),
                extra={'step': step},
            )

    def _on_loop_fault(
        self,
        loop: asyncio.AbstractEventLoop,
        context: dict[str, Any],
    ) -> None:
        """Take what no task caught, so that it is seen and kills nothing."""
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
    bounds the log, see `start_logs`.
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
    # Unhandled, it would end the process and cut off all that runs.
    loop.add_signal_handler(signal.SIGHUP, runtime.ask_reload)
    life = Lifecycle(runtime, build(runtime))
    code = await life.run(stop)
    if life.stuck:
        # The loop's own end waits for every task, so for this one for ever.
        os._exit(code or EXIT_CUT_OFF)
    return code
