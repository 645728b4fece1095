"""How long an upstream may be silent before another one is tried as well."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_model.fleet import RouteKind

if TYPE_CHECKING:
    from crowrudder_model.fleet import Route

FIRST_EVENT_TIMEOUT_S = 0.9
"""Least timeout for the first event. It is ten times a usual first event, so
that load alone doesn't exceed it."""

PAUSE_TIMEOUT_S = 0.9
"""Least timeout for a pause within a stream: over twice the pause that callers
complain about, and under half of the pause after which they leave."""

SHORT_ANSWER_TIMEOUT_S = 0.45
"""Least timeout for a short answer of a repeatable request."""

TIMEOUT_FORECASTS = 4
"""Longest silence before an answer, in multiples of its forecast."""

NO_TIMEOUT_S = 3600.0
"""For waits that the deadline of a request ends."""


@frozen(kw_only=True)
class AttemptTimeouts:
    """Timeouts of one attempt, in seconds.

    ``first_s`` is the longest silence until the answer begins, ``pause_s``
    between its parts. Neither ends the attempt.
    ``begin_by`` is the time on the own clock by which the answer must begin,
    as known at the send; a version that is announced later may move it up.
    ``late_pause_s`` is the pause in a stream that counts against the upstream.
    """

    first_s: float
    pause_s: float
    begin_by: float = math.inf
    late_pause_s: float = math.inf


def timeouts_for(
    route: Route,
    *,
    first_s: float,
    begin_by: float,
    transit_s: float = 0,
) -> AttemptTimeouts:
    """Return the timeouts of an attempt.

    Parameters
    ----------
    first_s
        Forecast of the time to the first event, in seconds.
    transit_s
        The part of it that is spent on the way.
    begin_by
        Time by which the answer must begin, on the own clock.
    """
    late_pause_s = route.pause_goal_s or math.inf
    forecast_s = TIMEOUT_FORECASTS * (first_s - transit_s)
    if route.kind is RouteKind.STREAM:
        return AttemptTimeouts(
            first_s=transit_s + max(FIRST_EVENT_TIMEOUT_S, forecast_s),
            pause_s=max(PAUSE_TIMEOUT_S, 2 * route.pause_goal_s),
            begin_by=begin_by,
            late_pause_s=late_pause_s,
        )
    timeout_s = transit_s + max(SHORT_ANSWER_TIMEOUT_S, forecast_s)
    return AttemptTimeouts(
        first_s=timeout_s, pause_s=timeout_s, begin_by=begin_by
    )
