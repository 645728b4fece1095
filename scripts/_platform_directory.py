"""Which entries the directory names to callers, in a platform soak.

Uses its own random generator, so that it doesn't change a seed's other random
choices.
"""

from __future__ import annotations

import asyncio
import json
import time
from bisect import bisect, bisect_left
from collections import defaultdict
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from _platform_config import BOUND_HOST, HOST, SERVING_REGIONS
from _platform_fleet import ZONES, zone_of
from attrs import define, field, frozen

from crowrudder_daemon.http import ConnectionPool, WireRequest
from crowrudder_model import UpstreamError

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from _platform_checks import Verdict
    from _platform_fleet import PlatformFleet

HOSTS = (HOST, BOUND_HOST)
REGIONS = (*sorted(set(ZONES.values())), 'elsewhere')
READY_PATH = '/-/ready'
DIRECTORY_PATH = '/-/resolve'
OK = 200

ASK_INTERVAL_S = 0.1
ASK_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.2
POLL_TIMEOUT_S = 0.3
MAX_POLL_GAP_S = 0.7
"""An entry may have been away unnoticed between two polls that are further
apart."""

KNOWN_S = 3.0
"""Time for which two entries must have been ready until each must know that the
other is: several heartbeats."""


@frozen
class Poll:
    """A question whether an entry is ready."""

    began_at: float
    is_ready: bool


@define
class ReadyPolls:
    """The polls of one entry, in order."""

    polls: list[Poll] = field(factory=list)

    def was_ready(self, since: float, until: float) -> bool:
        """Return whether an entry was ready in all of a period.

        The polls around it count, too.
        """
        times = [each.began_at for each in self.polls]
        first = bisect(times, since) - 1
        last = bisect_left(times, until)
        if first < 0 or last >= len(times):
            return False
        is_ready = all(each.is_ready for each in self.polls[first : last + 1])
        gaps_s = (
            later - earlier
            for earlier, later in zip(
                times[first:last], times[first + 1 : last + 1], strict=True
            )
        )
        return is_ready and max(gaps_s, default=0) <= MAX_POLL_GAP_S


@frozen(kw_only=True)
class DirectoryAnswer:
    """The addresses that an entry named for a host name to a caller."""

    entry: str
    host: str
    region: str
    began_at: float
    ended_at: float
    addresses: tuple[str, ...]


@define(eq=False)
class DirectoryWatch:
    """Asks entries for the directory, and whether they are ready."""

    fleet: PlatformFleet
    rng: random.Random
    answers: list[DirectoryAnswer] = field(factory=list)
    polls: dict[str, ReadyPolls] = field(
        factory=lambda: defaultdict(ReadyPolls)
    )
    _pool: ConnectionPool = field(factory=ConnectionPool)

    async def run(self, ends_at: float) -> None:
        """Ask until a deadline."""
        entries = sorted(self.fleet.entries())
        await asyncio.gather(
            self._ask_forever(entries, ends_at),
            *(self._poll_forever(entry, ends_at) for entry in entries),
        )
        self._pool.close()

    async def _poll_forever(self, entry: str, ends_at: float) -> None:
        address = self.fleet.hosts[entry].listen['ready']
        # The polls go on for a while to tell of the last answers.
        while time.monotonic() < ends_at + MAX_POLL_GAP_S:
            began_at = time.monotonic()
            body = await self._get(address, READY_PATH, POLL_TIMEOUT_S)
            poll = Poll(began_at, is_ready=body is not None)
            self.polls[entry].polls.append(poll)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _ask_forever(self, entries: list[str], ends_at: float) -> None:
        while time.monotonic() < ends_at:
            await self._ask(
                self.rng.choice(entries),
                self.rng.choice(HOSTS),
                self.rng.choice(REGIONS),
            )
            await asyncio.sleep(ASK_INTERVAL_S)

    async def _ask(self, entry: str, host: str, region: str) -> None:
        address = self.fleet.hosts[entry].listen['directory']
        query = urlencode({'name': host, 'region': region})
        began_at = time.monotonic()
        body = await self._get(
            address, f'{DIRECTORY_PATH}?{query}', ASK_TIMEOUT_S
        )
        if body is None:
            return
        answer = DirectoryAnswer(
            entry=entry,
            host=host,
            region=region,
            began_at=began_at,
            ended_at=time.monotonic(),
            addresses=tuple(json.loads(body)['addresses']),
        )
        self.answers.append(answer)

    async def _get(
        self, address: str, target: str, timeout_s: float
    ) -> bytes | None:
        """Return the body of an answer with status 200; else None."""
        request = WireRequest(
            method='GET', target=target, headers=(('Host', address),), body=b''
        )
        try:
            answer = await self._pool.call(
                address, request, timeout_s=timeout_s
            )
        except UpstreamError:
            return None
        return answer.body if answer.head.status == OK else None


def check_directory(watch: DirectoryWatch, verdict: Verdict) -> None:
    """Check that callers are sent to entries of the regions that they may use.

    While the caller's own region has a ready entry, no other one is named; else,
    while a serving region has one, none that is neither. Only entries count that
    were ready for so long that the one that answers must know them.
    """
    regions = {
        address: _region_of(name)
        for name, address in watch.fleet.entries().items()
    }
    for answer in watch.answers:
        since = answer.began_at - KNOWN_S
        ready = {
            name
            for name in watch.fleet.entries()
            if watch.polls[name].was_ready(since, answer.ended_at)
        }
        if answer.entry not in ready:
            verdict.ends['directory answers, excused'] += 1
            continue
        verdict.ends['directory answers'] += 1
        allowed = _allowed(answer, {_region_of(name) for name in ready})
        named = {regions.get(each, each) for each in answer.addresses}
        verdict.ends['directory answers that leave entries out'] += bool(
            set(regions.values()) - allowed
        )
        if not named <= allowed:
            verdict.add_violation(
                'named in another region',
                f'{answer.entry} for {answer.host} in {answer.region}: '
                f'{sorted(named - allowed)}, allowed {sorted(allowed)}',
            )


def _allowed(answer: DirectoryAnswer, ready: Iterable[str]) -> set[str]:
    """Return the regions whose entries may be named.

    Parameters
    ----------
    ready
        Regions that have ready entries.
    """
    found = set(ready)
    own = {answer.region}
    serving = SERVING_REGIONS[answer.host]
    if own & found:
        return own
    if serving & found:
        return own | serving
    return set(ZONES.values())


def _region_of(entry: str) -> str:
    return ZONES[zone_of(int(entry.rpartition('-')[2]))]
