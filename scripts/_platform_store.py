"""A store that comes back from a copy while a platform fleet runs.

Uses its own random generator, so that it doesn't change a seed's other random
choices.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING

from _platform_chaos import Disturbance
from _platform_fleet import CONFIG_S
from _platform_load import Caller, RouteKind
from attrs import define, field, frozen

from crowrudder_standins._faults import Fault

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from _platform_chaos import PlatformChaos
    from _platform_checks import Verdict
    from _platform_fleet import PlatformFleet, ReplicaIncarnation

FIRST_AFTER_S = (1.0, 5.0)
NEXT_AFTER_S = (0.5, 8.0)
"""Time from one return to the next copy: some returns overlap in their
effects."""

LOST_S = (0.2, 2.5)
AWAY_S = (0.0, 1.2)
DEAF_S = 1.0
WRITE_PAUSE_S = (0.0, 0.15)
"""Pause between two records that their writers write again."""

LAPSE_S = 1.5
"""Time after its return in which the store drops records without a writer."""

DEAF_SHARE = 0.3
PROBE_INTERVAL_S = 0.1
STABLE_S = 3.0
"""Time after a disturbance of the store until it counts as stable."""

MARGIN_S = 0.5
COUNTED_S = 1.0
MAX_CALLS = 25
"""Calls in the second after a return: 13 while changes are written, and three
of each watcher to find the new era, list and watch."""

CALLS_PER_START = 4
PROBE = RouteKind('/read/x', 'GET', is_once=False, is_stream=False)


@frozen
class StoreReturn:
    """A return of the store and the calls in the second after it."""

    at: float
    calls: int


@frozen
class Revocation:
    """A key that was withdrawn, and when the store had that for good."""

    key: str
    withdrawn_at: float


@define(eq=False)
class StoreReturns:
    """Restores the store from copies, and lets all writers write again."""

    fleet: PlatformFleet
    rng: random.Random
    chaos: PlatformChaos
    log_line: Callable[[str], None]
    counts: Counter[str] = field(factory=Counter)
    returns: list[StoreReturn] = field(factory=list)
    revocations: list[Revocation] = field(factory=list)
    probes: list[Caller] = field(factory=list)

    async def run(self, ends_at: float) -> None:
        """Restore the store again and again until a deadline."""
        self.fleet.extra_keys.append('withdrawn-0')
        self.fleet.publish()
        probing = asyncio.create_task(self._probe_forever())
        await asyncio.sleep(self.rng.uniform(*FIRST_AFTER_S))
        while time.monotonic() < ends_at - STABLE_S:
            await self._return_once()
            await asyncio.sleep(self.rng.uniform(*NEXT_AFTER_S))
        await asyncio.sleep(max(ends_at - time.monotonic(), 0))
        probing.cancel()

    async def _return_once(self) -> None:
        fleet, store = self.fleet, self.fleet.store
        copy = store.copy()
        if self.rng.random() < DEAF_SHARE:
            await self._deafen()
        self._withdraw_key()
        await asyncio.sleep(self.rng.uniform(*LOST_S))
        began_at = time.monotonic()
        store.faults.switch_on(Fault('down'))
        await asyncio.sleep(self.rng.uniform(*AWAY_S))
        store.faults.switch_off('down')
        store.restore(copy)
        counting = asyncio.create_task(self._count_calls())
        lost = len(fleet.keys)
        await self._write_again()
        await counting
        self.chaos.disturbances.append(
            Disturbance('', began_at, time.monotonic())
        )
        self.counts['returns'] += 1
        self.log_line(f'store back at {copy.revision}, {lost} keys')

    async def _deafen(self) -> None:
        """Let watches hear nothing while a change is made, then cut them."""
        began_at = time.monotonic()
        faults = self.fleet.store.faults
        faults.switch_on(Fault('deaf'))
        self.fleet.publish()
        await asyncio.sleep(DEAF_S)
        self.fleet.store.compact()
        faults.switch_off('deaf')
        self.chaos.disturbances.append(
            Disturbance('', began_at, time.monotonic())
        )
        self.counts['deaf'] += 1

    def _withdraw_key(self) -> None:
        key = self.fleet.extra_keys.pop()
        number = len(self.revocations) + 1
        self.fleet.extra_keys.append(f'withdrawn-{number}')
        self.fleet.publish()
        self.revocations.append(Revocation(key, time.monotonic()))

    async def _write_again(self) -> None:
        """Let the operator and the replicas write what the store lost."""
        writes = [
            self.fleet.publish_again,
            self.fleet.announce_again,
            *(
                lambda name=name: self.fleet.list_again(name)
                for name in sorted(self.fleet.replicas)
            ),
        ]
        self.rng.shuffle(writes)
        for write in writes:
            await asyncio.sleep(self.rng.uniform(*WRITE_PAUSE_S))
            write()
        if self.rng.random() < 0.5:
            self.fleet.publish()
        await asyncio.sleep(LAPSE_S)
        self.fleet.lapse_ended()

    async def _count_calls(self) -> None:
        at, before = time.monotonic(), self.fleet.store.calls.total()
        await asyncio.sleep(COUNTED_S)
        calls = self.fleet.store.calls.total() - before
        self.returns.append(StoreReturn(at, calls))

    async def _probe_forever(self) -> None:
        """Ask each entry with the key that is withdrawn next, or was last."""
        number = 0
        while True:
            for name in sorted(self.fleet.entries()):
                number += 1
                await self._probe(name, number)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, name: str, number: int) -> None:
        keys = [each.key for each in self.revocations[-1:]]
        key = (keys or self.fleet.extra_keys)[0]
        caller = Caller(
            self.rng,
            lambda: {name: self.fleet.entries()[name]},
            lambda: key,
            (PROBE,),
        )
        await caller.send_request(f'probe-{number}:{key}')
        caller.close()
        self.probes.append(caller)


def check_store_returns(
    returns: StoreReturns, chaos: PlatformChaos, verdict: Verdict
) -> None:
    """Check that no withdrawn key is accepted again and calls are bounded."""
    for each in returns.returns:
        starts = sum(
            each.at - 1 <= at <= each.at + COUNTED_S for _, at in chaos.restarts
        )
        if each.calls > MAX_CALLS + CALLS_PER_START * starts:
            verdict.add_violation(
                'store flooded', f'{each.calls} calls in a second'
            )
    for revocation in returns.revocations:
        _check_revocation(revocation, returns, chaos, verdict)


def _check_revocation(
    revocation: Revocation,
    returns: StoreReturns,
    chaos: PlatformChaos,
    verdict: Verdict,
) -> None:
    refused_since: dict[str, float] = {}
    results = [
        each
        for caller in returns.probes
        for each in caller.results
        if each.request_id.endswith(f':{revocation.key}')
    ]
    for each in results:
        text = f'{revocation.key} at {each.entry}'
        starts = [at for name, at in chaos.restarts if name == each.entry]
        known_at = refused_since.get(each.entry)
        if each.status == 401 and each.began_at >= revocation.withdrawn_at:
            refused_since.setdefault(each.entry, each.ended_at)
        if each.status != 200:
            continue
        if known_at and not any(known_at <= at for at in starts):
            verdict.add_violation('went back', text)
        due_at = revocation.withdrawn_at + CONFIG_S + MARGIN_S
        late_s = each.began_at - due_at
        if late_s > 0 and not chaos.was_disturbed(
            each.entry, due_at - CONFIG_S - MARGIN_S - STABLE_S, each.began_at
        ):
            verdict.add_violation('withdrawn key', f'{text} {late_s:.2f} s')


def unused(
    incarnations: Iterable[ReplicaIncarnation], since: float
) -> list[str]:
    """Return the ids of replicas that ran nothing since a time."""
    return [
        incarnation.replica.id
        for incarnation in incarnations
        if not any(run.began_at >= since for run in incarnation.replica.runs)
    ]
