"""Policies for choosing an upstream, compared with the forecast."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING, Protocol

from crowrudder_core.forecast import choose
from crowrudder_core.forecast._choice import SAMPLE_SIZE

if TYPE_CHECKING:
    from collections.abc import Sequence

    from crowrudder_core.forecast import Candidate, UpstreamForecast


class Policy(Protocol):
    """Chooses a candidate from what one entry knows."""

    def __call__(
        self,
        candidates: Sequence[Candidate],
        *,
        prompt: int,
        now: float,
        random: Random,
    ) -> UpstreamForecast:
        """Return the chosen candidate's forecast."""


def by_forecast(
    candidates: Sequence[Candidate],
    *,
    prompt: int,
    now: float,
    random: Random,
    sample_size: int = SAMPLE_SIZE,
) -> UpstreamForecast:
    """Choose as an entry does, optionally with another sample size."""
    choice = choose(
        candidates,
        prompt=prompt,
        now=now,
        random=random,
        sample_size=sample_size,
    )
    assert choice is not None
    return choice.forecast


def at_random(
    candidates: Sequence[Candidate],
    *,
    prompt: int,
    now: float,
    random: Random,
) -> UpstreamForecast:
    """Choose any candidate at random."""
    return random.choice(candidates).forecast


def by_own_requests(
    candidates: Sequence[Candidate],
    *,
    prompt: int,
    now: float,
    random: Random,
) -> UpstreamForecast:
    """Choose the one with the fewest requests in flight from this entry."""
    return min(
        candidates,
        key=lambda each: (each.forecast.own, random.random()),
    ).forecast


def by_requests(
    candidates: Sequence[Candidate],
    *,
    prompt: int,
    now: float,
    random: Random,
) -> UpstreamForecast:
    """Choose the one with the fewest requests by the agents' load reports."""
    return min(
        candidates,
        key=lambda each: (each.forecast.total(now), random.random()),
    ).forecast


POLICIES: dict[str, Policy] = {
    'forecast': by_forecast,
    'random': at_random,
    'own_requests': by_own_requests,
    'requests': by_requests,
}

ALL = 10_000
"""Sample size that exceeds the number of candidates in every case."""

EARLIER: dict[str, Policy] = {
    'best_of_all': partial(by_forecast, sample_size=ALL)
}
"""Policies that the product used before."""
