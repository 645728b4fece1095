"""The delay of a host's link, by probes to several peers."""

from __future__ import annotations

import pytest

from crowrudder_core.transit import RoundTrips
from crowrudder_core.transit._round_trips import ANSWER_TTL_S


def answered(**took_s):
    """Return the round trips after an answer from each peer, at 10 s."""
    trips = RoundTrips()
    for peer, each in took_s.items():
        trips.on_sent(peer, now=10 - each)
        trips.on_answered(peer, now=10)
    return trips


class TestRoundTrips:
    def test_the_delay_is_what_all_peers_have_in_common(self):
        assert answered(near=0.8, far=1.1).delay_s(10) == pytest.approx(0.8)

    def test_a_single_slow_peer_is_no_delay_of_this_host(self):
        """Guards against a slow or cut entry that makes all hosts look slow."""
        assert answered(near=0.004, slow=3.0).delay_s(10) < 0.1

    def test_a_probe_without_an_answer_took_at_least_until_now(self):
        trips = answered(near=0.004, far=0.004)
        for peer in ('near', 'far'):
            trips.on_sent(peer, now=10.2)
        assert trips.delay_s(10.9) == pytest.approx(0.7)

    def test_a_new_probe_does_not_hide_the_last_answer(self):
        trips = answered(near=0.8)
        trips.on_sent('near', now=10.2)
        assert trips.delay_s(10.25) == pytest.approx(0.8)

    def test_answers_are_forgotten(self):
        assert not answered(near=0.8).delay_s(10.1 + ANSWER_TTL_S)

    def test_a_lost_peer_tells_nothing(self):
        """Guards against a dead entry that makes its agents look slow."""
        trips = RoundTrips()
        trips.on_sent('dead', now=10)
        trips.on_failed('dead')
        assert not trips.delay_s(15)
        assert not trips.is_waiting('dead')

    def test_a_late_process_does_not_look_like_a_slow_link(self):
        """Guards against a suspended agent whose link then counts as slow."""
        trips = answered(near=0.004)
        trips.on_sent('near', now=10.2)
        trips.forget()
        trips.on_answered('near', now=15)
        assert not trips.delay_s(15)
