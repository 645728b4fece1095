"""Inject random faults into a fleet from a seeded generator.

Each fault is undone after a random duration.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from typing import TYPE_CHECKING

from _faults import (
    Cut,
    Fault,
    Freeze,
    Kill,
    OneWay,
    Restart,
    SharedKill,
    Slow,
    StandinFault,
    affected_target,
    describe_fault,
    processes_of,
)
from _process import Host, Outside, Process
from attrs import define, field, frozen
from tornado.httpclient import HTTPError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from _caller import Answer
    from _fleet import Fleet

_ENGINE_FAULTS = (
    'stall', 'answer_late', 'answer_crossed', 'cut', 'corrupt_text',
    'corrupt_chunk', 'lie_about_load', 'freeze', 'die',
)  # fmt: skip
_PLATFORM_FAULTS = (
    'down', 'stale', 'slow', 'garbage', 'half', 'flapping', 'rebuilt',
)  # fmt: skip
_ORIGIN_FAULTS = ('down', 'stall', 'corrupt')
_PLAIN_FAULTS = ('late', 'cut', 'freeze', 'crossed')
_FAULT_INTERVAL_S = (0.2, 1.5)
_FAULT_DURATION_S = (0.3, 4.0)
_LINK_DELAY_S = (0.02, 0.3)
_MAX_CONCURRENT_FAULTS = 2
_MAX_ACTIVATIONS = 3
_DRAIN_TIMED_OUT_CODE = 3
# Relative weights of the kinds of faults.
_KIND_WEIGHTS = {
    'kill': 3, 'freeze': 3, 'platform': 2, 'origin': 1, 'upstream': 5,
    'shared': 2, 'restart': 2, 'roll': 1,
}  # fmt: skip
_LINK_KIND_WEIGHTS = {'cut': 4, 'one_way': 4, 'slow': 2, 'domain': 3, 'dark': 2}


@frozen
class Downtime:
    """Interval of the monotonic clock with a process down or paused."""

    name: str
    from_s: float
    until_s: float


def excused(
    answer: Answer, entries: Iterable[Host], downtimes: Iterable[Downtime]
) -> bool:
    """Return whether the answer's entry was down while the caller waited."""
    names = {
        host.name
        for host in entries
        if answer.url.endswith(f':{host.member["http_port"]}')
    }
    return any(
        downtime.name in names
        and downtime.from_s <= answer.ended_at
        and answer.began_at <= downtime.until_s
        for downtime in downtimes
    )


