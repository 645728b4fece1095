"""Pauses of a third of the upstreams: goodput and wasted sends, by fleet size."""

from __future__ import annotations

import pytest

from support.pauses_world import SHED_UNTIL_S, Load, PausesWorld

MAX_GOODPUT_LOSS = 0.01
"""Greatest share of the requests that honouring pauses may cost."""

RETURN_WINDOW_S = 2.5
"""Time after the end of the shedding in which the pauses end."""

SIZES = pytest.mark.parametrize(
    ('entries', 'upstreams', 'usage'),
    [(3, 9, 0.5), (3, 9, 0.8), (30, 60, 0.5), (340, 120, 0.5)],
)


def played(**load):
    return PausesWorld(Load(**load), 1).play()


class TestPausesOfAThird:
    """Guards against pauses that cost callers more than the sends they save."""

    @SIZES
    def test_goodput_does_not_fall(self, entries, upstreams, usage):
        size = {'entries': entries, 'upstreams': upstreams, 'usage': usage}
        before = played(**size, honours_pauses=False)
        after = played(**size)
        assert after.goodput >= before.goodput - MAX_GOODPUT_LOSS

    @pytest.mark.parametrize('usage', [0.5, 0.8])
    def test_sends_to_pausing_upstreams_fall_by_half(self, usage):
        size = {'entries': 3, 'upstreams': 9, 'usage': usage}
        before = played(**size, honours_pauses=False)
        assert 2 * played(**size).shed_sends <= before.shed_sends

    def test_no_upstream_is_full_as_pauses_end(self):
        world = played(entries=30, upstreams=60, usage=0.3)
        until = SHED_UNTIL_S + RETURN_WINDOW_S
        assert world.refused_full(SHED_UNTIL_S, until) == 0
