from __future__ import annotations

import random

import pytest

from crowrudder_core.forecast import Candidate, Outlook, choose_fitting
from crowrudder_core.forecast._choice import DRAWN
from crowrudder_model.fleet import Upstream

SIZES = pytest.mark.parametrize('size', [30, 300, 2140])


def outlooks_of(size):
    return [
        Outlook(Upstream(id=str(each), service='s', address=f'10.0.0.1:{each}'))
        for each in range(size)
    ]


class Looks:
    """Says which options fit, and counts the looks."""

    def __init__(self, misfits=()):
        self.count = 0
        self._misfits = set(misfits)

    def __call__(self, outlook):
        self.count += 1
        if outlook.upstream.id in self._misfits:
            return None
        return Candidate(outlook=outlook)


def chosen(pools, looks, seed=1):
    return choose_fitting(
        pools, looks, prompt=10, now=1.0, random=random.Random(seed)
    )


class TestLooksForOneRequest:
    """A request cost an entry the more the more engines there were.

    Symptom: processor time of an entry doubles from 36 processes to 235 at
    the same requests a second. Sequence: each request has every engine of its
    service looked at, whether anything may begin there, and four of them are
    drawn. Cause: they were drawn from those that fit.
    """

    @SIZES
    def test_they_do_not_grow_with_the_fleet(self, size):
        looks = Looks()
        options = outlooks_of(size)
        pools = ((options[::2], DRAWN - 1), (options[1::2], DRAWN))
        assert chosen(pools, looks) is not None
        assert looks.count == DRAWN

    def test_the_only_one_that_fits_is_found(self):
        options = outlooks_of(300)
        misfits = [
            each.upstream.id for each in options if each is not options[7]
        ]
        choice = chosen(((options, DRAWN),), Looks(misfits))
        assert choice is not None
        assert choice.outlook is options[7]

    def test_all_that_fit_are_drawn_alike(self):
        options = outlooks_of(6)
        seen = {
            choice.outlook.upstream.id
            for seed in range(200)
            if (choice := chosen(((options, DRAWN),), Looks(), seed))
        }
        assert len(seen) == len(options)

    def test_one_that_failed_lately_is_taken_only_where_no_other_fits(self):
        failed, sound = outlooks_of(2)
        failed.on_bad(now=1.0, avoid=True)
        both = chosen((([failed, sound], DRAWN),), Looks())
        alone = chosen((([failed], DRAWN),), Looks())
        assert both is not None and both.outlook is sound
        assert alone is not None and alone.outlook is failed

    def test_who_stands_in_front_is_drawn_first(self):
        close, others = outlooks_of(DRAWN), outlooks_of(300)[DRAWN:]
        pools = ((close, DRAWN - 1), (others, DRAWN - 1))
        for seed in range(50):
            choice = chosen(pools, Looks(), seed)
            assert choice is not None
            assert choice.outlook in close
