"""Costs of complete entries, each in its own process."""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from _config_fleet import build_bundle, measure_costs
from _fleet import Fleet, until
from _fleet_plan import FleetPlan

if TYPE_CHECKING:
    from collections.abc import Callable

SIZES = (8, 32)
CHANGES = 5
REST_S = 12.0
SETTLE_S = 8.0
CHANGING_S = 8.0


async def measure_processes(show: Callable[[str, float | str], None]) -> None:
    """Measure entries at rest and while the configuration changes."""
    for count in SIZES:
        with tempfile.TemporaryDirectory() as directory:
            plan = FleetPlan(entries=count, engines=0, plains=0, poll_s=2)
            fleet = Fleet(plan, Path(directory))
            try:
                await fleet.start()
                await _measure(show, fleet, count)
            finally:
                fleet.close()


async def _measure(
    show: Callable[[str, float | str], None],
    fleet: Fleet,
    count: int,
) -> None:
    await _change(fleet, 1)
    await asyncio.sleep(SETTLE_S)
    pids = {host.process.pid for host in fleet.hosts}
    admin = {host.member['admin_port'] for host in fleet.hosts}
    rest = await measure_costs(pids, count, admin, REST_S)
    show(f'config.process.bytes_per_s.{count}', rest.bytes_per_s)
    show(f'config.process.cpu_share.{count}', rest.cpu_share)
    show(f'config.process.memory_mb.{count}', rest.memory_mb)
    await _show_change_bytes(show, fleet, count, rest.bytes_per_s)
    took = [await _change(fleet, 50 + number) for number in range(CHANGES)]
    show(f'config.process.everywhere_s.{count}', max(took))
    show(f'config.process.everywhere_s.median.{count}', statistics.median(took))


async def _show_change_bytes(
    show: Callable[[str, float | str], None],
    fleet: Fleet,
    count: int,
    rest_bytes_per_s: float,
) -> None:
    """Publish changes continuously and print the traffic per change."""
    generations = iter(range(2, 50))

    async def publish() -> None:
        await fleet.publish(build_bundle(next(generations)))

    pids = {host.process.pid for host in fleet.hosts}
    admin = {host.member['admin_port'] for host in fleet.hosts}
    busy = await measure_costs(pids, count, admin, CHANGING_S, publish)
    changes = next(generations) - 2
    added = (busy.bytes_per_s - rest_bytes_per_s) * CHANGING_S / changes
    show(f'config.process.bytes_per_change.{count}', added)


async def _change(fleet: Fleet, generation: int) -> float:
    """Publish a bundle and return the seconds until all have it in force."""
    at = time.time()
    await fleet.publish(build_bundle(generation))
    states: list[Any] = []

    async def in_force() -> bool:
        states[:] = await asyncio.gather(
            *(fleet.status(host) for host in fleet.hosts)
        )
        return all(
            each is not None and each['generation'] >= generation
            for each in states
        )

    await until(in_force, step=f'generation {generation}', timeout_s=60)
    return float(max(each['in_force_since'] for each in states)) - at
