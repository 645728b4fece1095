"""Inject the faults of an experiment into the processes of its fleet."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from _caller import EntryAddress
from _chaos import Downtime, excused
from _declare import Weights
from _experiment_plan import (
    Drain,
    EngineFault,
    Freeze,
    Hostile,
    Kill,
    PlatformFault,
    Publish,
    Restart,
    Roll,
    Step,
)
from _fleet import until
from _hostile import find_violations
from _process import LOOPBACK, FleetError
from attrs import define, evolve, field

if TYPE_CHECKING:
    from collections.abc import Iterable

    from _caller import Answer
    from _declare import Declared
    from _fleet import Fleet
    from _process import Host, Outside

FIRST_WEIGHTS = Weights('listing-v1', seed=1)


@define
class Downtimes:
    """Downtimes of killed processes, in seconds of one clock.

    >>> downtimes = Downtimes()
    >>> downtimes.record_down('entry-1', 5.0)
    >>> downtimes.record_up('entry-1', 8.0)
    >>> downtimes.spans
    [Downtime(name='entry-1', from_s=5.0, until_s=8.0)]
    """

    spans: list[Downtime] = field(factory=list)

    def record_down(self, name: str, now: float) -> None:
        """Record that a process was killed."""
        self.spans.append(Downtime(name, now, float('inf')))

    def record_up(self, name: str, now: float) -> None:
        """Record that a process runs again."""
        self.spans = [
            evolve(span, until_s=min(now, span.until_s))
            if span.name == name
            else span
            for span in self.spans
        ]

    def is_excused(self, answer: Answer, entries: Iterable[Host]) -> bool:
        """Return whether a broken connection was one to a killed entry."""
        return excused(answer, entries, self.spans)


class Injector:
    """Runs the steps of an experiment on its fleet."""

    def __init__(self, fleet: Fleet, declared: Declared) -> None:
        self.downtimes = Downtimes()
        self._fleet = fleet
        self._declared = declared
        self._seed = FIRST_WEIGHTS.seed

    async def inject(self, step: Step) -> None:
        """Run one step, and undo it if it has a duration.

        Raises
        ------
        FleetError
            If the step fails or exceeds its time.
        """
        match step:
            case Kill():
                await self._kill(step)
            case Restart():
                await self._start(step.target)
            case Freeze():
                await self._freeze(step)
            case Drain():
                await self._drain(step.target)
            case Roll():
                await self._drain(step.target)
                await self._start(step.target)
            case EngineFault():
                await self._engine_fault(step)
            case PlatformFault():
                await self._inject_standin_fault(self._fleet.platform, step)
            case Hostile():
                await self._hostile(step)
            case Publish():
                await self._publish(step)

    async def publish(self, weights: Weights, within_s: float) -> None:
        """Publish a version and wait until all running engines loaded it."""
        await self._declared.publish(self._fleet, weights)

        async def loaded() -> bool:
            states = [
                await self._fleet.status(agent)
                for agent in self._fleet.engine_agents
                if agent.process.running
            ]
            shown = {(each or {}).get('loaded_version') for each in states}
            return shown == {weights.version}

        step = f'load {weights.version}'
        await until(loaded, step=step, timeout_s=within_s)

    async def _kill(self, step: Kill) -> None:
        hosts = find_hosts(self._fleet.hosts, step.target)
        for host in hosts:
            self.downtimes.record_down(host.name, time.monotonic())
            host.process.kill()
            if host.upstream is not None:
                host.upstream.process.kill()
        await asyncio.sleep(step.unlisted_after_s)
        for host in hosts:
            await self._fleet.unlist_member(host)

    async def _start(self, target: str) -> None:
        for host in find_hosts(self._fleet.hosts, target):
            if host.upstream is not None and not host.upstream.process.running:
                host.upstream.process.start()
            if not host.process.running:
                host.process.start()
            await self._fleet.await_alive(host)
            self.downtimes.record_up(host.name, time.monotonic())
            await self._fleet.list_member(host)

    async def _freeze(self, step: Freeze) -> None:
        hosts = find_hosts(self._fleet.hosts, step.target)
        for host in hosts:
            host.process.freeze()
        await asyncio.sleep(step.lasts_s)
        for host in hosts:
            host.process.thaw()

    async def _drain(self, target: str) -> None:
        hosts = find_hosts(self._fleet.hosts, target)
        codes = await self._fleet.drain(hosts)
        bad = {name: code for name, code in codes.items() if code != 0}
        if bad:
            raise FleetError('drain', target, f'exit codes {bad}')

    async def _engine_fault(self, step: EngineFault) -> None:
        agent = step.target.replace('engine', 'agent')
        (host,) = find_hosts(self._fleet.engine_agents, agent)
        if host.upstream is not None:
            await self._inject_standin_fault(host.upstream, step)

    async def _inject_standin_fault(
        self, outside: Outside, step: EngineFault | PlatformFault
    ) -> None:
        await self._fleet.fault(outside, step.fault, amount=step.amount)
        await asyncio.sleep(step.lasts_s)
        if outside.process.running:
            await self._fleet.fault(outside, step.fault, on=False)

    async def _hostile(self, step: Hostile) -> None:
        addresses = [
            EntryAddress(entry.name, LOOPBACK, int(entry.member['http_port']))
            for entry in self._fleet.entries
        ]
        violations = await asyncio.gather(
            *(find_violations(address, step.lasts_s) for address in addresses)
        )
        found = sorted({violation for each in violations for violation in each})
        if found:
            raise FleetError('hostile', 'entries', '; '.join(found))

    async def _publish(self, step: Publish) -> None:
        self._seed += 1
        weights = Weights(step.version, seed=self._seed)
        await self.publish(weights, step.within_s)


def find_hosts(hosts: Iterable[Host], target: str) -> list[Host]:
    """Return the host of this name, or all hosts of `domain:NAME`.

    Raises
    ------
    FleetError
        If no host matches.
    """
    domain = target.removeprefix('domain:')
    key = 'host' if domain == target else 'failure_domain'
    by_name = [(str(host.member[key]), host) for host in hosts]
    found = [host for name, host in by_name if name == domain]
    if not found:
        known = ', '.join(sorted({name for name, _ in by_name}))
        raise FleetError('find', target, f'use one of {known}')
    return found
