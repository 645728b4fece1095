"""Ways of choosing an upstream that the forecast is measured against."""

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
    """Chooses among candidates by what one entry knows of them."""

    def __call__(
        self,
        candidates: Sequence[Candidate],
        *,
        prompt: int,
        now: float,
        random: Random,
    ) -> UpstreamForecast:
        """Choose one."""


def by_forecast(
    candidates: Sequence[Candidate],
    *,
    prompt: int,
    now: float,
    random: Random,
    drawn: int = SAMPLE_SIZE,
) -> UpstreamForecast:
    """Choose as an entry does, or as one that draws another number."""
    choice = choose(
        candidates, prompt=prompt, now=now, random=random, sample_size=drawn
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
    """Draw any."""
    return random.choice(candidates).forecast


def by_own_requests(
    candidates: Sequence[Candidate],
    *,
    prompt: int,
    now: float,
    random: Random,
) -> UpstreamForecast:
    """Take the one to which this entry has sent least that hasn't ended."""
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
    """Take the one with the fewest requests, by the agents' words."""
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
"""More than there are candidates in any case."""

EARLIER: dict[str, Policy] = {'best_of_all': partial(by_forecast, drawn=ALL)}
"""Ways that the product went before."""
