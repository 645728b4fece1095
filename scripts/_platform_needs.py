"""Requests that end replicas, and replicas that name a limit.

Drawn from a random source of its own, so that a seed's other draws stay.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import defaultdict
from itertools import chain
from typing import TYPE_CHECKING

from _platform_load import KINDS, Caller
from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from _platform_chaos import PlatformChaos
    from _platform_checks import Verdict
    from _platform_fleet import PlatformFleet
    from _platform_load import Asked

    from crowrudder_standins.fleet_replica import FleetReplica

IN_TOUCH_S = 3.0
MOST_ENDS = 3
MOST_LATE_SENDS = 3
WINDOW_S = 4.0
TOLD_S = 0.5
AWAY_S = (0.4, 1.0)
FATAL_TIMES = 20
FATAL_PAUSE_S = (0.05, 0.6)
LIMITS = (1.0, 1.5, 3.0)
LIMIT_S = (6.0, 9.0)
GAP_S = (0.5, 2.0)


@frozen
class NamedLimit:
    """A time in which a replica named a limit."""

    replica: FleetReplica
    per_s: float
    began_at: float
    ended_at: float


@define(eq=False)
class Needs:
    """Sends fatal requests, and has replicas name limits, until a time."""

    fleet: PlatformFleet
    rng: random.Random
    key: Callable[[], str]
    say: Callable[[str], None]
    ends: list[tuple[float, str]] = field(factory=list)
    limits: list[NamedLimit] = field(factory=list)
    callers: list[Caller] = field(factory=list)
    _down: set[str] = field(factory=set)
    _jobs: set[asyncio.Task[None]] = field(factory=set)

    async def run(self, ends_at: float) -> None:
        """Play both, one after the other and beside each other."""
        self.fleet.on_fatal = self._on_fatal
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < ends_at:
                play = self.rng.choice((self._fatal, self._limit))
                group.create_task(play(ends_at))
                await asyncio.sleep(self.rng.uniform(*GAP_S))
        await asyncio.gather(*self._jobs)

    async def _fatal(self, ends_at: float) -> None:
        body = f'fatal {len(self.callers)}'.encode()
        kind = self.rng.choice([k for k in KINDS if k.method == 'POST'])
        caller = Caller(
            random.Random(self.rng.getrandbits(32)),
            self.fleet.entries,
            self.key,
            kinds=(kind,),
            body=body,
        )
        self.callers.append(caller)
        self.say(f'{body.decode()} on {kind.path}')
        for number in range(FATAL_TIMES):
            if time.monotonic() >= ends_at:
                break
            await caller.ask(f'{body.decode()}-{number}'.replace(' ', '-'))
            caller.close()
            await asyncio.sleep(self.rng.uniform(*FATAL_PAUSE_S))

    async def _limit(self, ends_at: float) -> None:
        name = self.rng.choice(sorted(self.fleet.replicas))
        replica = self.fleet.replicas[name].replica
        if replica.limit_per_s:
            return
        per_s = self.rng.choice(LIMITS)
        replica.limit_per_s = str(per_s)
        began_at = time.monotonic()
        self.say(f'{replica.id} names a limit of {per_s}')
        lasts_s = min(self.rng.uniform(*LIMIT_S), ends_at - began_at)
        await asyncio.sleep(max(lasts_s, 0))
        replica.limit_per_s = ''
        self.limits.append(
            NamedLimit(replica, per_s, began_at, time.monotonic())
        )

    def _on_fatal(self, name: str) -> None:
        if name in self._down:
            return
        self._down.add(name)
        replica = self.fleet.replicas[name].replica
        self.ends.append((time.monotonic(), replica.runs[-1].body.decode()))
        job = asyncio.create_task(self._crash(name))
        self._jobs.add(job)

    async def _crash(self, name: str) -> None:
        await self.fleet.crash(name, self.rng.uniform(*AWAY_S))
        self._down.discard(name)


def judge_needs(
    needs: Needs,
    asked: Collection[Asked],
    fleet: PlatformFleet,
    chaos: PlatformChaos,
    verdict: Verdict,
) -> None:
    """Hold the replicas' books against what ended them, and their limits."""
    sent = [each for caller in needs.callers for each in caller.asked]
    entries = {each.request_id: each.entry for each in chain(asked, sent)}
    ends: dict[str, list[float]] = defaultdict(list)
    for at, body in sorted(needs.ends):
        ends[body].append(at)
    for body, times in ends.items():
        verdict.ends['replicas ended'] += len(times)
        if len(times) >= MOST_ENDS:
            third_at = times[MOST_ENDS - 1]
            _judge_fatal(body, third_at, entries, fleet, chaos, verdict)
    for limit in needs.limits:
        _judge_limit(limit, asked, entries, chaos, verdict)


def _judge_fatal(
    body: str,
    third_at: float,
    entries: dict[str, str],
    fleet: PlatformFleet,
    chaos: PlatformChaos,
    verdict: Verdict,
) -> None:
    late = [
        run
        for life in fleet.all_lives()
        for run in life.replica.runs
        if run.body.decode() == body
        and run.began_at > third_at + IN_TOUCH_S
        and not chaos.met(
            entries.get(run.request_id, ''),
            run.began_at - IN_TOUCH_S,
            run.began_at,
        )
    ]
    if len(late) > MOST_LATE_SENDS:
        verdict.note('sent on', f'{body} began {len(late)} times more')


def _judge_limit(
    limit: NamedLimit,
    asked: Collection[Asked],
    entries: dict[str, str],
    chaos: PlatformChaos,
    verdict: Verdict,
) -> None:
    told_at = _told_at(limit, asked)
    times = [
        at
        for at, request_id in limit.replica.arrivals
        if limit.began_at + IN_TOUCH_S <= at <= limit.ended_at
        and at >= told_at.get(entries.get(request_id, ''), at) + TOLD_S
        and not chaos.met(entries[request_id], at - IN_TOUCH_S, at)
    ]
    most = 1.5 * limit.per_s * WINDOW_S + 5
    for first in times:
        count = sum(first <= at < first + WINDOW_S for at in times)
        if count > most:
            verdict.note(
                'over the limit',
                f'{limit.replica.id} got {count}, allowed {most:.0f}',
            )
            return


def _told_at(limit: NamedLimit, asked: Collection[Asked]) -> dict[str, float]:
    """Give since when each entry has passed on an answer with the limit."""
    ids = {
        request_id
        for at, request_id in limit.replica.arrivals
        if at >= limit.began_at
    }
    found: dict[str, float] = {}
    for each in asked:
        if each.request_id in ids and each.is_whole and each.status == 200:
            before = found.get(each.entry, each.ended_at)
            found[each.entry] = min(before, each.ended_at)
    return found
