"""Requests that crash replicas, and replicas that state a rate limit.

Uses its own random generator, so that it doesn't change a seed's other random
choices.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import defaultdict
from itertools import chain
from typing import TYPE_CHECKING

from _platform_load import ROUTE_KINDS, Caller
from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from _platform_chaos import PlatformChaos
    from _platform_checks import Verdict
    from _platform_fleet import PlatformFleet
    from _platform_load import RequestResult

    from crowrudder_standins.fleet_replica import FleetReplica

RECOVERY_S = 3.0
QUARANTINE_ENDS = 3
MAX_LATE_SENDS = 3
LIMIT_WINDOW_S = 4.0
LIMIT_NOTICE_S = 0.5
DOWNTIME_S = (0.4, 1.0)
MAX_FATAL_SENDS = 20
FATAL_INTERVAL_S = (0.05, 0.6)
LIMITS_PER_S = (1.0, 1.5, 3.0)
LIMIT_DURATION_S = (6.0, 9.0)
INJECTION_INTERVAL_S = (0.5, 2.0)


@frozen
class StatedLimit:
    """A period in which a replica stated a rate limit."""

    replica: FleetReplica
    per_s: float
    began_at: float
    ended_at: float


@define(eq=False)
class FatalsAndLimits:
    """Sends fatal requests and sets replicas' rate limits until a deadline."""

    fleet: PlatformFleet
    rng: random.Random
    key: Callable[[], str]
    log_line: Callable[[str], None]
    ends: list[tuple[float, str]] = field(factory=list)
    limits: list[StatedLimit] = field(factory=list)
    callers: list[Caller] = field(factory=list)
    _restarting: set[str] = field(factory=set)
    _jobs: set[asyncio.Task[None]] = field(factory=set)

    async def run(self, ends_at: float) -> None:
        """Start both at random intervals; they may overlap."""
        self.fleet.on_fatal = self._on_fatal
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < ends_at:
                injector = self.rng.choice((self._fatal, self._limit))
                group.create_task(injector(ends_at))
                await asyncio.sleep(self.rng.uniform(*INJECTION_INTERVAL_S))
        await asyncio.gather(*self._jobs)

    async def _fatal(self, ends_at: float) -> None:
        body = f'fatal {len(self.callers)}'.encode()
        kind = self.rng.choice([k for k in ROUTE_KINDS if k.method == 'POST'])
        caller = Caller(
            random.Random(self.rng.getrandbits(32)),
            self.fleet.entries,
            self.key,
            route_kinds=(kind,),
            body=body,
        )
        self.callers.append(caller)
        self.log_line(f'{body.decode()} on {kind.path}')
        for number in range(MAX_FATAL_SENDS):
            if time.monotonic() >= ends_at:
                break
            await caller.send_request(
                f'{body.decode()}-{number}'.replace(' ', '-')
            )
            caller.close()
            await asyncio.sleep(self.rng.uniform(*FATAL_INTERVAL_S))

    async def _limit(self, ends_at: float) -> None:
        name = self.rng.choice(sorted(self.fleet.replicas))
        replica = self.fleet.replicas[name].replica
        if replica.limit_per_s:
            return
        per_s = self.rng.choice(LIMITS_PER_S)
        replica.limit_per_s = str(per_s)
        began_at = time.monotonic()
        self.log_line(f'{replica.id} names a limit of {per_s}')
        lasts_s = min(self.rng.uniform(*LIMIT_DURATION_S), ends_at - began_at)
        await asyncio.sleep(max(lasts_s, 0))
        replica.limit_per_s = ''
        self.limits.append(
            StatedLimit(replica, per_s, began_at, time.monotonic())
        )

    def _on_fatal(self, name: str) -> None:
        if name in self._restarting:
            return
        self._restarting.add(name)
        replica = self.fleet.replicas[name].replica
        self.ends.append((time.monotonic(), replica.runs[-1].body.decode()))
        job = asyncio.create_task(self._crash(name))
        self._jobs.add(job)

    async def _crash(self, name: str) -> None:
        await self.fleet.crash(name, self.rng.uniform(*DOWNTIME_S))
        self._restarting.discard(name)


def check_fatals_and_limits(
    fatals_and_limits: FatalsAndLimits,
    results: Collection[RequestResult],
    fleet: PlatformFleet,
    chaos: PlatformChaos,
    verdict: Verdict,
) -> None:
    """Check that fatal requests were quarantined and rate limits obeyed."""
    sent = [
        each for caller in fatals_and_limits.callers for each in caller.results
    ]
    entries = {each.request_id: each.entry for each in chain(results, sent)}
    ends: dict[str, list[float]] = defaultdict(list)
    for at, body in sorted(fatals_and_limits.ends):
        ends[body].append(at)
    for body, times in ends.items():
        verdict.ends['replicas ended'] += len(times)
        if len(times) >= QUARANTINE_ENDS:
            third_at = times[QUARANTINE_ENDS - 1]
            _check_fatal(body, third_at, entries, fleet, chaos, verdict)
    for limit in fatals_and_limits.limits:
        _check_limit(limit, results, entries, chaos, verdict)


def _check_fatal(
    body: str,
    third_at: float,
    entries: dict[str, str],
    fleet: PlatformFleet,
    chaos: PlatformChaos,
    verdict: Verdict,
) -> None:
    late = [
        run
        for incarnation in fleet.all_incarnations()
        for run in incarnation.replica.runs
        if run.body.decode() == body
        and run.began_at > third_at + RECOVERY_S
        and not chaos.was_disturbed(
            entries.get(run.request_id, ''),
            run.began_at - RECOVERY_S,
            run.began_at,
        )
    ]
    if len(late) > MAX_LATE_SENDS:
        verdict.add_violation('sent on', f'{body} began {len(late)} times more')


def _check_limit(
    limit: StatedLimit,
    results: Collection[RequestResult],
    entries: dict[str, str],
    chaos: PlatformChaos,
    verdict: Verdict,
) -> None:
    notified_at = _notified_at(limit, results)
    times = [
        at
        for at, request_id in limit.replica.arrivals
        if limit.began_at + RECOVERY_S <= at <= limit.ended_at
        and at
        >= notified_at.get(entries.get(request_id, ''), at) + LIMIT_NOTICE_S
        and not chaos.was_disturbed(entries[request_id], at - RECOVERY_S, at)
    ]
    max_count = 1.5 * limit.per_s * LIMIT_WINDOW_S + 5
    for first in times:
        count = sum(first <= at < first + LIMIT_WINDOW_S for at in times)
        if count > max_count:
            verdict.add_violation(
                'over the limit',
                f'{limit.replica.id} got {count}, allowed {max_count:.0f}',
            )
            return


def _notified_at(
    limit: StatedLimit, results: Collection[RequestResult]
) -> dict[str, float]:
    """Return when each entry first forwarded an answer that states the limit."""
    ids = {
        request_id
        for at, request_id in limit.replica.arrivals
        if at >= limit.began_at
    }
    found: dict[str, float] = {}
    for each in results:
        if each.request_id in ids and each.is_whole and each.status == 200:
            before = found.get(each.entry, each.ended_at)
            found[each.entry] = min(before, each.ended_at)
    return found
