"""Changes of the choice that were tried under uneven demand; none was kept.

Each takes the product's cost of a candidate and adds to it, or samples another
number of candidates.
"""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING, Protocol

from _dispatch_policies import by_forecast

from crowrudder_core.forecast import NO_PRIORITY
from crowrudder_core.forecast._choice import (
    OCCUPANCY_PENALTY_S,
    SAMPLE_SIZE,
    _cost,
    _Request,
    choose_eligible,
)
from crowrudder_core.forecast._upstream_forecast import CROWDED_OCCUPANCY

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from _dispatch_policies import Policy

    from crowrudder_core.forecast import Candidate, UpstreamForecast

SETTLING_S = 0.2
"""Age of a report at which a third of an engine's distance from the mean of its
region is left, as others have sent to the engines that looked free."""

EXPIRED_AGE_S = 1.2
"""Age assumed for an engine without a fresh load report."""


def by_close_first(
    candidates: Sequence[Candidate],
    *,
    prompt: int,
    now: float,
    random: Random,
) -> UpstreamForecast:
    """Choose from the engines that report to the entry most often, if enough.

    This is the preference of `UpstreamChooser` in the product.
    """
    close: list[Candidate] = []
    others: list[Candidate] = []
    far: list[Candidate] = []
    for each in candidates:
        load = each.forecast.fresh_load(now)
        if each.other_region:
            far.append(each)
        elif load is not None and load.is_close:
            close.append(each)
        else:
            others.append(each)
    choice = choose_eligible(
        (
            (close, SAMPLE_SIZE - 1),
            (others, SAMPLE_SIZE - 1),
            (far, SAMPLE_SIZE),
        ),
        lambda option: option,
        prompt=prompt,
        now=now,
        random=random,
    )
    assert choice is not None
    return choice.forecast


class Correction(Protocol):
    """Returns what to add to the cost of a candidate, in seconds."""

    def __call__(
        self, candidate: Candidate, near: Sequence[Candidate], now: float
    ) -> float:
        """Return the correction; ``near`` are those of the own region."""


def by_corrected_cost(
    candidates: Sequence[Candidate],
    *,
    prompt: int,
    now: float,
    random: Random,
    correction: Correction,
) -> UpstreamForecast:
    """Choose from a sample like the product's by a corrected cost."""
    near = [each for each in candidates if not each.other_region]
    far = [each for each in candidates if each.other_region]
    sample = random.sample(near, SAMPLE_SIZE - 1) + random.sample(far, 1)
    req = _Request(prompt, now, NO_PRIORITY)
    best = min(
        sample,
        key=lambda each: _cost(each, req, random) + correction(each, near, now),
    )
    return best.forecast


def expected_wait_s(
    candidate: Candidate, near: Sequence[Candidate], now: float
) -> float:
    """Return how much longer a request waits for a slot by the uncertainty.

    The number of requests is taken as normally distributed. Its variance grows
    with the report's age by one arrival and one end in each slot interval.
    """
    forecast = candidate.forecast
    model = forecast.model
    assert model is not None
    slots = forecast.upstream.slots
    interval_s = model.slot_interval_s(slots)
    deviation = math.sqrt(2 * _age_s(forecast, now) / interval_s)
    ahead = forecast.total(now) + 1 - slots
    ratio = ahead / max(deviation, 1.0e-9)
    below = (1 + math.erf(ratio / math.sqrt(2))) / 2
    density = math.exp(-ratio * ratio / 2) / math.sqrt(2 * math.pi)
    expected = ahead * below + deviation * density
    return _pace(forecast, now) * interval_s * (expected - max(ahead, 0))


def probable_sends_s(
    candidate: Candidate, near: Sequence[Candidate], now: float
) -> float:
    """Return the wait for the requests probably sent since the report.

    Entries of the region send to the engines that looked free and not to the
    others, so that all approach the mean of the region as the report ages.
    """
    if candidate.other_region:
        return 0
    forecast = candidate.forecast
    assert forecast.model is not None
    mean = sum(each.forecast.total(now) for each in near) / len(near)
    total = forecast.total(now)
    left = math.exp(-_age_s(forecast, now) / SETTLING_S)
    return _wait_s(forecast, mean + (total - mean) * left, now) - _wait_s(
        forecast, total, now
    )


def _wait_s(forecast: UpstreamForecast, total: float, now: float) -> float:
    """Return the wait for a slot, and the penalty of crowded engines."""
    model = forecast.model
    assert model is not None
    slots = forecast.upstream.slots
    ahead = max(total + 1 - slots, 0)
    excess = max(total / slots - CROWDED_OCCUPANCY, 0) / (1 - CROWDED_OCCUPANCY)
    wait_s = ahead * model.slot_interval_s(min(round(total), slots))
    pace = _pace(forecast, now) * forecast.slowness
    return pace * wait_s + OCCUPANCY_PENALTY_S * excess


def _age_s(forecast: UpstreamForecast, now: float) -> float:
    if forecast.fresh_load(now) is None:
        return EXPIRED_AGE_S
    return forecast.load_report_age_s(now)


def _pace(forecast: UpstreamForecast, now: float) -> float:
    load = forecast.fresh_load(now)
    return load.pace if load else 1


TRIED: dict[str, Policy] = {
    'sample_3': partial(by_forecast, sample_size=3),
    'sample_6': partial(by_forecast, sample_size=6),
    'expected_wait': partial(by_corrected_cost, correction=expected_wait_s),
    'probable_sends': partial(by_corrected_cost, correction=probable_sends_s),
}
