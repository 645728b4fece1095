"""A small deployment on loopback: the project's programs and the stand-ins."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from store import Store
from wire import Cut, Message, encode, read_response

REPO = Path(__file__).resolve().parents[2]
LIB = Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

ZONES = {'zone-a': 'region-a', 'zone-b': 'region-b', 'zone-c': 'region-c'}
BOUNDS = {
    'seed_lag_s': 3, 'reuse_after_s': 2, 'contact_ms': 3000, 'ack_ms': 4000,
    'catch_up_s': 4, 'drain_ms': 2000, 'grace_s': 8, 'loss_slack_ms': 200,
    'config_ms': 2000, 'revert_slack_ms': 250, 'stretch_ms': 5000,
    'strict_revoke': False, 'revoke_ms': 5000, 'budget_ratio': 0.2,
    'budget_window_s': 10, 'budget_extra': 100, 'recover_s': 12,
    'pass_ms': 120, 'retry_after_s': 0, 'version_ms': 8000,
    'version_all_ms': 0, 'ttl_max_s': 5,
}
MEMORY_MB = 300


class Record:
    """record.txt of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w', buffering=1)
        self._t0 = time.time()

    def __call__(self, *words: object, show: bool = False) -> None:
        line = f'{time.time() - self._t0:8.3f} ' + ' '.join(map(str, words))
        self._file.write(line + '\n')
        if show:
            print(line, flush=True)


