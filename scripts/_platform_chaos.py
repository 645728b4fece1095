"""Fault injection for a platform fleet: signals, links and stand-ins.

Faults overlap: each starts after a short pause, whether or not earlier ones
have ended.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from crowrudder_standins._faults import Fault

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from _platform_fleet import Host, PlatformFleet

FAULT_INTERVAL_S = (0.1, 0.8)
FAULT_DURATION_S = (0.2, 1.2)
DOWNTIME_S = (0.1, 1.0)
MAX_LINK_DELAY_S = 0.15
STOP_TIMEOUT_S = 9.0
"""Time from SIGTERM until a process counts as stuck: the platform's grace
period plus one second."""

DRAIN_SERVICE_S = 3.0
"""How long a draining replica keeps serving."""

RECOVERY_WINDOW_S = 1.0
MAX_FAULTS = 6
REPLICA_FAULTS = (
    'full', 'fail', 'cut', 'lost', 'hang', 'extra', 'crossed', 'unvouched',
    'half_event', 'slow', 'rot',
)  # fmt: skip
STORE_FAULTS = ('down', 'busy', 'slow', 'silent', 'garbage')
ORIGIN_FAULTS = ('down', 'corrupt', 'wrong_digest')
SLOW_ANSWER_S = 0.4


@frozen
class Disturbance:
    """A period in which a process was disturbed; an empty name means all.

    ``reset_to`` names the other end of a link whose connections were reset.
    """

    name: str
    began_at: float
    ended_at: float
    is_fatal: bool = False
    is_freeze: bool = False
    reset_to: str = ''


@define(eq=False)
class PlatformChaos:
    """Injects faults until a deadline and records which processes they hit."""

    fleet: PlatformFleet
    rng: random.Random
    log_line: Callable[[str], None]
    fault_counts: Counter[str] = field(factory=Counter)
    disturbances: list[Disturbance] = field(factory=list)
    problems: list[str] = field(factory=list)
    restarts: list[tuple[str, float]] = field(factory=list)
    """Name and time of each start of a process after its first."""

    terminations: list[tuple[str, float]] = field(factory=list)
    """Name and time of each SIGTERM."""

    _busy: set[str] = field(factory=set)

    async def run(self, ends_at: float) -> None:
        """Inject faults; all of them have ended when this returns."""
        injectors = (
            self._kill, self._freeze, self._restart, self._hup,
            self._delay, self._silence, self._reset, self._replica_fault,
            self._replica_fault, self._store_fault, self._origin_fault,
            self._compact, self._leave, self._crash, self._version,
            self._keys,
        )  # fmt: skip
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < ends_at:
                injector = self.rng.choice(injectors)
                group.create_task(self._inject(injector))
                await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL_S))

    def was_disturbed(
        self, name: str, began_at: float, ended_at: float
    ) -> bool:
        """Return whether a process, or a shared dependency, was disturbed."""
        return any(
            disturbance.name in {name, ''}
            and disturbance.began_at <= ended_at
            and disturbance.ended_at >= began_at
            for disturbance in self.disturbances
        )

    def was_killed(self, name: str, began_at: float, ended_at: float) -> bool:
        """Return whether a process was killed within a period."""
        return any(
            disturbance.is_fatal
            and disturbance.name == name
            and began_at <= disturbance.began_at <= ended_at
            for disturbance in self.disturbances
        )

    def was_frozen(self, name: str, began_at: float, ended_at: float) -> bool:
        """Return whether a process was frozen at some time of a period."""
        return any(
            disturbance.is_freeze
            and disturbance.name == name
            and disturbance.began_at <= ended_at
            and disturbance.ended_at >= began_at
            for disturbance in self.disturbances
        )

    def was_reset(
        self, source: str, target: str, began_at: float, ended_at: float
    ) -> bool:
        """Return whether the connections of a link were reset in a period."""
        return any(
            (disturbance.name, disturbance.reset_to) == (source, target)
            and began_at <= disturbance.began_at <= ended_at
            for disturbance in self.disturbances
        )

    async def _inject(self, injector: Callable[[], Awaitable[str]]) -> None:
        summary = await injector()
        if summary:
            self.fault_counts[injector.__name__.strip('_')] += 1
            self.log_line(summary)

    def choose_undisturbed_host(
        self, rng: random.Random, *, entry: bool | None = None
    ) -> Host | None:
        """Choose a random host that no other signal affects."""
        hosts = [
            host
            for host in self.fleet.hosts.values()
            if host.name not in self._busy and entry in {None, host.is_entry}
        ]
        return rng.choice(hosts) if hosts else None

    def _record_disturbance(
        self,
        name: str,
        began_at: float,
        *,
        is_freeze: bool = False,
        reset_to: str = '',
    ) -> None:
        self.disturbances.append(
            Disturbance(
                name,
                began_at,
                time.monotonic(),
                is_freeze=is_freeze,
                reset_to=reset_to,
            )
        )

    async def _kill(self) -> str:
        host = self.choose_undisturbed_host(self.rng)
        if host is None:
            return ''
        self._busy.add(host.name)
        began_at = time.monotonic()
        self.disturbances.append(
            Disturbance(host.name, began_at, began_at, is_fatal=True)
        )
        host.process.kill()
        await asyncio.sleep(self.rng.uniform(*DOWNTIME_S))
        host.process.start()
        self.restarts.append((host.name, time.monotonic()))
        self._record_disturbance(host.name, began_at)
        self._busy.discard(host.name)
        return f'killed {host.name}'

    async def _freeze(self) -> str:
        return await self.freeze(self.rng, FAULT_DURATION_S)

    async def freeze(
        self,
        rng: random.Random,
        duration_s: tuple[float, float],
        *,
        entry: bool | None = None,
    ) -> str:
        """Suspend a random host for a random duration."""
        host = self.choose_undisturbed_host(rng, entry=entry)
        if host is None:
            return ''
        self._busy.add(host.name)
        began_at = time.monotonic()
        host.process.freeze()
        await asyncio.sleep(rng.uniform(*duration_s))
        host.process.thaw()
        self._record_disturbance(host.name, began_at, is_freeze=True)
        self._busy.discard(host.name)
        return f'froze {host.name}'

    async def _restart(self) -> str:
        """Restart a process with SIGTERM; no request may be cut off."""
        host = self.choose_undisturbed_host(self.rng)
        if host is None:
            return ''
        self._busy.add(host.name)
        self.terminations.append((host.name, time.monotonic()))
        host.process.terminate()
        code = await host.process.ended(STOP_TIMEOUT_S)
        if not host.ended_cleanly(code):
            self.problems.append(f'{host.name} ended with {code}')
            host.process.kill()
        host.process.start()
        self.restarts.append((host.name, time.monotonic()))
        self._busy.discard(host.name)
        return f'restarted {host.name}'

    async def _hup(self) -> str:
        return self.hang_up(self.rng)

    def hang_up(self, rng: random.Random, *, entry: bool | None = None) -> str:
        """Send SIGHUP to a random host."""
        host = self.choose_undisturbed_host(rng, entry=entry)
        if host is None or not host.process.running:
            return ''
        host.process.hang_up()
        return f'SIGHUP to {host.name}'

    def _choose_link(self) -> tuple[str, str]:
        source = self.rng.choice(sorted(self.fleet.hosts))
        target = self.rng.choice(['store', *sorted(self.fleet.replicas)])
        return source, target

    async def _delay(self) -> str:
        source, target = self._choose_link()
        links = [
            self.fleet.relay.link(source, target),
            self.fleet.relay.link(target, source),
        ]
        began_at = time.monotonic()
        for link in links:
            link.delay_s = self.rng.uniform(0, MAX_LINK_DELAY_S)
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))
        for link in links:
            link.delay_s = 0
        self._record_disturbance(source, began_at)
        return f'delayed {source} - {target}'

    async def _silence(self) -> str:
        """Hold the bytes of one direction without an error on either side."""
        ends = self._choose_link()
        source, target = ends if self.rng.random() < 0.5 else ends[::-1]
        began_at = time.monotonic()
        self.fleet.relay.freeze(source, target)
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))
        self.fleet.relay.thaw(source, target)
        self._record_disturbance(ends[0], began_at)
        return f'silenced {source} > {target}'

    async def _reset(self) -> str:
        source, target = self._choose_link()
        pair = [frozenset((source, target))]
        began_at = time.monotonic()
        self.fleet.relay.cut(pair)
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))
        self.fleet.relay.heal(pair)
        self._record_disturbance(source, began_at, reset_to=target)
        return f'reset {source} - {target}'

    async def _replica_fault(self) -> str:
        name = self.rng.choice(sorted(self.fleet.replicas))
        fault = self.rng.choice(REPLICA_FAULTS)
        faults = self.fleet.replicas[name].replica.faults
        faults.switch_on(
            Fault(fault, self.rng.randint(1, MAX_FAULTS), SLOW_ANSWER_S)
        )
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))
        faults.switch_off(fault)
        return f'{fault} at {name}'

    async def _store_fault(self) -> str:
        fault = self.rng.choice(STORE_FAULTS)
        began_at = time.monotonic()
        self.fleet.store.faults.switch_on(Fault(fault, None, SLOW_ANSWER_S))
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))
        self.fleet.store.faults.switch_off(fault)
        self._record_disturbance('', began_at)
        return f'store {fault}'

    async def _origin_fault(self) -> str:
        fault = self.rng.choice(ORIGIN_FAULTS)
        self.fleet.origin.faults.switch_on(Fault(fault))
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))
        self.fleet.origin.faults.switch_off(fault)
        return f'origin {fault}'

    async def _compact(self) -> str:
        self.fleet.store.compact()
        return 'store forgot its history'

    def reserve_replica(self, rng: random.Random) -> str:
        """Reserve a random replica that no other fault ends; empty if none."""
        names = [
            name
            for name in sorted(self.fleet.replicas)
            if name not in self._busy
        ]
        if not names:
            return ''
        chosen = rng.choice(names)
        self._busy.add(chosen)
        return chosen

    def release_replica(self, name: str) -> None:
        """Allow other faults to end a replica again."""
        self._busy.discard(name)

    async def _leave(self) -> str:
        """Drain a replica, keep it serving for a while, then replace it."""
        name = self.reserve_replica(self.rng)
        if not name:
            return ''
        self.fleet.list_replica(name, 'draining')
        await asyncio.sleep(DRAIN_SERVICE_S)
        await self.fleet.replace(name)
        self.release_replica(name)
        return f'{name} left, and another came'

    async def _crash(self) -> str:
        """End a replica at once; its record is removed later."""
        name = self.reserve_replica(self.rng)
        if not name:
            return ''
        await self.fleet.crash(name, self.rng.uniform(*DOWNTIME_S))
        self.release_replica(name)
        return f'{name} crashed, and another came'

    async def _version(self) -> str:
        self.fleet.announce_version()
        return f'named version {self.fleet.version}'

    async def _keys(self) -> str:
        """Publish a new key; callers use it once every process must know it."""
        self.fleet.keys.append(f'key-{len(self.fleet.keys)}')
        self.fleet.publish()
        return f'configuration {self.fleet.config_version}'
