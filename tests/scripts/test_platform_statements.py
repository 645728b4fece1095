"""The soak's checks on what replicas state detect violations."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

import pytest
from _platform_chaos import Disturbance, PlatformChaos
from _platform_checks import Verdict
from _platform_links import NarrowLinks, QueuePeriod
from _platform_load import ROUTE_KINDS, RequestResult
from _platform_statements import Leave, StatingReplicas, check_statements

from crowrudder_standins.fleet_replica import FleetReplica

READ = ROUTE_KINDS[0]
TOLD_AT = 100.0


class Soak:
    """Records of a soak with one replica."""

    def __init__(self):
        self.replica = FleetReplica({'--id': 'r.1'})
        fleet: Any = SimpleNamespace(
            all_incarnations=lambda: [SimpleNamespace(replica=self.replica)]
        )
        self.chaos = PlatformChaos(fleet, random.Random(1), print)
        self.stating = StatingReplicas(
            fleet, random.Random(1), self.chaos, print
        )
        self.results = []
        self.links = NarrowLinks(fleet, random.Random(1), print)

    def send(self, at, *, entry='entry-0', states_leaving=False):
        request_id = f'{entry}-{at}'
        self.replica.arrivals.append((at, request_id))
        self.results.append(
            RequestResult(
                request_id,
                READ,
                entry,
                at,
                head_at=at,
                states_leaving=states_leaving,
            )
        )
        return request_id

    def leave(self):
        self.stating.leaves.append(Leave(self.replica, TOLD_AT - 1))
        self.send(TOLD_AT, states_leaving=True)

    def pause(self, pause_s='3'):
        request_id = self.send(TOLD_AT)
        self.replica.stated.pauses.append((TOLD_AT, request_id, pause_s))

    def violations(self):
        verdict = Verdict()
        check_statements(self.stating, self.results, verdict, self.links)
        return set(verdict.violations)


class TestLeaving:
    def test_send_after_the_statement_is_detected(self):
        soak = Soak()
        soak.leave()
        soak.send(TOLD_AT + 0.6)
        assert soak.violations() == {'sent to one that said it leaves'}

    def test_sends_before_and_shortly_after_it_are_allowed(self):
        soak = Soak()
        soak.send(TOLD_AT - 2)
        soak.leave()
        soak.send(TOLD_AT + 0.4)
        assert not soak.violations()

    def test_a_request_for_another_replica_does_not_count(self):
        soak = Soak()
        soak.leave()
        request_id = soak.send(TOLD_AT + 2)
        soak.replica.stated.misdirected.add((TOLD_AT + 2, request_id))
        assert not soak.violations()

    def test_another_entry_is_bound_by_its_own_answer_alone(self):
        soak = Soak()
        soak.leave()
        soak.send(TOLD_AT + 2, entry='entry-1')
        assert not soak.violations()

    def test_a_silent_store_excuses_nothing(self):
        soak = Soak()
        soak.leave()
        soak.send(TOLD_AT + 2)
        soak.chaos.disturbances.append(Disturbance('', 99.0, 110.0))
        assert soak.violations() == {'sent to one that said it leaves'}

    @pytest.mark.parametrize('is_restart', [True, False])
    def test_restart_or_disturbance_of_the_entry_excuses(self, is_restart):
        soak = Soak()
        soak.leave()
        soak.send(TOLD_AT + 2)
        if is_restart:
            soak.chaos.restarts.append(('entry-0', TOLD_AT + 1))
        else:
            disturbance = Disturbance('entry-0', TOLD_AT + 1, TOLD_AT + 1.5)
            soak.chaos.disturbances.append(disturbance)
        assert not soak.violations()


class TestPauses:
    def test_three_sends_in_a_pause_are_detected(self):
        soak = Soak()
        soak.pause()
        for delay_s in (0.6, 1.5, 2.9):
            soak.send(TOLD_AT + delay_s)
        assert soak.violations() == {'sent in a pause'}

    def test_two_sends_and_those_outside_the_pause_are_allowed(self):
        soak = Soak()
        soak.pause()
        for delay_s in (0.1, 0.4, 0.6, 1.5, 3.1, 3.2):
            soak.send(TOLD_AT + delay_s)
        assert not soak.violations()

    def test_requests_for_another_replica_count_in_a_pause(self):
        soak = Soak()
        soak.pause()
        for delay_s in (0.6, 1.5, 2.9):
            request_id = soak.send(TOLD_AT + delay_s)
            arrival = (TOLD_AT + delay_s, request_id)
            soak.replica.stated.misdirected.add(arrival)
        assert soak.violations() == {'sent in a pause'}

    def test_sends_of_other_entries_are_allowed(self):
        soak = Soak()
        soak.pause()
        for delay_s in (0.6, 1.5, 2.9):
            soak.send(TOLD_AT + delay_s, entry='entry-1')
        assert not soak.violations()


class TestQueuedRequests:
    """Guards against a request that counts as sent when it arrives.

    A link into a replica has a queue of seconds; requests that entered it before
    the replica's statement reached their entry arrive after it.
    """

    def soak(self, *queues):
        soak = Soak()
        soak.links.inbound += queues
        soak.pause()
        for late_s in (0.6, 0.7, 0.8):
            soak.send(TOLD_AT + late_s)
        return soak

    def test_a_request_counts_as_sent_when_it_entered_the_queue(self):
        queue = QueuePeriod('r', 1.5, TOLD_AT - 2, TOLD_AT - 0.5)
        assert not self.soak(queue).violations()

    @pytest.mark.parametrize(
        'queue',
        [
            QueuePeriod('other', 1.5, TOLD_AT - 2, TOLD_AT - 0.5),
            QueuePeriod('r', 1.5, TOLD_AT - 4, TOLD_AT - 2),
            QueuePeriod('r', 0.05, TOLD_AT - 2, TOLD_AT + 2),
        ],
    )
    def test_other_queues_and_short_ones_excuse_nothing(self, queue):
        assert self.soak(queue).violations() == {'sent in a pause'}

    def test_a_pause_counts_from_when_its_answer_left_the_queue(self):
        """Guards against a statement that counts before it was received."""
        soak = self.soak()
        soak.links.outbound.append(
            QueuePeriod('r', 1.4, TOLD_AT - 1, TOLD_AT + 1)
        )
        assert not soak.violations()
        for late_s in (2, 2.1, 2.2):
            soak.send(TOLD_AT + late_s)
        assert soak.violations() == {'sent in a pause'}
