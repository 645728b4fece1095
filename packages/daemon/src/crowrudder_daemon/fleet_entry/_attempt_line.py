"""An attempt as the line of its request tells it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from crowrudder_core.dispatch import Ending
    from crowrudder_daemon.fleet_entry._attempt import Attempt

UNDER_WAY = 'under way'
"""How an attempt is told that the request's end cut off."""


def line_of(attempt: Attempt, ending: Ending | None) -> dict[str, Any]:
    """Give what the log says of an attempt, in values that JSON carries.

    An attempt that was taken away has more: whether the entry was late, or
    its bytes were.
    """
    left_s = attempt.begin_left_s
    line = {
        'upstream': attempt.choice.outlook.upstream.id,
        'weights': attempt.choice.weights,
        'forecast_s': round(attempt.choice.first_s, 3),
        'begin_left_s': None if left_s is None else round(left_s, 3),
        'first_s': round(attempt.first_took_s, 3),
        'ran_s': round(attempt.ran_s, 3),
        'engines': len(attempt.choice.outlooks),
        'word_age_s': round(attempt.word_age_s, 2),
        'ending': type(ending).__name__ if ending else UNDER_WAY,
        'why': getattr(ending, 'reason', ''),
    }
    if attempt.limit_per_s is not None:
        line['limit_per_s'] = attempt.limit_per_s
    taken = attempt.taken_away
    if taken is not None:
        line['late_s'] = round(taken.late_s, 3)
        line['head_s'] = round(attempt.head_took_s, 3)
        line['unsent_bytes'] = taken.unsent_bytes
    return line
