"""Measures how late the event loop of a process wakes due tasks."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._ticks import until_tick_s

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from crowrudder_daemon._runtime import Runtime

CHECK_INTERVAL_S = 0.1
"""Check interval in seconds: a third of the 0.3 s for which the margins of
the fleet allow. Up to this much of a stall goes undetected. Checks twice as
often cost 0.008 of a core in an idle process."""

WARN_LATENESS_S = 0.1
"""Lateness in seconds from which it is logged: a third of the 0.3 s before a
version's end at which a request is withdrawn."""

LOG_INTERVAL_S = 1.0
"""Minimum time in seconds between two log lines: a loop that is always late
would fill a rate-limited log."""

LATENESS_BUCKETS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5,
)  # fmt: skip


@frozen(kw_only=True)
class LatenessReport:
    """The worst late wake-up since the last log line, and their count."""

    late_s: float
    ago_s: float
    times: int


@define
class LatenessReporter:
    """Decides which late wake-ups are logged.

    The first is logged at once; of those that follow within `LOG_INTERVAL_S`,
    the worst.
    """

    _reported_at: float = field(default=-math.inf, init=False)
    _worst_s: float = field(default=0, init=False)
    _worst_at: float = field(default=0, init=False)
    _times: int = field(default=0, init=False)

    def on_woken(self, late_s: float, now: float) -> LatenessReport | None:
        """Record a wake-up; return the report to log, if any."""
        if late_s >= WARN_LATENESS_S:
            self._times += 1
            if late_s > self._worst_s:
                self._worst_s, self._worst_at = late_s, now
        if not self._times or now - self._reported_at < LOG_INTERVAL_S:
            return None
        report = LatenessReport(
            late_s=self._worst_s,
            ago_s=now - self._worst_at,
            times=self._times,
        )
        self._reported_at = now
        self._worst_s, self._times = 0, 0
        return report


class LoopWatch:
    """Measures how late its own sleep ends.

    Without it, when a request is withdrawn too late, nothing shows whether the
    process was stalled or had a wrong time. The clock runs on while a process
    is stopped or its host suspended, so that these are detected as well.

    Parameters
    ----------
    clock, sleep, wait_s
        Replaced in tests.
    """

    def __init__(
        self,
        runtime: Runtime,
        *,
        clock: Callable[[], float] = clock_s,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        wait_s: Callable[[float], float] = until_tick_s,
    ) -> None:
        self._log = runtime.log
        self._clock = clock
        self._sleep = sleep
        self._wait_s = wait_s
        self._lateness = LatenessReporter()
        self._late = runtime.metrics.histogram(
            'loop_late_seconds',
            'How late the event loop woke a task that was due.',
            bounds=LATENESS_BUCKETS_S,
        )

    async def watch(self) -> None:
        """Check for as long as the process runs."""
        while True:
            await self.check_once()

    async def check_once(self) -> None:
        """Sleep once and record how late the sleep ended."""
        wait_s = self._wait_s(CHECK_INTERVAL_S)
        due_at = self._clock() + wait_s
        await self._sleep(wait_s)
        now = self._clock()
        late_s = max(now - due_at, 0)
        self._late.record(late_s)
        report = self._lateness.on_woken(late_s, now)
        if report is not None:
            self._log.warning(
                'loop woke late',
                extra={
                    'step': 'loop',
                    'late_s': round(report.late_s, 3),
                    'ago_s': round(report.ago_s, 3),
                    'times': report.times,
                },
            )
