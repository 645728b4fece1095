"""Upstreams that fall silent and go on, and streams that entries cut then.

Uses its own random generator, so that it doesn't change a seed's other random
choices.
"""

from __future__ import annotations

import asyncio
import json
import math
import random
import time
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

from _platform_load import DEADLINE_S, ROUTE_KINDS, Caller
from attrs import define, field, frozen

from crowrudder_standins._faults import Fault
from crowrudder_standins.fleet_replica import EVENT_INTERVAL_S, EVENTS

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Iterator

    from _platform_chaos import PlatformChaos
    from _platform_checks import Verdict
    from _platform_fleet import PlatformFleet
    from _platform_load import RequestResult

    from crowrudder_standins.fleet_replica import FleetReplica, Run

SERVICES = ('llm', 'llm', 'llm', 'llm', 'plain')
SILENCE_S = (0.5, 2.5)
INTERVAL_S = (0.2, 1.2)
SLOW_EVENT_INTERVAL_S = 0.1
"""Interval of events before a silence, so that more streams are open in it."""

MAX_SLOW_S = 1.5
MIN_STREAMS = 6
"""Open streams at which a silence begins earlier."""

POLL_S = 0.02
STREAMS = 24
"""Streams that callers begin shortly before a silence."""

REFUSED_S = 0.1
"""Wait of a caller after a refusal."""

REFUSAL_SHARE = 0.3
"""Share of the silences in which the other upstreams refuse requests."""

PUBLISH_SHARE = 0.5
DEADLINE_MARGIN_S = 0.2
"""An entry ends a stream earlier than its deadline by its way to the caller."""


@frozen
class Silence:
    """A period in which a replica was silent."""

    replica: str
    began_at: float
    ended_at: float


