"""A platform fleet: stand-ins in this process, programs as child processes.

Store, origin and replicas run in this process, so that their request logs can
be read directly; entries and agents are the deployed programs. Connections to
store, origin and replicas go through a relay.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import time
from typing import TYPE_CHECKING, Any

from _platform_config import IDLE_LIMIT_S, configuration
from _process import Process
from _relay import Relay
from attrs import define, field, frozen

from crowrudder_standins._cold import COLD_EXCESS, COLD_EXTRA
from crowrudder_standins._serving import application
from crowrudder_standins.fleet_origin import FleetOrigin
from crowrudder_standins.fleet_replica import FleetReplica
from crowrudder_standins.fleet_store import FleetStore

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

STAND_INS = 'stand-ins'
"""Name of this process, in which store, origin and replicas run."""

ZONES = {'z1': 'r1', 'z2': 'r1', 'z3': 'r2'}
STORE_IP = '127.0.0.1'
VERSION_S = 4.0
DRAIN_S = 2.0
CONFIG_S = 2.0
EVACUATION_S = 5.0
GRACE_S = 8.0
SLOTS_AND_QUEUES = ((8, 0), (8, 8), (2, 8), (1, 4))
"""Slots and queue lengths, one pair of which is chosen for each engine."""


@frozen
class Plan:
    """The size of a fleet."""

    entries: int
    agents: int
    plains: int


@define(eq=False)
class Host:
    """A program's settings and process, and the replica beside an agent."""

    name: str
    role: str
    ip: str
    listen: dict[str, str]
    process: Process
    replica: str = ''

    def ended_cleanly(self, code: int | None) -> bool:
        """Return whether a process ended cleanly after SIGTERM.

        The system ends a process that receives SIGTERM before its program
        runs at all. From its first line on the program holds the signal, and
        logs at least that it was stopped.
        """
        if code == -signal.SIGTERM:
            return not self.process.has_logged('"message"')
        return code == 0

    @property
    def is_entry(self) -> bool:
        """Whether callers connect to this host."""
        return self.role == 'entry'


@define(eq=False)
class ReplicaIncarnation:
    """One incarnation of a replica, and when it began to drain."""

    replica: FleetReplica
    service: str
    address: str
    zone: str
    server: Any
    draining_since: float | None = None
    is_listed: bool = True


