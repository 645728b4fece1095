"""Loading of a new version by real agent processes under live requests.

24 agents and their engines run on loopback; the agents' token buckets and the
rate of the origin's stand-in limit the links and the origin.
"""

from __future__ import annotations

import asyncio
import math
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from attrs import frozen

sys.path.insert(0, str(Path(__file__).parent.parent / 'scripts'))

from _caller import Caller, Request
from _declare import Declared, Weights
from _fleet import Fleet, until
from _fleet_plan import FleetPlan

if TYPE_CHECKING:
    from collections.abc import Callable

AGENTS = 24
SMALL_FLEET_AGENTS = 6
"""Agents in a fleet that one machine can run.

24 agents and engines need more processors than one machine has. That slows
live requests, which would not happen on separate hosts; so the ratio is also
measured with a small fleet.
"""

LINK_BYTES_PER_S = 3 << 19
CHUNK_BYTES = 128 << 10
CHUNKS = 128
FIRST_CHUNKS = 8
SIZE = CHUNK_BYTES * CHUNKS
BOUND_S = SIZE / LINK_BYTES_PER_S
REQUESTS_PER_S = 20
CALM_S = 8.0
WARM_UP_S = 2.0
TIMEOUT_S = 60
POLL_S = 0.1
TAIL_QUANTILE = 0.95


@frozen
class Figures:
    """Results of one run; times in seconds."""

    loaded_s: float
    origin_copies: float
    calm_p95_s: float
    burst_p95_s: float
    transfer_p95_s: float
    held_s: float
    answers: int
    complete_answers: int


def measure(agents: int) -> Figures:
    """Run a fleet with this number of agents once."""
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(_run(agents, Path(directory)))


async def _run(agents: int, directory: Path) -> Figures:
    plan = FleetPlan(
        engines=agents,
        plains=0,
        origin_rate=2 * LINK_BYTES_PER_S,
        link_bytes_per_s=LINK_BYTES_PER_S,
    )
    fleet = Fleet(plan, directory)
    try:
        return await _measure(fleet, Declared.from_example(directory / 'in'))
    finally:
        fleet.close()


async def _measure(fleet: Fleet, declared: Declared) -> Figures:
    await fleet.start()
    declared.set_replicas(fleet.plan.engines)
    await _publish_and_load(
        fleet, declared, _version('listing-v1', seed=1, chunks=FIRST_CHUNKS)
    )
    load = _Load(fleet)
    await load.run_for(WARM_UP_S)
    load.times.clear()
    await load.run_for(CALM_S)
    calm = load.tail()
    load.times.clear()
    burst = asyncio.create_task(load.run_for(TIMEOUT_S))
    version = _version('listing-v2', seed=2)
    began = time.monotonic()
    held_s, took_s = await _publish_and_load(fleet, declared, version)
    load.is_stopped = True
    await burst
    records = await fleet.books(fleet.origin)
    load.close()
    return Figures(
        loaded_s=took_s,
        origin_copies=float(records['versions']['listing-v2']['copies']),
        calm_p95_s=calm,
        burst_p95_s=load.tail(),
        transfer_p95_s=load.tail(until=began + held_s),
        held_s=held_s,
        answers=len(load.caller.answers),
        complete_answers=sum(answer.whole for answer in load.caller.answers),
    )


def _version(name: str, *, seed: int, chunks: int = CHUNKS) -> Weights:
    return Weights(
        name,
        seed=seed,
        stored=False,
        size=CHUNK_BYTES * chunks,
        chunk_bytes=CHUNK_BYTES,
    )


async def _publish_and_load(
    fleet: Fleet,
    declared: Declared,
    weights: Weights,
) -> tuple[float, float]:
    """Publish; return the seconds until all hold it and until all loaded it."""
    await declared.publish(fleet, weights)
    began = time.monotonic()
    held: list[float] = []

    async def is_loaded() -> bool:
        agents = fleet.engine_agents
        states = [await fleet.status(agent) for agent in agents]
        if not held and all(_holds(each, weights.version) for each in states):
            held.append(time.monotonic() - began)
        await asyncio.sleep(POLL_S)
        return all(
            each and each['loaded_version'] == weights.version
            for each in states
        )

    await until(is_loaded, step=weights.version, timeout_s=TIMEOUT_S)
    return held[0], time.monotonic() - began


def _holds(status: Any, version: str) -> bool:
    """Return whether an agent holds every chunk, or has loaded them."""
    return bool(
        status
        and status['declared_version'] == version
        and status['progress'] == 1
    )


class _Load:
    """Sends requests at a constant rate, however long the answers take."""

    def __init__(self, fleet: Fleet) -> None:
        entry = fleet.entries[0].member
        url = f'http://{entry["address"]}:{entry["http_port"]}'
        self.caller = Caller(url, seed=1)
        self.times: list[tuple[float, float]] = []
        self.is_stopped = False
        self._number = 0

    async def run_for(self, seconds: float) -> None:
        """Send for a time or until stopped, then wait for the answers."""
        ends_at = time.monotonic() + seconds
        calls = []
        while time.monotonic() < ends_at and not self.is_stopped:
            calls.append(asyncio.create_task(self._call()))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*calls)

    def tail(self, until: float = math.inf) -> float:
        """Return the 95th percentile of the times to the complete answer."""
        times = sorted(took for began, took in self.times if began < until)
        return times[int(TAIL_QUANTILE * len(times))]

    def close(self) -> None:
        """Close the caller."""
        self.caller.close()

    async def _call(self) -> None:
        self._number += 1
        began = time.monotonic()
        await self.caller.call(
            Request(
                request_id=f'live-{self._number}',
                customer='breeder-portal',
                model='listing',
                prompt=f'Draft a listing for horse {self._number}',
            )
        )
        self.times.append((began, time.monotonic() - began))


def show_all(show: Callable[[str, float | str], None]) -> None:
    """Run both fleets and print the figures."""
    show('weights.processes.bound_s', BOUND_S)
    for agents in (AGENTS, SMALL_FLEET_AGENTS):
        _show(show, f'weights.processes.{agents}', measure(agents))


def _show(
    show: Callable[[str, float | str], None],
    name: str,
    figures: Figures,
) -> None:
    calm = figures.calm_p95_s
    show(f'{name}.held_over_bound', figures.held_s / BOUND_S)
    show(f'{name}.time_over_bound', figures.loaded_s / BOUND_S)
    show(f'{name}.origin_copies', figures.origin_copies)
    show(f'{name}.live_p95_ms.calm', 1000 * calm)
    show(f'{name}.live_p95_ms.burst', 1000 * figures.burst_p95_s)
    show(f'{name}.live_latency_ratio', figures.burst_p95_s / calm)
    show(f'{name}.live_ratio_of_transfer', figures.transfer_p95_s / calm)
    show(f'{name}.answers', figures.answers)
    show(f'{name}.whole_answers', figures.complete_answers)
    # The goal's key: only the small fleet fits on one machine.
    if name.endswith(f'.{SMALL_FLEET_AGENTS}'):
        show('weights.live_latency_ratio', figures.burst_p95_s / calm)
