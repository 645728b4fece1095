"""How late the event loop of a process wakes what is due."""

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

LOOK_S = 0.1
"""Between two looks, seconds. Of a loop that stands still up to so much isn't
seen; a third of the 0.3 s for which the margins of the fleet allow. Looks twice
as often cost 0.008 of a core, measured on a process at rest."""

LATE_S = 0.1
"""Lateness in seconds from which on it is told: a third of the 0.3 s before a
version's end at which a request is taken away."""

TELL_S = 1.0
"""Least time in seconds between two lines: a loop that is late all the time
would fill a log that is bounded."""

LATE_SECONDS = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5,
)  # fmt: skip


@frozen(kw_only=True)
class LateWord:
    """The worst of the late wakings since the last line, and their number."""

    late_s: float
    ago_s: float
    times: int


@define
class Lateness:
    """Decides which late wakings make a line.

    The first is told at once; of those that follow within `TELL_S` the worst.
    """

    _told_at: float = field(default=-math.inf, init=False)
    _worst_s: float = field(default=0, init=False)
    _worst_at: float = field(default=0, init=False)
    _times: int = field(default=0, init=False)

    def on_woken(self, late_s: float, now: float) -> LateWord | None:
        """Take a waking; give what is to be told, if anything."""
        if late_s >= LATE_S:
            self._times += 1
            if late_s > self._worst_s:
                self._worst_s, self._worst_at = late_s, now
        if not self._times or now - self._told_at < TELL_S:
            return None
        word = LateWord(
            late_s=self._worst_s,
            ago_s=now - self._worst_at,
            times=self._times,
        )
        self._told_at = now
        self._worst_s, self._times = 0, 0
        return word


class LoopWatch:
    """Measures how late its own sleep ends.

    What can't be told without it: a request is taken away too late, and
    nothing shows whether the process stood still or believed another time.
    The clock goes on while a process is stopped or its host suspended, so
    that these are seen as well.

    Parameters
    ----------
    clock, sleep, wait_s
        Replaced by tests.
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
        self._lateness = Lateness()
        self._late = runtime.metrics.histogram(
            'loop_late_seconds',
            'How late the event loop woke a task that was due.',
            bounds=LATE_SECONDS,
        )

    async def watch(self) -> None:
        """Look for as long as the process runs."""
        while True:
            await self.look()

    async def look(self) -> None:
        """Sleep once and take how late the sleep ended."""
        wait_s = self._wait_s(LOOK_S)
        due_at = self._clock() + wait_s
        await self._sleep(wait_s)
        now = self._clock()
        late_s = max(now - due_at, 0)
        self._late.record(late_s)
        word = self._lateness.on_woken(late_s, now)
        if word is not None:
            self._log.warning(
                'loop woke late',
                extra={
                    'step': 'loop',
                    'late_s': round(word.late_s, 3),
                    'ago_s': round(word.ago_s, 3),
                    'times': word.times,
                },
            )
