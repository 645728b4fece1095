"""Faults from outside the programs of a fleet: signals, links, stand-ins.

Series overlap: each begins after a short pause, whatever else still lasts.
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

PAUSE_S = (0.1, 0.8)
SHORT_S = (0.2, 1.2)
DOWN_S = (0.1, 1.0)
LONGEST_DELAY_S = 0.15
STOP_S = 9.0
"""From SIGTERM to a complaint: what the platform gives, and a second."""

LEAVE_S = 3.0
"""How long a replica that leaves goes on serving."""

RETURN_S = 1.0
MOST_FAULTS = 6
REPLICA_FAULTS = (
    'full', 'fail', 'cut', 'lost', 'hang', 'extra', 'crossed', 'unvouched',
    'half_event', 'slow', 'rot',
)  # fmt: skip
STORE_FAULTS = ('down', 'busy', 'slow', 'silent', 'garbage')
ORIGIN_FAULTS = ('down', 'corrupt', 'wrong_digest')
SLOW_S = 0.4


@frozen
class Trouble:
    """A time in which a process, or all for an empty name, was disturbed."""

    name: str
    began_at: float
    ended_at: float
    is_fatal: bool = False


@define(eq=False)
class PlatformChaos:
    """Plays faults until a time, and notes whom they met."""

    fleet: PlatformFleet
    rng: random.Random
    say: Callable[[str], None]
    played: Counter[str] = field(factory=Counter)
    troubles: list[Trouble] = field(factory=list)
    problems: list[str] = field(factory=list)
    _busy: set[str] = field(factory=set)

    async def run(self, ends_at: float) -> None:
        """Play faults; all of them are over when this returns."""
        plays = (
            self._kill, self._freeze, self._restart, self._hup,
            self._delay, self._silence, self._reset, self._replica_fault,
            self._replica_fault, self._store_fault, self._origin_fault,
            self._compact, self._leave, self._crash, self._version,
            self._keys,
        )  # fmt: skip
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < ends_at:
                play = self.rng.choice(plays)
                group.create_task(self._play(play))
                await asyncio.sleep(self.rng.uniform(*PAUSE_S))

    def met(self, name: str, began_at: float, ended_at: float) -> bool:
        """Tell whether a process, or what all depend on, was disturbed."""
        return any(
            trouble.name in {name, ''}
            and trouble.began_at <= ended_at
            and trouble.ended_at >= began_at
            for trouble in self.troubles
        )

    def died(self, name: str, began_at: float, ended_at: float) -> bool:
        """Tell whether a process was killed within a time."""
        return any(
            trouble.is_fatal
            and trouble.name == name
            and began_at <= trouble.began_at <= ended_at
            for trouble in self.troubles
        )

    async def _play(self, play: Callable[[], Awaitable[str]]) -> None:
        told = await play()
        if told:
            self.played[play.__name__.strip('_')] += 1
            self.say(told)

    def _free_host(self, *, entry: bool | None = None) -> Host | None:
        """Draw a host at which no other signal is at work."""
        hosts = [
            host
            for host in self.fleet.hosts.values()
            if host.name not in self._busy and entry in {None, host.is_entry}
        ]
        return self.rng.choice(hosts) if hosts else None

    def _note(
        self, name: str, began_at: float, *, is_fatal: bool = False
    ) -> None:
        self.troubles.append(
            Trouble(name, began_at, time.monotonic(), is_fatal)
        )

    async def _kill(self) -> str:
        host = self._free_host()
        if host is None:
            return ''
        self._busy.add(host.name)
        began_at = time.monotonic()
        self.troubles.append(
            Trouble(host.name, began_at, began_at, is_fatal=True)
        )
        host.process.kill()
        await asyncio.sleep(self.rng.uniform(*DOWN_S))
        host.process.start()
        self._note(host.name, began_at)
        self._busy.discard(host.name)
        return f'killed {host.name}'

    async def _freeze(self) -> str:
        host = self._free_host()
        if host is None:
            return ''
        self._busy.add(host.name)
        began_at = time.monotonic()
        host.process.freeze()
        await asyncio.sleep(self.rng.uniform(*SHORT_S))
        host.process.thaw()
        self._note(host.name, began_at)
        self._busy.discard(host.name)
        return f'froze {host.name}'

    async def _restart(self) -> str:
        """End a process in an orderly way; nothing may be cut off."""
        host = self._free_host()
        if host is None:
            return ''
        self._busy.add(host.name)
        host.process.terminate()
        code = await host.process.ended(STOP_S)
        if not host.ended_well(code):
            self.problems.append(f'{host.name} ended with {code}')
            host.process.kill()
        host.process.start()
        self._busy.discard(host.name)
        return f'restarted {host.name}'

    async def _hup(self) -> str:
        host = self._free_host()
        if host is None or not host.process.running:
            return ''
        host.process.hang_up()
        return f'SIGHUP to {host.name}'

    def _link(self) -> tuple[str, str]:
        source = self.rng.choice(sorted(self.fleet.hosts))
        target = self.rng.choice(['store', *sorted(self.fleet.replicas)])
        return source, target

    async def _delay(self) -> str:
        source, target = self._link()
        links = [
            self.fleet.relay.link(source, target),
            self.fleet.relay.link(target, source),
        ]
        began_at = time.monotonic()
        for link in links:
            link.delay_s = self.rng.uniform(0, LONGEST_DELAY_S)
        await asyncio.sleep(self.rng.uniform(*SHORT_S))
        for link in links:
            link.delay_s = 0
        self._note(source, began_at)
        return f'delayed {source} - {target}'

    async def _silence(self) -> str:
        """Hold the bytes of one direction; nobody is told."""
        ends = self._link()
        source, target = ends if self.rng.random() < 0.5 else ends[::-1]
        began_at = time.monotonic()
        self.fleet.relay.freeze(source, target)
        await asyncio.sleep(self.rng.uniform(*SHORT_S))
        self.fleet.relay.thaw(source, target)
        self._note(ends[0], began_at)
        return f'silenced {source} > {target}'

    async def _reset(self) -> str:
        source, target = self._link()
        pair = [frozenset((source, target))]
        began_at = time.monotonic()
        self.fleet.relay.cut(pair)
        await asyncio.sleep(self.rng.uniform(*SHORT_S))
        self.fleet.relay.heal(pair)
        self._note(source, began_at)
        return f'reset {source} - {target}'

    async def _replica_fault(self) -> str:
        name = self.rng.choice(sorted(self.fleet.replicas))
        fault = self.rng.choice(REPLICA_FAULTS)
        faults = self.fleet.replicas[name].replica.faults
        faults.switch_on(Fault(fault, self.rng.randint(1, MOST_FAULTS), SLOW_S))
        await asyncio.sleep(self.rng.uniform(*SHORT_S))
        faults.switch_off(fault)
        return f'{fault} at {name}'

    async def _store_fault(self) -> str:
        fault = self.rng.choice(STORE_FAULTS)
        began_at = time.monotonic()
        self.fleet.store.faults.switch_on(Fault(fault, None, SLOW_S))
        await asyncio.sleep(self.rng.uniform(*SHORT_S))
        self.fleet.store.faults.switch_off(fault)
        self._note('', began_at)
        return f'store {fault}'

    async def _origin_fault(self) -> str:
        fault = self.rng.choice(ORIGIN_FAULTS)
        self.fleet.origin.faults.switch_on(Fault(fault))
        await asyncio.sleep(self.rng.uniform(*SHORT_S))
        self.fleet.origin.faults.switch_off(fault)
        return f'origin {fault}'

    async def _compact(self) -> str:
        self.fleet.store.compact()
        return 'store forgot its history'

    def _free_replica(self) -> str:
        names = [
            name
            for name in sorted(self.fleet.replicas)
            if name not in self._busy
        ]
        return self.rng.choice(names) if names else ''

    async def _leave(self) -> str:
        """Let a replica say that it leaves, serve on for a while, and go."""
        name = self._free_replica()
        if not name:
            return ''
        self._busy.add(name)
        self.fleet.list_replica(name, 'draining')
        await asyncio.sleep(LEAVE_S)
        await self.fleet.replace(name)
        self._busy.discard(name)
        return f'{name} left, and another came'

    async def _crash(self) -> str:
        """End a replica at once; its record lapses later."""
        name = self._free_replica()
        if not name:
            return ''
        self._busy.add(name)
        await self.fleet.crash(name, self.rng.uniform(*DOWN_S))
        self._busy.discard(name)
        return f'{name} crashed, and another came'

    async def _version(self) -> str:
        self.fleet.name_version()
        return f'named version {self.fleet.version}'

    async def _keys(self) -> str:
        """Add a key; callers use it once it has to be known."""
        self.fleet.keys.append(f'key-{len(self.fleet.keys)}')
        self.fleet.publish()
        return f'configuration {self.fleet.config_version}'
