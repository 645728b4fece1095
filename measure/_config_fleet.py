"""Fleets for the measurement of configuration: real processes, or workers."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import psutil
from _fleet import Fleet
from _fleet_plan import FleetPlan
from _process import LOOPBACK
from attrs import define, field

from crowrudder_core.config import watchers_of
from crowrudder_model import Member
from crowrudder_model.declared import (
    Customer,
    Declaration,
    Service,
    encode_bundle,
)

if TYPE_CHECKING:
    from collections.abc import Callable

DOMAINS = 4
WORKER = Path(__file__).parent / '_config_worker.py'
POLL_S = 5.0
SEGMENT_BYTES = 52
"""IPv4 and TCP headers with timestamps, for each segment."""


def value_of(
    generation: int, *, rate: float = 1, customers: int = 100
) -> bytes:
    """Write a bundle of some size; one customer's rate changes each time."""
    return encode_bundle(
        Declaration(
            generation,
            services=(Service('portal', kind='plain'),),
            customers=tuple(
                Customer(
                    f'customer-{number:05}',
                    rate_per_s=float(rate + generation)
                    if number == 0
                    else 10.0,
                    services=('portal',),
                )
                for number in range(customers)
            ),
        )
    )


@define
class InForce:
    """A bundle that came into force in one life of a process."""

    host: str
    life: str
    generation: int
    digest: str
    at: float


