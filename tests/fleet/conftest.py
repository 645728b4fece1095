"""Time for the fleet's tests: a busy machine must not change what they find."""

from __future__ import annotations

import pytest

from crowrudder_daemon.fleet_entry import _attempt, _timeouts

LONG_S = 30.0


@pytest.fixture(autouse=True)
def patience(request, monkeypatch):
    """Let upstreams be silent for long, but in tests of silence itself.

    Symptom: beside eight busy processes on as many cores two tests of this
    folder failed in one of five runs. Sequence: everything of a test runs in
    one loop; it stands still for half a second; the entry takes an upstream
    that is sound for a silent one, tries the other, which the test has made
    fail, and has no try left. Cause: the entry was right, and the test had
    not said that time plays no part in it.
    """
    if request.node.get_closest_marker('default_timeouts'):
        return
    for name in (
        'FIRST_EVENT_TIMEOUT_S',
        'PAUSE_TIMEOUT_S',
        'SHORT_ANSWER_TIMEOUT_S',
    ):
        monkeypatch.setattr(_timeouts, name, LONG_S)
    monkeypatch.setattr(_attempt, 'CONNECT_S', LONG_S)
