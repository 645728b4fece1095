"""How long an attempt may be silent before another one is tried."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_model.fleet import RouteKind

if TYPE_CHECKING:
    from crowrudder_model.fleet import Route

FIRST_SILENCE_S = 0.9
"""Least silence before the first event after which another upstream is tried;
ten times a usual first event, so that load alone doesn't cause it."""

PAUSE_SILENCE_S = 0.9
"""The same within a stream: over twice the pause of which callers complain,
and under half of that after which they leave."""

WHOLE_SILENCE_S = 0.45
"""The same for a short answer that may be repeated."""

FORECASTS = 4
"""An attempt may take so many times its forecast before another is tried."""

NEVER_S = 3600.0


@frozen(kw_only=True)
class Patience:
    """How long an attempt may be silent before another is tried, seconds.

    ``first_s`` is up to the answer's beginning, ``pause_s`` between its parts.
    ``begin_by`` is the time on the own clock by which the answer must begin by
    what is known at the send; a version that is named later may end it sooner.
    ``late_s`` the pause in a stream from which on it is of less use.
    """

    first_s: float
    pause_s: float
    begin_by: float = math.inf
    late_s: float = math.inf


def patience_for(
    route: Route, *, first_s: float, begin_by: float, is_movable: bool
) -> Patience:
    """Give how long an upstream may be silent.

    Silence is a reason to end an attempt only where another one follows.

    Parameters
    ----------
    first_s
        Forecast time to the first event, seconds.
    begin_by
        When it has to begin, on the own clock.
    """
    late_s = route.pause_goal_s or math.inf
    if not is_movable:
        # It is taken away before its version ends all the same: a queue
        # lasts longer than any margin, and then it would begin too late.
        return Patience(
            first_s=NEVER_S,
            pause_s=NEVER_S,
            begin_by=begin_by,
            late_s=late_s,
        )
    forecast_s = FORECASTS * first_s
    if route.kind is RouteKind.STREAM:
        return Patience(
            first_s=max(FIRST_SILENCE_S, forecast_s),
            pause_s=max(PAUSE_SILENCE_S, 2 * route.pause_goal_s),
            begin_by=begin_by,
            late_s=late_s,
        )
    patience_s = max(WHOLE_SILENCE_S, forecast_s)
    return Patience(first_s=patience_s, pause_s=patience_s, begin_by=begin_by)
