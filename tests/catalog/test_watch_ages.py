from __future__ import annotations

import math

import pytest

from crowrudder_core.catalog import TickMonitor, WatchAges, confirmed_until


def earliest_publication(ages, asked_at, now, **overrides):
    """Return the earliest publication time of an answer's changes."""
    overrides = {
        'confirmed_at': now,
        'returned_at': -math.inf,
        'is_punctual': True,
        **overrides,
    }
    return ages.published_since(asked_at, now, **overrides)


def record_answer(ages, asked_at, now, *, has_changes=False, is_punctual=True):
    ages.on_answer(
        asked_at,
        now,
        wait_s=2,
        has_changes=has_changes,
        is_punctual=is_punctual,
    )


class TestConfirmation:
    """What an answer of the platform proves, whenever it is read."""

    @pytest.mark.parametrize('took_s', [0, 0.1, 1.9, 30])
    def test_changes_confirm_no_later_than_their_request(self, took_s):
        """Guards against a key that was added while an answer was on its way."""
        proved = confirmed_until(100, 100 + took_s, wait_s=2, has_changes=True)
        assert proved == 100

    @pytest.mark.parametrize('late_s', [0, 0.3, 30])
    def test_an_empty_answer_confirms_its_wait(self, late_s):
        proved = confirmed_until(100, 102 + late_s, wait_s=2, has_changes=False)
        assert proved == 102

    @pytest.mark.parametrize('took_s', [0, 0.5, 1.99])
    def test_an_early_empty_answer_confirms_its_request(self, took_s):
        """Guards against an empty answer of a platform that didn't wait."""
        proved = confirmed_until(100, 100 + took_s, wait_s=2, has_changes=False)
        assert proved == 100

    def test_a_list_confirms_its_request(self):
        assert confirmed_until(100, 103, wait_s=0, has_changes=False) == 100


class TestWatchAges:
    def test_a_change_during_the_wait_is_new(self):
        ages = WatchAges(known_until=100)
        assert earliest_publication(ages, 100.1, 101) == 101

    def test_an_immediate_change_may_be_as_old_as_the_last_answer(self):
        """A version was named while the previous watch hung."""
        ages = WatchAges()
        record_answer(ages, 98, 100)
        assert earliest_publication(ages, 103, 103.01) == 100

    def test_a_new_watcher_uses_the_last_confirmation_of_others(self):
        """A change found by a new watcher is as old as the last confirmation.

        The four watching processes are killed, a version is named before
        others take over, and these find it with their first watch. If it
        counted as new, requests would begin on the old version two seconds
        after its end.
        """
        ages = WatchAges(known_until=50)
        ages.on_idle()
        assert (
            earliest_publication(ages, 102.8, 102.81, confirmed_at=100) == 100
        )

    def test_a_change_during_an_outage_is_as_old_as_its_end(self):
        ages = WatchAges(known_until=100)
        found = earliest_publication(ages, 108, 108.01, returned_at=108.01)
        assert found == 108.01

    def test_a_suspended_process_assumes_no_outage_of_the_platform(
        self,
    ):
        ages = WatchAges(known_until=100)
        found = earliest_publication(
            ages, 100.1, 105, returned_at=105, is_punctual=False
        )
        assert found == 100

    def test_an_empty_answer_read_late_was_sent_in_time(self):
        ages = WatchAges()
        record_answer(ages, 100, 107, is_punctual=False)
        assert earliest_publication(ages, 107, 107.01) == 102

    def test_changes_read_late_may_be_as_old_as_the_request(self):
        ages = WatchAges(known_until=99)
        record_answer(ages, 100, 105, has_changes=True, is_punctual=False)
        assert earliest_publication(ages, 105.1, 105.11) == 100

    def test_a_list_is_complete_up_to_its_request(self):
        ages = WatchAges()
        ages.on_listed(100)
        assert earliest_publication(ages, 101, 101.01) == 100


class TestPunctuality:
    @pytest.fixture
    def ticking(self):
        punctuality = TickMonitor(interval_s=0.25)
        for number in range(5):
            punctuality.on_tick(100 + 0.25 * number)
        return punctuality

    def test_punctual_between_ticks(self, ticking):
        assert ticking.is_on_time(101.2)

    def test_not_punctual_while_a_tick_is_overdue(self, ticking):
        assert not ticking.is_on_time(101.5)

    def test_not_punctual_until_a_tick_after_a_late_one(self, ticking):
        ticking.on_tick(106)
        assert not ticking.is_on_time(106.01)
        ticking.on_tick(106.25)
        ticking.on_tick(106.5)
        assert ticking.is_on_time(106.51)
