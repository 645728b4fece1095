from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.proofs import ECHO_RETENTION_S, NO_ECHO, Echo, Exchanges

DELAYS_S = st.floats(0, 30)


def exchanges(seed=1):
    return Exchanges(random.Random(seed))


class TestExchanges:
    @given(way_s=DELAYS_S, wait_s=DELAYS_S, back_s=DELAYS_S)
    def test_no_message_is_proved_to_be_younger_than_it_is(
        self, way_s, wait_s, back_s
    ):
        """Guards against delays that make a message look fresh."""
        own, peer = exchanges(1), exchanges(2)
        number = own.next_number(100)
        peer.on_number('own', number, now=100 + way_s)
        sent_at = 100 + way_s + wait_s
        echo = peer.echo_for('own', now=sent_at)
        proved = own.sent_since(echo, now=sent_at + back_s)
        assert proved is not None
        assert sent_at - way_s - 0.002 <= proved <= sent_at

    def test_a_message_without_an_echo_proves_nothing(self):
        own = exchanges()
        own.next_number(100)
        assert own.sent_since(NO_ECHO, now=100) is None

    def test_a_number_of_an_earlier_incarnation_proves_nothing(self):
        """Guards against echoes that a restarted process takes for its own."""
        before, after = exchanges(1), exchanges(2)
        number = before.next_number(100)
        after.next_number(100)
        assert after.sent_since(Echo(number), now=101) is None

    def test_a_forgotten_number_proves_nothing(self):
        own = exchanges()
        number = own.next_number(100)
        later = 101 + ECHO_RETENTION_S
        own.next_number(later)
        assert own.sent_since(Echo(number), now=later) is None

    def test_a_held_time_beyond_now_proves_now_at_most(self):
        """Guards against a peer whose clock runs too fast."""
        own = exchanges()
        number = own.next_number(100)
        assert own.sent_since(Echo(number, 60_000), now=101) == 101

    def test_a_negative_held_time_proves_nothing(self):
        own = exchanges()
        assert own.sent_since(Echo(own.next_number(100), -1), now=101) is None

    def test_a_number_that_was_read_long_ago_is_not_echoed(self):
        peer = exchanges()
        peer.on_number('own', 7, now=100)
        later = 101 + ECHO_RETENTION_S
        assert peer.echo_for('own', now=later) == NO_ECHO
