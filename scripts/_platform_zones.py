"""Evacuations of failure domains, and cold replicas, in a platform soak.

Uses its own random generator, so that it doesn't change a seed's other random
choices.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import defaultdict
from functools import partial
from operator import attrgetter
from typing import TYPE_CHECKING

from _platform_chaos import Disturbance
from _platform_classes import stages_of
from _platform_config import COLD_PER_S, COLD_S
from _platform_fleet import EVACUATION_S, ZONES
from attrs import define, field

from crowrudder_standins._cold import (
    COLD_EXCESS,
    COLD_EXTRA,
    WINDOW_S,
    WarmUp,
)
from crowrudder_standins._faults import Fault

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping, Sequence

    from _platform_chaos import PlatformChaos
    from _platform_checks import Verdict
    from _platform_fleet import PlatformFleet
    from _platform_links import NarrowLinks

    from crowrudder_standins.fleet_replica import FleetReplica

PREFIX = 'op/evacuate/'
OPERATORS = 2
"""Operators that evacuate independently: at most two of three failure domains."""

EVACUATION_INTERVAL_S = (0.5, 3.0)
SHORT_SHARE = 0.25
SHORT_S = (0.1, 0.8)
EVACUATED_S = (EVACUATION_S + 0.5, EVACUATION_S + 5.0)
"""Longer than the bound, within which entries may still send."""

AWAY_SHARE = 0.25
AWAY_S = (0.3, 1.5)
REWRITE_S = (0.0, 0.5)
"""Time in which an operator writes again what a restored store lost."""

POLL_S = 0.02
NOTICE_S = 2.0
"""Time after which entries know what the store has, also that a listed replica
has become cold."""

COLD_START_SHARE = 0.3
COLD_INTERVAL_S = (2.0, 6.0)


@define(eq=False)
class Evacuation:
    """An order as the store held it, from its acknowledgement to its end."""

    zone: str
    acknowledged_at: float = field(factory=time.monotonic)
    ended_at: float = 0


@define(eq=False)
class ZonesAndWarmUps:
    """Evacuates failure domains and makes engines cold until a deadline."""

    fleet: PlatformFleet
    rng: random.Random
    chaos: PlatformChaos
    log_line: Callable[[str], None]
    evacuations: list[Evacuation] = field(factory=list)
    warm_ups: list[tuple[str, WarmUp]] = field(factory=list)
    """Each with the id of its replica."""

    _ordered: dict[str, Evacuation] = field(factory=dict)
    _restarts: set[asyncio.Task[None]] = field(factory=set)

    async def run(self, ends_at: float) -> None:
        """Order and take back evacuations, and make engines cold."""
        self.fleet.on_new_replica = self._on_new_replica
        await asyncio.gather(
            *(self._operate(ends_at) for _ in range(OPERATORS)),
            self._cool(ends_at),
        )

    async def rewrite_forever(self) -> None:
        """Write again what the operators ordered after each restore."""
        era = self.fleet.store.era
        while True:
            await asyncio.sleep(POLL_S)
            if era == self.fleet.store.era:
                continue
            era = self.fleet.store.era
            for zone, lost in self._ordered.items():
                if PREFIX + zone not in self.fleet.store.records:
                    lost.ended_at = time.monotonic()
            await asyncio.sleep(self.rng.uniform(*REWRITE_S))
            self._rewrite()

    async def finish(self) -> None:
        """Wait for replicas that ended; leave no evacuation in the store."""
        await asyncio.gather(*self._restarts)
        self._rewrite()

    def _rewrite(self) -> None:
        for zone in ZONES:
            is_listed = PREFIX + zone in self.fleet.store.records
            if zone in self._ordered and not is_listed:
                self._order(zone)
            elif is_listed and zone not in self._ordered:
                self.fleet.store.remove(PREFIX + zone)

    def _order(self, zone: str) -> None:
        self.fleet.store.put(PREFIX + zone, b'{}')
        self._ordered[zone] = Evacuation(zone)
        self.evacuations.append(self._ordered[zone])

    async def _operate(self, ends_at: float) -> None:
        """Evacuate failure domains; the store may be away after an order."""
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.rng.uniform(*EVACUATION_INTERVAL_S))
            zone = self.rng.choice(list(ZONES))
            is_short = self.rng.random() < SHORT_SHARE
            lasts_s = self.rng.uniform(*(SHORT_S if is_short else EVACUATED_S))
            is_away = self.rng.random() < AWAY_SHARE
            away_s = self.rng.uniform(*AWAY_S) if is_away else 0
            until = min(time.monotonic() + lasts_s, ends_at)
            if zone in self._ordered or until <= time.monotonic():
                continue
            self._order(zone)
            self.log_line(f'{zone} evacuated, store away for {away_s:.2f} s')
            if is_away:
                await self._take_store_away(away_s)
            await asyncio.sleep(max(until - time.monotonic(), 0))
            self._take_back(zone)

    def _take_back(self, zone: str) -> None:
        """Make the engines of a failure domain cold, and remove the order."""
        ended = self._ordered.pop(zone)
        lasted_s = time.monotonic() - ended.acknowledged_at
        for name, incarnation in self.fleet.replicas.items():
            if incarnation.zone == zone and incarnation.service == 'llm':
                self._announce(name, 0 if lasted_s > EVACUATION_S else NOTICE_S)
        self.fleet.store.remove(PREFIX + zone)
        ended.ended_at = ended.ended_at or time.monotonic()
        self.log_line(f'{zone} no longer evacuated')

    async def _take_store_away(self, away_s: float) -> None:
        began_at = time.monotonic()
        self.fleet.store.faults.switch_on(Fault('down'))
        await asyncio.sleep(away_s)
        self.fleet.store.faults.switch_off('down')
        disturbance = Disturbance('', began_at, time.monotonic())
        self.chaos.disturbances.append(disturbance)

    async def _cool(self, ends_at: float) -> None:
        """Make listed engines cold."""
        engines = [
            name for name, each in self.fleet.replicas.items()
            if each.service == 'llm'
        ]  # fmt: skip
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.rng.uniform(*COLD_INTERVAL_S))
            self._announce(self.rng.choice(engines), NOTICE_S)

    def _announce(self, name: str, notice_s: float) -> None:
        incarnation = self.fleet.replicas[name]
        if incarnation.is_listed:
            self._begin(name, incarnation.replica, notice_s)
            self.fleet.list_again(name)

    def _on_new_replica(self, name: str, replica: FleetReplica) -> None:
        if replica.model and self.rng.random() < COLD_START_SHARE:
            self._begin(name, replica, 0)

    def _begin(self, name: str, replica: FleetReplica, notice_s: float) -> None:
        on_overrun = partial(self._on_overrun, name)
        warm_up = WarmUp(COLD_PER_S, notice_s + COLD_S, notice_s, on_overrun)
        replica.stated.warm_up = warm_up
        self.warm_ups.append((replica.id, warm_up))
        self.log_line(f'{replica.id} is cold, {notice_s=}')

    def _on_overrun(self, name: str) -> None:
        self.log_line(f'{name} ends: too many requests while cold')
        crash = self.fleet.crash(name, self.rng.uniform(*REWRITE_S))
        self._restarts.add(asyncio.create_task(crash))


def check_zones_and_warm_ups(
    zones: ZonesAndWarmUps, links: NarrowLinks, verdict: Verdict
) -> None:
    """Check that evacuations are in force and cold replicas get few requests."""
    for evacuation in zones.evacuations:
        _check_evacuation(evacuation, zones, links, verdict)
    arrivals = _arrivals_by_address(zones.fleet)
    for replica_id, warm_up in zones.warm_ups:
        overrun_at = warm_up.overrun_at or _stage_overrun_at(
            replica_id, zones, warm_up, arrivals
        )
        # Whoever knows of a new replica knows that it is cold; of others
        # entries learn it from the store.
        is_excused = warm_up.notice_s and overrun_at < known_at(
            warm_up.began_at, zones.chaos
        )
        if overrun_at and is_excused:
            verdict.ends['cold replicas ended, excused'] += 1
        elif overrun_at:
            verdict.add_violation(
                'too many while cold',
                f'{replica_id} got {warm_up.most} in a second, besides those '
                'as a later stage of a pipeline, '
                f'{overrun_at - warm_up.began_at:.2f} s cold',
            )
    verdict.ends['evacuations'] += len(zones.evacuations)
    verdict.ends['warm-ups'] += len(zones.warm_ups)
    verdict.ends['most requests while cold'] = max(
        (each.most for _, each in zones.warm_ups), default=0
    )


def _arrivals_by_address(fleet: PlatformFleet) -> dict[str, list[float]]:
    """Return when requests reached each address, also as a later stage."""
    found: dict[str, list[float]] = defaultdict(list)
    for incarnation in fleet.all_incarnations():
        for at, _, pipeline in incarnation.replica.stated.accepted:
            for stage in stages_of(pipeline, incarnation.address):
                found[stage].append(at)
    return {address: sorted(times) for address, times in found.items()}


def _stage_overrun_at(
    replica_id: str,
    zones: ZonesAndWarmUps,
    warm_up: WarmUp,
    arrivals: Mapping[str, Sequence[float]],
) -> float:
    """Return when a cold replica got too many with those as a later stage.

    The replica itself counts only requests that reach it directly: stand-ins
    run all layers at the first stage. The result is 0 if it never did.
    """
    incarnation = next(
        (
            each
            for each in zones.fleet.all_incarnations()
            if each.replica.id == replica_id
        ),
        None,
    )
    if incarnation is None:
        return 0
    next_began_at = min(
        (
            other.began_at
            for other_id, other in zones.warm_ups
            if other_id == replica_id and other.began_at > warm_up.began_at
        ),
        default=math.inf,
    )
    until = min(
        warm_up.began_at + warm_up.lasts_s,
        incarnation.replica.crashed_at,
        next_began_at,
    )
    since = warm_up.began_at + warm_up.notice_s
    times = [
        at
        for at in arrivals.get(incarnation.address, ())
        if since <= at < until
    ]
    most = int(warm_up.per_s * COLD_EXCESS + COLD_EXTRA)
    return next(
        (
            last
            for first, last in zip(times, times[most:], strict=False)
            if last - first < WINDOW_S
        ),
        0,
    )


def known_at(since: float, chaos: PlatformChaos) -> float:
    """Return when entries must know what was written to the store.

    It is when the store has been undisturbed for `NOTICE_S`; what disturbs it
    later, or disturbs an entry, excuses nothing.
    """
    at = since
    for each in sorted(chaos.disturbances, key=attrgetter('began_at')):
        if not each.name and each.began_at < at + NOTICE_S:
            at = max(at, each.ended_at)
    return at + NOTICE_S


def _check_evacuation(
    evacuation: Evacuation,
    zones: ZonesAndWarmUps,
    links: NarrowLinks,
    verdict: Verdict,
) -> None:
    """Check requests that had a stage of their pipeline in a failure domain."""
    ordered_at = evacuation.acknowledged_at
    due_at = known_at(ordered_at, zones.chaos)
    is_away = due_at > ordered_at + EVACUATION_S
    due_at = max(due_at, ordered_at + EVACUATION_S)
    verdict.ends['orders while the store was away'] += is_away
    verdict.ends['orders past the bound'] += evacuation.ended_at > due_at
    incarnations = zones.fleet.all_incarnations()
    evacuated = {
        each.address for each in incarnations if each.zone == evacuation.zone
    }
    for incarnation in incarnations:
        replica = incarnation.replica
        name = replica.id.partition('.')[0]
        for at, request_id, pipeline in replica.stated.accepted:
            sent_at = links.sent_at(name, at)
            # What arrives after the end may have been sent after it, too.
            if sent_at < ordered_at or at > evacuation.ended_at:
                continue
            if not stages_of(pipeline, incarnation.address) & evacuated:
                continue
            late_s = sent_at - ordered_at
            if not is_away:
                counter = 'last request after an order, in ms'
                late_ms = round(late_s * 1000)
                verdict.ends[counter] = max(verdict.ends[counter], late_ms)
            if sent_at > due_at:
                verdict.add_violation(
                    'sent to an evacuated domain',
                    f'{request_id} at {replica.id} {late_s:.2f} s after',
                )
