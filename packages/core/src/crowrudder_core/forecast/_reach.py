"""Whether requests reach an upstream's host without a delay."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from crowrudder_core.forecast._upstream_forecast import UpstreamForecast

MAX_OVERDUE_S = 2.0
"""Upper bound of the time for which a report is overdue, so that an agent that has
stopped doesn't keep requests away from its engine for longer before the end of
a version."""

SLOW_TRANSIT_S = 0.3
"""Delay on the link to a host and back from which on its upstreams are avoided,
or by which its report is overdue. Callers want the first event within a few
tenths of a second."""


def report_overdue_s(forecast: UpstreamForecast, now: float) -> float:
    """Return by how much an upstream's last load report is overdue, in seconds.

    It may be lost in the queue of a full link, which delays requests as well,
    or the agent has stopped while the engine serves.
    """
    if math.isinf(forecast.reported_at):
        return 0
    overdue_s = now - forecast.reported_at - forecast.usual_report_age_s
    return min(max(overdue_s, 0), MAX_OVERDUE_S)


def is_slow_to_reach(forecast: UpstreamForecast, now: float) -> bool:
    """Return whether the host's link delays requests, or may do so."""
    delay_s = max(
        forecast.transit.delay_s(now), report_overdue_s(forecast, now)
    )
    return delay_s >= SLOW_TRANSIT_S
