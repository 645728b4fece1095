"""Replicas that leave, and replicas that ask for a pause, in a platform soak.

Uses its own random generator, so that it doesn't change a seed's other random
choices.
"""

from __future__ import annotations

import asyncio
import random
import time
from itertools import chain
from typing import TYPE_CHECKING

from _platform_chaos import Disturbance
from attrs import define, field, frozen

from crowrudder_standins._faults import Fault

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterator

    from _platform_chaos import PlatformChaos
    from _platform_checks import Verdict
    from _platform_fleet import PlatformFleet
    from _platform_links import NarrowLinks
    from _platform_load import RequestResult

    from crowrudder_standins.fleet_replica import FleetReplica

RECOVERY_S = 3.0
NOTICE_S = 0.5
"""Time after an answer from which on its statement must be respected."""

MAX_PAUSE_ARRIVALS = 2
LEAVE_DURATION_S = (2.5, 5.0)
PAUSES_S = ('0.8', '1.5', '3')
SHED_DURATION_S = (0.5, 2.0)
INJECTION_INTERVAL_S = (0.5, 2.5)
SILENT_STORE_SHARE = 0.5


@frozen
class Leave:
    """A replica that stated from a time on that it leaves."""

    replica: FleetReplica
    began_at: float


@define(eq=False)
class StatingReplicas:
    """Lets replicas leave or ask for pauses until a deadline."""

    fleet: PlatformFleet
    rng: random.Random
    chaos: PlatformChaos
    log_line: Callable[[str], None]
    leaves: list[Leave] = field(factory=list)

    async def run(self, ends_at: float) -> None:
        """Start both at random intervals; they may overlap."""
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < ends_at:
                injector = self.rng.choice((self._leave, self._pause))
                group.create_task(injector(ends_at))
                await asyncio.sleep(self.rng.uniform(*INJECTION_INTERVAL_S))

    async def _leave(self, ends_at: float) -> None:
        """Let a replica leave, often without a word in the store.

        Another incarnation follows at its address.
        """
        name = self.chaos.reserve_replica(self.rng)
        if not name:
            return
        replica = self.fleet.replicas[name].replica
        replica.stated.is_silent_to_agent = self.rng.random() < 0.5
        replica.stated.is_leaving = True
        began_at = time.monotonic()
        self.leaves.append(Leave(replica, began_at))
        self.log_line(f'{replica.id} says that it leaves')
        is_silent = self.rng.random() < SILENT_STORE_SHARE
        lasts_s = min(self.rng.uniform(*LEAVE_DURATION_S), ends_at - began_at)
        if is_silent:
            self.fleet.store.faults.switch_on(Fault('silent'))
        await asyncio.sleep(max(lasts_s, 0))
        if is_silent:
            self.fleet.store.faults.switch_off('silent')
            self.chaos.disturbances.append(
                Disturbance('', began_at, time.monotonic())
            )
        if self.fleet.replicas[name].replica is replica:
            await self.fleet.replace(name)
        self.chaos.release_replica(name)

    async def _pause(self, ends_at: float) -> None:
        name = self.rng.choice(sorted(self.fleet.replicas))
        replica = self.fleet.replicas[name].replica
        if replica.stated.pause_s:
            return
        replica.stated.pause_s = self.rng.choice(PAUSES_S)
        self.log_line(f'{replica.id} asks for {replica.stated.pause_s} s')
        lasts_s = self.rng.uniform(*SHED_DURATION_S)
        await asyncio.sleep(max(min(lasts_s, ends_at - time.monotonic()), 0))
        replica.stated.pause_s = ''


def check_statements(
    stating: StatingReplicas,
    results: Collection[RequestResult],
    verdict: Verdict,
    links: NarrowLinks,
) -> None:
    """Check that each entry respected what it was told, by arrivals.

    The store's disturbances excuse nothing: the entry was told by the replica.
    What was in a queue of a link counts from when it entered it, if it is a
    request, and from when it left it, if it is an answer that says so.
    """
    entries = {each.request_id: each.entry for each in results}
    for leave in stating.leaves:
        _check_leave(leave, stating, results, entries, verdict, links)
    for incarnation in stating.fleet.all_incarnations():
        _check_pauses(incarnation.replica, stating, entries, verdict, links)


def _engine_of(replica: FleetReplica) -> str:
    return replica.id.partition('.')[0]


def _check_leave(
    leave: Leave,
    stating: StatingReplicas,
    results: Collection[RequestResult],
    entries: dict[str, str],
    verdict: Verdict,
    links: NarrowLinks,
) -> None:
    told_at = _told_at(leave, results)
    # Requests for another replica, which get 421, don't count for one that leaves.
    arrivals = set(leave.replica.arrivals) - leave.replica.stated.misdirected
    verdict.ends['entries told of leaving'] += len(told_at)
    for at, request_id in sorted(arrivals):
        entry = entries.get(request_id, '')
        since = told_at.get(entry)
        sent_at = links.sent_at(_engine_of(leave.replica), at)
        if since is None or sent_at <= since + NOTICE_S:
            continue
        if not _is_excused(stating.chaos, entry, since, at):
            verdict.add_violation(
                'sent to one that said it leaves',
                f'{leave.replica.id} from {entry} {at - since:.2f} s after',
            )


def _told_at(
    leave: Leave, results: Collection[RequestResult]
) -> dict[str, float]:
    """Return when each entry first passed on an answer that says so."""
    ids = {
        request_id
        for at, request_id in leave.replica.arrivals
        if at >= leave.began_at
    }
    found: dict[str, float] = {}
    for each in results:
        if each.request_id in ids and each.states_leaving:
            before = found.get(each.entry, each.head_at)
            found[each.entry] = min(before, each.head_at)
    return found


def _check_pauses(
    replica: FleetReplica,
    stating: StatingReplicas,
    entries: dict[str, str],
    verdict: Verdict,
    links: NarrowLinks,
) -> None:
    for at, request_id, pause_s in replica.stated.pauses:
        entry = entries.get(request_id, '')
        if not entry:
            continue
        verdict.ends['pauses asked for'] += 1
        until = at + float(pause_s)
        engine = _engine_of(replica)
        noticed_at = links.told_at(engine, at) + NOTICE_S
        late = [
            arrived_at
            for arrived_at in _arrivals_of(entry, replica, entries)
            if noticed_at < arrived_at < until
            and noticed_at < links.sent_at(engine, arrived_at)
        ]
        if len(late) > MAX_PAUSE_ARRIVALS and not _is_excused(
            stating.chaos, entry, at, late[MAX_PAUSE_ARRIVALS]
        ):
            verdict.add_violation(
                'sent in a pause',
                f'{replica.id} got {len(late)} from {entry} in {pause_s} s',
            )


def _arrivals_of(
    entry: str, replica: FleetReplica, entries: dict[str, str]
) -> Iterator[float]:
    return (
        at
        for at, request_id in replica.arrivals
        if entries.get(request_id) == entry
    )


def _is_excused(
    chaos: PlatformChaos, entry: str, began_at: float, ended_at: float
) -> bool:
    """Return whether the entry itself was disturbed or restarted."""
    restarts = ((name, at, at) for name, at in chaos.restarts)
    disturbances = (
        (each.name, each.began_at, each.ended_at + RECOVERY_S)
        for each in chaos.disturbances
    )
    return any(
        name == entry and first <= ended_at and last >= began_at
        for name, first, last in chain(restarts, disturbances)
    )
