"""Answers of replicas by framing and end while a platform fleet runs.

Uses its own random generator, so that it doesn't change a seed's other random
choices.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_standins._faults import Fault
from crowrudder_standins.fleet_replica import stream_of

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection

    from _platform_fleet import PlatformFleet
    from _platform_load import RequestResult

    from crowrudder_standins.fleet_replica import FleetReplica, Run

FRAMINGS = ('unframed', 'unframed', 'sized', '')
ENDS = ('', 'half_event', 'half_first', 'head_only', 'cut')
RESET_SHARE = 0.5
"""Share of the drops, and of the crashes, that reset their connections."""

DURATION_S = (0.5, 2.0)
INTERVAL_S = (0.05, 0.3)
MAX_DROPS = 6
EVENT_END = b'\n\n'


@define(eq=False)
class BodyEnds:
    """Draws how replicas frame their answers and end them."""

    fleet: PlatformFleet
    rng: random.Random
    log_line: Callable[[str], None]
    counts: Counter[str] = field(factory=Counter)

    async def run(self, ends_at: float) -> None:
        """Change the answers of one replica after the other; they overlap."""
        self.fleet.is_crash_reset = self._is_reset
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < ends_at:
                group.create_task(self._change_answers())
                await asyncio.sleep(self.rng.uniform(*INTERVAL_S))

    async def _change_answers(self) -> None:
        name = self.rng.choice(sorted(self.fleet.replicas))
        faults = self.fleet.replicas[name].replica.faults
        framing, end = self.rng.choice(FRAMINGS), self.rng.choice(ENDS)
        amount = self.rng.randint(0, 1)
        drawn = [Fault(framing, None, amount)] if framing else []
        if end:
            drawn.append(Fault(end, self.rng.randint(1, MAX_DROPS)))
        if self._is_reset():
            drawn.append(Fault('reset'))
        for fault in drawn:
            faults.switch_on(fault)
        names = [each.name for each in drawn]
        self.counts[' '.join(names)] += 1
        self.log_line(f'{name} answers {" ".join(names) or "as usual"}')
        await asyncio.sleep(self.rng.uniform(*DURATION_S))
        for each in names:
            faults.switch_off(each)

    def _is_reset(self) -> bool:
        return self.rng.random() < RESET_SHARE


def looks_ended(
    each: RequestResult, runs: Collection[tuple[FleetReplica, Run]]
) -> bool:
    """Return whether nothing told the end of a stream from its truncation.

    The run that sent its last event had neither a length nor chunks, and an
    orderly end of its connection between two events.
    """
    if not each.kind.is_stream or not each.body.endswith(EVENT_END):
        return False
    if not stream_of(each.request_id).startswith(each.body):
        return False
    events = each.body.count(EVENT_END)
    return any(_has_ended_after(events, replica, run) for replica, run in runs)


def _has_ended_after(events: int, replica: FleetReplica, run: Run) -> bool:
    """Return whether a run ended after some events, without a trace of it."""
    if not run.is_unframed:
        return False
    # A crashed replica goes on with its runs; what it sends reaches nobody.
    if run.began_at <= replica.crashed_at <= run.ended_at:
        return replica.crashed_by == 'fin' and run.last_event >= events
    return run.cut_by == 'fin' and run.last_event == events
