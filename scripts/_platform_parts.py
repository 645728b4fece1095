"""Requests that share parts of their prompts, one of which crashes replicas.

Uses its own random generator, so that it doesn't change a seed's other random
choices.
"""

from __future__ import annotations

import asyncio
import random
import time
from itertools import chain
from typing import TYPE_CHECKING

from _platform_load import ROUTE_KINDS, Caller, RequestResult
from attrs import define, evolve, field

from crowrudder_standins.fleet_replica import PARTS

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterator

    from _platform_chaos import PlatformChaos
    from _platform_checks import Verdict
    from _platform_fleet import PlatformFleet

    from crowrudder_daemon.http import WireRequest
    from crowrudder_standins.fleet_replica import Run

CONTACT_S = 3.0
ALLOWED_ENDS = 5
MAX_LATE_SENDS = 3
MAX_ENDS = ALLOWED_ENDS + MAX_LATE_SENDS
"""Ends under one part, whatever else disturbs the entries."""

SERVED_AGAIN_S = 2 * CONTACT_S
"""Time after the fifth end from which other requests are served again."""

MIN_SERVED_RATIO = 0.5
MIN_REQUESTS = 20
SOUND_CALLERS = 2
BEGIN_SHARE = (0.05, 0.2)
"""Share of the run after which requests with bad parts begin."""

BAD_INTERVAL_S = (0.02, 0.2)
FIRST_PART = 'f1'
MIDDLE_PARTS = ('a0', 'a1', 'a2', 'a3')
BAD_PARTS = ('bad0', 'bad1')
STREAM_KINDS = tuple(each for each in ROUTE_KINDS if each.is_stream)


@define(eq=False)
class PartCaller(Caller):
    """Sends requests that share parts of their prompts; no two are alike."""

    bad_part: str = ''

    def _request(self, result: RequestResult) -> WireRequest:
        request = super()._request(result)
        parts = [FIRST_PART, self.rng.choice(MIDDLE_PARTS)]
        if self.bad_part:
            parts.insert(self.rng.randrange(len(parts) + 1), self.bad_part)
        parts.append(f'{self.rng.getrandbits(32):x}')
        prompt = ','.join(f'{part}:20' for part in parts)
        return evolve(
            request,
            headers=(*request.headers, (PARTS, prompt)),
            body=result.request_id.encode(),
        )


@define(eq=False)
class FatalParts:
    """Sends sound requests all the time, and such with bad parts from a time on."""

    fleet: PlatformFleet
    rng: random.Random
    key: Callable[[], str]
    log_line: Callable[[str], None]
    sound: list[PartCaller] = field(factory=list)
    bad: list[PartCaller] = field(factory=list)

    async def run(self, ends_at: float) -> None:
        """Send requests until a deadline."""
        self.fleet.fatal_parts = frozenset(BAD_PARTS)
        for incarnation in self.fleet.replicas.values():
            incarnation.replica.fatal_parts = self.fleet.fatal_parts
        self.sound = [self._caller() for _ in range(SOUND_CALLERS)]
        count = self.rng.randint(1, len(BAD_PARTS))
        self.bad = [self._caller(part) for part in BAD_PARTS[:count]]
        lasts_s = ends_at - time.monotonic()
        await asyncio.gather(
            *(
                caller.run(ends_at, f'sound-{number}')
                for number, caller in enumerate(self.sound)
            ),
            *(
                self._send_bad(
                    caller, self.rng.uniform(*BEGIN_SHARE) * lasts_s, ends_at
                )
                for caller in self.bad
            ),
        )

    def _caller(self, bad_part: str = '') -> PartCaller:
        return PartCaller(
            random.Random(self.rng.getrandbits(32)),
            self.fleet.entries,
            self.key,
            route_kinds=STREAM_KINDS,
            bad_part=bad_part,
        )

    async def _send_bad(
        self, caller: PartCaller, after_s: float, ends_at: float
    ) -> None:
        await asyncio.sleep(after_s)
        self.log_line(f'part {caller.bad_part} crashes replicas')
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            await caller.send_request(f'{caller.bad_part}-{number}')
            caller.close()
            await asyncio.sleep(self.rng.uniform(*BAD_INTERVAL_S))


def check_parts(
    fatal_parts: FatalParts,
    fleet: PlatformFleet,
    chaos: PlatformChaos,
    verdict: Verdict,
) -> None:
    """Check that bad parts were stopped and sound requests served."""
    entries = {
        each.request_id: each.entry
        for caller in fatal_parts.bad
        for each in caller.results
    }
    fifth_ends = []
    for caller in fatal_parts.bad:
        runs = list(_runs_with(caller.bad_part, fleet))
        ends = sorted(run.began_at for run in runs if run.ended == 'crashed')
        verdict.ends[f'ended under {caller.bad_part}'] += len(ends)
        if len(ends) > MAX_ENDS:
            verdict.add_violation(
                'part sent on', f'{len(ends)} ended under {caller.bad_part}'
            )
        if len(ends) < ALLOWED_ENDS:
            continue
        fifth_at = ends[ALLOWED_ENDS - 1]
        fifth_ends.append(fifth_at)
        late = [
            run
            for run in runs
            if run.began_at > fifth_at + CONTACT_S
            and not chaos.was_disturbed(
                entries.get(run.request_id, ''),
                run.began_at - CONTACT_S,
                run.began_at,
            )
        ]
        if len(late) > MAX_LATE_SENDS:
            verdict.add_violation(
                'part sent on', f'{caller.bad_part} ran {len(late)} times more'
            )
    sound = list(chain(*(each.results for each in fatal_parts.sound)))
    for result in sound:
        if result.status == 400:
            verdict.add_violation(
                'blamed',
                f'{result.request_id} at {result.entry}: {result.body!r}',
            )
    if fifth_ends:
        _check_served(sound, fatal_parts, max(fifth_ends), chaos, verdict)


def _check_served(
    sound: Collection[RequestResult],
    fatal_parts: FatalParts,
    fifth_at: float,
    chaos: PlatformChaos,
    verdict: Verdict,
) -> None:
    """Check the share of sound requests that are served after the ends."""
    began_at = min(
        each.began_at for caller in fatal_parts.bad for each in caller.results
    )
    calm = [
        each
        for each in sound
        if not each.caller_left
        and not each.connect_failed
        and not chaos.was_disturbed(
            each.entry, each.began_at - CONTACT_S, each.ended_at
        )
    ]
    before = [each for each in calm if each.ended_at < began_at]
    after = [each for each in calm if each.began_at > fifth_at + SERVED_AGAIN_S]
    if min(len(before), len(after)) < MIN_REQUESTS:
        return
    served_before, served_after = _served_share(before), _served_share(after)
    verdict.ends['sound served, in 100'] = round(100 * served_after)
    if served_after < MIN_SERVED_RATIO * served_before:
        verdict.add_violation(
            'shared part lost',
            f'{served_after:.2f} of {len(after)} served, '
            f'{served_before:.2f} before',
        )


def _served_share(results: Collection[RequestResult]) -> float:
    return sum(each.status == 200 for each in results) / len(results)


def _runs_with(part: str, fleet: PlatformFleet) -> Iterator[Run]:
    for incarnation in fleet.all_incarnations():
        for run in incarnation.replica.runs:
            if part in run.parts:
                yield run
