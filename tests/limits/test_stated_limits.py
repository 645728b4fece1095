"""Limits that upstreams state, kept by all entries together."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.limits import StatedLimits, senders_of
from crowrudder_model.statements import LimitReport
from support.limits_world import NAMED_AT_S, LimitsWorld, Load

WINDOW_S = 4.0
CONTACT_S = 3.0
FROM_S = NAMED_AT_S + CONTACT_S
SEEDS = range(10)
FLEET_SIZES = pytest.mark.parametrize(
    ('entries', 'upstreams', 'per_s'),
    [(8, 9, 60), (30, 40, 200), (340, 650, 1900)],
)
LIMITS = pytest.mark.parametrize('limit', [0.4, 1.0, 8.0])


def allowed(limit):
    return 1.5 * limit * WINDOW_S + 5


def run_worlds(seeds, **load):
    return [LimitsWorld(Load(**load), seed).play() for seed in seeds]


class TestBurstsBeforeALimit:
    """Guards against a limit that each entry would apply on its own."""

    @LIMITS
    @FLEET_SIZES
    def test_limit_holds_over_all_entries(
        self, entries, upstreams, per_s, limit
    ):
        seeds = SEEDS if entries < 100 else SEEDS[:1]
        for world in run_worlds(
            seeds,
            entries=entries,
            upstreams=upstreams,
            per_s=per_s,
            limit=limit,
            lasts_s=11,
        ):
            most = world.most_in(WINDOW_S, FROM_S)
            assert most <= allowed(limit), world.seed

    @pytest.mark.parametrize('entries', [3, 8, 30])
    def test_limit_is_used_under_sufficient_demand(self, entries):
        for world in run_worlds(
            SEEDS, entries=entries, upstreams=1, per_s=60, limit=4.0
        ):
            assert world.used(FROM_S) >= 0.8, world.seed

    def test_limit_holds_while_entries_restart(self):
        for world in run_worlds(
            SEEDS,
            entries=8,
            upstreams=2,
            per_s=60,
            limit=4.0,
            restart_every_s=1.5,
        ):
            assert world.most_in(WINDOW_S, FROM_S) <= allowed(4.0), world.seed

    def test_limit_ends_when_answers_no_longer_state_it(self):
        for world in run_worlds(
            SEEDS, entries=8, upstreams=2, per_s=60, limit=1.0, ends_at=8.0
        ):
            late = [at for at, _ in world.arrivals if at > 14]
            assert len(late) > 100, world.seed


class TestLimitReports:
    """Contents of reports on a limit."""

    @given(
        per_s=st.floats(allow_nan=True, allow_infinity=True),
        age_ms=st.integers(-(2**40), 2**40),
    )
    def test_any_numbers_are_accepted(self, per_s, age_ms):
        limits = StatedLimits(lambda *_: 1)
        limits.on_report(LimitReport('u', per_s, age_ms), now=100)
        assert limits.wait_s(['u'], now=100) > 0
        limits.take('u', now=101)

    def test_older_report_is_ignored(self):
        limits = StatedLimits(lambda *_: 1)
        assert limits.on_answer('u', 1.0, now=100) is not None
        assert limits.on_report(LimitReport('u', -1, 500), now=100.1) is None
        assert not limits.has_capacity('u', now=100.1)

    def test_limits_that_change_per_answer_are_sent_at_a_bounded_rate(self):
        limits = StatedLimits(lambda *_: 1)
        sent_reports = [
            limits.on_answer('u', 1.0 + number % 7, now=100 + number / 1000)
            for number in range(1000)
        ]
        assert sum(report is not None for report in sent_reports) <= 5

    def test_limit_that_is_not_repeated_expires(self):
        limits = StatedLimits(lambda *_: 0)
        limits.on_answer('u', 1.0, now=100)
        assert not limits.has_capacity('u', now=119)
        assert limits.has_capacity('u', now=121)

    def test_number_of_known_limits_is_bounded(self):
        limits = StatedLimits(lambda *_: 0)
        for number in range(1500):
            limits.on_answer(f'u{number}', 1.0, now=100)
        assert math.isinf(limits.wait_s(['u1499'], now=100))


class TestSenders:
    """Which entries send to an upstream with a limit."""

    def test_entries_in_the_region_are_preferred(self):
        own_region, other_region = ['a', 'b'], ['c', 'd', 'e']
        chosen = senders_of('u', 1.0, own_region, other_region)
        assert len(chosen) == 3
        assert {'a', 'b'} <= set(chosen)

    def test_number_of_senders_grows_with_the_rate(self):
        ips = [str(number) for number in range(340)]
        assert len(senders_of('u', 25.0, ips, [])) == 25
