from __future__ import annotations

import random

import pytest

from crowrudder_core.forecast import (
    Candidate,
    UpstreamForecast,
    choose_eligible,
)
from crowrudder_core.forecast._choice import SAMPLE_SIZE
from crowrudder_model.fleet import Upstream

FLEET_SIZES = pytest.mark.parametrize('size', [30, 300, 2140])


def make_outlooks(size):
    return [
        UpstreamForecast(
            Upstream(id=str(each), service='s', address=f'10.0.0.1:{each}')
        )
        for each in range(size)
    ]


class CountingFilter:
    """Returns candidates of eligible options and counts its calls."""

    def __init__(self, ineligible=()):
        self.calls = 0
        self._ineligible = set(ineligible)

    def __call__(self, forecast):
        self.calls += 1
        if forecast.upstream.id in self._ineligible:
            return None
        return Candidate(forecast=forecast)


def choose_from(pools, to_candidate, seed=1):
    return choose_eligible(
        pools, to_candidate, prompt=10, now=1.0, random=random.Random(seed)
    )


class TestCostPerRequest:
    """The cost of a request must not grow with the number of engines.

    Guards against a choice that checks every engine of the service for each
    request and samples four of those that are eligible. With it, the processor
    time of an entry doubled from 36 processes to 235 at the same request rate.
    """

    @FLEET_SIZES
    def test_number_of_checked_options_is_independent_of_fleet_size(self, size):
        to_candidate = CountingFilter()
        options = make_outlooks(size)
        pools = ((options[::2], SAMPLE_SIZE - 1), (options[1::2], SAMPLE_SIZE))
        assert choose_from(pools, to_candidate) is not None
        assert to_candidate.calls == SAMPLE_SIZE

    def test_the_only_eligible_option_is_found(self):
        options = make_outlooks(300)
        ineligible = [
            each.upstream.id for each in options if each is not options[7]
        ]
        choice = choose_from(
            ((options, SAMPLE_SIZE),), CountingFilter(ineligible)
        )
        assert choice is not None
        assert choice.forecast is options[7]

    def test_every_eligible_option_is_chosen_for_some_seed(self):
        options = make_outlooks(6)
        seen = {
            choice.forecast.upstream.id
            for seed in range(200)
            if (
                choice := choose_from(
                    ((options, SAMPLE_SIZE),), CountingFilter(), seed
                )
            )
        }
        assert len(seen) == len(options)

    def test_recently_failed_upstream_is_chosen_only_as_a_last_resort(self):
        failed, sound = make_outlooks(2)
        failed.on_failure(now=1.0, avoid=True)
        both = choose_from((([failed, sound], SAMPLE_SIZE),), CountingFilter())
        alone = choose_from((([failed], SAMPLE_SIZE),), CountingFilter())
        assert both is not None and both.forecast is sound
        assert alone is not None and alone.forecast is failed

    def test_earlier_pool_is_sampled_first(self):
        close, others = (
            make_outlooks(SAMPLE_SIZE),
            make_outlooks(300)[SAMPLE_SIZE:],
        )
        pools = ((close, SAMPLE_SIZE - 1), (others, SAMPLE_SIZE - 1))
        for seed in range(50):
            choice = choose_from(pools, CountingFilter(), seed)
            assert choice is not None
            assert choice.forecast in close
