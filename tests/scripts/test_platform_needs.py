"""Both promises on needs that the platform's soak checks can be found broken."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from _platform_chaos import PlatformChaos, Trouble
from _platform_checks import Verdict
from _platform_load import KINDS, Asked, Caller
from _platform_needs import NamedLimit, Needs, judge_needs
from attrs import define, field

from crowrudder_standins.fleet_replica import FleetReplica, Run

DRAFT = KINDS[2]
BODY = 'fatal 0'
THIRD_AT = 103.0
ENDS = [(101.0, BODY), (102.0, BODY), (THIRD_AT, BODY)]


@define(eq=False)
class Soak:
    """What a soak has written down of one replica and one entry."""

    troubles: list[Trouble] = field(factory=list)
    asked: list[Asked] = field(factory=list)
    replica: Any = field(factory=lambda: FleetReplica({'--id': 'r.1'}))

    met = PlatformChaos.met

    def all_lives(self):
        return [SimpleNamespace(replica=self.replica)]

    def sends(self, times):
        """Write down that the entry sent a request at each of some times."""
        for at in times:
            request_id = f'q-{at}'
            run = Run(request_id, 'POST', '/', BODY.encode(), '', 0, 0)
            run.began_at = at
            self.replica.runs.append(run)
            self.replica.arrivals.append((at, request_id))
            whole = {'status': 200, 'is_whole': True, 'ended_at': at + 0.1}
            self.asked.append(Asked(request_id, DRAFT, 'entry-0', at, **whole))

    def broken(self, *, ends=(), limits=()):
        anything: Any = self
        needs = Needs(anything, random.Random(1), str, print)
        needs.callers.append(
            Caller(random.Random(1), dict, str, asked=self.asked)
        )
        needs.ends += ends
        needs.limits += limits
        verdict = Verdict()
        judge_needs(needs, self.asked, anything, anything, verdict)
        return set(verdict.broken)


class TestFatalRequests:
    def test_one_that_is_sent_on_is_found(self):
        soak = Soak()
        soak.sends([107.0, 108.0, 109.0, 110.0])
        assert soak.broken(ends=ENDS) == {'sent on'}

    def test_three_sends_and_those_shortly_after_the_third_end_are_allowed(
        self,
    ):
        soak = Soak()
        soak.sends([103.5, 104.0, 105.0, 107.0, 108.0, 109.0])
        assert not soak.broken(ends=ENDS)

    def test_two_ends_convict_nobody(self):
        soak = Soak()
        soak.sends([107.0, 108.0, 109.0, 110.0])
        assert not soak.broken(ends=ENDS[:2])

    def test_an_entry_that_was_disturbed_is_excused(self):
        soak = Soak(troubles=[Trouble('entry-0', 106.0, 110.0)])
        soak.sends([107.0, 108.0, 109.0, 110.0])
        assert not soak.broken(ends=ENDS)


class TestLimits:
    def test_more_than_allowed_are_found(self):
        soak = Soak()
        soak.sends([100.5, *(104 + number / 4 for number in range(12))])
        limit = NamedLimit(soak.replica, 1.0, 100.0, 110.0)
        assert soak.broken(limits=[limit]) == {'over the limit'}

    def test_as_many_as_allowed_break_nothing(self):
        soak = Soak()
        soak.sends([100.5, *(104 + number / 3 for number in range(11))])
        limit = NamedLimit(soak.replica, 1.0, 100.0, 110.0)
        assert not soak.broken(limits=[limit])

    def test_an_entry_that_was_not_told_is_excused(self):
        soak = Soak()
        soak.sends([104 + number / 100 for number in range(20)])
        limit = NamedLimit(soak.replica, 1.0, 100.0, 110.0)
        assert not soak.broken(limits=[limit])
