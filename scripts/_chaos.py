"""Random faults of a fleet, drawn from a seed, each undone after a while."""

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
    mark_of,
    processes_of,
    told,
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
_PAUSE_S = (0.2, 1.5)
_LASTS_S = (0.3, 4.0)
_DELAY_S = (0.02, 0.3)
_AT_ONCE = 2
_MOST_HITS = 3
_CUT_OFF = 3
# How often each kind is drawn, against the others.
_KINDS = {
    'kill': 3, 'freeze': 3, 'platform': 2, 'origin': 1, 'upstream': 5,
    'shared': 2, 'restart': 2, 'roll': 1,
}  # fmt: skip
_LINK_KINDS = {'cut': 4, 'one_way': 4, 'slow': 2, 'domain': 3, 'dark': 2}


@frozen
class Ending:
    """The time in which a process was gone, by the monotonic clock."""

    name: str
    from_s: float
    until_s: float


def excused(
    answer: Answer, entries: Iterable[Host], endings: Iterable[Ending]
) -> bool:
    """Tell whether the answer's entry was gone while it was awaited."""
    names = {
        host.name
        for host in entries
        if answer.url.endswith(f':{host.member["http_port"]}')
    }
    return any(
        ending.name in names
        and ending.from_s <= answer.ended_at
        and answer.began_at <= ending.until_s
        for ending in endings
    )


