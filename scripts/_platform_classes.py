"""Routes and customers whose requests differ in urgency and regions.

Uses its own random generator, so that it doesn't change a seed's other random
choices.
"""

from __future__ import annotations

import asyncio
import random
from bisect import bisect
from collections import defaultdict
from typing import TYPE_CHECKING

from _platform_load import Caller, RouteKind
from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from _platform_checks import Verdict
    from _platform_fleet import PlatformFleet
    from _platform_load import RequestResult

MAX_PAUSE_S = 0.5
NEAR_S = 0.5
"""Requests that began within this time of each other found the same engines."""

MIN_EXPECTED = 7.0
"""Requests of a class that would have been served by chance; none of them is in
one of a thousand runs."""


@frozen
class RequestClass:
    """Requests of one route and customer, and the regions that may run them.

    ``regions`` is None for any; empty if nothing may serve the class. The
    default customer's key changes during a run.
    """

    route: str
    customer: str = ''
    regions: frozenset[str] | None = None
    callers: int = 2

    @property
    def name(self) -> str:
        """Name in reports and request ids."""
        return f'{self.route}-{self.customer or "shop"}'

    @property
    def kind(self) -> RouteKind:
        """The route as callers see it."""
        is_once = self.route not in {'draft', 'near'}
        return RouteKind(
            f'/{self.route}/x', 'POST', is_once=is_once, is_stream=True
        )


CLASSES = (
    RequestClass('urgent'),
    RequestClass('bulk', callers=4),
    RequestClass('draft', 'guest'),
    RequestClass('near', regions=frozenset(('r1',))),
    RequestClass('far', regions=frozenset(('r2',))),
    RequestClass('far', 'local', frozenset(('r2',))),
    RequestClass('draft', 'bound', frozenset(('r1',))),
    RequestClass('far', 'bound', frozenset()),
)


@define(eq=False)
class PatientCaller(Caller):
    """Waits as long as a refusal asks for, so that the refused don't crowd."""

    async def send_request(self, request_id: str) -> RequestResult:
        """Send one request; after a refusal wait before the next one."""
        result = await super().send_request(request_id)
        if result.retry_after:
            await asyncio.sleep(min(float(result.retry_after), MAX_PAUSE_S))
        return result


@define(eq=False)
class ClassLoad:
    """Callers of all classes."""

    fleet: PlatformFleet
    rng: random.Random
    key: Callable[[], str]
    callers: list[tuple[RequestClass, Caller]] = field(factory=list)

    async def run(self, ends_at: float) -> None:
        """Send requests until a deadline."""
        self.callers = [
            (each, self._caller(each))
            for each in CLASSES
            for _ in range(each.callers)
        ]
        await asyncio.gather(
            *(
                caller.run(ends_at, f'{each.name}-{number}')
                for number, (each, caller) in enumerate(self.callers)
            )
        )

    def _caller(self, each: RequestClass) -> Caller:
        key = f'{each.customer}-key'
        return PatientCaller(
            random.Random(self.rng.getrandbits(32)),
            self.fleet.entries,
            (lambda: key) if each.customer else self.key,
            (each.kind,),
        )


def check_classes(
    load: ClassLoad,
    others: Iterable[Caller],
    zones: Mapping[str, str],
    verdict: Verdict,
) -> None:
    """Check that no class is starved, and none run outside its regions.

    Parameters
    ----------
    others
        Other callers; their classes are the routes.
    zones
        The region of each failure domain.
    """
    regions = {}
    answered: dict[str, list[RequestResult]] = defaultdict(list)
    for request_class, caller in load.callers:
        for result in caller.results:
            regions[result.request_id] = request_class.regions
        if request_class.regions != frozenset():
            answered[request_class.name] += _answered(caller)
    for other in others:
        for result in _answered(other):
            answered[result.kind.path].append(result)
    ran_in = _regions_run_in(load.fleet, zones)
    _check_regions(regions, ran_in, verdict)
    bound = {each.name: each.regions for each, _ in load.callers}
    for name, results in answered.items():
        elsewhere = _served_elsewhere(ran_in, bound.get(name))
        _check_served(name, results, answered, elsewhere, verdict)


def _regions_run_in(
    fleet: PlatformFleet, zones: Mapping[str, str]
) -> dict[str, list[tuple[frozenset[str], str]]]:
    """Return, by request id, the regions of each run and its pipeline."""
    at_address = {
        each.address: zones[each.zone] for each in fleet.all_incarnations()
    }
    found: dict[str, list[tuple[frozenset[str], str]]] = defaultdict(list)
    for incarnation in fleet.all_incarnations():
        for _, request_id, pipeline in incarnation.replica.stated.accepted:
            regions = frozenset(
                at_address.get(address, address)
                for address in stages_of(pipeline, incarnation.address)
            )
            found[request_id].append((regions, pipeline))
    return found


def _served_elsewhere(
    ran_in: Mapping[str, list[tuple[frozenset[str], str]]],
    regions: frozenset[str] | None,
) -> set[str]:
    """Return the requests that ran only where a class may not be served.

    They don't show that the class could have been served: its only engine may
    be empty, evacuated and leaving in turn, while other regions serve.
    """
    if regions is None:
        return set()
    return {
        request_id
        for request_id, runs in ran_in.items()
        if not any(each <= regions for each, _ in runs)
    }


def _answered(caller: Caller) -> list[RequestResult]:
    return [
        each
        for each in caller.results
        if not each.caller_left and not each.connect_failed
    ]


def _check_served(
    name: str,
    results: Collection[RequestResult],
    answered: Mapping[str, Collection[RequestResult]],
    elsewhere: Collection[str],
    verdict: Verdict,
) -> None:
    """Check that a class is served while other classes of its service are.

    Most of the soak's requests are refused as engines crash, so that a class
    with few requests may have bad luck. It is starved if none is served,
    though many would be at the rate at which others were served at that time in
    the regions that may serve it; ``elsewhere`` are those served in others.
    """
    served = sum(each.status == 200 for each in results)
    verdict.ends[f'served of {name}'] = served
    is_stream = any(each.kind.is_stream for each in results)
    peers = sorted(
        (
            each.began_at,
            each.status == 200 and each.request_id not in elsewhere,
        )
        for other, others in answered.items()
        for each in others
        if other != name and each.kind.is_stream == is_stream
    )
    expected = 0.0
    for result in results:
        first = bisect(peers, (result.began_at - NEAR_S,))
        end = bisect(peers, (result.began_at + NEAR_S,))
        near = peers[first:end]
        expected += sum(ok for _, ok in near) / max(len(near), 1)
    if not served and expected >= MIN_EXPECTED:
        verdict.add_violation(
            'never served',
            f'{name}: 0 of {len(results)}, {expected:.1f} expected',
        )


def _check_regions(
    regions: Mapping[str, frozenset[str] | None],
    ran_in: Mapping[str, list[tuple[frozenset[str], str]]],
    verdict: Verdict,
) -> None:
    """Check where requests and the stages of their pipelines were accepted."""
    for request_id, allowed in regions.items():
        if allowed is None:
            continue
        for found, pipeline in ran_in.get(request_id, ()):
            verdict.ends['requests with regions'] += 1
            if not found <= allowed:
                verdict.add_violation(
                    'outside its regions',
                    f'{request_id} in {sorted(found)} at {pipeline}',
                )


def stages_of(pipeline: str, address: str) -> set[str]:
    """Return the addresses that a request reaches, the first one's included."""
    stages = {part.rpartition('=')[0] for part in pipeline.split(',') if part}
    return stages | {address}