@define
class Traffic:
    """What went over a process's sockets, bytes with headers."""

    seen: dict[str, int] = field(factory=dict)

    def sample(self, pids: set[int], ignored: set[int]) -> None:
        """Note the counters of all sockets, also of those that close soon."""
        table = subprocess.run(
            ('ss', '-tinpOH'),
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for line in table.splitlines():
            socket = _socket_of(line, pids, ignored)
            if socket is not None:
                name, size = socket
                self.seen[name] = max(size, self.seen.get(name, 0))

    def total(self) -> int:
        """Give the bytes of all sockets so far, sent and received."""
        return sum(self.seen.values())


def _socket_of(
    line: str,
    pids: set[int],
    ignored: set[int],
) -> tuple[str, int] | None:
    words = line.split()
    local, remote = words[3], words[4]
    if {int(each.rpartition(':')[2]) for each in (local, remote)} & ignored:
        return None
    pid = line.partition('pid=')[2].partition(',')[0]
    if not pid or int(pid) not in pids:
        return None
    counts = dict(word.split(':', 1) for word in words if word.count(':') == 1)
    size = int(counts.get('bytes_sent', 0)) + int(
        counts.get('bytes_received', 0)
    )
    segments = int(counts.get('segs_out', 0)) + int(counts.get('segs_in', 0))
    return f'{pid} {local} {remote}', size + SEGMENT_BYTES * segments


class WorkerFleet:
    """Members whose knowledge runs in a few processes."""

    def __init__(self, count: int, workers: int, directory: Path) -> None:
        plan = FleetPlan(entries=0, engines=0, plains=0, member_lag_s=0.1)
        self.base = Fleet(plan, directory)
        self.events: list[InForce] = []
        self.members: list[dict[str, Any]] = [
            {
                'host': f'host-{number:04}',
                'role': 'entry',
                'address': LOOPBACK,
                'rpc_port': self.base.ports.free(),
                'http_port': 1,
                'admin_port': 1,
                'region': 'north',
                'failure_domain': f'domain-{number % DOMAINS}',
                'upstream': '',
                'state': 'live',
            }
            for number in range(count)
        ]
        self._workers = workers
        self._children: list[asyncio.subprocess.Process] = []
        self._readers: list[asyncio.Task[None]] = []
        self._ready = 0
        self._came = asyncio.Event()

    @property
    def pids(self) -> set[int]:
        """Give the workers' process ids."""
        return {child.pid for child in self._children}

    @property
    def platform_port(self) -> int:
        """Give the port of the platform's stand-in."""
        return int(self.base.platform.address.rpartition(':')[2])

    async def start(self) -> None:
        """Start the platform, list all members, start the workers."""
        await self.base.start()
        url = f'{self.base.platform.url}/control/members'
        for member in self.members:
            await self.base.web.json('PUT', f'{url}/{member["host"]}', member)
        for number in range(self._workers):
            await self._start_worker(self.members[number :: self._workers])
        while self._ready < len(self.members):
            await self._change()

    async def publish(self, value: bytes) -> float:
        """Publish; the monotonic time just before."""
        at = time.monotonic()
        await self.base.publish(value)
        return at

    async def until_in_force(
        self,
        generation: int,
        hosts: set[str],
        timeout_s: float = 60,
    ) -> dict[str, float]:
        """Wait for a generation; the time at which each host had it."""
        async with asyncio.timeout(timeout_s):
            while True:
                found = {
                    each.host: each.at
                    for each in self.events
                    if each.generation >= generation and each.host in hosts
                }
                if hosts <= found.keys():
                    return found
                await self._change()

    async def order(self, command: str, host: str) -> None:
        """Stop or start a member's knowledge, without a word to anyone."""
        number = int(host.rpartition('-')[2]) % self._workers
        stdin = self._children[number].stdin
        assert stdin is not None
        stdin.write(f'{command} {host}\n'.encode())
        await stdin.drain()

    def watchers(self) -> list[str]:
        """Name the watchers of all failure domains."""
        members = tuple(Member(**each) for each in self.members)
        return [
            host
            for number in range(DOMAINS)
            for host in watchers_of(f'domain-{number}', members)[:3]
        ]

    async def calls(self) -> dict[int, int]:
        """Give the platform's count of calls, by second of its life."""
        books = await self.base.books(self.base.platform)
        return {
            int(second): count
            for second, count in books['calls_per_second'].items()
        }

    async def close(self) -> None:
        """End the workers and the platform."""
        for child in self._children:
            if child.returncode is None:
                child.kill()
            await child.wait()
        await asyncio.gather(*self._readers)
        self.base.close()

    async def _start_worker(self, members: list[dict[str, Any]]) -> None:
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            str(WORKER),
            self.base.platform.address,
            str(POLL_S),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            # The library tells of each connection that a stopped host closes.
            env={**os.environ, 'GRPC_VERBOSITY': 'ERROR'},
        )
        assert child.stdin is not None
        child.stdin.write(json.dumps(members).encode() + b'\n')
        self._children.append(child)
        self._readers.append(asyncio.create_task(self._follow(child)))

    async def _follow(self, child: asyncio.subprocess.Process) -> None:
        assert child.stdout is not None
        async for line in child.stdout:
            facts = json.loads(line)
            self._ready += facts.pop('ready', 0)
            if facts:
                self.events.append(InForce(**facts))
            self._came.set()

    async def _change(self) -> None:
        self._came.clear()
        await self._came.wait()


@define
class Costs:
    """Means over a while, for each member."""

    cpu_share: float
    memory_mb: float
    bytes_per_s: float


async def costs_of(
    pids: set[int],
    members: int,
    ignored: set[int],
    wait_s: float,
    between: Callable[[], Any] | None = None,
) -> Costs:
    """Measure processor time, memory and traffic over a while."""
    processes = [psutil.Process(pid) for pid in pids]
    traffic = Traffic()
    traffic.sample(pids, ignored)
    before_bytes = traffic.total()
    before_s = sum(_cpu_s(each) for each in processes)
    begun = time.monotonic()
    while time.monotonic() - begun < wait_s:
        await asyncio.sleep(0.5)
        traffic.sample(pids, ignored)
        if between is not None:
            await between()
    took_s = time.monotonic() - begun
    used_s = sum(_cpu_s(each) for each in processes) - before_s
    rss = sum(each.memory_info().rss for each in processes)
    return Costs(
        cpu_share=used_s / took_s / members,
        memory_mb=rss / members / 1e6,
        bytes_per_s=(traffic.total() - before_bytes) / took_s / members,
    )


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system