@define
class Chaos:
    """Plays faults on a fleet, two at once at most.

    `publishing` is held while the platform or a source of weights is gone, as
    nobody can publish then.
    """

    fleet: Fleet
    rng: random.Random
    say: Callable[[str], None]
    publishing: asyncio.Lock
    played: Counter[str] = field(factory=Counter)
    endings: list[Ending] = field(factory=list)
    pauses: list[Ending] = field(factory=list)
    problems: list[str] = field(factory=list)
    _hit: set[str] = field(factory=set)

    async def run(self, ends_at: float) -> None:
        """Play faults until the time, and return with all of them undone."""
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.rng.uniform(*_PAUSE_S))
            running = {task for task in running if not task.done()}
            if len(running) < _AT_ONCE:
                lasts_s = self.rng.uniform(*_LASTS_S)
                fault = self._draw()
                running.add(asyncio.create_task(self._play(fault, lasts_s)))
        await asyncio.gather(*running)

    def excused(self, answer: Answer) -> bool:
        """Tell whether the answer's entry was killed under it."""
        return excused(answer, self.fleet.entries, self.endings)

    def delayed(self, answer: Answer) -> bool:
        """Tell whether the answer's entry was frozen or gone under it."""
        spans = [*self.endings, *self.pauses]
        return excused(answer, self.fleet.entries, spans)

    def _draw(self) -> Fault:
        while True:
            fault = self._draw_any()
            if mark_of(fault) not in self._hit:
                return fault

    def _draw_any(self) -> Fault:
        kinds = dict(_KINDS)
        if self.fleet.plan.relayed:
            kinds.update(_LINK_KINDS)
        (kind,) = self.rng.choices(list(kinds), list(kinds.values()))
        if kind in _LINK_KINDS:
            return self._draw_link(kind)
        fleet = self.fleet
        fault: Fault
        match kind:
            case 'kill':
                fault = Kill(self._any_process())
            case 'freeze':
                fault = Freeze(self._any_process())
            case 'platform':
                fault = self._standin(fleet.platform, _PLATFORM_FAULTS)
            case 'origin':
                fault = self._standin(fleet.origin, _ORIGIN_FAULTS)
            case 'shared':
                fault = self._shared_fault()
            case 'restart':
                fault = Restart((self.rng.choice(fleet.hosts),))
            case 'roll':
                fault = Restart(tuple(fleet.hosts))
            case _:
                fault = self._upstream_fault(self.rng.choice(fleet.agents))
        return fault

    def _shared_fault(self) -> Fault:
        fleet = self.fleet
        outside = self.rng.choice((fleet.platform, fleet.origin, fleet.store))
        if self.rng.random() < 0.5:
            return SharedKill(outside)
        return Freeze(outside.process)

    def _draw_link(self, kind: str) -> Fault:
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
                delay_s = self.rng.uniform(*_DELAY_S)
                return Slow(entry, agent, delay_s)
            case 'dark':
                source = self.rng.choice(('platform', 'origin', 'store'))
                return Cut(frozenset((host,)), frozenset((source,)))
            case _:
                return self._cut_domain()

    def _cut_domain(self) -> Cut:
        """Cut one failure domain off; the rest keeps platform and sources."""
        domain = self.rng.choice(self.fleet.hosts).member['failure_domain']
        inside = frozenset(
            host.name
            for host in self.fleet.hosts
            if host.member['failure_domain'] == domain
        )
        names = {host.name for host in self.fleet.hosts}
        outside = frozenset((*names, 'platform', 'origin', 'store')) - inside
        return Cut(inside, outside)

    def _any_process(self) -> Process:
        host = self.rng.choice(self.fleet.hosts)
        upstream = self.rng.choice(self.fleet.agents).upstream
        return self.rng.choice((host.process, *processes_of(upstream)))

    def _upstream_fault(self, agent: Host) -> Fault:
        if agent.upstream is None:
            return Freeze(agent.process)
        names = _ENGINE_FAULTS if agent.is_engine else _PLAIN_FAULTS
        return self._standin(agent.upstream, names)

    def _standin(self, outside: Outside, names: tuple[str, ...]) -> Fault:
        count = self.rng.randint(1, _MOST_HITS)
        return StandinFault(outside, self.rng.choice(names), count)

    async def _play(self, fault: Fault, lasts_s: float) -> None:
        mark = mark_of(fault)
        self._hit.add(mark)
        self.played[type(fault).__name__] += 1
        self.say(f'{told(fault)} for {lasts_s:.1f} s')
        match fault:
            case Kill(process=process):
                await self._kill(process, lasts_s)
            case Freeze(process=process):
                await self._freeze(process, lasts_s)
            case StandinFault():
                await self._standin_fault(fault, lasts_s)
            case SharedKill(outside=outside):
                await self._kill_shared(outside, lasts_s)
            case Restart(hosts=hosts):
                await self._restart_all(hosts)
            case Cut(pairs=pairs):
                self.fleet.relay.cut(pairs)
                await asyncio.sleep(lasts_s)
                self.fleet.relay.heal(pairs)
            case OneWay(source=source, target=target):
                self.fleet.relay.freeze(source, target)
                await asyncio.sleep(lasts_s)
                self.fleet.relay.thaw(source, target)
            case Slow():
                await self._slow(fault, lasts_s)
        self._hit.discard(mark)
        self.say(f'over: {told(fault)}')

    async def _kill(self, process: Process, lasts_s: float) -> None:
        from_s = time.monotonic()
        self._end(process)
        await asyncio.sleep(lasts_s)
        await self.fleet.start_process(process)
        self.endings.append(Ending(process.name, from_s, time.monotonic()))

    def _end(self, process: Process) -> None:
        """End a process at once; its port refuses from now on."""
        process.kill()
        self.fleet.relay.close(process.name)

    async def _freeze(self, process: Process, lasts_s: float) -> None:
        shared = (self.fleet.platform, self.fleet.origin, self.fleet.store)
        is_shared = process in {each.process for each in shared}
        async with self.publishing if is_shared else contextlib.nullcontext():
            from_s = time.monotonic()
            process.freeze()
            await asyncio.sleep(lasts_s)
            process.thaw()
        self.pauses.append(Ending(process.name, from_s, time.monotonic()))

    async def _kill_shared(self, outside: Outside, lasts_s: float) -> None:
        async with self.publishing:
            self._end(outside.process)
            await asyncio.sleep(lasts_s)
            await self.fleet.restart_source(outside)

    async def _slow(self, fault: Slow, lasts_s: float) -> None:
        relay = self.fleet.relay
        links = (
            relay.link(fault.one, fault.other),
            relay.link(fault.other, fault.one),
        )
        for link in links:
            link.delay_s = fault.delay_s
        await asyncio.sleep(lasts_s)
        for link in links:
            link.delay_s = 0

    async def _restart_all(self, hosts: tuple[Host, ...]) -> None:
        for host in hosts:
            if len(hosts) > 1 and host.name in self._hit:
                continue
            self._hit.add(host.name)
            await self._restart(host)
            self._hit.discard(host.name)

    async def _restart(self, host: Host) -> None:
        """Drain a host and start it again; a drain may be out of time.

        With a peer or an upstream at fault meanwhile, `drain_s` ends it.
        """
        from_s = time.monotonic()
        codes = await self.fleet.drain([host])
        code = codes[host.name]
        if code == _CUT_OFF:
            self.say(f'{host.name}: drain cut off')
            self.endings.append(Ending(host.name, from_s, time.monotonic()))
        elif code != 0:
            self.problems.append(f'{host.name} drained with {code}')
        await self.fleet.start_process(host.process)
        await self.fleet.await_alive(host)

    async def _standin_fault(self, fault: StandinFault, lasts_s: float) -> None:
        outside = fault.outside
        # One that dies may do so before its answer to the order.
        with contextlib.suppress(OSError, HTTPError):
            await self.fleet.fault(outside, fault.name, count=fault.count)
        await asyncio.sleep(lasts_s)
        if outside.process.running:
            await self.fleet.fault(outside, fault.name, on=False)
        else:
            await self.fleet.start_process(outside.process)
