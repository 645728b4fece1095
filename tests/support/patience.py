"""Timeouts that a loop which stands still doesn't reach."""

from __future__ import annotations

from crowrudder_daemon.fleet_entry import _attempt, _timeouts

LONG_S = 30.0


def allow_silence(patch):
    """Let upstreams be silent for long."""
    for name in (
        'FIRST_EVENT_TIMEOUT_S',
        'PAUSE_TIMEOUT_S',
        'SHORT_ANSWER_TIMEOUT_S',
    ):
        patch.setattr(_timeouts, name, LONG_S)
    patch.setattr(_attempt, 'CONNECT_S', LONG_S)