class World:
    """Store, replicas and entries; everything ends with `close`."""

    def __init__(self, case: Path, *, entries: int = 3) -> None:
        # The processes end with the script, however it ends.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.record = Record(case)
        self.temp = Path(tempfile.mkdtemp(prefix='review-'))
        self.rng = random.Random()
        self.net = self.rng.randrange(10, 200)
        self.base = self.rng.randrange(12000, 28000)
        while not self._is_free():
            self.base = self.rng.randrange(12000, 28000)
        self.store = Store()
        self.children: dict[str, subprocess.Popen] = {}
        self.entry_names = [f'front-{n}' for n in range(entries)]
        self.replica_options: dict[str, dict] = {}
        self.incarnation = 0

    def ip(self, kind: int, number: int) -> str:
        return f'127.{self.net}.{kind}.{number + 1}'

    def _is_free(self) -> bool:
        for port in range(self.base, self.base + 40):
            with socket.socket() as probe:
                try:
                    probe.bind((self.ip(1, 0), port))
                except OSError:
                    return False
        return True

    @property
    def front_port(self) -> int:
        return self.base

    async def start(self, config: dict) -> None:
        await self.store.listen(self.ip(9, 0), self.base + 20)
        self.store.put('op/config', config)
        for number in range(len(self.entry_names)):
            self.start_entry(number)

    def settings(self, number: int) -> dict:
        ip, base = self.ip(1, number), self.base
        zone = list(ZONES)[number % len(ZONES)]
        return {
            'node_name': self.entry_names[number],
            'role': 'entry',
            'machine_class': 'front',
            'serves': ['front', 'control', 'directory'],
            'ip': ip, 'zone': zone, 'region': ZONES[zone], 'zones': ZONES,
            'listen': {
                'front': f'{ip}:{base}', 'ready': f'{ip}:{base + 1}',
                'control': f'{ip}:{base + 2}', 'directory': f'{ip}:{base + 3}',
            },
            'inner_ports': [base + 4, base + 19],
            'seeds': [f'{self.ip(1, n)}:{base + 2}' for n in range(min(3, len(self.entry_names)))],
            'bootstrap': True, 'in_tolerance': False,
            'limits': {'cpu_share': 0.537, 'cores': 2, 'memory_mb': MEMORY_MB,
                       'max_fds': 4200, 'link_mbps': 1000.0, 'disk_mb': 0},
            'data_dir': None, 'discovery': 'platform', 'entry': 'directory',
            'beat_ms': 1200,
            'contracts': ['base', 'drain', 'config', 'cost', 'retry', 'recover',
                          'engine', 'stream', 'tenants', 'platform', 'chunks'],
            'tolerance': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'provider': {'address': self.store.address, 'form': 'read',
                         'writes_per_s': 400, 'reads_per_s': 2000,
                         'history_s': 20, 'value_bytes': 1048576,
                         'ttl_min_ms': 1000},
        }

    def start_entry(self, number: int) -> None:
        """Start an entry by the command of the deploy file."""
        self._start(self.entry_names[number], 'entry', self.settings(number))

    def _start(self, name: str, role: str, settings: dict) -> None:
        path = self.temp / f'{name}.yaml'
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((REPO / 'deploy/system.toml').read_text())
        command = deploy['roles'][role]['run'].split(' ')
        env = {k: os.environ[k] for k in ('PATH', 'HOME', 'LANG') if k in os.environ}
        env['PYTHONPATH'] = str(REPO / 'target/deps')
        env['CROWRUDDER_BOOT'] = str(path)
        log = (self.temp / f'{name}.log').open('ab')
        self.children[name] = subprocess.Popen(
            command, cwd=REPO, env=env, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log,
        )

    def start_agent(self, number: int, app: str, service: str) -> str:
        """Start the agent beside a replica, by the command of the deploy file."""
        name, ip = f'side-{number}', self.ip(2, number)
        zone = list(ZONES)[number % len(ZONES)]
        settings = {
            **self.settings(0), 'node_name': name, 'role': 'agent',
            'machine_class': 'side', 'serves': ['side'], 'ip': ip, 'zone': zone,
            'region': ZONES[zone], 'listen': {}, 'app': app, 'service': service,
            'limits': {'cpu_share': 0.645, 'cores': 2, 'memory_mb': 168, 'max_fds': 1124,
                       'link_mbps': 7.6, 'disk_mb': 0},
        }
        self._start(name, 'agent', settings)
        return name

    def start_replica(self, name: str, options: dict, service: str, zone: str,
                      *, replica_id: str = '', listed: bool = True) -> str:
        """Start a replica's next incarnation; write its entry."""
        self.incarnation += 1
        replica_id = replica_id or f'i-{name}-{self.incarnation}'
        options = {**options, 'id': replica_id, 'journal': str(self.temp / 'runs.jsonl')}
        self.replica_options[name] = {**options, 'service': service, 'zone': zone,
                                      'born': int(time.time() * 1000)}
        self.children[name] = subprocess.Popen(
            [sys.executable, str(LIB / 'replica.py'), json.dumps(options)],
            stdin=subprocess.DEVNULL,
        )
        if listed:
            self.write_entry(name)
        return replica_id

    def write_entry(self, name: str, state: str = 'ready', *, born: bool = False) -> int:
        known = self.replica_options[name]
        entry = {
            'service': known['service'], 'address': known['address'],
            'zone': known['zone'], 'version': 'v1',
            'slots': known.get('slots', 16), 'state': state,
            'cold_left_ms': 0, 'seq': 1,
        }
        if born:
            entry['born'] = known['born']
        return self.store.put(f'servers/{known["id"]}', entry)

    def remove_entry(self, name: str) -> int:
        return self.store.remove(f'servers/{self.replica_options[name]["id"]}')

    def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        self.children[name].send_signal(number)
        if number == signal.SIGKILL:
            self.children[name].wait()

    def runs(self) -> list[dict]:
        path = self.temp / 'runs.jsonl'
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines() if line.endswith('}')]

    async def wait_ready(self, timeout_s: float = 40) -> None:
        """Wait until all entries are ready."""
        until = time.time() + timeout_s
        for number in range(len(self.entry_names)):
            while True:
                answer = await call(f'{self.ip(1, number)}:{self.base + 1}', 'GET', '/-/ready')
                if answer is not None and answer.status == 200:
                    break
                if time.time() > until:
                    raise TimeoutError(f'{self.entry_names[number]} is not ready')
                await asyncio.sleep(0.1)

    async def addresses(self, zone: str = 'zone-a') -> list[str]:
        """Ask a directory where to connect, as clients do."""
        for number in range(len(self.entry_names)):
            answer = await call(
                f'{self.ip(1, number)}:{self.base + 3}', 'GET',
                f'/-/resolve?name=site.example&region={ZONES[zone]}&zone={zone}',
            )
            if answer is not None and answer.status == 200:
                found = json.loads(answer.body)['addresses']
                if found:
                    return found
        return []

    def close(self) -> None:
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
                child.wait()
        if os.environ.get('KEEP'):
            print('kept', self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


async def call(address: str, method: str, target: str,
               fields: list[tuple[str, str]] | None = None, body: bytes | None = None,
               *, timeout_s: float = 1.0, on_part=None) -> Message | None:
    """Make a request on a connection of its own; None without an answer."""
    ip, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            head = [('Host', 'site.example'), *(fields or [])]
            writer.write(encode(f'{method} {target} HTTP/1.1', head, body))
            return await read_response(reader, on_part, method=method)
    except (OSError, Cut, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


def config(version: int, routes: list[dict], services: list[dict], **limits) -> dict:
    return {
        'version': version, 'routes': routes, 'services': services,
        'limits': {'header_bytes': 16384, 'max_body_bytes': 4194304,
                   'header_timeout_ms': 10000, 'idle_timeout_ms': 60000, **limits},
    }


def route(name: str, prefix: str, service: str, kind: str = 'safe', *,
          timeout_ms: int = 6000, goal_ms: int = 500, attempts: int = 2,
          resumable: bool = False) -> dict:
    found = {'name': name, 'host': 'site.example', 'prefix': prefix, 'service': service,
             'kind': kind, 'timeout_ms': timeout_ms, 'goal_ms': goal_ms,
             'attempts': attempts, 'priority': 1}
    if kind == 'streaming':
        found |= {'gap_goal_ms': 400, 'resumable': resumable}
    return found
