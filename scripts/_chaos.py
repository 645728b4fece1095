"""Random faults of a fleet, drawn from a seed, each undone after a while."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from _caller import Answer
    from _fleet import Fleet, Host, Outside, Process

_ENGINE_FAULTS = (
    'stall', 'answer_late', 'answer_crossed', 'cut', 'corrupt_text',
    'corrupt_chunk', 'lie_about_load', 'freeze',
)  # fmt: skip
_PLATFORM_FAULTS = (
    'down', 'stale', 'slow', 'garbage', 'half', 'flapping', 'rebuilt',
)  # fmt: skip
_ORIGIN_FAULTS = ('down', 'stall', 'corrupt')
_PLAIN_FAULTS = ('late', 'cut', 'freeze', 'crossed')
_PAUSE_S = (0.2, 1.5)
_LASTS_S = (0.3, 4.0)
_AT_ONCE = 2
_MOST_HITS = 3


@frozen
class Kill:
    """SIGKILL of a process, started again when the fault ends."""

    process: Process


@frozen
class Freeze:
    """SIGSTOP of a process, let go when the fault ends."""

    process: Process


@frozen
class StandinFault:
    """A fault that a stand-in plays."""

    outside: Outside
    name: str
    count: int


Fault = Kill | Freeze | StandinFault


def told(fault: Fault) -> str:
    """Describe a fault for the log."""
    match fault:
        case Kill(process=process):
            return f'kill {process.name}'
        case Freeze(process=process):
            return f'freeze {process.name}'
        case StandinFault(outside=outside, name=name, count=count):
            return f'{outside.process.name} {name} x{count}'


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
    """Plays faults on a fleet, two at once at most."""

    fleet: Fleet
    rng: random.Random
    say: Callable[[str], None]
    played: Counter[str] = field(factory=Counter)
    endings: list[Ending] = field(factory=list)
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

    def _draw(self) -> Fault:
        while True:
            fault = self._draw_any()
            if self._target(fault).name not in self._hit:
                return fault

    def _draw_any(self) -> Fault:
        host = self.rng.choice(self.fleet.hosts)
        upstream = self.rng.choice(self.fleet.agents).upstream
        process = self.rng.choice((host.process, *_process_of(upstream)))
        match self.rng.randrange(6):
            case 0:
                return Kill(process)
            case 1:
                return Freeze(process)
            case 2:
                return self._standin(self.fleet.platform, _PLATFORM_FAULTS)
            case 3:
                return self._standin(self.fleet.origin, _ORIGIN_FAULTS)
            case _:
                agent = self.rng.choice(self.fleet.agents)
                return self._upstream_fault(agent)

    def _upstream_fault(self, agent: Host) -> Fault:
        if agent.upstream is None:
            return Freeze(agent.process)
        names = _ENGINE_FAULTS if agent.is_engine else _PLAIN_FAULTS
        return self._standin(agent.upstream, names)

    def _standin(self, outside: Outside, names: tuple[str, ...]) -> Fault:
        count = self.rng.randint(1, _MOST_HITS)
        return StandinFault(outside, self.rng.choice(names), count)

    def _target(self, fault: Fault) -> Process:
        match fault:
            case Kill(process=process) | Freeze(process=process):
                return process
            case StandinFault(outside=outside):
                return outside.process

    async def _play(self, fault: Fault, lasts_s: float) -> None:
        name = self._target(fault).name
        self._hit.add(name)
        self.played[type(fault).__name__] += 1
        self.say(f'{told(fault)} for {lasts_s:.1f} s')
        match fault:
            case Kill(process=process):
                await self._kill(process, lasts_s)
            case Freeze(process=process):
                process.freeze()
                await asyncio.sleep(lasts_s)
                process.thaw()
            case StandinFault():
                await self._standin_fault(fault, lasts_s)
        self._hit.discard(name)

    async def _kill(self, process: Process, lasts_s: float) -> None:
        from_s = time.monotonic()
        process.kill()
        await asyncio.sleep(lasts_s)
        process.start()
        self.endings.append(Ending(process.name, from_s, time.monotonic()))

    async def _standin_fault(self, fault: StandinFault, lasts_s: float) -> None:
        outside = fault.outside
        await self.fleet.fault(outside, fault.name, count=fault.count)
        await asyncio.sleep(lasts_s)
        await self.fleet.fault(outside, fault.name, on=False)


def _process_of(outside: Outside | None) -> tuple[Process, ...]:
    return () if outside is None else (outside.process,)
