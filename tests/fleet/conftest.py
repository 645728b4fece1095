"""Time for the fleet's tests: a busy machine must not change what they find."""

from __future__ import annotations

import pytest

from support.patience import allow_silence


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
    allow_silence(monkeypatch)
