"""The target of a request among those of its route."""

from __future__ import annotations

from collections import Counter
from math import inf

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowrudder_model.fleet import Route, RouteKind, RouteTarget

WEIGHTS = st.floats(min_value=-1, max_value=1e9)
DRAWS = st.floats(min_value=0, max_value=1, exclude_max=True)


def route_with(*weights):
    return Route(
        name='split',
        host='h',
        prefix='/',
        kind=RouteKind.ONCE,
        targets=tuple(
            RouteTarget(str(number), weight)
            for number, weight in enumerate(weights)
        ),
        timeout_s=1,
        goal_s=1,
    )


class TestTargetAt:
    """Guards against an error, or a wrong service, where weights are odd."""

    @pytest.mark.parametrize('weights', [(), (0,), (0, 0), (-1, 0)])
    def test_no_share_at_all(self, weights):
        assert route_with(*weights).target_at(0.5) is None

    @given(weights=st.lists(WEIGHTS, max_size=5), draw=DRAWS)
    def test_only_targets_with_a_share(self, weights, draw):
        target = route_with(*weights).target_at(draw)
        if max(weights, default=0) > 0:
            assert target.weight > 0
        else:
            assert target is None

    def test_shares_are_in_proportion(self):
        route = route_with(1, 0, 3)
        draws = [number / 400 for number in range(400)]
        counts = Counter(route.target_at(draw).service for draw in draws)
        assert counts == {'0': 100, '2': 300}

    @pytest.mark.parametrize('draw', [0.0, 0.5])
    def test_a_sum_beyond_all_numbers(self, draw):
        assert route_with(1e308, 1e308, 1e308).target_at(draw) is not None
        assert route_with(inf, 1).target_at(draw) is not None
