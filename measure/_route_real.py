"""Figures of real processes: added latency, throughput per core, a drain."""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

import psutil
from _books import Books, compare
from _caller import Caller, Request
from _declare import Declared, Weights
from _fleet import Fleet, until
from _fleet_plan import FleetPlan
from attrs import evolve

if TYPE_CHECKING:
    from collections.abc import Callable

    from _process import Host, Outside

    Show = Callable[[str, float], None]

PLAN = FleetPlan(
    entries=2,
    engines=3,
    plains=0,
    engine_options=('--token-interval=0.002', '--load-s=0.1', '--prefill=0.01'),
)
WEIGHTS = Weights('listing-v1', seed=1, size=1 << 18, chunk_bytes=1 << 16)
REQUEST = Request(request_id='', customer='breeder-portal', model='listing')
SINGLE_REQUESTS = 150
BUSY_S = 5.0
CONCURRENCY = 20
LONG_TOKENS = 200
DRAIN_RATE = 40
DRAIN_WATCH_S = 5.0


def run(show: Show) -> None:
    """Measure one small fleet and print its figures."""
    asyncio.run(_run(show))


async def _run(show: Show) -> None:
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        fleet = Fleet(PLAN, directory)
        try:
            await fleet.start()
            declared = Declared.from_example(directory / 'declared')
            await declared.publish(fleet, WEIGHTS)
            await until(
                lambda: fleet.loaded(WEIGHTS.version),
                step='load',
                timeout_s=30,
            )
            await _measure_latency(fleet, show)
            await _measure_throughput(fleet, show)
            await _measure_drain(fleet, show)
        finally:
            fleet.close()


def _url(entry: Host) -> str:
    return f'http://127.0.0.1:{entry.member["http_port"]}'


async def _measure_latency(fleet: Fleet, show: Show) -> None:
    """Compare a short answer through the fleet with one from the engine."""
    caller = Caller(_url(fleet.entries[0]), seed=1)
    whole: list[float] = []
    direct: list[float] = []
    upstream = fleet.engine_agents[0].upstream
    assert upstream is not None
    for number in range(SINGLE_REQUESTS):
        req = evolve(
            REQUEST,
            request_id=f'single-{number}',
            prompt=f'p{number}',
            max_tokens=1,
        )
        began = time.perf_counter()
        answer = await caller.send(req)
        whole.append(time.perf_counter() - began)
        assert answer.whole, answer
        began = time.perf_counter()
        await _generate(fleet, upstream, number)
        direct.append(time.perf_counter() - began)
    caller.close()
    whole.sort()
    direct.sort()
    for name, quantile in (('p50', 0.5), ('p99', 0.99)):
        at = int(quantile * SINGLE_REQUESTS)
        show(f'route.direct_{name}_ms', 1000 * direct[at])
        show(f'route.added_latency_{name}_ms', 1000 * (whole[at] - direct[at]))


async def _generate(fleet: Fleet, upstream: Outside, number: int) -> None:
    body = {
        'request_id': f'direct-{number}',
        'model': 'listing',
        'version': WEIGHTS.version,
        'adapter': '',
        'prompt': f'd{number}',
        'max_tokens': 1,
        'priority': 5,
        'resume_from': 0,
    }
    url = f'{upstream.url}/v1/generate'
    await fleet.web.fetch('POST', url, json.dumps(body).encode())


async def _measure_throughput(fleet: Fleet, show: Show) -> None:
    """Measure throughput under load per second of processor time."""
    short = await _requests_per_core_s(fleet, tokens=1)
    long = await _requests_per_core_s(fleet, tokens=LONG_TOKENS)
    show('route.requests_per_core_s', short)
    show('route.tokens_per_core_s', long * LONG_TOKENS)


async def _requests_per_core_s(fleet: Fleet, *, tokens: int) -> float:
    """Return the requests per processor second of entries and agents."""
    caller = Caller(_url(fleet.entries[0]), seed=2)
    before = _cpu_s(fleet)
    deadline = time.monotonic() + BUSY_S
    done = 0

    async def send_sequentially(worker: int) -> None:
        nonlocal done
        while time.monotonic() < deadline:
            req = evolve(
                REQUEST,
                request_id=f'busy-{tokens}-{worker}-{done}',
                prompt=f'line {worker}',
                max_tokens=tokens,
                streamed=True,
            )
            answer = await caller.send(req)
            done += answer.whole

    await asyncio.gather(*(send_sequentially(n) for n in range(CONCURRENCY)))
    caller.close()
    return done / (_cpu_s(fleet) - before)


def _cpu_s(fleet: Fleet) -> float:
    used = 0.0
    for host in fleet.hosts:
        child = host.process._child
        assert child is not None
        times = psutil.Process(child.pid).cpu_times()
        used += times.user + times.system
    return used


async def _measure_drain(fleet: Fleet, show: Show) -> None:
    """Drain an agent under load and record its engine's last new run."""
    leaving = fleet.engine_agents[0]
    upstream = leaving.upstream
    assert upstream is not None
    caller = Caller(_url(fleet.entries[0]), seed=3)
    sends = [
        asyncio.ensure_future(_send_at(caller, number / DRAIN_RATE, number))
        for number in range(int((2 + DRAIN_WATCH_S) * DRAIN_RATE))
    ]
    await asyncio.sleep(1)
    earlier = len((await fleet.books(upstream))['runs'])
    await asyncio.sleep(1)
    runs = len((await fleet.books(upstream))['runs'])
    show('drain.new_work_in_the_second_before', runs - earlier)
    began = time.monotonic()
    last_s = 0.0
    leaving.process.terminate()
    while time.monotonic() < began + DRAIN_WATCH_S:
        now = len((await fleet.books(upstream))['runs'])
        if now > runs:
            runs, last_s = now, time.monotonic() - began
        await asyncio.sleep(0.01)
    await asyncio.gather(*sends)
    verdict = compare(Books.read(fleet.journals()), caller.answers)
    caller.close()
    show('drain.last_new_work_s', last_s)
    show('drain.exit_code', await leaving.process.ended(10) or 0)
    show('drain.requests', verdict.requests)
    show('drain.not_whole', verdict.requests - verdict.whole)
    show('drain.doubled_cut_or_mixed', len(verdict.misses))


async def _send_at(caller: Caller, after_s: float, number: int) -> None:
    await asyncio.sleep(after_s)
    req = evolve(
        REQUEST,
        request_id=f'drain-{number}',
        prompt=f'drain {number}',
        max_tokens=20 + number % 60,
        streamed=number % 2 == 0,
    )
    await caller.call(req)
