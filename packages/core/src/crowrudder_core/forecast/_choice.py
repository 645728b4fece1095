"""The choice among upstreams by what each is forecast to need."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_core.forecast._outlook import FAILURE_COST_S

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from crowrudder_core.forecast._outlook import Outlook

OTHER_REGION_S = 0.06
"""What the bytes over a region link are worth in seconds of forecast."""

OTHER_DOMAIN_S = 0.02
CROWDED = 0.6
"""From this part of its slots on, an upstream is the less preferred."""

CROWDING_S = 0.12
"""The preference lost by an upstream whose slots are all taken."""

SPREAD_S = 0.02
"""Forecasts closer than this are told apart by chance: entries with the same
words would else all choose the same upstream until the next word."""


@frozen(kw_only=True)
class Candidate:
    """An upstream that could be sent a request, and how far it is."""

    outlook: Outlook
    other_domain: bool = False
    other_region: bool = False


@frozen(kw_only=True)
class Choice:
    """A chosen upstream and its forecast."""

    outlook: Outlook
    first_s: float


def choose(
    candidates: Iterable[Candidate],
    *,
    prompt: int,
    now: float,
    random: Random,
) -> Choice | None:
    """Give the best candidate, those that failed lately only for want of one.

    Parameters
    ----------
    prompt
        Prompt tokens of the request.
    """
    rated = [
        (each.outlook.is_avoided(now), _cost(each, prompt, now, random), each)
        for each in candidates
    ]
    if not rated:
        return None
    _, _, best = min(rated, key=lambda entry: entry[:2])
    return Choice(
        outlook=best.outlook,
        first_s=best.outlook.first_s(prompt, now),
    )


def _cost(
    candidate: Candidate,
    prompt: int,
    now: float,
    random: Random,
) -> float:
    outlook = candidate.outlook
    crowd = max(outlook.occupancy(now) - CROWDED, 0) / (1 - CROWDED)
    return (
        outlook.first_s(prompt, now)
        + CROWDING_S * crowd
        + FAILURE_COST_S * outlook.failure_share
        + OTHER_REGION_S * candidate.other_region
        + OTHER_DOMAIN_S * candidate.other_domain
        + random.uniform(0, SPREAD_S)
    )
