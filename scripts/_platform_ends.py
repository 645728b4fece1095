"""Version ends under slow copies, busy engines and large configurations.

Uses its own random generator, so that it doesn't change a seed's other random
choices. None of this is a network or process fault, so it excuses no violation.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from _platform_chaos import Disturbance
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
"""Early enough that the previous version ends under load."""

ORIGIN_COPY_S = (2.5, 7.0)
"""Duration of a complete copy from the origin: some engines have only a layer
range in time, some nothing."""

SLOW_BEFORE_END_S = (1.0, 2.6)
"""Time before the end at which engines become slow: until 0.6 s before the end,
entries send to an engine that seems idle."""

SLOW_RUN_S = (0.8, 2.6)
"""How long a run holds its slot; some runs hold it past the end."""

SLOW_RUNS = 24
"""More than an engine's slots and queue together."""

PUBLISH_AFTER_END_S = 0.6
"""How long configurations are still published after the end."""

PUBLISH_INTERVAL_S = (0.06, 0.4)
"""Interval between two configurations around a version end."""

LARGE_SHARE = 0.7
LARGE_SHARE_BEFORE = 0.3
POLL_S = 0.02
SUSPENSION_THRESHOLD_S = 0.1
"""A loop that wakes later than this can't accept a load order before the end:
agents send it 0.4 s before and may need 0.3 s of that."""


@define(eq=False)
class VersionEnds:
    """Announces a version and adds load around the end of the previous one."""

    fleet: PlatformFleet
    rng: random.Random
    chaos: PlatformChaos
    log_line: Callable[[str], None]

    async def run(self, ends_at: float) -> None:
        """Run one version end; watch this process for suspensions throughout."""
        watch = asyncio.create_task(self.watch_suspensions())
        try:
            await self.run_version_end(ends_at)
            await asyncio.sleep(max(ends_at - time.monotonic(), 0))
        finally:
            watch.cancel()

    async def run_version_end(self, ends_at: float) -> None:
        """Run one version end under load, then remove the origin's rate limit."""
        fleet = self.fleet
        if self.rng.random() < LARGE_SHARE_BEFORE:
            self._publish(is_large=True)
        await asyncio.sleep(self.rng.uniform(*NAMED_AFTER_S))
        copy_s = self.rng.uniform(*ORIGIN_COPY_S)
        fleet.origin.pacer = Pacer(
            fleet.origin.count * fleet.origin.size / copy_s
        )
        fleet.announce_version()
        newest, end_at = (
            fleet.version,
            fleet.announced_at[fleet.version] + VERSION_S,
        )
        self.log_line(
            f'named version {fleet.version}, a copy in {copy_s:.1f} s'
        )
        slow_at = end_at - self.rng.uniform(*SLOW_BEFORE_END_S)
        await asyncio.sleep(max(min(slow_at, ends_at) - time.monotonic(), 0))
        slowed = self.slow_engines(newest)
        is_large = self.rng.random() < LARGE_SHARE
        before = fleet.config_version
        while time.monotonic() < min(end_at + PUBLISH_AFTER_END_S, ends_at):
            self._publish(is_large=is_large)
            await asyncio.sleep(self.rng.uniform(*PUBLISH_INTERVAL_S))
        fleet.origin.pacer = Pacer(0)
        self.log_line(
            f'end as of version {newest}: slow {slowed}, '
            f'{fleet.config_version - before} configurations, {is_large=}'
        )

    def slow_engines(self, version: int) -> list[str]:
        """Slow down the runs of engines that lack a version; return their names."""
        found = []
        for name, incarnation in sorted(self.fleet.replicas.items()):
            slow_s = self.rng.uniform(*SLOW_RUN_S)
            if 0 < incarnation.replica.whole_weights < version:
                fault = Fault('slow', SLOW_RUNS, slow_s)
                incarnation.replica.faults.switch_on(fault)
                found.append(name)
        return found

    async def watch_suspensions(self) -> None:
        """Record when this process, and with it all stand-ins, was suspended."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(POLL_S)
            if time.monotonic() - before > POLL_S + SUSPENSION_THRESHOLD_S:
                self.chaos.disturbances.append(
                    Disturbance(STAND_INS, before, time.monotonic())
                )

    def _publish(self, *, is_large: bool) -> None:
        self.fleet.is_large = is_large
        self.fleet.publish()
