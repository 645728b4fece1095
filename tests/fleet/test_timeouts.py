"""Timeouts of attempts over slow links."""

from __future__ import annotations

import pytest

from crowrudder_daemon.fleet_entry._timeouts import (
    FIRST_EVENT_TIMEOUT_S,
    SHORT_ANSWER_TIMEOUT_S,
    timeouts_for,
)
from crowrudder_model.fleet import Route, RouteKind

TRANSIT_S = 0.25


@pytest.mark.default_timeouts
class TestSlowLinks:
    """Guards against an attempt that is given up while it is in transit."""

    @pytest.mark.parametrize(
        ('kind', 'least_s'),
        [
            (RouteKind.STREAM, FIRST_EVENT_TIMEOUT_S),
            (RouteKind.IDEMPOTENT, SHORT_ANSWER_TIMEOUT_S),
        ],
    )
    def test_the_time_in_transit_is_added(self, kind, least_s):
        timeouts = timeouts_for(
            route(kind),
            first_s=TRANSIT_S + 0.01,
            begin_by=100,
            transit_s=TRANSIT_S,
        )
        assert timeouts.first_s == pytest.approx(TRANSIT_S + least_s)

    def test_only_the_time_at_work_is_multiplied(self):
        timeouts = timeouts_for(
            route(RouteKind.STREAM),
            first_s=TRANSIT_S + 1,
            begin_by=100,
            transit_s=TRANSIT_S,
        )
        assert timeouts.first_s == pytest.approx(TRANSIT_S + 4)


def route(kind):
    return Route(
        name='r',
        host='h',
        prefix='/',
        kind=kind,
        targets=(),
        timeout_s=8,
        goal_s=0.5,
    )
