"""A fatal request among others, at entries that only have their words."""

from __future__ import annotations

import pytest

from support.quarantine_world import FATAL, Fleet, QuarantineWorld

SMALL = Fleet(entries=8, upstreams=9)
LARGE = Fleet(entries=340, upstreams=650, beside=0.3)
SEEDS = range(50)
FEW_SEEDS = range(5)
CONTACT_S = 3.0
WAY_S = 1.0
"""What a close, an agent's word and the words between entries take."""

MOST_LATE_SENDS = 3


def most_ended(fleet):
    """Three, and the arrivals in the time that the words take."""
    return 3 + 2 * int(WAY_S / fleet.fatal_every_s)


def played(fleet, seeds, **more):
    return [QuarantineWorld(fleet, seed, **more).play() for seed in seeds]


class TestFatalRequest:
    """Guards against a request that ends one upstream after the other."""

    @pytest.mark.parametrize(
        ('fleet', 'seeds'), [(SMALL, SEEDS), (LARGE, FEW_SEEDS)]
    )
    def test_few_upstreams_end(self, fleet, seeds):
        for world in played(fleet, seeds):
            assert len(world.ended) <= most_ended(fleet), world.seed
            assert world.sent_after_third(CONTACT_S) == 0, world.seed
            assert FATAL in world.rejected

    @pytest.mark.parametrize(
        ('fleet', 'seeds'), [(SMALL, SEEDS), (LARGE, FEW_SEEDS)]
    )
    def test_no_other_request_is_rejected(self, fleet, seeds):
        for world in played(fleet, seeds):
            assert world.rejected == {FATAL}, world.seed

    def test_words_do_not_grow_with_the_fleet(self):
        small, large = (played(fleet, FEW_SEEDS) for fleet in (SMALL, LARGE))
        for one, other in zip(small, large, strict=True):
            each = one.words / one.fleet.entries
            assert other.words / other.fleet.entries <= 2 * each + 10


class TestSeveralFatalRequests:
    def test_each_is_rejected_and_no_other(self):
        fleet = Fleet(entries=8, upstreams=9, fatal_callers=2)
        for world in played(fleet, SEEDS):
            assert world.sent_after_third(CONTACT_S) <= MOST_LATE_SENDS
            assert world.rejected == {FATAL, FATAL + 1}, world.seed
