"""Sending the arrivals at their times, as callers of the system do."""

from __future__ import annotations

import asyncio
import ipaddress
import math
import random
import time
from typing import TYPE_CHECKING

from _caller import REFUSED, Answer, Caller
from attrs import define, evolve, field, frozen

if TYPE_CHECKING:
    from collections.abc import Sequence

    from _caller import EntryAddress
    from _load_arrivals import Arrival
    from _load_plan import Bounds

# The final word may come so much later than the deadline.
_OVERDUE_S = 1.0
_BUSY = frozenset((429, 503))
_MOST_SENDINGS = 50
_JITTER_SHARE = 0.2
_LEAST_PAUSE_S = 0.05


class NotLoopbackError(Exception):
    """An address outside of this machine; nothing was sent to it."""

    def __init__(self, address: str) -> None:
        super().__init__(f'{address}: use an address in 127.0.0.0/8 or ::1')


def require_loopback(address: str) -> None:
    """Refuse what isn't an IP number of this machine's loopback.

    Raises
    ------
    NotLoopbackError
        If it is another address or a name.
    """
    try:
        own = ipaddress.ip_address(address).is_loopback
    except ValueError:
        own = False
    if not own:
        raise NotLoopbackError(address)


class LoopbackCaller(Caller):
    """A caller that uses only entries of this machine."""

    async def entries(self) -> Sequence[EntryAddress]:
        """Return the entries to use."""
        entries = await super().entries()
        for entry in entries:
            require_loopback(entry.address)
        return entries

    def forget_entries(self) -> None:
        """Ask for the entries again at the next call."""
        self._read_again_at = 0


@frozen(kw_only=True)
class CallResult:
    """What became of an arrival, as its caller saw it.

    Times are in seconds from the arrival's planned time, so that a load tool
    or an entry that falls behind shows as latency. `answer` is None where
    the request wasn't sent or never ended.
    """

    arrival: Arrival
    answer: Answer | None = None
    sendings: int = 0
    latency_s: float = 0
    first_token_s: float | None = None

    @property
    def outcome(self) -> str:
        """One of http.md's, `no_answer` or `not_sent`."""
        if not self.sendings:
            return 'not_sent'
        known = {'answered', 'not_run', 'failed', 'unknown'}
        if self.answer is None or self.answer.outcome not in known:
            return 'no_answer'
        if self.answer.outcome == 'answered' and not self.answer.whole:
            return 'no_answer'
        return self.answer.outcome

    @property
    def never_ended(self) -> bool:
        """Whether the run of load ended before the request did."""
        return self.sendings > 0 and self.answer is None

    @property
    def good(self) -> bool:
        """Whether the answer came whole and before its deadline."""
        deadline_s = self.arrival.request.deadline_ms / 1000
        return self.outcome == 'answered' and self.latency_s <= deadline_s

    @property
    def overdue(self) -> bool:
        """Whether no final word came until the deadline and a grace."""
        deadline_s = self.arrival.request.deadline_ms / 1000
        sent = self.sendings > 0
        return sent and self.latency_s > deadline_s + _OVERDUE_S


def pause_before_resend(answer: Answer, *, resend_lost: str) -> float | None:
    """Tell after how many seconds the request may be sent again, if at all.

    http.md: what is refused as not run may be, after `Retry-After`; what may
    have run only if it is idempotent.
    """
    if answer.outcome == 'not_run' and answer.status in _BUSY:
        return max(_LEAST_PAUSE_S, answer.retry_after_s)
    if answer.detail == REFUSED:
        return _LEAST_PAUSE_S
    may_resend = resend_lost == 'idempotent' and answer.request.idempotent
    return _LEAST_PAUSE_S if answer.broken and may_resend else None


@define
class _Clock:
    """The time of one call, and when its first part came."""

    arrived: float
    first_part_s: float | None = None

    def elapsed_s(self) -> float:
        return time.monotonic() - self.arrived

    def on_chunk(self) -> None:
        if self.first_part_s is None:
            self.first_part_s = self.elapsed_s()


@define
class LoadRun:
    """One open-loop run: arrivals don't wait for answers.

    Above the bound on concurrency a request isn't sent, and counted so.
    """

    caller: Caller
    bounds: Bounds
    results: list[CallResult] = field(factory=list)
    faults: list[BaseException] = field(factory=list)
    _running: dict[asyncio.Task[None], Arrival] = field(factory=dict)

    async def run(self, planned: Sequence[Arrival]) -> list[CallResult]:
        """Send all at their times and wait for the last answers.

        Raises
        ------
        Exception
            The first fault of the load tool itself: what it counted would
            lack a request.
        """
        started = time.monotonic()
        for arrival in planned:
            due = started + arrival.at_s
            await asyncio.sleep(due - time.monotonic())
            self._start(arrival, due)
        await self._end()
        if self.faults:
            raise self.faults[0]
        return self.results

    def _start(self, arrival: Arrival, due: float) -> None:
        if len(self._running) >= self.bounds.concurrent_at_most:
            self.results.append(CallResult(arrival=arrival))
            return
        task = asyncio.create_task(self._call(arrival, due))
        self._running[task] = arrival
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        arrival = self._running.pop(task)
        if task.cancelled():
            self.results.append(
                CallResult(arrival=arrival, sendings=1, latency_s=math.inf)
            )
            return
        fault = task.exception()
        if fault is not None:
            self.faults.append(fault)

    async def _end(self) -> None:
        running = list(self._running)
        if not running:
            return
        _, late = await asyncio.wait(running, timeout=self.bounds.wait_s)
        for task in late:
            task.cancel()
        # Also waits for the callbacks, which came before this one.
        await asyncio.gather(*running, return_exceptions=True)

    async def _call(self, arrival: Arrival, due: float) -> None:
        rng = random.Random(f'{self.bounds.seed} {arrival.request.request_id}')
        deadline_s = arrival.request.deadline_ms / 1000
        clock = _Clock(due)
        sendings = 0
        while True:
            left_s = max(0.001, deadline_s - clock.elapsed_s())
            answer = await self._send(arrival, clock, left_s)
            sendings += 1
            pause_s = pause_before_resend(
                answer, resend_lost=self.bounds.resend_lost
            )
            if pause_s is None or sendings == _MOST_SENDINGS:
                break
            # Many callers were told the same time; they spread over it.
            pause_s *= 1 + _JITTER_SHARE * rng.random()
            if clock.elapsed_s() + pause_s >= deadline_s:
                break
            await asyncio.sleep(pause_s)
        self.results.append(
            CallResult(
                arrival=arrival,
                answer=answer,
                sendings=sendings,
                latency_s=clock.elapsed_s(),
                first_token_s=clock.first_part_s if answer.whole else None,
            )
        )

    async def _send(
        self, arrival: Arrival, clock: _Clock, left_s: float
    ) -> Answer:
        # The error of an earlier sending isn't the answer's first part.
        clock.first_part_s = None
        return await self.caller.send(
            evolve(arrival.request, deadline_ms=max(1, int(left_s * 1000))),
            on_chunk=clock.on_chunk,
        )
