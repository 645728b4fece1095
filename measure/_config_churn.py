"""Frequent configuration changes while requests run."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from _books import Books, Verdict, compare
from _caller import Caller, Request
from _config_fleet import build_bundle
from _fleet import Fleet, until
from _fleet_plan import FleetPlan

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    Show = Callable[[str, float | str], None]

CHANGES = 130
GAP_S = 0.15
"""Pause between changes: 130 in 20 s, 440 times the rate of 1,300 a day."""

GENERATIONS = range(2, 2 + CHANGES)
QUIET_RUN_S = 8.0
CALLERS = 4
PAUSE_S = 0.01
SUSPENDED_S = 8.0


async def measure_churn(show: Show) -> None:
    """Compare the request rate during frequent changes with a quiet run."""
    with tempfile.TemporaryDirectory() as directory:
        plan = FleetPlan(entries=3, engines=0, plains=3, poll_s=1)
        fleet = Fleet(plan, Path(directory))
        try:
            await fleet.start()
            await _in_force(fleet, 1)
            quiet, _ = await _run(fleet, generations=())
            rate, verdict = await _run(fleet, generations=GENERATIONS)
            await _show_resumed(show, fleet)
        finally:
            fleet.close()
    show('config.churn.changes', CHANGES)
    show('config.churn.request_rate_to_quiet', rate / quiet)
    show('config.churn.requests', verdict.requests)
    show('config.churn.whole', verdict.whole)
    show('config.churn.doubled', verdict.doubled)
    show('config.churn.misses', len(verdict.misses))


async def _run(
    fleet: Fleet,
    *,
    generations: Sequence[int],
) -> tuple[float, Verdict]:
    """Send requests while publishing; return their rate and the verdict.

    The verdict compares the request logs of the upstreams with the answers.
    """
    member = fleet.entries[0].member
    url = f'http://{member["address"]}:{member["http_port"]}'
    callers = [Caller(url, seed=number) for number in range(CALLERS)]
    stopped = asyncio.Event()
    calls = [
        asyncio.create_task(
            _call(caller, f'{number}-{len(generations)}', stopped)
        )
        for number, caller in enumerate(callers)
    ]
    begun = time.monotonic()
    for generation in generations:
        await fleet.publish(build_bundle(generation))
        await asyncio.sleep(GAP_S)
    if not generations:
        await asyncio.sleep(QUIET_RUN_S)
    took_s = time.monotonic() - begun
    stopped.set()
    await asyncio.gather(*calls)
    answers = [answer for caller in callers for answer in caller.answers]
    for caller in callers:
        caller.close()
    if generations:
        await _in_force(fleet, generations[-1])
    return len(answers) / took_s, compare(Books.read(fleet.journals()), answers)


async def _call(caller: Caller, name: str, stopped: asyncio.Event) -> None:
    sent = 0
    while not stopped.is_set():
        sent += 1
        await caller.call(
            Request(
                request_id=f'churn-{name}-{sent}',
                customer='customer-00001',
                service='portal',
                prompt=f'enquiry {sent}',
            )
        )
        await asyncio.sleep(PAUSE_S)


async def _show_resumed(show: Show, fleet: Fleet) -> None:
    """Suspend a process during some changes and time how it catches up."""
    suspended = fleet.entries[-1]
    suspended.process.freeze()
    generation = 200
    for _ in range(4):
        generation += 1
        await fleet.publish(build_bundle(generation))
        await asyncio.sleep(SUSPENDED_S / 4)
    at = time.time()
    suspended.process.thaw()
    states = await _in_force(fleet, generation)
    resumed = next(each for each in states if each['host'] == suspended.name)
    show('config.woken.caught_up_s', resumed['in_force_since'] - at)


async def _in_force(fleet: Fleet, generation: int) -> list[Any]:
    if generation == 1:
        await fleet.publish(build_bundle(1))
    states: list[Any] = []

    async def is_in_force() -> bool:
        states[:] = await asyncio.gather(
            *(fleet.status(host) for host in fleet.hosts)
        )
        return all(
            each is not None
            and each['generation'] >= generation
            and not each['hinders']
            for each in states
        )

    await until(is_in_force, step=f'generation {generation}', timeout_s=30)
    return states
