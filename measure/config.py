"""Configuration: time until in force everywhere, platform calls, costs.

`config.everywhere_s.N` runs the daemon's `KnowledgeTask` with real sockets, up
to 32 tasks in one interpreter; `config.process.*` runs complete entries.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

from _config_churn import measure_churn
from _config_fleet import (
    POLL_S,
    WorkerFleet,
    build_bundle,
    measure_costs,
)
from _config_process import measure_processes
from _config_size import show_sizes
from _config_workedout import show_worked_out
from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Callable

    Show = Callable[[str, float | str], None]

SIZES = ((8, 1), (32, 2), (128, 4))
CHANGES = 8
IDLE_S = 12.0
SETTLE_S = 8.0
REVERTS_S = 40.0
SLOPE_FROM = 32
SLOPE_TO = 128


@frozen
class Measured:
    """Two figures of one fleet size, from which larger sizes are calculated."""

    calls_per_s: float
    everywhere_s: float


def run(show: Show) -> None:
    """Run all measurements of configuration."""
    sizes = {}
    for count, workers in SIZES:
        sizes[count] = asyncio.run(_measure_size(show, count, workers))
    # Smaller fleets lack some of the watchers of their failure domains.
    small, large = sizes[SLOPE_FROM], sizes[SLOPE_TO]
    slope = (large.calls_per_s - small.calls_per_s) / (SLOPE_TO - SLOPE_FROM)
    show('config.platform_calls_per_s.slope_per_process', slope)
    asyncio.run(_measure_reverts(show))
    asyncio.run(measure_processes(show))
    asyncio.run(measure_churn(show))
    show_sizes(show)
    show_worked_out(show, measured_s=large.everywhere_s, measured_at=SLOPE_TO)


async def _measure_size(show: Show, count: int, workers: int) -> Measured:
    """Measure a fleet of one size: idle, changing, and without watchers."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = WorkerFleet(count, workers, Path(directory))
        try:
            await fleet.start()
            idle = await _measure_idle(show, fleet, count)
            everywhere = await _measure_changes(show, fleet, count)
            await _measure_dead_watchers(show, fleet, count)
        finally:
            await fleet.close()
    return Measured(idle, everywhere)


async def _measure_idle(show: Show, fleet: WorkerFleet, count: int) -> float:
    hosts = {each['host'] for each in fleet.members}
    await fleet.publish(build_bundle(1))
    await fleet.until_in_force(1, hosts)
    await asyncio.sleep(SETTLE_S)
    before = await fleet.calls()
    costs = await measure_costs(fleet.pids, count, set(), IDLE_S)
    after = await fleet.calls()
    calls = (sum(after.values()) - sum(before.values())) / IDLE_S
    show(f'config.platform_calls_per_s.idle.{count}', calls)
    show(f'config.rest.bytes_per_s.{count}', costs.bytes_per_s)
    show(f'config.rest.cpu_share.{count}', costs.cpu_share)
    return calls


async def _measure_changes(show: Show, fleet: WorkerFleet, count: int) -> float:
    hosts = {each['host'] for each in fleet.members}
    took, busiest = [], 0
    for generation in range(2, 2 + CHANGES):
        before = await fleet.calls()
        at = await fleet.publish(build_bundle(generation))
        times = await fleet.until_in_force(generation, hosts)
        took.append(max(times.values()) - at)
        await asyncio.sleep(1.2)
        busiest = max(busiest, _busiest(before, await fleet.calls()))
    show(f'config.everywhere_s.{count}', max(took))
    show(f'config.everywhere_s.median.{count}', statistics.median(took))
    show(f'config.platform_calls_per_s.after_change.{count}', busiest)
    return max(took)


async def _measure_dead_watchers(
    show: Show, fleet: WorkerFleet, count: int
) -> None:
    watchers = fleet.watchers()
    dead = set(watchers[::2])
    for host in dead:
        await fleet.order('stop', host)
    hosts = {each['host'] for each in fleet.members} - dead
    took = []
    for generation in range(20, 24):
        at = await fleet.publish(build_bundle(generation))
        times = await fleet.until_in_force(generation, hosts)
        took.append(max(times.values()) - at)
    show(f'config.everywhere_s.half_watchers_dead.{count}', max(took))


def _busiest(before: dict[int, int], after: dict[int, int]) -> int:
    added = (calls - before.get(second, 0) for second, calls in after.items())
    return max(added, default=0)


async def _measure_reverts(show: Show) -> None:
    """Count reverts while members restart and the platform has faults."""
    rng = random.Random(6)
    with tempfile.TemporaryDirectory() as directory:
        fleet = WorkerFleet(24, 2, Path(directory))
        try:
            await fleet.start()
            generation = await _inject_faults(fleet, rng)
            hosts = {each['host'] for each in fleet.members}
            await fleet.publish(build_bundle(generation + 1))
            await fleet.until_in_force(generation + 1, hosts)
        finally:
            await fleet.close()
    reverts, behind = _count_reverts(fleet)
    show('config.reverts', reverts)
    show('config.reverts.in_force_events', len(fleet.events))
    show(
        'config.reverts.starts',
        len({each.incarnation for each in fleet.events}),
    )
    show('config.reverts.fresh_below_fleet', behind)


async def _inject_faults(fleet: WorkerFleet, rng: random.Random) -> int:
    faults = ('down', 'stale', 'slow', 'garbage', 'half', 'flapping', 'rebuilt')
    platform = fleet.base.platform
    generation, ends_at = 1, time.monotonic() + REVERTS_S
    await fleet.publish(build_bundle(1))
    await asyncio.sleep(POLL_S)
    while time.monotonic() < ends_at:
        fault = rng.choice(faults)
        await fleet.base.fault(platform, fault)
        generation += rng.choice((0, 1, 1, 2))
        await fleet.publish(build_bundle(generation, rate=rng.randrange(1, 9)))
        host = rng.choice(fleet.members)['host']
        await fleet.order('stop', host)
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        await fleet.order('start', host)
        if fault != 'rebuilt':
            await fleet.base.fault(platform, fault, on=False)
        await asyncio.sleep(rng.uniform(0.1, 1))
    return generation


def _count_reverts(fleet: WorkerFleet) -> tuple[int, int]:
    """Count reverts within an incarnation, and starts behind all others."""
    last: dict[str, tuple[int, str]] = {}
    now: dict[str, tuple[int, str]] = {}
    reverts = behind = 0
    for event in sorted(fleet.events, key=lambda each: each.at):
        order = (event.generation, event.digest)
        before = last.get(event.incarnation)
        if before is None:
            others = [each for host, each in now.items() if host != event.host]
            behind += bool(others) and order < min(others)
        else:
            reverts += order < before
        last[event.incarnation] = now[event.host] = order
    return reverts, behind