@define(eq=False)
class Silences:
    """Lets one, some or all upstreams of a service fall silent at once."""

    fleet: PlatformFleet
    rng: random.Random
    key: Callable[[], str]
    log_line: Callable[[str], None]
    callers: list[Caller] = field(factory=list)
    periods: list[Silence] = field(factory=list)
    counts: Counter[str] = field(factory=Counter)

    async def run(self, ends_at: float) -> None:
        """Begin a silence some time after the end of the previous one."""
        routes = tuple(
            kind for kind in ROUTE_KINDS if kind.is_stream and not kind.is_once
        )
        self.callers = [
            Caller(
                random.Random(self.rng.getrandbits(32)),
                self.fleet.entries,
                self.key,
                routes,
            )
            for _ in range(STREAMS)
        ]
        number = 0
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.rng.uniform(*INTERVAL_S))
            number += 1
            until = time.monotonic() + MAX_SLOW_S
            await asyncio.gather(
                self._fall_silent(self.rng.choice(SERVICES), until),
                *(
                    _stream_once(caller, f'silence-{number}-{index}', until)
                    for index, caller in enumerate(self.callers)
                ),
            )
        for caller in self.callers:
            caller.close()

    async def _fall_silent(self, service: str, at: float) -> None:
        slowed = self._replicas(service)
        for replica in slowed:
            replica.event_interval_s = SLOW_EVENT_INTERVAL_S
        while time.monotonic() < at:
            if self._streams(service) >= MIN_STREAMS:
                break
            await asyncio.sleep(POLL_S)
        # Those with the most streams come first, the others in any order.
        replicas = self._replicas(service)
        self.rng.shuffle(replicas)
        replicas.sort(key=_open_streams, reverse=True)
        count = self.rng.choice((1, (len(replicas) + 1) // 2, len(replicas)))
        silent, others = replicas[:count], replicas[count:]
        refusing = others if self.rng.random() < REFUSAL_SHARE else []
        does_publish = self.rng.random() < PUBLISH_SHARE
        duration_s = self.rng.uniform(*SILENCE_S)
        began_at = time.monotonic()
        streams = sum(map(_open_streams, silent))
        self.counts['streams'] += streams
        _switch(silent, 'stall', is_on=True)
        _switch(refusing, 'full', is_on=True)
        if does_publish:
            self.fleet.publish()
        await asyncio.sleep(duration_s)
        _switch(silent, 'stall', is_on=False)
        _switch(refusing, 'full', is_on=False)
        for replica in slowed:
            replica.event_interval_s = EVENT_INTERVAL_S
        now = time.monotonic()
        self.periods += [Silence(each.id, began_at, now) for each in silent]
        self.counts[f'{count} of {len(replicas)} {service}'] += 1
        names = ', '.join(each.id for each in silent)
        self.log_line(
            f'silent for {duration_s:.2f} s amid {streams} streams: {names}; '
            f'{len(refusing)} others refused, {does_publish=}'
        )

    def _replicas(self, service: str) -> list[FleetReplica]:
        return [
            incarnation.replica
            for _, incarnation in sorted(self.fleet.replicas.items())
            if incarnation.service == service
        ]

    def _streams(self, service: str) -> int:
        return sum(map(_open_streams, self._replicas(service)))

    def describe(self, replica: str, began_at: float, ended_at: float) -> str:
        """Return when a replica was silent, in seconds after a time."""
        found = [
            f'{each.began_at - began_at:.2f} to {each.ended_at - began_at:.2f}'
            for each in self.periods
            if each.replica == replica
            and each.began_at <= ended_at
            and each.ended_at >= began_at
        ]
        return f'silent {", ".join(found)} s' if found else 'never silent'


async def _stream_once(caller: Caller, name: str, until: float) -> None:
    """Send requests until one is served, or until a time."""
    number = 0
    while time.monotonic() < until:
        number += 1
        result = await caller.send_request(f'{name}-{number}')
        if result.status == 200:
            return
        await asyncio.sleep(REFUSED_S)


def _open_streams(replica: FleetReplica) -> int:
    return sum(
        run.last_event > run.resumed_after and not math.isfinite(run.ended_at)
        for run in replica.runs
    )


def _switch(
    replicas: Iterable[FleetReplica], name: str, *, is_on: bool
) -> None:
    for replica in replicas:
        if is_on:
            replica.faults.switch_on(Fault(name))
        else:
            replica.faults.switch_off(name)


@define(eq=False)
class _Ran:
    """A run of a request, and how its upstream ended it, if it did."""

    replica: FleetReplica
    run: Run

    def has_sent(self) -> bool:
        """Return whether the replica sent an event."""
        return self.run.last_event > self.run.resumed_after

    def was_ended(self, each: RequestResult, chaos: PlatformChaos) -> bool:
        """Return whether the upstream or its link broke the answer off."""
        run, began_at = self.run, self.run.began_at
        # Without framing, an end after no event looks like a truncation.
        is_empty = run.is_unframed and run.resumed_after == EVENTS
        return (
            (bool(run.cut_by) and not math.isfinite(run.closed_at))
            or run.is_hung
            or run.is_unvouched
            or (is_empty and run.ended == 'whole')
            or began_at <= self.replica.crashed_at <= each.ended_at
            or chaos.was_reset(
                each.entry, _name_of(self.replica), began_at, each.ended_at
            )
        )


def check_cuts(
    silences: Silences,
    results: Iterable[RequestResult],
    chaos: PlatformChaos,
    verdict: Verdict,
) -> None:
    """Check that no entry cuts a stream while its upstream is at work.

    A truncated stream is excused by its deadline, by its caller, by a signal
    to its entry, and by an upstream that broke its answer off. An attempt that
    was given up is excused only if the next one went on with the stream.
    """
    runs = _runs_by_request(silences.fleet)
    for each in results:
        if not each.kind.is_stream or each.status != 200 or each.is_whole:
            continue
        ran = [
            run
            for run in runs[each.request_id]
            if run.run.began_at <= each.ended_at
        ]
        excuse = _excuse_of(each, ran, chaos)
        verdict.ends[f'truncated, {excuse or "cut at work"}'] += 1
        if not excuse:
            verdict.add_violation(
                'cut at work', _describe(each, ran, silences, chaos)
            )


def _runs_by_request(fleet: PlatformFleet) -> dict[str, list[_Ran]]:
    found: dict[str, list[_Ran]] = defaultdict(list)
    for incarnation in fleet.all_incarnations():
        for run in incarnation.replica.runs:
            found[run.request_id].append(_Ran(incarnation.replica, run))
    for ran in found.values():
        ran.sort(key=lambda each: each.run.began_at)
    return found


def _excuse_of(
    each: RequestResult, ran: Collection[_Ran], chaos: PlatformChaos
) -> str:
    """Return why a stream may be truncated; empty if it may not."""
    period = (each.entry, each.began_at, each.ended_at)
    if each.caller_left:
        return 'caller left'
    if each.ended_at - each.began_at >= DEADLINE_S - DEADLINE_MARGIN_S:
        return 'deadline'
    if chaos.was_killed(*period):
        return 'entry killed'
    if chaos.was_frozen(*period):
        return 'entry frozen'
    *earlier, last = ran
    is_last_excused = last.was_ended(each, chaos)
    is_given_up = any(not run.was_ended(each, chaos) for run in earlier)
    if is_last_excused and (last.has_sent() or not is_given_up):
        return 'upstream ended'
    return ''


def _describe(
    each: RequestResult,
    ran: Collection[_Ran],
    silences: Silences,
    chaos: PlatformChaos,
) -> str:
    took_s = each.ended_at - each.began_at
    parts = [f'{each.request_id} {each.kind.path} at {each.entry} {took_s:.2f}']
    for run_record in ran:
        run, replica = run_record.run, run_record.replica
        closed_s = run.closed_at - run.began_at
        end = f'ended {run.ended or run.cut_by} '
        if math.isfinite(closed_s):
            end = f'closed after {closed_s:.2f} s '
        if run_record.was_ended(each, chaos):
            end += 'broke off '
        parts.append(
            f'{replica.id} began {run.began_at - each.began_at:.2f}, '
            f'events {run.resumed_after} to {run.last_event}, {end}'
            + silences.describe(replica.id, run.began_at, each.ended_at)
        )
    parts += _log_fields(silences.fleet, each)
    return '; '.join(parts)


def _log_fields(fleet: PlatformFleet, each: RequestResult) -> Iterator[str]:
    """Return what the entry's log says of the end of a request."""
    path = fleet.folder / f'{each.entry}.log'
    quoted_id = f'"{each.request_id}"'
    for line in path.read_text().splitlines() if path.exists() else ():
        if quoted_id not in line:
            continue
        fields: dict[str, Any] = json.loads(line)
        if fields.get('step') != 'request':
            continue
        yield f'{fields["outcome"]} {fields["reason"]!r}, {fields["told"]}'
        for attempt in fields['attempts']:
            yield f'{attempt["upstream"]}: {attempt["why"]!r}'


def _name_of(replica: FleetReplica) -> str:
    return replica.id.partition('.')[0]