@define(eq=False)
class PlatformFleet:
    """Starts and stops stand-ins and programs, and publishes records."""

    plan: Plan
    folder: Path
    rng: random.Random
    queue_rng: random.Random
    store: FleetStore = field(factory=FleetStore)
    origin: FleetOrigin = field(factory=lambda: FleetOrigin({'--model': 'm'}))
    hosts: dict[str, Host] = field(factory=dict)
    past_incarnations: list[ReplicaIncarnation] = field(factory=list)
    replicas: dict[str, ReplicaIncarnation] = field(factory=dict)
    keys: list[str] = field(factory=lambda: ['key-0'])
    extra_keys: list[str] = field(factory=list)
    """Keys that are published besides, and withdrawn again."""

    announced_at: dict[int, float] = field(factory=dict)
    version: int = 1
    config_version: int = 0
    is_large: bool = False
    idle_limit_s: float = IDLE_LIMIT_S
    fatal_parts: frozenset[str] = frozenset()
    """Parts of prompts that crash each replica."""

    on_fatal: Callable[[str], object] = str
    is_crash_reset: Callable[[], bool] = bool
    """Draws whether a crash resets its connections; an orderly end otherwise."""

    on_new_replica: Callable[[str, FleetReplica], object] = field(
        default=lambda _name, _replica: None
    )
    """Called with each replica before its record is written."""

    relay: Relay = field(init=False)
    _ports: dict[str, tuple[int, int]] = field(factory=dict)
    _addresses: dict[str, str] = field(factory=dict)
    _peer_port: int = 0
    _incarnation_number: int = 0

    def __attrs_post_init__(self) -> None:
        self.relay = Relay(self.pids)

    def pids(self) -> dict[str, int]:
        """Return the pids of the running processes and of this one, by name."""
        found = {
            name: host.process.pid
            for name, host in self.hosts.items()
            if host.process.running
        }
        return {**found, STAND_INS: os.getpid()}

    async def start(self) -> None:
        """Start stand-ins and programs."""
        self._peer_port = free_range(16, self.rng)
        self._addresses['store'] = await self._serve(
            'store', self.store, STORE_IP
        )
        self._addresses['origin'] = await self._serve(
            'origin', self.origin, STORE_IP
        )
        self.publish()
        for number in range(self.plan.plains):
            await self._add_replica(
                f'plain-{number}', f'127.0.3.{number + 1}', 'plain', number
            )
        for number in range(self.plan.agents):
            ip = f'127.0.2.{number + 1}'
            name = f'engine-{number}'
            await self._add_replica(name, ip, 'llm', number)
            self._add_host(f'agent-{number}', 'agent', ip, number, name)
        for number in range(self.plan.entries):
            ip = f'127.0.1.{number + 1}'
            self._add_host(f'entry-{number}', 'entry', ip, number)
        for host in self.hosts.values():
            host.process.start()

    def publish(self) -> None:
        """Publish the next configuration with the current keys."""
        self.config_version += 1
        self.publish_again()

    def publish_again(self) -> None:
        """Write the latest configuration, as it is."""
        body = configuration(
            self.config_version,
            self._addresses['origin'],
            [*self.keys, *self.extra_keys],
            is_large=self.is_large,
            idle_limit_s=self.idle_limit_s,
        )
        self.store.put('op/config', json.dumps(body).encode())

    def announce_version(self) -> None:
        """Announce the next version of the weights."""
        self.version += 1
        self.origin.newest = self.version
        self.announced_at[self.version] = time.monotonic()
        self.announce_again()

    def announce_again(self) -> None:
        """Write the latest version of the weights, if one was announced."""
        if not self.announced_at:
            return
        named = {'model': 'm', 'version': self.version}
        self.store.put('op/version/m', json.dumps(named).encode())

    def list_again(self, name: str) -> None:
        """Write a replica's record as the replica would after a return."""
        incarnation = self.replicas[name]
        if incarnation.is_listed:
            is_leaving = incarnation.draining_since is not None
            self._put_record(incarnation, 'draining' if is_leaving else 'ready')

    def lapse_ended(self) -> None:
        """Remove the records of replicas that don't write any more."""
        listed = [each for each in self.replicas.values() if each.is_listed]
        alive = {f'servers/{each.replica.id}' for each in listed}
        for key in set(self.store.records) - alive:
            if key.startswith('servers/'):
                self.store.remove(key)

    def list_replica(self, name: str, state: str = 'ready') -> None:
        """Write a replica's record."""
        incarnation = self.replicas[name]
        self._put_record(incarnation, state)
        if state != 'ready':
            incarnation.draining_since = time.monotonic()

    def _put_record(self, incarnation: ReplicaIncarnation, state: str) -> None:
        replica = incarnation.replica
        entry = replica.entry(
            incarnation.service, incarnation.address, incarnation.zone, state
        )
        self.store.put(f'servers/{replica.id}', json.dumps(entry).encode())

    def unlist(self, name: str) -> None:
        """Remove a replica's record."""
        incarnation = self.replicas[name]
        incarnation.is_listed = False
        incarnation.draining_since = (
            incarnation.draining_since or time.monotonic()
        )
        self.store.remove(f'servers/{incarnation.replica.id}')

    async def replace(self, name: str) -> None:
        """Replace a replica by an empty new incarnation at the same address."""
        before = self.replicas[name]
        if before.is_listed:
            self.unlist(name)
        before.server.stop()
        before.replica.on_crash('fin')
        self.relay.end(name)
        self.past_incarnations.append(before)
        ip = before.address.rpartition(':')[0]
        replica = self._replica(name, before.service)
        _, own = self._ports[name]
        server = application(replica).listen(own, ip)
        self.replicas[name] = ReplicaIncarnation(
            replica, before.service, before.address, before.zone, server
        )
        self.list_replica(name)

    async def crash(self, name: str, away_s: float) -> None:
        """End a replica at once and start a new incarnation after a delay."""
        is_reset = self.is_crash_reset()
        self.replicas[name].replica.on_crash('reset' if is_reset else 'fin')
        self.relay.close(name)
        self.relay.end(name, is_reset=is_reset)
        await asyncio.sleep(away_s)
        await self.replace(name)
        await self.relay.listen(name)

    def all_incarnations(self) -> list[ReplicaIncarnation]:
        """Return all past and current replica incarnations."""
        return [*self.past_incarnations, *self.replicas.values()]

    def agent_of(self, incarnation: ReplicaIncarnation) -> str:
        """Return the name of a replica's agent; empty for a plain replica."""
        replica = incarnation.replica.id.partition('.')[0]
        return next(
            (
                host.name
                for host in self.hosts.values()
                if host.replica == replica
            ),
            '',
        )

    def entries(self) -> dict[str, str]:
        """Return the addresses that callers use, by entry name."""
        return {
            host.name: host.listen['front']
            for host in self.hosts.values()
            if host.is_entry
        }

    def close(self) -> None:
        """Stop everything that was started."""
        for host in self.hosts.values():
            host.process.thaw()
            if host.process.running:
                host.process.kill()
        self.relay.close_all()
        for incarnation in self.replicas.values():
            incarnation.server.stop()

    def _replica(self, name: str, service: str) -> FleetReplica:
        self._incarnation_number += 1
        is_engine = service == 'llm'
        slots, queue = (
            self.queue_rng.choice(SLOTS_AND_QUEUES)
            if is_engine
            else SLOTS_AND_QUEUES[0]
        )
        replica = FleetReplica(
            {
                '--id': f'{name}.{self._incarnation_number}',
                '--slots': slots,
                '--queue': queue,
                '--model': 'm' if is_engine else '',
            },
        )
        replica.on_fatal = lambda: self.on_fatal(name)
        replica.fatal_parts = self.fatal_parts
        self.on_new_replica(name, replica)
        return replica

    async def _serve(self, name: str, standin: Any, ip: str) -> str:
        listed, own = free_port(ip, self.rng), free_port(ip, self.rng)
        self._ports[name] = (listed, own)
        application(standin).listen(own, ip)
        self.relay.add(name, ip, listed_port=listed, own_port=own)
        await self.relay.listen(name)
        return f'{ip}:{listed}'

    async def _add_replica(
        self, name: str, ip: str, service: str, number: int
    ) -> None:
        replica = self._replica(name, service)
        listed, own = free_port(ip, self.rng), free_port(ip, self.rng)
        self._ports[name] = (listed, own)
        server = application(replica).listen(own, ip)
        self.relay.add(name, ip, listed_port=listed, own_port=own)
        await self.relay.listen(name)
        zone = zone_of(number)
        self.replicas[name] = ReplicaIncarnation(
            replica, service, f'{ip}:{listed}', zone, server
        )
        self.list_replica(name)

    def _add_host(
        self, name: str, role: str, ip: str, number: int, replica: str = ''
    ) -> None:
        is_entry = role == 'entry'
        names = ('front', 'ready', 'directory') if is_entry else ()
        listen = {each: f'{ip}:{free_port(ip, self.rng)}' for each in names}
        zone = zone_of(number)
        settings = {
            'node_name': name,
            'machine_class': role,
            'role': role,
            'serves': ['front', 'control', 'directory'] if is_entry else [],
            'ip': ip,
            'zone': zone,
            'region': ZONES[zone],
            'zones': ZONES,
            'listen': listen,
            'inner_ports': [self._peer_port, self._peer_port + 15],
            'seeds': ['127.0.1.1:1', '127.0.1.2:1'],
            'limits': {'memory_mb': 100, 'link_mbps': 100},
            'bounds': {
                'grace_s': GRACE_S,
                'version_ms': VERSION_S * 1000,
                'drain_ms': DRAIN_S * 1000,
                'config_ms': CONFIG_S * 1000,
                'budget_extra': 100,
                'budget_ratio': 0.2,
                'evac_ms': EVACUATION_S * 1000,
                'cold_excess': COLD_EXCESS,
                'cold_extra': COLD_EXTRA,
            },
            'provider': {'address': self._addresses['store']},
        }
        if replica:
            settings['app'] = self.replicas[replica].address
            settings['service'] = 'llm'
        path = self.folder / f'{name}.yaml'
        path.write_text(json.dumps(settings))
        process = Process(
            name,
            [sys.executable, '-m', 'crowrudder_platform', role],
            self.folder / f'{name}.log',
            environment={'CROWRUDDER_BOOT': str(path)},
        )
        self.hosts[name] = Host(name, role, ip, listen, process, replica)


def zone_of(number: int) -> str:
    """Return the zone of a host; zones are assigned round-robin."""
    return list(ZONES)[number % len(ZONES)]


def free_port(ip: str, rng: random.Random) -> int:
    """Return a port that nobody listens on."""
    while True:
        port = rng.randrange(20_000, 32_000)
        with socket.socket() as probe:
            if probe.connect_ex((ip, port)):
                return port


def free_range(count: int, rng: random.Random) -> int:
    """Return the first of `count` consecutive unused ports."""
    while True:
        first = rng.randrange(12_000, 19_000)
        if all(_is_free(first + number) for number in range(count)):
            return first


def _is_free(port: int) -> bool:
    try:
        with (
            socket.socket() as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagrams,
        ):
            stream.bind(('127.0.0.1', port))
            datagrams.bind(('127.0.0.1', port))
    except OSError:
        return False
    return True
