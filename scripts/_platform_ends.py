"""Ends of versions: late copies, full engines and a large configuration.

Drawn from a random source of its own, so that a seed's other draws stay. None
of it is a fault of the network or of a process, and nothing is excused by it.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from _platform_chaos import Trouble
from _platform_fleet import STAND_INS, VERSION_S
from attrs import define

from crowrudder_standins._faults import Fault
from crowrudder_standins.origin import Pacer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from _platform_chaos import PlatformChaos
    from _platform_fleet import PlatformFleet

NAMED_AFTER_S = (0.0, 1.2)
"""Early enough for the version before it to end under load."""

COPY_S = (2.5, 7.0)
"""A whole copy from the origin takes so long: some engines are in time with
a part alone, some with nothing."""

FULL_FROM_S = (1.0, 2.6)
"""Engines get slow so long before the end: entries send until 0.6 s before it,
to an engine that seems idle."""

SLOW_S = (0.8, 2.6)
"""How long a run holds its slot: some past the end."""

SLOW_RUNS = 24
"""More than the slots of an engine and its queue."""

AFTER_S = 0.6
"""Publications go on so long after the end."""

GAP_S = (0.06, 0.4)
"""Between two publications of a configuration as a version ends."""

SHARE_LARGE = 0.7
SHARE_LARGE_BEFORE = 0.3
LOOK_S = 0.02
STOOD_STILL_S = 0.1
"""A loop that wakes later than this can't take an order to load before the
end: agents give it 0.4 s before, what they may need of that is 0.3 s."""


@define(eq=False)
class Ends:
    """Names a version and brings trouble about its predecessor's end."""

    fleet: PlatformFleet
    rng: random.Random
    chaos: PlatformChaos
    say: Callable[[str], None]

    async def run(self, ends_at: float) -> None:
        """Play one end, and go on to look at this process until a time."""
        watch = asyncio.create_task(self.watch())
        try:
            await self.play(ends_at)
            await asyncio.sleep(max(ends_at - time.monotonic(), 0))
        finally:
            watch.cancel()

    async def play(self, ends_at: float) -> None:
        """Bring an end about; what it changed is as before in the end."""
        fleet = self.fleet
        if self.rng.random() < SHARE_LARGE_BEFORE:
            self._publish(is_large=True)
        await asyncio.sleep(self.rng.uniform(*NAMED_AFTER_S))
        copy_s = self.rng.uniform(*COPY_S)
        fleet.origin.pacer = Pacer(
            fleet.origin.count * fleet.origin.size / copy_s
        )
        fleet.name_version()
        newest, end_at = (
            fleet.version,
            fleet.named_at[fleet.version] + VERSION_S,
        )
        self.say(f'named version {fleet.version}, a copy in {copy_s:.1f} s')
        full_at = end_at - self.rng.uniform(*FULL_FROM_S)
        await asyncio.sleep(max(min(full_at, ends_at) - time.monotonic(), 0))
        full = self.fill(newest)
        is_large = self.rng.random() < SHARE_LARGE
        before = fleet.config_version
        while time.monotonic() < min(end_at + AFTER_S, ends_at):
            self._publish(is_large=is_large)
            await asyncio.sleep(self.rng.uniform(*GAP_S))
        fleet.origin.pacer = Pacer(0)
        self.say(
            f'end as of version {newest}: slow {full}, '
            f'{fleet.config_version - before} configurations, {is_large=}'
        )

    def fill(self, version: int) -> list[str]:
        """Let runs at engines that lack a version hold their slots."""
        found = []
        for name, life in sorted(self.fleet.replicas.items()):
            slow_s = self.rng.uniform(*SLOW_S)
            if 0 < life.replica.whole_weights < version:
                fault = Fault('slow', SLOW_RUNS, slow_s)
                life.replica.faults.switch_on(fault)
                found.append(name)
        return found

    async def watch(self) -> None:
        """Note when this process, and so all stand-ins, stood still."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LOOK_S)
            if time.monotonic() - before > LOOK_S + STOOD_STILL_S:
                self.chaos.troubles.append(
                    Trouble(STAND_INS, before, time.monotonic())
                )

    def _publish(self, *, is_large: bool) -> None:
        self.fleet.is_large = is_large
        self.fleet.publish()
