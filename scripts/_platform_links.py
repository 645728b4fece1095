"""Links whose queues delay requests, answers or both, while versions end.

Uses its own random generator, so that it doesn't change a seed's other random
choices. A queue is no fault of a process and excuses no violation: however
late bytes arrive, nothing may begin on a version after its end.
"""

from __future__ import annotations

import asyncio
import enum
import time
from collections import Counter
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from _platform_fleet import PlatformFleet
    from _relay import Link

QUEUE_S = (0.5, 2.0)
"""Delay of the bytes that enter a queue."""

NARROW_S = (1.0, 3.0)
"""How long a link has a queue."""

PAUSE_S = (0.2, 1.0)
RELEASE_S = 0.1
"""Time in which the relay notices that a queue has ended."""


class Direction(enum.Enum):
    """The direction of a host's link that has a queue."""

    INBOUND = 'into'
    OUTBOUND = 'out of'
    BOTH = 'into and out of'


@frozen
class QueuePeriod:
    """A period in which the links between entries and an engine had a queue."""

    engine: str
    queue_s: float
    began_at: float
    ended_at: float

    def delays(self, engine: str, sent_at: float) -> bool:
        """Return whether what was sent over an engine's links was queued."""
        return (
            engine == self.engine
            and self.began_at <= sent_at <= self.ended_at + RELEASE_S
        )


@define(eq=False)
class NarrowLinks:
    """Gives the links of engines' hosts queues, one host at a time.

    The connection of an engine's own agent isn't delayed: it stays on the host.
    """

    fleet: PlatformFleet
    rng: random.Random
    log_line: Callable[[str], None]
    counts: Counter[str] = field(factory=Counter)
    inbound: list[QueuePeriod] = field(factory=list)
    outbound: list[QueuePeriod] = field(factory=list)

    def sent_at(self, engine: str, arrived_at: float) -> float:
        """Return when a request was sent that arrived at an engine."""
        return min(
            (
                arrived_at - queue.queue_s
                for queue in self.inbound
                if queue.delays(engine, arrived_at - queue.queue_s)
            ),
            default=arrived_at,
        )

    def told_at(self, engine: str, answered_at: float) -> float:
        """Return when an engine's answer arrived that was sent then."""
        return max(
            (
                answered_at + queue.queue_s
                for queue in self.outbound
                if queue.delays(engine, answered_at)
            ),
            default=answered_at,
        )

    async def run(self, ends_at: float) -> None:
        """Delay one direction, then the other, then both, until a deadline."""
        while time.monotonic() < ends_at:
            for direction in Direction:
                await self._narrow(direction)
                await asyncio.sleep(self.rng.uniform(*PAUSE_S))
                if time.monotonic() >= ends_at:
                    return

    async def _narrow(self, direction: Direction) -> None:
        engines = [
            name
            for name, incarnation in sorted(self.fleet.replicas.items())
            if incarnation.service == 'llm'
        ]
        engine = self.rng.choice(engines)
        queue_s = self.rng.uniform(*QUEUE_S)
        links = self._links(engine, direction)
        for link in links:
            link.queue_s = queue_s
        self.counts[direction.value] += 1
        self.log_line(f'queue of {queue_s:.2f} s {direction.value} {engine}')
        began_at = time.monotonic()
        await asyncio.sleep(self.rng.uniform(*NARROW_S))
        for link in links:
            link.queue_s = 0
        period = QueuePeriod(engine, queue_s, began_at, time.monotonic())
        if direction is not Direction.OUTBOUND:
            self.inbound.append(period)
        if direction is not Direction.INBOUND:
            self.outbound.append(period)

    def _links(self, engine: str, direction: Direction) -> list[Link]:
        link = self.fleet.relay.link
        found = []
        for entry in self.fleet.entries():
            if direction is not Direction.OUTBOUND:
                found.append(link(entry, engine))
            if direction is not Direction.INBOUND:
                found.append(link(engine, entry))
        return found
