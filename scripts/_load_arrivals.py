"""Generate arrival times and requests from a load plan and its seed."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING

from _caller import Request
from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterator

    from _load_plan import LoadPlan, Phase, Traffic

# Longer than what entries and engines use as the prefix of a prompt.
_PREFIX_CHARS = 80


@frozen(kw_only=True)
class Arrival:
    """A request and its arrival time, in seconds from the load's start."""

    at_s: float
    phase: str
    request: Request


def arrivals(plan: LoadPlan, *, tag: str) -> list[Arrival]:
    """Return all arrivals, at most as many as the bounds allow.

    Parameters
    ----------
    tag
        Prefix of each request id, so that two runs on a fleet share no ids.
    """
    planned = itertools.islice(
        _arrivals(plan, tag), plan.bounds.requests_at_most
    )
    return list(planned)


def arrival_times(phase: Phase, rng: random.Random) -> Iterator[float]:
    """Return the ordered arrival times, in seconds from the phase's start."""
    steady = _steady_times(phase, rng)
    times = heapq.merge(steady, _burst_times(phase))
    return itertools.takewhile(lambda at_s: at_s < phase.seconds, times)


def popularity(count: int, exponent: float) -> list[float]:
    """Return weights that decrease with the rank, by Zipf's law.

    >>> popularity(4, 1)
    [1.0, 0.5, 0.3333333333333333, 0.25]
    """
    return [rank**-exponent for rank in range(1, count + 1)]


def _arrivals(plan: LoadPlan, tag: str) -> Iterator[Arrival]:
    rng = random.Random(plan.bounds.seed)
    generators = {each.name: _RequestGenerator(each) for each in plan.traffic}
    numbers = itertools.count(1)
    starts = plan.starts_s()
    for phase in plan.phases:
        names = [named for named, _ in phase.traffic]
        weights = [weight for _, weight in phase.traffic]
        for at_s in arrival_times(phase, rng):
            (chosen,) = rng.choices(names, weights)
            request_id = f'{tag}-{next(numbers)}'
            yield Arrival(
                at_s=starts[phase.name] + at_s,
                phase=phase.name,
                request=generators[chosen].request(request_id, rng),
            )


def _steady_times(phase: Phase, rng: random.Random) -> Iterator[float]:
    if phase.arrivals == 'constant':
        yield from itertools.count(0, 1 / phase.rate_per_s)
    at_s = rng.expovariate(phase.rate_per_s)
    while True:
        yield at_s
        at_s += rng.expovariate(phase.rate_per_s)


def _burst_times(phase: Phase) -> Iterator[float]:
    if not phase.burst_size:
        return
    for at_s in itertools.count(0, phase.burst_every_s):
        yield from itertools.repeat(at_s, phase.burst_size)


class _RequestGenerator:
    """Generates random requests of one kind of traffic."""

    def __init__(self, traffic: Traffic) -> None:
        self._traffic = traffic
        weights = popularity(traffic.prefixes, traffic.zipf)
        self._cumulated = list(itertools.accumulate(weights))
        self._ranks = range(traffic.prefixes)

    def request(self, request_id: str, rng: random.Random) -> Request:
        traffic = self._traffic
        (rank,) = rng.choices(self._ranks, cum_weights=self._cumulated)
        prefix = f'{traffic.name} {rank} '.ljust(_PREFIX_CHARS, '.')
        return Request(
            request_id=request_id,
            customer=traffic.customer,
            model=traffic.model,
            service=traffic.service,
            prompt=f'{prefix} {request_id}',
            max_tokens=rng.randint(traffic.tokens_least, traffic.tokens_most),
            streamed=rng.random() < traffic.streamed_share,
            idempotent=rng.random() < traffic.idempotent_share,
            priority=traffic.priority,
            deadline_ms=int(traffic.deadline_s * 1000),
        )
