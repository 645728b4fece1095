"""The choice among upstreams by forecast time to the first event."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from attrs import frozen

from crowrudder_core.forecast._memory import memory_of
from crowrudder_core.forecast._priority import NO_PRIORITY, Priority
from crowrudder_core.forecast._reach import is_slow_to_reach
from crowrudder_core.forecast._upstream_forecast import (
    CROWDED_OCCUPANCY,
    FAILURE_PENALTY_S,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Sequence
    from random import Random

    from crowrudder_core.forecast._pipeline import Pipeline
    from crowrudder_core.forecast._upstream_forecast import UpstreamForecast

OTHER_REGION_PENALTY_S = 0.06
"""Cost of the traffic over a link between regions, in seconds of forecast."""

OTHER_DOMAIN_PENALTY_S = 0.02
OCCUPANCY_PENALTY_S = 0.12
"""Penalty of an upstream whose slots are all in use."""

HOP_PENALTY_S = 0.03
"""Penalty of each further engine of a pipeline. An engine with all layers is
preferred unless a pipeline starts earlier by more than this."""

JITTER_S = 0.02
"""Forecasts that differ by less than this are ordered at random. Without it,
entries with the same load reports would all choose the same upstream until the
next report."""

SAMPLE_SIZE = 4
"""Number of sampled candidates: three of the own region, if there are as many,
and one of another."""


_Option = TypeVar('_Option')


@frozen(kw_only=True)
class Candidate:
    """An upstream that could be sent a request, and its distance.

    ``weights`` is the version that the request would start on. ``path`` is the
    pipeline of engines that it would pass, with the upstream as the first;
    None where the upstream runs all layers.
    """

    forecast: UpstreamForecast
    other_domain: bool = False
    other_region: bool = False
    weights: int = 0
    path: Pipeline | None = None


@frozen(kw_only=True)
class Choice:
    """A chosen upstream and its forecast.

    ``transit_s`` is the part of ``first_s`` that the request and its answer
    spend in the queues of the host's link, ``own_s`` the part that the request
    takes itself, see `UpstreamForecast.own_s`.
    """

    forecast: UpstreamForecast
    first_s: float
    transit_s: float = 0
    own_s: float = 0
    weights: int = 0
    path: Pipeline | None = None

    @property
    def forecasts(self) -> tuple[UpstreamForecast, ...]:
        """The engines that the request passes."""
        if self.path is None:
            return (self.forecast,)
        return tuple(holder.forecast for holder in self.path.holders)

    def memory_of(self, prompt: int, answer: int) -> tuple[int, ...]:
        """Return what a request takes of the memory of each engine."""
        if self.path is None:
            return (memory_of(self.forecast, prompt, answer),)
        return tuple(
            memory_of(
                holder.forecast,
                prompt,
                answer,
                layers=part.layers.end - part.layers.first,
            )
            for holder, part in zip(
                self.path.holders, self.path.parts, strict=True
            )
        )


def choose(
    candidates: Iterable[Candidate],
    *,
    prompt: int,
    now: float,
    random: Random,
    sample_size: int = SAMPLE_SIZE,
    priority: Priority = NO_PRIORITY,
) -> Choice | None:
    """Return the best of a random sample of candidates.

    The best of all candidates isn't used: entries have the same load reports,
    up to a tenth of a second old, so all of them would choose the engine that
    looks least loaded until the next report. For the same reason, a request is
    refused without checking the candidates outside the sample: under overload,
    checking all of them would again choose the best of all.

    Parameters
    ----------
    prompt
        Prompt tokens of the request.
    sample_size
        Number of candidates to sample.
    """
    options = list(candidates)
    near = [each for each in options if not each.other_region]
    far = [each for each in options if each.other_region]
    return choose_eligible(
        ((near, sample_size - 1), (far, sample_size)),
        lambda each: each,
        prompt=prompt,
        now=now,
        random=random,
        priority=priority,
    )


def choose_eligible(
    pools: Iterable[tuple[Sequence[_Option], int]],
    to_candidate: Callable[[_Option], Candidate | None],
    *,
    prompt: int,
    now: float,
    random: Random,
    priority: Priority = NO_PRIORITY,
) -> Choice | None:
    """Return the best of a random sample of eligible options; see `choose`.

    Options are checked only until enough are eligible. Checking all of them
    for each request would make the cost per request grow with the fleet.

    Parameters
    ----------
    pools
        Options in order of preference, each pool with the number of
        candidates after which no more of its options are checked.
    to_candidate
        Returns the candidate of an option; None where it can't serve the
        request.
    """
    healthy: list[Candidate] = []
    avoided: list[Candidate] = []
    for options, target_count in pools:
        avoided_here: list[Candidate] = []
        eligible = _eligible_in_random_order(options, to_candidate, random)
        while len(healthy) < target_count:
            candidate = next(eligible, None)
            if candidate is None:
                break
            forecast = candidate.forecast
            is_avoided = forecast.is_avoided(now) or is_slow_to_reach(
                forecast, now
            )
            (avoided_here if is_avoided else healthy).append(candidate)
        avoided += avoided_here[: target_count - len(avoided)]
    sampled = healthy or avoided
    if not sampled:
        return None
    req = _Request(prompt, now, priority)
    return _cheapest(sampled, req, random)


def _eligible_in_random_order(
    options: Sequence[_Option],
    to_candidate: Callable[[_Option], Candidate | None],
    random: Random,
) -> Iterator[Candidate]:
    """Yield the candidates of eligible options in random order."""
    remaining = list(options)
    while remaining:
        index = random.randrange(len(remaining))
        remaining[index], remaining[-1] = remaining[-1], remaining[index]
        candidate = to_candidate(remaining.pop())
        if candidate is not None:
            yield candidate


@frozen
class _Request:
    """A request for which candidates are compared."""

    prompt: int
    now: float
    priority: Priority


def _cheapest(
    candidates: list[Candidate], req: _Request, random: Random
) -> Choice:
    best = min(candidates, key=lambda each: _cost(each, req, random))
    transit_s = best.forecast.transit.delay_s(req.now)
    first_s = best.forecast.admitted_first_s(req.prompt, req.now, req.priority)
    return Choice(
        forecast=best.forecast,
        first_s=transit_s + first_s,
        transit_s=transit_s,
        own_s=best.forecast.own_s(req.prompt, req.now),
        weights=best.weights,
        path=best.path,
    )


def _cost(candidate: Candidate, req: _Request, random: Random) -> float:
    forecast, now = candidate.forecast, req.now
    excess = max(forecast.occupancy(now) - CROWDED_OCCUPANCY, 0) / (
        1 - CROWDED_OCCUPANCY
    )
    return (
        forecast.first_s(req.prompt, now, req.priority)
        + forecast.transit.delay_s(now)
        + OCCUPANCY_PENALTY_S * excess
        + FAILURE_PENALTY_S * forecast.failure_share
        + OTHER_REGION_PENALTY_S * candidate.other_region
        + OTHER_DOMAIN_PENALTY_S * candidate.other_domain
        + _hop_penalty_s(candidate.path)
        + random.uniform(0, JITTER_S)
    )


def _hop_penalty_s(path: Pipeline | None) -> float:
    if path is None:
        return 0
    hops = len(path.parts) - 1
    return HOP_PENALTY_S * hops + OTHER_REGION_PENALTY_S * path.crossings
