"""The log fields of an attempt, for the log line of its request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from crowrudder_core.dispatch import Answered

if TYPE_CHECKING:
    from crowrudder_core.dispatch import AttemptOutcome
    from crowrudder_daemon.fleet_entry._attempt import Attempt

IN_PROGRESS = 'under way'
"""The logged ending of an attempt that was running when its request ended."""

MIN_LOGGED_S = 0.05
"""Shorter waits for a connection and delays of links aren't logged."""


def log_fields(
    attempt: Attempt, ending: AttemptOutcome | None
) -> dict[str, Any]:
    """Return the log fields of an attempt as JSON-compatible values.

    A cancelled attempt has further fields, which show whether the entry
    cancelled it late or its bytes were delayed.
    """
    left_s = attempt.begin_left_s
    line = {
        'upstream': attempt.choice.forecast.upstream.id,
        'weights': attempt.choice.weights,
        'forecast_s': round(attempt.choice.first_s, 3),
        'begin_left_s': None if left_s is None else round(left_s, 3),
        'first_s': round(attempt.time_to_first_event_s, 3),
        'ran_s': round(attempt.ran_s, 3),
        'engines': len(attempt.choice.forecasts),
        'word_age_s': round(attempt.load_report_age_s, 2),
        'ending': type(ending).__name__ if ending else IN_PROGRESS,
        'why': getattr(ending, 'reason', ''),
        **_body_fields(attempt),
    }
    if isinstance(ending, Answered):
        line['completeness'] = ending.completeness.value
    if attempt.choice.transit_s >= MIN_LOGGED_S:
        line['transit_s'] = round(attempt.choice.transit_s, 3)
    if attempt.connect_s >= MIN_LOGGED_S:
        line['connect_s'] = round(attempt.connect_s, 3)
    delivery = attempt.delivery
    if delivery is not None and delivery.unacknowledged_s:
        line['unacked_s'] = round(delivery.unacknowledged_s, 3)
        line['unacked_bytes'] = delivery.unacknowledged_bytes
    statements = attempt.statements
    if statements.limit_per_s is not None:
        line['limit_per_s'] = statements.limit_per_s
    if statements.is_leaving:
        line['leaving'] = True
    if statements.pause_s is not None:
        line['asked_pause_s'] = statements.pause_s
    if attempt.silence is not None:
        line['silent_s'] = round(attempt.silence.silent_s, 3)
        line['after_event'] = attempt.silence.after_event
        line['others_silent'] = attempt.silence.others
        line['loop_late_s'] = round(attempt.silence.loop_late_s, 3)
    if attempt.bound is not None:
        line['bound'] = attempt.bound.value
        line['received_bytes'] = attempt.received_bytes
    cancellation = attempt.cancellation
    if cancellation is not None:
        line['late_s'] = round(cancellation.late_s, 3)
        line['head_s'] = round(attempt.time_to_head_s, 3)
        line['unsent_bytes'] = cancellation.unsent_bytes
    return line


def _body_fields(attempt: Attempt) -> dict[str, Any]:
    """Return how the answer's body was delimited and ended, if one began."""
    if attempt.framing is None:
        return {}
    line: dict[str, Any] = {
        'framing': attempt.framing.value,
        'body_end': attempt.body_end.value,
    }
    if attempt.is_stream:
        line['events'] = attempt.stream_events
    if attempt.rest_bytes:
        line['rest_bytes'] = attempt.rest_bytes
    return line
