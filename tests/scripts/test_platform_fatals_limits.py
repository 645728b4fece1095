"""The soak's checks on fatal requests and rate limits detect violations."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from _platform_chaos import Disturbance, PlatformChaos
from _platform_checks import Verdict
from _platform_fatals_limits import (
    FatalsAndLimits,
    StatedLimit,
    check_fatals_and_limits,
)
from _platform_load import ROUTE_KINDS, Caller, RequestResult
from attrs import define, field

from crowrudder_standins.fleet_replica import FleetReplica, Run

DRAFT = ROUTE_KINDS[2]
BODY = 'fatal 0'
THIRD_AT = 103.0
ENDS = [(101.0, BODY), (102.0, BODY), (THIRD_AT, BODY)]


@define(eq=False)
class SoakRecords:
    """Records of a soak with one replica and one entry."""

    disturbances: list[Disturbance] = field(factory=list)
    results: list[RequestResult] = field(factory=list)
    replica: Any = field(factory=lambda: FleetReplica({'--id': 'r.1'}))

    was_disturbed = PlatformChaos.was_disturbed

    def all_incarnations(self):
        return [SimpleNamespace(replica=self.replica)]

    def sends(self, times):
        """Record that the entry sent a request at each of the given times."""
        for at in times:
            request_id = f'q-{at}'
            run = Run(request_id, 'POST', '/', BODY.encode(), '', 0, 0)
            run.began_at = at
            self.replica.runs.append(run)
            self.replica.arrivals.append((at, request_id))
            complete_answer = {
                'status': 200,
                'is_whole': True,
                'ended_at': at + 0.1,
            }
            self.results.append(
                RequestResult(
                    request_id, DRAFT, 'entry-0', at, **complete_answer
                )
            )

    def violated_checks(self, *, ends=(), limits=()):
        stand_in: Any = self
        fatals_and_limits = FatalsAndLimits(
            stand_in, random.Random(1), str, print
        )
        fatals_and_limits.callers.append(
            Caller(random.Random(1), dict, str, results=self.results)
        )
        fatals_and_limits.ends += ends
        fatals_and_limits.limits += limits
        verdict = Verdict()
        check_fatals_and_limits(
            fatals_and_limits, self.results, stand_in, stand_in, verdict
        )
        return set(verdict.violations)


class TestFatalRequests:
    def test_fatal_request_sent_after_quarantine_is_detected(self):
        records = SoakRecords()
        records.sends([107.0, 108.0, 109.0, 110.0])
        assert records.violated_checks(ends=ENDS) == {'sent on'}

    def test_three_late_sends_and_those_near_third_end_are_allowed(
        self,
    ):
        records = SoakRecords()
        records.sends([103.5, 104.0, 105.0, 107.0, 108.0, 109.0])
        assert not records.violated_checks(ends=ENDS)

    def test_two_ends_do_not_quarantine(self):
        records = SoakRecords()
        records.sends([107.0, 108.0, 109.0, 110.0])
        assert not records.violated_checks(ends=ENDS[:2])

    def test_disturbed_entry_is_excused(self):
        records = SoakRecords(
            disturbances=[Disturbance('entry-0', 106.0, 110.0)]
        )
        records.sends([107.0, 108.0, 109.0, 110.0])
        assert not records.violated_checks(ends=ENDS)


class TestLimits:
    def test_exceeded_limit_is_detected(self):
        records = SoakRecords()
        records.sends([100.5, *(104 + number / 4 for number in range(12))])
        limit = StatedLimit(records.replica, 1.0, 100.0, 110.0)
        assert records.violated_checks(limits=[limit]) == {'over the limit'}

    def test_requests_within_the_limit_are_allowed(self):
        records = SoakRecords()
        records.sends([100.5, *(104 + number / 3 for number in range(11))])
        limit = StatedLimit(records.replica, 1.0, 100.0, 110.0)
        assert not records.violated_checks(limits=[limit])

    def test_entry_without_limit_notice_is_excused(self):
        records = SoakRecords()
        records.sends([104 + number / 100 for number in range(20)])
        limit = StatedLimit(records.replica, 1.0, 100.0, 110.0)
        assert not records.violated_checks(limits=[limit])
