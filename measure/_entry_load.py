"""An entry as a process on a small share of a core, between callers and upstreams.

Store and upstreams run in this process; the entry is the deployed program. It
runs for ``share`` of each `PERIOD_S` and is stopped for the rest, as a process
with a quota of processor time.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING

from _process import Process
from attrs import define, field, frozen

from crowrudder_standins._serving import application
from crowrudder_standins.fleet_replica import FleetReplica
from crowrudder_standins.fleet_store import FleetStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

PERIOD_S = 0.1
"""Period of the quota of processor time."""

HOST = 'shop.example'
KEY = 'key'
PATH = '/read/x'
DEADLINE_S = 2.4
GOAL_S = 0.4
UPSTREAMS = 4
LATE_SEND_S = 0.5
"""Time after a caller's end from which a send for it counts."""

READY_TIMEOUT_S = 20.0
CONNECT_TIMEOUT_S = 1.0
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_UTIME_FIELD = 11
"""Index of the user time after the name of the process in its ``stat`` file."""


@frozen
class Load:
    """Requests a second for some seconds, at even intervals."""

    rate_per_s: float
    duration_s: float


@define
class CallResult:
    """One call; times of the monotonic clock, 0 for what didn't happen."""

    request_id: str
    due_at: float
    answered_at: float = 0
    left_at: float = 0
    status: int = 0

    @property
    def took_s(self) -> float:
        """Time from when the call was due to the end of its answer."""
        return self.answered_at - self.due_at


@frozen
class LoadResult:
    """Calls of a load, the arrivals at upstreams and the processor time."""

    load: Load
    calls: tuple[CallResult, ...]
    arrivals: tuple[tuple[float, str], ...]
    cpu_s: float

    @property
    def served(self) -> int:
        """Calls answered by an upstream before their deadline."""
        return sum(call.status == 200 for call in self.calls)

    @property
    def refused(self) -> int:
        """Calls refused as not run."""
        return sum(call.status == 503 for call in self.calls)

    @property
    def refused_early(self) -> int:
        """Calls refused within a fifth of their deadline."""
        return sum(
            call.status == 503 and call.took_s <= DEADLINE_S / 5
            for call in self.calls
        )

    @property
    def late_sends(self) -> list[float]:
        """Seconds after a caller's end at which its request was sent."""
        left_at = {
            call.request_id: call.left_at for call in self.calls if call.left_at
        }
        return [
            at - left_at[request_id]
            for at, request_id in self.arrivals
            if request_id in left_at and at - left_at[request_id] > LATE_SEND_S
        ]


class Quota(threading.Thread):
    """Lets a process run for a share of each period."""

    def __init__(self, process: Process, share: float) -> None:
        super().__init__(daemon=True)
        self._process = process
        self._share = share
        self._is_over = threading.Event()

    def run(self) -> None:
        """Stop and continue the process until `end`."""
        while not self._is_over.is_set():
            self._process.thaw()
            time.sleep(PERIOD_S * self._share)
            self._process.freeze()
            time.sleep(PERIOD_S * (1 - self._share))

    def end(self) -> None:
        """Let the process run freely again."""
        self._is_over.set()
        self.join()
        self._process.thaw()


@define(eq=False)
class LimitedEntry:
    """A running entry and its upstreams."""

    address: str
    process: Process
    replicas: list[FleetReplica] = field(factory=list)
    publish: Callable[[int], None] = print

    def cpu_s(self) -> float:
        """Return the processor time that the entry has used."""
        text = Path(f'/proc/{self.process.pid}/stat').read_text()
        times = text.rpartition(')')[2].split()[_UTIME_FIELD:]
        return (int(times[0]) + int(times[1])) / _TICKS_PER_S

    async def run_closed(self, callers: int, duration_s: float) -> LoadResult:
        """Let some callers send one request after the other."""
        began_cpu_s = self.cpu_s()
        ends_at = time.monotonic() + duration_s
        calls: list[CallResult] = []

        async def send_requests(name: str) -> None:
            while (now := time.monotonic()) < ends_at:
                result = CallResult(f'{name}-{len(calls)}', now)
                calls.append(await _call(self.address, result))

        names = [f'closed-{number}' for number in range(callers)]
        await asyncio.gather(*map(send_requests, names))
        load = Load(len(calls) / duration_s, duration_s)
        return LoadResult(load, tuple(calls), (), self.cpu_s() - began_cpu_s)

    async def run(self, load: Load) -> LoadResult:
        """Send the requests of a load, each on a connection of its own."""
        for replica in self.replicas:
            replica.arrivals.clear()
        began_cpu_s = self.cpu_s()
        began_at = time.monotonic()
        tasks = []
        for number in range(int(load.rate_per_s * load.duration_s)):
            due_at = began_at + number / load.rate_per_s
            await asyncio.sleep(max(due_at - time.monotonic(), 0))
            result = CallResult(f'{load.rate_per_s:.0f}-{number}', due_at)
            tasks.append(asyncio.create_task(_call(self.address, result)))
        calls = await asyncio.gather(*tasks)
        cpu_s = self.cpu_s() - began_cpu_s
        # What was sent for callers that have left arrives afterwards.
        await asyncio.sleep(1)
        arrivals = itertools.chain(*(each.arrivals for each in self.replicas))
        return LoadResult(load, tuple(calls), tuple(arrivals), cpu_s)