@define
class Chaos:
    """Injects random faults into a fleet, at most two at once.

    `publish_lock` is held while the platform or a weight source is down or
    paused, as publishing would fail then.
    """

    fleet: Fleet
    rng: random.Random
    log: Callable[[str], None]
    publish_lock: asyncio.Lock
    injected: Counter[str] = field(factory=Counter)
    downtimes: list[Downtime] = field(factory=list)
    pauses: list[Downtime] = field(factory=list)
    problems: list[str] = field(factory=list)
    _faulted_targets: set[str] = field(factory=set)

    async def run(self, ends_at: float) -> None:
        """Inject faults until `ends_at` and return once all are undone."""
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.rng.uniform(*_FAULT_INTERVAL_S))
            running = {task for task in running if not task.done()}
            if len(running) < _MAX_CONCURRENT_FAULTS:
                duration_s = self.rng.uniform(*_FAULT_DURATION_S)
                fault = self._sample_fault()
                running.add(
                    asyncio.create_task(self._inject(fault, duration_s))
                )
        await asyncio.gather(*running)

    def excused(self, answer: Answer) -> bool:
        """Return whether the answer's entry was down during the request."""
        return excused(answer, self.fleet.entries, self.downtimes)

    def delayed(self, answer: Answer) -> bool:
        """Return whether the answer's entry was paused or down meanwhile."""
        spans = [*self.downtimes, *self.pauses]
        return excused(answer, self.fleet.entries, spans)

    def _sample_fault(self) -> Fault:
        while True:
            fault = self._sample_any_fault()
            if affected_target(fault) not in self._faulted_targets:
                return fault

    def _sample_any_fault(self) -> Fault:
        kinds = dict(_KIND_WEIGHTS)
        if self.fleet.plan.relayed:
            kinds.update(_LINK_KIND_WEIGHTS)
        (kind,) = self.rng.choices(list(kinds), list(kinds.values()))
        if kind in _LINK_KIND_WEIGHTS:
            return self._sample_link_fault(kind)
        fleet = self.fleet
        fault: Fault
        match kind:
            case 'kill':
                fault = Kill(self._sample_process())
            case 'freeze':
                fault = Freeze(self._sample_process())
            case 'platform':
                fault = self._sample_standin_fault(
                    fleet.platform, _PLATFORM_FAULTS
                )
            case 'origin':
                fault = self._sample_standin_fault(fleet.origin, _ORIGIN_FAULTS)
            case 'shared':
                fault = self._sample_shared_fault()
            case 'restart':
                fault = Restart((self.rng.choice(fleet.hosts),))
            case 'roll':
                fault = Restart(tuple(fleet.hosts))
            case _:
                fault = self._sample_upstream_fault(
                    self.rng.choice(fleet.agents)
                )
        return fault

    def _sample_shared_fault(self) -> Fault:
        fleet = self.fleet
        outside = self.rng.choice((fleet.platform, fleet.origin, fleet.store))
        if self.rng.random() < 0.5:
            return SharedKill(outside)
        return Freeze(outside.process)

    def _sample_link_fault(self, kind: str) -> Fault:
        fleet = self.fleet
        names = [host.name for host in fleet.hosts]
        entry = self.rng.choice(fleet.entries).name
        agent = self.rng.choice(fleet.agents).name
        host = self.rng.choice(names)
        match kind:
            case 'cut':
                return Cut(frozenset((entry,)), frozenset((agent,)))
            case 'one_way':
                return OneWay(*self.rng.sample((entry, agent), 2))
            case 'slow':
                delay_s = self.rng.uniform(*_LINK_DELAY_S)
                return Slow(entry, agent, delay_s)
            case 'dark':
                source = self.rng.choice(('platform', 'origin', 'store'))
                return Cut(frozenset((host,)), frozenset((source,)))
            case _:
                return self._sample_domain_cut()

    def _sample_domain_cut(self) -> Cut:
        """Return a partition of one failure domain from everything else.

        The other domains still reach the platform and the weight sources.
        """
        domain = self.rng.choice(self.fleet.hosts).member['failure_domain']
        inside = frozenset(
            host.name
            for host in self.fleet.hosts
            if host.member['failure_domain'] == domain
        )
        names = {host.name for host in self.fleet.hosts}
        outside = frozenset((*names, 'platform', 'origin', 'store')) - inside
        return Cut(inside, outside)

    def _sample_process(self) -> Process:
        host = self.rng.choice(self.fleet.hosts)
        upstream = self.rng.choice(self.fleet.agents).upstream
        return self.rng.choice((host.process, *processes_of(upstream)))

    def _sample_upstream_fault(self, agent: Host) -> Fault:
        if agent.upstream is None:
            return Freeze(agent.process)
        names = _ENGINE_FAULTS if agent.is_engine else _PLAIN_FAULTS
        return self._sample_standin_fault(agent.upstream, names)

    def _sample_standin_fault(
        self, outside: Outside, names: tuple[str, ...]
    ) -> Fault:
        count = self.rng.randint(1, _MAX_ACTIVATIONS)
        return StandinFault(outside, self.rng.choice(names), count)

    async def _inject(self, fault: Fault, duration_s: float) -> None:
        fault_target = affected_target(fault)
        self._faulted_targets.add(fault_target)
        self.injected[type(fault).__name__] += 1
        self.log(f'{describe_fault(fault)} for {duration_s:.1f} s')
        match fault:
            case Kill(process=process):
                await self._kill_and_restart(process, duration_s)
            case Freeze(process=process):
                await self._freeze(process, duration_s)
            case StandinFault():
                await self._standin_fault(fault, duration_s)
            case SharedKill(outside=outside):
                await self._kill_shared(outside, duration_s)
            case Restart(hosts=hosts):
                await self._restart_all(hosts)
            case Cut(pairs=pairs):
                self.fleet.relay.cut(pairs)
                await asyncio.sleep(duration_s)
                self.fleet.relay.heal(pairs)
            case OneWay(source=source, target=target):
                self.fleet.relay.freeze(source, target)
                await asyncio.sleep(duration_s)
                self.fleet.relay.thaw(source, target)
            case Slow():
                await self._slow(fault, duration_s)
        self._faulted_targets.discard(fault_target)
        self.log(f'over: {describe_fault(fault)}')

    async def _kill_and_restart(
        self, process: Process, duration_s: float
    ) -> None:
        from_s = time.monotonic()
        self._kill_process(process)
        await asyncio.sleep(duration_s)
        await self.fleet.start_process(process)
        self.downtimes.append(Downtime(process.name, from_s, time.monotonic()))

    def _kill_process(self, process: Process) -> None:
        """Kill a process and close its relayed port, which then refuses."""
        process.kill()
        self.fleet.relay.close(process.name)

    async def _freeze(self, process: Process, duration_s: float) -> None:
        shared = (self.fleet.platform, self.fleet.origin, self.fleet.store)
        is_shared = process in {each.process for each in shared}
        async with self.publish_lock if is_shared else contextlib.nullcontext():
            from_s = time.monotonic()
            process.freeze()
            await asyncio.sleep(duration_s)
            process.thaw()
        self.pauses.append(Downtime(process.name, from_s, time.monotonic()))

    async def _kill_shared(self, outside: Outside, duration_s: float) -> None:
        async with self.publish_lock:
            self._kill_process(outside.process)
            await asyncio.sleep(duration_s)
            await self.fleet.restart_source(outside)

    async def _slow(self, fault: Slow, duration_s: float) -> None:
        relay = self.fleet.relay
        links = (
            relay.link(fault.one, fault.other),
            relay.link(fault.other, fault.one),
        )
        for link in links:
            link.delay_s = fault.delay_s
        await asyncio.sleep(duration_s)
        for link in links:
            link.delay_s = 0

    async def _restart_all(self, hosts: tuple[Host, ...]) -> None:
        for host in hosts:
            if len(hosts) > 1 and host.name in self._faulted_targets:
                continue
            self._faulted_targets.add(host.name)
            await self._restart(host)
            self._faulted_targets.discard(host.name)

    async def _restart(self, host: Host) -> None:
        """Drain a host and start it again.

        A drain may be cut off at `drain_s` when a peer or an upstream is
        faulty meanwhile; that isn't a problem.
        """
        from_s = time.monotonic()
        codes = await self.fleet.drain([host])
        code = codes[host.name]
        if code == _DRAIN_TIMED_OUT_CODE:
            self.log(f'{host.name}: drain cut off')
            self.downtimes.append(Downtime(host.name, from_s, time.monotonic()))
        elif code != 0:
            self.problems.append(f'{host.name} drained with {code}')
        await self.fleet.start_process(host.process)
        await self.fleet.await_alive(host)

    async def _standin_fault(
        self, fault: StandinFault, duration_s: float
    ) -> None:
        outside = fault.outside
        # A stand-in that is ordered to die may exit before it answers.
        with contextlib.suppress(OSError, HTTPError):
            await self.fleet.fault(outside, fault.name, count=fault.count)
        await asyncio.sleep(duration_s)
        if outside.process.running:
            await self.fleet.fault(outside, fault.name, on=False)
        else:
            await self.fleet.start_process(outside.process)
