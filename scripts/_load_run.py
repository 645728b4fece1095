"""Send arrivals at their planned times, as callers of the fleet do."""

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

# The final outcome may arrive this much later than the deadline.
_OVERDUE_MARGIN_S = 1.0
_RETRYABLE_STATUSES = frozenset((429, 503))
_MAX_SENDINGS = 50
_JITTER_SHARE = 0.2
_MIN_RESEND_DELAY_S = 0.05


class NotLoopbackError(Exception):
    """The address isn't a loopback address; nothing was sent to it."""

    def __init__(self, address: str) -> None:
        super().__init__(f'{address}: use an address in 127.0.0.0/8 or ::1')


def require_loopback(address: str) -> None:
    """Raise unless the address is a loopback IP address.

    Raises
    ------
    NotLoopbackError
        If it is another IP address or a host name.
    """
    try:
        is_loopback_address = ipaddress.ip_address(address).is_loopback
    except ValueError:
        is_loopback_address = False
    if not is_loopback_address:
        raise NotLoopbackError(address)


class LoopbackCaller(Caller):
    """A caller that uses only entries at loopback addresses."""

    async def entries(self) -> Sequence[EntryAddress]:
        """Return the entries to use."""
        entries = await super().entries()
        for entry in entries:
            require_loopback(entry.address)
        return entries

    def expire_entries(self) -> None:
        """Discard the entries, so that the next call reads them again."""
        self._read_again_at = 0


@frozen(kw_only=True)
class CallResult:
    """Result of an arrival, as its caller saw it.

    Times are in seconds from the arrival's planned time, so that a delay of
    the load tool or of an entry counts as latency. `answer` is None if the
    request wasn't sent or never ended.
    """

    arrival: Arrival
    answer: Answer | None = None
    sendings: int = 0
    latency_s: float = 0
    first_token_s: float | None = None

    @property
    def outcome(self) -> str:
        """Return an outcome of http.md, `no_answer` or `not_sent`."""
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
        """Return whether the run of load ended before the request."""
        return self.sendings > 0 and self.answer is None

    @property
    def good(self) -> bool:
        """Return whether a complete answer arrived before the deadline."""
        deadline_s = self.arrival.request.deadline_ms / 1000
        return self.outcome == 'answered' and self.latency_s <= deadline_s

    @property
    def overdue(self) -> bool:
        """Return whether the final outcome came after deadline and margin."""
        deadline_s = self.arrival.request.deadline_ms / 1000
        sent = self.sendings > 0
        return sent and self.latency_s > deadline_s + _OVERDUE_MARGIN_S


def find_resend_delay_s(answer: Answer, *, resend_lost: str) -> float | None:
    """Return the delay in seconds before a request may be resent, or None.

    By http.md, a request refused as not run may be resent after `Retry-After`;
    one that may have run, only if it is idempotent.
    """
    if answer.outcome == 'not_run' and answer.status in _RETRYABLE_STATUSES:
        return max(_MIN_RESEND_DELAY_S, answer.retry_after_s)
    if answer.detail == REFUSED:
        return _MIN_RESEND_DELAY_S
    may_resend = resend_lost == 'idempotent' and answer.request.idempotent
    return _MIN_RESEND_DELAY_S if answer.broken and may_resend else None


@define
class _CallTimer:
    """Measures the time of a call and of its first chunk."""

    arrived_at: float
    first_chunk_s: float | None = None

    def elapsed_s(self) -> float:
        return time.monotonic() - self.arrived_at

    def on_chunk(self) -> None:
        if self.first_chunk_s is None:
            self.first_chunk_s = self.elapsed_s()


@define
class LoadRun:
    """An open-loop run, in which arrivals don't wait for answers.

    Above the limit on concurrency a request isn't sent, and counts as such.
    """

    caller: Caller
    bounds: Bounds
    results: list[CallResult] = field(factory=list)
    faults: list[BaseException] = field(factory=list)
    _running: dict[asyncio.Task[None], Arrival] = field(factory=dict)

    async def run(self, planned: Sequence[Arrival]) -> list[CallResult]:
        """Send all arrivals at their times and wait for the last answers.

        Raises
        ------
        Exception
            The first failure of the load tool itself, as the counts would lack
            a request.
        """
        started = time.monotonic()
        for arrival in planned:
            due = started + arrival.at_s
            await asyncio.sleep(due - time.monotonic())
            self._start(arrival, due)
        await self._await_running()
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

    async def _await_running(self) -> None:
        running = list(self._running)
        if not running:
            return
        _, unfinished = await asyncio.wait(running, timeout=self.bounds.wait_s)
        for task in unfinished:
            task.cancel()
        # This also waits for the done callbacks, which were added earlier.
        await asyncio.gather(*running, return_exceptions=True)

    async def _call(self, arrival: Arrival, due: float) -> None:
        rng = random.Random(f'{self.bounds.seed} {arrival.request.request_id}')
        deadline_s = arrival.request.deadline_ms / 1000
        timer = _CallTimer(due)
        sendings = 0
        while True:
            remaining_s = max(0.001, deadline_s - timer.elapsed_s())
            answer = await self._send(arrival, timer, remaining_s)
            sendings += 1
            delay_s = find_resend_delay_s(
                answer, resend_lost=self.bounds.resend_lost
            )
            if delay_s is None or sendings == _MAX_SENDINGS:
                break
            # Many callers got the same `Retry-After`; jitter spreads them.
            delay_s *= 1 + _JITTER_SHARE * rng.random()
            if timer.elapsed_s() + delay_s >= deadline_s:
                break
            await asyncio.sleep(delay_s)
        self.results.append(
            CallResult(
                arrival=arrival,
                answer=answer,
                sendings=sendings,
                latency_s=timer.elapsed_s(),
                first_token_s=timer.first_chunk_s if answer.whole else None,
            )
        )

    async def _send(
        self, arrival: Arrival, timer: _CallTimer, remaining_s: float
    ) -> Answer:
        # A chunk of an earlier error isn't the first chunk of the answer.
        timer.first_chunk_s = None
        return await self.caller.send(
            evolve(
                arrival.request, deadline_ms=max(1, int(remaining_s * 1000))
            ),
            on_chunk=timer.on_chunk,
        )
