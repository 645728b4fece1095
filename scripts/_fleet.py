"""A fleet of separate processes on loopback, for scripts and tests.

Starts stand-ins, entries and agents, and kills, suspends and drains them.
"""

from __future__ import annotations

import asyncio
import configparser
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from _fleet_plan import FleetPlan
from _process import (
    LOOPBACK,
    FleetError,
    Host,
    Outside,
    Ports,
    Process,
    program,
)
from _relay import Relay
from _web import Web

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_POLL_S = 0.05


async def until(
    condition: Callable[[], Awaitable[bool]],
    *,
    step: str,
    timeout_s: float,
) -> None:
    """Poll until a condition is true.

    Raises
    ------
    FleetError
        If the condition is not true within the timeout.
    """
    ends_at = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > ends_at:
            raise FleetError(step, 'fleet', f'not within {timeout_s} s')
        await asyncio.sleep(_POLL_S)


class Fleet:
    """The processes of one run and the directory of their files."""

    def __init__(self, plan: FleetPlan, directory: Path) -> None:
        self.plan = plan
        self.directory = directory
        self.web = Web()
        self.entries: list[Host] = []
        self.agents: list[Host] = []
        self.outsides: list[Outside] = []
        self.relay = Relay(self.pids)
        self.ports = Ports()
        self._published_weights: list[tuple[Outside, str]] = []
        self.platform = self._outside(
            'platform',
            'platform',
            f'--member-lag={plan.member_lag_s}',
            f'--state={directory / "platform.state"}',
            shared=True,
        )
        self.origin = self._outside(
            'origin', 'origin', f'--rate={plan.origin_rate}', shared=True
        )
        self.store = self._outside(
            'store',
            'origin',
            f'--rate={plan.store_rate}',
            '--name=store',
            shared=True,
        )

    @property
    def hosts(self) -> list[Host]:
        """Return all entries and agents."""
        return [*self.entries, *self.agents]

    @property
    def processes(self) -> list[Process]:
        """Return the processes of daemons and stand-ins."""
        daemons = [host.process for host in self.hosts]
        return [*daemons, *(each.process for each in self.outsides)]

    def pids(self) -> dict[str, int]:
        """Return the pids of the running processes by name."""
        return {each.name: each.pid for each in self.processes if each.running}

    @property
    def engine_agents(self) -> list[Host]:
        """Return the agents of engines."""
        return [agent for agent in self.agents if agent.is_engine]

    def journals(self) -> list[Path]:
        """Return the journals of all upstreams, including killed ones."""
        paths = [each.journal_path for each in self.outsides]
        return [path for path in paths if path.exists()]

    async def start(self) -> None:
        """Start all processes and add the hosts to the member list."""
        plan = self.plan
        for number in range(1, plan.entries + 1):
            self.entries.append(self._entry(number))
        for number in range(1, plan.engines + 1):
            self.agents.append(self._engine_agent(number))
        for number in range(1, plan.plains + 1):
            self.agents.append(self._plain_agent(number))
        for outside in self.outsides:
            await self.start_process(outside.process)
        for outside in self.outsides:
            await self._await_answer(
                outside.process, f'{outside.url}/control/books'
            )
        for host in self.hosts:
            await self.start_process(host.process)
        for host in self.hosts:
            await self.await_alive(host)
            await self.list_member(host)

    async def start_process(self, process: Process) -> None:
        """Start a process and, if it has one, its relay listener."""
        process.start()
        await self.relay.listen(process.name)

    async def restart_source(self, outside: Outside) -> None:
        """Restart a killed origin or store with the versions that it had."""
        await self.start_process(outside.process)
        await self._await_answer(
            outside.process, f'{outside.url}/control/books'
        )
        for source, path in self._published_weights:
            if source is outside:
                await self.web.json('PUT', f'{outside.url}{path}')

    async def await_alive(self, host: Host) -> None:
        """Wait until the daemon of a host answers."""
        await self._await_answer(host.process, f'{host.admin_url}/healthz')

    async def list_member(self, host: Host, state: str = 'live') -> None:
        """Add a host to the platform's member list."""
        url = f'{self.platform.url}/control/members/{host.name}'
        await self.web.json('PUT', url, {**host.member, 'state': state})

    async def unlist_member(self, host: Host) -> None:
        """Remove a host from the platform's member list."""
        url = f'{self.platform.url}/control/members/{host.name}'
        await self.web.json('DELETE', url)

    async def publish(self, bundle: bytes) -> None:
        """Publish a bundle on the platform."""
        url = f'{self.platform.url}/control/bundle'
        answer = await self.web.fetch('PUT', url, bundle)
        if answer.code != 200:
            raise FleetError('publish', url, str(answer.code))

    async def make_weights(
        self,
        version: str,
        *,
        size: int,
        chunk_bytes: int,
        seed: int,
        stored: bool = True,
    ) -> str:
        """Create a version at the origin and return its manifest's digest.

        Parameters
        ----------
        stored
            Whether the weight store has the version as well.
        """
        query = f'size={size}&chunk_bytes={chunk_bytes}&seed={seed}'
        path = f'/control/weights/{version}?{query}'
        sources = [self.store, self.origin] if stored else [self.origin]
        for source in sources:
            self._published_weights.append((source, path))
            created = await self.web.json('PUT', f'{source.url}{path}')
        return str(created['manifest_digest'])

    async def fault(
        self,
        outside: Outside,
        name: str,
        *,
        on: bool = True,
        count: int | None = None,
        amount: float = 0,
    ) -> None:
        """Switch a fault of a stand-in on or off.

        Parameters
        ----------
        count
            How many requests it affects; None for all of them.
        amount
            Seconds, a share or a revision; 0 for the stand-in's default.
        """
        url = f'{outside.url}/control/faults'
        order = {'fault': name, 'on': on, 'count': count, 'amount': amount}
        await self.web.json('POST', url, order)

    async def books(self, outside: Outside) -> Any:
        """Return the request log of a running stand-in."""
        return await self.web.json('GET', f'{outside.url}/control/books')

    async def status(self, host: Host) -> Any:
        """Return a host's status, or None if it doesn't answer."""
        return await self.web.tried_json(f'{host.admin_url}/status')

    async def loaded(self, version: str) -> bool:
        """Return whether every engine's agent has loaded this version."""
        states = [await self.status(agent) for agent in self.engine_agents]
        loaded = {(each or {}).get('loaded_version') for each in states}
        return loaded == {version}

    async def drain(self, hosts: list[Host]) -> dict[str, int | None]:
        """Send SIGTERM to hosts and return their exit codes by name."""
        for host in hosts:
            host.process.terminate()
        wait_s = self.plan.drain_s + 5
        codes = {each.name: await each.process.ended(wait_s) for each in hosts}
        for host in hosts:
            self.relay.close(host.name)
        return codes

    def close(self) -> None:
        """Kill all running processes, daemons first."""
        for process in self.processes:
            process.thaw()
            process.kill()
        self.relay.close_all()
        self.web.close()

    async def _await_answer(self, process: Process, url: str) -> None:
        async def answers() -> bool:
            if not process.running:
                raise FleetError('start', process.name, process.tail())
            return await self.web.tried_answer(url)

        await until(answers, step=f'start {process.name}', timeout_s=20)

    def _listed_port(self, name: str, own_port: int) -> int:
        """Return the advertised port: the relay's if connections are relayed."""
        if not self.plan.relayed:
            return own_port
        listed_port = self.ports.free()
        self.relay.add(
            name, LOOPBACK, listed_port=listed_port, own_port=own_port
        )
        return listed_port

    def _process(self, name: str, *arguments: str) -> Process:
        log_path = self.directory / f'{name}.log'
        return Process(name, list(arguments), log_path)

    def _outside(
        self,
        name: str,
        module: str,
        *options: str,
        shared: bool = False,
    ) -> Outside:
        """Create a stand-in; a `shared` one is called by many hosts."""
        port = self.ports.free()
        listed_port = self._listed_port(name, port) if shared else port
        journal_path = self.directory / f'{name}.journal'
        process = self._process(
            name,
            sys.executable,
            '-m',
            f'crowrudder_standins.{module}',
            f'--port={port}',
            *options,
        )
        outside = Outside(
            process,
            f'{LOOPBACK}:{port}',
            journal_path,
            f'{LOOPBACK}:{listed_port}',
        )
        self.outsides.append(outside)
        return outside

    def _upstream(self, name: str, module: str, *options: str) -> Outside:
        journal = f'--journal={self.directory / name}.journal'
        return self._outside(name, module, journal, *options)

    def _member(self, host: str, role: str, upstream: str) -> dict[str, Any]:
        regions = self.plan.regions
        region = regions[len(self.hosts) % len(regions)]
        return {
            'host': host,
            'role': role,
            'address': LOOPBACK,
            'rpc_port': self.ports.free(),
            'http_port': self.ports.free() if role == 'entry' else 0,
            'admin_port': self.ports.free(),
            'region': region,
            'failure_domain': f'{region}-{len(self.hosts) // len(regions) % 2}',
            'upstream': upstream,
            'state': 'live',
        }

    def _entry(self, number: int) -> Host:
        return self._host(self._member(f'entry-{number}', 'entry', ''), {})

    def _engine_agent(self, number: int) -> Host:
        plan = self.plan
        fencing = f'--fencing={plan.fencing}'
        upstream = self._upstream(
            f'engine-{number}', 'engine', fencing, *plan.engine_options
        )
        member = self._member(f'agent-{number}', 'agent', 'engine')
        sections: dict[str, dict[str, Any]] = {
            'upstream': {
                'kind': 'engine',
                'address': upstream.address,
                'fencing': plan.fencing,
            },
            'weights': {
                'origin': self.origin.listed_address,
                'store': self.store.listed_address,
                'memory_bytes': 1 << 28,
                'link_bytes_per_s': plan.link_bytes_per_s,
            },
        }
        return self._host(member, sections, upstream)

    def _plain_agent(self, number: int) -> Host:
        service = self.plan.plain_service
        upstream = self._upstream(f'plain-{number}', 'plain')
        member = self._member(
            f'agent-plain-{number}', 'agent', f'plain:{service}'
        )
        section: dict[str, Any] = {
            'kind': 'plain',
            'address': upstream.address,
            'service': service,
        }
        return self._host(member, {'upstream': section}, upstream)

    def _host(
        self,
        member: dict[str, Any],
        sections: dict[str, dict[str, Any]],
        upstream: Outside | None = None,
    ) -> Host:
        role, rpc_port = member['role'], member['rpc_port']
        listed_port = self._listed_port(member['host'], rpc_port)
        member = {**member, 'rpc_port': listed_port}
        keys = ('host', 'address', 'rpc_port', 'admin_port')
        places = ('region', 'failure_domain')
        process_section = {key: member[key] for key in (*keys, *places)}
        if role == 'entry':
            process_section['http_port'] = member['http_port']
        if listed_port != rpc_port:
            process_section['rpc_listen_port'] = rpc_port
        limits: dict[str, Any] = {'drain_s': self.plan.drain_s}
        if role == 'agent':
            limits['slots'] = self.plan.slots
        else:
            limits['retry_share'] = self.plan.retry_share
        cfg = configparser.ConfigParser()
        cfg.read_dict(
            {
                'process': {'role': role, **process_section},
                'platform': {
                    'address': self.platform.listed_address,
                    'poll_s': self.plan.poll_s,
                },
                **sections,
                'limits': limits,
                'logs': {'level': self.plan.log_level},
            }
        )
        path = self.directory / f'{member["host"]}.ini'
        with path.open('w') as written:
            cfg.write(written)
        process = self._process(
            member['host'], program('crowrudderd'), role, str(path)
        )
        return Host(member, process, upstream)