@contextlib.asynccontextmanager
async def limited_entry(
    share: float | None = None, *, goal_s: float = GOAL_S
) -> AsyncIterator[LimitedEntry]:
    """Run an entry on a share of a core, or freely, until the block ends."""
    rng = random.Random()
    store = FleetStore()
    servers = []
    with tempfile.TemporaryDirectory() as folder:
        store_port, ready, front = (free_port(rng) for _ in range(3))
        servers.append(application(store).listen(store_port, '127.0.0.1'))
        replicas = []
        for number in range(UPSTREAMS):
            replica = FleetReplica({'--id': f'p{number}', '--slots': 200})
            port = free_port(rng)
            servers.append(application(replica).listen(port, '127.0.0.1'))
            replicas.append(replica)
            record = replica.entry('plain', f'127.0.0.1:{port}', 'z', 'ready')
            store.put(f'servers/p{number}', json.dumps(record).encode())

        def publish(version: int) -> None:
            body = json.dumps(_configuration(version, goal_s)).encode()
            store.put('op/config', body)

        publish(1)
        path = Path(folder) / 'entry.yaml'
        path.write_text(json.dumps(_settings(store_port, ready, front, rng)))
        process = Process(
            'entry',
            [sys.executable, '-m', 'crowrudder_platform', 'entry'],
            Path(folder) / 'entry.log',
            environment={'CROWRUDDER_BOOT': str(path)},
        )
        process.start()
        entry = LimitedEntry(f'127.0.0.1:{front}', process, replicas, publish)
        quota = None if share is None else Quota(process, share)
        try:
            await _until_served(entry)
            if quota is not None:
                quota.start()
            yield entry
        finally:
            if quota is not None and quota.is_alive():
                quota.end()
            process.kill()
            for server in servers:
                server.stop()


async def _until_served(entry: LimitedEntry) -> None:
    began_at = time.monotonic()
    while time.monotonic() - began_at < READY_TIMEOUT_S:
        result = await _call(
            entry.address, CallResult('ready', time.monotonic())
        )
        if result.status == 200:
            return
        await asyncio.sleep(0.1)
    raise RuntimeError(f'no answer: {entry.process.tail()}')


async def _call(address: str, result: CallResult) -> CallResult:
    """Make one call; leave at its deadline."""
    ip, _, port = address.rpartition(':')
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(DEADLINE_S):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(_request(result.request_id))
            head = await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(_length(head))
            result.status = int(head.split()[1])
            result.answered_at = time.monotonic()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        result.left_at = time.monotonic()
    finally:
        if writer is not None:
            writer.close()
    return result


def _request(request_id: str) -> bytes:
    return (
        f'GET {PATH} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Attempt-Id: {request_id}\r\nX-Credential: {KEY}\r\n'
        f'X-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n\r\n'
    ).encode()


def _length(head: bytes) -> int:
    for line in head.lower().splitlines():
        name, _, text = line.partition(b':')
        if name == b'content-length':
            return int(text)
    return 0


def _configuration(
    version: int, goal_s: float = GOAL_S, extra_routes: int = 0
) -> dict[str, object]:
    prefixes = ['/read/', *(f'/more/{each}/' for each in range(extra_routes))]
    return {
        'version': version,
        'routes': [
            {
                'name': f'route-{number}',
                'host': HOST,
                'prefix': prefix,
                'kind': 'safe',
                'service': 'plain',
                'timeout_ms': DEADLINE_S * 1000,
                'goal_ms': goal_s * 1000,
                'priority': 1,
                'attempts': 2,
                'public': False,
            }
            for number, prefix in enumerate(prefixes)
        ],
        'services': [
            {'name': 'plain', 'health_path': '/health', 'max_conns': 200}
        ],
        'limits': {
            'header_bytes': 16384,
            'max_body_bytes': 65536,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 5000,
        },
        'tenants': [{'name': 'shop', 'api_keys': [KEY]}],
    }


def _settings(
    store_port: int, ready: int, front: int, rng: random.Random
) -> dict[str, object]:
    peer_port = rng.randrange(12_000, 19_000)
    addresses = {'front': front, 'ready': ready, 'directory': ready}
    return {
        'node_name': 'entry',
        'machine_class': 'entry',
        'role': 'entry',
        'serves': ['front', 'control', 'directory'],
        'ip': '127.0.0.1',
        'zone': 'z',
        'region': 'r',
        'zones': {'z': 'r'},
        'listen': {
            name: f'127.0.0.1:{port}' for name, port in addresses.items()
        },
        'inner_ports': [peer_port, peer_port + 15],
        'seeds': ['127.0.0.1:1'],
        'limits': {'memory_mb': 100, 'link_mbps': 100},
        'bounds': {'grace_s': 8, 'version_ms': 4000},
        'provider': {'address': f'127.0.0.1:{store_port}'},
    }


def free_port(rng: random.Random) -> int:
    """Return a port on which nobody listens."""
    import socket

    while True:
        port = rng.randrange(20_000, 32_000)
        with socket.socket() as probe:
            if probe.connect_ex(('127.0.0.1', port)):
                return port
