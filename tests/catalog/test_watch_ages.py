from __future__ import annotations

import math

import pytest

from crowrudder_core.catalog import Punctuality, WatchAges


def since(ages, asked_at, now, **more):
    """Give the earliest publication of an answer's changes."""
    more = {
        'confirmed_at': now,
        'returned_at': -math.inf,
        'is_punctual': True,
        **more,
    }
    return ages.published_since(asked_at, now, **more)


def answered(ages, asked_at, now, *, has_changes=False, is_punctual=True):
    ages.on_answer(
        asked_at,
        now,
        wait_s=2,
        has_changes=has_changes,
        is_punctual=is_punctual,
    )


class TestWatchAges:
    def test_what_comes_while_the_watch_waits_is_new(self):
        ages = WatchAges(level_at=100)
        assert since(ages, 100.1, 101) == 101

    def test_what_is_there_at_once_may_be_as_old_as_the_last_answer(self):
        """A version was named while the watch before had hung."""
        ages = WatchAges()
        answered(ages, 98, 100)
        assert since(ages, 103, 103.01) == 100

    def test_one_that_begins_to_watch_knows_the_last_sign_of_others(self):
        """All that watched died at once, and a version was named.

        Symptom: requests begin on an old version two seconds after its end.
        Sequence: the four processes that watch are killed, a version is named
        before others step in, these find it with their first watch. Cause: it
        counted as new.
        """
        ages = WatchAges(level_at=50)
        ages.on_rest()
        assert since(ages, 102.8, 102.81, confirmed_at=100) == 100

    def test_what_was_named_in_an_absence_is_as_old_as_the_return(self):
        ages = WatchAges(level_at=100)
        found = since(ages, 108, 108.01, returned_at=108.01)
        assert found == 108.01

    def test_a_process_that_stood_still_takes_no_absence_for_the_platforms(
        self,
    ):
        ages = WatchAges(level_at=100)
        found = since(ages, 100.1, 105, returned_at=105, is_punctual=False)
        assert found == 100

    def test_an_empty_answer_that_is_read_late_was_given_in_time(self):
        ages = WatchAges()
        answered(ages, 100, 107, is_punctual=False)
        assert since(ages, 107, 107.01) == 102

    def test_changes_that_are_read_late_may_be_as_old_as_the_question(self):
        ages = WatchAges(level_at=99)
        answered(ages, 100, 105, has_changes=True, is_punctual=False)
        assert since(ages, 105.1, 105.11) == 100

    def test_a_list_is_as_of_its_first_page(self):
        ages = WatchAges()
        ages.on_listed(100)
        assert since(ages, 101, 101.01) == 100


class TestPunctuality:
    @pytest.fixture
    def ticking(self):
        punctuality = Punctuality(every_s=0.25)
        for number in range(5):
            punctuality.on_tick(100 + 0.25 * number)
        return punctuality

    def test_is_given_between_ticks(self, ticking):
        assert ticking.is_given(101.2)

    def test_is_not_given_while_a_tick_is_overdue(self, ticking):
        assert not ticking.is_given(101.5)

    def test_a_late_tick_does_not_hide_what_waited_with_it(self, ticking):
        ticking.on_tick(106)
        assert not ticking.is_given(106.01)
        ticking.on_tick(106.25)
        ticking.on_tick(106.5)
        assert ticking.is_given(106.51)
