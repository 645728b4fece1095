from __future__ import annotations

from crowrudder_core.catalog import FetchPolicy
from crowrudder_model import StorePosition

KNOWN = StorePosition(1, 7)
NEWER = StorePosition(1, 8)


def policy(**ahead):
    fetches = FetchPolicy()
    for address, position in ahead.items():
        fetches.on_ahead(address, position)
    return fetches


class TestFetches:
    def test_one_peer_is_asked_at_a_time(self):
        fetches = policy(a=NEWER, b=NEWER)
        first = fetches.next_peer(KNOWN, now=0)
        fetches.on_begun(first, now=0)
        assert fetches.next_peer(KNOWN, now=0.1) is None

    def test_a_second_peer_is_asked_if_the_first_is_slow(self):
        """Guards against a silent peer that delays a change by its timeout."""
        fetches = policy(a=NEWER, b=NEWER)
        first = fetches.next_peer(KNOWN, now=0)
        fetches.on_begun(first, now=0)
        second = fetches.next_peer(KNOWN, now=fetches.hedge_s)
        assert {first, second} == {'a', 'b'}
        fetches.on_begun(second, now=fetches.hedge_s)
        fetches.on_ahead('c', NEWER)
        assert fetches.next_peer(KNOWN, now=9) is None

    def test_another_peer_is_asked_at_once_after_a_failure(self):
        fetches = policy(a=NEWER, b=NEWER)
        first = fetches.next_peer(KNOWN, now=0)
        fetches.on_begun(first, now=0)
        fetches.on_failure(first, now=0.1)
        second = fetches.next_peer(KNOWN, now=0.1)
        assert second not in {first, None}
        fetches.on_begun(second, now=0.1)
        fetches.on_failure(second, now=0.2)
        assert fetches.next_peer(KNOWN, now=0.2) is None

    def test_reports_during_a_fetch_are_not_forgotten(self):
        """Guards against a change that waits for the next heartbeat."""
        fetches = policy(a=NEWER)
        fetches.on_begun('a', now=0)
        fetches.on_ahead('b', StorePosition(1, 9))
        fetches.on_answer('a', now=0.1)
        assert fetches.next_peer(NEWER, now=0.1) == 'b'

    def test_a_peer_of_a_later_era_is_ahead(self):
        fetches = policy(a=StorePosition(2, 3), b=StorePosition(1, 90))
        assert fetches.next_peer(KNOWN, now=0) == 'a'

    def test_a_peer_that_is_no_longer_ahead_is_not_asked(self):
        fetches = policy(a=NEWER)
        assert fetches.next_peer(NEWER, now=0) is None

    def test_a_slow_link_delays_the_second_fetch(self):
        """Guards against each change twice over a link that is full."""
        fetches = policy(a=NEWER)
        fetches.on_begun('a', now=0)
        fetches.on_answer('a', now=1.5)
        assert fetches.hedge_s >= 1.5
