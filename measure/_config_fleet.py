"""Fleet of workers, traffic and costs for the configuration measurements."""

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
"""Size of the IPv4 and TCP headers of a segment, with timestamps."""


def build_bundle(
    generation: int, *, rate: float = 1, customers: int = 100
) -> bytes:
    """Return an encoded bundle; one customer's rate follows the generation."""
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
class InForceEvent:
    """A bundle that came into force in one incarnation of a process."""

    host: str
    incarnation: str
    generation: int
    digest: str
    at: float


@define
class Traffic:
    """Bytes that went over the sockets of processes, including headers."""

    bytes_by_socket: dict[str, int] = field(factory=dict)

    def sample(self, pids: set[int], ignored: set[int]) -> None:
        """Record the counters of all open sockets.

        Frequent samples also include sockets that close soon afterwards.
        """
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
                self.bytes_by_socket[name] = max(
                    size, self.bytes_by_socket.get(name, 0)
                )

    def total(self) -> int:
        """Return the bytes sent and received by all sockets so far."""
        return sum(self.bytes_by_socket.values())


def _socket_of(
    line: str,
    pids: set[int],
    ignored: set[int],
) -> tuple[str, int] | None:
    columns = line.split()
    local, remote = columns[3], columns[4]
    if {int(each.rpartition(':')[2]) for each in (local, remote)} & ignored:
        return None
    pid = line.partition('pid=')[2].partition(',')[0]
    if not pid or int(pid) not in pids:
        return None
    counts = dict(
        column.split(':', 1) for column in columns if column.count(':') == 1
    )
    size = int(counts.get('bytes_sent', 0)) + int(
        counts.get('bytes_received', 0)
    )
    segments = int(counts.get('segs_out', 0)) + int(counts.get('segs_in', 0))
    return f'{pid} {local} {remote}', size + SEGMENT_BYTES * segments


class WorkerFleet:
    """Members whose knowledge tasks run in a few worker processes."""

    def __init__(self, count: int, workers: int, directory: Path) -> None:
        plan = FleetPlan(entries=0, engines=0, plains=0, member_lag_s=0.1)
        self.base = Fleet(plan, directory)
        self.events: list[InForceEvent] = []
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
        self._event_received = asyncio.Event()

    @property
    def pids(self) -> set[int]:
        """Process ids of the workers."""
        return {child.pid for child in self._children}

    @property
    def platform_port(self) -> int:
        """Port of the platform stand-in."""
        return int(self.base.platform.address.rpartition(':')[2])

    async def start(self) -> None:
        """Start the platform, register all members and start the workers."""
        await self.base.start()
        url = f'{self.base.platform.url}/control/members'
        for member in self.members:
            await self.base.web.json('PUT', f'{url}/{member["host"]}', member)
        for number in range(self._workers):
            await self._start_worker(self.members[number :: self._workers])
        while self._ready < len(self.members):
            await self._wait_for_event()

    async def publish(self, value: bytes) -> float:
        """Publish a bundle and return the monotonic time just before."""
        at = time.monotonic()
        await self.base.publish(value)
        return at

    async def until_in_force(
        self,
        generation: int,
        hosts: set[str],
        timeout_s: float = 60,
    ) -> dict[str, float]:
        """Wait until a generation is in force; return each host's time."""
        async with asyncio.timeout(timeout_s):
            while True:
                found = {
                    each.host: each.at
                    for each in self.events
                    if each.generation >= generation and each.host in hosts
                }
                if hosts <= found.keys():
                    return found
                await self._wait_for_event()

    async def order(self, command: str, host: str) -> None:
        """Stop or start a member's knowledge task without notice to others."""
        number = int(host.rpartition('-')[2]) % self._workers
        stdin = self._children[number].stdin
        assert stdin is not None
        stdin.write(f'{command} {host}\n'.encode())
        await stdin.drain()

    def watchers(self) -> list[str]:
        """Return the watchers of all failure domains."""
        members = tuple(Member(**each) for each in self.members)
        return [
            host
            for number in range(DOMAINS)
            for host in watchers_of(f'domain-{number}', members)[:3]
        ]

    async def calls(self) -> dict[int, int]:
        """Return the platform's count of calls, by second since its start."""
        records = await self.base.books(self.base.platform)
        return {
            int(second): count
            for second, count in records['calls_per_second'].items()
        }

    async def close(self) -> None:
        """Stop the workers and the platform."""
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
            # gRPC logs each connection that a stopped host closes.
            env={**os.environ, 'GRPC_VERBOSITY': 'ERROR'},
        )
        assert child.stdin is not None
        child.stdin.write(json.dumps(members).encode() + b'\n')
        self._children.append(child)
        self._readers.append(asyncio.create_task(self._read_events(child)))

    async def _read_events(self, child: asyncio.subprocess.Process) -> None:
        assert child.stdout is not None
        async for line in child.stdout:
            facts = json.loads(line)
            self._ready += facts.pop('ready', 0)
            if facts:
                self.events.append(InForceEvent(**facts))
            self._event_received.set()

    async def _wait_for_event(self) -> None:
        self._event_received.clear()
        await self._event_received.wait()


@define
class Costs:
    """Mean costs per member over a period."""

    cpu_share: float
    memory_mb: float
    bytes_per_s: float


async def measure_costs(
    pids: set[int],
    members: int,
    ignored: set[int],
    wait_s: float,
    on_sample: Callable[[], Any] | None = None,
) -> Costs:
    """Measure processor time, memory and traffic for some seconds.

    Parameters
    ----------
    on_sample
        Called after each sample of the traffic.
    """
    processes = [psutil.Process(pid) for pid in pids]
    traffic = Traffic()
    traffic.sample(pids, ignored)
    before_bytes = traffic.total()
    before_s = sum(_cpu_s(each) for each in processes)
    begun = time.monotonic()
    while time.monotonic() - begun < wait_s:
        await asyncio.sleep(0.5)
        traffic.sample(pids, ignored)
        if on_sample is not None:
            await on_sample()
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
